package provider

import (
	"errors"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// earlierAttempts is what is known of a job's earlier attempts at one worker.
//
// Neither the job's message nor a call-back names the attempt: both carry the job's id alone (a call-back echoes a lease only
// if the job has one and the worker knows leases). So what a worker says of an earlier attempt cannot be told from what it
// says of the present one.
type earlierAttempts struct {
	mayCallBack bool // one was acknowledged, or may have been: a call-back about it may still come, or come again
	open        bool // the last has neither ended nor been given up, as far as is known
}

// Recall notes an attempt that an earlier process has made for a reserved job and that is over. mayRun tells that nothing
// proves that it never ran.
func (p *Pool) Recall(id, worker string, mayRun bool) {
	p.note(id, worker, earlierAttempts{mayCallBack: true, open: mayRun})
}

// note adds an attempt that is over to those of a reserved job. For an id that nobody has reserved nothing is kept.
func (p *Pool) note(id, worker string, last earlierAttempts) {
	p.mu.Lock()
	defer p.mu.Unlock()
	workers, reserved := p.earlier[id]
	if !reserved || last == (earlierAttempts{}) {
		return
	}
	if workers == nil {
		workers = make(map[string]earlierAttempts, 1)
		p.earlier[id] = workers
	}
	last.mayCallBack = last.mayCallBack || workers[worker].mayCallBack
	workers[worker] = last
}

// settle sees to it that no earlier attempt of the job is open at the worker. It returns accepted if so, else how the attempt
// ends that was to go there: nothing of it has been sent. It blocks for as long as the worker takes to answer, a second and
// a connection's time at most.
func (p *Pool) settle(j *job.Job, v dispatch.Verdict) dispatch.End {
	p.dropCancellation(j.ID, v.Provider)
	p.mu.Lock()
	open := p.earlier[j.ID][v.Provider].open
	p.mu.Unlock()
	if !open {
		return accepted
	}
	err := p.giveUp(j, v.Provider, p.roundTrip(), min(endingLimit, time.Until(v.Until)))
	switch {
	case errors.Is(err, errCrowded):
		return dispatch.NotSent
	case err != nil:
		p.log.Debug("an earlier attempt could not be given up", "id", j.ID, "provider", v.Provider, "err", err)
		return dispatch.NotConnected
	}
	p.note(j.ID, v.Provider, earlierAttempts{mayCallBack: true})
	return accepted
}

// ambiguous tells whether a call-back may be about an earlier attempt at the same worker, and would end this one if it were
// believed. Any result is one of this job's, whichever attempt it comes from.
func (c *call) ambiguous(ev Event) bool {
	return c.repeated && ev.State > Running && ev.State != Done && (ev.Lease == 0 || ev.Lease != c.lease)
}

// doubt notes an ambiguous call-back. It does not end the attempt: whoever waits for that gives the attempt up first, so that
// nothing of the job is out whichever attempt was meant. Called under mu.
func (c *call) doubt(ev Event) {
	if c.doubtful {
		return
	}
	c.doubtful = true
	c.doubtEnd = ends[ev.State]
	if c.doubtEnd == dispatch.TurnedAway {
		c.doubtEnd = dispatch.Broken // the proof that it never ran may be about the earlier attempt
	}
	close(c.doubted)
}
