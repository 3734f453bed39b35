package logic

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleet is many routers that hear each other's messages, unless the news is cut off.
type fleet struct {
	routers         []*harness
	messagesBlocked bool
	requestCount    int
}

// newFleet starts routers that know servers 1 to n of build 1; peers is how many there are in all, as they are told.
func newFleet(t *testing.T, routers, peers, servers int) *fleet {
	t.Helper()
	f := &fleet{}
	set := testSettings()
	set.RouterCount = peers
	for i := range routers {
		set.Self = i
		g := newHarness(t, set, uint64(i)+1)
		for id := range servers {
			g.feed(ServersListed{Servers: []Server{testServer(id + 1)}})
		}
		g.setRelease(1, 2, Released, 1)
		f.routers = append(f.routers, g)
	}
	return f
}

// second plays a second in which every router takes so many requests; outcome tells how an attempt ends. It returns
// the number of attempts at each server that did not end well.
func (f *fleet) runSecond(requests int, outcome func(ServerID) Outcome) map[ServerID]int {
	failed := map[ServerID]int{}
	for range requests {
		f.requestCount++
		for i, g := range f.routers {
			sends := slices.Clone(g.startRequest(fmt.Sprint("r", f.requestCount), "read", 2*time.Second))
			for len(sends) > 0 {
				s := sends[0]
				o := outcome(s.Server)
				if o != OK {
					failed[s.Server]++
				}
				sends = append(slices.Clone(sends[1:]), g.endAttempt(s, o)...)
			}
			g.advance(time.Second / time.Duration(requests))
			for _, p := range g.posts {
				for j, other := range f.routers {
					if j != i && !f.messagesBlocked && (p.Peer < 0 || p.Peer == j) {
						other.feed(PeerMessage{From: i, Data: p.Data})
					}
				}
			}
			g.posts = nil
		}
	}
	return failed
}

func sum(counts map[ServerID]int) (total int) {
	for _, x := range counts {
		total += x
	}
	return total
}

// Danger: a router of a large fleet meets a server once in some seconds. On join+mass, 18 of 150 hosts failed most
// requests for 10 s and 300 routers each learnt it by themselves: one attempt in six failed.
func TestFailuresAreSharedWithPeers(t *testing.T) {
	for _, peers := range []int{60, 300} { // among 300, a router with 10 requests a second can't tell what is in flight
		seen := map[bool]int{}
		for _, cut := range []bool{true, false} {
			f := newFleet(t, 60, peers, 30)
			f.runSecond(10, func(ServerID) Outcome { return OK })
			if f.routers[0].router.inFlightUnshared != (peers == 300) {
				t.Fatalf("%d peers: alone %v", peers, f.routers[0].router.inFlightUnshared)
			}
			f.messagesBlocked = cut
			for range 5 {
				seen[cut] += sum(f.runSecond(10, func(s ServerID) Outcome {
					if s <= 3 {
						return ServerError
					}
					return OK
				}))
			}
			f.messagesBlocked = false
			for range 12 { // well again: all find back to them
				f.runSecond(10, func(ServerID) Outcome { return OK })
			}
			back := map[ServerID]int{}
			f.runSecond(10, func(s ServerID) Outcome { back[s]++; return OK })
			for s := ServerID(1); s <= 3; s++ {
				if back[s] < 5 {
					t.Errorf("%d peers, cut %v: server %d, well for 12 s, gets %d of 600 requests", peers, cut, s, back[s])
				}
			}
		}
		if seen[false]*2 > seen[true] {
			t.Errorf("%d peers: %d attempts failed with news of failures, %d without", peers, seen[false], seen[true])
		}
	}
}

// Where all servers of a build fail alike, it is the build or the requests: leaving some alone would push the rest.
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
	shunned := 0
	for _, s := range f.routers[7].router.serverList {
		shunned += int(oneIf(s.ejectedUntil > f.routers[7].now))
	}
	if shunned > 3 {
		t.Errorf("%d of 30 servers that fail alike are left alone", shunned)
	}
}

// Danger: routers that leave a server alone for the same time come back to it in the same moment.
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
	for at, n := range ends {
		if n > len(f.routers)/3 {
			t.Errorf("%d of %d routers come back within 50 ms of %v", n, len(f.routers), at*50*ms)
		}
	}
	if len(ends) < 5 {
		t.Errorf("%d moments of coming back", len(ends))
	}
}

// Danger: one of eight hosts fails, whatever it runs, and the new build's few got more of them by chance; or all hosts
// run the new build, and what the old one did before is all there is to compare with. The same errors, were they spread
// over all hosts alike, are the build's.
func TestGuardAllowsForUnevenServers(t *testing.T) {
	for _, c := range []struct {
		name string
		left bool // old servers are left
		sick int  // of ten servers
		back bool
	}{
		{"one old server gives all errors", true, 1, false}, {"all old servers fail alike", true, 10, true},
		{"one new server gives all errors", false, 1, false}, {"all new servers fail alike", false, 10, true},
	} {
		g := newVoter(t)
		for id := 1; id <= 10; id++ {
			b := BuildID(2)
			if c.left {
				b = 1
			}
			g.feed(ServersListed{Servers: []Server{testServer(id, withBuild(b))}})
		}
		for i := range 100 {
			g.router.ejectIfOutlier(g.router.servers[ServerID(1+i%c.sick)], true)
		}
		got := g.router.errorsIncreased(Counts{Old: Arm{Attempts: 2000, Missed: 100, Errors: 100}, New: Arm{Attempts: 300, Missed: 30, Errors: 30}})
		if got != c.back {
			t.Errorf("%s: guard says %v", c.name, got)
		}
	}
}

// Danger: datagrams arrive spoilt, late, or from routers that are no more; none may change what a router does, crash it
// or leave something behind for good.
func TestCorruptMessagesLeaveNoState(t *testing.T) {
	set := testSettings()
	set.RouterCount = 300
	g := newReadyHarness(t, set, testServer(1), testServer(2))
	g.setRelease(2, 1, OnTrial, 0.4)
	rng := rand.New(rand.NewPCG(1, 2))
	good := [][]byte{Report{Build: 2, Stage: 1, StageCounts: harmlessCounts, BuildCounts: harmlessCounts}.Encode(),
		InFlightReport{{Server: 1, InFlight: 3}, {Server: 2, Failed: true}}.Encode()}
	for i := range 60_000 {
		data := slices.Clone(good[i%2])
		switch i % 5 {
		case 0: // a life that never was
			data = Report{Incarnation: rng.Uint32(), Build: 2, Stage: 1, StageCounts: harmlessCounts, BuildCounts: harmlessCounts}.Encode()
		case 1:
			data[rng.IntN(len(data))] ^= byte(1 + rng.IntN(255))
		case 2:
			data = data[:rng.IntN(len(data))]
		case 3: // of a build long gone
			data = Report{Incarnation: 7, Build: 1, Stage: 2, StageCounts: failingCounts, BuildCounts: failingCounts}.Encode()
		}
		g.feed(PeerMessage{From: rng.IntN(400) - 50, Data: data})
	}
	r := g.router
	if len(r.peerReports) > 5000 || len(r.latestReports) > set.RouterCount || len(r.peerInFlight) > set.RouterCount {
		t.Errorf("kept of 300 peers: %d lives, %d reports, %d lists of attempts", len(r.peerReports), len(r.latestReports), len(r.peerInFlight))
	}
	g.advance(3 * time.Second)
	for id, s := range r.servers {
		if s.peerInFlight != 0 {
			t.Errorf("server %d is held busy by %d attempts that nobody told of for 3 s", id, s.peerInFlight)
		}
	}
	g.setRelease(3, 0, OnTrial, 0.1)
	for k, m := range r.peerReports {
		if m.Build < 3 {
			t.Fatalf("a report of build %d from %+v is kept", m.Build, k)
		}
	}
	if n := len(g.startRequest("after", "read", time.Second)); n != 1 {
		t.Errorf("a request after it: %d sends", n)
	}
}

// Forty-five minutes of steady work among 300 routers, with a new build every five and hosts under new ids: nothing that
// is kept grows with time.
func TestStateDoesNotGrowOverTime(t *testing.T) {
	set := testSettings()
	set.RouterCount, set.Rollout.ForwardOnly = 300, true
	g := newHarness(t, set, 3)
	sizes := func() (n int) {
		r := g.router
		return len(r.servers) + len(r.serversByShortID) + len(r.serverList) + len(r.requests) + len(r.queue) + len(r.peerReports) + len(r.latestReports) +
			len(r.peerInFlight) + len(r.budgets) + len(r.rejectedBuilds) + len(r.keyUses) + len(r.peerIncarnations)
	}
	at := map[int]int{}
	for minute := range 45 {
		b := BuildID(minute/5 + 1)
		servers := make([]Server, 20)
		for i := range servers {
			servers[i] = testServer(1000*minute/5+i+1, withBuild(b))
		}
		g.feed(ServersListed{Full: true, Servers: servers})
		g.setRelease(b, 2, Released, 1)
		for second := range 60 {
			for i := range 10 {
				id := fmt.Sprintf("m%ds%di%d", minute, second, i)
				for _, s := range slices.Clone(g.startRequest(id, "read", time.Second)) {
					g.endAttempt(s, OK)
				}
			}
			g.feed(PeerMessage{From: 1 + (60*minute+second)%299, Data: InFlightReport{{Server: 1, InFlight: 1}}.Encode()})
			c := Counts{Old: Arm{Attempts: uint32(second)}}
			g.feed(PeerMessage{From: 1 + second, Data: Report{Incarnation: uint32(minute), Build: b, Stage: 2, StageCounts: c,
				BuildCounts: c}.Encode()})
			g.advance(time.Second)
			g.sends, g.posts, g.actionLog = nil, nil, nil
			clear(g.finalAnswers)
			clear(g.attemptCounts)
		}
		at[minute] = sizes()
	}
	if at[44] > at[9]+at[9]/4+300 { // each of 300 peers has told by then
		t.Errorf("kept after 10 and 45 minutes: %d and %d", at[9], at[44])
	}
}

// Danger: while the platform answers that it is full, three voters that come again at once would keep it so.
func TestThrottledVotesAreRetriedSlowly(t *testing.T) {
	g := newVoter(t)
	g.advance(100 * ms)
	g.feed(ServersListed{Servers: []Server{testServer(2, withBuild(2))}})
	g.receiveReport(g.peerNumber(), 5, 0, harmlessCounts)
	asked := 0
	for range 200 { // 10 s
		g.advance(50 * ms)
		if len(g.votes) > asked {
			asked = len(g.votes)
			g.feed(ReleaseStatus{IsReply: true, Reply: VoteThrottled})
		}
	}
	if asked < 5 || asked > 15 {
		t.Errorf("%d votes in 10 s of a platform that is full", asked)
	}
	g.advance(time.Second)
	if len(g.votes) == asked {
		t.Fatal("no further vote")
	}
	g.feed(ReleaseStatus{IsReply: true, Reply: VoteCounted, Build: 2, Stage: 0, Phase: OnTrial, Cap: 0.1})
	counted := len(g.votes)
	g.advance(3 * time.Second)
	if len(g.votes) != counted {
		t.Errorf("%d more votes while one stands", len(g.votes)-counted)
	}
}

// Danger: hundreds of routers each open connections to each of many hosts, which hold few, and anew after each release;
// where the settings price a handshake highly, a router keeps to those it has, and yet no host gets more than others.
func TestCostlyHandshakesAreAvoided(t *testing.T) {
	opened := map[float64]int{}
	for _, price := range []float64{0, 0.08} {
		f := newFleet(t, 60, 60, 60)
		at := map[ServerID]int{}
		for _, g := range f.routers {
			g.router.settings.HandshakeCost = price
		}
		for range 6 {
			f.runSecond(10, func(s ServerID) Outcome { at[s]++; return OK })
		}
		for _, g := range f.routers {
			for _, s := range g.router.serverList {
				opened[price] += int(oneIf(s.lastUsedAt > 0))
			}
		}
		for s, n := range at {
			if n > 60*2 { // 3,600 requests, 60 servers
				t.Errorf("price %v: server %d gets %d of 3600 requests", price, s, n)
			}
		}
	}
	if opened[0.08]*5 > opened[0]*4 {
		t.Errorf("%d connections opened where they are dear, %d where they cost nothing", opened[0.08], opened[0])
	}
}

// Danger: what a few sick hosts fail passes for harm by the build that they run. A host that all routers know to stand
// out is no evidence, and one that fails again when it is tried again is left alone at once.
func TestOutlierIsNoEvidence(t *testing.T) {
	g := newVoter(t)
	for id := 2; id <= 10; id++ {
		g.feed(ServersListed{Servers: []Server{testServer(id)}})
	}
	tell := InFlightReport{{Server: shortID(1), Failed: true}}.Encode()
	for range 5 {
		g.feed(PeerMessage{From: g.peerNumber(), Data: tell})
	}
	s := g.router.servers[1]
	if s.isHealthy(g.now) {
		t.Fatal("five failures at one of ten servers do not make it stand out")
	}
	fail := func(id ServerID) uint32 {
		was := g.router.buildCounts.Old.Attempts
		q := &request{RequestArrived: RequestArrived{ID: "q", Class: "once"}, class: g.router.classes["once"],
			server: g.router.servers[id], sentTo: g.router.servers[id].Server, sentRelease: g.router.release, sentAt: g.now}
		g.router.recordEvidence(q, AttemptDone{Outcome: TimedOut})
		return g.router.buildCounts.Old.Attempts - was
	}
	if n := fail(1); n != 0 {
		t.Errorf("a failure at a server that stands out counts %d", n)
	}
	if n := fail(2); n != 1 {
		t.Errorf("a failure at another server counts %d", n)
	}
	first := s.ejectedFor
	g.advance(s.ejectedUntil - g.now + 100*ms)
	if !s.isHealthy(g.now) {
		t.Fatal("it is never tried again")
	}
	s.recentFailures = 0 // as after a long pause: one failure would not make it stand out
	g.feed(PeerMessage{From: g.peerNumber(), Data: tell})
	if s.isHealthy(g.now) || s.ejectedFor != 2*first {
		t.Errorf("after a failure on trial: fit %v, left alone for %v, before for %v", s.isHealthy(g.now), s.ejectedFor, first)
	}
	g.advance(s.ejectedUntil - g.now + 16*firstPause + 100*ms)
	g.feed(PeerMessage{From: g.peerNumber(), Data: tell})
	if !s.isHealthy(g.now) {
		t.Error("one failure long after makes it stand out")
	}
}

// Danger: the old build's sick hosts are known and left alone when those of the new build, just started, are met for the
// first time; what they fail until they stand out too would count against the build alone.
func TestFailuresOfOutliersAreUncounted(t *testing.T) {
	g := newVoter(t)
	for id := 1; id <= 10; id++ {
		g.feed(ServersListed{Servers: []Server{testServer(id)}})
		g.feed(ServersListed{Servers: []Server{testServer(id+10, withBuild(2))}})
	}
	g.setRelease(2, 1, OnTrial, 0.4)
	fail := func(id ServerID, n int) {
		for range n {
			s := g.router.servers[id]
			q := &request{RequestArrived: RequestArrived{ID: "q", Class: "once"}, class: g.router.classes["once"], server: s,
				sentTo: s.Server, sentRelease: g.router.release, sentAt: g.now}
			g.router.recordEvidence(q, AttemptDone{Outcome: TimedOut})
		}
	}
	tell := func(id ServerID) {
		data := InFlightReport{{Server: shortID(id), Failed: true}}.Encode()
		for range 5 {
			g.feed(PeerMessage{From: g.peerNumber(), Data: data})
		}
	}
	fail(11, 4)
	fail(12, 2)
	tell(11)
	if got := g.router.stageCounts.New; got.Attempts != 6 || got.Missed != 6 {
		t.Errorf("%+v: a host of the new build stands out alone, which may be the build's doing", got)
	}
	tell(1)
	fail(13, 3)
	tell(13)
	if got := g.router.stageCounts.New; got.Attempts != 9 || got.Missed != 6 {
		t.Errorf("%+v: three failures of a host that stands out, as one of the old build does, stay", got)
	}
	if got := g.router.buildCounts.New; got.Attempts != 9 || got.Missed != 6 {
		t.Errorf("in all %+v", got)
	}
	g.setRelease(2, 2, OnTrial, 1)
	fail(14, 2)
	g.router.uncountFailures(g.router.servers[12]) // failed in an earlier stage
	if got := g.router.stageCounts.New; got.Attempts != 2 || got.Missed != 2 {
		t.Errorf("%+v: failures of an earlier stage are taken from this one", got)
	}
	if got := g.router.buildCounts.New; got.Missed != 6 {
		t.Errorf("in all %+v after failures of an earlier stage were taken back", got)
	}
}
