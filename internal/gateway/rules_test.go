package gateway

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

// recordingServers records the latest state of each server that the server side was given.
type recordingServers struct {
	*fakeServers
	mu    sync.Mutex
	hosts map[logic.ServerID]Host
}

func (s *recordingServers) UpdateServers(full bool, hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		s.hosts[h.ID] = h
	}
}

func (s *recordingServers) host(id logic.ServerID) Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[id]
}

// startWithRules runs a gateway with agreed rules, a real decision module and two servers of a released build.
func startWithRules(t *testing.T, settings logic.Settings) (*Gateway, *recordingServers, *Fleet) {
	t.Helper()
	g := New(logic.New(settings, 1), config.Limits{MaxEvents: 64, RetryAfter: time.Second}, NewClock(), metrics.New(), zap.NewNop())
	f := g.UseRules(time.Minute)
	s := &recordingServers{fakeServers: &fakeServers{started: make(chan Attempt, 64)}, hosts: map[logic.ServerID]Host{}}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: s, Platform: discardSink{}, Peers: discardSink{}}) })
	t.Cleanup(func() { stop(); work.Wait() })
	g.UpdateServers(true, []Host{{Name: "s-1", StartedUnixMs: 5, MachineClass: "m", Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}},
		{Name: "s-2", MachineClass: "m", Server: logic.Server{ID: 2, Zone: "a", Build: 7, Weight: 1}}})
	g.UpdateRelease(logic.ReleaseStatus{Build: 7, Phase: logic.Released, Cap: 1})
	return g, s, f
}

func viewOf(version uint64, r ruleset.Rules) *ruleset.View {
	return ruleset.NewView(ruleset.Document{Head: ruleset.Head{Version: version}, Rules: r})
}

func cordonRules(names ...string) ruleset.Rules {
	r := ruleset.Rules{Cordons: map[string]cordon.Cordon{}}
	for _, n := range names {
		r.Cordons[n] = cordon.Cordon{Target: cordon.Target{Host: n}}
	}
	return r
}

func (g *Gateway) mustUpdateRules(t *testing.T, v *ruleset.View, permission lease.Permission) {
	t.Helper()
	if err := g.UpdateRules(t.Context(), v, permission); err != nil {
		t.Fatal(err)
	}
}

// recordingPlatform records the votes that it gets.
type recordingPlatform struct{ votes []logic.Vote }

func (p *recordingPlatform) Vote(v logic.Vote) { p.votes = append(p.votes, v) }

// A vote to advance that was cast before a freeze, or before the lease was lost, is replaced by a hold at once, and cast again
// when both are over; one on an earlier stage is left alone. It guards against a build that advances during a freeze by a
// vote that has not expired yet.
func TestFreezeReplacesOwnVote(t *testing.T) {
	g := New(logic.New(logic.Settings{RouterCount: 1}, 1), config.Limits{MaxEvents: 64}, NewClock(), metrics.New(), zap.NewNop())
	g.UseRules(time.Minute)
	platform := &recordingPlatform{}
	g.outputs = Outputs{Servers: &fakeServers{}, Platform: platform, Peers: discardSink{}}
	apply := func(r ruleset.Rules, permission lease.Permission) {
		g.applyRules(rulesUpdated{viewOf(1, r), permission, make(chan struct{})})
	}
	apply(ruleset.Rules{}, lease.Full)
	g.applyRelease(logic.ReleaseStatus{Build: 7, Stage: 1, Phase: logic.OnTrial, Cap: 0.1})
	effects{g}.Do(logic.Vote{Build: 7, Stage: 1, Verdict: logic.VoteAdvance})
	frozen := ruleset.Rules{Freeze: &ruleset.Provenance{}}
	apply(frozen, lease.Full)
	apply(frozen, lease.None)
	apply(ruleset.Rules{}, lease.Full)
	apply(ruleset.Rules{}, lease.None)
	g.applyRelease(logic.ReleaseStatus{Build: 7, Stage: 2, Phase: logic.OnTrial, Cap: 0.2})
	apply(ruleset.Rules{}, lease.Full)
	var got []logic.Verdict
	for _, v := range platform.votes {
		got = append(got, v.Verdict)
	}
	if want := []logic.Verdict{logic.VoteAdvance, logic.VoteHold, logic.VoteAdvance, logic.VoteHold}; !slices.Equal(got, want) {
		t.Errorf("verdicts %v, want %v", got, want)
	}
}

// A server whose cordon has just been lifted counts as just started although this machine's wall clock is an hour off. It
// guards against slow start that fails after a cordon.
func TestLiftedServerIsColdByAWrongClock(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} {
		clock := NewClock()
		clock.unixOrigin += off
		g := New(logic.New(logic.Settings{RouterCount: 1}, 1), config.Limits{MaxEvents: 64}, clock, metrics.New(), zap.NewNop())
		g.UseRules(time.Minute)
		servers := &recordingServers{fakeServers: &fakeServers{}, hosts: map[logic.ServerID]Host{}}
		g.outputs = Outputs{Servers: servers, Platform: discardSink{}, Peers: discardSink{}}
		list := func(name string, id logic.ServerID) {
			h := Host{Name: name, Server: logic.Server{ID: id, Zone: "a", Build: 7, Weight: 1}}
			g.applyServers(serversUpdated{logic.ServersListed{Full: true, Servers: []logic.Server{h.Server}}, []Host{h}})
		}
		apply := func(r ruleset.Rules) { g.applyRules(rulesUpdated{viewOf(1, r), lease.Full, make(chan struct{})}) }
		list("s-1", 1)
		apply(ruleset.Rules{})
		apply(ruleset.Rules{Lifted: map[string]int64{"s-1": time.Now().UnixMilli()}})
		first := servers.host(1).Started
		if age := clock.Now() - first; age < 0 || age > 10*time.Second {
			t.Errorf("clock off by %v: the server counts as %v old", off, age)
		}
		if list("s-1", 1); servers.host(1).Started != first {
			t.Errorf("clock off by %v: the start moved by %v", off, servers.host(1).Started-first)
		}
	}
}

// The module and the connection pool see a cordoned server as draining, whether the list or the cordon comes first. After
// the cordon is lifted the server counts as just started, and it still does once the rules no longer list the lifting.
func TestCordonActsAsDrain(t *testing.T) {
	g, s, f := startWithRules(t, testSettings)
	g.mustUpdateRules(t, viewOf(2, cordonRules("s-1")), lease.Full)
	if s.host(1).State != logic.Draining || s.host(2).State != logic.Ready {
		t.Fatalf("%+v %+v", s.host(1), s.host(2))
	}
	for i := range 20 {
		ex := submit(t, g, "read", string(rune('a'+i)))
		a := testwait.Value(t, "an attempt", s.started)
		if a.Server != 2 {
			t.Error("a request went to the cordoned server")
		}
		a.Report(attemptResult(logic.OK, ""))
		finalAnswer(t, ex)
	}
	g.UpdateServers(true, []Host{{Name: "s-1", StartedUnixMs: 5, Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}},
		{Name: "s-2", Server: logic.Server{ID: 2, Zone: "a", Build: 7, Weight: 1}}, {Name: "s-3", Server: logic.Server{ID: 3, Zone: "a", Build: 7, Weight: 1}}})
	testwait.Until(t, "the list", func() bool { return s.host(3).Name == "s-3" })
	if s.host(1).State != logic.Draining {
		t.Error("a new list made a cordoned server ready")
	}
	lifted := ruleset.Rules{Lifted: map[string]int64{"s-1": time.Now().UnixMilli()}}
	g.mustUpdateRules(t, viewOf(3, lifted), lease.Full)
	back := s.host(1)
	if back.State != logic.Ready || back.Started < g.clock.Now()-time.Second {
		t.Errorf("lifted: %+v at %v", back, g.clock.Now())
	}
	g.mustUpdateRules(t, viewOf(4, ruleset.Rules{}), lease.Full)
	if s.host(1).Started != back.Started {
		t.Error("slow start ended when the rules no longer list the lifting")
	}
	servers, sum := f.Servers()
	if len(servers) != 3 || servers[0].Host != "s-1" || servers[0].Born != 5 || sum == "" {
		t.Errorf("reported to the registrars: %+v", servers)
	}
}

// Without permission to send, requests of which no attempt was made are refused at once, with a Retry-After time.
// Attempts in flight go on.
func TestUnsentRequestsAreRefusedWithoutLease(t *testing.T) {
	g, s, _ := startWithRules(t, testSettings)
	g.mustUpdateRules(t, viewOf(2, ruleset.Rules{}), lease.Full)
	sent := submit(t, g, "read", "out")
	a := testwait.Value(t, "an attempt", s.started)
	g.mustUpdateRules(t, viewOf(3, cordonRules("s-1", "s-2")), lease.Full)
	unsent := submit(t, g, "read", "waits")
	time.Sleep(10 * time.Millisecond)
	if unsent.Ended() {
		t.Fatalf("answered: %+v", unsent.Answer())
	}
	g.mustUpdateRules(t, viewOf(3, cordonRules("s-1", "s-2")), lease.None)
	if got := finalAnswer(t, unsent); got.Status != exchange.Refused || got.RetryAfter != time.Second {
		t.Errorf("%+v", got)
	}
	a.Report(attemptResult(logic.OK, "hi"))
	if got := finalAnswer(t, sent); got.Status != exchange.Served {
		t.Errorf("the request in flight: %+v", got)
	}
	// An attempt that the gate held back is refused too, since nothing was sent for it.
	g.mustUpdateRules(t, viewOf(4, ruleset.Rules{}), lease.Full)
	heldBack := submit(t, g, "pay", "held")
	testwait.Value(t, "an attempt", s.started).Report(Result{Outcome: logic.NotSent, NoLease: true, EndedAt: time.Now()})
	if got := finalAnswer(t, heldBack); got.Status != exchange.Refused || got.RetryAfter != time.Second {
		t.Errorf("%+v", got)
	}
}

// A ceiling and a lost lease lower the exposure cap of a build on trial and cancel attempts that were decided before and not
// yet sent. When the rule ends, the cap is the platform's again.
func TestCeilingCancelsUnsent(t *testing.T) {
	g, s, _ := startWithRules(t, testSettings)
	g.mustUpdateRules(t, viewOf(2, ruleset.Rules{}), lease.Full)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.OnTrial, Cap: 0.5})
	low := 0.2
	g.mustUpdateRules(t, viewOf(3, ruleset.Rules{Ceiling: &low}), lease.Full)
	cancellations := func() int {
		s.fakeServers.mu.Lock()
		defer s.fakeServers.mu.Unlock()
		return len(slices.DeleteFunc(slices.Clone(s.cancelledBuilds), func(b logic.BuildID) bool { return b != 8 }))
	}
	if n := cancellations(); n != 1 {
		t.Errorf("%d cancellations after a ceiling, want 1", n)
	}
	g.mustUpdateRules(t, viewOf(3, ruleset.Rules{Ceiling: &low}), lease.Stale)
	if n := cancellations(); n != 2 {
		t.Errorf("%d cancellations after the lease was lost, want 2", n)
	}
	g.mustUpdateRules(t, viewOf(4, ruleset.Rules{}), lease.Full)
	g.mustUpdateRules(t, viewOf(5, ruleset.Rules{Ceiling: &low}), lease.Full)
	if n := cancellations(); n != 3 {
		t.Errorf("%d cancellations, want 3: the cap did not rise when the rule ended", n)
	}
}
