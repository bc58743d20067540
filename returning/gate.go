package returning

import (
	"context"
	"time"

	"laddertide/core/recovery"
	"laddertide/job"
)

// Gate is the Handler that holds new jobs until they may enter. It stands directly before the Handler that keeps jobs on disk:
// a repeated request for a job that is known there is joined to that job without waiting here, and a job that is rejected here
// was never taken.
type Gate struct {
	Driver *Driver
	Next   job.Handler
	// Known reports whether the next Handler knows a job of that id; it must be usable from the first job on. nil: it knows
	// none.
	Known func(id string) bool
}

// verdict is the decision on a waiting job.
type verdict struct {
	enter      bool
	retryAfter time.Duration
}

// Handle implements job.Handler.
func (g *Gate) Handle(ctx context.Context, j *job.Job) job.Outcome {
	r := g.Driver
	if r.inService.Load() {
		return g.Next.Handle(ctx, j)
	}
	if g.Known != nil && g.Known(j.ID) {
		return g.join(ctx, j)
	}
	inFlight := false // an attempt that others made before this job arrived here is waited for in the engine
	if j.Keeper != nil {
		past, resumed := j.Keeper.PastAttempts()
		inFlight = resumed && len(past) > 0
	}
	due := time.Now().Add(j.TimeLeft)
	decision := make(chan verdict, 1)
	id, answer, retryAfter := r.offer(j, due, inFlight, decision)
	switch answer {
	case recovery.MayHaveRun:
		return job.Outcome{Kind: job.Failed}
	case recovery.RetryLater: // nothing of it has run from here, nor will
		return job.Outcome{Kind: job.Rejected, RetryAfter: retryAfter}
	case recovery.Waits:
		timer := time.NewTimer(j.TimeLeft)
		defer timer.Stop()
		select {
		case v := <-decision:
			if !v.enter {
				return job.Outcome{Kind: job.Rejected, RetryAfter: v.retryAfter}
			}
		case <-timer.C: // its deadline is nearer than the next planning of the waiting jobs
			r.abandon(id)
			return job.Outcome{Kind: job.Rejected}
		case <-ctx.Done():
			r.abandon(id)
			return job.Outcome{Kind: job.Gone}
		}
	}
	forwarded := *j
	forwarded.TimeLeft = max(0, time.Until(due))
	served := false
	defer func() { r.ended(id, served) }()
	out := g.Next.Handle(ctx, &forwarded)
	served = out.Kind == job.Served
	return out
}

// join lets a client wait for a job of the previous process, because it must not be told that nothing runs. The state of that
// job is unknown until the ledger is settled.
func (g *Gate) join(ctx context.Context, j *job.Job) job.Outcome {
	r := g.Driver
	due := time.Now().Add(j.TimeLeft)
	timer := time.NewTimer(j.TimeLeft)
	defer timer.Stop()
	select {
	case <-r.settled:
	case <-ctx.Done():
		return job.Outcome{Kind: job.Gone}
	case <-timer.C:
		return job.Outcome{Kind: job.Failed, RetryAfter: r.cfg.Limits.DialTimeout}
	case <-r.stopping:
		return job.Outcome{Kind: job.Failed, RetryAfter: r.cfg.Limits.DialTimeout}
	}
	forwarded := *j
	forwarded.TimeLeft = max(0, time.Until(due))
	return g.Next.Handle(ctx, &forwarded)
}

// workOf returns the estimated slot-seconds that a job takes at a warm provider: its hint, or the time in which its class
// should be answered. The recovery sequence learns how long jobs really take.
func (r *Driver) workOf(j *job.Job) float64 {
	work := j.Hint
	if c := j.Class; work <= 0 && c >= 0 && c < len(r.cfg.Classes) {
		if work = r.cfg.Classes[c].Aim; work <= 0 {
			work = r.cfg.Classes[c].Deadline
		}
	}
	return max(work.Seconds(), 1e-4) * max(j.Slots, 1e-3)
}

func (r *Driver) jobOf(id uint64, j *job.Job, due time.Time) recovery.Job {
	return recovery.Job{ID: id, Class: j.Class, Due: r.now() + time.Until(due), Work: r.workOf(j), Slots: j.Slots}
}

// offer submits a new job to the recovery sequence.
func (r *Driver) offer(j *job.Job, due time.Time, inFlight bool, decision chan<- verdict) (id uint64, answer recovery.Answer, retryAfter time.Duration) {
	r.mu.Lock()
	defer r.notify()
	defer r.mu.Unlock()
	r.lastID++
	id = r.lastID
	offered := r.jobOf(id, j, due)
	offered.Old, offered.InFlight = inFlight, inFlight
	if r.stopped || r.newWaiting >= maxWaiting {
		r.counts.ToldLater++
		return id, recovery.RetryLater, r.cfg.Limits.MaxRetry
	}
	answer, retryAfter = r.machine.Offer(r.now(), offered)
	switch answer {
	case recovery.Waits:
		r.newWaiting++
		r.waiting[id] = waiter{enter: func() { decision <- verdict{enter: true} }, late: func(d time.Duration) { decision <- verdict{retryAfter: d} }}
	case recovery.RetryLater:
		r.counts.ToldLater++
	case recovery.MayHaveRun:
		r.counts.MayRun++
	}
	return id, answer, retryAfter
}

// Schedule implements durable.ResumePacer.
func (r *Driver) Schedule(j *job.Job, due time.Time, enter func(over func(served bool)), late func(stayAway time.Duration)) {
	if r.inService.Load() {
		enter(func(bool) {})
		return
	}
	r.mu.Lock()
	r.lastID++
	id := r.lastID
	offered := r.jobOf(id, j, due)
	offered.Old = true
	start := func() { enter(func(served bool) { r.ended(id, served) }) }
	switch answer, _ := r.machine.Offer(r.now(), offered); answer {
	case recovery.Waits:
		r.waiting[id] = waiter{old: true, enter: start, late: late}
		r.mu.Unlock()
	case recovery.Enters:
		r.mu.Unlock()
		start()
	default:
		r.mu.Unlock()
		late(0)
	}
	r.notify()
}

// abandon records that nobody waits for a job any more: nothing of it is in the engine, nor will be.
func (r *Driver) abandon(id uint64) {
	r.mu.Lock()
	if w, waits := r.waiting[id]; waits {
		r.removeWaiter(id, w)
		r.abandoned[id] = true // Next will still return it
	} else {
		r.machine.JobEnded(r.now(), id, false)
	}
	r.mu.Unlock()
	r.notify()
}

// ended reports that a job has left the engine.
func (r *Driver) ended(id uint64, served bool) {
	r.update(func(now time.Duration) { r.machine.JobEnded(now, id, served) })
}

// Shutdown ends all waiting because the program is shutting down. New jobs are answered; jobs of the previous process stay in the
// ledger.
func (r *Driver) Shutdown() {
	r.mu.Lock()
	if !r.stopped {
		close(r.stopping)
	}
	r.stopped = true
	var callbacks []func()
	for id, w := range r.waiting {
		r.removeWaiter(id, w)
		if !w.old {
			callbacks = append(callbacks, func() { w.late(r.cfg.Limits.DialTimeout) })
		}
	}
	r.mu.Unlock()
	for _, f := range callbacks {
		f()
	}
}

// HoldCallbacks passes a provider's callbacks on once their jobs are known here.
func (r *Driver) HoldCallbacks(next func(message []byte) error) func(message []byte) error {
	return func(message []byte) error {
		if !r.listening.Load() {
			return job.ErrNotStored
		}
		return next(message)
	}
}
