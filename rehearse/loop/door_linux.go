package loop

import (
	"fmt"
	"syscall"

	"golang.org/x/sys/unix"
)

const backlog = 4096

// deafen makes a socket drop all that comes, its peers' attempts to connect included: a filter that keeps nothing. That
// needs no privileges.
func deafen(fd int) error {
	nothing := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K}
	err := unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
		&unix.SockFprog{Len: 1, Filter: &nothing})
	if err != nil {
		return fmt.Errorf("this machine cannot play a silent one: filter on a socket: %w", err)
	}
	return nil
}

// hear undoes it.
func hear(fd int) error {
	return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
}

// stopListening resets what waits to be accepted, or to come up, and refuses from then on. The port stays bound.
func stopListening(fd int) error { return syscall.Shutdown(fd, syscall.SHUT_RD) }

func startListening(fd int) error { return syscall.Listen(fd, backlog) }
