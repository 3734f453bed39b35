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

// Reasons why an attempt may not start.
var (
	ErrNoLease   = errors.New("no lease on the rules stands")
	ErrCordoned  = errors.New("the server is cordoned")
	ErrWithdrawn = errors.New("the planned work was withdrawn")
)

// Gate is what every attempt passes right before its bytes go out. Its methods are safe for use by several goroutines.
type Gate struct {
	clock  Clock
	count  *metrics.Registry
	closed atomic.Bool // as of the last look at the conduct

	mu      sync.Mutex
	holder  lease.Holder
	view    *ruleset.View // nil: none has been taken in
	permits map[*Permit]struct{}
	drained chan struct{} // closed when the last pass that was broken off has ended; nil: nobody waits
}

// NewGate makes a closed gate.
func NewGate(mode lease.Mode, clock Clock, count *metrics.Registry) *Gate {
	g := &Gate{clock: clock, count: count, holder: lease.Holder{Mode: mode}, permits: map[*Permit]struct{}{}}
	g.closed.Store(true)
	return g
}

// Pass lets one attempt's bytes go out, piece by piece.
type Permit struct {
	gate          *Gate
	host          string
	startedUnixMs int64
	dispatch      string
	revoked       bool // off: a version has come that forbids it
	abort         func()
}

// Begin lets an attempt to one life of a server start, or tells why it may not; planned is the name of the planned work
// that it is for, empty for a client's request. abort breaks off its writing; it is called when a version comes that
// forbids what is still being written. End has to follow.
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

// allows is called under the lock. The clock is read here, at the last moment: the process may have stood still since
// the attempt was decided, or since it got its connection.
func (g *Gate) check(host string, startedUnixMs int64, dispatch string) error {
	if permission := g.refreshPermission(); permission == lease.None || dispatch != "" && permission != lease.Full {
		g.count.Inc("accord.held_back")
		return ErrNoLease
	}
	if dispatch != "" && !g.view.IsPlanned(dispatch) {
		g.count.Inc("accord.withdrawn")
		return ErrWithdrawn
	}
	if !g.view.AllowsNewWork(host, startedUnixMs) {
		g.count.Inc("accord.cordoned")
		return ErrCordoned
	}
	return nil
}

// Still tells whether the rest of an attempt may go out. Danger: a host begins on a request with its last byte; one that
// was half sent when the process stood still must not be completed by it when it wakes.
func (p *Permit) Recheck() error {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	return p.gate.check(p.host, p.startedUnixMs, p.dispatch)
}

// End tells that nothing more of the attempt will be written.
func (p *Permit) End() {
	g := p.gate
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.permits, p)
	g.signalDrained()
}

// wake is called under the lock: it tells Take when the last pass that was broken off has ended.
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

// Take puts a newer version in force. It returns once nothing that it forbids goes out any more; only then has the version
// been taken in. What an older version let begin, and this one allows as well, goes on. Danger: waited for, one server
// that does not read would keep this dispatcher from every later version, and in the end from its lease.
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
			g.count.Inc("accord.broken_off")
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

// Grant notes a lease, from when its asking was sent.
func (g *Gate) Grant(sentAt time.Duration, version uint64, length time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	defer g.refreshPermission()
	return g.holder.RecordGrant(sentAt, version, length)
}

// Lost closes the gate until another lease is granted: the record knows this life no more.
func (g *Gate) Revoke() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Revoke()
	g.refreshPermission()
}

// look is called under the lock: it tells what may be done now, and notes it for Refusing.
func (g *Gate) refreshPermission() lease.Permission {
	permission := lease.None
	if g.view != nil {
		permission = g.holder.Permission(g.clock.Now())
	}
	g.closed.Store(permission == lease.None)
	return permission
}

// Holds is the newest version that was taken in.
func (g *Gate) HeldVersion() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder.Version()
}

// Conduct is what may be done now.
func (g *Gate) Permission() lease.Permission {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.refreshPermission()
}

// Left is how long the lease stands yet; negative if it does not.
func (g *Gate) LeaseRemaining() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	remaining, ok := g.holder.Remaining(g.clock.Now())
	if !ok {
		return -1
	}
	return remaining
}

// Refusing tells that nothing new is to be taken from clients, as nothing may be sent. It goes by the last look at the
// lease, which the follower takes at its end; what is taken in between meets the gate.
func (g *Gate) Refusing() bool { return g.closed.Load() }
