package run

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"laddertide/core/history"
	"laddertide/ledger/faultfs"
	"laddertide/rehearse/daemon"
	"laddertide/rehearse/scenario"
)

// schedulerHost manages one scheduler of the plan: its address, its files, and its successive processes.
type schedulerHost struct {
	r           *run
	index       int
	name        string
	listen      string
	peerAddress string // address for its peers; empty: it has no peers
	peerRelay   string // address of the relay in front of peerAddress
	dir         string
	log         *os.File

	mu              sync.Mutex
	life            int
	process         *daemon.Process
	discovery       string // address in its configuration file
	admin           string // operators' address of the current process; empty: none
	settingsChanged bool   // its configuration file has the changed settings
	startedAt       time.Time
	ready           bool
	closed          bool // no further process is started
	useInitialList  bool // the next process starts with the list of workers that the first one had
	initialList     []byte
	initialEntries  []history.Entry // the entries of initialList
	usage           daemon.Usage
}

// start starts the next process with discovery's current list of workers, unless the successor of the previous process has
// been started already: a process can get two orders to end.
func (p *schedulerHost) start(previous *daemon.Process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.process != previous {
		return nil
	}
	list, entries := p.r.discovery.Known(p.index)
	if p.life == 0 {
		p.initialList, p.initialEntries = list, entries
	}
	if p.useInitialList {
		p.useInitialList, list, entries = false, p.initialList, p.initialEntries
		if err := p.writeOutdatedPeers(); err != nil {
			return err
		}
	}
	file := filepath.Join(p.dir, "config.json")
	if err := p.configure(file, list); err != nil {
		return err
	}
	tmp := filepath.Join(p.dir, "tmp")
	if err := os.RemoveAll(tmp); err != nil {
		return err
	}
	if err := os.Mkdir(tmp, 0o700); err != nil {
		return err
	}
	p.life++
	life := p.life
	p.r.fleet.SetLife(p.index, life)
	p.r.discovery.SetLife(p.index, life)
	p.r.rec.Add(history.Event{Kind: history.KindStart, Scheduler: p.name, Life: life, Entries: entries})
	limits := daemon.Limits{MemoryMB: p.r.plan.MemoryMB, Sockets: p.r.plan.Sockets}
	proc, admin, err := p.launch(limits)
	if err != nil {
		return err
	}
	p.admin = admin
	p.process, p.startedAt, p.ready = proc, time.Now(), false
	p.r.goroutines.Go(func() { p.recordExit(proc, life) })
	if life > 1 {
		p.r.goroutines.Go(func() { p.awaitReady(p.r.ctx) })
	}
	return nil
}

// launch starts a process, with an operators' address of its own if the plan asks for it. Called under mu.
func (p *schedulerHost) launch(limits daemon.Limits) (proc *daemon.Process, admin string, err error) {
	if p.r.plan.Admin {
		if admin, err = freeAddress(p.r.net); err != nil {
			return nil, "", err
		}
	}
	powerLossSpec := ""
	if p.r.plan.LosesUnsynced { // each process draws its own power-loss seed
		powerLossSpec = fmt.Sprintf("seed=%d,early=0.3,torn=0.1", scenario.RandomStream(p.r.plan.Seed, fmt.Sprintf("disk %s %d", p.name, p.life)).Uint64())
	}
	proc, err = daemon.Start(p.r.opt.Program, p.dir, environment(map[string]string{"GW_NAME": p.name, "GW_LISTEN": p.listen, powerLoss: powerLossSpec,
		"GW_ADMIN": admin, "GW_DISCOVERY": p.discovery, "GW_CONFIG": filepath.Join(p.dir, "config.json"),
		"TMPDIR": filepath.Join(p.dir, "tmp")}), limits, p.log)
	return proc, admin, err
}

func (p *schedulerHost) configure(file string, list []byte) error {
	raw, err := p.r.plan.ConfigWithSettings(p.index, p.listen, p.discovery, list, p.settingsChanged)
	if err != nil {
		return err
	}
	return replace(file, raw)
}

// recordExit waits for the end of a process and records it.
func (p *schedulerHost) recordExit(proc *daemon.Process, life int) {
	<-proc.Done()
	code, lastOutput := proc.End()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usage.Add(proc.Usage())
	if p.process != proc && p.life == life && code == 0 {
		return // replaced by an upgrade: the rules treat both as one process
	}
	p.r.rec.Add(history.Event{Kind: history.KindExit, Scheduler: p.name, Life: life, Code: code, Note: lastOutput})
}

// awaitReady waits until the current process serves.
func (p *schedulerHost) awaitReady(ctx context.Context) error {
	p.mu.Lock()
	proc, life, began := p.process, p.life, p.startedAt
	p.mu.Unlock()
	for {
		if healthy(p.listen) {
			p.mu.Lock()
			if p.life == life {
				p.ready = true
				p.r.rec.Add(history.Event{Kind: history.KindReady, Scheduler: p.name, Life: life})
			}
			p.mu.Unlock()
			return nil
		}
		select {
		case <-proc.Done():
			code, lastOutput := proc.End()
			if lastOutput == "" {
				lastOutput = "no output"
			}
			return fmt.Errorf("scheduler %s ended before it served, exit status %d: %s", p.name, code, lastOutput)
		case <-ctx.Done():
			return context.Cause(ctx)
		default:
		}
		if time.Since(began) > startupTimeout {
			return fmt.Errorf("scheduler %s does not answer GET /_health with 200 after %s; its last output: %s", p.name, startupTimeout, proc.LastWords())
		}
		sleep(ctx, healthInterval)
	}
}

// healthy reports whether a scheduler's health check says that it serves.
func healthy(address string) bool { return requestStatus(address, "GET", "/_health") == http.StatusOK }

// awaitMinUptime waits until a second has passed since the start of the current process, as no SIGHUP or upgrade is sent in its
// first second.
func (p *schedulerHost) awaitMinUptime(ctx context.Context) bool {
	p.mu.Lock()
	due := p.startedAt.Add(minUptime)
	p.mu.Unlock()
	return sleep(ctx, time.Until(due))
}

// control records an event and then acts on the current process. It records first, as the process may react at once.
func (p *schedulerHost) control(kind history.Kind, action func(*daemon.Process)) (*daemon.Process, bool) {
	return p.controlKind(kind, false, action)
}

// controlKind is like control; with early set, the process need not serve yet.
func (p *schedulerHost) controlKind(kind history.Kind, early bool, action func(*daemon.Process)) (*daemon.Process, bool) {
	return p.controlWithEvent(history.Event{Kind: kind}, early, action)
}

// controlWithEvent is like controlKind with a whole event to record.
func (p *schedulerHost) controlWithEvent(ev history.Event, early bool, action func(*daemon.Process)) (*daemon.Process, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.process == nil || !p.ready && !early {
		return nil, false
	}
	select {
	case <-p.process.Done():
		return nil, false // it has crashed: its exit stays the last event of it
	default:
	}
	ev.Scheduler, ev.Life = p.name, p.life
	p.r.rec.Add(ev)
	action(p.process)
	return p.process, true
}

// apply applies a step to this scheduler. It returns once the step's signal, if any, has been sent; everything that takes
// longer continues in the background until ctx ends.
func (p *schedulerHost) apply(ctx context.Context, step scenario.Step) {
	switch step.Act {
	case scenario.Pause:
		p.pause(step.Value > 0)
	case scenario.DiskFull:
		p.r.must(p.fillDisk(step.Value > 0))
	case scenario.Term:
		p.restart(ctx, step)
	case scenario.Kill:
		p.kill(ctx, step)
	case scenario.Reload:
		p.r.goroutines.Go(func() { p.reload(ctx) })
	case scenario.Upgrade:
		p.r.goroutines.Go(func() { p.upgrade(ctx) })
	case scenario.SettingsChange:
		p.r.goroutines.Go(func() { p.retune(ctx) })
	}
}

// restart performs a planned restart: SIGTERM, for some steps after a SIGHUP, SIGKILL if the process does not end in time,
// and the next process.
func (p *schedulerHost) restart(ctx context.Context, st scenario.Step) {
	if !st.AfterHup {
		p.terminate(ctx, st)
		return
	}
	p.r.goroutines.Go(func() {
		if p.awaitMinUptime(ctx) {
			p.moveDiscovery()
			sleep(ctx, st.SignalGap)
		}
		p.terminate(ctx, st)
	})
}

// terminate sends SIGTERM and has the process replaced in the background.
func (p *schedulerHost) terminate(ctx context.Context, st scenario.Step) {
	proc, ok := p.control(history.KindTerm, func(proc *daemon.Process) { proc.Signal(syscall.SIGTERM) })
	if !ok {
		return
	}
	if st.SecondTerm {
		time.AfterFunc(st.SignalGap, func() { proc.Signal(syscall.SIGTERM) })
	}
	p.r.goroutines.Go(func() { p.replaceProcess(ctx, proc) })
}

// replaceProcess waits for the end of a process that got SIGTERM, kills it if it takes too long, and starts the next one.
func (p *schedulerHost) replaceProcess(ctx context.Context, proc *daemon.Process) {
	select {
	case p.r.terms <- p.index:
	case <-ctx.Done():
	}
	// Time during which the machine was paused does not count against the process.
	began, stalled := p.r.rec.Since(), p.r.rec.Stalled()
	left := func() time.Duration {
		return p.r.plan.KillAfter() - (p.r.rec.Since() - began) + (p.r.rec.Stalled() - stalled)
	}
	timer := time.NewTimer(left())
	defer timer.Stop()
	for again := true; again; {
		select {
		case <-proc.Done():
			again = false
		case <-ctx.Done():
			return
		case <-timer.C:
			if more := left(); more > 0 {
				timer.Reset(more)
				continue
			}
			again = false
		}
	}
	select {
	case <-proc.Done():
	default:
		if _, ok := p.control(history.KindKill, (*daemon.Process).Kill); !ok {
			proc.Kill()
		}
		<-proc.Done()
	}
	if ctx.Err() == nil {
		p.startNext(proc)
	}
}

// kill emulates the failure of a machine: it kills the process and starts the next one after a while. With st.Early, a
// process that does not serve yet is killed as well. The step determines the state of the disk and the list of workers with
// which the next process starts.
func (p *schedulerHost) kill(ctx context.Context, st scenario.Step) {
	note := map[string]string{scenario.DiskDelete: history.DiskLost, scenario.DiskRestore: history.DiskRestored}[st.Disk]
	proc, ok := p.controlWithEvent(history.Event{Kind: history.KindKill, Note: note}, st.KillStarting, (*daemon.Process).Kill)
	if ok {
		p.r.goroutines.Go(func() { p.restartKilled(ctx, proc, st) })
	}
}

// restartKilled starts the next process some time after a killed process has ended.
func (p *schedulerHost) restartKilled(ctx context.Context, killed *daemon.Process, st scenario.Step) {
	<-killed.Done()
	p.r.must(p.changeDisk(st.Disk))
	p.mu.Lock()
	p.useInitialList = st.OldLists
	p.mu.Unlock()
	if sleep(ctx, st.Down) {
		p.startNext(killed)
	}
}

// changeDisk saves, restores or wipes the folders of a scheduler that is not running, as the step says.
func (p *schedulerHost) changeDisk(what string) error {
	for _, f := range append([]string{scenario.StateFolder}, p.r.plan.Folders...) {
		dir, saved := filepath.Join(p.dir, f), filepath.Join(p.dir, "tmp-kept", f)
		if _, err := os.Stat(dir); err != nil {
			continue
		}
		var err error
		switch what {
		case scenario.DiskSave:
			if err = os.RemoveAll(saved); err == nil {
				err = faultfs.CopyFolder(dir, saved)
			}
		case scenario.DiskRestore:
			if _, statErr := os.Stat(saved); statErr == nil {
				err = faultfs.RestoreFolder(dir, saved)
			}
		case scenario.DiskDelete:
			if err = os.RemoveAll(dir); err == nil {
				err = os.Mkdir(dir, 0o755)
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *schedulerHost) startNext(previous *daemon.Process) {
	if err := p.start(previous); err != nil {
		// The first process started from the same files, so the fault is this machine's and the run cannot continue.
		p.r.stop(fmt.Errorf("scheduler %s cannot be started again: %w", p.name, err))
	}
}

// fillDisk fills the disk of the current process, or frees the space again.
func (p *schedulerHost) fillDisk(on bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.process.Done():
		return nil
	default:
		return p.process.Full(on)
	}
}

// reload moves discovery to a new agent, writes a new configuration file, and sends SIGHUP.
func (p *schedulerHost) reload(ctx context.Context) {
	if p.awaitMinUptime(ctx) {
		p.moveDiscovery()
	}
}

// moveDiscovery writes a configuration file with a new address of discovery, and sends SIGHUP to the current process.
func (p *schedulerHost) moveDiscovery() {
	// A process that is still starting is skipped: it has read its file already or is about to read the current one. It gets
	// no signal, and its discovery does not move.
	p.control(history.KindHup, func(proc *daemon.Process) {
		_, err := p.r.discovery.Move(p.index)
		var address string
		if err == nil {
			address, err = p.r.world.DiscoveryAddress(p.index)
		}
		if err == nil {
			p.discovery = address
			known, _ := p.r.discovery.Known(p.index)
			err = p.configure(filepath.Join(p.dir, "config.json"), known)
		}
		if err != nil {
			p.r.stop(fmt.Errorf("cannot move the discovery of %s: %w", p.name, err))
			return
		}
		proc.Signal(syscall.SIGHUP)
	})
}

// shutdown kills the current process, and no further one is started.
func (p *schedulerHost) shutdown() {
	p.mu.Lock()
	p.closed = true
	proc := p.process
	if proc != nil {
		select {
		case <-proc.Done():
		default:
			p.r.rec.Add(history.Event{Kind: history.KindKill, Scheduler: p.name, Life: p.life})
			proc.Kill()
		}
	}
	p.mu.Unlock()
	if proc != nil {
		<-proc.Done()
	}
	if p.log != nil {
		p.log.Close()
	}
}

func (p *schedulerHost) currentLife() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.life
}

func (p *schedulerHost) totalUsage() daemon.Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.usage
}
