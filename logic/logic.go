// This file holds every decision of the router, its tables and its tuned values. Read api.go first: the
// settings, events and actions are there. report.go is only the codec of the messages between routers;
// what is kept between events is laid out in state.go. Neither decides anything.
//
// Order: tuned values; the router and its events; servers (list, health, cold ramp); builds and exposure;
// choice of a server; the life of a request; overload; evidence; the test; votes.
package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The design's values (docs/design.md). Level, margin, voters and the walk are fixed; the rest is open.
const (
	voters       = 3                      // voters a build, picked by hash
	margin       = 0.02                   // harm that the test lets pass
	level        = 0.01                   // the test rejects below this
	horizon      = 20                     // pooled trial outcomes at which a voter tests
	orderings    = 20                     // permuted orderings of the walk
	trialPart    = 0.8                    // first sends to the build on trial, as a part of the cap
	youngServer  = 3 * time.Second        // outcomes of servers younger than this are no evidence
	stageTimeout = 5 * time.Second        // after the newest machine's listing a voter tests what it has
	reportEvery  = 250 * time.Millisecond // counts go to the voters so often, or 8 times as rarely
	reportBytes  = 64                     // bytes of messages that a request pays for
)

const (
	tickEvery  = 50 * time.Millisecond
	stallAfter = 100 * time.Millisecond // a tick this late tells that the router stood still

	suspectChance = 0.01                   // a run of failures less likely than this makes a server suspect
	suspectFirst  = 500 * time.Millisecond // it is left alone this long, then twice, ... up to 16 times
	failsLeast    = 0.05                   // the least part of failures that counts as usual
	illLeast      = 3.0                    // failures that any routers saw at a server, for it to stand out
	illFade       = 0.975                  // of them, each tick: they count for about 2 s

	coldPart     = 0.85 // part of a cold server's fall budget that all routers together may use
	carriedOver  = 10.0 // seconds over which the rate of served requests is smoothed
	leastCarried = 0.25 // of the rate of requests: what counts as served in any case

	fewLeast, fewWithin = 6, 3.0 // servers that a lonely router keeps to, or its requests in so many seconds
	throws              = 6      // random draws of a server before a search
	crossLoad           = 6.0    // attempts in flight that one point of price is worth
	dearHandshake       = 0.05   // from this price on, a draw without an open connection is made once more
	nearLiking          = 8.0    // times the cross-zone price: the chance that one choice is a near server
	lateSpare           = 2.0    // the trial share falls by this times the part of late answers
	spillOver           = 1.3    // drawn requests go to the old build if new servers are so much busier
	stickySeen          = 2      // under forward-only keys met more often do not try a closed stage

	symptomStep  = 0.08                   // of the parts of attempts that show a symptom, each attempt
	idleLong     = 500 * time.Millisecond // connections unused for longer may have been dropped unseen
	lostMuch     = 0.2                    // of those on idle connections got no answer: they are dropped
	lostFade     = 0.997                  // of what was lost on them, each tick
	anywhereMuch = 0.5                    // of the errors come again elsewhere: they are the requests' own
	anywhereTry  = 0.1                    // then so many are tried again
	connectSlow  = 0.3                    // of the aim later on new connections: connecting is slow

	limitStart    = 3.0 // concurrency limit at start, attempts a server; half of it at least, of all routers
	limitCut      = 0.9
	lateBad       = 0.2 // part of answers over lateness that cuts the limit
	overShareEdge = 1.3 // a tenant is over its share beyond this multiple of its part

	livesMost = 16          // starts of a peer during one build whose counts are kept
	busyLife  = time.Second // attempts out that a peer told of count so long; told 10 times in it at most
	busyBytes = 512         // bytes of such messages that a request pays for
	busyHead  = 20          // bytes that any message costs besides its own

	guardEvery  = time.Second     // pause between the guards' tests
	guardErrors = 4               // fewer errors than this say nothing
	guardMargin = 0.003           // more errors than this, beyond the old build's, are harm
	spanLength  = time.Second     // the builds' errors are compared within spans of it
	spanFaith   = 5.0             // all earlier answers of the old build weigh as much as so many of the span
	loneFit     = 0.67            // with this part of its build's hosts fit, a failing host stands alone
	slowPart    = 0.75            // of the answers before a trial were faster than the mark
	marksLeast  = 4               // answers that make a mark
	slowMargin  = 0.2             // more slow answers than this, beyond the old build's, are harm
	fleetCap    = 0.4             // with less traffic a build hardly slows a fleet
	fleetTime   = 7 * time.Second // after the release; later slowness has other causes
	fleetMargin = 0.1             // more slow answers than before the trial by this are harm to the fleet
	fleetMiss   = 0.05            // slow answers are no harm while no more than this part misses the aim,
	fleetMuch   = 0.25            // but, in a trial, if so many more are slow and take so much of the aim
	busyDemand  = 1.3             // beyond this multiple of the usual requests, slowness is laid to them

	voteStagger = 1200 * time.Millisecond // a voter waits so long for each before it, a third for 'back'
	voteRetry   = 700 * time.Millisecond  // pause after a vote that did not count
	voteRenew   = 500 * time.Millisecond  // a vote is renewed this long before it lapses
)

// Handle takes one event and returns what is to be done; the slice is valid until the next call.
func (r *Router) Handle(now time.Duration, e Event) []Action {
	r.now, r.out = now, r.out[:0]
	switch {
	case !r.begun:
		r.begun, r.tickDue = true, now+tickEvery
		r.do(SetTimer{After: tickEvery, Token: 1})
		if r.s.WatchDiscovery {
			r.do(Watch{})
		}
	case now > r.tickDue+stallAfter:
		r.woke, r.tickDue = now, now
	}
	switch e := e.(type) {
	case ServersListed:
		r.listed(e)
	case RequestArrived:
		r.arrive(e)
	case AttemptDone:
		r.done(e)
	case ClientGone:
		if q := r.reqs[e.ID]; q != nil {
			r.forget(q)
		}
	case TimerFired:
		r.tick()
	case PeerMessage:
		r.hear(e)
	case AnswerDisputed:
		r.disputed(e)
	case ReleaseStatus:
		r.news(e)
	}
	return r.out
}

func (r *Router) do(a Action) { r.out = append(r.out, a) }

// tick does what only time brings: rates, the limit, the queue, reports and votes.
func (r *Router) tick() {
	r.tickDue = r.now + tickEvery
	r.do(SetTimer{After: tickEvery, Token: 1})
	r.ticks++
	step := max(tickEvery.Seconds()/2, 1/r.ticks) // a plain mean at first, then over about 2 s
	blend(&r.rate, step, r.arrived/tickEvery.Seconds())
	blend(&r.demand, step, (r.arrived-r.unserved)/tickEvery.Seconds())
	blend(&r.carried, max(tickEvery.Seconds()/carriedOver, 1/r.ticks), r.served/tickEvery.Seconds())
	r.arrived, r.unserved, r.served = 0, 0, 0
	for _, t := range r.tenants {
		blend(&t.rate, step, t.came/tickEvery.Seconds())
		t.came = 0
	}
	for _, s := range r.list {
		s.ill *= illFade
	}
	r.overdue()
	r.gate = r.coldGate(r.base)
	r.adjustLimit()
	r.drainQueue()
	if r.s.CanPost && r.s.RouterCount > 1 {
		r.report()
		r.share()
	}
	r.ballot()
}

// ---- Servers: the list, health and the cold ramp ----

func (r *Router) listed(e ServersListed) {
	if e.Failed { // only who asked is told of it
		r.do(Watch{})
		return
	}
	named := map[ServerID]bool{}
	for _, entry := range e.Servers {
		named[entry.ID] = true
		have := r.servers[entry.ID]
		switch {
		case entry.State == Gone:
			delete(r.servers, entry.ID)
		case have == nil:
			r.servers[entry.ID] = &server{Server: entry}
		case have.Build != entry.Build || have.Started != entry.Started: // restarted: its past is void
			have.health, have.spent, have.Server = health{}, 0, entry
		default:
			have.State, have.Weight = entry.State, entry.Weight
			continue
		}
		if entry.Build >= r.rel.Build {
			r.listedAt = r.now
		}
	}
	r.list, r.heaviest, r.ready = r.list[:0], 0, 0
	clear(r.short)
	for id, s := range r.servers {
		if e.Full && !named[id] {
			delete(r.servers, id)
			continue
		}
		r.list, r.heaviest = append(r.list, s), max(r.heaviest, s.Weight)
		r.ready += int(count(s.State == Ready))
	}
	slices.SortFunc(r.list, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range r.list {
		r.short[shortID(s.ID)] = s
	}
	r.limit = cmp.Or(r.limit, limitStart*float64(len(r.list)))
	r.regroup()
	r.drainQueue()
}

// coldRoom tells whether a cold server may get one more request. Danger: all routers together push a
// server that has just started over. Each router uses at most coldPart of the stated multiple of what the
// servers serve it on average, so the sum stays within the budget whatever the routers' shares are.
func (r *Router) coldRoom(s *server, spend bool) bool {
	ramp := r.ramp(s)
	if ramp >= 1 || len(r.list) == 0 {
		return true
	}
	rate := ramp * r.coldRate() * r.groupOf(s.Build).spread() // others keep away
	depth := max(1, rate*r.s.OverloadTime.Seconds()/8)
	s.spent = max(0, s.spent-rate*(r.now-s.spentAt).Seconds())
	s.spentAt = r.now
	if spend {
		s.spent++
	}
	return s.spent+1 <= depth+1e-9
}

// coldRate is what this router may send to a server a second, by the part of its capacity that it has.
func (r *Router) coldRate() float64 {
	places := max(1, len(r.base.all), len(r.trial.all))
	if r.s.Rollout.RollingUpdate {
		places = max(places, r.ready)
	}
	return coldPart * r.s.OverloadMultiple * max(r.carried, leastCarried*r.rate) / float64(places)
}

// coldGate is the part of its requests that a router may send to a group with cold servers in it. Danger: of
// many routers each has room for a first request, and where few servers are left all turn to them.
func (r *Router) coldGate(g group) float64 {
	sum := 0.0
	for _, s := range g.all {
		sum += r.ramp(s)
	}
	return sum * r.coldRate() / max(r.rate, 1e-9)
}

// blame notes a failure that may be the server's own. Danger: a server that fails at once looks idle and
// draws traffic; a silent one holds it. Covers dead, silent, cut-off and failing servers alike. Danger:
// requests that fail anywhere would pause all, so a run must be unlikely at the usual part of failures.
func (r *Router) blame(s *server, sure bool) {
	if s.fails++; sure || math.Pow(max(r.failing, failsLeast), float64(s.fails)) < suspectChance {
		s.pause = min(max(2*s.pause, suspectFirst), 16*suspectFirst)
		s.until = r.now + s.pause
	}
}

// ailing notes a failure that this router or another has seen. Danger: a router of a large fleet meets a
// server seldom; when it has learnt for itself that one fails, each of the others has too, at a request of
// its own. One that stands out from its build is left alone by all, each for a time of its own, else they
// would all come back at once. It hurts where chance makes a sound server stand out; if all of a build fail,
// none does.
func (r *Router) ailing(s *server, erred bool) {
	s.ill++
	s.erred += float64(count(erred))
	g := r.groupOf(s.Build)
	if r.now > s.shun+16*suspectFirst {
		s.shunFor = 0
	}
	known := s.shunFor > 0 || r.standsOut(s) // a circuit breaker: half open, one failure is enough
	if s.shun > r.now || !known || float64(r.fitOf(g)) < loneFit*float64(len(g.all)) {
		return
	}
	s.shunFor = min(max(2*s.shunFor, suspectFirst), 16*suspectFirst)
	s.shun = r.now + s.shunFor/2 + time.Duration(r.rng.Int64N(int64(s.shunFor)))
	if r.apart() { // Danger: a new build's sick hosts are met anew, the old one's are left alone by then
		r.takeBack(s)
	}
}

// standsOut tells that so many failures of late at a server are unlikely, as often as its build's fail.
func (r *Router) standsOut(s *server) bool {
	g, sum := r.groupOf(s.Build), 0.0
	for _, other := range g.all {
		sum += other.ill
	}
	return s.ill >= illLeast && tail(sum/float64(max(1, len(g.all))), uint32(s.ill)) < suspectChance
}

// ---- Builds and exposure ----

// trialCap is the cap and stage that bind for a build that is not released.
func (r *Router) trialCap(build BuildID) (float64, int) {
	if build == r.rel.Build || len(r.s.Rollout.StageCap) == 0 {
		return r.rel.Cap, r.rel.Stage
	}
	return r.s.Rollout.StageCap[0], 0 // not yet named: counts as in the first stage
}

// onTrial tells whether the rule on exposure binds a build. Nothing is sent before the first news.
func (r *Router) onTrial(b BuildID) bool {
	return b > r.rel.Build || b == r.rel.Build && r.rel.Phase != Released
}

// mayTry tells whether an attempt of this class may go to the build on trial now, and takes it if asked.
func (r *Router) mayTry(build BuildID, c *class, take bool) bool {
	limit, stage := r.trialCap(build)
	if limit <= 0 || stage < r.s.Rollout.ClosedStages && c.Repeatability != Safe {
		return false
	}
	b := r.budget(build, c)
	if b.earned >= 1 {
		b.earned -= float64(count(take))
		return true
	}
	old := r.now - r.s.Rollout.ExposureWindow - r.s.ClockResolution
	i := slices.IndexFunc(b.slots, func(used time.Duration) bool { return used < old })
	if i >= 0 && take {
		b.slots[i] = r.now
	}
	return i >= 0
}

// regroup sorts the servers into those of the base build and those of the build on trial.
func (r *Router) regroup() {
	r.base, r.trial, r.trialID = group{}, group{}, 0
	var baseID BuildID
	for _, s := range r.list {
		if s.State != Ready {
			continue
		}
		switch {
		case r.onTrial(s.Build):
			r.trialID = max(r.trialID, s.Build)
		case baseID == 0, r.bad[baseID] && !r.bad[s.Build],
			r.bad[baseID] == r.bad[s.Build] && s.Build > baseID:
			baseID = s.Build
		}
	}
	if r.relKnown && r.rel.Phase == OnTrial {
		r.trialID = r.rel.Build
	}
	for _, s := range r.list {
		if s.State == Ready && s.Build == baseID {
			r.base.add(s, r.s.Zone)
		} else if s.State == Ready && r.trialID != 0 && s.Build == r.trialID {
			r.trial.add(s, r.s.Zone)
		}
	}
	r.base.some, r.trial.some = r.few(r.base.all), r.few(r.trial.all)
	r.gate = r.coldGate(r.base)
}

// few picks the servers that a router without peers' news keeps to, by a hash of its own. Danger: an idle
// router that meets a whole large fleet connects anew each time, and never learns which servers are silent.
func (r *Router) few(group []*server) []*server {
	n := max(fewLeast, int(r.rate*fewWithin))
	if !r.alone || n >= len(group) {
		return group
	}
	own := slices.Clone(group)
	slices.SortFunc(own, func(a, b *server) int {
		return cmp.Compare(hash(uint64(a.ID), uint64(r.s.Self)), hash(uint64(b.ID), uint64(r.s.Self)))
	})
	return own[:n]
}

// trialChance is the chance that a first request tries the build on trial: the design's share of the cap.
// Exception, where the new machines are too few or too cold to carry that: their part of the fleet.
func (r *Router) trialChance(c *class) float64 {
	limit, stage := r.trialCap(r.trialID)
	if stage < r.s.Rollout.ClosedStages && c.Repeatability != Safe {
		return 0
	}
	places, fresh := float64(r.fitOf(r.base)), 0.0
	if places == 0 {
		return 1
	}
	for _, s := range r.trial.all {
		if s.fit(r.now) && r.coldRoom(s, false) { // else the few warm ones would get the others' part
			fresh += r.ramp(s)
		}
	}
	if r.alone { // busier servers would pass for a worse build, and no spill evens them out without news
		places += fresh
		fresh *= max(0, 1-lateSpare*r.lateness) // where much is late, a little slower is much later
	} else if r.s.Rollout.RollingUpdate {
		places += float64(len(r.trial.all))
	}
	return min(trialPart*limit, fresh/places)
}

// ---- Choice of a server ----

// load is what two choices compare: attempts in flight, by size and warmth.
func (r *Router) load(s *server) float64 {
	l := float64(s.inFlight+s.peerBusy) / r.capacity(s)
	if s.Zone != r.s.Zone {
		l += crossLoad * r.s.CrossZoneCost
	}
	return l + crossLoad*r.s.HandshakeCost*float64(count(!r.connected(s)))
}

// pick makes two random choices among the usable servers of a group, one of them near, and takes the less
// loaded; suspects only where nothing else is left.
func (r *Router) pick(g group, q *request) *server {
	a := cmp.Or(r.throw(g.some, q, false), r.throw(g.all, q, false))
	suspects := a == nil && q.attempts == 0 // once only, else repeats storm where all refuse
	if suspects {
		a = r.throw(g.all, q, true)
	}
	b := r.throw(g.some, q, suspects)
	if r.rng.Float64() < nearLiking*r.s.CrossZoneCost {
		b = cmp.Or(r.throw(g.near, q, suspects), b)
	}
	if a == nil || b != nil && r.load(b) <= r.load(a) {
		return b
	}
	return a
}

// throw draws a usable server by chance in step with what each can do now, and searches if that fails. Danger
// otherwise: routers that see nothing in flight would together all prefer the largest and warmest.
func (r *Router) throw(servers []*server, q *request, suspects bool) *server {
	usable := func(s *server) bool {
		well := s != q.server && s.fit(r.now)
		let := r.ramp(s) >= 1 || q.luck < r.gate || q.draw && r.onTrial(s.Build) // through the gate
		return (well || suspects) && let && r.repeatOK(q, s) && r.coldRoom(s, false)
	}
	var unmet *server
	for range min(throws, len(servers)) {
		s := servers[r.rng.IntN(len(servers))]
		if r.rng.Float64()*r.heaviest >= r.capacity(s) || !usable(s) {
			continue
		}
		if unmet != nil || r.s.HandshakeCost < dearHandshake || r.connected(s) {
			return s
		}
		unmet = s // Danger: each of many routers would open connections to each of many servers
	}
	if unmet != nil {
		return unmet
	}
	from := r.rng.IntN(max(1, len(servers)))
	for i := range servers {
		if s := servers[(from+i)%len(servers)]; usable(s) {
			return s
		}
	}
	return nil
}

// repeatOK tells whether an attempt here would keep to the request's zone and to the rule on repeats.
func (r *Router) repeatOK(q *request, s *server) bool {
	over := q.class.Repeatability == Unsafe || r.now+r.s.ClockResolution >= q.repeatBy()
	same := q.class.DedupScope == ScopeAll || q.class.DedupScope == ScopeZone && s.Zone == q.ranOn.Zone ||
		q.class.DedupScope == ScopeCell && s.Cell == q.ranOn.Cell
	return (q.RequiredZone == "" || s.Zone == q.RequiredZone) && (!q.mayRan || q.class.Repeatability == Safe || !over && same)
}

// choose finds the server for a request's next attempt, or nil where it has to wait.
func (r *Router) choose(q *request) *server {
	floor := r.pinnedTo(q)
	wanted := floor == r.trialID || q.draw && q.attempts == 0
	if len(r.trial.all) > 0 && wanted && r.mayTry(r.trialID, q.class, false) {
		s, o := r.pick(r.trial, q), r.pick(r.base, q)
		if s != nil && o != nil && floor == 0 && r.load(s) > spillOver*(1+r.load(o)) {
			return o // busier servers would pass for a worse build
		}
		if s != nil {
			return s
		}
	}
	// Danger: a stale list names servers long gone; where none is fit, the build on trial serves in its cap.
	if r.fitOf(r.base) == 0 && r.fitOf(r.trial) > 0 && r.mayTry(r.trialID, q.class, false) {
		return r.pick(r.trial, q)
	}
	if len(r.base.all) > 0 && r.base.all[0].Build >= floor {
		return r.pick(r.base, q)
	}
	return nil
}

// pinnedTo is the lowest build that may serve the request's key (forward-only).
func (r *Router) pinnedTo(q *request) BuildID {
	if !r.s.Rollout.ForwardOnly || !q.HasKey {
		return 0
	}
	return r.sticky[q.Key] * BuildID(count(!r.bad[r.sticky[q.Key]]))
}

// ---- The life of a request ----

func (r *Router) arrive(e RequestArrived) {
	c := r.classes[e.Class]
	if c == nil { // a class outside the settings is treated as the strictest
		c = &class{Class: Class{Name: e.Class, Repeatability: Unsafe, LatencyTarget: e.TimeLeft, Deadline: e.TimeLeft, Worth: 1}}
	}
	q := &request{RequestArrived: e, class: c, arrived: r.now, deadline: r.now + e.TimeLeft, order: c.Worth}
	r.reqs[e.ID], q.luck = q, r.rng.Float64()
	r.arrived++
	r.unserved += float64(count(e.MarkedRetry)) // of a request that was counted before
	if t := r.tenants[e.Tenant]; t != nil {
		t.came++
		if t.rate > overShareEdge*t.part*r.rate {
			q.order *= r.s.OverShareWorth
		}
	}
	if limit, _ := r.trialCap(r.trialID); r.trialID != 0 { // every request earns its part of an attempt
		r.budget(r.trialID, c).earn(limit)
	}
	r.draw(q)
	if !r.try(q) {
		r.hold(q)
	}
}

// draw decides by chance whether a first request tries the build on trial. Exception under forward-only:
// bound keys count first, and popular ones stay out of closed stages: their writes could then go nowhere.
func (r *Router) draw(q *request) {
	if r.trialID == 0 {
		return
	}
	chance := r.trialChance(q.class)
	if r.s.Rollout.ForwardOnly && q.HasKey {
		r.seen[q.Key]++
		pinned := r.sticky[q.Key] == r.trialID
		if blend(&q.class.pinned, 0.02, float64(count(pinned))); pinned {
			return
		}
		if _, stage := r.trialCap(r.trialID); stage < r.s.Rollout.ClosedStages && r.seen[q.Key] > stickySeen {
			return
		}
		chance = max(0, chance-q.class.pinned)
	}
	q.draw = r.rng.Float64() < chance
}

// try sends the next attempt if the limit and the rules leave a server for it.
func (r *Router) try(q *request) bool {
	if !r.relKnown || float64(r.inFlight) >= r.limit {
		return false
	}
	s := r.choose(q)
	if s == nil {
		return false
	}
	if q.sentRel, q.sentTrial = r.rel, r.onTrial(s.Build); q.sentTrial {
		r.mayTry(s.Build, q.class, true)
	}
	r.coldRoom(s, true)
	q.connects = !r.connected(s)
	q.idle = s.inFlight == 0 && !q.connects && r.now > s.usedAt+idleLong
	if q.idle && r.reaped() {
		r.do(Close{Server: s.ID})
		q.idle, q.connects = false, true
	}
	s.usedAt = r.now
	q.server, q.to, q.sentAt, q.out, q.overdue = s, s.Server, r.now, true, false
	q.attempts++
	s.inFlight++
	r.inFlight++
	r.do(Send{ID: q.ID, Server: s.ID, SendBy: q.repeatBy(), ForwardOnly: r.s.Rollout.ForwardOnly && q.HasKey})
	return true
}

func (r *Router) done(e AttemptDone) {
	q := r.reqs[e.ID]
	if q == nil || !q.out || e.Attempt != q.attempts-1 {
		return
	}
	s := q.server
	q.out = false
	s.inFlight--
	r.inFlight--
	s.usedAt = r.now * time.Duration(count(e.Outcome != ConnectFailed)) // 0: none is open
	if !q.overdue {
		gone := count(e.Outcome == TimedOut || e.Outcome == Reset)
		blend(&r.lost[count(q.idle)], symptomStep, float64(gone))
	}
	if r.now != r.woke { // Danger: a router that stood still finds its news late, and would blame others
		r.judgeServer(s, q, e)
		if e.Attempt > 0 {
			r.second(q, &e.Outcome)
		} else {
			r.evidence(q, e)
		}
	}
	if e.Outcome == OK {
		r.served++
		if !q.sentTrial { // else a slow build would pass for slow connecting
			blend(&r.slowness[count(q.connects)], symptomStep, e.Duration.Seconds()/q.class.LatencyTarget.Seconds())
		}
		blend(&q.class.took, 0.05, e.Duration.Seconds())
	}
	if q.HasKey && r.s.Rollout.ForwardOnly && (e.Outcome == OK || e.AnswerBegun) {
		r.sticky[q.Key] = max(r.sticky[q.Key], q.to.Build)
	}
	if e.Outcome.MayHaveRun() && !q.mayRan {
		q.mayRan, q.ranAt, q.ranOn = true, q.sentAt, q.to
	}
	if e.RequestEnded || q.ended {
		delete(r.reqs, q.ID)
	} else {
		r.again(q, e.Outcome)
	}
	r.drainQueue()
}

// connected tells that a connection to a server should be open.
func (r *Router) connected(s *server) bool {
	return s.usedAt > 0 && r.now <= s.usedAt+r.s.ConnIdleTimeout
}

// reaped tells that idle connections are dropped unseen: much more is lost on them than on others. They are
// closed before a send then, and silent servers show at the connect; it costs handshakes meanwhile.
func (r *Router) reaped() bool { return r.lost[1] > lostMuch && r.lost[1] > 2*r.lost[0] }

// overdue counts attempts past their aim as missing at once, since a silent loss shows only at the deadline.
func (r *Router) overdue() {
	n := [2]int{}
	for _, q := range r.reqs {
		if q.out && !q.overdue && r.now > q.sentAt+q.class.LatencyTarget {
			q.overdue = true
			n[count(q.idle)]++
		}
	}
	for i := range r.lost {
		blend(&r.lost[i], 1-math.Pow(1-symptomStep, float64(n[i])), 1)
	}
	r.lost[1] *= lostFade
}

// connectsSlow tells that answers on new connections come much later: new servers would pass for a bad build.
func (r *Router) connectsSlow() bool {
	return r.slowness[0] > 0 && r.slowness[1] > r.slowness[0]+connectSlow
}

// judgeServer draws what an outcome says of the server and of the load.
func (r *Router) judgeServer(s *server, q *request, e AttemptDone) {
	blend(&r.failing, symptomStep/4, float64(count(e.Outcome == TimedOut || e.Outcome == ServerError)))
	switch e.Outcome {
	case OK:
		if s.fails, s.pause, s.until = 0, 0, 0; s.shun > 0 && !r.standsOut(s) {
			s.shun, s.shunFor = 0, 0
		}
	case ConnectFailed, Reset, Rejected:
		r.blame(s, true)
	case TimedOut, ServerError:
		r.blame(s, false)
	}
	if e.Outcome == ConnectFailed || e.Outcome == Reset || e.Outcome == TimedOut || e.Outcome == ServerError {
		s.failed, s.failedErr = true, s.failedErr || e.Outcome == ServerError
		r.ailing(s, e.Outcome == ServerError)
	}
	if q.sentTrial && len(r.base.all) > 0 {
		return
	}
	late := count(e.Outcome == Rejected || e.Outcome == TimedOut || e.Duration > q.class.LatencyTarget*8/10)
	r.answers, r.late = r.answers+1, r.late+float64(late)
	blend(&r.lateness, symptomStep, float64(late))
}

// again tries a request once more where its class permits it, or gives the final answer at once.
func (r *Router) again(q *request, o Outcome) {
	vain := q.attempts > 1 || r.anywhere > anywhereMuch && !q.sentTrial && q.luck > anywhereTry
	spent := o == ServerError && vain || q.attempts >= r.s.MaxAttempts || q.mayRan && q.class.Repeatability == Unsafe
	if spent || r.deadlineNear(q) {
		r.finish(q)
	} else if !r.try(q) {
		r.hold(q)
	}
}

func (r *Router) deadlineNear(q *request) bool { return r.now+2*tickEvery >= q.deadline }

// finish gives the final answer: a refusal where trying again is harmless, else a failure.
func (r *Router) finish(q *request) {
	if !q.mayRan || q.class.Repeatability == Safe || q.class.DedupScope == ScopeAll && r.now < q.repeatBy() {
		r.do(Refuse{ID: q.ID, RetryAfter: r.s.MaxRetryAfter / 2})
	} else {
		r.do(Fail{ID: q.ID})
	}
	r.forget(q)
}

// forget drops a request that has ended; one with an attempt still out is kept for its outcome.
func (r *Router) forget(q *request) {
	q.ended = true
	r.second(q, nil)
	r.unserved += float64(count(!r.s.MarksRetry)) // its client may well come again
	if !q.out {
		delete(r.reqs, q.ID)
	} else if r.s.CanCancel { // nobody waits for what its server may still have to do
		r.do(Cancel{ID: q.ID, Attempt: q.attempts - 1})
	}
}

// ---- Overload: the limit and the queue ----

// adjustLimit bounds the attempts out by how quickly answers come: late ones cut it, timely ones raise it.
func (r *Router) adjustLimit() {
	if r.answers < 5 {
		return
	}
	if r.late > lateBad*r.answers {
		r.limit = limitCut * min(r.limit, limitStart*max(1, float64(r.inFlight)))
	} else if float64(r.inFlight) > 0.7*r.limit {
		r.limit++
	}
	r.limit = max(r.limit, 2, limitStart/2*float64(len(r.list))/float64(max(1, r.s.RouterCount)))
	r.answers, r.late = 0, 0
}

// hold queues a request, dearest first. Danger: no tick may come in what time its client leaves; end it then.
func (r *Router) hold(q *request) {
	if r.deadlineNear(q) {
		r.finish(q)
		return
	}
	i, _ := slices.BinarySearchFunc(r.waiting, q, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.order, a.order), cmp.Compare(a.arrived, b.arrived))
	})
	r.waiting = slices.Insert(r.waiting, i, q)
}

// drainQueue sends what can go and ends at once what can no longer be served in time; and what is worth least
// where more is held than there is room for, else the next ones would be refused unseen. Danger: where no
// server may be used, a search for each that waits takes all the time; one tries for all that fare alike.
func (r *Router) drainQueue() {
	room := cmp.Or(r.s.MaxOpenRequests, math.MaxInt) - r.inFlight
	r.pass++
	r.waiting = slices.DeleteFunc(r.waiting, func(q *request) bool {
		room--
		wait := min(q.class.LatencyTarget, q.TimeLeft>>count(q.attempts == 0)-tickEvery) // unsent: half its time
		late := r.deadlineNear(q) || r.now+time.Duration(q.class.took*1e9) > q.arrived+wait
		if !q.ended && (late || room < 0) {
			r.finish(q)
		}
		stuck := &q.class.stuck[count(q.draw)+2*count(q.luck < r.gate)+4*count(r.sticky[q.Key] == r.trialID)]
		if q.ended || (q.attempts > 0 || *stuck != r.pass) && r.try(q) {
			return true
		}
		*stuck = max(*stuck, r.pass*uint64(count(q.attempts == 0)))
		return false
	})
}

// ---- Evidence ----

// evidence counts a first attempt of a class allowed at the present stage, in both arms alike, so that the
// mix of classes is no harm. Servers that may be cold do not count. Counts go on after the release.
func (r *Router) evidence(q *request, e AttemptDone) {
	c, took := q.class, e.Duration.Seconds()
	if q.sentRel.Phase != OnTrial && e.Outcome == OK {
		c.times[c.next%len(c.times)] = took
		c.next++
	}
	closed := r.rel.Phase == OnTrial && r.rel.Stage < r.s.Rollout.ClosedStages && c.Repeatability != Safe
	group := r.groupOf(q.to.Build)
	// Danger: one sick host passes for a bad build. What a host fails in a row is its own doing while most of
	// its build are fit, and so is what it fails far more than they, if some old ones do too; a build's first
	// hosts may stand out by the build's doing. Connecting is no build's, be it slow or in vain.
	lone := (q.server.until > r.now || q.server.shun > r.now && r.apart()) &&
		float64(r.fitOf(group)) >= loneFit*float64(len(group.all))
	unheard := e.Outcome == ConnectFailed || lone || q.connects && r.connectsSlow()
	young := q.to.Started != 0 && q.sentAt < q.to.Started+youngServer
	if e.Outcome == Cancelled || e.Outcome == NotSent || unheard || closed || young ||
		q.sentRel.Build != r.rel.Build {
		return
	}
	timed := c.mark > 0 && !(r.alone && q.connects) // met anew at nearly all requests
	one := Arm{Attempts: 1, Missed: count(e.Outcome != OK || e.Duration > c.LatencyTarget), Errors: count(e.Outcome == ServerError),
		Measured: count(timed), Slow: count(timed && took > c.mark)}
	q.first = first{Arm: one, build: q.to.Build, rel: q.sentRel}
	if e.Outcome != OK {
		q.first.failed = q.server
	}
	if one.Errors == 0 {
		r.tally(q)
	}
}

// second judges an error by how the request fared at another server: where it failed there too, the request
// is at fault and does not count. Danger: requests that fail anywhere pass for a burst, and for a bad build.
// Nor does one that a second try could judge and has not (o nil), or where most are the requests' own. It
// hurts where a build fails nearly all of a class after its release: fewer of its errors count.
func (r *Router) second(q *request, o *Outcome) {
	if q.first.Errors == 0 {
		return
	}
	own := r.anywhere > anywhereMuch || q.class.Repeatability != Unsafe
	fresh := len(r.base.all) == 0 || r.rel.Phase == Released && r.now < r.stageAt+fleetTime // no other to ask
	if o != nil && (*o == OK || *o == ServerError) {
		own = *o != OK
		blend(&r.anywhere, symptomStep, float64(count(own)))
	}
	if own && !fresh {
		q.first = first{}
		r.unserved++
	}
	r.tally(q)
}

// disputed counts a flagged answer, counted as served before, as failed.
func (r *Router) disputed(e AnswerDisputed) {
	s := r.servers[e.Server]
	if s == nil || r.now-e.AttemptAge < s.Started {
		return // the build that gave the answer is not known any more
	}
	for _, c := range []*Counts{&r.total, &r.counts} {
		a := c.arm(s.Build == r.rel.Build)
		if a.Missed < a.Attempts && (c == &r.total || r.now-e.AttemptAge >= r.stageAt) {
			a.Missed, a.Wrong = a.Missed+1, a.Wrong+1
		}
	}
}

// setMarks keeps, at the start of a trial, the time that slowPart of the answers of each class stayed
// under before it.
func (r *Router) setMarks() {
	for _, c := range r.classes {
		if n := min(c.next, len(c.times)); n >= marksLeast {
			sorted := slices.Sorted(slices.Values(c.times[:n]))
			c.mark, c.before = sorted[int(slowPart*float64(n))], uint32(n)
		}
	}
}

// report tells the voters the counts. Danger: reports of all to all grow with the square of the tier, and
// most routers have little to tell; so how often follows from what the requests taken pay for.
func (r *Router) report() {
	if r.now < r.reportAt {
		return
	}
	data := r.own().Encode()
	r.reportAt = r.now + min(max(r.paid(len(data)*voters, reportBytes), reportEvery), 8*reportEvery)
	for _, v := range r.voters {
		if v != r.s.Self && (r.rel.Phase == OnTrial || r.rel.Phase == Released && r.total.Old.Attempts > 0) {
			r.do(Post{Peer: v, Data: data})
		}
	}
}

// paid is the time in which the requests taken pay for so many bytes of messages.
func (r *Router) paid(bytes int, each float64) time.Duration {
	return time.Duration(float64(bytes) / max(0.1, each*r.rate) * 1e9)
}

// share tells all peers what is in flight, and where attempts have failed, if that is paid for while fresh;
// if not, only the failures, which are few and dear to learn. It forgets what silent peers have in flight.
func (r *Router) share() {
	if r.now < r.shareAt {
		return
	}
	all, failed := InFlightReport{}, InFlightReport{}
	for _, s := range r.list {
		if s.inFlight > 0 || s.failed {
			all = append(all, BusyServer{shortID(s.ID), s.inFlight, s.failed, s.failedErr})
		}
		if s.failed {
			failed = append(failed, BusyServer{shortID(s.ID), 0, true, s.failedErr})
		}
	}
	price := func(m InFlightReport) time.Duration {
		return max(r.paid((busyHead+len(m.Encode()))*(r.s.RouterCount-1), busyBytes), busyLife/10)
	}
	period := price(all)
	if r.alone = period > busyLife; r.alone {
		all, period = failed, price(failed)*time.Duration(count(len(failed) > 0))
	}
	if !r.alone || len(failed) > 0 {
		r.do(Post{Peer: -1, Data: all.Encode()})
		for _, s := range r.list {
			s.failed, s.failedErr = false, false
		}
	}
	r.shareAt = r.now + period
	for peer, t := range r.told {
		if len(t.busy) > 0 && r.now > t.at+busyLife {
			r.countBusy(t.busy, -1)
			r.told[peer] = told{}
		}
	}
}

// hear takes a peer's message; what is malformed or impossible is dropped.
func (r *Router) hear(e PeerMessage) {
	if e.From < 0 || e.From >= r.s.RouterCount || e.From == r.s.Self {
		return
	}
	if busy, err := DecodeInFlightReport(e.Data); err == nil {
		r.countBusy(r.told[e.From].busy, -1)
		r.countBusy(busy, 1)
		r.told[e.From] = told{busy, r.now}
		for _, b := range busy {
			if s := r.short[b.Server]; s != nil && b.Failed {
				r.ailing(s, b.AnsweredError)
			}
		}
		return
	}
	m, err := DecodeReport(e.Data)
	if err != nil || m.Stage > len(r.s.Rollout.StageCap) {
		return
	}
	k := peerKey{e.From, m.Incarnation}
	if _, known := r.peers[k]; !known { // Danger: spoilt messages name lives that never were, without end
		if r.lives[e.From]++; r.lives[e.From] > livesMost {
			return
		}
	}
	if !m.older(r.peers[k]) { // else it has come late
		r.peers[k], r.heard[e.From] = m, m
	}
}

// ---- The test ----

// harm gives the p-value of "the new build has not a larger part of bad outcomes than the old one, by more
// than the margin".
func harm(rng *rand.Rand, oldN, oldBad, newN, newBad uint32, margin float64) float64 {
	nNew, nOld := float64(newN), float64(oldN)
	n := nNew + nOld
	if nNew == 0 || nOld == 0 {
		return 1
	}
	mOld, mNew, p := 1-float64(oldBad)/nOld, 1-float64(newBad)/nNew, nNew/n
	diff := mOld - mNew - margin
	mu := slices.Concat(slices.Repeat([]float64{diff + (1-mOld)/(1-p)}, int(oldN-oldBad)),
		slices.Repeat([]float64{diff - mOld/(1-p)}, int(oldBad)),
		slices.Repeat([]float64{diff - (1-mNew)/p}, int(newN-newBad)),
		slices.Repeat([]float64{diff + mNew/p}, int(newBad)))
	square := 0.0 // the mean of mu is diff, since the residuals of each arm sum to nothing
	for _, v := range mu {
		square += (v - diff) * (v - diff)
	}
	if n < 2 || square < 1e-12 {
		return 1 // sigma 0: nothing speaks against the build
	}
	scale := 1 / (math.Sqrt(n) * math.Sqrt(square/(n-1)))
	t := 0.0
	for range orderings {
		rng.Shuffle(len(mu), func(i, j int) { mu[i], mu[j] = mu[j], mu[i] })
		pb := math.Erfc(math.Abs(walk(mu, scale, rng.Uint64()&1 == 0)) / math.Sqrt2)
		t += math.Tan((0.5-max(pb, 1e-15))*math.Pi) / float64(orderings)
	}
	return 0.5 - math.Atan(t)/math.Pi
}

// walk is the two-armed bandit's path: it adds while its sum is positive, else subtracts.
func walk(mu []float64, scale float64, up bool) float64 {
	sum := 0.0
	for i, v := range mu {
		if i == 0 && !up || i > 0 && sum <= 0 {
			v = -v
		}
		sum += v * scale
	}
	return sum
}

// ---- Votes ----

// votersOf names the routers that vote on a build, in the order in which they do.
func (r *Router) votersOf(b BuildID) []int {
	first := make([]int, 0, voters+1)
	for i := range r.s.RouterCount {
		at, _ := slices.BinarySearchFunc(first, hash(uint64(b), uint64(i)), func(have int, h uint64) int {
			return cmp.Compare(hash(uint64(b), uint64(have)), h)
		})
		first = slices.Insert(first, at, i)
		first = first[:min(voters, len(first))]
	}
	return first
}

func hash(a, b uint64) uint64 {
	x := a<<32 + b + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// news takes the platform's word on the newest build, told unasked or in reply to a vote.
func (r *Router) news(e ReleaseStatus) {
	if e.IsReply {
		r.vote.out, r.vote.at = 0, r.now+voteRetry
		if e.Reply != VoteCounted {
			return // only a vote that counts brings news
		}
		r.vote.at = r.now + max(r.s.Rollout.VoteTTL-voteRenew, voteRetry)
	}
	if r.relKnown && e.Build < r.rel.Build {
		return
	}
	was, known := r.rel, r.relKnown
	r.rel, r.relKnown = e, true
	r.bad[e.Build] = e.Phase == RollingBack || e.Phase == Withdrawn
	for k, b := range r.budgets {
		if k.build == e.Build && e.Cap < was.Cap {
			b.earned = 0 // a lower cap counts anew
		}
	}
	if !known || was.Build != e.Build || was.Stage != e.Stage || was.Phase != e.Phase {
		if was.Build != e.Build || !known { // what was usual is not known after a restart
			r.voters, r.total, r.slowEarly = r.votersOf(e.Build), Counts{}, 1-slowPart
			r.usual = max(r.demand, 0.01) * float64(count(known))
			r.setMarks()
			r.forgetBuilds()
			for _, s := range r.list {
				s.erred = 0
			}
			r.spans = spans{until: r.now}
			if !known { // what the others counted before this start comes in a heap
				r.spans = spans{until: r.now + 8*reportEvery, skip: true}
			}
		}
		r.counts, r.vote, r.stageAt = Counts{}, voteState{}, r.now-e.StageAge
		clear(r.seen)
	}
	r.regroup()
	r.drainQueue()
}

// ballot tests once a stage, at the horizon or by time-out, and casts or renews the vote. The guard may
// send a build back at any time until the next is offered.
func (r *Router) ballot() {
	rank := slices.Index(r.voters, r.s.Self)
	if rank < 0 || r.rel.Phase != OnTrial && r.rel.Phase != Released {
		return
	}
	v := &r.vote
	stage, total := r.pooled()
	if r.now >= r.spans.until {
		r.spans.end(total, spanFaith, r.clustering())
		r.spans.until = r.now + spanLength
	}
	verdict, why := VoteNone, ""
	if v.verdict != VoteRollBack && r.now >= v.guardAt {
		v.guardAt = r.now + guardEvery/time.Duration(1+4*count(r.rel.Cap >= fleetCap)) // it goes on soon
		if r.guard(total) {
			verdict, why = VoteRollBack, "errors"
		} else if r.slowed(stage) {
			verdict, why = VoteRollBack, "the fleet slowed"
		}
	}
	if !v.tested && r.rel.Phase == OnTrial && verdict == VoteNone {
		due, least := r.stageAt+2*stageTimeout, r.stageAt+2*stageTimeout // also if none gets listed
		if r.listedAt > r.stageAt {
			due, least = r.listedAt+stageTimeout, r.listedAt+r.s.Rollout.MinStageTime
		}
		if r.now < due && (stage.New.Attempts < horizon || r.now < least) {
			return
		}
		old, fresh := stage.Old, stage.New
		verdict, why = VoteAdvance, "no harm seen"
		if harm(r.rng, old.Attempts, old.Missed, fresh.Attempts, fresh.Missed, margin) < level {
			verdict, why = VoteRollBack, "served less in time"
		} else if fresh.Measured >= horizon &&
			harm(r.rng, old.Measured, old.Slow, fresh.Measured, fresh.Slow, slowMargin) < level {
			verdict, why = VoteRollBack, "slower answers"
		}
	}
	if verdict != VoteNone {
		wait := map[Verdict]time.Duration{VoteAdvance: voteStagger, VoteRollBack: voteStagger / 3}[verdict]
		v.tested, v.verdict, v.at = true, verdict, r.now+time.Duration(rank)*wait
		r.do(Log{fmt.Sprintf("build %d stage %d: %s; old, new (n miss err slow wrong): %v total %v",
			r.rel.Build, r.rel.Stage, why, stage, total)})
	}
	moves := v.verdict == VoteAdvance && r.s.Rollout.AutoAdvance // the stage does by itself
	if !v.tested || moves || v.out != 0 && r.now < v.out+r.s.Rollout.VoteTimeout+voteRetry || r.now < v.at {
		return
	}
	v.out = r.now
	r.do(Vote{Build: r.rel.Build, Stage: r.rel.Stage, Verdict: v.verdict})
}

// guard is the exception for builds that turn bad after their test: late, under load, for a class that was
// closed, or by few wrong answers, of which only a part is flagged. The same walk compares errors, at less
// than the main test's margin; the exact tail tells a few errors of few answers, where the walk can't yet:
// healthy builds hardly ever err, so asking often costs good ones little. Danger: a new build gets most of
// its answers late in a trial, the old one early; when hosts begin to fail meanwhile, the sums speak against
// the new one. So each span's errors are held against the old build's in the same span. Danger: a few sick
// servers give most of the errors, and a build that got more of them passes for a bad one; so answers count
// for less where the old build's servers fail unevenly. It hurts a bad build that comes amid sick servers.
func (r *Router) guard(total Counts) bool {
	s := r.spans
	s.end(total, spanFaith, r.clustering())
	rate, old, n, erred := s.rate(), s.weight(), uint32(s.n+0.5), uint32(max(0, s.erred)+0.5)
	most := rate + guardMargin
	return erred >= guardErrors && s.erred/s.n > most && (tail(s.n*most, erred) < level/20 ||
		harm(r.rng, uint32(old), uint32(rate*old+0.5), max(n, erred), erred, guardMargin) < level)
}

// slowed is the exception for a build that slows all servers in step with its own traffic, so that old minus
// new shows nothing: the walk compares each arm with the time before the trial; both must have slowed, else
// sick servers are the cause. It hurts where much of a fleet is lost as a build has got much traffic.
func (r *Router) slowed(stage Counts) bool {
	wide := r.rel.Cap >= fleetCap && (r.rel.Phase == OnTrial || r.now < r.stageAt+fleetTime)
	demand, usual, before := r.pooledDemand()
	r.vote.busy = r.vote.busy || r.connectsSlow() || demand >= busyDemand*usual // counts hold another cause
	if old := stage.Old; r.rel.Stage == 0 && !wide && !r.vote.busy && old.Measured >= horizon {
		r.slowEarly = max(1-slowPart, share(old.Slow, old.Measured)) // not the build's doing yet
	}
	stage.Old = map[bool]Arm{true: stage.Old}[len(r.base.all) > 0] // of earlier servers, if some are left
	if !wide || r.vote.busy || max(stage.Old.Measured, stage.New.Measured) < horizon {
		return false
	}
	near := r.rel.Phase == OnTrial && r.pace() > fleetMuch // else it would have to be late already
	for _, now := range []Arm{stage.Old, stage.New} {
		slow := uint32(r.slowEarly * float64(before))
		more, miss := share(now.Slow, now.Measured)-share(slow, before), share(now.Missed, now.Attempts)
		if now.Measured >= horizon && (more <= fleetMargin || miss < fleetMiss && (!near || more <= fleetMuch) ||
			harm(r.rng, before, slow, now.Measured, now.Slow, fleetMargin) >= level) {
			return false
		}
	}
	return true
}
