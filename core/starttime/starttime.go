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
// the date of any start. The starts of the first list bound it by the age of the youngest; a start that is news when it is told comes
// close to the truth, as the news of some start takes hardly any time. Before that the own clock is taken for one that may have been
// stepped ahead by seconds or by an hour: by an hour only if no start is dated after what the fleet's time would be then.
//
// A start counts as late as the least of these bounds allows, as it may have been then. To take a warm worker for a cold one costs
// a part of its capacity while it would warm up; the other way round it falls.
type Clock struct {
	workers map[string]worker
	ahead   time.Duration // the least by which starts bound how far the own clock is ahead, if bounded
	bounded bool
	close   bool // ahead is close to the truth: some start was news, or in the future
}

// The steps of a clock that are reckoned with until a start is news.
const (
	seconds = 5 * time.Second // a step of seconds, at the most
	hour    = time.Hour       // the other one, give or take seconds
)

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
		c.Bound(dated, now)
		c.close = c.close || news
		most, _ := c.Ahead()
		w.started = min(dated+most, now)
	}
	if c.workers == nil {
		c.workers = make(map[string]worker)
	}
	c.workers[name] = w
	return w.started
}

// Bound takes the date of a start as evidence of the own clock. All dates of a list are taken before the first of its starts is
// translated, as a translation does not change.
func (c *Clock) Bound(dated, now time.Duration) {
	if dated <= 0 {
		return
	}
	age := now - dated
	if !c.bounded || age < c.ahead {
		c.ahead, c.bounded = age, true
	}
	c.close = c.close || age < 0 // the own clock is behind
}

// Ahead returns by how much the own clock is ahead of the fleet's at the most, and whether that is close to the truth. It is below 0 if
// the own clock is behind.
func (c *Clock) Ahead() (most time.Duration, isClose bool) {
	switch {
	case c.close:
		return c.ahead, true
	case !c.bounded:
		return hour + seconds, false
	case c.ahead >= hour-seconds:
		return min(c.ahead, hour+seconds), false
	}
	return min(c.ahead, seconds), false
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

// Continue returns a Clock that knows what another one does: what its Ahead and Starts return. A bound that is not close is learnt again,
// from the next list.
func Continue(ahead time.Duration, isClose bool, starts []Start) Clock {
	c := Clock{workers: make(map[string]worker, len(starts))}
	if isClose {
		c.ahead, c.bounded, c.close = ahead, true, true
	}
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
