package provider

import (
	"context"
	"errors"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Ends of an attempt that are not reported to the engine: the job continues in another process.
const (
	Moved  dispatch.End = 253 // the provider has the job, and has not been notified of anything
	Unsent dispatch.End = 254 // nothing was sent
)

// transitLimit is how long a call-back waits for its job to arrive in the other process.
const transitLimit = time.Second

// handoverState is the state of a Pool's handover to another process. Guarded by the Pool's mutex.
type handoverState struct {
	ctx       context.Context
	cancel    context.CancelFunc
	inTransit map[string]chan struct{} // jobs being handed over, by request id; closed once they have arrived
}

// HandoverContext returns a context that ends when the attempts in flight are to be left to another process.
func (p *Pool) HandoverContext() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handover.ctx
}

// StartHandover stops all sends and ends the wait for all attempts that are acknowledged: they now belong to another process.
func (p *Pool) StartHandover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handover.cancel()
	for _, pr := range p.providers {
		p.closeIdle(pr)
	}
}

// CancelHandover ends a handover to a process that no longer exists: attempts are made again.
func (p *Pool) CancelHandover() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.handover.ctx, p.handover.cancel = context.WithCancel(context.Background())
}

// AddForeignConnections counts n connections of another process towards the limit on open connections.
func (p *Pool) AddForeignConnections(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// OpenConnections returns the number of open connections.
func (p *Pool) OpenConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// JobArrived records that a job that was moved is known to the other process, or never will be.
func (p *Pool) JobArrived(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.handover.inTransit[id]; t != nil {
		close(t)
		delete(p.handover.inTransit, id)
	}
}

// leaveCall ends the wait for an attempt that continues in another process. It returns false if the attempt has ended meanwhile.
func (p *Pool) leaveCall(j *job.Job, c *call) bool {
	p.mu.Lock()
	p.handover.inTransit[j.ID] = make(chan struct{}) // before any call-back can find the attempt gone
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		p.JobArrived(j.ID)
		return false
	}
	c.closed, c.moved = true, true
	return true
}

// HandleForwarded handles a call-back that the other process has received. claimed: it belongs to an attempt here; moved: it belongs to a job that has
// moved to the other process.
func (p *Pool) HandleForwarded(ev Event) (claimed, moved bool, err error) {
	switch claimed, err := p.claim(ev); {
	case claimed || err != nil:
		return claimed, false, err
	}
	p.mu.Lock()
	t := p.handover.inTransit[ev.ID]
	left := p.handover.ctx.Err() != nil
	p.mu.Unlock()
	if t == nil {
		return false, left, nil
	}
	timer := time.NewTimer(transitLimit)
	defer timer.Stop()
	select {
	case <-t:
		return false, true, nil
	case <-timer.C:
		return false, false, errors.New("provider: the job is on its way to another process")
	}
}
