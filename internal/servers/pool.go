// Package servers is the router's side towards the hosts: connections, attempts and probes, HTTP/1.1 written
// on net.Conn. An attempt is written once and never resent here, whatever happens to it.
package servers

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/config"
	"merlinarch/internal/gateway"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// host is a server that the list names, in one of its lives.
type host struct {
	gateway.Host
	drained  time.Time // when it was first told to drain or be gone; zero: it is neither
	replaced bool      // another life or address has taken its place, or nothing has
	idle     []*conn   // the latest used last
}

// Pool holds the connections to all servers.
type Pool struct {
	Gate *accord.Gate // passed by every attempt right before its bytes go out; nil: none. To be set before the first one

	limits config.Limits
	count  *metrics.Registry
	ctx    context.Context
	stop   context.CancelFunc
	work   sync.WaitGroup
	room   *room

	mu       sync.Mutex
	hosts    map[logic.ServerID]*host
	open     int // connections that stand or are being made
	recalled map[logic.BuildID]time.Time
	left     map[uint64]left // by key, of attempts that are Forward
}

// left is the newest build to which an attempt for a key has left, and when it did or was answered.
type left struct {
	build logic.BuildID
	at    time.Time
}

// New makes a pool; Close ends all that it has begun.
func New(limits config.Limits, count *metrics.Registry) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{limits: limits, count: count, ctx: ctx, stop: stop, hosts: map[logic.ServerID]*host{},
		recalled: map[logic.BuildID]time.Time{}, left: map[uint64]left{}, room: &room{left: limits.LongAnswerBudget}}
	p.work.Go(p.retire)
	return p
}

// Close ends all attempts and connections, and waits for them.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	for _, h := range p.hosts {
		p.dropIdle(h)
	}
	p.mu.Unlock()
	p.work.Wait()
}

// Listed takes discovery's list, or its changes.
func (p *Pool) UpdateServers(full bool, hosts []gateway.Host) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[logic.ServerID]bool{}
	for _, h := range hosts {
		named[h.ID] = true
		have := p.hosts[h.ID]
		switch {
		case h.State == logic.Gone:
			p.remove(have, now)
			continue
		case have == nil:
		case have.Addr == h.Addr && have.Started == h.Started && have.Build == h.Build:
			have.Host = h
			have.note(now)
			continue
		default: // Danger: a send meant for the earlier life would run another build, unseen by its cap
			have.replaced = true
			p.dropIdle(have)
		}
		fresh := &host{Host: h}
		fresh.note(now)
		p.hosts[h.ID] = fresh
	}
	if !full {
		return
	}
	for id, h := range p.hosts {
		if !named[id] {
			p.remove(h, now)
		}
	}
}

// note keeps since when a host wants nothing new.
func (h *host) note(now time.Time) {
	if h.State == logic.Ready {
		h.drained = time.Time{}
	} else if h.drained.IsZero() {
		h.drained = now
	}
}

// remove takes a host off the list; attempts that are out go on. Danger: its address may be another build's at any moment,
// and a send that was decided for it would run there, unseen by that one's cap; what has not left does not leave.
func (p *Pool) remove(h *host, now time.Time) {
	if h == nil {
		return
	}
	h.State, h.replaced = logic.Gone, true
	h.note(now)
	p.dropIdle(h)
	delete(p.hosts, h.ID)
}

// dropIdle closes a host's idle connections.
func (p *Pool) dropIdle(h *host) {
	for _, c := range h.idle {
		p.shut(c)
	}
	h.idle = nil
}

// shut closes a connection, once.
func (p *Pool) shut(c *conn) {
	if !c.shut {
		c.shut = true
		p.open--
		c.raw.Close()
	}
}

// discard closes a connection that is not among the idle ones.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut(c)
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server logic.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[server]; h != nil {
		p.dropIdle(h)
	}
}

// Recall voids sends to a build that were decided before now and have not left.
func (p *Pool) CancelUnsent(build logic.BuildID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.recalled, func(_ logic.BuildID, at time.Time) bool {
		return now.Sub(at) > p.limits.MaxWait // what was decided before has ended; builds follow one another for ever
	})
	p.recalled[build] = now
}

// leaves tells that a send may leave now, and notes it: what leaves is seen by all that come after it.
func (p *Pool) leaves(h *host, a gateway.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.late(h, a) {
		return false
	}
	p.forward(h, a)
	return true
}

// answered notes that a host has answered an attempt, be it that its answer broke off. Danger: what was decided for the
// key meanwhile, and is held by a dial, would leave for an earlier build.
func (p *Pool) answered(h *host, a gateway.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forward(h, a)
}

// forward notes that what was decided for an attempt's key before now may not leave for an earlier build; the lock is held.
func (p *Pool) forward(h *host, a gateway.Attempt) {
	if key := a.Exchange.Fields.Key; a.ForwardOnly && p.left[key].build <= h.Build {
		p.left[key] = left{h.Build, time.Now()}
	}
}

// late tells that a send must not leave any more; the lock is held. Danger: a dial, or a stall of the machine, may hold a
// send until a drain's grace has passed, a lower cap binds (that comes sooner than a dial takes), its servers no longer
// drop a repeat, or a later build may have answered its key; it is given up then, never sent late.
func (p *Pool) late(h *host, a gateway.Attempt) bool {
	now := time.Now()
	drained := !h.drained.IsZero() && now.After(h.drained.Add(p.limits.SendGrace))
	at, ok := p.recalled[h.Build]
	recalled := ok && a.DecidedAt.Before(at)
	if a.ForwardOnly { // what is decided later is the module's: the later build may go back by then
		newer := p.left[a.Exchange.Fields.Key]
		recalled = recalled || h.Build < newer.build && a.DecidedAt.Before(newer.at)
	}
	return h.replaced || drained || recalled || !a.SendBy.IsZero() && now.After(a.SendBy)
}

// listed is how the list has a host now. Danger: the list may change while an attempt is on its way.
func (p *Pool) listed(h *host) gateway.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.Host
}

// lookup finds a host.
func (p *Pool) lookup(server logic.ServerID) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[server]
}

// take gives the idle connection that was used last, or nil. One that has just brought an answer is left alone
// for a moment. Danger: what a host sends right behind an answer, a second copy or the connection's end, comes some
// milliseconds later; a request written meanwhile would take the one for its answer, or be lost with the other. It
// costs a connection more where one host is asked again at once; so where none is left, a shorter moment has to do.
func (p *Pool) take(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, settle := time.Now(), p.limits.ServerReuseDelay
	if p.open >= p.limits.ServerConns {
		settle = p.limits.MinServerReuseDelay
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if now.Sub(c.usedAt) < settle {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if !c.shut && now.Sub(c.usedAt) < p.limits.ServerIdleTimeout && c.silent() {
			return c
		}
		p.count.Inc("connections.found_closed")
		p.shut(c)
	}
	return nil
}

// give puts a connection among the idle ones, or closes it.
func (p *Pool) give(h *host, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.shut {
		return
	}
	c.usedAt = time.Now()
	if h.replaced || h.State == logic.Gone || p.ctx.Err() != nil || len(h.idle) >= p.limits.MaxIdlePerServer {
		p.shut(c)
		return
	}
	h.idle = append(h.idle, c)
}

// reserve takes a descriptor for a new connection. Danger: without descriptors left the node can't accept;
// the least recently used idle connection closes first, and where there is none the send is given up.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.limits.ServerConns {
		var oldest *host
		for _, h := range p.hosts {
			if len(h.idle) > 0 && (oldest == nil || h.idle[0].usedAt.Before(oldest.idle[0].usedAt)) {
				oldest = h
			}
		}
		if oldest == nil {
			return false
		}
		p.count.Inc("connections.evicted")
		p.shut(oldest.idle[0])
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
	}
	p.open++
	return true
}

// unreserve gives the descriptor of a connection that was never made back.
func (p *Pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// connect makes a new connection to a host.
func (p *Pool) connect(ctx context.Context, h *host) (*conn, error) {
	if !p.reserve() {
		p.count.Inc("connections.no_descriptor")
		return nil, errNoDescriptor
	}
	dialer := net.Dialer{Timeout: p.limits.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.listed(h).Addr)
	if err != nil {
		p.unreserve()
		p.count.Inc("connections.failed")
		return nil, err
	}
	p.count.Inc("connections.opened")
	return newConn(raw, limits{p.limits.MaxHead, p.limits.MaxAnswer, p.room, p.limits.AnswerReadTimeout}), nil
}

// retire closes idle connections before the machines' own limit does, and those that hosts have closed or said
// something on. Danger: a request that crosses the
// machine's close may have run, and one of an unsafe class could not be tried again.
func (p *Pool) retire() {
	tick := time.NewTicker(max(p.limits.ServerIdleTimeout/16, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		maps.DeleteFunc(p.left, func(_ uint64, l left) bool {
			return time.Since(l.at) > p.limits.MaxWait // what was decided before has ended
		})
		for _, h := range p.hosts {
			h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
				old := time.Since(c.usedAt) >= p.limits.ServerIdleTimeout
				if !old && c.silent() {
					return false
				}
				p.count.Inc(map[bool]string{true: "connections.retired", false: "connections.found_closed"}[old])
				p.shut(c)
				return true
			})
		}
		p.mu.Unlock()
	}
}
