package provider

import (
	"context"
	"errors"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Ends of a call that no engine is told: the job goes on in another process.
const (
	Moved  dispatch.End = 253 // the provider has the job, and has not been told anything
	Unsent dispatch.End = 254 // nothing was sent
)

// transitLimit is how long a call-back waits for its job to arrive in the other process.
const transitLimit = time.Second

// leaving is what a Pool keeps for a move to another process. Guarded by its mutex.
type leaving struct {
	ctx     context.Context
	cancel  context.CancelFunc
	transit map[string]chan struct{} // jobs on their way, by request id; closed once they have arrived
}

// Leaving ends when the calls are to be left to another process.
func (p *Pool) Leaving() context.Context {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.move.ctx
}

// Leave sends nothing from now on and ends the wait for all calls that are acknowledged: they are another process's.
func (p *Pool) Leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.move.cancel()
	for _, pr := range p.providers {
		p.drain(pr)
	}
}

// Retain is for when the other process is no more: calls are made again.
func (p *Pool) Retain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.move.ctx, p.move.cancel = context.WithCancel(context.Background())
}

// Hold counts n connections of another process among those that may be open.
func (p *Pool) Hold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open += n
}

// Open is how many connections there are.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Arrived tells that a job that was moved is known to the other process, or will never be.
func (p *Pool) Arrived(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.move.transit[id]; t != nil {
		close(t)
		delete(p.move.transit, id)
	}
}

// leave ends the wait for a call that goes on in another process. It reports false if the call has ended meanwhile.
func (p *Pool) leave(j *job.Job, c *call) bool {
	p.mu.Lock()
	p.move.transit[j.ID] = make(chan struct{}) // before any call-back can find the call gone
	p.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		p.Arrived(j.ID)
		return false
	}
	c.over, c.moved = true, true
	return true
}

// Claim takes a call-back that the other process was told. claimed: it belongs to a call here; moved: to a job that has
// gone over to the other process.
func (p *Pool) Claim(ev Event) (claimed, moved bool, err error) {
	switch claimed, err := p.claim(ev); {
	case claimed || err != nil:
		return claimed, false, err
	}
	p.mu.Lock()
	t := p.move.transit[ev.ID]
	left := p.move.ctx.Err() != nil
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
