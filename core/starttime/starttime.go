// Package starttime decides when workers started, by a scheduler's own clock. Discovery dates each start by the clock of the fleet,
// and a machine's own may have been stepped away from that, by seconds or by an hour, before its scheduler started or after. A worker
// that has just started must not pass for one that started long ago: it would be sent more than it can do.
//
// It does no I/O; the time is an argument. It is not safe for concurrent use.
package starttime

import (
	"slices"
	"strings"
	"time"
)

// Clock translates dates of starts. All times are spans since 1970; now is the scheduler's own clock, which is set once from the
// machine's and runs on by the monotonic clock. The zero value is ready for use.
//
// What is known of the own clock: a start is told after it happened. So the own clock is ahead of the fleet's by no more than now less
// the date of any start; and the least of these, over starts that are news when they are told, comes close to the truth, as the news
// of some start takes hardly any time. Starts that were listed before this scheduler looked say nothing but that they are not in the
// future.
type Clock struct {
	workers map[string]worker
	ahead   time.Duration // the most by which the own clock is ahead, plus the time that news takes at the least
	bounded bool          // ahead is known
}

// worker is a start as it was dated, and as it is translated. That does not change, however much better the clock is known later: a
// start that moved would be another one to those who hear of it.
type worker struct {
	dated, started time.Duration
}

// Started returns when a worker started whose last start is dated so. 0 means long ago, in both. news says that this start was not
// listed when the list was heard before: it has happened since.
func (c *Clock) Started(name string, dated, now time.Duration, news bool) time.Duration {
	if w, known := c.workers[name]; known && w.dated == dated {
		return w.started
	}
	w := worker{dated: dated}
	if dated > 0 {
		c.learn(now-dated, news)
		w.started = min(dated+c.ahead, now)
	}
	if c.workers == nil {
		c.workers = make(map[string]worker)
	}
	c.workers[name] = w
	return w.started
}

// learn takes how long ago a start seems to be.
func (c *Clock) learn(age time.Duration, news bool) {
	certain := age < 0 // it cannot be in the future
	if !news && !certain || c.bounded && age >= c.ahead {
		return
	}
	c.ahead, c.bounded = age, true
}

// Ahead returns by how much the own clock is ahead of the fleet's at the most, and whether that is known at all. It is below 0 if the
// own clock is behind.
func (c *Clock) Ahead() (time.Duration, bool) { return c.ahead, c.bounded }

const (
	// step is how far the system's clock may be from the scheduler's own before a process that would begin by the former is told of the
	// latter.
	step = 100 * time.Millisecond
	// off is the same for the own clock and the fleet's. News of a start may take nearly as long.
	off = 3 * time.Second
)

// Differs reports whether the process that goes on from here has to be told of this clock and its starts, where it would begin by the
// system's clock, which is apart from this one by so much.
func (c *Clock) Differs(apart time.Duration) bool {
	return apart.Abs() >= step || c.bounded && c.ahead.Abs() >= off
}

// Start is a start that a Clock knows, as it was dated and as it is translated.
type Start struct {
	Name           string
	Dated, Started time.Duration
}

// Starts returns all starts that are known, sorted by name.
func (c *Clock) Starts() []Start {
	starts := make([]Start, 0, len(c.workers))
	for name, w := range c.workers {
		starts = append(starts, Start{Name: name, Dated: w.dated, Started: w.started})
	}
	slices.SortFunc(starts, func(a, b Start) int { return strings.Compare(a.Name, b.Name) })
	return starts
}

// Continue returns a Clock that knows what another one does: what its Ahead and Starts return.
func Continue(ahead time.Duration, known bool, starts []Start) Clock {
	c := Clock{workers: make(map[string]worker, len(starts)), ahead: ahead, bounded: known}
	for _, s := range starts {
		c.workers[s.Name] = worker{dated: s.Dated, started: s.Started}
	}
	return c
}

// Only forgets all workers but those of these names.
func (c *Clock) Only(names []string) {
	kept := make(map[string]worker, len(names))
	for _, name := range names {
		if w, known := c.workers[name]; known {
			kept[name] = w
		}
	}
	c.workers = kept
}
