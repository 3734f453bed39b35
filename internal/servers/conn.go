package servers

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/sockstat"
)

var errNoDescriptor = errors.New("no descriptor left for servers")

// conn is a connection to a host. It carries one request at a time, and nothing reads from it in between. Danger:
// bytes that were taken from the kernel while no answer was due, a second copy or noise, would pass for the next
// answer; so they stay there, where silent sees them.
type conn struct {
	raw    net.Conn
	br     *bufio.Reader // empty between requests
	limits limits

	mu      sync.Mutex
	givenUp bool // the attempt on it was: no deadline is set any more

	shut   bool      // guarded by the pool
	usedAt time.Time // guarded by the pool
}

func newConn(raw net.Conn, l limits) *conn {
	return &conn{raw: raw, br: bufio.NewReader(raw), limits: l}
}

// silent tells that nothing has come on the connection since its last answer, not even its end. Danger: the kernel
// takes bytes for a host that has closed long ago, and what came unasked would pass for the next answer.
func (c *conn) silent() bool { return c.br.Buffered() == 0 && sockstat.OpenAndEmpty(c.raw) }

// giveUp ends what is being written or read.
func (c *conn) giveUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.givenUp = true
	c.raw.SetDeadline(time.Unix(1, 0)) // it may have closed
}

// readBy sets until when reads may take; zero is for ever.
func (c *conn) readBy(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.givenUp {
		return context.Canceled
	}
	return c.raw.SetReadDeadline(t)
}

// roundTrip writes a request and reads its answer, until ctx ends. written tells whether the request's last byte
// was written. Nothing goes out without the pass, where there is one.
func (c *conn) roundTrip(ctx context.Context, text []byte, pass *accord.Permit) (r response, written bool, err error) {
	release := context.AfterFunc(ctx, c.giveUp)
	if pass == nil {
		n, e := c.raw.Write(text)
		written, err = n == len(text), e
	} else {
		written, err = c.writeChecked(text, pass)
	}
	if err == nil && written {
		r, err = c.read()
	}
	if !release() { // its deadline is over, or will be at any moment
		r.reusable = false
	}
	return r, written, err
}

// piece is what is written between two looks at the rules and the lease.
const piece = 4 << 10

// writeChecked writes a request in pieces, each only while the rules and the lease allow it. Danger: the process may
// stand still anywhere in here, and a host begins on a request with its last byte.
func (c *conn) writeChecked(text []byte, pass *accord.Permit) (written bool, err error) {
	defer pass.End()
	for rest := text; len(rest) > 0; {
		if len(rest) < len(text) { // the first look was the gate's own, just before
			if err := pass.Recheck(); err != nil {
				return false, err
			}
		}
		m, err := c.raw.Write(rest[:min(piece, len(rest))])
		if err != nil {
			if forbidden := pass.Recheck(); forbidden != nil { // broken off for that: the host is not to blame
				err = forbidden
			}
			return false, err
		}
		rest = rest[m:]
	}
	return true, nil
}

// read reads one answer whole, interim ones skipped. Danger: half an answer passed on can't be repeated or failed
// any more. Danger: one that claims more than it brings would hold its request until the time is over; once an
// answer has begun, the rest has to follow. It hurts a host that pauses for longer within an answer.
func (c *conn) read() (response, error) {
	for range maxInterim {
		if _, err := c.br.Peek(1); err != nil {
			return response{}, err
		}
		// Danger: an answer may have come whole in the moment in which its request is given up. What is there is read; the
		// deadline that giving up has set ends any wait for more.
		c.readBy(time.Now().Add(c.limits.whole))
		r, err := readResponse(c.br, c.limits)
		r.begun = true
		if err != nil {
			return r, err
		}
		if err := c.readBy(time.Time{}); err != nil && r.interim() {
			return response{}, err
		}
		if !r.interim() {
			r.reusable = r.reusable && c.br.Buffered() == 0
			return r, nil
		}
	}
	return response{}, errTooManyInterim
}
