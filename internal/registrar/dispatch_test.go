package registrar_test

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/standin/printer"
	"merlinarch/internal/testwait"
)

// plannedDispatch returns a change that plans a dispatch to a site, to be done from now on and within a time.
func plannedDispatch(name, site string, within time.Duration) ruleset.Change {
	now := time.Now()
	return ruleset.Change{Kind: ruleset.KindDispatch, Name: name, Dispatch: &ruleset.Dispatch{Site: site, Class: "print", Target: "/api/print?board=1",
		Body: "sheet " + name, Earliest: now.UnixMilli(), Latest: now.Add(within).UnixMilli(), Worth: 1, ExpectedDurationMs: 50}}
}

// waitForProgress waits until a dispatch has the wanted progress, and returns its state.
func (s *testCluster) waitForProgress(op *accord.Client, name string, want statemachine.Progress) statemachine.DispatchState {
	s.t.Helper()
	var w statemachine.DispatchState
	testwait.Until(s.t, fmt.Sprintf("dispatch %s to be %s", name, want), func() bool {
		if st := s.status(op, time.Second); st != nil {
			w = st.Dispatches[name]
		}
		return w.Progress == want
	})
	return w
}

// A dispatch has to be printed exactly once and reported as done, at whichever step its owner, its receiver or the
// leader fails.
func TestDispatchPrintedOnce(t *testing.T) {
	t.Parallel()
	for name, injectFault := range map[string]func(s *testCluster, p *printer.Printer, a cluster.Arrival, step printer.Step) hosts.Kind{
		"nobody": func(*testCluster, *printer.Printer, cluster.Arrival, printer.Step) hosts.Kind { return hosts.Served },
		"its owner, before it is printed": func(s *testCluster, _ *printer.Printer, a cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Received {
				s.Processes[a.Dispatcher].Kill()
				return hosts.ConnectionReset
			}
			return hosts.Served
		},
		"its owner, once it is printed": func(s *testCluster, _ *printer.Printer, a cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Printed {
				s.Processes[a.Dispatcher].Kill()
				return hosts.ConnectionReset
			}
			return hosts.Served
		},
		"its owner, which stands still past its lease with the answer unread": func(s *testCluster, _ *printer.Printer, a cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Printed {
				s.Processes[a.Dispatcher].Stop()
				time.AfterFunc(terms.ExpiryWait(terms.Longest)+2*terms.Beat, s.Processes[a.Dispatcher].Continue)
			}
			return hosts.Served
		},
		"its receiver, before it has printed": func(_ *testCluster, _ *printer.Printer, _ cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Received {
				return hosts.ConnectionReset
			}
			return hosts.Served
		},
		"its receiver, once it has printed": func(_ *testCluster, _ *printer.Printer, _ cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Printed {
				return hosts.ConnectionReset
			}
			return hosts.Served
		},
		"the leader": func(s *testCluster, _ *printer.Printer, _ cluster.Arrival, step printer.Step) hosts.Kind {
			if step == printer.Printed {
				s.Processes[s.Leader(s.ctx)].Kill()
			}
			return hosts.Served
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := printer.New()
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 3, Seed: 21, Serve: p.Serve})
			var once sync.Once
			p.OnStep = func(step printer.Step, a cluster.Arrival) (k hosts.Kind) {
				if step == printer.Received && strings.HasPrefix(name, "its owner, before") || step == printer.Printed && !strings.HasPrefix(name, "its receiver, before") ||
					strings.HasPrefix(name, "its receiver, before") && step == printer.Received {
					once.Do(func() { k = injectFault(s, p, a, step) })
				}
				return k
			}
			s.mustChange(s.Operator(), plannedDispatch("sheet", "a", 20*time.Second))
			w := s.waitForProgress(s.Operator(), "sheet", statemachine.Done)
			if got := p.Sheets(); len(got) != 1 || got["dispatch-sheet"] != 1 {
				t.Errorf("printed %v, want dispatch-sheet once", got)
			}
			if w.Fence == 0 {
				t.Errorf("done without a fencing token: %+v", w)
			}
		})
	}
}

// After a try that may have run, a dispatch is sent only while its receivers drop a repeat, whatever its later tries meet; then
// it counts as unknown. One that has certainly not run is sent until it is done. It guards against a refusal that hides an
// attempt whose answer was lost.
func TestTriesOfDispatchAcrossTrouble(t *testing.T) {
	t.Parallel()
	const window, trouble = 4 * time.Second, 6 * time.Second
	turnAway := func(*testCluster, cluster.Arrival) hosts.Kind { return hosts.TurnedAway }
	for _, c := range []struct {
		name      string
		ran       bool                                                   // the first try prints the sheet and its answer is lost
		onArrival func(s *testCluster, first cluster.Arrival) hosts.Kind // how later tries end while the trouble lasts
		begin     func(s *testCluster, first cluster.Arrival)            // what else happens with the first try; may be nil
	}{
		{"ran, then turned away", true, turnAway, nil},
		{"ran, then reset", true, func(*testCluster, cluster.Arrival) hosts.Kind { return hosts.ConnectionReset }, nil},
		{"ran, then an error", true, func(*testCluster, cluster.Arrival) hosts.Kind { return hosts.ServerError }, nil},
		{"ran, then silence", true, func(*testCluster, cluster.Arrival) hosts.Kind { return hosts.Silent }, nil},
		{"ran, then its server is down", true, turnAway, (*testCluster).interruptServer},
		{"ran, then its owner is killed", true, turnAway, func(s *testCluster, first cluster.Arrival) { s.Processes[first.Dispatcher].Kill() }},
		{"ran, then its owner stands still", true, turnAway, func(s *testCluster, first cluster.Arrival) {
			s.Processes[first.Dispatcher].Stop()
			time.AfterFunc(trouble, s.Processes[first.Dispatcher].Continue)
		}},
		{"ran, then the leader is killed", true, turnAway, func(s *testCluster, _ cluster.Arrival) { s.Processes[s.Leader(s.ctx)].Kill() }},
		{"not run, turned away", false, turnAway, nil},
		{"not run, its server is down", false, turnAway, (*testCluster).interruptServer},
		{"not run, its owner ends in order", false, turnAway, func(s *testCluster, first cluster.Arrival) {
			s.Processes[first.Dispatcher].Signal(syscall.SIGTERM)
			time.Sleep(900 * time.Millisecond) // the try is in progress while its owner drains
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := printer.New()
			p.Window = window
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 3, Seed: 25, Serve: p.Serve, RepeatWindow: window, LowTraffic: true,
				Site: func(server int) string { return []string{"a", "a", "b"}[server] }})
			s.waitForTraffic("s-2")
			var firstTry sync.Once
			var troubleEnds atomic.Int64
			p.OnStep = func(step printer.Step, a cluster.Arrival) (k hosts.Kind) {
				if step == printer.Printed && c.ran || step == printer.Received && !c.ran {
					firstTry.Do(func() {
						troubleEnds.Store(time.Now().Add(trouble).UnixNano())
						if k = hosts.ConnectionReset; !c.ran {
							k = hosts.TurnedAway
						}
						if c.begin != nil {
							c.begin(s, a)
						}
					})
				}
				if ends := troubleEnds.Load(); k == hosts.Served && step == printer.Received && ends != 0 && time.Now().UnixNano() < ends {
					return c.onArrival(s, a)
				}
				return k
			}
			s.mustChange(s.Operator(), plannedDispatch("sheet", "b", 30*time.Second))
			want := statemachine.Done
			if c.ran {
				want = statemachine.Unknown
			}
			if w := s.waitForProgress(s.Operator(), "sheet", want); c.ran && w.Reason == "" {
				t.Errorf("no reason is told: %+v", w)
			}
			time.Sleep(max(0, time.Until(time.Unix(0, troubleEnds.Load()))) + time.Second)
			if got := p.Sheets(); len(got) != 1 || got["dispatch-sheet"] != 1 {
				t.Errorf("printed %v, want dispatch-sheet once", got)
			}
		})
	}
}

// interruptServer takes the server of an arrival down for longer than the window of repeats.
func (s *testCluster) interruptServer(first cluster.Arrival) {
	server, err := strconv.Atoi(strings.TrimPrefix(first.Server, "s-"))
	if err != nil {
		s.t.Error(err)
		return
	}
	go s.StopServer(server) // waits for the arrival that this is called from
	time.AfterFunc(6*time.Second, func() {
		if err := s.RestartServer(server); err != nil {
			s.t.Error(err)
		}
	})
}

// A dispatch that can't be done in time is dropped at once, with the reason; one that is withdrawn is not sent.
func TestDispatchDroppedOrWithdrawn(t *testing.T) {
	t.Parallel()
	p := printer.New()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 3, Seed: 22, Serve: p.Serve})
	late := plannedDispatch("late", "a", time.Second)
	late.Dispatch.ExpectedDurationMs = 60_000
	later := plannedDispatch("later", "a", time.Hour)
	later.Dispatch.Earliest = time.Now().Add(time.Minute).UnixMilli()
	s.mustChange(s.Operator(), late, later)
	if w := s.waitForProgress(s.Operator(), "late", statemachine.Dropped); !strings.Contains(w.Reason, "in time") {
		t.Errorf("the reason does not say that time is too short: %+v", w)
	}
	s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindWithdraw, Name: "later"})
	if got := p.Sheets(); len(got) != 0 {
		t.Errorf("printed %v, want nothing", got)
	}
}

// A site is down while dispatches for it queue up, and is in slow start when it returns. The backlog has to reach it
// with limited concurrency, each sheet once, and ordinary requests to other sites must not suffer meanwhile.
func TestBacklogAfterSiteReturns(t *testing.T) {
	t.Parallel()
	p := printer.New()
	p.OnStep = func(step printer.Step, _ cluster.Arrival) hosts.Kind {
		if step == printer.Received {
			time.Sleep(700 * time.Millisecond)
		}
		return hosts.Served
	}
	var siteDown atomic.Bool
	const dispatchRoom, slowStart, sheets = 4, 6 * time.Second, 12
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 23,
		Accord: settings(map[string]any{"dispatch_room": dispatchRoom, "cold": slowStart.String()}),
		Site:   func(server int) string { return []string{"a", "a", "a", "b"}[server] },
		Serve: func(ctx context.Context, a cluster.Arrival) hosts.Reply {
			if a.Server == "s-3" && siteDown.Load() {
				return hosts.Reply{Kind: hosts.Silent}
			}
			return p.Serve(ctx, a)
		}})
	s.waitForTraffic("s-3")
	siteState := func() string {
		st := s.status(s.Operator(), time.Second)
		if st == nil {
			return ""
		}
		return st.Sites["b"].State
	}
	testwait.Until(t, "the site to be reported as up", func() bool { return siteState() == "up" })
	siteDown.Store(true)
	testwait.Until(t, "the site to be reported as down", func() bool { return siteState() == "down" })
	var changes []ruleset.Change
	for i := range sheets {
		changes = append(changes, plannedDispatch(fmt.Sprint("sheet-", i), "b", time.Minute))
	}
	s.mustChange(s.Operator(), changes...)
	served, late, failed := s.answerCount("n0", 200), s.answerCount("n0", 504), s.answerCount("n0", 502)
	time.Sleep(2 * time.Second)
	n := s.answerCount("n0", 200) - served
	t.Logf("ordinary requests meanwhile: %d served, %d timed out, %d failed", n, s.answerCount("n0", 504)-late, s.answerCount("n0", 502)-failed)
	if n < 50 {
		t.Errorf("only %d ordinary requests were served meanwhile", n)
	}
	if got := p.Sheets(); len(got) != 0 {
		t.Fatalf("printed while the site was down: %v", got)
	}
	p.MaxConcurrent()
	siteDown.Store(false)
	testwait.Until(t, "the first sheet", func() bool { return len(p.Sheets()) > 0 })
	time.Sleep(time.Second)
	if n := p.MaxConcurrent(); n > dispatchRoom*5/8 {
		t.Errorf("%d sheets at once just after the site returned", n)
	}
	testwait.Until(t, "all sheets", func() bool { return len(p.Sheets()) == sheets })
	for i := range sheets {
		s.waitForProgress(s.Operator(), fmt.Sprint("sheet-", i), statemachine.Done)
	}
	for key, n := range p.Sheets() {
		if n != 1 {
			t.Errorf("%s printed %d times", key, n)
		}
	}
}

// One site flaps while dispatches for it are due, and another is up although its calendar plans an outage. Each sheet
// has to be printed exactly once, and in time.
func TestFlappingSiteAndWrongCalendar(t *testing.T) {
	t.Parallel()
	p := printer.New()
	var siteDown atomic.Bool
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 24, Accord: settings(map[string]any{"cold": "1s"}),
		Site: func(server int) string { return []string{"a", "a", "b", "c"}[server] },
		Serve: func(ctx context.Context, a cluster.Arrival) hosts.Reply {
			if a.Server == "s-2" && siteDown.Load() {
				return hosts.Reply{Kind: hosts.Silent}
			}
			return p.Serve(ctx, a)
		}})
	s.waitForTraffic("s-2")
	s.waitForTraffic("s-3")
	now := time.Now()
	s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindSite, Name: "c", Site: &ruleset.Site{
		Outages: []ruleset.Span{{From: now.Add(-time.Minute).UnixMilli(), Until: now.Add(time.Hour).UnixMilli()}}}})
	var changes []ruleset.Change
	for i := range 4 {
		changes = append(changes, plannedDispatch(fmt.Sprint("b-", i), "b", 40*time.Second), plannedDispatch(fmt.Sprint("c-", i), "c", 40*time.Second))
	}
	siteDown.Store(true)
	s.mustChange(s.Operator(), changes...)
	for range 3 {
		time.Sleep(2500 * time.Millisecond)
		siteDown.Store(false)
		time.Sleep(time.Second)
		siteDown.Store(true)
	}
	siteDown.Store(false)
	for i := range 4 {
		s.waitForProgress(s.Operator(), fmt.Sprint("b-", i), statemachine.Done)
		s.waitForProgress(s.Operator(), fmt.Sprint("c-", i), statemachine.Done)
	}
	for key, n := range p.Sheets() {
		if n != 1 {
			t.Errorf("%s printed %d times", key, n)
		}
	}
}
