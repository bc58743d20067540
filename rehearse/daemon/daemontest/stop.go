package daemontest

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"laddertide/rehearse/daemon"
)

const stopLook = 100 * time.Microsecond

// Stop stops processes and returns once none of their threads runs any more, which is after the signal was sent. resume lets them go
// on.
func Stop(processes ...*daemon.Process) (resume func()) {
	for _, p := range processes {
		p.Signal(syscall.SIGSTOP) // an error says that it has ended
	}
	for _, p := range processes {
		for !stopped(p) {
			time.Sleep(stopLook)
		}
	}
	return func() {
		for _, p := range processes {
			p.Signal(syscall.SIGCONT)
		}
	}
}

// stopped reports whether all threads of a process are stopped, or it has ended. See proc(5).
func stopped(p *daemon.Process) bool {
	select {
	case <-p.Done():
		return true
	default:
	}
	threads, _ := filepath.Glob(filepath.Join("/proc", strconv.Itoa(p.PID()), "task", "*", "stat"))
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		_, state, found := strings.Cut(string(stat), ") ")
		if err == nil && found && !strings.HasPrefix(state, "T") && !strings.HasPrefix(state, "Z") {
			return false
		}
	}
	return true
}
