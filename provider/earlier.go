package provider

import (
	"errors"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// earlierAttempts is what is known about a job's earlier attempts at one worker.
//
// Neither the job's message nor a call-back identifies the attempt: both carry only the job's id (a call-back echoes a lease only if the
// job has one and the worker supports leases). So a call-back about an earlier attempt cannot be distinguished from one about the current
// attempt.
type earlierAttempts struct {
	mayCallBack bool // one was acknowledged, or may have been: a call-back about it may still arrive, or be repeated
	open        bool // the last one has neither ended nor been given up, as far as known
}

// AddEarlierAttempt records an attempt that a previous process has made for a reserved job and that is over. mayRun means that it is not proven that
// the attempt never ran.
func (p *Pool) AddEarlierAttempt(id, worker string, mayRun bool) {
	p.recordAttempt(id, worker, earlierAttempts{mayCallBack: true, open: mayRun})
}

// recordAttempt adds an attempt that is over to those of a reserved job. For an id that is not reserved it does nothing.
func (p *Pool) recordAttempt(id, worker string, ended earlierAttempts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers, reserved := p.earlier[id]
	if !reserved || ended == (earlierAttempts{}) {
		return
	}
	if workers == nil {
		workers = make(map[string]earlierAttempts, 1)
		p.earlier[id] = workers
	}
	ended.mayCallBack = ended.mayCallBack || workers[worker].mayCallBack
	workers[worker] = ended
}

// closeEarlier makes sure that no earlier attempt of the job is open at the worker. It returns accepted if so; otherwise how the new attempt
// at the worker ends, of which nothing has been sent. It blocks until the worker answers, for a second plus a connection's round trip at
// most.
func (p *Pool) closeEarlier(j *job.Job, v dispatch.Verdict) dispatch.End {
	p.dropCancellation(j.ID, v.Provider)
	p.mu.Lock()
	open := p.earlier[j.ID][v.Provider].open
	p.mu.Unlock()
	if !open {
		return accepted
	}
	err := p.giveUp(j, v.Provider, p.roundTrip(), min(giveUpLimit, time.Until(v.Until)))
	switch {
	case errors.Is(err, errNoConnection):
		return dispatch.NotSent
	case err != nil:
		p.log.Debug("an earlier attempt could not be given up", "id", j.ID, "provider", v.Provider, "err", err)
		return dispatch.NotConnected
	}
	p.recordAttempt(j.ID, v.Provider, earlierAttempts{mayCallBack: true})
	return accepted
}

// ambiguous reports whether a call-back may be about an earlier attempt at the same worker, and would end this one if it were accepted.
// A result is never ambiguous: it is the job's, whichever attempt produced it.
func (c *call) ambiguous(ev Event) bool {
	return c.hasEarlier && ev.State > Running && ev.State != Done && (ev.Lease == 0 || ev.Lease != c.lease)
}

// recordAmbiguous notes an ambiguous call-back. It does not end the attempt: the goroutine that waits for the attempt gives it up first, so
// that nothing of the job is in flight, whichever attempt the call-back was about. Called under mu.
func (c *call) recordAmbiguous(ev Event) {
	if c.gotAmbiguous {
		return
	}
	c.gotAmbiguous = true
	c.ambiguousEnd = stateEnds[ev.State]
	if c.ambiguousEnd == dispatch.Refused {
		c.ambiguousEnd = dispatch.Broken // the proof that it never ran may be about the earlier attempt
	}
	close(c.ambiguousC)
}
