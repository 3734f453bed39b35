// Package peers exchanges UDP messages with the other routers of the tier (the peers).
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// Sink receives the peers' messages.
type Sink interface{ DeliverPeerMessage(logic.PeerMessage) }

// Peers is the UDP socket for messages to and from the other routers.
type Peers struct {
	conn     *net.UDPConn
	addrs    []netip.AddrPort       // by peer number
	numbers  map[netip.AddrPort]int // the peers' numbers by address
	allAddr  netip.AddrPort         // reaches every peer; the zero value if there is none
	limits   config.Limits
	counters *metrics.Registry
	log      *zap.Logger
	outgoing chan datagram
}

// datagram is a message that waits to be sent.
type datagram struct {
	to   netip.AddrPort
	data []byte
}

// Listen opens the socket. Peers are listed in the order of their numbers; all is the address that reaches every peer, or
// empty.
func Listen(listen string, peers []string, all string, limits config.Limits, counters *metrics.Registry,
	log *zap.Logger) (*Peers, error) {
	p := &Peers{numbers: map[netip.AddrPort]int{}, limits: limits, counters: counters, log: log,
		outgoing: make(chan datagram, limits.MaxOutgoing)}
	for i, text := range peers {
		addr, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("peer %d: %w", i, err)
		}
		p.addrs, p.numbers[addr] = append(p.addrs, addr), i
	}
	if all != "" {
		addr, err := netip.ParseAddrPort(all)
		if err != nil {
			return nil, fmt.Errorf("peers_all: %w", err)
		}
		p.allAddr = addr
	}
	listenAddr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	if p.conn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listenAddr)); err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	return p, nil
}

// Post queues a message to one peer, or to all peers if its number is negative. It never blocks: when the queue is full,
// the message is dropped and counted.
func (p *Peers) Post(m logic.Post) {
	to := p.allAddr
	if m.Peer >= 0 {
		if m.Peer >= len(p.addrs) {
			p.counters.Inc("peers.unknown_peer")
			return
		}
		to = p.addrs[m.Peer]
	}
	if len(m.Data) > p.limits.MaxDatagram || !to.IsValid() { // peers drop longer messages
		p.counters.Inc("peers.not_sent")
		return
	}
	select {
	case p.outgoing <- datagram{to, m.Data}:
	default:
		p.counters.Inc("peers.not_sent")
	}
}

// Run sends and receives until ctx ends.
func (p *Peers) Run(ctx context.Context, sink Sink) {
	var work sync.WaitGroup
	work.Go(func() { p.sendLoop(ctx) })
	stop := context.AfterFunc(ctx, func() { p.conn.Close() })
	defer stop()
	p.receiveLoop(sink)
	work.Wait()
}

// sendLoop sends the queued messages until ctx ends.
func (p *Peers) sendLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-p.outgoing:
			if _, err := p.conn.WriteToUDPAddrPort(d.data, d.to); err != nil {
				p.counters.Inc("peers.send_errors")
				continue
			}
			p.counters.Inc("peers.sent")
		}
	}
}

// receiveLoop delivers received messages until the socket is closed. Messages that are too long or come from an unknown
// address are dropped and counted.
func (p *Peers) receiveLoop(sink Sink) {
	buf := make([]byte, p.limits.MaxDatagram+1)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // an earlier datagram was sent to an address where nobody listens
			p.counters.Inc("peers.receive_errors")
			continue
		}
		number, known := p.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		switch {
		case !known:
			p.counters.Inc("peers.unknown_sender")
		case n > p.limits.MaxDatagram:
			p.counters.Inc("peers.too_long")
		default:
			p.counters.Inc("peers.received")
			sink.DeliverPeerMessage(logic.PeerMessage{From: number, Data: append([]byte(nil), buf[:n]...)})
		}
	}
}
