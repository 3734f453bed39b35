package servers

import (
	"errors"
	"slices"
	"syscall"
)

// errNotDialled means that this machine could not make a connection; it says nothing about the host.
var errNotDialled = errors.New("no connection could be made from here")

// localFailures are the errors of socket and connect that come from a want of this machine: descriptors, memory, ports,
// routes, or its own network or firewall. EHOSTUNREACH is not one of them: it is how a host that vanished may show.
var localFailures = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EADDRINUSE,
	syscall.EAGAIN, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EACCES, syscall.EPERM}

// isLocalFailure reports whether a dial failed for a reason of this machine.
func isLocalFailure(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localFailures, errno)
}
