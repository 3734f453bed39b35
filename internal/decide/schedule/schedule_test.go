package schedule

import (
	"testing"
	"time"
)

// fakeSite is a Site with given forecasts and observations.
type fakeSite struct {
	up          func(at int64) float64
	hasEvidence bool
	reachable   bool
	since       int64
	at          int64
	stays       float64
}

func (f fakeSite) UpProbability(at int64) (float64, bool)         { return f.up(at), f.hasEvidence }
func (f fakeSite) StayUpProbability(int64, time.Duration) float64 { return f.stays }
func (f fakeSite) LastObservation() (bool, int64, int64)          { return f.reachable, f.since, f.at }

// constant returns a forecast that is the same at all times.
func constant(p float64) func(int64) float64 { return func(int64) float64 { return p } }

// planOne plans for one job and returns the decision on it.
func planOne(t *testing.T, s Settings, now int64, j Job, site Site) Decision {
	t.Helper()
	decisions := s.Plan(now, []Job{j}, func(string) Site { return site })
	if len(decisions) != 1 || decisions[0].Job != j.ID {
		t.Fatalf("%+v", decisions)
	}
	return decisions[0]
}

// A job is tried, kept waiting or given up by its time window and the forecasts of its site.
func TestPlanVerdicts(t *testing.T) {
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
		site fakeSite
		want Verdict
	}{
		{"too early", 0, j, fakeSite{up: constant(1), hasEvidence: true, reachable: true, stays: 1}, Wait},
		{"too late", 595_000, j, fakeSite{up: constant(1), hasEvidence: true, reachable: true, stays: 1}, GiveUp},
		{"up", 2000, j, fakeSite{up: constant(0.99), hasEvidence: true, reachable: true, at: 1500, stays: 0.99}, Try},
		{"down, back later", 2000, j, fakeSite{up: later, hasEvidence: true, stays: 0.99}, Wait},
		{"down, but forecast up by now", 450_000, j, fakeSite{up: later, hasEvidence: true, stays: 0.99}, Try},
		{"up, but about to go down, and up again later", 2000, j, fakeSite{up: constant(0.9), hasEvidence: true, reachable: true, at: 1500, stays: 0.02}, Wait},
		{"no evidence", 2000, j, fakeSite{up: constant(0.5), stays: 0.5}, Try},
		{"no evidence, just failed", 2000, Job{ID: "a", Earliest: 1000, Latest: 601_000, Worth: 1, LastTriedMs: 1900, FailedTries: 3},
			fakeSite{up: constant(0.5), stays: 0.5}, Wait},
		{"last chance", 590_500, j, fakeSite{up: constant(0.3), hasEvidence: true, stays: 0.9}, Try},
	}
	for _, c := range cases {
		if got := planOne(t, s, c.now, c.job, c.site); got.Verdict != c.want {
			t.Errorf("%s: %+v", c.name, got)
		}
	}
	if got := planOne(t, s, 2000, j, fakeSite{up: later, hasEvidence: true, stays: 0.99}); got.RetryAtMs < 400_000 || got.RetryAtMs > 601_000 {
		t.Errorf("the next try is not at the time forecast for the site's return: %+v", got)
	}
}

// A site that is reachable again gets its backlog in growing amounts, the jobs that would be lost first before the others.
// Without this, all of it would be sent at once to servers that have just started.
func TestBacklogIsRampedUp(t *testing.T) {
	s := DefaultSettings()
	s.MaxInFlight = 8
	x := fakeSite{up: constant(0.99), hasEvidence: true, reachable: true, since: 100_000, at: 100_000, stays: 0.99}
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
		t.Errorf("tried at its return: %v", got)
	}
	if got := tries(130_000); len(got) != 5 {
		t.Errorf("tried halfway through the slow start: %v", got)
	}
	if got := tries(160_000); len(got) != 8 {
		t.Errorf("tried after the slow start: %v", got)
	}
	for i := range 3 {
		jobs[i].InFlight = true
	}
	if got := tries(160_000); len(got) != 5 {
		t.Errorf("tried with three in flight: %v", got)
	}
	down := x
	down.reachable, down.up = false, constant(0.9)
	if got := s.Plan(160_000, jobs[3:], func(string) Site { return down }); func() (n int) {
		for _, p := range got {
			if p.Verdict == Try {
				n++
			}
		}
		return n
	}() > 1 {
		t.Error("more than one try at a site that was last observed down")
	}
}
