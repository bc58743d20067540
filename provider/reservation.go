package provider

import (
	"errors"
	"time"
)

// ErrIDInUse is returned for a job whose id is already in use by another job.
var ErrIDInUse = errors.New("a job with this id is out already")

// ErrIDNotReleased is returned for a job whose id belongs to a job that has been answered but for which some work is not finished yet.
var ErrIDNotReleased = errors.New("an earlier job with this id is not over at its workers yet")

// reuseLimit bounds the wait for the id of a job that has been answered. By then its worker has either confirmed that the job is given up, or
// has not answered for twice the time allowed for that.
const reuseLimit = 2 * (giveUpLimit + retryAnswer)

// reservation counts the users of a job's id. Guarded by the Pool's mutex.
//
// A job's answer does not wait for the work that is left to do for it, such as notifying a worker that the job is given up. Its id stays
// reserved until that is done, so that no call-back about it can be mistaken for one about a later job with the same id.
type reservation struct {
	users    int           // the request path, attempts, and messages to workers
	answered bool          // the request path has released the id
	freed    chan struct{} // closed once there are no users
}

// Reserve claims a job's id until the job is answered and all other users of the id are done. It returns ErrIDInUse if another job has the id.
// If that job has been answered already, it blocks until the id is free, no longer than limit, and then returns ErrIDNotReleased.
func (p *Pool) Reserve(id string, limit time.Duration) error {
	lingering, err := p.tryReserve(id)
	if lingering == nil {
		return err
	}
	for timeout := time.After(min(limit, reuseLimit)); lingering != nil; lingering, err = p.tryReserve(id) {
		select {
		case <-lingering:
		case <-timeout:
			return ErrIDNotReleased
		}
	}
	return err
}

// tryReserve claims an id if it is not in use. If its job has been answered, it returns a channel that is closed once the id is free.
func (p *Pool) tryReserve(id string) (lingering <-chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reserved[id]; r != nil {
		if r.answered {
			return r.freed, nil
		}
		return nil, ErrIDInUse
	}
	p.reserved[id] = &reservation{users: 1, freed: make(chan struct{})}
	p.calls[id] = nil
	p.earlier[id] = nil
	return nil, nil
}

// Unreserve releases the request path's claim on the id: the job has been answered.
func (p *Pool) Unreserve(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.reserved[id]; r != nil {
		r.answered = true
		p.releaseID(id, r)
	}
}

// AddUser keeps a reserved id from being freed until done is called, once.
func (p *Pool) AddUser(id string) (done func()) {
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
		p.releaseID(id, r)
	}
}

// releaseID removes one user of an id. Called under mu.
func (p *Pool) releaseID(id string, r *reservation) {
	if r.users--; r.users > 0 {
		return
	}
	delete(p.reserved, id)
	delete(p.calls, id)
	delete(p.earlier, id)
	close(r.freed)
}

// AwaitAnswered blocks until all work for jobs that have been answered is finished, but not beyond a given time. Workers that still have to be
// notified of a job given up are notified before the program ends.
func (p *Pool) AwaitAnswered(until time.Time) {
	timeout := time.After(time.Until(until))
	for {
		r := p.anyAnswered()
		if r == nil {
			return
		}
		select {
		case <-r.freed:
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
