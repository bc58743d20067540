package frontend

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

// AcceptObserver is told how connections fare before their first request is read. Its methods are called from several goroutines, and must
// not block.
type AcceptObserver interface {
	// FirstRequest tells that the first request of a connection was read so long after its last byte had arrived at this machine.
	FirstRequest(age time.Duration)
	// ClosedUnread tells that a connection was closed for others before anything had come on it.
	ClosedUnread()
}

// mostAges bounds the ages of requests that a line of the log sums up. Later ones are left out of it.
const mostAges = 1024

// crowdLog writes a line at most once in tellEvery while connections are closed unread. It is safe for use by several goroutines.
type crowdLog struct {
	mu       sync.Mutex
	last     time.Time // when a line was written
	unread   int       // connections closed unread since then
	began    time.Time // when ages was emptied
	ages     []time.Duration
	observer AcceptObserver // nil: none
	log      *slog.Logger
}

// firstRequest notes the age of a connection's first request when it was read.
func (l *crowdLog) firstRequest(age time.Duration) {
	if l.observer != nil {
		l.observer.FirstRequest(age)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.began) > tellEvery && l.unread == 0 {
		l.began, l.ages = time.Now(), l.ages[:0] // ages from before a crowd are none of its
	}
	if len(l.ages) < mostAges {
		l.ages = append(l.ages, age)
	}
}

// closedUnread notes that a connection was closed unread.
func (l *crowdLog) closedUnread() {
	if l.observer != nil {
		l.observer.ClosedUnread()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unread++
	if time.Since(l.last) < tellEvery {
		return
	}
	slices.Sort(l.ages)
	l.log.Warn("a crowd: connections are closed unread", "closed", l.unread, "requests", len(l.ages),
		"age_p50", quantile(l.ages, 0.5), "age_p99", quantile(l.ages, 0.99), "age_max", quantile(l.ages, 1))
	now := time.Now()
	l.last, l.unread, l.began, l.ages = now, 0, now, l.ages[:0]
}

// quantile returns the value below which this part of sorted spans lies; 0 if there are none.
func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(part*float64(len(sorted)-1))]
}
