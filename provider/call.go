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
	ID       string // the job's
	Provider string // the provider's name
	Lease    uint64 // of the attempt that it is about; 0: the provider gave none
	State    State
	Share    float64 // with Running: the fraction done; -1: not given
	Result   []byte  // with Done
}

// State is the state of a job that a call-back reports.
type State uint8

// The states. All after Running end the attempt.
const (
	Started State = iota
	Running
	Done
	Failed
	Returned // given back by the provider, never started
	Lost     // the process that ran it died
)

// call is an attempt that is in flight.
type call struct {
	provider   string
	lease      uint64     // 0: none
	keeper     job.Keeper // nil: none
	report     func(dispatch.ProviderReport)
	expired    chan struct{}   // closed when its lease has run out
	hasEarlier bool            // an earlier attempt at the same worker may still send call-backs
	record     earlierAttempts // what is recorded about it once it has ended; only used by the goroutine that makes the attempt
	unnotified bool            // its job continues, and its worker could not be notified; same goroutine

	mu           sync.Mutex
	conn         *conn // set while its acknowledgement is awaited
	closed       bool
	moved        bool // it continues in another process
	end          dispatch.End
	result       []byte
	ended        chan struct{}
	gotAmbiguous bool
	ambiguousEnd dispatch.End  // how the attempt ends once it has been given up
	ambiguousC   chan struct{} // closed by the first ambiguous call-back
}

// handle processes a call-back while the attempt is in flight; only the first one that ends the attempt counts. It is processed before it is
// acknowledged, and ignored once the attempt is over. It returns false if the attempt now belongs to another process.
func (c *call) handle(ev Event) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return !c.moved
	}
	switch ev.State {
	case Started:
		if c.keeper != nil {
			c.keeper.Started(c.lease)
		}
		c.report(dispatch.ProviderReport{Kind: dispatch.StartReport})
		return true
	case Running:
		if c.keeper != nil {
			c.keeper.Running(c.lease)
		}
		c.report(dispatch.ProviderReport{Kind: dispatch.ProgressReport, Share: ev.Share})
		return true
	}
	if c.ambiguous(ev) {
		c.recordAmbiguous(ev)
		return true
	}
	c.closed, c.end, c.result = true, stateEnds[ev.State], ev.Result
	c.report(dispatch.ProviderReport{Kind: dispatch.EndReport, End: c.end})
	close(c.ended)
	if c.conn != nil {
		// The acknowledgement must be on its way: wait a moment longer for it, so that the connection can be kept.
		c.conn.SetReadDeadline(time.Now().Add(ackGrace))
	}
	return true
}

// ackGrace is how long to wait for the acknowledgement of an attempt that has ended, so that its connection can be kept.
const ackGrace = 50 * time.Millisecond

// HandleCallBack parses and handles a call-back. It returns an error if the message is invalid or should be repeated.
func (p *Pool) HandleCallBack(message []byte) error {
	ev, err := ParseEvent(message)
	if err != nil {
		return err
	}
	return p.HandleEvent(ev)
}

// HandleEvent handles a call-back. It may be a repeat, or belong to an earlier attempt of the same job: it only takes effect if it comes from the
// provider that has the job now and, if it carries a lease, that lease is the attempt's. An error means that the provider should repeat the
// call-back.
func (p *Pool) HandleEvent(ev Event) error {
	if claimed, err := p.claim(ev); claimed || err != nil {
		return err
	}
	if p.HandleUnclaimed != nil {
		return p.HandleUnclaimed(ev)
	}
	return nil
}

// claim handles a call-back if it belongs to an attempt in flight here.
func (p *Pool) claim(ev Event) (claimed bool, err error) {
	p.mu.Lock()
	c := p.calls[ev.ID]
	p.mu.Unlock()
	if c == nil || c.provider != ev.Provider || ev.Lease != 0 && ev.Lease != c.lease {
		return false, nil
	}
	if ev.State == Done && c.keeper != nil {
		if err := c.keeper.StoreResult(c.lease, ev.Result); err != nil {
			// The client has no time to wait for the storage; the provider has, and repeats the call-back.
			c.handle(ev)
			return true, job.ErrNotStored
		}
	}
	return c.handle(ev), nil
}

// ExpireLease ends the wait for an attempt whose lease has expired: the job is given up at the provider, if that can be reached.
func (p *Pool) ExpireLease(id string, lease uint64) {
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

var stateEnds = [...]dispatch.End{Done: dispatch.Served, Failed: dispatch.Failed, Returned: dispatch.Refused, Lost: dispatch.Broken}

// MakeAttempt makes one attempt for a reserved job and blocks until it has ended. By then the provider no longer has the job or has been
// notified that it is given up, unless the end says that it ran there. lease is the number that the job's Keeper gave the attempt.
//
// It may outlive the job: it waits for workers until they answer or its own limits expire. So no answer may depend on its return.
func (p *Pool) MakeAttempt(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.ProviderReport)) (dispatch.End, []byte) {
	if withdrawn(v) {
		return dispatch.NotSent, nil
	}
	if end := p.closeEarlier(j, v); end != accepted {
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
	c.hasEarlier = p.earlier[j.ID][v.Provider].mayCallBack
	p.calls[j.ID] = c // before the first byte, as call-backs may arrive before the acknowledgement
	p.mu.Unlock()
	defer p.finishCall(j, c, v)

	conn.SetDeadline(v.Until)
	message, sendBy, end := p.finalCheck(j, c, v) // after all steps that may take time
	if end != accepted {
		return p.endUnsent(c, end)
	}
	conn.SetWriteDeadline(sendBy)
	if n, err := conn.Write(message); n < len(message) {
		p.log.Debug("connection broke before the job was sent", "provider", v.Provider, "written", n, "err", err)
		p.discard(conn)
		return dispatch.NotConnected, nil // the last byte was not written, so the provider cannot start
	}
	c.record = earlierAttempts{mayCallBack: true, open: true}
	if end := p.acknowledgement(j, c, v, sendBy); end != accepted {
		return end, c.result
	}
	return p.wait(j, c, v)
}

// finalCheckLimit is how long the final check before the first byte may take before it is repeated.
const finalCheckLimit = 50 * time.Millisecond

// finalCheck checks whether an attempt that has its connection may still be sent. It returns its message, which contains the time that the
// job has left, and by when its last byte must have reached the worker; or how the attempt ends. The attempt was allowed before it had a
// connection, and the process may have been paused since, or be paused between two of these checks: then all of them are repeated.
func (p *Pool) finalCheck(j *job.Job, c *call, v dispatch.Verdict) (message []byte, by time.Time, end dispatch.End) {
	for {
		if p.AwaitCurrent != nil {
			p.AwaitCurrent(v.Until)
		}
		began := time.Now()
		message = jobMessage(j, c.lease, v.Until)
		if by, end = p.mayStillSend(j, c, v); end != accepted {
			return nil, by, end
		}
		if time.Since(began) < finalCheckLimit {
			return message, by, accepted
		}
		if !time.Now().Before(v.Until) || !c.conn.alive() { // a write to a closed connection would succeed nevertheless
			return nil, by, dispatch.NotSent
		}
	}
}

// mayStillSend returns accepted if an attempt may be sent now, and by when its last byte must have reached the worker; else how the attempt
// ends.
func (p *Pool) mayStillSend(j *job.Job, c *call, v dispatch.Verdict) (by time.Time, end dispatch.End) {
	if j.Keeper != nil {
		if err := j.Keeper.MayStillSend(c.lease); err != nil {
			p.log.Debug("attempt not sent: it was allowed too long ago", "id", j.ID, "provider", v.Provider, "err", err)
			return by, dispatch.NotSent
		}
	}
	p.mu.Lock()
	serving, leaving := c.conn.provider.serving, p.handover.ctx.Err() != nil
	p.mu.Unlock()
	switch {
	case leaving:
		return by, Unsent
	case !serving:
		return by, dispatch.NotConnected
	case withdrawn(v):
		return by, dispatch.NotSent
	case v.MayStillSend == nil:
		return v.Until, accepted
	}
	by, allowed := v.MayStillSend()
	if !allowed {
		p.log.Debug("attempt not sent: the decision module no longer allows it", "id", j.ID, "provider", v.Provider)
		return by, dispatch.NotSent
	}
	if by.IsZero() || by.After(v.Until) {
		by = v.Until
	}
	return by, accepted
}

// endUnsent gives back the connection of an attempt of which nothing was sent, and returns how the attempt ends. A call-back about an
// earlier attempt at the same provider may have ended it meanwhile.
func (p *Pool) endUnsent(c *call, end dispatch.End) (dispatch.End, []byte) {
	c.mu.Lock()
	conn, over := c.conn, c.closed
	c.conn = nil
	c.mu.Unlock()
	if over || end == Unsent {
		p.discard(conn) // a call-back may have set its deadline; or the next process needs its place among the open connections
	} else {
		p.release(conn)
	}
	if over {
		return c.end, c.result
	}
	return end, nil
}

// withdrawn reports whether nothing may be sent any more for a verdict: its attempt is withdrawn, its job is over, or its client has left.
func withdrawn(v dispatch.Verdict) bool { return jobOver(v) || job.HasLeft(v.Context) }

// jobOver reports whether the job of a verdict has its final verdict.
func jobOver(v dispatch.Verdict) bool { return isClosed(v.JobOver) }

// connect returns a connection for an attempt, once what is known about the provider is no older than the connection; or nil and how the
// attempt has ended.
func (p *Pool) connect(v dispatch.Verdict) (*conn, dispatch.End) {
	for {
		conn, err := p.acquire(v.Context, v.Provider, true, v.Until)
		if err != nil {
			p.log.Debug("no connection", "provider", v.Provider, "err", err)
			left := v.Context.Err() != nil && context.Cause(v.Context) != dispatch.ErrOtherProvider
			if left || jobOver(v) || errors.Is(err, errNoConnection) { // none of these is evidence about the provider
				return nil, dispatch.NotSent
			}
			return nil, dispatch.NotConnected
		}
		if p.AwaitCurrent != nil {
			p.AwaitCurrent(v.Until) // blocks until what is known about the provider is current
		}
		if !conn.reused || conn.alive() { // Awake may have taken long
			return conn, accepted
		}
		p.discard(conn)
	}
}

// limitBody limits the wait for an answer's body, which may be endless: the status holds without it, and reading on only serves to keep the
// connection. A body may take no longer than a connection's round trip.
func (p *Pool) limitBody(c *conn, until time.Time) {
	if by := time.Now().Add(p.roundTrip()); by.Before(until) {
		until = by
	}
	c.SetReadDeadline(until)
}

// roundTrip is an upper bound for the round trip of a message and its answer: the dial timeout, if the settings have one.
func (p *Pool) roundTrip() time.Duration {
	if dial := p.limits.Load().Dial; dial > 0 {
		return dial
	}
	return giveUpLimit
}

func newCall(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.ProviderReport)) *call {
	return &call{provider: v.Provider, lease: lease, keeper: j.Keeper, report: hear, ended: make(chan struct{}),
		expired: make(chan struct{}), ambiguousC: make(chan struct{})}
}

// finishCall cleans up after an attempt that has ended. If its worker was to be notified and could not be reached, it is notified in the
// background.
func (p *Pool) finishCall(j *job.Job, c *call, v dispatch.Verdict) {
	p.recordAttempt(j.ID, c.provider, c.record)
	p.mu.Lock()
	p.calls[j.ID] = nil
	p.mu.Unlock()
	c.mu.Lock()
	c.closed = true // a call-back that has already looked up this attempt is too late: the next one may be in flight by then
	c.mu.Unlock()
	if c.unnotified && c.record.open {
		p.cancelLater(j, c.provider, v.JobOver)
	}
}

// AwaitAttempt blocks until an attempt has ended that a previous process has made for a reserved job, as for an attempt of this process after its
// acknowledgement.
func (p *Pool) AwaitAttempt(j *job.Job, lease uint64, v dispatch.Verdict, hear func(dispatch.ProviderReport)) (dispatch.End, []byte) {
	c := newCall(j, lease, v, hear)
	c.record = earlierAttempts{mayCallBack: true, open: true}
	p.mu.Lock()
	c.hasEarlier = p.earlier[j.ID][v.Provider].mayCallBack
	p.calls[j.ID] = c
	p.mu.Unlock()
	defer p.finishCall(j, c, v)
	p.JobArrived(j.ID) // if it was about to move to another process, and has stayed
	if j.Keeper != nil {
		j.Keeper.CallBacksAccepted()
	}
	return p.wait(j, c, v)
}

// wait waits for the end of an attempt that was acknowledged.
func (p *Pool) wait(j *job.Job, c *call, v dispatch.Verdict) (dispatch.End, []byte) {
	timer := time.NewTimer(time.Until(v.Until))
	defer timer.Stop()
	var g giveUpPlan
	select {
	case <-p.HandoverContext().Done():
		if p.leaveCall(j, c) {
			return Moved, nil
		}
		return c.endByCallBack()
	case <-c.ended:
		return c.endByCallBack()
	case <-v.Context.Done():
		g = giveUpPlan{end: dispatch.Withdrawn, endIfLate: dispatch.Withdrawn}
		if context.Cause(v.Context) == dispatch.ErrOtherProvider {
			g.confirm = confirmRequired
		}
	case <-c.expired: // it may have run, and the job may go to another provider
		g = giveUpPlan{end: dispatch.Broken, endIfLate: dispatch.Broken, confirm: confirmTried}
	case <-c.ambiguousC:
		g = giveUpPlan{end: c.ambiguousEnd, endIfLate: dispatch.TimedOut, confirm: confirmRequired}
	case <-timer.C:
		g = giveUpPlan{end: dispatch.TimedOut}
	}
	if j.Keeper != nil && j.Keeper.LeftToNextProcess() {
		return g.end, nil // the next process waits for this attempt
	}
	if g.confirm == confirmNone {
		// Giving up runs in the background, as the job's answer may wait for the attempt's end, and the job goes to no other provider.
		done := p.AddUser(j.ID)
		go func() {
			defer done()
			p.giveUp(j, v.Provider, giveUpLimit, giveUpLimit)
		}()
		return g.end, nil
	}
	return p.giveUpContinuing(g, j, c, v, timer)
}

// endByCallBack returns the end of an attempt that a call-back of its provider has ended.
func (c *call) endByCallBack() (dispatch.End, []byte) {
	c.record.open = false
	return c.end, c.result
}
