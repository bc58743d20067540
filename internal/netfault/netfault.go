// Package netfault classifies errors of sockets and inspects the state of sockets. Its functions may be called from any goroutine.
package netfault

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// DeadlinePassed reports whether an error means that a deadline set on a connection has passed. It is false for ETIMEDOUT, which is a
// time-out for net.Error as well, but means that the kernel has given up the connection.
func DeadlinePassed(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// shortages are the errors of accept, socket and connect while this machine or process is short of a resource. See accept(2),
// socket(2) and connect(2).
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN}

// transient are their other errors after which the same call may succeed.
var transient = []syscall.Errno{syscall.EINTR, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN}

// Shortage reports whether an error means that this machine or process lacks a resource that a connection needs. Such an error
// does not depend on the other side.
func Shortage(err error) bool { return isAnyOf(err, shortages) }

// Transient reports whether an error is transient, so that the call may succeed if it is repeated.
func Transient(err error) bool { return Shortage(err) || isAnyOf(err, transient) }

func isAnyOf(err error, of []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(of, errno)
}

// Socket returns the connection that underlies an encrypted one, or c itself if it is not encrypted.
func Socket(c net.Conn) net.Conn {
	if encrypted, ok := c.(interface{ NetConn() net.Conn }); ok {
		return encrypted.NetConn()
	}
	return c
}

// Readable reports whether a read of a connection's socket would return at once, with bytes or with an error, including the end of
// the connection. It neither blocks nor consumes bytes. known is false for a connection without a socket of its own, such as an
// encrypted one.
func Readable(c net.Conn) (waiting, known bool) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true, true // it is closed
	}
	err = raw.Control(func(fd uintptr) { waiting = peek(int(fd)) })
	return waiting || err != nil, true
}

// peek reports whether a read of a socket would return at once. It is repeated if a signal interrupts it.
func peek(fd int) bool {
	for {
		var b [1]byte
		_, _, err := recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return !errors.Is(err, syscall.EAGAIN)
		}
	}
}

var recvfrom = syscall.Recvfrom // for tests

// AwaitReadable blocks until a read would return at once, and then returns true, or until the connection's read deadline passes.
func AwaitReadable(c net.Conn) bool {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true // it is closed
	}
	waiting := false
	raw.Read(func(fd uintptr) bool {
		waiting = peek(int(fd))
		return waiting
	})
	return waiting
}

// PeerClosed reports whether the other side has closed its half of a connection, or the connection is broken, even if there are unread
// bytes before that. It consumes no bytes. For an encrypted connection it inspects the underlying one.
func PeerClosed(c net.Conn) bool {
	socket, ok := Socket(c).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return true
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(look, 0)
		ended = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return ended || err != nil
}
