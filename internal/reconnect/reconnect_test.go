package reconnect

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var errBroken = errors.New("broken")

// A connection that had worked is opened anew in its router's slot of what is left of ReopenWithin, not in the window of
// calls that failed (an hour here). It guards against a silent watch that is opened anew as late as a call after an outage.
func TestSilentConnectionIsReopenedInItsSlot(t *testing.T) {
	policy := backoff.Policy{Window: time.Hour, MaxWindow: time.Hour, ReopenWithin: 40 * time.Millisecond, Slot: 1e-9}
	f := New("peer", "0", policy, config.Limits{}, func() {}, metrics.New(), zap.NewNop())
	ctx, stop := context.WithCancel(t.Context())
	began := make(chan struct{}, 8)
	var work sync.WaitGroup
	work.Go(func() {
		f.Run(ctx, func() Session {
			return func(ctx context.Context, at *Endpoint) error {
				select {
				case began <- struct{}{}:
				default:
				}
				at.RecordHeartbeat()
				time.Sleep(5 * time.Millisecond) // silent
				return errBroken
			}
		})
	})
	for range 4 {
		testwait.Value(t, "a session", began)
	}
	stop()
	work.Wait()
}

// After many moves only the newest endpoint is left. An endpoint that was moved from gets no new session, and consecutive
// failures are reported once.
func TestRepeatedMovesLeaveOneEndpoint(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	var lostCalls atomic.Int32
	limits := config.Limits{AddressChangeGrace: time.Millisecond}
	f := New("peer", "0", backoff.Policy{FirstPause: time.Microsecond, MaxPause: time.Microsecond}, limits, func() { lostCalls.Add(1) }, metrics.New(), zap.New(core))
	ctx, stop := context.WithCancel(t.Context())
	connected := make(chan string)
	recorded := make(chan bool, 1024)
	var work sync.WaitGroup
	work.Go(func() {
		f.Run(ctx, func() Session {
			tries := 0
			return func(ctx context.Context, at *Endpoint) error {
				if tries++; tries < 3 {
					return errBroken
				}
				connected <- at.Addr
				<-ctx.Done()
				recorded <- at.RecordMessage()
				return ctx.Err()
			}
		})
	})
	addr := "0"
	for _, next := range []string{"1", "2", "3", "4", "5", "6", "7", "8", "9"} {
		if got := testwait.Value(t, "a session", connected); got != addr {
			t.Fatalf("a session at %s, want %s", got, addr)
		}
		f.Move(next)
		addr = next
	}
	testwait.Value(t, "the last session", connected)
	testwait.Until(t, "the earlier endpoints to end", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.endpoints) == 1
	})
	stop()
	work.Wait()
	if len(recorded) != 10 {
		t.Errorf("%d sessions ended, want 10", len(recorded))
	}
	if logged := logs.FilterMessageSnippet("lost").Len(); logged != 10 || lostCalls.Load() != 10 {
		t.Errorf("ten series of failures: logged %d times, onLost called %d times", logged, lostCalls.Load())
	}
}

// If moves are requested faster than they are carried out, only the last one takes effect.
func TestLastMoveWins(t *testing.T) {
	f := New("peer", "0", backoff.Policy{}, config.Limits{}, nil, metrics.New(), zap.NewNop())
	f.Move("1")
	f.Move("2")
	if got := <-f.moves; got != "2" || len(f.moves) > 0 {
		t.Errorf("moves to %s, want 2 and no other move pending", got)
	}
}
