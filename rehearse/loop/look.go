package loop

import (
	"errors"
	"net"
	"syscall"
)

// State is how an idle connection is.
type State int

// The states of a connection.
const (
	Quiet   State = iota // it is open, and nothing has come
	Talking              // there is something to read
	Ended                // the other side has closed it, or it broke
)

// Look tells how a connection is. It neither waits nor reads anything away.
func Look(c net.Conn) State {
	s, ok := c.(syscall.Conn)
	if !ok {
		return Ended
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return Ended
	}
	state := Ended
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case err == nil && n > 0:
			state = Talking
		case errors.Is(err, syscall.EAGAIN):
			state = Quiet
		}
	})
	if err != nil {
		return Ended
	}
	return state
}
