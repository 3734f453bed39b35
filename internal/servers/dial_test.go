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

// fullBacklog listens with room for one connection, which is taken: the kernel drops whoever asks for another, and the
// asker's kernel asks again some time later. Connections come up once the first one has been accepted.
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

// keyed is an attempt for a key that may not go back to an earlier build.
func keyed(server logic.ServerID, key uint64) gateway.Attempt {
	return gateway.Attempt{Server: server, ForwardOnly: true, Exchange: exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: "x"},
		exchange.Fields{Key: key, HasKey: true}, time.Now().Add(patience))}
}

// What has left for a key binds what was decided before, and only where keys go forward; what is decided since is the
// module's, as the later build may be on its way back. What is kept for it does not grow.
func TestForwardBindsWhatWasDecidedBefore(t *testing.T) {
	h := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for answer(c, r, fine) != nil {
		}
	})
	later := h.host(2)
	later.Build = 8
	limits := testLimits()
	limits.ServerIdleTimeout, limits.MaxWait = 160*time.Millisecond, patience
	p, _ := newPool(t, limits, h.host(1), later)
	before := keyed(1, 5)
	before.DecidedAt = time.Now()
	if r := send(t, p, keyed(2, 5)); r.Outcome != logic.OK {
		t.Fatalf("outcome %v", r.Outcome)
	}
	if r := send(t, p, before); r.Outcome != logic.NotSent {
		t.Errorf("decided before: outcome %v", r.Outcome)
	}
	if r := send(t, p, keyed(1, 5)); r.Outcome != logic.OK {
		t.Errorf("decided since: outcome %v", r.Outcome)
	}
	before = keyed(1, 5)
	before.ForwardOnly, before.DecidedAt = false, time.Now().Add(-time.Minute)
	if r := send(t, p, before); r.Outcome != logic.OK {
		t.Errorf("where keys may go back: outcome %v", r.Outcome)
	}
	p.mu.Lock()
	kept := len(p.left)
	p.left[5] = left{8, time.Now().Add(-2 * patience)} // long ago
	p.mu.Unlock()
	if kept != 1 {
		t.Errorf("%d keys are kept, one was asked for", kept)
	}
	testwait.Until(t, "it to be forgotten", func() bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.left) == 0
	})
}

// An attempt for an earlier build that is held by its dial while one that had left for a later build is answered, be it that
// the answer breaks off, is given up; where that one only failed, it goes.
func TestAnswerWhileADialIsHeld(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   logic.Outcome
	}{
		"answered":         {fine, logic.NotSent},
		"answer broke off": {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", logic.NotSent},
		"failed":           {"HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nhi", logic.OK},
		"reset":            {"", logic.OK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			arrived, release := make(chan struct{}), make(chan struct{})
			later := newStandIn(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				answer(conn, r, "")
				close(arrived)
				<-release
				io.WriteString(conn, c.answer)
				conn.Close()
			}).host(2)
			later.Build = 8
			l, _ := fullBacklog(t)
			p, _ := newPool(t, testLimits(), gateway.Host{Addr: l.Addr().String(), Server: logic.Server{ID: 1, Build: 7}}, later)
			first, cancel := begin(p, keyed(2, 5))
			defer cancel()
			testwait.Value(t, "the attempt at the later build", arrived)
			held, cancel := begin(p, keyed(1, 5))
			defer cancel()
			testwait.Until(t, "the dial to begin", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.open == 2
			})
			close(release)
			testwait.Value(t, "its end", first)
			standInAt(t, l, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) })
			if r := testwait.Value(t, "a result", held); r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
		})
	}
}

// Of an attempt that ends without a good answer it is told whether one had begun.
func TestBegunAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		text  string
		stay  bool // until the attempt's time is over
		want  logic.Outcome
		begun bool
	}{
		"nothing":                     {"", false, logic.Reset, false},
		"half a status line":          {"HTTP/1.1 2", false, logic.Reset, true},
		"a status line":               {"HTTP/1.1 200 OK\r\n", false, logic.Reset, true},
		"half a head":                 {"HTTP/1.1 200 OK\r\nContent-Le", false, logic.Reset, true},
		"half a body":                 {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", false, logic.Reset, true},
		"half a chunked body":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", false, logic.Reset, true},
		"two lengths":                 {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", false, logic.Reset, true},
		"too long":                    {"HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\nhi", false, logic.Reset, true},
		"noise":                       {"\x00\x01\x02\r\n", false, logic.Reset, true},
		"half a head, and time":       {"HTTP/1.1 200 OK\r\nContent-Le", true, logic.TimedOut, true},
		"nothing, and time":           {"", true, logic.TimedOut, false},
		"half an error":               {"HTTP/1.1 500 Oh\r\nContent-Length: 9\r\n\r\nhi", false, logic.Reset, false},
		"a spoilt error":              {"HTTP/1.1 503 Oh\r\nContent-Length: x\r\n\r\n", false, logic.Reset, false},
		"an interim one":              {"HTTP/1.1 100 Continue\r\n\r\n", false, logic.Reset, false},
		"an interim one, half behind": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", false, logic.Reset, true},
		"an error":                    {"HTTP/1.1 500 Oh\r\nContent-Length: 2\r\n\r\nhi", false, logic.ServerError, false},
	} {
		h := newStandIn(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			answer(conn, r, c.text)
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

// What changes while a dial is held: the attempt is given up as it comes up, the host gets no byte of it, and it never
// passes for one that may have run.
func TestDialComesUpLate(t *testing.T) {
	with := func(change func(h *gateway.Host)) func(*Pool, gateway.Host, *exchange.Exchange) {
		return func(p *Pool, h gateway.Host, _ *exchange.Exchange) {
			change(&h)
			p.UpdateServers(false, []gateway.Host{h})
		}
	}
	asks := func(key uint64, build logic.BuildID) func(*Pool, gateway.Host, *exchange.Exchange) {
		return func(p *Pool, _ gateway.Host, _ *exchange.Exchange) {
			other := newStandIn(t, func(_ int, c net.Conn, r *bufio.Reader) { answer(c, r, fine) }).host(2)
			other.Build = build
			p.UpdateServers(false, []gateway.Host{other})
			if r := send(t, p, keyed(2, key)); r.Outcome != logic.OK {
				t.Errorf("the other attempt: outcome %v", r.Outcome)
			}
		}
	}
	cases := []struct {
		name   string
		change func(p *Pool, h gateway.Host, ex *exchange.Exchange) // while the dial is held
		want   logic.Outcome
	}{
		{"nothing", func(*Pool, gateway.Host, *exchange.Exchange) {}, logic.OK},
		{"its host drains, within the grace", with(func(h *gateway.Host) { h.State = logic.Draining }), logic.OK},
		{"its host drains, beyond the grace", with(func(h *gateway.Host) { h.State = logic.Draining }), logic.NotSent},
		{"its host is taken off the list", with(func(h *gateway.Host) { h.State = logic.Gone }), logic.NotSent},
		{"the address is another build's", with(func(h *gateway.Host) { h.Build = 8 }), logic.NotSent},
		{"the host has started anew", with(func(h *gateway.Host) { h.Started = time.Second }), logic.NotSent},
		{"the cap falls", func(p *Pool, h gateway.Host, _ *exchange.Exchange) { p.CancelUnsent(h.Build) }, logic.NotSent},
		{"its client leaves", func(_ *Pool, _ gateway.Host, ex *exchange.Exchange) { ex.Abandon() }, logic.NotSent},
		{"the request ends", func(_ *Pool, _ gateway.Host, ex *exchange.Exchange) { ex.Finish(exchange.Answer{}) }, logic.NotSent},
		{"the window for repeats is over", nil, logic.NotSent},
		{"an attempt for its key leaves to a later build", asks(5, 8), logic.NotSent},
		{"an attempt for its key leaves to the same build", asks(5, 7), logic.OK},
		{"an attempt for its key leaves to an earlier build", asks(5, 6), logic.OK},
		{"an attempt for another key leaves to a later build", asks(6, 8), logic.OK},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel() // each waits for the kernel to ask again, a second or so
			l, first := fullBacklog(t)
			host := gateway.Host{Addr: l.Addr().String(), Server: logic.Server{ID: 1, Build: 7}}
			limits := testLimits()
			if strings.Contains(c.name, "beyond the grace") {
				limits.SendGrace = 0
			}
			p, _ := newPool(t, limits, host)
			a := keyed(1, 5)
			ex := a.Exchange
			if c.change == nil {
				a.SendBy = time.Now().Add(10 * time.Millisecond)
			}
			results, cancel := begin(p, a)
			defer cancel()
			testwait.Until(t, "the dial to begin", func() bool {
				p.mu.Lock()
				defer p.mu.Unlock()
				return p.open == 1
			})
			if c.change != nil {
				c.change(p, host, ex)
			}
			time.Sleep(time.Until(a.SendBy)) // it has passed
			var ran atomic.Int64
			s := standInAt(t, l, func(_ int, c net.Conn, r *bufio.Reader) {
				if answer(c, r, fine) != nil {
					ran.Add(1)
				}
			})
			r := testwait.Value(t, "a result", results)
			testwait.Until(t, "both connections", func() bool { return s.accepted() == 2 })
			if r.Outcome != c.want {
				t.Errorf("outcome %v, want %v", r.Outcome, c.want)
			}
			first.Close()
			p.Close() // what was written has been read by the time that the host sees the end
			s.end()
			if n := ran.Load(); n != map[bool]int64{true: 1}[c.want == logic.OK] {
				t.Errorf("%d requests at the host", n)
			}
		})
	}
}
