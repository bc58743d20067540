package loop

import (
	"errors"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

func TestCheck(t *testing.T) {
	for address, good := range map[string]bool{
		"127.0.0.1": true, "127.0.0.1:0": true, "127.255.1.2:65535": true,
		"localhost:80": false, "0.0.0.0:80": false, ":80": false, "10.0.0.1:80": false, "128.0.0.1": false,
		"[::1]:80": false, "127.0.0.1:x": false, "127.0.0.1:65536": false, "127.1:80": false, "": false,
		"[::ffff:10.0.0.1]:1": false,
	} {
		if err := Check(address); (err == nil) != good {
			t.Errorf("%q: %v", address, err)
		}
	}
	if _, err := Listen("0.0.0.0"); !errors.Is(err, ErrOutside) {
		t.Errorf("listens everywhere: %v", err)
	}
}

func TestAddressesAreHandedOutOnce(t *testing.T) {
	nets := []*Net{NewNet(), NewNet()}
	seen := map[string]bool{}
	for i := range 70_000 {
		a := nets[i%2].Next()
		if seen[a] || Check(a) != nil || strings.HasPrefix(a, "127.0.") {
			t.Fatalf("address %d: %s", i, a)
		}
		seen[a] = true
	}
}

// door is a Door that holds what comes up.
func door(t *testing.T) (*Door, chan net.Conn, *atomic.Int32) {
	t.Helper()
	conns := make(chan net.Conn, 100)
	var count atomic.Int32
	d, err := NewDoor(NewNet().Next(), func(c net.Conn) { count.Add(1); conns <- c })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		d.Close()
		for len(conns) > 0 {
			(<-conns).Close()
		}
	})
	return d, conns, &count
}

func set(t *testing.T, d *Door, b Bearing) {
	t.Helper()
	if err := d.Set(b); err != nil {
		t.Fatal(err)
	}
}

// comesUp dials a door that accepts; the limit only matters to one that does not.
func comesUp(t *testing.T, d *Door) net.Conn {
	t.Helper()
	c, err := net.DialTimeout("tcp", d.Address(), 20*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestADoorRefusesAndComesBackAtItsAddress(t *testing.T) {
	d, conns, _ := door(t)
	address := d.Address()
	for range 50 {
		if _, err := net.DialTimeout("tcp", address, 20*time.Second); !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatalf("a refusing door: %v", err)
		}
		set(t, d, Accepting)
		c, server := comesUp(t, d), <-conns
		_ = c.SetDeadline(time.Now().Add(20 * time.Second))
		_ = server.SetDeadline(time.Now().Add(20 * time.Second))
		go func() { _, _ = io.Copy(server, server); server.Close() }()
		if _, err := c.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		if n, err := c.Read(make([]byte, 9)); n != 1 {
			t.Fatalf("what came up does not speak: %d, %v", n, err)
		}
		set(t, d, Refusing)
		c.Close()
	}
	// The port is kept for it meanwhile.
	for range 2000 {
		ln, err := Listen(strings.Split(address, ":")[0])
		if err != nil {
			t.Fatal(err)
		}
		if ln.Addr().String() == address {
			t.Fatal("the kernel gave its port to another")
		}
		ln.Close()
	}
}

// The connection's own bytes still pass; nobody new comes up, from whatever bearing the silence began.
func TestASilentDoorSaysNothing(t *testing.T) {
	for _, from := range []Bearing{Accepting, Refusing} {
		d, conns, count := door(t)
		set(t, d, Accepting)
		old := comesUp(t, d)
		server := <-conns
		set(t, d, from)
		set(t, d, Silent)
		began := time.Now()
		_, err := net.DialTimeout("tcp", d.Address(), 250*time.Millisecond)
		if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
			t.Fatalf("a silent door: %v", err)
		}
		if took := time.Since(began); took < 250*time.Millisecond {
			t.Errorf("the dial ended after %v", took)
		}
		waiting := make(chan error, 1)
		go func() {
			c, err := net.DialTimeout("tcp", d.Address(), 30*time.Second)
			if err == nil {
				c.Close()
			}
			waiting <- err
		}()
		if _, err := old.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		_ = server.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, err := server.Read(make([]byte, 9)); n != 1 {
			t.Fatalf("a connection from before: %d, %v", n, err)
		}
		select {
		case err := <-waiting:
			t.Fatalf("a dial ended: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		if n := count.Load(); n != 1 {
			t.Fatalf("%d connections came up", n)
		}
		set(t, d, Accepting)
		began = time.Now()
		comesUp(t, d)
		<-conns
		t.Logf("a new dial came up after %v", time.Since(began))
		// One that waits tries again by itself, a second after it last did.
		if err := <-waiting; err != nil {
			t.Fatalf("the one that waited: %v", err)
		}
		t.Logf("the one that waited after %v", time.Since(began))
		<-conns
		server.Close()
	}
}

// What came up in the kernel before the silence and is taken by nobody is reset when it ends.
func TestWhatWasNotTakenIsResetWhenASilenceEnds(t *testing.T) {
	hold := make(chan struct{})
	d, err := NewDoor(NewNet().Next(), func(c net.Conn) { <-hold; c.Close() })
	if err != nil {
		t.Fatal(err)
	}
	set(t, d, Accepting)
	comesUp(t, d) // this one keeps the goroutine
	second := comesUp(t, d)
	set(t, d, Silent)
	set(t, d, Accepting)
	_ = second.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := second.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("it ended with %v", err)
	}
	close(hold)
	d.Close()
}
