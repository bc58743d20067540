package scheduler

import (
	"time"

	"laddertide/core/starttime"
	wire "laddertide/wire/handover"
)

// A process that takes over continues with the estimates of the previous process, whose times are all by that process's
// clock: the system clock as read at its start, carried on by the monotonic clock. If the system clock has been stepped
// since, the next process, which reads it again, would take a worker that has just started for one that is long warm, or
// date its start in the future. Nor may it translate start dates again: it has less evidence for the error of its clock, and
// to the decision module a start time that moves is another start, so that it gives up what was sent before.

// receivedClock is the clock of the previous process, and when it was received.
type receivedClock struct {
	*wire.Clock
	received time.Time
}

// clockOffset is by how much the system clock is ahead of this process's clock. Called under mu.
func (s *Scheduler) clockOffset() time.Duration {
	return s.engine.ClockOffset(time.Now().Add(s.cfg.clockAhead))
}

// clockMessage describes this process's clock to the next process. Called under mu.
func (s *Scheduler) clockMessage() *wire.Clock {
	m := new(wire.Clock)
	m.Ahead, m.Known = s.starts.Ahead()
	for _, start := range s.starts.Starts() {
		m.Starts = append(m.Starts, wire.Start(start))
	}
	m.Now = s.engine.Now()
	return m
}

// continueClock continues the clock of the previous process. An earlier version sends it only where it differs from this
// process's clock; start times are then used as dated, as that version did. Called under mu.
func (s *Scheduler) continueClock(c *receivedClock) {
	if c == nil {
		s.starts = starttime.Restore(0, true, nil)
		return
	}
	if err := s.engine.SetClock(c.Now + time.Since(c.received)); err != nil {
		s.log.Error("the clock of the previous process is not taken over", "err", err)
		return
	}
	starts := make([]starttime.Start, len(c.Starts))
	for i, start := range c.Starts {
		starts[i] = starttime.Start(start)
	}
	s.starts = starttime.Restore(c.Ahead, c.Known, starts)
}
