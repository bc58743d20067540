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
			first := newCutWorker(t, c.reset)
			copies := make(chan bool, 1)
			second := newFake(t, func(n int, conn net.Conn) bool {
				copies <- first.holds.Load()
				return say("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")(n, conn)
			})
			p := pool(first.door.Address())
			p.limits.Load().Dial = 250 * time.Millisecond
			p.Directory([]directory.Entry{{Name: "s-2", Address: second.ln.Addr().String(), Status: directory.Serving}}, false)
			if err := p.Reserve("id-1", time.Minute); err != nil {
				t.Fatal(err)
			}
			v := verdict(context.Background(), time.Minute)
			v.Repeatable, v.TakenIn = true, 250*time.Millisecond
			end := dispatch.Silent
			if c.reset {
				end = dispatch.Broken
			}
			invoke(t, p, v, end)
			if !first.holds.Load() {
				t.Fatal("the first worker does not hold the job")
			}
			pause := func() {
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
