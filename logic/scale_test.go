package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

// If all routers sent messages to all others, the traffic would grow with the square of their number. So an idle
// router among many sends its counts to the voters only, and rarely; a busy router among few also sends in-flight
// reports to all.
func TestMessagesAreBoundedByRequests(t *testing.T) {
	for _, c := range []struct {
		name                     string
		routers                  int
		requestInterval          time.Duration
		sendsToAll               bool
		maxMessages, minMessages int // in 10 s
	}{
		{"small and busy", 3, 50 * ms, true, 2*41 + 101, 2*20 + 50},
		{"large and idle", 700, 2 * time.Second, false, 3 * 10, 3 * 4},
		{"large and busy", 700, 50 * ms, false, 3 * 41, 3 * 10},
	} {
		settings := testSettings()
		settings.RouterCount = c.routers
		for voters := New(settings, 1).votersOf(2); slices.Contains(voters[:min(2, c.routers-1)], settings.Self); {
			settings.Self++
		}
		g := newReadyHarness(t, settings, testServer(1), testServer(2))
		for i := 3; i < 5; i++ {
			g.feed(ServersListed{Servers: []Server{testServer(i, withBuild(2))}})
		}
		g.setRelease(2, 0, OnTrial, 0.1)
		g.advance(5 * time.Second)
		g.posts = nil
		for at := time.Duration(0); at < 10*time.Second; at += c.requestInterval {
			for _, send := range g.startRequest(fmt.Sprint(at), "read", time.Second) {
				g.endAttempt(send, OK)
			}
			g.advance(c.requestInterval)
		}
		if n := len(g.posts); n > c.maxMessages || n < c.minMessages {
			t.Errorf("%s: %d messages in 10 s, want %d to %d", c.name, n, c.minMessages, c.maxMessages)
		}
		for _, post := range g.posts { // reports go to voters, in-flight reports to all
			if post.Peer < 0 && !c.sendsToAll || post.Peer < 0 != (post.Data[0] == inFlightVersion) {
				t.Fatalf("%s: a message of version %d to %d", c.name, post.Data[0], post.Peer)
			}
		}
	}
}

// The attempts that a peer has reported as in flight must expire when the peer sends nothing more.
func TestInFlightReportsOfSilentPeersExpire(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
	g.feed(PeerMessage{From: 1, Data: InFlightReport{{Server: 1, InFlight: 9}}.Encode()})
	if n := g.router.servers[1].peerInFlight; n != 9 {
		t.Fatalf("%d attempts of the peer in flight, want 9", n)
	}
	g.feed(PeerMessage{From: 1, Data: InFlightReport{{Server: 1, InFlight: 4}, {Server: 2, InFlight: 1}}.Encode()})
	if a, b := g.router.servers[1].peerInFlight, g.router.servers[2].peerInFlight; a != 4 || b != 1 {
		t.Fatalf("after a newer report, %d and %d attempts, want 4 and 1", a, b)
	}
	g.advance(8*reportInterval + 2*inFlightTTL)
	if a, b := g.router.servers[1].peerInFlight, g.router.servers[2].peerInFlight; a != 0 || b != 0 {
		t.Errorf("after the report expired, %d and %d attempts, want none", a, b)
	}
}

// Requests that fail at any server must not make healthy servers suspect whenever two of them come in a row, and
// their repeats must not look like a burst of demand.
func TestFaultyRequestsMakeNoServerSuspect(t *testing.T) {
	settings := testSettings()
	settings.MaxAttempts = 1
	g := newReadyHarness(t, settings, testServer(1), testServer(2), testServer(3), testServer(4))
	unhealthySum, rounds := 0, 2000
	for i := range rounds {
		for _, s := range g.startRequest(fmt.Sprint("r", i), "read", 2*time.Second) {
			if (i*7919)%10 < 3 { // three in ten requests fail, whatever the server
				g.endAttempt(s, ServerError)
			} else {
				g.endAttempt(s, OK)
			}
		}
		g.advance(20 * ms)
		unhealthySum += 4 - g.router.healthyCount(g.router.base)
	}
	if mean := float64(unhealthySum) / float64(rounds); mean > 0.4 {
		t.Errorf("on average %.2f of 4 healthy servers avoided", mean)
	}
	if g.router.demand > 40 { // 50 arrive a second, 15 of them fail
		t.Errorf("demand of %.1f requests per second includes the failing ones", g.router.demand)
	}
}

// A router that stood still sees answers late that were in time. It must not cut its concurrency limit, make servers
// suspect or count missed targets because of them.
func TestStalledRouterIgnoresLateAnswers(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2))
	g.advance(time.Second)
	var sends []Send
	for i := range 10 {
		sends = append(sends, g.startRequest(fmt.Sprint("r", i), "read", 3*time.Second)...)
	}
	limit, counts := g.router.limit, g.router.stageCounts
	g.now += 1100 * ms // no tick in this time
	for _, s := range sends {
		g.feed(AttemptDone{ID: s.ID, Outcome: OK, Duration: 1100 * ms, Server: s.Server, RequestEnded: true})
	}
	g.advance(100 * ms)
	if g.router.limit < limit || g.router.stageCounts != counts {
		t.Errorf("limit %v, counts %v after a stall; want %v and %v", g.router.limit, g.router.stageCounts, limit, counts)
	}
	for i := range 10 { // after the stall, late answers count
		for _, s := range g.startRequest(fmt.Sprint("s", i), "read", 3*time.Second) {
			g.feed(AttemptDone{ID: s.ID, Outcome: OK, Duration: 1100 * ms, Server: s.Server, RequestEnded: true})
		}
	}
	if g.advance(100 * ms); g.router.limit >= limit {
		t.Errorf("limit %v was not cut by late answers, was %v before", g.router.limit, limit)
	}
}

// Many routers, each of which may send a first request to a server that has just started, must not overload it
// together.
func TestManyRoutersDoNotOverloadColdServer(t *testing.T) {
	settings := testSettings()
	settings.RouterCount = 60
	const serverCount, perRouter = 40, 5.0 // perRouter: requests per second at each router
	restartedAt, arrivals := time.Duration(0), []time.Duration{}
	var routers []*harness
	for i := range settings.RouterCount {
		settings.Self = i
		g := newHarness(t, settings, uint64(i))
		for id := range serverCount {
			g.feed(ServersListed{Servers: []Server{testServer(id + 1)}})
		}
		g.setRelease(1, 2, Released, 1)
		routers = append(routers, g)
	}
	for step := range 75 {
		for i, g := range routers {
			if step == 50 {
				restartedAt = g.now
				g.feed(ServersListed{Servers: []Server{testServer(1, startedAt(g.now))}})
			}
			for _, s := range g.startRequest(fmt.Sprint("r", step), "read", time.Second) {
				if s.Server == 1 && restartedAt > 0 {
					arrivals = append(arrivals, g.now-restartedAt+time.Duration(i)) // all routers have the same time
				}
				g.endAttempt(s, OK)
			}
			g.advance(time.Duration(float64(time.Second) / perRouter))
		}
	}
	capacity := float64(settings.RouterCount) * perRouter / serverCount
	earlyArrivals := 0
	for _, at := range arrivals {
		earlyArrivals += int(oneIf(at < settings.OverloadTime))
	}
	if budget := settings.OverloadMultiple * settings.ColdCapacity * capacity * settings.OverloadTime.Seconds() * 1.5; float64(earlyArrivals) > budget {
		t.Errorf("%d requests in the first %v, budget %.1f", earlyArrivals, settings.OverloadTime, budget)
	}
	if len(arrivals) == 0 {
		t.Error("the cold server was never used")
	}
}

// An idle router sees nothing in flight at any server. It must spread requests by capacity; otherwise all idle
// routers would prefer the largest or warmest servers.
func TestIdleRoutersSpreadByCapacity(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1), testServer(2), testServer(3, func(s *Server) { s.Weight = 2 }))
	requests := map[ServerID]float64{}
	for i := range 4000 {
		for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
			requests[s.Server]++
			g.endAttempt(s, OK)
		}
	}
	if got := requests[3] / 4000; got < 0.45 || got > 0.55 {
		t.Errorf("the server of twice the weight got %.2f of the requests, want about 0.5", got)
	}
}

// Networks may drop idle connections silently, so that requests sent on them get no answer. If many attempts are lost
// on idle connections only, the router closes these before a send; if attempts are lost on all connections or on
// none, it does not.
func TestLossyIdleConnectionsAreClosedBeforeSends(t *testing.T) {
	for _, c := range []struct {
		name       string
		idle, busy Outcome // on idle and on other connections
		wantClosed bool
	}{
		{"idle connections dropped", TimedOut, OK, true},
		{"idle connections reset", Reset, OK, true},
		{"all lost", TimedOut, TimedOut, false},
		{"none lost", OK, OK, false},
	} {
		settings := testSettings()
		settings.MaxAttempts = 1
		g := newReadyHarness(t, settings, testServer(1), testServer(2))
		for i := range 80 {
			for _, s := range g.startRequest(fmt.Sprint("a", i), "read", 3*time.Second) {
				outcome := c.busy
				if g.router.requests[s.ID].onIdleConn {
					outcome = c.idle
				}
				g.advance(20 * ms)
				g.endAttempt(s, outcome)
			}
			if i%2 == 0 { // after every second request, all connections become idle
				g.advance(2 * time.Second)
			}
		}
		closed := 0
		for _, l := range g.actionLog {
			closed += int(oneIf(strings.Contains(l, "logic.Close")))
		}
		if closed > 0 != c.wantClosed {
			t.Errorf("%s: %d connections closed", c.name, closed)
		}
	}
}

// A silently lost attempt would show only when the client gives up, so it counts as lost once it exceeds its latency
// target. It must not count again when it ends.
func TestOverdueAttemptsCountAsLostOnce(t *testing.T) {
	g := newReadyHarness(t, testSettings(), testServer(1))
	g.endAttempt(g.startRequest("a", "read", 4*time.Second)[0], OK)
	g.advance(2 * time.Second)
	send := g.startRequest("b", "read", 4*time.Second)[0]
	g.advance(1100 * ms) // the latency target is 1 s
	lostPart := g.router.lostParts[1]
	if lostPart < attemptSmoothing/2 {
		t.Fatalf("part lost on idle connections %.3f after the target, want about %.2f", lostPart, attemptSmoothing)
	}
	if g.endAttempt(send, OK); g.router.lostParts[1] != lostPart {
		t.Errorf("a late answer was counted again: %.3f, was %.3f", g.router.lostParts[1], lostPart)
	}
}

// An idle router that used all servers of a large fleet would open a new connection for nearly each request. Without
// in-flight counts from peers, it uses a subset, and different routers use different ones; with these counts, or with
// much traffic, it uses all servers.
func TestRoutersWithoutPeerCountsUseSubset(t *testing.T) {
	servers := []Server{}
	for i := range 40 {
		servers = append(servers, testServer(i+1))
	}
	routersByServer := map[ServerID]int{}
	for self := range 60 {
		settings := testSettings()
		settings.RouterCount, settings.Self = 700, self
		g := newHarness(t, settings, uint64(self))
		g.setRelease(1, 2, Released, 1)
		g.advance(time.Second)
		g.setServers(servers...)
		subset := map[ServerID]bool{}
		for i := range 40 {
			for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
				subset[s.Server] = true
				g.endAttempt(s, OK)
			}
			g.advance(500 * ms)
		}
		if len(subset) > minSubsetSize {
			t.Fatalf("router %d used %d servers, want %d at most", self, len(subset), minSubsetSize)
		}
		for id := range subset {
			routersByServer[id]++
		}
	}
	if len(routersByServer) < 38 {
		t.Errorf("60 routers together used %d of 40 servers", len(routersByServer))
	}
	g := newReadyHarness(t, testSettings(), servers...)
	if g.router.requestRate = 100; len(g.router.subsetOf(g.router.base.all)) != 40 {
		t.Error("a busy router with in-flight counts from peers does not use all servers")
	}
}

// Requests that fail at any server must not look like a build's errors. If the retry at another server fails too, the
// first error does not count; if it is served there, the first error counts against the first server's build.
func TestRetrySeparatesRequestAndServerErrors(t *testing.T) {
	for _, c := range []struct {
		name      string
		class     string
		faultPart float64 // part of errors that recurred at another server
		retry     Outcome
		want      Arm
	}{
		{"served elsewhere", "read", 0, OK, Arm{Attempts: 1, Missed: 1, Errors: 1}},
		{"fails elsewhere", "read", 0, ServerError, Arm{}},
		{"rejected elsewhere", "read", 0, Rejected, Arm{}},
		{"no retry allowed", "once", 0, OK, Arm{Attempts: 1, Missed: 1, Errors: 1}},
		{"no retry, most errors are the requests' fault", "once", 0.9, OK, Arm{}},
	} {
		settings := testSettings()
		settings.MaxAttempts = 2
		g := newHarness(t, settings, 3)
		g.setServers(testServer(1), testServer(2))
		g.setRelease(2, 0, OnTrial, 0.1)
		g.router.requestFaultPart = c.faultPart
		for _, s := range g.endAttempt(g.startRequest("r", c.class, 4*time.Second)[0], ServerError) {
			g.endAttempt(s, c.retry)
		}
		g.advance(5 * time.Second)
		if got := g.router.stageCounts.Old; got != c.want {
			t.Errorf("%s: counted %+v, want %+v", c.name, got, c.want)
		}
	}
}

// Just after a release, the other servers run the same build, so the error of a retry does not show that the request
// is at fault: the first error counts. Later, requests that fail at any server are at fault themselves again.
func TestErrorsCountJustAfterRelease(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  uint32
	}{{time.Second, 1}, {fleetSlowdownTime + time.Second, 0}} {
		g := newHarness(t, testSettings(), 3)
		g.setServers(testServer(1, withBuild(2)), testServer(2, withBuild(2)))
		g.setRelease(2, 2, OnTrial, 1)
		g.setRelease(2, 2, Released, 1)
		g.advance(c.after)
		for _, s := range g.endAttempt(g.startRequest("r", "read", 4*time.Second)[0], ServerError) {
			g.endAttempt(s, ServerError)
		}
		if got := g.router.buildCounts.New.Errors; got != c.want {
			t.Errorf("%v after the release: %d errors counted, want %d", c.after, got, c.want)
		}
	}
}

// Slow handshakes must not make the new build look bad, to whose servers all connections are new. If new connections
// to the old build's servers are slow too, only answers on open connections count.
func TestSlowHandshakesAreNoEvidence(t *testing.T) {
	for _, c := range []struct {
		name      string
		handshake time.Duration // additional latency on a new connection to an old server
		want      uint32
	}{{"slow everywhere", 600 * ms, 0}, {"fast", 0, 1}} {
		g := newHarness(t, testSettings(), 5)
		g.setServers(testServer(1), testServer(2), testServer(3, withBuild(2)))
		g.setRelease(2, 1, OnTrial, 1)
		succeed := func(s Send, duration time.Duration) {
			g.feed(AttemptDone{ID: s.ID, Outcome: OK, Duration: duration, Server: s.Server, RequestEnded: true})
		}
		for i := range 60 {
			for _, s := range g.startRequest(fmt.Sprint("r", i), "read", 3*time.Second) {
				if g.router.servers[s.Server].Build == 2 {
					continue // the attempt stays in flight
				}
				succeed(s, 50*ms+c.handshake*time.Duration(oneIf(g.router.requests[s.ID].opensConn)))
			}
			if g.advance(20 * ms); i%4 == 0 {
				g.advance(16 * time.Second)
			}
		}
		first := slices.IndexFunc(g.sends, func(s Send) bool { return s.Server == 3 })
		if first < 0 {
			t.Fatalf("%s: nothing was sent to the new build", c.name)
		}
		before := g.router.stageCounts.New.Attempts
		succeed(g.sends[first], 700*ms)
		if got := g.router.stageCounts.New.Attempts - before; got != c.want {
			t.Errorf("%s: the first answer of the new server counted %d times, want %d", c.name, got, c.want)
		}
	}
}

// During a rollback, the first servers of the old build are cold and few. Without a limit, all routers would send
// their traffic to them at once.
func TestFewColdServersGetLimitedTraffic(t *testing.T) {
	settings := testSettings()
	settings.Rollout.RollingUpdate, settings.ColdCapacity = true, 0.3
	servers := []Server{}
	for i := range 20 {
		servers = append(servers, testServer(i+1, withBuild(2)))
	}
	g := newHarness(t, settings, 5)
	g.setServers(servers...)
	g.setRelease(2, 2, Released, 1)
	for i := range 200 {
		for _, s := range g.startRequest(fmt.Sprint("r", i), "read", time.Second) {
			g.endAttempt(s, OK)
		}
		g.advance(20 * ms)
	}
	g.setRelease(2, 2, RollingBack, 0)
	g.feed(ServersListed{Servers: []Server{testServer(30, startedAt(g.now))}}) // the first server of build 1
	sent := 0
	for i := range 50 { // one second with as many requests as all 20 servers got
		for _, s := range g.startRequest(fmt.Sprint("b", i), "read", time.Second) {
			sent++
			g.endAttempt(s, OK)
		}
		sent += len(g.advance(20 * ms))
	}
	if sent > 4 { // 50/20 x 0.3 x 2 x 0.6, and the first request
		t.Errorf("%d requests in one second to the only cold server, want 4 at most", sent)
	}
	for i := 0; sent == 0; i++ {
		if sent = len(g.startRequest(fmt.Sprint("c", i), "read", time.Second)) + len(g.advance(20*ms)); i > 500 {
			t.Fatal("the cold server is never used")
		}
	}
}

// Without in-flight counts from peers, the new build's servers get no larger share than the old ones', and a smaller
// one if many answers are late.
func TestTrialChanceWithoutPeerCounts(t *testing.T) {
	settings := testSettings()
	g := newHarness(t, settings, 5)
	g.setServers(testServer(1), testServer(2), testServer(3), testServer(4, withBuild(2)))
	g.setRelease(2, 2, OnTrial, 1)
	read := g.router.classes["read"]
	if got := g.router.trialChance(read); got < 0.33 || got > 0.34 {
		t.Errorf("trial chance with in-flight counts %.2f, want one of three servers", got)
	}
	if g.router.inFlightUnshared = true; g.router.trialChance(read) != 0.25 {
		t.Errorf("trial chance without in-flight counts %.2f, want one of four servers", g.router.trialChance(read))
	}
	if g.router.latePart = 0.25; g.router.trialChance(read) != 0.125 {
		t.Errorf("trial chance with a quarter of the answers late %.3f, want half of that", g.router.trialChance(read))
	}
}

// A fleet that was slow already in the first stage, when the new build had hardly any traffic, was not slowed by the
// build.
func TestFleetSlowInFirstStageIsNotAttributedToBuild(t *testing.T) {
	for _, earlySlow := range []uint32{25, 75} { // slow ones of 100 answers of the old build in the first stage
		g := newVoter(t)
		g.router.classes["read"].slowThreshold, g.router.classes["read"].baselineAnswers = 0.1, 64
		g.router.usualDemand, g.router.demand = 10, 10
		g.router.release.Stage, g.router.release.Cap = 0, 0.05
		if g.router.fleetSlowed(Counts{Old: Arm{Attempts: 100, Measured: 100, Slow: earlySlow, Missed: 20}}) {
			t.Fatal("rejected while the build had hardly any traffic")
		}
		g.router.release.Stage, g.router.release.Cap = 2, 1
		slowArm := Arm{Attempts: 200, Measured: 200, Slow: 150, Missed: 60}
		if got, want := g.router.fleetSlowed(Counts{Old: slowArm, New: slowArm}), earlySlow < 30; got != want {
			t.Errorf("%d of 100 slow in the first stage: %v, want %v", earlySlow, got, want)
		}
	}
}

// A router without in-flight counts from peers opens connections for nearly all requests to the new build's servers,
// so it must not compare latency on new connections: connecting would count as slowness of the build.
func TestAnswersOnNewConnectionsAreNotMeasured(t *testing.T) {
	g := newHarness(t, testSettings(), 5)
	g.setServers(testServer(1))
	g.setRelease(2, 1, OnTrial, 1)
	g.router.classes["read"].slowThreshold, g.router.inFlightUnshared = 0.01, true // all answers are slower than the threshold
	for i, want := range []Arm{{Attempts: 1}, {Attempts: 2, Measured: 1, Slow: 1}} {
		g.endAttempt(g.startRequest(fmt.Sprint("r", i), "read", time.Second)[0], OK)
		if got := g.router.stageCounts.Old; got != want {
			t.Errorf("after answer %d: %+v, want %+v", i, got, want)
		}
	}
}

// A host that is full refuses further requests whatever their worth. So the router sheds its queued requests of the
// least worth before that.
func TestLeastWorthIsShedWhenHostIsFull(t *testing.T) {
	settings := testSettings()
	settings.MaxOpenRequests = 12
	g := newReadyHarness(t, settings, testServer(1), testServer(2))
	inFlight := 0
	for i := range 30 { // the concurrency limit keeps most of them queued
		inFlight += len(g.startRequest(fmt.Sprintf("read-%d", i), "read", 4*time.Second))
		inFlight += len(g.startRequest(fmt.Sprintf("once-%d", i), "once", 4*time.Second))
	}
	g.advance(2 * tickInterval)
	held := 60 - len(g.finalAnswers)
	if held > settings.MaxOpenRequests || held < inFlight {
		t.Errorf("%d requests held, %d of them in flight, with room for %d", held, inFlight, settings.MaxOpenRequests)
	}
	reads, others := 0, 0
	for id := range g.refused {
		if strings.HasPrefix(string(id), "read") {
			reads++
		} else {
			others++
		}
	}
	if len(g.finalAnswers) != len(g.refused) || reads <= others {
		t.Errorf("of %d ended requests, %d were refused: %d reads, %d of higher worth", len(g.finalAnswers), len(g.refused), reads, others)
	}
	settings.MaxOpenRequests = 0 // any number
	g = newReadyHarness(t, settings, testServer(1), testServer(2))
	for i := range 60 {
		g.startRequest(fmt.Sprint(i), "read", 4*time.Second)
	}
	if g.advance(2 * tickInterval); len(g.finalAnswers) != 0 {
		t.Errorf("%d requests shed without a limit", len(g.finalAnswers))
	}
}

// countingSource is a random source that counts its draws.
type countingSource struct {
	source rand.Source
	draws  int
}

func (d *countingSource) Uint64() uint64 { d.draws++; return d.source.Uint64() }

// If no server may be used, a pass over the queue must not search for a server once per waiting request, which would
// take all the time: one search serves all requests with the same choice of servers.
func TestQueuePassSearchesOncePerKind(t *testing.T) {
	settings := testSettings()
	g := newReadyHarness(t, settings, testServer(1, startedAt(startTime)), testServer(2, startedAt(startTime)))
	source := &countingSource{source: rand.NewPCG(1, 2)}
	g.router.rng = rand.New(source)
	sent := 0
	for i := range 200 {
		sent += len(g.startRequest(fmt.Sprint(i), "read", 4*time.Second))
	}
	if sent > 100 {
		t.Fatalf("%d sent: the cold servers' slow start budget does not limit the sends", sent)
	}
	source.draws = 0
	g.feed(AttemptDone{ID: "none"}) // starts no pass over the queue
	g.feed(ServersListed{})         // starts a pass
	if source.draws > 100 {
		t.Errorf("%d random draws in one pass over %d queued requests", source.draws, 200-sent)
	}
	g.setServers(testServer(1), testServer(2)) // both warm: sends whatever the concurrency limit allows
	if n := g.router.inFlight; float64(n) < g.router.limit-1 && n < 200 {
		t.Errorf("%d of 200 requests in flight, limit %.0f", n, g.router.limit)
	}
}
