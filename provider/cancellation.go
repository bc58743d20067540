package provider

import (
	"context"
	"errors"
	"slices"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Limits of cancellations that are sent in the background.
const (
	cancelConnect  = 25 * time.Millisecond // for a connection to come up
	cancelInterval = 35 * time.Millisecond // from one failed try to the next, from start to start
	cancelQueue    = 1024                  // cancellations for one worker
	cancelWorkers  = 16                    // workers that are tried at the same time
)

// errLeft says that a job's next process waits for its attempt, which must not be given up.
var errLeft = errors.New("the job is another process's")

// cancellation is an attempt that is given up and whose worker has not confirmed so. Its job goes on meanwhile and waits for
// nothing: a worker that is cut off may stay so for longer than the job has time.
type cancellation struct {
	job  *job.Job
	held *reservation    // of the job's id
	over <-chan struct{} // closed when the job has its final verdict; nil: never
	sent chan struct{}   // closed once the message that is under way is answered or lost
}

// canceller holds the cancellations for one worker, in the order in which their attempts ended. One goroutine sends them, one at a
// time, for as long as there are any. Guarded by the Pool's mutex.
type canceller struct {
	queue   []*cancellation
	current *cancellation // being sent; nil: none
}

// cancelLater tells a worker in the background that an attempt of a reserved job is given up, until the worker has confirmed it, the
// job has its answer or is another process's, or the job goes to that worker again.
func (p *Pool) cancelLater(j *job.Job, worker string, over <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	held := p.reserved[j.ID]
	if held == nil || held.answered || p.stopped() {
		return
	}
	c := p.cancellers[worker]
	if c == nil {
		c = &canceller{}
		p.cancellers[worker] = c
		go p.sendCancellations(worker, c)
	}
	if len(c.queue) >= cancelQueue || slices.ContainsFunc(c.queue, func(x *cancellation) bool { return x.held == held }) {
		return
	}
	c.queue = append(c.queue, &cancellation{job: j, held: held, over: over})
}

// cancelEarlier tells the workers in the background, but for the one of a verdict, at which earlier attempts of a job may be open.
func (p *Pool) cancelEarlier(j *job.Job, v dispatch.Verdict) {
	var workers []string
	p.mu.Lock()
	for name, last := range p.earlier[j.ID] {
		if last.open && name != v.Provider {
			workers = append(workers, name)
		}
	}
	p.mu.Unlock()
	for _, name := range workers {
		p.cancelLater(j, name, v.Over)
	}
}

// dropCancellation takes back a cancellation, as its job goes to the same worker again. It blocks while a message of it is under way,
// no longer than cancelConnect and lastAnswer: a message that came later would end the new attempt.
func (p *Pool) dropCancellation(id, worker string) {
	p.mu.Lock()
	var sent chan struct{}
	if c, held := p.cancellers[worker], p.reserved[id]; c != nil && held != nil {
		if c.current != nil && c.current.held == held {
			sent = c.current.sent
		}
		c.queue = slices.DeleteFunc(c.queue, func(x *cancellation) bool { return x.held == held })
	}
	p.mu.Unlock()
	if sent != nil {
		<-sent
	}
}

// sendCancellations sends the cancellations for one worker until there are none. While the worker cannot be reached, it tries again
// with the one that has waited longest.
func (p *Pool) sendCancellations(worker string, c *canceller) {
	for {
		p.cancelSlots <- struct{}{}
		next := p.nextCancellation(worker, c)
		if next == nil {
			<-p.cancelSlots
			return
		}
		began := time.Now()
		err := p.sendCancellation(next, worker)
		<-p.cancelSlots
		p.cancellationSent(next, worker, c, err)
		if err != nil {
			time.Sleep(max(0, cancelInterval-time.Since(began)))
		}
	}
}

// nextCancellation returns the first cancellation that still has a use, and keeps its job's id reserved until cancellationSent. Nil
// ends the sender.
func (p *Pool) nextCancellation(worker string, c *canceller) *cancellation {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped() {
		c.queue = nil
	}
	c.queue = slices.DeleteFunc(c.queue, func(x *cancellation) bool { return p.cancellationUseless(x, worker) })
	if len(c.queue) == 0 {
		delete(p.cancellers, worker)
		return nil
	}
	next := c.queue[0]
	next.held.users++
	next.sent = make(chan struct{})
	c.current = next
	return next
}

// cancellationUseless tells whether a cancellation must not be sent, or need not be. Called under mu.
func (p *Pool) cancellationUseless(x *cancellation, worker string) bool {
	if x.held.answered || isClosed(x.over) {
		return true
	}
	out := p.calls[x.job.ID]
	return out != nil && out.provider == worker
}

// sendCancellation sends a cancellation once. Without an error the worker has confirmed it.
//
// It tries for a short time only, so a connection that does not come up says nothing of the others. One on which nothing was confirmed
// is reset: what is still in this machine's buffers must not arrive after the job has gone to the worker again.
func (p *Pool) sendCancellation(x *cancellation, worker string) error {
	if x.job.Keeper != nil && x.job.Keeper.Left() {
		return errLeft
	}
	began := time.Now()
	conn, err := p.connection(context.Background(), worker, false, began.Add(cancelConnect))
	if err != nil {
		return err
	}
	return p.giveUpOn(conn, x.job, began.Add(lastAnswer), p.abort)
}

// cancellationSent notes how the worker has answered, and lets go of the job's id.
func (p *Pool) cancellationSent(x *cancellation, worker string, c *canceller, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil || errors.Is(err, errLeft) {
		c.queue = slices.DeleteFunc(c.queue, func(y *cancellation) bool { return y == x })
	}
	if last, known := p.earlier[x.job.ID][worker]; err == nil && known {
		last.open = false
		p.earlier[x.job.ID][worker] = last
	}
	c.current = nil
	close(x.sent)
	p.letGo(x.job.ID, x.held)
}

// stopped tells whether this process sends nothing any more. Called under mu.
func (p *Pool) stopped() bool { return p.closed || p.move.ctx.Err() != nil }

// isClosed tells whether a channel is closed; a nil one is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
