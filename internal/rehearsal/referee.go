package rehearsal

import (
	"slices"
	"time"

	"merlinarch/logic"
)

// Rules counts how often each of the five rules was broken.
type Rules struct {
	Lost          int `json:"lost"`            // no answer in time from a running router, two answers, or another's answer
	Doubled       int `json:"doubled"`         // two attempts at once, or a retry or a refusal that the class forbids
	LateToDrained int `json:"late_to_drained"` // attempts sent to a draining or ended host after the grace
	PushedOver    int `json:"pushed_over"`     // cold hosts that failed under too much load
	OverCap       int `json:"over_cap"`        // attempts at an unreleased build beyond its cap, or of a closed class
}

// Broken returns the total number of violations.
func (r Rules) Broken() int {
	return r.Lost + r.Doubled + r.LateToDrained + r.PushedOver + r.OverCap
}

// Referee checks the rules. It observes what reaches hosts and clients and what the routers were sent, and never asks a
// router.
type Referee struct {
	w               *World
	rules           Rules
	views           []*view  // by router
	firstViolations []string // descriptions of the first few

	// Tolerances for live routers, whose messages and timers are a little late. They are 0 in virtual time.
	timeSlack    time.Duration
	attemptSlack float64 // attempts allowed beyond the cap
	capSlack     float64 // added to the cap itself

	harmByBuild   []float64 // worth that a build's failing answers destroyed
	trialAttempts []int     // by build, attempts while it was not released
}

// view is what one router has received, and what it did within the exposure window.
type view struct {
	release          ReleaseState
	previousCapUntil time.Duration // after a reduction the previous cap holds until then
	previousCap      float64
	notReadySince    map[int]time.Duration           // hosts that drain or are gone: when the router was informed
	accepted         []acceptedRequest               // requests within the window
	exposures        map[exposureKey][]time.Duration // attempts at unreleased builds within the window
	stalledUntil     time.Duration                   // when its latest stall ends or ended
}

// acceptedRequest is a request that a router accepted. It adds cap to the attempts allowed at build.
type acceptedRequest struct {
	at    time.Duration
	build int
	cap   float64
	class string
}

// exposureKey identifies a budget of attempts. The class is empty unless there is one for each class.
type exposureKey struct {
	build int
	class string
}

// tryRecord is the referee's state of a try.
type tryRecord struct {
	lastAttempt  *Attempt
	mayHaveRun   bool
	firstRunAt   time.Duration // when the first attempt that may have run was sent
	firstRunHost *Host
	answerCount  int
	answeredAt   time.Duration
}

func newReferee(w *World, live bool) *Referee {
	f := &Referee{w: w, harmByBuild: make([]float64, len(w.script.Releases)+1),
		trialAttempts: make([]int, len(w.script.Releases)+1)}
	if live {
		f.timeSlack, f.attemptSlack, f.capSlack = 50*time.Millisecond, 2, 0.04
	}
	for range w.script.Routers.Count {
		f.views = append(f.views, &view{})
	}
	return f
}

// recordViolation counts a violation and keeps a description of the first ones.
func (f *Referee) recordViolation(counter *int, what string, x *Try) {
	*counter++
	if len(f.firstViolations) < 20 {
		text := what
		if x != nil {
			text += " (" + x.ID() + ", " + x.Class() + ")"
		}
		f.firstViolations = append(f.firstViolations, f.w.queue.now.Round(time.Millisecond).String()+": "+text)
	}
}

// routerBooted resets the view of a router that starts with the given hosts and release state.
func (f *Referee) routerBooted(i int, known []Entry, release ReleaseState) {
	v := &view{release: release, notReadySince: map[int]time.Duration{}, exposures: map[exposureKey][]time.Duration{}}
	f.views[i] = v
	for _, e := range known {
		f.hostListed(i, e)
	}
}

// hostListed records when a router was informed that a host drains or is gone.
func (f *Referee) hostListed(i int, e Entry) {
	v := f.views[i]
	if e.State != logic.Ready && v.notReadySince[e.Host.ID] == 0 {
		v.notReadySince[e.Host.ID] = max(f.w.queue.now, 1)
	}
}

// releaseChanged records a release state that a router has received.
func (f *Referee) releaseChanged(i int, s ReleaseState) {
	v := f.views[i]
	if s.Build == v.release.Build && s.Cap < v.release.Cap { // a lower cap takes effect after the grace
		v.previousCap, v.previousCapUntil = v.release.Cap, f.w.queue.now+f.w.script.Hosts.DrainGrace+2*f.timeSlack
	} else if s.Build != v.release.Build {
		v.previousCapUntil = 0
	}
	v.release = s
}

// currentCap returns the fraction of its requests that a router may send to a build. open says that the build is
// released.
func (f *Referee) currentCap(v *view, build int) (part float64, stage int, open bool) {
	if build > v.release.Build { // not announced yet: as in the first stage
		return f.w.script.Launcher.Cap[0], 0, false
	}
	if build < v.release.Build || v.release.Phase == logic.Released {
		return 1, 0, true
	}
	part = v.release.Cap
	if f.w.queue.now < v.previousCapUntil {
		part = max(part, v.previousCap)
	}
	return part, v.release.Stage, false
}

// tryAccepted records a request that a router has accepted, and how much it adds to the attempts allowed at the build
// on trial, or at the next one if none is.
func (f *Referee) tryAccepted(x *Try) {
	v, now := f.views[x.Router], f.w.queue.now
	part, _, open := f.currentCap(v, v.release.Build)
	build := v.release.Build
	if open {
		part, build = f.w.script.Launcher.Cap[0], v.release.Build+1
	}
	for len(v.accepted) > 0 && v.accepted[0].at <= now-f.w.script.Launcher.Window-f.timeSlack {
		v.accepted = v.accepted[1:]
	}
	v.accepted = append(v.accepted, acceptedRequest{now, build, part, x.Class()})
}

// checkExposure checks an attempt at a build that is not released against the closed classes and the cap.
func (f *Referee) checkExposure(a *Attempt, v *view) {
	l, now := f.w.script.Launcher, f.w.queue.now
	part, stage, open := f.currentCap(v, a.Host.Build)
	if open {
		return
	}
	f.trialAttempts[a.Host.Build]++
	class := ""
	if l.PerClass {
		class = a.Try.Class()
	}
	if stage < l.Closed && a.Try.Repeat() != "safe" && part > 0 {
		f.recordViolation(&f.rules.OverCap, "a closed class at a build on trial", a.Try)
		return
	}
	key := exposureKey{a.Host.Build, class}
	sent := append(v.exposures[key], now)
	for sent[0] <= now-l.Window {
		sent = sent[1:]
	}
	v.exposures[key] = sent
	allowed := float64(l.Free) + f.attemptSlack + 1e-9
	for _, r := range v.accepted {
		if class != "" && r.class != class || r.at <= now-l.Window-f.timeSlack {
			continue
		}
		switch {
		case r.build == a.Host.Build:
			allowed += r.cap + f.capSlack
		case r.build < a.Host.Build:
			allowed += l.Cap[0] + f.capSlack
		}
	}
	if float64(len(sent)) > allowed {
		f.recordViolation(&f.rules.OverCap, "beyond the cap", a.Try)
	}
}

// attemptArrived checks an attempt that has reached a host.
func (f *Referee) attemptArrived(a *Attempt) {
	v, x, now := f.views[a.Router], a.Try, f.w.queue.now
	record, class := &x.record, x.Request.class
	if record.lastAttempt != nil && !record.lastAttempt.ended {
		f.checkOverlap(a, record.lastAttempt)
	}
	if record.answerCount > 0 && now > record.answeredAt+f.timeSlack {
		f.recordViolation(&f.rules.Doubled, "sent after its final answer", x)
	}
	if record.mayHaveRun {
		sameScope := class.Group == "all" || class.Group == "zone" && a.Host.Site == record.firstRunHost.Site ||
			class.Group == "cell" && a.Host.Cell == record.firstRunHost.Cell
		if class.Repeat == "unsafe" || class.Repeat == "keyed" && (!sameScope || now >= record.firstRunAt+class.Window) {
			f.recordViolation(&f.rules.Doubled, "repeated though it may have run", x)
		}
	}
	record.lastAttempt = a
	if at := v.notReadySince[a.Host.ID]; at > 0 && a.SentAt > at+f.w.script.Hosts.DrainGrace+f.timeSlack {
		f.recordViolation(&f.rules.LateToDrained, "sent to a host that drains or is gone", x)
	}
	f.checkExposure(a, v)
}

// checkOverlap records a violation if the earlier attempt has not ended. On sockets the end of one attempt and the
// start of the next arrive on two connections in any order, so a live one is given the slack to end.
func (f *Referee) checkOverlap(a, earlier *Attempt) {
	check := func() {
		if !earlier.ended {
			f.recordViolation(&f.rules.Doubled, "two attempts out at once", a.Try)
		}
	}
	if f.timeSlack > 0 {
		f.w.queue.after(f.timeSlack, check)
		return
	}
	check()
}

// attemptEnded records that an attempt may have run, and the harm that its reply does.
func (f *Referee) attemptEnded(a *Attempt, r Reply) {
	record := &a.Try.record
	if r != TurnedAway && !record.mayHaveRun {
		record.mayHaveRun, record.firstRunAt, record.firstRunHost = true, a.SentAt, a.Host
	}
	if b := a.Host.Build; b > 0 && (r == Wrong || r == Erred && a.Try.Repeat() != "safe") {
		f.harmByBuild[b] += a.Try.Request.class.Worth
	}
}

// hostOverloaded records that a cold host failed under too much load.
func (f *Referee) hostOverloaded(h *Host) {
	f.recordViolation(&f.rules.PushedOver, "a cold host fell", nil)
	f.w.addMark("a cold host fell", 0)
}

// tryAnswered checks a router's final answer.
func (f *Referee) tryAnswered(x *Try, a Answer) {
	record, class := &x.record, x.Request.class
	record.answerCount++
	record.answeredAt = f.w.queue.now
	switch {
	case record.answerCount > 1:
		f.recordViolation(&f.rules.Lost, "answered twice", x)
	case a.Mismatched:
		f.recordViolation(&f.rules.Lost, "served with another's answer", x)
	case a.Status == Refused && (record.mayHaveRun || record.lastAttempt != nil && !record.lastAttempt.ended) &&
		(class.Repeat == "unsafe" || class.Repeat == "keyed" && class.Group != "all"):
		f.recordViolation(&f.rules.Doubled, "refused though it may have run", x)
	}
}

// answeredLate records an answer that reached its client after it had given up. An answer delayed by a stall of its
// router is not a violation.
func (f *Referee) answeredLate(x *Try) {
	if f.views[x.Router].stalledUntil > x.SentAt {
		return
	}
	if x.record.answerCount == 1 && x.record.answeredAt <= x.Until { // sent in time, but too late to arrive in time
		f.recordViolation(&f.rules.Lost, "answered too late", x)
	}
}

// connectionDropped records a connection that a running router closed without an answer.
func (f *Referee) connectionDropped(x *Try) {
	if r := f.w.routers[x.Router]; r.up && r.incarnation == x.incarnation {
		f.recordViolation(&f.rules.Lost, "its connection was ended without an answer", x)
	}
}

// clientGaveUp records a client that gave up without an answer. It is not a violation if its router died or stalled
// meanwhile; a try that had not reached its router in time is not passed here.
func (f *Referee) clientGaveUp(x *Try) {
	v := f.views[x.Router]
	r := f.w.routers[x.Router]
	if x.record.answerCount > 0 || r.incarnation != x.incarnation || !r.up || v.stalledUntil > x.SentAt {
		return
	}
	f.recordViolation(&f.rules.Lost, "no answer", x)
}

// sortTries sorts tries by request and number, which makes the order of tries taken from a map deterministic.
func sortTries(list []*Try) {
	slices.SortFunc(list, func(a, b *Try) int {
		if a.Request.ID != b.Request.ID {
			return a.Request.ID - b.Request.ID
		}
		return a.Number - b.Number
	})
}
