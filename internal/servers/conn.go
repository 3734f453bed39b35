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

// errNoDescriptor tells that the limit of server connections is reached and none of them is idle.
var errNoDescriptor = errors.New("no file descriptor left for server connections")

// conn is a connection to a host. It carries one request at a time, and nothing reads from it between requests: bytes
// that arrive while no answer is due, such as a duplicate answer or garbage, stay in the kernel, where openAndEmpty
// detects them. If they were read into the buffer, they could be taken for the next answer.
type conn struct {
	raw    net.Conn
	br     *bufio.Reader // empty between requests
	limits responseLimits

	mu      sync.Mutex
	aborted bool // its attempt was given up: the deadline no longer changes

	closed bool      // guarded by Pool.mu
	usedAt time.Time // when it last became idle; guarded by Pool.mu
}

// newConn wraps an established connection.
func newConn(raw net.Conn, l responseLimits) *conn {
	return &conn{raw: raw, br: bufio.NewReader(raw), limits: l}
}

// openAndEmpty reports whether nothing has arrived on the connection since its last answer, neither bytes nor its end.
// The check is needed before a request is written: the kernel accepts bytes for a host that has closed long ago, and
// bytes that arrived unrequested would be taken for the next answer.
func (c *conn) openAndEmpty() bool { return c.br.Buffered() == 0 && sockstat.OpenAndEmpty(c.raw) }

// abort ends a write or read in progress and all later ones on the connection.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	c.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection, which needs no deadline
}

// setReadDeadline sets the deadline of reads; the zero time means no deadline. After abort it changes nothing and
// returns an error.
func (c *conn) setReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted {
		return context.Canceled
	}
	return c.raw.SetReadDeadline(t)
}

// roundTrip writes a request, text and then body, and reads its answer, until ctx ends. It reports in written whether the
// request's last byte was written. If permit is not nil, bytes are written only while it allows that.
func (c *conn) roundTrip(ctx context.Context, text, body []byte, permit *accord.Permit) (r response, written bool, err error) {
	stopAbort := context.AfterFunc(ctx, c.abort)
	if permit == nil {
		written, err = c.write(text, body)
	} else {
		written, err = c.writeChecked(append(text, body...), permit)
	}
	if err == nil && written {
		r, err = c.readFinal()
	}
	if !stopAbort() { // abort has set a past deadline, or is about to
		r.reusable = false
	}
	return r, written, err
}

// write writes a request, and reports whether its last byte was written.
func (c *conn) write(text, body []byte) (written bool, err error) {
	if _, err = c.raw.Write(text); err != nil || len(body) == 0 {
		return err == nil, err
	}
	_, err = c.raw.Write(body)
	return err == nil, err
}

// checkedWriteSize is the number of bytes written between two checks of the rules and the lease.
const checkedWriteSize = 4 << 10

// writeChecked writes a request in pieces and checks before each one that the agreed rules and the lease still allow
// it. The process may be suspended at any point in here, and a host starts to work on a request when its last byte
// arrives.
func (c *conn) writeChecked(text []byte, permit *accord.Permit) (written bool, err error) {
	defer permit.End()
	for rest := text; len(rest) > 0; {
		if len(rest) < len(text) { // Gate.Begin has just checked the first piece
			if err := permit.Recheck(); err != nil {
				return false, err
			}
		}
		n, err := c.raw.Write(rest[:min(checkedWriteSize, len(rest))])
		if err != nil {
			if forbidden := permit.Recheck(); forbidden != nil { // the gate aborted the write: not a failure of the host
				err = forbidden
			}
			return false, err
		}
		rest = rest[n:]
	}
	return true, nil
}

// readFinal skips interim answers and returns the final answer once it is complete. Answers are not passed on in parts,
// because an attempt whose answer was passed on in part can neither be retried nor fail. Once an answer has begun, the
// rest has to arrive within the read timeout: otherwise an answer that announces more than it sends would hold its
// request until the deadline. The cost is that an attempt fails if its host pauses for longer within the answer.
func (c *conn) readFinal() (response, error) {
	for range maxInterim {
		if _, err := c.br.Peek(1); err != nil {
			return response{}, err
		}
		// The error is ignored: the answer may have arrived completely just as its attempt is aborted. What has arrived is
		// read, and the deadline that abort has set ends any wait for more.
		c.setReadDeadline(time.Now().Add(c.limits.readTimeout))
		r, err := readResponse(c.br, c.limits)
		r.begun = true
		if err != nil {
			return r, err
		}
		if err := c.setReadDeadline(time.Time{}); err != nil && r.isInterim() {
			return response{}, err
		}
		if !r.isInterim() {
			r.reusable = r.reusable && c.br.Buffered() == 0
			return r, nil
		}
	}
	return response{}, errTooManyInterim
}
