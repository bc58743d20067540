package judge

import (
	"fmt"
	"slices"

	"laddertide/core/history"
)

// Operators' requests, and settings that change while a scheduler serves.

// settingsChange is a change of a scheduler's settings. It binds for requests that are asked more than settingsDelay later.
type settingsChange struct {
	t        int64
	attempts int
	class    string
	repeat   history.Repeat
}

// settingsDelay is how long new settings may take to become effective.
const settingsDelay = 1_200_000

// restartTime is how long a shutdown with the next start may take.
const restartTime = 6_000_000

// operatorAnswerLimit is the time after which an operator's request is binding, even without an answer.
const operatorAnswerLimit = 1_000_000

// addOperatorRequest records an operator's request.
func (c *checker) addOperatorRequest(i int32) {
	ev := &c.events[i]
	c.operatorRequests = append(c.operatorRequests, i)
	t := ev.From // a lifted ban counts from the request on: the attempts that it allows may precede its answer
	if ev.On {
		t = min(ev.T, max(0, ev.From)+operatorAnswerLimit)
	}
	at := pair{ev.Worker, ev.Scheduler}
	c.bans[at] = toggleSpan(c.bans[at], ev.On, t)
}

// judgeBans finds attempts that were sent to a banned worker, and operators' requests that were not confirmed in time.
func (c *checker) judgeBans() {
	for _, i := range c.operatorRequests {
		ev := &c.events[i]
		if ev.Status == 200 && c.clock.between(ev.From, ev.T) <= operatorAnswerLimit+c.rules.Slack {
			continue
		}
		if slices.ContainsFunc(c.lives[ev.Scheduler], func(p *process) bool {
			down := min(p.term, p.kill, p.exit)
			return down <= ev.T && down >= ev.From-restartTime
		}) {
			continue // the scheduler was stopping or down
		}
		c.addBreach(Breach{Rule: Answers, Kind: OperatorUnconfirmed, T: ev.T, Scheduler: ev.Scheduler, Worker: ev.Worker,
			Text: fmt.Sprintf("An operator's call about %s got status %d after %s; a yes is due within %s.", ev.Worker, ev.Status,
				seconds(ev.T-ev.From), seconds(operatorAnswerLimit))})
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		ev := &c.events[a.event]
		from := c.earliestSent(a)
		for _, h := range c.bans[pair{ev.Worker, ev.Scheduler}] {
			until := h.until
			if c.rules.AgreeWithin > 0 { // a ban that is lifted at any scheduler is lifted at all
				until = min(until, c.banLiftedAt(ev.Worker, h.from))
			}
			if from <= c.latestRecorded(h.from) || until <= c.latestRecorded(from) {
				continue
			}
			c.addBreach(Breach{Rule: Drains, Kind: SentWhileBanned, T: from, Scheduler: ev.Scheduler, Worker: ev.Worker,
				Request: ev.Request, Attempt: ev.Attempt,
				Text: fmt.Sprintf("Request %q was sent to %s %s after an operator had taken it out at %s.", ev.Request, ev.Worker,
					seconds(from-h.from), ev.Scheduler)})
			break
		}
	}
}

// settingsFor returns the settings that bind a request, if they are not those of the setup: the last ones that its scheduler was
// given more than settingsDelay before the request was asked. Newer ones may or may not be in force
// yet; schedulers that follow either are right.
func (c *checker) settingsFor(r *request) (now settingsChange, sure bool) {
	if r.ask < 0 || len(r.sent) == 0 {
		return now, false
	}
	asked := c.events[r.ask].T
	for _, t := range c.settingsChanges[c.events[r.sent[0]].Scheduler] {
		if c.latestRecorded(t.t+settingsDelay) < asked {
			now, sure = t, true
		}
	}
	return now, sure
}

// maxAttempts is the maximum number of attempts of a request.
func (c *checker) maxAttempts(r *request) int {
	if t, sure := c.settingsFor(r); sure && t.attempts > 0 {
		return t.attempts
	}
	return c.rules.Attempts
}

// addSettingsChange records settings that a scheduler was given.
func (c *checker) addSettingsChange(ev *history.Event) {
	c.settingsChanges[ev.Scheduler] = append(c.settingsChanges[ev.Scheduler], settingsChange{ev.T, ev.Tries, ev.Class, history.Repeat(ev.Note)})
	slices.SortStableFunc(c.settingsChanges[ev.Scheduler], func(a, b settingsChange) int { return sign(a.t - b.t) })
}
