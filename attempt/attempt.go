// Package attempt is the last Handler of a job's request path: it hands the job to the decision module, makes the attempts at
// workers that the module wants made, and tells it how they ended. It owns a job for as long as that takes, and with it the job's id. It
// decides nothing, knows no protocol and opens no connection itself.
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

// Handler is the engine and the pool as a job.Handler.
type Handler struct {
	Engine *dispatch.Engine
	Pool   *provider.Pool
	Log    *slog.Logger
}

// request is a job between its arrival and its final verdict.
//
// Its request path waits for verdicts and for nothing else. Each attempt has a goroutine of its own, which may outlive the job: a
// worker that hangs, a connection that does not come up or a disk that does not answer holds up the attempt, never the answer.
type request struct {
	*Handler
	ctx    context.Context // its client's
	job    *job.Job
	ticket *dispatch.Ticket
	made   past
	lease  uint64 // of the last attempt
	result []byte // of the attempt that served the job; set before that is reported
}

// Handle implements job.Handler. A job whose id is out already is mistaken. It returns with the job's final verdict, whatever an
// attempt is waiting for by then.
func (h *Handler) Handle(ctx context.Context, j *job.Job) (out job.Outcome) {
	began := time.Now()
	if err := h.Pool.Reserve(j.ID, j.Left); errors.Is(err, provider.ErrLingers) {
		h.Log.Debug("job not taken", "id", j.ID, "err", err)
		return job.Outcome{Kind: job.Failed}
	} else if err != nil {
		return job.Outcome{Kind: job.Mistaken, Why: err.Error()}
	}
	defer h.Pool.Free(j.ID)
	r := &request{Handler: h, ctx: ctx, job: j}
	r.enter(max(0, j.Left-time.Since(began)))
	defer func() {
		if p := recover(); p != nil {
			r.failed(p, dispatch.Broken) // one that is out may have run
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	if ctx.Err() != nil {
		r.ticket.Leave() // before the first verdict: no call begins for a client that has left
	}
	stop := context.AfterFunc(ctx, r.ticket.Leave)
	defer stop()
	// Jobs that go on in another process leave this engine as though their clients had left.
	leaving := h.Pool.Leaving()
	stay := context.AfterFunc(leaving, r.ticket.Release)
	defer stay()
	for {
		v := r.ticket.Pick()
		switch {
		case v.Kind == dispatch.Left && ctx.Err() == nil && leaving.Err() != nil:
			return job.Outcome{Kind: job.Moved, Past: r.made.list()}
		case v.Kind == dispatch.Call && leaving.Err() != nil:
			r.ticket.Leave()
			r.ticket.Report(dispatch.NotSent)
		case v.Kind == dispatch.Call || v.Kind == dispatch.Await:
			done := h.Pool.Use(j.ID)
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

// enter hands the job to the engine: as a new one, or as what an earlier process has made of it.
func (r *request) enter(left time.Duration) {
	j := r.job
	facts := dispatch.Job{
		Class: j.Class, Tenant: j.Tenant, Left: left, Hint: j.Hint, Slots: j.Slots,
		ID: j.ID, Party: j.Party, Deadline: j.Deadline, ConnectionSlots: j.ConnectionSlots,
	}
	if j.Keeper == nil {
		r.ticket = r.Engine.Take(facts)
		return
	}
	before, resumed := j.Keeper.Past()
	if !resumed {
		r.ticket = r.Engine.Take(facts)
		return
	}
	r.made.carryOver(before)
	past := make([]dispatch.Past, len(before))
	for i, p := range before {
		past[i] = dispatch.Past{Provider: p.Provider, Ago: p.Ago, Began: p.Begun, Begun: p.Ago, MayRun: p.MayRun, Out: p.Out}
		r.lease = p.Lease
		if !p.Out {
			r.Pool.Recall(j.ID, p.Provider, p.MayRun)
		}
	}
	r.ticket = r.Engine.Resume(facts, past)
}

// attempt makes the call of a verdict, or waits for the one that an earlier process has made, and reports how it ended. Attempts of
// one job are made one after the other.
func (r *request) attempt(v dispatch.Verdict) {
	calling := false
	defer func() {
		if p := recover(); p != nil {
			end := dispatch.NotSent
			if calling {
				end = dispatch.Broken // it may have run
			}
			r.failed(p, end)
		}
	}()
	j := r.job
	if v.Kind == dispatch.Call && !r.mayBegin(v) {
		r.ticket.Report(dispatch.NotSent)
		return
	}
	began := time.Now()
	var end dispatch.End
	calling = true
	if v.Kind == dispatch.Call {
		v.Context = job.WithLeaveCheck(v.Context, func() bool { return job.HasLeft(r.ctx) })
		r.made.sending(v.Provider)
		end, r.result = r.Pool.Invoke(j, r.lease, v, r.made.hear(r.ticket.Hear))
	} else {
		end, r.result = r.Pool.Await(j, r.lease, v, r.made.hear(r.ticket.Hear))
	}
	r.over(v, end, time.Since(began))
}

// mayBegin lets the job's Keeper take note of a call before anything of it is sent. It tells whether anything may be.
func (r *request) mayBegin(v dispatch.Verdict) bool {
	if r.job.Keeper == nil {
		return true
	}
	lease, err := r.job.Keeper.Sending(v.Provider)
	if err != nil {
		r.Log.Debug("call not made", "id", r.job.ID, "provider", v.Provider, "err", err)
		return false
	}
	r.lease = lease
	return true
}

// over reports the end of a call to the job's Keeper and to the module, or takes the job out of this process.
func (r *request) over(v dispatch.Verdict, end dispatch.End, took time.Duration) {
	switch end {
	case provider.Moved:
		r.ticket.Leave()
		r.ticket.Report(dispatch.Withdrawn)
		return
	case provider.Unsent:
		r.made.unsent()
		r.ticket.Leave()
		r.ticket.Report(dispatch.NotSent)
		return
	}
	if end == dispatch.NotSent && r.ctx.Err() != nil {
		r.ticket.Leave() // the module must know why, and the goroutine that tells it may not have run yet
	}
	r.made.over(end)
	r.Log.Debug("call over", "id", r.job.ID, "provider", v.Provider, "end", end, "took", took, "withdrawn", context.Cause(v.Context))
	if r.job.Keeper != nil && end != dispatch.Served {
		r.job.Keeper.Over(r.lease, end.Proves())
	}
	r.ticket.Report(end)
	if r.Pool.Leaving().Err() != nil {
		r.ticket.Release()
	}
}

// failed ends a job whose carrying panicked. The module must still hear how a call that is out has ended, after the job is over:
// else it might want another one.
func (r *request) failed(panicked any, end dispatch.End) {
	r.ticket.Fail()
	r.ticket.Report(end)
	r.Log.Error("panic while carrying a job", "id", r.job.ID, "panic", panicked, "stack", string(debug.Stack()))
}

// outcome is what a final verdict means for the job.
func (r *request) outcome(v dispatch.Verdict) job.Outcome {
	switch v.Kind {
	case dispatch.Answer:
		return job.Outcome{Kind: job.Served, Result: r.result}
	case dispatch.Rejection:
		return job.Outcome{Kind: job.Rejected, RetryAfter: v.RetryAfter}
	case dispatch.Left:
		return job.Outcome{Kind: job.Gone}
	case dispatch.Mistake:
		return job.Outcome{Kind: job.Mistaken, Why: "no provider can use this request"}
	}
	return job.Outcome{Kind: job.Failed}
}
