package schedule

import (
	"testing"
	"time"
)

// fixed is a site with forecasts that are told.
type fixed struct {
	up    func(at int64) float64
	known bool
	seen  bool
	since int64
	at    int64
	lasts float64
}

func (f fixed) UpProbability(at int64) (float64, bool)         { return f.up(at), f.known }
func (f fixed) StayUpProbability(int64, time.Duration) float64 { return f.lasts }
func (f fixed) LastObservation() (bool, int64, int64)          { return f.seen, f.since, f.at }

func always(p float64) func(int64) float64 { return func(int64) float64 { return p } }

func one(t *testing.T, s Settings, now int64, j Job, x Site) Decision {
	t.Helper()
	steps := s.Plan(now, []Job{j}, func(string) Site { return x })
	if len(steps) != 1 || steps[0].Job != j.ID {
		t.Fatalf("%+v", steps)
	}
	return steps[0]
}

func TestJudge(t *testing.T) {
	s := DefaultSettings()
	j := Job{ID: "a", Site: "x", Earliest: 1000, Latest: 601_000, Worth: 1, ExpectedDuration: 10 * time.Second}
	later := func(at int64) float64 { // up from 400 s on
		if at > 400_000 {
			return 0.95
		}
		return 0.05
	}
	cases := []struct {
		name string
		now  int64
		job  Job
		site fixed
		want Verdict
	}{
		{"too early", 0, j, fixed{up: always(1), known: true, seen: true, lasts: 1}, Wait},
		{"too late", 595_000, j, fixed{up: always(1), known: true, seen: true, lasts: 1}, GiveUp},
		{"up", 2000, j, fixed{up: always(0.99), known: true, seen: true, at: 1500, lasts: 0.99}, Try},
		{"down, back later", 2000, j, fixed{up: later, known: true, lasts: 0.99}, Wait},
		{"down, back by now", 450_000, j, fixed{up: later, known: true, lasts: 0.99}, Try},
		{"up, but about to go, and back later", 2000, j, fixed{up: always(0.9), known: true, seen: true, at: 1500, lasts: 0.02}, Wait},
		{"nothing known", 2000, j, fixed{up: always(0.5), lasts: 0.5}, Try},
		{"nothing known, just failed", 2000, Job{ID: "a", Earliest: 1000, Latest: 601_000, Worth: 1, LastTriedMs: 1900, FailedTries: 3}, fixed{up: always(0.5), lasts: 0.5}, Wait},
		{"last chance", 590_500, j, fixed{up: always(0.3), known: true, lasts: 0.9}, Try},
	}
	for _, c := range cases {
		if got := one(t, s, c.now, c.job, c.site); got.Verdict != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if got := one(t, s, 2000, j, fixed{up: later, known: true, lasts: 0.99}); got.RetryAtMs < 400_000 || got.RetryAtMs > 601_000 {
		t.Errorf("not by the predicted way back: %+v", got)
	}
}

// A site that is back gets its backlog in measured amounts, what would be lost first before the rest.
func TestBacklogWarmsUp(t *testing.T) {
	s := DefaultSettings()
	s.MaxInFlight = 8
	x := fixed{up: always(0.99), known: true, seen: true, since: 100_000, at: 100_000, lasts: 0.99}
	var jobs []Job
	for i := range 50 {
		jobs = append(jobs, Job{ID: string(rune('A' + i)), Site: "x", Earliest: 1, Latest: int64(1_000_000 - i*1000), Worth: 1})
	}
	tries := func(now int64) (out []string) {
		for _, p := range s.Plan(now, jobs, func(string) Site { return x }) {
			if p.Verdict == Try {
				out = append(out, p.Job)
			}
		}
		return out
	}
	if got := tries(100_000); len(got) != 2 || got[0] != string(rune('A'+49)) {
		t.Errorf("at its return %v", got)
	}
	if got := tries(130_000); len(got) != 5 {
		t.Errorf("half warm %v", got)
	}
	if got := tries(160_000); len(got) != 8 {
		t.Errorf("warm %v", got)
	}
	for i := range 3 {
		jobs[i].InFlight = true
	}
	if got := tries(160_000); len(got) != 5 {
		t.Errorf("three are out, %v more", got)
	}
	down := x
	down.seen, down.up = false, always(0.9)
	if got := s.Plan(160_000, jobs[3:], func(string) Site { return down }); func() (n int) {
		for _, p := range got {
			if p.Verdict == Try {
				n++
			}
		}
		return n
	}() > 1 {
		t.Error("more than one finds out whether a site is back")
	}
}
