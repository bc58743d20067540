//go:build powerloss

package uptime

import (
	"crypto/sha256"
	"os"
	"time"
)

// Now returns the current Moment. In a rehearsal of a power loss, where the environment holds a plan of what is lost, the
// process simulates a boot of the machine: the boot id is derived from the plan, and the boot time is the start of the process.
func Now() Moment {
	plan := os.Getenv("LADDERTIDE_POWERLOSS")
	if plan == "" {
		return systemMoment()
	}
	m := Moment{Mono: int64(time.Since(processStart)), Wall: time.Now().UnixNano()}
	sum := sha256.Sum256([]byte(plan))
	copy(m.Boot[:], sum[:])
	return m
}
