// Package netfault says what errors of sockets mean, and what the system knows of one. Its functions may be called from any goroutine.
package netfault

import (
	"errors"
	"net"
	"os"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// DeadlinePassed reports whether an error says that a deadline passed that was set on a connection. A connection that the kernel has
// given up fails with ETIMEDOUT, which is a time-out by net.Error too: that one is broken.
func DeadlinePassed(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// shortages are what accept, socket and connect fail with while this machine, or process, is short of something. See accept(2),
// socket(2) and connect(2).
var shortages = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
	syscall.EAGAIN}

// passing are what they fail with otherwise while something passes that a moment later may be over.
var passing = []syscall.Errno{syscall.EINTR, syscall.ECONNABORTED, syscall.ENETUNREACH, syscall.ENETDOWN}

// Shortage reports whether an error says that this machine or process is short of something that a connection needs. It says
// nothing of the other side.
func Shortage(err error) bool { return isOne(err, shortages) }

// Momentary reports whether the call that failed may go through a moment later.
func Momentary(err error) bool { return Shortage(err) || isOne(err, passing) }

func isOne(err error, of []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(of, errno)
}

// Socket returns the connection beneath an encrypted one, and any other as it is.
func Socket(c net.Conn) net.Conn {
	if encrypted, ok := c.(interface{ NetConn() net.Conn }); ok {
		return encrypted.NetConn()
	}
	return c
}

// Waiting reports whether a read of a connection's socket would return at once, with bytes or with an error, the end of the
// connection among them. It does not wait and takes nothing away. known is false for a connection without a socket of its own, such
// as an encrypted one.
func Waiting(c net.Conn) (waiting, known bool) {
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

// peek looks at what is waiting on a socket. A signal may interrupt it, which says nothing of the socket.
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

// AwaitWaiting blocks until Waiting would report true, or until the connection's read deadline passes. It reports which.
func AwaitWaiting(c net.Conn) bool {
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

// Ended reports whether the other side has ended its half of a connection, or the connection is broken, whatever bytes wait before
// that. It takes nothing away. Of an encrypted connection it looks at the one beneath.
func Ended(c net.Conn) bool {
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
