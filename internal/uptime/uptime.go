// Package uptime reads clocks that continue across restarts of the process, so that a process can tell the age of data that the
// previous one has left on disk. The package owns only the system calls; callers compute the time between two moments.
package uptime

import "time"

// Moment is a point in time on this machine: the boot id (all zero if it is not known), the time since boot by CLOCK_BOOTTIME,
// and Unix time, both in nanoseconds.
type Moment struct {
	Boot       [16]byte
	Mono, Wall int64
}

var processStart = time.Now()

// withoutBootClock returns the current Moment where the system has no monotonic clock that continues across restarts. Moments of
// different processes can then be compared by Unix time only.
func withoutBootClock() Moment {
	return Moment{Mono: int64(time.Since(processStart)), Wall: time.Now().UnixNano()}
}
