// Package testrig is what the tests of several packages listen with: one place that takes connections on loopback and ends
// with the test. What is said on a connection is the test's own. It is never part of the daemon.
package testrig

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"sync"
	"testing"

	"laddertide/wire/http1"
)

// Listen listens on a free port of 127.0.0.1 until the test ends, and lets serve have each connection, in a goroutine of
// its own. The connection is closed when serve returns. It gives the address.
func Listen(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Accept(ln, serve)
	return ln.Addr().String()
}

// Host is an address of loopback that no other process's tests use.
var Host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, os.Getpid()/250%250)

// given are the addresses that Free has given.
var given sync.Map

// Free is an address on Host where nobody listens. It is given once, so nobody else takes it before the test does.
func Free(t testing.TB) string {
	t.Helper()
	for {
		ln, err := net.Listen("tcp", Host+":0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if _, twice := given.LoadOrStore(ln.Addr().String(), true); !twice {
			return ln.Addr().String()
		}
	}
}

// Accept lets serve have each connection that comes to ln, until ln is closed.
func Accept(ln net.Listener, serve func(net.Conn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			serve(c)
		}()
	}
}

// Requests reads whole HTTP/1.1 requests off a connection, one after the other, until one of them cannot be read.
func Requests(c net.Conn, each func(*http1.Head)) {
	for br := bufio.NewReader(c); ; {
		h, err := http1.ReadRequestHead(br)
		if err != nil {
			return
		}
		if _, err := h.ReadBody(br); err != nil {
			return
		}
		each(h)
	}
}
