package loop

import (
	"io"
	"net"
	"testing"
)

func TestUnread(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	near, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer near.Close()
	far, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	is := func(want int, when string) {
		t.Helper()
		if n, known := Unread(near); n != want || !known {
			t.Errorf("%s: %d, %t", when, n, known)
		}
	}
	is(0, "nothing was sent")
	io.WriteString(near, "12345")
	is(5, "five bytes")
	io.ReadFull(far, make([]byte, 2))
	is(3, "two of them were read")
	io.ReadFull(far, make([]byte, 3))
	is(0, "all were read")
	far.Close()
	pipe, _ := net.Pipe()
	if _, known := Unread(pipe); known {
		t.Error("a pipe has no receive queue")
	}
}
