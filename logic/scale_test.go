package logic

import (
	"fmt"
	"testing"
	"time"
)

// Danger: reports of all routers to all grow with the square of the tier. An idle router of a large tier
// tells the voters only, and not often; a busy one of a small tier tells all.
func TestReportsAreBoundedByWhatRequestsPay(t *testing.T) {
	for _, c := range []struct {
		name       string
		peers      int
		every      time.Duration // between requests
		toAll      bool
		most, some int // posts in 10 s
	}{
		{"small and busy", 3, 50 * ms, true, 41, 20},
		{"large and idle", 700, 2 * time.Second, false, 3 * 10, 3 * 4},
		{"large and busy", 700, 50 * ms, false, 3 * 41, 3 * 10},
	} {
		s := testSettings()
		s.Peers, s.Self = c.peers, c.peers-1
		g := ready(t, s, host(1), host(2))
		for i := 3; i < 5; i++ {
			g.feed(ServersListed{Servers: []Server{host(i, build(2))}})
		}
		if g.release(2, 0, OnTrial, 0.1); g.r.votersOf(2)[0] == s.Self {
			t.Fatalf("%s: the router under test votes itself", c.name)
		}
		g.pass(5 * time.Second)
		g.posts = nil
		for at := time.Duration(0); at < 10*time.Second; at += c.every {
			for _, send := range g.arrive(fmt.Sprint(at), "read", time.Second) {
				g.end(send, OK)
			}
			g.pass(c.every)
		}
		if n := len(g.posts); n > c.most || n < c.some {
			t.Errorf("%s: %d posts in 10 s, want %d to %d", c.name, n, c.some, c.most)
		}
		for _, p := range g.posts {
			if p.Peer < 0 != c.toAll {
				t.Fatalf("%s: a report to %d", c.name, p.Peer)
			}
		}
	}
}

// A peer that falls silent keeps no server busy for ever.
func TestSilentPeersAttemptsAreForgotten(t *testing.T) {
	g := ready(t, testSettings(), host(1), host(2))
	g.feed(PeerMessage{From: 1, Data: Report{Build: 1, Busy: []BusyServer{{1, 9}}}.Encode()})
	if n := g.r.servers[1].peerBusy; n != 9 {
		t.Fatalf("%d attempts of the peer known, want 9", n)
	}
	g.feed(PeerMessage{From: 1, Data: Report{Build: 1, Busy: []BusyServer{{1, 4}, {2, 1}}}.Encode()})
	if a, b := g.r.servers[1].peerBusy, g.r.servers[2].peerBusy; a != 4 || b != 1 {
		t.Fatalf("after a newer report %d and %d attempts, want 4 and 1", a, b)
	}
	g.pass(2 * busyLife)
	if a, b := g.r.servers[1].peerBusy, g.r.servers[2].peerBusy; a != 0 || b != 0 {
		t.Errorf("after silence %d and %d attempts, want none", a, b)
	}
}
