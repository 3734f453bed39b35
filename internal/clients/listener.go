package clients

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// listener accepts connections from clients within the limit of descriptors and adds them to the table.
type listener struct {
	net.Listener
	conns       *connTable
	acceptUntil atomic.Pointer[time.Time] // nil: no limit; set: accept what is in the backlog, but nothing after this time
}

// acceptRetryPause is the pause after an error of accept that is not a want of descriptors or memory, so that one that
// lasts does not take the processor.
const acceptRetryPause = time.Millisecond

// errDrained is returned by Accept once the backlog is drained.
var errDrained = errors.New("the listener accepts no more connections")

// drainBacklog ends accepting once the backlog is empty, or after the timeout at the latest. The kernel has already
// accepted the connections in the backlog; closing the listener would reset them and lose what their clients have sent.
func (l *listener) drainBacklog(timeout time.Duration) {
	until := time.Now().Add(timeout)
	l.acceptUntil.Store(&until)
	l.setAcceptDeadline(time.Now().Add(l.conns.limits.BacklogQuietTime))
}

// setAcceptDeadline makes a blocked Accept return by t, if necessary by closing the listener.
func (l *listener) setAcceptDeadline(t time.Time) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); !ok || d.SetDeadline(t) != nil {
		l.Listener.Close()
	}
}

// isPastAcceptUntil reports whether acceptUntil has passed, so that no more is accepted even if connections still come.
func (l *listener) isPastAcceptUntil() bool {
	until := l.acceptUntil.Load()
	return until != nil && time.Now().After(*until)
}

// isOver reports whether nothing will be accepted after an error: the listener is closed, or its deadline has passed.
func (l *listener) isOver(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) ||
		errors.Is(err, syscall.EBADF) || errors.Is(err, syscall.EINVAL) || errors.Is(err, syscall.ENOTSOCK)
}

// Accept returns the next connection. Without a free descriptor, nothing could be accepted or forwarded, while the kernel
// would go on filling the backlog. So Accept waits in short steps until an answer has closed its connection or an idle
// connection can be evicted. The limit on open requests is low enough that such connections exist.
func (l *listener) Accept() (net.Conn, error) {
	for l.conns.isFull() && !l.isPastAcceptUntil() {
		l.conns.counters.Inc("clients.accept_waits")
		l.conns.shortage.note("descriptors")
		l.conns.evictForRoom(true)
		l.conns.askForCloses()
		l.conns.waitForDescriptor()
	}
	l.conns.stopCloses()
	for !l.isPastAcceptUntil() {
		if l.acceptUntil.Load() != nil {
			l.setAcceptDeadline(time.Now().Add(l.conns.limits.BacklogQuietTime))
		}
		nc, err := l.Listener.Accept()
		switch {
		case err == nil:
			l.conns.counters.Inc("clients.connections")
			c := l.conns.accepted(nc)
			l.conns.evictForRoom(false)
			return c, nil
		case l.isOver(err):
			if l.acceptUntil.Load() != nil {
				return nil, errDrained
			}
			return nil, err
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.ENOBUFS), errors.Is(err, syscall.ENOMEM):
			l.conns.counters.Inc("clients.accept_short")
			l.conns.evictForRoom(true)
			l.conns.waitForDescriptor()
		default: // the next connection, or the network, was in trouble; net/http would pause for up to a second, or end
			l.conns.counters.Inc("clients.accept_failed")
			l.conns.noteAcceptFailure(err)
			time.Sleep(acceptRetryPause)
		}
	}
	return nil, errDrained
}
