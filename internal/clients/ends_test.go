package clients

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/sockstat"
	"merlinarch/internal/testwait"
)

// These tests force races between the end of a connection and a request or an answer on it: they hold back reads or bytes,
// so that the order of events is fixed.

// holdingListener is a listener whose connections read only while a test lets them, as if the machine were too busy to
// schedule their readers.
type holdingListener struct {
	net.Listener
	mu        sync.Mutex
	gate      chan struct{} // reads wait until it is closed; nil: reads don't wait
	heldReads int           // number of reads that have waited for a gate
	conns     []*holdingConn
}

// holdingConn is a connection of a holdingListener.
type holdingConn struct {
	net.Conn
	listener *holdingListener
	closed   atomic.Bool // at least the sending side has been closed
}

// anyClosed reports whether at least the sending side of any connection has been closed.
func (l *holdingListener) anyClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.ContainsFunc(l.conns, func(c *holdingConn) bool { return c.closed.Load() })
}

func (l *holdingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	hc := &holdingConn{Conn: c, listener: l}
	l.conns = append(l.conns, hc)
	return hc, nil
}

// holdReads makes reads that start from now on wait until the returned function is called.
func (l *holdingListener) holdReads() (release func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	gate := make(chan struct{})
	l.gate = gate
	return func() { l.mu.Lock(); l.gate = nil; l.mu.Unlock(); close(gate) }
}

// Read waits for the gate, if there is one, before it reads, so that bytes that have arrived stay in the kernel.
func (c *holdingConn) Read(b []byte) (int, error) {
	c.listener.mu.Lock()
	gate := c.listener.gate
	if gate != nil {
		c.listener.heldReads++
	}
	c.listener.mu.Unlock()
	if gate != nil {
		<-gate
	}
	return c.Conn.Read(b)
}

func (c *holdingConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

func (c *holdingConn) CloseWrite() error {
	defer c.closed.Store(true)
	return c.Conn.(*net.TCPConn).CloseWrite()
}

func (c *holdingConn) Close() error {
	defer c.closed.Store(true)
	return c.Conn.Close()
}

// startHolding serves on a holdingListener until the test ends.
func startHolding(t *testing.T, s *Server) *holdingListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	holding := &holdingListener{Listener: l}
	done := make(chan error, 1)
	go func() { done <- s.Serve(holding) }()
	t.Cleanup(func() {
		s.http.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		testwait.Until(t, "the connections to close", func() bool { return s.conns.evictInactive() == 0 })
	})
	return holding
}

// hasUnreadBytes reports whether there is exactly one connection and the kernel holds unread bytes of it.
func (l *holdingListener) hasUnreadBytes() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns) == 1 && !sockstat.OpenAndEmpty(l.conns[0].Conn)
}

// A request that has arrived but is not yet read must be answered when the drain closes idle connections. net/http's
// Shutdown would close the connection and lose the unread request.
func TestDrainAnswersUnreadRequest(t *testing.T) {
	limits := testLimits()
	limits.EvictIdleAfter = time.Millisecond
	gateway := &stubGateway{onSubmit: serveOK}
	s := New(limits, testSettings, gateway, metrics.New(), zap.NewNop())
	holding := startHolding(t, s)
	c := dial(t, holding.Addr().String())
	c.write(get())
	c.read()
	testwait.Until(t, "the connection to be idle", func() bool { s.conns.mu.Lock(); defer s.conns.mu.Unlock(); return s.conns.idle.Len() == 1 })
	// The reader of the idle connection already blocks in the kernel. The first byte alone wakes it; its next read is held.
	release := holding.holdReads()
	c.write(get("X-Remaining-Ms: 5000")[:1])
	testwait.Until(t, "the reader to be held", func() bool { holding.mu.Lock(); defer holding.mu.Unlock(); return holding.heldReads == 1 })
	c.write(strings.TrimPrefix(get(), "G"))
	testwait.Until(t, "the rest of the request to arrive in the kernel", holding.hasUnreadBytes)
	drained := make(chan error, 1)
	go func() { drained <- s.Drain() }()
	testwait.Until(t, "accepting to end", func() bool {
		select {
		case <-s.acceptDone:
			return true
		default:
			return false
		}
	})
	release()
	if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" || !resp.Close {
		t.Errorf("status %d, body %q, close %v", resp.StatusCode, body, resp.Close)
	}
	if err := testwait.Value(t, "the drain to end", drained); err != nil {
		t.Error(err)
	}
}

// A connection that waits in the backlog when accepting ends has already been accepted by the kernel, so its request must
// be answered too.
func TestDrainServesBacklog(t *testing.T) {
	limits := testLimits()
	limits.ClientConns, limits.SpareClientConns, limits.DrainCloseUntil = 1, 0, patience
	gateway := &stubGateway{}
	addr, s, _ := startServer(t, limits, gateway)
	first := dial(t, addr)
	first.write(get())
	testwait.Until(t, "the first request", func() bool { n, _ := gateway.calls(); return n == 1 })
	second := dial(t, addr) // no descriptor is free, so it waits in the backlog
	second.write(get())
	s.listener.Load().drainBacklog(patience)
	serveOK(gateway.submitted[0])
	first.read()
	first.Close()
	testwait.Until(t, "the request from the backlog", func() bool { n, _ := gateway.calls(); return n == 2 })
	serveOK(gateway.submitted[1])
	if resp, body := second.read(); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("status %d, body %q", resp.StatusCode, body)
	}
	select {
	case <-s.acceptDone:
	case <-time.After(patience):
		t.Error("accepting has not ended")
	}
}

// An answer written after SIGTERM closes its connection, even if its request arrived before.
func TestDrainClosesConnectionAfterPendingAnswer(t *testing.T) {
	gateway := &stubGateway{}
	addr, s, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get())
	testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 1 })
	s.closeAfterAnswers.Store(true)
	serveOK(gateway.submitted[0])
	if resp, _ := c.read(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
}

// A request that arrives late in the drain on a connection that is still open must be answered before the process may be
// killed, however long its client would wait.
func TestDrainAnswersLateRequestBeforeKill(t *testing.T) {
	limits := testLimits()
	limits.KillAfter = 200 * time.Millisecond
	gateway := &stubGateway{} // it never answers
	addr, s, _ := startServer(t, limits, gateway)
	c := dial(t, addr)
	c.write(get("X-Remaining-Ms: 60000")[:40])
	testwait.Until(t, "the connection with half a head", func() bool { s.conns.mu.Lock(); defer s.conns.mu.Unlock(); return s.conns.total == 1 })
	drained, began := make(chan error, 1), time.Now()
	go func() { drained <- s.Drain() }()
	testwait.Until(t, "the drain's last step", func() bool { return s.answerBy.Load() != nil })
	c.write(get("X-Remaining-Ms: 60000")[40:])
	if resp, _ := c.read(); resp.StatusCode != 504 || !resp.Close {
		t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
	}
	if elapsed := time.Since(began); elapsed > patience/2 {
		t.Errorf("answered after %v", elapsed)
	}
	if err := testwait.Value(t, "the drain to end", drained); err != nil {
		t.Error(err)
	}
}

// A last answer must reach a client that has sent more than its request and reads slowly. Closing a connection with unread
// bytes resets it, and the client would lose what it has not yet read of its answer.
func TestLastAnswerDeliveredDespiteUnreadBytes(t *testing.T) {
	limits := testLimits()
	limits.Linger = patience
	body := strings.Repeat("x", 32<<20) // more than the kernel's buffers on both sides hold
	gateway := &stubGateway{}
	s := New(limits, testSettings, gateway, metrics.New(), zap.NewNop())
	holding := startHolding(t, s)
	c := dial(t, holding.Addr().String())
	s.closeAfterAnswers.Store(true)
	c.write(get())
	testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 1 })
	c.write(strings.Repeat(get(), 2*limits.ReadAhead/len(get()))) // most is still unread when the answer to the first request closes the connection
	testwait.Until(t, "the other requests to arrive in the kernel", holding.hasUnreadBytes)
	gateway.submitted[0].Finish(exchange.Answer{Status: exchange.Served, Body: []byte(body)})
	var got []byte
	for part := make([]byte, 64<<10); ; { // until the server closes; the kernel's buffers hold the rest
		if holding.anyClosed() {
			break
		}
		n, err := c.Read(part)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, part[:n]...)
	}
	rest, err := io.ReadAll(c)
	if err != nil {
		t.Errorf("after %d bytes: %v", len(got)+len(rest), err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(append(got, rest...))), nil)
	if err != nil {
		t.Fatal(err)
	}
	if whole, err := io.ReadAll(resp.Body); err != nil || len(whole) != len(body) || !resp.Close {
		t.Errorf("%d of %d bytes, close %v: %v", len(whole), len(body), resp.Close, err)
	}
	c.Close()
	testwait.Until(t, "the connection to close", func() bool { return s.conns.evictInactive() == 0 })
}

// A client that never closes after its last answer holds its descriptor for a limited time only.
func TestLingeringIsBounded(t *testing.T) {
	limits := testLimits()
	limits.Linger = 20 * time.Millisecond
	addr, s, _ := startServer(t, limits, &stubGateway{onSubmit: serveOK})
	s.closeAfterAnswers.Store(true)
	c := dial(t, addr)
	c.write(get())
	if resp, _ := c.read(); !resp.Close {
		t.Fatal("the answer does not close the connection")
	}
	testwait.Until(t, "the descriptor to be closed", func() bool { return s.conns.evictInactive() == 0 })
}

// A client's hangup must be detected while its request is open, even if the client has sent more bytes after the request.
// net/http reads only one byte in that case and never sees the end, so the request would be forwarded although no client
// waits for it.
func TestHangupDetectedBehindPipelinedBytes(t *testing.T) {
	for _, extra := range []string{"\r\n", "G", get()} {
		limits := testLimits()
		gateway := &stubGateway{}
		gateway.onAbandon = func(ex *exchange.Exchange) { ex.Finish(exchange.Answer{Status: exchange.Failed}) }
		addr, _, counters := startServer(t, limits, gateway)
		c := dial(t, addr)
		c.write(get())
		testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 1 })
		c.write(extra)
		c.Close()
		// When extra is a whole request, it may be abandoned too.
		testwait.Until(t, fmt.Sprintf("the request to be abandoned, %q", extra), func() bool { _, abandoned := gateway.calls(); return abandoned > 0 })
		if counters.Get("requests.client_left")+counters.Get("requests.client_left_unseen") == 0 {
			t.Errorf("%q: the hangup is not counted", extra)
		}
	}
	// A client that has sent more and stays connected must not count as gone: both requests are answered.
	limits := testLimits()
	gateway := &stubGateway{}
	addr, _, _ := startServer(t, limits, gateway)
	c := dial(t, addr)
	c.write(get() + get())
	for i := range 2 {
		testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == i+1 })
		time.Sleep(10 * time.Millisecond) // the hangup is polled for meanwhile
		serveOK(gateway.submitted[i])
		if resp, _ := c.read(); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	if _, abandoned := gateway.calls(); abandoned != 0 {
		t.Error("a request was abandoned although its client stayed")
	}
}

// timeoutFirstConn is a connection whose first read waits for bytes to arrive, then ends by its deadline without reading
// them.
type timeoutFirstConn struct {
	*net.TCPConn
	once sync.Once
}

func (c *timeoutFirstConn) Read(b []byte) (int, error) {
	first := false
	c.once.Do(func() { first = true })
	if first { // the deadline passes just as the request arrives
		for sockstat.OpenAndEmpty(c.TCPConn) {
			time.Sleep(time.Millisecond)
		}
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

// timeoutFirstListener is a listener that accepts connections as timeoutFirstConn.
type timeoutFirstListener struct{ net.Listener }

func (l timeoutFirstListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &timeoutFirstConn{TCPConn: c.(*net.TCPConn)}, nil
}

// failingListener is a listener whose Accept returns each of the errors once before it accepts a connection.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// Accepting goes on at once after any error that accept may return for a moment. It guards against a router that ends, or
// that accepts nothing for up to a second, because one connection or the machine was in trouble.
func TestAcceptGoesOnAfterErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	failing := &failingListener{Listener: l}
	for range 3 {
		for _, errno := range []syscall.Errno{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
			syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
			syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ECONNRESET, syscall.ENOSR} {
			failing.failures = append(failing.failures, errno)
		}
	}
	s := New(testLimits(), testSettings, &stubGateway{onSubmit: serveOK}, metrics.New(), zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(failing) }()
	defer func() {
		s.http.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	began := time.Now()
	c := dial(t, l.Addr().String())
	c.write(get())
	if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
		t.Errorf("status %d %q", resp.StatusCode, body)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answered after %v", took)
	}
}

// The first request on a new connection must be answered, not lost by a close, if it arrives just as the read deadline
// passes.
func TestFirstRequestAnsweredAtReadTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := New(testLimits(), testSettings, &stubGateway{onSubmit: serveOK}, metrics.New(), zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(timeoutFirstListener{l}) }()
	defer func() {
		s.http.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	c := dial(t, l.Addr().String())
	c.write(get())
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A router that cannot forward requests yet must not report itself as ready.
func TestNotReadyBeforeItCanServe(t *testing.T) {
	gateway := &stubGateway{}
	gateway.unready.Store(true)
	addr, _, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	for _, want := range []int{503, 200} {
		c.write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, _ := c.read(); resp.StatusCode != want {
			t.Errorf("status %d, want %d", resp.StatusCode, want)
		}
		gateway.unready.Store(false)
	}
}

// A client that sends more behind its request than is read ahead counts as gone, since the end of its connection can't be
// seen: nothing more is sent for the request, but an attempt under way may still answer it. Its further requests are
// answered as well.
func TestClientBehindManyBytesCountsAsGone(t *testing.T) {
	limits := testLimits()
	gateway := &stubGateway{}
	addr, _, counters := startServer(t, limits, gateway)
	c := dial(t, addr)
	const further = 100
	c.write(get() + strings.Repeat(get("X-Remaining-Ms: 60"), further))
	testwait.Until(t, "the request to be abandoned", func() bool { _, abandoned := gateway.calls(); return abandoned > 0 })
	serveOK(gateway.request(0))
	for i := range 1 + further {
		want := 504
		if i == 0 {
			want = 200
		}
		if resp, _ := c.read(); resp.StatusCode != want && resp.StatusCode != http.StatusConflict {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
	}
	if counters.Get("clients.read_ahead_full") == 0 {
		t.Error("the full buffer is not counted")
	}
	if t.Failed() {
		t.Logf("signals %d, taken for a hangup %d, answered by the node itself %d", counters.Get("clients.read_ahead_full"),
			counters.Get("requests.client_left_unseen"), counters.Get("requests.answered_by_node"))
	}
}

// A hangup is signalled although the bytes that hide it were read before anybody waited for the signal. It guards against
// attempts for a client that counts as gone.
func TestHangupBeforeItIsAwaited(t *testing.T) {
	server, client := net.Pipe()
	defer client.Close()
	table := newConnTable(testLimits(), metrics.New(), zap.NewNop())
	c := table.accepted(server)
	defer c.Close()
	for range 2 {
		table.onStateChange(c, http.StateActive)
		select {
		case <-c.hangupSignal():
			t.Fatal("a hangup is signalled before there was one")
		default:
		}
		c.signalHangup()
		c.signalHangup()
		select {
		case <-c.hangupSignal():
		default:
			t.Error("the hangup is lost")
		}
		table.onStateChange(c, http.StateIdle)
	}
}

// A request that was sent together with another one is not submitted once its client has closed the connection.
func TestPipelinedRequestOfClientThatLeft(t *testing.T) {
	gateway := &stubGateway{}
	addr, s, counters := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get() + get() + get())
	testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 1 })
	c.Close()
	testwait.Until(t, "the request to be abandoned", func() bool { _, abandoned := gateway.calls(); return abandoned == 1 })
	gateway.submitted[0].Finish(exchange.Answer{Status: exchange.Failed})
	testwait.Until(t, "the connection to close", func() bool { s.conns.mu.Lock(); defer s.conns.mu.Unlock(); return s.conns.total == 0 })
	if n, _ := gateway.calls(); n != 1 {
		t.Errorf("%d requests were submitted, want 1", n)
	}
	if counters.Get("requests.client_left") == 0 {
		t.Error("the hangup is not counted")
	}
}

// A request that is read late, since it waited in the kernel, is not submitted if its client has closed the connection
// meanwhile. One that is read late from a client that stays is.
func TestLateReadRequestOfClientThatLeft(t *testing.T) {
	for _, stays := range []bool{false, true} {
		gateway := &stubGateway{onSubmit: serveOK}
		s := New(testLimits(), testSettings, gateway, metrics.New(), zap.NewNop())
		holding := startHolding(t, s)
		release := holding.holdReads()
		c := dial(t, holding.Addr().String())
		c.write(get())
		if !stays {
			c.Close()
		}
		time.Sleep(2 * lateReadTime)
		release()
		if stays {
			c.read()
			c.Close()
		}
		testwait.Until(t, "the connection to close", func() bool {
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			return s.conns.total == 0 && s.counters.Get("clients.connections") == 1
		})
		if n, _ := gateway.calls(); stays != (n == 1) {
			t.Errorf("client stays %v: %d requests were submitted", stays, n)
		}
	}
}

// Connections that only wait for their clients to close make room for new ones. It guards against new connections that
// wait in the backlog until their requests are over.
func TestLingeringConnectionsMakeRoom(t *testing.T) {
	limits := testLimits()
	limits.Linger, limits.ClientConns, limits.SpareClientConns, limits.EvictIncompleteAfter = patience, 2, 0, time.Millisecond
	addr, s, counters := startServer(t, limits, &stubGateway{onSubmit: serveOK})
	s.closeAfterAnswers.Store(true)
	for i := range 6 { // no client closes its connection
		c := dial(t, addr)
		c.write(get())
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
			t.Fatalf("connection %d: status %d", i, resp.StatusCode)
		}
	}
	if counters.Get("clients.linger_cut") == 0 {
		t.Error("no lingering connection was closed")
	}
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	for s.conns.evictOldest(s.conns.lingering, 0) {
	}
}
