package attempt

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"testing"
	"time"

	"laddertide/dispatch"
	"laddertide/internal/testrig"
	"laddertide/job"
	"laddertide/wire/http1"
)

// slowKeeper keeps a job whose calls may begin only once the test says so, as on a disk that does not answer.
type slowKeeper struct {
	job.Inherited
	asked chan struct{} // a call is about to begin
	begin chan error
}

func (k *slowKeeper) Past() ([]job.Past, bool) { return nil, false }

func (k *slowKeeper) Sending(string) (uint64, error) {
	close(k.asked)
	return 1, <-k.begin
}

// answerLimit is how long an answer may take on a busy machine where it waits for nothing.
const answerLimit = 10 * time.Second

// A job's final verdict is its answer at once, whatever its attempt is waiting for: its leave, its end, or the end of this process.
// An attempt lasted as long as what it waited for, and no verdict was looked for meanwhile.
func TestAnswerDoesNotWaitForTheAttempt(t *testing.T) {
	ends := map[string]struct {
		end  func(r *rig, leave context.CancelCauseFunc)
		want job.Kind
	}{
		"the process ends":  {func(r *rig, _ context.CancelCauseFunc) { r.Engine.Stop(time.Now()) }, job.Failed},
		"the client leaves": {func(_ *rig, leave context.CancelCauseFunc) { leave(job.ErrLeft) }, job.Gone},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t, slog.New(slog.DiscardHandler), 1, taken)
			keeper := &slowKeeper{asked: make(chan struct{}), begin: make(chan error)}
			j := newJob(1)
			j.Keeper = keeper
			ctx, leave := context.WithCancelCause(context.Background())
			answered := make(chan job.Outcome, 1)
			go func() { answered <- r.Handle(ctx, j) }()
			<-keeper.asked
			end.end(r, leave)
			select {
			case got := <-answered:
				if got.Kind != end.want {
					t.Errorf("%v, want %v", got.Kind, end.want)
				}
			case <-time.After(answerLimit):
				t.Fatal("no answer while the attempt is held up")
			}
			if err := r.Pool.Reserve(j.ID, 0); err == nil {
				t.Error("the id is free while an attempt may begin")
			}
			keeper.begin <- nil // too late: nothing may be sent any more
			r.idle(dispatch.NotSent)
			if len(r.jobs) > 0 {
				t.Errorf("%s after the answer", <-r.jobs)
			}
		})
	}
}

// At its deadline a job has its answer, though its attempt is held up and cannot say how it ended: it may have run.
func TestDeadlineWhileTheAttemptIsHeldUp(t *testing.T) {
	r := newRig(t, slog.New(slog.DiscardHandler), 1, taken)
	keeper := &slowKeeper{asked: make(chan struct{}), begin: make(chan error)}
	j := newJob(1)
	j.Keeper, j.Left = keeper, 100*time.Millisecond
	if got := r.Handle(context.Background(), j); got.Kind != job.Failed {
		t.Errorf("%v", got.Kind)
	}
	<-keeper.asked
	keeper.begin <- errors.New("the disk fails")
	r.idle(dispatch.TimedOut)
}

// A job that comes with the id of one that was answered waits until nothing of that one is out any more. A call-back that comes late
// would be taken for its own else.
func TestIDOfAJobThatLingers(t *testing.T) {
	r := newRig(t, slog.New(slog.DiscardHandler), 1, taken)
	told := make(chan struct{})
	address := testrig.Listen(t, func(c net.Conn) {
		testrig.Requests(c, func(h *http1.Head) {
			if h.Method == "DELETE" {
				<-told
			}
			r.jobs <- h.Method
			c.Write([]byte(taken))
		})
	})
	r.provide(address)
	ctx, leave := context.WithCancelCause(context.Background())
	go func() {
		<-r.jobs
		time.Sleep(100 * time.Millisecond) // the 202 is read by now
		leave(job.ErrLeft)
	}()
	if got := r.Handle(ctx, newJob(0)); got.Kind != job.Gone {
		t.Fatalf("%v", got.Kind)
	}
	again := make(chan job.Outcome, 1)
	go func() { again <- r.Handle(context.Background(), newJob(0)) }()
	select {
	case got := <-again:
		t.Fatalf("%v while the worker is being told", got.Kind)
	case got := <-r.jobs:
		t.Fatalf("%s while the worker is being told", got)
	case <-time.After(100 * time.Millisecond):
	}
	close(told)
	if first, second := <-r.jobs, <-r.jobs; first != "DELETE" || second != "POST" {
		t.Errorf("%s and %s", first, second)
	}
	if err := r.Pool.CallBack([]byte(`{"id":"id-1","from":"s-1","state":"done","result":"r"}`)); err != nil {
		t.Fatal(err)
	}
	if got := <-again; got.Kind != job.Served {
		t.Errorf("%v", got.Kind)
	}
}
