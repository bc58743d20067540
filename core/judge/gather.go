package judge

import (
	"cmp"
	"slices"

	"laddertide/core/history"
)

// life identifies one process of a scheduler or a worker.
type life struct {
	name string
	n    int
}

// pair is a worker and a scheduler.
type pair struct{ worker, scheduler string }

// process is one process of a scheduler. Times of events that did not happen are never.
type process struct {
	life
	start, ready, term, kill, exit int64
	hups                           []int64
	startList                      []history.Entry // its initial list of workers
	code                           int
	lastOutput                     string
	unanswered                     int // requests that its crash left unanswered
	crossings                      []crossing
}

// crossing is a request that a close appears to have crossed while the process was not stopping.
type crossing struct {
	r       *request
	sending int
	t       int64
}

// outcome is how a process ended, as far as answers are concerned.
type outcome uint8

const (
	stillRunning outcome = iota
	killed               // by the kit, without SIGTERM in time
	stopped              // after SIGTERM, on its own or by the SIGKILL that was due
	crashed
)

// request collects all events of one request. The slices hold indices into events, try into attempts.
type request struct {
	id                                              string
	ask                                             int32 // -1: none
	sent, answers, broken, gaveUp, unsent, attempts []int32
	switched                                        []int32
}

// attempt collects all events of one attempt.
type attempt struct {
	event        int32 // its attempt or void event
	request      int32 // -1: its id is unknown
	overEvent    int32 // -1: none
	givenUp      int64
	accepted     int64
	acknowledged int64 // when its scheduler acknowledged the report that it is done; never if it did not
	undelivered  bool
	ran          bool
	refused      bool
}

// checker holds a history indexed for judging.
type checker struct {
	events  []history.Event
	rules   history.Rules
	classes map[string]*history.Class
	durable map[string]bool // classes whose jobs outlive their scheduler's process
	clock   clock
	end     int64
	partial bool

	requests         []request
	byID             map[string]int32
	attempts         []attempt
	byNumber         map[int64]int32
	processes        map[life]*process
	sorted           []*process            // by name and life
	lives            map[string][]*process // the same, by name
	deaths           map[life]int64        // of workers' processes
	cuts             map[pair][]span
	known            []string // workers
	heldEvents       map[string][]int32
	wroteEvents      map[life][]int32
	overloads        []int32
	badClients       []int32
	operatorRequests []int32         // bans and their lifting
	bans             map[pair][]span // in which a worker was banned by an operator at one scheduler
	settingsChanges  map[string][]settingsChange
	badClientIDs     map[string][]int32 // ids that misbehaving clients sent
	pauses           map[string][]span  // of schedulers' processes
	anyLinkFault     []span             // in which any link between schedulers failed
	relayFaults      map[pair][]span    // in which a relay between a worker and a scheduler failed
	discoveryFaults  map[string][]span  // in which a scheduler's link to discovery failed
	linkFaults       map[pair][]span    // the same by link; the first sends to the second
	idConflicts      []int32            // requests that sent something else under a known id
	views            []int32            // in order of time

	breaches        []Breach
	notes           []string
	missing         int
	crossedByClose  int
	excusedByKill   int
	excusedByPause  int
	excusedByStall  int
	leftEarly       int
	excusedNotReady int
	excusedByOwner  int
	twoResults      int
	inProgress      int
	resultOwners    map[string]string // request ids by result; built on first use

	sentUpdates    map[life]map[string][]update // by process and worker; built on first use
	agentUpdates   map[life]map[string][]update // by scheduler and worker; built on first use
	knowledgeCache map[observer]*knowledge
}

func isAttempt(ev *history.Event) bool {
	return ev.Kind == history.KindAttempt || ev.Kind == history.KindAttemptUndelivered
}

func gather(events []history.Event) *checker {
	for i := 1; i < len(events); i++ {
		if events[i].T < events[i-1].T {
			events = slices.Clone(events)
			history.Sort(events)
			break
		}
	}
	c := &checker{
		events: events, rules: history.FleetRules(), partial: true,
		classes: make(map[string]*history.Class), durable: make(map[string]bool), byID: make(map[string]int32), byNumber: make(map[int64]int32),
		processes: make(map[life]*process), lives: make(map[string][]*process), deaths: make(map[life]int64),
		cuts: make(map[pair][]span), heldEvents: make(map[string][]int32), wroteEvents: make(map[life][]int32),
		bans: make(map[pair][]span), settingsChanges: make(map[string][]settingsChange),
		badClientIDs: make(map[string][]int32), relayFaults: make(map[pair][]span), discoveryFaults: make(map[string][]span), knowledgeCache: make(map[observer]*knowledge), pauses: make(map[string][]span),
		linkFaults: make(map[pair][]span),
	}
	failing := make(map[pair]bool)
	// Collect the attempts first: their later events may have been recorded before them (see attach).
	var stalls []span
	workers := make(map[string]bool)
	hasSetup := false
	for i := range events {
		ev := &events[i]
		c.end = max(c.end, ev.T)
		switch ev.Kind {
		case history.KindSetup:
			if ev.Setup == nil {
				continue
			}
			hasSetup = true
			c.rules = ev.Setup.Rules
			for k := range ev.Setup.Classes {
				c.classes[ev.Setup.Classes[k].Name] = &ev.Setup.Classes[k]
			}
			for _, name := range ev.Setup.Durable {
				c.durable[name] = true
			}
			for _, w := range ev.Setup.Workers {
				workers[w.Name] = true
			}
		case history.KindEnd:
			c.partial = ev.Partial
		case history.KindHarnessPaused:
			stalls = append(stalls, span{ev.From, ev.Until})
		case history.KindAsk:
			if r := c.request(ev.Request); r.ask < 0 {
				r.ask = int32(i)
			}
		case history.KindSent:
			r := c.request(ev.Request)
			r.sent = append(r.sent, int32(i))
		case history.KindAnswer:
			r := c.request(ev.Request)
			r.answers = append(r.answers, int32(i))
		case history.KindBroken:
			r := c.request(ev.Request)
			r.broken = append(r.broken, int32(i))
		case history.KindClientTimeout:
			r := c.request(ev.Request)
			r.gaveUp = append(r.gaveUp, int32(i))
		case history.KindUnsent:
			r := c.request(ev.Request)
			r.unsent = append(r.unsent, int32(i))
		case history.KindSwitchedScheduler:
			r := c.request(ev.Request)
			r.switched = append(r.switched, int32(i))
		case history.KindIDConflict:
			c.idConflicts = append(c.idConflicts, int32(i))
		case history.KindBadClient:
			c.badClients = append(c.badClients, int32(i))
			if ev.Request != "" {
				c.badClientIDs[ev.Request] = append(c.badClientIDs[ev.Request], int32(i))
			}
		case history.KindAttempt, history.KindAttemptUndelivered:
			if _, twice := c.byNumber[ev.Attempt]; !twice {
				c.byNumber[ev.Attempt] = int32(len(c.attempts))
			}
			c.attempts = append(c.attempts, attempt{event: int32(i), request: -1, overEvent: -1, givenUp: never, accepted: never, acknowledged: never,
				undelivered: ev.Kind == history.KindAttemptUndelivered, refused: ev.Note != ""})
		case history.KindStart:
			p := c.process(life{ev.Scheduler, ev.Life})
			p.start, p.startList = min(p.start, ev.T), ev.Entries
		case history.KindReady:
			p := c.process(life{ev.Scheduler, ev.Life})
			p.ready = min(p.ready, ev.T)
		case history.KindTerm:
			p := c.process(life{ev.Scheduler, ev.Life})
			p.term = min(p.term, ev.T)
		case history.KindKill:
			p := c.process(life{ev.Scheduler, ev.Life})
			p.kill = min(p.kill, ev.T)
		case history.KindHup:
			p := c.process(life{ev.Scheduler, ev.Life})
			p.hups = append(p.hups, ev.T)
		case history.KindExit:
			if p := c.process(life{ev.Scheduler, ev.Life}); ev.T < p.exit {
				p.exit, p.code, p.lastOutput = ev.T, ev.Code, ev.Note
			}
		case history.KindCrash, history.KindMachineSilent, history.KindMachineUnresponsive, history.KindColdOverload, history.KindWorkerStop:
			w := life{ev.Worker, ev.Life}
			if t, dead := c.deaths[w]; !dead || ev.T < t {
				c.deaths[w] = ev.T
			}
			if ev.Kind == history.KindColdOverload {
				c.overloads = append(c.overloads, int32(i))
			}
		case history.KindWorkerStart:
			// A process that has a successor is dead, even if its death was not observed.
			w := life{ev.Worker, ev.Life - 1}
			if t, dead := c.deaths[w]; !dead || ev.T < t {
				c.deaths[w] = ev.T
			}
		case history.KindOperatorChange:
			c.addOperatorRequest(int32(i))
		case history.KindView:
			if ev.View != nil {
				c.views = append(c.views, int32(i))
			}
		case history.KindPause:
			c.pauses[ev.Scheduler] = toggleSpan(c.pauses[ev.Scheduler], ev.On, ev.T)
		case history.KindLink:
			if ev.Worker != "" {
				c.cut(ev)
				p := pair{ev.Worker, ev.Scheduler}
				c.relayFaults[p] = toggleSpan(c.relayFaults[p], ev.On, ev.T)
				continue
			}
			if ev.Peer == history.Discovery {
				c.discoveryFaults[ev.Scheduler] = toggleSpan(c.discoveryFaults[ev.Scheduler], ev.On, ev.T)
				continue
			}
			if ev.On {
				failing[pair{ev.Scheduler, ev.Peer}] = true
			} else {
				delete(failing, pair{ev.Scheduler, ev.Peer})
			}
			c.linkFaults[pair{ev.Scheduler, ev.Peer}] = toggleSpan(c.linkFaults[pair{ev.Scheduler, ev.Peer}], ev.On, ev.T)
			c.anyLinkFault = toggleSpan(c.anyLinkFault, len(failing) > 0, ev.T)
		case history.KindSettingsChange:
			c.addSettingsChange(ev)
		case history.KindNetworkCut:
			c.cut(ev)
		case history.KindDiscoveryHeld:
			c.heldEvents[ev.Scheduler] = append(c.heldEvents[ev.Scheduler], int32(i))
		case history.KindDiscoveryWritten:
			p := life{ev.Scheduler, ev.Life}
			c.wroteEvents[p] = append(c.wroteEvents[p], int32(i))
		}
		for k := range ev.Entries {
			workers[ev.Entries[k].Worker] = true
		}
	}
	if !hasSetup {
		c.note("The history has no setup; the usual figures were taken, and no class is known.")
	}
	for w := range workers {
		c.known = append(c.known, w)
	}
	slices.Sort(c.known)
	c.clock = newClock(stalls)
	c.attach()
	return c
}

// attach assigns events to their attempts and attempts to their requests, and sorts everything.
func (c *checker) attach() {
	for i := range c.events {
		ev := &c.events[i]
		switch ev.Kind {
		case history.KindAttemptAccepted, history.KindAttemptBegan, history.KindAttemptOver, history.KindAttemptCancelled, history.KindCallbackDelivered:
		default:
			continue
		}
		n, ok := c.byNumber[ev.Attempt]
		if !ok {
			continue
		}
		a := &c.attempts[n]
		switch ev.Kind {
		case history.KindAttemptAccepted:
			a.accepted = min(a.accepted, ev.T)
		case history.KindAttemptBegan:
			a.ran = true
		case history.KindAttemptCancelled:
			a.givenUp = min(a.givenUp, ev.T)
		case history.KindCallbackDelivered:
			if ev.State == history.StateDone {
				a.acknowledged = min(a.acknowledged, ev.T)
			}
		case history.KindAttemptOver:
			if a.overEvent < 0 || ev.T < c.events[a.overEvent].T {
				a.overEvent = int32(i)
			}
			a.ran = a.ran || ev.Ran
			a.refused = a.refused || ev.State == history.StateRefused
		}
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		if r, ok := c.byID[c.events[a.event].Request]; ok {
			a.request = r
			c.requests[r].attempts = append(c.requests[r].attempts, int32(i))
		}
	}
	byTime := func(x, y int32) int { return cmp.Compare(c.events[x].T, c.events[y].T) }
	bySending := func(x, y int32) int {
		a, b := &c.events[x], &c.events[y]
		if a.Again != b.Again { // A resend comes after the first sending, whatever the recorded times are.
			return cmp.Compare(btoi(a.Again), btoi(b.Again))
		}
		return cmp.Compare(a.T, b.T)
	}
	for i := range c.requests {
		r := &c.requests[i]
		slices.SortStableFunc(r.sent, bySending)
		for _, list := range [][]int32{r.answers, r.broken, r.gaveUp, r.unsent, r.switched} {
			if len(list) > 1 {
				slices.SortStableFunc(list, byTime)
			}
		}
		if len(r.attempts) > 1 {
			slices.SortStableFunc(r.attempts, func(x, y int32) int {
				return cmp.Compare(c.arrival(&c.attempts[x]), c.arrival(&c.attempts[y]))
			})
		}
	}
	for _, list := range c.heldEvents {
		slices.SortStableFunc(list, byTime)
	}
	for _, list := range c.wroteEvents {
		slices.SortStableFunc(list, byTime)
	}
	for _, p := range c.processes {
		c.sorted = append(c.sorted, p)
	}
	slices.SortFunc(c.sorted, func(a, b *process) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.n, b.n))
	})
	for _, p := range c.sorted {
		c.lives[p.name] = append(c.lives[p.name], p)
	}
}

func (c *checker) request(id string) *request {
	n, ok := c.byID[id]
	if !ok {
		n = int32(len(c.requests))
		c.byID[id] = n
		c.requests = append(c.requests, request{id: id, ask: -1})
	}
	return &c.requests[n]
}

func (c *checker) process(l life) *process {
	p, ok := c.processes[l]
	if !ok {
		p = &process{life: l, start: never, ready: never, term: never, kill: never, exit: never}
		c.processes[l] = p
	}
	return p
}

// cut records when the network between a worker and a scheduler is cut.
func (c *checker) cut(ev *history.Event) {
	p := pair{ev.Worker, ev.Scheduler}
	c.cuts[p] = toggleSpan(c.cuts[p], ev.On, ev.T)
}

// toggleSpan returns a list of time spans in which a state was on, updated with the state being on or off from t.
func toggleSpan(list []span, on bool, t int64) []span {
	n := len(list)
	open := n > 0 && list[n-1].until == never
	switch {
	case on && !open:
		return append(list, span{t, never})
	case !on && open:
		list[n-1].until = t
	}
	return list
}

// arrival is the time at which the first byte of an attempt arrived.
func (c *checker) arrival(a *attempt) int64 {
	ev := &c.events[a.event]
	if ev.From == 0 {
		return ev.T
	}
	return min(ev.From, ev.T)
}

// earliestSent is the earliest time at which an attempt may have been sent: a failing relay can delay its arrival by long.
func (c *checker) earliestSent(a *attempt) int64 {
	ev, from := &c.events[a.event], c.arrival(a)
	for _, s := range c.relayFaults[pair{ev.Worker, ev.Scheduler}] {
		if s.from <= from && (s.until == never || from <= c.latestRecorded(s.until)) {
			return s.from
		}
	}
	return from
}

// class returns the settings of a request's class; nil if they are unknown.
func (c *checker) class(r *request) *history.Class {
	if r.ask < 0 {
		return nil
	}
	class := c.classes[c.events[r.ask].Class]
	if t, sure := c.settingsFor(r); sure && class != nil && t.class == class.Name && t.repeat != "" {
		as := *class
		as.Repeat = t.repeat
		return &as
	}
	return class
}

// repeat returns how often a request may run.
func (c *checker) repeat(r *request) history.Repeat {
	if class := c.class(r); class != nil {
		return class.Repeat
	}
	return history.ReadLike
}

// sender is the process that made an attempt: the last one to which the request had been sent by then. If the job is
// durable or the request is unknown, it is the process that ran at the time.
func (c *checker) sender(a *attempt) life {
	ev := &c.events[a.event]
	at := c.arrival(a)
	if a.request >= 0 && !c.outlivesProcess(&c.requests[a.request]) {
		found := life{}
		for _, i := range c.requests[a.request].sent {
			if s := &c.events[i]; s.Scheduler == ev.Scheduler && (found.name == "" || s.T <= at+c.rules.Slack) {
				found = life{s.Scheduler, s.Life}
			}
		}
		if found.name != "" {
			return found
		}
	}
	return c.processAt(ev.Scheduler, at)
}

// processAt is the process of a scheduler that was the last to start by t; the first one if none had.
func (c *checker) processAt(name string, t int64) life {
	found := life{name, 0}
	for _, p := range c.lives[name] {
		if found.n == 0 || p.start <= t {
			found = p.life
		}
	}
	return found
}

// latestRecorded is the latest recorded time that an event which happened by t may have.
func (c *checker) latestRecorded(t int64) int64 {
	return c.clock.after(t, c.rules.Slack)
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}
