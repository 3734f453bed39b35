package ledger

import (
	"context"
	"math"
	"sync/atomic"

	"go.uber.org/zap"

	"merlinarch/internal/decide/usage"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// Counter counts a router's final answers in a ledger. It implements clients.UsageRecorder.
type Counter struct {
	ledger        *Ledger
	strict        bool
	worthByClass  map[string]int64 // in millionths
	counters      *metrics.Registry
	log           *zap.Logger
	failureLogged atomic.Bool // the present failure of the disk has been logged
}

// NewCounter returns a counter. While the disk fails, a strict counter refuses new requests; any other lets answers go out
// uncounted; it counts and logs that.
func NewCounter(l *Ledger, s logic.Settings, strict bool, counters *metrics.Registry, log *zap.Logger) *Counter {
	c := &Counter{ledger: l, strict: strict, worthByClass: map[string]int64{}, counters: counters, log: log}
	for _, class := range s.Classes {
		c.worthByClass[class.Name] = int64(math.Round(class.Worth * 1e6))
	}
	return c
}

// outcomes maps the status of an answer to its outcome in the accounts.
var outcomes = map[exchange.Status]usage.Outcome{exchange.Served: usage.Served, exchange.Refused: usage.Refused,
	exchange.Failed: usage.Failed, exchange.TimedOut: usage.Failed}

// Count makes the use of an answer durable. The caller calls written once the answer's last byte has been written.
func (c *Counter) Count(ctx context.Context, f exchange.Fields, a exchange.Answer) (written func()) {
	u := usage.Use{Tenant: f.Tenant, Class: f.Class, Outcome: outcomes[a.Status], Attempts: int64(a.Attempts), Work: f.ExpectedWork}
	if a.Status == exchange.Served {
		u.Worth = c.worthByClass[f.Class]
	}
	serial, err := c.ledger.Count(ctx, u)
	if err == nil {
		c.counters.Inc("ledger.counted")
		if c.failureLogged.Swap(false) {
			c.log.Info("the ledger can be written again")
		}
		return func() { c.ledger.Confirm(serial) }
	}
	c.counters.Inc("ledger.uncounted")
	if !c.failureLogged.Swap(true) {
		c.log.Error("answers go out uncounted", zap.Error(err), zap.String("tenant", f.Tenant), zap.String("class", f.Class))
	}
	return func() { c.ledger.Confirm(serial) } // the use may have become durable in spite of the error
}

// Refusing reports whether to refuse new requests because the disk fails and no answer may go out uncounted. The ledger
// finds out by itself when the disk works again.
func (c *Counter) Refusing() bool { return c.strict && c.ledger.WriteError() != nil }
