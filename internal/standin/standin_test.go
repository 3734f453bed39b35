// Package standin_test checks the test doubles with plain clients and sockets of the protocols that they speak.
package standin_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"merlinarch/internal/standin/clients"
	"merlinarch/internal/standin/discovery"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/standin/peers"
	"merlinarch/internal/standin/platform"
	"merlinarch/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// The client sees each way in which an attempt may end, and the host sees when the client gives an attempt up.
func TestHosts(t *testing.T) {
	canceled := make(chan struct{})
	s, err := hosts.Listen("127.0.0.1:0", func(ctx context.Context, q hosts.Request) hosts.Reply {
		switch q.ID {
		case "ok":
			return hosts.Reply{Body: []byte(q.Method + q.Target + q.DedupKey + string(q.Body)), Load: "queue=2"}
		case "erred":
			return hosts.Reply{Kind: hosts.ServerError}
		case "away":
			return hosts.Reply{Kind: hosts.TurnedAway}
		case "silent":
			return hosts.Reply{Kind: hosts.Silent}
		case "given up":
			<-ctx.Done()
			close(canceled)
		}
		return hosts.Reply{Kind: hosts.ConnectionReset}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(ctx context.Context, id string) (int, string, http.Header, error) {
		req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.Addr()+"/x?y", strings.NewReader("body"))
		if err != nil {
			t.Fatal(err)
		}
		if id != "" {
			req.Header.Set("X-Txn", id)
		}
		req.Header.Set("X-Remaining-Ms", "500")
		req.Header.Set("Idempotency-Key", "K")
		resp, err := client.Do(req)
		if err != nil {
			return 0, "", nil, err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return resp.StatusCode, string(b), resp.Header, err
	}
	ctx := context.Background()
	if code, text, head, err := send(ctx, "ok"); code != 200 || text != "POST/x?yKbody" || head.Get("X-Pressure") != "queue=2" {
		t.Errorf("%d %q %v %v", code, text, head, err)
	}
	if code, _, _, _ := send(ctx, "erred"); code != 500 {
		t.Errorf("erred: status %d", code)
	}
	if code, _, head, _ := send(ctx, "away"); code != 503 || head.Get("X-Turned-Away") != "1" {
		t.Errorf("away: status %d", code)
	}
	if code, _, _, _ := send(ctx, ""); code != 404 {
		t.Errorf("no id: status %d", code)
	}
	if _, _, _, err := send(ctx, "broken"); err == nil {
		t.Error("broken: got an answer, want an error")
	}
	short, stop := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop()
	if _, _, _, err := send(short, "silent"); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("silent: %v", err)
	}
	if _, _, _, err := send(short, "given up"); err == nil {
		t.Error("given up: got an answer, want an error")
	}
	short2, stop2 := context.WithTimeout(ctx, 50*time.Millisecond)
	defer stop2()
	send(short2, "given up")
	testwait.Value(t, "the host to see that the attempt was given up", canceled)
	s.Close()
	if _, _, _, err := send(ctx, "ok"); err == nil {
		t.Error("the host answers after Close")
	}
}

// The list holds the latest entry of each host that is not removed; a watch gets the changes since a version, and each
// later change at once.
func TestDiscovery(t *testing.T) {
	s, err := discovery.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.Change(discovery.Host{Host: "a", Health: "up"}, discovery.Host{Host: "b", Health: "up"})
	s.Change(discovery.Host{Host: "a", Health: "removed"})
	if l := s.List(); l.Seq != 3 || !l.Whole || len(l.Hosts) != 1 || l.Hosts[0].Host != "b" {
		t.Errorf("%+v", l)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + s.Addr() + "/api/targets?watch=1&from=2")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	if !lines.Scan() || !strings.Contains(lines.Text(), `"seq":3,"whole":false`) || !strings.Contains(lines.Text(), "removed") {
		t.Errorf("%q", lines.Text())
	}
	s.Change(discovery.Host{Host: "c", Health: "draining"})
	if !lines.Scan() || !strings.Contains(lines.Text(), `"seq":4`) || strings.Contains(lines.Text(), "removed") {
		t.Errorf("%q", lines.Text())
	}
}

// Answers come in the order of the calls, with announced states between them. A silent platform writes nothing, and
// closes the connections with unanswered calls when the silence ends.
func TestPlatform(t *testing.T) {
	var replies []func(string)
	ready := make(chan platform.Vote, 10)
	s, err := platform.Listen("127.0.0.1:0", platform.State{Build: 3, Phase: "released", Cap: 1}, func(v platform.Vote, reply func(string)) {
		replies = append(replies, reply)
		ready <- v
	})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	lines := bufio.NewScanner(c)
	next := func(want string) {
		t.Helper()
		c.SetReadDeadline(time.Now().Add(testwait.Patience))
		for lines.Scan() {
			if lines.Text() == "*" { // a keep-alive
				continue
			}
			if lines.Text() != want {
				t.Errorf("got %q, want %q", lines.Text(), want)
			}
			return
		}
		t.Errorf("no %q: %v", want, lines.Err())
	}
	fmt.Fprint(c, "WATCH\r\nVOTE 4 1 go\r\nVOTE 4 2 stop\r\nDANCE\r\n")
	next("OK")
	next("* news 3 0 released 1 0")
	if v := testwait.Value(t, "a vote", ready); v != (platform.Vote{Build: 4, Stage: 1, Verdict: "go"}) {
		t.Errorf("%+v", v)
	}
	testwait.Value(t, "a vote", ready)
	replies[1](platform.Error("BUSY")) // the second vote is answered first, but its answer waits for the first
	s.Announce(platform.State{Build: 4, Stage: 1, Phase: "trial", Cap: 0.28, Age: 310 * time.Millisecond})
	next("* news 4 1 trial 0.28 310")
	replies[0](platform.OK(platform.State{Build: 4, Stage: 1, Phase: "trial", Cap: 0.28}))
	next("OK 4 1 trial 0.28 0")
	next("ERR BUSY")
	next("ERR SYNTAX")
	fmt.Fprint(c, "VOTE 4 1 go\r\n")
	testwait.Value(t, "a vote", ready)
	s.SetSilent(true)
	s.Announce(platform.State{Build: 5})
	s.SetSilent(false)
	c.SetReadDeadline(time.Now().Add(testwait.Patience))
	for lines.Scan() {
		if lines.Text() != "*" {
			t.Errorf("written while silent: %q", lines.Text())
		}
	}
	if errors.Is(lines.Err(), os.ErrDeadlineExceeded) {
		t.Error("a connection with an unanswered call stays open after the silence")
	}
}

// A datagram to one router, or to all, arrives from the address by which the receiver knows the sender.
func TestPeers(t *testing.T) {
	var socks []*net.UDPConn
	var addrs []netip.AddrPort
	for range 3 {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		socks, addrs = append(socks, c), append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
	}
	var relay *peers.Relay
	relaySet := make(chan struct{})
	relay, err := peers.Listen(addrs, func(from, to int, data []byte) { <-relaySet; relay.Send(from, to, data) })
	if err != nil {
		t.Fatal(err)
	}
	close(relaySet)
	defer relay.Close()
	known, all := relay.Peers()
	send := func(from int, to, text string) {
		t.Helper()
		if _, err := socks[from].WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(to)); err != nil {
			t.Fatal(err)
		}
	}
	got := func(at int) (string, string) {
		t.Helper()
		b := make([]byte, 300)
		socks[at].SetReadDeadline(time.Now().Add(testwait.Patience))
		n, from, err := socks[at].ReadFromUDPAddrPort(b)
		if err != nil {
			t.Fatal(err)
		}
		return string(b[:n]), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()).String()
	}
	send(0, known[2], "hello")
	if text, from := got(2); text != "hello" || from != known[0] {
		t.Errorf("got %q from %s, want it from %s", text, from, known[0])
	}
	send(1, all, strings.Repeat("x", 257)) // too long: dropped
	send(1, all, "everybody")
	for _, at := range []int{0, 2} {
		if text, from := got(at); text != "everybody" || from != known[1] {
			t.Errorf("got %q from %s", text, from)
		}
	}
}

// A request carries the protocol's fields, an answer is returned whole, and a router that can't be reached gives
// ErrRefused.
func TestClients(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var seen http.Header
	srv := http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(503)
		io.WriteString(w, r.Method)
	})}
	done := make(chan error, 1)
	go func() { done <- srv.Serve(l) }()
	p := clients.New()
	defer p.Close()
	addr := l.Addr().String()
	a, err := p.Do(context.Background(), addr, clients.Request{ID: "i", Class: "c", Tenant: "t", Key: "k", DedupKey: "d", Post: true,
		Wait: 1500 * time.Millisecond})
	if err != nil || a.Status != 503 || a.RetryAfter != 250*time.Millisecond || string(a.Body) != "POST" {
		t.Errorf("%+v %v", a, err)
	}
	for name, want := range map[string]string{"X-Txn": "i", "X-Lane": "c", "X-Org": "t", "X-Entity": "k", "Idempotency-Key": "d",
		"X-Remaining-Ms": "1500"} {
		if !slices.Equal(seen[http.CanonicalHeaderKey(name)], []string{want}) {
			t.Errorf("%s: %v", name, seen[name])
		}
	}
	if p.Ready(context.Background(), addr) {
		t.Error("a router that answers 503 counts as ready")
	}
	srv.Close()
	<-done
	if _, err := p.Do(context.Background(), addr, clients.Request{ID: "i"}); !errors.Is(err, clients.ErrRefused) {
		t.Errorf("got %v from a closed port, want ErrRefused", err)
	}
}
