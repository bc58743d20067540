package scheduler

import (
	"io"
	"testing"
	"time"

	"laddertide/directory"
)

// The module is told that a worker which has just started is one that has, whatever this machine's clock was set to when the scheduler
// started: a cold worker that passes for a warm one is sent more than it can do.
func TestStartsByAClockThatWasStepped(t *testing.T) {
	for _, ahead := range []time.Duration{0, 3 * time.Second, -3 * time.Second, time.Hour, -time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			r := startRig(t, "", io.Discard, func(cfg *Config) { cfg.clockAhead = ahead })
			r.hear(directory.List{Index: 42, Snapshot: true, Entries: r.cfg.Known.Entries})
			const age = 500 * time.Millisecond
			e := r.cfg.Known.Entries[0]
			began := time.Now()
			e.Name, e.SinceMS = "s-new", float64(began.Add(-age).UnixMilli())
			r.hear(directory.List{Index: 43, Entries: []directory.Entry{e}})
			r.sched.mu.Lock()
			defer r.sched.mu.Unlock()
			now := r.sched.desk.Now()
			old := now - r.sched.starts.Started(e.Name, e.Since(), now, false)
			if old < 0 || old > age+time.Since(began)+time.Millisecond {
				t.Errorf("a worker that started %v ago counts as one of %v ago", age, old)
			}
		})
	}
}

// A worker that an operator puts back counts as cold from that moment by the clock of all decisions, not by the system's, which may have
// been stepped since the start.
func TestPutBackByTheClockOfDecisions(t *testing.T) {
	r := startRig(t, "", io.Discard, func(cfg *Config) { cfg.clockAhead = time.Hour })
	name := r.cfg.Known.Entries[0].Name
	r.sched.mu.Lock()
	defer r.sched.mu.Unlock()
	before := r.sched.desk.Now()
	for _, verb := range []string{"disable", "enable"} {
		if err := r.sched.ownHand(verb, name); err != nil {
			t.Fatal(err)
		}
	}
	if p, _ := r.sched.list.Get(name); p.Back < before || p.Back > r.sched.desk.Now() {
		t.Errorf("back %v after it was put back", p.Back-before)
	}
}

// A process that takes over after the system's clock was stepped goes on by the clock of the process before: what had just started, or
// had just been put back, counts as cold there too, and not as something of the future.
func TestUpgradeAfterAStepOfTheClock(t *testing.T) {
	for _, step := range []time.Duration{time.Hour, -time.Hour, 3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			r := newUpgradeRig(t, io.Discard)
			began := time.Now()
			r.hear(directory.List{Index: 42, Snapshot: true, Entries: r.cfg.Known.Entries})
			e := r.cfg.Known.Entries[0]
			e.Name, e.SinceMS = "s-new", float64(began.UnixMilli())
			r.hear(directory.List{Index: 43, Entries: []directory.Entry{e}})
			back := r.cfg.Known.Entries[0].Name
			r.sched.mu.Lock()
			for _, verb := range []string{"disable", "enable"} {
				if err := r.sched.ownHand(verb, back); err != nil {
					t.Error(err)
				}
			}
			r.sched.cfg.clockAhead = step
			r.sched.mu.Unlock()
			r.cfg.clockAhead = step
			next := r.follow(io.Discard)
			r.upgrade(next)
			next.sched.mu.Lock()
			defer next.sched.mu.Unlock()
			now := next.sched.desk.Now()
			within := time.Since(began) + 5*time.Millisecond
			if age := now - next.sched.starts.Started(e.Name, e.Since(), now, false); age < 0 || age > within {
				t.Errorf("a worker that started within %v counts as one of %v ago", within, age)
			}
			p, _ := next.sched.list.Get(back)
			if age := now - p.Back; age < 0 || age > within {
				t.Errorf("a worker that was put back within %v counts as put back %v ago", within, age)
			}
		})
	}
}
