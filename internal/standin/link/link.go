// Package link stands in for the network between two processes: a TCP relay that delays, loses, throttles, spoils,
// doubles, cuts, falls silent and resets, as it is told. What chance decides is drawn from a seed.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults is what a link does to what passes it.
type Faults struct {
	Delay           time.Duration // of each piece, one way
	Loss            float64       // chance of a piece to be lost and sent anew: it comes Resend later
	Resend          time.Duration // zero: 200 ms, the least that TCP waits
	Rate            int           // bytes a second; zero: any
	Corruption      float64       // chance of a piece to have a byte changed
	BlockToTarget   bool          // towards the target, nothing gets through: what is sent waits
	BlockFromTarget bool          // the same for what comes back
	RefuseNew       bool          // new connections are reset at once
}

// Link is one relay.
type Link struct {
	target string
	listen net.Listener
	work   sync.WaitGroup
	closed chan struct{}
	once   sync.Once

	mu     sync.Mutex
	rng    *rand.Rand
	faults Faults
	change chan struct{} // closed at a change of faults
	conns  map[net.Conn]struct{}
	record [][]byte // what connections sent to the target, the latest last
	keep   bool
	passed int64 // bytes, both ways
}

// New relays from a loopback address of its own to a target. The target need not be there yet.
func New(target string, seed uint64) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{target: target, listen: l, closed: make(chan struct{}), change: make(chan struct{}), conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	k.work.Go(k.accept)
	return k, nil
}

// Addr is where it listens.
func (k *Link) Addr() string { return k.listen.Addr().String() }

// Set changes what the link does, at once, also to what is on its way.
func (k *Link) Set(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.change)
	k.change = make(chan struct{})
}

// Cut lets nothing through, either way, until Set.
func (k *Link) Cut() { k.Set(Faults{BlockToTarget: true, BlockFromTarget: true}) }

// Heal lets all through again. Connections that were cut are reset, as a machine that was away resets them.
func (k *Link) Heal() {
	k.Set(Faults{})
	k.Reset()
}

// Reset resets all connections.
func (k *Link) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		reset(c)
	}
}

// Record has the link keep what goes to the target, for Replay.
func (k *Link) Record() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.keep = true
}

// Replay sends what was kept to the target once more, the last first, and drops the answers: messages doubled, in
// another order, and long out of date. It tells how many connections it played.
func (k *Link) Replay() int {
	k.mu.Lock()
	old := k.record
	k.record = nil
	k.mu.Unlock()
	for i := len(old) - 1; i >= 0; i-- {
		c, err := net.DialTimeout("tcp", k.target, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(old[i])
		c.Read(make([]byte, 1)) // an answer has begun: what was sent first has been taken
		c.Close()
	}
	return len(old)
}

// Passed is how many bytes went through, both ways.
func (k *Link) BytesRelayed() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.passed
}

// Close ends the link.
func (k *Link) Close() {
	k.once.Do(func() {
		close(k.closed)
		k.listen.Close()
		k.Reset()
	})
	k.work.Wait()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (k *Link) accept() {
	for {
		c, err := k.listen.Accept()
		if err != nil {
			return
		}
		k.work.Go(func() { k.relay(c) })
	}
}

// hold keeps a connection in the list until it is done with.
func (k *Link) hold(c net.Conn) (drop func(), ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case <-k.closed:
		return nil, false
	default:
	}
	k.conns[c] = struct{}{}
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, c)
	}, true
}

// relay serves one connection.
func (k *Link) relay(c net.Conn) {
	drop, ok := k.hold(c)
	if !ok || k.now().RefuseNew {
		reset(c)
		return
	}
	defer drop()
	defer c.Close()
	// A cut link answers no connection: the dial waits, as it would in the network.
	if !k.passable(func(f Faults) bool { return f.BlockToTarget || f.BlockFromTarget }) {
		return
	}
	t, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	dropTarget, ok := k.hold(t)
	if !ok {
		reset(t)
		return
	}
	defer dropTarget()
	defer t.Close()
	done := make(chan struct{})
	k.work.Go(func() {
		defer close(done)
		k.pump(c, t, func(f Faults) bool { return f.BlockToTarget }, true)
		t.(*net.TCPConn).CloseWrite()
	})
	k.pump(t, c, func(f Faults) bool { return f.BlockFromTarget }, false)
	c.Close()
	t.Close()
	<-done
}

func (k *Link) now() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// passable waits until nothing is in the way any more.
func (k *Link) passable(shut func(Faults) bool) bool {
	for {
		k.mu.Lock()
		f, change := k.faults, k.change
		k.mu.Unlock()
		if !shut(f) {
			return true
		}
		select {
		case <-change:
		case <-k.closed:
			return false
		}
	}
}

// pump passes on what comes from one side to the other, piece by piece.
func (k *Link) pump(from, to net.Conn, shut func(Faults) bool, there bool) {
	buf := make([]byte, 16<<10)
	var sent []byte
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if there && k.keep && len(sent) > 0 {
			k.record = append(k.record, sent)
		}
	}()
	for {
		n, err := from.Read(buf)
		if n > 0 {
			wait, spoil := k.draw(n)
			if wait > 0 {
				select {
				case <-time.After(wait):
				case <-k.closed:
					return
				}
			}
			if !k.passable(shut) {
				return
			}
			if spoil >= 0 {
				buf[spoil] ^= 0x15
			}
			if there && len(sent) < 1<<20 {
				sent = append(sent, buf[:n]...)
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// draw decides what becomes of a piece.
func (k *Link) draw(n int) (wait time.Duration, spoil int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.passed += int64(n)
	f := k.faults
	wait, spoil = f.Delay, -1
	if f.Rate > 0 {
		wait += time.Duration(n) * time.Second / time.Duration(f.Rate)
	}
	if f.Loss > 0 && k.rng.Float64() < f.Loss {
		again := f.Resend
		if again == 0 {
			again = 200 * time.Millisecond
		}
		wait += again
	}
	if f.Corruption > 0 && k.rng.Float64() < f.Corruption {
		spoil = k.rng.IntN(n)
	}
	return wait, spoil
}
