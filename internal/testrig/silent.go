package testrig

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// SilentConns is the number of silent connections that a listener must tolerate.
const SilentConns = 300

// silentDial limits the time to establish a connection; it is generous for busy machines.
const silentDial = 20 * time.Second

// OpenSilent opens SilentConns connections to an address, which stay open until the test ends and in turn send nothing, the first byte of a
// message, or half of it. TCP connections each come from another address of 127.0.0.0/8. It is no error if the other side closes
// them.
func OpenSilent(t testing.TB, network, address string, message []byte) {
	t.Helper()
	for i, said := range silentParts(message) {
		c, err := dialFrom(i, network, address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if len(said) > 0 {
			c.Write(said) // the other side may have closed it
		}
	}
}

// silentParts returns the part of a message that each silent connection sends.
func silentParts(message []byte) [][]byte {
	kinds := [][]byte{nil, message[:1], message[:len(message)/2]}
	parts := make([][]byte, SilentConns)
	for i := range parts {
		parts[i] = kinds[i%len(kinds)]
	}
	return parts
}

// dialFrom connects from the i-th loopback address.
func dialFrom(i int, network, address string) (net.Conn, error) {
	const perNet = 250
	dialer := net.Dialer{Timeout: silentDial}
	if strings.HasPrefix(network, "tcp") {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 200, byte(i/perNet), byte(1+i%perNet))}
	}
	return dialer.DialContext(context.Background(), network, address)
}
