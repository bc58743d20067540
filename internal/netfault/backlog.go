package netfault

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Backlogged reports whether a listener has connections that can be accepted. It does not block. It is false for a listener without a
// socket of its own.
func Backlogged(ln net.Listener) bool {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // it is closed
	}
	ready := 0
	raw.Control(func(fd uintptr) {
		ask := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		for {
			ready, err = unix.Poll(ask, 0)
			if !errors.Is(err, unix.EINTR) {
				return
			}
		}
	})
	return ready > 0
}

// RawListener returns the socket of a listener, or an error if it has none of its own.
func RawListener(ln net.Listener) (syscall.RawConn, error) {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
