// Package daemon runs schedulers as the platform does: a child process each, with a configuration file, a name, limits
// and signals, and an end of its own if the kit ends. It reads a scheduler's log for its last words only and believes
// nothing in it.
package daemon

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Program is how a scheduler is started.
type Program struct {
	Path string   // of the executable
	Args []string // serve and its flags
}

// Limits are the platform's.
type Limits struct {
	MemoryMB float64 // over it the process is killed
	Sockets  int     // descriptors that it may hold
}

// Usage is what a process took, as the system counts it.
type Usage struct {
	CPU         time.Duration
	PeakMB      float64
	Descriptors int // the most that were seen open at once
}

// Add sums up the processes of one scheduler.
func (u *Usage) Add(v Usage) {
	u.CPU += v.CPU
	u.PeakMB = max(u.PeakMB, v.PeakMB)
	u.Descriptors = max(u.Descriptors, v.Descriptors)
}

// Process is one child.
type Process struct {
	cmd  *exec.Cmd
	tail *tail
	done chan struct{}

	mu     sync.Mutex
	usage  Usage
	killed string // why the kit itself killed it, as the platform would
	code   int
}

const (
	sampleEvery = 100 * time.Millisecond
	countEvery  = 3 // samples between two counts of descriptors
	tailBytes   = 16 << 10
)

// starter runs functions on one thread that lives as long as the program: the kernel ends a child whose parent-death
// signal is set when the thread that started it ends, not only with the process.
var starter = sync.OnceValue(func() chan func() {
	work := make(chan func())
	go func() {
		runtime.LockOSThread()
		for f := range work {
			f()
		}
	}()
	return work
})

// Start starts a child in its own process group, which dies with the kit however that ends. Its log goes to log too,
// unless that is nil.
func Start(p Program, dir string, env []string, limits Limits, log io.Writer) (*Process, error) {
	path, err := filepath.Abs(p.Path)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(path, p.Args...)
	cmd.Dir, cmd.Env = dir, env
	pr := &Process{cmd: cmd, tail: &tail{to: log}, done: make(chan struct{})}
	cmd.Stdout, cmd.Stderr = pr.tail, pr.tail
	// A grandchild that holds the log open must not keep Wait from returning.
	cmd.WaitDelay = 500 * time.Millisecond
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	started := make(chan error)
	starter() <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		return nil, fmt.Errorf("cannot start the scheduler: %w", err)
	}
	if limits.Sockets > 0 {
		limit := &unix.Rlimit{Cur: uint64(limits.Sockets), Max: uint64(limits.Sockets)}
		if err := unix.Prlimit(cmd.Process.Pid, unix.RLIMIT_NOFILE, limit, nil); err != nil && !errors.Is(err, unix.ESRCH) {
			pr.Kill()
			cmd.Wait()
			return nil, fmt.Errorf("cannot limit the scheduler's descriptors: %w", err)
		}
	}
	go pr.watch(limits)
	return pr, nil
}

// watch waits for the end and samples meanwhile. The platform kills what holds more memory than it may.
func (p *Process) watch(limits Limits) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		p.cmd.Wait() // how it ended is in its state
	}()
	tick := time.NewTicker(sampleEvery)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-ended:
			// What it has started and left behind would hold its address.
			syscall.Kill(-p.cmd.Process.Pid, syscall.SIGKILL)
			p.mu.Lock()
			if st := p.cmd.ProcessState; st != nil {
				p.usage.CPU = st.SystemTime() + st.UserTime()
				p.code = exitCode(st)
			}
			p.mu.Unlock()
			close(p.done)
			return
		case <-tick.C:
			p.sample(n%countEvery == 0, limits)
		}
	}
}

func exitCode(st *os.ProcessState) int {
	if ws, ok := st.Sys().(syscall.WaitStatus); ok && ws.Signaled() {
		return 128 + int(ws.Signal())
	}
	return st.ExitCode()
}

func (p *Process) sample(count bool, limits Limits) {
	folder := filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
	status, err := os.ReadFile(filepath.Join(folder, "status"))
	if err != nil {
		return // it has just ended
	}
	peak, now := field(status, "VmHWM:"), field(status, "VmRSS:")
	open := 0
	if count {
		if entries, err := os.ReadDir(filepath.Join(folder, "fd")); err == nil {
			open = len(entries)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.PeakMB = max(p.usage.PeakMB, peak/1024)
	p.usage.Descriptors = max(p.usage.Descriptors, open)
	if limits.MemoryMB > 0 && now/1024 > limits.MemoryMB && p.killed == "" {
		p.killed = fmt.Sprintf("killed for memory: %.0f of %.0f MB", now/1024, limits.MemoryMB)
		p.signal(syscall.SIGKILL)
	}
}

// field reads a figure of /proc/PID/status, in kB.
func field(status []byte, name string) float64 {
	_, rest, ok := bytes.Cut(status, []byte(name))
	if !ok {
		return 0
	}
	line, _, _ := bytes.Cut(rest, []byte("\n"))
	v, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(string(line), "kB")), 64)
	return v
}

// Signal sends a signal to the child alone. One that has ended gets none.
func (p *Process) Signal(sig syscall.Signal) error { return p.cmd.Process.Signal(sig) }

// Kill ends the child and all that it has started.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
}

func (p *Process) signal(sig syscall.Signal) {
	// Its group has its id. The child itself comes second: should it have left its group, it is met all the same.
	syscall.Kill(-p.cmd.Process.Pid, sig)
	p.cmd.Process.Signal(sig)
}

// Full makes the child's writes to files fail as on a full disk, or lets them through again. The system does so by the
// limit on a file's size, which is 0 then: what a file has stays, and reads go on.
func (p *Process) Full(on bool) error {
	var limit unix.Rlimit
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		return unlessEnded(err)
	}
	limit.Cur = limit.Max
	if on {
		limit.Cur = 0
	}
	return unlessEnded(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil))
}

// unlessEnded makes nothing of it that a child has ended meanwhile.
func unlessEnded(err error) error {
	if errors.Is(err, unix.ESRCH) {
		return nil
	}
	return err
}

// Done is closed when it has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// PID is the child's process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Usage is what it has taken so far; the time of the processor is known at the end only.
func (p *Process) Usage() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}

// End says how it ended, after Done: its exit code (128 and the signal's number if one ended it) and its last words.
func (p *Process) End() (code int, words string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed != "" {
		return p.code, p.killed
	}
	return p.code, p.tail.last()
}

// LastWords is the last line of its log so far.
func (p *Process) LastWords() string { return p.tail.last() }

// tail keeps the end of a log and hands all of it on.
type tail struct {
	mu  sync.Mutex
	buf []byte
	to  io.Writer
}

// Write implements io.Writer. It never fails: a log that cannot be kept must not stop a scheduler.
func (t *tail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.to != nil {
		t.to.Write(b)
	}
	t.buf = append(t.buf, b...)
	if over := len(t.buf) - tailBytes; over > 0 {
		t.buf = append(t.buf[:0], t.buf[over:]...)
	}
	return len(b), nil
}

// last is the last line that says something; of a panic its first.
func (t *tail) last() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(string(t.buf)), "\n")
	for _, l := range lines {
		if strings.HasPrefix(l, "panic:") || strings.HasPrefix(l, "fatal error:") {
			return clip(l)
		}
	}
	return clip(lines[len(lines)-1])
}

func clip(s string) string {
	if len(s) > 300 {
		return s[:300] + " ..."
	}
	return s
}
