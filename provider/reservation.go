package provider

import (
	"errors"
	"time"
)

// ErrBusy is returned for a job whose id is out already.
var ErrBusy = errors.New("a job with this id is out already")

// ErrLingers is returned for a job whose id is that of a job which has been answered, while something is still done for that one.
var ErrLingers = errors.New("an earlier job with this id is not over at its workers yet")

// reuseLimit bounds the wait for the id of a job that has been answered. Its worker has heard that it is given up by then, or has
// not answered for twice that long.
const reuseLimit = 2 * (endingLimit + lastAnswer)

// reservation says who still uses the id of a job. Guarded by the Pool's mutex.
//
// A job's answer does not wait for what is left to do for it, such as telling a worker that it is given up. Its id stays reserved
// until that is done, so that no call-back about it can be taken for one about a later job of the same id.
type reservation struct {
	users    int           // the request path, attempts, and messages to workers
	answered bool          // the request path has let go
	free     chan struct{} // closed once nobody uses it
}

// Reserve claims a job's id until Free, and for as long after that as Use says. It returns ErrBusy if another job has it. While that
// one is only answered it blocks, no longer than limit, and returns ErrLingers then.
func (p *Pool) Reserve(id string, limit time.Duration) error {
	lingering, err := p.tryReserve(id)
	if lingering == nil {
		return err
	}
	for timeout := time.After(min(limit, reuseLimit)); lingering != nil; lingering, err = p.tryReserve(id) {
		select {
		case <-lingering:
		case <-timeout:
			return ErrLingers
		}
	}
	return err
}

// tryReserve claims an id if nobody uses it. If its job has been answered it returns what is closed once the id is free.
func (p *Pool) tryReserve(id string) (lingering <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reserved[id]; r != nil {
		if r.answered {
			return r.free, nil
		}
		return nil, ErrBusy
	}
	p.reserved[id] = &reservation{users: 1, free: make(chan struct{})}
	p.calls[id] = nil
	p.earlier[id] = nil
	return nil, nil
}

// Free tells that the job has its answer.
func (p *Pool) Free(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reserved[id]; r != nil {
		r.answered = true
		p.letGo(id, r)
	}
}

// Use keeps a reserved id from being free until done is called, once.
func (p *Pool) Use(id string) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.reserved[id]
	if r == nil {
		return func() {}
	}
	r.users++
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.letGo(id, r)
	}
}

// letGo takes one user off an id. Called under mu.
func (p *Pool) letGo(id string, r *reservation) {
	if r.users--; r.users > 0 {
		return
	}
	delete(p.reserved, id)
	delete(p.calls, id)
	delete(p.earlier, id)
	close(r.free)
}

// Settle blocks until nothing is done any more for jobs that have been answered, no longer than until a time. Workers that are being
// told of it hear so before the program ends.
func (p *Pool) Settle(until time.Time) {
	timeout := time.After(time.Until(until))
	for {
		r := p.anyAnswered()
		if r == nil {
			return
		}
		select {
		case <-r.free:
		case <-timeout:
			return
		}
	}
}

func (p *Pool) anyAnswered() *reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.reserved {
		if r.answered {
			return r
		}
	}
	return nil
}
