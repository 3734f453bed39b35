package logic

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// origin is the clock at the start of every test; the clock begins at no particular value.
const origin = 1000 * time.Second

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

// rig drives one router and keeps what it asked for.
type rig struct {
	t       *testing.T
	r       *Router
	now     time.Duration
	ticks   []time.Duration // timers pending
	sends   []Send
	finals  map[RequestID]int
	refused map[RequestID]bool
	votes   []Vote
	posts   []Post
	lines   []string // every action, for comparisons
	attempt map[RequestID]int
}

func newRig(t *testing.T, s Settings, seed uint64) *rig {
	t.Helper()
	return &rig{t: t, r: New(s, seed), now: origin, finals: map[RequestID]int{}, refused: map[RequestID]bool{},
		attempt: map[RequestID]int{}}
}

// feed hands over one event and returns the sends it caused.
func (g *rig) feed(e Event) []Send {
	g.t.Helper()
	before := len(g.sends)
	for _, a := range g.r.Handle(g.now, e) {
		g.lines = append(g.lines, fmt.Sprintf("%v %T%+v", g.now, a, a))
		switch a := a.(type) {
		case Send:
			if g.finals[a.ID] > 0 {
				g.t.Fatalf("send for %s after its final answer", a.ID)
			}
			g.sends = append(g.sends, a)
			g.attempt[a.ID]++
		case Refuse:
			g.finals[a.ID]++
			g.refused[a.ID] = true
		case Fail:
			g.finals[a.ID]++
		case SetTimer:
			g.ticks = append(g.ticks, g.now+a.After)
		case Vote:
			g.votes = append(g.votes, a)
		case Post:
			g.posts = append(g.posts, Post{a.Peer, slices.Clone(a.Data)})
		}
	}
	return g.sends[before:]
}

// pass lets time go by, firing timers.
func (g *rig) pass(d time.Duration) []Send {
	g.t.Helper()
	before, end := len(g.sends), g.now+d
	for {
		slices.Sort(g.ticks)
		if len(g.ticks) == 0 || g.ticks[0] > end {
			break
		}
		g.now = g.ticks[0]
		g.ticks = g.ticks[1:]
		g.feed(TimerFired{Token: 1})
	}
	g.now = end
	return g.sends[before:]
}

func (g *rig) arrive(id, class string, left time.Duration) []Send {
	g.t.Helper()
	return g.feed(RequestArrived{ID: RequestID(id), Class: class, Tenant: "t", TimeLeft: left})
}

func (g *rig) end(s Send, o Outcome) []Send {
	g.t.Helper()
	final := o == OK
	if final {
		g.finals[s.ID]++
	}
	return g.feed(AttemptDone{ID: s.ID, Outcome: o, Duration: 50 * ms, Server: s.Server,
		Attempt: g.attempt[s.ID] - 1, RequestEnded: final})
}

func (g *rig) release(b BuildID, stage int, p Phase, limit float64) {
	g.t.Helper()
	g.feed(ReleaseStatus{Build: b, Stage: stage, Phase: p, Cap: limit})
}

// host is a warm server of build 1 in zone a unless changed.
func host(id int, change ...func(*Server)) Server {
	s := Server{ID: ServerID(id), Zone: "a", Build: 1, Weight: 1}
	for _, c := range change {
		c(&s)
	}
	return s
}

func build(b BuildID) func(*Server)          { return func(s *Server) { s.Build = b } }
func zone(z string) func(*Server)            { return func(s *Server) { s.Zone = z } }
func cell(c int) func(*Server)               { return func(s *Server) { s.Cell = c } }
func state(st ServerState) func(*Server)     { return func(s *Server) { s.State = st } }
func started(at time.Duration) func(*Server) { return func(s *Server) { s.Started = at } }

func (g *rig) list(servers ...Server) {
	g.t.Helper()
	g.feed(ServersListed{Full: true, Servers: servers})
}

// ready starts a router that knows build 1 as released and these servers.
func ready(t *testing.T, s Settings, servers ...Server) *rig {
	t.Helper()
	g := newRig(t, s, 7)
	g.list(servers...)
	g.release(1, 2, Released, 1)
	return g
}
