package clients

import (
	"io"
	"net"
	"testing"
)

// A close by a scheduler that had the request is told from one that crossed it, whichever came first.
func TestWhetherARequestWasRead(t *testing.T) {
	t.Parallel()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	request := []byte("POST / HTTP/1.1\r\n\r\n")
	for name, c := range map[string]struct {
		play func(c *conn, client, scheduler net.Conn)
		want bool
	}{
		"read": {func(c *conn, client, scheduler net.Conn) {
			client.Write(request)
			io.ReadFull(scheduler, make([]byte, len(request)))
			scheduler.Close()
		}, true},
		"not all read": {func(c *conn, client, scheduler net.Conn) {
			client.Write(request)
			io.ReadFull(scheduler, make([]byte, len(request)-1))
			scheduler.Close()
		}, false},
		"half closed before, read and dropped": {func(c *conn, client, scheduler net.Conn) {
			scheduler.(*net.TCPConn).CloseWrite()
			c.noteEnd()
			client.Write(request)
			io.ReadFull(scheduler, make([]byte, len(request)))
		}, false},
		"read before the half close": {func(c *conn, client, scheduler net.Conn) {
			client.Write(request)
			io.ReadFull(scheduler, make([]byte, len(request)))
			scheduler.(*net.TCPConn).CloseWrite()
		}, true},
		"closed before": {func(c *conn, client, scheduler net.Conn) {
			scheduler.Close()
			client.Write(request)
		}, false},
	} {
		client, err := net.Dial("tcp4", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		scheduler, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		k := &conn{nc: client.(*net.TCPConn)}
		c.play(k, client, scheduler)
		client.Read(make([]byte, 1)) // the close is seen
		if got := !k.ended.Load() && k.wasRead(); got != c.want {
			t.Errorf("%s: %v", name, got)
		}
		client.Close()
	}
}
