package provider

import (
	"context"
	"errors"
	"sync"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Event is a provider's call-back about a job.
type Event struct {
	ID     string // the job's
	From   string // the provider's name
	Lease  uint64 // of the call that it is about; 0: the provider names none
	State  State
	Share  float64 // with Running: the part that is done; -1: not told
	Result []byte  // with Done
}

// State is what a call-back says of a job.
type State uint8

// The states. All after Running end the call.
const (
	Started State = iota
	Running
	Done
	Failed
	Returned // handed back, never started
	Lost     // its process died
)

// call is an invoker call that is out.
type call struct {
	provider string
	lease    uint64     // 0: it has none
	keeper   job.Keeper // nil: the job has none
	hear     func(dispatch.News)
	expired  chan struct{}   // closed when its lease has run out
	repeated bool            // an earlier attempt at the same worker may still send call-backs
	after    earlierAttempts // what will be known of it once it is over; of the goroutine that makes it
	unheard  bool            // its job goes on, and its worker could not be told that it is given up; of the same goroutine

	mu       sync.Mutex
	conn     *conn // while its acknowledgement is awaited
	over     bool
	moved    bool // it goes on in another process
	end      dispatch.End
	result   []byte
	ended    chan struct{}
	doubtful bool
	doubtEnd dispatch.End  // how it ends once it is given up
	doubted  chan struct{} // closed by the first ambiguous call-back
}

// take takes a call-back while the call is out; only the first one that ends it counts. What it says is heard before
// it is acknowledged, and nothing is heard of a call that is over. It reports false if the call is another process's now.
func (c *call) take(ev Event) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.over {
		return !c.moved
	}
	switch ev.State {
	case Started:
		if c.keeper != nil {
			c.keeper.Begun(c.lease)
		}
		c.hear(dispatch.News{Kind: dispatch.Begun})
		return true
	case Running:
		if c.keeper != nil {
			c.keeper.Beat(c.lease)
		}
		c.hear(dispatch.News{Kind: dispatch.Progressed, Share: ev.Share})
		return true
	}
	if c.ambiguous(ev) {
		c.doubt(ev)
		return true
	}
	c.over, c.end, c.result = true, ends[ev.State], ev.Result
	c.hear(dispatch.News{Kind: dispatch.Ending, End: c.end})
	close(c.ended)
	if c.conn != nil {
		// The acknowledgement must be on its way: wait for it a moment longer, to keep the connection.
		c.conn.SetReadDeadline(time.Now().Add(ackGrace))
	}
	return true
}

// ackGrace is how long the acknowledgement of a call that has ended is waited for, to keep its connection.
const ackGrace = 50 * time.Millisecond

// CallBack takes a call-back as the provider worded it, or says why it is none.
func (p *Pool) CallBack(message []byte) error {
	ev, err := ParseEvent(message)
	if err != nil {
		return err
	}
	return p.Event(ev)
}

// Event takes a call-back. It may be a repeat, or belong to an earlier call of the same job: only one
// from the provider that holds the job now has any effect, and if it names a lease, it must be the call's. An error
// means that the call-back should come again.
func (p *Pool) Event(ev Event) error {
	if claimed, err := p.claim(ev); claimed || err != nil {
		return err
	}
	if p.Unclaimed != nil {
		return p.Unclaimed(ev)
	}
	return nil
}

// claim takes a call-back if it belongs to a call that is out here.
func (p *Pool) claim(ev Event) (claimed bool, err error) {
	p.mu.Lock()
	c := p.calls[ev.ID]
	p.mu.Unlock()
	if c == nil || c.provider != ev.From || ev.Lease != 0 && ev.Lease != c.lease {
		return false, nil
	}
	if ev.State == Done && c.keeper != nil {
		if err := c.keeper.Done(c.lease, ev.Result); err != nil {
			// The consumer has no time to wait for what keeps the disk; the provider has.
			c.take(ev)
			return true, job.ErrLater
		}
	}
	return c.take(ev), nil
}

// Expire ends the wait for a call whose lease has run out: the job is given up there, as far as that can be told.
func (p *Pool) Expire(id string, lease uint64) {
	p.mu.Lock()
	c := p.calls[id]
	p.mu.Unlock()
	if c == nil || c.lease != lease {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.expired:
	default:
		close(c.expired)
	}
}

var ends = [...]dispatch.End{Done: dispatch.Served, Failed: dispatch.Failed, Returned: dispatch.TurnedAway, Lost: dispatch.Broken}

// Invoke makes one invoker call for a reserved job and blocks until it has ended. Nothing of the job
// is left with the provider, or it has been told so, unless the end says that it ran there. lease is the number that
// its Keeper gave the call.
//
// It may outlive the job: what it waits for at workers it waits for to its end, within bounds of its own. So no answer may wait
// for it.
func (p *Pool) Invoke(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.News)) (dispatch.End, []byte) {
	if withdrawn(v) {
		return dispatch.NotSent, nil
	}
	if end := p.settle(j, v); end != accepted {
		return end, nil
	}
	p.cancelEarlier(j, v)
	conn, end := p.connect(v)
	if conn == nil {
		return end, nil
	}
	c := newCall(j, lease, v, hear)
	c.conn = conn
	p.mu.Lock()
	c.repeated = p.earlier[j.ID][v.Provider].mayCallBack
	p.calls[j.ID] = c // before the first byte, as call-backs may come before the acknowledgement
	p.mu.Unlock()
	defer p.close(j, c, v)

	conn.SetDeadline(v.Until)
	message, end := p.finalCheck(j, c, v) // after all that may take time
	if end != accepted {
		return p.unsent(c, end)
	}
	if n, err := conn.Write(message); n < len(message) {
		p.log.Debug("connection broke before the job was out", "provider", v.Provider, "written", n, "err", err)
		p.discard(conn)
		return dispatch.NotConnected, nil // the last byte is not out, so the provider cannot start
	}
	c.after = earlierAttempts{mayCallBack: true, open: true}
	if end := p.acknowledgement(j, c, v); end != accepted {
		return end, c.result
	}
	return p.wait(j, c, v)
}

// heldUp is how long the last look before the first byte may take before it is taken again.
const heldUp = 50 * time.Millisecond

// finalCheck looks whether an attempt that has its connection may still be sent, and returns its message, which tells what is left of
// the job's time; or how the attempt ends. Whatever allowed the attempt did so before it had a connection, and the process may have
// stood still since, or stand still between two of these looks: then all are taken again.
func (p *Pool) finalCheck(j *job.Job, c *call, v dispatch.Verdict) (message []byte, end dispatch.End) {
	for {
		if p.Awake != nil {
			p.Awake(v.Until)
		}
		began := time.Now()
		message = jobMessage(j, c.lease, v.Until)
		if end = p.mayStillSend(j, c, v); end != accepted {
			return nil, end
		}
		if time.Since(began) < heldUp {
			return message, accepted
		}
		if !time.Now().Before(v.Until) || !c.conn.alive() { // a connection that has ended would take the message all the same
			return nil, dispatch.NotSent
		}
	}
}

// mayStillSend returns accepted if nothing speaks against sending an attempt now, else how the attempt ends.
func (p *Pool) mayStillSend(j *job.Job, c *call, v dispatch.Verdict) dispatch.End {
	if j.Keeper != nil {
		if err := j.Keeper.MayStillSend(c.lease); err != nil {
			p.log.Debug("attempt not sent: it was allowed too long ago", "id", j.ID, "provider", v.Provider, "err", err)
			return dispatch.NotSent
		}
	}
	p.mu.Lock()
	serving, leaving := c.conn.of.serving, p.move.ctx.Err() != nil
	p.mu.Unlock()
	switch {
	case leaving:
		return Unsent
	case !serving:
		return dispatch.NotConnected
	case withdrawn(v):
		return dispatch.NotSent
	}
	return accepted
}

// unsent lets go of the connection of a call of which nothing was sent, and returns how the call ends. A call-back of an earlier one at
// the same provider may have ended it by then.
func (p *Pool) unsent(c *call, end dispatch.End) (dispatch.End, []byte) {
	c.mu.Lock()
	conn, over := c.conn, c.over
	c.conn = nil
	c.mu.Unlock()
	if over || end == Unsent {
		p.discard(conn) // its deadline may be another's; or the next process has its place
	} else {
		p.release(conn)
	}
	if over {
		return c.end, c.result
	}
	return end, nil
}

// withdrawn tells whether nothing may be sent any more by a verdict: its call is withdrawn, its job is over, or its client has left.
func withdrawn(v dispatch.Verdict) bool { return jobOver(v) || job.HasLeft(v.Context) }

// jobOver tells whether the job of a verdict has its final one.
func jobOver(v dispatch.Verdict) bool { return isClosed(v.Over) }

// connect returns a connection for an attempt, once what is known of the provider is no older than the connection; or nil,
// and how the attempt has ended.
func (p *Pool) connect(v dispatch.Verdict) (*conn, dispatch.End) {
	for {
		conn, err := p.acquire(v.Context, v.Provider, true, v.Until)
		if err != nil {
			p.log.Debug("no connection", "provider", v.Provider, "err", err)
			left := v.Context.Err() != nil && context.Cause(v.Context) != dispatch.ErrElsewhere
			if left || jobOver(v) || errors.Is(err, errCrowded) { // neither says anything of the provider
				return nil, dispatch.NotSent
			}
			return nil, dispatch.NotConnected
		}
		if p.Awake != nil {
			p.Awake(v.Until) // what is known of the provider may be old
		}
		if !conn.reused || conn.alive() { // that may have taken its time
			return conn, accepted
		}
		p.discard(conn)
	}
}

// boundBody bounds the wait for an answer's body, which may have no end: its status holds without it, and only the connection
// can be kept by reading on. A body takes no longer than a connection's round trip.
func (p *Pool) boundBody(c *conn, until time.Time) {
	if by := time.Now().Add(p.roundTrip()); by.Before(until) {
		until = by
	}
	c.SetReadDeadline(until)
}

// roundTrip is more than a message and its answer take on the way: the dial timeout, where the settings tell one.
func (p *Pool) roundTrip() time.Duration {
	if dial := p.limits.Load().Dial; dial > 0 {
		return dial
	}
	return endingLimit
}

func newCall(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.News)) *call {
	return &call{provider: v.Provider, lease: lease, keeper: j.Keeper, hear: hear, ended: make(chan struct{}),
		expired: make(chan struct{}), doubted: make(chan struct{})}
}

// close lets go of a call that has ended. A worker that was to be told and has not heard is told in the background.
func (p *Pool) close(j *job.Job, c *call, v dispatch.Verdict) {
	p.note(j.ID, c.provider, c.after)
	p.mu.Lock()
	p.calls[j.ID] = nil
	p.mu.Unlock()
	c.mu.Lock()
	c.over = true // a call-back that has found the call already is too late: the next call may be out by then
	c.mu.Unlock()
	if c.unheard && c.after.open {
		p.cancelLater(j, c.provider, v.Over)
	}
}

// Await blocks until a call has ended that an earlier process has made for a reserved job, like Invoke after the
// acknowledgement.
func (p *Pool) Await(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.News)) (dispatch.End, []byte) {
	c := newCall(j, lease, v, hear)
	c.after = earlierAttempts{mayCallBack: true, open: true}
	p.mu.Lock()
	c.repeated = p.earlier[j.ID][v.Provider].mayCallBack
	p.calls[j.ID] = c
	p.mu.Unlock()
	defer p.close(j, c, v)
	p.Arrived(j.ID) // if it was about to go over to another process, and has stayed
	if j.Keeper != nil {
		j.Keeper.Awaiting()
	}
	return p.wait(j, c, v)
}

// wait waits for the end of a call that was acknowledged.
func (p *Pool) wait(j *job.Job, c *call, v dispatch.Verdict) (dispatch.End, []byte) {
	timer := time.NewTimer(time.Until(v.Until))
	defer timer.Stop()
	var g givingUp
	select {
	case <-p.Leaving().Done():
		if p.leave(j, c) {
			return Moved, nil
		}
		return c.ending()
	case <-c.ended:
		return c.ending()
	case <-v.Context.Done():
		g = givingUp{end: dispatch.Withdrawn, late: dispatch.Withdrawn}
		if context.Cause(v.Context) == dispatch.ErrElsewhere {
			g.must = untilHeard
		}
	case <-c.expired: // it may have run, and the job may go elsewhere
		g = givingUp{end: dispatch.Broken, late: dispatch.Broken, must: tried}
	case <-c.doubted:
		g = givingUp{end: c.doubtEnd, late: dispatch.TimedOut, must: untilHeard}
	case <-timer.C:
		g = givingUp{end: dispatch.TimedOut}
	}
	if j.Keeper != nil && j.Keeper.Left() {
		return g.end, nil // the next process waits for it
	}
	if g.must == unheard {
		// The end is not to wait for that, as the job's answer may wait for the end, and the job goes no further.
		done := p.Use(j.ID)
		go func() {
			defer done()
			p.giveUp(j, v.Provider, endingLimit, endingLimit)
		}()
		return g.end, nil
	}
	return p.giveUpFor(g, j, c, v, timer)
}

// ending is how a call ended by the word of its provider.
func (c *call) ending() (dispatch.End, []byte) {
	c.after.open = false
	return c.end, c.result
}
