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

// ignoreSYN passes all segments but those that ask for a new connection. To a filter of a listening socket a segment begins with its TCP
// header (socket(7), SO_ATTACH_FILTER).
var ignoreSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpSYN | tcpACK},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jt: 0, Jf: 1, K: tcpSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0xffffffff},
}

// Listen listens at a TCP address, with a socket that IgnoreConnections works on: a Multipath TCP one, which package net opens else, takes no
// filters.
func Listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	config.SetMultipathTCP(false)
	return config.Listen(context.Background(), "tcp", address)
}

// IgnoreConnections has the system ignore whoever asks for a new connection to a listener. The client asks again, 1 s later at first, and
// finds whoever listens there by then. Connections that the system has for the listener already are not touched: they can still be
// accepted, whereas a close of the listener, or its shutdown for reading, resets them. It is an error, and changes nothing, where
// the listener has no socket of its own or the system knows no filters. All processes that share the socket are met by it.
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
