package ledger

import (
	"context"
	"errors"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

// While the disk fails, a strict counter refuses new requests, and a lenient one counts the answers that go out uncounted.
// Both log the failure once and recover by themselves.
func TestCounterWhileDiskFails(t *testing.T) {
	for _, strict := range []bool{true, false} {
		var fails atomic.Bool
		o := options()
		o.Limits.ProbeInterval = 5 * time.Millisecond
		o.commit = func(db *bolt.DB, do func(*bolt.Tx) error) error {
			if fails.Load() {
				return errors.New("disk")
			}
			return db.Update(do)
		}
		l := openLedger(t, filepath.Join(t.TempDir(), "l"), o)
		core, logs := observer.New(zap.InfoLevel)
		m := metrics.New()
		c := NewCounter(l, logic.Settings{Classes: []logic.Class{{Name: "read", Worth: 2.5}}}, strict, m, zap.New(core))
		answer := func() {
			c.Count(context.Background(), exchange.Fields{Class: "read", Tenant: "a", ExpectedWork: time.Second},
				exchange.Answer{Status: exchange.Served, Attempts: 2})()
		}
		answer()
		fails.Store(true)
		answer()
		answer()
		if c.Refusing() != strict || m.Get("ledger.uncounted") != 2 || logs.FilterMessage("answers go out uncounted").Len() != 1 {
			t.Errorf("strict %v: refusing %v, %d uncounted, %d log lines", strict, c.Refusing(), m.Get("ledger.uncounted"), logs.Len())
		}
		fails.Store(false)
		testwait.Until(t, "the ledger to recover", func() bool { return !c.Refusing() && l.WriteError() == nil })
		answer()
		if logs.FilterMessage("the ledger can be written again").Len() != 1 {
			t.Error("the end of the failure was not logged once")
		}
		testwait.Until(t, "both uses to be confirmed", func() bool { return len(l.View().Unconfirmed) == 0 })
		sum := l.View().Statements[0].Lines[0].Counted
		if sum.Requests != 2 || sum.Attempts != 4 || sum.Worth != 5e6 || sum.Work != 2*time.Second {
			t.Errorf("%+v", sum)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
}
