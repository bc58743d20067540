package durable

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"laddertide/job"
	"laddertide/ledger/faultfs"
)

// attempted is a next Handler whose attempt ends in a given way after 0.1 s. The disk takes no writes from the attempt's first byte on.
func attempted(kind job.Kind, bad *failing) job.HandlerFunc {
	return func(_ context.Context, j *job.Job) job.Outcome {
		lease, err := j.Keeper.Sending("w1")
		if err != nil {
			return job.Outcome{Kind: job.Rejected}
		}
		bad.set(syscall.ENOSPC)
		time.Sleep(100 * time.Millisecond)
		switch kind {
		case job.Served:
			j.Keeper.Done(lease, []byte("result"))
			return job.Outcome{Kind: job.Served, Result: []byte("result")}
		case job.Failed:
			j.Keeper.Over(lease, false)
		case job.Rejected:
			j.Keeper.Over(lease, true)
		}
		return job.Outcome{Kind: kind}
	}
}

// mustNotRun is a next Handler for processes in which no job goes on.
func mustNotRun(t *testing.T) job.HandlerFunc {
	return func(_ context.Context, j *job.Job) job.Outcome {
		t.Errorf("%s goes on, though it has ended", j.ID)
		return job.Outcome{Kind: job.Failed}
	}
}

// eachEnd runs a test for each class of the town and each way in which its attempt may end.
func eachEnd(t *testing.T, test func(t *testing.T, class int, kind job.Kind)) {
	for class := range townClasses {
		for _, kind := range []job.Kind{job.Served, job.Failed, job.Rejected} {
			t.Run(fmt.Sprint(townClasses[class].Name, ", ", kind), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, class, kind) })
			})
		}
	}
}

// TestToldAgainOnceItIsKept guards against a job that was rejected while that could not be written, that was answered as failed for that
// reason, and that is answered as rejected once the disk takes writes.
func TestToldAgainOnceItIsKept(t *testing.T) {
	eachEnd(t, func(t *testing.T, class int, kind job.Kind) {
		disk, bad := faultfs.New(), &failing{}
		disk.Fate = bad.fate
		s := openShop(t, disk, settings(), true, attempted(kind, bad))
		first := s.Handle(t.Context(), order("a", class))
		bad.Store(nil)
		time.Sleep(time.Second)
		if out := s.Handle(t.Context(), order("a", class)); !same(out, first) || out.RetryAfter != 0 {
			t.Errorf("told %v %q, then %v %q", first.Kind, first.Result, out.Kind, out.Result)
		}
		s.shut(t)
		s = openShop(t, disk, settings(), true, mustNotRun(t))
		if out := s.Handle(t.Context(), order("a", class)); !same(out, first) || out.RetryAfter != 0 {
			t.Errorf("told %v, then %v by the next process", first.Kind, out.Kind)
		}
		s.shut(t)
	})
}
