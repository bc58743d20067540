package score

import (
	"cmp"
	"math"
	"slices"

	"laddertide/core/history"
)

const second = int64(1_000_000)

// outcome is the result of a try or a job, as counted in Ends.
type outcome uint8

const (
	unanswered outcome = iota
	inTime
	late
	refused
	failed
)

// try is one request of a client.
type try struct {
	request string
	job     int
	outcome outcome // of the try itself: unanswered, inTime (a 200, of whatever age), refused or failed
	endedAt int64
	final   bool // later events are ignored
	writes  int
	result  string // of a 200

	firstScheduler    string // the scheduler that it was written to first
	severalSchedulers bool   // it was written to another scheduler, too
	waitingSince      int64  // of an owned job: time of the first 502 with Retry-After; 0: none
	lastStatus        int    // status of its last answer
}

// job is a first try with its retries.
type job struct {
	due, aim, deadline int64 // time in the run; due is the intended send time
	work               int64
	class, tenant      int
	overQuota          bool
	last               *try
	served             *try // the first 200 within the deadline

	outcome outcome
	ended   int64
	worth   float64
	earned  float64
}

// attempt is an attempt of a scheduler at a worker.
type attempt struct {
	worker     int
	generation int // the value of load.generations[worker] at its start
	request    string
	state      workerState
}

type workerState uint8

const (
	notAtWorker workerState = iota
	waiting
	running
)

// runEnd is the end of a run at a worker, kept until it is known which run's result was served.
type runEnd struct {
	request, result string
	done            bool
	work            int64
}

// process identifies a process of a scheduler.
type process struct{ scheduler, life int }

// calculator processes the events of a history.
type calculator struct {
	setup *history.Setup
	rep   Report

	classes, tenants        map[string]int
	classSetups             []history.Class
	workers, schedulers     map[string]int
	jobs                    []job
	byFirst                 map[string]int
	tries                   map[string]*try
	attempts                map[int64]*attempt
	attemptsOf              map[string]int
	runEnds                 []runEnd
	statuses, strangerKinds map[string]int
	late                    *histogram
	waits                   *histogram // of owned jobs
	load                    *loadTracker
	signalled               map[process]history.Kind // processes of schedulers that were sent SIGTERM or SIGKILL, and which of them first
	latestLife              []int                    // by scheduler: its latest process
	hasEnd                  bool
}

// Figures computes the figures of a history. Its events must be sorted by time, as they are after history.Read and
// history.Sort. The report of a history without a setup contains little more than its length.
func Figures(events []history.Event) Report {
	c := &calculator{
		setup: &history.Setup{}, classes: map[string]int{}, tenants: map[string]int{}, workers: map[string]int{},
		schedulers: map[string]int{}, byFirst: map[string]int{}, tries: map[string]*try{},
		attempts: map[int64]*attempt{}, attemptsOf: map[string]int{}, statuses: map[string]int{},
		strangerKinds: map[string]int{}, late: newHistogram(), waits: newHistogram(),
	}
	last := int64(0)
	for i := range events {
		last = max(last, events[i].T)
		if events[i].Kind == history.KindSetup && events[i].Setup != nil {
			c.setup = events[i].Setup
		}
	}
	c.initialize(last)
	for i := range events {
		c.handle(&events[i])
	}
	c.computeReport()
	return c.rep
}

func (c *calculator) initialize(last int64) {
	c.rep = Report{Scenario: c.setup.Scenario, Seed: c.setup.Seed, Length: c.setup.Length, End: last}
	c.rep.Parts.Weights = c.setup.Weights
	for _, class := range c.setup.Classes {
		c.classIndex(class.Name, class)
	}
	for _, tenant := range c.setup.Tenants {
		c.rep.Tenants[c.tenantIndex(tenant.Name)].Quota = tenant.Quota
	}
	for _, w := range c.setup.Workers {
		c.workers[w.Name] = len(c.rep.Workers)
		c.rep.Workers = append(c.rep.Workers, Worker{WorkerSetup: w})
	}
	for _, s := range c.setup.Schedulers {
		c.schedulers[s.Name] = len(c.rep.Schedulers)
		c.rep.Schedulers = append(c.rep.Schedulers, Scheduler{SchedulerSetup: s})
	}
	c.signalled, c.latestLife = map[process]history.Kind{}, make([]int, len(c.rep.Schedulers))
	c.rep.LoadStep = chooseStep(last, second/4)
	c.load = newLoadTracker(len(c.rep.Workers), c.rep.LoadStep, last)
}

// classIndex and tenantIndex return the index for a name; a name that the setup does not have is added.
func (c *calculator) classIndex(name string, of history.Class) int {
	i, ok := c.classes[name]
	if !ok {
		i = len(c.rep.Classes)
		c.classes[name] = i
		c.classSetups = append(c.classSetups, of)
		c.rep.Classes = append(c.rep.Classes, Group{Name: name, Class: of})
	}
	return i
}

func (c *calculator) tenantIndex(name string) int {
	i, ok := c.tenants[name]
	if !ok {
		i = len(c.rep.Tenants)
		c.tenants[name] = i
		c.rep.Tenants = append(c.rep.Tenants, Group{Name: name})
	}
	return i
}

func (c *calculator) handle(ev *history.Event) {
	t := &c.rep.Totals
	switch ev.Kind {
	case history.KindFault:
		c.rep.Faults = append(c.rep.Faults, Fault{Name: ev.Note, Worker: ev.Worker, Scheduler: ev.Scheduler,
			From: ev.From, Until: ev.Until})
	case history.KindStep:
		step := Step{Action: ev.Note, Scheduler: ev.Scheduler, Planned: ev.From, Due: ev.Until, Done: ev.T, Wait: ev.Limit, Cued: ev.On}
		c.rep.Steps = append(c.rep.Steps, step)
		c.rep.Harness.StepLateMax = max(c.rep.Harness.StepLateMax, ms(step.Late()))
	case history.KindHarnessPaused:
		c.rep.Stalls = append(c.rep.Stalls, Span{From: ev.From, Until: ev.Until})
		c.rep.Harness.Stalls++
		long := ms(max(0, ev.Until-ev.From))
		c.rep.Harness.StallTotal += long
		c.rep.Harness.StallLongest = max(c.rep.Harness.StallLongest, long)
	case history.KindEnd:
		c.hasEnd = true
		c.rep.Partial, c.rep.Note = ev.Partial, ev.Note

	case history.KindAsk:
		c.addRequest(ev)
	case history.KindSent, history.KindUnsent, history.KindAnswer, history.KindBroken, history.KindClientTimeout, history.KindSwitchedScheduler:
		if tr := c.tries[ev.Request]; tr != nil {
			c.updateTry(tr, ev)
		}
	case history.KindIDConflict:
		c.rep.Owned.IDConflicts++
		if ev.Status == 409 {
			c.rep.Owned.IDConflictsDetected++
		}
	case history.KindPause:
		if ev.On {
			c.rep.Owned.Pauses++
		}
	case history.KindLink:
		if ev.On && ev.Worker == "" && ev.Peer != history.Discovery {
			c.rep.Owned.LinkFaults++
		}
	case history.KindBadClient:
		c.rep.BadClients.Seen++
		if ev.Bytes != 0 {
			c.rep.BadClients.Ignored++
		}
		c.strangerKinds[ev.Note]++

	case history.KindAttempt, history.KindAttemptUndelivered:
		c.addAttempt(ev)
	case history.KindAttemptBegan:
		if a := c.attempts[ev.Attempt]; a != nil && a.state == waiting && c.load.isCurrent(a.worker, a.generation) {
			a.state = running
			c.load.change(a.worker, ev.T, -1, 0)
		}
	case history.KindAttemptOver:
		c.endRun(ev)
	case history.KindCallbackFailed:
		t.CallbacksFailed++
	case history.KindProbe:
		t.Probes++

	case history.KindCrash, history.KindMachineSilent, history.KindMachineUnresponsive, history.KindColdOverload, history.KindWorkerStop:
		if ev.Kind == history.KindColdOverload {
			t.ColdOverloads++
		}
		if i, ok := c.workers[ev.Worker]; ok {
			w := &c.rep.Workers[i]
			c.load.clear(i, ev.T)
			w.Draining = closeSpan(w.Draining, ev.T)
			w.Downs = openSpan(w.Downs, ev.T, string(ev.Kind))
		}
	case history.KindWorkerStart:
		if i, ok := c.workers[ev.Worker]; ok {
			w := &c.rep.Workers[i]
			c.load.clear(i, ev.T)
			w.Draining = closeSpan(w.Draining, ev.T)
			w.Downs = closeSpan(w.Downs, ev.T)
		}
	case history.KindDrain:
		if i, ok := c.workers[ev.Worker]; ok {
			c.rep.Workers[i].Draining = openSpan(c.rep.Workers[i].Draining, ev.T, "drain")
		}

	case history.KindStart, history.KindTerm, history.KindKill, history.KindExit:
		if i, ok := c.schedulers[ev.Scheduler]; ok {
			c.handleProcess(i, ev)
		}
	}
}

func (c *calculator) handleProcess(i int, ev *history.Event) {
	s, own := &c.rep.Schedulers[i], process{i, ev.Life}
	switch ev.Kind {
	case history.KindStart:
		s.Lives++
		s.Downs = closeSpan(s.Downs, ev.T)
		switch c.signalled[process{i, ev.Life - 1}] {
		case history.KindKill:
			c.rep.Totals.Kills++
		case history.KindTerm:
			c.rep.Totals.Restarts++
		}
		delete(c.signalled, own)
		c.latestLife[i] = ev.Life
	case history.KindTerm, history.KindKill:
		if c.signalled[own] == "" {
			c.signalled[own] = ev.Kind
		}
	case history.KindExit:
		what := "stopped"
		if c.signalled[own] == "" {
			s.Crashes++
			what = "crashed"
		}
		if ev.Life >= c.latestLife[i] { // otherwise the next process has started already
			s.Downs = openSpan(s.Downs, ev.T, what)
		}
	}
}

// openSpan starts a span unless one is open; closeSpan ends it. The Until of an open span is math.MaxInt64.
func openSpan(spans []Span, t int64, what string) []Span {
	if n := len(spans); n > 0 && spans[n-1].Until == math.MaxInt64 {
		return spans
	}
	return append(spans, Span{From: t, Until: math.MaxInt64, Kind: what})
}

func closeSpan(spans []Span, t int64) []Span {
	if n := len(spans); n > 0 && spans[n-1].Until == math.MaxInt64 {
		spans[n-1].Until = t
	}
	return spans
}

func (c *calculator) computeReport() {
	rep := &c.rep
	if !c.hasEnd {
		rep.Partial = true
		rep.Note = cmp.Or(rep.Note, "the history has no end")
	}
	for i := range rep.Workers {
		w := &rep.Workers[i]
		w.Downs, w.Draining = closeSpan(w.Downs, rep.End), closeSpan(w.Draining, rep.End)
		w.Queued, w.Held = c.load.means(i)
	}
	for i := range rep.Schedulers {
		rep.Schedulers[i].Downs = closeSpan(rep.Schedulers[i].Downs, rep.End)
	}
	rep.Harness.LateP50, rep.Harness.LateP99, rep.Harness.LateMax = c.late.percentile(50), c.late.percentile(99), ms(c.late.maximum)
	c.finishOwned()
	rep.BadClients.Kinds = counts(c.strangerKinds)
	rep.Totals.Statuses = counts(c.statuses)

	// Sort by intended send time, which differs from the order of the requests where the harness was late.
	slices.SortStableFunc(c.jobs, func(a, b job) int { return cmp.Compare(a.due, b.due) })
	c.markOverQuota()
	for i := range c.jobs {
		c.setOutcome(&c.jobs[i])
	}
	c.sumWork()
	c.computeGroups()
	c.computeMoments()
	c.computeService()
	rep.Recovery = c.computeRecovery()
}

// setOutcome determines the outcome of a job.
func (c *calculator) setOutcome(j *job) {
	cl := &c.classSetups[j.class]
	j.worth = seconds(j.work) * cl.Worth
	if j.overQuota {
		j.worth *= c.setup.Rules.OverShare
	}
	switch {
	case j.served != nil && j.served.endedAt <= j.aim:
		j.outcome, j.ended, j.earned = inTime, j.served.endedAt, j.worth
	case j.served != nil:
		j.outcome, j.ended, j.earned = late, j.served.endedAt, j.worth*cl.LateWorth
	case j.last.outcome == inTime:
		// A 200, but after the deadline: the client no longer waits for it.
		j.outcome, j.ended = unanswered, j.last.endedAt
	default:
		j.outcome, j.ended = j.last.outcome, j.last.endedAt
		if j.ended == 0 {
			j.ended = min(max(j.deadline, j.due), c.rep.End)
			if j.deadline > c.rep.End {
				c.rep.Totals.Open++
			}
		}
	}
}

// markOverQuota determines which jobs are beyond their tenant's quota. Each tenant has a token bucket that holds one
// second of its quota (at least one token), is full at first and refills at the rate of the quota. A job takes a token at its
// intended send time; if there is less than one, the job is beyond the quota and takes nothing. Retries take no tokens.
// A tenant without a quota has no limit.
func (c *calculator) markOverQuota() {
	type bucket struct {
		left float64
		at   int64
	}
	buckets := make([]bucket, len(c.rep.Tenants))
	for i := range buckets {
		buckets[i].left = max(1, c.rep.Tenants[i].Quota)
	}
	for i := range c.jobs {
		j := &c.jobs[i]
		quota := c.rep.Tenants[j.tenant].Quota
		if quota <= 0 {
			continue
		}
		b := &buckets[j.tenant]
		b.left = min(max(1, quota), b.left+quota*seconds(max(0, j.due-b.at)))
		b.at = max(b.at, j.due)
		// A rounding error in the last token must not put a job beyond the quota.
		if b.left < 1-1e-9 {
			j.overQuota = true
			continue
		}
		b.left--
	}
}

// sumWork adds up the work done at workers. Work is useful if the client was served within the deadline with the result
// of exactly this run.
func (c *calculator) sumWork() {
	good := make(map[string]string, len(c.jobs))
	for i := range c.jobs {
		if j := &c.jobs[i]; j.served != nil {
			good[j.served.request] = j.served.result
		}
	}
	t := &c.rep.Totals
	for _, o := range c.runEnds {
		t.WorkDone += seconds(o.work)
		if result, ok := good[o.request]; ok && o.done && result == o.result {
			delete(good, o.request)
			continue
		}
		t.WorkWasted += seconds(o.work)
	}
	for i := range c.jobs {
		t.WorkAsked += seconds(c.jobs[i].work)
	}
}
