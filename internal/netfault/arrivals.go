package netfault

import (
	"context"
	"net"

	"golang.org/x/sys/unix"
)

// Fields of a TCP header that the filter of IgnoreConnections reads.
const (
	tcpFlagsOffset = 13
	tcpSYN         = 0x02
	tcpACK         = 0x10
)

// ignoreSYN drops the segments that open a new connection and passes all others. For a filter of a listening socket, a segment begins
// with its TCP header (socket(7), SO_ATTACH_FILTER).
var ignoreSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
}

// Listen listens at a TCP address, without Multipath TCP, which package net uses by default: its sockets do not accept the filter of
// IgnoreConnections.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// IgnoreConnections makes the system drop requests for new connections to a listener. The client repeats its SYN, first after 1 s, and
// reaches whichever process listens there by then. Connections that are already in the listener's queue are not affected: they can
// still be accepted, whereas closing the listener, or shutting it down for reading, resets them. It returns an error and changes
// nothing if the listener has no socket of its own or the system does not support filters. It affects all processes that share the
// socket.
func IgnoreConnections(ln net.Listener) error {
	raw, err := RawListener(ln)
	if err != nil {
		return err
	}
	program := unix.SockFprog{Len: uint16(len(ignoreSYN)), Filter: &ignoreSYN[0]}
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}
