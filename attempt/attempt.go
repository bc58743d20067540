// Package attempt provides the last Handler of a job's request path: it submits the job to the decision module, makes the attempts at
// workers that the module asks for, and reports to it how they ended. It owns the job, and with it the job's id, until that is done. It makes
// no decisions, knows no protocol and opens no connection itself.
package attempt

import (
	"context"
	"errors"
	"log/slog"
	"runtime/debug"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
	"laddertide/provider"
)

// Handler implements job.Handler with a decision engine and a connection pool.
type Handler struct {
	Engine *dispatch.Engine
	Pool   *provider.Pool
	Log    *slog.Logger
	Once   *Once // nil: requests that repeat a job are not recognized once its id is free again
}

// request is a job between its arrival and its final verdict.
//
// Its request path waits only for verdicts. Each attempt has a goroutine of its own, which may outlive the job: a worker that hangs, a
// connection that is not established or a disk that does not respond delays the attempt, never the answer.
type request struct {
	*Handler
	ctx      context.Context // the client's
	job      *job.Job
	ticket   *dispatch.Ticket
	attempts attemptLog
	once     *onceJob
	lease    uint64 // of the last attempt
	result   []byte // of the attempt that served the job; set before that attempt's end is reported
}

// Handle implements job.Handler. A job whose id is in use by another job is answered as invalid. It returns with the job's final verdict,
// whatever an attempt may still be waiting for.
func (h *Handler) Handle(ctx context.Context, j *job.Job) (out job.Outcome) {
	began := time.Now()
	if err := h.Pool.Reserve(j.ID, j.TimeLeft); errors.Is(err, provider.ErrIDNotReleased) {
		h.Log.Debug("job not taken", "id", j.ID, "err", err)
		return job.Outcome{Kind: job.Failed}
	} else if err != nil {
		return job.Outcome{Kind: job.Invalid, Why: err.Error()}
	}
	defer h.Pool.Unreserve(j.ID)
	once := h.Once.track(j)
	if j.Keeper == nil && once.spent() {
		h.Log.Debug("job not taken: it may have run", "id", j.ID)
		return job.Outcome{Kind: job.Failed}
	}
	r := &request{Handler: h, ctx: ctx, job: j, once: once}
	defer r.recordOnce()
	r.submit(max(0, j.TimeLeft-time.Since(began)))
	defer func() {
		if p := recover(); p != nil {
			r.failAfterPanic(p, dispatch.Broken) // an attempt in flight may have run
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	if ctx.Err() != nil {
		r.ticket.Leave() // before the first verdict: no attempt begins for a client that has left
	}
	stopLeave := context.AfterFunc(ctx, r.ticket.Leave)
	defer stopLeave()
	// Jobs that continue in another process leave this engine as if their clients had left.
	leaving := h.Pool.HandoverContext()
	stopRelease := context.AfterFunc(leaving, r.ticket.Release)
	defer stopRelease()
	for {
		v := r.ticket.NextVerdict()
		switch {
		case v.Kind == dispatch.ClientLeft && ctx.Err() == nil && leaving.Err() != nil:
			return job.Outcome{Kind: job.Moved, PastAttempts: r.attempts.list()}
		case v.Kind == dispatch.Attempt && leaving.Err() != nil:
			r.ticket.Leave()
			r.ticket.Report(dispatch.NotSent)
		case v.Kind == dispatch.Attempt || v.Kind == dispatch.Await:
			done := h.Pool.AddUser(j.ID)
			go func() {
				defer done()
				r.attempt(v)
			}()
		default:
			h.Log.Debug("job over", "id", j.ID, "class", j.Class, "verdict", v.Kind, "took", time.Since(began))
			return r.outcome(v)
		}
	}
}

// recordOnce remembers a job that must not run twice, from its end on, if something of it may have run.
func (r *request) recordOnce() {
	if r.attempts.mayHaveRun() {
		r.once.record()
	}
}

// submit hands the job to the engine, either as a new one or with the attempts that a previous process has made.
func (r *request) submit(left time.Duration) {
	j := r.job
	facts := dispatch.Job{
		Class: j.Class, Tenant: j.Tenant, TimeLeft: left, Hint: j.Hint, Slots: j.Slots,
		ID: j.ID, TenantName: j.TenantName, Deadline: j.Deadline, ConnectionSlots: j.ConnectionSlots,
	}
	if j.Keeper == nil {
		r.ticket = r.Engine.Submit(facts)
		return
	}
	earlier, resumed := j.Keeper.PastAttempts()
	if !resumed {
		r.ticket = r.Engine.Submit(facts)
		return
	}
	r.attempts.addEarlier(earlier)
	past := make([]dispatch.PastAttempt, len(earlier))
	for i, p := range earlier {
		age := time.Since(p.Sent)
		past[i] = dispatch.PastAttempt{Provider: p.Provider, Age: age, Started: p.Started, StartedAgo: age, MayHaveRun: p.MayHaveRun, InFlight: p.InFlight}
		r.lease = p.Lease
		if !p.InFlight {
			r.Pool.AddEarlierAttempt(j.ID, p.Provider, p.MayHaveRun)
		}
	}
	r.ticket = r.Engine.Resume(facts, past)
}

// attempt makes the attempt of a verdict, or waits for the one that a previous process has made, and reports how it ended. Attempts of
// one job are made one after the other.
func (r *request) attempt(v dispatch.Verdict) {
	calling := false
	defer func() {
		if p := recover(); p != nil {
			end := dispatch.NotSent
			if calling {
				end = dispatch.Broken // it may have run
			}
			r.failAfterPanic(p, end)
		}
	}()
	j := r.job
	if v.Kind == dispatch.Attempt && !r.mayBegin(v) {
		r.ticket.Report(dispatch.NotSent)
		return
	}
	began := time.Now()
	var end dispatch.End
	calling = true
	if v.Kind == dispatch.Attempt {
		v.Context = job.WithLeaveCheck(v.Context, func() bool { return job.HasLeft(r.ctx) })
		r.attempts.begin(v.Provider)
		r.once.record()
		end, r.result = r.Pool.MakeAttempt(j, r.lease, v, r.attempts.recordStart(r.ticket.HandleReport))
	} else {
		end, r.result = r.Pool.AwaitAttempt(j, r.lease, v, r.attempts.recordStart(r.ticket.HandleReport))
	}
	r.endAttempt(v, end, time.Since(began))
}

// mayBegin lets the job's Keeper record an attempt before any byte of it is sent, and reports whether it may be sent.
func (r *request) mayBegin(v dispatch.Verdict) bool {
	if r.job.Keeper == nil {
		return true
	}
	lease, err := r.job.Keeper.BeforeSend(v.Provider)
	if err != nil {
		r.Log.Debug("attempt not made", "id", r.job.ID, "provider", v.Provider, "err", err)
		return false
	}
	r.lease = lease
	return true
}

// endAttempt reports the end of an attempt to the job's Keeper and to the module, or removes the job from this process if it continues in
// another.
func (r *request) endAttempt(v dispatch.Verdict, end dispatch.End, took time.Duration) {
	switch end {
	case provider.Moved:
		r.ticket.Leave()
		r.ticket.Report(dispatch.Withdrawn)
		return
	case provider.Unsent:
		if r.attempts.removeLast(); !r.attempts.mayHaveRun() {
			r.once.forget()
		}
		r.ticket.Leave()
		r.ticket.Report(dispatch.NotSent)
		return
	}
	if end == dispatch.NotSent && r.ctx.Err() != nil {
		r.ticket.Leave() // the module must know why, and the goroutine that notifies it may not have run yet
	}
	if r.attempts.recordEnd(end); !r.attempts.mayHaveRun() {
		r.once.forget()
	}
	r.Log.Debug("attempt ended", "id", r.job.ID, "provider", v.Provider, "end", end, "took", took, "withdrawn", context.Cause(v.Context))
	if r.job.Keeper != nil && end != dispatch.Served {
		r.job.Keeper.AttemptEnded(r.lease, end.ProvesNotRun())
	}
	r.ticket.Report(end)
	if r.Pool.HandoverContext().Err() != nil {
		r.ticket.Release()
	}
}

// failAfterPanic ends a job whose handling panicked. The module must still be notified how an attempt in flight has ended, after the job is
// over: otherwise it might request another one.
func (r *request) failAfterPanic(panicked any, end dispatch.End) {
	r.ticket.Fail()
	r.ticket.Report(end)
	r.Log.Error("panic while handling a job", "id", r.job.ID, "panic", panicked, "stack", string(debug.Stack()))
}

// outcome converts a final verdict to the job's outcome.
func (r *request) outcome(v dispatch.Verdict) job.Outcome {
	switch v.Kind {
	case dispatch.Answer:
		return job.Outcome{Kind: job.Served, Result: r.result}
	case dispatch.Rejection:
		return job.Outcome{Kind: job.Rejected, RetryAfter: v.RetryAfter}
	case dispatch.ClientLeft:
		return job.Outcome{Kind: job.Gone}
	case dispatch.InvalidJob:
		return job.Outcome{Kind: job.Invalid, Why: "no provider can use this request"}
	}
	return job.Outcome{Kind: job.Failed}
}
