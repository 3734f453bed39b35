// This file holds all decisions of the router and their constants. Read api.go first: it defines the
// settings, events and actions. state.go defines what the router keeps between events, and report.go encodes
// and decodes the messages between routers; neither of them decides anything.
//
// Order of this file: constants; events; servers (list, health, slow start); builds and exposure; choice of a
// server; handling of a request; overload (concurrency limit and queue); evidence; the statistical test;
// votes.

package logic

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants of the release guard's design (docs/design.md). significanceLevel, missedMargin, votersPerBuild
// and the walk are fixed by it; the others may change. A "part" is always a fraction of 1.
const (
	votersPerBuild        = 3                      // routers that vote on a build, chosen by hash
	missedMargin          = 0.02                   // increase in missed requests that the test tolerates
	significanceLevel     = 0.01                   // the test rejects a build at p-values below this
	testSampleSize        = 20                     // pooled outcomes of the new build at which a voter tests
	walkPermutations      = 20                     // random orderings whose results the test combines
	maxWalkOutcomes       = 200_000                // larger samples are scaled down to this size
	trialCapPart          = 0.8                    // part of the cap used by first attempts at the new build
	minEvidenceAge        = 3 * time.Second        // outcomes of younger servers are not counted as evidence
	stageTimeout          = 5 * time.Second        // wait for outcomes after the newest server's listing
	reportInterval        = 250 * time.Millisecond // time between reports to voters: 1 to 8 times this
	reportBytesPerRequest = 64                     // bytes of reports allowed per request received
)

const (
	tickInterval   = 50 * time.Millisecond
	stallThreshold = 100 * time.Millisecond // if a tick is later than this, the router itself stalled

	suspectChance      = 0.01                   // less likely runs of failures make a server suspect
	firstAvoidTime     = 500 * time.Millisecond // how long a server is avoided; doubles up to 16 times this
	minFailureRate     = 0.05                   // lower bound of the usual failure rate
	minOutlierFailures = 3.0                    // recent failures, over all routers, that an outlier needs
	recentFailureDecay = 0.975                  // factor per tick, so that failures count for about 2 s

	slowStartBudgetPart = 0.85 // part of a cold server's overload budget that all routers together may use
	servedRateSeconds   = 10.0 // time over which the rate of served requests is smoothed
	minServedPart       = 0.25 // the served rate counts as at least this part of the request rate

	// A router that gets no in-flight counts from its peers uses at least minSubsetSize servers, or as many
	// as it gets requests in subsetSeconds.
	minSubsetSize, subsetSeconds = 6, 3.0

	maxRandomDraws        = 6     // random draws of a server before a linear search
	loadPerCost           = 6.0   // attempts in flight that weigh as much as a cost of 1
	highHandshakeCost     = 0.05  // from this cost on, drawing a server without a connection is retried once
	sameZoneFactor        = 8.0   // times the cross-zone cost: chance of a second choice in the own zone
	lateReduction         = 2.0   // the trial's share shrinks by this multiple of the part of late answers
	spillOverLoad         = 1.3   // load ratio beyond which requests for the new build go to the old one
	maxClosedStageKeyUses = 2     // forward-only: keys used more often do not try a build in a closed stage
	maxTrackedKeys        = 32768 // forward-only: keys whose uses, or whose builds, are kept

	attemptSmoothing      = 0.08                   // weight of one attempt in the moving averages
	longIdle              = 500 * time.Millisecond // connections idle for longer may be dropped silently
	highIdleLoss          = 0.2                    // above this unanswered part, idle connections are closed
	idleLossDecay         = 0.997                  // factor per tick for the loss on idle connections
	highRequestFault      = 0.5                    // if more errors recur elsewhere, requests are at fault
	requestFaultRetryPart = 0.1                    // part of errors that is retried if requests are at fault
	slowConnectMargin     = 0.3                    // extra latency on new connections, in latency targets

	// The initial concurrency limit is this many attempts per server. All routers' limits together are never
	// lower than half of it.
	initialLimitPerServer = 3.0

	limitDecrease     = 0.9 // the limit is multiplied by this when it is cut
	highLatePart      = 0.2 // part of late answers above which the limit is cut
	overShareMultiple = 1.3 // a tenant is over its share beyond this multiple of it

	maxIncarnations         = 16          // incarnations of a peer during one build whose counts are kept
	inFlightTTL             = time.Second // how long an in-flight report counts; at most 10 are sent in it
	inFlightBytesPerRequest = 512         // bytes of in-flight reports allowed per request received
	messageOverheadBytes    = 20          // bytes that a message costs beyond its payload

	guardInterval       = time.Second     // pause between the guards' tests
	minGuardErrors      = 4               // fewer errors than this are not tested
	errorMargin         = 0.003           // increase in errors over the old build that is tolerated
	spanLength          = time.Second     // errors of the two builds are compared within spans of this length
	spanPriorAnswers    = 5.0             // weight of the old build's earlier answers, in answers of one span
	isolatedHealthyPart = 0.67            // if this part of a build is healthy, a failing server is isolated
	slowQuantile        = 0.75            // part of the baseline's answers below the slow threshold
	minBaselineAnswers  = 4               // answers needed to set a slow threshold
	slowMargin          = 0.2             // increase in slow answers over the old build that is tolerated
	fleetSlowdownCap    = 0.4             // a build with a lower cap hardly slows the whole fleet
	fleetSlowdownTime   = 7 * time.Second // after the release; later slowness has other causes
	fleetSlowMargin     = 0.1             // increase in slow answers over the baseline that is tolerated

	// A slower fleet is tolerated while less than fleetMissedPart of its requests miss their target. During a
	// trial it is not, if both the increase in slow answers and the ratio of mean latency to its target
	// exceed fleetSeverePart.
	fleetMissedPart = 0.05
	fleetSeverePart = 0.25

	highDemandMultiple = 1.3 // demand above this multiple of the usual one explains slowness

	voteStagger    = 1200 * time.Millisecond // delay per voter ranked before this one; a third for rollbacks
	voteRetryPause = 700 * time.Millisecond  // pause after a vote that did not count
	voteRenewLead  = 500 * time.Millisecond  // a vote is renewed this long before it expires
)

// Handle processes one event and returns the actions to carry out. The slice is valid until the next call.
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
		r.admitRequest(e)
	case AttemptDone:
		r.finishAttempt(e)
	case ClientGone:
		if req := r.requests[e.ID]; req != nil {
			r.forgetRequest(req)
		}
	case TimerFired:
		r.tick()
	case PeerMessage:
		r.receivePeerMessage(e)
	case AnswerDisputed:
		r.countDisputedAnswer(e)
	case ReleaseStatus:
		r.updateRelease(e)
	}
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }

// tick does the periodic work: it updates the rates and the concurrency limit, works off the queue, sends
// reports to peers and votes.
func (r *Router) tick() {
	r.nextTickAt = r.now + tickInterval
	r.emit(SetTimer{After: tickInterval, Token: 1})
	r.ticks++
	step := max(tickInterval.Seconds()/2, 1/r.ticks) // a plain mean at first, later over about 2 s
	smooth(&r.requestRate, step, r.arrivals/tickInterval.Seconds())
	smooth(&r.demand, step, (r.arrivals-r.repeatArrivals)/tickInterval.Seconds())
	smooth(&r.servedRate, max(tickInterval.Seconds()/servedRateSeconds, 1/r.ticks),
		r.servedCount/tickInterval.Seconds())
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

// ---- Servers: the list, health and slow start ----

// updateServers applies a list, or changes to it, from discovery. A server that restarted loses its history.
func (r *Router) updateServers(e ServersListed) {
	if e.Failed { // reported only with WatchDiscovery
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
		case current.Build != entry.Build || current.Started != entry.Started: // restarted
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

// slowStartAllows reports whether a cold server may get one more request, and counts that request if spend is
// set. Without this limit, all routers together would overload a server that has just started. Each router
// uses at most slowStartBudgetPart of the allowed multiple of the rate that a server serves for it on
// average, so the sum stays within the budget whatever the routers' shares of the traffic are.
func (r *Router) slowStartAllows(s *server, spend bool) bool {
	warm := r.warmPart(s)
	if warm >= 1 || len(r.serverList) == 0 {
		return true
	}
	// Only the routers that have the server in their subset use it, so each of them may use more.
	rate := warm * r.slowStartRate() * r.groupOf(s.Build).subsetFactor()
	burst := max(1, rate*r.settings.OverloadTime.Seconds()/8)
	s.slowStartUsed = max(0, s.slowStartUsed-rate*(r.now-s.slowStartUpdatedAt).Seconds())
	s.slowStartUpdatedAt = r.now
	if spend {
		s.slowStartUsed++
	}
	return s.slowStartUsed+1 <= burst+1e-9
}

// slowStartRate returns the requests per second that this router may send to a server whose warm part is 1.
func (r *Router) slowStartRate() float64 {
	serverCount := max(1, len(r.base.all), len(r.trial.all))
	if r.settings.Rollout.RollingUpdate {
		serverCount = max(serverCount, r.readyCount)
	}
	return slowStartBudgetPart * r.settings.OverloadMultiple *
		max(r.servedRate, minServedPart*r.requestRate) / float64(serverCount)
}

// slowStartPart returns the part of its requests that the router may send to the cold servers of a group.
// Without it, each of many routers would have budget for a first request, and where few servers are left, all
// routers would send theirs to the same ones.
func (r *Router) slowStartPart(g group) float64 {
	sum := 0.0
	for _, s := range g.all {
		sum += r.warmPart(s)
	}
	return sum * r.slowStartRate() / max(r.requestRate, 1e-9)
}

// recordFailure counts a failure that the server may have caused, and makes the server suspect, so that it is
// avoided for a while, if the server certainly caused it (sure) or if the run of failures is improbable.
// Without this, a server that fails at once would look idle and attract traffic, and one that does not answer
// would hold it. Dead, silent, unreachable and failing servers are all covered. A run of failures has to be
// unlikely at the usual failure rate; otherwise requests that fail at any server would make all servers
// suspect.
func (r *Router) recordFailure(s *server, sure bool) {
	if s.consecutiveFailures++; sure ||
		math.Pow(max(r.failurePart, minFailureRate), float64(s.consecutiveFailures)) < suspectChance {
		s.suspectFor = min(max(2*s.suspectFor, firstAvoidTime), 16*firstAvoidTime)
		s.suspectUntil = r.now + s.suspectFor
	}
}

// ejectIfOutlier counts a failure that this router or a peer has seen, and ejects the server if it is an
// outlier of its build. In a large fleet a router rarely uses any one server; if routers did not share
// failures, each of them would need failed requests of its own to find out about a server. The ejection time
// is jittered, since otherwise all routers would come back at once. The price is that a healthy server may
// look like an outlier by chance. If all servers of a build fail, none is ejected.
func (r *Router) ejectIfOutlier(s *server, answeredError bool) {
	s.recentFailures++
	s.buildErrors += float64(oneIf(answeredError))
	g := r.groupOf(s.Build)
	if r.now > s.ejectedUntil+16*firstAvoidTime {
		s.ejectedFor = 0
	}
	suspected := s.ejectedFor > 0 || r.isOutlier(s) // half-open after an ejection: one failure is enough
	if s.ejectedUntil > r.now || !suspected ||
		float64(r.healthyCount(g)) < isolatedHealthyPart*float64(len(g.all)) {
		return
	}
	s.ejectedFor = min(max(2*s.ejectedFor, firstAvoidTime), 16*firstAvoidTime)
	s.ejectedUntil = r.now + s.ejectedFor/2 + time.Duration(r.rng.Int64N(int64(s.ejectedFor)))
	// Failing servers of the old build are ejected already, while those of the new build are only being
	// discovered. Counting the latter's failures would bias the comparison against the new build.
	if r.hasEjectedBaseServer() {
		r.uncountFailures(s)
	}
}

// isOutlier reports whether a server has more recent failures than is likely at its build's average.
func (r *Router) isOutlier(s *server) bool {
	g, sum := r.groupOf(s.Build), 0.0
	for _, other := range g.all {
		sum += other.recentFailures
	}
	return s.recentFailures >= minOutlierFailures &&
		poissonTail(sum/float64(max(1, len(g.all))), uint32(s.recentFailures)) < suspectChance
}

// ---- Builds and exposure ----

// trialCap returns the exposure cap and the stage that apply to a build that is not released.
func (r *Router) trialCap(build BuildID) (float64, int) {
	if build == r.release.Build || len(r.settings.Rollout.StageCap) == 0 {
		return r.release.Cap, r.release.Stage
	}
	return r.settings.Rollout.StageCap[0], 0 // the platform has not announced it: first stage
}

// isOnTrial reports whether the exposure cap applies to a build. (No request is sent before the first release
// status.)
func (r *Router) isOnTrial(b BuildID) bool {
	return b > r.release.Build || b == r.release.Build && r.release.Phase != Released
}

// trialAllows reports whether the exposure budget allows an attempt of this class at the build on trial now.
// With take set, the attempt is taken out of the budget.
func (r *Router) trialAllows(build BuildID, c *class, take bool) bool {
	exposureCap, stage := r.trialCap(build)
	if exposureCap <= 0 || stage < r.settings.Rollout.ClosedStages && c.Repeatability != Safe {
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

// groupServers divides the ready servers into those of the base build and those of the build on trial. The
// base is the newest build that is not on trial, preferably one that has not been rolled back or withdrawn.
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
	r.raiseKeyFloor()
}

// subsetOf returns the servers that this router uses. A router that gets no in-flight counts from its peers
// uses a subset, chosen by a hash of its own number. Without it, an idle router in a large fleet would open a
// new connection for each request, and would never learn which servers do not answer.
func (r *Router) subsetOf(group []*server) []*server {
	n := max(minSubsetSize, int(r.requestRate*subsetSeconds))
	if !r.inFlightUnshared || n >= len(group) {
		return group
	}
	ordered := slices.Clone(group)
	slices.SortFunc(ordered, func(a, b *server) int {
		return cmp.Compare(hash(uint64(a.ID), uint64(r.settings.Self)),
			hash(uint64(b.ID), uint64(r.settings.Self)))
	})
	return ordered[:n]
}

// trialChance returns the probability that the first attempt of a request goes to the build on trial:
// trialCapPart of the cap, or the new servers' part of the fleet where they are too few or too cold to carry
// that much.
func (r *Router) trialChance(c *class) float64 {
	exposureCap, stage := r.trialCap(r.trialBuild)
	if stage < r.settings.Rollout.ClosedStages && c.Repeatability != Safe {
		return 0
	}
	fleetSize, trialSize := float64(r.healthyCount(r.base)), 0.0
	if fleetSize == 0 {
		return 1
	}
	for _, s := range r.trial.all {
		// A cold server whose slow start budget is used up does not count; otherwise the warm ones would get
		// its traffic too.
		if s.isHealthy(r.now) && r.slowStartAllows(s, false) {
			trialSize += r.warmPart(s)
		}
	}
	// Without in-flight counts from peers, load does not spill over to the old build, and busier servers
	// would make the new build look worse. Where many answers are late, slightly slower servers miss many
	// more targets.
	if r.inFlightUnshared {
		fleetSize += trialSize
		trialSize *= max(0, 1-lateReduction*r.latePart)
	} else if r.settings.Rollout.RollingUpdate {
		fleetSize += float64(len(r.trial.all))
	}
	return min(trialCapPart*exposureCap, trialSize/fleetSize)
}

// ---- Choice of a server ----

// load returns the load of a server by which two choices are compared: the attempts in flight, relative to
// its current capacity, plus the costs of crossing zones and of a new connection.
func (r *Router) load(s *server) float64 {
	l := float64(s.inFlight+s.peerInFlight) / r.capacity(s)
	if s.Zone != r.settings.Zone {
		l += loadPerCost * r.settings.CrossZoneCost
	}
	return l + loadPerCost*r.settings.HandshakeCost*float64(oneIf(!r.isConnected(s)))
}

// pickServer draws two usable servers of a group at random and returns the less loaded (power of two
// choices). The second is drawn from the router's own zone with a probability that grows with the cross-zone
// cost. A first attempt may go to a suspect or ejected server if no other is left.
func (r *Router) pickServer(g group, req *request) *server {
	first := cmp.Or(r.drawServer(g.subset, req, false), r.drawServer(g.all, req, false))
	// Retries do not go to suspect or ejected servers, since that would become a retry storm where all
	// servers refuse.
	allowSuspects := first == nil && req.attempts == 0
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

// drawServer draws a usable server at random, weighted by current capacity, and falls back to a linear
// search. Without the weighting, routers that see nothing in flight would all prefer the largest and warmest
// servers at the same time.
func (r *Router) drawServer(servers []*server, req *request, allowSuspects bool) *server {
	usable := func(s *server) bool {
		healthy := s != req.server && s.isHealthy(r.now)
		admitted := r.warmPart(s) >= 1 || req.randomDraw < r.baseSlowStartPart ||
			req.drawnForTrial && r.isOnTrial(s.Build)
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
		unconnected = s // drawing again keeps many routers from opening connections to each of many servers
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

// mayAttemptAt reports whether an attempt at s respects the request's required zone and the rules for
// repeats: once an attempt may have run, an unsafe request is never repeated, and a keyed one only where and
// while its servers deduplicate it.
func (r *Router) mayAttemptAt(req *request, s *server) bool {
	windowOver := req.class.Repeatability == Unsafe || r.now+r.settings.ClockResolution >= req.dedupExpiry()
	sameScope := req.class.DedupScope == ScopeAll ||
		req.class.DedupScope == ScopeZone && s.Zone == req.mayHaveRunOn.Zone ||
		req.class.DedupScope == ScopeCell && s.Cell == req.mayHaveRunOn.Cell
	return (req.RequiredZone == "" || s.Zone == req.RequiredZone) &&
		(!req.mayHaveRun || req.class.Repeatability == Safe || !windowOver && sameScope)
}

// chooseServer returns the server for a request's next attempt, or nil if the request has to wait.
func (r *Router) chooseServer(req *request) *server {
	minBuild := r.minBuildFor(req)
	wantsTrial := minBuild == r.trialBuild || req.drawnForTrial && req.attempts == 0
	if len(r.trial.all) > 0 && wantsTrial && r.trialAllows(r.trialBuild, req.class, false) {
		trialServer, baseServer := r.pickServer(r.trial, req), r.pickServer(r.base, req)
		if trialServer != nil && baseServer != nil && minBuild == 0 &&
			r.load(trialServer) > spillOverLoad*(1+r.load(baseServer)) {
			return baseServer // busier servers would make the new build look worse
		}
		if trialServer != nil {
			return trialServer
		}
	}
	// A stale list may name base servers that no longer exist. If none is healthy, the build on trial serves
	// within its cap.
	if r.healthyCount(r.base) == 0 && r.healthyCount(r.trial) > 0 &&
		r.trialAllows(r.trialBuild, req.class, false) {
		return r.pickServer(r.trial, req)
	}
	if len(r.base.all) > 0 && r.base.all[0].Build >= minBuild {
		return r.pickServer(r.base, req)
	}
	return nil
}

// ---- Handling of a request ----

// admitRequest registers a new request and sends its first attempt or queues it.
func (r *Router) admitRequest(e RequestArrived) {
	c := r.classes[e.Class]
	if c == nil { // a class outside the settings is treated as the strictest
		c = &class{Class: Class{Name: e.Class, Repeatability: Unsafe, LatencyTarget: e.TimeLeft,
			Deadline: e.TimeLeft, Worth: 1}}
	}
	req := &request{RequestArrived: e, class: c, arrived: r.now, deadline: r.now + e.TimeLeft,
		priority: c.Worth}
	r.requests[e.ID], req.randomDraw = req, r.rng.Float64()
	r.arrivals++
	r.repeatArrivals += float64(oneIf(e.MarkedRetry)) // the original was counted already
	if t := r.tenants[e.Tenant]; t != nil {
		t.arrivals++
		if t.rate > overShareMultiple*t.share*r.requestRate {
			req.priority *= r.settings.OverShareWorth
		}
	}
	if exposureCap, _ := r.trialCap(r.trialBuild); r.trialBuild != 0 { // every request adds to the budget
		r.budget(r.trialBuild, c).earn(exposureCap)
	}
	r.drawForTrial(req)
	if !r.trySend(req) {
		r.enqueue(req)
	}
}

// drawForTrial decides at random whether the first attempt of a request goes to the build on trial. Where
// keys may only move forward, requests whose key is bound to that build use up a part of its share, so fewer
// of the others are drawn.
func (r *Router) drawForTrial(req *request) {
	if r.trialBuild == 0 {
		return
	}
	chance := r.trialChance(req.class)
	if r.settings.Rollout.ForwardOnly && req.HasKey {
		mayDraw, isPinned := r.mayDrawKey(req), r.keyBuilds[req.Key] == r.trialBuild
		if smooth(&req.class.pinnedPart, 0.02, float64(oneIf(isPinned))); isPinned || !mayDraw {
			return
		}
		chance = max(0, chance-req.class.pinnedPart)
	}
	req.drawnForTrial = r.rng.Float64() < chance
}

// trySend sends the next attempt and returns true if the concurrency limit and the rules allow it.
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
	r.emit(Send{ID: req.ID, Server: s.ID, SendBy: req.dedupExpiry(),
		ForwardOnly: r.settings.Rollout.ForwardOnly && req.HasKey})
	return true
}

// finishAttempt records the outcome of an attempt, and retries or ends its request.
func (r *Router) finishAttempt(e AttemptDone) {
	req := r.requests[e.ID]
	if req == nil || !req.attemptInFlight || e.Attempt != req.attempts-1 {
		return
	}
	s := req.server
	req.attemptInFlight = false
	s.inFlight--
	r.inFlight--
	s.lastUsedAt = r.now * time.Duration(oneIf(e.Outcome != ConnectFailed)) // 0: no connection is open
	if !req.overdue {
		unanswered := oneIf(e.Outcome == TimedOut || e.Outcome == Reset)
		smooth(&r.lostParts[oneIf(req.onIdleConn)], attemptSmoothing, float64(unanswered))
	}
	if r.now != r.stalledAt { // a router that stalled sees outcomes late: no fault of the servers
		r.recordOutcome(s, req, e)
		if e.Attempt > 0 {
			r.resolveFirstError(req, &e.Outcome)
		} else {
			r.recordEvidence(req, e)
		}
	}
	if e.Outcome == OK {
		r.servedCount++
		if !req.sentToTrial { // otherwise a slow new build would look like slow connecting
			smooth(&r.latencyRatios[oneIf(req.opensConn)], attemptSmoothing,
				e.Duration.Seconds()/req.class.LatencyTarget.Seconds())
		}
		smooth(&req.class.meanSeconds, 0.05, e.Duration.Seconds())
	}
	if req.HasKey && r.settings.Rollout.ForwardOnly && (e.Outcome == OK || e.AnswerBegun) {
		r.bindKey(req, req.sentTo.Build)
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

// isConnected reports whether a connection to a server should be open.
func (r *Router) isConnected(s *server) bool {
	return s.lastUsedAt > 0 && r.now <= s.lastUsedAt+r.settings.ConnIdleTimeout
}

// dropsIdleConns reports whether the network silently drops idle connections, that is, whether many more
// attempts stay unanswered on them than on others. Idle connections are then closed before a send, so that a
// server that does not answer fails already at the connect. The price is additional handshakes in the
// meantime.
func (r *Router) dropsIdleConns() bool {
	return r.lostParts[1] > highIdleLoss && r.lostParts[1] > 2*r.lostParts[0]
}

// countOverdue counts attempts as lost as soon as they exceed their latency target, since an attempt that is
// lost silently would otherwise show only at its deadline.
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

// connectsSlowly reports whether answers on new connections take much longer. In that case new servers, which
// need new connections, would make their build look bad.
func (r *Router) connectsSlowly() bool {
	return r.latencyRatios[0] > 0 && r.latencyRatios[1] > r.latencyRatios[0]+slowConnectMargin
}

// recordOutcome updates the server's health and the signals of overload from an outcome.
func (r *Router) recordOutcome(s *server, req *request, e AttemptDone) {
	smooth(&r.failurePart, attemptSmoothing/4,
		float64(oneIf(e.Outcome == TimedOut || e.Outcome == ServerError)))
	switch e.Outcome {
	case OK:
		if s.consecutiveFailures, s.suspectFor, s.suspectUntil = 0, 0, 0; s.ejectedUntil > 0 &&
			!r.isOutlier(s) {
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

// retryOrFinish retries a request if its class permits it, and otherwise gives the final answer at once.
func (r *Router) retryOrFinish(req *request, outcome Outcome) {
	useless := req.attempts > 1 ||
		r.requestFaultPart > highRequestFault && !req.sentToTrial && req.randomDraw > requestFaultRetryPart
	exhausted := outcome == ServerError && useless || req.attempts >= r.settings.MaxAttempts ||
		req.mayHaveRun && req.class.Repeatability == Unsafe
	if exhausted || r.isDeadlineNear(req) {
		r.finishRequest(req)
	} else if !r.trySend(req) {
		r.enqueue(req)
	}
}

// isDeadlineNear reports whether too little time is left to wait for another tick.
func (r *Router) isDeadlineNear(req *request) bool { return r.now+2*tickInterval >= req.deadline }

// finishRequest gives the final answer: a refusal if the client may safely try again, otherwise a failure.
func (r *Router) finishRequest(req *request) {
	if !req.mayHaveRun || req.class.Repeatability == Safe ||
		req.class.DedupScope == ScopeAll && r.now < req.dedupExpiry() {
		r.emit(Refuse{ID: req.ID, RetryAfter: r.settings.MaxRetryAfter / 2})
	} else {
		r.emit(Fail{ID: req.ID})
	}
	r.forgetRequest(req)
}

// forgetRequest drops a request that has ended. While it still has an attempt in flight, it is kept for the
// outcome.
func (r *Router) forgetRequest(req *request) {
	req.ended = true
	r.resolveFirstError(req, nil)
	r.repeatArrivals += float64(oneIf(!r.settings.MarksRetry)) // its client may send it again, unmarked
	if !req.attemptInFlight {
		delete(r.requests, req.ID)
	} else if r.settings.CanCancel { // nobody needs the answer any more
		r.emit(Cancel{ID: req.ID, Attempt: req.attempts - 1})
	}
}

// ---- Overload: the limit and the queue ----

// adjustLimit adapts the concurrency limit to the latency of answers: late answers cut it by a factor, timely
// ones raise it step by step (additive increase, multiplicative decrease).
func (r *Router) adjustLimit() {
	if r.limitAnswers < 5 {
		return
	}
	if r.limitLate > highLatePart*r.limitAnswers {
		r.limit = limitDecrease * min(r.limit, initialLimitPerServer*max(1, float64(r.inFlight)))
	} else if float64(r.inFlight) > 0.7*r.limit {
		r.limit++
	}
	r.limit = max(r.limit, 2,
		initialLimitPerServer/2*float64(len(r.serverList))/float64(max(1, r.settings.RouterCount)))
	r.limitAnswers, r.limitLate = 0, 0
}

// enqueue adds a request to the queue, in descending order of priority and then by arrival. A request whose
// client may give up before the next tick is ended at once, since the queue would be checked too late for it.
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

// drainQueue sends the queued requests that can go, and ends those that can no longer be served in time. It
// also ends the least valuable ones if the router holds more requests than it may; otherwise the host would
// refuse the next ones without regard to their value. Where no server may be used, searching for each waiting
// request would take all the router's time. So the requests of a class that have the same choice of servers
// are tried only until one of them finds none.
func (r *Router) drainQueue() {
	room := cmp.Or(r.settings.MaxOpenRequests, math.MaxInt) - r.inFlight
	r.queuePass++
	r.queue = slices.DeleteFunc(r.queue, func(req *request) bool {
		room--
		// A request that has not been sent yet waits for half of its client's time at most.
		maxWait := min(req.class.LatencyTarget, req.TimeLeft>>oneIf(req.attempts == 0)-tickInterval)
		tooLate := r.isDeadlineNear(req) ||
			r.now+time.Duration(req.class.meanSeconds*1e9) > req.arrived+maxWait
		if !req.ended && (tooLate || room < 0) {
			r.finishRequest(req)
		}
		blockedPass := &req.class.blockedPass[oneIf(req.drawnForTrial)+
			2*oneIf(req.randomDraw < r.baseSlowStartPart)+4*oneIf(r.keyBuilds[req.Key] == r.trialBuild)]
		if req.ended || (req.attempts > 0 || *blockedPass != r.queuePass) && r.trySend(req) {
			return true
		}
		*blockedPass = max(*blockedPass, r.queuePass*uint64(oneIf(req.attempts == 0)))
		return false
	})
}

// ---- Evidence ----

// recordEvidence counts a first attempt, in both arms, if its class is allowed at the current stage. Classes
// that only the old build may serve are left out, so that the mix of classes does not bias the comparison.
// Servers that may still be cold do not count. Counting continues after the release.
func (r *Router) recordEvidence(req *request, e AttemptDone) {
	c, seconds := req.class, e.Duration.Seconds()
	if req.sentRelease.Phase != OnTrial && e.Outcome == OK {
		c.recentSeconds[c.nextRecent%len(c.recentSeconds)] = seconds
		c.nextRecent++
	}
	closedClass := r.release.Phase == OnTrial && r.release.Stage < r.settings.Rollout.ClosedStages &&
		c.Repeatability != Safe
	group := r.groupOf(req.sentTo.Build)
	// A single faulty server would make its build look bad. While most servers of its build are healthy, a
	// server that fails several times in a row is itself at fault. The same holds for an outlier, but only if
	// old servers are outliers too, since the first servers of a bad build may stand out because of the
	// build. Slow or failed connecting is never attributed to a build.
	isolated := (req.server.suspectUntil > r.now ||
		req.server.ejectedUntil > r.now && r.hasEjectedBaseServer()) &&
		float64(r.healthyCount(group)) >= isolatedHealthyPart*float64(len(group.all))
	unrelated := e.Outcome == ConnectFailed || isolated || req.opensConn && r.connectsSlowly()
	youngServer := req.sentTo.Started != 0 && req.sentAt < req.sentTo.Started+minEvidenceAge
	if e.Outcome == Cancelled || e.Outcome == NotSent || unrelated || closedClass || youngServer ||
		req.sentRelease.Build != r.release.Build {
		return
	}
	// A router that gets no in-flight counts is idle enough to open connections for nearly all requests to
	// new servers, so latency on new connections is not compared.
	measured := c.slowThreshold > 0 && !(r.inFlightUnshared && req.opensConn)
	outcome := Arm{Attempts: 1, Missed: oneIf(e.Outcome != OK || e.Duration > c.LatencyTarget),
		Errors: oneIf(e.Outcome == ServerError), Measured: oneIf(measured),
		Slow: oneIf(measured && seconds > c.slowThreshold)}
	req.firstOutcome = firstOutcome{Arm: outcome, build: req.sentTo.Build, release: req.sentRelease}
	if e.Outcome != OK {
		req.firstOutcome.failedServer = req.server
	}
	if outcome.Errors == 0 {
		r.countFirstAttempt(req)
	}
}

// resolveFirstError decides whether the error of a first attempt counts, by the outcome of the request's
// attempt at another server. If that failed too, the request is at fault and does not count; otherwise
// requests that fail at any server would look like a burst of demand and like a bad build. An error does not
// count either if the class allows a second attempt, which could have shown the cause, but none gave a result
// (outcome is nil if there was none), or if most errors are the requests' fault. The price: if a released
// build fails nearly all requests of a class, fewer of its errors count.
func (r *Router) resolveFirstError(req *request, outcome *Outcome) {
	if req.firstOutcome.Errors == 0 {
		return
	}
	requestFault := r.requestFaultPart > highRequestFault || req.class.Repeatability != Unsafe
	// A failed retry does not show that the request is at fault if it cannot go to another build: no base
	// server is left, or the base build has just been released.
	noComparison := len(r.base.all) == 0 ||
		r.release.Phase == Released && r.now < r.stageStart+fleetSlowdownTime
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

// countDisputedAnswer counts an answer that a client found wrong as failed; it was counted as served before.
func (r *Router) countDisputedAnswer(e AnswerDisputed) {
	s := r.servers[e.Server]
	if s == nil || r.now-e.AttemptAge < s.Started {
		return // the server's build at that time is no longer known
	}
	for _, c := range []*Counts{&r.buildCounts, &r.stageCounts} {
		a := c.arm(s.Build == r.release.Build)
		if a.Missed < a.Attempts && (c == &r.buildCounts || r.now-e.AttemptAge >= r.stageStart) {
			a.Missed, a.Wrong = a.Missed+1, a.Wrong+1
		}
	}
}

// setSlowThresholds sets, at the start of a trial, each class's slow threshold to the slowQuantile of the
// latencies before the trial.
func (r *Router) setSlowThresholds() {
	for _, c := range r.classes {
		if n := min(c.nextRecent, len(c.recentSeconds)); n >= minBaselineAnswers {
			sorted := slices.Sorted(slices.Values(c.recentSeconds[:n]))
			c.slowThreshold, c.baselineAnswers = sorted[int(slowQuantile*float64(n))], uint32(n)
		}
	}
}

// sendReport sends the router's counts to the voters. The traffic of reports between all routers would grow
// with the square of their number, and most routers have little to report. So the interval follows from a
// number of bytes that is allowed per request received.
func (r *Router) sendReport() {
	if r.now < r.nextReportAt {
		return
	}
	data := r.ownReport().Encode()
	r.nextReportAt = r.now + min(max(r.messageInterval(len(data)*votersPerBuild, reportBytesPerRequest),
		reportInterval), 8*reportInterval)
	for _, v := range r.voters {
		if v != r.settings.Self && (r.release.Phase == OnTrial ||
			r.release.Phase == Released && r.buildCounts.Old.Attempts > 0) {
			r.emit(Post{Peer: v, Data: data})
		}
	}
}

// messageInterval returns the time in which the router receives enough requests to allow a number of bytes.
func (r *Router) messageInterval(bytes int, perRequest float64) time.Duration {
	return time.Duration(float64(bytes) / max(0.1, perRequest*r.requestRate) * 1e9)
}

// sendInFlight sends all peers the attempts in flight and the servers where attempts have failed, if the
// bytes allowed per request suffice to do so before the previous report expires. Otherwise it sends only the
// failures, which are few and costly to discover. It also discards the in-flight reports of peers that have
// sent nothing for inFlightTTL.
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
		return max(r.messageInterval((messageOverheadBytes+len(m.Encode()))*(r.settings.RouterCount-1),
			inFlightBytesPerRequest), inFlightTTL/10)
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

// receivePeerMessage processes a message from a peer. Malformed and impossible messages are dropped.
func (r *Router) receivePeerMessage(e PeerMessage) {
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
	if _, known := r.peerReports[key]; !known { // corrupt messages could contain any number of incarnations
		if r.peerIncarnations[e.From]++; r.peerIncarnations[e.From] > maxIncarnations {
			return
		}
	}
	if !report.isOlderThan(r.peerReports[key]) { // otherwise it was delayed on the way
		r.peerReports[key], r.latestReports[e.From] = report, report
	}
}

// ---- The statistical test ----

// harmPValue returns the p-value of the hypothesis that the new build's part of bad outcomes exceeds the old
// build's by no more than margin. Each outcome becomes a score: the difference of the builds beyond the
// margin, plus (old build) or minus (new build) the outcome's residual within its build, weighted by the
// inverse of that build's part of the outcomes. The two-armed bandit's walk runs over random orderings of the
// scores, and the p-values of these orderings are combined by the Cauchy combination test.
func harmPValue(rng *rand.Rand, oldN, oldBad, newN, newBad uint32, margin float64) float64 {
	if total := uint64(oldN) + uint64(newN); total > maxWalkOutcomes {
		scale := func(n uint32) uint32 { return uint32(uint64(n) * maxWalkOutcomes / total) }
		oldN, oldBad, newN, newBad = scale(oldN), scale(oldBad), scale(newN), scale(newBad)
	}
	oldBad, newBad = min(oldBad, oldN), min(newBad, newN) // rounding may give more bad outcomes than outcomes
	nNew, nOld := float64(newN), float64(oldN)
	n := nNew + nOld
	if nNew == 0 || nOld == 0 {
		return 1
	}
	goodOld, goodNew, newPart := 1-float64(oldBad)/nOld, 1-float64(newBad)/nNew, nNew/n
	diff := goodOld - goodNew - margin
	scores := make([]float64, 0, oldN+newN)
	add := func(score float64, times uint32) {
		for range times {
			scores = append(scores, score)
		}
	}
	add(diff+(1-goodOld)/(1-newPart), oldN-oldBad)
	add(diff-goodOld/(1-newPart), oldBad)
	add(diff-(1-goodNew)/newPart, newN-newBad)
	add(diff+goodNew/newPart, newBad)
	sumSquares := 0.0 // the mean score is diff, since the residuals of each arm sum to 0
	for _, v := range scores {
		sumSquares += (v - diff) * (v - diff)
	}
	if n < 2 || sumSquares < 1e-12 {
		return 1 // no variance, so no evidence against the build
	}
	scale := 1 / (math.Sqrt(n) * math.Sqrt(sumSquares/(n-1)))
	statistic := 0.0
	for range walkPermutations {
		rng.Shuffle(len(scores), func(i, j int) { scores[i], scores[j] = scores[j], scores[i] })
		p := math.Erfc(math.Abs(walk(scores, scale, rng.Uint64()&1 == 0)) / math.Sqrt2)
		statistic += math.Tan((0.5-max(p, 1e-15))*math.Pi) / float64(walkPermutations)
	}
	return 0.5 - math.Atan(statistic)/math.Pi
}

// walk returns the end of the two-armed bandit's walk: it adds the next value while its sum is positive, and
// subtracts it otherwise. The first value is added if startUp is set.
func walk(scores []float64, scale float64, startUp bool) float64 {
	sum := 0.0
	for i, v := range scores {
		if i == 0 && !startUp || i > 0 && sum <= 0 {
			v = -v
		}
		sum += v * scale
	}
	return sum
}

// ---- Votes ----

// votersOf returns the routers that vote on a build, in the order in which they vote.
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

// hash mixes two numbers into a well-distributed one (SplitMix64).
func hash(a, b uint64) uint64 {
	x := a<<32 + b + 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// updateRelease processes the platform's status of the newest build, which comes unasked or in reply to a
// vote.
func (r *Router) updateRelease(e ReleaseStatus) {
	if e.IsReply {
		r.vote.pendingSince, r.vote.castAt = 0, r.now+voteRetryPause
		if e.Reply != VoteCounted {
			return // only the reply to a vote that counts carries a status
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
			b.earned = 0 // what was earned under a higher cap is void
		}
	}
	if !wasKnown || previous.Build != e.Build || previous.Stage != e.Stage || previous.Phase != e.Phase {
		if previous.Build != e.Build || !wasKnown { // the usual demand is not known after a restart
			r.voters, r.buildCounts, r.baselineSlowPart = r.votersOf(e.Build), Counts{}, 1-slowQuantile
			r.usualDemand = max(r.demand, 0.01) * float64(oneIf(wasKnown))
			r.setSlowThresholds()
			r.dropOldBuilds()
			for _, s := range r.serverList {
				s.buildErrors = 0
			}
			r.errorSpans = errorSpans{endsAt: r.now}
			if !wasKnown { // the first reports of peers contain all that they counted before this start
				r.errorSpans = errorSpans{endsAt: r.now + 8*reportInterval, skip: true}
			}
		}
		r.stageCounts, r.vote, r.stageStart = Counts{}, voteState{}, r.now-e.StageAge
		clear(r.keyUses)
	}
	r.groupServers()
	r.drainQueue()
}

// testAndVote runs the main test once per stage, when the sample is large enough or the stage timeout has
// passed, and casts or renews the vote. The guards errorsIncreased and fleetSlowed may vote to roll a build
// back at any time until the next build is announced.
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
	verdict, reason := VoteNone, ""
	if v.verdict != VoteRollBack && r.now >= v.nextGuardAt {
		// With a high cap, the build advances soon, so the guards run more often.
		v.nextGuardAt = r.now + guardInterval/time.Duration(1+4*oneIf(r.release.Cap >= fleetSlowdownCap))
		if r.errorsIncreased(total) {
			verdict, reason = VoteRollBack, "errors"
		} else if r.fleetSlowed(stage) {
			verdict, reason = VoteRollBack, "the fleet slowed"
		}
	}
	if !v.tested && r.release.Phase == OnTrial && verdict == VoteNone {
		due, earliest := r.stageStart+2*stageTimeout, r.stageStart+2*stageTimeout // if no server is listed
		if r.newestListedAt > r.stageStart {
			due, earliest = r.newestListedAt+stageTimeout, r.newestListedAt+r.settings.Rollout.MinStageTime
		}
		if r.now < due && (stage.New.Attempts < testSampleSize || r.now < earliest) {
			return
		}
		oldArm, newArm := stage.Old, stage.New
		verdict, reason = VoteAdvance, "no harm seen"
		if harmPValue(r.rng, oldArm.Attempts, oldArm.Missed, newArm.Attempts, newArm.Missed,
			missedMargin) < significanceLevel {
			verdict, reason = VoteRollBack, "served less in time"
		} else if newArm.Measured >= testSampleSize &&
			harmPValue(r.rng, oldArm.Measured, oldArm.Slow, newArm.Measured, newArm.Slow,
				slowMargin) < significanceLevel {
			verdict, reason = VoteRollBack, "slower answers"
		}
	}
	if verdict != VoteNone {
		wait := map[Verdict]time.Duration{VoteAdvance: voteStagger, VoteRollBack: voteStagger / 3}[verdict]
		v.tested, v.verdict, v.castAt = true, verdict, r.now+time.Duration(rank)*wait
		r.emit(Log{fmt.Sprintf("build %d stage %d: %s; old, new (n miss err slow wrong): %v total %v",
			r.release.Build, r.release.Stage, reason, stage, total)})
	}
	advancesAlone := v.verdict == VoteAdvance && r.settings.Rollout.AutoAdvance // no vote needed
	if !v.tested || advancesAlone ||
		v.pendingSince != 0 && r.now < v.pendingSince+r.settings.Rollout.VoteTimeout+voteRetryPause ||
		r.now < v.castAt {
		return
	}
	v.pendingSince = r.now
	r.emit(Vote{Build: r.release.Build, Stage: r.release.Stage, Verdict: v.verdict})
}

// errorsIncreased is the guard against builds that become bad after the main test: late, under load, for a
// class that was closed, or by few wrong answers, of which only a part is disputed. It compares errors by the
// same walk with a smaller margin than the main test's. With few errors among few answers, where the walk has
// no power yet, it uses the exact Poisson tail. Healthy builds hardly ever answer with errors, so frequent
// tests cost them little.
//
// A new build gets most of its answers late in a trial, the old one early. If servers begin to fail
// meanwhile, a comparison of the sums would disfavor the new build; so each span's errors are compared with
// the old build's in the same span. A few faulty servers give most of the errors, and a build that got more
// such servers would look bad; so answers count for less where the old build's servers fail unevenly (see
// designEffect). The price is that a bad build is harder to detect if it arrives while servers are faulty.
func (r *Router) errorsIncreased(total Counts) bool {
	spans := r.errorSpans
	spans.close(total, spanPriorAnswers, r.designEffect())
	baselineRate, baselineAnswers, answers, errors := spans.baselineErrorRate(), spans.baselineWeight(),
		uint32(spans.answers+0.5), uint32(max(0, spans.errors)+0.5)
	threshold := baselineRate + errorMargin
	return errors >= minGuardErrors && spans.errors/spans.answers > threshold &&
		(poissonTail(spans.answers*threshold, errors) < significanceLevel/20 ||
			harmPValue(r.rng, uint32(baselineAnswers), uint32(baselineRate*baselineAnswers+0.5),
				max(answers, errors), errors, errorMargin) < significanceLevel)
}

// fleetSlowed is the guard against a build that slows the servers of both builds in proportion to its own
// traffic, so that a comparison of the two shows no difference. The walk compares each arm with the time
// before the trial. Both must have become slower; otherwise faulty servers are the cause. The price is that
// it may reject a build that got much traffic just as a large part of the fleet was lost.
func (r *Router) fleetSlowed(stage Counts) bool {
	wideExposure := r.release.Cap >= fleetSlowdownCap &&
		(r.release.Phase == OnTrial || r.now < r.stageStart+fleetSlowdownTime)
	demand, usualDemand, baseline := r.pooledDemand()
	// Once there is another cause, the stage's counts contain its effect.
	r.vote.otherCause = r.vote.otherCause || r.connectsSlowly() || demand >= highDemandMultiple*usualDemand
	if old := stage.Old; r.release.Stage == 0 && !wideExposure && !r.vote.otherCause &&
		old.Measured >= testSampleSize {
		r.baselineSlowPart = max(1-slowQuantile, ratio(old.Slow, old.Measured)) // not yet due to the build
	}
	stage.Old = map[bool]Arm{true: stage.Old}[len(r.base.all) > 0] // only if old servers are left
	if !wideExposure || r.vote.otherCause || max(stage.Old.Measured, stage.New.Measured) < testSampleSize {
		return false
	}
	severe := r.release.Phase == OnTrial && r.highestLatencyRatio() > fleetSeverePart // see fleetMissedPart
	for _, arm := range []Arm{stage.Old, stage.New} {
		slow := uint32(r.baselineSlowPart * float64(baseline))
		slowIncrease, missedPart := ratio(arm.Slow, arm.Measured)-ratio(slow, baseline),
			ratio(arm.Missed, arm.Attempts)
		if arm.Measured >= testSampleSize && (slowIncrease <= fleetSlowMargin ||
			missedPart < fleetMissedPart && (!severe || slowIncrease <= fleetSeverePart) ||
			harmPValue(r.rng, baseline, slow, arm.Measured, arm.Slow, fleetSlowMargin) >= significanceLevel) {
			return false
		}
	}
	return true
}
