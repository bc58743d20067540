// Package process reads what the system counts for a process: CPU, memory, descriptors and bytes that it read and wrote.
package process

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// Sample is what the system has counted for a process up to a time.
type Sample struct {
	At          time.Time
	CPU         time.Duration // user and system
	Resident    float64       // bytes
	Peak        float64       // bytes resident, the most since the start
	Descriptors int           // open now
	Read        int64         // bytes by read calls, on files and connections; packets are not among them
	Written     int64         // the same by write calls
}

// Look samples a process.
func Look(pid int) (Sample, error) {
	folder := filepath.Join("/proc", strconv.Itoa(pid))
	s := Sample{At: time.Now()}
	var err error
	if s.CPU, err = cpu(folder); err != nil {
		return Sample{}, err
	}
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return Sample{}, err
	}
	s.Resident, s.Peak = 1024*field(status, "VmRSS:"), 1024*field(status, "VmHWM:")
	open, err := os.ReadDir(filepath.Join(folder, "fd"))
	if err != nil {
		return Sample{}, err
	}
	s.Descriptors = len(open)
	counts, err := os.ReadFile(filepath.Join(folder, "io"))
	if err != nil {
		return Sample{}, err
	}
	s.Read, s.Written = int64(field(counts, "rchar:")), int64(field(counts, "wchar:"))
	return s, nil
}

// cpu sums up what the scheduler of the system counted for each thread, in nanoseconds: the count in /proc/PID/stat is in
// hundredths of a second, which is a tenth of what a scheduler takes in a window. Threads of the daemon do not end.
func cpu(folder string) (time.Duration, error) {
	threads, err := filepath.Glob(filepath.Join(folder, "task", "*", "schedstat"))
	if err != nil {
		return 0, err
	}
	sum := time.Duration(0)
	for _, thread := range threads {
		raw, err := os.ReadFile(thread)
		if err != nil {
			continue // the thread has just ended
		}
		if fields := strings.Fields(string(raw)); len(fields) > 0 {
			nanoseconds, err := strconv.ParseInt(fields[0], 10, 64)
			if err != nil {
				return 0, fmt.Errorf("%s: %w", thread, err)
			}
			sum += time.Duration(nanoseconds)
		}
	}
	if len(threads) == 0 {
		return 0, fmt.Errorf("%s: there is no such process", folder)
	}
	return sum, nil
}

// field reads the number after a name at the start of a line.
func field(text []byte, name string) float64 {
	for line := range bytes.Lines(text) {
		if rest, ok := bytes.CutPrefix(line, []byte(name)); ok {
			if words := strings.Fields(string(rest)); len(words) > 0 {
				value, _ := strconv.ParseFloat(words[0], 64)
				return value
			}
		}
	}
	return 0
}

// Machine is what the whole machine has done up to a time.
type Machine struct {
	Busy, Idle time.Duration // of all processors
	Swapped    int64         // pages in and out
}

// clockTick is the unit of /proc/stat on Linux.
const clockTick = 10 * time.Millisecond

// LookAtMachine samples the machine.
func LookAtMachine() (Machine, error) {
	stat, err := os.ReadFile("/proc/stat")
	if err != nil {
		return Machine{}, err
	}
	var m Machine
	first, _, _ := strings.Cut(string(stat), "\n")
	for i, word := range strings.Fields(first) {
		ticks, _ := strconv.ParseInt(word, 10, 64)
		switch i {
		case 0: // its name
		case 4, 5: // idle, and waiting for a disk
			m.Idle += time.Duration(ticks) * clockTick
		case 1, 2, 3, 6, 7, 8:
			m.Busy += time.Duration(ticks) * clockTick
		}
	}
	memory, err := os.ReadFile("/proc/vmstat")
	if err != nil {
		return Machine{}, err
	}
	m.Swapped = int64(field(memory, "pswpin ") + field(memory, "pswpout "))
	return m, nil
}
