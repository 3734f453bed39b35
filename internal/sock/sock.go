// Package sock asks the kernel about a connection without reading from it.
package sock

import (
	"errors"
	"net"
	"syscall"
)

// Silent tells that a connection is open and holds nothing unread. Its reader may not have run yet since
// bytes came or the other side closed it, so the kernel is asked. Where that can't be, it counts as silent.
func Silent(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && silent
}
