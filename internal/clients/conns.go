package clients

import (
	"container/list"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
)

// conns keeps count of the connections from clients, the idle ones in the order in which they became so.
type conns struct {
	limits config.Limits
	count  *metrics.Registry

	mu      sync.Mutex
	present int
	owed    int        // answers that close their connections, as new ones wait for room
	ending  int        // of those present, the ones that were told to end
	fresh   *list.List // of *conn, those that have brought no whole head yet, the oldest first
	idle    *list.List // of *conn, the longest idle first
	freed   chan struct{}
}

func newConns(limits config.Limits, count *metrics.Registry) *conns {
	return &conns{limits: limits, count: count, fresh: list.New(), idle: list.New(), freed: make(chan struct{}, 1)}
}

// conn is a connection from a client.
type conn struct {
	net.Conn
	all *conns

	writeBy time.Time // the write deadline; touched by the reader alone
	asked   bool      // a request has come; touched by its handlers alone

	// Guarded by all.mu.
	waits  *list.Element // in one of the lists
	idle   bool          // in that of the idle ones: nothing has been read since its last answer
	since  time.Time     // when it came there
	closed bool
	ending bool          // to be closed between requests
	heard  bool          // something has come on it
	busy   bool          // a head was read, and its answer is not written
	left   chan struct{} // of the request that is being answered: closed once its client has gone unseen by net/http
}

// Read takes a connection from among the idle ones before net/http sees a byte of its next request, and
// ends one that is to be closed, or has said nothing for too long, only if no byte of a request has come. Danger:
// net/http tells that it is busy only after the head was read; closed in between, a request that was taken
// would be lost.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.allowWrites()
		c.all.mu.Lock()
		between := c.ending || c.idle || !c.heard
		c.end(false)
		c.heard = c.heard || n > 0
		if n == 1 && len(b) == 1 && c.busy {
			c.watch()
		}
		over := between && n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if over && sockstat.OpenAndEmpty(c.Conn) {
			c.all.mu.Unlock()
			c.all.count.Inc("clients.ended_idle")
			return 0, io.EOF
		}
		if c.idle {
			c.all.leave(c)
		}
		c.all.mu.Unlock()
		if !over {
			return n, err
		}
		// Danger: with no time-out left, what comes now could stall for ever.
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.all.limits.RequestReadTimeout)); err != nil {
			return n, err
		}
	}
}

// watch looks for the client's leaving while its request is answered; the lock is held. Danger: net/http reads one byte
// behind a request, to see the connection end, and no more until the answer is out; where that byte was there (of a
// next request, or a line break too many), it never sees the end, and the request would be sent on for nobody.
func (c *conn) watch() {
	left, every := c.left, max(c.all.limits.HangupPollInterval, time.Millisecond)
	var look func()
	look = func() {
		c.all.mu.Lock()
		defer c.all.mu.Unlock()
		switch {
		case c.closed || c.left != left: // answered
		case sockstat.PeerClosed(c.Conn):
			close(left)
			c.left = nil
		default:
			time.AfterFunc(every, look)
		}
	}
	time.AfterFunc(every, look)
}

// leaving gives the channel that is closed if the client of the request that is being answered goes unseen by net/http.
func (c *conn) leaving() <-chan struct{} {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	return c.left
}

// SetReadDeadline sets net/http's deadlines, but not on a connection that was just told to end. Danger: it would
// count as ending and stay for as long as it likes, and none other would make room.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.all.mu.Lock()
	defer c.all.mu.Unlock()
	if c.ending {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline leaves the deadline to allowWrites. Danger: net/http takes it away after each answer.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close ends it; once its descriptor is free it is counted off. Danger: a connection that closes with bytes unread, or
// on which some come later, is reset, and with that goes what the client has not read of its last answer. So behind an
// answer the sending side alone closes first, and what still comes is read, within bounds, until the client closes too.
func (c *conn) Close() error {
	c.all.mu.Lock()
	again, behind := c.closed, c.busy
	c.closed, c.busy = true, false
	if !again {
		c.all.leave(c)
		c.end(false)
	}
	c.all.mu.Unlock()
	if again {
		return net.ErrClosed
	}
	if behind && c.all.limits.Linger > 0 && c.CloseWrite() == nil {
		go func() {
			defer c.release()
			if c.Conn.SetReadDeadline(time.Now().Add(c.all.limits.Linger)) == nil {
				io.Copy(io.Discard, io.LimitReader(c.Conn, c.all.limits.LingerBytes)) // its end, or the bounds
			}
		}()
		return nil
	}
	return c.release()
}

// release frees the descriptor.
func (c *conn) release() error {
	err := c.Conn.Close()
	c.all.mu.Lock()
	c.all.present--
	c.all.mu.Unlock()
	select {
	case c.all.freed <- struct{}{}:
	default:
	}
	return err
}

// allowWrites gives answers their time. Danger: a client that doesn't read would hold a connection and memory
// for ever; what stalls for some times the longest wait is cut off, and never sooner. Set anew only as needed,
// since it costs as much as a read.
func (c *conn) allowWrites() {
	stall := c.all.limits.WriteStallTimeout
	if now := time.Now(); c.writeBy.Before(now.Add(stall / 2)) {
		c.writeBy = now.Add(stall)
		if c.Conn.SetWriteDeadline(c.writeBy) != nil {
			c.all.count.Inc("clients.no_deadline") // it has closed
		}
	}
}

// first tells once that this is the connection's first request.
func (c *conn) first() bool {
	had := c.asked
	c.asked = true
	return !had
}

// CloseWrite lets net/http end an answer to a request that it could not read, without cutting it off.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// end notes whether the connection is told to end; the lock is held.
func (c *conn) end(ending bool) {
	if c.ending != ending {
		c.ending = ending
		c.all.ending += map[bool]int{true: 1, false: -1}[ending]
	}
}

// join puts a connection into a list; the lock is held.
func (a *conns) join(c *conn, to *list.List) {
	if !c.closed && c.waits == nil {
		c.waits, c.idle, c.since = to.PushBack(c), to == a.idle, time.Now()
	}
}

// leave takes a connection from its list; the lock is held.
func (a *conns) leave(c *conn) {
	if c.waits == nil {
		return
	}
	if c.idle {
		a.idle.Remove(c.waits)
	} else {
		a.fresh.Remove(c.waits)
	}
	c.waits, c.idle = nil, false
}

// state takes a connection from among the fresh ones once a head was read, and puts it among the idle ones
// once its answer is written.
func (a *conns) state(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || to != http.StateIdle && to != http.StateActive {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.busy = to == http.StateActive; c.busy {
		a.leave(c)
		c.left = make(chan struct{})
	} else {
		c.left = nil
		a.join(c, a.idle)
	}
}

// evict makes room where it is short. It ends the oldest connection that has said nothing, or not enough, for a
// while, and else the one that has been idle longest, if that is for a while: its client may see it close between
// requests, and one that it used a moment ago may well have its next request under way. Danger: on a busy
// machine it takes time to end, and ending another meanwhile would close many that clients still want. Danger:
// silent connections, taken by hundreds, would push out those that serve. It hurts a client whose first head
// takes longer than FreshLeast to come while room is short.
func (a *conns) evict() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.present-a.ending <= a.limits.ClientConns-a.limits.SpareClientConns {
		return false
	}
	return a.endOldest(a.fresh, a.limits.EvictSilentAfter) || a.endOldest(a.idle, a.limits.EvictIdleAfter)
}

// endOldest ends the oldest connection of a list that has been there for so long; the lock is held.
func (a *conns) endOldest(l *list.List, least time.Duration) bool {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*conn)
		if time.Since(c.since) < least {
			return false
		}
		a.leave(c)
		if !sockstat.OpenAndEmpty(c.Conn) { // its next request waits to be read, or its client has closed it
			continue
		}
		c.end(true)
		if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil { // its reader wakes and ends it
			continue
		}
		a.count.Inc("clients.evicted")
		return true
	}
	return false
}

// endSilent ends the connections that have stood idle for a while, and those that have brought nothing for longer, if
// nothing has come on them, and tells how many are left. Danger: one that was used a moment ago may well have its next
// request under way; that one's answer ends it.
func (a *conns) endSilent() (left int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.endOldest(a.idle, a.limits.EvictIdleAfter) {
	}
	for a.endOldest(a.fresh, a.limits.EvictSilentAfter) {
	}
	return a.present
}

// starved tells that an answer is to close its connection: more stand than the node wants and none is idle, or a
// new one has waited for room. Danger: on a busy machine those that stand idle have requests waiting already and
// can't make room; served for ever, they would keep new ones in the backlog until their time is over. Danger:
// each costs its client a new connection, which is dearer than the request; so a few for each moment.
func (a *conns) starved() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.owed > 0 {
		a.owed--
		return true
	}
	return a.present > a.limits.ClientConns-a.limits.SpareClientConns && a.idle.Len() == 0
}

// full tells that there is no descriptor for another.
func (a *conns) full() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.present >= a.limits.ClientConns
}

// listener accepts whatever comes.
type listener struct {
	net.Listener
	conns *conns
	until atomic.Pointer[time.Time] // set: what stands in the backlog is taken, and nothing after this
}

// errDrained ends accepting.
var errDrained = errors.New("nothing more is accepted")

// finish ends accepting once the backlog is empty, or in d at the latest. Danger: what stands there was taken by the
// machine, and would be reset with all that its clients have sent.
func (l *listener) finish(d time.Duration) {
	until := time.Now().Add(d)
	l.until.Store(&until)
	l.wakeBy(time.Now().Add(l.conns.limits.BacklogQuietTime))
}

// wakeBy has Accept return by a time.
func (l *listener) wakeBy(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(t) != nil {
		l.Listener.Close()
	}
}

// over tells that nothing more is to be accepted, though something may come.
func (l *listener) over() bool {
	until := l.until.Load()
	return until != nil && time.Now().After(*until)
}

// Accept takes the next connection. Danger: with no descriptor left nothing can be accepted nor sent, and
// what stands in the backlog is taken all the same. So it waits, for moments, until an answer has closed a
// connection or one that stands idle can be closed; requests that are held are few enough for that.
func (l *listener) Accept() (net.Conn, error) {
	for l.conns.full() && !l.over() {
		l.conns.count.Inc("clients.accept_waits")
		l.conns.evict()
		l.conns.owe(l.conns.limits.ClosesPerAcceptWait)
		l.conns.pause()
	}
	l.conns.owe(0)
	for !l.over() {
		if l.until.Load() != nil {
			l.wakeBy(time.Now().Add(l.conns.limits.BacklogQuietTime))
		}
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.conns.count.Inc("clients.connections")
			c := &conn{Conn: nc, all: l.conns}
			l.conns.mu.Lock()
			l.conns.present++
			l.conns.join(c, l.conns.fresh)
			l.conns.mu.Unlock()
			l.conns.evict()
			return c, nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
			errors.Is(err, syscall.ENOMEM): // net/http would pause for up to a second
			l.conns.count.Inc("clients.accept_short")
			l.conns.evict()
			l.conns.pause()
		case l.until.Load() != nil:
			return nil, errDrained
		default:
			return nil, err
		}
	}
	return nil, errDrained
}

// owe notes how many of the next answers owe their connections to new ones.
func (a *conns) owe(owed int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owed = owed
}

// pause waits a moment, or until a connection has closed.
func (a *conns) pause() {
	t := time.NewTimer(2 * time.Millisecond)
	defer t.Stop()
	select {
	case <-a.freed:
	case <-t.C:
	}
}
