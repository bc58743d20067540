package durable

import (
	"time"

	"laddertide/core/leases"
)

var began = time.Now()

// fallback is the moment where the system has no clock that outlives a process: between two, only the time of day
// counts.
func fallback() leases.Clock {
	return leases.Clock{Mono: int64(time.Since(began)), Wall: time.Now().UnixNano()}
}
