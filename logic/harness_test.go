package logic

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// startTime is the time at which every test begins. It is not 0, since the origin of times is arbitrary.
const startTime = 1000 * time.Second

// testSettings returns the settings of one of three routers, with one class for each rule on repeats.
func testSettings() Settings {
	return Settings{
		Self: 0, RouterCount: 3, Zone: "a", MaxAttempts: 4, MaxRetryAfter: 500 * ms, ClockResolution: 5 * ms, CanPost: true,
		DrainGrace: time.Second, ColdCapacity: 0.3, WarmUpTime: 5 * time.Second, OverloadMultiple: 2, OverloadTime: 1500 * ms,
		OverShareWorth: 0.1, ConnIdleTimeout: 15 * time.Second,
		Classes: []Class{
			{Name: "read", Repeatability: Safe, LatencyTarget: time.Second, Deadline: 4 * time.Second, Worth: 1},
			{Name: "zoned", Repeatability: Keyed, DedupScope: ScopeZone, DedupWindow: 2 * time.Second, LatencyTarget: time.Second,
				Deadline: 4 * time.Second, Worth: 2},
			{Name: "celled", Repeatability: Keyed, DedupScope: ScopeCell, DedupWindow: 2 * time.Second, LatencyTarget: time.Second,
				Deadline: 4 * time.Second, Worth: 2},
			{Name: "keyed", Repeatability: Keyed, DedupScope: ScopeAll, DedupWindow: 2 * time.Second, LatencyTarget: time.Second,
				Deadline: 4 * time.Second, Worth: 2},
			{Name: "once", Repeatability: Unsafe, LatencyTarget: time.Second, Deadline: 4 * time.Second, Worth: 3},
		},
		Tenants: []Tenant{{Name: "t", Quota: 50, Share: 1}},
		Rollout: Rollout{StageShare: []float64{0.1, 0.5, 1}, StageCap: []float64{0.1, 0.5, 1},
			ExposureWindow: 4 * time.Second, FreeAttempts: 3, MinStageTime: time.Second, VoteTTL: 4 * time.Second,
			VoteTimeout: 800 * ms, VotesPerSec: 50},
	}
}

// harness drives one router and records its actions.
type harness struct {
	t             *testing.T
	router        *Router
	now           time.Duration
	pendingTimers []time.Duration // times at which timers expire
	sends         []Send
	finalAnswers  map[RequestID]int
	refused       map[RequestID]bool
	votes         []Vote
	posts         []Post
	actionLog     []string // all actions with their times, for comparisons
	attemptCounts map[RequestID]int
}

// newHarness returns a harness around a router that has received no event yet.
func newHarness(t *testing.T, s Settings, seed uint64) *harness {
	t.Helper()
	return &harness{t: t, router: New(s, seed), now: startTime, finalAnswers: map[RequestID]int{},
		refused: map[RequestID]bool{}, attemptCounts: map[RequestID]int{}}
}

// feed passes one event to the router and returns the sends that it caused.
func (g *harness) feed(e Event) []Send {
	g.t.Helper()
	before := len(g.sends)
	for _, a := range g.router.Handle(g.now, e) {
		g.actionLog = append(g.actionLog, fmt.Sprintf("%v %T%+v", g.now, a, a))
		switch a := a.(type) {
		case Send:
			if g.finalAnswers[a.ID] > 0 {
				g.t.Fatalf("send for %s after its final answer", a.ID)
			}
			g.sends = append(g.sends, a)
			g.attemptCounts[a.ID]++
		case Refuse:
			g.finalAnswers[a.ID]++
			g.refused[a.ID] = true
		case Fail:
			g.finalAnswers[a.ID]++
		case SetTimer:
			g.pendingTimers = append(g.pendingTimers, g.now+a.After)
		case Vote:
			g.votes = append(g.votes, a)
		case Post:
			g.posts = append(g.posts, Post{a.Peer, slices.Clone(a.Data)})
		}
	}
	return g.sends[before:]
}

// advance lets time pass, with the timers that expire, and returns the sends that they caused.
func (g *harness) advance(d time.Duration) []Send {
	g.t.Helper()
	before, end := len(g.sends), g.now+d
	for {
		slices.Sort(g.pendingTimers)
		if len(g.pendingTimers) == 0 || g.pendingTimers[0] > end {
			break
		}
		g.now = g.pendingTimers[0]
		g.pendingTimers = g.pendingTimers[1:]
		g.feed(TimerFired{Token: 1})
	}
	g.now = end
	return g.sends[before:]
}

// startRequest passes a new request of tenant t to the router and returns the sends that it caused.
func (g *harness) startRequest(id, class string, timeLeft time.Duration) []Send {
	g.t.Helper()
	return g.feed(RequestArrived{ID: RequestID(id), Class: class, Tenant: "t", TimeLeft: timeLeft})
}

// endAttempt reports the outcome of a request's latest attempt, which took 50 ms, and returns the sends that it
// caused. An outcome of OK ends the request.
func (g *harness) endAttempt(send Send, outcome Outcome) []Send {
	g.t.Helper()
	final := outcome == OK
	if final {
		g.finalAnswers[send.ID]++
	}
	return g.feed(AttemptDone{ID: send.ID, Outcome: outcome, Duration: 50 * ms, Server: send.Server,
		Attempt: g.attemptCounts[send.ID] - 1, RequestEnded: final})
}

// setRelease reports the release platform's status of a build.
func (g *harness) setRelease(build BuildID, stage int, phase Phase, exposureCap float64) {
	g.t.Helper()
	g.feed(ReleaseStatus{Build: build, Stage: stage, Phase: phase, Cap: exposureCap})
}

// testServer returns a ready, warm server of build 1 in zone a, changed by the options.
func testServer(id int, options ...func(*Server)) Server {
	s := Server{ID: ServerID(id), Zone: "a", Build: 1, Weight: 1}
	for _, option := range options {
		option(&s)
	}
	return s
}

func withBuild(b BuildID) func(*Server)        { return func(s *Server) { s.Build = b } }
func withZone(z string) func(*Server)          { return func(s *Server) { s.Zone = z } }
func withCell(c int) func(*Server)             { return func(s *Server) { s.Cell = c } }
func withState(st ServerState) func(*Server)   { return func(s *Server) { s.State = st } }
func startedAt(at time.Duration) func(*Server) { return func(s *Server) { s.Started = at } }

// setServers reports a complete list of servers.
func (g *harness) setServers(servers ...Server) {
	g.t.Helper()
	g.feed(ServersListed{Full: true, Servers: servers})
}

// newReadyHarness returns a harness whose router knows these servers and build 1 as released.
func newReadyHarness(t *testing.T, s Settings, servers ...Server) *harness {
	t.Helper()
	g := newHarness(t, s, 7)
	g.setServers(servers...)
	g.setRelease(1, 2, Released, 1)
	return g
}
