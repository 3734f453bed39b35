package logic

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds what a router keeps between events, and small helpers on it.

// Router makes the decisions of one router instance: which server gets each attempt, and how it votes on builds. It
// is not safe for concurrent use.
type Router struct {
	settings Settings
	now      time.Duration // of the current event
	rng      *rand.Rand
	actions  []Action // of the current event
	started  bool

	servers          map[ServerID]*server
	serversByShortID map[uint16]*server
	serverList       []*server // all servers, sorted by ID
	maxWeight        float64   // the largest weight in serverList
	readyCount       int       // servers in serverList that accept new work
	base, trial      group     // the servers of the base build, and those of the build on trial

	baseSlowStartPart float64 // slowStartPart of the base group
	trialBuild        BuildID // 0: none
	release           ReleaseStatus
	releaseKnown      bool
	rejectedBuilds    map[BuildID]bool // builds that were rolled back or withdrawn

	classes   map[string]*class
	tenants   map[string]*tenant
	budgets   map[budgetKey]*budget
	keyBuilds map[uint64]BuildID // with ForwardOnly: the newest build that has answered a key
	keyUses   map[uint64]int     // with ForwardOnly: requests per key in this stage, while it is closed
	keyFloor  BuildID            // with ForwardOnly: all keys are bound to this build, or to newer ones; 0: none

	requests  map[RequestID]*request
	queue     []*request
	queuePass uint64 // number of the current pass over the queue
	inFlight  int    // attempts in flight

	limit, limitAnswers, limitLate float64 // concurrency limit; answers, and late ones, since it was last adapted
	requestRate, arrivals, ticks   float64 // requests per second; requests since the last tick; ticks so far

	// New requests per second, now and before the trial; repeats since the last tick, known or presumed, which
	// do not count as new requests.
	demand, usualDemand, repeatArrivals float64

	failurePart             float64       // part of attempts that ended in an error or a timeout
	requestFaultPart        float64       // part of errors that recurred at another server
	latePart                float64       // part of the base build's answers that were late
	latencyRatios           [2]float64    // ratio of latency to its target, on open and on new connections
	servedCount, servedRate float64       // requests served since the last tick; per second, over a longer time
	lostParts               [2]float64    // part of attempts without an answer, on other and on idle connections
	nextTickAt, stalledAt   time.Duration // the next tick; the last event that showed a stall

	inFlightUnshared             bool // too many peers or too little traffic to share in-flight counts
	incarnation                  uint32
	stageCounts, buildCounts     Counts     // this router's, of the current stage and of the build
	errorSpans                   errorSpans // of the build, over all routers
	peerReports                  map[peerKey]Report
	peerIncarnations             map[int]int    // number of incarnations per peer during this build
	latestReports                map[int]Report // by peer
	peerInFlight                 map[int]peerInFlight
	voters                       []int         // the routers that vote on the current build, in order
	stageStart, newestListedAt   time.Duration // when the stage began; when its newest server was listed
	nextReportAt, nextInFlightAt time.Duration // when the next messages to peers are due
	vote                         voteState
	baselineSlowPart             float64 // part of slow answers while the new build had hardly any traffic
}

// New returns a router that knows nothing but its settings. The seed determines all of its random choices.
func New(s Settings, seed uint64) *Router {
	r := &Router{settings: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers: map[ServerID]*server{}, rejectedBuilds: map[BuildID]bool{}, classes: map[string]*class{},
		tenants: map[string]*tenant{}, budgets: map[budgetKey]*budget{}, keyBuilds: map[uint64]BuildID{},
		keyUses: map[uint64]int{}, requests: map[RequestID]*request{}, peerReports: map[peerKey]Report{},
	}
	r.incarnation, r.latestReports, r.peerInFlight = r.rng.Uint32(), map[int]Report{}, map[int]peerInFlight{}
	r.peerIncarnations = map[int]int{}
	r.serversByShortID = map[uint16]*server{}
	for _, c := range s.Classes {
		r.classes[c.Name] = &class{Class: c}
	}
	for _, t := range s.Tenants {
		r.tenants[t.Name] = &tenant{share: t.Share}
	}
	return r
}

// SetSharesAndWorths replaces the shares of tenants and the worths of classes. Those that are not named get
// the values of the settings.
func (r *Router) SetSharesAndWorths(shares, worth map[string]float64) {
	for _, t := range r.settings.Tenants {
		share, ok := shares[t.Name]
		if !ok {
			share = t.Share
		}
		r.tenants[t.Name].share = share
	}
	for _, c := range r.settings.Classes {
		w, ok := worth[c.Name]
		if !ok {
			w = c.Worth
		}
		r.classes[c.Name].Worth = w
	}
}

// class is a class of requests with its measured latencies.
type class struct {
	Class
	meanSeconds     float64     // mean duration of served attempts, smoothed
	pinnedPart      float64     // part of requests whose key is bound to the build on trial, smoothed
	recentSeconds   [64]float64 // durations of the latest answers outside a trial, a ring buffer
	nextRecent      int
	slowThreshold   float64   // in seconds; slower answers are slow; 0: not known
	baselineAnswers uint32    // number of answers from which slowThreshold was computed
	blockedPass     [8]uint64 // by kind of request: the queuePass in which a first attempt found no server; see drainQueue
}

// tenant holds a tenant's share, its requests per second, and its requests since the last tick.
type tenant struct{ share, rate, arrivals float64 }

// request is a request that has no final answer yet, or whose last attempt is still in flight.
type request struct {
	RequestArrived
	class                *class
	arrived, deadline    time.Duration
	priority             float64 // the worth, by which the queue is sorted
	attempts             int
	attemptInFlight      bool
	server               *server       // of the last attempt
	sentAt, mayHaveRunAt time.Duration // when the last attempt was sent, and the first that may have run
	sentRelease          ReleaseStatus // as known at the last send
	sentToTrial          bool
	sentTo, mayHaveRunOn Server // the servers of these two attempts, as listed when they were sent
	mayHaveRun           bool
	randomDraw           float64 // drawn once; compared with slowStartPart and requestFaultRetryPart
	drawnForTrial, ended bool    // selected for the build on trial; answered, or its client has gone
	onIdleConn, overdue  bool    // sent on a connection that was idle for long; past its latency target
	opensConn            bool    // sent without an open connection
	firstOutcome         firstOutcome
}

// dedupExpiry returns the time from which servers no longer deduplicate repeats of a keyed request that may
// have run, or 0 where no such time applies.
func (q *request) dedupExpiry() time.Duration {
	if !q.mayHaveRun || q.class.Repeatability != Keyed {
		return 0
	}
	return q.mayHaveRunAt + q.class.DedupWindow
}

// firstOutcome is the evidence that a request's first attempt gives on its build. It is kept back while a
// second attempt may still show whether the request itself is at fault.
type firstOutcome struct {
	Arm
	build        BuildID
	release      ReleaseStatus
	failedServer *server // where the attempt failed; nil: it did not
}

// countedFailures holds the failures of a server that this router has counted, in one stage of a build and in
// all of its stages.
type countedFailures struct {
	release      ReleaseStatus
	stage, build Arm
}

// server is a listed server with the router's own measurements.
type server struct {
	Server
	health
	inFlight           int           // attempts in flight there
	peerInFlight       int           // attempts that peers have in flight there
	slowStartUpdatedAt time.Duration // when slowStartUsed was last updated
	lastUsedAt         time.Duration // when its connections were last used; 0: none is open
	slowStartUsed      float64       // slow start budget used, in requests
}

// health holds the failures of a server and what follows from them. A server is suspect by failures that this
// router has seen itself, and ejected as an outlier by failures that any router has seen.
type health struct {
	consecutiveFailures         int             // of this router's attempts
	suspectFor, suspectUntil    time.Duration   // length and end of the time for which the server is suspect
	recentFailures, buildErrors float64         // seen by any router: of late; since the newest build appeared
	ejectedFor, ejectedUntil    time.Duration   // length and end of the ejection
	countedFailures             countedFailures // by this router
	unsharedFailure             bool            // an attempt failed since the last message to peers
	unsharedError               bool            // it failed with an error
}

// isHealthy reports whether a server is neither suspect nor ejected.
func (h *health) isHealthy(now time.Duration) bool {
	return h.suspectUntil <= now && h.ejectedUntil <= now
}

// group holds the servers of one build, sorted by ID: all, those in the router's zone, and those that it
// uses.
type group struct{ all, sameZone, subset []*server }

// subsetFactor returns the ratio of all servers to those that the router uses.
func (g group) subsetFactor() float64 { return float64(len(g.all)) / float64(max(1, len(g.subset))) }

// add appends a server of the group's build.
func (g *group) add(s *server, zone string) {
	g.all = append(g.all, s)
	if s.Zone == zone {
		g.sameZone = append(g.sameZone, s)
	}
}

// budgetKey identifies a budget.
type budgetKey struct {
	build BuildID
	class string // empty if all classes share one budget
}

// budget limits the attempts at a build on trial. Requests earn parts of an attempt, of which one attempt at
// most is kept. The other free attempts are slots, each of which is available again one exposure window after
// its use. So any window contains at most FreeAttempts + cap x requests, wherever it begins.
type budget struct {
	earned    float64
	freeSlots []time.Duration // when each free slot was last used
}

// earn adds the part of an attempt that one request earns.
func (b *budget) earn(part float64) { b.earned = min(1, b.earned+part) }

// voteState is the state of this router's vote in the current stage.
type voteState struct {
	verdict              Verdict
	castAt, pendingSince time.Duration // when to cast or renew the vote; when one without a reply was cast, 0: none
	nextGuardAt          time.Duration
	tested, otherCause   bool // the stage was tested; something other than the build may explain slowness
}

// errorSpans sums up the comparison of a new build's errors with the old build's in the same short spans of
// time.
type errorSpans struct {
	endsAt                        time.Duration // the end of the open span
	skip                          bool          // the open span contains counts from long before it
	startCounts                   Counts        // pooled counts at the start of the open span
	answers, errors               float64       // of the new build in closed spans; errors include wrong answers
	expectedErrors, weightSquares float64       // errors expected at the old build's rate; see baselineWeight
}

// close ends a span with the counts pooled by then. All earlier answers of the old build weigh as much as
// priorAnswers of the span, so that a span with few answers has little influence. Every designEffect answers
// count as one.
func (s *errorSpans) close(total Counts, priorAnswers, designEffect float64) {
	previous := s.startCounts
	if s.startCounts = total; s.skip {
		s.skip = false
		return
	}
	increase := func(now, then uint32) float64 { // negative where failures were uncounted
		return (float64(now) - float64(then)) / designEffect
	}
	n, weight := increase(total.New.Attempts, previous.New.Attempts),
		increase(total.Old.Attempts, previous.Old.Attempts)+priorAnswers/designEffect
	errors := increase(total.Old.errorCount(), previous.Old.errorCount()) +
		priorAnswers/designEffect*ratio(total.Old.errorCount(), total.Old.Attempts)
	s.answers += n
	s.errors += increase(total.New.errorCount(), previous.New.errorCount())
	s.expectedErrors += n * errors / weight
	s.weightSquares += n * n / weight
}

// baselineErrorRate returns the old build's part of errors, each span weighted by the new build's answers in
// it.
func (s *errorSpans) baselineErrorRate() float64 {
	return max(0, s.expectedErrors) / max(1e-9, s.answers)
}

// baselineWeight returns the effective number of the old build's answers behind baselineErrorRate.
func (s *errorSpans) baselineWeight() float64 {
	return s.answers * s.answers / max(1e-9, s.weightSquares)
}

// designEffect returns the ratio of the variance of errors between the old build's servers to the variance
// that chance alone would cause if all had the same error rate. Only one in that many errors is independent
// evidence on a build. If no old server is left, the new build's servers are used.
func (r *Router) designEffect() float64 {
	g := r.base
	if len(g.all) == 0 {
		g = r.trial
	}
	sum, sumSquares, n := 0.0, 0.0, float64(len(g.all))
	for _, s := range g.all {
		sum += s.buildErrors
		sumSquares += s.buildErrors * s.buildErrors
	}
	if n < 2 || sum == 0 {
		return 1
	}
	return max(1, (sumSquares-sum*sum/n)/(sum/n)/(n-1))
}

// peerInFlight is a peer's latest in-flight report and the time of its receipt.
type peerInFlight struct {
	report     InFlightReport
	receivedAt time.Duration
}

// toHundredths returns x in hundredths, limited to 16 bits.
func toHundredths(x float64) uint16 { return uint16(min(100*max(0, x), math.MaxUint16)) }

// errorCount returns the number of errors and wrong answers.
func (a Arm) errorCount() uint32 { return a.Errors + a.Wrong }

// ratio returns part / all, or part if all is 0.
func ratio(part, all uint32) float64 { return float64(part) / float64(max(1, all)) }

// addPeerInFlight adds a peer's attempts in flight (sign 1) or removes them (sign -1).
func (r *Router) addPeerInFlight(report InFlightReport, sign int) {
	for _, b := range report {
		if s := r.serversByShortID[b.Server]; s != nil {
			s.peerInFlight = max(0, s.peerInFlight+sign*b.InFlight)
		}
	}
}

// smooth updates an exponential moving average, in which the new value has the weight step.
func smooth(average *float64, step, value float64) { *average += step * (value - *average) }

// ownReport returns this router's report.
func (r *Router) ownReport() Report {
	m := Report{Incarnation: r.incarnation, Build: r.release.Build, Stage: r.stageNumber(),
		StageCounts: r.stageCounts,
		BuildCounts: r.buildCounts, Demand: toHundredths(r.demand), UsualDemand: toHundredths(r.usualDemand)}
	for _, c := range r.classes {
		m.BaselineAnswers += c.baselineAnswers
	}
	return m
}

// pooledCounts sums the counts of the current stage and build over all routers and their incarnations.
func (r *Router) pooledCounts() (stage, total Counts) {
	stage, total = r.stageCounts, r.buildCounts
	for _, m := range r.peerReports {
		if m.Build == r.release.Build {
			total.add(m.BuildCounts)
			if m.Stage == r.stageNumber() {
				stage.add(m.StageCounts)
			}
		}
	}
	return stage, total
}

// countFirstAttempt adds the first attempt of a request to the counts.
func (r *Router) countFirstAttempt(req *request) {
	f := req.firstOutcome
	req.firstOutcome = firstOutcome{}
	if f.Attempts == 0 || f.release.Build != r.release.Build {
		return
	}
	if f.failedServer != nil {
		f.failedServer.countFailure(f)
	}
	r.buildCounts.arm(f.build == r.release.Build).add(f.Arm)
	if f.release.Phase == r.release.Phase && f.release.Stage == r.release.Stage {
		r.stageCounts.arm(f.build == r.release.Build).add(f.Arm)
	}
}

// countFailure remembers what a server's failure has added to the counts, so that it can be uncounted.
func (h *health) countFailure(f firstOutcome) {
	c := &h.countedFailures
	if c.release.Build != f.release.Build {
		*c = countedFailures{}
	}
	if c.release.Stage != f.release.Stage || c.release.Phase != f.release.Phase {
		c.stage = Arm{}
	}
	c.release = f.release
	failed := Arm{Missed: 1, Errors: f.Errors}
	c.stage.add(failed)
	c.build.add(failed)
}

// uncountFailures removes a server's failures from the counts. Its attempts remain, as if they had succeeded.
func (r *Router) uncountFailures(s *server) {
	c, isNew := s.countedFailures, s.Build == r.release.Build
	if s.countedFailures = (countedFailures{}); c.release.Build != r.release.Build {
		return
	}
	subtract := func(from *Arm, by Arm) {
		from.Missed, from.Errors = from.Missed-min(by.Missed, from.Missed), from.Errors-min(by.Errors, from.Errors)
	}
	subtract(r.buildCounts.arm(isNew), c.build)
	if c.release.Stage == r.release.Stage && c.release.Phase == r.release.Phase {
		subtract(r.stageCounts.arm(isNew), c.stage)
	}
}

// hasEjectedBaseServer reports whether a server of the base build is ejected.
func (r *Router) hasEjectedBaseServer() bool {
	return slices.ContainsFunc(r.base.all, func(s *server) bool { return s.ejectedUntil > r.now })
}

// dropOldBuilds drops the data of builds that are no longer relevant. Without it, memory would grow with each
// new build and each restart of a peer.
func (r *Router) dropOldBuilds() {
	oldest := r.release.Build
	for _, s := range r.serverList {
		oldest = min(oldest, s.Build)
	}
	clear(r.peerIncarnations)
	maps.DeleteFunc(r.peerReports, func(_ peerKey, m Report) bool { return m.Build < r.release.Build })
	maps.DeleteFunc(r.budgets, func(k budgetKey, _ *budget) bool { return k.build < r.release.Build })
	maps.DeleteFunc(r.rejectedBuilds, func(b BuildID, _ bool) bool { return b < oldest })
	maps.DeleteFunc(r.keyBuilds, func(_ uint64, b BuildID) bool { return b <= max(oldest, r.keyFloor) })
}

// highestLatencyRatio returns the ratio of mean latency to latency target, for the class in which it is
// highest.
func (r *Router) highestLatencyRatio() (highest float64) {
	for _, c := range r.classes {
		highest = max(highest, c.meanSeconds/c.LatencyTarget.Seconds())
	}
	return highest
}

// poissonTail returns the probability of n or more events under a Poisson distribution with this mean.
func poissonTail(mean float64, n uint32) float64 {
	p, sum := math.Exp(-mean), 0.0
	for k := range n {
		sum += p
		p *= mean / float64(k+1)
	}
	return max(0, 1-sum)
}

// groupOf returns the group of the build on trial if b is that build, and the base group otherwise.
func (r *Router) groupOf(b BuildID) group {
	if b == r.trialBuild {
		return r.trial
	}
	return r.base
}

// healthyCount returns the number of healthy servers in a group.
func (r *Router) healthyCount(g group) (n int) {
	for _, s := range g.all {
		n += int(oneIf(s.isHealthy(r.now)))
	}
	return n
}

// warmPart returns the part of its full capacity that a server is certain to have, which grows while it warms
// up.
func (r *Router) warmPart(s *server) float64 {
	if s.Started == 0 || r.settings.WarmUpTime <= 0 {
		return 1
	}
	age := float64(r.now-s.Started) / float64(r.settings.WarmUpTime)
	return min(1, r.settings.ColdCapacity+(1-r.settings.ColdCapacity)*max(0, age))
}

// capacity returns a server's current capacity: its listed weight times its warm part.
func (r *Router) capacity(s *server) float64 { return max(s.Weight, 0.01) * r.warmPart(s) }

// budget returns the budget of a build and class, and creates it if needed.
func (r *Router) budget(build BuildID, c *class) *budget {
	k := budgetKey{build: build}
	if r.settings.Rollout.BudgetPerClass {
		k.class = c.Name
	}
	if r.budgets[k] == nil { // earned, which holds up to one attempt, takes the place of one free attempt
		used := slices.Repeat([]time.Duration{r.now - 2*r.settings.Rollout.ExposureWindow},
			max(0, int(r.settings.Rollout.FreeAttempts)-1))
		r.budgets[k] = &budget{freeSlots: used}
	}
	return r.budgets[k]
}

// stageNumber returns the number of the stage in reports. The time after the release counts as one more
// stage.
func (r *Router) stageNumber() int {
	return r.release.Stage + int(oneIf(r.release.Phase == Released))
}

// pooledDemand sums over all routers the demand now and before the trial, and the answers from which slow
// thresholds were computed.
func (r *Router) pooledDemand() (demand, usualDemand float64, baseline uint32) {
	own := r.ownReport()
	demand, usualDemand, baseline = float64(own.Demand), float64(own.UsualDemand), own.BaselineAnswers
	for _, m := range r.latestReports {
		if baseline += m.BaselineAnswers; m.UsualDemand > 0 { // a restarted router does not know its usual demand
			demand, usualDemand = demand+float64(m.Demand), usualDemand+float64(m.UsualDemand)
		}
	}
	return demand, usualDemand, baseline
}
