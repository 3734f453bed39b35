package accord

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/metrics"
)

// Reasons why an attempt may not start or continue.
var (
	ErrNoLease   = errors.New("no valid lease on the rules")
	ErrCordoned  = errors.New("the server is cordoned")
	ErrWithdrawn = errors.New("the dispatch was withdrawn")
)

// Gate admits or refuses each attempt right before its bytes are sent, by the rules and the lease. Its methods are safe
// for use by several goroutines.
type Gate struct {
	clock    Clock
	counters *metrics.Registry
	closed   atomic.Bool // nothing may be sent, as of the last refreshPermission

	mu      sync.Mutex
	holder  lease.Holder
	view    *ruleset.View // nil: no version has been applied
	permits map[*Permit]struct{}
	drained chan struct{} // closed when the last revoked permit has ended; nil: no Apply waits
}

// NewGate returns a gate that refuses every attempt until a version is applied and a lease granted.
func NewGate(mode lease.Mode, clock Clock, counters *metrics.Registry) *Gate {
	g := &Gate{clock: clock, counters: counters, holder: lease.Holder{Mode: mode}, permits: map[*Permit]struct{}{}}
	g.closed.Store(true)
	return g
}

// Permit admits one attempt. It is checked again before each further piece of the attempt is sent.
type Permit struct {
	gate          *Gate
	host          string
	startedUnixMs int64
	dispatch      string // empty for a client's request
	revoked       bool   // a newer version forbids the attempt, and abort was called
	abort         func()
}

// Begin admits an attempt at a server that started at the given time, or returns the reason for refusing it. dispatch
// names the dispatch that the attempt is for; it is empty for a client's request. If a newer version forbids the attempt
// before End is called, the gate calls abort, which has to stop its writing. The caller has to call End on the permit.
func (g *Gate) Begin(host string, startedUnixMs int64, dispatch string, abort func()) (*Permit, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if err := g.check(host, startedUnixMs, dispatch); err != nil {
		return nil, err
	}
	p := &Permit{gate: g, host: host, startedUnixMs: startedUnixMs, dispatch: dispatch, abort: abort}
	g.permits[p] = struct{}{}
	return p, nil
}

// check returns the reason why an attempt may not be sent now, or nil. The caller holds mu. The clock is read here, right
// before sending, because the process may have been paused since the attempt was decided or since it got its connection.
func (g *Gate) check(host string, startedUnixMs int64, dispatch string) error {
	if permission := g.refreshPermission(); permission == lease.None || dispatch != "" && permission != lease.Full {
		g.counters.Inc("accord.held_back")
		return ErrNoLease
	}
	if dispatch != "" && !g.view.IsPlanned(dispatch) {
		g.counters.Inc("accord.withdrawn")
		return ErrWithdrawn
	}
	if !g.view.AllowsNewWork(host, startedUnixMs) {
		g.counters.Inc("accord.cordoned")
		return ErrCordoned
	}
	return nil
}

// Recheck returns the reason why the rest of an attempt may not be sent, or nil. A host starts on a request when it has
// received the last byte. Without this check, a process that was paused in the middle of a request could complete it
// when it resumes, although its lease has ended meanwhile.
func (p *Permit) Recheck() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.gate.check(p.host, p.startedUnixMs, p.dispatch)
}

// End releases the permit: nothing more of the attempt will be written.
func (p *Permit) End() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.permits, p)
	g.signalDrained()
}

// signalDrained lets Apply continue once no revoked permit is left. The caller holds mu.
func (g *Gate) signalDrained() {
	if g.drained == nil {
		return
	}
	for p := range g.permits {
		if p.revoked {
			return
		}
	}
	close(g.drained)
	g.drained = nil
}

// Apply puts a newer version in force. It returns once nothing that the version forbids is being sent; only then does the
// version count as applied. It does not wait for attempts that began under an older version and are still allowed:
// otherwise one server that does not read would block every later version, and in the end the lease.
func (g *Gate) Apply(ctx context.Context, view *ruleset.View) error {
	g.mu.Lock()
	if g.view != nil && view.Version() <= g.view.Version() {
		g.mu.Unlock()
		return nil
	}
	g.view = view
	done := make(chan struct{})
	g.drained = done
	for p := range g.permits {
		if !view.AllowsNewWork(p.host, p.startedUnixMs) || p.dispatch != "" && !view.IsPlanned(p.dispatch) {
			g.counters.Inc("accord.broken_off")
			p.revoked = true
			p.abort()
		}
	}
	g.signalDrained()
	g.mu.Unlock()
	select {
	case <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Advance(view.Version())
	return nil
}

// Grant records a lease on a version, counted from when the beat that asked for it was sent. It returns false if that
// version has not been applied or the length is not positive.
func (g *Gate) Grant(sentAt time.Duration, version uint64, length time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.refreshPermission()
	return g.holder.RecordGrant(sentAt, version, length)
}

// Revoke closes the gate until another lease is granted, because a later incarnation has replaced this one.
func (g *Gate) Revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Revoke()
	g.refreshPermission()
}

// refreshPermission returns what may be sent now, and stores it for Refusing. The caller holds mu.
func (g *Gate) refreshPermission() lease.Permission {
	permission := lease.None
	if g.view != nil {
		permission = g.holder.Permission(g.clock.Now())
	}
	g.closed.Store(permission == lease.None)
	return permission
}

// HeldVersion returns the newest version that was applied.
func (g *Gate) HeldVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Version()
}

// Permission returns what may be sent now.
func (g *Gate) Permission() lease.Permission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refreshPermission()
}

// LeaseRemaining returns how long the lease is still valid; it is negative if there is no valid lease.
func (g *Gate) LeaseRemaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining, ok := g.holder.Remaining(g.clock.Now())
	if !ok {
		return -1
	}
	return remaining
}

// Refusing reports whether to refuse new requests from clients because nothing may be sent. It returns the result of
// the last check of the lease; the Follower checks it when the lease ends. A request that is accepted in between is
// refused by Begin.
func (g *Gate) Refusing() bool { return g.closed.Load() }
