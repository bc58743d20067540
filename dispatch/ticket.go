package dispatch

import (
	"context"
	"time"

	"laddertide/policy"
)

// Ticket is a job that was taken, until its final verdict.
type Ticket struct {
	engine   *Engine
	id       policy.RequestID
	job      Job
	deadline time.Time
	verdicts chan Verdict
	over     chan struct{} // closed with the final verdict

	// Guarded by the engine's mutex.
	attempts int
	out      bool // an invoker call is to be reported
	begun    bool // its provider has begun with the job
	provider policy.WorkerID
	sent     time.Duration
	taken    time.Duration // with an observer only
	withdraw context.CancelCauseFunc
	final    bool
}

// Take hands a job to the module. The caller must call Pick until a verdict is final, and Report how the call of each Call or
// Await verdict ended. It must not wait for that before the next Pick: a job's final verdict may come while a call is still out, and
// whatever holds up the call must not hold up the answer.
func (d *Engine) Take(job Job) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.ticket(job)
	now := d.now()
	t.deadline = d.at(now + job.Left)
	d.step(Step{Input: Request, Now: now, Number: t.id, own: &t.job, Request: t.request()})
	return t
}

// ticket opens a ticket for a job.
func (d *Engine) ticket(job Job) *Ticket {
	d.next++
	d.counts.Jobs++
	t := &Ticket{engine: d, id: d.next, job: job, verdicts: make(chan Verdict, 2), over: make(chan struct{})}
	d.tickets[t.id] = t
	d.tell(t, Event{Kind: Taken})
	return t
}

// request is the job as the module takes it.
func (t *Ticket) request() policy.Request {
	return policy.Request{ID: t.id, Class: t.job.Class, Tenant: t.job.Tenant, Left: t.job.Left, Hint: t.job.Hint,
		Slots: t.job.Slots, ConnectionSlots: t.job.ConnectionSlots}
}

// Past is an invoker call that an earlier process has made for a job.
type Past struct {
	Provider string        // by its name in the directory
	Ago      time.Duration // since it was sent
	Begun    time.Duration // since its start note, if Began
	Began    bool
	MayRun   bool // it is over, and may have run
	Out      bool // it is not known to be over; the last one at most
}

// Resume hands a job to the module that an earlier process had taken. If a call of it is out, the first verdict is Await;
// else it goes on as after Take.
func (d *Engine) Resume(job Job, past []Past) *Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.ticket(job)
	now := d.now()
	t.deadline = d.at(now + job.Left)
	attempts := make([]policy.Past, len(past))
	for i := range past {
		p := &past[i]
		a := policy.Past{Worker: d.known(p.Provider, now), Sent: now - p.Ago, MayRun: p.MayRun, Out: p.Out}
		if p.Began {
			a.Started = now - p.Begun
		}
		attempts[i] = a
	}
	t.attempts = len(past)
	if n := len(past); n > 0 {
		last := &attempts[n-1]
		t.provider, t.sent, t.begun = last.Worker, last.Sent, past[n-1].Began
		if last.Out {
			d.tell(t, Event{Kind: Sent})
			if t.begun {
				d.tell(t, Event{Kind: Started})
			}
			t.await(Verdict{Kind: Await, Provider: past[n-1].Provider, Until: t.deadline})
		}
	}
	d.step(Step{Input: Resume, Now: now, Number: t.id, own: &t.job, Past: attempts, Request: t.request()})
	return t
}

// Pick blocks until there is something to do for the job.
func (t *Ticket) Pick() Verdict {
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
	return t.overdue()
}

// reportGrace is how long after a job's deadline its call may still report how it ended: that says more than that it is late.
const reportGrace = 3 * time.Millisecond

// overdue makes the final verdict on a job whose time is over. The module sets a timer for everything that it holds back, and a
// call that is out ends with the job's time. Should the module ever lose a job, or something hold up a call, the client still gets
// its one answer in time.
func (t *Ticket) overdue() Verdict {
	d := t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	if v, ok := t.waiting(); ok {
		return v
	}
	if t.out {
		d.log.Debug("call held up beyond its job's deadline", "id", t.job.ID, "provider", d.names[t.provider])
		d.report(t, TimedOut)
	} else {
		d.late(t)
	}
	if v, ok := t.waiting(); ok {
		return v
	}
	d.log.Error("job left undecided at its deadline", "job", uint64(t.id))
	d.end(t, Failure)
	return <-t.verdicts
}

// waiting returns the next verdict if there is one already.
func (t *Ticket) waiting() (Verdict, bool) {
	select {
	case v := <-t.verdicts:
		return v, true
	default:
		return Verdict{}, false
	}
}

// News is what a provider says of a job that it has, before the call is reported.
type News struct {
	Kind  NewsKind
	Share float64 // of Progressed: the part that is done; -1: not told
	End   End     // of Ending
}

// NewsKind says what news is about.
type NewsKind uint8

// The kinds of news. Only Begun matters to decisions.
const (
	Begun NewsKind = iota
	Progressed
	Ending // how the call ends; Report follows
)

// Hear takes news of the job. It must come from the provider that has the job now.
func (t *Ticket) Hear(n News) {
	d := t.engine
	d.mu.Lock()
	defer d.mu.Unlock()
	if !t.out {
		return
	}
	switch n.Kind {
	case Begun:
		if !t.begun { // providers repeat themselves
			t.begun = true
			d.tell(t, Event{Kind: Started})
		}
		d.step(Step{Input: Note, Now: d.now(), Number: t.id, own: &t.job, Note: policy.Note{
			Request: t.id, Attempt: t.attempts - 1, Worker: t.provider, Started: true,
		}})
	case Progressed:
		d.tell(t, Event{Kind: Progress, Share: n.Share})
	case Ending:
		d.tell(t, Event{Kind: Ends, End: n.End})
	}
}

// Report tells how the invoker call of the last verdict ended. Each call has one end: later ones are
// passed over.
func (t *Ticket) Report(end End) {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.report(t, end)
}

// report takes the end of a call. Called under mu.
func (d *Engine) report(t *Ticket, end End) {
	if !t.out {
		return
	}
	t.out = false
	d.counts.Ends[end]++
	t.withdraw(nil)
	d.tell(t, Event{Kind: Ended, End: end})
	switch {
	case t.final:
	case end == Served:
		d.settle(t, Verdict{Kind: Answer})
	case end == Unusable: // a fact, as the result is: no decision would make it another
		d.settle(t, Verdict{Kind: Mistake})
	}
	now := d.now()
	d.step(Step{Input: Outcome, Now: now, Number: t.id, own: &t.job, End: end, Outcome: policy.Outcome{
		Request: t.id, Attempt: t.attempts - 1, Worker: t.provider, Status: statuses[end],
		Closed: t.final, Elapsed: now - t.sent,
	}})
	d.drop(t)
}

// Leave tells that the consumer has gone away. A call that is out is withdrawn and must be reported.
func (t *Ticket) Leave() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.end(t, Left)
}

// Fail gives the job up: it has failed, and may have run. A call that is out is withdrawn and must be reported.
func (t *Ticket) Fail() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	t.engine.end(t, Failure)
}

// Release is Leave for a job that nothing is out for. One that has a call is released by whoever makes that.
func (t *Ticket) Release() {
	t.engine.mu.Lock()
	defer t.engine.mu.Unlock()
	if !t.out {
		t.engine.end(t, Left)
	}
}

// end gives a job a final verdict that is not the module's, and tells the module that the job is over. Called under mu.
func (d *Engine) end(t *Ticket, verdict VerdictKind) {
	if t.final {
		return
	}
	d.settle(t, Verdict{Kind: verdict})
	d.step(Step{Input: Gone, Now: d.now(), Number: t.id, own: &t.job})
}

// settle gives t its final verdict. A call that is out is still to be reported.
func (d *Engine) settle(t *Ticket, v Verdict) {
	t.final = true
	d.counts.Verdicts[v.Kind]++
	d.tell(t, Event{Kind: Decided, Verdict: v.Kind})
	t.verdicts <- v // has room for a last call and for this
	close(t.over)
	d.drop(t)
}

// drop forgets a ticket that nothing is owed to or by.
func (d *Engine) drop(t *Ticket) {
	if t.final && !t.out {
		delete(d.tickets, t.id)
	}
}

// repeatable tells whether another attempt may follow the one that is out.
func (t *Ticket) repeatable() bool {
	set := &t.engine.set
	return t.attempts < set.MaxAttempts && set.Classes[t.job.Class].Effect != policy.Unsafe
}

// await lets whoever waits in Pick make the call of a verdict, or wait for one that is out.
func (t *Ticket) await(v Verdict) {
	t.out = true
	v.Over = t.over
	v.Context, t.withdraw = context.WithCancelCause(context.Background())
	t.verdicts <- v
}
