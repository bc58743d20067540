package testrig

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

// SilentConns is how many connections of a crowd that says nothing a listener must bear.
const SilentConns = 300

// silentDial bounds a connection of Silent; a busy machine takes its time.
const silentDial = 20 * time.Second

// Silent makes SilentConns connections to an address, which stay open, and silent, until the test ends: by turns one that says nothing,
// one that says the first byte of a message, and one that says half of it. Those to TCP come from as many addresses of
// 127.0.0.0/8. What the other side does with them is no error here.
func Silent(t testing.TB, network, address string, message []byte) {
	t.Helper()
	for i, said := range silentParts(message) {
		c, err := dialFrom(i, network, address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		if len(said) > 0 {
			c.Write(said) // it may be closed by now
		}
	}
}

// silentParts is what each connection of a crowd says of a message.
func silentParts(message []byte) [][]byte {
	kinds := [][]byte{nil, message[:1], message[:len(message)/2]}
	parts := make([][]byte, SilentConns)
	for i := range parts {
		parts[i] = kinds[i%len(kinds)]
	}
	return parts
}

// dialFrom connects from the i-th address of loopback.
func dialFrom(i int, network, address string) (net.Conn, error) {
	const perNet = 250
	dialer := net.Dialer{Timeout: silentDial}
	if strings.HasPrefix(network, "tcp") {
		dialer.LocalAddr = &net.TCPAddr{IP: net.IPv4(127, 200, byte(i/perNet), byte(1+i%perNet))}
	}
	return dialer.DialContext(context.Background(), network, address)
}
