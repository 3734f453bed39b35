package logic

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecision measures one request from its arrival to its answer, with its part of the ticks and of peers'
// in-flight reports, for several numbers of servers and routers. Each router gets 100 requests per second.
func BenchmarkDecision(b *testing.B) {
	for _, size := range [][2]int{{15, 3}, {15, 300}, {60, 3}, {60, 80}, {150, 3}, {150, 300}, {1000, 3}, {1000, 300}} {
		serverCount, routerCount := size[0], size[1]
		b.Run(fmt.Sprintf("hosts=%d/routers=%d", serverCount, routerCount), func(b *testing.B) {
			s := testSettings()
			s.RouterCount = routerCount
			r, now := New(s, 7), startTime
			list := make([]Server, serverCount)
			for i := range list {
				list[i] = testServer(i+1, withZone([]string{"a", "b", "c"}[i%3]))
			}
			r.Handle(now, ServersListed{Full: true, Servers: list})
			r.Handle(now, ReleaseStatus{Build: 1, Stage: 2, Phase: Released, Cap: 1})
			ids := make([]RequestID, 64)
			for i := range ids {
				ids[i] = RequestID(fmt.Sprint(i))
			}
			busy := InFlightReport{{Server: 1, InFlight: 2}, {Server: 2, InFlight: 1}}.Encode()
			tick := now
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				now += 10 * time.Millisecond
				for tick+tickInterval <= now {
					tick += tickInterval
					r.Handle(tick, TimerFired{Token: 1})
				}
				if routerCount > 1 && n%10 == 0 {
					r.Handle(now, PeerMessage{From: 1 + n%(routerCount-1), Data: busy})
				}
				id := ids[n%len(ids)]
				for _, a := range r.Handle(now, RequestArrived{ID: id, Class: "read", Tenant: "t", TimeLeft: time.Second}) {
					if send, ok := a.(Send); ok {
						r.Handle(now+5*time.Millisecond, AttemptDone{ID: id, Outcome: OK, Duration: 5 * time.Millisecond,
							Server: send.Server, RequestEnded: true})
						break
					}
				}
			}
		})
	}
}

// BenchmarkMessage measures the receipt of one message from a peer: an in-flight report without failures, one with a
// failure, and a report of counts.
func BenchmarkMessage(b *testing.B) {
	for _, size := range [][2]int{{15, 3}, {60, 80}, {150, 300}} {
		serverCount, routerCount := size[0], size[1]
		for _, message := range []struct {
			name string
			data []byte
		}{
			{"busy", InFlightReport{{Server: 1, InFlight: 2}, {Server: 2, InFlight: 1}}.Encode()},
			{"failed", InFlightReport{{Server: 1, InFlight: 2, Failed: true}}.Encode()},
			{"counts", Report{Build: 1, StageCounts: Counts{Old: Arm{Attempts: 30}},
				BuildCounts: Counts{Old: Arm{Attempts: 40}}}.Encode()},
		} {
			b.Run(fmt.Sprintf("%s/hosts=%d/routers=%d", message.name, serverCount, routerCount), func(b *testing.B) {
				s := testSettings()
				s.RouterCount = routerCount
				r, now := New(s, 7), startTime
				list := make([]Server, serverCount)
				for i := range list {
					list[i] = testServer(i + 1)
				}
				r.Handle(now, ServersListed{Full: true, Servers: list})
				r.Handle(now, ReleaseStatus{Build: 1, Stage: 2, Phase: Released, Cap: 1})
				b.ReportAllocs()
				for n := 0; b.Loop(); n++ {
					if n%1000 == 0 { // the weight of failures decays with each tick
						now += tickInterval
						r.Handle(now, TimerFired{Token: 1})
					}
					r.Handle(now, PeerMessage{From: 1 + n%(routerCount-1), Data: message.data})
				}
			})
		}
	}
}
