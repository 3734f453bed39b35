package servers

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"merlinarch/internal/exchange"
	"merlinarch/internal/gateway"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

// fullBacklog returns a listener whose backlog holds one connection, and that connection. The kernel drops the SYN of
// every further dial, and the dialing side sends it again some time later. Dials succeed once the first connection has
// been accepted.
func fullBacklog(t *testing.T) (l net.Listener, first net.Conn) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "listener")
	defer f.Close()
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	if l, err = net.FileListener(f); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if first, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { first.Close() })
	return l, first
}

// attemptForKey returns an attempt for a key whose requests must not go back to an earlier build.
func attemptForKey(server logic.ServerID, key uint64) gateway.Attempt {
	return gateway.Attempt{Server: server, ForwardOnly: true, Exchange: exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: "x"},
		exchange.Fields{Key: key, HasKey: true}, time.Now().Add(patience))}
}

// An attempt sent to a later build voids attempts for the same key at earlier builds that were decided before, if they
// are marked ForwardOnly. Attempts decided since are sent, because the later build may be rolling back. The record of
// the key is dropped after some time.
func TestForwardKeyVoidsEarlierDecisions(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	later := h.host(2)
	later.Build = 8
	limits := testLimits()
	limits.ServerIdleTimeout, limits.MaxWait = 160*time.Millisecond, patience
	p, _ := newPool(t, limits, h.host(1), later)
	before := attemptForKey(1, 5)
	before.DecidedAt = time.Now()
	if r := send(t, p, attemptForKey(2, 5)); r.Outcome != logic.OK {
		t.Fatalf("outcome %v", r.Outcome)
	}
	if r := send(t, p, before); r.Outcome != logic.NotSent {
		t.Errorf("decided before: outcome %v", r.Outcome)
	}
	if r := send(t, p, attemptForKey(1, 5)); r.Outcome != logic.OK {
		t.Errorf("decided afterwards: outcome %v", r.Outcome)
	}
	before = attemptForKey(1, 5)
	before.ForwardOnly, before.DecidedAt = false, time.Now().Add(-time.Minute)
	if r := send(t, p, before); r.Outcome != logic.OK {
		t.Errorf("without ForwardOnly: outcome %v", r.Outcome)
	}
	p.mu.Lock()
	kept := len(p.keyBuilds)
	p.keyBuilds[5] = keyBuild{8, time.Now().Add(-2 * patience)} // long ago
	p.mu.Unlock()
	if kept != 1 {
		t.Errorf("%d keys are kept, want 1", kept)
	}
	testwait.Until(t, "the record of the key to be dropped", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.keyBuilds) == 0
	})
}

// While an attempt for an earlier build waits for its dial, an attempt for the same key at a later build is answered. The
// waiting attempt is given up, even if the answer breaks off; it is sent if the other attempt failed.
func TestAnswerDuringDial(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   logic.Outcome
	}{
		"answered":         {okResponse, logic.NotSent},
		"answer broke off": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", logic.NotSent},
		"failed":           {"HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nhi", logic.OK},
		"reset":            {"", logic.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan struct{}), make(chan struct{})
			later := newFakeHost(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				reply(conn, r, "")
				close(arrived)
				<-release
				io.WriteString(conn, c.answer)
				conn.Close()
			}).host(2)
			later.Build = 8
			l, _ := fullBacklog(t)
			p, _ := newPool(t, testLimits(), gateway.Host{Addr: l.Addr().String(), Server: logic.Server{ID: 1, Build: 7}}, later)
			first, cancel := startAttempt(p, attemptForKey(2, 5))
			defer cancel()
			testwait.Value(t, "the attempt at the later build", arrived)
			held, cancel := startAttempt(p, attemptForKey(1, 5))
			defer cancel()
			testwait.Until(t, "the dial to begin", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.open == 2
			})
			close(release)
			testwait.Value(t, "the end of the attempt at the later build", first)
			newFakeHostOn(t, l, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) })
			if r := testwait.Value(t, "a result", held); r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
		})
	}
}

// The result of an attempt without a complete successful answer reports whether such an answer had begun.
func TestBegunAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		stay  bool // keep the connection open until the attempt's time is over
		want  logic.Outcome
		begun bool
	}{
		"nothing":                             {"", false, logic.Reset, false},
		"half a status line":                  {"HTTP/1.1 2", false, logic.Reset, true},
		"a status line":                       {"HTTP/1.1 200 OK\r\n", false, logic.Reset, true},
		"half a head":                         {"HTTP/1.1 200 OK\r\nContent-Le", false, logic.Reset, true},
		"half a body":                         {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false, logic.Reset, true},
		"half a chunked body":                 {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, logic.Reset, true},
		"two lengths":                         {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", false, logic.Reset, true},
		"too long":                            {"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\nhi", false, logic.Reset, true},
		"noise":                               {"\x00\x01\x02\r\n", false, logic.Reset, true},
		"half a head, then timeout":           {"HTTP/1.1 200 OK\r\nContent-Le", true, logic.TimedOut, true},
		"nothing, then timeout":               {"", true, logic.TimedOut, false},
		"half an error":                       {"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhi", false, logic.Reset, false},
		"an invalid error":                    {"HTTP/1.1 503 Oh\r\nContent-Length: x\r\n\r\n", false, logic.Reset, false},
		"an interim answer":                   {"HTTP/1.1 100 Continue\r\n\r\n", false, logic.Reset, false},
		"an interim answer, then half a head": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", false, logic.Reset, true},
		"an error":                            {"HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nhi", false, logic.ServerError, false},
	} {
		h := newFakeHost(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			reply(conn, r, c.text)
			if !c.stay {
				conn.Close()
			}
			r.Peek(1) // returns once the other side has closed
		})
		p, _ := newPool(t, testLimits(), h.host(1))
		a := gateway.Attempt{}
		if c.stay {
			a.Deadline = time.Now().Add(100 * time.Millisecond)
		}
		if r := send(t, p, a); r.Outcome != c.want || r.AnswerBegun != c.begun {
			t.Errorf("%s: outcome %v, begun %v", name, r.Outcome, r.AnswerBegun)
		}
	}
}

// A change that forbids an attempt while its dial is in progress: the attempt is given up once the connection is
// established, the host gets no byte of it, and its outcome does not say that it may have run.
func TestChangeDuringDial(t *testing.T) {
	listHost := func(change func(h *gateway.Host)) func(*Pool, gateway.Host, *exchange.Exchange) {
		return func(p *Pool, h gateway.Host, _ *exchange.Exchange) {
			change(&h)
			p.UpdateServers(false, []gateway.Host{h})
		}
	}
	sendForKey := func(key uint64, build logic.BuildID) func(*Pool, gateway.Host, *exchange.Exchange) {
		return func(p *Pool, _ gateway.Host, _ *exchange.Exchange) {
			other := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) { reply(c, r, okResponse) }).host(2)
			other.Build = build
			p.UpdateServers(false, []gateway.Host{other})
			if r := send(t, p, attemptForKey(2, key)); r.Outcome != logic.OK {
				t.Errorf("the other attempt: outcome %v", r.Outcome)
			}
		}
	}
	cases := []struct {
		name   string
		change func(p *Pool, h gateway.Host, ex *exchange.Exchange) // while the dial is in progress
		want   logic.Outcome
	}{
		{"nothing", func(*Pool, gateway.Host, *exchange.Exchange) {}, logic.OK},
		{"its host drains, within the grace", listHost(func(h *gateway.Host) { h.State = logic.Draining }), logic.OK},
		{"its host drains, beyond the grace", listHost(func(h *gateway.Host) { h.State = logic.Draining }), logic.NotSent},
		{"its host is taken off the list", listHost(func(h *gateway.Host) { h.State = logic.Gone }), logic.NotSent},
		{"the address belongs to another build", listHost(func(h *gateway.Host) { h.Build = 8 }), logic.NotSent},
		{"the host has restarted", listHost(func(h *gateway.Host) { h.Started = time.Second }), logic.NotSent},
		{"the cap falls", func(p *Pool, h gateway.Host, _ *exchange.Exchange) { p.CancelUnsent(h.Build) }, logic.NotSent},
		{"its client leaves", func(_ *Pool, _ gateway.Host, ex *exchange.Exchange) { ex.Abandon() }, logic.NotSent},
		{"the request ends", func(_ *Pool, _ gateway.Host, ex *exchange.Exchange) { ex.Finish(exchange.Answer{}) }, logic.NotSent},
		{"the deduplication window is over", nil, logic.NotSent},
		{"an attempt for its key is sent to a later build", sendForKey(5, 8), logic.NotSent},
		{"an attempt for its key is sent to the same build", sendForKey(5, 7), logic.OK},
		{"an attempt for its key is sent to an earlier build", sendForKey(5, 6), logic.OK},
		{"an attempt for another key is sent to a later build", sendForKey(6, 8), logic.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel() // each waits about a second for the kernel to send the SYN again
			l, first := fullBacklog(t)
			host := gateway.Host{Addr: l.Addr().String(), Server: logic.Server{ID: 1, Build: 7}}
			limits := testLimits()
			if strings.Contains(c.name, "beyond the grace") {
				limits.SendGrace = 0
			}
			p, _ := newPool(t, limits, host)
			a := attemptForKey(1, 5)
			ex := a.Exchange
			if c.change == nil {
				a.SendBy = time.Now().Add(10 * time.Millisecond)
			}
			results, cancel := startAttempt(p, a)
			defer cancel()
			testwait.Until(t, "the dial to begin", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.open == 1
			})
			if c.change != nil {
				c.change(p, host, ex)
			}
			time.Sleep(time.Until(a.SendBy)) // until it has passed
			var ran atomic.Int64
			s := newFakeHostOn(t, l, func(_ int, c net.Conn, r *bufio.Reader) {
				if reply(c, r, okResponse) != nil {
					ran.Add(1)
				}
			})
			r := testwait.Value(t, "a result", results)
			testwait.Until(t, "both connections", func() bool { return s.accepted() == 2 })
			if r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
			first.Close()
			p.Close() // the host reads all that was written before it sees the end
			s.wait()
			if n := ran.Load(); n != map[bool]int64{true: 1}[c.want == logic.OK] {
				t.Errorf("%d requests at the host", n)
			}
		})
	}
}

// An attempt is not sent if its client has left by the time that its first byte would go out, even if nobody has noticed
// that yet. It guards against attempts that a busy process sends long after the close.
func TestClientThatLeftIsNoticedAtSend(t *testing.T) {
	h := newFakeHost(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for reply(c, r, okResponse) != nil {
		}
	})
	p, counters := newPool(t, testLimits(), h.host(1))
	for _, left := range []bool{true, false} {
		ex := exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: "x"}, exchange.Fields{}, time.Now().Add(patience))
		ex.ClientLeft = func() bool { return left }
		want := logic.OK
		if left {
			want = logic.NotSent
		}
		if r := send(t, p, gateway.Attempt{Exchange: ex}); r.Outcome != want {
			t.Errorf("client left %v: outcome %v, want %v", left, r.Outcome, want)
		}
	}
	if n := counters.Get("attempts.client_left"); n != 1 {
		t.Errorf("%d attempts counted, want 1", n)
	}
}
