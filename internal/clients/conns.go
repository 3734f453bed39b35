package clients

import (
	"container/list"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/metrics"
)

// conns keeps count of the connections from clients, the idle ones in the order in which they became so.
type conns struct {
	limits config.Limits
	count  *metrics.Registry

	mu      sync.Mutex
	open    map[string]bool // by remote address; set: came when there was no room
	idle    *list.List      // of net.Conn, the longest idle first
	idleAt  map[net.Conn]*list.Element
	present int
}

func newConns(limits config.Limits, count *metrics.Registry) *conns {
	return &conns{limits: limits, count: count, open: map[string]bool{}, idle: list.New(),
		idleAt: map[net.Conn]*list.Element{}}
}

// state follows a connection through its life.
func (c *conns) state(conn net.Conn, to http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e := c.idleAt[conn]; e != nil {
		c.idle.Remove(e)
		delete(c.idleAt, conn)
	}
	addr := conn.RemoteAddr().String()
	switch to {
	case http.StateNew:
		c.count.Inc("clients.connections")
		c.present++
		// Danger: with no descriptor left the node can't accept, and what stands in the backlog is taken all
		// the same. The longest idle one makes room; where none is idle, the new one is refused and closed.
		c.open[addr] = c.present > c.limits.ClientConns && !c.evict()
	case http.StateIdle:
		c.idleAt[conn] = c.idle.PushBack(conn)
	case http.StateClosed, http.StateHijacked:
		c.present--
		delete(c.open, addr)
	}
}

// evict closes the connection that has been idle longest; a client may see that between requests.
func (c *conns) evict() bool {
	e := c.idle.Front()
	if e == nil {
		return false
	}
	conn := c.idle.Remove(e).(net.Conn)
	delete(c.idleAt, conn)
	conn.Close()
	c.count.Inc("clients.evicted")
	return true
}

// crowded tells that a connection came when there was no room.
func (c *conns) crowded(addr string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[addr]
}

// wanted tells that descriptors are getting short, and connections are better closed after their answer.
func (c *conns) wanted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.present > c.limits.ClientConns-c.limits.WantedSpare
}

// listener accepts whatever comes.
type listener struct {
	net.Listener
	conns *conns
}

// Accept waits out a lack of descriptors. Danger: net/http would pause for up to a second each time, while
// clients' requests stand in the backlog.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) &&
			!errors.Is(err, syscall.ENOBUFS) && !errors.Is(err, syscall.ENOMEM) {
			return conn, err
		}
		l.conns.count.Inc("clients.accept_short")
		l.conns.mu.Lock()
		l.conns.evict()
		l.conns.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
	}
}
