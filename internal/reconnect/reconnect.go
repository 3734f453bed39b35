// Package reconnect keeps a connection to a service that the router depends on (discovery or the release platform) and whose
// address may change. It reconnects with backoff when a connection breaks, and moves from one address to the next without a
// gap.
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

// Session runs one connection to a service until it breaks or ctx ends.
type Session func(ctx context.Context, endpoint *Endpoint) error

// Follower keeps the connection to one service, at its present address.
type Follower struct {
	name     string // of the service, in the log and in counters
	addr     string // the first address
	policy   backoff.Policy
	limits   config.Limits
	onLost   func() // called on the first of consecutive failures
	counters *metrics.Registry
	log      *zap.Logger
	moves    chan string

	mu        sync.Mutex
	endpoints []*Endpoint // the newest last; earlier ones until they have ended
}

// New returns a Follower that does nothing until Run is called.
func New(name, addr string, policy backoff.Policy, limits config.Limits, onLost func(), counters *metrics.Registry,
	log *zap.Logger) *Follower {
	return &Follower{name: name, addr: addr, policy: policy, limits: limits, onLost: onLost, counters: counters, log: log,
		moves: make(chan string, 1)}
}

// Endpoint is one address of a service, with the state of the connection to it.
type Endpoint struct {
	Addr string

	follower     *Follower
	pacer        *backoff.Pacer
	lastHeard    time.Time       // the last sign of life; guarded by follower.mu
	hasReceived  bool            // a message has been read from it while it was the newest; guarded by follower.mu
	replaced     context.Context // ends once a message has been read from a later endpoint
	markReplaced context.CancelFunc
	stop         context.CancelFunc
}

// Replaced returns a context that ends once a message has been read from a later endpoint. From then on, messages from
// this endpoint are out of date, but calls pending on its connection may still be answered until its session's context ends.
func (e *Endpoint) Replaced() context.Context { return e.replaced }

// IsNewest reports whether this is the service's latest address.
func (e *Endpoint) IsNewest() bool {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.follower.endpoints[len(e.follower.endpoints)-1] == e
}

// RecordMessage records that a valid message has been read from the endpoint, and reports whether to use the message.
// Without this check, a message from an earlier address that is read late would undo what the present one has sent.
func (e *Endpoint) RecordMessage() bool {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	newest := e.follower.endpoints[len(e.follower.endpoints)-1] == e
	if newest && !e.hasReceived {
		e.hasReceived = true
		for _, earlier := range e.follower.endpoints[:len(e.follower.endpoints)-1] {
			earlier.markReplaced()
		}
	}
	e.heard(newest)
	return e.replaced.Err() == nil
}

// RecordHeartbeat records a sign of life of the endpoint that is not a message.
func (e *Endpoint) RecordHeartbeat() {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	e.heard(e.follower.endpoints[len(e.follower.endpoints)-1] == e)
}

// heard records a sign of life. The caller holds follower.mu.
func (e *Endpoint) heard(newest bool) {
	e.lastHeard = time.Now()
	if e.pacer.RecordSuccess() && newest {
		e.follower.log.Info(e.follower.name + " is connected again")
	}
}

// Move changes the service's address; it never blocks. If an earlier change is still pending, the new one replaces it.
func (f *Follower) Move(addr string) {
	for {
		select {
		case f.moves <- addr:
			return
		default:
		}
		select { // drop a pending move, which is out of date
		case <-f.moves:
		default:
		}
	}
}

// Run keeps the connection to the service until ctx ends. newSession is called once for each address.
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

// addEndpoint adds the newest endpoint. Earlier ones have AddressChangeGrace to finish their pending calls: the old address
// will soon be closed, but until a message has been read from the new one it is the only source.
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

// removeEndpoint releases an endpoint that has ended. The newest stays in the list, because IsNewest compares with it.
func (f *Follower) removeEndpoint(endpoint *Endpoint) {
	endpoint.stop()
	endpoint.markReplaced()
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.endpoints, endpoint); i < len(f.endpoints)-1 {
		f.endpoints = slices.Delete(f.endpoints, i, i+1)
	}
}

// keepConnected runs sessions at an endpoint, with backoff in between, until ctx ends or there is a later endpoint.
func (f *Follower) keepConnected(ctx context.Context, endpoint *Endpoint, session Session) {
	sleep(ctx, endpoint.initialDelay())
	for ctx.Err() == nil && endpoint.IsNewest() {
		err := session(ctx, endpoint)
		if ctx.Err() != nil || !endpoint.IsNewest() {
			return
		}
		f.counters.Inc(f.name + ".broken")
		pause, first := endpoint.recordFailure()
		if first {
			f.log.Warn(f.name+" lost, continuing with its last data", zap.Error(err))
			f.onLost()
		}
		sleep(ctx, pause)
	}
}

// initialDelay returns the pause before the first connection. Like recordFailure, it locks the pacer, which RecordMessage
// may use from another goroutine.
func (e *Endpoint) initialDelay() time.Duration {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.pacer.InitialDelay()
}

// recordFailure returns the pause before the next connection, and whether this is the first of consecutive failures.
func (e *Endpoint) recordFailure() (pause time.Duration, first bool) {
	e.follower.mu.Lock()
	defer e.follower.mu.Unlock()
	return e.pacer.RecordFailure(time.Since(e.lastHeard))
}

// sleep waits for d or until ctx ends.
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
