package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func TestEveryRequestGetsOneAnswer(t *testing.T) {
	cases := []struct {
		name    string
		class   string
		servers []Server
		left    time.Duration
		outcome Outcome // of the first attempt, where one is made
		refused bool
		within  time.Duration
	}{
		// Danger: a client that leaves no tick in between was lost.
		{"almost no time and no server", "read", nil, 5 * ms, OK, true, 0},
		{"no server at all", "read", nil, 4 * time.Second, OK, true, time.Second + 100*ms},
		{"all draining", "once", []Server{testServer(1, withState(Draining))}, 4 * time.Second, OK, true, time.Second + 100*ms},
		{"served", "read", []Server{testServer(1)}, 4 * time.Second, OK, false, 0},
		{"unsafe that may have run", "once", []Server{testServer(1), testServer(2)}, 4 * time.Second, ServerError, false, 0},
		{"zone keyed, no time left", "zoned", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, false, 0},
		{"keyed everywhere, no time left", "keyed", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, true, 0},
		{"safe, no time left", "read", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newReadyHarness(t, testSettings(), c.servers...)
			for _, s := range g.startRequest("r", c.class, c.left) {
				g.endAttempt(s, c.outcome)
			}
			g.advance(c.within)
			if g.finalAnswers["r"] != 1 || g.refused["r"] != c.refused {
				t.Errorf("finals %d, refused %v; want one final answer, refused %v", g.finalAnswers["r"], g.refused["r"], c.refused)
			}
			g.advance(10 * time.Second)
			g.feed(ClientGone{ID: "r"})
			g.feed(AttemptDone{ID: "r", Outcome: TimedOut, Attempt: 0, Server: 1, RequestEnded: true})
			if g.finalAnswers["r"] != 1 {
				t.Errorf("%d final answers after the request ended", g.finalAnswers["r"])
			}
		})
	}
}

func TestNothingIsSentBeforeTheFirstReleaseStatus(t *testing.T) {
	g := newHarness(t, testSettings(), 1)
	g.setServers(testServer(1))
	if got := g.startRequest("r", "read", time.Second); len(got) != 0 {
		t.Fatalf("sent %v before any release news", got)
	}
	g.feed(ReleaseStatus{Build: 1, Phase: Released, Cap: 1})
	if len(g.sends) != 1 {
		t.Fatalf("%d sends after the news, want 1", len(g.sends))
	}
}

func TestRepeatsFollowRepeatability(t *testing.T) {
	servers := []Server{testServer(1, withCell(1)), testServer(2, withCell(1)), testServer(3, withZone("b"), withCell(2)), testServer(4, withZone("b"), withCell(2))}
	find := map[ServerID]Server{}
	for _, s := range servers {
		find[s.ID] = s
	}
	cases := []struct {
		class   string
		outcome Outcome
		wait    time.Duration // the attempt's time
		again   bool
		same    func(a, b Server) bool
	}{
		{"read", ServerError, 0, true, nil},
		{"read", Reset, 0, true, nil},
		{"once", ServerError, 0, false, nil},
		{"once", Reset, 0, false, nil},
		{"once", Cancelled, 0, false, nil},
		{"once", ConnectFailed, 0, true, nil},
		{"once", Rejected, 0, true, nil},
		{"keyed", ServerError, 0, true, nil},
		{"keyed", ServerError, 1990 * ms, true, nil},
		{"keyed", ServerError, 1997 * ms, false, nil}, // a tick before
		{"keyed", ServerError, 2100 * ms, false, nil},
		{"zoned", ServerError, 0, true, func(a, b Server) bool { return a.Zone == b.Zone }},
		{"zoned", ServerError, 2100 * ms, false, nil},
		{"zoned", ConnectFailed, 2100 * ms, true, nil},
		{"celled", ServerError, 0, true, func(a, b Server) bool { return a.Cell == b.Cell }},
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%s after %d and %v", c.class, c.outcome, c.wait), func(t *testing.T) {
			for seed := range 20 {
				g := newHarness(t, testSettings(), uint64(seed))
				g.setServers(servers...)
				g.setRelease(1, 2, Released, 1)
				first := g.startRequest("r", c.class, 4*time.Second)[0]
				g.advance(c.wait)
				next := g.endAttempt(first, c.outcome)
				if (len(next) > 0) != c.again {
					t.Fatalf("seed %d: repeated %v, want %v", seed, len(next) > 0, c.again)
				}
				if c.again && c.same != nil && !c.same(find[first.Server], find[next[0].Server]) {
					t.Fatalf("seed %d: repeat went from %d to %d", seed, first.Server, next[0].Server)
				}
				if !c.again {
					g.advance(5 * time.Second)
					// Once servers no longer drop it, trying again is not harmless, and so it is no refusal.
					refusable := c.class == "keyed" && c.wait < 2000*ms
					if g.finalAnswers["r"] != 1 || g.refused["r"] != refusable {
						t.Fatalf("seed %d: finals %d refused %v", seed, g.finalAnswers["r"], g.refused["r"])
					}
				}
			}
		})
	}
}

// A repeat carries the moment from which its servers no longer drop it, so that a dial or a stall can't hold it until then;
// one that was held so long is not sent again. First attempts, and requests that may run any number of times, carry none.
func TestRepeatsAreSentWithinDedupWindow(t *testing.T) {
	for class, bound := range map[string]bool{"read": false, "zoned": true, "celled": true, "keyed": true} {
		g := newReadyHarness(t, testSettings(), testServer(1), testServer(2), testServer(3))
		first := g.startRequest("r", class, 4*time.Second)[0]
		began := g.now
		if first.SendBy != 0 {
			t.Errorf("%s: a first attempt has to leave by %v", class, first.SendBy)
		}
		g.advance(300 * ms)
		next := g.endAttempt(first, Reset)
		if len(next) != 1 {
			t.Fatalf("%s: %d repeats", class, len(next))
		}
		if want := (began + 2*time.Second) * time.Duration(oneIf(bound)); next[0].SendBy != want {
			t.Errorf("%s: to leave by %v, want %v", class, next[0].SendBy, want)
		}
		g.advance(1750 * ms) // it was held up
		if again := append(g.endAttempt(next[0], NotSent), g.advance(3*time.Second)...); len(again) > 0 == bound {
			t.Errorf("%s: sent %d times after its window", class, len(again))
		}
	}
	// One whose earlier attempts have not run is no repeat.
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
	first := g.startRequest("r", "keyed", 4*time.Second)[0]
	if next := g.endAttempt(first, ConnectFailed); len(next) != 1 || next[0].SendBy != 0 {
		t.Errorf("after a failed connection: %+v", next)
	}
}

func TestDrainingAndGoneServersGetNoAttempts(t *testing.T) {
	for _, gone := range []ServerState{Draining, Gone} {
		g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
		g.feed(ServersListed{Servers: []Server{testServer(1, withState(gone))}})
		for i := range 50 {
			for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
				if s.Server == 1 {
					t.Fatalf("sent to a server that is %v", gone)
				}
				g.endAttempt(s, OK)
			}
		}
	}
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
	g.setServers(testServer(2)) // absent from a complete list
	for i := range 50 {
		for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
			if s.Server == 1 {
				t.Fatal("sent to a server that left the list")
			}
			g.endAttempt(s, OK)
		}
	}
}

func TestRestartWithAStaleList(t *testing.T) {
	g := newHarness(t, testSettings(), 3)
	g.setServers(testServer(1), testServer(2, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.5)
	g.feed(ServersListed{Servers: []Server{testServer(1, withState(Gone)), testServer(3)}})
	for _, s := range g.startRequest("r", "read", time.Second) {
		if s.Server == 1 {
			t.Fatal("sent to a server that was gone")
		}
	}
	if len(g.sends) != 1 {
		t.Fatalf("%d sends, want 1", len(g.sends))
	}
}

// Danger: an outcome that arrives after its server restarted or left must not leave attempts counted for ever.
func TestInFlightCountSurvivesServerRestart(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1))
	s := g.startRequest("r", "read", 4*time.Second)[0]
	g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
	g.endAttempt(s, OK)
	if n := g.router.servers[1].inFlight; n != 0 || g.router.inFlight != 0 {
		t.Errorf("in flight %d at the server, %d in all; want none", n, g.router.inFlight)
	}
}

// Three routers with equal traffic must keep a server that has just started under its budget in any window.
func TestColdServersAreNotOverloaded(t *testing.T) {
	set := testSettings()
	const fleet, rate = 8, 40.0 // requests a second at each router
	var rigs []*harness
	for i := range 3 {
		set.Self = i
		g := newHarness(t, set, uint64(i))
		var servers []Server
		for id := range fleet {
			servers = append(servers, testServer(id+1))
		}
		g.setServers(servers...)
		g.setRelease(1, 2, Released, 1)
		rigs = append(rigs, g)
	}
	var hits []time.Duration
	begun := time.Duration(0)
	for step := range 1600 {
		for i, g := range rigs {
			if step == 800 {
				begun = g.now
				g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
			}
			for _, s := range g.startRequest(fmt.Sprint("r", i, step), "read", time.Second) {
				if s.Server == 1 && begun > 0 {
					hits = append(hits, g.now)
				}
				g.endAttempt(s, OK)
			}
			g.advance(time.Duration(float64(time.Second) / rate))
		}
	}
	capacity := 3 * rate / fleet // what each server carries is the least it can do
	for i, from := range hits {
		age := float64(from-begun) / float64(set.WarmUpTime)
		if age >= 1 {
			break
		}
		n := 0
		for _, at := range hits[i:] {
			if at <= from+set.OverloadTime {
				n++
			}
		}
		share := set.ColdCapacity + (1-set.ColdCapacity)*age
		if budget := set.OverloadMultiple*share*capacity*set.OverloadTime.Seconds() + 3; float64(n) > budget {
			t.Fatalf("%d requests from %v after the start, budget %.1f", n, from-begun, budget)
		}
	}
	if len(hits) == 0 {
		t.Fatal("the cold server was never used")
	}
}

// Danger: what each router sends a cold server keeps to its budget as it is decided, but connecting may take up to its
// time-out, and what was decided meanwhile may all come up at once. Here each send comes at the worst moment that it may,
// while the other servers fail and all routers turn to one that has just started.
func TestDelayedSendsStayWithinColdServerBudget(t *testing.T) {
	const fleet, rate, routers = 8, 40.0, 20 // requests a second at each router
	const dial = time.Second                 // the time-out
	type span struct{ from, until time.Duration }
	var sends []span
	set := testSettings()
	set.RouterCount = routers
	servers := make([]Server, fleet)
	for i := range servers {
		servers[i] = testServer(i + 1)
	}
	var rigs []*harness
	for i := range routers {
		set.Self = i
		g := newHarness(t, set, uint64(i))
		g.setServers(servers...)
		g.setRelease(1, 2, Released, 1)
		rigs = append(rigs, g)
	}
	begun := time.Duration(0)
	for step := range 520 {
		for i, g := range rigs {
			if step == 400 {
				begun = g.now
				g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
				for id, s := range g.router.servers {
					if id != 1 {
						s.suspectUntil = g.now + time.Hour // suspect
					}
				}
			}
			for _, s := range g.startRequest(fmt.Sprint("r", i, step), "read", time.Second) {
				if s.Server == 1 && begun > 0 {
					until := g.now + dial
					if s.SendBy > 0 {
						until = min(until, s.SendBy)
					}
					sends = append(sends, span{g.now, until})
				}
				g.endAttempt(s, OK)
			}
			g.advance(time.Duration(float64(time.Second) / rate))
		}
	}
	if len(sends) < 50 {
		t.Fatalf("%d sends to the cold server", len(sends))
	}
	capacity := routers * rate / fleet // what each server carried is the least that it can do
	for at := begun; at < begun+time.Second; at += 10 * ms {
		n, allowed := 0, 0.0
		for _, s := range sends {
			n += int(oneIf(s.until >= at && s.from <= at+set.OverloadTime))
		}
		for x := at; x < at+set.OverloadTime; x += 10 * ms {
			share := set.ColdCapacity + (1-set.ColdCapacity)*float64(x-begun)/float64(set.WarmUpTime)
			allowed += set.OverloadMultiple * capacity * share * (10 * ms).Seconds()
		}
		if budget := allowed + 2*math.Sqrt(allowed) + 2; float64(n) > budget {
			t.Fatalf("%d sends may come within %v from %v after the start on, budget %.1f", n, set.OverloadTime, at-begun, budget)
		}
	}
}

// exposure replays random traffic and checks every window against the rule.
func TestExposureInEveryWindow(t *testing.T) {
	type event struct {
		at    time.Duration
		class string
		trial bool
	}
	cases := []struct {
		name     string
		cap      float64
		perClass bool
		closed   int
		listed   BuildID // build of the new servers
		told     BuildID // build of the news
	}{
		{"small cap", 0.1, false, 0, 2, 2},
		{"large cap", 0.5, false, 0, 2, 2},
		{"cap 0", 0, false, 0, 2, 2},
		{"by class", 0.1, true, 0, 2, 2},
		{"closed stage", 0.1, false, 2, 2, 2},
		{"unnamed build counts as the first stage", 0.1, false, 0, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			set := testSettings()
			set.Rollout.BudgetPerClass, set.Rollout.ClosedStages = c.perClass, c.closed
			g := newHarness(t, set, 5)
			g.setServers(testServer(1), testServer(2), testServer(3, withBuild(c.listed)), testServer(4, withBuild(c.listed)), testServer(5, withBuild(c.listed)))
			if c.told == 2 {
				g.setRelease(2, 0, OnTrial, c.cap)
			} else {
				g.setRelease(1, 2, Released, 1)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			classes := []string{"read", "once"}
			var events []event
			tried := 0
			for i := range 4000 {
				class := classes[rng.IntN(2)]
				events = append(events, event{g.now, class, false})
				for _, s := range g.startRequest(fmt.Sprint("r", i), class, time.Second) {
					if s.Server >= 3 {
						events = append(events, event{g.now, class, true})
						tried++
						if c.closed > 0 && class != "read" {
							t.Fatal("a request with an effect went to a closed stage")
						}
					}
					g.endAttempt(s, OK)
				}
				g.advance(time.Duration(rng.ExpFloat64() * float64(20*ms)))
			}
			if c.cap == 0 && tried > 0 || c.cap > 0 && tried == 0 {
				t.Fatalf("%d attempts at the build on trial with cap %v", tried, c.cap)
			}
			for i, from := range events {
				taken, sent := map[string]int{}, map[string]int{}
				for _, e := range events[i:] {
					if e.at > from.at+set.Rollout.ExposureWindow {
						break
					}
					lane := ""
					if c.perClass {
						lane = e.class
					}
					if e.trial {
						sent[lane]++
					} else {
						taken[lane]++
					}
					if limit := set.Rollout.FreeAttempts + c.cap*float64(taken[lane]); float64(sent[lane]) > limit+1e-9 {
						t.Fatalf("window from event %d: %d attempts, limit %.2f", i, sent[lane], limit)
					}
				}
			}
		})
	}
}

func TestLoweredCapAppliesAtOnce(t *testing.T) {
	g := newHarness(t, testSettings(), 5)
	g.setServers(testServer(1), testServer(2, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.5)
	count := func(n int) (trial int) {
		for i := range n {
			for _, s := range g.startRequest(fmt.Sprint(g.now, i), "read", time.Second) {
				if s.Server == 2 {
					trial++
				}
				g.endAttempt(s, OK)
			}
			g.advance(20 * ms)
		}
		return trial
	}
	if count(500) < 50 {
		t.Fatal("the build on trial was hardly tried")
	}
	g.setRelease(2, 1, RollingBack, 0)
	if n := count(500); n != 0 {
		t.Fatalf("%d attempts at a build that goes back with cap 0", n)
	}
}

func TestForwardOnlyKeys(t *testing.T) {
	set := testSettings()
	set.Rollout.ForwardOnly = true
	g := newHarness(t, set, 9)
	g.setServers(testServer(1), testServer(2), testServer(3, withBuild(2)), testServer(4, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.5)
	bound := map[uint64]bool{}
	ask := func(i int, key uint64) []Send {
		return g.feed(RequestArrived{ID: RequestID(fmt.Sprint("r", i)), Class: "read", Key: key, HasKey: true,
			TimeLeft: time.Second})
	}
	for i := range 3000 {
		key := uint64(i % 300)
		for _, s := range ask(i, key) {
			if bound[key] && s.Server < 3 {
				t.Fatalf("key %d had been answered by the new build and went back", key)
			}
			g.endAttempt(s, OK)
			bound[key] = bound[key] || s.Server >= 3
		}
		g.advance(10 * ms)
	}
	if len(bound) == 0 || g.router.classes["read"].pinnedPart == 0 {
		t.Fatal("no key was ever bound")
	}
	// Late news may return from 'back' to 'on trial': the keys are bound again.
	g.setRelease(2, 1, RollingBack, 0)
	for i := 0; i < len(g.sends); i++ { // what was held for want of budget, and what its end lets go
		if s := g.sends[i]; g.finalAnswers[s.ID] == 0 {
			g.endAttempt(s, OK)
		}
	}
	for key := range bound {
		if got := ask(10000+int(key), key); len(got) != 1 || got[0].Server >= 3 {
			t.Fatalf("key %d is held while its build goes back: %v", key, got)
		}
		break
	}
	g.setRelease(2, 1, OnTrial, 0.5)
	for i := range 300 {
		for _, s := range ask(20000+i, uint64(i)) {
			if bound[uint64(i)] && s.Server < 3 {
				t.Fatalf("key %d was forgotten over late news", i)
			}
			g.endAttempt(s, OK)
		}
		g.advance(10 * ms)
	}
}

// Danger: the answer to a request whose client has left still binds its key.
func TestAnswerAfterClientLeftBindsKey(t *testing.T) {
	set := testSettings()
	set.Rollout.ForwardOnly = true
	g := newHarness(t, set, 9)
	g.setServers(testServer(3, withBuild(2)), testServer(1))
	g.setRelease(2, 2, OnTrial, 1)
	for i := range 100 {
		id := RequestID(fmt.Sprint("r", i))
		for _, s := range g.feed(RequestArrived{ID: id, Class: "read", Key: uint64(i), HasKey: true, TimeLeft: time.Second}) {
			g.feed(ClientGone{ID: id})
			g.feed(AttemptDone{ID: id, Outcome: OK, Duration: 50 * ms, Server: s.Server, Attempt: 0, RequestEnded: true})
			if s.Server == 3 && g.router.keyBuilds[uint64(i)] != 2 {
				t.Fatal("the key was not bound")
			}
		}
		g.advance(20 * ms)
	}
	if len(g.router.keyBuilds) == 0 {
		t.Fatal("no answer came from the new build")
	}
}

// The host is told which sends for a key void earlier ones: those of keys that may not go back, and no others.
func TestForwardOnlyIsSetOnSends(t *testing.T) {
	for _, forwardOnly := range []bool{true, false} {
		for _, hasKey := range []bool{true, false} {
			set := testSettings()
			set.Rollout.ForwardOnly = forwardOnly
			sends := newReadyHarness(t, set, testServer(1)).feed(RequestArrived{ID: "r", Class: "read", Key: 5, HasKey: hasKey, TimeLeft: time.Second})
			if len(sends) != 1 || sends[0].ForwardOnly != (forwardOnly && hasKey) {
				t.Errorf("forward-only %v, key %v: %+v", forwardOnly, hasKey, sends)
			}
		}
	}
}

// Danger: a good answer that breaks off is one that the build has given: it binds its key, and the request's next try is bound
// too. An end without any of it binds nothing.
func TestInterruptedAnswersBindKeys(t *testing.T) {
	set := testSettings()
	set.Rollout.ForwardOnly, set.Rollout.FreeAttempts = true, 1
	for _, begun := range []bool{true, false} {
		for _, o := range []Outcome{Reset, TimedOut, Cancelled} {
			g := newHarness(t, set, 9)
			g.setServers(testServer(1), testServer(2), testServer(3, withBuild(2)), testServer(4, withBuild(2)))
			g.setRelease(2, 1, OnTrial, 0.5)
			var broken Send
			for i := 0; broken.ID == ""; i++ {
				if i == 1000 {
					t.Fatal("the build on trial was never tried")
				}
				for _, s := range g.feed(RequestArrived{ID: RequestID(fmt.Sprint("r", i)), Class: "read", Key: uint64(i), HasKey: true, TimeLeft: 4 * time.Second}) {
					if s.Server >= 3 {
						broken = s
						break
					}
					g.endAttempt(s, OK)
				}
				g.advance(10 * ms)
			}
			key := g.router.requests[broken.ID].Key
			again := g.feed(AttemptDone{ID: broken.ID, Outcome: o, Duration: 50 * ms, Server: broken.Server, Attempt: 0, AnswerBegun: begun})
			again = append(again, g.advance(20*ms)...)
			again = append(again, g.feed(RequestArrived{ID: "next", Class: "read", Key: key, HasKey: true, TimeLeft: 4 * time.Second})...)
			for range 50 { // whatever is drawn for other keys
				again = append(again, g.advance(20*ms)...)
			}
			earlier := slices.ContainsFunc(again, func(s Send) bool { return s.Server < 3 })
			if bound := g.router.keyBuilds[key] == 2; bound != begun || earlier == begun {
				t.Errorf("outcome %v, begun %v: bound %v, sent to the earlier build %v", o, begun, bound, earlier)
			}
		}
	}
}

// Danger: of those that wait, one that may only go to the build on trial stands for none that may go to any.
func TestQueuedBoundKeysDoNotBlockOthers(t *testing.T) {
	set := testSettings()
	set.Rollout.ForwardOnly = true
	g := newHarness(t, set, 9)
	g.setServers(testServer(1), testServer(3, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.01)
	g.router.keyBuilds[5] = 2
	b := g.router.budget(2, g.router.classes["read"])
	for i := range b.freeSlots { // its budget is used up
		b.freeSlots[i] = g.now
	}
	g.router.limit = 0 // all wait
	g.feed(RequestArrived{ID: "bound", Class: "read", Key: 5, HasKey: true, TimeLeft: 4 * time.Second})
	g.now += ms // else the later one would stand before it
	g.feed(RequestArrived{ID: "free", Class: "read", Key: 6, HasKey: true, TimeLeft: 4 * time.Second})
	if len(g.router.queue) != 2 {
		t.Fatalf("%d wait", len(g.router.queue))
	}
	g.router.limit = 10
	if sends := g.advance(60 * ms); len(sends) != 1 || sends[0].ID != "free" || sends[0].Server != 1 {
		t.Errorf("what may go anywhere waits behind what may not: %v", sends)
	}
}

// Danger: a stale list names servers that have long gone. Requests must neither storm at them nor go unserved
// while the build on trial may take them.
func TestStaleListFallsBackToBuildOnTrial(t *testing.T) {
	g := newHarness(t, testSettings(), 4)
	g.setServers(testServer(1), testServer(2), testServer(3), testServer(4, withBuild(2)), testServer(5, withBuild(2)))
	g.setRelease(2, 2, OnTrial, 1)
	gone, served := 0, 0
	for i := range 400 {
		for todo := g.startRequest(fmt.Sprint("r", i), "read", 2*time.Second); len(todo) > 0; {
			s := todo[0]
			if s.Server <= 3 {
				gone++
				todo = g.endAttempt(s, ConnectFailed)
			} else {
				served++
				todo = g.endAttempt(s, OK)
			}
		}
		g.advance(20 * ms)
	}
	if gone > 60 || served < 360 {
		t.Errorf("%d attempts at servers that are gone, %d of 400 served", gone, served)
	}
}

// An attempt whose client has gone is cancelled: nobody waits for what its server may still have to do. Where the
// host can't cancel it goes on.
func TestAttemptIsCancelledWhenClientLeaves(t *testing.T) {
	for _, can := range []bool{true, false} {
		s := testSettings()
		s.CanCancel = can
		g := newReadyHarness(t, s, testServer(1))
		sent := g.startRequest("a", "read", time.Second)
		if len(sent) != 1 {
			t.Fatalf("sent %v", sent)
		}
		g.actionLog = nil
		g.feed(ClientGone{ID: "a"})
		want := fmt.Sprintf("%v %T%+v", g.now, Cancel{}, Cancel{ID: "a"})
		if got := slices.Contains(g.actionLog, want); got != can {
			t.Errorf("host can cancel: %v; actions %v, want %s", can, g.actionLog, want)
		}
		g.endAttempt(sent[0], Cancelled)
		if len(g.router.requests) > 0 || g.router.inFlight != 0 || g.router.servers[1].inFlight != 0 {
			t.Error("it is kept")
		}
	}
}

// Builds that follow one another for ever, servers that come back with them, routers that restart and keys that
// are always new leave nothing behind.
func TestStateDoesNotGrowWithBuilds(t *testing.T) {
	s := testSettings()
	s.Rollout.ForwardOnly, s.Rollout.BudgetPerClass = true, true
	g := newReadyHarness(t, s, testServer(1), testServer(2))
	sizes := func() [8]int {
		return [8]int{len(g.router.peerReports), len(g.router.budgets), len(g.router.rejectedBuilds), len(g.router.keyBuilds), len(g.router.servers), len(g.router.requests),
			len(g.router.latestReports), len(g.pendingTimers)}
	}
	var early [8]int
	for b := BuildID(2); b < 60; b++ {
		g.setRelease(b, 2, OnTrial, 1)
		fresh := testServer(2, withBuild(b), startedAt(g.now))
		g.feed(ServersListed{Servers: []Server{fresh}})
		for key := range 20 {
			id := fmt.Sprint(b, "/", key)
			for _, x := range g.feed(RequestArrived{ID: RequestID(id), Class: "read", Tenant: "t", TimeLeft: time.Second,
				Key: uint64(b)*100 + uint64(key), HasKey: true}) {
				g.endAttempt(x, OK)
			}
			g.advance(50 * ms)
		}
		for peer := 1; peer < 3; peer++ {
			for life := range 3 {
				m := Report{Incarnation: uint32(b)*10 + uint32(life), Build: b, Stage: 2}
				g.feed(PeerMessage{From: peer, Data: m.Encode()})
			}
		}
		if b%2 == 0 {
			g.setRelease(b, 2, Withdrawn, 0)
		} else {
			g.setRelease(b, 2, Released, 1)
			g.setServers(testServer(1, withBuild(b)), fresh)
		}
		g.advance(2 * time.Second)
		if b == 9 {
			early = sizes()
		}
	}
	late := sizes()
	if slices.ContainsFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) bool { return late[i] > 2*early[i] }) {
		t.Errorf("after 8 builds %v, after 58 %v (reports, budgets, bad builds, keys, servers, requests, peers, timers)", early, late)
	}
}

// A request that nothing was sent for is given up before half of its time is over, with advice.
func TestUnsentRequestsAreRefusedEarly(t *testing.T) {
	s := testSettings()
	g := newReadyHarness(t, s) // no server
	for _, left := range []time.Duration{600 * ms, 4 * time.Second} {
		id := left.String()
		from := g.now
		g.startRequest(id, "read", left)
		for !g.refused[RequestID(id)] && g.now < from+left {
			g.advance(10 * ms)
		}
		if took := g.now - from; took > left/2 || took > s.Classes[0].LatencyTarget+tickInterval {
			t.Errorf("of %v it took %v", left, took)
		}
	}
}
