package clients

import (
	"math/rand/v2"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
)

const (
	minAskPause    = 100 * time.Millisecond // range of the pause before a client asks again for a durable job
	maxAskPause    = 300 * time.Millisecond
	recheckOneIn   = 8                      // one in this many clients asks once more for an answer that it already has
	recheckMinLeft = 500 * time.Millisecond // the least time that must be left for that
)

// askUntilAnswered runs the client of a durable job after it has first sent the request. Until it has an answer or its time is over, it
// asks again: the same scheduler, which keeps the job, or any scheduler if roam is set. Some clients ask once more for an
// answer that they have, as if they had lost it, and must get the same one. out is the outcome of the first request.
func (t *clientTry) askUntilAnswered(out traffic.Outcome, after time.Duration) (traffic.Outcome, time.Duration) {
	chance := traffic.RandomStream(t.arrival.ClientSeed, "again")
	rechecks := chance.IntN(recheckOneIn) == 0
	for t.unanswered(out, after) {
		if out, after = t.askAgain(chance); t.runner.ctx.Err() != nil {
			return out, after
		}
	}
	switch {
	case t.roam != nil:
		t.afterAnswer(out, chance)
	case rechecks && t.canRecheck(out):
		t.askAgain(chance)
	}
	return out, after
}

// unanswered reports whether a client has no final answer yet. A 502 with Retry-After, which says that the job continues in the next
// process, is not final.
func (t *clientTry) unanswered(out traffic.Outcome, after time.Duration) bool {
	if t.roam != nil && !t.roam.expired && (out == traffic.Unanswered || out == traffic.Refused && t.roam.takeResubmit()) {
		return true
	}
	return out == traffic.Unreachable || out == traffic.FailedTry && (t.status == 0 || t.status == 502 && after > 0)
}

// canRecheck reports whether a client has an answer that a scheduler must be able to repeat, and enough time left to ask for it.
func (t *clientTry) canRecheck(out traffic.Outcome) bool {
	final := out == traffic.Served || out == traffic.FailedTry && t.status/100 == 5
	return final && t.sent+t.limit-t.runner.Record.Since() > recheckMinLeft
}

// askAgain asks again after a pause. Unanswered means that the client's time is over.
func (t *clientTry) askAgain(chance *rand.Rand) (traffic.Outcome, time.Duration) {
	k := t.runner
	t.status = 0
	patience := t.limit + microseconds(k.Rules.Slack+k.Rules.AnswerSlack)
	pause := minAskPause + time.Duration(chance.Int64N(int64(maxAskPause-minAskPause)))
	begun := t.startTime()
	if now := k.Record.Since(); now+pause >= begun+t.limit {
		if k.sleep(max(0, begun+patience-now)) {
			t.recordGaveUp(t.endpoint, 0, k.Record.Since())
		}
		return traffic.Unanswered, 0
	}
	if !k.sleep(pause) {
		return traffic.Unanswered, 0
	}
	if t.roam != nil {
		t.endpoint = t.otherEndpoint(chance)
	}
	return t.resend(begun, patience)
}

// resend sends the request to t.endpoint on a new connection, marked as sent before.
func (t *clientTry) resend(begun, patience time.Duration) (traffic.Outcome, time.Duration) {
	k, wait := t.runner, newPending()
	c, err := t.endpoint.dial(t.id, wait, begun+patience+dialTimeout+writeTimeout+k.HangUpGrace+time.Second)
	if err != nil {
		if k.ctx.Err() == nil {
			k.recordUnsent(t.id, t.endpoint.Name, describeNetError(err))
		}
		return traffic.Unreachable, 0
	}
	now := k.Record.Since()
	left := max(time.Millisecond, (begun + t.limit - now).Truncate(time.Millisecond))
	buf := k.bodies.Get().(*[]byte)
	defer k.bodies.Put(buf)
	*buf = t.appendAndRecord((*buf)[:0], left)
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if n, err := c.write(*buf); err != nil {
		out, after, note := t.writeFailed(wait, n, err)
		c.drop()
		if k.ctx.Err() == nil {
			k.recordUnsent(t.id, t.endpoint.Name, note)
		}
		return out, after
	}
	now = k.Record.Since()
	if t.sent == 0 {
		t.sent, begun = now, now
	}
	k.tally.again.Add(1)
	k.recordSent(c, t.id, now, max(1, (now-c.opened).Microseconds()), true)
	a, over := t.await(c, wait, now, t.waitLimit(max(0, begun+patience-now)))
	switch {
	case over:
		return traffic.Unanswered, 0
	case !a.complete:
		k.recordBroken(c, t.id, a)
		return traffic.FailedTry, 0
	}
	k.recordAnswer(c, t.id, a)
	close(wait.recorded)
	t.status = a.status
	return outcome(a)
}

// recordGaveUp records that a client's time is over. conn is 0 if it had no connection at that time.
func (t *clientTry) recordGaveUp(p *endpoint, conn int64, now time.Duration) {
	if t.roam != nil {
		t.roam.expired = true
	}
	name := ""
	if p != nil {
		name = p.Name
	}
	t.runner.tally.gaveUp.Add(1)
	t.runner.Record.Add(history.Event{T: now.Microseconds(), Kind: history.KindClientTimeout, Request: t.id, Scheduler: name,
		Conn: conn})
}

// startTime returns when the client's time limit started.
func (t *clientTry) startTime() time.Duration {
	if t.sent > 0 {
		return t.sent
	}
	return t.started
}
