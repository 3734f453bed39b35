package logic

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"
)

// Every request gets exactly one final answer: a refusal where the client may safely try again, otherwise a failure.
func TestEveryRequestGetsOneAnswer(t *testing.T) {
	cases := []struct {
		name     string
		class    string
		servers  []Server
		timeLeft time.Duration
		outcome  Outcome // of the first attempt, where one is made
		refused  bool
		within   time.Duration
	}{
		// No tick comes before the client gives up, so the answer must not wait for one.
		{"almost no time and no server", "read", nil, 5 * ms, OK, true, 0},
		{"no server at all", "read", nil, 4 * time.Second, OK, true, time.Second + 100*ms},
		{"all draining", "once", []Server{testServer(1, withState(Draining))}, 4 * time.Second, OK, true, time.Second + 100*ms},
		{"served", "read", []Server{testServer(1)}, 4 * time.Second, OK, false, 0},
		{"unsafe, may have run", "once", []Server{testServer(1), testServer(2)}, 4 * time.Second, ServerError, false, 0},
		{"keyed within a zone, no time left", "zoned", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, false, 0},
		{"keyed everywhere, no time left", "keyed", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, true, 0},
		{"safe, no time left", "read", []Server{testServer(1), testServer(2)}, 50 * ms, TimedOut, true, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := newReadyHarness(t, testSettings(), c.servers...)
			for _, s := range g.startRequest("r", c.class, c.timeLeft) {
				g.endAttempt(s, c.outcome)
			}
			g.advance(c.within)
			if g.finalAnswers["r"] != 1 || g.refused["r"] != c.refused {
				t.Errorf("%d final answers, refused %v; want one final answer, refused %v", g.finalAnswers["r"], g.refused["r"], c.refused)
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

// Before the first release status the router does not know which builds are on trial, so requests wait for it.
func TestNothingIsSentBeforeTheFirstReleaseStatus(t *testing.T) {
	g := newHarness(t, testSettings(), 1)
	g.setServers(testServer(1))
	if got := g.startRequest("r", "read", time.Second); len(got) != 0 {
		t.Fatalf("sent %v before any release status", got)
	}
	g.feed(ReleaseStatus{Build: 1, Phase: Released, Cap: 1})
	if len(g.sends) != 1 {
		t.Fatalf("%d sends after the release status, want 1", len(g.sends))
	}
}

// An attempt that may have run is repeated only as the request's class permits: an unsafe request never, and a keyed
// one only where and while servers deduplicate it.
func TestRepeatsFollowRepeatability(t *testing.T) {
	servers := []Server{testServer(1, withCell(1)), testServer(2, withCell(1)), testServer(3, withZone("b"), withCell(2)),
		testServer(4, withZone("b"), withCell(2))}
	serversByID := map[ServerID]Server{}
	for _, s := range servers {
		serversByID[s.ID] = s
	}
	cases := []struct {
		class     string
		outcome   Outcome
		wait      time.Duration // duration of the attempt
		repeated  bool
		sameScope func(a, b Server) bool
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
		{"keyed", ServerError, 1997 * ms, false, nil}, // the window ends within ClockResolution
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
				if (len(next) > 0) != c.repeated {
					t.Fatalf("seed %d: repeated %v, want %v", seed, len(next) > 0, c.repeated)
				}
				if c.repeated && c.sameScope != nil && !c.sameScope(serversByID[first.Server], serversByID[next[0].Server]) {
					t.Fatalf("seed %d: repeat went from %d to %d", seed, first.Server, next[0].Server)
				}
				if !c.repeated {
					g.advance(5 * time.Second)
					// After the deduplication window, it is not safe to try again, so the request fails instead.
					refusable := c.class == "keyed" && c.wait < 2000*ms
					if g.finalAnswers["r"] != 1 || g.refused["r"] != refusable {
						t.Fatalf("seed %d: %d final answers, refused %v", seed, g.finalAnswers["r"], g.refused["r"])
					}
				}
			}
		})
	}
}

// The repeat of a keyed request carries the end of its deduplication window in SendBy, so that it is not sent later
// when a dial or a stall delays it. After the window it is not repeated. First attempts and safe requests have no
// SendBy.
func TestRepeatsAreSentWithinDedupWindow(t *testing.T) {
	for class, hasWindow := range map[string]bool{"read": false, "zoned": true, "celled": true, "keyed": true} {
		g := newReadyHarness(t, testSettings(), testServer(1), testServer(2), testServer(3))
		first := g.startRequest("r", class, 4*time.Second)[0]
		sentAt := g.now
		if first.SendBy != 0 {
			t.Errorf("%s: the first attempt has SendBy %v, want none", class, first.SendBy)
		}
		g.advance(300 * ms)
		next := g.endAttempt(first, Reset)
		if len(next) != 1 {
			t.Fatalf("%s: %d repeats", class, len(next))
		}
		if want := (sentAt + 2*time.Second) * time.Duration(oneIf(hasWindow)); next[0].SendBy != want {
			t.Errorf("%s: SendBy %v, want %v", class, next[0].SendBy, want)
		}
		g.advance(1750 * ms) // the repeat is delayed until its window has ended
		if later := append(g.endAttempt(next[0], NotSent), g.advance(3*time.Second)...); len(later) > 0 == hasWindow {
			t.Errorf("%s: sent %d times after its deduplication window", class, len(later))
		}
	}
	// A request whose attempts have certainly not run has no window.
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
	first := g.startRequest("r", "keyed", 4*time.Second)[0]
	if next := g.endAttempt(first, ConnectFailed); len(next) != 1 || next[0].SendBy != 0 {
		t.Errorf("after a failed connection: %+v", next)
	}
}

// Servers that drain, are gone or are absent from a complete list get no new attempts.
func TestDrainingAndGoneServersGetNoAttempts(t *testing.T) {
	for _, state := range []ServerState{Draining, Gone} {
		g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
		g.feed(ServersListed{Servers: []Server{testServer(1, withState(state))}})
		for i := range 50 {
			for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
				if s.Server == 1 {
					t.Fatalf("sent to a server in state %v", state)
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

// A restarted router that got a stale list must not send to a server that discovery then reports as gone.
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

// If an attempt's outcome arrives after its server restarted, the attempt must not remain counted as in flight.
func TestInFlightCountSurvivesServerRestart(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1))
	s := g.startRequest("r", "read", 4*time.Second)[0]
	g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
	g.endAttempt(s, OK)
	if n := g.router.servers[1].inFlight; n != 0 || g.router.inFlight != 0 {
		t.Errorf("in flight %d at the server, %d in all; want none", n, g.router.inFlight)
	}
}

// Three routers with equal traffic must together keep a server that has just started below the multiple of its
// capacity at which it fails, in any window.
func TestColdServersAreNotOverloaded(t *testing.T) {
	settings := testSettings()
	const serverCount, rate = 8, 40.0 // rate: requests per second at each router
	var routers []*harness
	for i := range 3 {
		settings.Self = i
		g := newHarness(t, settings, uint64(i))
		var servers []Server
		for id := range serverCount {
			servers = append(servers, testServer(id+1))
		}
		g.setServers(servers...)
		g.setRelease(1, 2, Released, 1)
		routers = append(routers, g)
	}
	var arrivals []time.Duration
	restartedAt := time.Duration(0)
	for step := range 1600 {
		for i, g := range routers {
			if step == 800 {
				restartedAt = g.now
				g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
			}
			for _, s := range g.startRequest(fmt.Sprint("r", i, step), "read", time.Second) {
				if s.Server == 1 && restartedAt > 0 {
					arrivals = append(arrivals, g.now)
				}
				g.endAttempt(s, OK)
			}
			g.advance(time.Duration(float64(time.Second) / rate))
		}
	}
	capacity := 3 * rate / serverCount // a server's capacity is at least what it serves
	for i, from := range arrivals {
		age := float64(from-restartedAt) / float64(settings.WarmUpTime)
		if age >= 1 {
			break
		}
		n := 0
		for _, at := range arrivals[i:] {
			if at <= from+settings.OverloadTime {
				n++
			}
		}
		warmPart := settings.ColdCapacity + (1-settings.ColdCapacity)*age
		if budget := settings.OverloadMultiple*warmPart*capacity*settings.OverloadTime.Seconds() + 3; float64(n) > budget {
			t.Fatalf("%d requests in the window from %v after the start, budget %.1f", n, from-restartedAt, budget)
		}
	}
	if len(arrivals) == 0 {
		t.Fatal("the cold server was never used")
	}
}

// A router limits its sends to a cold server when it decides on them, but a connect may take until its timeout, so
// that many delayed sends may arrive at once. In this test each send arrives at the worst possible time, while all
// other servers are suspect and all routers turn to one that has just started.
func TestDelayedSendsStayWithinColdServerBudget(t *testing.T) {
	const serverCount, rate, routers = 8, 40.0, 20 // rate: requests per second at each router
	const dialTimeout = time.Second
	type interval struct{ from, until time.Duration }
	var sends []interval
	settings := testSettings()
	settings.RouterCount = routers
	servers := make([]Server, serverCount)
	for i := range servers {
		servers[i] = testServer(i + 1)
	}
	var harnesses []*harness
	for i := range routers {
		settings.Self = i
		g := newHarness(t, settings, uint64(i))
		g.setServers(servers...)
		g.setRelease(1, 2, Released, 1)
		harnesses = append(harnesses, g)
	}
	restartedAt := time.Duration(0)
	for step := range 520 {
		for i, g := range harnesses {
			if step == 400 {
				restartedAt = g.now
				g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
				for id, s := range g.router.servers {
					if id != 1 {
						s.suspectUntil = g.now + time.Hour
					}
				}
			}
			for _, s := range g.startRequest(fmt.Sprint("r", i, step), "read", time.Second) {
				if s.Server == 1 && restartedAt > 0 {
					until := g.now + dialTimeout
					if s.SendBy > 0 {
						until = min(until, s.SendBy)
					}
					sends = append(sends, interval{g.now, until})
				}
				g.endAttempt(s, OK)
			}
			g.advance(time.Duration(float64(time.Second) / rate))
		}
	}
	if len(sends) < 50 {
		t.Fatalf("%d sends to the cold server", len(sends))
	}
	capacity := routers * rate / serverCount // a server's capacity is at least what it served
	for at := restartedAt; at < restartedAt+time.Second; at += 10 * ms {
		n, allowed := 0, 0.0
		for _, s := range sends {
			n += int(oneIf(s.until >= at && s.from <= at+settings.OverloadTime))
		}
		for x := at; x < at+settings.OverloadTime; x += 10 * ms {
			warmPart := settings.ColdCapacity + (1-settings.ColdCapacity)*float64(x-restartedAt)/float64(settings.WarmUpTime)
			allowed += settings.OverloadMultiple * capacity * warmPart * (10 * ms).Seconds()
		}
		if budget := allowed + 2*math.Sqrt(allowed) + 2; float64(n) > budget {
			t.Fatalf("%d sends may arrive within %v from %v after the start, budget %.1f", n, settings.OverloadTime, at-restartedAt, budget)
		}
	}
}

// In random traffic, the attempts at the build on trial in any window must not exceed FreeAttempts + cap x requests.
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
		closed   int     // closed stages
		listed   BuildID // build of the new servers
		reported BuildID // build in the release status
	}{
		{"small cap", 0.1, false, 0, 2, 2},
		{"large cap", 0.5, false, 0, 2, 2},
		{"cap 0", 0, false, 0, 2, 2},
		{"cap per class", 0.1, true, 0, 2, 2},
		{"closed stage", 0.1, false, 2, 2, 2},
		{"unannounced build is in the first stage", 0.1, false, 0, 2, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			settings := testSettings()
			settings.Rollout.BudgetPerClass, settings.Rollout.ClosedStages = c.perClass, c.closed
			g := newHarness(t, settings, 5)
			g.setServers(testServer(1), testServer(2), testServer(3, withBuild(c.listed)), testServer(4, withBuild(c.listed)),
				testServer(5, withBuild(c.listed)))
			if c.reported == 2 {
				g.setRelease(2, 0, OnTrial, c.cap)
			} else {
				g.setRelease(1, 2, Released, 1)
			}
			rng := rand.New(rand.NewPCG(1, 2))
			classes := []string{"read", "once"}
			var events []event
			trialAttempts := 0
			for i := range 4000 {
				class := classes[rng.IntN(2)]
				events = append(events, event{g.now, class, false})
				for _, s := range g.startRequest(fmt.Sprint("r", i), class, time.Second) {
					if s.Server >= 3 {
						events = append(events, event{g.now, class, true})
						trialAttempts++
						if c.closed > 0 && class != "read" {
							t.Fatal("a request that is not safe went to a build in a closed stage")
						}
					}
					g.endAttempt(s, OK)
				}
				g.advance(time.Duration(rng.ExpFloat64() * float64(20*ms)))
			}
			if c.cap == 0 && trialAttempts > 0 || c.cap > 0 && trialAttempts == 0 {
				t.Fatalf("%d attempts at the build on trial with cap %v", trialAttempts, c.cap)
			}
			for i, from := range events {
				requests, attempts := map[string]int{}, map[string]int{}
				for _, e := range events[i:] {
					if e.at > from.at+settings.Rollout.ExposureWindow {
						break
					}
					budgetClass := ""
					if c.perClass {
						budgetClass = e.class
					}
					if e.trial {
						attempts[budgetClass]++
					} else {
						requests[budgetClass]++
					}
					if limit := settings.Rollout.FreeAttempts + c.cap*float64(requests[budgetClass]); float64(attempts[budgetClass]) > limit+1e-9 {
						t.Fatalf("window from event %d: %d attempts, limit %.2f", i, attempts[budgetClass], limit)
					}
				}
			}
		})
	}
}

// When the cap falls to 0, the build on trial must get no further attempts, whatever budget was earned before.
func TestLoweredCapAppliesAtOnce(t *testing.T) {
	g := newHarness(t, testSettings(), 5)
	g.setServers(testServer(1), testServer(2, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.5)
	countTrialAttempts := func(n int) (trial int) {
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
	if countTrialAttempts(500) < 50 {
		t.Fatal("the build on trial was hardly tried")
	}
	g.setRelease(2, 1, RollingBack, 0)
	if n := countTrialAttempts(500); n != 0 {
		t.Fatalf("%d attempts at a build that is rolled back with cap 0", n)
	}
}

// With ForwardOnly, a key that the new build has answered must not go back to the old one while the new build is on
// trial.
func TestForwardOnlyKeys(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly = true
	g := newHarness(t, settings, 9)
	g.setServers(testServer(1), testServer(2), testServer(3, withBuild(2)), testServer(4, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.5)
	bound := map[uint64]bool{}
	sendWithKey := func(i int, key uint64) []Send {
		return g.feed(RequestArrived{ID: RequestID(fmt.Sprint("r", i)), Class: "read", Key: key, HasKey: true,
			TimeLeft: time.Second})
	}
	for i := range 3000 {
		key := uint64(i % 300)
		for _, s := range sendWithKey(i, key) {
			if bound[key] && s.Server < 3 {
				t.Fatalf("key %d was answered by the new build and then sent to the old one", key)
			}
			g.endAttempt(s, OK)
			bound[key] = bound[key] || s.Server >= 3
		}
		g.advance(10 * ms)
	}
	if len(bound) == 0 || g.router.classes["read"].pinnedPart == 0 {
		t.Fatal("no key was ever bound")
	}
	// A delayed release status may return from RollingBack to OnTrial: the keys are bound again.
	g.setRelease(2, 1, RollingBack, 0)
	for i := 0; i < len(g.sends); i++ { // end what was queued without budget, and what is sent as a result
		if s := g.sends[i]; g.finalAnswers[s.ID] == 0 {
			g.endAttempt(s, OK)
		}
	}
	for key := range bound {
		if got := sendWithKey(10000+int(key), key); len(got) != 1 || got[0].Server >= 3 {
			t.Fatalf("key %d waits while its build is rolled back: %v", key, got)
		}
		break
	}
	g.setRelease(2, 1, OnTrial, 0.5)
	for i := range 300 {
		for _, s := range sendWithKey(20000+i, uint64(i)) {
			if bound[uint64(i)] && s.Server < 3 {
				t.Fatalf("key %d was forgotten after a delayed release status", i)
			}
			g.endAttempt(s, OK)
		}
		g.advance(10 * ms)
	}
}

// An answer that arrives after its client has gone must still bind the key, since the build has answered it.
func TestAnswerAfterClientLeftBindsKey(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly = true
	g := newHarness(t, settings, 9)
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

// Send.ForwardOnly is set for keys that must not go back to an older build, and for no other requests.
func TestForwardOnlyIsSetOnSends(t *testing.T) {
	for _, forwardOnly := range []bool{true, false} {
		for _, hasKey := range []bool{true, false} {
			settings := testSettings()
			settings.Rollout.ForwardOnly = forwardOnly
			sends := newReadyHarness(t, settings, testServer(1)).feed(RequestArrived{ID: "r", Class: "read", Key: 5,
				HasKey: hasKey, TimeLeft: time.Second})
			if len(sends) != 1 || sends[0].ForwardOnly != (forwardOnly && hasKey) {
				t.Errorf("forward-only %v, key %v: %+v", forwardOnly, hasKey, sends)
			}
		}
	}
}

// A good answer that had begun before the attempt failed binds the key to the build, also for the request's own
// retry. An attempt that failed before its answer began binds nothing.
func TestInterruptedAnswersBindKeys(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly, settings.Rollout.FreeAttempts = true, 1
	for _, begun := range []bool{true, false} {
		for _, outcome := range []Outcome{Reset, TimedOut, Cancelled} {
			g := newHarness(t, settings, 9)
			g.setServers(testServer(1), testServer(2), testServer(3, withBuild(2)), testServer(4, withBuild(2)))
			g.setRelease(2, 1, OnTrial, 0.5)
			var interrupted Send
			for i := 0; interrupted.ID == ""; i++ {
				if i == 1000 {
					t.Fatal("the build on trial was never tried")
				}
				for _, s := range g.feed(RequestArrived{ID: RequestID(fmt.Sprint("r", i)), Class: "read", Key: uint64(i),
					HasKey: true, TimeLeft: 4 * time.Second}) {
					if s.Server >= 3 {
						interrupted = s
						break
					}
					g.endAttempt(s, OK)
				}
				g.advance(10 * ms)
			}
			key := g.router.requests[interrupted.ID].Key
			later := g.feed(AttemptDone{ID: interrupted.ID, Outcome: outcome, Duration: 50 * ms,
				Server: interrupted.Server, Attempt: 0, AnswerBegun: begun})
			later = append(later, g.advance(20*ms)...)
			later = append(later, g.feed(RequestArrived{ID: "next", Class: "read", Key: key, HasKey: true,
				TimeLeft: 4 * time.Second})...)
			for range 50 { // time for everything that is queued
				later = append(later, g.advance(20*ms)...)
			}
			sentToOld := slices.ContainsFunc(later, func(s Send) bool { return s.Server < 3 })
			if bound := g.router.keyBuilds[key] == 2; bound != begun || sentToOld == begun {
				t.Errorf("outcome %v, answer begun %v: key bound %v, sent to the old build %v", outcome, begun, bound, sentToOld)
			}
		}
	}
}

// A queued request that may only go to the build on trial, whose budget is used up, must not block one behind it that
// may go to any build.
func TestQueuedBoundKeysDoNotBlockOthers(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly = true
	g := newHarness(t, settings, 9)
	g.setServers(testServer(1), testServer(3, withBuild(2)))
	g.setRelease(2, 1, OnTrial, 0.01)
	g.router.keyBuilds[5] = 2
	b := g.router.budget(2, g.router.classes["read"])
	for i := range b.freeSlots { // the exposure budget is used up
		b.freeSlots[i] = g.now
	}
	g.router.limit = 0 // all wait
	g.feed(RequestArrived{ID: "bound", Class: "read", Key: 5, HasKey: true, TimeLeft: 4 * time.Second})
	g.now += ms // so that the next request is sorted behind this one
	g.feed(RequestArrived{ID: "free", Class: "read", Key: 6, HasKey: true, TimeLeft: 4 * time.Second})
	if len(g.router.queue) != 2 {
		t.Fatalf("%d requests are queued, want 2", len(g.router.queue))
	}
	g.router.limit = 10
	if sends := g.advance(60 * ms); len(sends) != 1 || sends[0].ID != "free" || sends[0].Server != 1 {
		t.Errorf("sends %v, want one of the request with a free key", sends)
	}
}

// If a stale list contains only base servers that no longer exist, the router must not keep trying them, and must
// serve the requests at the build on trial within its cap.
func TestStaleListFallsBackToBuildOnTrial(t *testing.T) {
	g := newHarness(t, testSettings(), 4)
	g.setServers(testServer(1), testServer(2), testServer(3), testServer(4, withBuild(2)), testServer(5, withBuild(2)))
	g.setRelease(2, 2, OnTrial, 1)
	failed, served := 0, 0
	for i := range 400 {
		for sends := g.startRequest(fmt.Sprint("r", i), "read", 2*time.Second); len(sends) > 0; {
			s := sends[0]
			if s.Server <= 3 {
				failed++
				sends = g.endAttempt(s, ConnectFailed)
			} else {
				served++
				sends = g.endAttempt(s, OK)
			}
		}
		g.advance(20 * ms)
	}
	if failed > 60 || served < 360 {
		t.Errorf("%d attempts at servers that no longer exist, %d of 400 requests served", failed, served)
	}
}

// An attempt is cancelled when its client has gone, since nobody waits for the answer. If the host does not support
// Cancel, the attempt continues.
func TestAttemptIsCancelledWhenClientLeaves(t *testing.T) {
	for _, canCancel := range []bool{true, false} {
		settings := testSettings()
		settings.CanCancel = canCancel
		g := newReadyHarness(t, settings, testServer(1))
		sent := g.startRequest("a", "read", time.Second)
		if len(sent) != 1 {
			t.Fatalf("sent %v", sent)
		}
		g.actionLog = nil
		g.feed(ClientGone{ID: "a"})
		want := fmt.Sprintf("%v %T%+v", g.now, Cancel{}, Cancel{ID: "a"})
		if got := slices.Contains(g.actionLog, want); got != canCancel {
			t.Errorf("host can cancel: %v; actions %v, want %s", canCancel, g.actionLog, want)
		}
		g.endAttempt(sent[0], Cancelled)
		if len(g.router.requests) > 0 || g.router.inFlight != 0 || g.router.servers[1].inFlight != 0 {
			t.Error("the request is still kept after its attempt has ended")
		}
	}
}

// A router's state must not grow with the number of builds, of restarts of servers and peers, and of keys it has
// seen.
func TestStateDoesNotGrowWithBuilds(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly, settings.Rollout.BudgetPerClass = true, true
	g := newReadyHarness(t, settings, testServer(1), testServer(2))
	sizes := func() [8]int {
		return [8]int{len(g.router.peerReports), len(g.router.budgets), len(g.router.rejectedBuilds),
			len(g.router.keyBuilds), len(g.router.servers), len(g.router.requests), len(g.router.latestReports),
			len(g.pendingTimers)}
	}
	var early [8]int
	for build := BuildID(2); build < 60; build++ {
		g.setRelease(build, 2, OnTrial, 1)
		newServer := testServer(2, withBuild(build), startedAt(g.now))
		g.feed(ServersListed{Servers: []Server{newServer}})
		for key := range 20 {
			id := fmt.Sprint(build, "/", key)
			for _, send := range g.feed(RequestArrived{ID: RequestID(id), Class: "read", Tenant: "t", TimeLeft: time.Second,
				Key: uint64(build)*100 + uint64(key), HasKey: true}) {
				g.endAttempt(send, OK)
			}
			g.advance(50 * ms)
		}
		for peer := 1; peer < 3; peer++ {
			for incarnation := range 3 {
				m := Report{Incarnation: uint32(build)*10 + uint32(incarnation), Build: build, Stage: 2}
				g.feed(PeerMessage{From: peer, Data: m.Encode()})
			}
		}
		if build%2 == 0 {
			g.setRelease(build, 2, Withdrawn, 0)
		} else {
			g.setRelease(build, 2, Released, 1)
			g.setServers(testServer(1, withBuild(build)), newServer)
		}
		g.advance(2 * time.Second)
		if build == 9 {
			early = sizes()
		}
	}
	late := sizes()
	if slices.ContainsFunc([]int{0, 1, 2, 3, 4, 5, 6, 7}, func(i int) bool { return late[i] > 2*early[i] }) {
		t.Errorf("after 8 builds %v, after 58 %v (reports, budgets, rejected builds, keys, servers, requests, peers, timers)",
			early, late)
	}
}

// A request for which no attempt could be sent is refused within half of its time and about its latency target, so
// that the client has time to try again.
func TestUnsentRequestsAreRefusedEarly(t *testing.T) {
	settings := testSettings()
	g := newReadyHarness(t, settings) // no server
	for _, timeLeft := range []time.Duration{600 * ms, 4 * time.Second} {
		id := timeLeft.String()
		start := g.now
		g.startRequest(id, "read", timeLeft)
		for !g.refused[RequestID(id)] && g.now < start+timeLeft {
			g.advance(10 * ms)
		}
		if waited := g.now - start; waited > timeLeft/2 || waited > settings.Classes[0].LatencyTarget+tickInterval {
			t.Errorf("of %v, it took %v until the refusal", timeLeft, waited)
		}
	}
}

// The memory for keys is bounded, however many different keys clients send: in a quiet time nothing is kept, and during a
// trial no more than maxTrackedKeys entries. It guards against memory that grows with the names that clients choose.
func TestStateDoesNotGrowWithKeys(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly, settings.Rollout.ClosedStages = true, 1
	const keys = 150_000
	for _, c := range []struct {
		name  string
		phase Phase
		stage int
		cap   float64
		limit int
	}{
		{"quiet", Released, 2, 1, 0},
		{"closed stage", OnTrial, 0, 0.1, maxTrackedKeys},
		{"open stage", OnTrial, 1, 1, maxTrackedKeys},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := New(settings, 7)
			now := startTime
			servers := []Server{testServer(1), testServer(2)}
			build := BuildID(1)
			if c.phase == OnTrial {
				build, servers = 2, append(servers, testServer(3, withBuild(2)))
			}
			r.Handle(now, ServersListed{Full: true, Servers: servers})
			r.Handle(now, ReleaseStatus{Build: build, Stage: c.stage, Phase: c.phase, Cap: c.cap})
			for key := range keys {
				now += 100 * time.Microsecond
				id := RequestID(strconv.Itoa(key))
				for _, a := range r.Handle(now, RequestArrived{ID: id, Class: "read", Key: uint64(key) + 1, HasKey: true, TimeLeft: time.Second}) {
					if send, ok := a.(Send); ok && send.ID == id {
						r.Handle(now, AttemptDone{ID: id, Outcome: OK, Duration: time.Millisecond, Server: send.Server, RequestEnded: true})
						break
					}
				}
			}
			if uses, builds := len(r.keyUses), len(r.keyBuilds); uses > c.limit || builds > c.limit {
				t.Errorf("after %d keys, uses of %d and builds of %d are kept, want at most %d", keys, uses, builds, c.limit)
			}
		})
	}
}

// Once only servers of the released build are listed, no key goes to a server of an earlier build that is listed again,
// whether or not the key was seen before, until the build is rolled back.
func TestReleasedBuildBindsAllKeys(t *testing.T) {
	settings := testSettings()
	settings.Rollout.ForwardOnly = true
	for _, rolledBack := range []bool{false, true} {
		g := newHarness(t, settings, 7)
		g.setServers(testServer(3, withBuild(2)))
		g.setRelease(2, 2, Released, 1)
		g.endAttempt(g.feed(RequestArrived{ID: "first", Class: "read", Key: 5, HasKey: true, TimeLeft: time.Second})[0], OK)
		g.setServers(testServer(1), testServer(3, withBuild(2), withState(Draining)))
		if rolledBack {
			g.setRelease(2, 2, RollingBack, 0)
		}
		for key := range uint64(10) {
			g.feed(RequestArrived{ID: RequestID(fmt.Sprint("next", key)), Class: "read", Key: key, HasKey: true, TimeLeft: time.Second})
		}
		g.advance(500 * ms)
		toOld := slices.ContainsFunc(g.sends, func(s Send) bool { return s.Server == 1 })
		if toOld != rolledBack {
			t.Errorf("rolled back %v: sent to a server of the earlier build %v", rolledBack, toOld)
		}
	}
}
