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

// seen keeps what the server side was told.
type seen struct {
	*fleet
	mu    sync.Mutex
	hosts map[logic.ServerID]Host
}

func (s *seen) UpdateServers(full bool, hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range hosts {
		s.hosts[h.ID] = h
	}
}

func (s *seen) host(id logic.ServerID) Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hosts[id]
}

// ruledBy runs a gateway with agreed rules round a real module, with two servers of a released build.
func ruledBy(t *testing.T, settings logic.Settings) (*Gateway, *seen, *Fleet) {
	t.Helper()
	g := New(logic.New(settings, 1), config.Limits{MaxEvents: 64, RetryAfter: time.Second}, NewClock(), metrics.New(), zap.NewNop())
	f := g.UseRules(time.Minute)
	s := &seen{fleet: &fleet{arrived: make(chan Attempt, 64)}, hosts: map[logic.ServerID]Host{}}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: s, Platform: sink{}, Peers: sink{}}) })
	t.Cleanup(func() { stop(); work.Wait() })
	g.UpdateServers(true, []Host{{Name: "s-1", StartedUnixMs: 5, MachineClass: "m", Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}},
		{Name: "s-2", MachineClass: "m", Server: logic.Server{ID: 2, Zone: "a", Build: 7, Weight: 1}}})
	g.UpdateRelease(logic.ReleaseStatus{Build: 7, Phase: logic.Released, Cap: 1})
	return g, s, f
}

func rulesOf(version uint64, r ruleset.Rules) *ruleset.View {
	return ruleset.NewView(ruleset.Document{Head: ruleset.Head{Version: version}, Rules: r})
}

func closed(names ...string) ruleset.Rules {
	r := ruleset.Rules{Cordons: map[string]cordon.Cordon{}}
	for _, n := range names {
		r.Cordons[n] = cordon.Cordon{Target: cordon.Target{Host: n}}
	}
	return r
}

func (g *Gateway) ruledNow(t *testing.T, v *ruleset.View, c lease.Permission) {
	t.Helper()
	if err := g.UpdateRules(t.Context(), v, c); err != nil {
		t.Fatal(err)
	}
}

// The module and the pool hear of a cordon as they hear of a drain, whichever of list and cordon comes first; one that was
// lifted comes back as a server that has just started, and stays so once the record has forgotten the lifting.
func TestCordonIsADrain(t *testing.T) {
	g, s, f := ruledBy(t, testSettings)
	g.ruledNow(t, rulesOf(2, closed("s-1")), lease.Full)
	if s.host(1).State != logic.Draining || s.host(2).State != logic.Ready {
		t.Fatalf("%+v %+v", s.host(1), s.host(2))
	}
	for i := range 20 {
		ex := submit(t, g, "read", string(rune('a'+i)))
		a := testwait.Value(t, "an attempt", s.arrived)
		if a.Server != 2 {
			t.Error("a request goes to the cordoned server")
		}
		a.Report(ended(logic.OK, ""))
		final(t, ex)
	}
	g.UpdateServers(true, []Host{{Name: "s-1", StartedUnixMs: 5, Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}},
		{Name: "s-2", Server: logic.Server{ID: 2, Zone: "a", Build: 7, Weight: 1}}, {Name: "s-3", Server: logic.Server{ID: 3, Zone: "a", Build: 7, Weight: 1}}})
	testwait.Until(t, "the list", func() bool { return s.host(3).Name == "s-3" })
	if s.host(1).State != logic.Draining {
		t.Error("a new list opens a cordoned server")
	}
	lifted := ruleset.Rules{Lifted: map[string]int64{"s-1": time.Now().UnixMilli()}}
	g.ruledNow(t, rulesOf(3, lifted), lease.Full)
	back := s.host(1)
	if back.State != logic.Ready || back.Started < g.clock.Now()-time.Second {
		t.Errorf("lifted: %+v at %v", back, g.clock.Now())
	}
	g.ruledNow(t, rulesOf(4, ruleset.Rules{}), lease.Full)
	if s.host(1).Started != back.Started {
		t.Error("its warm-up is forgotten with the lifting")
	}
	servers, sum := f.Servers()
	if len(servers) != 3 || servers[0].Host != "s-1" || servers[0].Born != 5 || sum == "" {
		t.Errorf("told to the registrars: %+v", servers)
	}
}

// While nothing may be sent, what waits unsent is refused at once, with advice when to return; what is out is not touched.
func TestWithoutLeaseWaitingIsRefused(t *testing.T) {
	g, s, _ := ruledBy(t, testSettings)
	g.ruledNow(t, rulesOf(2, ruleset.Rules{}), lease.Full)
	out := submit(t, g, "read", "out")
	a := testwait.Value(t, "an attempt", s.arrived)
	g.ruledNow(t, rulesOf(3, closed("s-1", "s-2")), lease.Full)
	waits := submit(t, g, "read", "waits")
	time.Sleep(10 * time.Millisecond)
	if waits.Ended() {
		t.Fatalf("answered: %+v", waits.Answer())
	}
	g.ruledNow(t, rulesOf(3, closed("s-1", "s-2")), lease.None)
	if got := final(t, waits); got.Status != exchange.Refused || got.RetryAfter != time.Second {
		t.Errorf("%+v", got)
	}
	a.Report(ended(logic.OK, "hi"))
	if got := final(t, out); got.Status != exchange.Served {
		t.Errorf("what was out: %+v", got)
	}
	// The gate holds back what the module still sends: refused too, as nothing has been sent for it.
	g.ruledNow(t, rulesOf(4, ruleset.Rules{}), lease.Full)
	held := submit(t, g, "pay", "held")
	testwait.Value(t, "an attempt", s.arrived).Report(Result{Outcome: logic.NotSent, NoLease: true, EndedAt: time.Now()})
	if got := final(t, held); got.Status != exchange.Refused || got.RetryAfter != time.Second {
		t.Errorf("%+v", got)
	}
}

// A ceiling and a lost lease lower the cap of a build on trial, and void sends that were decided before; the platform's
// word comes back with the rule's end.
func TestCeilingRecalls(t *testing.T) {
	g, s, _ := ruledBy(t, testSettings)
	g.ruledNow(t, rulesOf(2, ruleset.Rules{}), lease.Full)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.OnTrial, Cap: 0.5})
	low := 0.2
	g.ruledNow(t, rulesOf(3, ruleset.Rules{Ceiling: &low}), lease.Full)
	recalls := func() int {
		s.fleet.mu.Lock()
		defer s.fleet.mu.Unlock()
		return len(slices.DeleteFunc(slices.Clone(s.recalled), func(b logic.BuildID) bool { return b != 8 }))
	}
	if n := recalls(); n != 1 {
		t.Errorf("%d recalls after a ceiling", n)
	}
	g.ruledNow(t, rulesOf(3, ruleset.Rules{Ceiling: &low}), lease.Stale)
	if n := recalls(); n != 2 {
		t.Errorf("%d recalls after the lease", n)
	}
	g.ruledNow(t, rulesOf(4, ruleset.Rules{}), lease.Full)
	g.ruledNow(t, rulesOf(5, ruleset.Rules{Ceiling: &low}), lease.Full)
	if n := recalls(); n != 3 {
		t.Errorf("%d recalls: the cap did not come back with the rule's end", n)
	}
}
