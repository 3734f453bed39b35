package servers

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"time"
)

var errNoDescriptor = errors.New("no descriptor left for servers")

// reply is what came back for a request.
type reply struct {
	response
	err error
	at  time.Time // when its last byte was read
}

// conn is a connection to a host. It carries one request at a time; a reader stands on it all its life, so
// that one which the host closes while it is idle is noticed at once.
type conn struct {
	raw     net.Conn
	br      *bufio.Reader
	limit   sizes
	replies chan reply

	mu   sync.Mutex
	busy bool // a request is being written or waits for its answer

	shut   bool      // guarded by the pool
	usedAt time.Time // guarded by the pool
}

func newConn(raw net.Conn, limit sizes) *conn {
	return &conn{raw: raw, br: bufio.NewReader(raw), limit: limit, replies: make(chan reply, 1)}
}

// setBusy notes whether an answer is due.
func (c *conn) setBusy(busy bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = busy
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// read reads answers until the connection breaks, or something comes that nobody asked for. Danger: a second
// answer to one request would pass for the answer to the next; so none is due any more once one is read.
func (c *conn) read() {
	for {
		_, err := c.br.Peek(1)
		if !c.isBusy() {
			return
		}
		r := reply{err: err}
		if err == nil {
			r.response, r.err = readResponse(c.br, c.limit)
		}
		r.at, r.reusable = time.Now(), r.reusable && c.br.Buffered() == 0
		c.setBusy(false)
		c.replies <- r // there is room: each is awaited, or the connection is closed and none follows
		if r.err != nil || !r.reusable {
			return
		}
	}
}
