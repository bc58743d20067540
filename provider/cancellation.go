package provider

import (
	"context"
	"errors"
	"slices"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Limits for cancellations that are sent in the background.
const (
	cancelConnect  = 25 * time.Millisecond // for a connection to be established
	cancelInterval = 35 * time.Millisecond // from the start of one failed try to the start of the next
	cancelQueue    = 1024                  // queued cancellations per worker
	cancelWorkers  = 16                    // workers that are contacted at the same time
)

// errLeftToNext means that the next process waits for the job's attempt, which must not be given up.
var errLeftToNext = errors.New("the job is another process's")

// cancellation is an attempt that is given up and whose worker has not confirmed that. Its job continues meanwhile and does not wait for
// the confirmation: a worker that is cut off may stay unreachable for longer than the job has time.
type cancellation struct {
	job         *job.Job
	reservation *reservation    // of the job's id
	over        <-chan struct{} // closed when the job has its final verdict; nil: never
	done        chan struct{}   // closed once the message in flight is answered or lost
}

// canceller holds the cancellations for one worker, in the order in which their attempts ended. One goroutine sends them, one at a
// time, for as long as there are any. Guarded by the Pool's mutex.
type canceller struct {
	queue   []*cancellation
	current *cancellation // being sent; nil: none
}

// cancelLater notifies a worker in the background that an attempt of a reserved job is given up, until the worker has confirmed it, the
// job has its answer or belongs to another process, or the job goes to that worker again.
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
	if len(c.queue) >= cancelQueue || slices.ContainsFunc(c.queue, func(x *cancellation) bool { return x.reservation == held }) {
		return
	}
	c.queue = append(c.queue, &cancellation{job: j, reservation: held, over: over})
}

// cancelEarlier notifies, in the background, all workers other than that of the verdict at which earlier attempts of a job may be open.
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
		p.cancelLater(j, name, v.JobOver)
	}
}

// dropCancellation removes a cancellation, because its job goes to the same worker again. It blocks while a message of it is in flight, no
// longer than cancelConnect plus retryAnswer: if the message arrived later, it would end the new attempt.
func (p *Pool) dropCancellation(id, worker string) {
	p.mu.Lock()
	var sent chan struct{}
	if c, held := p.cancellers[worker], p.reserved[id]; c != nil && held != nil {
		if c.current != nil && c.current.reservation == held {
			sent = c.current.done
		}
		c.queue = slices.DeleteFunc(c.queue, func(x *cancellation) bool { return x.reservation == held })
	}
	p.mu.Unlock()
	if sent != nil {
		<-sent
	}
}

// sendCancellations sends the cancellations for one worker until there are none. While the worker cannot be reached, it retries the one that
// has waited longest.
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

// nextCancellation returns the first cancellation that is still useful, and keeps its job's id reserved until cancellationSent. If it
// returns nil, the sender ends.
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
	next.reservation.users++
	next.done = make(chan struct{})
	c.current = next
	return next
}

// cancellationUseless reports whether a cancellation must not, or need not, be sent. Called under mu.
func (p *Pool) cancellationUseless(x *cancellation, worker string) bool {
	if x.reservation.answered || isClosed(x.over) {
		return true
	}
	out := p.calls[x.job.ID]
	return out != nil && out.provider == worker
}

// sendCancellation sends a cancellation once. A nil error means that the worker has confirmed it.
//
// It tries only briefly, so a connection that is not established says nothing about the provider's other connections. A connection on which
// nothing was confirmed is reset: what is still in this machine's buffers must not arrive after the job has gone to the worker again.
func (p *Pool) sendCancellation(x *cancellation, worker string) error {
	if x.job.Keeper != nil && x.job.Keeper.LeftToNextProcess() {
		return errLeftToNext
	}
	began := time.Now()
	conn, err := p.tryAcquire(context.Background(), worker, false, began.Add(cancelConnect))
	if err != nil {
		return err
	}
	return p.giveUpOn(conn, x.job, began.Add(retryAnswer), p.abort)
}

// cancellationSent records the worker's answer, and releases the job's id.
func (p *Pool) cancellationSent(x *cancellation, worker string, c *canceller, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil || errors.Is(err, errLeftToNext) {
		c.queue = slices.DeleteFunc(c.queue, func(y *cancellation) bool { return y == x })
	}
	if last, known := p.earlier[x.job.ID][worker]; err == nil && known {
		last.open = false
		p.earlier[x.job.ID][worker] = last
	}
	c.current = nil
	close(x.done)
	p.releaseID(x.job.ID, x.reservation)
}

// stopped reports whether this process no longer sends anything. Called under mu.
func (p *Pool) stopped() bool { return p.closed || p.handover.ctx.Err() != nil }

// isClosed reports whether a channel is closed; a nil channel is not.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
