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

// score adds up how good forecasts were.
type score struct{ brier, log, n float64 }

func (s *score) add(p float64, up bool) {
	p = min(sure, max(1-sure, p))
	if !up {
		p = 1 - p
	}
	s.brier += (1 - p) * (1 - p)
	s.log -= math.Log(p)
	s.n++
}

// played is a pattern with the forecasts on it, by horizon.
type played struct{ ours, now, day score }

// calibration counts forecasts by tenths, and how many of them the site was up for.
type calibration [10]struct{ n, up float64 }

// play looks at a site once a minute, three times of ten without finding anything out, for some days, and judges forecasts
// from day 4 on.
func play(p patterns.Pattern, seed uint64, days int64, c *calibration) (out played) {
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
	known := state(0)
	for now := int64(0); now < until; now += patterns.Minute {
		found := Unknown
		if rng.Float64() < 0.7 {
			known = state(now)
			found = Down
			b, _ := hour(now)
			if dayAll[b]++; known {
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
			out.ours.add(f.UpProbability, truth)
			b, _ := hour(at)
			out.day.add((dayUp[b]+1)/(dayAll[b]+2), truth)
			as := 0.02
			if known {
				as = 0.98
			}
			out.now.add(as, truth)
			bin := &c[min(9, int(f.UpProbability*10))]
			if bin.n++; truth {
				bin.up++
			}
		}
	}
	return out
}

var deep = flag.Bool("deep", false, "14 days of each pattern, for half a minute")

// Forecasts are better than the state as it is now, and than the hour of the day alone, wherever there is something to
// learn, and not worse where there is nothing; and they mean what they say.
func TestForecastScores(t *testing.T) {
	days := int64(7)
	if *deep {
		days = 14
	}
	var mu sync.Mutex
	var c calibration
	var sum played
	all := patterns.All()
	t.Run("patterns", func(t *testing.T) {
		for i, p := range all {
			t.Run(p.Name, func(t *testing.T) {
				t.Parallel()
				var own calibration
				r := play(p, uint64(i+1), days, &own)
				n := r.ours.n
				t.Logf("Brier ours %.3f, as it is now %.3f, by the hour %.3f; log %.3f, %.3f, %.3f", r.ours.brier/n, r.now.brier/n,
					r.day.brier/n, r.ours.log/n, r.now.log/n, r.day.log/n)
				if best := min(r.now.brier, r.day.brier) / n; r.ours.brier/n > best*1.02+0.004 {
					t.Errorf("Brier %.4f, the better of the two %.4f", r.ours.brier/n, best)
				}
				if best := min(r.now.log, r.day.log) / n; r.ours.log/n > best*1.02+0.02 {
					t.Errorf("log score %.4f, the better of the two %.4f", r.ours.log/n, best)
				}
				mu.Lock()
				defer mu.Unlock()
				sum.ours.brier += r.ours.brier / n
				sum.now.brier += r.now.brier / n
				sum.day.brier += r.day.brier / n
				for b := range c {
					c[b].n += own[b].n
					c[b].up += own[b].up
				}
			})
		}
	})
	n := float64(len(all))
	t.Logf("%d patterns, mean Brier: ours %.4f, as it is now %.4f, by the hour %.4f", len(all), sum.ours.brier/n, sum.now.brier/n, sum.day.brier/n)
	if sum.ours.brier > 0.8*min(sum.now.brier, sum.day.brier) {
		t.Error("not better by a fifth on the mean")
	}
	for i, b := range c {
		said := (float64(i) + 0.5) / 10
		t.Logf("said %.2f: up %.3f of %d", said, b.up/max(1, b.n), int(b.n))
		if b.n > 500 && math.Abs(b.up/b.n-said) > 0.15 {
			t.Errorf("said %.2f, up %.3f", said, b.up/b.n)
		}
	}
}
