// Package schedule decides when planned work is sent to sites with intermittent links: which dispatch (a piece of planned
// work) is tried now, which waits for a better time, and which is given up at once since it can't be finished in time.
//
// Like contact graph routing (CCSDS 734.20) it plans with contacts instead of links, but the contacts are forecast (package
// contact) instead of scheduled. A failed try has a cost, and waiting may lose the whole dispatch. A dispatch is therefore
// tried when a try now is worth more than the expected value of waiting, and the one that would be lost first goes first. A
// site that has become reachable again gets its backlog in limited amounts, since its servers are in slow start.
package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Job is a dispatch that is not done yet.
type Job struct {
	ID               string
	Site             string
	Earliest         int64 // Unix ms
	Latest           int64 // Unix ms by which it has to be done
	Worth            float64
	ExpectedDuration time.Duration // from its start to its end
	LastTriedMs      int64         // Unix ms of the last try; 0: never tried
	FailedTries      int           // tries that failed
	InFlight         bool          // a try is under way
}

// Settings holds the costs and bounds of planning.
type Settings struct {
	FailedTryCost  float64       // cost of a failed try, as a share of the job's worth
	PlanInterval   time.Duration // time between two plans
	LookAheadSteps int           // times compared between now and a job's latest start
	MaxInFlight    int           // concurrency limit of tries at one site after its slow start
	ColdPeriod     time.Duration // length of the slow start of a site that is reachable again
	ColdShare      float64       // share of MaxInFlight when a site is reachable again; it grows linearly to 1 during ColdPeriod
}

// DefaultSettings returns settings for sites with a few servers.
func DefaultSettings() Settings {
	return Settings{FailedTryCost: 0.05, PlanInterval: time.Second, LookAheadSteps: 24, MaxInFlight: 8, ColdPeriod: time.Minute, ColdShare: 0.25}
}

// Site gives the forecasts and observations of a site that a plan needs.
type Site interface {
	// UpProbability returns the probability that the site is reachable at a time, and whether it rests on evidence.
	UpProbability(at int64) (probability float64, hasEvidence bool)
	// StayUpProbability returns the probability that the site, reachable at a time, stays so for d.
	StayUpProbability(at int64, d time.Duration) float64
	// LastObservation returns whether the site was up when last observed, since when it has been in that state, and when it
	// was last observed, both in Unix ms.
	LastObservation() (up bool, since, at int64)
}

// Verdict is what to do with a job now.
type Verdict int

// The verdicts.
const (
	Wait Verdict = iota
	Try
	GiveUp
)

// Decision is the part of a plan for one job.
type Decision struct {
	Job       string
	Verdict   Verdict
	RetryAtMs int64  // for Wait: Unix ms of the next time to consider the job
	Reason    string // for GiveUp
}

// tryLimit returns how many tries may be in flight at a site, by the time since it became reachable. Without this limit the
// whole backlog would be sent at once to servers that have just started.
func (s Settings) tryLimit(site Site, now int64) int {
	up, since, _ := site.LastObservation()
	if !up {
		return 1 // a single try finds out whether the site is up
	}
	allowed := 1.0
	if age := time.Duration(now-since) * time.Millisecond; age < s.ColdPeriod {
		allowed = s.ColdShare + (1-s.ColdShare)*float64(age)/float64(s.ColdPeriod)
	}
	return max(1, int(float64(s.MaxInFlight)*allowed))
}

// expectedGain returns the expected value of a try at a time, which is the worth if the try completes less the cost if it
// fails, and the probability that it completes.
func (s Settings) expectedGain(j Job, site Site, at int64) (gain, chance float64) {
	p, _ := site.UpProbability(at)
	p *= site.StayUpProbability(at, j.ExpectedDuration)
	return p*j.Worth - (1-p)*s.FailedTryCost*math.Max(j.Worth, 1e-9), p
}

// Plan returns what to do now with each job that is not in flight. Jobs in flight count towards the limit of their sites.
func (s Settings) Plan(now int64, jobs []Job, site func(name string) Site) []Decision {
	var decisions []Decision
	inFlight := map[string]int{}
	var ready []Job
	for _, j := range jobs {
		switch {
		case j.InFlight:
			inFlight[j.Site]++
		case now+j.ExpectedDuration.Milliseconds() > j.Latest:
			decisions = append(decisions, Decision{Job: j.ID, Verdict: GiveUp, Reason: "it can't be done in time any more"})
		case now < j.Earliest:
			decisions = append(decisions, Decision{Job: j.ID, Verdict: Wait, RetryAtMs: j.Earliest})
		default:
			ready = append(ready, j)
		}
	}
	// The job with the earliest latest start goes first; of two with the same one, the one that is worth more.
	slices.SortFunc(ready, func(a, b Job) int {
		return cmp.Or(cmp.Compare(a.Latest-a.ExpectedDuration.Milliseconds(), b.Latest-b.ExpectedDuration.Milliseconds()),
			cmp.Compare(b.Worth, a.Worth), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range ready {
		x := site(j.Site)
		if inFlight[j.Site] >= s.tryLimit(x, now) { // no forecast is needed, which may take long
			decisions = append(decisions, Decision{Job: j.ID, Verdict: Wait, RetryAtMs: now + s.PlanInterval.Milliseconds()})
			continue
		}
		decision := s.decide(now, j, x)
		if decision.Verdict == Try {
			inFlight[j.Site]++
		}
		decisions = append(decisions, decision)
	}
	return decisions
}

// decide compares a try now with the best later time.
func (s Settings) decide(now int64, j Job, site Site) Decision {
	latestStart := j.Latest - j.ExpectedDuration.Milliseconds()
	up, _, seen := site.LastObservation()
	if j.LastTriedMs >= seen { // the site has not been observed since that try; if the try failed, the site counts as down
		up = false
	}
	gainNow, chance := s.expectedGain(j, site, now)
	_, hasEvidence := site.UpProbability(now)
	if !hasEvidence {
		// Without evidence: try if the site was last observed up, otherwise retry with exponential backoff.
		if up || j.FailedTries == 0 || now >= j.LastTriedMs+s.retryDelayMs(j) {
			return Decision{Job: j.ID, Verdict: Try}
		}
		return Decision{Job: j.ID, Verdict: Wait, RetryAtMs: min(latestStart, j.LastTriedMs+s.retryDelayMs(j))}
	}
	bestGain, bestAt := math.Inf(-1), now
	for i := 1; i <= s.LookAheadSteps; i++ {
		at := now + (latestStart-now)*int64(i)/int64(s.LookAheadSteps)
		if at <= now {
			continue
		}
		if gain, _ := s.expectedGain(j, site, at); gain > bestGain {
			bestGain, bestAt = gain, at
		}
	}
	// After a failed try, the later times are still available. So a try now risks only its cost, and is worth making if its
	// chance of success outweighs that. downSiteMargin allows for what may happen in between.
	later := math.Max(0, bestGain)
	tryNow := chance*j.Worth + (1-chance)*(later-s.FailedTryCost*j.Worth)
	switch {
	case up && tryNow >= later:
		return Decision{Job: j.ID, Verdict: Try}
	case up && chance >= confidentProbability:
		return Decision{Job: j.ID, Verdict: Try}
	case !up && gainNow > 0 && tryNow > later*(1+downSiteMargin) && now >= j.LastTriedMs+s.retryDelayMs(j):
		return Decision{Job: j.ID, Verdict: Try}
	case !up && latestStart-now <= s.PlanInterval.Milliseconds() && chance > s.FailedTryCost:
		return Decision{Job: j.ID, Verdict: Try} // the last opportunity
	}
	if bestAt <= now {
		bestAt = now + s.PlanInterval.Milliseconds()
	}
	return Decision{Job: j.ID, Verdict: Wait, RetryAtMs: bestAt}
}

const (
	confidentProbability = 0.9  // at this probability of completing, a job is not held back at a site that is up
	downSiteMargin       = 0.02 // relative margin by which a try has to be worth more than waiting if the site was not last observed up
)

// retryDelayMs returns the time to wait after a failed try if there is nothing else to go by. It doubles with each failure, up
// to a quarter of the job's time window.
func (s Settings) retryDelayMs(j Job) int64 {
	if j.FailedTries == 0 {
		return 0
	}
	longest := max(s.PlanInterval.Milliseconds(), (j.Latest-j.Earliest)/4)
	return min(longest, s.PlanInterval.Milliseconds()<<min(j.FailedTries, 20))
}
