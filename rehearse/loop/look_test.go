package loop

import (
	"io"
	"net"
	"testing"
	"time"
)

func TestLook(t *testing.T) {
	ln, err := Listen(NewNet().Next())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	here, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer here.Close()
	there, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	becomes := func(want State) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); Look(here) != want; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("state %d, want %d", Look(here), want)
			}
		}
	}
	if got := Look(here); got != Quiet {
		t.Errorf("a new connection: state %d", got)
	}
	io.WriteString(there, "x")
	becomes(Talking)
	if _, err := io.ReadFull(here, make([]byte, 1)); err != nil { // Look has read nothing away
		t.Fatal(err)
	}
	becomes(Quiet)
	there.Close()
	becomes(Ended)
}
