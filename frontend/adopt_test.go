package frontend

import (
	"log/slog"
	"net"
	"testing"
	"time"
)

// TestAdoptedWithoutASlotMakesNoRoom guards against connections of another process that wait for a slot and are evicted for their own sake:
// they have none to give back, and as they count as slots that come free nobody else was evicted.
func TestAdoptedWithoutASlotMakesNoRoom(t *testing.T) {
	const (
		slots   = 16
		adopted = 6               // more than the process before had told of
		limit   = 2 * time.Second // for a job to cross to the next process
	)
	s := &Server{Conns: slots, Log: slog.New(slog.DiscardHandler)}
	s.once.Do(s.prepare)
	resting := func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		return near
	}
	for range slots {
		c := newConn(resting(), nil)
		c.told = 5
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.slots <- struct{}{}
		go s.serve(c, nil, false)
	}
	for range adopted {
		s.Adopt(resting(), Kept{Told: 1}, false, nil)
	}
	began := time.Now()
	waiting := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) - slots
	}
	for waiting() > 0 {
		if time.Since(began) > limit {
			t.Fatalf("%d of %d adopted connections have no slot after %v", waiting(), adopted, limit)
		}
		time.Sleep(time.Millisecond)
	}
}
