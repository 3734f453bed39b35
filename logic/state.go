package logic

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// What a router keeps between events. Nothing is decided here.

// Router is one instance of the decisions.
type Router struct {
	settings Settings
	now      time.Duration
	rng      *rand.Rand
	actions  []Action
	started  bool

	servers           map[ServerID]*server
	serversByShortID  map[uint16]*server // by shortID
	serverList        []*server          // all, by id
	maxWeight         float64            // the largest weight in it
	readyCount        int                // those in it that take new work
	base, trial       group              // those of the ordinary build; those of the build on trial
	baseSlowStartPart float64            // of the base group: see coldGate
	trialBuild        BuildID            // 0: none
	release           ReleaseStatus
	releaseKnown      bool
	rejectedBuilds    map[BuildID]bool // builds told to go back

	classes   map[string]*class
	tenants   map[string]*tenant
	budgets   map[budgetKey]*budget
	keyBuilds map[uint64]BuildID // forward-only: the newest build that has answered a key
	keyUses   map[uint64]int     // forward-only: how often a key came in this stage

	requests                            map[RequestID]*request
	queue                               []*request
	queuePass                           uint64 // over those that wait
	inFlight                            int
	limit, limitAnswers, limitLate      float64       // the concurrency limit; outcomes since it was set
	requestRate, arrivals, ticks        float64       // requests a second; since the last tick
	demand, usualDemand, repeatArrivals float64       // new requests a second; before the trial; unserved
	failurePart                         float64       // part of the attempts that ended in an error or no answer
	requestFaultPart                    float64       // part of errors that came again at another server
	latePart                            float64       // part of answers of the ordinary build that came late
	latencyRatios                       [2]float64    // time of answers as a part of the aim: on open connections, on new ones
	servedCount, servedRate             float64       // requests served since the last tick; a second, over a longer time
	lostParts                           [2]float64    // part of attempts that got no answer: others, those on idle connections
	nextTickAt, stalledAt               time.Duration // next tick; the last wake-up that came late

	inFlightUnshared             bool // too many peers, or too little traffic, to tell all what is in flight
	incarnation                  uint32
	stageCounts, buildCounts     Counts     // own, of the present stage and of the build
	errorSpans                   errorSpans // of the build, over all routers
	peerReports                  map[peerKey]Report
	peerIncarnations             map[int]int          // of each peer during this build
	latestReports                map[int]Report       // the latest of each peer
	peerInFlight                 map[int]peerInFlight // what peers have in flight
	voters                       []int                // who votes on the present build, in order
	stageStart, newestListedAt   time.Duration        // stage learned of; its newest machine listed
	nextReportAt, nextInFlightAt time.Duration        // next messages
	vote                         voteState
	baselineSlowPart             float64 // part of slow answers while the new build had next to no traffic
}

// New starts a router that knows its settings only.
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

// Retune takes other shares of tenants and worths of classes, from now on; what is not named is as the settings say.
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

type class struct {
	Class
	meanSeconds     float64     // mean time of served attempts in seconds, smoothed
	pinnedPart      float64     // share of requests whose key is bound to the build on trial, smoothed
	recentSeconds   [64]float64 // of the latest answers before a trial, a ring
	nextRecent      int
	slowThreshold   float64   // slower than this is slow; 0: not known
	baselineAnswers uint32    // answers behind the mark
	blockedPass     [8]uint64 // the pass in which a first attempt found no server; see drainQueue
}

type tenant struct{ share, rate, arrivals float64 } // of all quotas; requests a second; since the last tick

type request struct {
	RequestArrived
	class                *class
	arrived, deadline    time.Duration
	priority             float64 // worth, for the queue
	attempts             int
	attemptInFlight      bool // an attempt is out
	server               *server
	sentAt, mayHaveRunAt time.Duration // the last send; the send of the first attempt that may have run
	sentRelease          ReleaseStatus // the release as known at the send
	sentToTrial          bool
	sentTo, mayHaveRunOn Server // the server as listed at the send; at the first that may have run
	mayHaveRun           bool
	randomDraw           float64 // drawn once, against coldGate
	drawnForTrial, ended bool    // drawn for the build on trial; answered or gone
	onIdleConn, overdue  bool    // sent on a connection long idle; past its aim without an answer
	opensConn            bool    // sent with no connection open
	firstOutcome         firstOutcome
}

// repeatBy is when servers no longer drop a repeat of a keyed request that may have run; zero where that binds nothing.
func (q *request) dedupExpiry() time.Duration {
	if !q.mayHaveRun || q.class.Repeatability != Keyed {
		return 0
	}
	return q.mayHaveRunAt + q.class.DedupWindow
}

// first is what the first attempt tells of its build, kept back while a second one may tell more.
type firstOutcome struct {
	Arm
	build        BuildID
	release      ReleaseStatus
	failedServer *server // where it failed; nil: it did not
}

// charge is what a server failed as it was counted: in one stage of a build, and in all of them.
type countedFailures struct {
	release      ReleaseStatus
	stage, build Arm
}

type server struct {
	Server
	health
	inFlight      int           // attempts out
	peerInFlight  int           // attempts that peers have out there
	slowStartAt   time.Duration // see coldRoom
	lastUsedAt    time.Duration // when its connections were last used; 0: never
	slowStartUsed float64       // cold budget used, in requests
}

// health is what is believed of a server's.
type health struct {
	consecutiveFailures         int             // of this router's attempts, in a row
	suspectFor, suspectUntil    time.Duration   // suspect until then, by what this router has met
	recentFailures, buildErrors float64         // met by any router: failures of late; errors since the newest build appeared
	ejectedFor, ejectedUntil    time.Duration   // left alone until then, by what all routers have met
	counted                     countedFailures // by this router
	unsharedFailure             bool            // here, since the others were told
	unsharedError               bool            // with an error
}

// fit tells that a server is neither suspect nor left alone.
func (h *health) isHealthy(now time.Duration) bool {
	return h.suspectUntil <= now && h.ejectedUntil <= now
}

// group is the servers of one build, by id, those of them in the router's own zone, and those it keeps to.
type group struct{ all, sameZone, subset []*server }

// spread tells how many times as many servers there are as the router keeps to.
func (g group) subsetFactor() float64 { return float64(len(g.all)) / float64(max(1, len(g.subset))) }

func (g *group) add(s *server, zone string) {
	g.all = append(g.all, s)
	if s.Zone == zone {
		g.sameZone = append(g.sameZone, s)
	}
}

type budgetKey struct {
	build BuildID
	class string // empty where all classes count together
}

// budget bounds the attempts at a build on trial. What requests earn is kept up to one attempt; the rest
// of the free number is slots that each come back one window after their use. So every window holds at
// most free + cap x requests, wherever it begins.
type budget struct {
	earned    float64
	freeSlots []time.Duration // when each free slot was last used
}

// earn adds what one request is worth.
func (b *budget) earn(part float64) { b.earned = min(1, b.earned+part) }

type voteState struct {
	verdict              Verdict
	castAt, pendingSince time.Duration // when to cast it, or cast it again; when the one unanswered was cast, 0: none
	nextGuardAt          time.Duration
	tested, otherCause   bool
}

// spans adds up how the errors of a build compare with the old build's of the same short span of time.
type errorSpans struct {
	endsAt                        time.Duration // the end of the open one
	skip                          bool          // it brings what was counted long before
	startCounts                   Counts        // pooled, at its begin
	answers, errors               float64       // the new build's answers in those that have ended, and its errors; wrong ones are errors
	expectedErrors, weightSquares float64       // what of them had erred at the old build's rate; see weight
}

// end closes a span with the counts pooled by then. All answers of the old build before it weigh as much as faith
// of the span's, so that a span with few of them tells little by itself; each answer counts for one of so many.
func (s *errorSpans) close(total Counts, priorAnswers, designEffect float64) {
	previous := s.startCounts
	if s.startCounts = total; s.skip {
		s.skip = false
		return
	}
	increase := func(now, then uint32) float64 { return (float64(now) - float64(then)) / designEffect } // some are taken back
	n, weight := increase(total.New.Attempts, previous.New.Attempts), increase(total.Old.Attempts, previous.Old.Attempts)+priorAnswers/designEffect
	errors := increase(total.Old.errorCount(), previous.Old.errorCount()) + priorAnswers/designEffect*ratio(total.Old.errorCount(), total.Old.Attempts)
	s.answers += n
	s.errors += increase(total.New.errorCount(), previous.New.errorCount())
	s.expectedErrors += n * errors / weight
	s.weightSquares += n * n / weight
}

// rate is the old build's part of errors, each span as heavy as the new build's answers in it.
func (s *errorSpans) baselineErrorRate() float64 {
	return max(0, s.expectedErrors) / max(1e-9, s.answers)
}

// weight is the number of answers of the old build that tells its rate as surely.
func (s *errorSpans) baselineWeight() float64 {
	return s.answers * s.answers / max(1e-9, s.weightSquares)
}

// clustering tells how many times as much the errors of the old build's servers differ as chance would have it if
// all erred alike (the design effect): of so many errors one says something of a build. Where no old server is
// left, the new build's tell.
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

// told is what a peer has in flight, and when that was heard.
type peerInFlight struct {
	report     InFlightReport
	receivedAt time.Duration
}

func toHundredths(x float64) uint16 { return uint16(min(100*max(0, x), math.MaxUint16)) }

// erred counts errors and answers found wrong.
func (a Arm) errorCount() uint32 { return a.Errors + a.Wrong }

// share is the part that some make of all.
func ratio(part, all uint32) float64 { return float64(part) / float64(max(1, all)) }

// countBusy adds or takes off the attempts that a peer has out.
func (r *Router) addPeerInFlight(report InFlightReport, sign int) {
	for _, b := range report {
		if s := r.serversByShortID[b.Server]; s != nil {
			s.peerInFlight = max(0, s.peerInFlight+sign*b.InFlight)
		}
	}
}

// blend moves a smoothed value a step towards what was seen.
func smooth(x *float64, step, seen float64) { *x += step * (seen - *x) }

// own is this router's report, without the attempts out.
func (r *Router) ownReport() Report {
	m := Report{Incarnation: r.incarnation, Build: r.release.Build, Stage: r.stageNumber(), StageCounts: r.stageCounts,
		BuildCounts: r.buildCounts, Demand: toHundredths(r.demand), UsualDemand: toHundredths(r.usualDemand)}
	for _, c := range r.classes {
		m.BaselineAnswers += c.baselineAnswers
	}
	return m
}

// pooled sums the counts of the present stage and build over all routers and their incarnations.
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

// tally counts the first attempt of a request.
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

// charge keeps what a server's failure adds to the counts.
func (h *health) countFailure(f firstOutcome) {
	c := &h.counted
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

// takeBack takes what a server failed out of the counts; its attempts stay in them as if they had gone well.
func (r *Router) uncountFailures(s *server) {
	c, isNew := s.counted, s.Build == r.release.Build
	if s.counted = (countedFailures{}); c.release.Build != r.release.Build {
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

// apart tells that servers of the ordinary build stand out.
func (r *Router) hasEjectedBase() bool {
	return slices.ContainsFunc(r.base.all, func(s *server) bool { return s.ejectedUntil > r.now })
}

// forgetBuilds drops what is kept of builds that can't matter any more. Danger: builds follow one another for as
// long as the router runs, and peers restart; each would leave something behind.
func (r *Router) dropOldBuilds() {
	oldest := r.release.Build
	for _, s := range r.serverList {
		oldest = min(oldest, s.Build)
	}
	clear(r.peerIncarnations)
	maps.DeleteFunc(r.peerReports, func(_ peerKey, m Report) bool { return m.Build < r.release.Build })
	maps.DeleteFunc(r.budgets, func(k budgetKey, _ *budget) bool { return k.build < r.release.Build })
	maps.DeleteFunc(r.rejectedBuilds, func(b BuildID, _ bool) bool { return b < oldest })
	maps.DeleteFunc(r.keyBuilds, func(_ uint64, b BuildID) bool { return b <= oldest })
}

// pace is the time of answers as a part of the aim, of the class that comes nearest to it.
func (r *Router) highestLatencyRatio() (highest float64) {
	for _, c := range r.classes {
		highest = max(highest, c.meanSeconds/c.LatencyTarget.Seconds())
	}
	return highest
}

// tail is the chance of n events or more where mean are expected, by Poisson's law.
func poissonTail(mean float64, n uint32) float64 {
	p, sum := math.Exp(-mean), 0.0
	for k := range n {
		sum += p
		p *= mean / float64(k+1)
	}
	return max(0, 1-sum)
}

// groupOf is the build on trial's group, or the ordinary one.
func (r *Router) groupOf(b BuildID) group {
	if b == r.trialBuild {
		return r.trial
	}
	return r.base
}

// fitOf counts the servers of a group that are not suspect.
func (r *Router) healthyCount(g group) (n int) {
	for _, s := range g.all {
		n += int(oneIf(s.isHealthy(r.now)))
	}
	return n
}

// ramp is the part of its capacity that a server surely has.
func (r *Router) warmPart(s *server) float64 {
	if s.Started == 0 || r.settings.WarmUpTime <= 0 {
		return 1
	}
	age := float64(r.now-s.Started) / float64(r.settings.WarmUpTime)
	return min(1, r.settings.ColdCapacity+(1-r.settings.ColdCapacity)*max(0, age))
}

// capacity is what a server can do now, by its listed weight.
func (r *Router) capacity(s *server) float64 { return max(s.Weight, 0.01) * r.warmPart(s) }

// budget finds the budget of a build and class.
func (r *Router) budget(build BuildID, c *class) *budget {
	k := budgetKey{build: build}
	if r.settings.Rollout.BudgetPerClass {
		k.class = c.Name
	}
	if r.budgets[k] == nil { // one free attempt is kept for what requests have earned
		used := slices.Repeat([]time.Duration{r.now - 2*r.settings.Rollout.ExposureWindow}, max(0, int(r.settings.Rollout.FreeAttempts)-1))
		r.budgets[k] = &budget{freeSlots: used}
	}
	return r.budgets[k]
}

// step numbers the stages for reports; the time after the release is one more.
func (r *Router) stageNumber() int {
	return r.release.Stage + int(oneIf(r.release.Phase == Released))
}

// pooledDemand sums what all routers tell of demand now and before the trial, and of the answers behind marks.
func (r *Router) pooledDemand() (demand, usualDemand float64, baseline uint32) {
	own := r.ownReport()
	demand, usualDemand, baseline = float64(own.Demand), float64(own.UsualDemand), own.BaselineAnswers
	for _, m := range r.latestReports {
		if baseline += m.BaselineAnswers; m.UsualDemand > 0 { // a restarted router does not know what was usual
			demand, usualDemand = demand+float64(m.Demand), usualDemand+float64(m.UsualDemand)
		}
	}
	return demand, usualDemand, baseline
}
