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
	s     Settings
	now   time.Duration
	rng   *rand.Rand
	out   []Action
	begun bool

	servers     map[ServerID]*server
	short       map[uint16]*server // by shortID
	list        []*server          // all, by id
	heaviest    float64            // the largest weight in it
	ready       int                // those in it that take new work
	base, trial group              // those of the ordinary build; those of the build on trial
	gate        float64            // of the base group: see coldGate
	trialID     BuildID            // 0: none
	rel         ReleaseStatus
	relKnown    bool
	bad         map[BuildID]bool // builds told to go back

	classes map[string]*class
	tenants map[string]*tenant
	budgets map[budgetKey]*budget
	sticky  map[uint64]BuildID // forward-only: the newest build that has answered a key
	seen    map[uint64]int     // forward-only: how often a key came in this stage

	reqs                    map[RequestID]*request
	waiting                 []*request
	pass                    uint64 // over those that wait
	inFlight                int
	limit, answers, late    float64       // the concurrency limit; outcomes since it was set
	rate, arrived, ticks    float64       // requests a second; since the last tick
	demand, usual, unserved float64       // new requests a second; before the trial; unserved
	failing                 float64       // part of the attempts that ended in an error or no answer
	anywhere                float64       // part of errors that came again at another server
	lateness                float64       // part of answers of the ordinary build that came late
	slowness                [2]float64    // time of answers as a part of the aim: on open connections, on new ones
	served, carried         float64       // requests served since the last tick; a second, over a longer time
	lost                    [2]float64    // part of attempts that got no answer: others, those on idle connections
	tickDue, woke           time.Duration // next tick; the last wake-up that came late

	alone             bool // too many peers, or too little traffic, to tell all what is in flight
	incarnation       uint32
	counts, total     Counts // own, of the present stage and of the build
	spans             spans  // of the build, over all routers
	peers             map[peerKey]Report
	lives             map[int]int    // of each peer during this build
	heard             map[int]Report // the latest of each peer
	told              map[int]told   // what peers have in flight
	voters            []int          // who votes on the present build, in order
	stageAt, listedAt time.Duration  // stage learned of; its newest machine listed
	reportAt, shareAt time.Duration  // next messages
	vote              voteState
	slowEarly         float64 // part of slow answers while the new build had next to no traffic
}

// New starts a router that knows its settings only.
func New(s Settings, seed uint64) *Router {
	r := &Router{s: s, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		servers: map[ServerID]*server{}, bad: map[BuildID]bool{}, classes: map[string]*class{},
		tenants: map[string]*tenant{}, budgets: map[budgetKey]*budget{}, sticky: map[uint64]BuildID{},
		seen: map[uint64]int{}, reqs: map[RequestID]*request{}, peers: map[peerKey]Report{},
	}
	r.incarnation, r.heard, r.told = r.rng.Uint32(), map[int]Report{}, map[int]told{}
	r.lives = map[int]int{}
	r.short = map[uint16]*server{}
	for _, c := range s.Classes {
		r.classes[c.Name] = &class{Class: c}
	}
	for _, t := range s.Tenants {
		r.tenants[t.Name] = &tenant{part: t.Share}
	}
	return r
}

// Retune takes other shares of tenants and worths of classes, from now on; what is not named is as the settings say.
func (r *Router) SetSharesAndWorths(shares, worth map[string]float64) {
	for _, t := range r.s.Tenants {
		part, ok := shares[t.Name]
		if !ok {
			part = t.Share
		}
		r.tenants[t.Name].part = part
	}
	for _, c := range r.s.Classes {
		w, ok := worth[c.Name]
		if !ok {
			w = c.Worth
		}
		r.classes[c.Name].Worth = w
	}
}

type class struct {
	Class
	took   float64     // mean time of served attempts in seconds, smoothed
	pinned float64     // share of requests whose key is bound to the build on trial, smoothed
	times  [64]float64 // of the latest answers before a trial, a ring
	next   int
	mark   float64   // slower than this is slow; 0: not known
	before uint32    // answers behind the mark
	stuck  [8]uint64 // the pass in which a first attempt found no server; see drainQueue
}

type tenant struct{ part, rate, came float64 } // of all quotas; requests a second; since the last tick

type request struct {
	RequestArrived
	class             *class
	arrived, deadline time.Duration
	order             float64 // worth, for the queue
	attempts          int
	out               bool // an attempt is out
	server            *server
	sentAt, ranAt     time.Duration // the last send; the send of the first attempt that may have run
	sentRel           ReleaseStatus // the release as known at the send
	sentTrial         bool
	to, ranOn         Server // the server as listed at the send; at the first that may have run
	mayRan            bool
	luck              float64 // drawn once, against coldGate
	draw, ended       bool    // drawn for the build on trial; answered or gone
	idle, overdue     bool    // sent on a connection long idle; past its aim without an answer
	connects          bool    // sent with no connection open
	first             first
}

// repeatBy is when servers no longer drop a repeat of a keyed request that may have run; zero where that binds nothing.
func (q *request) repeatBy() time.Duration {
	if !q.mayRan || q.class.Repeatability != Keyed {
		return 0
	}
	return q.ranAt + q.class.DedupWindow
}

// first is what the first attempt tells of its build, kept back while a second one may tell more.
type first struct {
	Arm
	build  BuildID
	rel    ReleaseStatus
	failed *server // where it failed; nil: it did not
}

// charge is what a server failed as it was counted: in one stage of a build, and in all of them.
type charge struct {
	rel          ReleaseStatus
	stage, total Arm
}

type server struct {
	Server
	health
	inFlight int           // attempts out
	peerBusy int           // attempts that peers have out there
	spentAt  time.Duration // see coldRoom
	usedAt   time.Duration // when its connections were last used; 0: never
	spent    float64       // cold budget used, in requests
}

// health is what is believed of a server's.
type health struct {
	fails         int           // of this router's attempts, in a row
	pause, until  time.Duration // suspect until then, by what this router has met
	ill, erred    float64       // met by any router: failures of late; errors since the newest build appeared
	shunFor, shun time.Duration // left alone until then, by what all routers have met
	charged       charge        // by this router
	failed        bool          // here, since the others were told
	failedErr     bool          // with an error
}

// fit tells that a server is neither suspect nor left alone.
func (h *health) fit(now time.Duration) bool { return h.until <= now && h.shun <= now }

// group is the servers of one build, by id, those of them in the router's own zone, and those it keeps to.
type group struct{ all, near, some []*server }

// spread tells how many times as many servers there are as the router keeps to.
func (g group) spread() float64 { return float64(len(g.all)) / float64(max(1, len(g.some))) }

func (g *group) add(s *server, zone string) {
	g.all = append(g.all, s)
	if s.Zone == zone {
		g.near = append(g.near, s)
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
	earned float64
	slots  []time.Duration // when each free slot was last used
}

// earn adds what one request is worth.
func (b *budget) earn(part float64) { b.earned = min(1, b.earned+part) }

type voteState struct {
	verdict      Verdict
	at, out      time.Duration // when to cast it, or cast it again; when the one unanswered was cast, 0: none
	guardAt      time.Duration
	tested, busy bool
}

// spans adds up how the errors of a build compare with the old build's of the same short span of time.
type spans struct {
	until         time.Duration // the end of the open one
	skip          bool          // it brings what was counted long before
	before        Counts        // pooled, at its begin
	n, erred      float64       // the new build's answers in those that have ended, and its errors; wrong ones are errors
	usual, square float64       // what of them had erred at the old build's rate; see weight
}

// end closes a span with the counts pooled by then. All answers of the old build before it weigh as much as faith
// of the span's, so that a span with few of them tells little by itself; each answer counts for one of so many.
func (s *spans) end(total Counts, faith, each float64) {
	was := s.before
	if s.before = total; s.skip {
		s.skip = false
		return
	}
	more := func(now, then uint32) float64 { return (float64(now) - float64(then)) / each } // some are taken back
	n, weight := more(total.New.Attempts, was.New.Attempts), more(total.Old.Attempts, was.Old.Attempts)+faith/each
	erred := more(total.Old.erred(), was.Old.erred()) + faith/each*share(total.Old.erred(), total.Old.Attempts)
	s.n += n
	s.erred += more(total.New.erred(), was.New.erred())
	s.usual += n * erred / weight
	s.square += n * n / weight
}

// rate is the old build's part of errors, each span as heavy as the new build's answers in it.
func (s *spans) rate() float64 { return max(0, s.usual) / max(1e-9, s.n) }

// weight is the number of answers of the old build that tells its rate as surely.
func (s *spans) weight() float64 { return s.n * s.n / max(1e-9, s.square) }

// clustering tells how many times as much the errors of the old build's servers differ as chance would have it if
// all erred alike (the design effect): of so many errors one says something of a build. Where no old server is
// left, the new build's tell.
func (r *Router) clustering() float64 {
	g := r.base
	if len(g.all) == 0 {
		g = r.trial
	}
	sum, square, n := 0.0, 0.0, float64(len(g.all))
	for _, s := range g.all {
		sum += s.erred
		square += s.erred * s.erred
	}
	if n < 2 || sum == 0 {
		return 1
	}
	return max(1, (square-sum*sum/n)/(sum/n)/(n-1))
}

// told is what a peer has in flight, and when that was heard.
type told struct {
	busy InFlightReport
	at   time.Duration
}

func hundredths(x float64) uint16 { return uint16(min(100*max(0, x), math.MaxUint16)) }

// erred counts errors and answers found wrong.
func (a Arm) erred() uint32 { return a.Errors + a.Wrong }

// share is the part that some make of all.
func share(some, all uint32) float64 { return float64(some) / float64(max(1, all)) }

// countBusy adds or takes off the attempts that a peer has out.
func (r *Router) countBusy(busy InFlightReport, sign int) {
	for _, b := range busy {
		if s := r.short[b.Server]; s != nil {
			s.peerBusy = max(0, s.peerBusy+sign*b.InFlight)
		}
	}
}

// blend moves a smoothed value a step towards what was seen.
func blend(x *float64, step, seen float64) { *x += step * (seen - *x) }

// own is this router's report, without the attempts out.
func (r *Router) own() Report {
	m := Report{Incarnation: r.incarnation, Build: r.rel.Build, Stage: r.step(), StageCounts: r.counts,
		BuildCounts: r.total, Demand: hundredths(r.demand), UsualDemand: hundredths(r.usual)}
	for _, c := range r.classes {
		m.BaselineAnswers += c.before
	}
	return m
}

// pooled sums the counts of the present stage and build over all routers and their incarnations.
func (r *Router) pooled() (stage, total Counts) {
	stage, total = r.counts, r.total
	for _, m := range r.peers {
		if m.Build == r.rel.Build {
			total.plus(m.BuildCounts)
			if m.Stage == r.step() {
				stage.plus(m.StageCounts)
			}
		}
	}
	return stage, total
}

// tally counts the first attempt of a request.
func (r *Router) tally(q *request) {
	f := q.first
	q.first = first{}
	if f.Attempts == 0 || f.rel.Build != r.rel.Build {
		return
	}
	if f.failed != nil {
		f.failed.charge(f)
	}
	r.total.arm(f.build == r.rel.Build).plus(f.Arm)
	if f.rel.Phase == r.rel.Phase && f.rel.Stage == r.rel.Stage {
		r.counts.arm(f.build == r.rel.Build).plus(f.Arm)
	}
}

// charge keeps what a server's failure adds to the counts.
func (h *health) charge(f first) {
	c := &h.charged
	if c.rel.Build != f.rel.Build {
		*c = charge{}
	}
	if c.rel.Stage != f.rel.Stage || c.rel.Phase != f.rel.Phase {
		c.stage = Arm{}
	}
	c.rel = f.rel
	failed := Arm{Missed: 1, Errors: f.Errors}
	c.stage.plus(failed)
	c.total.plus(failed)
}

// takeBack takes what a server failed out of the counts; its attempts stay in them as if they had gone well.
func (r *Router) takeBack(s *server) {
	c, isNew := s.charged, s.Build == r.rel.Build
	if s.charged = (charge{}); c.rel.Build != r.rel.Build {
		return
	}
	less := func(from *Arm, by Arm) {
		from.Missed, from.Errors = from.Missed-min(by.Missed, from.Missed), from.Errors-min(by.Errors, from.Errors)
	}
	less(r.total.arm(isNew), c.total)
	if c.rel.Stage == r.rel.Stage && c.rel.Phase == r.rel.Phase {
		less(r.counts.arm(isNew), c.stage)
	}
}

// apart tells that servers of the ordinary build stand out.
func (r *Router) apart() bool {
	return slices.ContainsFunc(r.base.all, func(s *server) bool { return s.shun > r.now })
}

// forgetBuilds drops what is kept of builds that can't matter any more. Danger: builds follow one another for as
// long as the router runs, and peers restart; each would leave something behind.
func (r *Router) forgetBuilds() {
	oldest := r.rel.Build
	for _, s := range r.list {
		oldest = min(oldest, s.Build)
	}
	clear(r.lives)
	maps.DeleteFunc(r.peers, func(_ peerKey, m Report) bool { return m.Build < r.rel.Build })
	maps.DeleteFunc(r.budgets, func(k budgetKey, _ *budget) bool { return k.build < r.rel.Build })
	maps.DeleteFunc(r.bad, func(b BuildID, _ bool) bool { return b < oldest })
	maps.DeleteFunc(r.sticky, func(_ uint64, b BuildID) bool { return b <= oldest })
}

// pace is the time of answers as a part of the aim, of the class that comes nearest to it.
func (r *Router) pace() (most float64) {
	for _, c := range r.classes {
		most = max(most, c.took/c.LatencyTarget.Seconds())
	}
	return most
}

// tail is the chance of n events or more where mean are expected, by Poisson's law.
func tail(mean float64, n uint32) float64 {
	p, sum := math.Exp(-mean), 0.0
	for k := range n {
		sum += p
		p *= mean / float64(k+1)
	}
	return max(0, 1-sum)
}

// groupOf is the build on trial's group, or the ordinary one.
func (r *Router) groupOf(b BuildID) group {
	if b == r.trialID {
		return r.trial
	}
	return r.base
}

// fitOf counts the servers of a group that are not suspect.
func (r *Router) fitOf(g group) (n int) {
	for _, s := range g.all {
		n += int(count(s.fit(r.now)))
	}
	return n
}

// ramp is the part of its capacity that a server surely has.
func (r *Router) ramp(s *server) float64 {
	if s.Started == 0 || r.s.WarmUpTime <= 0 {
		return 1
	}
	age := float64(r.now-s.Started) / float64(r.s.WarmUpTime)
	return min(1, r.s.ColdCapacity+(1-r.s.ColdCapacity)*max(0, age))
}

// capacity is what a server can do now, by its listed weight.
func (r *Router) capacity(s *server) float64 { return max(s.Weight, 0.01) * r.ramp(s) }

// budget finds the budget of a build and class.
func (r *Router) budget(build BuildID, c *class) *budget {
	k := budgetKey{build: build}
	if r.s.Rollout.BudgetPerClass {
		k.class = c.Name
	}
	if r.budgets[k] == nil { // one free attempt is kept for what requests have earned
		used := slices.Repeat([]time.Duration{r.now - 2*r.s.Rollout.ExposureWindow}, max(0, int(r.s.Rollout.FreeAttempts)-1))
		r.budgets[k] = &budget{slots: used}
	}
	return r.budgets[k]
}

// step numbers the stages for reports; the time after the release is one more.
func (r *Router) step() int {
	return r.rel.Stage + int(count(r.rel.Phase == Released))
}

// pooledDemand sums what all routers tell of demand now and before the trial, and of the answers behind marks.
func (r *Router) pooledDemand() (demand, usual float64, before uint32) {
	own := r.own()
	demand, usual, before = float64(own.Demand), float64(own.UsualDemand), own.BaselineAnswers
	for _, m := range r.heard {
		if before += m.BaselineAnswers; m.UsualDemand > 0 { // a restarted router does not know what was usual
			demand, usual = demand+float64(m.Demand), usual+float64(m.UsualDemand)
		}
	}
	return demand, usual, before
}
