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
type connTable struct {
	limits   config.Limits
	counters *metrics.Registry

	mu              sync.Mutex
	total           int
	pendingCloses   int        // answers that close their connections, as new ones wait for room
	evictingCount   int        // of those present, the ones that were told to end
	awaitingHead    *list.List // of *conn, those that have brought no whole head yet, the oldest first
	idle            *list.List // of *conn, the longest idle first
	descriptorFreed chan struct{}
}

func newConnTable(limits config.Limits, counters *metrics.Registry) *connTable {
	return &connTable{limits: limits, counters: counters, awaitingHead: list.New(), idle: list.New(), descriptorFreed: make(chan struct{}, 1)}
}

// conn is a connection from a client.
type conn struct {
	net.Conn
	table *connTable

	writeDeadline time.Time // the write deadline; touched by the reader alone
	hadRequest    bool      // a request has come; touched by its handlers alone

	// Guarded by all.mu.
	listElement *list.Element // in one of the lists
	inIdleList  bool          // in that of the idle ones: nothing has been read since its last answer
	listedSince time.Time     // when it came there
	closed      bool
	evicting    bool          // to be closed between requests
	hasReceived bool          // something has come on it
	answering   bool          // a head was read, and its answer is not written
	hangup      chan struct{} // of the request that is being answered: closed once its client has gone unseen by net/http
}

// Read takes a connection from among the idle ones before net/http sees a byte of its next request, and
// ends one that is to be closed, or has said nothing for too long, only if no byte of a request has come. Danger:
// net/http tells that it is busy only after the head was read; closed in between, a request that was taken
// would be lost.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		c.extendWriteDeadline()
		c.table.mu.Lock()
		betweenRequests := c.evicting || c.inIdleList || !c.hasReceived
		c.setEvicting(false)
		c.hasReceived = c.hasReceived || n > 0
		if n == 1 && len(b) == 1 && c.answering {
			c.pollForHangup()
		}
		timedOut := betweenRequests && n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && sockstat.OpenAndEmpty(c.Conn) {
			c.table.mu.Unlock()
			c.table.counters.Inc("clients.ended_idle")
			return 0, io.EOF
		}
		if c.inIdleList {
			c.table.removeFromList(c)
		}
		c.table.mu.Unlock()
		if !timedOut {
			return n, err
		}
		// Danger: with no time-out left, what comes now could stall for ever.
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.table.limits.RequestReadTimeout)); err != nil {
			return n, err
		}
	}
}

// watch looks for the client's leaving while its request is answered; the lock is held. Danger: net/http reads one byte
// behind a request, to see the connection end, and no more until the answer is out; where that byte was there (of a
// next request, or a line break too many), it never sees the end, and the request would be sent on for nobody.
func (c *conn) pollForHangup() {
	hangup, interval := c.hangup, max(c.table.limits.HangupPollInterval, time.Millisecond)
	var poll func()
	poll = func() {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		switch {
		case c.closed || c.hangup != hangup: // answered
		case sockstat.PeerClosed(c.Conn):
			close(hangup)
			c.hangup = nil
		default:
			time.AfterFunc(interval, poll)
		}
	}
	time.AfterFunc(interval, poll)
}

// leaving gives the channel that is closed if the client of the request that is being answered goes unseen by net/http.
func (c *conn) hangupSignal() <-chan struct{} {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.hangup
}

// SetReadDeadline sets net/http's deadlines, but not on a connection that was just told to end. Danger: it would
// count as ending and stay for as long as it likes, and none other would make room.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.evicting {
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
	c.table.mu.Lock()
	alreadyClosed, afterAnswer := c.closed, c.answering
	c.closed, c.answering = true, false
	if !alreadyClosed {
		c.table.removeFromList(c)
		c.setEvicting(false)
	}
	c.table.mu.Unlock()
	if alreadyClosed {
		return net.ErrClosed
	}
	if afterAnswer && c.table.limits.Linger > 0 && c.CloseWrite() == nil {
		go func() {
			defer c.closeDescriptor()
			if c.Conn.SetReadDeadline(time.Now().Add(c.table.limits.Linger)) == nil {
				io.Copy(io.Discard, io.LimitReader(c.Conn, c.table.limits.LingerBytes)) // its end, or the bounds
			}
		}()
		return nil
	}
	return c.closeDescriptor()
}

// release frees the descriptor.
func (c *conn) closeDescriptor() error {
	err := c.Conn.Close()
	c.table.mu.Lock()
	c.table.total--
	c.table.mu.Unlock()
	select {
	case c.table.descriptorFreed <- struct{}{}:
	default:
	}
	return err
}

// allowWrites gives answers their time. Danger: a client that doesn't read would hold a connection and memory
// for ever; what stalls for some times the longest wait is cut off, and never sooner. Set anew only as needed,
// since it costs as much as a read.
func (c *conn) extendWriteDeadline() {
	timeout := c.table.limits.WriteStallTimeout
	if now := time.Now(); c.writeDeadline.Before(now.Add(timeout / 2)) {
		c.writeDeadline = now.Add(timeout)
		if c.Conn.SetWriteDeadline(c.writeDeadline) != nil {
			c.table.counters.Inc("clients.no_deadline") // it has closed
		}
	}
}

// first tells once that this is the connection's first request.
func (c *conn) markFirstRequest() bool {
	hadRequest := c.hadRequest
	c.hadRequest = true
	return !hadRequest
}

// CloseWrite lets net/http end an answer to a request that it could not read, without cutting it off.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// end notes whether the connection is told to end; the lock is held.
func (c *conn) setEvicting(evicting bool) {
	if c.evicting != evicting {
		c.evicting = evicting
		c.table.evictingCount += map[bool]int{true: 1, false: -1}[evicting]
	}
}

// join puts a connection into a list; the lock is held.
func (a *connTable) addToList(c *conn, to *list.List) {
	if !c.closed && c.listElement == nil {
		c.listElement, c.inIdleList, c.listedSince = to.PushBack(c), to == a.idle, time.Now()
	}
}

// leave takes a connection from its list; the lock is held.
func (a *connTable) removeFromList(c *conn) {
	if c.listElement == nil {
		return
	}
	if c.inIdleList {
		a.idle.Remove(c.listElement)
	} else {
		a.awaitingHead.Remove(c.listElement)
	}
	c.listElement, c.inIdleList = nil, false
}

// state takes a connection from among the fresh ones once a head was read, and puts it among the idle ones
// once its answer is written.
func (a *connTable) onStateChange(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || to != http.StateIdle && to != http.StateActive {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.answering = to == http.StateActive; c.answering {
		a.removeFromList(c)
		c.hangup = make(chan struct{})
	} else {
		c.hangup = nil
		a.addToList(c, a.idle)
	}
}

// evict makes room where it is short. It ends the oldest connection that has said nothing, or not enough, for a
// while, and else the one that has been idle longest, if that is for a while: its client may see it close between
// requests, and one that it used a moment ago may well have its next request under way. Danger: on a busy
// machine it takes time to end, and ending another meanwhile would close many that clients still want. Danger:
// silent connections, taken by hundreds, would push out those that serve. It hurts a client whose first head
// takes longer than FreshLeast to come while room is short.
func (a *connTable) evictForRoom() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.total-a.evictingCount <= a.limits.ClientConns-a.limits.SpareClientConns {
		return false
	}
	return a.evictOldest(a.awaitingHead, a.limits.EvictSilentAfter) || a.evictOldest(a.idle, a.limits.EvictIdleAfter)
}

// endOldest ends the oldest connection of a list that has been there for so long; the lock is held.
func (a *connTable) evictOldest(l *list.List, minAge time.Duration) bool {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*conn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		a.removeFromList(c)
		if !sockstat.OpenAndEmpty(c.Conn) { // its next request waits to be read, or its client has closed it
			continue
		}
		c.setEvicting(true)
		if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil { // its reader wakes and ends it
			continue
		}
		a.counters.Inc("clients.evicted")
		return true
	}
	return false
}

// endSilent ends the connections that have stood idle for a while, and those that have brought nothing for longer, if
// nothing has come on them, and tells how many are left. Danger: one that was used a moment ago may well have its next
// request under way; that one's answer ends it.
func (a *connTable) evictInactive() (remaining int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.evictOldest(a.idle, a.limits.EvictIdleAfter) {
	}
	for a.evictOldest(a.awaitingHead, a.limits.EvictSilentAfter) {
	}
	return a.total
}

// starved tells that an answer is to close its connection: more stand than the node wants and none is idle, or a
// new one has waited for room. Danger: on a busy machine those that stand idle have requests waiting already and
// can't make room; served for ever, they would keep new ones in the backlog until their time is over. Danger:
// each costs its client a new connection, which is dearer than the request; so a few for each moment.
func (a *connTable) mustCloseAfterAnswer() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pendingCloses > 0 {
		a.pendingCloses--
		return true
	}
	return a.total > a.limits.ClientConns-a.limits.SpareClientConns && a.idle.Len() == 0
}

// full tells that there is no descriptor for another.
func (a *connTable) isFull() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.total >= a.limits.ClientConns
}

// listener accepts whatever comes.
type listener struct {
	net.Listener
	conns       *connTable
	acceptUntil atomic.Pointer[time.Time] // set: what stands in the backlog is taken, and nothing after this
}

// errDrained ends accepting.
var errDrained = errors.New("nothing more is accepted")

// finish ends accepting once the backlog is empty, or in d at the latest. Danger: what stands there was taken by the
// machine, and would be reset with all that its clients have sent.
func (l *listener) stopAccepting(timeout time.Duration) {
	until := time.Now().Add(timeout)
	l.acceptUntil.Store(&until)
	l.setAcceptDeadline(time.Now().Add(l.conns.limits.BacklogQuietTime))
}

// wakeBy has Accept return by a time.
func (l *listener) setAcceptDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(t) != nil {
		l.Listener.Close()
	}
}

// over tells that nothing more is to be accepted, though something may come.
func (l *listener) isPastAcceptUntil() bool {
	until := l.acceptUntil.Load()
	return until != nil && time.Now().After(*until)
}

// Accept takes the next connection. Danger: with no descriptor left nothing can be accepted nor sent, and
// what stands in the backlog is taken all the same. So it waits, for moments, until an answer has closed a
// connection or one that stands idle can be closed; requests that are held are few enough for that.
func (l *listener) Accept() (net.Conn, error) {
	for l.conns.isFull() && !l.isPastAcceptUntil() {
		l.conns.counters.Inc("clients.accept_waits")
		l.conns.evictForRoom()
		l.conns.setPendingCloses(l.conns.limits.ClosesPerAcceptWait)
		l.conns.waitForClose()
	}
	l.conns.setPendingCloses(0)
	for !l.isPastAcceptUntil() {
		if l.acceptUntil.Load() != nil {
			l.setAcceptDeadline(time.Now().Add(l.conns.limits.BacklogQuietTime))
		}
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.conns.counters.Inc("clients.connections")
			c := &conn{Conn: nc, table: l.conns}
			l.conns.mu.Lock()
			l.conns.total++
			l.conns.addToList(c, l.conns.awaitingHead)
			l.conns.mu.Unlock()
			l.conns.evictForRoom()
			return c, nil
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS),
			errors.Is(err, syscall.ENOMEM): // net/http would pause for up to a second
			l.conns.counters.Inc("clients.accept_short")
			l.conns.evictForRoom()
			l.conns.waitForClose()
		case l.acceptUntil.Load() != nil:
			return nil, errDrained
		default:
			return nil, err
		}
	}
	return nil, errDrained
}

// owe notes how many of the next answers owe their connections to new ones.
func (a *connTable) setPendingCloses(answers int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.pendingCloses = answers
}

// pause waits a moment, or until a connection has closed.
func (a *connTable) waitForClose() {
	t := time.NewTimer(2 * time.Millisecond)
	defer t.Stop()
	select {
	case <-a.descriptorFreed:
	case <-t.C:
	}
}
