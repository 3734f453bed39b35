package peers

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = testwait.Patience

// messageRecorder is a Sink that records the delivered messages.
type messageRecorder chan logic.PeerMessage

func (r messageRecorder) DeliverPeerMessage(m logic.PeerMessage) { r <- m }

// openSocket opens a UDP socket on a free port of the loopback address.
func openSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// startPeers opens a router's socket and runs it. Its peer number 1 is at peer, and all is the address for every peer.
func startPeers(t *testing.T, peer, all string) (*Peers, *net.UDPAddr, messageRecorder, *metrics.Registry) {
	t.Helper()
	count := metrics.New()
	p, err := Listen("127.0.0.1:0", []string{"127.0.0.1:1", peer}, all, config.Limits{MaxDatagram: 256, MaxOutgoing: 4},
		count, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	recorder := make(messageRecorder, 16)
	var work sync.WaitGroup
	work.Go(func() { p.Run(ctx, recorder) })
	t.Cleanup(func() { stop(); work.Wait() })
	return p, p.conn.LocalAddr().(*net.UDPAddr), recorder, count
}

// Messages of peers are delivered with the peer's number; those that are too long or from an unknown address are counted
// and dropped.
func TestReceive(t *testing.T) {
	peer, stranger := openSocket(t), openSocket(t)
	_, addr, received, count := startPeers(t, peer.LocalAddr().String(), "")
	for _, d := range []struct {
		from *net.UDPConn
		data []byte
	}{{stranger, []byte("who")}, {peer, make([]byte, 257)}, {peer, make([]byte, 2000)}, {peer, nil}, {peer, []byte("hi")}} {
		if _, err := d.from.WriteToUDP(d.data, addr); err != nil {
			t.Fatal(err)
		}
	}
	if m := testwait.Value(t, "a message", received); m.From != 1 || len(m.Data) != 0 {
		t.Errorf("%+v", m)
	}
	if m := testwait.Value(t, "a message", received); m.From != 1 || string(m.Data) != "hi" {
		t.Errorf("%+v", m)
	}
	if s, l := count.Get("peers.unknown_sender"), count.Get("peers.too_long"); s != 1 || l != 2 {
		t.Errorf("unknown_sender is %d, too_long is %d", s, l)
	}
}

// Messages are sent from the router's own address. Messages that are too long or addressed to an unknown peer are not sent.
func TestSend(t *testing.T) {
	peer, all := openSocket(t), openSocket(t)
	p, addr, _, count := startPeers(t, peer.LocalAddr().String(), all.LocalAddr().String())
	p.Post(logic.Post{Peer: 1, Data: make([]byte, 257)})
	p.Post(logic.Post{Peer: 2, Data: []byte("nobody")})
	p.Post(logic.Post{Peer: 1, Data: []byte("one")})
	p.Post(logic.Post{Peer: -1, Data: []byte("all")})
	for c, want := range map[*net.UDPConn]string{peer: "one", all: "all"} {
		if err := c.SetReadDeadline(time.Now().Add(patience)); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 512)
		n, from, err := c.ReadFromUDP(buf)
		if err != nil || string(buf[:n]) != want || from.Port != addr.Port {
			t.Errorf("%q from %v: %v", buf[:n], from, err)
		}
	}
	if count.Get("peers.not_sent") != 1 || count.Get("peers.unknown_peer") != 1 {
		t.Error("messages that were not sent are not counted")
	}
}

func TestListenErrors(t *testing.T) {
	taken := openSocket(t)
	for _, c := range []struct{ listen, peer, all string }{
		{"nowhere", "127.0.0.1:1", ""}, {"127.0.0.1:0", "nobody", ""}, {"127.0.0.1:0", "127.0.0.1:1", "x"},
		{taken.LocalAddr().String(), "127.0.0.1:1", ""}} {
		if p, err := Listen(c.listen, []string{c.peer}, c.all, config.Limits{}, metrics.New(), zap.NewNop()); err == nil {
			p.conn.Close()
			t.Errorf("Listen accepts %+v", c)
		}
	}
}
