// Package sockstat asks the kernel for the state of a TCP connection without reading from it.
package sockstat

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// OpenAndEmpty reports whether a connection is open and has no unread bytes. It asks the kernel, because the goroutine
// that reads the connection may not have run since bytes arrived or the peer closed it. It returns true for a
// connection without a descriptor, whose state cannot be asked for.
func OpenAndEmpty(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	openAndEmpty := false
	err = rc.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		openAndEmpty = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && openAndEmpty
}

// PeerClosed reports whether the peer has closed a connection, or its sending side, even if unread bytes precede the
// end. It returns false if the state is not available.
func PeerClosed(c net.Conn) bool {
	const closed, closeWait = 7, 8 // TCP_CLOSE and TCP_CLOSE_WAIT of the kernel's include/net/tcp_states.h
	peerClosed := false
	readTCPInfo(c, func(info *unix.TCPInfo) { peerClosed = info.State == closed || info.State == closeWait })
	return peerClosed
}

// SinceReceived returns how long ago the last byte arrived on a connection, or zero if that is not available.
func SinceReceived(c net.Conn) time.Duration {
	ago := time.Duration(0)
	readTCPInfo(c, func(info *unix.TCPInfo) { ago = time.Duration(info.Last_data_recv) * time.Millisecond })
	return ago
}

// ReadArrived reads what the kernel holds of a connection, without waiting and whatever deadline is set. It returns zero if
// nothing has arrived, if the connection has ended, or if it has no descriptor.
func ReadArrived(c net.Conn, b []byte) (bytes int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	rc.Control(func(fd uintptr) { // its error, of a closed connection, means that there is nothing to read
		if n, _, err := syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT); err == nil {
			bytes = n
		}
	})
	return bytes
}

// Unread returns the number of bytes that have arrived on a connection and were not read, or zero if that is not available.
func Unread(c net.Conn) (bytes int) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	rc.Control(func(fd uintptr) { // its error, of a closed connection, means that there is nothing to read
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ); err == nil {
			bytes = n
		}
	})
	return bytes
}

// readTCPInfo calls use with the kernel's TCP_INFO of a connection, if that is available.
func readTCPInfo(c net.Conn, use func(*unix.TCPInfo)) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return
	}
	rc.Control(func(fd uintptr) { // its error, of a closed connection, means that use is not called
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			use(info)
		}
	})
}
