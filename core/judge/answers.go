package judge

import (
	"fmt"
	"strings"

	"laddertide/core/history"
)

const (
	// The kit may send SIGKILL no earlier after SIGTERM than the longest deadline, capped at maxCountedDeadline, plus stopGrace.
	maxCountedDeadline = 3_000_000
	stopGrace          = 700_000
	// idleBeforeClose is how long a new connection must have been silent before a scheduler may close it as idle.
	idleBeforeClose = 500_000
)

// processOutcome returns how a process ended and when; the time is never if it did not end.
func (c *checker) processOutcome(p *process) (outcome, int64) {
	if p == nil {
		return stillRunning, never
	}
	// The goroutine that sends a signal and the one that sees its effect record their events concurrently.
	term := p.term != never && p.term <= c.latestRecorded(p.exit)
	kill := p.kill != never && p.kill <= c.latestRecorded(p.exit)
	switch {
	case p.kill == never && p.exit == never:
		return stillRunning, never
	case kill && (!term || p.kill < p.term):
		return killed, min(p.kill, p.exit)
	case kill && p.kill <= p.exit:
		if c.clock.between(p.term, p.kill) < c.termGrace()-c.rules.Slack {
			return killed, p.kill
		}
		return stopped, p.kill
	case term:
		return stopped, p.exit
	case c.partial && p.exit > c.end-c.rules.Slack:
		// Whatever cut the run short most likely ended the process, too.
		return killed, p.exit
	}
	return crashed, p.exit
}

// termGrace is the minimum time between SIGTERM and the kit's SIGKILL.
func (c *checker) termGrace() int64 {
	longest := int64(0)
	for _, class := range c.classes {
		longest = max(longest, class.Deadline)
	}
	return min(longest, maxCountedDeadline) + stopGrace
}

// limit is the time after a request's last byte by which its answer is due; never if its client waits forever.
func (c *checker) limit(r *request) int64 {
	limit := int64(0)
	if r.ask >= 0 {
		limit = c.events[r.ask].Limit
	}
	if class := c.class(r); limit <= 0 && class != nil {
		limit = class.Deadline
	}
	if limit <= 0 {
		return never
	}
	return limit
}

// sendingIndex returns the index of the sending of a request to which an event of its connection belongs; -1 if the request
// was never sent.
func (c *checker) sendingIndex(r *request, ev *history.Event) int {
	found, best := -1, -1
	for i, n := range r.sent {
		s := &c.events[n]
		fit := 0
		if s.T <= c.latestRecorded(ev.T) {
			fit = 1
		}
		if s.Scheduler == ev.Scheduler && s.Conn == ev.Conn {
			fit += 2
		}
		// Among several sendings before the event the last one wins; among several after it the first.
		if fit > best || fit == best && fit&1 == 1 {
			found, best = i, fit
		}
	}
	return found
}

// firstOf returns the first of the listed events that belongs to a sending of a request; nil if none does.
func (c *checker) firstOf(r *request, list []int32, sending int) *history.Event {
	for _, i := range list {
		if ev := &c.events[i]; len(r.sent) == 1 || c.sendingIndex(r, ev) == sending {
			return ev
		}
	}
	return nil
}

func (c *checker) judgeAnswers(r *request) {
	switch {
	case c.isOwned(r):
		c.judgeOwned(r)
		return
	case c.outlivesProcess(r):
		c.judgeDurable(r)
		return
	}
	for i := range r.sent {
		c.judgeSending(r, i)
	}
	for i, n := range r.answers {
		ev := &c.events[n]
		if i > 0 {
			c.addSecondAnswer(r, i)
		}
		if ev.Status == 200 {
			c.judgeResult(r, ev)
		}
	}
	if len(r.answers) > 0 {
		c.judgeSentAfterAnswer(r, &c.events[r.answers[0]])
	}
}

func (c *checker) addSecondAnswer(r *request, i int) {
	ev := &c.events[r.answers[i]]
	c.addBreach(Breach{Rule: Answers, Kind: SecondAnswer, T: ev.T, Scheduler: ev.Scheduler, Request: r.id,
		Text: fmt.Sprintf("Request %s got answer %d with status %d, %s after its first one.", r.id, i+1, ev.Status,
			seconds(ev.T-c.events[r.answers[0]].T))})
}

// judgeSentAfterAnswer finds attempts that a process sent to a worker after it had answered the request: nobody waits for their
// results.
func (c *checker) judgeSentAfterAnswer(r *request, answer *history.Event) {
	if len(r.sent) == 0 {
		return
	}
	s := &c.events[r.sent[c.sendingIndex(r, answer)]]
	by := life{s.Scheduler, s.Life}
	for _, n := range r.attempts {
		a := &c.attempts[n]
		if !a.refused && c.earliestSent(a) > c.latestRecorded(answer.T) && c.sender(a) == by {
			c.addSentAfterAnswer(r, a, answer)
		}
	}
}

func (c *checker) addSentAfterAnswer(r *request, a *attempt, answer *history.Event) {
	ev := &c.events[a.event]
	c.addBreach(Breach{Rule: Answers, Kind: SentAfterAnswer, T: ev.T, Scheduler: ev.Scheduler, Worker: ev.Worker,
		Request: r.id, Attempt: ev.Attempt, Text: fmt.Sprintf("Request %s was sent to %s %s after it had been answered "+
			"with status %d.", r.id, ev.Worker, seconds(c.arrival(a)-answer.T), answer.Status)})
}

// due is the time after which the answer to a request that was sent at t is late; never if its client waits forever.
func (c *checker) due(r *request, t int64) int64 {
	limit := c.limit(r)
	if limit == never {
		return never
	}
	return c.clock.after(t, limit+c.rules.AnswerSlack+c.rules.Slack)
}

func (c *checker) addLateAnswer(r *request, a *history.Event, sent int64) {
	c.addBreach(Breach{Rule: Answers, Kind: LateAnswer, T: a.T, Scheduler: a.Scheduler, Request: r.id,
		Text: fmt.Sprintf("Request %s was answered with status %d after %s; its client waited %s.", r.id, a.Status,
			seconds(a.T-sent), seconds(c.limit(r)))})
}

// judgeSending checks whether a scheduler answered a request that was written to one of its connections, and reports
// whether a breach was found. What a durable request is owed beyond the connection is judged over all of its sendings.
func (c *checker) judgeSending(r *request, i int) (blamed bool) {
	s := &c.events[r.sent[i]]
	begun, durable := s.T, c.outlivesProcess(r)
	if durable {
		begun = c.events[r.sent[0]].T
	}
	limit, due := c.limit(r), c.due(r, begun)
	if a := c.firstOf(r, r.answers, i); a != nil {
		if a.T > due && !durable && !c.wasPaused(s.Scheduler, begun, due) {
			c.addLateAnswer(r, a, begun)
			return true
		}
		return false
	}
	broken, gaveUp := int64(never), int64(never)
	brokenEvent := c.firstOf(r, r.broken, i)
	if brokenEvent != nil {
		broken = brokenEvent.T
	}
	if ev := c.firstOf(r, r.gaveUp, i); ev != nil {
		gaveUp = ev.T
	}
	p := c.processes[life{s.Scheduler, s.Life}]
	how, ended := c.processOutcome(p)

	if t := c.firstOf(r, r.switched, i); t != nil && t.T < broken {
		return false // Its client moves on to another scheduler.
	}
	if gaveUp < never && limit != never && gaveUp-begun < limit-c.rules.AnswerSlack && broken > gaveUp {
		c.leftEarly++
		return false // The client left before its deadline: there is nobody to answer.
	}
	if how == killed && due > ended && c.latestRecorded(broken) >= ended {
		if !durable {
			c.excusedByKill++
		}
		return false
	}
	if how == crashed && due > ended && c.latestRecorded(broken) >= ended {
		if i+1 < len(r.sent) && c.mayCross(r, i, min(broken, ended), brokenEvent, false) {
			c.crossedByClose++
			return false // Its client has sent it again: the answer is owed for that sending.
		}
		p.unanswered++
		c.addUnanswered(r, i, NoAnswer, max(s.T, ended), "the scheduler crashed with it")
		return true
	}
	if how == stopped && ended == p.kill && c.latestRecorded(broken) >= ended {
		broken = never // The SIGKILL broke the connection.
	}
	if broken < due {
		stopping := p != nil && p.term <= c.latestRecorded(broken)
		switch {
		case c.mayCross(r, i, broken, brokenEvent, stopping):
			c.crossedByClose++
			if !stopping && p != nil {
				p.crossings = append(p.crossings, crossing{r, i, broken})
			}
		case c.partial && c.latestRecorded(broken) >= c.end:
		default:
			c.addUnanswered(r, i, ClosedUnanswered, broken, fmt.Sprintf("the scheduler ended its connection %s after its last byte",
				seconds(broken-s.T)))
			return true
		}
		return false
	}
	if c.isOwned(r) && gaveUp < ended {
		return false // Its answer is judged over all of its sendings.
	}
	if how == stopped && ended < due {
		if c.mayCross(r, i, ended, nil, true) {
			c.crossedByClose++
			return false
		}
		c.addUnanswered(r, i, NoAnswer, ended, "the scheduler ended after SIGTERM without")
		return true
	}
	if due > c.end || due == never || durable {
		return false // The answer is not due yet.
	}
	if c.wasPaused(s.Scheduler, begun, due) {
		return false
	}
	if c.hungUpInStall(gaveUp, begun+limit) {
		return false
	}
	c.addUnanswered(r, i, NoAnswer, due, fmt.Sprintf("its client waited %s", seconds(limit)))
	return true
}

// wasPaused reports and counts requests that are excused because their scheduler's process was paused meanwhile.
func (c *checker) wasPaused(scheduler string, from, due int64) bool {
	for _, p := range c.pauses[scheduler] {
		if p.from < due && c.latestRecorded(p.until) > from {
			c.excusedByPause++
			return true
		}
	}
	return false
}

// hungUpInStall reports and counts requests that are excused because their client hung up while the kit was stalled.
func (c *checker) hungUpInStall(gaveUp, end int64) bool {
	if gaveUp == never || c.clock.stalled(gaveUp)-c.clock.stalled(end-c.rules.Slack) <= c.rules.AnswerSlack {
		return false
	}
	c.excusedByStall++
	return true
}

func (c *checker) addUnanswered(r *request, i int, kind string, t int64, why string) {
	s := &c.events[r.sent[i]]
	if len(r.answers) == 0 {
		c.missing++
	}
	c.addBreach(Breach{Rule: Answers, Kind: kind, T: t, Scheduler: s.Scheduler, Request: r.id,
		Text: fmt.Sprintf("Request %s got no answer from %s: %s.", r.id, s.Scheduler, why)})
}

// mayCross reports whether the close of a connection may have crossed a request that the scheduler had not read yet.
// While the scheduler is stopping this can happen on any connection, otherwise only on one that has carried requests
// before or was idle for long.
func (c *checker) mayCross(r *request, i int, end int64, broken *history.Event, stopping bool) bool {
	s := &c.events[r.sent[i]]
	if broken != nil && (broken.Bytes > 0 || broken.Read) || c.clock.between(s.T, end) > c.rules.CrossingWindow {
		return false
	}
	if !stopping && (s.Again || s.Fresh != 0 && s.Fresh <= idleBeforeClose) {
		return false
	}
	if i > 0 && c.outlivesProcess(r) {
		return true // Its attempts may stem from an earlier sending.
	}
	// A scheduler that has forwarded the request has read it.
	if i+1 < len(r.sent) {
		end = min(end, c.events[r.sent[i+1]].T)
	}
	for _, n := range r.attempts {
		a := &c.attempts[n]
		ev := &c.events[a.event]
		if ev.Scheduler != s.Scheduler || c.isOwned(r) && c.arrival(a) > end {
			continue // A later attempt of an owned job belongs to another sending.
		}
		if c.arrival(a) <= end || i+1 == len(r.sent) {
			return false
		}
		if next := &c.events[r.sent[i+1]]; next.Scheduler != s.Scheduler {
			return false
		}
	}
	return true
}

// Closes cross requests by chance only. A process whose closes cross more requests than both limits has read them.
const (
	maxCrossings        = 5
	requestsPerCrossing = 40 // one in this many of its requests
)

// judgeCrossings finds processes that close connections with unanswered requests too often for it to be chance.
func (c *checker) judgeCrossings() {
	sent := make(map[life]int)
	for i := range c.requests {
		for _, n := range c.requests[i].sent {
			sent[life{c.events[n].Scheduler, c.events[n].Life}]++
		}
	}
	for _, p := range c.sorted {
		if n := len(p.crossings); n <= maxCrossings || n*requestsPerCrossing <= sent[p.life] {
			continue
		}
		for _, x := range p.crossings {
			c.crossedByClose--
			c.addUnanswered(x.r, x.sending, ClosedUnanswered, x.t, fmt.Sprintf("the scheduler ended its connection, as it did %d times "+
				"in %d requests, too often for a close that crosses a request by chance", len(p.crossings), sent[p.life]))
		}
	}
}

// judgeResult checks that the body of a 200 answer is the result of an attempt of this request.
func (c *checker) judgeResult(r *request, answer *history.Event) {
	by := c.latestRecorded(answer.T)
	if c.partial && by > c.end {
		return // The end of its attempt may not have been recorded any more.
	}
	why := "no worker had finished it by then"
	for _, n := range r.attempts {
		a := &c.attempts[n]
		if a.overEvent < 0 {
			continue
		}
		over := &c.events[a.overEvent]
		switch {
		case over.State == history.StateDone && over.Result == answer.Result && over.T <= by:
			return
		case over.State == history.StateDone && over.Result == answer.Result:
			why = fmt.Sprintf("attempt %d made that result %s later", over.Attempt, seconds(over.T-answer.T))
		case over.State == history.StateDone && over.T <= by:
			why = fmt.Sprintf("attempt %d had made another result", over.Attempt)
		}
	}
	switch owner := c.resultOwner(answer.Result); {
	case answer.Result == "":
		why = "its body is empty"
	case owner != "" && owner != r.id:
		why = fmt.Sprintf("its body is the result of request %s", owner)
	}
	c.addBreach(Breach{Rule: Answers, Kind: FabricatedResult, T: answer.T, Scheduler: answer.Scheduler, Request: r.id,
		Text: fmt.Sprintf("Request %s was answered 200 with a result that no worker made for it: %s.", r.id, why)})
}

// resultOwner is the id of the request that a result was produced for; empty if there is none.
func (c *checker) resultOwner(result string) string {
	if c.resultOwners == nil {
		c.resultOwners = make(map[string]string)
		for i := range c.attempts {
			if a := &c.attempts[i]; a.overEvent >= 0 && c.events[a.overEvent].State == history.StateDone {
				c.resultOwners[c.events[a.overEvent].Result] = c.events[a.event].Request
			}
		}
	}
	return c.resultOwners[result]
}

// judgeProcesses finds processes that ended on their own.
func (c *checker) judgeProcesses() {
	for _, p := range c.sorted {
		how, _ := c.processOutcome(p)
		if how == killed && p.term <= p.kill && p.kill != never {
			c.note("The kit killed %s (process %d) %s after SIGTERM, sooner than it may: nobody is blamed for that.",
				p.name, p.n, seconds(p.kill-p.term))
		}
		if how != crashed {
			continue
		}
		output := ""
		if w := strings.TrimSpace(p.lastOutput); w != "" {
			output = fmt.Sprintf(" Its last words: %.200s", w)
		}
		c.addBreach(Breach{Rule: Answers, Kind: Crashed, T: p.exit, Scheduler: p.name,
			Text: fmt.Sprintf("Process %d of %s ended by itself with code %d, owing %d answers.%s", p.n, p.name, p.code,
				p.unanswered, output)})
	}
}

// judgeBadClients finds misbehaving clients that got a 200. What they send cannot run, unless the event names a request of
// the kit's own; then an attempt of it must be done.
func (c *checker) judgeBadClients() {
	for _, i := range c.badClients {
		ev := &c.events[i]
		if ev.Status != 200 {
			continue
		}
		if ev.Request != "" && c.doneFor(ev.Request, c.latestRecorded(ev.T)) {
			continue
		}
		c.addBreach(Breach{Rule: Answers, Kind: ServedBadClient, T: ev.T, Scheduler: ev.Scheduler, Request: ev.Request,
			Text: fmt.Sprintf("A bad client (%s) was answered 200 as though its request had run.", ev.Note)})
	}
}

// doneFor reports whether an attempt of an id had ended as done by t.
func (c *checker) doneFor(id string, t int64) bool {
	for i := range c.attempts {
		a := &c.attempts[i]
		if c.events[a.event].Request != id || a.overEvent < 0 {
			continue
		}
		if over := &c.events[a.overEvent]; over.State == history.StateDone && over.T <= t {
			return true
		}
	}
	return false
}
