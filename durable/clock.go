package durable

import (
	"laddertide/core/leases"
	"laddertide/internal/uptime"
)

// now returns the current time by clocks that continue while no process runs.
func now() leases.Clock { return leases.Clock(uptime.Now()) }
