// Package peers is a test double of the network between routers. Datagrams pass through a relay that has one address
// for each router; they arrive from the address by which the receiver knows the sender.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
)

// Relay is the network between the routers of one tier.
type Relay struct {
	routers []netip.AddrPort // the routers' listen addresses
	sockets []*net.UDPConn   // for each router the address that the others know, then the address that reaches all
	deliver func(from, to int, data []byte)
	work    sync.WaitGroup
}

const maxDatagramBytes = 256

// Listen starts a relay for routers that listen on these addresses. The relay calls deliver for each datagram and
// receiver, from several goroutines; deliver calls Send when the datagram is to arrive, or never if it is lost.
func Listen(routers []netip.AddrPort, deliver func(from, to int, data []byte)) (*Relay, error) {
	r := &Relay{routers: routers, deliver: deliver}
	for range len(routers) + 1 {
		c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
		if err != nil {
			r.Close()
			return nil, fmt.Errorf("peers: %w", err)
		}
		r.sockets = append(r.sockets, c)
	}
	for i := range r.sockets {
		r.work.Go(func() { r.receive(i) })
	}
	return r, nil
}

// Peers returns the addresses that the routers send to: one for each router, by number, and the one that reaches all.
func (r *Relay) Peers() (peers []string, all string) {
	for _, s := range r.sockets[:len(r.routers)] {
		peers = append(peers, s.LocalAddr().String())
	}
	return peers, r.sockets[len(r.routers)].LocalAddr().String()
}

// Close stops the relay.
func (r *Relay) Close() {
	for _, s := range r.sockets {
		s.Close()
	}
	r.work.Wait()
}

// Send passes a datagram on to its receiver. Like any datagram, it may be lost.
func (r *Relay) Send(from, to int, data []byte) {
	r.sockets[from].WriteToUDPAddrPort(data, r.routers[to])
}

// receive reads the datagrams sent to one address and calls deliver for each receiver but the sender.
func (r *Relay) receive(i int) {
	buf := make([]byte, maxDatagramBytes+1)
	for {
		n, addr, err := r.sockets[i].ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n > maxDatagramBytes {
			continue // the ICMP error of a refused datagram, or a datagram that is too long
		}
		from := -1
		for j, known := range r.routers {
			if known == netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port()) {
				from = j
			}
		}
		for to := range r.routers {
			if from >= 0 && to != from && (i == to || i == len(r.routers)) {
				r.deliver(from, to, append([]byte(nil), buf[:n]...))
			}
		}
	}
}
