package world

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"laddertide/core/history"
)

// maxLogEntries is the number of entries of past batches kept for Since; the latest batch is always kept.
const maxLogEntries = 1 << 14

// RosterSpec configures the delays of discovery. Each is drawn uniformly from its range, both ends included.
type RosterSpec struct {
	Schedulers int

	DetectionTime       [2]Time // detection time of a process that drains or died
	SilentDetectionTime [2]Time // the same for a machine that went silent
	StartDetectionTime  [2]Time // the same for a process that started
	BatchInterval       [2]Time // interval between batches of changes; drawn once; 0: each change is published at once
	ArrivalDelay        [2]Time // delay until a scheduler's agent receives a batch; batches keep their order
}

// Push is the arrival of a batch of changes at a scheduler's agent. The roster owns the entries: don't modify them.
type Push struct {
	At        Time
	Scheduler int
	Index     uint64
	Entries   []history.Entry
}

// Roster simulates discovery: its list of workers, and the copy at each scheduler's agent. A change is detected after a
// delay, becomes ready for publication then (or later, by the lag in force at that time), is published to all with the
// next batch, and arrives at each scheduler's agent after a further delay. Each call first processes all events up to and
// including its time. It is not safe for concurrent use.
//
// It stores the list once for itself and once for each scheduler, the changes that are still under way, and a log of
// 16,384 entries.
type Roster struct {
	spec                   RosterSpec
	noticeRand, spreadRand *rand.Rand
	period, phase          Time

	now, lag   Time
	seq        uint64
	undetected changeHeap // not yet detected, by time of detection
	ready      changeHeap // not yet published, by earliest time of publication

	index      uint64
	published  map[string]change // the latest published change of each worker
	log        []batch           // the latest batches, in order
	logEntries int               // number of entries in log

	agents []agent
}

type change struct {
	at    Time
	seq   uint64
	entry history.Entry
}

type batch struct {
	index   uint64
	entries []history.Entry
}

type agent struct {
	index   uint64
	list    []history.Entry // without deleted entries, sorted by name
	pending []Push          // in order of Index and of At
}

// NewRoster returns a roster in which all agents have the initial list, as version 1.
func NewRoster(spec RosterSpec, seed uint64, initial []history.Entry) *Roster {
	r := &Roster{spec: spec, noticeRand: rand.New(rand.NewPCG(seed, 0x6e6f74696365)),
		spreadRand: rand.New(rand.NewPCG(seed, 0x737072656164)), index: 1, published: map[string]change{},
		agents: make([]agent, max(spec.Schedulers, 0))}
	r.period = drawTime(r.spreadRand, spec.BatchInterval)
	if r.period > 0 {
		r.phase = Time(r.spreadRand.Int64N(int64(r.period)))
	}
	var list []history.Entry
	for _, e := range initial {
		list = apply(list, e)
		r.published[e.Worker] = change{entry: e}
	}
	for i := range r.agents {
		r.agents[i] = agent{index: 1, list: slices.Clone(list)}
	}
	return r
}

func drawTime(r *rand.Rand, span [2]Time) Time {
	low, high := max(span[0], 0), max(span[1], 0)
	if high <= low {
		return low
	}
	return low + Time(r.Int64N(int64(high-low)+1))
}

// apply applies an entry to a list that is sorted by name and contains no deleted entries.
func apply(list []history.Entry, e history.Entry) []history.Entry {
	i, found := slices.BinarySearchFunc(list, e.Worker, func(a history.Entry, name string) int {
		return strings.Compare(a.Worker, name)
	})
	switch {
	case e.Status == history.Deleted && found:
		return slices.Delete(list, i, i+1)
	case e.Status == history.Deleted:
		return list
	case found:
		list[i] = e
		return list
	}
	return slices.Insert(list, i, e)
}

// SetState sets the actual state of a worker from now on; silent means that its machine sends no notification. A change is
// dropped if a later change of the same worker is published first.
func (r *Roster) SetState(now Time, entry history.Entry, silent bool) {
	r.process(now)
	span := r.spec.DetectionTime
	switch {
	case entry.Status == history.Serving:
		span = r.spec.StartDetectionTime
	case silent:
		span = r.spec.SilentDetectionTime
	}
	r.seq++
	r.undetected.push(change{r.now + drawTime(r.noticeRand, span), r.seq, entry})
}

// SetLag delays the publication of all changes detected from now on; 0 ends it. Changes detected before are not affected.
func (r *Roster) SetLag(now Time, extra Time) {
	r.process(now)
	r.lag = max(extra, 0)
}

// Next returns the time of the next event without a further call, which need not be a push; false if there is none.
func (r *Roster) Next() (Time, bool) {
	at := never
	if len(r.undetected) > 0 {
		at = r.undetected[0].at
	}
	if len(r.ready) > 0 {
		at = min(at, r.nextBatch())
	}
	for i := range r.agents {
		if p := r.agents[i].pending; len(p) > 0 {
			at = min(at, p[0].At)
		}
	}
	return at, at != never
}

// Advance processes all events up to and including now and returns the pushes that arrived since the last call, ordered
// by time, then by scheduler.
func (r *Roster) Advance(now Time) []Push {
	r.process(now)
	var out []Push
	for i := range r.agents {
		a := &r.agents[i]
		n := 0
		for n < len(a.pending) && a.pending[n].At <= r.now {
			n++
		}
		if n == 0 {
			continue
		}
		for _, p := range a.pending[:n] {
			for _, e := range p.Entries {
				a.list = apply(a.list, e)
			}
			a.index = p.Index
		}
		out = append(out, a.pending[:n]...)
		a.pending = slices.Delete(a.pending, 0, n)
	}
	slices.SortStableFunc(out, func(a, b Push) int { return cmp.Compare(a.At, b.At) })
	return out
}

// List returns the full list of a scheduler's agent as of the latest Advance, sorted by name. For an unknown scheduler
// it is empty.
func (r *Roster) List(scheduler int) (index uint64, entries []history.Entry) {
	if scheduler < 0 || scheduler >= len(r.agents) {
		return 0, nil
	}
	a := &r.agents[scheduler]
	return a.index, slices.Clone(a.list)
}

// Since returns the changes at a scheduler's agent after a version: the latest entry of each worker that changed, sorted
// by name; or the full list if the log no longer reaches back to that version, or the agent never had it.
func (r *Roster) Since(scheduler int, after uint64) (index uint64, full bool, entries []history.Entry) {
	if scheduler < 0 || scheduler >= len(r.agents) {
		return 0, true, nil
	}
	a := &r.agents[scheduler]
	oldest := r.index // the oldest version after which all changes are in the log
	if len(r.log) > 0 {
		oldest = r.log[0].index - 1
	}
	if after == 0 || after > a.index || (after < oldest && after != a.index) {
		index, entries = r.List(scheduler)
		return index, true, entries
	}
	for _, b := range r.log {
		if b.index > after && b.index <= a.index {
			entries = append(entries, b.entries...)
		}
	}
	return a.index, false, latestPerWorker(entries)
}

// latestPerWorker sorts entries by name and keeps the last of each worker.
func latestPerWorker(entries []history.Entry) []history.Entry {
	slices.SortStableFunc(entries, func(a, b history.Entry) int { return strings.Compare(a.Worker, b.Worker) })
	kept := entries[:0]
	for i, e := range entries {
		if i+1 == len(entries) || entries[i+1].Worker != e.Worker {
			kept = append(kept, e)
		}
	}
	return kept
}

// process handles all events up to now except arrivals, which are left to Advance.
func (r *Roster) process(now Time) {
	r.now = max(r.now, now)
	for {
		detectAt, publishAt := never, never
		if len(r.undetected) > 0 {
			detectAt = r.undetected[0].at
		}
		if len(r.ready) > 0 {
			publishAt = r.nextBatch()
		}
		switch {
		case min(detectAt, publishAt) > r.now:
			return
		case detectAt <= publishAt:
			n := r.undetected.pop()
			n.at += r.lag
			r.ready.push(n)
		default:
			r.publish(publishAt)
		}
	}
}

// nextBatch returns the time at which the next batch is published.
func (r *Roster) nextBatch() Time {
	at := r.ready[0].at
	if r.period <= 0 {
		return at
	}
	if at <= r.phase {
		return r.phase
	}
	return r.phase + (at-r.phase+r.period-1)/r.period*r.period
}

// publish publishes all changes that are ready.
func (r *Roster) publish(at Time) {
	var entries []history.Entry
	for len(r.ready) > 0 && r.ready[0].at <= at {
		n := r.ready.pop()
		old, known := r.published[n.entry.Worker]
		if n.seq < old.seq {
			continue
		}
		r.published[n.entry.Worker] = n
		if known && old.entry == n.entry {
			continue
		}
		entries = append(entries, n.entry)
	}
	if len(entries) == 0 {
		return
	}
	entries = latestPerWorker(entries)
	r.index++
	r.log = append(r.log, batch{r.index, entries})
	r.logEntries += len(entries)
	old := 0
	for old < len(r.log)-1 && r.logEntries > maxLogEntries {
		r.logEntries -= len(r.log[old].entries)
		old++
	}
	r.log = slices.Delete(r.log, 0, old)
	for i := range r.agents {
		a := &r.agents[i]
		arrives := at + drawTime(r.spreadRand, r.spec.ArrivalDelay)
		if n := len(a.pending); n > 0 {
			arrives = max(arrives, a.pending[n-1].At)
		}
		a.pending = append(a.pending, Push{arrives, i, r.index, entries})
	}
}

// changeHeap is a min-heap by time, then by the order of the changes.
type changeHeap []change

func (h changeHeap) less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h *changeHeap) push(n change) {
	*h = append(*h, n)
	s := *h
	for i := len(s) - 1; i > 0 && s.less(i, (i-1)/2); i = (i - 1) / 2 {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
	}
}

func (h *changeHeap) pop() change {
	s := *h
	top, n := s[0], len(s)-1
	s[0] = s[n]
	s[n] = change{}
	s = s[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && s.less(c+1, c) {
			c++
		}
		if !s.less(c, i) {
			break
		}
		s[i], s[c] = s[c], s[i]
		i = c
	}
	*h = s
	return top
}
