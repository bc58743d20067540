package provider

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"laddertide/directory"
	"laddertide/dispatch"
	"laddertide/internal/testrig"
	"laddertide/job"
	"laddertide/rehearse/loop"
	"laddertide/wire/http1"
)

// cutWorker is a worker that takes a job and is cut off before anybody hears so: its acknowledgement is lost, and nothing reaches it until
// the test lets it be back.
type cutWorker struct {
	t     *testing.T
	door  *loop.Door
	holds atomic.Bool // the job, which was not given up here
	reset bool        // the connection that brought the job breaks
}

func newCutWorker(t *testing.T, reset bool) *cutWorker {
	t.Helper()
	w := &cutWorker{t: t, reset: reset}
	door, err := loop.NewDoor(loop.NewNet().Next(), func(c net.Conn) { go w.serve(c) })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(door.Close)
	w.door = door
	w.bear(loop.Accepting)
	return w
}

func (w *cutWorker) bear(to loop.Bearing) {
	if err := w.door.Set(to); err != nil {
		w.t.Error(err)
	}
}

func (w *cutWorker) serve(c net.Conn) {
	defer c.Close()
	testrig.Requests(c, func(h *http1.Head) {
		if h.Method == "DELETE" {
			w.holds.Store(false)
			say(answerToGivingUp)(0, c)
			return
		}
		w.bear(loop.Silent)
		w.holds.Store(true)
		if w.reset {
			loop.Reset(c)
		}
	})
}

// ends sets how long an attempt at the worker waits for its acknowledgement, and returns how it ends.
func (w *cutWorker) ends(v *dispatch.Verdict) dispatch.End {
	if w.reset {
		return dispatch.Broken
	}
	v.TakenIn = time.Second // longer than a busy machine takes for the job to arrive
	return dispatch.Silent
}

// TestNoSecondCopyOnceAWorkerIsBack guards against a second attempt while the first is out: its worker could not be told that the job is
// given up there, but can be once the second one begins, as the process was held up right before that, or the job had to wait for a worker.
func TestNoSecondCopyOnceAWorkerIsBack(t *testing.T) {
	for name, c := range map[string]struct{ reset, heldUp bool }{
		"no acknowledgement, held up before the first byte": {heldUp: true},
		"no acknowledgement, waits for a worker":            {},
		"connection reset, held up before the first byte":   {reset: true, heldUp: true},
		"connection reset, waits for a worker":              {reset: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newCutWorker(t, c.reset)
			copies := make(chan bool, 1)
			var away atomic.Bool // nothing reaches the first worker
			second := newFake(t, func(n int, conn net.Conn) bool {
				copies <- first.holds.Load()
				return say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, conn)
			})
			p := pool(first.door.Address())
			dial := p.dial
			p.dial = func(ctx context.Context, address string, until time.Time) (net.Conn, error) {
				if away.Load() && first.holds.Load() && address == first.door.Address() {
					until = time.Now().Add(100 * time.Millisecond)
				}
				return dial(ctx, address, until)
			}
			patient(p)
			p.Directory([]directory.Entry{{Name: "s-2", Address: second.ln.Addr().String(), Status: directory.Serving}}, false)
			if err := p.Reserve("id-1", time.Minute); err != nil {
				t.Fatal(err)
			}
			v := verdict(context.Background(), time.Minute)
			v.Repeatable = true
			end := first.ends(&v)
			away.Store(true)
			invoke(t, p, v, end)
			if !first.holds.Load() {
				t.Fatal("the first worker does not hold the job")
			}
			pause := func() {
				away.Store(false)
				first.bear(loop.Accepting)
				time.Sleep(2 * heldUp)
			}
			if !c.heldUp {
				pause()
			}
			held := false
			v.Provider, v.TakenIn = "s-2", 0
			v.Context = job.WithLeaveCheck(context.Background(), func() bool {
				if c.heldUp && p.Open() > 0 && !held { // the look for the client's leave, with the connection up
					held = true
					pause()
				}
				return false
			})
			invoke(t, p, v, dispatch.Failed)
			if held != c.heldUp {
				t.Error("nobody looked for the client's leave")
			}
			if <-copies {
				t.Error("the job came to the second worker while the first held it and could be told")
			}
		})
	}
}

// TestNoSecondCopyAsAWorkerComesBack guards against a second attempt while the first is out: its worker came back while a connection on which
// it was to be told was still tried, and the network had lost that one's first packet.
func TestNoSecondCopyAsAWorkerComesBack(t *testing.T) {
	for name, c := range map[string]struct {
		reset bool
		lost  int // connections that are tried in vain
	}{
		"no acknowledgement, during the first try":    {lost: 1},
		"no acknowledgement, during the last but one": {lost: 2},
		"connection reset, during the first try":      {reset: true, lost: 1},
		"connection reset, during the last but one":   {reset: true, lost: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newCutWorker(t, c.reset)
			p := pool(first.door.Address())
			patient(p)
			dial, dials := p.dial, 0
			p.dial = func(ctx context.Context, address string, until time.Time) (net.Conn, error) {
				dials++
				if dials == 1 || dials > 1+c.lost {
					return dial(ctx, address, until)
				}
				if dials == 1+c.lost {
					time.AfterFunc(100*time.Millisecond, func() { first.bear(loop.Accepting) })
				}
				return dial(ctx, address, time.Now().Add(300*time.Millisecond)) // before the system tries again, after a second
			}
			if err := p.Reserve("id-1", time.Minute); err != nil {
				t.Fatal(err)
			}
			v := verdict(context.Background(), time.Minute)
			v.Repeatable = true
			end := first.ends(&v)
			invoke(t, p, v, end)
			if first.holds.Load() {
				t.Error("the attempt ended while its worker held the job and could be told")
			}
		})
	}
}

// patient has a pool wait longer for workers that are back, so that a busy machine is not taken for one that is away.
func patient(p *Pool) {
	p.limits.Load().Dial, p.lastConnect, p.lastAnswer = 20*time.Second, 10*time.Second, 10*time.Second
}

// TestAttemptDespiteAnUnreachableWorker guards against a job that is kept by a worker that stays away.
func TestAttemptDespiteAnUnreachableWorker(t *testing.T) {
	first := newCutWorker(t, true)
	second := newFake(t, say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))
	p := pool(first.door.Address())
	p.limits.Load().Dial = 50 * time.Millisecond
	p.Directory([]directory.Entry{{Name: "s-2", Address: second.ln.Addr().String(), Status: directory.Serving}}, false)
	if err := p.Reserve("id-1", time.Minute); err != nil {
		t.Fatal(err)
	}
	v := verdict(context.Background(), time.Minute)
	v.Repeatable = true
	invoke(t, p, v, dispatch.Broken)
	time.Sleep(2 * heldUp)
	v.Provider = "s-2"
	invoke(t, p, v, dispatch.Failed)
	if line := <-second.lines; line != attemptLine {
		t.Error(line)
	}
}
