// Package schedule decides what planned work is sent when: which dispatch is tried now, which waits for a better time, and
// which is given up at once since it can't be done in time any more.
//
// It follows contact graph routing (CCSDS 734.20) in planning on contacts rather than on links, with contacts that are
// forecast (package contact) instead of scheduled. A try costs something if nothing comes of it, and a wait may cost the
// whole piece of work; so one is tried where its chance now is worth more than what waiting promises, and what would be
// lost first goes first. A site that is back gets its backlog in measured amounts: its servers are cold.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Job is a piece of planned work that is not done.
type Job struct {
	ID               string
	Site             string
	Earliest         int64 // ms
	Latest           int64 // it has to be done by then
	Worth            float64
	ExpectedDuration time.Duration // it is expected to take so long
	LastTriedMs      int64         // when it was tried last, in ms; 0: never
	FailedTries      int           // tries that nothing came of
	InFlight         bool          // it is being tried
}

// Settings are the prices and bounds of a plan.
type Settings struct {
	FailedTryCost  float64       // price of a try that nothing comes of, in worth
	PlanInterval   time.Duration // a plan is made so often
	LookAheadSteps int           // times that are looked at between now and a job's latest
	MaxInFlight    int           // tries that may be out at one site together, when it is warm
	ColdPeriod     time.Duration // a site that has come back is cold for so long
	ColdShare      float64       // part of Room at its return; it grows evenly to all of it
}

// DefaultSettings are for sites with a few servers.
func DefaultSettings() Settings {
	return Settings{FailedTryCost: 0.05, PlanInterval: time.Second, LookAheadSteps: 24, MaxInFlight: 8, ColdPeriod: time.Minute, ColdShare: 0.25}
}

// Site is what a plan needs to know of one.
type Site interface {
	// Up is the chance that the site is reached at a time, and whether there is evidence to say so.
	UpProbability(at int64) (p float64, known bool)
	// Lasts is the chance that it stays so for d from then on.
	StayUpProbability(at int64, d time.Duration) float64
	// Reached tells whether it is seen to be up now, and since when, in ms; at is when it was seen last.
	LastObservation() (up bool, since, at int64)
}

// What is to be done with a job.
type Verdict int

// Verdicts.
const (
	Wait Verdict = iota
	Try
	GiveUp
)

// Step is one of a plan.
type Decision struct {
	Job       string
	Verdict   Verdict
	RetryAtMs int64  // of a Wait: when it looks best, in ms
	Reason    string // of a GiveUp
}

// room is how many tries may be out at a site at its age since its return. Danger: all that has waited would come at
// once to servers that have just started.
func (s Settings) room(site Site, now int64) int {
	up, since, _ := site.LastObservation()
	if !up {
		return 1 // a try that finds out
	}
	warm := 1.0
	if age := time.Duration(now-since) * time.Millisecond; age < s.ColdPeriod {
		warm = s.ColdShare + (1-s.ColdShare)*float64(age)/float64(s.ColdPeriod)
	}
	return max(1, int(float64(s.MaxInFlight)*warm))
}

// gain is what a try at a time is expected to bring: the worth if it comes to its end, less the price if it does not.
func (s Settings) gain(j Job, site Site, at int64) (gain, chance float64) {
	p, _ := site.UpProbability(at)
	p *= site.StayUpProbability(at, j.ExpectedDuration)
	return p*j.Worth - (1-p)*s.FailedTryCost*math.Max(j.Worth, 1e-9), p
}

// Plan tells what to do with each job now. Jobs that are out count towards the room of their sites.
func (s Settings) Plan(now int64, jobs []Job, site func(name string) Site) []Decision {
	var out []Decision
	taken := map[string]int{}
	var open []Job
	for _, j := range jobs {
		switch {
		case j.InFlight:
			taken[j.Site]++
		case now+j.ExpectedDuration.Milliseconds() > j.Latest:
			out = append(out, Decision{Job: j.ID, Verdict: GiveUp, Reason: "it can't be done in time any more"})
		case now < j.Earliest:
			out = append(out, Decision{Job: j.ID, Verdict: Wait, RetryAtMs: j.Earliest})
		default:
			open = append(open, j)
		}
	}
	// What would be lost first goes first; of two with the same time, the one that is worth more.
	slices.SortFunc(open, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Latest-a.ExpectedDuration.Milliseconds(), b.Latest-b.ExpectedDuration.Milliseconds()), cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range open {
		x := site(j.Site)
		step := s.judge(now, j, x)
		if step.Verdict == Try {
			if taken[j.Site] >= s.room(x, now) {
				step = Decision{Job: j.ID, Verdict: Wait, RetryAtMs: now + s.PlanInterval.Milliseconds()}
			} else {
				taken[j.Site]++
			}
		}
		out = append(out, step)
	}
	return out
}

// judge weighs a try now against the best time that is left.
func (s Settings) judge(now int64, j Job, site Site) Decision {
	last := j.Latest - j.ExpectedDuration.Milliseconds()
	up, _, seen := site.LastObservation()
	if j.LastTriedMs >= seen { // nothing has been seen of the site since that try; a failed one says that it is down
		up = false
	}
	mine, chance := s.gain(j, site, now)
	_, known := site.UpProbability(now)
	if !known {
		// Nothing is known: as it was seen last, and otherwise again and again with growing pauses.
		if up || j.FailedTries == 0 || now >= j.LastTriedMs+s.pause(j) {
			return Decision{Job: j.ID, Verdict: Try}
		}
		return Decision{Job: j.ID, Verdict: Wait, RetryAtMs: min(last, j.LastTriedMs+s.pause(j))}
	}
	best, at := math.Inf(-1), now
	for i := 1; i <= s.LookAheadSteps; i++ {
		t := now + (last-now)*int64(i)/int64(s.LookAheadSteps)
		if t <= now {
			continue
		}
		if g, _ := s.gain(j, site, t); g > best {
			best, at = g, t
		}
	}
	// A try that fails is not the end: the later times are still there. So it costs its price, no more, and is worth it
	// where its chance makes up for that; a little is added for what may come between.
	later := math.Max(0, best)
	tryNow := chance*j.Worth + (1-chance)*(later-s.FailedTryCost*j.Worth)
	switch {
	case up && tryNow >= later:
		return Decision{Job: j.ID, Verdict: Try}
	case up && chance >= surely:
		return Decision{Job: j.ID, Verdict: Try}
	case !up && mine > 0 && tryNow > later*(1+margin) && now >= j.LastTriedMs+s.pause(j):
		return Decision{Job: j.ID, Verdict: Try}
	case !up && last-now <= s.PlanInterval.Milliseconds() && chance > s.FailedTryCost:
		return Decision{Job: j.ID, Verdict: Try} // the last chance there is
	}
	if at <= now {
		at = now + s.PlanInterval.Milliseconds()
	}
	return Decision{Job: j.ID, Verdict: Wait, RetryAtMs: at}
}

const (
	surely = 0.9  // a site that is up, and likely to stay so for the work, is not waited for
	margin = 0.02 // by which a try has to be better than to wait, where it would be a guess
)

// pause is what is waited after a try that failed, where nothing else tells: doubled each time, up to a quarter of what
// the job has.
func (s Settings) pause(j Job) int64 {
	if j.FailedTries == 0 {
		return 0
	}
	most := max(s.PlanInterval.Milliseconds(), (j.Latest-j.Earliest)/4)
	return min(most, s.PlanInterval.Milliseconds()<<min(j.FailedTries, 20))
}
