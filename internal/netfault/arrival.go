package netfault

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// arrivalTick is the coarsest granularity at which Linux measures the time since an arrival (a jiffy at 100 Hz).
const arrivalTick = 10 * time.Millisecond

// SinceArrival returns how long ago a connection's socket last received bytes, less the system's measuring error; 0 if unknown. For an
// encrypted connection it inspects the underlying one. See tcp(7), TCP_INFO.
func SinceArrival(c net.Conn) time.Duration {
	info, ok := tcpInfo(c)
	if !ok {
		return 0
	}
	since := time.Duration(info.Last_data_recv) * time.Millisecond
	return max(0, since-arrivalTick)
}

// tcpInfo returns the system's information about a connection, or about the one that underlies an encrypted one. ok is false if the
// connection has no socket of its own or is closed.
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
