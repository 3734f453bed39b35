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

// known is a site as its contacts tell.
type known struct {
	sites    *contact.Forecaster
	calendar []contact.Span
	now      int64
	x        *contact.Site
}

func (k known) UpProbability(at int64) (float64, bool) {
	f := k.sites.Forecast(k.now, at, "x", k.calendar)
	return f.UpProbability, f.HasEvidence
}
func (k known) StayUpProbability(at int64, d time.Duration) float64 {
	return k.sites.StayUpProbability(k.now, at, "x", d)
}
func (k known) LastObservation() (bool, int64, int64) {
	if k.x == nil {
		return false, 0, -1
	}
	return k.x.State == contact.Up, k.x.Since, k.x.Seen
}

// result is what a policy made of the work.
type result struct{ done, offered, wasted float64 }

func (r result) value() float64 { return r.done - DefaultSettings().FailedTryCost*r.wasted }

// world is a site's stretches, and the work for it.
type world struct {
	changes  []int64
	calendar []contact.Span
	jobs     []Job
}

const tick = 30_000 // ms between plans

func draw(p patterns.Pattern, seed uint64, days int64) world {
	rng := rand.New(rand.NewPCG(seed, 3))
	until := days * patterns.Day
	changes, planned := p.Draw(rng, until+patterns.Day)
	w := world{changes: changes}
	for _, s := range planned {
		w.calendar = append(w.calendar, contact.Span(s))
	}
	for at := 3 * patterns.Day; at < until-8*60*patterns.Minute; {
		at += int64(rng.ExpFloat64() * 30 * float64(patterns.Minute))
		long := int64((5 + rng.ExpFloat64()*90) * float64(patterns.Minute))
		took := time.Duration((0.2 + rng.ExpFloat64()*1.5) * float64(time.Minute))
		w.jobs = append(w.jobs, Job{ID: string(rune(len(w.jobs) + 'A')), Site: "x", Earliest: at, Latest: at + max(long, 2*took.Milliseconds()), ExpectedDuration: took,
			Worth: 0.2 + rng.ExpFloat64()})
	}
	return w
}

// try tells how a try that begins at a time ends, and when that is known.
func (w world) try(at int64, took time.Duration) (ok bool, end int64) {
	up, next := patterns.Up(w.changes, at)
	switch {
	case !up:
		return false, at + 5000
	case next < at+took.Milliseconds():
		return false, next + 5000
	}
	return true, at + took.Milliseconds()
}

// oracle knows all contacts to come.
func (w world) oracle() (r result) {
	for _, j := range w.jobs {
		r.offered += j.Worth
		for at := j.Earliest; at+j.ExpectedDuration.Milliseconds() <= j.Latest; {
			if ok, _ := w.try(at, j.ExpectedDuration); ok {
				r.done += j.Worth
				break
			}
			_, at = patterns.Up(w.changes, at)
		}
	}
	return r
}

// rule is a policy that looks at nothing but its own tries: the next one comes after a pause.
func (w world) rule(pause func(fails int) int64) (r result) {
	for _, j := range w.jobs {
		r.offered += j.Worth
		for at, fails := j.Earliest, 0; at+j.ExpectedDuration.Milliseconds() <= j.Latest; fails++ {
			ok, end := w.try(at, j.ExpectedDuration)
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

// planned plays our plans: the site is seen by ordinary requests in three minutes of ten, and by its own tries.
func (w world) planned(seed uint64, days int64) (r result) {
	rng := rand.New(rand.NewPCG(seed, 5))
	s, sites := DefaultSettings(), contact.New()
	s.MaxInFlight = 1000 // what is judged here is when, not how many
	type out struct {
		job *Job
		ok  bool
		at  int64
	}
	var open []*Job
	var running []out
	next := 0
	for now := int64(0); now < days*patterns.Day; now += tick {
		if now%patterns.Minute == 0 && rng.Float64() < 0.3 {
			state := contact.Down
			if up, _ := patterns.Up(w.changes, now); up {
				state = contact.Up
			}
			sites.Observe(now, "x", state, w.calendar)
		}
		still := running[:0]
		for _, o := range running {
			if o.at > now {
				still = append(still, o)
				continue
			}
			o.job.InFlight = false
			if o.ok {
				r.done += o.job.Worth
				o.job.Worth = -1
				sites.Observe(now, "x", contact.Up, w.calendar)
			} else {
				r.wasted += o.job.Worth
				o.job.FailedTries++
				sites.Observe(now, "x", contact.Down, w.calendar)
			}
		}
		running = still
		for ; next < len(w.jobs) && w.jobs[next].Earliest <= now; next++ {
			j := w.jobs[next]
			r.offered += j.Worth
			open = append(open, &j)
		}
		if len(open) == 0 {
			continue
		}
		var jobs []Job
		keep := open[:0]
		for _, j := range open {
			if j.Worth >= 0 {
				keep = append(keep, j)
				jobs = append(jobs, *j)
			}
		}
		open = keep
		steps := s.Plan(now, jobs, func(string) Site { return known{sites, w.calendar, now, sites.Sites["x"]} })
		for _, step := range steps {
			for i, j := range open {
				if j.ID != step.Job || j.Worth < 0 {
					continue
				}
				switch step.Verdict {
				case Try:
					ok, end := w.try(now, j.ExpectedDuration)
					open[i].LastTriedMs, open[i].InFlight = now, true
					running = append(running, out{open[i], ok, end})
				case GiveUp:
					open[i].Worth = -1
				}
			}
		}
	}
	return r
}

// Plans come at least three quarters of the way from the better of two rules that forecast nothing to one that knows all
// contacts, where there is something to learn, and are never below the better rule.
func TestPlansBeatRules(t *testing.T) {
	days, seeds, each := int64(7), uint64(1), 4 // of the patterns
	if *deep {
		days, seeds, each = 16, 3, 1
	}
	var mu sync.Mutex
	way, n := 0.0, 0.0
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
					w := draw(p, uint64(i)+100*seed, days)
					add(&ours, w.planned(seed, days))
					add(&oracle, w.oracle())
					add(&backoff, w.rule(func(fails int) int64 { return min(10*patterns.Minute, 5000<<min(fails, 10)) }))
					add(&fixed, w.rule(func(int) int64 { return 10 * patterns.Minute }))
				}
				best := max(backoff.value(), fixed.value())
				part := (ours.value() - best) / max(1e-9, oracle.value()-best)
				t.Logf("of %.0f: ours %.1f done, %.1f wasted; back-off %.1f, %.1f; fixed %.1f, %.1f; oracle %.1f; %.2f of the way", ours.offered, ours.done,
					ours.wasted, backoff.done, backoff.wasted, fixed.done, fixed.wasted, oracle.done, part)
				if ours.value() < best-0.005*ours.offered {
					t.Errorf("worse than the better rule: %.1f, %.1f", ours.value(), best)
				}
				if !p.Structured {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				way += part
				n++
			})
		}
	})
	t.Logf("%.0f patterns with structure: %.2f of the way on the mean", n, way/n)
	if way/n < 0.75 {
		t.Error("less than three quarters of the way")
	}
}
