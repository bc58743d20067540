package world

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"laddertide/core/history"
)

// rosterLog is how many entries of past batches are kept for those who ask what changed; the latest batch always is.
const rosterLog = 1 << 14

// RosterSpec says how late discovery is. Ranges are drawn from evenly, both ends included.
type RosterSpec struct {
	Schedulers int

	Notice       [2]Time // after which it notices a process that drains or died
	SilentNotice [2]Time // the same for a machine that went silent
	Add          [2]Time // the same for a process that started
	Period       [2]Time // changes go out in batches that are this far apart; drawn once; 0: each at once
	Spread       [2]Time // how much later a scheduler's agent has a batch; batches keep their order
}

// Push says that a scheduler's agent has news from now on. The entries belong to the roster.
type Push struct {
	At        Time
	Scheduler int
	Index     uint64
	Entries   []history.Entry
}

// Roster is what discovery knows of the workers, and what each scheduler's agent has of it. A change is noticed after a
// while, is ready then or later by the lag of that moment, goes out to all with the next batch, and arrives at each
// scheduler's agent some time later. Each call first does all that was due up to and including its time. It is not safe
// for concurrent use.
//
// It holds the list once for itself and once for each scheduler, the changes still on their way, and a log of 16,384
// entries.
type Roster struct {
	spec           RosterSpec
	notice, spread *rand.Rand
	period, phase  Time

	now, lag Time
	seq      uint64
	noticed  newsHeap // by when they will be noticed
	ready    newsHeap // by when they may go out

	index  uint64
	told   map[string]news // the latest of each worker that went out
	log    []batch         // the latest batches, in order
	logged int             // their entries

	agents []agent
}

type news struct {
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
	list    []history.Entry // without those deleted, by name
	pending []Push          // in order, At too
}

// NewRoster begins with everyone holding the initial list as version 1.
func NewRoster(spec RosterSpec, seed uint64, initial []history.Entry) *Roster {
	r := &Roster{spec: spec, notice: rand.New(rand.NewPCG(seed, 0x6e6f74696365)),
		spread: rand.New(rand.NewPCG(seed, 0x737072656164)), index: 1, told: map[string]news{},
		agents: make([]agent, max(spec.Schedulers, 0))}
	r.period = between(r.spread, spec.Period)
	if r.period > 0 {
		r.phase = Time(r.spread.Int64N(int64(r.period)))
	}
	var list []history.Entry
	for _, e := range initial {
		list = apply(list, e)
		r.told[e.Worker] = news{entry: e}
	}
	for i := range r.agents {
		r.agents[i] = agent{index: 1, list: slices.Clone(list)}
	}
	return r
}

func between(r *rand.Rand, span [2]Time) Time {
	low, high := max(span[0], 0), max(span[1], 0)
	if high <= low {
		return low
	}
	return low + Time(r.Int64N(int64(high-low)+1))
}

// apply puts an entry into a list that is sorted by name and has none that are deleted.
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

// Change tells what is true of a worker from now on; silent if its machine says nothing of it. Of one worker, news that
// an already published later change has overtaken is dropped.
func (r *Roster) Change(now Time, entry history.Entry, silent bool) {
	r.run(now)
	span := r.spec.Notice
	switch {
	case entry.Status == history.Serving:
		span = r.spec.Add
	case silent:
		span = r.spec.SilentNotice
	}
	r.seq++
	r.noticed.push(news{r.now + between(r.notice, span), r.seq, entry})
}

// Lag makes all that is noticed from now on ready so much later; 0 ends it. What was noticed before keeps its time.
func (r *Roster) Lag(now Time, extra Time) {
	r.run(now)
	r.lag = max(extra, 0)
}

// Next is when something next happens by itself, which need not be a push; false if nothing will.
func (r *Roster) Next() (Time, bool) {
	at := never
	if len(r.noticed) > 0 {
		at = r.noticed[0].at
	}
	if len(r.ready) > 0 {
		at = min(at, r.departs())
	}
	for i := range r.agents {
		if p := r.agents[i].pending; len(p) > 0 {
			at = min(at, p[0].At)
		}
	}
	return at, at != never
}

// Advance does all up to and including now and returns the pushes that arrived since it last did, in order of time, and
// of schedulers within that.
func (r *Roster) Advance(now Time) []Push {
	r.run(now)
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

// Held is what a scheduler's agent had at the latest Advance: the whole list, sorted by name. An unknown scheduler's is
// empty.
func (r *Roster) Held(scheduler int) (index uint64, entries []history.Entry) {
	if scheduler < 0 || scheduler >= len(r.agents) {
		return 0, nil
	}
	a := &r.agents[scheduler]
	return a.index, slices.Clone(a.list)
}

// Since is what a scheduler's agent has that came after a version: the latest entry of each worker that changed, sorted
// by name; or the whole list (full) if it doesn't know that version any more, or never did.
func (r *Roster) Since(scheduler int, after uint64) (index uint64, full bool, entries []history.Entry) {
	if scheduler < 0 || scheduler >= len(r.agents) {
		return 0, true, nil
	}
	a := &r.agents[scheduler]
	oldest := r.index // the oldest version of which all later changes are in the log
	if len(r.log) > 0 {
		oldest = r.log[0].index - 1
	}
	if after == 0 || after > a.index || (after < oldest && after != a.index) {
		index, entries = r.Held(scheduler)
		return index, true, entries
	}
	for _, b := range r.log {
		if b.index > after && b.index <= a.index {
			entries = append(entries, b.entries...)
		}
	}
	return a.index, false, latest(entries)
}

// latest sorts entries by name and keeps the last of each worker.
func latest(entries []history.Entry) []history.Entry {
	slices.SortStableFunc(entries, func(a, b history.Entry) int { return strings.Compare(a.Worker, b.Worker) })
	kept := entries[:0]
	for i, e := range entries {
		if i+1 == len(entries) || entries[i+1].Worker != e.Worker {
			kept = append(kept, e)
		}
	}
	return kept
}

// run does all but the arrivals, which wait for Advance.
func (r *Roster) run(now Time) {
	r.now = max(r.now, now)
	for {
		notice, depart := never, never
		if len(r.noticed) > 0 {
			notice = r.noticed[0].at
		}
		if len(r.ready) > 0 {
			depart = r.departs()
		}
		switch {
		case min(notice, depart) > r.now:
			return
		case notice <= depart:
			n := r.noticed.pop()
			n.at += r.lag
			r.ready.push(n)
		default:
			r.publish(depart)
		}
	}
}

// departs is when the next batch goes out.
func (r *Roster) departs() Time {
	at := r.ready[0].at
	if r.period <= 0 {
		return at
	}
	if at <= r.phase {
		return r.phase
	}
	return r.phase + (at-r.phase+r.period-1)/r.period*r.period
}

// publish sends all that is ready.
func (r *Roster) publish(at Time) {
	var entries []history.Entry
	for len(r.ready) > 0 && r.ready[0].at <= at {
		n := r.ready.pop()
		old, known := r.told[n.entry.Worker]
		if n.seq < old.seq {
			continue
		}
		r.told[n.entry.Worker] = n
		if known && old.entry == n.entry {
			continue
		}
		entries = append(entries, n.entry)
	}
	if len(entries) == 0 {
		return
	}
	entries = latest(entries)
	r.index++
	r.log = append(r.log, batch{r.index, entries})
	r.logged += len(entries)
	old := 0
	for old < len(r.log)-1 && r.logged > rosterLog {
		r.logged -= len(r.log[old].entries)
		old++
	}
	r.log = slices.Delete(r.log, 0, old)
	for i := range r.agents {
		a := &r.agents[i]
		arrives := at + between(r.spread, r.spec.Spread)
		if n := len(a.pending); n > 0 {
			arrives = max(arrives, a.pending[n-1].At)
		}
		a.pending = append(a.pending, Push{arrives, i, r.index, entries})
	}
}

// newsHeap has the earliest news first, and of those of one time what became true first.
type newsHeap []news

func (h newsHeap) less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}

func (h *newsHeap) push(n news) {
	*h = append(*h, n)
	s := *h
	for i := len(s) - 1; i > 0 && s.less(i, (i-1)/2); i = (i - 1) / 2 {
		s[i], s[(i-1)/2] = s[(i-1)/2], s[i]
	}
}

func (h *newsHeap) pop() news {
	s := *h
	top, n := s[0], len(s)-1
	s[0] = s[n]
	s[n] = news{}
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
