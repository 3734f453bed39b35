package contact

import (
	"flag"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"merlinarch/internal/standin/patterns"
)

// scoreSum adds up the Brier and logarithmic scores of forecasts.
type scoreSum struct{ brier, log, n float64 }

func (s *scoreSum) add(p float64, up bool) {
	p = min(maxProbability, max(1-maxProbability, p))
	if !up {
		p = 1 - p
	}
	s.brier += (1 - p) * (1 - p)
	s.log -= math.Log(p)
	s.n++
}

// comparison holds the scores on one pattern of the forecaster, of persistence (the state does not change) and of the share of
// time up at that time of the day, over all horizons.
type comparison struct{ forecaster, persistence, timeOfDay scoreSum }

// calibration counts forecasts by tenths of probability, and in how many of them the site was up.
type calibration [10]struct{ n, up float64 }

// simulate observes a site once a minute for some days, three times out of ten with an unknown result, and scores forecasts
// after the first four days.
func simulate(p patterns.Pattern, seed uint64, days int64, c *calibration) (out comparison) {
	rng := rand.New(rand.NewPCG(seed, 7))
	until := days * patterns.Day
	changes, planned := p.Draw(rng, until+patterns.Day)
	var calendar []Span
	for _, s := range planned {
		calendar = append(calendar, Span(s))
	}
	state := func(at int64) bool {
		up, _ := patterns.Up(changes, at)
		return up
	}
	s := New()
	var dayUp, dayAll [dayBins]float64
	from := 4 * patterns.Day
	lastKnown := state(0)
	for now := int64(0); now < until; now += patterns.Minute {
		found := Unknown
		if rng.Float64() < 0.7 {
			lastKnown = state(now)
			found = Down
			b, _ := timeOfDayBin(now)
			if dayAll[b]++; lastKnown {
				found = Up
				dayUp[b]++
			}
		}
		s.Observe(now, "x", found, calendar)
		if now < from || now%(10*patterns.Minute) != 0 {
			continue
		}
		for _, ahead := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour, 4 * time.Hour} {
			at := now + ahead.Milliseconds()
			truth := state(at)
			f := s.Forecast(now, at, "x", calendar)
			out.forecaster.add(f.UpProbability, truth)
			b, _ := timeOfDayBin(at)
			out.timeOfDay.add((dayUp[b]+1)/(dayAll[b]+2), truth)
			persisted := 0.02
			if lastKnown {
				persisted = 0.98
			}
			out.persistence.add(persisted, truth)
			bin := &c[min(9, int(f.UpProbability*10))]
			if bin.n++; truth {
				bin.up++
			}
		}
	}
	return out
}

var deep = flag.Bool("deep", false, "14 days of each pattern, for half a minute")

// On each pattern, forecasts are not worse than the better of persistence and the time of day; on average they are better by a
// fifth. They are also calibrated: sites are up about as often as forecast.
func TestForecastScores(t *testing.T) {
	days := int64(7)
	if *deep {
		days = 14
	}
	var mu sync.Mutex
	var c calibration
	var sum comparison
	all := patterns.All()
	t.Run("patterns", func(t *testing.T) {
		for i, p := range all {
			t.Run(p.Name, func(t *testing.T) {
				t.Parallel()
				var own calibration
				r := simulate(p, uint64(i+1), days, &own)
				n := r.forecaster.n
				t.Logf("Brier score: forecaster %.3f, persistence %.3f, time of day %.3f; log score: %.3f, %.3f, %.3f", r.forecaster.brier/n, r.persistence.brier/n,
					r.timeOfDay.brier/n, r.forecaster.log/n, r.persistence.log/n, r.timeOfDay.log/n)
				if best := min(r.persistence.brier, r.timeOfDay.brier) / n; r.forecaster.brier/n > best*1.02+0.004 {
					t.Errorf("Brier score %.4f, better baseline %.4f", r.forecaster.brier/n, best)
				}
				if best := min(r.persistence.log, r.timeOfDay.log) / n; r.forecaster.log/n > best*1.02+0.02 {
					t.Errorf("log score %.4f, better baseline %.4f", r.forecaster.log/n, best)
				}
				mu.Lock()
				defer mu.Unlock()
				sum.forecaster.brier += r.forecaster.brier / n
				sum.persistence.brier += r.persistence.brier / n
				sum.timeOfDay.brier += r.timeOfDay.brier / n
				for b := range c {
					c[b].n += own[b].n
					c[b].up += own[b].up
				}
			})
		}
	})
	n := float64(len(all))
	t.Logf("%d patterns, mean Brier score: forecaster %.4f, persistence %.4f, time of day %.4f", len(all),
		sum.forecaster.brier/n, sum.persistence.brier/n, sum.timeOfDay.brier/n)
	if sum.forecaster.brier > 0.8*min(sum.persistence.brier, sum.timeOfDay.brier) {
		t.Error("mean Brier score is not better than the baselines by a fifth")
	}
	for i, b := range c {
		forecast := (float64(i) + 0.5) / 10
		t.Logf("forecast %.2f: up in %.3f of %d", forecast, b.up/max(1, b.n), int(b.n))
		if b.n > 500 && math.Abs(b.up/b.n-forecast) > 0.15 {
			t.Errorf("forecast %.2f, up in %.3f", forecast, b.up/b.n)
		}
	}
}
