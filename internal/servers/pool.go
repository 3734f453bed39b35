// Package servers is the router's upstream side. It keeps the pool of connections to the hosts and runs attempts and
// probes on them, as HTTP/1.1 written directly to a net.Conn. Each attempt is written at most once: this package never
// retries.
package servers

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/config"
	"merlinarch/internal/gateway"
	"merlinarch/internal/memory"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// host is one incarnation of a server that discovery lists: one address, start time and build.
type host struct {
	gateway.Host
	drainingSince time.Time // when it was first listed as draining or gone; zero: neither
	obsolete      bool      // replaced by another incarnation, or removed from the list
	idle          []*conn   // the most recently used last
}

// Pool holds the connections to all servers. Its methods are safe for concurrent use.
type Pool struct {
	// Gate checks every attempt, right before its bytes go out, against the agreed rules (the replicated configuration)
	// and this node's read lease on them. Nil means no check. It has to be set before the first attempt.
	Gate *accord.Gate

	// Memory limits the bodies of answers together with the requests of clients. It has to be set before the first attempt.
	Memory *memory.Budget

	limits   config.Limits
	counters *metrics.Registry
	dial     func(ctx context.Context, network, addr string) (net.Conn, error)
	ctx      context.Context
	stop     context.CancelFunc
	work     sync.WaitGroup

	mu          sync.Mutex
	hosts       map[logic.ServerID]*host
	open        int                         // connections that are open or being dialed
	cancelledAt map[logic.BuildID]time.Time // time of the last CancelUnsent, by build
	keyBuilds   map[uint64]keyBuild         // by key of a request, for attempts marked ForwardOnly
}

// keyBuild is the newest build to which an attempt for a key was sent, and when such an attempt was last sent or
// answered.
type keyBuild struct {
	build logic.BuildID
	at    time.Time
}

// New makes a pool and starts its background goroutine. Call Close to end the pool.
func New(limits config.Limits, counters *metrics.Registry) *Pool {
	ctx, stop := context.WithCancel(context.Background())
	dialer := net.Dialer{Timeout: limits.DialTimeout, KeepAlive: -1}
	p := &Pool{limits: limits, counters: counters, dial: dialer.DialContext, ctx: ctx, stop: stop, hosts: map[logic.ServerID]*host{},
		cancelledAt: map[logic.BuildID]time.Time{}, keyBuilds: map[uint64]keyBuild{},
		Memory: memory.NewBudget(limits.RequestMemory)}
	p.work.Go(p.expireLoop)
	return p
}

// Close cancels all attempts and probes, closes all idle connections, and waits until everything has ended.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	for _, h := range p.hosts {
		p.closeIdleConns(h)
	}
	p.mu.Unlock()
	p.work.Wait()
}

// UpdateServers applies discovery's list of hosts: the whole list if full is set, changes to it otherwise.
func (p *Pool) UpdateServers(full bool, hosts []gateway.Host) {
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
		default: // a send meant for the earlier incarnation would run on another build and not count towards its cap
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

// updateDraining keeps the time since which a host accepts nothing new.
func (h *host) updateDraining(now time.Time) {
	if h.State == logic.Ready {
		h.drainingSince = time.Time{}
	} else if h.drainingSince.IsZero() {
		h.drainingSince = now
	}
}

// remove takes a host off the list. Attempts that have been sent continue; those that have not are no longer sent,
// because the address may be taken over by another build at any moment and the request would run there without
// counting towards that build's cap.
func (p *Pool) remove(h *host, now time.Time) {
	if h == nil {
		return
	}
	h.State, h.obsolete = logic.Gone, true
	h.updateDraining(now)
	p.closeIdleConns(h)
	delete(p.hosts, h.ID)
}

// closeIdleConns closes a host's idle connections. The caller holds the lock.
func (p *Pool) closeIdleConns(h *host) {
	for _, c := range h.idle {
		p.closeConn(c)
	}
	h.idle = nil
}

// closeConn closes a connection unless that was done before. The caller holds the lock.
func (p *Pool) closeConn(c *conn) {
	if !c.closed {
		c.closed = true
		p.open--
		c.raw.Close()
	}
}

// discard closes a connection that is not in a list of idle connections.
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

// CancelUnsent voids all attempts at servers of a build that were decided before now and have not been sent yet.
func (p *Pool) CancelUnsent(build logic.BuildID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	maps.DeleteFunc(p.cancelledAt, func(_ logic.BuildID, at time.Time) bool {
		return now.Sub(at) > p.limits.MaxWait // attempts decided before then have ended, and new builds keep coming
	})
	p.cancelledAt[build] = now
}

// admitSend reports whether an attempt may be sent now. If so, it records the build for the attempt's key in the
// same critical section, so that every later check takes it into account.
func (p *Pool) admitSend(h *host, a gateway.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.tooLate(h, a) {
		return false
	}
	p.recordKeyBuild(h, a)
	return true
}

// recordAnswered records that a host has answered an attempt, even if the answer broke off. Without this, an attempt
// for the same key that was decided in the meantime and is held up by a dial could still be sent to an earlier build.
func (p *Pool) recordAnswered(h *host, a gateway.Attempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordKeyBuild(h, a)
}

// recordKeyBuild records that attempts for the same key that were decided before now must not be sent to an earlier
// build. The caller holds the lock.
func (p *Pool) recordKeyBuild(h *host, a gateway.Attempt) {
	if key := a.Exchange.Fields.Key; a.ForwardOnly && p.keyBuilds[key].build <= h.Build {
		p.keyBuilds[key] = keyBuild{h.Build, time.Now()}
	}
}

// tooLate reports whether an attempt must not be sent any more. The caller holds the lock. While a dial or a stall of the
// machine delays an attempt, its own time or the drain grace may pass (timers fire late after a stall), a lower cap may come
// into force, the servers' deduplication window may end, or a later build may answer the attempt's key. Such an attempt is given up and never sent late.
func (p *Pool) tooLate(h *host, a gateway.Attempt) bool {
	now := time.Now()
	drained := !h.drainingSince.IsZero() && now.After(h.drainingSince.Add(p.limits.SendGrace))
	at, ok := p.cancelledAt[h.Build]
	cancelled := ok && a.DecidedAt.Before(at)
	if a.ForwardOnly { // later decisions are not refused: the newer build may be rolling back by then, which the logic package knows
		newest := p.keyBuilds[a.Exchange.Fields.Key]
		cancelled = cancelled || h.Build < newest.build && a.DecidedAt.Before(newest.at)
	}
	return h.obsolete || drained || cancelled || isPast(a.Deadline, now) || isPast(a.SendBy, now)
}

// isPast reports whether a limit has passed; the zero time is no limit.
func isPast(limit, now time.Time) bool { return !limit.IsZero() && now.After(limit) }

// currentEntry returns a host's current entry in the list, which may change while an attempt is in progress.
func (p *Pool) currentEntry(h *host) gateway.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return h.Host
}

// lookup returns the listed host of a server, or nil.
func (p *Pool) lookup(server logic.ServerID) *host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[server]
}

// takeIdle removes and returns the most recently used idle connection of a host, or nil. A connection on which an
// answer has just arrived is not reused for ServerReuseDelay, because a duplicate of the answer or the end of the
// connection may follow some milliseconds later: a request written in between would take the duplicate for its answer,
// or be lost with the connection. The cost is an additional connection when a host gets the next request at once. While no
// descriptor is left for another connection, wait is the time after which an idle connection may be reused; zero: there is
// none.
func (p *Pool) takeIdle(h *host) (c *conn, wait time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	for i := len(h.idle) - 1; i >= 0; i-- {
		c := h.idle[i]
		if unsettled := p.limits.ServerReuseDelay - now.Sub(c.usedAt); unsettled > 0 {
			if p.open >= p.limits.ServerConns {
				wait = unsettled // the connections before this one were used earlier
			}
			continue
		}
		h.idle = slices.Delete(h.idle, i, i+1)
		if !c.closed && now.Sub(c.usedAt) < p.limits.ServerIdleTimeout && c.openAndEmpty() {
			return c, 0
		}
		p.counters.Inc("connections.found_closed")
		p.closeConn(c)
	}
	return nil, wait
}

// takeSettled is takeIdle, but waits for a connection that may soon be reused, if there is no descriptor for another one.
func (p *Pool) takeSettled(ctx context.Context, h *host) *conn {
	c, wait := p.takeIdle(h)
	if c != nil || wait == 0 {
		return c
	}
	p.counters.Inc("connections.waited_for")
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		c, _ = p.takeIdle(h)
		return c
	case <-ctx.Done():
		return nil
	}
}

// putIdle makes a connection idle, or closes it if the host is no longer listed, the pool is closing or the host has
// enough idle connections.
func (p *Pool) putIdle(h *host, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return
	}
	c.usedAt = time.Now()
	if h.obsolete || h.State == logic.Gone || p.ctx.Err() != nil || len(h.idle) >= p.limits.MaxIdlePerServer {
		p.closeConn(c)
		return
	}
	h.idle = append(h.idle, c)
}

// reserveDescriptor reserves a file descriptor for a new connection and reports whether there was one. The number is
// limited because a node without descriptors cannot accept connections either. At the limit, the least recently used
// idle connection is closed; if none is idle, the attempt is given up.
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

// releaseDescriptor returns the descriptor of a connection that could not be established.
func (p *Pool) releaseDescriptor() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
}

// connect opens a new connection to a host.
func (p *Pool) connect(ctx context.Context, h *host) (*conn, error) {
	if !p.reserveDescriptor() {
		p.counters.Inc("connections.no_descriptor")
		return nil, errNoDescriptor
	}
	raw, err := p.dial(ctx, "tcp", p.currentEntry(h).Addr)
	if err != nil {
		p.releaseDescriptor()
		if isLocalFailure(err) {
			p.counters.Inc("connections.failed_here")
			return nil, fmt.Errorf("%w: %w", errNotDialled, err)
		}
		p.counters.Inc("connections.failed")
		return nil, err
	}
	p.counters.Inc("connections.opened")
	return newConn(raw, responseLimits{p.limits.MaxHead, p.limits.MaxAnswer, p.Memory, p.limits.AnswerReadTimeout}), nil
}

// expireLoop closes idle connections before the hosts' own idle timeout does, and those that a host has closed or sent
// unrequested bytes on. Without this, a request could cross the host's close; it might have run, and one of an unsafe
// class could not be retried. The loop also drops old entries of keyBuilds.
func (p *Pool) expireLoop() {
	tick := time.NewTicker(max(p.limits.ServerIdleTimeout/16, 10*time.Millisecond))
	defer tick.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-tick.C:
		}
		p.mu.Lock()
		maps.DeleteFunc(p.keyBuilds, func(_ uint64, entry keyBuild) bool {
			return time.Since(entry.at) > p.limits.MaxWait // attempts decided before then have ended
		})
		for _, h := range p.hosts {
			h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
				expired := time.Since(c.usedAt) >= p.limits.ServerIdleTimeout
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
