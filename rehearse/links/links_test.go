package links

import (
	"io"
	"net"
	"testing"
	"time"
)

// ends are two processes behind relays, as sockets.
type ends struct {
	l        *Links
	udp      [2]*net.UDPConn
	tcp      [2]*net.TCPListener
	at       [2]string // their relays
	accepted chan net.Conn
}

func newEnds(t *testing.T) *ends {
	t.Helper()
	e := &ends{l: New(7, nil), accepted: make(chan net.Conn, 8)}
	t.Cleanup(e.l.Close)
	for i, name := range []string{"a", "b"} {
		ip := net.ParseIP(e.l.net.Next())
		tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: ip, Port: tcp.Addr().(*net.TCPAddr).Port})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { tcp.Close(); udp.Close() })
		e.tcp[i], e.udp[i] = tcp, udp
		if e.at[i], err = e.l.Join(name, tcp.Addr().String()); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for {
			c, err := e.tcp[1].Accept()
			if err != nil {
				return
			}
			e.accepted <- c
		}
	}()
	return e
}

func (e *ends) send(t *testing.T, n int) {
	t.Helper()
	to, _ := net.ResolveUDPAddr("udp", e.at[1])
	for i := range n {
		if _, err := e.udp[0].WriteTo([]byte{byte(i)}, to); err != nil {
			t.Fatal(err)
		}
		// One after the other: loopback drops what nobody has read, which is none of this test's business.
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Microsecond) {
			if c := e.l.Counts("a", "b"); c.Packets+c.Lost == int64(i+1) {
				break
			} else if time.Now().After(deadline) {
				t.Fatalf("packet %d was not relayed: %+v", i, c)
			}
		}
	}
}

// got reads packets until none has come for a while.
func (e *ends) got(quiet time.Duration) (out []byte) {
	buf := make([]byte, 16)
	for {
		e.udp[1].SetReadDeadline(time.Now().Add(quiet))
		n, _, err := e.udp[1].ReadFrom(buf)
		if err != nil {
			return out
		}
		out = append(out, buf[:n]...)
	}
}

func TestPackets(t *testing.T) {
	for name, c := range map[string]struct {
		f    Fault
		want func(out []byte, c Counts) bool
	}{
		"nothing":  {Fault{}, func(out []byte, c Counts) bool { return len(out) == 50 && c.Lost == 0 }},
		"cut":      {Fault{Cut: true}, func(out []byte, c Counts) bool { return len(out) == 0 && c.Lost == 50 }},
		"swallow":  {Fault{Swallow: true}, func(out []byte, c Counts) bool { return len(out) == 0 }},
		"loss":     {Fault{Loss: 0.3}, func(out []byte, c Counts) bool { return c.Lost > 5 && c.Lost < 30 && len(out) == 50-int(c.Lost) }},
		"repeat":   {Fault{Repeat: 0.5}, func(out []byte, c Counts) bool { return len(out) > 60 && len(out) < 90 }},
		"one way":  {Fault{}, func(out []byte, c Counts) bool { return len(out) == 50 }},
		"reorder":  {Fault{Reorder: 0.5}, func(out []byte, c Counts) bool { return len(out) == 50 && !inOrder(out) }},
		"slow way": {Fault{Delay: 30 * time.Millisecond}, func(out []byte, c Counts) bool { return len(out) == 50 }},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEnds(t)
			e.l.Set("a", "b", c.f)
			if name == "one way" {
				e.l.Set("b", "a", Fault{Cut: true})
			}
			e.send(t, 50)
			if out := e.got(500 * time.Millisecond); !c.want(out, e.l.Counts("a", "b")) {
				t.Errorf("%d came: %v, %+v", len(out), out, e.l.Counts("a", "b"))
			}
		})
	}
}

func inOrder(b []byte) bool {
	for i := 1; i < len(b); i++ {
		if b[i] < b[i-1] {
			return false
		}
	}
	return true
}

func (e *ends) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	d := net.Dialer{Timeout: 10 * time.Second, LocalAddr: &net.TCPAddr{IP: e.tcp[0].Addr().(*net.TCPAddr).IP}}
	c, err := d.Dial("tcp", e.at[1])
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

func TestStreams(t *testing.T) {
	e := newEnds(t)
	read := func(c net.Conn, n int, within time.Duration) (string, error) {
		c.SetReadDeadline(time.Now().Add(within))
		b := make([]byte, n)
		m, err := io.ReadFull(c, b)
		return string(b[:m]), err
	}
	c := e.dial(t)
	c.Write([]byte("one"))
	far := <-e.accepted
	if s, err := read(far, 3, 20*time.Second); s != "one" {
		t.Fatalf("%q, %v", s, err)
	}
	// A cut holds bytes up, and loses none.
	e.l.Set("a", "b", Fault{Cut: true})
	c.Write([]byte("two"))
	if s, _ := read(far, 3, 100*time.Millisecond); s != "" {
		t.Fatalf("%q came over a cut link", s)
	}
	far.Write([]byte("back"))
	if s, err := read(c, 4, 20*time.Second); s != "back" {
		t.Fatalf("the other way: %q, %v", s, err)
	}
	e.l.Heal()
	if s, err := read(far, 3, 20*time.Second); s != "two" {
		t.Fatalf("after the cut: %q, %v", s, err)
	}
	// What was swallowed never comes, and the connection is of no use afterwards.
	e.l.Set("a", "b", Fault{Swallow: true})
	c.Write([]byte("three"))
	time.Sleep(50 * time.Millisecond)
	e.l.Heal()
	c.Write([]byte("four"))
	if s, err := read(far, 5, 20*time.Second); err == nil || s != "" {
		t.Fatalf("%q came of a connection whose bytes were swallowed", s)
	}
	// A reset in the middle of a message.
	e.l.Set("a", "b", Fault{Reset: 4})
	c = e.dial(t)
	c.Write([]byte("message"))
	far = <-e.accepted
	if s, err := read(far, 7, 20*time.Second); err == nil || s != "mess" && s != "" {
		t.Fatalf("%q, %v", s, err)
	}
	// One that belongs to nobody is turned away.
	stranger, err := net.Dial("tcp", e.at[1])
	if err == nil {
		if _, err = read(stranger, 1, 20*time.Second); err == nil || err == io.EOF {
			t.Errorf("a stranger was not reset: %v", err)
		}
	}
}

// TestLead: a relay on one process's way to another fails in either direction, and no connection comes up meanwhile.
func TestLead(t *testing.T) {
	l := New(7, nil)
	t.Cleanup(l.Close)
	ln, err := net.Listen("tcp", l.net.Next()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			accepted <- c
		}
	}()
	at, err := l.Lead("a", "b", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	dial := func(within time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout("tcp", at, within)
		if err == nil {
			t.Cleanup(func() { c.Close() })
		}
		return c, err
	}
	says := func(from, to net.Conn, text string, within time.Duration) bool {
		t.Helper()
		if _, err := io.WriteString(from, text); err != nil {
			t.Fatal(err)
		}
		to.SetReadDeadline(time.Now().Add(within))
		b := make([]byte, len(text))
		n, err := io.ReadFull(to, b)
		return err == nil && string(b[:n]) == text
	}
	near, err := dial(20 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	far := <-accepted
	if !says(near, far, "there", 20*time.Second) || !says(far, near, "back", 20*time.Second) {
		t.Fatal("nothing passes")
	}
	if err := l.Set("b", "a", Fault{Cut: true}); err != nil {
		t.Fatal(err)
	}
	if !says(near, far, "goes", 20*time.Second) || says(far, near, "held", 200*time.Millisecond) {
		t.Error("a cut from b to a is not that")
	}
	if _, err := dial(300 * time.Millisecond); err == nil {
		t.Error("a connection comes up though no answer to it passes")
	}
	l.Heal()
	near.SetReadDeadline(time.Now().Add(20 * time.Second))
	b := make([]byte, 4)
	if _, err := io.ReadFull(near, b); err != nil || string(b) != "held" {
		t.Errorf("%q, %v after the cut", b, err)
	}
	if err := l.Set("a", "b", Fault{Reset: 4}); err != nil {
		t.Fatal(err)
	}
	next, err := dial(20 * time.Second)
	if err != nil {
		t.Fatal(err)
	}
	if far = <-accepted; says(next, far, "message", 20*time.Second) {
		t.Error("a whole message came of a connection that was to be reset")
	}
	ln.Close()
	l.Heal()
	if c, err := dial(20 * time.Second); err == nil {
		io.WriteString(c, "x") // or the connection has been reset by now
		c.SetReadDeadline(time.Now().Add(20 * time.Second))
		if n, _ := c.Read(make([]byte, 1)); n > 0 {
			t.Error("an answer of nobody")
		}
	}
}

// A delay holds up each read by itself: what is sent while an earlier one is held up comes a delay after it was sent, not two.
func TestADelayIsOfEachRead(t *testing.T) {
	const delay = time.Second
	e := newEnds(t)
	e.l.Set("a", "b", Fault{Delay: delay})
	c := e.dial(t)
	began := time.Now()
	c.Write([]byte("one"))
	time.Sleep(delay / 10)
	c.Write([]byte("two"))
	far := <-e.accepted
	far.SetReadDeadline(began.Add(20 * time.Second))
	b := make([]byte, 6)
	if _, err := io.ReadFull(far, b[:3]); err != nil || string(b[:3]) != "one" {
		t.Fatalf("%q, %v", b, err)
	}
	first := time.Now()
	if took := first.Sub(began); took < delay {
		t.Fatalf("the first came after %v, of a delay of %v", took, delay)
	}
	if _, err := io.ReadFull(far, b[3:]); err != nil || string(b) != "onetwo" {
		t.Fatalf("%q, %v", b, err)
	}
	if apart := time.Since(first); apart > delay*9/10 {
		t.Fatalf("the second came %v after the first, which it was sent %v after", apart, delay/10)
	}
}

func TestTotalSumsUpAllPairsOfOne(t *testing.T) {
	e := newEnds(t)
	e.send(t, 3)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: e.tcp[0].Addr().(*net.TCPAddr).IP}}
	c, err := dialer.Dial("tcp", e.at[1])
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	other := <-e.accepted
	defer other.Close()
	if _, err := io.ReadFull(other, make([]byte, 100)); err != nil {
		t.Fatal(err)
	}
	sent, _ := e.l.Total("a")
	_, received := e.l.Total("b")
	if want := (Counts{Packets: 3, Bytes: 103, Streams: 1, StreamBytes: 100}); sent != want || received != want {
		t.Errorf("a sent %+v, b received %+v, want %+v", sent, received, want)
	}
}
