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
	drainingSince time.Time // when it was first told to drain or be gone; zero: it is neither
	obsolete      bool      // another life or address has taken its place, or nothing has
	idle          []*conn   // the latest used last
}

// Pool holds the connections to all servers.
type Pool struct {
	Gate *accord.Gate // passed by every attempt right before its bytes go out; nil: none. To be set before the first one

	limits     config.Limits
	counters   *metrics.Registry
	ctx        context.Context
	stop       context.CancelFunc
	work       sync.WaitGroup
	bodyBudget *memoryBudget

	mu         sync.Mutex
	hosts      map[logic.ServerID]*host
	open       int // connections that stand or are being made
	recalledAt map[logic.BuildID]time.Time
	keyBuilds  map[uint64]keyBuild // by key, of attempts that are Forward
}

// left is the newest build to which an attempt for a key has left, and when it did or was answered.
type keyBuild struct {
	build logic.BuildID
	at    time.Time
}

// New makes a pool; Close ends all that it has begun.
func New(limits config.Limits, counters *metrics.Registry) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{limits: limits, counters: counters, ctx: ctx, stop: stop, hosts: map[logic.ServerID]*host{},
		recalledAt: map[logic.BuildID]time.Time{}, keyBuilds: map[uint64]keyBuild{}, bodyBudget: &memoryBudget{available: limits.AnswerRoom}}
	p.work.Go(p.expireLoop)
	return p
}

// Close ends all attempts and connections, and waits for them.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	for _, h := range p.hosts {
		p.closeIdleConns(h)
	}
	p.mu.Unlock()
	p.work.Wait()
}

// Listed takes discovery's list, or its changes.
func (p *Pool) Listed(full bool, hosts []gateway.Host) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	named := map[logic.ServerID]bool{}
	for _, h := range hosts {
		named[h.ID] = true
		known := p.hosts[h.ID]
		switch {
		case h.State == logic.Gone:
			p.remove(known, now)
			continue
		case known == nil:
		case known.Addr == h.Addr && known.Started == h.Started && known.Build == h.Build:
			known.Host = h
			known.updateDraining(now)
			continue
		default: // Danger: a send meant for the earlier life would run another build, unseen by its cap
			known.obsolete = true
			p.closeIdleConns(known)
		}
		fresh := &host{Host: h}
		fresh.updateDraining(now)
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
func (h *host) updateDraining(now time.Time) {
	if h.State == logic.Ready {
		h.drainingSince = time.Time{}
	} else if h.drainingSince.IsZero() {
		h.drainingSince = now
	}
}

// remove takes a host off the list; attempts that are out go on. Danger: its address may be another build's at any moment,
// and a send that was decided for it would run there, unseen by that one's cap; what has not left does not leave.
func (p *Pool) remove(h *host, now time.Time) {
	if h == nil {
		return
	}
	h.State, h.obsolete = logic.Gone, true
	h.updateDraining(now)
	p.closeIdleConns(h)
	delete(p.hosts, h.ID)
}

// dropIdle closes a host's idle connections.
func (p *Pool) closeIdleConns(h *host) {
	for _, c := range h.idle {
		p.closeConn(c)
	}
	h.idle = nil
}

// shut closes a connection, once.
func (p *Pool) closeConn(c *conn) {
	if !c.closed {
		c.closed = true
		p.open--
		c.raw.Close()
	}
}

// discard closes a connection that is not among the idle ones.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeConn(c)
}

// CloseIdle closes the idle connections to a server.
func (p *Pool) CloseIdle(server logic.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h := p.hosts[server]; h != nil {
		p.closeIdleConns(h)
	}
}

// Recall voids sends to a build that were decided before now and have not left.
func (p *Pool) Recall(build logic.BuildID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.recalledAt, func(_ logic.BuildID, at time.Time) bool {
		return now.Sub(at) > p.limits.MaxWait // what was decided before has ended; builds follow one another for ever
	})
	p.recalledAt[build] = now
}

// leaves tells that a send may leave now, and notes it: what leaves is seen by all that come after it.
func (p *Pool) admitSend(h *host, a gateway.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tooLate(h, a) {
		return false
	}
	p.recordKeyBuild(h, a)
	return true
}

// answered notes that a host has answered an attempt, be it that its answer broke off. Danger: what was decided for the
// key meanwhile, and is held by a dial, would leave for an earlier build.
func (p *Pool) recordAnswered(h *host, a gateway.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordKeyBuild(h, a)
}

// forward notes that what was decided for an attempt's key before now may not leave for an earlier build; the lock is held.
func (p *Pool) recordKeyBuild(h *host, a gateway.Attempt) {
	if key := a.Exchange.Fields.Key; a.Forward && p.keyBuilds[key].build <= h.Build {
		p.keyBuilds[key] = keyBuild{h.Build, time.Now()}
	}
}

// late tells that a send must not leave any more; the lock is held. Danger: a dial, or a stall of the machine, may hold a
// send until a drain's grace has passed, a lower cap binds (that comes sooner than a dial takes), its servers no longer
// drop a repeat, or a later build may have answered its key; it is given up then, never sent late.
func (p *Pool) tooLate(h *host, a gateway.Attempt) bool {
	now := time.Now()
	drained := !h.drainingSince.IsZero() && now.After(h.drainingSince.Add(p.limits.SendGrace))
	at, ok := p.recalledAt[h.Build]
	recalled := ok && a.Decided.Before(at)
	if a.Forward { // what is decided later is the module's: the later build may go back by then
		newest := p.keyBuilds[a.Exchange.Fields.Key]
		recalled = recalled || h.Build < newest.build && a.Decided.Before(newest.at)
	}
	return h.obsolete || drained || recalled || !a.LeaveBy.IsZero() && now.After(a.LeaveBy)
}

// listed is how the list has a host now. Danger: the list may change while an attempt is on its way.
func (p *Pool) currentEntry(h *host) gateway.Host {
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
func (p *Pool) takeIdle(h *host) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, settle := time.Now(), p.limits.ServerSettle
	if p.open >= p.limits.ServerConns {
		settle = p.limits.SettleLeast
	}
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if now.Sub(c.usedAt) < settle {
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if !c.closed && now.Sub(c.usedAt) < p.limits.ServerIdle && c.openAndEmpty() {
			return c
		}
		p.counters.Inc("connections.found_closed")
		p.closeConn(c)
	}
	return nil
}

// give puts a connection among the idle ones, or closes it.
func (p *Pool) putIdle(h *host, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.usedAt = time.Now()
	if h.obsolete || h.State == logic.Gone || p.ctx.Err() != nil || len(h.idle) >= p.limits.MaxPerServer {
		p.closeConn(c)
		return
	}
	h.idle = append(h.idle, c)
}

// reserve takes a descriptor for a new connection. Danger: without descriptors left the node can't accept;
// the least recently used idle connection closes first, and where there is none the send is given up.
func (p *Pool) reserveDescriptor() bool {
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
		p.counters.Inc("connections.evicted")
		p.closeConn(oldest.idle[0])
		oldest.idle = slices.Delete(oldest.idle, 0, 1)
	}
	p.open++
	return true
}

// unreserve gives the descriptor of a connection that was never made back.
func (p *Pool) releaseDescriptor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// connect makes a new connection to a host.
func (p *Pool) connect(ctx context.Context, h *host) (*conn, error) {
	if !p.reserveDescriptor() {
		p.counters.Inc("connections.no_descriptor")
		return nil, errNoDescriptor
	}
	dialer := net.Dialer{Timeout: p.limits.DialTimeout, KeepAlive: -1}
	raw, err := dialer.DialContext(ctx, "tcp", p.currentEntry(h).Addr)
	if err != nil {
		p.releaseDescriptor()
		p.counters.Inc("connections.failed")
		return nil, err
	}
	p.counters.Inc("connections.opened")
	return newConn(raw, responseLimits{p.limits.MaxHead, p.limits.MaxAnswer, p.bodyBudget, p.limits.AnswerWhole}), nil
}

// retire closes idle connections before the machines' own limit does, and those that hosts have closed or said
// something on. Danger: a request that crosses the
// machine's close may have run, and one of an unsafe class could not be tried again.
func (p *Pool) expireLoop() {
	tick := time.NewTicker(max(p.limits.ServerIdle/16, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		maps.DeleteFunc(p.keyBuilds, func(_ uint64, entry keyBuild) bool {
			return time.Since(entry.at) > p.limits.MaxWait // what was decided before has ended
		})
		for _, h := range p.hosts {
			h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
				expired := time.Since(c.usedAt) >= p.limits.ServerIdle
				if !expired && c.openAndEmpty() {
					return false
				}
				p.counters.Inc(map[bool]string{true: "connections.retired", false: "connections.found_closed"}[expired])
				p.closeConn(c)
				return true
			})
		}
		p.mu.Unlock()
	}
}
