package servers

import (
	"io"
	"net"
	"testing"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/gateway"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// newGatedPool returns a pool whose gate holds a lease of the given length, a host, a connection to it over a pipe, and
// the host's end of the pipe.
func newGatedPool(t *testing.T, length time.Duration) (*Pool, *host, *conn, net.Conn) {
	t.Helper()
	a, b := net.Pipe()
	t.Cleanup(func() { b.Close() })
	p, _ := newPool(t, testLimits())
	p.Gate = accord.NewGate(lease.Hold, accord.Clock{}, metrics.New())
	if err := p.Gate.Apply(t.Context(), ruleset.NewView(ruleset.Document{Head: ruleset.Head{Version: 1}})); err != nil {
		t.Fatal(err)
	}
	p.Gate.Grant(accord.Clock{}.Now(), 1, length)
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	return p, &host{Host: gateway.Host{Name: "s-1"}}, newConn(a, testResponseLimits), b
}

// A request is half sent when the lease ends, which can happen while the process is suspended, or when a version of the
// rules arrives that cordons its host. The rest is never sent, so the request cannot have run and the host has not
// failed.
func TestHalfSentRequestIsNotCompleted(t *testing.T) {
	text := make([]byte, 3*checkedWriteSize)
	t.Run("the lease ends", func(t *testing.T) {
		p, h, c, b := newGatedPool(t, 50*time.Millisecond)
		got := make(chan int, 1)
		go func() {
			n, _ := io.ReadFull(b, make([]byte, checkedWriteSize))
			time.Sleep(100 * time.Millisecond)
			m, _ := io.ReadFull(b, make([]byte, 2*checkedWriteSize))
			got <- n + m
		}()
		if r := p.execute(t.Context(), h, c, text, nil, ""); r.Outcome != logic.NotSent || !r.NoLease {
			t.Errorf("%+v", r)
		}
		if n := <-got; n > 2*checkedWriteSize {
			t.Errorf("%d of %d bytes went out", n, len(text))
		}
	})
	t.Run("a cordon arrives", func(t *testing.T) {
		p, h, c, b := newGatedPool(t, time.Hour)
		got := make(chan int, 1)
		go func() {
			n, _ := io.ReadFull(b, make([]byte, checkedWriteSize)) // and reads no more
			v := ruleset.NewView(ruleset.Document{Head: ruleset.Head{Version: 2},
				Rules: ruleset.Rules{Cordons: map[string]cordon.Cordon{"s-1": {Target: cordon.Target{Host: "s-1"}}}}})
			if err := p.Gate.Apply(t.Context(), v); err != nil || p.Gate.HeldVersion() != 2 {
				t.Errorf("version 2 did not take effect: %v", err)
			}
			got <- n
		}()
		if r := p.execute(t.Context(), h, c, text, nil, ""); r.Outcome != logic.NotSent || r.NoLease {
			t.Errorf("%+v", r)
		}
		<-got
	})
	t.Run("no lease", func(t *testing.T) {
		p, h, c, _ := newGatedPool(t, time.Nanosecond)
		if r := p.execute(t.Context(), h, c, text, nil, ""); r.Outcome != logic.NotSent || !r.NoLease || len(h.idle) != 1 {
			t.Errorf("%+v, %d idle connections", r, len(h.idle))
		}
	})
}
