// Package sockstat asks the kernel about a connection without reading from it.
package sockstat

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Silent tells that a connection is open and holds nothing unread. Its reader may not have run yet since
// bytes came or the other side closed it, so the kernel is asked. Where that can't be, it counts as silent.
func OpenAndEmpty(c net.Conn) bool {
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

// HungUp tells that the other side has ended a connection, for good or for sending, whatever stands unread before the
// end. Where that can't be told, it has not.
func PeerClosed(c net.Conn) bool {
	const closed, closeWait = 7, 8 // of the kernel's states of a connection, include/net/tcp_states.h
	hungUp := false
	ask(c, func(info *unix.TCPInfo) { hungUp = info.State == closed || info.State == closeWait })
	return hungUp
}

// SinceReceived is how long ago the last byte came in on a connection; zero where that can't be told.
func SinceReceived(c net.Conn) time.Duration {
	ago := time.Duration(0)
	ask(c, func(info *unix.TCPInfo) { ago = time.Duration(info.Last_data_recv) * time.Millisecond })
	return ago
}

// ask has the kernel's account of a connection looked at, where there is one.
func ask(c net.Conn, look func(*unix.TCPInfo)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	rc.Control(func(fd uintptr) { // it may have closed
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			look(info)
		}
	})
}
