package statemachine

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/schedule"
)

// Observed records whether dispatchers could reach sites, merged from all reports.
type Observed struct {
	States map[string]contact.State `json:"states"`
}

// Claim gives a dispatch to an incarnation of a dispatcher. Each claim gets a fencing token higher than any before, which
// distinguishes the present owner from an earlier one that was paused in the meantime.
type Claim struct {
	Dispatch    string `json:"dispatch"`
	Name        string `json:"name"`
	Incarnation uint64 `json:"life"`
	WindowMs    int64  `json:"window_ms,omitempty"` // see DispatchState
}

// Outcome is an owner's report on how its try ended.
type Outcome struct {
	Dispatch string `json:"dispatch"`
	Fence    uint64 `json:"fence"`
	Done     bool   `json:"done"`              // the receiver has it
	NotRun   bool   `json:"not_run,omitempty"` // the receiver certainly has not run it; without Done and NotRun the result is unknown
}

// Reclaim ends a claim because its owner's lease has expired.
type Reclaim struct {
	Dispatch string `json:"dispatch"`
	Fence    uint64 `json:"fence"`
}

// Drop gives up a dispatch.
type Drop struct {
	Dispatch string `json:"dispatch"`
	Reason   string `json:"why"`
}

// Progress is the state of a dispatch.
type Progress string

// States of a dispatch.
const (
	Free    Progress = "free"    // no dispatcher has claimed it
	Claimed Progress = "claimed" // its owner may be sending it
	Done    Progress = "done"    // the receiver has it
	Dropped Progress = "dropped" // it was given up, and has not run
	Unknown Progress = "unknown" // it may have run and can't be repeated safely: an operator has to find out
)

// AnyTime is the repeat window of classes that may be repeated at any time.
const AnyTime = -1

// repeatMarginMs is how long before the end of a repeat window no try begins any more, in milliseconds: a try takes time from
// its decision to its receiver, and the clocks of machines differ a little.
const repeatMarginMs = 1000

// DispatchState is a dispatch in the replicated state.
type DispatchState struct {
	Progress    Progress `json:"progress"`
	Owner       string   `json:"owner,omitempty"`
	Incarnation uint64   `json:"life,omitempty"` // of the owner
	Fence       uint64   `json:"fence,omitempty"`
	LastTriedMs int64    `json:"tried_ms,omitempty"`
	Failures    int      `json:"fails,omitempty"`
	Reason      string   `json:"why,omitempty"` // why it was given up
	ChangedMs   int64    `json:"at_ms"`

	// Receivers drop a repeat for WindowMs after a first try that may have run; AnyTime: always; zero: never. FirstTriedMs is
	// the earliest time at which bytes of such a try may have left, in Unix ms.
	WindowMs     int64 `json:"window_ms,omitempty"`
	FirstTriedMs int64 `json:"first_tried_ms,omitempty"`
	MayHaveRun   bool  `json:"may_have_run,omitempty"` // the result of a try that has ended is unknown

	// Generation is the least fence of a claim of the present work, and part of its key. Claims with lower fences are of work
	// of the same name that was withdrawn. Zero: there was none.
	Generation uint64 `json:"generation,omitempty"`
}

// repeatUntil returns the latest time at which a try may be sent, in Unix ms, and false if there is no limit.
func (d DispatchState) repeatUntil() (unixMs int64, limited bool) {
	if !d.MayHaveRun || d.WindowMs == AnyTime {
		return 0, false
	}
	return d.FirstTriedMs + d.WindowMs - repeatMarginMs, true
}

// withUnrecordedTries returns the state as this build would have it if an earlier one wrote it, which did not record when a
// try may have run: each failed try counts as one that can't be repeated safely any more.
func (d DispatchState) withUnrecordedTries() DispatchState {
	if d.FirstTriedMs == 0 && d.Failures > 0 {
		d.FirstTriedMs, d.MayHaveRun = d.LastTriedMs, true
	}
	return d
}

// isFinal reports whether nothing more is done for the dispatch.
func (d DispatchState) isFinal() bool {
	return d.Progress == Done || d.Progress == Dropped || d.Progress == Unknown
}

// claimIsOfEarlierWork reports whether the present claim is of work that was withdrawn.
func (d DispatchState) claimIsOfEarlierWork() bool { return d.Fence < d.Generation }

// applyDispatch applies an entry about a dispatch.
func (s *State) applyDispatch(e Entry) Result {
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
	_, planned := s.Ruleset.Document.Rules.Dispatches[name]
	dispatch, exists := s.Dispatches[name]
	if !exists {
		dispatch.Progress = Free
	}
	switch {
	case e.Claim != nil:
		if m, ok := s.Members[e.Claim.Name]; !planned || dispatch.Progress != Free || !ok || m.Incarnation != e.Claim.Incarnation || e.Claim.Incarnation == 0 {
			return Result{Refused: "not to be claimed"}
		}
		s.LastFence++
		dispatch.Progress, dispatch.Owner, dispatch.Incarnation, dispatch.Fence, dispatch.LastTriedMs = Claimed, e.Claim.Name, e.Claim.Incarnation, s.LastFence, e.At
		if !dispatch.MayHaveRun {
			dispatch.FirstTriedMs, dispatch.WindowMs = e.At, e.Claim.WindowMs
		}
		if !exists && s.isUsedName(name) {
			dispatch.Generation = dispatch.Fence
		}
	case e.Outcome != nil && e.Outcome.Done && e.Outcome.Fence >= dispatch.Generation:
		if !exists { // it was withdrawn in the meantime
			return Result{Refused: "no such dispatch"}
		}
		dispatch.Progress, dispatch.Reason = Done, "" // the receiver has it, whichever owner sent it
	case e.Outcome != nil:
		if !dispatch.endClaim(e.Outcome.Fence, !e.Outcome.NotRun) {
			return Result{Refused: "another has it by now"}
		}
	case e.Reclaim != nil:
		if !dispatch.endClaim(e.Reclaim.Fence, true) {
			return Result{Refused: "another has it by now"}
		}
	default:
		if !planned || dispatch.Progress == Claimed || dispatch.isFinal() {
			return Result{Refused: "not to be given up"}
		}
		dispatch.Progress, dispatch.Reason = Dropped, e.Drop.Reason
		if dispatch.MayHaveRun {
			dispatch.Progress = Unknown
		}
	}
	dispatch.ChangedMs = e.At
	s.Dispatches[name] = dispatch
	s.removeWithdrawn()
	return Result{}
}

// endClaim ends the claim with a fence, whose try was not a success, and reports whether it was the present one. The try counts
// only if it was one of the present work.
func (d *DispatchState) endClaim(fence uint64, mayHaveRun bool) bool {
	if d.Progress != Claimed || d.Fence != fence {
		return false
	}
	d.Progress = Free
	if !d.claimIsOfEarlierWork() {
		d.Failures++
		d.MayHaveRun = d.MayHaveRun || mayHaveRun
	}
	return true
}

// maxUsedNames bounds the names of withdrawn dispatches that are remembered.
const maxUsedNames = 4096

// rememberName records that receivers may know the key of a withdrawn dispatch.
func (s *State) rememberName(name string) {
	switch {
	case s.AllNamesUsed:
	case len(s.UsedNames) >= maxUsedNames:
		s.UsedNames, s.AllNamesUsed = nil, true
	case s.UsedNames == nil:
		s.UsedNames = map[string]struct{}{name: {}}
	default:
		s.UsedNames[name] = struct{}{}
	}
}

// isUsedName reports whether receivers may know the key of an earlier dispatch of this name.
func (s *State) isUsedName(name string) bool {
	_, used := s.UsedNames[name]
	return used || s.AllNamesUsed
}

// removeWithdrawn removes dispatches that were withdrawn, unless their owner may still be sending them. What is planned
// under the name of such a one is new work.
func (s *State) removeWithdrawn() {
	for name, dispatch := range s.Dispatches {
		if _, planned := s.Ruleset.Document.Rules.Dispatches[name]; planned {
			continue
		}
		if dispatch.Progress != Claimed {
			delete(s.Dispatches, name)
			if dispatch.Fence > 0 {
				s.rememberName(name)
			}
			continue
		}
		dispatch.Generation, dispatch.Failures, dispatch.MayHaveRun = s.LastFence+1, 0, false
		s.Dispatches[name] = dispatch
	}
}

// plannedOutages returns the outages of a site that operators have entered.
func (s *State) plannedOutages(site string) []contact.Span {
	var out []contact.Span
	for _, o := range s.Ruleset.Document.Rules.Sites[site].Outages {
		out = append(out, contact.Span{From: o.From, Until: o.Until})
	}
	return out
}

// observationInterval is the interval at which an unchanged state of a site is recorded.
const observationInterval = time.Minute

// dueDispatchEntries returns the entries about sites and dispatches that a leader should propose now.
func (s *State) dueDispatchEntries(view LeaderView) []Entry {
	var out []Entry
	observed := map[string]contact.State{}
	for site, state := range view.SiteStates {
		if observedSite := s.Forecaster.Sites[site]; state != contact.Unknown && (observedSite == nil || observedSite.State != state || view.UnixMs-observedSite.Seen >= observationInterval.Milliseconds()) {
			observed[site] = state
		}
	}
	if len(observed) > 0 && !view.ClockInDoubt {
		out = append(out, Entry{Observed: &Observed{States: observed}})
	}
	claims := map[string]int{}
	for _, name := range slices.Sorted(maps.Keys(s.Dispatches)) {
		if dispatch := s.Dispatches[name]; dispatch.Progress == Claimed {
			if view.Leases.HasLapsed(view.Now, dispatch.Owner, dispatch.Incarnation) {
				out = append(out, Entry{Reclaim: &Reclaim{Dispatch: name, Fence: dispatch.Fence}})
			}
			claims[dispatch.Owner]++
		}
	}
	if view.ClockInDoubt {
		return out
	}
	for _, decision := range s.currentDecisions(view.Plan) {
		switch decision.Verdict {
		case schedule.GiveUp:
			drop := Drop{Dispatch: decision.Job, Reason: decision.Reason}
			if s.Dispatches[decision.Job].MayHaveRun {
				drop.Reason = "a try has no known result, and its receivers may not drop a repeat any more"
			}
			out = append(out, Entry{Drop: &drop})
		case schedule.Try:
			if name := s.chooseOwner(view, decision.Job, claims); name != "" {
				claims[name]++
				out = append(out, Entry{Claim: &Claim{Dispatch: decision.Job, Name: name, Incarnation: s.Members[name].Incarnation,
					WindowMs: view.RepeatWindows[name][s.Ruleset.Document.Rules.Dispatches[decision.Job].Class]}})
			}
		}
	}
	return out
}

// chooseOwner returns the dispatcher for a try: one that has sent beats, does not drain, has applied the current version and
// holds a lease that may be in force. It prefers a dispatcher other than the last owner, then one at the site itself, then the one with
// the fewest claims. It returns an empty name if there is none.
func (s *State) chooseOwner(view LeaderView, dispatch string, claims map[string]int) string {
	d := s.Ruleset.Document.Rules.Dispatches[dispatch]
	var candidates []string
	for name, m := range s.Members {
		if _, held, reported := view.Leases.LastBeat(name, m.Incarnation); m.Incarnation != 0 && !view.Draining[name] && reported && held == s.Ruleset.Document.Head.Version && !view.Leases.HasLapsed(view.Now, name, m.Incarnation) {
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		return ""
	}
	lastOwner := s.Dispatches[dispatch].Owner
	rank := func(name string) (offSite, repeated int, hash uint64) {
		hasher := fnv.New64a()
		hasher.Write([]byte(name + " " + dispatch))
		if s.Members[name].Site != d.Site {
			offSite = 1
		}
		if name == lastOwner {
			repeated = 1
		}
		return offSite, repeated, hasher.Sum64()
	}
	return slices.MinFunc(candidates, func(a, b string) int {
		offSiteA, repeatedA, hashA := rank(a)
		offSiteB, repeatedB, hashB := rank(b)
		return cmp.Or(cmp.Compare(repeatedA, repeatedB), cmp.Compare(offSiteA, offSiteB), cmp.Compare(claims[a], claims[b]), cmp.Compare(hashA, hashB))
	})
}

// Tasks returns the claims of one incarnation of a dispatcher, sorted by dispatch.
func (s *State) Tasks(name string, incarnation uint64) []Task {
	var out []Task
	for _, d := range slices.Sorted(maps.Keys(s.Dispatches)) {
		x := s.Dispatches[d]
		if plan, ok := s.Ruleset.Document.Rules.Dispatches[d]; ok && x.Progress == Claimed && !x.claimIsOfEarlierWork() && x.Owner == name && x.Incarnation == incarnation {
			until, _ := x.repeatUntil()
			out = append(out, Task{Dispatch: d, Fence: x.Fence, Generation: x.Generation, RepeatUntilMs: until, Plan: plan})
		}
	}
	return out
}

// Task is a claim as it is sent to its owner.
type Task struct {
	Dispatch string           `json:"dispatch"`
	Fence    uint64           `json:"fence"`
	Plan     ruleset.Dispatch `json:"work"`

	RepeatUntilMs int64 `json:"repeat_until_ms,omitempty"` // Unix ms after which nothing may be sent, since an earlier try may have run; zero: no limit

	Generation uint64 `json:"generation,omitempty"` // distinguishes work that was planned under the name of withdrawn work
}

// Expired returns tasks that may not be sent any more, so that their owner gives back those that it has not begun.
func Expired(tasks []Task) []Task {
	for i := range tasks {
		tasks[i].RepeatUntilMs = 1
	}
	return tasks
}

// TimeLeft returns how long the task may still be sent, at unixMs of the registrars' time. It may be negative.
func (t Task) TimeLeft(unixMs int64) time.Duration {
	until := t.Plan.Latest
	if t.RepeatUntilMs > 0 {
		until = min(until, t.RepeatUntilMs)
	}
	if left := until - unixMs; left < math.MaxInt64/int64(time.Millisecond) {
		return time.Duration(left) * time.Millisecond
	}
	return math.MaxInt64
}

// DispatchStates returns a copy of the states of all dispatches, by name.
func (s *State) DispatchStates() map[string]DispatchState { return maps.Clone(s.Dispatches) }

// SiteStatus tells whether a site was reachable when last observed, and how likely it is to be reachable in an hour.
type SiteStatus struct {
	State       string  `json:"state"` // when last observed: up or down
	SinceMs     int64   `json:"since_ms"`
	LastSeenMs  int64   `json:"seen_ms"`
	HasForecast bool    `json:"known"`      // there is enough evidence for a forecast
	UpInAnHour  float64 `json:"in_an_hour"` // probability
}

// SiteStatuses returns the status of every site that was ever observed.
func (s *State) SiteStatuses(now int64) map[string]SiteStatus {
	out := map[string]SiteStatus{}
	for name, x := range s.Forecaster.Sites {
		f := s.Forecaster.Forecast(now, now+time.Hour.Milliseconds(), name, s.plannedOutages(name))
		r := SiteStatus{State: "up", SinceMs: x.Since, LastSeenMs: x.Seen, HasForecast: f.HasEvidence, UpInAnHour: f.UpProbability}
		if x.State == contact.Down {
			r.State = "down"
		}
		out[name] = r
	}
	return out
}

// LeaseLength returns the length of a lease that a dispatcher at a site gets now. At a site that is about to be cut off, by
// the operators' calendar or by a forecast with enough evidence, it is the longest one, since the dispatcher will not be
// able to renew it for a while. Every status of the cluster shows D for such a site (StalenessBounds).
func (s *State) LeaseLength(t lease.Terms, site string, now int64) time.Duration {
	if t.Longest <= t.Length || site == "" {
		return t.Length
	}
	horizon := now + t.Longest.Milliseconds()
	for _, o := range s.plannedOutages(site) {
		if o.From <= horizon && now < o.Until {
			return t.Longest
		}
	}
	if f := s.Forecaster.Forecast(now, horizon, site, nil); f.HasEvidence && f.UpProbability < cutOffThreshold {
		return t.Longest
	}
	return t.Length
}

// cutOffThreshold is the probability of being reachable below which a site counts as about to be cut off.
const cutOffThreshold = 0.5

// StalenessBounds returns D (lease.Terms.StalenessBound) for the sites whose dispatchers get longer leases now.
func (s *State) StalenessBounds(t lease.Terms, now int64) map[string]time.Duration {
	out := map[string]time.Duration{}
	for _, m := range s.Members {
		if d := s.LeaseLength(t, m.Site, now); d > t.Length {
			out[m.Site] = t.StalenessBoundFor(d)
		}
	}
	return out
}
