package judge

import (
	"cmp"
	"fmt"
	"slices"

	"laddertide/core/history"
)

// maxCompared is how many attempts of a request are compared with each other; any more exceed the limit anyway.
const maxCompared = 256

// provenNotRun is the time from which it is certain that an attempt never ran; never if it may have run.
func (c *checker) provenNotRun(a *attempt) int64 {
	if a.refused {
		return c.events[a.event].T
	}
	if a.overEvent < 0 {
		return never
	}
	switch over := &c.events[a.overEvent]; over.State {
	case history.StateFull, history.StateReturned, history.StateRefused:
		return over.T
	}
	return never
}

// inFlightUntil is the time at which an attempt ended or was given up; never if neither happened.
func (c *checker) inFlightUntil(a *attempt) int64 {
	ev := &c.events[a.event]
	if a.undelivered || a.refused {
		return ev.T // No worker had accepted it.
	}
	until := a.givenUp
	if a.overEvent >= 0 {
		until = min(until, c.events[a.overEvent].T)
	}
	if t, dead := c.deaths[life{ev.Worker, ev.Life}]; dead {
		until = min(until, t)
	}
	return until
}

// attemptGroups partitions a request's attempts by the process responsible for them. Only a request that was sent to several
// processes has several groups: a process cannot know what another one did for the request, unless it is its successor and
// the job is durable, or jobs have owners.
func (c *checker) attemptGroups(r *request) [][]int32 {
	if len(r.sent) < 2 || len(r.attempts) < 2 || c.isOwned(r) {
		return [][]int32{r.attempts}
	}
	durable := c.outlivesProcess(r)
	of := func(l life) life {
		if durable {
			l.n = 0
		}
		return l
	}
	var order []life
	parts := make(map[life][]int32)
	for _, i := range r.sent {
		l := of(life{c.events[i].Scheduler, c.events[i].Life})
		if _, known := parts[l]; !known {
			order, parts[l] = append(order, l), nil
		}
	}
	for _, n := range r.attempts {
		l := of(c.sender(&c.attempts[n]))
		if _, known := parts[l]; !known {
			l = order[0]
		}
		parts[l] = append(parts[l], n)
	}
	var out [][]int32
	for _, l := range order {
		if len(parts[l]) > 0 {
			out = append(out, parts[l])
		}
	}
	return out
}

func (c *checker) judgeAttempts(r *request) {
	if len(r.attempts) == 0 {
		return
	}
	for _, group := range c.attemptGroups(r) {
		for i := range group {
			c.judgeAttempt(r, group, i)
		}
		if c.repeat(r) != history.NonIdempotent {
			continue
		}
		for _, n := range r.answers {
			c.judgeRejection(r, group, &c.events[n])
		}
	}
}

// judgeAttempt compares the i-th attempt of a group with the earlier ones.
func (c *checker) judgeAttempt(r *request, group []int32, i int) {
	b := &c.attempts[group[i]]
	ev := &c.events[b.event]
	from := c.arrival(b)
	breach := func(kind, format string, args ...any) {
		c.addBreach(Breach{Rule: Duplicates, Kind: kind, T: ev.T, Scheduler: ev.Scheduler, Worker: ev.Worker, Request: r.id,
			Attempt: ev.Attempt, Text: fmt.Sprintf(format, args...)})
	}
	// For owned jobs, attempts in flight and the number of attempts count per process: nobody can withdraw what a dead
	// process left in flight. Attempts that never ran are not counted, since a rejection that nobody received ends a job, too.
	counted := func(*attempt) bool { return true }
	nth := i
	if c.isOwned(r) {
		by := c.sender(b)
		counted = func(a *attempt) bool { return c.sender(a) == by }
		nth = 0
		since := c.lastSubmitted(r, b)
		for _, n := range group[:i] {
			if a := &c.attempts[n]; counted(a) && c.arrival(a) > since && c.provenNotRun(a) > c.latestRecorded(from) {
				nth++
			}
		}
	}
	if most := c.maxAttempts(r); nth >= most && most > 0 {
		breach(TooManyAttempts, "Request %s was sent to a worker for the %dth time; %d times are allowed.", r.id, nth+1, most)
	}
	if b.refused || i >= maxCompared {
		return // It never ran; another rule covers that it was sent at all.
	}
	var inFlight, unproven, ran *attempt
	for _, n := range group[:i] {
		a := &c.attempts[n]
		// Where the two are so close that b may have been first, b must have been in flight and unproven, too.
		if counted(a) && c.inFlightUntil(a) > c.latestRecorded(ev.T) && c.inFlightUntil(b) > c.latestRecorded(c.events[a.event].T) && c.end > c.latestRecorded(ev.T) &&
			!c.unreachable(a, b) && c.earliestSent(b) == from {
			inFlight = a
		}
		if c.provenNotRun(a) <= c.latestRecorded(from) || c.provenNotRun(b) <= c.latestRecorded(c.arrival(a)) {
			continue
		}
		if unproven == nil {
			unproven = a
		}
		if ran == nil && (a.ran || a.accepted != never) {
			ran = a
		}
	}
	if inFlight != nil {
		o := &c.events[inFlight.event]
		breach(ParallelAttempts, "Request %s was sent to %s while attempt %d, sent to %s %s before, was still out.", r.id, ev.Worker,
			o.Attempt, o.Worker, seconds(ev.T-o.T))
	}
	switch class := c.class(r); {
	case unproven == nil || class == nil:
	case class.Repeat == history.NonIdempotent && ran != nil:
		o := &c.events[ran.event]
		did := "was taken"
		if ran.ran {
			did = "ran"
		}
		breach(SecondRun, "Request %s of class %s, which must never run twice, was sent to %s %s after attempt %d, which %s.",
			r.id, class.Name, ev.Worker, seconds(ev.T-o.T), o.Attempt, did)
	case class.Repeat == history.NonIdempotent:
		o := &c.events[unproven.event]
		breach(ResentUnproven, "Request %s of class %s, which must never run twice, was sent to %s %s after attempt %d, "+
			"which may have run.", r.id, class.Name, ev.Worker, seconds(ev.T-o.T), o.Attempt)
	case class.Repeat == history.Keyed:
		first := c.arrival(unproven)
		if age := c.clock.between(first, c.earliestSent(b)); age > class.Window+c.rules.Slack {
			breach(OutsideWindow, "Request %s of class %s was sent to %s %s after the first attempt that may have run; "+
				"its key is kept for %s.", r.id, class.Name, ev.Worker, seconds(from-first), seconds(class.Window))
		}
	}
}

// unreachable reports whether the network between a's worker and its scheduler was cut when b was sent: the worker could
// then not observe whether the scheduler had given a up.
func (c *checker) unreachable(a, b *attempt) bool {
	ev, from := &c.events[a.event], c.arrival(b)
	for _, cut := range c.cuts[pair{ev.Worker, ev.Scheduler}] {
		if cut.from <= c.latestRecorded(c.events[b.event].T) && cut.until >= from-c.rules.Slack {
			return true
		}
	}
	return false
}

// judgeRejection checks that a rejection's promise, that nothing has run or will run, was proven when it was made.
func (c *checker) judgeRejection(r *request, group []int32, answer *history.Event) {
	if answer.Status != 429 && answer.Status != 503 {
		return
	}
	if len(r.sent) > 1 && !c.outlivesProcess(r) {
		s := &c.events[r.sent[c.sendingIndex(r, answer)]]
		if c.sender(&c.attempts[group[0]]) != (life{s.Scheduler, s.Life}) {
			return
		}
	}
	for i, n := range group {
		if i >= maxCompared {
			return
		}
		a := &c.attempts[n]
		ev := &c.events[a.event]
		proof := c.provenNotRun(a)
		if proof <= c.latestRecorded(answer.T) || proof != never && c.arrival(a) > answer.T || c.resubmitted(r, a, answer) {
			continue
		}
		did := "may have run"
		switch {
		case a.ran:
			did = "ran"
		case a.accepted != never:
			did = "was taken"
		}
		c.addBreach(Breach{Rule: Duplicates, Kind: RejectedAfterRun, T: max(answer.T, ev.T), Scheduler: answer.Scheduler,
			Worker: ev.Worker, Request: r.id, Attempt: ev.Attempt,
			Text: fmt.Sprintf("Request %s, which must never run twice, was refused with %d though attempt %d at %s %s.", r.id,
				answer.Status, ev.Attempt, ev.Worker, did)})
		return
	}
}

// countSecondRuns counts the jobs that must never run twice and in fact did. Retries of a client belong to the same job if the
// client retried because the answer said that nothing had run. Runs under a process that the kit killed don't count
// against the next process that received the same request, unless the job is durable.
func (c *checker) countSecondRuns() int {
	type run struct {
		try     int
		refused bool
	}
	jobs := make(map[string][]run)
	twice := make(map[string]bool)
	for i := range c.requests {
		r := &c.requests[i]
		if r.ask < 0 || len(r.attempts) == 0 || c.repeat(r) != history.NonIdempotent {
			continue
		}
		ask := &c.events[r.ask]
		job := ask.First
		if job == "" {
			job = r.id
		}
		runs := 0
		for _, group := range c.attemptGroups(r) {
			own := 0
			for _, n := range group {
				if c.attempts[n].ran {
					own++
				}
			}
			if own > 1 {
				twice[job] = true
			}
			if how, _ := c.processOutcome(c.processes[c.sender(&c.attempts[group[0]])]); how != killed ||
				len(r.sent) < 2 || c.outlivesProcess(r) {
				runs += own
			}
		}
		if runs > 1 {
			twice[job] = true
		}
		if runs == 0 {
			continue
		}
		refused := false
		for _, n := range r.answers {
			refused = refused || c.events[n].Status == 429 || c.events[n].Status == 503
		}
		jobs[job] = append(jobs[job], run{ask.Try, refused})
	}
	for job, list := range jobs {
		slices.SortFunc(list, func(a, b run) int { return cmp.Compare(a.try, b.try) })
		for i := range list[:len(list)-1] {
			if list[i].refused {
				twice[job] = true
			}
		}
	}
	return len(twice)
}

// crossedByBadClient reports whether an attempt stems from a misbehaving client that used the id of a request that had just
// been answered or that the scheduler had not read yet. The scheduler sees a new id then; if the rightful client comes
// second, it is the one that gets the error.
func (c *checker) crossedByBadClient(a *attempt) bool {
	if a.request < 0 {
		return false
	}
	ev, from := &c.events[a.event], c.arrival(a)
	for _, i := range c.badClientIDs[ev.Request] {
		if s := &c.events[i]; s.Scheduler != ev.Scheduler || s.From > c.latestRecorded(from) {
			continue
		}
		for _, n := range c.requests[a.request].answers {
			answer := &c.events[n]
			rejected := answer.Status/100 == 4 && answer.Status != 429
			if answer.Scheduler == ev.Scheduler && (rejected || answer.T <= c.latestRecorded(from)) {
				return true
			}
		}
	}
	return false
}

// judgeAltered finds attempts whose request no client had sent, or not in this form.
func (c *checker) judgeAltered() {
	for i := range c.attempts {
		a := &c.attempts[i]
		ev := &c.events[a.event]
		b := Breach{Rule: Altered, T: ev.T, Scheduler: ev.Scheduler, Worker: ev.Worker, Request: ev.Request,
			Attempt: ev.Attempt}
		known := a.request >= 0 && c.requests[a.request].ask >= 0 || c.badClientIDs[ev.Request] != nil
		switch {
		case a.refused && (c.crossedByBadClient(a) || c.fromIDConflict(a)):
			continue
		case a.refused:
			why := ev.Note
			if a.overEvent >= 0 && why == "" {
				why = c.events[a.overEvent].Note
			}
			b.Kind = AlteredJob
			b.Text = fmt.Sprintf("Worker %s was sent request %q in a form in which no client had sent it: %s.", ev.Worker,
				ev.Request, why)
		case !known:
			b.Kind = UnknownRequest
			b.Text = fmt.Sprintf("Worker %s was sent request %q, which no client had sent.", ev.Worker, ev.Request)
		default:
			continue
		}
		c.addBreach(b)
	}
}
