// Package link is a test double of the network between two processes: a TCP relay that can delay, lose, throttle,
// corrupt, replay and block data and reset connections. Random faults are drawn from a generator with a given seed.
package link

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults describes what a link does to the data that it relays, one chunk (one read from a socket) at a time.
type Faults struct {
	Delay           time.Duration // delay of each chunk, one way
	Loss            float64       // probability that a chunk is lost and sent again, which delays it by Resend
	Resend          time.Duration // zero: 200 ms, TCP's shortest retransmission timeout
	Rate            int           // bytes a second; zero: unlimited
	Corruption      float64       // probability that one byte of a chunk is changed
	BlockToTarget   bool          // data to the target is held back until Set lets it pass
	BlockFromTarget bool          // the same for data from the target
	RefuseNew       bool          // new connections are reset at once
}

// Link is one relay to one target.
type Link struct {
	target string
	listen net.Listener
	work   sync.WaitGroup
	closed chan struct{}
	once   sync.Once

	mu           sync.Mutex
	rng          *rand.Rand
	faults       Faults
	changed      chan struct{} // closed and replaced when the faults change
	conns        map[net.Conn]struct{}
	recorded     [][]byte // data sent to the target, one entry a connection, the latest last
	recording    bool
	bytesRelayed int64 // both ways
}

// New starts a link that listens on a loopback address of its own and relays to the target. The target need not listen
// yet.
func New(target string, seed uint64) (*Link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	k := &Link{target: target, listen: l, closed: make(chan struct{}), changed: make(chan struct{}), conns: map[net.Conn]struct{}{},
		rng: rand.New(rand.NewPCG(seed, 1))}
	k.work.Go(k.accept)
	return k, nil
}

// Addr returns the address that the link listens on.
func (k *Link) Addr() string { return k.listen.Addr().String() }

// Set replaces the link's faults at once. Blocking also applies to chunks that are on their way.
func (k *Link) Set(f Faults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
	close(k.changed)
	k.changed = make(chan struct{})
}

// Cut blocks both directions until Set or Heal.
func (k *Link) Cut() { k.Set(Faults{BlockToTarget: true, BlockFromTarget: true}) }

// Heal removes all faults and resets all connections, as a machine that comes back resets connections that it doesn't
// know.
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

// Record makes the link keep the data sent to the target, for Replay.
func (k *Link) Record() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recording = true
}

// Replay sends the recorded data to the target again, the last connection first, and drops the answers: the target gets
// duplicate messages, out of order and out of date. It returns the number of recorded connections.
func (k *Link) Replay() int {
	k.mu.Lock()
	recorded := k.recorded
	k.recorded = nil
	k.mu.Unlock()
	for i := len(recorded) - 1; i >= 0; i-- {
		c, err := net.DialTimeout("tcp", k.target, time.Second)
		if err != nil {
			continue
		}
		c.SetDeadline(time.Now().Add(time.Second))
		c.Write(recorded[i])
		c.Read(make([]byte, 1)) // the answer begins, so the target has read the first request
		c.Close()
	}
	return len(recorded)
}

// BytesRelayed returns the number of bytes that the link has read from both sides.
func (k *Link) BytesRelayed() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.bytesRelayed
}

// Close stops the link and resets its connections.
func (k *Link) Close() {
	k.once.Do(func() {
		close(k.closed)
		k.listen.Close()
		k.Reset()
	})
	k.work.Wait()
}

// reset closes a connection with a TCP reset.
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

// track lists a connection, so that Reset and Close reach it, until untrack is called. It reports false if the link is
// closed.
func (k *Link) track(c net.Conn) (untrack func(), ok bool) {
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

// relay connects one client to the target and forwards data both ways. The end of the client's data is passed on; the
// connection ends when the target closes its side.
func (k *Link) relay(client net.Conn) {
	untrackClient, ok := k.track(client)
	if !ok || k.currentFaults().RefuseNew {
		reset(client)
		return
	}
	defer untrackClient()
	defer client.Close()
	// A blocked link does not dial the target; the client waits, as it would in a partitioned network.
	if !k.waitUnblocked(func(f Faults) bool { return f.BlockToTarget || f.BlockFromTarget }) {
		return
	}
	target, err := net.DialTimeout("tcp", k.target, time.Second)
	if err != nil {
		reset(client)
		return
	}
	untrackTarget, ok := k.track(target)
	if !ok {
		reset(target)
		return
	}
	defer untrackTarget()
	defer target.Close()
	done := make(chan struct{})
	k.work.Go(func() {
		defer close(done)
		k.forward(client, target, func(f Faults) bool { return f.BlockToTarget }, true)
		target.(*net.TCPConn).CloseWrite()
	})
	k.forward(target, client, func(f Faults) bool { return f.BlockFromTarget }, false)
	client.Close()
	target.Close()
	<-done
}

func (k *Link) currentFaults() Faults {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.faults
}

// waitUnblocked waits until the faults don't block any more. It reports false if the link is closed before.
func (k *Link) waitUnblocked(blocked func(Faults) bool) bool {
	for {
		k.mu.Lock()
		f, changed := k.faults, k.changed
		k.mu.Unlock()
		if !blocked(f) {
			return true
		}
		select {
		case <-changed:
		case <-k.closed:
			return false
		}
	}
}

// forward copies data from one side to the other, chunk by chunk, with the link's faults.
func (k *Link) forward(from, to net.Conn, blocked func(Faults) bool, toTarget bool) {
	buf := make([]byte, 16<<10)
	var sent []byte
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if toTarget && k.recording && len(sent) > 0 {
			k.recorded = append(k.recorded, sent)
		}
	}()
	for {
		n, err := from.Read(buf)
		if n > 0 {
			delay, corruptAt := k.drawFaults(n)
			if delay > 0 {
				select {
				case <-time.After(delay):
				case <-k.closed:
					return
				}
			}
			if !k.waitUnblocked(blocked) {
				return
			}
			if corruptAt >= 0 {
				buf[corruptAt] ^= 0x15
			}
			if toTarget && len(sent) < 1<<20 {
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

// drawFaults draws the faults of a chunk of n bytes: its delay, and the index of the byte to change, or -1.
func (k *Link) drawFaults(n int) (delay time.Duration, corruptAt int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.bytesRelayed += int64(n)
	f := k.faults
	delay, corruptAt = f.Delay, -1
	if f.Rate > 0 {
		delay += time.Duration(n) * time.Second / time.Duration(f.Rate)
	}
	if f.Loss > 0 && k.rng.Float64() < f.Loss {
		resend := f.Resend
		if resend == 0 {
			resend = 200 * time.Millisecond
		}
		delay += resend
	}
	if f.Corruption > 0 && k.rng.Float64() < f.Corruption {
		corruptAt = k.rng.IntN(n)
	}
	return delay, corruptAt
}
