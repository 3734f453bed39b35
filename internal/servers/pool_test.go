package servers

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
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

func testLimits() config.Limits {
	return config.Limits{MaxHead: 4096, MaxBody: 1 << 16, MaxAnswer: 1 << 16, ServerConns: 8, MaxIdlePerServer: 4,
		DialTimeout: patience, ProbeTimeout: patience, ServerIdleTimeout: patience, SendGrace: patience,
		AnswerReadTimeout: patience, MaxWait: patience}
}

// standIn is a host that answers each connection by a script of its own.
type standIn struct {
	t     *testing.T
	l     net.Listener
	work  sync.WaitGroup
	mu    sync.Mutex
	conns []net.Conn
	over  bool // the test is: what is still accepted is closed at once
}

// newStandIn starts a host; serve is given each connection and its number, from 0.
func newStandIn(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *standIn {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return standInAt(t, l, serve)
}

// standInAt starts a host that takes its connections from l.
func standInAt(t *testing.T, l net.Listener, serve func(n int, c net.Conn, r *bufio.Reader)) *standIn {
	s := &standIn{t: t, l: l}
	s.work.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			n, over := len(s.conns), s.over
			s.conns = append(s.conns, c)
			s.mu.Unlock()
			if over { // accepted as the listener closed
				c.Close()
				continue
			}
			s.work.Go(func() { serve(n, c, bufio.NewReader(c)) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		s.mu.Lock()
		s.over = true
		for _, c := range s.conns {
			c.Close()
		}
		s.mu.Unlock()
		s.work.Wait()
	})
	return s
}

// end waits until a host has read all that came on its connections; their other sides have closed.
func (s *standIn) end() {
	s.l.Close()
	s.work.Wait()
}

func (s *standIn) accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *standIn) host(id logic.ServerID) gateway.Host {
	return gateway.Host{Addr: s.l.Addr().String(), Server: logic.Server{ID: id, Build: 7}}
}

func newPool(t *testing.T, limits config.Limits, hosts ...gateway.Host) (*Pool, *metrics.Registry) {
	t.Helper()
	count := metrics.New()
	p := New(limits, count)
	t.Cleanup(p.Close)
	p.UpdateServers(true, hosts)
	return p, count
}

// send makes one attempt and waits for its result.
func send(t *testing.T, p *Pool, a gateway.Attempt) gateway.Result {
	t.Helper()
	results, cancel := begin(p, a)
	defer cancel()
	return testwait.Value(t, "a result", results)
}

func begin(p *Pool, a gateway.Attempt) (<-chan gateway.Result, func()) {
	if a.Exchange == nil {
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
	a.Report = func(r gateway.Result) { results <- r }
	return results, p.Start(a)
}

// answer reads one request and writes text back.
func answer(c net.Conn, r *bufio.Reader, text string) *http.Request {
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

const fine = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi"

// What goes on unchanged is the bytes that came.
func TestRequestGoesOnUnchanged(t *testing.T) {
	type seen struct {
		line, id, key, body string
		remaining           bool
	}
	got := make(chan seen, 1)
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		got <- seen{req.Method + " " + req.RequestURI, req.Header.Get("X-Txn"), req.Header.Get("Idempotency-Key"),
			string(body), req.Header.Get("X-Remaining-Ms") != ""}
		io.WriteString(c, fine)
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

// The outcome turns on the last byte: before it is written nothing ran, after it the request may have.
func TestOutcomes(t *testing.T) {
	cases := []struct {
		name   string
		answer string // "" ends the connection instead
		want   logic.Outcome
	}{
		{"served", fine, logic.OK},
		{"error", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"turned away", "HTTP/1.1 503 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.Rejected},
		{"over", "HTTP/1.1 504 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.Rejected},
		{"503 that does not say so", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"error that says turned away", "HTTP/1.1 500 No\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n", logic.ServerError},
		{"broken after the last byte", "", logic.Reset},
		{"malformed", "what?\r\n\r\n", logic.Reset},
		{"half an answer", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi", logic.Reset},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newStandIn(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				answer(conn, r, c.answer)
				conn.Close()
			})
			p, _ := newPool(t, testLimits(), h.host(1))
			r := send(t, p, gateway.Attempt{})
			if r.Outcome != c.want || c.want != logic.OK && len(r.Body) > 0 {
				t.Errorf("result %+v, want outcome %v", r, c.want)
			}
			if h.accepted() != 1 {
				t.Errorf("%d connections for one attempt: something was resent", h.accepted())
			}
		})
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

// A request bigger than the kernel takes at once, to a host that reads none of it: not all of it was written
// when time ran out, so it never ran.
func TestBreakBeforeLastByte(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	p, _ := newPool(t, testLimits())
	c := newConn(a, testSizes)
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	h := &host{}
	go func() {
		io.ReadFull(b, make([]byte, 4))
		b.Close()
	}()
	if r := p.exchange(t.Context(), h, c, []byte("more than four bytes"), ""); r.Outcome != logic.ConnectFailed {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// Given up before its last byte was written, a request never ran, and its host is not to blame.
func TestGivenUpBeforeLastByte(t *testing.T) {
	a, b := net.Pipe() // nobody reads
	defer b.Close()
	p, _ := newPool(t, testLimits())
	c := newConn(a, testSizes)
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	time.AfterFunc(5*time.Millisecond, stop)
	if r := p.exchange(ctx, &host{}, c, []byte("text"), ""); r.Outcome != logic.NotSent {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// A connection that the host has closed while it was idle must not take a request.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		answer(c, r, fine)
		c.Close()
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	for i := range 20 {
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Fatalf("attempt %d: outcome %v", i, r.Outcome)
		}
		testwait.Until(t, "the close to be seen", p.someIdle(func(c *conn) bool { return !c.silent() }))
	}
}

// someIdle gives a condition: one of the idle connections to host 1 is such.
func (p *Pool) someIdle(such func(*conn) bool) func() bool {
	return func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return slices.ContainsFunc(p.hosts[1].idle, such)
	}
}

// What hosts close or say unasked is noticed also where nothing is sent.
func TestIdleConnectionsAreLookedAt(t *testing.T) {
	for name, after := range map[string]func(net.Conn){"closed": func(c net.Conn) { c.Close() },
		"noise": func(c net.Conn) { io.WriteString(c, "\x00") }} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.ServerIdleTimeout = 16 * 50 * time.Millisecond // looked at each 50 ms
			idle := make(chan struct{})
			h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
				answer(c, r, fine)
				<-idle
				after(c)
				r.Peek(1)
			})
			p, count := newPool(t, limits, h.host(1))
			send(t, p, gateway.Attempt{})
			close(idle)
			testwait.Until(t, "it to be found", func() bool { return count.Get("connections.found_closed") == 1 })
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.open != 0 {
				t.Errorf("%d connections are counted", p.open)
			}
		})
	}
}

// A second answer to one request, or noise, must not pass for the answer to the next, whenever it comes: with the
// answer, or once the connection is idle. The answer itself is good.
func TestLeftOverBytes(t *testing.T) {
	for name, extra := range map[string]string{"a copy": "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong", "noise": "\x00\xff",
		"an end of line": "\r\n", "an interim answer": "HTTP/1.1 100 Continue\r\n\r\n"} {
		for _, later := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", later: ", later), func(t *testing.T) {
				idle := make(chan struct{})
				h := newStandIn(t, func(n int, c net.Conn, r *bufio.Reader) {
					switch {
					case n > 0:
						answer(c, r, fine)
					case later:
						answer(c, r, fine)
						<-idle
						io.WriteString(c, extra)
					default:
						answer(c, r, fine+extra)
					}
					r.Peek(1)
				})
				p, _ := newPool(t, testLimits(), h.host(1))
				if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
					t.Fatalf("result %+v", r)
				}
				close(idle)
				if later {
					testwait.Until(t, "the bytes to come", p.someIdle(func(c *conn) bool { return !c.silent() }))
				}
				if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
					t.Errorf("then %+v", r)
				}
				if h.accepted() != 2 {
					t.Errorf("%d connections, want a new one after bytes that nobody asked for", h.accepted())
				}
			})
		}
	}
}

// A connection that has just brought an answer is left alone for a moment, in which more may come on it.
func TestConnectionSettles(t *testing.T) {
	limits := testLimits()
	limits.ServerReuseDelay, limits.ServerIdleTimeout = time.Hour, 3*time.Hour
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for answer(c, r, fine) != nil {
		}
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections for two requests at once", h.accepted())
	}
	p.mu.Lock()
	p.hosts[1].idle[0].usedAt = time.Now().Add(-2 * time.Hour)
	p.mu.Unlock()
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections once the first has settled", h.accepted())
	}
	// Where no connection can be added, none is closed for one that settles: a shorter moment has to do.
	p.mu.Lock()
	p.limits.ServerConns = 2
	p.mu.Unlock()
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections where there is room for two", h.accepted())
	}
}

// A second copy of an answer that comes some milliseconds behind it is nobody's answer: the next request to the host, made
// before it comes, goes on another connection.
func TestLateSecondAnswerIsNobodys(t *testing.T) {
	real, err := config.NewLimits(config.Resources{Cores: 1, MemoryMB: 64, Sockets: 256}, logic.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	limits := testLimits()
	limits.ServerReuseDelay = real.ServerReuseDelay
	asked, copied := make(chan struct{}, 1), make(chan struct{})
	h := newStandIn(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 0 {
			answer(c, r, strings.Replace(fine, "hi", "ok", 1))
			return
		}
		answer(c, r, fine)
		<-asked
		io.WriteString(c, fine) // the copy
		close(copied)
		answer(c, r, strings.Replace(fine, "hi", "ok", 1))
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	p.mu.Lock() // five milliseconds have passed, however busy the machine is
	for _, c := range p.hosts[1].idle {
		c.usedAt = time.Now().Add(-5 * time.Millisecond)
	}
	c := p.hosts[1].idle
	p.mu.Unlock()
	if len(c) != 1 {
		t.Fatalf("%d idle connections", len(c))
	}
	if taken := p.take(p.lookup(1)); taken != nil {
		t.Error("a connection on which a copy may still come is used again")
	}
	asked <- struct{}{}
	<-copied
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "ok" {
		t.Errorf("outcome %v, body %q", r.Outcome, r.Body)
	}
}

// A spoilt answer is a reset, soon, and its connection is closed; what comes ahead of a good one is skipped.
func TestSpoiltAnswers(t *testing.T) {
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
		"an interim answer ahead":     {interim + fine, logic.OK, ""},
		"a report that can't be read": {"HTTP/1.1 200 OK\r\nX-Pressure: queue=\xff\r\nContent-Length: 2\r\n\r\nhi", logic.OK, ""},
	} {
		t.Run(name, func(t *testing.T) {
			limits := testLimits()
			limits.AnswerReadTimeout = 50 * time.Millisecond
			closed := make(chan struct{})
			h := newStandIn(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				answer(conn, r, c.answer)
				r.Peek(1) // it stays open until the router closes it
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

// Answers longer than a request's body may be are served, as long as there is room for them together; what one only
// claims takes none, and each gives back what it took.
func TestLongAnswers(t *testing.T) {
	limits := testLimits()
	limits.MaxAnswer, limits.LongAnswerBudget = 1<<20, 1<<20
	long := strings.Repeat("long ", 60<<10) // 300 KiB
	length := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(long))
	chunked := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n",
		100<<10, long[:100<<10], len(long)-100<<10, long[100<<10:])
	for name, text := range map[string]string{"length": length + long, "chunks": chunked,
		"until the end": "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + long} {
		t.Run(name, func(t *testing.T) {
			h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
				answer(c, r, text)
				c.Close()
			})
			p, count := newPool(t, limits, h.host(1))
			var kept []gateway.Result
			for {
				r := send(t, p, gateway.Attempt{})
				if r.Outcome != logic.OK {
					if r.Outcome != logic.Reset || count.Get("answers.no_room") != 1 {
						t.Errorf("without room: %v", r.Outcome)
					}
					break
				}
				if string(r.Body) != long {
					t.Fatalf("a body of %d bytes", len(r.Body))
				}
				if kept = append(kept, r); len(kept) > 10 {
					t.Fatal("room without end")
				}
			}
			if len(kept) == 0 {
				t.Fatal("none was served")
			}
			for _, r := range kept {
				r.FreeBody()
			}
			if p.room.left != limits.LongAnswerBudget {
				t.Errorf("%d bytes of room are left", p.room.left)
			}
			if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
				t.Errorf("once there is room: %v", r.Outcome)
			}
		})
	}
}

// Only what has begun has to go on: a host may work for long before and after an interim answer.
func TestSlowAnswerIsNotStalled(t *testing.T) {
	limits := testLimits()
	limits.AnswerReadTimeout = 50 * time.Millisecond
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		answer(c, r, "HTTP/1.1 100 Continue\r\n\r\n")
		time.Sleep(3 * limits.AnswerReadTimeout)
		io.WriteString(c, fine)
		r.Peek(1)
	})
	p, _ := newPool(t, limits, h.host(1))
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK || string(r.Body) != "hi" {
		t.Errorf("result %+v", r)
	}
}

func TestConnectionIsReused(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for answer(c, r, fine) != nil {
		}
	})
	p, _ := newPool(t, testLimits(), h.host(1))
	for range 5 {
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Fatalf("outcome %v", r.Outcome)
		}
	}
	if h.accepted() != 1 {
		t.Errorf("%d connections for five requests in a row", h.accepted())
	}
	p.CloseIdle(1)
	if send(t, p, gateway.Attempt{}); h.accepted() != 2 {
		t.Errorf("%d connections after the idle one was closed", h.accepted())
	}
}

// Giving up closes the connection before the outcome is told.
func TestGivingUpClosesConnection(t *testing.T) {
	for _, byTime := range []bool{true, false} {
		ended := make(chan struct{})
		arrived := make(chan struct{})
		h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
			answer(c, r, "")
			close(arrived)
			r.Peek(1) // returns once the other side has closed
			close(ended)
		})
		p, _ := newPool(t, testLimits(), h.host(1))
		a, want := gateway.Attempt{}, logic.Cancelled
		if byTime {
			a.Deadline, want = time.Now().Add(100*time.Millisecond), logic.TimedOut
		}
		results, cancel := begin(p, a)
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
			t.Error("the connection of a given-up attempt stays open")
		}
		cancel()
	}
}

// A send must not leave late, nor for a request that has ended, nor to another life of its host.
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
		{"drain grace is over", quick, func(p *Pool, h gateway.Host) { p.UpdateServers(false, []gateway.Host{draining(h)}) }, nil},
		{"lower cap binds, whatever a drain's grace", testLimits(), func(p *Pool, _ gateway.Host) { p.CancelUnsent(7) },
			func(a *gateway.Attempt) { a.DecidedAt = time.Now().Add(-time.Hour) }},
		{"its servers no longer drop a repeat", testLimits(), nil, func(a *gateway.Attempt) { a.SendBy = time.Now().Add(-time.Millisecond) }},
		{"its client has left", testLimits(), nil, func(a *gateway.Attempt) { a.Exchange.Abandon() }},
		{"request has ended", testLimits(), nil, func(a *gateway.Attempt) { a.Exchange.Finish(exchange.Answer{}) }},
		{"time is over", testLimits(), nil, func(a *gateway.Attempt) { a.Deadline = time.Now().Add(-time.Second) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) })
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

// Within the grace a send that was decided before the drain still goes.
func TestSendWithinGrace(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) })
	p, _ := newPool(t, testLimits(), h.host(1))
	d := h.host(1)
	d.State = logic.Draining
	p.UpdateServers(false, []gateway.Host{d})
	if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

func late(p *Pool, h *host, a gateway.Attempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.late(h, a)
}

// An attempt on its way to a host that comes back as another life is given up.
func TestReplacedHost(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) })
	p, _ := newPool(t, testLimits(), h.host(1))
	old := p.lookup(1)
	again := h.host(1)
	again.Build = 8
	p.UpdateServers(false, []gateway.Host{again})
	now := gateway.Attempt{DecidedAt: time.Now()}
	if !late(p, old, now) || late(p, p.lookup(1), now) {
		t.Error("the earlier life may be sent to, or the present one not")
	}
	present := p.lookup(1)
	p.UpdateServers(true, nil)
	if p.lookup(1) != nil {
		t.Error("a host absent from the whole list is kept")
	}
	if !late(p, present, now) {
		t.Error("a host that was taken off the list may be sent to")
	}
}

// A host that drains, is gone and is back under its name within one message is another life: what was decided for the
// earlier one does not leave, its connections close, and the present one drains no more.
func TestHostIsBackWithinOneMessage(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for answer(c, r, fine) != nil {
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
		if now == nil || now == before || late(p, now, gateway.Attempt{DecidedAt: time.Now()}) || !late(p, before, gateway.Attempt{DecidedAt: time.Now()}) {
			t.Fatal("the earlier life may be sent to, or the present one not")
		}
		p.mu.Lock()
		if len(before.idle) != 0 {
			t.Error("the earlier life's connections stay")
		}
		p.mu.Unlock()
		if r := send(t, p, gateway.Attempt{}); r.Outcome != logic.OK {
			t.Errorf("outcome %v", r.Outcome)
		}
		before = now
	}
}

// wholeAtTheEnd is a connection on which an answer comes whole in the moment in which its request is given up.
type wholeAtTheEnd struct {
	net.Conn
	giveUp func()
}

func (c wholeAtTheEnd) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.giveUp()
	return n, err
}

// An answer that comes whole with the deadline is an answer; its connection is not used again, as its own deadline may be
// set any moment.
func TestAnswerComesWholeWithTheDeadline(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) })
	raw, err := net.Dial("tcp", h.l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	ctx, stop := context.WithCancel(t.Context())
	var c *conn
	c = newConn(wholeAtTheEnd{raw, func() { stop(); c.giveUp() }}, limits{head: 4096, body: 4096, whole: patience})
	r, written, err := c.roundTrip(ctx, []byte("GET /api HTTP/1.1\r\nHost: x\r\n\r\n"), nil)
	if err != nil || !written || string(r.body) != "hi" || r.reusable {
		t.Errorf("body %q, written %v, reusable %v: %v", r.body, written, r.reusable, err)
	}
}

// A connection that its host closes as the request leaves: the request may have run, and is never resent here, whatever
// its class; the module decides by it.
func TestHostClosesAsTheRequestLeaves(t *testing.T) {
	for _, m := range []exchange.Message{{Method: "GET", Target: "/api", ID: "safe"}, {Method: "POST", Target: "/api", ID: "keyed", DedupKey: "k", Body: []byte("b")},
		{Method: "POST", Target: "/api", ID: "unsafe", Body: []byte("b")}} {
		var mu sync.Mutex
		ran := 0
		h := newStandIn(t, func(n int, c net.Conn, r *bufio.Reader) {
			for served := 0; ; served++ {
				text := fine
				if served == 1 {
					text = ""
				}
				if answer(c, r, text) == nil {
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
			t.Errorf("%s: outcome %v, %d ran on %d connections", m.ID, r.Outcome, ran, h.accepted())
		}
		mu.Unlock()
	}
}

// Neither builds, nor hosts, nor their lives leave anything behind.
func TestNothingGrowsWithBuilds(t *testing.T) {
	limits := testLimits()
	limits.MaxWait = 0
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for answer(c, r, fine) != nil {
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
	if len(p.recalled) != 1 || len(p.hosts) != 1 || p.open != 0 {
		t.Errorf("%d recalled builds, %d hosts, %d connections are kept", len(p.recalled), len(p.hosts), p.open)
	}
}

// Short of descriptors the oldest idle connection closes, and where none is idle the send is given up.
func TestShortOfDescriptors(t *testing.T) {
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
			io.WriteString(c, fine)
		}
	}
	one, two := newStandIn(t, serve), newStandIn(t, serve)
	p, count := newPool(t, limits, one.host(1), two.host(2))
	if r := send(t, p, gateway.Attempt{Server: 1}); r.Outcome != logic.OK {
		t.Fatalf("outcome %v", r.Outcome)
	}
	if r := send(t, p, gateway.Attempt{Server: 2}); r.Outcome != logic.OK || count.Get("connections.evicted") != 1 {
		t.Errorf("outcome %v, %d evicted", r.Outcome, count.Get("connections.evicted"))
	}
	hang := exchange.New(exchange.Message{Method: "GET", Target: "/api?hang", ID: "x"}, exchange.Fields{},
		time.Now().Add(patience))
	results, cancel := begin(p, gateway.Attempt{Exchange: hang, Server: 2})
	defer cancel()
	testwait.Until(t, "the only connection to be used", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.hosts[2].idle) == 0
	})
	if r := send(t, p, gateway.Attempt{Server: 1}); r.Outcome != logic.NotSent {
		t.Errorf("without a descriptor: outcome %v", r.Outcome)
	}
	close(release)
	if r := testwait.Value(t, "a result", results); r.Outcome != logic.OK {
		t.Errorf("outcome %v", r.Outcome)
	}
}

// Idle connections are closed before the machine's own limit.
func TestIdleConnectionsRetire(t *testing.T) {
	limits := testLimits()
	limits.ServerIdleTimeout = 20 * time.Millisecond
	closed := make(chan struct{})
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		answer(c, r, fine)
		r.Peek(1)
		close(closed)
	})
	p, _ := newPool(t, limits, h.host(1))
	send(t, p, gateway.Attempt{})
	select {
	case <-closed:
	case <-time.After(patience):
		t.Error("an idle connection is kept beyond its time")
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
		h := newStandIn(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			if req := answer(conn, r, c.answer); req != nil {
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
