package netfault

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// deferSeconds is the shortest time for which Linux defers a connection: up to the first repeat of its SYN-ACK.
const deferSeconds = 1

// DeferredAtMost is how long after its client has it a deferred connection is handed over at the latest, also if nothing has come on it:
// Linux' first time-out of a SYN-ACK and the granularity of its timers.
const DeferredAtMost = 1100 * time.Millisecond

// DeferAccept has the system hand over connections of a listener only once something has come on them, or their client has been silent for
// a second. Until then each takes no descriptor, but a place in the listener's queue of half-open connections; where that is full (see
// somaxconn in ip-sysctl) the system may answer with SYN cookies, and those come at once. Off, new connections come at once, and those that
// were deferred before come within DeferredAtMost. All processes that share the socket are met by it. See TCP_DEFER_ACCEPT in tcp(7).
func DeferAccept(ln net.Listener, on bool) error {
	raw, err := RawListener(ln)
	if err != nil {
		return err
	}
	seconds := 0
	if on {
		seconds = deferSeconds
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_DEFER_ACCEPT, seconds)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// HandshakeTime returns how long a connection that has just been accepted took to come up: from when the system answered its client to
// what the client sent next, an acknowledgement or its first bytes. For a deferred connection that is how long its client was silent. It
// is 0 where the system does not tell, such as after a lost segment where the client sends no timestamps (RFC 7323). Of an encrypted
// connection it looks at the one beneath. See tcpi_rtt in tcp(7), TCP_INFO.
func HandshakeTime(c net.Conn) time.Duration {
	info, ok := tcpInfo(c)
	if !ok {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}
