package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet holds routers that exchange messages.
type fleet struct {
	routers         []*harness
	messagesBlocked bool // messages between routers are lost
	requestCount    int  // requests that each router has received
}

// newFleet starts a number of routers that know servers of build 1, with IDs from 1. Their settings say that there
// are routerCount routers, of which not all have to be simulated.
func newFleet(t *testing.T, simulatedRouters, routerCount, servers int) *fleet {
	t.Helper()
	f := &fleet{}
	settings := testSettings()
	settings.RouterCount = routerCount
	for i := range simulatedRouters {
		settings.Self = i
		g := newHarness(t, settings, uint64(i)+1)
		for id := range servers {
			g.feed(ServersListed{Servers: []Server{testServer(id + 1)}})
		}
		g.setRelease(1, 2, Released, 1)
		f.routers = append(f.routers, g)
	}
	return f
}

// runSecond simulates one second, in which each router gets a number of requests. The function outcome gives the
// outcome of an attempt at a server. It returns the number of failed attempts per server.
func (f *fleet) runSecond(requests int, outcome func(ServerID) Outcome) map[ServerID]int {
	failed := map[ServerID]int{}
	for range requests {
		f.requestCount++
		for i, g := range f.routers {
			sends := slices.Clone(g.startRequest(fmt.Sprint("r", f.requestCount), "read", 2*time.Second))
			for len(sends) > 0 {
				s := sends[0]
				result := outcome(s.Server)
				if result != OK {
					failed[s.Server]++
				}
				sends = append(slices.Clone(sends[1:]), g.endAttempt(s, result)...)
			}
			g.advance(time.Second / time.Duration(requests))
			for _, post := range g.posts {
				for j, receiver := range f.routers {
					if j != i && !f.messagesBlocked && (post.Peer < 0 || post.Peer == j) {
						receiver.feed(PeerMessage{From: i, Data: post.Data})
					}
				}
			}
			g.posts = nil
		}
	}
	return failed
}

// sumCounts returns the sum of all counts.
func sumCounts(counts map[ServerID]int) (total int) {
	for _, n := range counts {
		total += n
	}
	return total
}

// A router of a large fleet uses any one server only once in several seconds. If routers did not share failures, each
// would need its own failed attempts to find a failing server: with 18 of 150 servers failing most requests for 10 s,
// and 300 routers, one attempt in six failed.
func TestFailuresAreSharedWithPeers(t *testing.T) {
	for _, routerCount := range []int{60, 300} { // among 300, 10 requests per second do not allow in-flight reports
		failedByBlocked := map[bool]int{}
		for _, blocked := range []bool{true, false} {
			f := newFleet(t, 60, routerCount, 30)
			f.runSecond(10, func(ServerID) Outcome { return OK })
			if f.routers[0].router.inFlightUnshared != (routerCount == 300) {
				t.Fatalf("%d routers: in-flight counts unshared %v", routerCount, f.routers[0].router.inFlightUnshared)
			}
			f.messagesBlocked = blocked
			for range 5 {
				failedByBlocked[blocked] += sumCounts(f.runSecond(10, func(s ServerID) Outcome {
					if s <= 3 {
						return ServerError
					}
					return OK
				}))
			}
			f.messagesBlocked = false
			for range 12 { // the servers are healthy again: all routers return to them
				f.runSecond(10, func(ServerID) Outcome { return OK })
			}
			requests := map[ServerID]int{}
			f.runSecond(10, func(s ServerID) Outcome { requests[s]++; return OK })
			for s := ServerID(1); s <= 3; s++ {
				if requests[s] < 5 {
					t.Errorf("%d routers, messages blocked %v: server %d, healthy for 12 s, gets %d of 600 requests",
						routerCount, blocked, s, requests[s])
				}
			}
		}
		if failedByBlocked[false]*2 > failedByBlocked[true] {
			t.Errorf("%d routers: %d attempts failed with shared failures, %d without", routerCount, failedByBlocked[false], failedByBlocked[true])
		}
	}
}

// If all servers of a build fail alike, the build or the requests are at fault. Ejecting some servers would only add
// load to the others.
func TestUniformFailuresEjectFewServers(t *testing.T) {
	f, n := newFleet(t, 60, 60, 30), 0
	f.runSecond(10, func(ServerID) Outcome { return OK })
	for range 4 {
		f.runSecond(10, func(s ServerID) Outcome {
			n++
			if n%4 == 0 {
				return ServerError
			}
			return OK
		})
	}
	ejected := 0
	for _, s := range f.routers[7].router.serverList {
		ejected += int(oneIf(s.ejectedUntil > f.routers[7].now))
	}
	if ejected > 3 {
		t.Errorf("%d of 30 servers that fail alike are ejected", ejected)
	}
}

// If all routers ejected a server for the same time, they would all return to it at once. So ejection times are
// jittered.
func TestEjectionsEndAtDifferentTimes(t *testing.T) {
	f := newFleet(t, 60, 60, 30)
	f.runSecond(10, func(ServerID) Outcome { return OK })
	f.runSecond(10, func(s ServerID) Outcome {
		if s == 1 {
			return ServerError
		}
		return OK
	})
	ends := map[time.Duration]int{}
	for _, g := range f.routers {
		if s := g.router.servers[1]; s.ejectedUntil > g.now {
			ends[(s.ejectedUntil-g.now)/(50*ms)]++
		}
	}
	for span, n := range ends {
		if n > len(f.routers)/3 {
			t.Errorf("%d of %d routers end the ejection within 50 ms from %v", n, len(f.routers), span*50*ms)
		}
	}
	if len(ends) < 5 {
		t.Errorf("ejections end in %d different spans of 50 ms, want 5 or more", len(ends))
	}
}

// If errors come from a few faulty servers (one of eight, say), whatever build they run, the new build may have more
// of them by chance; or all servers run the new build, which can then be compared only with the old build's earlier
// answers. The guard must then not roll it back. The same number of errors, spread evenly over all servers, is caused
// by the build.
func TestGuardAllowsForUnevenServers(t *testing.T) {
	for _, c := range []struct {
		name          string
		hasOldServers bool
		faulty        int // number of the ten servers that answer with errors
		rolledBack    bool
	}{
		{"all errors from one old server", true, 1, false}, {"all old servers fail alike", true, 10, true},
		{"all errors from one new server", false, 1, false}, {"all new servers fail alike", false, 10, true},
	} {
		g := newVoter(t)
		for id := 1; id <= 10; id++ {
			build := BuildID(2)
			if c.hasOldServers {
				build = 1
			}
			g.feed(ServersListed{Servers: []Server{testServer(id, withBuild(build))}})
		}
		for i := range 100 {
			g.router.ejectIfOutlier(g.router.servers[ServerID(1+i%c.faulty)], true)
		}
		got := g.router.errorsIncreased(Counts{Old: Arm{Attempts: 2000, Missed: 100, Errors: 100},
			New: Arm{Attempts: 300, Missed: 30, Errors: 30}})
		if got != c.rolledBack {
			t.Errorf("%s: errors increased %v", c.name, got)
		}
	}
}

// Datagrams may arrive corrupted, late or from routers that no longer exist. They must neither crash a router nor
// change its decisions, and their data must not be kept for good.
func TestCorruptMessagesLeaveNoState(t *testing.T) {
	settings := testSettings()
	settings.RouterCount = 300
	g := newReadyHarness(t, settings, testServer(1), testServer(2))
	g.setRelease(2, 1, OnTrial, 0.4)
	rng := rand.New(rand.NewPCG(1, 2))
	valid := [][]byte{Report{Build: 2, Stage: 1, StageCounts: harmlessCounts, BuildCounts: harmlessCounts}.Encode(),
		InFlightReport{{Server: 1, InFlight: 3}, {Server: 2, Failed: true}}.Encode()}
	for i := range 60_000 {
		data := slices.Clone(valid[i%2])
		switch i % 5 {
		case 0: // an incarnation that never existed
			data = Report{Incarnation: rng.Uint32(), Build: 2, Stage: 1, StageCounts: harmlessCounts, BuildCounts: harmlessCounts}.Encode()
		case 1:
			data[rng.IntN(len(data))] ^= byte(1 + rng.IntN(255))
		case 2:
			data = data[:rng.IntN(len(data))]
		case 3: // of an old build
			data = Report{Incarnation: 7, Build: 1, Stage: 2, StageCounts: failingCounts, BuildCounts: failingCounts}.Encode()
		}
		g.feed(PeerMessage{From: rng.IntN(400) - 50, Data: data})
	}
	r := g.router
	if len(r.peerReports) > 5000 || len(r.latestReports) > settings.RouterCount || len(r.peerInFlight) > settings.RouterCount {
		t.Errorf("kept of 300 peers: reports of %d incarnations, %d latest reports, %d in-flight reports", len(r.peerReports),
			len(r.latestReports), len(r.peerInFlight))
	}
	g.advance(3 * time.Second)
	for id, s := range r.servers {
		if s.peerInFlight != 0 {
			t.Errorf("server %d has %d attempts of peers in flight, last reported 3 s ago", id, s.peerInFlight)
		}
	}
	g.setRelease(3, 0, OnTrial, 0.1)
	for k, m := range r.peerReports {
		if m.Build < 3 {
			t.Fatalf("a report of build %d from %+v is kept", m.Build, k)
		}
	}
	if n := len(g.startRequest("after", "read", time.Second)); n != 1 {
		t.Errorf("%d sends for a request after the messages, want 1", n)
	}
}

// A router's state must not grow with time: 45 minutes of constant traffic among 300 routers, with a new build on
// servers with new IDs every five minutes.
func TestStateDoesNotGrowOverTime(t *testing.T) {
	settings := testSettings()
	settings.RouterCount, settings.Rollout.ForwardOnly = 300, true
	g := newHarness(t, settings, 3)
	stateSize := func() (n int) {
		r := g.router
		return len(r.servers) + len(r.serversByShortID) + len(r.serverList) + len(r.requests) + len(r.queue) +
			len(r.peerReports) + len(r.latestReports) + len(r.peerInFlight) + len(r.budgets) + len(r.rejectedBuilds) +
			len(r.keyUses) + len(r.peerIncarnations)
	}
	sizeAtMinute := map[int]int{}
	for minute := range 45 {
		build := BuildID(minute/5 + 1)
		servers := make([]Server, 20)
		for i := range servers {
			servers[i] = testServer(1000*minute/5+i+1, withBuild(build))
		}
		g.feed(ServersListed{Full: true, Servers: servers})
		g.setRelease(build, 2, Released, 1)
		for second := range 60 {
			for i := range 10 {
				id := fmt.Sprintf("m%ds%di%d", minute, second, i)
				for _, s := range slices.Clone(g.startRequest(id, "read", time.Second)) {
					g.endAttempt(s, OK)
				}
			}
			g.feed(PeerMessage{From: 1 + (60*minute+second)%299, Data: InFlightReport{{Server: 1, InFlight: 1}}.Encode()})
			counts := Counts{Old: Arm{Attempts: uint32(second)}}
			g.feed(PeerMessage{From: 1 + second, Data: Report{Incarnation: uint32(minute), Build: build, Stage: 2, StageCounts: counts,
				BuildCounts: counts}.Encode()})
			g.advance(time.Second)
			g.sends, g.posts, g.actionLog = nil, nil, nil
			clear(g.finalAnswers)
			clear(g.attemptCounts)
		}
		sizeAtMinute[minute] = stateSize()
	}
	if sizeAtMinute[44] > sizeAtMinute[9]+sizeAtMinute[9]/4+300 { // by then, each of 300 peers has sent messages
		t.Errorf("entries kept after 10 and 45 minutes: %d and %d", sizeAtMinute[9], sizeAtMinute[44])
	}
}

// While the platform throttles votes, voters that retried at once would keep it overloaded. So they pause between
// votes.
func TestThrottledVotesAreRetriedSlowly(t *testing.T) {
	g := newVoter(t)
	g.advance(100 * ms)
	g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
	g.receiveReport(g.peerNumber(), 5, 0, harmlessCounts)
	votes := 0
	for range 200 { // 10 s
		g.advance(50 * ms)
		if len(g.votes) > votes {
			votes = len(g.votes)
			g.feed(ReleaseStatus{IsReply: true, Reply: VoteThrottled})
		}
	}
	if votes < 5 || votes > 15 {
		t.Errorf("%d votes in 10 s to a platform that throttles", votes)
	}
	g.advance(time.Second)
	if len(g.votes) == votes {
		t.Fatal("no further vote")
	}
	g.feed(ReleaseStatus{IsReply: true, Reply: VoteCounted, Build: 2, Stage: 0, Phase: OnTrial, Cap: 0.1})
	counted := len(g.votes)
	g.advance(3 * time.Second)
	if len(g.votes) != counted {
		t.Errorf("%d more votes after one was counted", len(g.votes)-counted)
	}
}

// If hundreds of routers opened connections to each of many servers, and again after each release, the servers would
// have more connections than they can hold. Where the settings set a high handshake cost, routers prefer servers to
// which they are connected, and still spread the requests evenly.
func TestCostlyHandshakesAreAvoided(t *testing.T) {
	opened := map[float64]int{}
	for _, cost := range []float64{0, 0.08} {
		f := newFleet(t, 60, 60, 60)
		requests := map[ServerID]int{}
		for _, g := range f.routers {
			g.router.settings.HandshakeCost = cost
		}
		for range 6 {
			f.runSecond(10, func(s ServerID) Outcome { requests[s]++; return OK })
		}
		for _, g := range f.routers {
			for _, s := range g.router.serverList {
				opened[cost] += int(oneIf(s.lastUsedAt > 0))
			}
		}
		for s, n := range requests {
			if n > 60*2 { // 3,600 requests at 60 servers
				t.Errorf("handshake cost %v: server %d gets %d of 3600 requests", cost, s, n)
			}
		}
	}
	if opened[0.08]*5 > opened[0]*4 {
		t.Errorf("%d connections opened with a high handshake cost, %d without", opened[0.08], opened[0])
	}
}

// The failures of a few faulty servers must not look like harm done by their build, so failures at an ejected outlier
// are no evidence. A server that fails again on its first use after an ejection is ejected again at once, for twice
// the time.
func TestOutlierIsNoEvidence(t *testing.T) {
	g := newVoter(t)
	for id := 2; id <= 10; id++ {
		g.feed(ServersListed{Servers: []Server{testServer(id)}})
	}
	failureReport := InFlightReport{{Server: shortID(1), Failed: true}}.Encode()
	for range 5 {
		g.feed(PeerMessage{From: g.peerNumber(), Data: failureReport})
	}
	s := g.router.servers[1]
	if s.isHealthy(g.now) {
		t.Fatal("five failures at one of ten servers do not make it an outlier")
	}
	countTimeout := func(id ServerID) uint32 {
		before := g.router.buildCounts.Old.Attempts
		q := &request{RequestArrived: RequestArrived{ID: "q", Class: "once"}, class: g.router.classes["once"],
			server: g.router.servers[id], sentTo: g.router.servers[id].Server, sentRelease: g.router.release, sentAt: g.now}
		g.router.recordEvidence(q, AttemptDone{Outcome: TimedOut})
		return g.router.buildCounts.Old.Attempts - before
	}
	if n := countTimeout(1); n != 0 {
		t.Errorf("a failure at an outlier counts %d times, want 0", n)
	}
	if n := countTimeout(2); n != 1 {
		t.Errorf("a failure at another server counts %d times, want 1", n)
	}
	firstEjection := s.ejectedFor
	g.advance(s.ejectedUntil - g.now + 100*ms)
	if !s.isHealthy(g.now) {
		t.Fatal("the server is still ejected after its ejection time")
	}
	s.recentFailures = 0 // as after a long pause: one failure would not make it an outlier
	g.feed(PeerMessage{From: g.peerNumber(), Data: failureReport})
	if s.isHealthy(g.now) || s.ejectedFor != 2*firstEjection {
		t.Errorf("after a failure of the half-open server: healthy %v, ejected for %v, first for %v", s.isHealthy(g.now),
			s.ejectedFor, firstEjection)
	}
	g.advance(s.ejectedUntil - g.now + 16*firstAvoidTime + 100*ms)
	g.feed(PeerMessage{From: g.peerNumber(), Data: failureReport})
	if !s.isHealthy(g.now) {
		t.Error("one failure long after the ejection ejects the server")
	}
}

// The old build's faulty servers are already ejected when those of the new build, which have just started, get their
// first requests. The failures of the latter before their ejection would count against the new build only, so they
// are uncounted.
func TestFailuresOfOutliersAreUncounted(t *testing.T) {
	g := newVoter(t)
	for id := 1; id <= 10; id++ {
		g.feed(ServersListed{Servers: []Server{testServer(id)}})
		g.feed(ServersListed{Servers: []Server{testServer(id+10, withBuild(2))}})
	}
	g.setRelease(2, 1, OnTrial, 0.4)
	recordTimeouts := func(id ServerID, n int) {
		for range n {
			s := g.router.servers[id]
			q := &request{RequestArrived: RequestArrived{ID: "q", Class: "once"}, class: g.router.classes["once"], server: s,
				sentTo: s.Server, sentRelease: g.router.release, sentAt: g.now}
			g.router.recordEvidence(q, AttemptDone{Outcome: TimedOut})
		}
	}
	reportFailures := func(id ServerID) {
		data := InFlightReport{{Server: shortID(id), Failed: true}}.Encode()
		for range 5 {
			g.feed(PeerMessage{From: g.peerNumber(), Data: data})
		}
	}
	recordTimeouts(11, 4)
	recordTimeouts(12, 2)
	reportFailures(11)
	if got := g.router.stageCounts.New; got.Attempts != 6 || got.Missed != 6 {
		t.Errorf("%+v: failures were uncounted though only a server of the new build is an outlier, which may be due to the build",
			got)
	}
	reportFailures(1)
	recordTimeouts(13, 3)
	reportFailures(13)
	if got := g.router.stageCounts.New; got.Attempts != 9 || got.Missed != 6 {
		t.Errorf("%+v: three failures of an outlier still count, though a server of the old build is an outlier too", got)
	}
	if got := g.router.buildCounts.New; got.Attempts != 9 || got.Missed != 6 {
		t.Errorf("counts of the build %+v", got)
	}
	g.setRelease(2, 2, OnTrial, 1)
	recordTimeouts(14, 2)
	g.router.uncountFailures(g.router.servers[12]) // its failures belong to an earlier stage
	if got := g.router.stageCounts.New; got.Attempts != 2 || got.Missed != 2 {
		t.Errorf("%+v: failures of an earlier stage were uncounted in this stage", got)
	}
	if got := g.router.buildCounts.New; got.Missed != 6 {
		t.Errorf("counts of the build %+v after failures of an earlier stage were uncounted", got)
	}
}
