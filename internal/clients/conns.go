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

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
)

// connTable tracks the open connections from clients, so that the oldest inactive ones can be evicted when
// descriptors run short.
type connTable struct {
	limits   config.Limits
	counters *metrics.Registry
	shortage shortageLog

	mu              sync.Mutex
	total           int           // connections whose descriptor is not yet closed
	pendingCloses   int           // how many of the next answers close their connections, because a new one waits for a descriptor
	evictingCount   int           // connections marked for eviction that have not closed yet; part of total
	awaitingHead    *list.List    // of *conn: no whole request head has been read yet; oldest first
	idle            *list.List    // of *conn: the last answer is written and nothing was read since; longest idle first
	descriptorFreed chan struct{} // receives a value when a descriptor is closed
}

// newConnTable returns an empty table.
func newConnTable(limits config.Limits, counters *metrics.Registry, log *zap.Logger) *connTable {
	return &connTable{limits: limits, counters: counters, shortage: shortageLog{log: log}, awaitingHead: list.New(), idle: list.New(), descriptorFreed: make(chan struct{}, 1)}
}

// conn is a connection from a client. It controls net/http's deadlines and the order in which the connection closes.
type conn struct {
	net.Conn
	table *connTable

	writeDeadline time.Time // the current write deadline; accessed only by Read
	hadRequest    bool      // a request has been received; accessed only by the connection's handlers

	// The fields below are guarded by table.mu.
	listElement *list.Element // the position in one of the table's lists; nil: in none
	inIdleList  bool          // the list is table.idle: nothing has been read since the last answer
	listedSince time.Time     // when it was added to the list
	closed      bool
	evicting    bool          // to be closed unless bytes of a request have arrived
	hasReceived bool          // at least one byte has been read
	answering   bool          // a request head has been read and its answer is not yet written
	hangup      chan struct{} // for the request being answered: closed when its client hangs up and net/http cannot detect it
}

// Read removes a connection from the idle list before net/http sees a byte of its next request. It ends a connection
// that is marked for eviction or has been silent for too long only if no byte of a request has arrived. net/http
// reports a connection as active only after it has read the head, so a connection closed before that could lose a
// request that had already been received.
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
		// The deadline has passed and bytes have arrived: without a new deadline, the rest of this request could stall
		// forever.
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.table.limits.RequestReadTimeout)); err != nil {
			return n, err
		}
	}
}

// pollForHangup polls for the client's hangup while its request is being answered. The caller holds the table's lock.
// net/http reads one byte after a request to detect the end of the connection, and reads no more until the answer is
// written. If that byte exists (from a next request or an extra line break), net/http never sees the end, and the
// request would be forwarded although no client waits for it.
func (c *conn) pollForHangup() {
	hangup, interval := c.hangup, max(c.table.limits.HangupPollInterval, time.Millisecond)
	var poll func()
	poll = func() {
		c.table.mu.Lock()
		defer c.table.mu.Unlock()
		switch {
		case c.closed || c.hangup != hangup: // the request has been answered
		case sockstat.PeerClosed(c.Conn):
			close(hangup)
			c.hangup = nil
		default:
			time.AfterFunc(interval, poll)
		}
	}
	time.AfterFunc(interval, poll)
}

// hangupSignal returns the channel that is closed if the client of the current request hangs up and net/http cannot
// detect it.
func (c *conn) hangupSignal() <-chan struct{} {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.hangup
}

// SetReadDeadline sets net/http's deadlines, except on a connection that is marked for eviction. Otherwise net/http
// could replace the deadline that wakes its reader: the connection would count as being evicted but stay open, and no
// other would be evicted in its place.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.evicting {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing: extendWriteDeadline controls the write deadline, which net/http would clear after each
// answer.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection; it stays in the table's total until its descriptor is closed. A connection that is closed
// with unread bytes, or that receives bytes afterwards, is reset, and the client loses what it has not yet read of its
// last answer. So after an answer only the sending side is closed at first, and incoming bytes are discarded, within
// limits of time and size, until the client closes too.
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
				io.Copy(io.Discard, io.LimitReader(c.Conn, c.table.limits.LingerBytes)) // until the client closes or a limit is reached
			}
		}()
		return nil
	}
	return c.closeDescriptor()
}

// closeDescriptor closes the descriptor, takes the connection off the table's total and wakes waitForClose.
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

// extendWriteDeadline gives answers time to be written. Without a write deadline, a client that does not read would hold
// a connection and memory forever. An answer is cut off only after it has stalled for several times the longest client
// wait. The deadline is set again only when less than half of it remains, since setting it costs as much as a read.
func (c *conn) extendWriteDeadline() {
	timeout := c.table.limits.WriteStallTimeout
	if now := time.Now(); c.writeDeadline.Before(now.Add(timeout / 2)) {
		c.writeDeadline = now.Add(timeout)
		if c.Conn.SetWriteDeadline(c.writeDeadline) != nil {
			c.table.counters.Inc("clients.no_deadline") // the connection has already closed
		}
	}
}

// markFirstRequest records that a request has been received, and reports whether it is the connection's first.
func (c *conn) markFirstRequest() bool {
	hadRequest := c.hadRequest
	c.hadRequest = true
	return !hadRequest
}

// CloseWrite closes the sending side. net/http uses it to finish an answer to a request that it could not read, without
// cutting the answer off.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return nil
}

// setEvicting marks or unmarks the connection for eviction. The caller holds the table's lock.
func (c *conn) setEvicting(evicting bool) {
	if c.evicting != evicting {
		c.evicting = evicting
		c.table.evictingCount += map[bool]int{true: 1, false: -1}[evicting]
	}
}

// addToList appends an open connection that is in no list to the given one. The caller holds the lock.
func (t *connTable) addToList(c *conn, to *list.List) {
	if !c.closed && c.listElement == nil {
		c.listElement, c.inIdleList, c.listedSince = to.PushBack(c), to == t.idle, time.Now()
	}
}

// removeFromList removes a connection from its list, if it is in one. The caller holds the lock.
func (t *connTable) removeFromList(c *conn) {
	if c.listElement == nil {
		return
	}
	if c.inIdleList {
		t.idle.Remove(c.listElement)
	} else {
		t.awaitingHead.Remove(c.listElement)
	}
	c.listElement, c.inIdleList = nil, false
}

// onStateChange is net/http's ConnState hook. It removes a connection from its list once a request head has been read,
// and adds it to the idle list once the answer is written.
func (t *connTable) onStateChange(nc net.Conn, to http.ConnState) {
	c, ok := nc.(*conn)
	if !ok || to != http.StateIdle && to != http.StateActive {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if c.answering = to == http.StateActive; c.answering {
		t.removeFromList(c)
		c.hangup = make(chan struct{})
	} else {
		c.hangup = nil
		t.addToList(c, t.idle)
	}
}

// evictForRoom evicts one connection if descriptors are short, and reports whether it did. It first tries the oldest
// connection that has not sent a whole head for EvictSilentAfter, then the one idle longest, if for EvictIdleAfter:
// clients may see a connection close between requests, but one used a moment ago may well have its next request under
// way. Silent connections go first, since hundreds of them would otherwise push out connections that serve requests.
// Connections already being evicted count as gone: on a busy machine they take time to close, and evicting others
// meanwhile would close many that clients still want. The cost: while descriptors are short, a client whose first head
// takes longer than EvictSilentAfter to arrive may lose its connection.
func (t *connTable) evictForRoom() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.total-t.evictingCount <= t.limits.ClientConns-t.limits.SpareClientConns {
		return false
	}
	return t.evictOldest(t.awaitingHead, t.limits.EvictSilentAfter) || t.evictOldest(t.idle, t.limits.EvictIdleAfter)
}

// evictOldest evicts the oldest connection that has been in a list for at least minAge, and reports whether there was one.
// Connections that have unread bytes or were closed by the client are only removed from the list. The caller holds the
// lock.
func (t *connTable) evictOldest(l *list.List, minAge time.Duration) bool {
	for e := l.Front(); e != nil; e = l.Front() {
		c := e.Value.(*conn)
		if time.Since(c.listedSince) < minAge {
			return false
		}
		t.removeFromList(c)
		if !sockstat.OpenAndEmpty(c.Conn) { // its next request waits to be read, or the client has closed it
			continue
		}
		c.setEvicting(true)
		if err := c.Conn.SetReadDeadline(time.Unix(1, 0)); err != nil { // wakes the reader, which closes the connection
			continue
		}
		t.counters.Inc("clients.evicted")
		return true
	}
	return false
}

// evictInactive evicts the connections that have been idle for EvictIdleAfter and those that have sent no whole head for
// EvictSilentAfter, unless unread bytes wait on them, and returns the number of open connections. A connection that was
// used a moment ago is spared, since its next request may well be under way; that request's answer closes it.
func (t *connTable) evictInactive() (remaining int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for t.evictOldest(t.idle, t.limits.EvictIdleAfter) {
	}
	for t.evictOldest(t.awaitingHead, t.limits.EvictSilentAfter) {
	}
	return t.total
}

// mustCloseAfterAnswer reports whether an answer has to close its connection: either more connections are open than the
// node wants and none is idle, or a new connection has waited for a descriptor. On a busy machine, connections between
// requests already have their next request waiting and cannot be evicted; if they were served forever, new connections
// would stay in the backlog until their requests time out. Each close costs the client a new connection, which is more
// expensive than the request, so only a few answers per wait close theirs.
func (t *connTable) mustCloseAfterAnswer() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pendingCloses > 0 {
		t.pendingCloses--
		return true
	}
	return t.total > t.limits.ClientConns-t.limits.SpareClientConns && t.idle.Len() == 0
}

// isFull reports whether there is no descriptor for another connection.
func (t *connTable) isFull() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.total >= t.limits.ClientConns
}

// listener accepts connections from clients within the limit of descriptors and adds them to the table.
type listener struct {
	net.Listener
	conns       *connTable
	acceptUntil atomic.Pointer[time.Time] // nil: no limit; set: accept what is in the backlog, but nothing after this time
}

// errDrained is returned by Accept once the backlog is drained.
var errDrained = errors.New("the listener accepts no more connections")

// drainBacklog ends accepting once the backlog is empty, or after the timeout at the latest. The kernel has already
// accepted the connections in the backlog; closing the listener would reset them and lose what their clients have sent.
func (l *listener) drainBacklog(timeout time.Duration) {
	until := time.Now().Add(timeout)
	l.acceptUntil.Store(&until)
	l.setAcceptDeadline(time.Now().Add(l.conns.limits.BacklogQuietTime))
}

// setAcceptDeadline makes a blocked Accept return by t, if necessary by closing the listener.
func (l *listener) setAcceptDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(t) != nil {
		l.Listener.Close()
	}
}

// isPastAcceptUntil reports whether acceptUntil has passed, so that no more is accepted even if connections still come.
func (l *listener) isPastAcceptUntil() bool {
	until := l.acceptUntil.Load()
	return until != nil && time.Now().After(*until)
}

// Accept returns the next connection. Without a free descriptor, nothing could be accepted or forwarded, while the kernel
// would go on filling the backlog. So Accept waits in short steps until an answer has closed its connection or an idle
// connection can be evicted. The limit on open requests is low enough that such connections exist.
func (l *listener) Accept() (net.Conn, error) {
	for l.conns.isFull() && !l.isPastAcceptUntil() {
		l.conns.counters.Inc("clients.accept_waits")
		l.conns.shortage.note("descriptors")
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
			errors.Is(err, syscall.ENOMEM): // if this error were returned, net/http would pause for up to a second
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

// setPendingCloses sets how many of the next answers have to close their connections to make room for new ones.
func (t *connTable) setPendingCloses(answers int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pendingCloses = answers
}

// waitForClose waits until a connection has closed, for 2 ms at most.
func (t *connTable) waitForClose() {
	timer := time.NewTimer(2 * time.Millisecond)
	defer timer.Stop()
	select {
	case <-t.descriptorFreed:
	case <-timer.C:
	}
}
