// Package stall detects that the process did not run for a while, because it was stopped, starved of CPU time or migrated,
// and delays work that must not act on stale state until that state has been refreshed. The package owns the detection and
// its timer; how the state is refreshed is up to its user.
package stall

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Detector detects stalls by checking the time at a fixed interval. It is created by New and safe for concurrent use.
type Detector struct {
	interval       time.Duration
	refreshTimeout time.Duration
	refresh        func(context.Context)
	log            *slog.Logger
	origin         time.Time
	lastCheck      atomic.Int64 // nanoseconds since origin

	mu         sync.Mutex
	refreshing chan struct{} // closed when the latest refresh ends; nil while none is running
	stalls     int
}

// New returns a Detector that takes the process for stalled if its last check is more than two intervals ago. After a stall
// it calls refresh once, with a context that ends after refreshTimeout; waiters go on then, whether refresh succeeded or not.
func New(interval, refreshTimeout time.Duration, refresh func(context.Context), log *slog.Logger) *Detector {
	d := &Detector{interval: interval, refreshTimeout: refreshTimeout, refresh: refresh, log: log, origin: time.Now()}
	d.lastCheck.Store(int64(time.Since(d.origin)))
	return d
}

// Run checks the time at each interval until ctx ends.
func (d *Detector) Run(ctx context.Context) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.check()
		}
	}
}

// stalledFor returns the time since the last check if it is long enough for a stall, otherwise 0. now is the time since
// origin.
func (d *Detector) stalledFor(now time.Duration) time.Duration {
	since := now - time.Duration(d.lastCheck.Load())
	if since <= 2*d.interval {
		return 0
	}
	return since
}

// check records that the process runs, and starts a refresh if it had stalled.
func (d *Detector) check() {
	now := time.Since(d.origin)
	if d.stalledFor(now) == 0 {
		d.lastCheck.Store(int64(now))
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	stalled := d.stalledFor(now)
	if stalled == 0 { // another goroutine has detected this stall
		return
	}
	d.stalls++
	done := make(chan struct{})
	d.refreshing = done
	// Stored after refreshing is set: a goroutine that finds no stall finds the refresh.
	d.lastCheck.Store(int64(now))
	d.log.Warn("this process stood still: nothing is sent until its state is refreshed", "for", stalled.Round(time.Millisecond))
	go d.runRefresh(done)
}

// runRefresh calls refresh within its timeout and then releases the waiters by closing done.
func (d *Detector) runRefresh(done chan struct{}) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), d.refreshTimeout)
	defer cancel()
	d.refresh(ctx)
	if ctx.Err() != nil {
		d.log.Warn("refresh after this process stood still timed out: continuing with the state that is known", "after", d.refreshTimeout)
	} else {
		d.log.Info("refresh after this process stood still completed", "took", time.Since(began).Round(time.Millisecond))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	close(done)
	if d.refreshing == done { // a later stall may have started another refresh
		d.refreshing = nil
	}
}

// Wait returns at once unless the process has stalled. After a stall it blocks until the refresh has ended or deadline has
// passed, whichever is first. If the process stalls again meanwhile it blocks for the refresh of that stall as well.
func (d *Detector) Wait(deadline time.Time) {
	refreshing := d.refreshInProgress()
	if refreshing == nil {
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	for refreshing != nil {
		select {
		case <-refreshing:
		case <-timer.C:
			return
		}
		refreshing = d.refreshInProgress()
	}
}

// refreshInProgress returns a channel that is closed when the refresh after the latest stall ends, or nil if there is none.
func (d *Detector) refreshInProgress() chan struct{} {
	if d.stalledFor(time.Since(d.origin)) > 0 {
		d.check()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.refreshing
}

// Stalls returns the number of stalls detected so far.
func (d *Detector) Stalls() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stalls
}
