package loop

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CloseWait is the state of a connection that its peer has closed in order, as the system counts states.
const CloseWait = 8

// StateOf is the state of a connection, as the system counts them.
func StateOf(c syscall.Conn) (state uint8, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var info *unix.TCPInfo
		if info, failed = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); failed == nil {
			state = info.State
		}
	})
	return state, errors.Join(err, failed)
}

// WasRead tells of a connection whose peer has closed it whether that had read all that was sent there. Where bytes come to a connection
// that is closed, or are unread when it is, the peer's machine answers them with a reset. A peer that has ended its half alone may leave
// them unread, which the system shows. limit is how long a machine may take for either. See also Unreached.
func WasRead(c *net.TCPConn, limit time.Duration) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(time.Millisecond) {
		if unread, known := Unread(c); known && unread > 0 {
			return false
		}
		if state, err := StateOf(c); err != nil || state != CloseWait {
			return false
		}
	}
	return true
}

// Unreached tells of a connection whose peer has closed it whether that end is certain to have left the peer before any of the last size
// bytes that were written was there: none is acknowledged, and every segment acknowledges all that had come before it.
func Unreached(c *net.TCPConn, size int) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	ended, queue := false, 0
	err = raw.Control(func(fd uintptr) { ended, queue = hasEnd(fd), queued(fd) })
	return err == nil && size > 0 && ended && queue >= size
}

// Write writes all of b, as c.Write does, and tells whether the end of the peer's half is certain to have left the peer before any of b was
// there: it had come before the first byte was written, or it is there right after the write and acknowledges none of b. No other
// goroutine runs between a look and the write, so that a program that is held up does not look too early.
func Write(c *net.TCPConn, b []byte) (n int, crossed bool, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, false, err
	}
	var failed error
	err = raw.Write(func(fd uintptr) (done bool) {
		for n < len(b) {
			if n == 0 {
				crossed = hasEnd(fd)
				beforeWrite()
			}
			m, err := syscall.Write(int(fd), b[n:])
			switch {
			case errors.Is(err, syscall.EINTR):
				continue
			case errors.Is(err, syscall.EAGAIN):
				return false
			case err != nil:
				failed = &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", err)}
				return true
			}
			n += m
		}
		crossed = crossed || hasEnd(fd) && queued(fd) >= len(b)
		return true
	})
	return n, crossed, errors.Join(err, failed)
}

var beforeWrite = func() {} // for tests

// queued returns how many bytes that were written to a socket are not acknowledged.
func queued(fd uintptr) int {
	n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
	if err != nil {
		return 0
	}
	return n
}

// hasEnd tells whether the end of the peer's half of a connection has come to a socket.
func hasEnd(fd uintptr) bool {
	info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && info.State == CloseWait
}
