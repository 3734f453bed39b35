package clients

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = testwait.Patience

// stubGateway is a Gateway that finishes exchanges as the test says.
type stubGateway struct {
	mu        sync.Mutex
	submitted []*exchange.Exchange
	abandoned int
	onSubmit  func(*exchange.Exchange) // nil: does nothing, as if the gateway hung
	unready   atomic.Bool
	onAbandon func(*exchange.Exchange) // nil: does nothing
}

func (g *stubGateway) Submit(ex *exchange.Exchange) error {
	g.mu.Lock()
	g.submitted = append(g.submitted, ex)
	g.mu.Unlock()
	if g.onSubmit != nil {
		go g.onSubmit(ex)
	}
	return nil
}

func (g *stubGateway) Ready() bool { return !g.unready.Load() }

func (g *stubGateway) Abandon(ex *exchange.Exchange) {
	g.mu.Lock()
	g.abandoned++
	g.mu.Unlock()
	if g.onAbandon != nil {
		g.onAbandon(ex)
	}
}

// calls returns the numbers of exchanges submitted and abandoned.
func (g *stubGateway) calls() (submitted, abandoned int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.submitted), g.abandoned
}

// request returns one of the exchanges submitted.
func (g *stubGateway) request(i int) *exchange.Exchange {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.submitted[i]
}

// serveOK finishes an exchange with the answer "hi".
func serveOK(ex *exchange.Exchange) {
	ex.Finish(exchange.Answer{Status: exchange.Served, Body: []byte("hi")})
}

func testLimits() config.Limits {
	return config.Limits{MaxBody: 64 << 10, MaxHead: 16 << 10, MaxHeadFields: 100, ReadAhead: 8 << 10, RequestMemory: 1 << 20, MaxIDLength: 256, MaxHeld: 100, ClientConns: 100,
		SpareClientConns: 10, ClosesPerAcceptWait: 1, MaxWait: time.Minute, DecisionMargin: 30 * time.Millisecond, OwnAnswerMargin: 12 * time.Millisecond,
		RequestReadTimeout: patience, ClientIdleTimeout: patience, EvictSilentAfter: patience, EvictFewSilentAfter: patience, EvictIncompleteAfter: patience, WriteStallTimeout: patience, DrainTimeout: patience, KillAfter: patience,
		LingerBytes: 256 << 10, BacklogQuietTime: 5 * time.Millisecond}
}

var testSettings = logic.Settings{
	Classes: []logic.Class{{Name: "read", Repeatability: logic.Safe}, {Name: "post", Repeatability: logic.Keyed},
		{Name: "pay", Repeatability: logic.Unsafe}},
	Tenants: []logic.Tenant{{Name: "acme"}},
}

// startServer serves on loopback until the test ends.
func startServer(t *testing.T, limits config.Limits, gateway *stubGateway) (addr string, s *Server, counters *metrics.Registry) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	counters = metrics.New()
	s = New(limits, testSettings, gateway, counters, zap.NewNop())
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	t.Cleanup(func() {
		s.http.Close()
		if err := <-done; err != nil {
			t.Error(err)
		}
		testwait.Until(t, "handlers to end", func() bool { return s.openRequests.Load() == 0 })
	})
	return l.Addr().String(), s, counters
}

// client is a raw connection to the server.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Now().Add(patience)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) write(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		c.t.Fatal(err)
	}
}

// read reads one whole answer.
func (c *client) read() (*http.Response, string) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp, string(body)
}

var lastID atomic.Int64 // number of the last id, so that each request gets its own

// get returns a valid request of the safe class. A line replaces the header of its name, "+Name: value" adds one, and
// "-Name" removes one.
func get(lines ...string) string { return request("GET", "/api", "read", "", lines...) }

// post returns a valid request of the keyed class; lines are as for get.
func post(body string, lines ...string) string {
	return request("POST", "/api", "post", body, append([]string{"Idempotency-Key: k"}, lines...)...)
}

// request returns the text of a request; lines are as for get.
func request(method, target, class, body string, lines ...string) string {
	headers := []string{"Host: app.svc", fmt.Sprintf("X-Txn: t%d", lastID.Add(1)), "X-Lane: " + class, "X-Org: acme", "X-Remaining-Ms: 5000"}
	if method == "POST" {
		headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	}
	for _, line := range lines {
		name, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimPrefix(line, "-"), "+"), ":")
		kept := headers[:0]
		for _, header := range headers {
			if !strings.HasPrefix(header, name+":") || strings.HasPrefix(line, "+") {
				kept = append(kept, header)
			}
		}
		headers = kept
		if !strings.HasPrefix(line, "-") {
			headers = append(headers, strings.TrimPrefix(line, "+"))
		}
	}
	return method + " " + target + " HTTP/1.1\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n" + body
}

// Invalid requests are rejected at once, are never forwarded, and leave the connection usable where HTTP allows.
func TestBadInput(t *testing.T) {
	long := strings.Repeat("x", 300)
	cases := []struct {
		name, text string
		status     int
		usable     bool
	}{
		{"no id", get("-X-Txn"), 400, true},
		{"empty id", get("X-Txn: "), 400, true},
		{"id twice", get("+X-Txn: t2"), 400, true},
		{"id too long", get("X-Txn: " + long), 400, true},
		{"no class", get("-X-Lane"), 400, true},
		{"unknown class", get("X-Lane: other"), 400, true},
		{"no tenant", get("-X-Org"), 400, true},
		{"unknown tenant", get("X-Org: other"), 400, true},
		{"no time", get("-X-Remaining-Ms"), 400, true},
		{"time twice", get("+X-Remaining-Ms: 5"), 400, true},
		{"zero time", get("X-Remaining-Ms: 0"), 400, true},
		{"negative time", get("X-Remaining-Ms: -5"), 400, true},
		{"absurd time", get("X-Remaining-Ms: 99999999"), 400, true},
		{"time overflows", get("X-Remaining-Ms: 99999999999999999999"), 400, true},
		{"time in words", get("X-Remaining-Ms: soon"), 400, true},
		{"fraction of time", get("X-Remaining-Ms: 1.5"), 400, true},
		{"wrong method for a safe class", request("POST", "/api", "read", "x"), 405, true},
		{"wrong method for a keyed class", get("X-Lane: post"), 405, true},
		{"another method", request("DELETE", "/api", "read", ""), 405, true},
		{"unknown path", request("GET", "/other", "read", ""), 404, true},
		{"body where none is due", get("Content-Length: 2") + "hi", 400, true},
		{"no body where one is due", post(""), 411, true},
		{"no length where one is due", post("", "-Content-Length"), 411, true},
		{"no key", request("POST", "/api", "post", "x"), 400, true},
		{"key twice", post("x", "+Idempotency-Key: l"), 400, true},
		{"key too long", post("x", "Idempotency-Key: "+long), 400, true},
		{"body too large", post(strings.Repeat("x", 64<<10+1)), 413, false},
		{"chunks", post("", "-Content-Length", "Transfer-Encoding: chunked") + "2\r\nhi\r\n0\r\n\r\n", 411, false},
		{"HTTP/1.0", strings.Replace(get(), "HTTP/1.1", "HTTP/1.0", 1), 505, false},
		{"head too large", get("X-Big: " + strings.Repeat("x", 32<<10)), 431, false},
		{"two lengths", post("x", "+Content-Length: 2"), 400, false},
		{"no host", get("-Host"), 400, false},
		{"no protocol", "hello\r\n\r\n", 400, false},
		{"space before colon", get("X-Lane : read"), 400, false},
	}
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, _ := startServer(t, testLimits(), gateway)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			before, _ := gateway.calls()
			conn := dial(t, addr)
			go io.WriteString(conn, c.text) // the answer may arrive before everything is written
			if resp, body := conn.read(); resp.StatusCode != c.status {
				t.Fatalf("status %d (%s), want %d", resp.StatusCode, body, c.status)
			}
			if after, _ := gateway.calls(); after != before {
				t.Error("the request was forwarded")
			}
			if !c.usable {
				return
			}
			conn.write(get())
			if resp, body := conn.read(); resp.StatusCode != 200 || body != "hi" {
				t.Errorf("next request: status %d, body %q", resp.StatusCode, body)
			}
		})
	}
}

// A request with both Content-Length and Transfer-Encoding, whose end is ambiguous, must not smuggle another request in:
// it is rejected, the connection is closed, and nothing that follows is read as a request, however the headers are spelt.
func TestAmbiguousFramingRejected(t *testing.T) {
	hidden := get("X-Txn: hidden")
	body := "0\r\n\r\n" + hidden
	length := fmt.Sprintf("Content-Length: %d", len(body))
	chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(hidden), hidden)
	for _, spelling := range []string{"Transfer-Encoding: chunked", "transfer-encoding:chunked", "Transfer-Encoding: Chunked",
		"Transfer-Encoding:\tchunked ", "Transfer-Encoding : chunked", "Transfer-Encoding:\r\n chunked",
		"Transfer-Encoding: identity\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip, chunked",
		"Transfer-Encoding: chunked, identity", "Transfer-Encoding: xchunked", "Transfer-Encoding: ",
		"Transfer-Encoding:\x0bchunked"} {
		for name, text := range map[string]string{
			"length first":   post(body, length, "+"+spelling),
			"encoding first": post(body, "-Content-Length", spelling, "+"+length),
			"whole chunk":    post(chunk, "+"+spelling),
			"ready":          "GET /-/ready HTTP/1.1\r\nHost: x\r\n" + length + "\r\n" + spelling + "\r\n\r\n" + body,
			"older version":  strings.Replace(post(body, "+Connection: keep-alive", "+"+spelling), "HTTP/1.1", "HTTP/1.0", 1),
		} {
			t.Run(name+", "+spelling, func(t *testing.T) {
				gateway := &stubGateway{onSubmit: serveOK}
				addr, _, _ := startServer(t, testLimits(), gateway)
				c := dial(t, addr)
				c.write(text + hidden)
				if resp, _ := c.read(); resp.StatusCode < 400 {
					t.Errorf("status %d", resp.StatusCode)
				}
				if n, err := c.r.Read(make([]byte, 1)); n != 0 || err == nil {
					t.Error("a second answer was written")
				}
				if n, _ := gateway.calls(); n != 0 {
					t.Errorf("%d requests were forwarded", n)
				}
			})
		}
	}
}

// A request with the id of an open request is rejected, and the open one goes on; once it has ended, the id may be used
// again.
func TestDuplicateOpenIDRejected(t *testing.T) {
	gateway := &stubGateway{}
	addr, _, _ := startServer(t, testLimits(), gateway)
	first, second := dial(t, addr), dial(t, addr)
	same := get()
	first.write(same)
	testwait.Until(t, "the first request", func() bool { n, _ := gateway.calls(); return n == 1 })
	second.write(same)
	if resp, _ := second.read(); resp.StatusCode != 409 {
		t.Errorf("status %d", resp.StatusCode)
	}
	serveOK(gateway.submitted[0])
	if resp, _ := first.read(); resp.StatusCode != 200 {
		t.Errorf("the first request: status %d", resp.StatusCode)
	}
	gateway.mu.Lock()
	gateway.onSubmit = serveOK
	gateway.mu.Unlock()
	second.write(same)
	if resp, _ := second.read(); resp.StatusCode != 200 {
		t.Errorf("once the id is free: status %d", resp.StatusCode)
	}
}

// A client that sends nothing, or only part of a head or body, gets an error or a close within the timeout, both on a new
// connection and after a valid request.
func TestStalledRequests(t *testing.T) {
	limits := testLimits()
	limits.RequestReadTimeout, limits.ClientIdleTimeout = 30*time.Millisecond, 30*time.Millisecond
	for name, text := range map[string]string{"nothing": "", "a byte": "G", "half a head": get()[:40],
		"half a body": strings.TrimSuffix(post("body"), "dy"), "half a body that is too long": post("body", "Content-Length: 70000"),
		"half a chunk": post("5\r\nhi", "-Content-Length", "Transfer-Encoding: chunked")} {
		for _, good := range []int{0, 1} {
			t.Run(fmt.Sprint(name, " after ", good), func(t *testing.T) {
				gateway := &stubGateway{onSubmit: serveOK}
				addr, s, _ := startServer(t, limits, gateway)
				c := dial(t, addr)
				for range good {
					c.write(get())
					c.read()
				}
				c.write(text)
				if _, err := io.Copy(io.Discard, c); err != nil {
					t.Errorf("neither an answer nor a clean close: %v", err)
				}
				if n, _ := gateway.calls(); n != good {
					t.Errorf("%d requests were forwarded", n)
				}
				testwait.Until(t, "the connection to leave the table", func() bool {
					s.conns.mu.Lock()
					defer s.conns.mu.Unlock()
					return s.conns.total == 0 && s.conns.awaitingHead.Len() == 0 && s.conns.idle.Len() == 0 && s.conns.evictingCount == 0
				})
			})
		}
	}
}

// A request may wait for its answer much longer than the read timeout.
func TestLongAnswerOutlastsReadTimeout(t *testing.T) {
	limits := testLimits()
	limits.RequestReadTimeout, limits.ClientIdleTimeout = 20*time.Millisecond, 20*time.Millisecond
	gateway := &stubGateway{}
	addr, _, _ := startServer(t, limits, gateway)
	for i, text := range []string{get(), post("body")} {
		c := dial(t, addr)
		c.write(text)
		testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == i+1 })
		time.Sleep(5 * limits.RequestReadTimeout)
		if _, abandoned := gateway.calls(); abandoned != 0 {
			t.Error("the request was abandoned")
		}
		serveOK(gateway.submitted[i])
		if resp, _ := c.read(); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
}

// When descriptors are short, silent connections are evicted before those that have served requests.
func TestSilentConnectionsEvictedFirst(t *testing.T) {
	limits := testLimits()
	limits.ClientConns, limits.SpareClientConns = 4, 1
	limits.EvictSilentAfter, limits.EvictIdleAfter = time.Millisecond, patience // idle connections are not evicted during the test
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, counters := startServer(t, limits, gateway)
	servedConn := dial(t, addr)
	servedConn.write(get())
	servedConn.read()
	for range 20 {
		dial(t, addr)
	}
	testwait.Until(t, "all silent connections to be accepted", func() bool { return counters.Get("clients.connections") == 21 })
	servedConn.write(get())
	if resp, _ := servedConn.read(); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// A connection whose client is slow to send its first request keeps its descriptor while a new one waits, as long as few are
// silent. It guards against requests lost on new connections of busy clients.
func TestFewSilentConnectionsAreKept(t *testing.T) {
	limits := testLimits()
	limits.ClientConns, limits.SpareClientConns = 8, 0
	limits.EvictSilentAfter, limits.EvictIncompleteAfter = time.Millisecond, time.Millisecond
	answer := make(chan struct{})
	gateway := &stubGateway{onSubmit: func(ex *exchange.Exchange) { <-answer; serveOK(ex) }}
	addr, _, counters := startServer(t, limits, gateway)
	var open []*client
	for i := range limits.ClientConns {
		open = append(open, dial(t, addr))
		if i > 0 { // the first one stays silent
			open[i].write(get())
		}
		testwait.Until(t, "the request to be submitted", func() bool { submitted, _ := gateway.calls(); return submitted == i })
	}
	open = append(open, dial(t, addr)) // no descriptor is left for this one
	open[limits.ClientConns].write(get())
	waits := counters.Get("clients.accept_waits")
	testwait.Until(t, "the new connection to wait", func() bool { return counters.Get("clients.accept_waits") > waits+20 })
	open[0].write(get())
	testwait.Until(t, "the request that came late", func() bool { submitted, _ := gateway.calls(); return submitted == limits.ClientConns })
	close(answer)
	for i, c := range open {
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
			t.Errorf("connection %d: status %d %q", i, resp.StatusCode, body)
		}
	}
}

// The fields for the decisions are extracted, and the message is forwarded unchanged. Optional fields that cannot be parsed
// count as absent.
func TestFields(t *testing.T) {
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(strings.Replace(post("a\x00b", "X-Txn: t1", "X-Entity: 7f3a", "X-Resent: 1", "X-Estimate: 1500"), "/api", "/api/x?y=%41&z", 1))
	c.read()
	c.write(get("+X-Entity: a", "+X-Entity: b", "X-Resent: yes", "X-Estimate: much"))
	c.read()
	complete, minimal := gateway.submitted[0], gateway.submitted[1]
	want := exchange.Message{Method: "POST", Target: "/api/x?y=%41&z", ID: "t1", DedupKey: "k"}
	got := complete.Message
	if string(got.Body) != "a\x00b" {
		t.Errorf("body %q", got.Body)
	}
	if got.Body = nil; got.Method != want.Method || got.Target != want.Target || got.ID != want.ID || got.DedupKey != want.DedupKey {
		t.Errorf("message %+v, want %+v", got, want)
	}
	if f := complete.Fields; f.Class != "post" || f.Tenant != "acme" || !f.HasKey || f.Key != hashKey("7f3a") || !f.IsRetry ||
		f.ExpectedWork != 1500*time.Microsecond {
		t.Errorf("fields %+v", f)
	}
	if f := minimal.Fields; f.HasKey || f.IsRetry || f.ExpectedWork != 0 {
		t.Errorf("invalid optional fields: %+v", f)
	}
}

// Each kind of final answer has its status code, Retry-After header and body.
func TestAnswers(t *testing.T) {
	cases := []struct {
		answer exchange.Answer
		status int
		retry  string
	}{
		{exchange.Answer{Status: exchange.Served, Body: []byte("hi")}, 200, ""},
		{exchange.Answer{Status: exchange.Refused}, 503, ""},
		{exchange.Answer{Status: exchange.Refused, RetryAfter: 250 * time.Millisecond}, 503, "0.25"},
		{exchange.Answer{Status: exchange.Failed}, 502, ""},
		{exchange.Answer{Status: exchange.TimedOut}, 504, ""},
	}
	for _, c := range cases {
		gateway := &stubGateway{onSubmit: func(ex *exchange.Exchange) { ex.Finish(c.answer) }}
		addr, _, _ := startServer(t, testLimits(), gateway)
		conn := dial(t, addr)
		conn.write(get())
		resp, body := conn.read()
		if resp.StatusCode != c.status || resp.Header.Get("Retry-After") != c.retry || body != string(c.answer.Body) {
			t.Errorf("%+v: status %d, retry %q, body %q", c.answer, resp.StatusCode, resp.Header.Get("Retry-After"), body)
		}
	}
}

// An answer's buffer is released once the answer is written, even if the client has gone.
func TestAnswersAreReleased(t *testing.T) {
	freed, finish := make(chan struct{}, 2), make(chan struct{})
	gateway := &stubGateway{onSubmit: func(ex *exchange.Exchange) {
		<-finish
		ex.Finish(exchange.Answer{Status: exchange.Served, Body: []byte("hi"), FreeBody: func() { freed <- struct{}{} }})
	}}
	addr, _, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get())
	finish <- struct{}{}
	c.read()
	testwait.Value(t, "the first answer to be released", freed)
	c.write(get())
	testwait.Until(t, "the second request to be submitted", func() bool { submitted, _ := gateway.calls(); return submitted == 2 })
	c.Close()
	finish <- struct{}{}
	testwait.Value(t, "the second answer to be released", freed)
}

// If the gateway hangs, the client still gets an answer in time.
func TestTimeoutAnsweredWhenGatewayHangs(t *testing.T) {
	gateway := &stubGateway{}
	addr, _, counters := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get("X-Remaining-Ms: 200"))
	if resp, _ := c.read(); resp.StatusCode != 504 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if _, abandoned := gateway.calls(); abandoned != 1 || counters.Get("requests.answered_by_node") != 1 {
		t.Errorf("%d requests abandoned", abandoned)
	}
	if gateway.submitted[0].Finish(exchange.Answer{}) {
		t.Error("a second final answer was accepted")
	}
}

// Pipelined requests are answered in order; a request that arrives slowly in pieces is answered too.
func TestPipelinedAndSlow(t *testing.T) {
	gateway := &stubGateway{onSubmit: func(ex *exchange.Exchange) {
		ex.Finish(exchange.Answer{Status: exchange.Served, Body: []byte(ex.Message.ID)})
	}}
	addr, _, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get("X-Txn: one") + get("X-Txn: two"))
	for _, want := range []string{"one", "two"} {
		if _, body := c.read(); body != want {
			t.Errorf("body %q, want %q", body, want)
		}
	}
	for piece := range strings.SplitSeq(post("slow body", "X-Txn: three"), "o") {
		c.write(piece)
		time.Sleep(2 * time.Millisecond)
		if !strings.HasSuffix(piece, "dy") {
			c.write("o")
		}
	}
	if _, body := c.read(); body != "three" {
		t.Errorf("body %q", body)
	}
}

// A client that closes only its sending side still gets its answer; the request of one that hangs up is abandoned.
func TestHalfCloseAndHangup(t *testing.T) {
	gateway := &stubGateway{onAbandon: func(ex *exchange.Exchange) { ex.Finish(exchange.Answer{Status: exchange.Failed}) }}
	addr, _, _ := startServer(t, testLimits(), gateway)
	c := dial(t, addr)
	c.write(get())
	testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 1 })
	if err := c.Conn.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if resp, _ := c.read(); resp.StatusCode != 502 {
		t.Errorf("status %d", resp.StatusCode)
	}
	hangingUp := dial(t, addr)
	hangingUp.write(get())
	testwait.Until(t, "the request", func() bool { n, _ := gateway.calls(); return n == 2 })
	hangingUp.Close()
	testwait.Until(t, "the request to be abandoned", func() bool { _, abandoned := gateway.calls(); return abandoned == 2 })
}

// Above the limit of open requests, requests are refused at once and their connection stays open.
func TestRefusedAtCapacity(t *testing.T) {
	limits := testLimits()
	limits.MaxHeld = 1
	gateway := &stubGateway{}
	addr, _, _ := startServer(t, limits, gateway)
	held := dial(t, addr)
	held.write(get())
	testwait.Until(t, "the first request", func() bool { n, _ := gateway.calls(); return n == 1 })
	c := dial(t, addr)
	for range 2 {
		c.write(post("body"))
		if resp, _ := c.read(); resp.StatusCode != 503 || resp.Close {
			t.Errorf("status %d, close %v", resp.StatusCode, resp.Close)
		}
	}
	serveOK(gateway.submitted[0])
	if resp, _ := held.read(); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// When descriptors are short, the connection idle longest is evicted, so that no new one is left in the backlog.
func TestIdleConnectionEvictedForRoom(t *testing.T) {
	limits := testLimits()
	limits.ClientConns, limits.SpareClientConns = 3, 1
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, counters := startServer(t, limits, gateway)
	for i := range 6 { // the client keeps every connection open
		c := dial(t, addr)
		c.write(get())
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" {
			t.Fatalf("connection %d: status %d", i, resp.StatusCode)
		}
	}
	if counters.Get("clients.evicted") == 0 {
		t.Error("no idle connection was evicted")
	}
}

// Connections that are busy all the time must not keep new ones in the backlog: an answer closes its connection to free a
// descriptor.
func TestBusyConnectionClosedForRoom(t *testing.T) {
	limits := testLimits()
	limits.ClientConns, limits.SpareClientConns, limits.EvictIdleAfter = 2, 0, patience // none is evicted as idle
	gateway := &stubGateway{onSubmit: serveOK}
	addr, _, _ := startServer(t, limits, gateway)
	busy := dial(t, addr)
	const late = 4 // more than there are descriptors
	served := make(chan int, late)
	for range late {
		c := dial(t, addr)
		c.write(get())
		go func() {
			resp, err := http.ReadResponse(c.r, nil)
			if err != nil {
				served <- 0
				return
			}
			c.Close()
			served <- resp.StatusCode
		}()
	}
	for open := true; open && len(served) < late; { // until its connection is closed or all late ones are served
		busy.write(get())
		resp, _ := busy.read()
		open = !resp.Close
	}
	for range late {
		if status := testwait.Value(t, "a late connection's answer", served); status != 200 {
			t.Errorf("status %d", status)
		}
	}
}

// Evicting a connection must not lose a request that arrives on it at the same moment.
func TestEvictionLosesNoRequest(t *testing.T) {
	gateway := &stubGateway{onSubmit: serveOK}
	addr, s, counters := startServer(t, testLimits(), gateway)
	setRoom := func(n int) {
		s.conns.mu.Lock()
		defer s.conns.mu.Unlock()
		s.conns.limits.ClientConns, s.conns.limits.SpareClientConns = n, 0
	}
	allIdle := func(n int) func() bool {
		return func() bool {
			s.conns.mu.Lock()
			defer s.conns.mu.Unlock()
			return s.conns.total == n && s.conns.idle.Len() == n
		}
	}
	const rounds = 200
	for round := range rounds {
		c := dial(t, addr)
		c.write(get())
		c.read()
		testwait.Until(t, "the connection to be idle", allIdle(1))
		before, _ := gateway.calls()
		setRoom(0)
		if round%2 == 0 {
			s.conns.evictForRoom(false) // the request is sent after the eviction
		} else {
			go s.conns.evictForRoom(false) // the request races the eviction
		}
		_, err := io.WriteString(c, get())
		if err == nil {
			_, err = c.r.Peek(1)
		}
		if after, _ := gateway.calls(); err != nil && after > before {
			t.Fatalf("round %d: a request was submitted, but its connection was closed: %v", round, err)
		}
		c.Close()
		testwait.Until(t, "the connection to close", allIdle(0))
		setRoom(10)
	}
	if n := counters.Get("clients.evicted"); n < rounds/2 {
		t.Errorf("%d connections were evicted, want at least %d", n, rounds/2)
	}
}

// A request whose body stalls is never forwarded, and is rejected after the read timeout, so that it does not count as open
// forever.
func TestStalledBody(t *testing.T) {
	limits := testLimits()
	limits.RequestReadTimeout = 20 * time.Millisecond
	gateway := &stubGateway{}
	addr, _, _ := startServer(t, limits, gateway)
	c := dial(t, addr)
	c.write(strings.TrimSuffix(post("body", "X-Remaining-Ms: 50"), "dy"))
	if resp, _ := c.read(); resp.StatusCode != 408 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if n, _ := gateway.calls(); n != 0 {
		t.Error("the request was forwarded")
	}
}

// After SIGTERM, connections are accepted as before for a while; then all requests received are answered before Drain
// returns.
func TestDrain(t *testing.T) {
	limits := testLimits()
	limits.DrainDelay, limits.DrainCloseUntil = 50*time.Millisecond, 100*time.Millisecond
	gateway := &stubGateway{}
	addr, s, _ := startServer(t, limits, gateway)
	early := dial(t, addr)
	early.write(get())
	testwait.Until(t, "the first request", func() bool { n, _ := gateway.calls(); return n == 1 })
	drained := make(chan error, 1)
	go func() { drained <- s.Drain() }()
	late := dial(t, addr)
	late.write(get())
	testwait.Until(t, "the second request", func() bool { n, _ := gateway.calls(); return n == 2 })
	time.Sleep(2 * limits.DrainCloseUntil)
	select {
	case err := <-drained:
		t.Fatalf("drained with requests open: %v", err)
	default:
	}
	for i, c := range []*client{early, late} {
		serveOK(gateway.submitted[i])
		if resp, body := c.read(); resp.StatusCode != 200 || body != "hi" || !resp.Close {
			t.Errorf("request %d: status %d, close %v", i, resp.StatusCode, resp.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// A connection that never sends a request must not make Drain fail.
func TestDrainWithSilentConnection(t *testing.T) {
	limits := testLimits()
	limits.DrainTimeout = 50 * time.Millisecond
	addr, s, counters := startServer(t, limits, &stubGateway{})
	dial(t, addr)
	testwait.Until(t, "the connection", func() bool { return counters.Get("clients.connections") == 1 })
	if err := s.Drain(); err != nil {
		t.Error(err)
	}
}

// A ready router answers the readiness check with 200.
func TestReady(t *testing.T) {
	addr, _, _ := startServer(t, testLimits(), &stubGateway{})
	c := dial(t, addr)
	c.write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n")
	if resp, _ := c.read(); resp.StatusCode != 200 {
		t.Errorf("status %d", resp.StatusCode)
	}
}

// Request heads come from the network: whatever they contain, the parser must not panic, and must return either valid
// fields or a 4xx status.
func FuzzHead(f *testing.F) {
	for _, s := range []string{get(), post("x"), get("X-Remaining-Ms: -1"), get("+X-Txn: 2"), "GET / HTTP/1.1\r\nHost: a\r\n\r\n"} {
		f.Add([]byte(s))
	}
	parser := newRequestParser(testLimits(), testSettings)
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(string(data))))
		if err != nil {
			return
		}
		message, fields, wait, reqErr := parser.parseHead(r)
		if reqErr == nil && (message.ID == "" || fields.Class == "" || wait <= 0 || wait > testLimits().MaxWait) {
			t.Errorf("accepted %+v %+v %v", message, fields, wait)
		}
		if reqErr != nil && (reqErr.status < 400 || reqErr.status > 499) {
			t.Errorf("status %d", reqErr.status)
		}
	})
}
