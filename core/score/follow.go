package score

import (
	"cmp"
	"slices"
	"strconv"

	"laddertide/core/history"
)

// addRequest adds a request of a client. A retry whose first try is not in the history counts as a job of its own.
func (c *calculator) addRequest(ev *history.Event) {
	c.rep.Totals.Requests++
	first := cmp.Or(ev.First, ev.Request)
	n, known := c.byFirst[first]
	if !known {
		n = len(c.jobs)
		c.byFirst[first] = n
		unknown := history.Class{Name: ev.Class, Aim: ev.Limit, Deadline: ev.Limit}
		class := c.classIndex(ev.Class, unknown)
		cl := &c.classSetups[class]
		j := job{due: ev.Due, work: max(0, ev.Work), class: class, tenant: c.tenantIndex(ev.Tenant)}
		j.deadline = j.due + cl.Deadline
		j.aim = min(j.deadline, j.due+cl.Aim+int64(cl.Stretch*float64(j.work)))
		c.jobs = append(c.jobs, j)
		c.late.add(ev.T - ev.Due)
	} else {
		c.rep.Totals.ClientRetries++
	}
	tr := &try{request: ev.Request, job: n}
	c.tries[ev.Request] = tr
	c.jobs[n].last = tr
}

// updateTry applies an event to a try. The first complete answer is final; after the client has hung up, events are ignored.
func (c *calculator) updateTry(tr *try, ev *history.Event) {
	if ev.Kind == history.KindSent {
		tr.writes++
		if tr.writes > 1 {
			c.rep.Totals.Resent++
		}
		if c.durable(tr) {
			switch tr.writes {
			case 1:
				c.rep.Totals.Durable++
			case 2:
				c.rep.Totals.Repeated++
			}
		}
		if i, ok := c.schedulers[ev.Scheduler]; ok {
			c.rep.Schedulers[i].Sent++
		}
	}
	if c.owned() {
		c.updateOwned(tr, ev)
	}
	if tr.final {
		return
	}
	tr.endedAt = ev.T
	switch ev.Kind {
	case history.KindSent:
		tr.outcome, tr.endedAt = unanswered, 0
	case history.KindUnsent, history.KindBroken, history.KindSwitchedScheduler:
		tr.outcome = failed
	case history.KindClientTimeout:
		tr.outcome, tr.final = unanswered, true
	case history.KindAnswer:
		// A client repeats the request after a 502 that says that the job goes on, and, where all schedulers know of the
		// rejection, may submit it again after a rejection.
		tr.final = !(c.durable(tr) && ev.Status == 502 && ev.After > 0 || c.owned() && (ev.Status == 429 || ev.Status == 503))
		c.statuses[strconv.Itoa(ev.Status)]++
		switch ev.Status {
		case 200:
			tr.outcome, tr.result = inTime, ev.Result
			if j := &c.jobs[tr.job]; j.served == nil && ev.T <= j.deadline {
				j.served = tr
			}
		case 429, 503:
			tr.outcome = refused
		default:
			tr.outcome = failed
		}
	}
}

// durable reports whether a try is of a class whose jobs survive their scheduler's process.
func (c *calculator) durable(tr *try) bool {
	return c.owned() || slices.Contains(c.setup.Durable, c.classSetups[c.jobs[tr.job].class].Name)
}

// owned reports whether any scheduler may be asked about any job.
func (c *calculator) owned() bool { return c.setup.Rules.KeepEnded > 0 }

// updateOwned updates the figures of owned jobs, as seen by clients.
func (c *calculator) updateOwned(tr *try, ev *history.Event) {
	o := &c.rep.Owned
	switch ev.Kind {
	case history.KindSent:
		if tr.firstScheduler == "" {
			tr.firstScheduler = ev.Scheduler
			o.Asked++
		}
		if ev.Scheduler != tr.firstScheduler && !tr.severalSchedulers {
			tr.severalSchedulers = true
			o.AtSeveralSchedulers++
		}
	case history.KindAnswer:
		tr.lastStatus = ev.Status
		if ev.Status == 502 && ev.After > 0 {
			o.Deferrals++
			if tr.waitingSince == 0 {
				tr.waitingSince = ev.T
				o.Deferred++
			}
			return
		}
		if tr.waitingSince > 0 && !tr.final {
			c.waits.add(ev.T - tr.waitingSince)
			if ev.Status == 200 {
				o.DeferredServed++
			}
		}
	}
}

func (c *calculator) finishOwned() {
	o := &c.rep.Owned
	if !c.owned() {
		*o = Owned{}
		return
	}
	o.Kills = c.rep.Totals.Kills
	o.Wait50, o.Wait99, o.WaitMost = c.waits.percentile(50), c.waits.percentile(99), ms(c.waits.maximum)
	for _, tr := range c.tries {
		switch {
		case tr.lastStatus == 429 || tr.lastStatus == 503:
			o.Refused++
		case tr.lastStatus/100 == 5 && tr.outcome == failed:
			o.Failed++
		}
	}
}

func (c *calculator) addAttempt(ev *history.Event) {
	t := &c.rep.Totals
	w, okW := c.workers[ev.Worker]
	s, okS := c.schedulers[ev.Scheduler]
	if okW && ev.Kind == history.KindAttempt && ev.Note == "" {
		c.attempts[ev.Attempt] = &attempt{worker: w, generation: c.load.generations[w], request: ev.Request, state: waiting}
		c.load.change(w, ev.T, 1, 1)
	}
	if c.tries[ev.Request] == nil {
		t.BadClientAttempts++
		return
	}
	t.Attempts++
	c.attemptsOf[ev.Request]++
	if c.attemptsOf[ev.Request] > 1 {
		t.SchedulerRetries++
	}
	if ev.Kind == history.KindAttemptUndelivered {
		t.Undelivered++
	}
	if okW {
		c.rep.Workers[w].Attempts++
	}
	if okS {
		c.rep.Schedulers[s].Attempts++
	}
	if okW && okS && c.rep.Workers[w].Zone != c.rep.Schedulers[s].Zone {
		t.Crossings++
	}
}

func (c *calculator) endRun(ev *history.Event) {
	a := c.attempts[ev.Attempt]
	if a == nil {
		return
	}
	if c.load.isCurrent(a.worker, a.generation) {
		switch a.state {
		case waiting:
			c.load.change(a.worker, ev.T, -1, -1)
		case running:
			c.load.change(a.worker, ev.T, 0, -1)
		}
	}
	a.state = notAtWorker
	w := &c.rep.Workers[a.worker]
	w.Work += seconds(max(0, ev.Work))
	if c.tries[a.request] == nil {
		return
	}
	if ev.State == history.StateFull {
		c.rep.Totals.Full++
		w.Full++
	}
	if ev.Effect {
		c.rep.Totals.Effects++
	}
	if ev.Work > 0 {
		c.runEnds = append(c.runEnds, runEnd{a.request, ev.Result, ev.State == history.StateDone, ev.Work})
	}
}
