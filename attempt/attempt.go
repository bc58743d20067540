// Package attempt is the last Handler of a job's request path: it hands the job to the decision module, makes the attempts at
// workers that the module wants made, and tells it how they ended. It owns a job for as long as that takes, and with it the job's id. It
// decides nothing, knows no protocol and opens no connection itself.
package attempt

import (
	"context"
	"log/slog"
	"runtime/debug"
	"time"

	"laddertide/decide"
	"laddertide/job"
	"laddertide/provider"
)

// Handler is the desk and the pool as a job.Handler.
type Handler struct {
	Desk *decide.Desk
	Pool *provider.Pool
	Log  *slog.Logger
}

// Handle implements job.Handler. A job whose id is out already is mistaken.
func (h *Handler) Handle(ctx context.Context, j *job.Job) (out job.Outcome) {
	if err := h.Pool.Reserve(j.ID); err != nil {
		return job.Outcome{Kind: job.Mistaken, Why: err.Error()}
	}
	defer h.Pool.Free(j.ID)
	var made past
	ticket, lease := h.enter(j, &made)
	calling := false
	defer func() {
		if r := recover(); r != nil {
			// The module must still hear how the call ended, and the consumer gets its answer. A call that panicked
			// may have run. The job is over first: else the module might want another call, which nobody would make.
			ticket.Leave()
			end := decide.NotSent // if one is wanted already
			if calling {
				end = decide.Broken
			}
			ticket.Report(end)
			h.Log.Error("panic while carrying a job", "panic", r, "stack", string(debug.Stack()))
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	if ctx.Err() != nil {
		ticket.Leave() // before the first verdict: no call begins for a consumer that has left
	}
	stop := context.AfterFunc(ctx, ticket.Leave)
	defer stop()
	// Jobs that go on in another process leave this desk as though their consumers had left.
	leaving := h.Pool.Leaving()
	stay := context.AfterFunc(leaving, ticket.Release)
	defer stay()
	var result []byte
	began := time.Now()
	for {
		v := ticket.Pick()
		if v.Kind == decide.Left && ctx.Err() == nil && leaving.Err() != nil {
			return job.Outcome{Kind: job.Moved, Past: made.list()}
		}
		if v.Kind != decide.Call && v.Kind != decide.Await {
			h.Log.Debug("job over", "id", j.ID, "class", j.Class, "verdict", v.Kind, "took", time.Since(began))
			return outcome(v, result)
		}
		if v.Kind == decide.Call && leaving.Err() != nil {
			ticket.Leave()
			ticket.Report(decide.NotSent)
			continue
		}
		if j.Keeper != nil && v.Kind == decide.Call {
			var err error
			if lease, err = j.Keeper.Sending(v.Provider); err != nil {
				h.Log.Debug("call not made", "id", j.ID, "provider", v.Provider, "err", err)
				ticket.Report(decide.NotSent)
				continue
			}
		}
		var end decide.End
		sent := time.Now()
		calling = true
		if v.Kind == decide.Call {
			made.sending(v.Provider)
			end, result = h.Pool.Invoke(j, lease, v, made.hear(ticket.Hear))
		} else {
			end, result = h.Pool.Await(j, lease, v, made.hear(ticket.Hear))
		}
		calling = false
		switch end {
		case provider.Moved:
			ticket.Leave()
			ticket.Report(decide.Withdrawn)
			continue
		case provider.Unsent:
			made.unsent()
			ticket.Leave()
			ticket.Report(decide.NotSent)
			continue
		}
		made.over(end)
		h.Log.Debug("call over", "id", j.ID, "provider", v.Provider, "end", end, "took", time.Since(sent))
		if j.Keeper != nil && end != decide.Served {
			j.Keeper.Over(lease, end.Proves())
		}
		if ticket.Report(end); leaving.Err() != nil {
			ticket.Release()
		}
	}
}

// enter hands a job to the desk: as a new one, or as what an earlier process has made of it. lease is that of the call
// which is out then.
func (h *Handler) enter(j *job.Job, made *past) (ticket *decide.Ticket, lease uint64) {
	facts := decide.Job{
		Class: j.Class, Tenant: j.Tenant, Left: j.Left, Hint: j.Hint, Slots: j.Slots,
		ID: j.ID, Party: j.Party, Deadline: j.Deadline,
	}
	if j.Keeper == nil {
		return h.Desk.Take(facts), 0
	}
	before, resumed := j.Keeper.Past()
	if !resumed {
		return h.Desk.Take(facts), 0
	}
	made.carryOver(before)
	past := make([]decide.Past, len(before))
	for i, p := range before {
		past[i] = decide.Past{Provider: p.Provider, Ago: p.Ago, Began: p.Begun, Begun: p.Ago, MayRun: p.MayRun, Out: p.Out}
		lease = p.Lease
		if !p.Out {
			h.Pool.Recall(j.ID, p.Provider, p.MayRun)
		}
	}
	return h.Desk.Resume(facts, past), lease
}

// outcome is what a final verdict means for the job; result is that of its last call.
func outcome(v decide.Verdict, result []byte) job.Outcome {
	switch v.Kind {
	case decide.Answer:
		return job.Outcome{Kind: job.Served, Result: result}
	case decide.Rejection:
		return job.Outcome{Kind: job.Rejected, RetryAfter: v.RetryAfter}
	case decide.Left:
		return job.Outcome{Kind: job.Gone}
	case decide.Mistake:
		return job.Outcome{Kind: job.Mistaken, Why: "no provider can use this request"}
	}
	return job.Outcome{Kind: job.Failed}
}
