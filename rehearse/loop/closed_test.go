package loop

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// joined returns both ends of a connection.
func joined(t *testing.T) (near, far *net.TCPConn) {
	t.Helper()
	ln, err := Listen(NewNet().Next())
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	dialed, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { dialed.Close() })
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// losesAll has a connection's socket drop whatever comes from now on.
func losesAll(t *testing.T, c *net.TCPConn) {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = deafen(int(fd)) }); err != nil || failed != nil {
		t.Fatal(err, failed)
	}
}

// awaitEnd waits until the end of the other half has come.
func awaitEnd(t *testing.T, c *net.TCPConn) {
	t.Helper()
	for {
		state, err := StateOf(c)
		if err != nil {
			t.Fatal(err)
		}
		if state == CloseWait {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestUnreached guards against bytes that count as read by a peer that they have not reached: its machine is late, so that neither its
// receive queue nor a reset shows them.
func TestUnreached(t *testing.T) {
	near, far := joined(t)
	losesAll(t, far)
	io.WriteString(near, "12345")
	if Unreached(near, 5) {
		t.Error("the peer has not ended its half")
	}
	far.CloseWrite()
	awaitEnd(t, near)
	if unread, known := Unread(near); unread != 0 || !known {
		t.Fatalf("%d bytes unread, %t", unread, known)
	}
	if !Unreached(near, 5) {
		t.Error("bytes that have not arrived may have been read")
	}
	if Unreached(near, 6) {
		t.Error("of the last six bytes one was there")
	}
}

// TestWriteThatCrossesAnEnd forces the end of the peer's half before a write, between the look for it and the write, and after it.
func TestWriteThatCrossesAnEnd(t *testing.T) {
	defer func() { beforeWrite = func() {} }()
	request := []byte("12345")
	for name, c := range map[string]struct {
		before, between func(near, far *net.TCPConn)
		want            bool
	}{
		"no end": {want: false},
		"before": {before: func(near, far *net.TCPConn) {
			far.CloseWrite()
			awaitEnd(t, near)
		}, want: true},
		"between the look and the write": {between: func(near, far *net.TCPConn) {
			far.CloseWrite()
			awaitEnd(t, near)
			losesAll(t, near) // an acknowledgement that comes at once would hide which was first
		}, want: true},
	} {
		near, far := joined(t)
		beforeWrite = func() {}
		if c.before != nil {
			c.before(near, far)
		}
		if c.between != nil {
			beforeWrite = func() { c.between(near, far) }
		}
		n, crossed, err := Write(near, request)
		if n != len(request) || crossed != c.want || err != nil {
			t.Errorf("%s: %d bytes, crossed %t, %v", name, n, crossed, err)
		}
		if _, err := io.ReadFull(far, request); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestReadWholeIsNoCrossing guards against a peer that reads all, ends its half at once and counts as one that had not read it.
func TestReadWholeIsNoCrossing(t *testing.T) {
	for _, size := range []int{5, 1 << 20} {
		near, far := joined(t)
		go func() {
			io.ReadFull(far, make([]byte, size))
			far.CloseWrite()
		}()
		n, crossed, err := Write(near, make([]byte, size))
		if n != size || crossed || err != nil {
			t.Errorf("%d of %d bytes, crossed %t, %v", n, size, crossed, err)
		}
		awaitEnd(t, near)
		if !WasRead(near, 25*time.Millisecond) || Unreached(near, size) {
			t.Errorf("%d bytes that were read count as unread", size)
		}
	}
}

// TestWriteThatFails guards against errors that tell less than those of the connection's own Write.
func TestWriteThatFails(t *testing.T) {
	full, _ := joined(t)
	full.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
	if n, _, err := Write(full, make([]byte, 64<<20)); !errors.Is(err, os.ErrDeadlineExceeded) || n == 0 {
		t.Errorf("nobody reads: %d bytes, %v", n, err)
	}
	near, far := joined(t)
	far.SetLinger(0)
	far.Close()
	for Look(near) != Ended {
		time.Sleep(time.Millisecond)
	}
	if _, _, err := Write(near, []byte("1")); !errors.Is(err, syscall.EPIPE) && !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("it was reset: %v", err)
	}
	near.Close()
	if _, _, err := Write(near, []byte("1")); !errors.Is(err, net.ErrClosed) {
		t.Errorf("it is closed: %v", err)
	}
}
