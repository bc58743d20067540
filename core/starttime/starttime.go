// Package starttime converts the start times of workers to a scheduler's own clock. Discovery dates each start by the fleet's clock.
// The machine's clock may differ from it by a step of seconds or of an hour, made before or after its scheduler started. A worker that
// has just started must not appear to have started long ago, as it would be sent more than it can handle.
//
// The package does no I/O and takes the time as an argument. It is not safe for concurrent use.
package starttime

import (
	"slices"
	"strings"
	"time"
)

// Clock translates the dates of starts. All times are durations since 1970; now is the scheduler's own clock, which is set once from
// the machine's clock and advanced by the monotonic clock. The zero value is ready for use.
//
// The offset of the own clock is estimated as follows. A start is reported after it happened, so the own clock is ahead of the fleet's
// by at most now minus the date of any start. The starts in the first list bound the offset by the age of the youngest. A start that
// is new when it is reported gives a close bound, as the report of some start takes hardly any time. Until then, the own clock is
// assumed to have possibly been stepped ahead by seconds or by an hour; by an hour only if no start is dated after the fleet's
// time that this would imply.
//
// A start is translated to the latest time that the lowest bound allows, as it may have happened then. Treating a warm worker as cold
// costs a part of its capacity for the length of a warm-up; treating a cold worker as warm overloads it until it fails.
type Clock struct {
	workers map[string]worker
	ahead   time.Duration // lowest upper bound, from the starts, on how far the own clock is ahead, if bounded
	bounded bool
	isClose bool // ahead is a close estimate: some start was new when reported, or dated in the future
}

// The clock steps that are considered possible until a start is reported that is new.
const (
	secondsStep = 5 * time.Second // the longest step of seconds
	hourStep    = time.Hour       // a step of an hour, plus or minus seconds
)

// worker is a worker's last start as dated by discovery and as translated. The translation does not change when the offset is known
// more closely later: to those who receive it, a changed start time would mean another start.
type worker struct {
	dated, started time.Duration
}

// Translate returns the start time, by the own clock, of a worker whose last start has the date dated. In both, 0 means long ago.
// isNew means that this start was not in the previous list, so it has happened since.
func (c *Clock) Translate(name string, dated, now time.Duration, isNew bool) time.Duration {
	if w, known := c.workers[name]; known && w.dated == dated {
		return w.started
	}
	w := worker{dated: dated}
	if dated > 0 {
		c.Observe(dated, now)
		c.isClose = c.isClose || isNew
		most, _ := c.Ahead()
		w.started = min(dated+most, now)
	}
	if c.workers == nil {
		c.workers = make(map[string]worker)
	}
	c.workers[name] = w
	return w.started
}

// Observe updates the bound on the offset from the date of a start. It must be called for all dates of a list before the first of its
// starts is translated, as translations do not change later.
func (c *Clock) Observe(dated, now time.Duration) {
	if dated <= 0 {
		return
	}
	age := now - dated
	if !c.bounded || age < c.ahead {
		c.ahead, c.bounded = age, true
	}
	c.isClose = c.isClose || age < 0 // the own clock is behind
}

// Ahead returns an upper bound on how far the own clock is ahead of the fleet's, and whether the bound is close. It is negative if the
// own clock is behind.
func (c *Clock) Ahead() (most time.Duration, isClose bool) {
	switch {
	case c.isClose:
		return c.ahead, true
	case !c.bounded:
		return hourStep + secondsStep, false
	case c.ahead >= hourStep-secondsStep:
		return min(c.ahead, hourStep+secondsStep), false
	}
	return min(c.ahead, secondsStep), false
}

// Start is a known start of a worker, as dated by discovery and as translated.
type Start struct {
	Name           string
	Dated, Started time.Duration
}

// Starts returns all known starts, sorted by name.
func (c *Clock) Starts() []Start {
	starts := make([]Start, 0, len(c.workers))
	for name, w := range c.workers {
		starts = append(starts, Start{Name: name, Dated: w.dated, Started: w.started})
	}
	slices.SortFunc(starts, func(a, b Start) int { return strings.Compare(a.Name, b.Name) })
	return starts
}

// Restore returns a Clock with the state of another one, as returned by its Ahead and Starts. A bound that is not close is not kept
// but derived again from the next list.
func Restore(ahead time.Duration, isClose bool, starts []Start) Clock {
	c := Clock{workers: make(map[string]worker, len(starts))}
	if isClose {
		c.ahead, c.bounded, c.isClose = ahead, true, true
	}
	for _, s := range starts {
		c.workers[s.Name] = worker{dated: s.Dated, started: s.Started}
	}
	return c
}

// Retain removes all workers except those with these names.
func (c *Clock) Retain(names []string) {
	kept := make(map[string]worker, len(names))
	for _, name := range names {
		if w, known := c.workers[name]; known {
			kept[name] = w
		}
	}
	c.workers = kept
}
