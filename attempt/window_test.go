package attempt

import (
	"context"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"laddertide/dispatch"
	"laddertide/internal/testrig"
	"laddertide/job"
	"laddertide/policy"
	"laddertide/provider"
	"laddertide/wire/http1"
)

const (
	keyWindow     = 700 * time.Millisecond  // for which the worker of these tests drops repeats of a key
	answersHeld   = 1100 * time.Millisecond // from its first message until the worker answers anything
	windowTimeout = 100 * time.Millisecond  // for a connection; half the time for an acknowledgement
)

// heldWorker is a worker whose answers are held back for a while after its first message. What is sent to it arrives.
type heldWorker struct {
	release chan struct{} // closed when answers come through again
	first   sync.Once

	mu       sync.Mutex
	attempts []string // attempts that arrived after the window of their key
}

func (w *heldWorker) serve(c net.Conn) {
	testrig.ReadRequests(c, func(h *http1.Head) {
		w.first.Do(func() { time.AfterFunc(answersHeld, func() { close(w.release) }) })
		select {
		case <-w.release: // the window is over
			if h.Method == "POST" {
				w.mu.Lock()
				w.attempts = append(w.attempts, h.Target)
				w.mu.Unlock()
			}
		default:
			<-w.release
		}
		status := "HTTP/1.1 200 OK"
		if h.Method == "POST" {
			status = "HTTP/1.1 202 Accepted"
		}
		c.Write([]byte(status + "\r\nContent-Length: 0\r\n\r\n"))
	})
}

// newKeyedRig returns a rig for jobs of a keyed class with the given window. Its worker is served by serve.
func newKeyedRig(t *testing.T, window time.Duration, log io.Writer, serve func(net.Conn)) *rig {
	t.Helper()
	engine, err := dispatch.New(policy.Settings{
		Balancers: 1, MaxAttempts: 4, Cancel: true, TellsStart: true, WorthByWork: true, DialTimeout: windowTimeout,
		ColdFrom: 0.3, WarmWithin: 9 * time.Second, FallMultiple: 3, FallWindow: time.Second,
		Classes: []policy.Class{{Name: "settle", Aim: time.Minute, Stretch: 2, Deadline: time.Minute, Worth: 1, Kind: -1,
			Effect: policy.Keyed, Window: window}},
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t}
	r.Engine, r.Log = engine, slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	r.Pool = provider.NewPool(provider.Limits{Dial: windowTimeout, Idle: time.Minute, MaxConnections: 10}, r.Log)
	t.Cleanup(func() { engine.Close(); r.Pool.Close() })
	r.setWorker(testrig.Listen(t, serve))
	engine.UpdateProviders(policy.ListCached, 0, []policy.Entry{{Weight: 4}}, []string{"s-1"})
	return r
}

// TestNoAttemptAfterTheWindowOfItsKey guards against a keyed job that is sent again after its window, as the attempt was allowed within the
// window and then waited until the worker had confirmed that an earlier attempt is given up.
func TestNoAttemptAfterTheWindowOfItsKey(t *testing.T) {
	log := &testrig.Log{}
	worker := &heldWorker{release: make(chan struct{})}
	r := newKeyedRig(t, keyWindow, log, worker.serve)

	j := &job.Job{ID: "id-1", TimeLeft: 2500 * time.Millisecond, Hint: time.Millisecond, Slots: 1, Key: "k", Subject: "/settle"}
	out := r.Handle(context.Background(), j)
	if out.Kind == job.Served {
		t.Errorf("outcome %v without a result of the worker", out.Kind)
	}
	worker.mu.Lock()
	defer worker.mu.Unlock()
	if len(worker.attempts) > 0 {
		t.Errorf("%d attempts %v or more after the first one, whose window is %v; log:\n%s", len(worker.attempts), answersHeld, keyWindow, log)
	}
	if c := r.Engine.Counts(); c.Open != 0 || c.Verdicts[dispatch.Rejection]+c.Verdicts[dispatch.Failure] != 1 {
		t.Errorf("the job has not one answer: %+v", c)
	}
	if !strings.Contains(log.String(), "no longer allows it") {
		t.Log("no attempt was turned back at the last check: this machine was too slow for that")
	}
}

// TestWindowRunsOnWhileAJobWaits guards against a keyed job of a previous process that is sent again after its window, as it waited for a
// place on its way here and its earlier attempt was taken to be as old as before the wait.
func TestWindowRunsOnWhileAJobWaits(t *testing.T) {
	const window = time.Second
	requests := make(chan string, 10)
	r := newKeyedRig(t, window, io.Discard, func(c net.Conn) {
		testrig.ReadRequests(c, func(h *http1.Head) {
			requests <- h.Method
			c.Write([]byte(acceptedAnswer))
		})
	})
	past := []job.PastAttempt{{Provider: "s-1", Sent: time.Now().Add(-window / 2), MayHaveRun: true}}
	j := &job.Job{ID: "id-1", TimeLeft: time.Second, Hint: time.Millisecond, Slots: 1, Key: "k", Subject: "/settle"}
	j.Keeper = job.NewInheritedKeeper(past, func() {})
	time.Sleep(window / 2)
	r.Handle(context.Background(), j)
	if len(requests) > 0 {
		t.Errorf("%s after the window", <-requests)
	}
}
