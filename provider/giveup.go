package provider

import (
	"context"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// Limits of telling a provider that a job is given up.
const (
	endingLimit = time.Second            // for a connection to come up, and from its start to the answer
	lastConnect = 50 * time.Millisecond  // for the last try to connect
	lastAnswer  = 250 * time.Millisecond // from there to the answer of a provider that is back
)

// givingUp says how a call that is given up ends.
type givingUp struct {
	end  dispatch.End // once its provider has heard so
	late dispatch.End // if the job's time is over before
	must hearing
}

// hearing says what must be known of the provider before the call ends.
type hearing uint8

const (
	unheard    hearing = iota // nothing: the job goes no further
	tried                     // it has been told, and may not have heard
	untilHeard                // it has heard
)

// giveUpFor gives up a call of a job that goes on. One that has not heard may count the job as its own: it may be back just
// now, too late for a connection that was tried before, or refuse connections as all of them are taken. The job would be out
// twice if it went on. timer ends with the job's time.
func (p *Pool) giveUpFor(g givingUp, j *job.Job, c *call, v dispatch.Verdict, timer *time.Timer) (dispatch.End, []byte) {
	for {
		told := make(chan error, 1)
		done := p.Use(j.ID)
		go func() {
			defer done()
			err := p.giveUp(j, v.Provider, endingLimit, endingLimit)
			if err != nil {
				err = p.giveUp(j, v.Provider, lastConnect, lastAnswer)
			}
			told <- err
		}()
		// A machine may take connections and say nothing on them. When the job's time is over it goes nowhere any more, and
		// its consumer must have its answer.
		var err error
		select {
		case err = <-told:
		case <-timer.C:
			return g.late, nil
		}
		select {
		case <-c.ended: // meanwhile
			return c.ending()
		default:
		}
		c.after.open = err != nil
		if err == nil {
			return g.end, nil
		}
		if g.must == tried {
			c.unheard = true
			return g.end, nil
		}
		select {
		case <-c.ended:
			return c.ending()
		case <-v.Over: // the job goes nowhere any more, so nothing depends on what its worker has heard
			return g.late, nil
		case <-timer.C:
			return dispatch.TimedOut, nil
		case <-time.After(lastAnswer):
		}
	}
}

// GiveUp tells a provider to stop working on a job that another scheduler has sent there, and whether it has heard so: then
// nothing of it is out there any more. It blocks, no longer than by.
func (p *Pool) GiveUp(j *job.Job, name string, by time.Time) bool {
	for _, limit := range []time.Duration{endingLimit, lastAnswer} {
		if limit = min(limit, time.Until(by)); limit > 0 && p.giveUp(j, name, limit, limit) == nil {
			return true
		}
	}
	return false
}

// giveUp tells a provider to stop working on a job. Without an error it has heard it. A new connection to it
// must be up within dial, and its answer there within whole.
func (p *Pool) giveUp(j *job.Job, name string, dial, whole time.Duration) error {
	now := time.Now()
	conn, err := p.acquire(context.Background(), name, false, now.Add(dial))
	if err != nil {
		return err
	}
	return p.giveUpOn(conn, j, now.Add(whole), p.discard)
}

// giveUpOn does the same on a connection, which it keeps or closes. unanswered closes one on which no answer came by then.
func (p *Pool) giveUpOn(conn *conn, j *job.Job, by time.Time, unanswered func(*conn)) error {
	conn.SetDeadline(by)
	_, err := conn.Write(giveUpMessage(j))
	var answer reply
	if err == nil {
		answer, err = readReply(conn.br, func() { p.boundBody(conn, by) })
	}
	switch {
	case err != nil:
		unanswered(conn)
	case answer.last:
		p.discard(conn)
	default:
		p.release(conn)
	}
	if err != nil && conn.reused {
		p.mistrust(conn.of) // the next word goes out on a new one, as a machine that is back resets all that are older
	}
	return err
}
