package loop

import (
	"errors"
	"net"
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
// them unread, which the system shows. limit is how long a machine may take for either.
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
