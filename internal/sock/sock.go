// Package sock asks the kernel about a connection without reading from it.
package sock

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
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

// SinceReceived is how long ago the last byte came in on a connection; zero where that can't be told.
func SinceReceived(c net.Conn) time.Duration {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	ago := time.Duration(0)
	err = rc.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			ago = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	if err != nil {
		return 0
	}
	return ago
}
