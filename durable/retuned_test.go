package durable

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"laddertide/job"
	"laddertide/ledger/faultfs"
	"laddertide/policy"
)

// TestStoredJobOfAChangedClassRunsOnce guards against a stored job that runs a second time (review/3: a card-issue, after a reload that changed
// its class): its client asks again, and its class is not one of those that the ledger was opened with, or not durable any more.
func TestStoredJobOfAChangedClassRunsOnce(t *testing.T) {
	const runTime = 300 * time.Millisecond
	retuned := func(changes int) func(*job.Job) { // each change gives a class another index
		return func(j *job.Job) { j.Class = len(testClasses) + changes - 1 }
	}
	for name, change := range map[string]func(*job.Job){
		"changed once":       retuned(1),
		"changed twice":      retuned(2),
		"unchanged":          func(*job.Job) {},
		"of another index":   func(j *job.Job) { j.Class = (j.Class + 1) % len(testClasses) },
		"with less deadline": func(j *job.Job) { retuned(1)(j); j.Deadline /= 2 },
	} {
		for class := range testClasses {
			t.Run(fmt.Sprint(name, ", ", testClasses[class].Name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					runs, run := 0, serveAfter(runTime)
					next := func(ctx context.Context, j *job.Job) job.Outcome {
						if runs++; j.Keeper == nil {
							return job.Outcome{Kind: job.Served, Result: []byte("run without a record")}
						}
						return run(ctx, j)
					}
					disk := faultfs.New()
					s := openHandler(t, disk, settings(), true, next)
					asks := func(when string, patience time.Duration, want job.Kind) {
						t.Helper()
						j := newJob("a", class)
						change(j)
						ctx, cancel := context.WithTimeout(t.Context(), patience)
						defer cancel()
						out := s.Handle(ctx, j)
						if out.Kind != want || want == job.Served && string(out.Result) != "a by 1" || runs != 1 {
							t.Errorf("%s: answered %v %q after %d runs", when, out.Kind, out.Result, runs)
						}
					}
					ctx, leave := context.WithTimeout(t.Context(), runTime/3)
					defer leave()
					s.Handle(ctx, newJob("a", class)) // the client's connection breaks
					asks("while it is out", runTime/3, job.Gone)
					asks("until it ends", time.Minute, job.Served)
					asks("after its end", time.Minute, job.Served)
					other := newJob("a", class)
					change(other)
					other.Payload = []byte("another")
					if out := s.Handle(t.Context(), other); out.Kind != job.Conflict || runs != 1 {
						t.Errorf("another request with its id: %v after %d runs", out.Kind, runs)
					}
					s.leaveOpenJobs()
					asks("after the jobs were left to the next process", time.Minute, job.Served)
					s.closeAndWait(t)
					s = openHandler(t, disk, settings(), true, next)
					asks("in the next process", time.Minute, job.Served)
					s.closeAndWait(t)
					set := settings()
					set.Classes = []string{testClasses[(class+1)%len(testClasses)].Name}
					s = openHandler(t, disk, set, true, next)
					asks("in a process whose file does not name the class", time.Minute, job.Served)
					s.closeAndWait(t)
				})
			})
		}
	}
}

// TestForgottenJobOfAChangedClass guards against a request of a class that is not durable and is stored nevertheless, as the ledger still had an
// ended job with its id that may be forgotten.
func TestForgottenJobOfAChangedClass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unstored := 0
		run := serveAfter(time.Millisecond)
		s := openHandler(t, faultfs.New(), settings(), true, func(ctx context.Context, j *job.Job) job.Outcome {
			if j.Keeper == nil {
				unstored++
				return job.Outcome{Kind: job.Served}
			}
			return run(ctx, j)
		})
		s.Handle(t.Context(), newJob("a", 2))
		time.Sleep(settings().Keep)
		j := newJob("a", 2)
		j.Class = len(testClasses)
		if out := s.Handle(t.Context(), j); out.Kind != job.Served || unstored != 1 {
			t.Errorf("%v, %d jobs without a record", out.Kind, unstored)
		}
		s.closeAndWait(t)
	})
}

// TestStartWithRetiredClasses guards against a start that fails, or resumes a job by an earlier definition of its class, as the settings hold
// retired classes: those of the file, where the configuration in force has other ones of the same names.
func TestStartWithRetiredClasses(t *testing.T) {
	retired := func(c policy.Class) policy.Class {
		c.Retired = true
		return c
	}
	read, pay, issue := testClasses[0], testClasses[1], testClasses[2]
	stricter := pay
	stricter.Effect = policy.Unsafe
	for name, c := range map[string]struct {
		classes []policy.Class
		want    int // index of the class by which a job of pay is resumed
	}{
		"changed":             {[]policy.Class{read, retired(pay), issue, stricter}, 3},
		"changed twice":       {[]policy.Class{retired(pay), read, retired(stricter), issue, pay}, 4},
		"changed and back":    {[]policy.Class{pay, read, issue, retired(stricter)}, 0},
		"gone":                {[]policy.Class{read, retired(pay), issue}, 1},
		"changed, then gone":  {[]policy.Class{read, retired(pay), issue, retired(stricter)}, 3},
		"as it was, and last": {[]policy.Class{read, issue, pay}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				disk := faultfs.New()
				s := openHandler(t, disk, settings(), true, func(ctx context.Context, j *job.Job) job.Outcome {
					<-ctx.Done()
					return job.Outcome{Kind: job.Failed}
				})
				go s.Handle(t.Context(), newJob("a", 1))
				synctest.Wait()
				s.leaveOpenJobs()
				s.closeAndWait(t)
				classes := make(chan int, 1)
				s = openHandlerOf(t, disk, settings(), c.classes, func(_ context.Context, j *job.Job) job.Outcome {
					classes <- j.Class
					return job.Outcome{Kind: job.Failed}
				})
				if got := <-classes; got != c.want {
					t.Errorf("resumed by class %d, want %d", got, c.want)
				}
				s.closeAndWait(t)
			})
		})
	}
}
