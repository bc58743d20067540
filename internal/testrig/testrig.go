// Package testrig provides listeners on loopback and scripted peers for the tests of several packages; they end with the test.
// It is never part of the daemon.
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

// Listen listens on a free port of 127.0.0.1 until the test ends, and calls serve with each connection, in a goroutine of its
// own. The connection is closed when serve returns. Listen returns the address.
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

// Host is a loopback address that the tests of other processes do not use.
var Host = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()%250, os.Getpid()/250%250)

// issued holds the addresses that Free has returned.
var issued sync.Map

// FreeAddress returns an address on Host at which nothing listens. It returns an address only once, so no other test of the process takes it.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for {
		ln, err := net.Listen("tcp", Host+":0")
		if err != nil {
			t.Fatal(err)
		}
		ln.Close()
		if _, twice := issued.LoadOrStore(ln.Addr().String(), true); !twice {
			return ln.Addr().String()
		}
	}
}

// Accept calls serve with each connection that ln accepts, until ln is closed.
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

// ReadRequests reads complete HTTP/1.1 requests from a connection and calls each with their heads, until one cannot be read.
func ReadRequests(c net.Conn, each func(*http1.Head)) {
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
