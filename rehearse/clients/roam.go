package clients

import (
	"math/rand/v2"
	"sync"
	"time"

	"laddertide/core/history"
	"laddertide/core/traffic"
	"laddertide/rehearse/book"
)

// Clients of schedulers with job ownership: any scheduler may be asked for any job.

const (
	minSwitchAfter   = 800 * time.Millisecond // range of the time without an answer before a client asks another scheduler
	maxSwitchAfter   = 2500 * time.Millisecond
	twinOneIn        = 8                       // one in this many clients asks two schedulers at once
	roamRecheckOneIn = 4                       // one in this many asks once more, later, for an answer that it already has
	conflictOneIn    = 8                       // for one in this many a request with another body, class or tenant is then sent under the same id
	resubmitOneIn    = 2                       // one in this many submits a refused job again under the same id
	maxResubmits     = 3                       // maximum number of such submissions
	recheckMaxDelay  = 3 * time.Second         // maximum delay before an answer is asked for once more
	recheckLimit     = 2500 * time.Millisecond // how long the client waits for it
)

// roamState is the state of a client that may ask any scheduler for its job.
type roamState struct {
	switchAfter   time.Duration // how long it waits for one scheduler
	askTwo        bool          // it still has to ask a second one at once
	twin          sync.WaitGroup
	twinOutcome   traffic.Outcome // outcome of the parallel request; valid once twin is done
	twinSent      bool            // a parallel request was sent
	resubmitsLeft int             // how many more times it may submit a refused job
	expired       bool            // its time is over
}

func (t *clientTry) initRoaming() {
	chance := traffic.RandomStream(t.arrival.ClientSeed, "roam")
	t.roam = &roamState{switchAfter: minSwitchAfter + time.Duration(chance.Int64N(int64(maxSwitchAfter-minSwitchAfter))), askTwo: chance.IntN(twinOneIn) == 0}
	if chance.IntN(resubmitOneIn) == 0 {
		t.roam.resubmitsLeft = maxResubmits
	}
}

func (r *roamState) takeResubmit() bool {
	r.resubmitsLeft--
	return r.resubmitsLeft >= 0
}

// waitLimit returns how long a client waits for one scheduler, with the given time left.
func (t *clientTry) waitLimit(left time.Duration) time.Duration {
	if t.roam == nil || left < t.roam.switchAfter+maxAskPause+minSwitchAfter {
		return left // not enough time to ask another scheduler
	}
	return t.roam.switchAfter
}

// recordHangUp records that a client hangs up, and reports whether it does so to ask another scheduler rather than for good.
func (t *clientTry) recordHangUp(c *conn, now time.Duration) bool {
	if t.roam == nil || now >= t.startTime()+t.limit {
		t.recordGaveUp(c.endpoint, c.id, now)
		return false
	}
	t.runner.Record.Add(history.Event{T: now.Microseconds(), Kind: history.KindSwitchedScheduler, Request: t.id, Scheduler: c.endpoint.Name, Conn: c.id})
	return true
}

// otherEndpoint returns a scheduler other than the one that was asked last, if there is more than one.
func (t *clientTry) otherEndpoint(chance *rand.Rand) *endpoint {
	all := t.runner.endpoints
	if t.endpoint == nil {
		return all[chance.IntN(len(all))]
	}
	if len(all) == 1 {
		return all[0]
	}
	return all[(t.endpoint.index+1+chance.IntN(len(all)-1))%len(all)]
}

// sendTwin sends the request to a second scheduler in parallel, if this client does so. Its outcome is kept separately.
func (t *clientTry) sendTwin() {
	if t.roam == nil || !t.roam.askTwo {
		return
	}
	t.roam.askTwo, t.roam.twinSent = false, true
	other := &clientTry{runner: t.runner, arrival: t.arrival, id: t.id, try: t.try, limit: t.limit, started: t.sent, roam: &roamState{switchAfter: t.limit}}
	other.endpoint = t.otherEndpoint(traffic.RandomStream(t.arrival.ClientSeed, "twin"))
	t.roam.twin.Go(func() {
		t.roam.twinOutcome, _ = other.resend(other.started, other.limit+microseconds(t.runner.Rules.Slack+t.runner.Rules.AnswerSlack))
	})
}

// combine combines the outcomes of a client that asked two schedulers: neither can reject for the other, so the job counts as refused
// only if both refused it or could not be reached.
func (r *roamState) combine(out traffic.Outcome, after time.Duration) (traffic.Outcome, time.Duration) {
	r.twin.Wait()
	harmless := func(o traffic.Outcome) bool { return o == traffic.Refused || o == traffic.Unreachable }
	if r.twinSent && harmless(out) && !harmless(r.twinOutcome) {
		return r.twinOutcome, 0
	}
	return out, after
}

// afterAnswer runs what some clients do once they have the answer out: they ask for it once more, or a different request is sent under
// their id. This does not change their outcome.
func (t *clientTry) afterAnswer(out traffic.Outcome, chance *rand.Rand) {
	k := t.runner
	final := out == traffic.Served || out == traffic.FailedTry && t.status/100 == 5
	if !final || t.endpoint == nil {
		return
	}
	t.roam.twin.Wait()
	if chance.IntN(roamRecheckOneIn) == 0 && k.sleep(time.Duration(chance.Int64N(int64(min(recheckMaxDelay, k.KeepEnded*3/4))))) {
		now := k.Record.Since()
		again := &clientTry{runner: k, arrival: t.arrival, id: t.id, try: t.try, limit: recheckLimit, started: now, roam: &roamState{switchAfter: recheckLimit}}
		again.endpoint = t.otherEndpoint(chance)
		again.resend(now, recheckLimit)
	}
	if out == traffic.Served && chance.IntN(conflictOneIn) == 0 && k.sleep(time.Duration(chance.Int64N(int64(k.KeepEnded/8)))) {
		t.sendConflicting(chance)
	}
}

// sendConflicting sends a different request under the id of a job, and records the outcome. A worker that receives it refuses it.
func (t *clientTry) sendConflicting(chance *rand.Rand) {
	k, a, what := t.runner, *t.arrival, []string{"body", "class", "tenant"}[chance.IntN(3)]
	switch what {
	case "body":
		a.ClientSeed, a.Body = a.ClientSeed+1, max(a.Body, 16)
	case "class":
		if a.Key, a.Class = "", 0; t.arrival.Class == 0 {
			a.Class = len(k.Plan.Classes) - 1
		}
	case "tenant":
		a.Tenant = (a.Tenant + 1) % len(k.Plan.Tenants)
	}
	if a.Class == t.arrival.Class && a.Tenant == t.arrival.Tenant && what != "body" {
		return // there is no other
	}
	conflicting := &clientTry{runner: k, arrival: &a, id: t.id, limit: recheckLimit}
	target, wait := t.otherEndpoint(chance), newPending()
	c, err := target.dial(t.id, wait, k.Record.Since()+dialTimeout+writeTimeout+recheckLimit+k.HangUpGrace)
	if err != nil {
		return
	}
	text, _, _ := conflicting.appendRequest(nil, recheckLimit)
	class := k.class(&a).Name
	if what != "body" {
		k.Book.Steal(t.id, class, k.Plan.Tenants[a.Tenant].Name)
	}
	c.nc.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.write(text); err != nil {
		c.drop()
		return
	}
	ev := history.Event{Kind: history.KindIDConflict, Request: t.id, Scheduler: target.Name, Life: c.life, Conn: c.id, Note: what, Class: class,
		From: k.Record.Since().Microseconds()}
	timer := time.NewTimer(recheckLimit)
	defer timer.Stop()
	select {
	case got := <-wait.answered:
		if got.complete {
			ev.Status, ev.Result, ev.After = got.status, got.result, got.retryAfter
			close(wait.recorded)
		}
	case <-timer.C:
		c.drop()
	case <-k.ctx.Done():
		c.drop()
		return
	}
	ev.T = max(ev.From, k.Record.Since().Microseconds())
	k.Record.Add(ev)
}

// recordInBook records a request in the book, which must happen before its first byte is sent.
func (t *clientTry) recordInBook(target string, body []byte) {
	a := t.arrival
	t.runner.Book.Write(t.id, book.Sum("POST", target, t.id, a.Key, body), book.Job{Class: a.Class, Key: a.Key,
		Work: a.Work, Noise: t.runner.class(a).WorkSpread, Slots: a.Slots, Memory: a.Memory})
}
