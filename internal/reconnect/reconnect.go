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
	rule   backoff.Policy
	limits config.Limits
	lost   func() // told once in a row of failures
	count  *metrics.Registry
	log    *zap.Logger
	moves  chan string

	mu     sync.Mutex
	places []*Endpoint // the newest last; those before it until they have ended
}

// New makes a follower; Run starts it.
func New(name, addr string, rule backoff.Policy, limits config.Limits, lost func(), count *metrics.Registry,
	log *zap.Logger) *Follower {
	return &Follower{name: name, addr: addr, rule: rule, limits: limits, lost: lost, count: count, log: log,
		moves: make(chan string, 1)}
}

// Place is one address of a peer, and what became of it.
type Endpoint struct {
	Addr string

	of       *Follower
	pace     *backoff.Pacer
	spoken   bool            // it has brought news; guarded by of.mu
	replaced context.Context // ends once a later place has brought news
	replace  context.CancelFunc
	stop     context.CancelFunc
}

// Replaced ends once a later place has brought news: what this one still says is out of date, and what waits
// on its connection has until its session's context ends.
func (p *Endpoint) Replaced() context.Context { return p.replaced }

// Newest tells that no later address has come.
func (p *Endpoint) IsNewest() bool {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.of.places[len(p.of.places)-1] == p
}

// Spoke notes that the place has brought something that can be read, and tells whether that counts. Danger: the
// last words of an earlier address, read late, would undo what the present one has told.
func (p *Endpoint) RecordMessage() bool {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	newest := p.of.places[len(p.of.places)-1] == p
	if newest && !p.spoken {
		p.spoken = true
		for _, earlier := range p.of.places[:len(p.of.places)-1] {
			earlier.replace()
		}
	}
	if p.pace.RecordSuccess() && newest {
		p.of.log.Info(p.of.name + " is back")
	}
	return p.replaced.Err() == nil
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
func (f *Follower) Run(ctx context.Context, fresh func() Session) {
	var work sync.WaitGroup
	defer work.Wait()
	for addr := f.addr; ; {
		p, here := f.begin(ctx, addr)
		session := fresh()
		work.Go(func() {
			f.hold(here, p, session)
			f.end(p)
		})
		select {
		case <-ctx.Done():
			return
		case addr = <-f.moves:
			f.log.Info(f.name+" moves", zap.String("from", p.Addr), zap.String("to", addr))
		}
	}
}

// begin adds a place. Those before it have a while to finish what waits on them. Danger: the old address is
// soon closed, but until the new one has spoken its news are the only ones.
func (f *Follower) begin(ctx context.Context, addr string) (*Endpoint, context.Context) {
	p := &Endpoint{Addr: addr, of: f}
	here, stop := context.WithCancel(ctx)
	p.stop = stop
	p.replaced, p.replace = context.WithCancel(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	p.pace = backoff.New(f.rule, len(f.places) > 0)
	for _, earlier := range f.places {
		time.AfterFunc(f.limits.AddressChangeGrace, earlier.stop)
	}
	f.places = append(f.places, p)
	return p, here
}

// end forgets a place.
func (f *Follower) end(p *Endpoint) {
	p.stop()
	p.replace()
	f.mu.Lock()
	defer f.mu.Unlock()
	if i := slices.Index(f.places, p); i < len(f.places)-1 { // the newest stays, for Newest
		f.places = slices.Delete(f.places, i, i+1)
	}
}

// hold connects to a place again and again, until ctx ends or a later place has come.
func (f *Follower) hold(ctx context.Context, p *Endpoint, session Session) {
	wait(ctx, p.begin())
	for ctx.Err() == nil && p.IsNewest() {
		err := session(ctx, p)
		if ctx.Err() != nil || !p.IsNewest() {
			return
		}
		f.count.Inc(f.name + ".broken")
		pause, first := p.failed()
		if first {
			f.log.Warn(f.name+" lost, going on with what it told last", zap.Error(err))
			f.lost()
		}
		wait(ctx, pause)
	}
}

// begin and failed ask the place's pace, which Spoke is told to as well, maybe from another goroutine.
func (p *Endpoint) begin() time.Duration {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.pace.InitialDelay()
}

func (p *Endpoint) failed() (pause time.Duration, first bool) {
	p.of.mu.Lock()
	defer p.of.mu.Unlock()
	return p.pace.RecordFailure()
}

// wait pauses, or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
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
