package servers

import (
	"bufio"
	"context"
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

	"go.uber.org/goleak"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/internal/gateway"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = testwait.Patience

// testLimits returns small sizes, and timeouts that no test reaches.
func testLimits() config.Limits {
	return config.Limits{MaxHead: 4096, MaxBody: 1 << 16, MaxAnswer: 1 << 16, RequestMemory: 1 << 20, ServerConns: 8, MaxIdlePerServer: 4,
		DialTimeout: patience, ProbeTimeout: patience, ServerIdleTimeout: patience, SendGrace: patience,
		AnswerReadTimeout: patience, MaxWait: patience}
}

// fakeHost is a host that serves each connection with a function of the test.
type fakeHost struct {
	t        *testing.T
	l        net.Listener
	work     sync.WaitGroup
	mu       sync.Mutex
	conns    []net.Conn
	finished bool // the test has finished: connections accepted from now on are closed at once
}

// newFakeHost starts a host that calls serve with each connection and its number, counted from 0.
func newFakeHost(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return newFakeHostOn(t, l, serve)
}

// newFakeHostOn starts a host that accepts its connections from l.
func newFakeHostOn(t *testing.T, l net.Listener, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeHost {
	s := &fakeHost{t: t, l: l}
	s.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n, finished := len(s.conns), s.finished
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			if finished { // accepted while the listener was being closed
				c.Close()
				continue
			}
			s.work.Go(func() { serve(n, c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		s.mu.Lock()
		s.finished = true
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		s.work.Wait()
	})
	return s
}

// wait closes the listener and waits until the host has read everything from its connections, which the peers have
// closed.
func (s *fakeHost) wait() {
	s.l.Close()
	s.work.Wait()
}

// accepted returns the number of connections that the host has accepted.
func (s *fakeHost) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// host returns the host's entry in discovery's list, with build 7.
func (s *fakeHost) host(id logic.ServerID) gateway.Host {
	return gateway.Host{Addr: s.l.Addr().String(), Server: logic.Server{ID: id, Build: 7}}
}

// newPool makes a pool with a list of hosts; it is closed at the end of the test.
func newPool(t *testing.T, limits config.Limits, hosts ...gateway.Host) (*Pool, *metrics.Registry) {
	t.Helper()
	counters := metrics.New()
	p := New(limits, counters)
	t.Cleanup(p.Close)
	p.UpdateServers(true, hosts)
	return p, counters
}

// send makes one attempt and waits for its result.
func send(t *testing.T, p *Pool, a gateway.Attempt) gateway.Result {
	t.Helper()
	results, cancel := startAttempt(p, a)
	defer cancel()
	return testwait.Value(t, "a result", results)
}

// startAttempt starts an attempt, with defaults for the fields that are not set, and returns a channel for its result. Of a
// request of its own it checks that the request counts as one that may have run just if this attempt may have.
func startAttempt(p *Pool, a gateway.Attempt) (<-chan gateway.Result, func()) {
	ownExchange := a.Exchange == nil
	if ownExchange {
		a.Exchange = exchange.New(exchange.Message{Method: "POST", Target: "/api?x=%41&y", ID: "id-1",
			DedupKey: "key-1", Body: []byte("a\x00body")}, exchange.Fields{}, time.Now().Add(patience))
	}
	if a.Server == 0 {
		a.Server = 1
	}
	if a.Deadline.IsZero() {
		a.Deadline = time.Now().Add(patience)
	}
	if a.DecidedAt.IsZero() {
		a.DecidedAt = time.Now()
	}
	results := make(chan gateway.Result, 1)
	a.Report = func(r gateway.Result) {
		if ownExchange && a.Exchange.MayHaveRun() != r.Outcome.MayHaveRun() {
			panic(fmt.Sprintf("outcome %v, but the request counts as one that may have run: %t", r.Outcome, a.Exchange.MayHaveRun()))
		}
		results <- r
	}
	return results, p.Start(a)
}

// reply reads one request and writes text back; it returns nil if no request could be read.
func reply(c net.Conn, r *bufio.Reader, text string) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return nil
	}
	io.WriteString(c, text)
	return req
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// Method, target, id, idempotency key and body have to reach the host byte by byte as the client sent them.
func TestRequestGoesOnUnchanged(t *testing.T) {
	type seen struct {
		line, id, key, body string
		remaining           bool
	}
	got := make(chan seen, 1)
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		got <- seen{req.Method + " " + req.RequestURI, req.Header.Get("X-Txn"), req.Header.Get("Idempotency-Key"),
			string(body), req.Header.Get("X-Remaining-Ms") != ""}
		io.WriteString(c, okResponse)
		r.Peek(1)
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
		t.Fatalf("result %+v", r)
	}
	want := seen{"POST /api?x=%41&y", "id-1", "key-1", "a\x00body", true}
	if s := <-got; s != want {
		t.Errorf("the host saw %+v, want %+v", s, want)
	}
}

// Each kind of answer gives its outcome. A connection that breaks after the request's last byte was written gives an
// outcome that says that the request may have run, and nothing is resent.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		answer string // "" ends the connection instead
		want   logic.Outcome
	}{
		{"served", okResponse, logic.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"turned away", "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.Rejected},
		{"time over", "HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.Rejected},
		{"503 that does not say so", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"error that says turned away", "HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"broken after the last byte", "", logic.Reset},
		{"malformed", "what?\r\n\r\n", logic.Reset},
		{"half an answer", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", logic.Reset},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				reply(conn, r, c.answer)
				conn.Close()
			})
			p, _ := newPool(t, testLimits(), h.host(1))
			r := send(t, p, gateway.Attempt{})
			if r.Outcome != c.want || c.want != logic.OK && len(r.Body) > 0 {
				t.Errorf("result %+v, want outcome %v", r, c.want)
			}
			if h.accepted() != 1 {
				t.Errorf("%d connections for one attempt: the request was resent", h.accepted())
			}
		})
	}
}

// A dial that fails for a reason of this machine is no attempt and no evidence against the host; one that the host's side
// fails is. It guards against hosts that are avoided because this machine was out of ports, buffers or routes for a moment.
func TestLocalFailuresAreNoEvidence(t *testing.T) {
	for errno, want := range map[syscall.Errno]logic.Outcome{
		syscall.EMFILE: logic.NotSent, syscall.ENFILE: logic.NotSent, syscall.ENOBUFS: logic.NotSent, syscall.ENOMEM: logic.NotSent,
		syscall.EADDRNOTAVAIL: logic.NotSent, syscall.EADDRINUSE: logic.NotSent, syscall.EAGAIN: logic.NotSent, syscall.ENETUNREACH: logic.NotSent,
		syscall.ENETDOWN: logic.NotSent, syscall.EACCES: logic.NotSent, syscall.EPERM: logic.NotSent,
		syscall.ECONNREFUSED: logic.ConnectFailed, syscall.ETIMEDOUT: logic.ConnectFailed, syscall.EHOSTUNREACH: logic.ConnectFailed, syscall.ECONNRESET: logic.ConnectFailed,
	} {
		p, _ := newPool(t, testLimits(), gateway.Host{Addr: "127.0.0.1:1", Server: logic.Server{ID: 1}})
		p.dial = func(context.Context, string, string) (net.Conn, error) {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
		}
		if r := send(t, p, gateway.Attempt{Server: 1}); r.Outcome != want || r.ConnRefused != (errno == syscall.ECONNREFUSED) {
			t.Errorf("%v: outcome %v, refused %v", errno, r.Outcome, r.ConnRefused)
		}
	}
}

func TestRefusedConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	p, _ := newPool(t, testLimits(), gateway.Host{Addr: addr, Server: logic.Server{ID: 1}})
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.ConnectFailed {
		t.Errorf("outcome %v", r.Outcome)
	}
	if r := send(t, p, gateway.Attempt{Server: 2}); r.Outcome != logic.NotSent {
		t.Errorf("unknown server: outcome %v", r.Outcome)
	}
}

// The host closes the connection before the last byte of the request was written, so the request cannot have run.
func TestBreakBeforeLastByte(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	p, _ := newPool(t, testLimits())
	c := newConn(a, testResponseLimits)
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	h := &host{}
	go func() {
		io.ReadFull(b, make([]byte, 4))
		b.Close()
	}()
	if r := p.execute(t.Context(), h, c, []byte("more than four bytes"), nil, ""); r.Outcome != logic.ConnectFailed {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// An attempt that is given up before its last byte was written is NotSent: it cannot have run, and its host has not
// failed.
func TestGivenUpBeforeLastByte(t *testing.T) {
	a, b := net.Pipe() // nobody reads
	defer b.Close()
	p, _ := newPool(t, testLimits())
	c := newConn(a, testResponseLimits)
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	time.AfterFunc(5*time.Millisecond, stop)
	if r := p.execute(ctx, &host{}, c, []byte("text"), nil, ""); r.Outcome != logic.NotSent {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// A connection that the host has closed while it was idle must not be used for a request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		reply(c, r, okResponse)
		c.Close()
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	for i := range 20 {
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Fatalf("attempt %d: outcome %v", i, r.Outcome)
		}
		testwait.Until(t, "the end of the connection to arrive", p.anyIdle(func(c *conn) bool { return !c.openAndEmpty() }))
	}
}

// An attempt whose time is over is not sent, although its timer has not fired. It guards against attempts that leave late when
// the process has stood still, for requests that have ended, or for planned work past its window.
func TestAttemptWhoseTimeIsOverIsNotSent(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	for late, want := range map[time.Duration]logic.Outcome{time.Second: logic.NotSent, -patience: logic.OK} {
		now := time.Now()
		ex := exchange.New(exchange.Message{Method: "POST", Target: "/", ID: "id"}, exchange.Fields{}, now.Add(patience))
		ctx, stop := context.WithTimeout(t.Context(), 2*time.Second)
		r := p.runAttempt(ctx, gateway.Attempt{Exchange: ex, Server: 1, DecidedAt: now, Deadline: now.Add(-late)})
		stop()
		if r.Outcome != want || ex.MayHaveRun() != want.MayHaveRun() {
			t.Errorf("an attempt that is %v late: outcome %v", late, r.Outcome)
		}
	}
}

// anyIdle returns a function that reports whether any of the idle connections to host 1 matches.
func (p *Pool) anyIdle(match func(*conn) bool) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.ContainsFunc(p.hosts[1].idle, match)
	}
}

// Idle connections that a host has closed, or sent unrequested bytes on, are closed even if no request needs them.
func TestIdleConnectionsAreChecked(t *testing.T) {
	for name, after := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() },
		"noise": func(c net.Conn) { io.WriteString(c, "\x00") }} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.ServerIdleTimeout = 16 * 50 * time.Millisecond // idle connections are checked every 50 ms
			idle := make(chan struct{})
			h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
				reply(c, r, okResponse)
				<-idle
				after(c)
				r.Peek(1)
			})
			p, count := newPool(t, limits, h.host(1))
			send(t, p, gateway.Attempt{})
			close(idle)
			testwait.Until(t, "the connection to be found", func() bool { return count.Get("connections.found_closed") == 1 })
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.open != 0 {
				t.Errorf("%d connections are counted as open, want none", p.open)
			}
		})
	}
}

// A second answer to one request, or garbage, must not be taken for the answer to the next request, whether it arrives
// together with the answer or later, when the connection is idle. The first answer itself is valid.
func TestUnexpectedBytesAreNotAnAnswer(t *testing.T) {
	for name, extra := range map[string]string{"a copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "noise": "\x00\xff",
		"an end of line": "\r\n", "an interim answer": "HTTP/1.1 100 Continue\r\n\r\n"} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", later: ", later), func(t *testing.T) {
				idle := make(chan struct{})
				h := newFakeHost(t, func(n int, c net.Conn, r *bufio.Reader) {
					switch {
					case n > 0:
						reply(c, r, okResponse)
					case later:
						reply(c, r, okResponse)
						<-idle
						io.WriteString(c, extra)
					default:
						reply(c, r, okResponse+extra)
					}
					r.Peek(1)
				})
				p, _ := newPool(t, testLimits(), h.host(1))
				if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
					t.Fatalf("result %+v", r)
				}
				close(idle)
				if later {
					testwait.Until(t, "the bytes to arrive", p.anyIdle(func(c *conn) bool { return !c.openAndEmpty() }))
				}
				if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
					t.Errorf("second result %+v", r)
				}
				if h.accepted() != 2 {
					t.Errorf("%d connections, want a new one after unrequested bytes", h.accepted())
				}
			})
		}
	}
}

// A connection on which an answer has just arrived is not reused for a short time, since more bytes may arrive on it.
func TestConnectionSettles(t *testing.T) {
	limits := testLimits()
	limits.ServerReuseDelay, limits.ServerIdleTimeout = time.Hour, 3*time.Hour
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections for two requests in quick succession, want 2", h.accepted())
	}
	p.mu.Lock()
	p.hosts[1].idle[0].usedAt = time.Now().Add(-2 * time.Hour)
	p.mu.Unlock()
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections once the first may be reused, want 2", h.accepted())
	}
	// At the limit of connections the delay is the same: the attempt waits, and no connection is closed to make a new one.
	const delay = 60 * time.Millisecond
	p.mu.Lock()
	p.limits.ServerConns, p.limits.ServerReuseDelay = 2, delay
	for _, c := range p.hosts[1].idle {
		c.usedAt = time.Now()
	}
	p.mu.Unlock()
	began := time.Now()
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections with a limit of 2", h.accepted())
	}
	if waited := time.Since(began); waited < delay {
		t.Errorf("a connection was reused %v after its last answer, want at least %v", waited, delay)
	}
}

// With fewer connections than hosts, no request gets the answer to another one, although hosts send some answers a second
// time some milliseconds later. It guards against a shorter delay before reuse where connections are short.
func TestLateDuplicatesWithFullPool(t *testing.T) {
	const hosts, requests, work, copyAfter = 20, 600, 8 * time.Millisecond, 5 * time.Millisecond
	production, err := config.NewLimits(config.Resources{Cores: 1, MemoryMB: 64, Sockets: 256}, logic.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	limits := testLimits()
	limits.ServerReuseDelay, limits.ServerConns = production.ServerReuseDelay, hosts*3/4
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		var copies sync.WaitGroup
		defer copies.Wait()
		for {
			id := ""
			for {
				line, err := r.ReadString('\n')
				if err != nil {
					return
				}
				if name, value, _ := strings.Cut(strings.TrimSpace(line), ": "); name == "X-Txn" {
					id = value
				} else if line == "\r\n" {
					break
				}
			}
			time.Sleep(work)
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
			io.WriteString(c, answer)
			if strings.HasSuffix(id, "0") {
				copies.Go(func() {
					time.Sleep(copyAfter)
					io.WriteString(c, answer)
				})
			}
		}
	}
	var list []gateway.Host
	for i := range hosts {
		list = append(list, newFakeHost(t, serve).host(logic.ServerID(i+1)))
	}
	p, _ := newPool(t, limits, list...)
	var attempts sync.WaitGroup
	var wrong, served atomic.Int64
	for i := range requests {
		id := fmt.Sprint("request", i)
		attempts.Go(func() {
			r := send(t, p, gateway.Attempt{Server: logic.ServerID(i/2%hosts + 1), Exchange: exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: id}, exchange.Fields{}, time.Now().Add(patience))})
			switch {
			case r.Outcome == logic.OK && string(r.Body) != id:
				wrong.Add(1)
			case r.Outcome == logic.OK:
				served.Add(1)
			}
		})
		// The second request to a host is sent some milliseconds after the answer to the first.
		time.Sleep([]time.Duration{work + copyAfter*3/5, time.Millisecond}[i%2])
	}
	attempts.Wait()
	if wrong.Load() > 0 || served.Load() < requests*9/10 {
		t.Errorf("of %d requests, %d got their own answer and %d another one's", requests, served.Load(), wrong.Load())
	}
}

// A duplicate of an answer that arrives some milliseconds after it must not be taken for another request's answer: the
// next request to the host, sent before the duplicate arrives, uses another connection.
func TestLateDuplicateAnswerIsNotUsed(t *testing.T) {
	production, err := config.NewLimits(config.Resources{Cores: 1, MemoryMB: 64, Sockets: 256}, logic.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	limits := testLimits()
	limits.ServerReuseDelay = production.ServerReuseDelay
	asked, copied := make(chan struct{}, 1), make(chan struct{})
	h := newFakeHost(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			reply(c, r, strings.Replace(okResponse, "hi", "ok", 1))
			return
		}
		reply(c, r, okResponse)
		<-asked
		io.WriteString(c, okResponse) // the duplicate
		close(copied)
		reply(c, r, strings.Replace(okResponse, "hi", "ok", 1))
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	p.mu.Lock() // exactly five milliseconds have passed, however busy the machine is
	for _, c := range p.hosts[1].idle {
		c.usedAt = time.Now().Add(-5 * time.Millisecond)
	}
	c := p.hosts[1].idle
	p.mu.Unlock()
	if len(c) != 1 {
		t.Fatalf("%d idle connections", len(c))
	}
	if taken, _ := p.takeIdle(p.lookup(1)); taken != nil {
		t.Error("a connection on which a duplicate may still arrive is reused")
	}
	asked <- struct{}{}
	<-copied
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "ok" {
		t.Errorf("outcome %v, body %q", r.Outcome, r.Body)
	}
}

// An invalid or incomplete answer soon gives the outcome Reset, and its connection is closed. Interim answers before a
// valid one are skipped.
func TestInvalidAnswers(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		want   logic.Outcome
		count  string
	}{
		"more claimed than brought":   {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", logic.Reset, "answers.stalled"},
		"a head without end":          {"HTTP/1.1 200 OK\r\nX: y", logic.Reset, "answers.stalled"},
		"chunks without end":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", logic.Reset, "answers.stalled"},
		"three gigabytes":             {"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nhi", logic.Reset, "answers.malformed"},
		"a megabyte":                  {"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\nhi", logic.Reset, "answers.too_large"},
		"noise":                       {"\x00\x01\r\n\r\n\r\n", logic.Reset, "answers.malformed"},
		"interim without end":         {strings.Repeat(interim, 100), logic.Reset, "answers.malformed"},
		"an interim answer ahead":     {interim + okResponse, logic.OK, ""},
		"a report that can't be read": {"HTTP/1.1 200 OK\r\nX-Pressure: queue=\xff\r\nContent-Length: 2\r\n\r\nhi", logic.OK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.AnswerReadTimeout = 50 * time.Millisecond
			closed := make(chan struct{})
			h := newFakeHost(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				reply(conn, r, c.answer)
				r.Peek(1) // the connection stays open until the router closes it
				close(closed)
			})
			p, count := newPool(t, limits, h.host(1))
			r := send(t, p, gateway.Attempt{})
			if r.Outcome != c.want || r.Load != nil || c.want == logic.OK && string(r.Body) != "hi" {
				t.Errorf("result %+v", r)
			}
			if c.want != logic.OK {
				testwait.Value(t, "the connection to be closed", closed)
				if count.Get(c.count) != 1 {
					t.Errorf("%s is %d", c.count, count.Get(c.count))
				}
			}
		})
	}
}

// Answers longer than the limit of a request's body are served as long as the memory budget for them is not used up.
// Each answer returns what it took of the budget when it is freed.
func TestLongAnswers(t *testing.T) {
	limits := testLimits()
	limits.MaxAnswer, limits.RequestMemory = 1<<20, 1<<20
	long := strings.Repeat("long ", 60<<10) // 300 KiB
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		100<<10, long[:100<<10], len(long)-100<<10, long[100<<10:])
	for name, text := range map[string]string{"length": length + long, "chunks": chunked,
		"until the end": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long} {
		t.Run(name, func(t *testing.T) {
			h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for reply(c, r, text) != nil && name != "until the end" {
				}
				c.Close()
			})
			p, count := newPool(t, limits, h.host(1))
			var kept []gateway.Result
			for {
				r := send(t, p, gateway.Attempt{})
				if r.Outcome != logic.OK {
					if r.Outcome != logic.Reset || count.Get("answers.no_room") != 1 {
						t.Errorf("outcome %v, want OK, or Reset with answers.no_room counted once", r.Outcome)
					}
					break
				}
				if string(r.Body) != long {
					t.Fatalf("wrong body, of %d bytes", len(r.Body))
				}
				if kept = append(kept, r); len(kept) > 10 {
					t.Fatal("the memory budget never runs out")
				}
			}
			if len(kept) == 0 {
				t.Fatal("no long answer was served")
			}
			for _, r := range kept {
				r.FreeBody()
			}
			if p.Memory.Available() != limits.RequestMemory {
				t.Errorf("%d bytes of the memory budget are available, want all", p.Memory.Available())
			}
			if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
				t.Errorf("once the memory budget is free: outcome %v", r.Outcome)
			}
		})
	}
}

// The read timeout applies only once an answer has begun: a host may work for long before and after an interim answer.
func TestSlowAnswerIsNotStalled(t *testing.T) {
	limits := testLimits()
	limits.AnswerReadTimeout = 50 * time.Millisecond
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		reply(c, r, "HTTP/1.1 100 Continue\r\n\r\n")
		time.Sleep(3 * limits.AnswerReadTimeout)
		io.WriteString(c, okResponse)
		r.Peek(1)
	})
	p, _ := newPool(t, limits, h.host(1))
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
		t.Errorf("result %+v", r)
	}
}

func TestConnectionIsReused(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	for range 5 {
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Fatalf("outcome %v", r.Outcome)
		}
	}
	if h.accepted() != 1 {
		t.Errorf("%d connections for five requests in a row, want 1", h.accepted())
	}
	p.CloseIdle(1)
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections after the idle one was closed, want 2", h.accepted())
	}
}

// An attempt that is given up closes its connection before it reports its outcome.
func TestGivingUpClosesConnection(t *testing.T) {
	for _, byTime := range []bool{true, false} {
		ended := make(chan struct{})
		arrived := make(chan struct{})
		h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
			reply(c, r, "")
			close(arrived)
			r.Peek(1) // returns once the other side has closed
			close(ended)
		})
		p, _ := newPool(t, testLimits(), h.host(1))
		a, want := gateway.Attempt{}, logic.Cancelled
		if byTime {
			a.Deadline, want = time.Now().Add(100*time.Millisecond), logic.TimedOut
		}
		results, cancel := startAttempt(p, a)
		<-arrived
		if !byTime {
			cancel()
		}
		if r := testwait.Value(t, "a result", results); r.Outcome != want {
			t.Errorf("outcome %v, want %v", r.Outcome, want)
		}
		select {
		case <-ended:
		case <-time.After(patience):
			t.Error("the connection of an attempt that was given up stays open")
		}
		cancel()
	}
}

// An attempt is not sent if that is too late or if its request has ended.
func TestLateSendsAreGivenUp(t *testing.T) {
	quick := testLimits()
	quick.SendGrace = 0
	draining := func(h gateway.Host) gateway.Host { h.State = logic.Draining; return h }
	cases := []struct {
		name    string
		limits  config.Limits
		before  func(p *Pool, h gateway.Host)
		attempt func(a *gateway.Attempt)
	}{
		{"the drain grace is over", quick, func(p *Pool, h gateway.Host) { p.UpdateServers(false, []gateway.Host{draining(h)}) }, nil},
		{"a lower cap applies, whatever the drain grace", testLimits(), func(p *Pool, _ gateway.Host) { p.CancelUnsent(7) },
			func(a *gateway.Attempt) { a.DecidedAt = time.Now().Add(-time.Hour) }},
		{"the deduplication window of its servers is over", testLimits(), nil, func(a *gateway.Attempt) { a.SendBy = time.Now().Add(-time.Millisecond) }},
		{"its client has left", testLimits(), nil, func(a *gateway.Attempt) { a.Exchange.Abandon() }},
		{"the request has ended", testLimits(), nil, func(a *gateway.Attempt) { a.Exchange.Finish(exchange.Answer{}) }},
		{"its time is over", testLimits(), nil, func(a *gateway.Attempt) { a.Deadline = time.Now().Add(-time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) })
			p, _ := newPool(t, c.limits, h.host(1))
			if c.before != nil {
				c.before(p, h.host(1))
				time.Sleep(2 * time.Millisecond)
			}
			a := gateway.Attempt{Exchange: exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: "x"},
				exchange.Fields{}, time.Now().Add(patience))}
			if c.attempt != nil {
				c.attempt(&a)
			}
			if r := send(t, p, a); r.Outcome != logic.NotSent {
				t.Errorf("outcome %v", r.Outcome)
			}
		})
	}
}

// Within the drain grace, an attempt that was decided before the drain is still sent.
func TestSendWithinGrace(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) })
	p, _ := newPool(t, testLimits(), h.host(1))
	d := h.host(1)
	d.State = logic.Draining
	p.UpdateServers(false, []gateway.Host{d})
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// tooLate calls Pool.tooLate with the lock held.
func tooLate(p *Pool, h *host, a gateway.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tooLate(h, a)
}

// An attempt that is not sent yet is given up when its host is replaced by another incarnation or removed from the list.
func TestReplacedOrRemovedHostGetsNothing(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) })
	p, _ := newPool(t, testLimits(), h.host(1))
	old := p.lookup(1)
	again := h.host(1)
	again.Build = 8
	p.UpdateServers(false, []gateway.Host{again})
	now := gateway.Attempt{DecidedAt: time.Now()}
	if !tooLate(p, old, now) || tooLate(p, p.lookup(1), now) {
		t.Error("the earlier incarnation may be sent to, or the present one may not")
	}
	present := p.lookup(1)
	p.UpdateServers(true, nil)
	if p.lookup(1) != nil {
		t.Error("a host that a whole list does not contain is kept")
	}
	if !tooLate(p, present, now) {
		t.Error("a host that was taken off the list may be sent to")
	}
}

// A host that drains, is gone and is back under its name within one message of discovery is a new incarnation: attempts
// decided for the earlier one are not sent, its connections are closed, and the new one is not draining.
func TestHostReplacedWithinOneMessage(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	limits := testLimits()
	limits.SendGrace = 0
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	before := p.lookup(1)
	drains, gone, back := h.host(1), h.host(1), h.host(1)
	drains.State, gone.State, back.Build = logic.Draining, logic.Gone, 8
	for _, message := range [][]gateway.Host{{drains, gone, back}, {drains, gone, h.host(1)}} { // another build, or the same
		p.UpdateServers(false, message)
		now := p.lookup(1)
		if now == nil || now == before || tooLate(p, now, gateway.Attempt{DecidedAt: time.Now()}) || !tooLate(p, before, gateway.Attempt{DecidedAt: time.Now()}) {
			t.Fatal("the earlier incarnation may be sent to, or the present one may not")
		}
		p.mu.Lock()
		if len(before.idle) != 0 {
			t.Error("the connections of the earlier incarnation stay open")
		}
		p.mu.Unlock()
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Errorf("outcome %v", r.Outcome)
		}
		before = now
	}
}

// abortOnRead is a connection on which an answer arrives completely just as its attempt is aborted.
type abortOnRead struct {
	net.Conn
	abort func()
}

func (c abortOnRead) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.abort()
	return n, err
}

// An answer that arrives completely just as the attempt's deadline passes is returned. Its connection is not reused,
// because abort may set a past deadline on it at any moment.
func TestAnswerCompleteAtTheDeadline(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) })
	raw, err := net.Dial("tcp", h.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	ctx, stop := context.WithCancel(t.Context())
	var c *conn
	c = newConn(abortOnRead{raw, func() { stop(); c.abort() }}, responseLimits{maxHead: 4096, maxBody: 4096, readTimeout: patience})
	r, written, err := c.roundTrip(ctx, []byte("GET /api HTTP/1.1\r\nHost: x\r\n\r\n"), nil, nil)
	if err != nil || !written || string(r.body) != "hi" || r.reusable {
		t.Errorf("body %q, written %v, reusable %v: %v", r.body, written, r.reusable, err)
	}
}

// If the host closes the connection while a request is being sent, the request may have run. It is never resent here,
// whatever its class: the logic package decides on retries from the outcome Reset.
func TestHostClosesDuringTheRequest(t *testing.T) {
	for _, m := range []exchange.Message{{Method: "GET", Target: "/api", ID: "safe"}, {Method: "POST", Target: "/api", ID: "keyed", DedupKey: "k", Body: []byte("b")},
		{Method: "POST", Target: "/api", ID: "unsafe", Body: []byte("b")}} {
		var mu sync.Mutex
		ran := 0
		h := newFakeHost(t, func(n int, c net.Conn, r *bufio.Reader) {
			for served := 0; ; served++ {
				text := okResponse
				if served == 1 {
					text = ""
				}
				if reply(c, r, text) == nil {
					return
				}
				mu.Lock()
				ran++
				mu.Unlock()
				if served == 1 {
					c.Close()
					return
				}
			}
		})
		p, _ := newPool(t, testLimits(), h.host(1))
		send(t, p, gateway.Attempt{})
		r := send(t, p, gateway.Attempt{Exchange: exchange.New(m, exchange.Fields{}, time.Now().Add(patience))})
		mu.Lock()
		if r.Outcome != logic.Reset || ran != 2 || h.accepted() != 1 {
			t.Errorf("%s: outcome %v, %d requests ran on %d connections, want 2 on 1", m.ID, r.Outcome, ran, h.accepted())
		}
		mu.Unlock()
	}
}

// The pool keeps no state of builds, hosts and incarnations that are gone. Otherwise its memory would grow with every
// release.
func TestStateDoesNotGrowWithBuilds(t *testing.T) {
	limits := testLimits()
	limits.MaxWait = 0
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	p, _ := newPool(t, limits, h.host(1))
	for b := logic.BuildID(8); b < 40; b++ {
		fresh := h.host(logic.ServerID(b))
		fresh.Build = b
		p.UpdateServers(false, []gateway.Host{fresh})
		if r := send(t, p, gateway.Attempt{Server: fresh.ID}); r.Outcome != logic.OK {
			t.Fatalf("outcome %v", r.Outcome)
		}
		p.CancelUnsent(b)
		fresh.State = logic.Gone
		p.UpdateServers(false, []gateway.Host{fresh})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.cancelledAt) != 1 || len(p.hosts) != 1 || p.open != 0 {
		t.Errorf("%d cancelled builds, %d hosts, %d connections are kept", len(p.cancelledAt), len(p.hosts), p.open)
	}
}

// At the limit of connections, the oldest idle one is closed to make a new one; if none is idle, the attempt is given up.
func TestDescriptorsExhausted(t *testing.T) {
	limits := testLimits()
	limits.ServerConns = 1
	release := make(chan struct{})
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if strings.HasSuffix(req.RequestURI, "hang") {
				<-release
			}
			io.WriteString(c, okResponse)
		}
	}
	one, two := newFakeHost(t, serve), newFakeHost(t, serve)
	p, count := newPool(t, limits, one.host(1), two.host(2))
	if r := send(t, p, gateway.Attempt{Server: 1}); r.Outcome != logic.OK {
		t.Fatalf("outcome %v", r.Outcome)
	}
	if r := send(t, p, gateway.Attempt{Server: 2}); r.Outcome != logic.OK || count.Get("connections.evicted") != 1 {
		t.Errorf("outcome %v, %d evicted", r.Outcome, count.Get("connections.evicted"))
	}
	hang := exchange.New(exchange.Message{Method: "GET", Target: "/api?hang", ID: "x"}, exchange.Fields{},
		time.Now().Add(patience))
	results, cancel := startAttempt(p, gateway.Attempt{Exchange: hang, Server: 2})
	defer cancel()
	testwait.Until(t, "the only connection to be in use", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.hosts[2].idle) == 0
	})
	if r := send(t, p, gateway.Attempt{Server: 1}); r.Outcome != logic.NotSent {
		t.Errorf("without an idle connection to close: outcome %v", r.Outcome)
	}
	close(release)
	if r := testwait.Value(t, "a result", results); r.Outcome != logic.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// Idle connections are closed after the pool's own idle timeout, while the host still keeps them open.
func TestIdleConnectionsRetire(t *testing.T) {
	limits := testLimits()
	limits.ServerIdleTimeout = 20 * time.Millisecond
	closed := make(chan struct{})
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		reply(c, r, okResponse)
		r.Peek(1)
		close(closed)
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("an idle connection is kept longer than the idle timeout")
	}
}

func TestProbe(t *testing.T) {
	cases := []struct {
		answer string
		want   logic.Outcome
		queue  float64
	}{
		{"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nqueue=3", logic.OK, 3},
		{"HTTP/1.1 200 OK\r\nX-Pressure: queue=4\r\nContent-Length: 0\r\n\r\n", logic.OK, 4},
		{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", logic.OK, -1},
		{"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", logic.ServerError, -1},
	}
	for _, c := range cases {
		paths := make(chan string, 1)
		h := newFakeHost(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if req := reply(conn, r, c.answer); req != nil {
				paths <- req.RequestURI
			}
		})
		p, _ := newPool(t, testLimits(), h.host(1))
		results := make(chan gateway.Result, 1)
		p.Probe(1, func(r gateway.Result) { results <- r })
		r := testwait.Value(t, "a result", results)
		if r.Outcome != c.want || (r.Load != nil) != (c.queue >= 0) || r.Load != nil && r.Load.Queue != c.queue {
			t.Errorf("%q: result %+v, load %+v", c.answer, r, r.Load)
		}
		if path := <-paths; path != "/-/load" {
			t.Errorf("probe asked %s", path)
		}
	}
}
