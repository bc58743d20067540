package judge

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"laddertide/core/history"
)

// update is one update about a worker as a process received it.
type update struct {
	notified int64 // from when on the process counts as notified
	earliest int64 // the earliest time at which the process may have received it
	index    uint64
	life     int
	serving  bool
	absent   bool // the worker was missing from a full list
	source   history.Kind
}

// drainWindow is a time in which a process knew that a worker was draining or gone.
type drainWindow struct{ notified, lifted int64 }

// knowledge is everything that a process could learn from discovery about one worker.
type knowledge struct {
	updates []update
	windows []drainWindow
}

// gatherUpdates collects the updates that each process was sent, by worker.
func (c *checker) gatherUpdates() map[life]map[string][]update {
	out := make(map[life]map[string][]update)
	for l, p := range c.processes {
		if p.start != never {
			c.addUpdates(out, l, p.startList, update{notified: p.start, earliest: p.start, source: history.KindStart}, false)
		}
	}
	for l, list := range c.wroteEvents {
		for _, i := range list {
			ev := &c.events[i]
			notified := ev.T
			if slices.ContainsFunc(c.discoveryFaults[l.name], func(s span) bool { return s.from <= notified && notified <= s.until }) {
				notified = never // it may be delayed or lost: then what the agent holds counts
			}
			c.addUpdates(out, l, ev.Entries, update{notified: notified, earliest: ev.T, index: ev.Index, source: history.KindDiscoveryWritten}, ev.Full)
		}
	}
	return out
}

// gatherHeld collects what the discovery agent of each scheduler held, by worker.
func (c *checker) gatherHeld() map[life]map[string][]update {
	out := make(map[life]map[string][]update)
	for name, list := range c.heldEvents {
		for _, i := range list {
			ev := &c.events[i]
			c.addUpdates(out, life{name, 0}, ev.Entries,
				update{notified: ev.T, earliest: ev.T, index: ev.Index, source: history.KindDiscoveryHeld}, ev.Full)
		}
	}
	return out
}

func (c *checker) addUpdates(out map[life]map[string][]update, l life, entries []history.Entry, it update, full bool) {
	byWorker := out[l]
	if byWorker == nil {
		byWorker = make(map[string][]update)
		out[l] = byWorker
	}
	var present map[string]bool
	if full {
		present = make(map[string]bool, len(entries))
	}
	for _, e := range entries {
		it.life, it.serving = e.Life, e.Status == history.Serving
		byWorker[e.Worker] = append(byWorker[e.Worker], it)
		if full {
			present[e.Worker] = true
		}
	}
	if !full {
		return
	}
	it.life, it.serving, it.absent = 0, false, true
	for _, w := range c.known {
		if !present[w] {
			byWorker[w] = append(byWorker[w], it)
		}
	}
}

// combineUpdates combines the updates about a worker that a process was sent with those that its agent held.
func (c *checker) combineUpdates(p *process, sent, fromAgent []update) *knowledge {
	n := &knowledge{updates: slices.Clone(sent)}
	for _, it := range fromAgent {
		it.notified = c.notifiedAt(p, it.earliest)
		n.updates = append(n.updates, it)
	}
	var drains, servings []update
	for _, it := range n.updates {
		if it.serving {
			servings = append(servings, it)
		} else {
			drains = append(drains, it)
		}
	}
	if len(drains) == 0 {
		return n
	}
	byIndex := newEarliestByRank(servings, func(it update) uint64 { return it.index })
	byLife := newEarliestByRank(servings, func(it update) uint64 { return uint64(max(0, it.life)) })
	slices.SortStableFunc(servings, func(a, b update) int { return cmp.Compare(a.earliest, b.earliest) })
	slices.SortStableFunc(drains, func(a, b update) int { return cmp.Compare(a.notified, b.notified) })
	for _, d := range drains {
		w := drainWindow{notified: d.notified, lifted: never}
		if d.index > 0 {
			w.lifted = byIndex.above(d.index)
		}
		if !d.absent {
			w.lifted = min(w.lifted, byLife.above(uint64(max(0, d.life))))
		}
		// A later update that was written to the process counts whatever its index: it may come from another agent, which
		// lags behind. So does one that only an agent held, if there is no index to tell which is newer, as for a start list.
		since := d.notified
		if d.index == 0 {
			since = d.earliest
		}
		at := sort.Search(len(servings), func(i int) bool { return servings[i].earliest >= since })
		for _, s := range servings[at:] {
			if s.earliest >= w.lifted {
				break
			}
			applies := s.source == history.KindDiscoveryWritten || d.index == 0 || s.index == 0
			if applies && (d.absent || s.life >= d.life) {
				w.lifted = s.earliest
				break
			}
		}
		if w.lifted <= w.notified {
			continue
		}
		// Repetitions of the same state, as in full lists, add nothing.
		if k := len(n.windows); k > 0 && n.windows[k-1].lifted == w.lifted {
			continue
		}
		n.windows = append(n.windows, w)
	}
	return n
}

// notifiedAt is the time from which a process counts as notified of what its agent has held since held.
func (c *checker) notifiedAt(p *process, held int64) int64 {
	from := held
	if p != nil && p.start != never {
		from = max(from, p.start)
	}
	notified := from + c.rules.NotifiedAfter
	if p != nil {
		for _, hup := range p.hups {
			if held <= hup {
				notified = min(notified, hup+c.rules.NotifiedAfterMove)
			}
		}
		for _, s := range c.discoveryFaults[p.name] { // a process that could not reach discovery has this long from the end of the failure
			switch {
			case s.from > notified || s.until < from:
			case s.until == never:
				return never
			default:
				notified = max(notified, s.until+c.rules.NotifiedAfter)
			}
		}
	}
	return notified
}

// earliestByRank finds the earliest of the updates whose rank is above a given one.
type earliestByRank struct {
	rank     []uint64 // ascending
	earliest []int64  // minimum over this and all higher ranks
}

func newEarliestByRank(items []update, rank func(update) uint64) earliestByRank {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b update) int { return cmp.Compare(rank(a), rank(b)) })
	l := earliestByRank{make([]uint64, len(sorted)), make([]int64, len(sorted))}
	soonest := int64(never)
	for i := len(sorted) - 1; i >= 0; i-- {
		soonest = min(soonest, sorted[i].earliest)
		l.rank[i], l.earliest[i] = rank(sorted[i]), soonest
	}
	return l
}

func (l earliestByRank) above(rank uint64) int64 {
	i := sort.Search(len(l.rank), func(i int) bool { return l.rank[i] > rank })
	if i == len(l.rank) {
		return never
	}
	return l.earliest[i]
}

// knowledgeOf returns everything that a process could learn from discovery about a worker.
func (c *checker) knowledgeOf(l life, worker string) *knowledge {
	if c.sentUpdates == nil {
		c.sentUpdates, c.agentUpdates = c.gatherUpdates(), c.gatherHeld()
	}
	key := observer{l, worker}
	n, ok := c.knowledgeCache[key]
	if !ok {
		n = c.combineUpdates(c.processes[l], c.sentUpdates[l][worker], c.agentUpdates[life{l.name, 0}][worker])
		c.knowledgeCache[key] = n
	}
	return n
}

// observer is a process and a worker that it follows.
type observer struct {
	life
	worker string
}

// judgeDrains finds attempts that were sent to a worker longer than allowed after the scheduler was notified that the
// worker was draining or gone.
func (c *checker) judgeDrains() {
	for i := range c.attempts {
		a := &c.attempts[i]
		ev := &c.events[a.event]
		from, arrived := c.earliestSent(a), c.arrival(a) // an attempt that a relay delayed was sent at some time between the two
		l := c.sender(a)
		for _, w := range c.knowledgeOf(l, ev.Worker).windows {
			if w.notified > from {
				break
			}
			if w.lifted <= c.latestRecorded(arrived) || c.clock.between(w.notified, from) <= c.rules.Drain+c.rules.Slack {
				continue
			}
			c.addBreach(Breach{Rule: Drains, Kind: SentAfterDrain, T: from, Scheduler: ev.Scheduler, Worker: ev.Worker,
				Request: ev.Request, Attempt: ev.Attempt,
				Text: fmt.Sprintf("Request %q was sent to %s %s after %s had been told that it drains or is gone; %s are allowed.",
					ev.Request, ev.Worker, seconds(from-w.notified), ev.Scheduler, seconds(c.rules.Drain))})
			break
		}
	}
}

// judgeOverloads finds workers that failed mostly from the work of schedulers that knew that they had just started.
func (c *checker) judgeOverloads() {
	if len(c.overloads) == 0 {
		return
	}
	fell := make(map[life]bool)
	for _, i := range c.overloads {
		fell[life{c.events[i].Worker, c.events[i].Life}] = true
	}
	byWorker := make(map[life][]int32)
	for i := range c.attempts {
		a := &c.attempts[i]
		ev := &c.events[a.event]
		l := life{ev.Worker, ev.Life}
		if fell[l] && !a.undelivered {
			byWorker[l] = append(byWorker[l], int32(i))
		}
	}
	for _, i := range c.overloads {
		ev := &c.events[i]
		l := life{ev.Worker, ev.Life}
		c.judgeOverload(l, ev, byWorker[l])
		delete(byWorker, l) // A process fails once.
	}
}

// sentTooFast reports whether a process that failed was sent more work than it can take within a window, even if all the time for
// which the kit was stalled is added to the time that the sending took: what was sent during a stall arrived all at once. attempts
// are in order of arrival.
func (c *checker) sentTooFast(fell *history.Event, attempts []int32) bool {
	var sent int64
	for i := len(attempts) - 1; i >= 0; i-- {
		ev := &c.events[c.attempts[attempts[i]].event]
		if ev.T > c.latestRecorded(fell.T) {
			continue
		}
		sent += workOf(ev)
		if sent <= fell.Budget {
			continue
		}
		asleep := c.clock.stalled(fell.T) - c.clock.stalled(ev.T-c.rules.FallWindow)
		return fell.T-ev.T+asleep < c.rules.FallWindow
	}
	return false
}

// workOf is the work that an attempt means for its worker.
func workOf(attempt *history.Event) int64 {
	if attempt.Cost > 0 {
		return attempt.Cost
	}
	return attempt.Work
}

func (c *checker) judgeOverload(l life, fell *history.Event, attempts []int32) {
	var all, informed int64
	by := make(map[string]int64)
	since := fell.T - c.rules.FallWindow
	for _, n := range attempts {
		a := &c.attempts[n]
		ev := &c.events[a.event]
		if ev.T <= since || ev.T > c.latestRecorded(fell.T) {
			continue
		}
		cost := workOf(ev)
		all += cost
		sender := c.sender(a)
		for _, it := range c.knowledgeOf(sender, l.name).updates {
			if it.serving && it.life == l.n && it.notified <= c.earliestSent(a) {
				informed += cost
				by[sender.name] += cost
				break
			}
		}
	}
	if asleep := c.clock.stalled(fell.T) - c.clock.stalled(since); asleep > 0 && !c.sentTooFast(fell, attempts) {
		c.note("Worker %s fell over as the kit had stood still for %s; nobody is blamed for it.", l.name, seconds(asleep))
		return
	}
	if all == 0 || 3*informed < 2*all {
		return
	}
	most := ""
	for name, cost := range by {
		if most == "" || cost > by[most] || cost == by[most] && name < most {
			most = name
		}
	}
	c.addBreach(Breach{Rule: Cold, Kind: ColdOverload, T: fell.T, Scheduler: most, Worker: l.name,
		Text: fmt.Sprintf("Worker %s fell over: within %s it was sent work of %s and could bear %s; %.0f%% came from "+
			"schedulers that knew it to be cold, most from %s.", l.name, seconds(c.rules.FallWindow), seconds(fell.Work),
			seconds(fell.Budget), 100*float64(informed)/float64(all), most)})
}
