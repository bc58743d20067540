package shutdown

import (
	"sync"
	"testing"
	"time"
)

const (
	holdUpTick  = 2 * time.Millisecond
	holdUpLeast = 10 * time.Millisecond // shorter ones do not count
)

// holdUpMeter adds up the times in which this process should have run and did not, as the machine was busy: a scheduler on the
// same machine is held up no less.
type holdUpMeter struct {
	mu   sync.Mutex
	sum  time.Duration // of the hold-ups that a tick has found
	last time.Time     // tick
}

func newHoldUpMeter(t *testing.T) *holdUpMeter {
	m := &holdUpMeter{last: time.Now()}
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-time.After(holdUpTick):
			}
			m.tick(time.Now())
		}
	}()
	return m
}

func (m *holdUpMeter) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sum += m.late(now)
	m.last = now
}

// late is how long the next tick has been held up by now.
func (m *holdUpMeter) late(now time.Time) time.Duration {
	if late := now.Sub(m.last) - holdUpTick; late > holdUpLeast {
		return late
	}
	return 0
}

// total is the time for which this process was held up until now. A hold-up that no tick has found yet is part of it: whatever
// runs first after one must not take it for the time of something else.
func (m *holdUpMeter) total(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sum + m.late(now)
}

// moment is a time, with how long this process had been held up by then.
type moment struct {
	at     time.Time
	heldUp time.Duration
}

func (m *holdUpMeter) moment(now time.Time) moment { return moment{now, m.total(now)} }

// since is the time from another moment to this one, without that in which this process was held up.
func (m moment) since(other moment) time.Duration {
	return m.at.Sub(other.at) - (m.heldUp - other.heldUp)
}

// A worker that reads a job just after a hold-up, and a client that leaves just after that, do so before or after the meter's
// tick. Neither counts the hold-up as time between the two.
func TestHoldUpBesideItsTick(t *testing.T) {
	const heldUp = 150 * time.Millisecond
	began := time.Now()
	after := began.Add(heldUp)
	m := &holdUpMeter{last: began}
	before, read := m.moment(began), m.moment(after)
	m.tick(after.Add(time.Millisecond))
	left := m.moment(after.Add(2 * time.Millisecond))
	if since := read.since(left); since != -time.Millisecond {
		t.Errorf("read %v after the leave, wants 1 ms before it, as 1 ms of the 2 was held up", since)
	}
	if since := read.since(before); since != holdUpTick {
		t.Errorf("read %v after what came before the hold-up, wants a tick", since)
	}
}
