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

// A hold-up counts as soon as it is over, whether the meter's tick comes before or after whoever asks.
func TestHoldUpBesideItsTick(t *testing.T) {
	const heldUp = 150 * time.Millisecond
	began := time.Now()
	after := began.Add(heldUp)
	m := &holdUpMeter{last: began}
	if got := m.total(after); got != heldUp-holdUpTick {
		t.Errorf("%v before the tick", got)
	}
	m.tick(after.Add(time.Millisecond))
	if got := m.total(after.Add(holdUpTick)); got != heldUp-holdUpTick+time.Millisecond {
		t.Errorf("%v after the tick", got)
	}
}
