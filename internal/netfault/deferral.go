package netfault

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// deferSeconds is the shortest time for which Linux defers a connection: until it first repeats the SYN-ACK.
const deferSeconds = 1

// MaxDeferral is the longest time from when the client has established a deferred connection until it can be accepted, even if the
// client sends nothing: Linux' first time-out of a SYN-ACK plus the granularity of its timers.
const MaxDeferral = 1100 * time.Millisecond

// DeferAccept makes connections of a listener acceptable only once bytes have arrived, or the client has been silent for a second. Until
// then a connection needs no descriptor, but an entry in the listener's queue of half-open connections; if that is full (see somaxconn in
// ip-sysctl), the system may answer with SYN cookies, and such connections are not deferred. If on is false, new connections are not
// deferred, and those that were become acceptable within MaxDeferral. It affects all processes that share the socket. See
// TCP_DEFER_ACCEPT in tcp(7).
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

// HandshakeTime returns the time that the handshake of a newly accepted connection took: from the system's SYN-ACK to the client's next
// segment, an acknowledgement or its first bytes. For a deferred connection that is how long the client was silent. It is 0 if the system
// does not know, such as after a lost segment if the client sends no timestamps (RFC 7323). For an encrypted connection it inspects the
// underlying one. See tcpi_rtt in tcp(7), TCP_INFO.
func HandshakeTime(c net.Conn) time.Duration {
	info, ok := tcpInfo(c)
	if !ok {
		return 0
	}
	return time.Duration(info.Rtt) * time.Microsecond
}
