// Command review2 plays the cases of the second review: it starts the scheduler's program as the deploy file does, and stand-ins for
// workers, discovery, clients and the platform. Everything is on loopback addresses, with free ports and a folder of its own.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// rig is one play of a case.
type rig struct {
	trouble bool
	dir     string          // temporary
	given   map[string]bool // addresses that were given to schedulers, which listen there later
	host    string          // a loopback address of this play's own, so that nobody else takes its free ports
	began   time.Time

	mu        sync.Mutex
	record    *bufio.Writer
	ended     bool // nothing more is recorded
	procs     []*proc
	closed    bool // no process is started any more
	onCleanup []func()
}

// note writes a line of record.txt.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) endRecord() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	r.record.Flush()
}

// cannotRun ends the play with the exit status of a case that could not run.
type cannotRun struct{ why string }

func (r *rig) giveUp(format string, args ...any) { panic(cannotRun{fmt.Sprintf(format, args...)}) }

func (r *rig) must(err error) {
	if err != nil {
		r.giveUp("%v", err)
	}
}

// cleanup ends all processes of the play.
func (r *rig) cleanup() {
	r.mu.Lock()
	r.closed = true
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	for _, f := range r.onCleanup {
		f()
	}
	os.RemoveAll(r.dir)
}

// folder makes a folder in the temporary one.
func (r *rig) folder(name string) string {
	path := filepath.Join(r.dir, name)
	r.must(os.MkdirAll(path, 0o755))
	return path
}

// file writes a file in the temporary folder.
func (r *rig) file(name, text string) string {
	path := filepath.Join(r.dir, name)
	r.must(os.WriteFile(path, []byte(text), 0o644))
	return path
}

// freePort returns a loopback address with a port that is free, for TCP and UDP. It is below the ports that the system gives to
// connections, and is given once.
func (r *rig) freePort() string {
	for range 200 {
		address := fmt.Sprintf("%s:%d", r.host, 12000+rand.IntN(20000))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		pc, err := net.ListenPacket("udp", address)
		ln.Close()
		if err != nil {
			continue
		}
		pc.Close()
		if !r.given[address] {
			r.given[address] = true
			return address
		}
	}
	r.giveUp("no free port")
	return ""
}

func (r *rig) listen() net.Listener {
	for {
		ln, err := net.Listen("tcp", r.host+":0")
		r.must(err)
		r.onCleanup = append(r.onCleanup, func() { ln.Close() })
		if !r.given[ln.Addr().String()] {
			return ln
		}
	}
}

// proc is a process of the project's program.
type proc struct {
	r    *rig
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a command as the platform does: from the root of the repository, by sh.
func (r *rig) start(name, line string, env ...string) *proc {
	cmd := exec.Command("/bin/sh", "-c", "exec "+line)
	cmd.Env = append(os.Environ(), env...)
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	out, err := cmd.StderrPipe()
	r.must(err)
	p := &proc{r: r, name: name, cmd: cmd, done: make(chan struct{})}
	r.mu.Lock()
	if !r.closed {
		err = cmd.Start()
		r.procs = append(r.procs, p)
	}
	closed := r.closed
	r.mu.Unlock()
	if closed || err != nil {
		r.giveUp("%s is not started: %v", name, err)
	}
	r.note("platform: started %s (%s)", name, line)
	go func() {
		lines := bufio.NewScanner(out)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			if text := lines.Text(); !strings.HasPrefix(text, "laddertide.") {
				r.note("  %s logs: %s", name, text)
			}
		}
		io.Copy(io.Discard, out)
		cmd.Wait()
		close(p.done)
	}()
	return p
}

func (p *proc) signal(s syscall.Signal) {
	p.r.note("platform: %v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (p *proc) kill() {
	p.cmd.Process.Kill()
	select {
	case <-p.done:
	case <-time.After(5 * time.Second):
	}
}

// scheduler is the configuration of one scheduler of a play.
type scheduler struct {
	r                        *rig
	name, listen, configFile string
	admin                    string
	fleetFile                string
	discovery                string
	*proc
}

// newScheduler writes the configuration of a scheduler.
func (r *rig) newScheduler(name, discovery string, settings map[string]any, fleet string) *scheduler {
	s := &scheduler{r: r, name: name, listen: r.freePort(), discovery: discovery}
	s.configFile = filepath.Join(r.dir, name+".json")
	s.configure(settings)
	s.fleetFile = r.file(name+".yaml", fleet)
	return s
}

// configure writes the configuration file with other settings.
func (s *scheduler) configure(settings map[string]any) {
	b, err := json.MarshalIndent(map[string]any{
		"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":    map[string]any{"index": 0, "snapshot": true, "endpoints": []any{}},
		"settings": settings,
	}, "", " ")
	s.r.must(err)
	s.r.must(os.WriteFile(s.configFile, b, 0o644))
}

// run starts the scheduler and waits until it takes jobs.
func (s *scheduler) run() {
	s.launch()
	s.awaitHealthy(20 * time.Second)
}

// launch starts the scheduler.
func (s *scheduler) launch() {
	line := "bin/laddertide serve --config " + s.configFile + " --fleet " + s.fleetFile
	if s.admin != "" {
		line += " --admin " + s.admin
	}
	s.proc = s.r.start(s.name, line, "TMPDIR="+s.r.folder(s.name+".tmp"))
}

func (s *scheduler) awaitHealthy(limit time.Duration) {
	for by := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		a := send(s.listen, "GET /_health HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", time.Second)
		if a.status == 200 {
			s.r.note("platform: %s is ready", s.name)
			return
		}
		if time.Now().After(by) {
			s.r.giveUp("%s is not ready: %v", s.name, a)
		}
	}
}

// siteSettings are settings like those of the operators' site, with the classes given.
func siteSettings(schedulers int, lanes ...map[string]any) map[string]any {
	stretch := make([]float64, len(lanes))
	for i := range stretch {
		stretch[i] = 2
	}
	return map[string]any{
		"me": 0, "fleet-size": schedulers, "zone": 0,
		"localities": []string{"tukwila", "hillsboro"}, "shapes": []string{"fast-2", "wide-3"},
		"discovery": "automatic", "worth-by": "work", "over-share-worth": 0.2,
		"family-info": map[string]any{"tells-start": true, "class-stretch": stretch},
		"fees":        map[string]any{"cross-zone": 0.084},
		"obligations": map[string]any{"answer-slack": 8000, "cold-from": 0.3, "warm-within": 9000000, "fall": 1000000,
			"fall-multiple": 3.0, "stop-sending-within": 2000000},
		"permissions": map[string]any{"cancel": true, "dial-timeout": 250000, "idle-close": 10000000, "try-limit": 4,
			"retry-after": true, "max-retry-after": 2000000},
		"lanes": lanes,
		"parties": []map[string]any{{"name": "rainier-haul", "quota-rps": 13.0}, {"name": "puget-delivery", "quota-rps": 12.0},
			{"name": "willamette-crews", "quota-rps": 5.0}},
	}
}

func limitCheck() map[string]any {
	return map[string]any{"name": "limit-check", "repeat": "read_like", "goal-time": 150000, "deadline": 5000000, "worth": 1.0}
}

func settle() map[string]any {
	return map[string]any{"name": "settle", "repeat": "idempotency_key", "group": "all", "repeat-window": 40000000,
		"goal-time": 600000, "deadline": 25000000, "worth": 8.0}
}

func cardIssue() map[string]any {
	return map[string]any{"name": "card-issue", "repeat": "non_idempotent", "goal-time": 600000, "deadline": 8000000, "worth": 8.0}
}
