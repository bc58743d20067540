package frontend

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

// AcceptObserver is notified of each connection's first request, and of connections closed unread. Its methods are called from
// several goroutines and must not block.
type AcceptObserver interface {
	// FirstRequest is called when the first request of a connection is read; age is the time since its last byte arrived at this
	// machine.
	FirstRequest(age time.Duration)
	// ClosedUnread is called when a connection is closed to free its slot before a request on it was read.
	ClosedUnread()
}

// maxAges is the maximum number of request ages that a log line summarizes. Later ones are left out.
const maxAges = 1024

// surgeLog logs at most one line per logInterval while connections are closed unread. It is safe for concurrent use.
type surgeLog struct {
	mu        sync.Mutex
	loggedAt  time.Time // when a line was last logged
	unread    int       // connections closed unread since last
	agesSince time.Time // when ages was last cleared
	ages      []time.Duration
	observer  AcceptObserver // nil: none
	log       *slog.Logger
}

// firstRequest records the age of a connection's first request at the time it was read.
func (l *surgeLog) firstRequest(age time.Duration) {
	if l.observer != nil {
		l.observer.FirstRequest(age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.agesSince) > logInterval && l.unread == 0 {
		l.agesSince, l.ages = time.Now(), l.ages[:0] // ages from before a surge do not belong to it
	}
	if len(l.ages) < maxAges {
		l.ages = append(l.ages, age)
	}
}

// closedUnread records that a connection was closed unread.
func (l *surgeLog) closedUnread() {
	if l.observer != nil {
		l.observer.ClosedUnread()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread++
	if time.Since(l.loggedAt) < logInterval {
		return
	}
	slices.Sort(l.ages)
	l.log.Warn("connection slots are scarce: connections are closed unread", "closed", l.unread, "requests", len(l.ages),
		"age_p50", quantile(l.ages, 0.5), "age_p99", quantile(l.ages, 0.99), "age_max", quantile(l.ages, 1))
	now := time.Now()
	l.loggedAt, l.unread, l.agesSince, l.ages = now, 0, now, l.ages[:0]
}

// quantile returns the quantile q of sorted durations, or 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}
