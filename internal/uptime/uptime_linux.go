package uptime

import (
	"encoding/hex"
	"os"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootID returns the boot id of the machine; all zero if it cannot be read.
var bootID = sync.OnceValue(func() (id [16]byte) {
	raw, err := os.ReadFile("/proc/sys/kernel/random/boot_id")
	if err != nil {
		return id
	}
	b, err := hex.DecodeString(strings.ReplaceAll(strings.TrimSpace(string(raw)), "-", ""))
	if err == nil {
		copy(id[:], b)
	}
	return id
})

// systemMoment returns the current Moment from the clocks of the system.
func systemMoment() Moment {
	var ts unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts) != nil {
		return withoutBootClock()
	}
	return Moment{Boot: bootID(), Mono: ts.Nano(), Wall: time.Now().UnixNano()}
}
