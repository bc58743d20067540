package judge

import (
	"fmt"

	"laddertide/core/history"
)

// A durable job belongs to a class whose jobs outlive the scheduler's process: the next processes continue the jobs that
// one has accepted. The client asks again, with the same id and at the same scheduler, until it has an answer or its
// deadline has passed. A kill then excuses nothing, and the attempts of all processes count together.

// resultMargin is how long before the client's deadline an acknowledged result may still lose to the failure of the job.
const resultMargin = 1_000_000

func (c *checker) outlivesProcess(r *request) bool {
	return r.ask >= 0 && (c.durable[c.events[r.ask].Class] || c.isOwned(r))
}

// judgeDurable checks the answers to all sendings of a durable job: there must be a final one by the client's deadline,
// and the same one whenever the client asks again.
func (c *checker) judgeDurable(r *request) {
	if len(r.sent) == 0 {
		return
	}
	blamed := false
	for i := range r.sent {
		blamed = c.judgeSending(r, i) || blamed
	}
	sent := c.events[r.sent[0]].T
	due := c.due(r, sent)
	var final *history.Event
	answered := make(map[int]bool)
	for n, at := range r.answers {
		ev := &c.events[at]
		i := c.sendingIndex(r, ev)
		again := answered[i]
		answered[i] = true
		if ev.Status == 200 {
			c.judgeResult(r, ev)
		}
		switch {
		case again:
			c.addSecondAnswer(r, n)
		case c.isInterim(r, ev):
			c.judgeInterim(r, ev, i)
		case i > 0 && ev.Status/100 == 4 && ev.Status != 429:
			c.addBreach(Breach{Rule: Answers, Kind: RepeatRejected, T: ev.T, Scheduler: ev.Scheduler, Request: r.id,
				Text: fmt.Sprintf("Request %s, which is durable, was turned away with %d when its client asked again, %s after "+
					"it had been sent first.", r.id, ev.Status, seconds(ev.T-sent))})
			blamed = true
		case final == nil:
			final = ev
			switch {
			case ev.T <= due:
			case c.durableAnswerOwed(r, due):
				c.addLateAnswer(r, ev, sent)
			default:
				c.excusedNotReady++
			}
		case ev.Status != final.Status || ev.Status == 200 && ev.Result != final.Result:
			c.addBreach(Breach{Rule: Answers, Kind: ChangedAnswer, T: ev.T, Scheduler: ev.Scheduler, Request: r.id,
				Text: fmt.Sprintf("Request %s was answered with status %d and result %.80q, and with status %d and result %.80q "+
					"when it was asked for again.", r.id, final.Status, final.Result, ev.Status, ev.Result)})
		}
	}
	if !blamed {
		c.judgeDurableMissing(r, final, due)
	}
	if final == nil {
		return
	}
	for _, n := range r.attempts {
		if a := &c.attempts[n]; !a.refused && c.earliestSent(a) > c.latestRecorded(final.T) {
			c.addSentAfterAnswer(r, a, final)
		}
	}
	c.judgeLostResult(r, final, due)
}

// isInterim reports whether an answer says that the next process continues the job, and its client kept asking.
func (c *checker) isInterim(r *request, answer *history.Event) bool {
	if answer.Status != 502 || answer.After <= 0 {
		return false
	}
	for _, list := range [][]int32{r.sent, r.unsent, r.gaveUp} {
		if n := len(list); n > 0 && c.events[list[n-1]].T >= answer.T {
			return true
		}
	}
	return false
}

// judgeInterim finds attempts that a process sent after it had left the job to the next process.
func (c *checker) judgeInterim(r *request, answer *history.Event, sending int) {
	s := &c.events[r.sent[sending]]
	for _, n := range r.attempts {
		a := &c.attempts[n]
		from := c.arrival(a)
		if !a.refused && from > c.latestRecorded(answer.T) && c.processAt(s.Scheduler, from).n == s.Life {
			c.addSentAfterAnswer(r, a, answer)
		}
	}
}

// judgeDurableMissing judges a durable job whose last sending got no final answer.
func (c *checker) judgeDurableMissing(r *request, final *history.Event, due int64) {
	last := len(r.sent) - 1
	if a := c.firstOf(r, r.answers, last); a != nil && !c.isInterim(r, a) {
		return
	}
	if due == never || due > c.end {
		return // The answer is not due yet.
	}
	gaveUp := int64(never)
	if n := len(r.gaveUp); n > 0 {
		gaveUp = c.events[r.gaveUp[n-1]].T
	}
	s := &c.events[r.sent[last]]
	begun, limit := c.events[r.sent[0]].T, c.limit(r)
	if gaveUp < never && gaveUp-begun < limit-c.rules.AnswerSlack {
		return // Its client left before its deadline; judgeSending has counted that.
	}
	if gaveUp == never && (len(r.unsent) == 0 || c.events[r.unsent[len(r.unsent)-1]].T < s.T) {
		if how, ended := c.processOutcome(c.processes[life{s.Scheduler, s.Life}]); how == killed && ended < due {
			c.excusedByKill++
			return // Its client did not ask again.
		}
	}
	if c.hungUpInStall(gaveUp, begun+limit) {
		return
	}
	if !c.durableAnswerOwed(r, due) {
		c.excusedNotReady++
		return
	}
	why := "its client asked again for " + seconds(limit)
	if final != nil {
		why = fmt.Sprintf("its client asked again for the answer, with status %d, that it had got before", final.Status)
	}
	c.addUnanswered(r, last, NoAnswer, due, why)
}

// durableAnswerOwed reports whether the answer to a durable job is owed at a time: some process must have been ready for long
// enough by then and still be serving. A stopping process serves only the clients that wait on its connections.
func (c *checker) durableAnswerOwed(r *request, due int64) bool {
	last := len(r.sent) - 1
	s := &c.events[r.sent[last]]
	own := life{s.Scheduler, s.Life}
	broken := c.firstOf(r, r.broken, last)
	for _, p := range c.lives[s.Scheduler] {
		if _, ended := c.processOutcome(p); ended <= due || p.ready > due || c.clock.between(p.ready, due) < c.rules.RecoveryTime {
			continue
		}
		waits := p.life == own && (broken == nil || broken.T >= due) && c.firstOf(r, r.answers, last) == nil
		if waits || p.term > due {
			return true
		}
	}
	return false
}

// judgeLostResult finds results that a process had acknowledged to a worker and that were lost with the process.
func (c *checker) judgeLostResult(r *request, final *history.Event, due int64) {
	if len(r.attempts) == 0 || final.Status == 200 || final.Status == 429 || final.Status == 503 {
		return // Whether a rejection was right is covered by another rule.
	}
	if c.repeat(r) != history.NonIdempotent {
		return // Other jobs may be withdrawn at any time, and a result that crosses the withdrawal comes too late.
	}
	// The scheduler had given up the attempts before the last one and may ignore their results.
	a := &c.attempts[r.attempts[len(r.attempts)-1]]
	ev := &c.events[a.event]
	if a.acknowledged == never || a.givenUp != never || c.latestRecorded(a.acknowledged) >= final.T || a.acknowledged > due-resultMargin {
		return
	}
	if _, ended := c.processOutcome(c.processes[c.processAt(ev.Scheduler, a.acknowledged)]); ended > final.T {
		return
	}
	c.addBreach(Breach{Rule: Answers, Kind: LostResult, T: final.T, Scheduler: ev.Scheduler, Worker: ev.Worker,
		Request: r.id, Attempt: ev.Attempt, Text: fmt.Sprintf("Request %s was answered with status %d though %s had said "+
			"%s before that attempt %d was done, and the scheduler had acknowledged it.", r.id, final.Status, ev.Worker,
			seconds(final.T-a.acknowledged), ev.Attempt)})
}
