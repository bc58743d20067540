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
	socket, ok := Socket(c).(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0
	}
	var since time.Duration
	raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			since = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return max(0, since-arrivalTick)
}
