// Package reconnect keeps up with a peer of the router whose address may change: it connects anew, with pauses,
// when a connection breaks, and goes over from an address to the next without a gap.
package reconnect

import (
	"context"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/backoff"
	"merlinarch/internal/metrics"
)

// Session holds one connection to a peer until it breaks or ctx ends.
type Session func(ctx context.Context, at *Endpoint) error

// Follower follows one peer.
type Follower struct {
	name   string // of the peer, in the log and in counters
	addr   string // the first address
	policy backoff.Policy
	limits config.Limits
	onLost func() // told once in a row of failures
	count  *metrics.Registry
	log    *zap.Logger
	moves  chan string

	mu        sync.Mutex
	endpoints []*Endpoint // the newest last; those before it until they have ended
}

// New makes a follower; Run starts it.
func New(name, addr string, policy backoff.Policy, limits config.Limits, onLost func(), count *metrics.Registry,
	log *zap.Logger) *Follower {
	return &Follower{name: name, addr: addr, policy: policy, limits: limits, onLost: onLost, count: count, log: log,
		moves: make(chan string, 1)}
}

// Place is one address of a peer, and what became of it.
type Endpoint struct {
	Addr string

	follower     *Follower
	pacer        *backoff.Pacer
	receiving    bool            // it has brought news; guarded by of.mu
	replaced     context.Context // ends once a later place has brought news
	markReplaced context.CancelFunc
	stop         context.CancelFunc
}

// Replaced ends once a later place has brought news: what this one still says is out of date, and what waits
// on its connection has until its session's context ends.
func (e *Endpoint) Replaced() context.Context { return e.replaced }

// Newest tells that no later address has come.
func (e *Endpoint) IsNewest() bool {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.endpoints[len(e.follower.endpoints)-1] == e
}

// Spoke notes that the place has brought something that can be read, and tells whether that counts. Danger: the
// last words of an earlier address, read late, would undo what the present one has told.
func (e *Endpoint) RecordMessage() bool {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	newest := e.follower.endpoints[len(e.follower.endpoints)-1] == e
	if newest && !e.receiving {
		e.receiving = true
		for _, earlier := range e.follower.endpoints[:len(e.follower.endpoints)-1] {
			earlier.markReplaced()
		}
	}
	if e.pacer.RecordSuccess() && newest {
		e.follower.log.Info(e.follower.name + " is back")
	}
	return e.replaced.Err() == nil
}

// Move goes over to another address; it never blocks.
func (f *Follower) Move(addr string) {
	for {
		select {
		case f.moves <- addr:
			return
		default:
		}
		select { // one that was not gone over to yet is out of date
		case <-f.moves:
		default:
		}
	}
}

// Run follows the peer until ctx ends; fresh gives each address a session of its own.
func (f *Follower) Run(ctx context.Context, newSession func() Session) {
	var work sync.WaitGroup
	defer work.Wait()
	for addr := f.addr; ; {
		endpoint, endpointCtx := f.addEndpoint(ctx, addr)
		session := newSession()
		work.Go(func() {
			f.keepConnected(endpointCtx, endpoint, session)
			f.removeEndpoint(endpoint)
		})
		select {
		case <-ctx.Done():
			return
		case addr = <-f.moves:
			f.log.Info(f.name+" moves", zap.String("from", endpoint.Addr), zap.String("to", addr))
		}
	}
}

// begin adds a place. Those before it have a while to finish what waits on them. Danger: the old address is
// soon closed, but until the new one has spoken its news are the only ones.
func (f *Follower) addEndpoint(ctx context.Context, addr string) (*Endpoint, context.Context) {
	endpoint := &Endpoint{Addr: addr, follower: f}
	endpointCtx, stop := context.WithCancel(ctx)
	endpoint.stop = stop
	endpoint.replaced, endpoint.markReplaced = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	endpoint.pacer = backoff.New(f.policy, len(f.endpoints) > 0)
	for _, earlier := range f.endpoints {
		time.AfterFunc(f.limits.AddressChangeGrace, earlier.stop)
	}
	f.endpoints = append(f.endpoints, endpoint)
	return endpoint, endpointCtx
}

// end forgets a place.
func (f *Follower) removeEndpoint(endpoint *Endpoint) {
	endpoint.stop()
	endpoint.markReplaced()
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.endpoints, endpoint); i < len(f.endpoints)-1 { // the newest stays, for Newest
		f.endpoints = slices.Delete(f.endpoints, i, i+1)
	}
}

// hold connects to a place again and again, until ctx ends or a later place has come.
func (f *Follower) keepConnected(ctx context.Context, endpoint *Endpoint, session Session) {
	sleep(ctx, endpoint.initialDelay())
	for ctx.Err() == nil && endpoint.IsNewest() {
		err := session(ctx, endpoint)
		if ctx.Err() != nil || !endpoint.IsNewest() {
			return
		}
		f.count.Inc(f.name + ".broken")
		pause, first := endpoint.recordFailure()
		if first {
			f.log.Warn(f.name+" lost, going on with what it told last", zap.Error(err))
			f.onLost()
		}
		sleep(ctx, pause)
	}
}

// begin and failed ask the place's pace, which Spoke is told to as well, maybe from another goroutine.
func (e *Endpoint) initialDelay() time.Duration {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.pacer.InitialDelay()
}

func (e *Endpoint) recordFailure() (pause time.Duration, first bool) {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.pacer.RecordFailure()
}

// wait pauses, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
