package clients

import (
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"merlinarch/internal/sockstat"
)

const (
	// baseBuffer is the size of a connection's first buffer for received bytes, which the memory budget does not count.
	baseBuffer = 1 << 10
	// A connection may send this many requests at once, and this many a second, that are not served by a host. Further ones
	// wait before they are read, since they cost as much time of the processor as those that are served.
	unservedBurst, unservedPerSecond = 10, 50
	// lateReadTime is the time after its last byte from which a request counts as read late.
	lateReadTime = 50 * time.Millisecond
	// hidingBytes is the number of unread bytes behind which the end of a connection may not be seen. Linux begins with a
	// receive buffer of 128 KiB, half of which is the window.
	hidingBytes = 32 << 10
	// firstRequestGrace is the least time that a connection's first request has from its first byte. Clients are owed an
	// error or a close within 3 s of connecting, so what begins late has less than RequestReadTimeout.
	firstRequestGrace = 500 * time.Millisecond
)

// conn is a connection from a client. It stands between the kernel and net/http: it passes on a request's head once it is
// complete and checked, then the body, and nothing of what follows until the answer is written. So it knows at each moment
// whether a request is awaited, arriving or being answered; it can end a connection without losing a request; and what
// a client sends takes bounded memory. It also controls net/http's deadlines and the order in which the connection closes.
type conn struct {
	net.Conn
	table      *connTable
	acceptedAt time.Time
	reserved   atomic.Int64 // bytes of the memory budget that its buffer holds
	bodyBytes  atomic.Int64 // bytes of the memory budget that the body of its present request holds
	heads      atomic.Int64 // how many heads of requests have been passed to net/http

	// The fields below belong to the goroutine that reads: net/http has only one at a time.
	received      []byte      // received, and not yet passed to net/http
	scanner       headScanner // of the head that is arriving
	passable      int64       // how many of the next bytes may be passed: the rest of a head and its body
	arriving      bool        // a request has begun to arrive and is not yet complete
	writeDeadline time.Time   // the current write deadline
	hadRequest    bool        // a request has been received
	pipelined     bool        // the present request had begun to arrive before the last answer was written
	slowedDown    bool        // it has sent more unserved requests than a connection may
	unserved      *rate.Limiter
	pause         time.Duration // before the next head is read

	// The fields below are guarded by table.mu.
	listElement     *list.Element // the position in one of the table's lists; nil: in none
	inList          *list.List    // the list that it is in; nil: none
	listedSince     time.Time     // when it was added to the list
	closed          bool
	evicting        bool          // to be closed unless a whole request has arrived
	answering       bool          // a request head has been read and its answer is not yet written
	requestDeadline time.Time     // when the request that is arriving has to be complete; zero: none is arriving
	hangup          chan struct{} // for the request being answered: closed when net/http can't detect that its client hangs up
	hungUp          bool          // hangup is closed
	endReason       endReason     // why it ends; empty: it is open, or net/http closed it
}

// Read passes bytes to net/http, as described at conn.
func (c *conn) Read(b []byte) (int, error) {
	if c.passable == 0 && len(b) == 1 && c.isAnswering() {
		return c.readAhead(b)
	}
	if c.passable == 0 {
		if err := c.awaitHead(); err != nil {
			return 0, err
		}
	}
	return c.pass(b)
}

// isAnswering reports whether a request's head has been passed on and its answer is not yet written.
func (c *conn) isAnswering() bool {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.answering
}

// pass passes on the next bytes of the present request.
func (c *conn) pass(b []byte) (n int, err error) {
	b = b[:min(int64(len(b)), c.passable)]
	if len(c.received) > 0 {
		n = copy(b, c.received)
		c.consume(n)
	} else {
		n, err = c.receive(b)
	}
	c.passable -= int64(n)
	if c.arriving && c.passable <= int64(len(c.received)) {
		c.arriving = false
		c.table.requestReceived(c)
	}
	return n, err
}

// awaitHead waits until the whole head of the next request has arrived, and checks it. An invalid head is answered here.
func (c *conn) awaitHead() error {
	if c.pause > 0 {
		time.Sleep(c.pause)
		c.pause = 0
	}
	c.scanner = headScanner{maxFields: c.table.limits.MaxHeadFields, maxBytes: c.table.limits.MaxHead}
	if c.pipelined = len(c.received) > 0; c.pipelined {
		c.beginHead()
	}
	for {
		head := c.scanner.scan(c.received)
		if head.rejected != nil {
			return c.rejectHead(head.rejected)
		}
		if head.end > 0 {
			c.passable = int64(head.end) + head.bodySize
			if c.passable > int64(len(c.received)) {
				c.table.headReceived(c)
			}
			c.heads.Add(1)
			return nil
		}
		if !c.growBuffer(c.table.limits.MaxHead+baseBuffer, c.reserveForRequest) {
			return c.rejectHead(&requestError{http.StatusServiceUnavailable, "no memory for the head"})
		}
		n, err := c.receive(c.received[len(c.received):cap(c.received)])
		if n > 0 && len(c.received) == 0 {
			c.beginHead()
		}
		c.received = c.received[:len(c.received)+n]
		if n == 0 && err != nil {
			return c.endedAwaitingHead(err)
		}
	}
}

// beginHead notes that the first bytes of a request have arrived.
func (c *conn) beginHead() {
	now := time.Now()
	deadline := now.Add(c.table.limits.RequestReadTimeout)
	if !c.hadRequest {
		latest := c.acceptedAt.Add(c.table.limits.RequestReadTimeout)
		if graceEnd := now.Add(firstRequestGrace); latest.Before(graceEnd) {
			latest = graceEnd
		}
		if latest.Before(deadline) {
			deadline = latest
		}
	}
	c.arriving = true
	c.table.requestBegun(c, deadline)
}

// endedAwaitingHead releases the buffer of a connection that ends before a whole head has arrived, and returns the error
// for net/http.
func (c *conn) endedAwaitingHead(err error) error {
	c.table.mu.Lock()
	c.setEndReason(reasonOfReadError(err))
	c.table.mu.Unlock()
	if len(c.received) == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		c.table.counters.Inc("clients.ended_idle")
		err = io.EOF
	}
	c.consume(len(c.received))
	return err
}

// rejectHead answers an invalid head and ends the connection.
func (c *conn) rejectHead(reqErr *requestError) error {
	c.table.counters.Inc(fmt.Sprintf("requests.bad_%d", reqErr.status))
	c.table.mu.Lock()
	c.answering = true // the connection is closed as after any answer
	c.setEndReason(endedByBadHead)
	c.table.mu.Unlock()
	fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s\n", reqErr.status,
		http.StatusText(reqErr.status), len(reqErr.message)+1, reqErr.message) // an error means that the client has gone
	c.consume(len(c.received))
	return io.EOF
}

// readAhead is the read by which net/http notices the end of a connection while its request is being answered. Bytes that
// come meanwhile are kept for the next request. Where more come than may be kept, the end of the connection can't be seen
// any more, as it is behind them; then the client counts as gone, and nothing more is sent for its request.
func (c *conn) readAhead(b []byte) (int, error) {
	for {
		if len(c.received) > 0 && (len(c.received) >= c.table.limits.ReadAhead || !c.growBuffer(c.table.limits.ReadAhead, c.reserveAhead)) {
			c.signalHangup()
			b[0] = c.received[0] // net/http puts it in front of what it reads next
			c.consume(1)
			return 1, nil
		}
		target := b // no buffer is needed as long as nothing comes
		if len(c.received) > 0 {
			target = c.received[len(c.received):cap(c.received)]
		}
		n, err := c.Conn.Read(target)
		c.extendWriteDeadline()
		switch {
		case len(c.received) > 0:
			c.received = c.received[:len(c.received)+n]
		case n > 0:
			c.received = append(make([]byte, 0, baseBuffer), b[:n]...)
		}
		if err != nil {
			return 0, err
		}
	}
}

// signalHangup reports that the client of the present request counts as gone. The signal stays until the next request: it may
// come before the request's handler asks for it.
func (c *conn) signalHangup() {
	c.table.counters.Inc("clients.read_ahead_full")
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.hangup != nil && !c.hungUp {
		close(c.hangup)
		c.hungUp = true
	}
}

// receive reads from the kernel. When the deadline has passed it reads what has arrived nevertheless: on a busy machine a
// whole request may have come long before.
func (c *conn) receive(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.extendWriteDeadline()
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	if n = sockstat.ReadArrived(c.Conn, b); n > 0 {
		return n, nil
	}
	return 0, err
}

// growBuffer makes room for at least one more received byte, and reports whether there is memory for it. The buffer holds
// at most limit bytes; what exceeds baseBuffer is reserved.
func (c *conn) growBuffer(limit int, reserve func(bytes int) bool) bool {
	if len(c.received) < cap(c.received) {
		return true
	}
	size := min(max(baseBuffer, 2*cap(c.received)), limit)
	if more := size - max(baseBuffer, cap(c.received)); more > 0 {
		if !reserve(more) {
			return false
		}
		c.reserved.Add(int64(more))
	}
	c.received = append(make([]byte, 0, size), c.received...)
	return true
}

// reserveAhead takes bytes from the memory budget for what arrives before it is due, if there are enough.
func (c *conn) reserveAhead(bytes int) bool {
	return c.table.memory.Reserve(bytes, c.table.limits.RequestMemory/answerMemoryPart)
}

// reserveForRequest takes bytes from the memory budget for the request that is arriving.
func (c *conn) reserveForRequest(bytes int) bool { return c.table.reserveMemory(c, bytes) }

// reserveForBody takes bytes from the memory budget for the body of the present request, until releaseBody.
func (c *conn) reserveForBody(bytes int) bool {
	if !c.table.reserveMemory(c, bytes) {
		return false
	}
	c.bodyBytes.Add(int64(bytes))
	return true
}

// releaseBody returns what reserveForBody took.
func (c *conn) releaseBody() { c.table.memory.Release(int(c.bodyBytes.Swap(0))) }

// consume drops the first n received bytes, and the buffer once it is empty: idle connections hold none.
func (c *conn) consume(n int) {
	c.received = c.received[:copy(c.received, c.received[n:])]
	if len(c.received) == 0 {
		c.received = nil
		c.table.memory.Release(int(c.reserved.Swap(0)))
	}
}

// hangupSignal returns the channel that is closed if the client of the current request hangs up and net/http cannot
// detect it.
func (c *conn) hangupSignal() <-chan struct{} {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	return c.hangup
}

// clientLeft reports whether the client has closed the connection before its request was read, which was late: it had
// waited in the kernel, or was sent together with others. A client that closes only its sending side right behind its
// request does not count. One that has sent so much that a close would not be seen does.
func (c *conn) clientLeft(ctx context.Context) bool {
	if c.pipelined {
		return ctx.Err() != nil || c.closedByPeer()
	}
	return c.leftSinceRequest()
}

// leftSinceRequest reports whether the client has closed the connection, and its last byte came lateReadTime ago or
// earlier. It asks the kernel and may be called from any goroutine.
func (c *conn) leftSinceRequest() bool {
	return sockstat.SinceReceived(c.Conn) >= lateReadTime && c.closedByPeer()
}

// closedByPeer reports whether the client has closed the connection, or may have behind so many unread bytes that the
// kernel's receive window could be full.
func (c *conn) closedByPeer() bool {
	return sockstat.PeerClosed(c.Conn) || sockstat.Unread(c.Conn) > hidingBytes
}

// countUnserved counts a request that no host has served. If there are too many, the next one is read later.
func (c *conn) countUnserved() {
	if c.unserved == nil {
		c.unserved = rate.NewLimiter(unservedPerSecond, unservedBurst)
	}
	if c.pause = c.unserved.Reserve().Delay(); c.pause > 0 {
		c.slowedDown = true
		c.table.counters.Inc("clients.slowed_down")
	}
}

// SetReadDeadline sets net/http's deadlines, but not beyond the one of a request that is arriving. On a connection that is
// marked for eviction it does nothing: net/http could replace the deadline that wakes its reader, and the connection would
// count as being evicted but stay open, and no other would be evicted in its place.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.table.mu.Lock()
	defer c.table.mu.Unlock()
	if c.evicting {
		return nil
	}
	if !c.requestDeadline.IsZero() && (t.IsZero() || c.requestDeadline.Before(t)) {
		t = c.requestDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline does nothing: extendWriteDeadline controls the write deadline, which net/http would clear after each
// answer.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// Close closes the connection; it stays in the table's total until its descriptor is closed. A connection that is closed
// with unread bytes, or that receives bytes afterwards, is reset, and the client loses what it has not yet read of its
// last answer. So after an answer only the sending side is closed at first, and incoming bytes are discarded, within
// limits of time and size, until the client closes too. A connection that is evicted does not wait: its descriptor is
// needed, and its client has not sent a whole request.
func (c *conn) Close() error {
	c.table.mu.Lock()
	alreadyClosed, linger := c.closed, c.answering && !c.evicting && c.table.limits.Linger > 0
	c.closed, c.answering = true, false
	if !alreadyClosed {
		c.table.removeFromList(c)
		c.setEvicting(false)
	}
	c.table.mu.Unlock()
	if alreadyClosed {
		return net.ErrClosed
	}
	c.table.memory.Release(int(c.reserved.Swap(0)))
	if linger && c.CloseWrite() == nil {
		go c.linger()
		return nil
	}
	return c.closeDescriptor()
}

// linger discards what comes until the client closes too, within limits of time and size, or until room is needed.
func (c *conn) linger() {
	defer c.closeDescriptor()
	if c.Conn.SetReadDeadline(time.Now().Add(c.table.limits.Linger)) != nil {
		return
	}
	c.table.mu.Lock()
	c.table.addToList(c, c.table.lingering)
	c.table.mu.Unlock()
	io.Copy(io.Discard, io.LimitReader(c.Conn, c.table.limits.LingerBytes))
}

// closeDescriptor closes the descriptor, takes the connection off the table's total and wakes waitForDescriptor.
func (c *conn) closeDescriptor() error {
	c.traceEnd()
	err := c.Conn.Close()
	c.table.mu.Lock()
	c.table.total--
	c.table.removeFromList(c)
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

// isSilent reports whether a connection that awaits a request has received none of it yet. The caller holds the table's lock.
func (c *conn) isSilent() bool { return c.requestDeadline.IsZero() }

// setEvicting marks or unmarks the connection for eviction. The caller holds the table's lock.
func (c *conn) setEvicting(evicting bool) {
	if c.evicting != evicting {
		c.evicting = evicting
		c.table.evictingCount += map[bool]int{true: 1, false: -1}[evicting]
	}
}
