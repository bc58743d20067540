package provider

import (
	"context"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// acknowledgement waits for the worker's answer to an attempt whose last byte has been written to c.conn and must have reached the worker
// by sendBy. It returns accepted once the worker has accepted the job, else how the attempt has ended. The connection is kept or closed, and
// no longer belongs to c.
func (p *Pool) acknowledgement(j *job.Job, c *call, v dispatch.Verdict, sendBy time.Time) dispatch.End {
	conn := c.conn
	answerBy := sendBy // without an acknowledgement, the job may still be in this machine's buffers
	if at := time.Now().Add(v.AckTimeout); v.AckTimeout > 0 && at.Before(answerBy) {
		answerBy = at
	}
	if answerBy.Before(v.Until) {
		conn.SetReadDeadline(answerBy)
	}
	// A worker that has vanished leaves its connections open. If it does not acknowledge in time, its idle connections are not used for
	// further jobs: a new connection that is never established proves that a job did not run.
	suspect := time.AfterFunc(p.limits.Load().Dial, func() { p.closeSuspectIdle(conn.provider) })
	withdrawal := p.watchWithdrawal(j, conn, v.Context)
	answer, err := readReply(conn.br, func() { p.limitBody(conn, v.Until) })
	suspect.Stop()
	withdrawn := withdrawal.finish()
	c.mu.Lock()
	c.conn = nil
	over := c.closed
	c.mu.Unlock()
	switch {
	case err != nil || withdrawn:
		p.abort(conn) // the job must not reach the worker later, when it may be another worker's or over
	case answer.closes:
		p.discard(conn)
	default:
		p.release(conn)
	}
	switch {
	case over:
		c.record.open = false
		return c.end
	case err == nil && answer.end != accepted:
		c.record = earlierAttempts{} // a job that was not accepted has no call-backs
		return answer.end
	case err == nil:
		return accepted
	}
	return p.endUnacknowledged(j, c, v, conn, answerBy, withdrawn, err)
}

// endUnacknowledged returns how an attempt has ended on whose connection err came instead of an acknowledgement, and whose connection is
// closed.
func (p *Pool) endUnacknowledged(j *job.Job, c *call, v dispatch.Verdict, conn *conn, answerBy time.Time, withdrawn bool,
	err error) dispatch.End {
	now := time.Now()
	switch {
	case withdrawn && context.Cause(v.Context) == dispatch.ErrOtherProvider:
		return p.giveUpAfterClose(j, c, v, dispatch.Withdrawn)
	case withdrawn:
		return dispatch.Withdrawn
	case !now.Before(v.Until):
		p.log.Debug("no acknowledgement", "provider", v.Provider, "reused", conn.reused)
		return dispatch.TimedOut
	case !now.Before(answerBy):
		p.log.Debug("no acknowledgement", "provider", v.Provider, "reused", conn.reused)
		return p.giveUpAfterClose(j, c, v, dispatch.Unacknowledged)
	}
	if conn.reused {
		p.recordIdleBreak(conn)
	}
	p.log.Debug("connection broke before the acknowledgement", "provider", v.Provider, "reused", conn.reused, "idle", conn.idleTime,
		"err", err)
	if v.Repeatable {
		return p.giveUpAfterClose(j, c, v, dispatch.Broken)
	}
	return dispatch.Broken
}

// giveUpAfterClose ends an attempt whose connection was closed, by either side, before an acknowledgement was read, while its job may go to
// another worker. Closing the connection gives the job up only if the worker has not acknowledged by then: if an acknowledgement was on its
// way, unread here or lost with the connection, the worker keeps the job. So the worker is notified as well. A worker that cannot be reached,
// or does not answer, delays the job for no longer than a connection's round trip, and is then notified in the background.
//
// end is how the attempt ends, unless a call-back has ended it meanwhile.
func (p *Pool) giveUpAfterClose(j *job.Job, c *call, v dispatch.Verdict, end dispatch.End) dispatch.End {
	if j.Keeper != nil && j.Keeper.LeftToNextProcess() {
		return end // the next process waits for this attempt
	}
	limit := min(p.roundTrip(), time.Until(v.Until))
	if err := p.giveUp(j, v.Provider, limit, limit); err == nil {
		c.record.open = false
	} else {
		c.unnotified = true
	}
	select {
	case <-c.ended:
		c.record.open = false
		return c.end
	default:
		return end
	}
}

// withdrawalWatch ends the wait for an attempt's acknowledgement once the attempt is withdrawn; the connection is closed after that.
type withdrawalWatch struct {
	stop      func() bool
	done      chan struct{}
	endedWait bool // the wait was ended; read only after done
}

// watchWithdrawal starts to watch ctx for an attempt on conn that awaits its acknowledgement.
//
// A withdrawal before the acknowledgement closes the connection, which gives the job up. If the job is to go to another worker and discovery
// still lists this one, its acknowledgement is awaited instead and it is notified after that.
func (p *Pool) watchWithdrawal(j *job.Job, conn *conn, ctx context.Context) *withdrawalWatch {
	w := &withdrawalWatch{done: make(chan struct{})}
	w.stop = context.AfterFunc(ctx, func() {
		defer close(w.done)
		if context.Cause(ctx) == dispatch.ErrOtherProvider && p.isListed(conn.provider) {
			return
		}
		w.endedWait = true
		if j.Keeper != nil && j.Keeper.LeftToNextProcess() {
			conn.SetReadDeadline(time.Now().Add(ackGrace)) // closing it would give the job up
			return
		}
		conn.SetReadDeadline(time.Unix(1, 0))
	})
	return w
}

// finish ends the watch and reports whether the watch has ended the wait for the answer.
func (w *withdrawalWatch) finish() bool {
	if !w.stop() {
		<-w.done
	}
	return w.endedWait
}
