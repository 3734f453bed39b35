package schedule

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/standin/patterns"
)

var deep = flag.Bool("deep", false, "16 days of each pattern and three seeds, for minutes")

// forecastSite is a Site with the forecasts and observations of package contact.
type forecastSite struct {
	sites    *contact.Forecaster
	calendar []contact.Span
	now      int64
	observed *contact.Site
}

func (k forecastSite) UpProbability(at int64) (float64, bool) {
	f := k.sites.Forecast(k.now, at, "x", k.calendar)
	return f.UpProbability, f.HasEvidence
}
func (k forecastSite) StayUpProbability(at int64, d time.Duration) float64 {
	return k.sites.StayUpProbability(k.now, at, "x", d)
}
func (k forecastSite) LastObservation() (bool, int64, int64) {
	if k.observed == nil {
		return false, 0, -1
	}
	return k.observed.State == contact.Up, k.observed.Since, k.observed.Seen
}

// result sums the worth of jobs done, offered and tried in vain under a policy.
type result struct{ done, offered, wasted float64 }

func (r result) value() float64 { return r.done - DefaultSettings().FailedTryCost*r.wasted }

// scenario holds the times at which a site changes its state, its planned outages, and the jobs for it.
type scenario struct {
	changes  []int64
	calendar []contact.Span
	jobs     []Job
}

const planEveryMs = 30_000 // time between two plans

// drawScenario draws a scenario of a pattern, with jobs at random times.
func drawScenario(p patterns.Pattern, seed uint64, days int64) scenario {
	rng := rand.New(rand.NewPCG(seed, 3))
	until := days * patterns.Day
	changes, planned := p.Draw(rng, until+patterns.Day)
	w := scenario{changes: changes}
	for _, s := range planned {
		w.calendar = append(w.calendar, contact.Span(s))
	}
	for at := 3 * patterns.Day; at < until-8*60*patterns.Minute; {
		at += int64(rng.ExpFloat64() * 30 * float64(patterns.Minute))
		window := int64((5 + rng.ExpFloat64()*90) * float64(patterns.Minute))
		duration := time.Duration((0.2 + rng.ExpFloat64()*1.5) * float64(time.Minute))
		w.jobs = append(w.jobs, Job{ID: string(rune(len(w.jobs) + 'A')), Site: "x", Earliest: at,
			Latest: at + max(window, 2*duration.Milliseconds()), ExpectedDuration: duration,
			Worth: 0.2 + rng.ExpFloat64()})
	}
	return w
}

// runTry returns how a try that begins at a time ends, and when that is known.
func (w scenario) runTry(at int64, duration time.Duration) (ok bool, end int64) {
	up, next := patterns.Up(w.changes, at)
	switch {
	case !up:
		return false, at + 5000
	case next < at+duration.Milliseconds():
		return false, next + 5000
	}
	return true, at + duration.Milliseconds()
}

// oracle is a policy that knows the site's state at all times.
func (w scenario) oracle() (r result) {
	for _, j := range w.jobs {
		r.offered += j.Worth
		for at := j.Earliest; at+j.ExpectedDuration.Milliseconds() <= j.Latest; {
			if ok, _ := w.runTry(at, j.ExpectedDuration); ok {
				r.done += j.Worth
				break
			}
			_, at = patterns.Up(w.changes, at)
		}
	}
	return r
}

// retryRule is a policy that only knows its own tries: it retries after a pause.
func (w scenario) retryRule(pause func(fails int) int64) (r result) {
	for _, j := range w.jobs {
		r.offered += j.Worth
		for at, fails := j.Earliest, 0; at+j.ExpectedDuration.Milliseconds() <= j.Latest; fails++ {
			ok, end := w.runTry(at, j.ExpectedDuration)
			if ok {
				r.done += j.Worth
				break
			}
			r.wasted += j.Worth
			at = max(end, at) + pause(fails)
		}
	}
	return r
}

// simulatePlans runs the plans of this package. The site is observed by ordinary requests in three minutes out of ten, and by
// the tries.
func (w scenario) simulatePlans(seed uint64, days int64) (total result) {
	rng := rand.New(rand.NewPCG(seed, 5))
	s, sites := DefaultSettings(), contact.New()
	s.MaxInFlight = 1000 // no concurrency limit: this test is about when jobs are tried
	type runningTry struct {
		job *Job
		ok  bool
		at  int64
	}
	var openJobs []*Job
	var running []runningTry
	next := 0
	for now := int64(0); now < days*patterns.Day; now += planEveryMs {
		if now%patterns.Minute == 0 && rng.Float64() < 0.3 {
			state := contact.Down
			if up, _ := patterns.Up(w.changes, now); up {
				state = contact.Up
			}
			sites.Observe(now, "x", state, w.calendar)
		}
		stillRunning := running[:0]
		for _, try := range running {
			if try.at > now {
				stillRunning = append(stillRunning, try)
				continue
			}
			try.job.InFlight = false
			if try.ok {
				total.done += try.job.Worth
				try.job.Worth = -1
				sites.Observe(now, "x", contact.Up, w.calendar)
			} else {
				total.wasted += try.job.Worth
				try.job.FailedTries++
				sites.Observe(now, "x", contact.Down, w.calendar)
			}
		}
		running = stillRunning
		for ; next < len(w.jobs) && w.jobs[next].Earliest <= now; next++ {
			j := w.jobs[next]
			total.offered += j.Worth
			openJobs = append(openJobs, &j)
		}
		if len(openJobs) == 0 {
			continue
		}
		var jobs []Job
		stillOpen := openJobs[:0]
		for _, j := range openJobs {
			if j.Worth >= 0 {
				stillOpen = append(stillOpen, j)
				jobs = append(jobs, *j)
			}
		}
		openJobs = stillOpen
		decisions := s.Plan(now, jobs, func(string) Site { return forecastSite{sites, w.calendar, now, sites.Sites["x"]} })
		for _, decision := range decisions {
			for i, j := range openJobs {
				if j.ID != decision.Job || j.Worth < 0 {
					continue
				}
				switch decision.Verdict {
				case Try:
					ok, end := w.runTry(now, j.ExpectedDuration)
					openJobs[i].LastTriedMs, openJobs[i].InFlight = now, true
					running = append(running, runningTry{openJobs[i], ok, end})
				case GiveUp:
					openJobs[i].Worth = -1
				}
			}
		}
	}
	return total
}

// On patterns with structure, plans close on average at least three quarters of the gap between the better of two retry rules
// without forecasts and a policy that knows the site's state at all times. On no pattern are they worse than the better rule.
func TestPlansBeatRetryRules(t *testing.T) {
	days, seeds, each := int64(7), uint64(1), 4 // one of so many patterns is run
	if *deep {
		days, seeds, each = 16, 3, 1
	}
	var mu sync.Mutex
	shareSum, structured := 0.0, 0.0
	t.Run("patterns", func(t *testing.T) {
		for i, p := range patterns.All() {
			if i%each != 0 {
				continue
			}
			t.Run(p.Name, func(t *testing.T) {
				t.Parallel()
				var ours, oracle, backoff, fixed result
				add := func(to *result, r result) {
					to.done, to.offered, to.wasted = to.done+r.done, to.offered+r.offered, to.wasted+r.wasted
				}
				for seed := range seeds {
					w := drawScenario(p, uint64(i)+100*seed, days)
					add(&ours, w.simulatePlans(seed, days))
					add(&oracle, w.oracle())
					add(&backoff, w.retryRule(func(fails int) int64 { return min(10*patterns.Minute, 5000<<min(fails, 10)) }))
					add(&fixed, w.retryRule(func(int) int64 { return 10 * patterns.Minute }))
				}
				best := max(backoff.value(), fixed.value())
				shareOfGap := (ours.value() - best) / max(1e-9, oracle.value()-best)
				t.Logf("of %.0f: plans %.1f done, %.1f wasted; backoff %.1f, %.1f; fixed pause %.1f, %.1f; oracle %.1f; %.2f of the gap closed", ours.offered, ours.done,
					ours.wasted, backoff.done, backoff.wasted, fixed.done, fixed.wasted, oracle.done, shareOfGap)
				if ours.value() < best-0.005*ours.offered {
					t.Errorf("plans %.1f, better rule %.1f", ours.value(), best)
				}
				if !p.Structured {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				shareSum += shareOfGap
				structured++
			})
		}
	})
	t.Logf("%.0f patterns with structure: %.2f of the gap closed on average", structured, shareSum/structured)
	if shareSum/structured < 0.75 {
		t.Error("less than three quarters of the gap closed")
	}
}
