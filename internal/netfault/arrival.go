package netfault

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalTick is the longest step in which Linux counts the time since an arrival (a jiffy, at 100 Hz).
const arrivalTick = 10 * time.Millisecond

// SinceArrival returns how long ago the latest bytes came to a connection's socket, less what the system's count may be too long by;
// 0 if it does not tell. Of an encrypted connection it looks at the one beneath. See tcp(7), TCP_INFO.
func SinceArrival(c net.Conn) time.Duration {
	info, ok := tcpInfo(c)
	if !ok {
		return 0
	}
	since := time.Duration(info.Last_data_recv) * time.Millisecond
	return max(0, since-arrivalTick)
}

// tcpInfo returns what the system knows of a connection, or of the one beneath an encrypted one. It reports false for one without a socket
// of its own, or that is closed.
func tcpInfo(c net.Conn) (info *unix.TCPInfo, ok bool) {
	socket, ok := Socket(c).(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, false
	}
	controlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, controlErr == nil && err == nil
}
