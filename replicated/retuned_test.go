package replicated

import (
	"context"
	"testing"
	"time"

	"laddertide/job"
)

// TestStoredJobOfAChangedClassRunsOnce guards against a replicated job that runs a second time, as its class was changed since the start and its
// client asks again, at its leader or at another scheduler of its group.
func TestStoredJobOfAChangedClassRunsOnce(t *testing.T) {
	w := newCluster(t, 3, 20*time.Second, func(w *cluster) {
		w.next = func(ctx context.Context, j *job.Job) job.Outcome {
			if j.Keeper == nil {
				t.Errorf("%s is run without a record", j.ID)
				return job.Outcome{Kind: job.Failed}
			}
			return (&member{cluster: w}).carry(ctx, j)
		}
	})
	const unsafe = 1
	owner, follower := w.members[0], w.members[1]
	changed := func(h *member) job.Outcome {
		j := newJob("a", unsafe, 10)
		j.Class = len(classes) // its index after a reload
		return h.Handle(t.Context(), j)
	}
	first := owner.request("a", unsafe)
	w.waitFor("the job is in flight", func() bool { return w.attemptCount("a") == 1 })
	w.waitFor("the follower has its record", func() bool { return follower.isUnresumed("a") })
	second := make(chan job.Outcome, 1)
	go func() { second <- changed(owner) }()
	if out := changed(follower); out.Kind != job.Failed || out.RetryAfter == 0 {
		t.Errorf("a scheduler that does not carry it answers %v", out.Kind)
	}
	closeOnce(w.gate("a"))
	for _, out := range []job.Outcome{<-first, <-second, changed(owner)} {
		if out.Kind != job.Served || string(out.Result) != "result of a" {
			t.Errorf("answered %v %q", out.Kind, out.Result)
		}
	}
	if n := w.attemptCount("a"); n != 1 {
		t.Errorf("it ran %d times", n)
	}
}
