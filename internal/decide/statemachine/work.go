package statemachine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

// Seen is what the dispatchers met at sites, pooled.
type Observed struct {
	States map[string]contact.State `json:"states"`
}

// Claim gives a dispatch to a life of a dispatcher. It gets a fence, higher than any before: who was given the same work
// earlier, and stood still meanwhile, is told from who has it now.
type Claim struct {
	Dispatch    string `json:"dispatch"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
}

// Ended is an owner's word on what became of its try.
type Outcome struct {
	Dispatch string `json:"dispatch"`
	Fence    uint64 `json:"fence"`
	Done     bool   `json:"done"` // the receiver has it; else nothing is known of the try
}

// Vacate takes a claim back, as its owner's lease is over.
type Reclaim struct {
	Dispatch string `json:"dispatch"`
	Fence    uint64 `json:"fence"`
}

// Drop gives a dispatch up.
type Drop struct {
	Dispatch string `json:"dispatch"`
	Reason   string `json:"why"`
}

// Progress is how far a dispatch has got.
type Progress string

// Progress of dispatches.
const (
	Free    Progress = "free"    // nobody has it
	Claimed Progress = "claimed" // its owner may be sending it
	Done    Progress = "done"    // the receiver has it
	Dropped Progress = "dropped" // it was given up
)

// Work is a dispatch in the record.
type DispatchState struct {
	Progress    Progress `json:"progress"`
	Owner       string   `json:"owner,omitempty"`
	Incarnation uint64   `json:"life,omitempty"`
	Fence       uint64   `json:"fence,omitempty"`
	LastTriedMs int64    `json:"tried_ms,omitempty"`
	Failures    int      `json:"fails,omitempty"`
	Reason      string   `json:"why,omitempty"`
	ChangedMs   int64    `json:"at_ms"`
}

// work carries out an entry on a dispatch.
func (s *State) work(e Entry) Result {
	name := ""
	switch {
	case e.Claim != nil:
		name = e.Claim.Dispatch
	case e.Outcome != nil:
		name = e.Outcome.Dispatch
	case e.Reclaim != nil:
		name = e.Reclaim.Dispatch
	default:
		name = e.Drop.Dispatch
	}
	_, planned := s.Book.Document.Rules.Dispatches[name]
	w, there := s.Dispatches[name]
	if !there {
		w.Progress = Free
	}
	over := w.Progress == Done || w.Progress == Dropped
	switch {
	case e.Claim != nil:
		if m, ok := s.Members[e.Claim.Name]; !planned || w.Progress != Free || !ok || m.Incarnation != e.Claim.Incarnation || e.Claim.Incarnation == 0 {
			return Result{Refused: "not to be claimed"}
		}
		s.LastFence++
		w.Progress, w.Owner, w.Incarnation, w.Fence, w.LastTriedMs = Claimed, e.Claim.Name, e.Claim.Incarnation, s.LastFence, e.At
	case e.Outcome != nil && e.Outcome.Done:
		if !there { // it was withdrawn meanwhile
			return Result{Refused: "no such dispatch"}
		}
		w.Progress, w.Reason = Done, "" // the receiver has it, whoever sent it
	case e.Outcome != nil:
		if w.Progress != Claimed || w.Fence != e.Outcome.Fence {
			return Result{Refused: "another has it by now"}
		}
		w.Progress, w.Failures = Free, w.Failures+1
	case e.Reclaim != nil:
		if w.Progress != Claimed || w.Fence != e.Reclaim.Fence {
			return Result{Refused: "another has it by now"}
		}
		w.Progress, w.Failures = Free, w.Failures+1
	default:
		if !planned || w.Progress == Claimed || over {
			return Result{Refused: "not to be given up"}
		}
		w.Progress, w.Reason = Dropped, e.Drop.Reason
	}
	w.ChangedMs = e.At
	s.Dispatches[name] = w
	s.tidyWork()
	return Result{}
}

// tidyWork forgets dispatches that were withdrawn, unless their owner may be sending them yet.
func (s *State) tidyWork() {
	maps.DeleteFunc(s.Dispatches, func(name string, w DispatchState) bool {
		_, planned := s.Book.Document.Rules.Dispatches[name]
		return !planned && w.Progress != Claimed
	})
}

// calendar is what operators know of a site.
func (s *State) calendar(site string) []contact.Span {
	var out []contact.Span
	for _, o := range s.Book.Document.Rules.Sites[site].Outages {
		out = append(out, contact.Span{From: o.From, Until: o.Until})
	}
	return out
}

// place is a site as plans see it.
type place struct {
	s    *State
	name string
	now  int64
}

func (p place) UpProbability(at int64) (float64, bool) {
	f := p.s.Contacts.Forecast(p.now, at, p.name, p.s.calendar(p.name))
	return f.UpProbability, f.HasEvidence
}

func (p place) StayUpProbability(at int64, d time.Duration) float64 {
	return p.s.Contacts.StayUpProbability(p.now, at, p.name, d)
}

func (p place) LastObservation() (bool, int64, int64) {
	x := p.s.Contacts.Sites[p.name]
	if x == nil {
		return false, 0, -1
	}
	return x.State == contact.Up, x.Since, x.Seen
}

// seenEvery is how often what is met at a site is written down where it stays as it is.
const seenEvery = time.Minute

// dueWork is what is due of sites and of planned work.
func (s *State) dueWork(w LeaderView) []Entry {
	var out []Entry
	met := map[string]contact.State{}
	for site, state := range w.SiteStates {
		if x := s.Contacts.Sites[site]; state != contact.Unknown && (x == nil || x.State != state || w.UnixMs-x.Seen >= seenEvery.Milliseconds()) {
			met[site] = state
		}
	}
	if len(met) > 0 {
		out = append(out, Entry{Observed: &Observed{States: met}})
	}
	var jobs []schedule.Job
	busy := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(s.Dispatches)) {
		if x := s.Dispatches[name]; x.Progress == Claimed {
			if w.Leases.HasLapsed(w.Now, x.Owner, x.Incarnation) {
				out = append(out, Entry{Reclaim: &Reclaim{Dispatch: name, Fence: x.Fence}})
			}
			busy[x.Owner]++
		}
	}
	for name, d := range s.Book.Document.Rules.Dispatches {
		x := s.Dispatches[name]
		if x.Progress == Done || x.Progress == Dropped {
			continue
		}
		jobs = append(jobs, schedule.Job{ID: name, Site: d.Site, Earliest: d.Earliest, Latest: d.Latest, Worth: d.Worth,
			ExpectedDuration: time.Duration(d.ExpectedDurationMs * float64(time.Millisecond)), LastTriedMs: x.LastTriedMs, FailedTries: x.Failures, InFlight: x.Progress == Claimed})
	}
	if len(jobs) == 0 {
		return out
	}
	steps := w.Schedule.Plan(w.UnixMs, jobs, func(site string) schedule.Site { return place{s, site, w.UnixMs} })
	for _, step := range steps {
		switch step.Verdict {
		case schedule.GiveUp:
			out = append(out, Entry{Drop: &Drop{Dispatch: step.Job, Reason: step.Reason}})
		case schedule.Try:
			if name := s.owner(w, step.Job, busy); name != "" {
				busy[name]++
				out = append(out, Entry{Claim: &Claim{Dispatch: step.Job, Name: name, Incarnation: s.Members[name].Incarnation}})
			}
		}
	}
	return out
}

// owner picks the dispatcher for a try: one that is heard and holds the present version, at the site itself where there
// is one, with the fewest claims; after a failure another one.
func (s *State) owner(w LeaderView, dispatch string, busy map[string]int) string {
	d := s.Book.Document.Rules.Dispatches[dispatch]
	var fit []string
	for name, m := range s.Members {
		if _, holds, heard := w.Leases.LastBeat(name, m.Incarnation); m.Incarnation != 0 && heard && holds == s.Book.Document.Head.Version && !w.Leases.HasLapsed(w.Now, name, m.Incarnation) {
			fit = append(fit, name)
		}
	}
	if len(fit) == 0 {
		return ""
	}
	last := s.Dispatches[dispatch].Owner
	rank := func(name string) (away, again int, h uint64) {
		f := fnv.New64a()
		f.Write([]byte(name + " " + dispatch))
		if s.Members[name].Site != d.Site {
			away = 1
		}
		if name == last {
			again = 1
		}
		return away, again, f.Sum64()
	}
	return slices.MinFunc(fit, func(a, b string) int {
		awayA, againA, hashA := rank(a)
		awayB, againB, hashB := rank(b)
		return cmp.Or(cmp.Compare(againA, againB), cmp.Compare(awayA, awayB), cmp.Compare(busy[a], busy[b]), cmp.Compare(hashA, hashB))
	})
}

// Tasks are the claims of one life of a dispatcher, in order of their names.
func (s *State) Tasks(name string, life uint64) []Task {
	var out []Task
	for _, d := range slices.Sorted(maps.Keys(s.Dispatches)) {
		x := s.Dispatches[d]
		if plan, ok := s.Book.Document.Rules.Dispatches[d]; ok && x.Progress == Claimed && x.Owner == name && x.Incarnation == life {
			out = append(out, Task{Dispatch: d, Fence: x.Fence, Work: plan})
		}
	}
	return out
}

// Task is a claim as its owner is told of it.
type Task struct {
	Dispatch string           `json:"dispatch"`
	Fence    uint64           `json:"fence"`
	Work     ruleset.Dispatch `json:"work"`
}

// Reach is what is known of a site.
type SiteStatus struct {
	State       string  `json:"state"` // as it was seen last: up or down
	SinceMs     int64   `json:"since_ms"`
	LastSeenMs  int64   `json:"seen_ms"`
	HasForecast bool    `json:"known"` // there is evidence enough to plan by it
	UpInAnHour  float64 `json:"in_an_hour"`
}

// Reached tells of all sites that were ever seen.
func (s *State) SiteStatuses(now int64) map[string]SiteStatus {
	out := map[string]SiteStatus{}
	for name, x := range s.Contacts.Sites {
		f := s.Contacts.Forecast(now, now+time.Hour.Milliseconds(), name, s.calendar(name))
		r := SiteStatus{State: "up", SinceMs: x.Since, LastSeenMs: x.Seen, HasForecast: f.HasEvidence, UpInAnHour: f.UpProbability}
		if x.State == contact.Down {
			r.State = "down"
		}
		out[name] = r
	}
	return out
}

// Lease is how long a lease a dispatcher at a site gets now. One at a site that is about to be cut off, by the operators'
// calendar or by a forecast that is known, gets the longest there is: it can't ask again for a while. What that does to D
// for this site is told with every answer about it.
func (s *State) LeaseLength(t lease.Terms, site string, now int64) time.Duration {
	if t.Longest <= t.Length || site == "" {
		return t.Length
	}
	soon := now + t.Longest.Milliseconds()
	for _, o := range s.calendar(site) {
		if o.From <= soon && now < o.Until {
			return t.Longest
		}
	}
	if f := s.Contacts.Forecast(now, soon, site, nil); f.HasEvidence && f.UpProbability < aboutToGo {
		return t.Longest
	}
	return t.Length
}

// aboutToGo is the chance to be reached under which a site counts as about to be cut off.
const aboutToGo = 0.5

// Bounds is D for the sites whose dispatchers get longer leases now.
func (s *State) StalenessBounds(t lease.Terms, now int64) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, m := range s.Members {
		if d := s.LeaseLength(t, m.Site, now); d > t.Length {
			out[m.Site] = t.StalenessBoundFor(d)
		}
	}
	return out
}
