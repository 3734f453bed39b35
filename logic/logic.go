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
	votersPerBuild        = 3                      // voters a build, picked by hash
	missedMargin          = 0.02                   // harm that the test lets pass
	significanceLevel     = 0.01                   // the test rejects below this
	testSampleSize        = 20                     // pooled trial outcomes at which a voter tests
	walkPermutations      = 20                     // permuted orderings of the walk
	trialCapPart          = 0.8                    // first sends to the build on trial, as a part of the cap
	minEvidenceAge        = 3 * time.Second        // outcomes of servers younger than this are no evidence
	stageTimeout          = 5 * time.Second        // after the newest machine's listing a voter tests what it has
	reportInterval        = 250 * time.Millisecond // counts go to the voters so often, or 8 times as rarely
	reportBytesPerRequest = 64                     // bytes of messages that a request pays for
)

const (
	tickInterval   = 50 * time.Millisecond
	stallThreshold = 100 * time.Millisecond // a tick this late tells that the router stood still

	suspectChance      = 0.01                   // a run of failures less likely than this makes a server suspect
	firstPause         = 500 * time.Millisecond // it is left alone this long, then twice, ... up to 16 times
	minFailureRate     = 0.05                   // the least part of failures that counts as usual
	minOutlierFailures = 3.0                    // failures that any routers saw at a server, for it to stand out
	recentFailureDecay = 0.975                  // of them, each tick: they count for about 2 s

	slowStartBudgetPart = 0.85 // part of a cold server's fall budget that all routers together may use
	servedRateSeconds   = 10.0 // seconds over which the rate of served requests is smoothed
	minServedPart       = 0.25 // of the rate of requests: what counts as served in any case

	minSubsetSize, subsetSeconds = 6, 3.0 // servers that a lonely router keeps to, or its requests in so many seconds
	maxRandomDraws               = 6      // random draws of a server before a search
	loadPerCost                  = 6.0    // attempts in flight that one point of price is worth
	highHandshakeCost            = 0.05   // from this price on, a draw without an open connection is made once more
	sameZoneFactor               = 8.0    // times the cross-zone price: the chance that one choice is a near server
	lateReduction                = 2.0    // the trial share falls by this times the part of late answers
	spillOverLoad                = 1.3    // drawn requests go to the old build if new servers are so much busier
	maxClosedStageKeyUses        = 2      // under forward-only keys met more often do not try a closed stage

	attemptSmoothing      = 0.08                   // of the parts of attempts that show a symptom, each attempt
	longIdle              = 500 * time.Millisecond // connections unused for longer may have been dropped unseen
	highIdleLoss          = 0.2                    // of those on idle connections got no answer: they are dropped
	idleLossDecay         = 0.997                  // of what was lost on them, each tick
	highRequestFault      = 0.5                    // of the errors come again elsewhere: they are the requests' own
	requestFaultRetryPart = 0.1                    // then so many are tried again
	slowConnectMargin     = 0.3                    // of the aim later on new connections: connecting is slow

	initialLimitPerServer = 3.0 // concurrency limit at start, attempts a server; half of it at least, of all routers
	limitDecrease         = 0.9
	highLatePart          = 0.2 // part of answers over lateness that cuts the limit
	overShareMultiple     = 1.3 // a tenant is over its share beyond this multiple of its part

	maxIncarnations         = 16          // starts of a peer during one build whose counts are kept
	inFlightTTL             = time.Second // attempts out that a peer told of count so long; told 10 times in it at most
	inFlightBytesPerRequest = 512         // bytes of such messages that a request pays for
	messageOverheadBytes    = 20          // bytes that any message costs besides its own

	guardInterval       = time.Second     // pause between the guards' tests
	minGuardErrors      = 4               // fewer errors than this say nothing
	errorMargin         = 0.003           // more errors than this, beyond the old build's, are harm
	spanLength          = time.Second     // the builds' errors are compared within spans of it
	spanPriorAnswers    = 5.0             // all earlier answers of the old build weigh as much as so many of the span
	isolatedHealthyPart = 0.67            // with this part of its build's hosts fit, a failing host stands alone
	slowQuantile        = 0.75            // of the answers before a trial were faster than the mark
	minBaselineAnswers  = 4               // answers that make a mark
	slowMargin          = 0.2             // more slow answers than this, beyond the old build's, are harm
	fleetSlowdownCap    = 0.4             // with less traffic a build hardly slows a fleet
	fleetSlowdownTime   = 7 * time.Second // after the release; later slowness has other causes
	fleetSlowMargin     = 0.1             // more slow answers than before the trial by this are harm to the fleet
	fleetMissedPart     = 0.05            // slow answers are no harm while no more than this part misses the aim,
	fleetSeverePart     = 0.25            // but, in a trial, if so many more are slow and take so much of the aim
	highDemandMultiple  = 1.3             // beyond this multiple of the usual requests, slowness is laid to them

	voteStagger    = 1200 * time.Millisecond // a voter waits so long for each before it, a third for 'back'
	voteRetryPause = 700 * time.Millisecond  // pause after a vote that did not count
	voteRenewLead  = 500 * time.Millisecond  // a vote is renewed this long before it lapses
)

// Handle takes one event and returns what is to be done; the slice is valid until the next call.
func (r *Router) Handle(now time.Duration, e Event) []Action {
	r.now, r.actions = now, r.actions[:0]
	switch {
	case !r.started:
		r.started, r.nextTickAt = true, now+tickInterval
		r.emit(SetTimer{After: tickInterval, Token: 1})
		if r.settings.WatchDiscovery {
			r.emit(Watch{})
		}
	case now > r.nextTickAt+stallThreshold:
		r.stalledAt, r.nextTickAt = now, now
	}
	switch e := e.(type) {
	case ServersListed:
		r.updateServers(e)
	case RequestArrived:
		r.admit(e)
	case AttemptDone:
		r.attemptDone(e)
	case ClientGone:
		if req := r.requests[e.ID]; req != nil {
			r.forgetRequest(req)
		}
	case TimerFired:
		r.tick()
	case PeerMessage:
		r.receive(e)
	case AnswerDisputed:
		r.countDisputed(e)
	case ReleaseStatus:
		r.updateRelease(e)
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// tick does what only time brings: rates, the limit, the queue, reports and votes.
func (r *Router) tick() {
	r.nextTickAt = r.now + tickInterval
	r.emit(SetTimer{After: tickInterval, Token: 1})
	r.ticks++
	step := max(tickInterval.Seconds()/2, 1/r.ticks) // a plain mean at first, then over about 2 s
	smooth(&r.requestRate, step, r.arrivals/tickInterval.Seconds())
	smooth(&r.demand, step, (r.arrivals-r.repeatArrivals)/tickInterval.Seconds())
	smooth(&r.servedRate, max(tickInterval.Seconds()/servedRateSeconds, 1/r.ticks), r.servedCount/tickInterval.Seconds())
	r.arrivals, r.repeatArrivals, r.servedCount = 0, 0, 0
	for _, t := range r.tenants {
		smooth(&t.rate, step, t.arrivals/tickInterval.Seconds())
		t.arrivals = 0
	}
	for _, s := range r.serverList {
		s.recentFailures *= recentFailureDecay
	}
	r.countOverdue()
	r.baseSlowStartPart = r.slowStartPart(r.base)
	r.adjustLimit()
	r.drainQueue()
	if r.settings.CanPost && r.settings.RouterCount > 1 {
		r.sendReport()
		r.sendInFlight()
	}
	r.testAndVote()
}

// ---- Servers: the list, health and the cold ramp ----

func (r *Router) updateServers(e ServersListed) {
	if e.Failed { // only who asked is told of it
		r.emit(Watch{})
		return
	}
	listedIDs := map[ServerID]bool{}
	for _, entry := range e.Servers {
		listedIDs[entry.ID] = true
		current := r.servers[entry.ID]
		switch {
		case entry.State == Gone:
			delete(r.servers, entry.ID)
		case current == nil:
			r.servers[entry.ID] = &server{Server: entry}
		case current.Build != entry.Build || current.Started != entry.Started: // restarted: its past is void
			current.health, current.slowStartUsed, current.Server = health{}, 0, entry
		default:
			current.State, current.Weight = entry.State, entry.Weight
			continue
		}
		if entry.Build >= r.release.Build {
			r.newestListedAt = r.now
		}
	}
	r.serverList, r.maxWeight, r.readyCount = r.serverList[:0], 0, 0
	clear(r.serversByShortID)
	for id, s := range r.servers {
		if e.Full && !listedIDs[id] {
			delete(r.servers, id)
			continue
		}
		r.serverList, r.maxWeight = append(r.serverList, s), max(r.maxWeight, s.Weight)
		r.readyCount += int(oneIf(s.State == Ready))
	}
	slices.SortFunc(r.serverList, func(a, b *server) int { return cmp.Compare(a.ID, b.ID) })
	for _, s := range r.serverList {
		r.serversByShortID[shortID(s.ID)] = s
	}
	r.limit = cmp.Or(r.limit, initialLimitPerServer*float64(len(r.serverList)))
	r.groupServers()
	r.drainQueue()
}

// coldRoom tells whether a cold server may get one more request. Danger: all routers together push a
// server that has just started over. Each router uses at most coldPart of the stated multiple of what the
// servers serve it on average, so the sum stays within the budget whatever the routers' shares are.
func (r *Router) slowStartAllows(s *server, spend bool) bool {
	warm := r.warmPart(s)
	if warm >= 1 || len(r.serverList) == 0 {
		return true
	}
	rate := warm * r.slowStartRate() * r.groupOf(s.Build).subsetFactor() // others keep away
	burst := max(1, rate*r.settings.OverloadTime.Seconds()/8)
	s.slowStartUsed = max(0, s.slowStartUsed-rate*(r.now-s.slowStartAt).Seconds())
	s.slowStartAt = r.now
	if spend {
		s.slowStartUsed++
	}
	return s.slowStartUsed+1 <= burst+1e-9
}

// coldRate is what this router may send to a server a second, by the part of its capacity that it has.
func (r *Router) slowStartRate() float64 {
	serverCount := max(1, len(r.base.all), len(r.trial.all))
	if r.settings.Rollout.RollingUpdate {
		serverCount = max(serverCount, r.readyCount)
	}
	return slowStartBudgetPart * r.settings.OverloadMultiple * max(r.servedRate, minServedPart*r.requestRate) / float64(serverCount)
}

// coldGate is the part of its requests that a router may send to a group with cold servers in it. Danger: of
// many routers each has room for a first request, and where few servers are left all turn to them.
func (r *Router) slowStartPart(g group) float64 {
	sum := 0.0
	for _, s := range g.all {
		sum += r.warmPart(s)
	}
	return sum * r.slowStartRate() / max(r.requestRate, 1e-9)
}

// blame notes a failure that may be the server's own. Danger: a server that fails at once looks idle and
// draws traffic; a silent one holds it. Covers dead, silent, cut-off and failing servers alike. Danger:
// requests that fail anywhere would pause all, so a run must be unlikely at the usual part of failures.
func (r *Router) recordFailure(s *server, sure bool) {
	if s.consecutiveFailures++; sure || math.Pow(max(r.failurePart, minFailureRate), float64(s.consecutiveFailures)) < suspectChance {
		s.suspectFor = min(max(2*s.suspectFor, firstPause), 16*firstPause)
		s.suspectUntil = r.now + s.suspectFor
	}
}

// ailing notes a failure that this router or another has seen. Danger: a router of a large fleet meets a
// server seldom; when it has learnt for itself that one fails, each of the others has too, at a request of
// its own. One that stands out from its build is left alone by all, each for a time of its own, else they
// would all come back at once. It hurts where chance makes a sound server stand out; if all of a build fail,
// none does.
func (r *Router) ejectIfOutlier(s *server, answeredError bool) {
	s.recentFailures++
	s.buildErrors += float64(oneIf(answeredError))
	g := r.groupOf(s.Build)
	if r.now > s.ejectedUntil+16*firstPause {
		s.ejectedFor = 0
	}
	suspected := s.ejectedFor > 0 || r.isOutlier(s) // a circuit breaker: half open, one failure is enough
	if s.ejectedUntil > r.now || !suspected || float64(r.healthyCount(g)) < isolatedHealthyPart*float64(len(g.all)) {
		return
	}
	s.ejectedFor = min(max(2*s.ejectedFor, firstPause), 16*firstPause)
	s.ejectedUntil = r.now + s.ejectedFor/2 + time.Duration(r.rng.Int64N(int64(s.ejectedFor)))
	if r.hasEjectedBase() { // Danger: a new build's sick hosts are met anew, the old one's are left alone by then
		r.uncountFailures(s)
	}
}

// standsOut tells that so many failures of late at a server are unlikely, as often as its build's fail.
func (r *Router) isOutlier(s *server) bool {
	g, sum := r.groupOf(s.Build), 0.0
	for _, other := range g.all {
		sum += other.recentFailures
	}
	return s.recentFailures >= minOutlierFailures && poissonTail(sum/float64(max(1, len(g.all))), uint32(s.recentFailures)) < suspectChance
}

// ---- Builds and exposure ----

// trialCap is the cap and stage that bind for a build that is not released.
func (r *Router) trialCap(build BuildID) (float64, int) {
	if build == r.release.Build || len(r.settings.Rollout.StageCap) == 0 {
		return r.release.Cap, r.release.Stage
	}
	return r.settings.Rollout.StageCap[0], 0 // not yet named: counts as in the first stage
}

// onTrial tells whether the rule on exposure binds a build. Nothing is sent before the first news.
func (r *Router) isOnTrial(b BuildID) bool {
	return b > r.release.Build || b == r.release.Build && r.release.Phase != Released
}

// mayTry tells whether an attempt of this class may go to the build on trial now, and takes it if asked.
func (r *Router) trialAllows(build BuildID, c *class, take bool) bool {
	limit, stage := r.trialCap(build)
	if limit <= 0 || stage < r.settings.Rollout.ClosedStages && c.Repeatability != Safe {
		return false
	}
	b := r.budget(build, c)
	if b.earned >= 1 {
		b.earned -= float64(oneIf(take))
		return true
	}
	reusableBefore := r.now - r.settings.Rollout.ExposureWindow - r.settings.ClockResolution
	i := slices.IndexFunc(b.freeSlots, func(used time.Duration) bool { return used < reusableBefore })
	if i >= 0 && take {
		b.freeSlots[i] = r.now
	}
	return i >= 0
}

// regroup sorts the servers into those of the base build and those of the build on trial.
func (r *Router) groupServers() {
	r.base, r.trial, r.trialBuild = group{}, group{}, 0
	var baseID BuildID
	for _, s := range r.serverList {
		if s.State != Ready {
			continue
		}
		switch {
		case r.isOnTrial(s.Build):
			r.trialBuild = max(r.trialBuild, s.Build)
		case baseID == 0, r.rejectedBuilds[baseID] && !r.rejectedBuilds[s.Build],
			r.rejectedBuilds[baseID] == r.rejectedBuilds[s.Build] && s.Build > baseID:
			baseID = s.Build
		}
	}
	if r.releaseKnown && r.release.Phase == OnTrial {
		r.trialBuild = r.release.Build
	}
	for _, s := range r.serverList {
		if s.State == Ready && s.Build == baseID {
			r.base.add(s, r.settings.Zone)
		} else if s.State == Ready && r.trialBuild != 0 && s.Build == r.trialBuild {
			r.trial.add(s, r.settings.Zone)
		}
	}
	r.base.subset, r.trial.subset = r.subsetOf(r.base.all), r.subsetOf(r.trial.all)
	r.baseSlowStartPart = r.slowStartPart(r.base)
}

// few picks the servers that a router without peers' news keeps to, by a hash of its own. Danger: an idle
// router that meets a whole large fleet connects anew each time, and never learns which servers are silent.
func (r *Router) subsetOf(group []*server) []*server {
	n := max(minSubsetSize, int(r.requestRate*subsetSeconds))
	if !r.inFlightUnshared || n >= len(group) {
		return group
	}
	ordered := slices.Clone(group)
	slices.SortFunc(ordered, func(a, b *server) int {
		return cmp.Compare(hash(uint64(a.ID), uint64(r.settings.Self)), hash(uint64(b.ID), uint64(r.settings.Self)))
	})
	return ordered[:n]
}

// trialChance is the chance that a first request tries the build on trial: the design's share of the cap.
// Exception, where the new machines are too few or too cold to carry that: their part of the fleet.
func (r *Router) trialChance(c *class) float64 {
	limit, stage := r.trialCap(r.trialBuild)
	if stage < r.settings.Rollout.ClosedStages && c.Repeatability != Safe {
		return 0
	}
	fleetSize, trialSize := float64(r.healthyCount(r.base)), 0.0
	if fleetSize == 0 {
		return 1
	}
	for _, s := range r.trial.all {
		if s.isHealthy(r.now) && r.slowStartAllows(s, false) { // else the few warm ones would get the others' part
			trialSize += r.warmPart(s)
		}
	}
	if r.inFlightUnshared { // busier servers would pass for a worse build, and no spill evens them out without news
		fleetSize += trialSize
		trialSize *= max(0, 1-lateReduction*r.latePart) // where much is late, a little slower is much later
	} else if r.settings.Rollout.RollingUpdate {
		fleetSize += float64(len(r.trial.all))
	}
	return min(trialCapPart*limit, trialSize/fleetSize)
}

// ---- Choice of a server ----

// load is what two choices compare: attempts in flight, by size and warmth.
func (r *Router) load(s *server) float64 {
	l := float64(s.inFlight+s.peerInFlight) / r.capacity(s)
	if s.Zone != r.settings.Zone {
		l += loadPerCost * r.settings.CrossZoneCost
	}
	return l + loadPerCost*r.settings.HandshakeCost*float64(oneIf(!r.isConnected(s)))
}

// pick makes two random choices among the usable servers of a group, one of them near, and takes the less
// loaded; suspects only where nothing else is left.
func (r *Router) pickServer(g group, req *request) *server {
	first := cmp.Or(r.drawServer(g.subset, req, false), r.drawServer(g.all, req, false))
	allowSuspects := first == nil && req.attempts == 0 // once only, else repeats storm where all refuse
	if allowSuspects {
		first = r.drawServer(g.all, req, true)
	}
	second := r.drawServer(g.subset, req, allowSuspects)
	if r.rng.Float64() < sameZoneFactor*r.settings.CrossZoneCost {
		second = cmp.Or(r.drawServer(g.sameZone, req, allowSuspects), second)
	}
	if first == nil || second != nil && r.load(second) <= r.load(first) {
		return second
	}
	return first
}

// throw draws a usable server by chance in step with what each can do now, and searches if that fails. Danger
// otherwise: routers that see nothing in flight would together all prefer the largest and warmest.
func (r *Router) drawServer(servers []*server, req *request, allowSuspects bool) *server {
	usable := func(s *server) bool {
		healthy := s != req.server && s.isHealthy(r.now)
		admitted := r.warmPart(s) >= 1 || req.randomDraw < r.baseSlowStartPart || req.drawnForTrial && r.isOnTrial(s.Build) // through the gate
		return (healthy || allowSuspects) && admitted && r.mayAttemptAt(req, s) && r.slowStartAllows(s, false)
	}
	var unconnected *server
	for range min(maxRandomDraws, len(servers)) {
		s := servers[r.rng.IntN(len(servers))]
		if r.rng.Float64()*r.maxWeight >= r.capacity(s) || !usable(s) {
			continue
		}
		if unconnected != nil || r.settings.HandshakeCost < highHandshakeCost || r.isConnected(s) {
			return s
		}
		unconnected = s // Danger: each of many routers would open connections to each of many servers
	}
	if unconnected != nil {
		return unconnected
	}
	start := r.rng.IntN(max(1, len(servers)))
	for i := range servers {
		if s := servers[(start+i)%len(servers)]; usable(s) {
			return s
		}
	}
	return nil
}

// repeatOK tells whether an attempt here would keep to the request's zone and to the rule on repeats.
func (r *Router) mayAttemptAt(req *request, s *server) bool {
	windowOver := req.class.Repeatability == Unsafe || r.now+r.settings.ClockResolution >= req.dedupExpiry()
	sameScope := req.class.DedupScope == ScopeAll || req.class.DedupScope == ScopeZone && s.Zone == req.mayHaveRunOn.Zone ||
		req.class.DedupScope == ScopeCell && s.Cell == req.mayHaveRunOn.Cell
	return (req.RequiredZone == "" || s.Zone == req.RequiredZone) && (!req.mayHaveRun || req.class.Repeatability == Safe || !windowOver && sameScope)
}

// choose finds the server for a request's next attempt, or nil where it has to wait.
func (r *Router) chooseServer(req *request) *server {
	minBuild := r.minBuildFor(req)
	wantsTrial := minBuild == r.trialBuild || req.drawnForTrial && req.attempts == 0
	if len(r.trial.all) > 0 && wantsTrial && r.trialAllows(r.trialBuild, req.class, false) {
		trialServer, baseServer := r.pickServer(r.trial, req), r.pickServer(r.base, req)
		if trialServer != nil && baseServer != nil && minBuild == 0 && r.load(trialServer) > spillOverLoad*(1+r.load(baseServer)) {
			return baseServer // busier servers would pass for a worse build
		}
		if trialServer != nil {
			return trialServer
		}
	}
	// Danger: a stale list names servers long gone; where none is fit, the build on trial serves in its cap.
	if r.healthyCount(r.base) == 0 && r.healthyCount(r.trial) > 0 && r.trialAllows(r.trialBuild, req.class, false) {
		return r.pickServer(r.trial, req)
	}
	if len(r.base.all) > 0 && r.base.all[0].Build >= minBuild {
		return r.pickServer(r.base, req)
	}
	return nil
}

// pinnedTo is the lowest build that may serve the request's key (forward-only).
func (r *Router) minBuildFor(req *request) BuildID {
	if !r.settings.Rollout.ForwardOnly || !req.HasKey {
		return 0
	}
	return r.keyBuilds[req.Key] * BuildID(oneIf(!r.rejectedBuilds[r.keyBuilds[req.Key]]))
}

// ---- The life of a request ----

func (r *Router) admit(e RequestArrived) {
	c := r.classes[e.Class]
	if c == nil { // a class outside the settings is treated as the strictest
		c = &class{Class: Class{Name: e.Class, Repeatability: Unsafe, LatencyTarget: e.TimeLeft, Deadline: e.TimeLeft, Worth: 1}}
	}
	req := &request{RequestArrived: e, class: c, arrived: r.now, deadline: r.now + e.TimeLeft, priority: c.Worth}
	r.requests[e.ID], req.randomDraw = req, r.rng.Float64()
	r.arrivals++
	r.repeatArrivals += float64(oneIf(e.MarkedRetry)) // of a request that was counted before
	if t := r.tenants[e.Tenant]; t != nil {
		t.arrivals++
		if t.rate > overShareMultiple*t.share*r.requestRate {
			req.priority *= r.settings.OverShareWorth
		}
	}
	if limit, _ := r.trialCap(r.trialBuild); r.trialBuild != 0 { // every request earns its part of an attempt
		r.budget(r.trialBuild, c).earn(limit)
	}
	r.drawForTrial(req)
	if !r.trySend(req) {
		r.enqueue(req)
	}
}

// draw decides by chance whether a first request tries the build on trial. Exception under forward-only:
// bound keys count first, and popular ones stay out of closed stages: their writes could then go nowhere.
func (r *Router) drawForTrial(req *request) {
	if r.trialBuild == 0 {
		return
	}
	chance := r.trialChance(req.class)
	if r.settings.Rollout.ForwardOnly && req.HasKey {
		r.keyUses[req.Key]++
		isPinned := r.keyBuilds[req.Key] == r.trialBuild
		if smooth(&req.class.pinnedPart, 0.02, float64(oneIf(isPinned))); isPinned {
			return
		}
		if _, stage := r.trialCap(r.trialBuild); stage < r.settings.Rollout.ClosedStages && r.keyUses[req.Key] > maxClosedStageKeyUses {
			return
		}
		chance = max(0, chance-req.class.pinnedPart)
	}
	req.drawnForTrial = r.rng.Float64() < chance
}

// try sends the next attempt if the limit and the rules leave a server for it.
func (r *Router) trySend(req *request) bool {
	if !r.releaseKnown || float64(r.inFlight) >= r.limit {
		return false
	}
	s := r.chooseServer(req)
	if s == nil {
		return false
	}
	if req.sentRelease, req.sentToTrial = r.release, r.isOnTrial(s.Build); req.sentToTrial {
		r.trialAllows(s.Build, req.class, true)
	}
	r.slowStartAllows(s, true)
	req.opensConn = !r.isConnected(s)
	req.onIdleConn = s.inFlight == 0 && !req.opensConn && r.now > s.lastUsedAt+longIdle
	if req.onIdleConn && r.dropsIdleConns() {
		r.emit(Close{Server: s.ID})
		req.onIdleConn, req.opensConn = false, true
	}
	s.lastUsedAt = r.now
	req.server, req.sentTo, req.sentAt, req.attemptInFlight, req.overdue = s, s.Server, r.now, true, false
	req.attempts++
	s.inFlight++
	r.inFlight++
	r.emit(Send{ID: req.ID, Server: s.ID, SendBy: req.dedupExpiry(), ForwardOnly: r.settings.Rollout.ForwardOnly && req.HasKey})
	return true
}

func (r *Router) attemptDone(e AttemptDone) {
	req := r.requests[e.ID]
	if req == nil || !req.attemptInFlight || e.Attempt != req.attempts-1 {
		return
	}
	s := req.server
	req.attemptInFlight = false
	s.inFlight--
	r.inFlight--
	s.lastUsedAt = r.now * time.Duration(oneIf(e.Outcome != ConnectFailed)) // 0: none is open
	if !req.overdue {
		unanswered := oneIf(e.Outcome == TimedOut || e.Outcome == Reset)
		smooth(&r.lostParts[oneIf(req.onIdleConn)], attemptSmoothing, float64(unanswered))
	}
	if r.now != r.stalledAt { // Danger: a router that stood still finds its news late, and would blame others
		r.recordOutcome(s, req, e)
		if e.Attempt > 0 {
			r.resolveFirstError(req, &e.Outcome)
		} else {
			r.recordEvidence(req, e)
		}
	}
	if e.Outcome == OK {
		r.servedCount++
		if !req.sentToTrial { // else a slow build would pass for slow connecting
			smooth(&r.latencyRatios[oneIf(req.opensConn)], attemptSmoothing, e.Duration.Seconds()/req.class.LatencyTarget.Seconds())
		}
		smooth(&req.class.meanSeconds, 0.05, e.Duration.Seconds())
	}
	if req.HasKey && r.settings.Rollout.ForwardOnly && (e.Outcome == OK || e.AnswerBegun) {
		r.keyBuilds[req.Key] = max(r.keyBuilds[req.Key], req.sentTo.Build)
	}
	if e.Outcome.MayHaveRun() && !req.mayHaveRun {
		req.mayHaveRun, req.mayHaveRunAt, req.mayHaveRunOn = true, req.sentAt, req.sentTo
	}
	if e.RequestEnded || req.ended {
		delete(r.requests, req.ID)
	} else {
		r.retryOrFinish(req, e.Outcome)
	}
	r.drainQueue()
}

// connected tells that a connection to a server should be open.
func (r *Router) isConnected(s *server) bool {
	return s.lastUsedAt > 0 && r.now <= s.lastUsedAt+r.settings.ConnIdleTimeout
}

// reaped tells that idle connections are dropped unseen: much more is lost on them than on others. They are
// closed before a send then, and silent servers show at the connect; it costs handshakes meanwhile.
func (r *Router) dropsIdleConns() bool {
	return r.lostParts[1] > highIdleLoss && r.lostParts[1] > 2*r.lostParts[0]
}

// overdue counts attempts past their aim as missing at once, since a silent loss shows only at the deadline.
func (r *Router) countOverdue() {
	counts := [2]int{}
	for _, req := range r.requests {
		if req.attemptInFlight && !req.overdue && r.now > req.sentAt+req.class.LatencyTarget {
			req.overdue = true
			counts[oneIf(req.onIdleConn)]++
		}
	}
	for i := range r.lostParts {
		smooth(&r.lostParts[i], 1-math.Pow(1-attemptSmoothing, float64(counts[i])), 1)
	}
	r.lostParts[1] *= idleLossDecay
}

// connectsSlow tells that answers on new connections come much later: new servers would pass for a bad build.
func (r *Router) connectsSlowly() bool {
	return r.latencyRatios[0] > 0 && r.latencyRatios[1] > r.latencyRatios[0]+slowConnectMargin
}

// judgeServer draws what an outcome says of the server and of the load.
func (r *Router) recordOutcome(s *server, req *request, e AttemptDone) {
	smooth(&r.failurePart, attemptSmoothing/4, float64(oneIf(e.Outcome == TimedOut || e.Outcome == ServerError)))
	switch e.Outcome {
	case OK:
		if s.consecutiveFailures, s.suspectFor, s.suspectUntil = 0, 0, 0; s.ejectedUntil > 0 && !r.isOutlier(s) {
			s.ejectedUntil, s.ejectedFor = 0, 0
		}
	case ConnectFailed, Reset, Rejected:
		r.recordFailure(s, true)
	case TimedOut, ServerError:
		r.recordFailure(s, false)
	}
	if e.Outcome == ConnectFailed || e.Outcome == Reset || e.Outcome == TimedOut || e.Outcome == ServerError {
		s.unsharedFailure, s.unsharedError = true, s.unsharedError || e.Outcome == ServerError
		r.ejectIfOutlier(s, e.Outcome == ServerError)
	}
	if req.sentToTrial && len(r.base.all) > 0 {
		return
	}
	late := oneIf(e.Outcome == Rejected || e.Outcome == TimedOut || e.Duration > req.class.LatencyTarget*8/10)
	r.limitAnswers, r.limitLate = r.limitAnswers+1, r.limitLate+float64(late)
	smooth(&r.latePart, attemptSmoothing, float64(late))
}

// again tries a request once more where its class permits it, or gives the final answer at once.
func (r *Router) retryOrFinish(req *request, outcome Outcome) {
	useless := req.attempts > 1 || r.requestFaultPart > highRequestFault && !req.sentToTrial && req.randomDraw > requestFaultRetryPart
	exhausted := outcome == ServerError && useless || req.attempts >= r.settings.MaxAttempts || req.mayHaveRun && req.class.Repeatability == Unsafe
	if exhausted || r.isDeadlineNear(req) {
		r.finishRequest(req)
	} else if !r.trySend(req) {
		r.enqueue(req)
	}
}

func (r *Router) isDeadlineNear(req *request) bool { return r.now+2*tickInterval >= req.deadline }

// finish gives the final answer: a refusal where trying again is harmless, else a failure.
func (r *Router) finishRequest(req *request) {
	if !req.mayHaveRun || req.class.Repeatability == Safe || req.class.DedupScope == ScopeAll && r.now < req.dedupExpiry() {
		r.emit(Refuse{ID: req.ID, RetryAfter: r.settings.MaxRetryAfter / 2})
	} else {
		r.emit(Fail{ID: req.ID})
	}
	r.forgetRequest(req)
}

// forget drops a request that has ended; one with an attempt still out is kept for its outcome.
func (r *Router) forgetRequest(req *request) {
	req.ended = true
	r.resolveFirstError(req, nil)
	r.repeatArrivals += float64(oneIf(!r.settings.MarksRetry)) // its client may well come again
	if !req.attemptInFlight {
		delete(r.requests, req.ID)
	} else if r.settings.CanCancel { // nobody waits for what its server may still have to do
		r.emit(Cancel{ID: req.ID, Attempt: req.attempts - 1})
	}
}

// ---- Overload: the limit and the queue ----

// adjustLimit bounds the attempts out by how quickly answers come: late ones cut it, timely ones raise it.
func (r *Router) adjustLimit() {
	if r.limitAnswers < 5 {
		return
	}
	if r.limitLate > highLatePart*r.limitAnswers {
		r.limit = limitDecrease * min(r.limit, initialLimitPerServer*max(1, float64(r.inFlight)))
	} else if float64(r.inFlight) > 0.7*r.limit {
		r.limit++
	}
	r.limit = max(r.limit, 2, initialLimitPerServer/2*float64(len(r.serverList))/float64(max(1, r.settings.RouterCount)))
	r.limitAnswers, r.limitLate = 0, 0
}

// hold queues a request, dearest first. Danger: no tick may come in what time its client leaves; end it then.
func (r *Router) enqueue(req *request) {
	if r.isDeadlineNear(req) {
		r.finishRequest(req)
		return
	}
	i, _ := slices.BinarySearchFunc(r.queue, req, func(a, b *request) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.arrived, b.arrived))
	})
	r.queue = slices.Insert(r.queue, i, req)
}

// drainQueue sends what can go and ends at once what can no longer be served in time; and what is worth least
// where more is held than there is room for, else the next ones would be refused unseen. Danger: where no
// server may be used, a search for each that waits takes all the time; one tries for all that fare alike.
func (r *Router) drainQueue() {
	room := cmp.Or(r.settings.MaxOpenRequests, math.MaxInt) - r.inFlight
	r.queuePass++
	r.queue = slices.DeleteFunc(r.queue, func(req *request) bool {
		room--
		maxWait := min(req.class.LatencyTarget, req.TimeLeft>>oneIf(req.attempts == 0)-tickInterval) // unsent: half its time
		tooLate := r.isDeadlineNear(req) || r.now+time.Duration(req.class.meanSeconds*1e9) > req.arrived+maxWait
		if !req.ended && (tooLate || room < 0) {
			r.finishRequest(req)
		}
		blockedPass := &req.class.blockedPass[oneIf(req.drawnForTrial)+2*oneIf(req.randomDraw < r.baseSlowStartPart)+4*oneIf(r.keyBuilds[req.Key] == r.trialBuild)]
		if req.ended || (req.attempts > 0 || *blockedPass != r.queuePass) && r.trySend(req) {
			return true
		}
		*blockedPass = max(*blockedPass, r.queuePass*uint64(oneIf(req.attempts == 0)))
		return false
	})
}

// ---- Evidence ----

// evidence counts a first attempt of a class allowed at the present stage, in both arms alike, so that the
// mix of classes is no harm. Servers that may be cold do not count. Counts go on after the release.
func (r *Router) recordEvidence(req *request, e AttemptDone) {
	c, seconds := req.class, e.Duration.Seconds()
	if req.sentRelease.Phase != OnTrial && e.Outcome == OK {
		c.recentSeconds[c.nextRecent%len(c.recentSeconds)] = seconds
		c.nextRecent++
	}
	closedClass := r.release.Phase == OnTrial && r.release.Stage < r.settings.Rollout.ClosedStages && c.Repeatability != Safe
	group := r.groupOf(req.sentTo.Build)
	// Danger: one sick host passes for a bad build. What a host fails in a row is its own doing while most of
	// its build are fit, and so is what it fails far more than they, if some old ones do too; a build's first
	// hosts may stand out by the build's doing. Connecting is no build's, be it slow or in vain.
	isolated := (req.server.suspectUntil > r.now || req.server.ejectedUntil > r.now && r.hasEjectedBase()) &&
		float64(r.healthyCount(group)) >= isolatedHealthyPart*float64(len(group.all))
	unrelated := e.Outcome == ConnectFailed || isolated || req.opensConn && r.connectsSlowly()
	youngServer := req.sentTo.Started != 0 && req.sentAt < req.sentTo.Started+minEvidenceAge
	if e.Outcome == Cancelled || e.Outcome == NotSent || unrelated || closedClass || youngServer ||
		req.sentRelease.Build != r.release.Build {
		return
	}
	measured := c.slowThreshold > 0 && !(r.inFlightUnshared && req.opensConn) // met anew at nearly all requests
	outcome := Arm{Attempts: 1, Missed: oneIf(e.Outcome != OK || e.Duration > c.LatencyTarget), Errors: oneIf(e.Outcome == ServerError),
		Measured: oneIf(measured), Slow: oneIf(measured && seconds > c.slowThreshold)}
	req.firstOutcome = firstOutcome{Arm: outcome, build: req.sentTo.Build, release: req.sentRelease}
	if e.Outcome != OK {
		req.firstOutcome.failedServer = req.server
	}
	if outcome.Errors == 0 {
		r.countFirstAttempt(req)
	}
}

// second judges an error by how the request fared at another server: where it failed there too, the request
// is at fault and does not count. Danger: requests that fail anywhere pass for a burst, and for a bad build.
// Nor does one that a second try could judge and has not (o nil), or where most are the requests' own. It
// hurts where a build fails nearly all of a class after its release: fewer of its errors count.
func (r *Router) resolveFirstError(req *request, outcome *Outcome) {
	if req.firstOutcome.Errors == 0 {
		return
	}
	requestFault := r.requestFaultPart > highRequestFault || req.class.Repeatability != Unsafe
	noComparison := len(r.base.all) == 0 || r.release.Phase == Released && r.now < r.stageStart+fleetSlowdownTime // no other to ask
	if outcome != nil && (*outcome == OK || *outcome == ServerError) {
		requestFault = *outcome != OK
		smooth(&r.requestFaultPart, attemptSmoothing, float64(oneIf(requestFault)))
	}
	if requestFault && !noComparison {
		req.firstOutcome = firstOutcome{}
		r.repeatArrivals++
	}
	r.countFirstAttempt(req)
}

// disputed counts a flagged answer, counted as served before, as failed.
func (r *Router) countDisputed(e AnswerDisputed) {
	s := r.servers[e.Server]
	if s == nil || r.now-e.AttemptAge < s.Started {
		return // the build that gave the answer is not known any more
	}
	for _, c := range []*Counts{&r.buildCounts, &r.stageCounts} {
		a := c.arm(s.Build == r.release.Build)
		if a.Missed < a.Attempts && (c == &r.buildCounts || r.now-e.AttemptAge >= r.stageStart) {
			a.Missed, a.Wrong = a.Missed+1, a.Wrong+1
		}
	}
}

// setMarks keeps, at the start of a trial, the time that slowPart of the answers of each class stayed
// under before it.
func (r *Router) setSlowThresholds() {
	for _, c := range r.classes {
		if n := min(c.nextRecent, len(c.recentSeconds)); n >= minBaselineAnswers {
			sorted := slices.Sorted(slices.Values(c.recentSeconds[:n]))
			c.slowThreshold, c.baselineAnswers = sorted[int(slowQuantile*float64(n))], uint32(n)
		}
	}
}

// report tells the voters the counts. Danger: reports of all to all grow with the square of the tier, and
// most routers have little to tell; so how often follows from what the requests taken pay for.
func (r *Router) sendReport() {
	if r.now < r.nextReportAt {
		return
	}
	data := r.ownReport().Encode()
	r.nextReportAt = r.now + min(max(r.messageInterval(len(data)*votersPerBuild, reportBytesPerRequest), reportInterval), 8*reportInterval)
	for _, v := range r.voters {
		if v != r.settings.Self && (r.release.Phase == OnTrial || r.release.Phase == Released && r.buildCounts.Old.Attempts > 0) {
			r.emit(Post{Peer: v, Data: data})
		}
	}
}

// paid is the time in which the requests taken pay for so many bytes of messages.
func (r *Router) messageInterval(bytes int, perRequest float64) time.Duration {
	return time.Duration(float64(bytes) / max(0.1, perRequest*r.requestRate) * 1e9)
}

// share tells all peers what is in flight, and where attempts have failed, if that is paid for while fresh;
// if not, only the failures, which are few and dear to learn. It forgets what silent peers have in flight.
func (r *Router) sendInFlight() {
	if r.now < r.nextInFlightAt {
		return
	}
	all, failed := InFlightReport{}, InFlightReport{}
	for _, s := range r.serverList {
		if s.inFlight > 0 || s.unsharedFailure {
			all = append(all, BusyServer{shortID(s.ID), s.inFlight, s.unsharedFailure, s.unsharedError})
		}
		if s.unsharedFailure {
			failed = append(failed, BusyServer{shortID(s.ID), 0, true, s.unsharedError})
		}
	}
	interval := func(m InFlightReport) time.Duration {
		return max(r.messageInterval((messageOverheadBytes+len(m.Encode()))*(r.settings.RouterCount-1), inFlightBytesPerRequest), inFlightTTL/10)
	}
	period := interval(all)
	if r.inFlightUnshared = period > inFlightTTL; r.inFlightUnshared {
		all, period = failed, interval(failed)*time.Duration(oneIf(len(failed) > 0))
	}
	if !r.inFlightUnshared || len(failed) > 0 {
		r.emit(Post{Peer: -1, Data: all.Encode()})
		for _, s := range r.serverList {
			s.unsharedFailure, s.unsharedError = false, false
		}
	}
	r.nextInFlightAt = r.now + period
	for peer, t := range r.peerInFlight {
		if len(t.report) > 0 && r.now > t.receivedAt+inFlightTTL {
			r.addPeerInFlight(t.report, -1)
			r.peerInFlight[peer] = peerInFlight{}
		}
	}
}

// hear takes a peer's message; what is malformed or impossible is dropped.
func (r *Router) receive(e PeerMessage) {
	if e.From < 0 || e.From >= r.settings.RouterCount || e.From == r.settings.Self {
		return
	}
	if inFlight, err := DecodeInFlightReport(e.Data); err == nil {
		r.addPeerInFlight(r.peerInFlight[e.From].report, -1)
		r.addPeerInFlight(inFlight, 1)
		r.peerInFlight[e.From] = peerInFlight{inFlight, r.now}
		for _, b := range inFlight {
			if s := r.serversByShortID[b.Server]; s != nil && b.Failed {
				r.ejectIfOutlier(s, b.AnsweredError)
			}
		}
		return
	}
	report, err := DecodeReport(e.Data)
	if err != nil || report.Stage > len(r.settings.Rollout.StageCap) {
		return
	}
	key := peerKey{e.From, report.Incarnation}
	if _, known := r.peerReports[key]; !known { // Danger: spoilt messages name lives that never were, without end
		if r.peerIncarnations[e.From]++; r.peerIncarnations[e.From] > maxIncarnations {
			return
		}
	}
	if !report.isOlderThan(r.peerReports[key]) { // else it has come late
		r.peerReports[key], r.latestReports[e.From] = report, report
	}
}

// ---- The test ----

// harm gives the p-value of "the new build has not a larger part of bad outcomes than the old one, by more
// than the margin".
func harmPValue(rng *rand.Rand, oldN, oldBad, newN, newBad uint32, margin float64) float64 {
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
	for range walkPermutations {
		rng.Shuffle(len(mu), func(i, j int) { mu[i], mu[j] = mu[j], mu[i] })
		pb := math.Erfc(math.Abs(walk(mu, scale, rng.Uint64()&1 == 0)) / math.Sqrt2)
		t += math.Tan((0.5-max(pb, 1e-15))*math.Pi) / float64(walkPermutations)
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
	chosen := make([]int, 0, votersPerBuild+1)
	for i := range r.settings.RouterCount {
		at, _ := slices.BinarySearchFunc(chosen, hash(uint64(b), uint64(i)), func(have int, h uint64) int {
			return cmp.Compare(hash(uint64(b), uint64(have)), h)
		})
		chosen = slices.Insert(chosen, at, i)
		chosen = chosen[:min(votersPerBuild, len(chosen))]
	}
	return chosen
}

func hash(a, b uint64) uint64 {
	x := a<<32 + b + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// news takes the platform's word on the newest build, told unasked or in reply to a vote.
func (r *Router) updateRelease(e ReleaseStatus) {
	if e.IsReply {
		r.vote.pendingSince, r.vote.castAt = 0, r.now+voteRetryPause
		if e.Reply != VoteCounted {
			return // only a vote that counts brings news
		}
		r.vote.castAt = r.now + max(r.settings.Rollout.VoteTTL-voteRenewLead, voteRetryPause)
	}
	if r.releaseKnown && e.Build < r.release.Build {
		return
	}
	previous, wasKnown := r.release, r.releaseKnown
	r.release, r.releaseKnown = e, true
	r.rejectedBuilds[e.Build] = e.Phase == RollingBack || e.Phase == Withdrawn
	for k, b := range r.budgets {
		if k.build == e.Build && e.Cap < previous.Cap {
			b.earned = 0 // a lower cap counts anew
		}
	}
	if !wasKnown || previous.Build != e.Build || previous.Stage != e.Stage || previous.Phase != e.Phase {
		if previous.Build != e.Build || !wasKnown { // what was usual is not known after a restart
			r.voters, r.buildCounts, r.baselineSlowPart = r.votersOf(e.Build), Counts{}, 1-slowQuantile
			r.usualDemand = max(r.demand, 0.01) * float64(oneIf(wasKnown))
			r.setSlowThresholds()
			r.dropOldBuilds()
			for _, s := range r.serverList {
				s.buildErrors = 0
			}
			r.errorSpans = errorSpans{endsAt: r.now}
			if !wasKnown { // what the others counted before this start comes in a heap
				r.errorSpans = errorSpans{endsAt: r.now + 8*reportInterval, skip: true}
			}
		}
		r.stageCounts, r.vote, r.stageStart = Counts{}, voteState{}, r.now-e.StageAge
		clear(r.keyUses)
	}
	r.groupServers()
	r.drainQueue()
}

// ballot tests once a stage, at the horizon or by time-out, and casts or renews the vote. The guard may
// send a build back at any time until the next is offered.
func (r *Router) testAndVote() {
	rank := slices.Index(r.voters, r.settings.Self)
	if rank < 0 || r.release.Phase != OnTrial && r.release.Phase != Released {
		return
	}
	v := &r.vote
	stage, total := r.pooledCounts()
	if r.now >= r.errorSpans.endsAt {
		r.errorSpans.close(total, spanPriorAnswers, r.designEffect())
		r.errorSpans.endsAt = r.now + spanLength
	}
	verdict, why := VoteNone, ""
	if v.verdict != VoteRollBack && r.now >= v.nextGuardAt {
		v.nextGuardAt = r.now + guardInterval/time.Duration(1+4*oneIf(r.release.Cap >= fleetSlowdownCap)) // it goes on soon
		if r.errorsIncreased(total) {
			verdict, why = VoteRollBack, "errors"
		} else if r.fleetSlowed(stage) {
			verdict, why = VoteRollBack, "the fleet slowed"
		}
	}
	if !v.tested && r.release.Phase == OnTrial && verdict == VoteNone {
		due, earliest := r.stageStart+2*stageTimeout, r.stageStart+2*stageTimeout // also if none gets listed
		if r.newestListedAt > r.stageStart {
			due, earliest = r.newestListedAt+stageTimeout, r.newestListedAt+r.settings.Rollout.MinStageTime
		}
		if r.now < due && (stage.New.Attempts < testSampleSize || r.now < earliest) {
			return
		}
		oldArm, newArm := stage.Old, stage.New
		verdict, why = VoteAdvance, "no harm seen"
		if harmPValue(r.rng, oldArm.Attempts, oldArm.Missed, newArm.Attempts, newArm.Missed, missedMargin) < significanceLevel {
			verdict, why = VoteRollBack, "served less in time"
		} else if newArm.Measured >= testSampleSize &&
			harmPValue(r.rng, oldArm.Measured, oldArm.Slow, newArm.Measured, newArm.Slow, slowMargin) < significanceLevel {
			verdict, why = VoteRollBack, "slower answers"
		}
	}
	if verdict != VoteNone {
		wait := map[Verdict]time.Duration{VoteAdvance: voteStagger, VoteRollBack: voteStagger / 3}[verdict]
		v.tested, v.verdict, v.castAt = true, verdict, r.now+time.Duration(rank)*wait
		r.emit(Log{fmt.Sprintf("build %d stage %d: %s; old, new (n miss err slow wrong): %v total %v",
			r.release.Build, r.release.Stage, why, stage, total)})
	}
	advancesAlone := v.verdict == VoteAdvance && r.settings.Rollout.AutoAdvance // the stage does by itself
	if !v.tested || advancesAlone || v.pendingSince != 0 && r.now < v.pendingSince+r.settings.Rollout.VoteTimeout+voteRetryPause || r.now < v.castAt {
		return
	}
	v.pendingSince = r.now
	r.emit(Vote{Build: r.release.Build, Stage: r.release.Stage, Verdict: v.verdict})
}

// guard is the exception for builds that turn bad after their test: late, under load, for a class that was
// closed, or by few wrong answers, of which only a part is flagged. The same walk compares errors, at less
// than the main test's margin; the exact tail tells a few errors of few answers, where the walk can't yet:
// healthy builds hardly ever err, so asking often costs good ones little. Danger: a new build gets most of
// its answers late in a trial, the old one early; when hosts begin to fail meanwhile, the sums speak against
// the new one. So each span's errors are held against the old build's in the same span. Danger: a few sick
// servers give most of the errors, and a build that got more of them passes for a bad one; so answers count
// for less where the old build's servers fail unevenly. It hurts a bad build that comes amid sick servers.
func (r *Router) errorsIncreased(total Counts) bool {
	s := r.errorSpans
	s.close(total, spanPriorAnswers, r.designEffect())
	rate, old, answers, errors := s.baselineErrorRate(), s.baselineWeight(), uint32(s.answers+0.5), uint32(max(0, s.errors)+0.5)
	threshold := rate + errorMargin
	return errors >= minGuardErrors && s.errors/s.answers > threshold && (poissonTail(s.answers*threshold, errors) < significanceLevel/20 ||
		harmPValue(r.rng, uint32(old), uint32(rate*old+0.5), max(answers, errors), errors, errorMargin) < significanceLevel)
}

// slowed is the exception for a build that slows all servers in step with its own traffic, so that old minus
// new shows nothing: the walk compares each arm with the time before the trial; both must have slowed, else
// sick servers are the cause. It hurts where much of a fleet is lost as a build has got much traffic.
func (r *Router) fleetSlowed(stage Counts) bool {
	wideExposure := r.release.Cap >= fleetSlowdownCap && (r.release.Phase == OnTrial || r.now < r.stageStart+fleetSlowdownTime)
	demand, usualDemand, baseline := r.pooledDemand()
	r.vote.otherCause = r.vote.otherCause || r.connectsSlowly() || demand >= highDemandMultiple*usualDemand // counts hold another cause
	if old := stage.Old; r.release.Stage == 0 && !wideExposure && !r.vote.otherCause && old.Measured >= testSampleSize {
		r.baselineSlowPart = max(1-slowQuantile, ratio(old.Slow, old.Measured)) // not the build's doing yet
	}
	stage.Old = map[bool]Arm{true: stage.Old}[len(r.base.all) > 0] // of earlier servers, if some are left
	if !wideExposure || r.vote.otherCause || max(stage.Old.Measured, stage.New.Measured) < testSampleSize {
		return false
	}
	severe := r.release.Phase == OnTrial && r.highestLatencyRatio() > fleetSeverePart // else it would have to be late already
	for _, now := range []Arm{stage.Old, stage.New} {
		slow := uint32(r.baselineSlowPart * float64(baseline))
		slowIncrease, missedPart := ratio(now.Slow, now.Measured)-ratio(slow, baseline), ratio(now.Missed, now.Attempts)
		if now.Measured >= testSampleSize && (slowIncrease <= fleetSlowMargin || missedPart < fleetMissedPart && (!severe || slowIncrease <= fleetSeverePart) ||
			harmPValue(r.rng, baseline, slow, now.Measured, now.Slow, fleetSlowMargin) >= significanceLevel) {
			return false
		}
	}
	return true
}
