package dispatch

import (
	"context"
	"time"

	"laddertide/policy"
)

// Ticket is a job that was taken and has no final verdict yet, or still has an attempt in flight.
type Ticket struct {
	engine   *Engine
	id       policy.RequestID
	job      Job
	deadline time.Time
	verdicts chan Verdict
	overC    chan struct{} // closed with the final verdict

	// Guarded by the engine's mutex.
	attempts int
	inFlight bool // an attempt is in flight and is to be reported
	started  bool // its provider has started the job
	provider policy.WorkerID
	sent     time.Duration
	taken    time.Duration // only set with an observer
	withdraw context.CancelCauseFunc
	decided  bool
}

// Submit submits a job to the module. The caller must fetch verdicts until one is final, and report how each attempt that a verdict asks for
// has ended. It must not wait for that before it fetches the next verdict: a job's final verdict may come while an attempt is still in
// flight, and whatever delays the attempt must not delay the answer.
func (d *Engine) Submit(job Job) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.newTicket(job)
	now := d.now()
	t.deadline = d.at(now + job.TimeLeft)
	d.step(Step{Input: Request, Now: now, Number: t.id, ownJob: &t.job, Request: t.policyRequest()})
	return t
}

// newTicket opens a ticket for a job.
func (d *Engine) newTicket(job Job) *Ticket {
	d.lastID++
	d.counts.Jobs++
	t := &Ticket{engine: d, id: d.lastID, job: job, verdicts: make(chan Verdict, 2), overC: make(chan struct{})}
	d.tickets[t.id] = t
	d.notifyJobEvent(t, Event{Kind: Taken})
	return t
}

// policyRequest returns the job in the form that the module takes.
func (t *Ticket) policyRequest() policy.Request {
	return policy.Request{ID: t.id, Class: t.job.Class, Tenant: t.job.Tenant, Left: t.job.TimeLeft, Hint: t.job.Hint,
		Slots: t.job.Slots, ConnectionSlots: t.job.ConnectionSlots}
}

// PastAttempt is an attempt that a previous process has made for a job.
type PastAttempt struct {
	Provider   string        // its name in discovery
	Age        time.Duration // since it was sent
	StartedAgo time.Duration // time since its provider reported the start, if it has
	Started    bool
	MayHaveRun bool // it has ended, and may have run
	InFlight   bool // not known to have ended; at most the last one
}

// Resume submits a job to the module that a previous process had taken. If an attempt of it is in flight, the first verdict is to wait for
// that; otherwise it continues like a new job.
func (d *Engine) Resume(job Job, past []PastAttempt) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.newTicket(job)
	now := d.now()
	t.deadline = d.at(now + job.TimeLeft)
	attempts := make([]policy.PastAttempt, len(past))
	for i := range past {
		p := &past[i]
		a := policy.PastAttempt{Worker: d.providerID(p.Provider, now), Sent: now - p.Age, MayRun: p.MayHaveRun, Out: p.InFlight}
		if p.Started {
			a.Started = now - p.StartedAgo
		}
		attempts[i] = a
	}
	t.attempts = len(past)
	if n := len(past); n > 0 {
		last := &attempts[n-1]
		t.provider, t.sent, t.started = last.Worker, last.Sent, past[n-1].Started
		if last.Out {
			d.notifyJobEvent(t, Event{Kind: Sent})
			if t.started {
				d.notifyJobEvent(t, Event{Kind: Started})
			}
			t.handOut(Verdict{Kind: Await, Provider: past[n-1].Provider, Until: t.deadline})
		}
	}
	d.step(Step{Input: Resume, Now: now, Number: t.id, ownJob: &t.job, Past: attempts, Request: t.policyRequest()})
	return t
}

// NextVerdict blocks until there is a verdict on the job, and returns it.
func (t *Ticket) NextVerdict() Verdict {
	select {
	case v := <-t.verdicts:
		return v
	default:
	}
	timer := time.NewTimer(time.Until(t.deadline) + reportGrace)
	defer timer.Stop()
	select {
	case v := <-t.verdicts:
		return v
	case <-timer.C:
	}
	return t.decideOverdue()
}

// reportGrace is how long after a job's deadline the end of its attempt may still be reported: an actual end says more than a time-out.
const reportGrace = 3 * time.Millisecond

// decideOverdue makes the final verdict on a job whose deadline has passed. Normally the module sets a timer for each job that it holds
// back, and an attempt that is in flight ends at the job's deadline. This makes sure that the client gets its one answer in time even if the
// module loses a job or an attempt is delayed.
func (t *Ticket) decideOverdue() Verdict {
	d := t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := t.pollVerdict(); ok {
		return v
	}
	if t.inFlight {
		d.log.Debug("attempt delayed beyond its job's deadline", "id", t.job.ID, "provider", d.providerNames[t.provider])
		d.report(t, TimedOut)
	} else {
		d.runLateTimer(t)
	}
	if v, ok := t.pollVerdict(); ok {
		return v
	}
	d.log.Error("job left undecided at its deadline", "job", uint64(t.id))
	d.endJob(t, Failure)
	return <-t.verdicts
}

// pollVerdict returns the next verdict if there already is one.
func (t *Ticket) pollVerdict() (Verdict, bool) {
	select {
	case v := <-t.verdicts:
		return v, true
	default:
		return Verdict{}, false
	}
}

// ProviderReport is a provider's report about a job that it has, before the attempt's end is reported.
type ProviderReport struct {
	Kind  ReportKind
	Share float64 // of Progressed: the fraction done; -1: not given
	End   End     // of Ending
}

// ReportKind is the kind of a provider's report.
type ReportKind uint8

// The kinds of reports. Only Begun affects decisions.
const (
	StartReport ReportKind = iota
	ProgressReport
	EndReport // how the attempt ends; Report follows
)

// HandleReport handles a provider's report about the job. It must come from the provider that currently has the job.
func (t *Ticket) HandleReport(n ProviderReport) {
	d := t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	if !t.inFlight {
		return
	}
	switch n.Kind {
	case StartReport:
		if !t.started { // providers repeat their reports
			t.started = true
			d.notifyJobEvent(t, Event{Kind: Started})
		}
		d.step(Step{Input: Note, Now: d.now(), Number: t.id, ownJob: &t.job, Note: policy.Note{
			Request: t.id, Attempt: t.attempts - 1, Worker: t.provider, Started: true,
		}})
	case ProgressReport:
		d.notifyJobEvent(t, Event{Kind: Progress, Share: n.Share})
	case EndReport:
		d.notifyJobEvent(t, Event{Kind: EndAnnounced, End: n.End})
	}
}

// Report records how the attempt of the last verdict ended. Each attempt has one end: later ones are ignored.
func (t *Ticket) Report(end End) {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.report(t, end)
}

// report records the end of an attempt. Called under mu.
func (d *Engine) report(t *Ticket, end End) {
	if !t.inFlight {
		return
	}
	t.inFlight = false
	d.counts.Ends[end]++
	t.withdraw(nil)
	d.notifyJobEvent(t, Event{Kind: Ended, End: end})
	switch {
	case t.decided:
	case end == Served:
		d.decide(t, Verdict{Kind: Answer})
	case end == Unusable: // a definitive answer, like a result: no decision would change it
		d.decide(t, Verdict{Kind: InvalidJob})
	}
	now := d.now()
	d.step(Step{Input: Outcome, Now: now, Number: t.id, ownJob: &t.job, End: end, Outcome: policy.Outcome{
		Request: t.id, Attempt: t.attempts - 1, Worker: t.provider, Status: statuses[end],
		Closed: t.decided, Elapsed: now - t.sent,
	}})
	d.removeIfDone(t)
}

// Leave records that the client has disconnected. An attempt that is in flight is withdrawn and must still be reported.
func (t *Ticket) Leave() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.endJob(t, ClientLeft)
}

// Fail ends the job as failed: it may have run. An attempt that is in flight is withdrawn and must still be reported.
func (t *Ticket) Fail() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.endJob(t, Failure)
}

// Release ends a job without an attempt in flight as if its client had disconnected. A job with one is released by whoever makes the attempt.
func (t *Ticket) Release() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if !t.inFlight {
		t.engine.endJob(t, ClientLeft)
	}
}

// endJob gives a job a final verdict that the module did not make, and notifies the module that the job is over. Called under mu.
func (d *Engine) endJob(t *Ticket, verdict VerdictKind) {
	if t.decided {
		return
	}
	d.decide(t, Verdict{Kind: verdict})
	d.step(Step{Input: Gone, Now: d.now(), Number: t.id, ownJob: &t.job})
}

// decide gives t its final verdict. An attempt that is in flight must still be reported.
func (d *Engine) decide(t *Ticket, v Verdict) {
	t.decided = true
	d.counts.Verdicts[v.Kind]++
	d.notifyJobEvent(t, Event{Kind: Decided, Verdict: v.Kind})
	t.verdicts <- v // buffered for one last attempt and this
	close(t.overC)
	d.removeIfDone(t)
}

// removeIfDone removes a ticket that has its final verdict and no attempt in flight.
func (d *Engine) removeIfDone(t *Ticket) {
	if t.decided && !t.inFlight {
		delete(d.tickets, t.id)
	}
}

// repeatable reports whether another attempt may follow the one in flight.
func (t *Ticket) repeatable() bool {
	set := &t.engine.set
	return t.attempts < set.MaxAttempts && set.Classes[t.job.Class].Effect != policy.Unsafe
}

// mayStillSend implements Verdict.MayStillSend for the attempt in flight.
func (t *Ticket) mayStillSend() (by time.Time, allowed bool) {
	d := t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	if t.decided || !t.inFlight {
		return time.Time{}, false
	}
	end, allowed := d.dispatcher.SendPermission(d.now(), t.id)
	if !allowed || end == 0 {
		return time.Time{}, allowed
	}
	return d.at(end), true
}

// handOut hands the job's owner a verdict with an attempt to make or to wait for.
func (t *Ticket) handOut(v Verdict) {
	t.inFlight = true
	v.JobOver = t.overC
	v.Context, t.withdraw = context.WithCancelCause(context.Background())
	t.verdicts <- v
}
