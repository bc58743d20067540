package provider

import (
	"context"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Limits for notifying a provider that a job is given up.
const (
	giveUpLimit  = time.Second            // for a connection to be established, and from its start to the answer
	retryConnect = 50 * time.Millisecond  // for the last connection attempt
	retryAnswer  = 250 * time.Millisecond // from its start to the answer of a provider that is reachable again
)

// giveUpPlan specifies how an attempt that is given up ends.
type giveUpPlan struct {
	end       dispatch.End // once its provider has confirmed
	endIfLate dispatch.End // if the job's deadline passes first
	confirm   confirmation
}

// confirmation says what must be achieved at the provider before the attempt ends.
type confirmation uint8

const (
	confirmNone     confirmation = iota // nothing: the job goes to no other provider
	confirmTried                        // notified, possibly without success
	confirmRequired                     // confirmed by the provider
)

// giveUpContinuing gives up an attempt of a job that continues. A provider that has not received the notification may still work on the job:
// it may have become reachable only now, too late for an earlier connection attempt, or refuse connections because all of them are in use.
// The job would be in flight twice if it continued. timer fires at the job's deadline.
func (p *Pool) giveUpContinuing(g giveUpPlan, j *job.Job, c *call, v dispatch.Verdict, timer *time.Timer) (dispatch.End, []byte) {
	for {
		result := make(chan error, 1)
		done := p.AddUser(j.ID)
		go func() {
			defer done()
			err := p.giveUp(j, v.Provider, giveUpLimit, giveUpLimit)
			if err != nil {
				err = p.giveUp(j, v.Provider, retryConnect, retryAnswer)
			}
			result <- err
		}()
		// A machine may accept connections and never answer on them. Once the job's deadline has passed, the job goes to no other provider, and
		// its client must have its answer.
		var err error
		select {
		case err = <-result:
		case <-timer.C:
			return g.endIfLate, nil
		}
		select {
		case <-c.ended: // a call-back has ended it meanwhile
			return c.endByCallBack()
		default:
		}
		c.record.open = err != nil
		if err == nil {
			return g.end, nil
		}
		if g.confirm == confirmTried {
			c.unnotified = true
			return g.end, nil
		}
		select {
		case <-c.ended:
			return c.endByCallBack()
		case <-v.JobOver: // the job is over, so it no longer matters whether its worker was notified
			return g.endIfLate, nil
		case <-timer.C:
			return dispatch.TimedOut, nil
		case <-time.After(retryAnswer):
		}
	}
}

// GiveUp notifies a provider that a job which another scheduler has sent there is given up, and reports whether the provider has confirmed
// it: then nothing of the job is in flight there any more. It blocks until by at most.
func (p *Pool) GiveUp(j *job.Job, worker string, by time.Time) bool {
	for _, limit := range []time.Duration{giveUpLimit, retryAnswer} {
		if limit = min(limit, time.Until(by)); limit > 0 && p.giveUp(j, worker, limit, limit) == nil {
			return true
		}
	}
	return false
}

// giveUp notifies a provider that a job is given up. A nil error means that it has confirmed. A new connection must be established within
// dial, and the answer must arrive within total.
func (p *Pool) giveUp(j *job.Job, worker string, dial, total time.Duration) error {
	now := time.Now()
	conn, err := p.acquire(context.Background(), worker, false, now.Add(dial))
	if err != nil {
		return err
	}
	return p.giveUpOn(conn, j, now.Add(total), p.discard)
}

// giveUpOn does the same on a connection, which it keeps or closes. unanswered closes a connection on which no answer arrived until by.
func (p *Pool) giveUpOn(conn *conn, j *job.Job, by time.Time, unanswered func(*conn)) error {
	conn.SetDeadline(by)
	_, err := conn.Write(giveUpMessage(j))
	var answer reply
	if err == nil {
		answer, err = readReply(conn.br, func() { p.limitBody(conn, by) })
	}
	switch {
	case err != nil:
		unanswered(conn)
	case answer.closes:
		p.discard(conn)
	default:
		p.release(conn)
	}
	if err != nil && conn.reused {
		p.closeSuspectIdle(conn.provider) // a machine that has come back resets all older connections: use a new one next time
	}
	return err
}
