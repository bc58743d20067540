package provider

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"laddertide/directory"
	"laddertide/dispatch"
	"laddertide/job"
	"laddertide/wire/http1"

	"golang.org/x/sys/unix"
)

const (
	undeliveredBody = 60 << 10               // of a job that does not fit into the worker's receive buffer
	undeliveredTime = 150 * time.Millisecond // until the attempt ends
)

// slowReader is a worker that accepts connections and reads nothing from them until it is told to.
type slowReader struct {
	conns chan net.Conn
	pool  *Pool
}

// newSlowReader starts a worker with a small receive buffer, and a pool whose sockets have a send buffer of the given size.
func newSlowReader(t *testing.T, sendBuffer int) *slowReader {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) }); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	w := &slowReader{conns: make(chan net.Conn, 10), pool: newTestPool(ln.Addr().String())}
	w.pool.SetLimits(Limits{Dial: time.Second, Idle: time.Minute, MaxConnections: 10}) // also limits the wait for the answer to a DELETE
	w.pool.dial = func(ctx context.Context, address string, until time.Time) (net.Conn, error) {
		c, err := dialTCP(ctx, address, until)
		if err == nil {
			err = c.(*net.TCPConn).SetWriteBuffer(sendBuffer)
		}
		return c, err
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			w.conns <- c
		}
	}()
	return w
}

// attempt makes an attempt of a large job.
func (w *slowReader) attempt(v dispatch.Verdict) dispatch.End {
	j := &job.Job{ID: "id-1", Subject: "/api/x", Payload: make([]byte, undeliveredBody), Protocol: http1.Protocol}
	end, _ := w.pool.MakeAttempt(j, 0, v, func(dispatch.ProviderReport) {})
	return end
}

// arrived reports whether the whole message of a job arrives on the first connection, which is read only now.
func (w *slowReader) arrived(t *testing.T) bool {
	t.Helper()
	c := <-w.conns
	defer c.Close()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	br := bufio.NewReader(c)
	head, err := http1.ReadRequestHead(br)
	if err != nil {
		return false
	}
	body, err := head.ReadBody(br)
	io.Copy(io.Discard, br)
	return err == nil && len(body) == undeliveredBody
}

// TestUnacknowledgedJobNeverArrivesLater guards against an attempt that reaches its worker after it has been given up: its bytes were still
// in this machine's buffers as its connection was closed, and by the time they arrive another worker may have run the job.
func TestUnacknowledgedJobNeverArrivesLater(t *testing.T) {
	for name, limit := range map[string]func(v *dispatch.Verdict){
		"acknowledgement late": func(v *dispatch.Verdict) { v.AckTimeout = undeliveredTime },
		"window over": func(v *dispatch.Verdict) {
			by := time.Now().Add(undeliveredTime)
			v.MayStillSend = func() (time.Time, bool) { return by, true }
		},
		"withdrawn": func(v *dispatch.Verdict) {
			ctx, cancel := context.WithCancelCause(v.Context)
			v.Context = ctx
			time.AfterFunc(undeliveredTime, func() { cancel(nil) })
		},
	} {
		w := newSlowReader(t, 4*undeliveredBody)
		v := verdict(context.Background(), 5*time.Second)
		limit(&v)
		if end := w.attempt(v); end != dispatch.Unacknowledged && end != dispatch.Withdrawn {
			t.Errorf("%s: end %v", name, end)
		}
		if w.arrived(t) {
			t.Errorf("%s: the job arrived after it had been given up", name)
		}
	}
}

// TestSlowWriteEndsWithTheWindow guards against a job whose last byte is written after the window of its key, as its worker reads slowly.
func TestSlowWriteEndsWithTheWindow(t *testing.T) {
	w := newSlowReader(t, 4<<10)
	v := verdict(context.Background(), 5*time.Second)
	by := time.Now().Add(undeliveredTime)
	v.MayStillSend = func() (time.Time, bool) { return by, true }
	if end := w.attempt(v); end != dispatch.NotConnected || time.Until(v.Until) <= 0 {
		t.Errorf("end %v with %v left, want %v at the end of the window", end, time.Until(v.Until), dispatch.NotConnected)
	}
	if w.arrived(t) {
		t.Error("the job arrived as a whole")
	}
}

// TestDisallowedAttemptIsNotSent guards against an attempt that is sent although the decision module no longer allows it. The connection is
// kept for other jobs.
func TestDisallowedAttemptIsNotSent(t *testing.T) {
	f := newFakeProvider(t, respond(acceptedAnswer))
	p := newTestPool(f.ln.Addr().String())
	v := verdict(context.Background(), 5*time.Second)
	v.MayStillSend = func() (time.Time, bool) {
		if p.OpenConnections() == 0 {
			t.Error("asked before there is a connection")
		}
		return time.Time{}, false
	}
	invoke(t, p, v, dispatch.NotSent)
	p.UpdateProviders([]directory.Entry{{Name: "s-1", Address: f.ln.Addr().String(), Status: directory.Serving}}, true)
	v.MayStillSend = nil
	other := newJob()
	other.Subject = "/other"
	go p.MakeAttempt(other, 0, v, func(dispatch.ProviderReport) {})
	if first := <-f.lines; first != "POST /other" || p.OpenConnections() != 1 {
		t.Errorf("the first message is %q, and %d connections are open", first, p.OpenConnections())
	}
}
