package run

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"time"

	"laddertide/core/history"
	"laddertide/rehearse/daemon"
)

// Operators' actions on a serving scheduler.

const (
	upgradeTimeout        = 6 * time.Second // for the second process of an upgrade to become ready
	operatorTimeout       = time.Second     // for the response to an operator's request
	badConfigTime         = 1 * time.Second // between a broken configuration file and a valid one
	disableLead           = 2 * time.Second // between disabling a worker and the end of its process
	operatorRetryInterval = 20 * time.Millisecond
)

// requestStatus makes an operator's request and returns the status of the response; 0: there was none in time.
func requestStatus(address, method, path string) int {
	c, err := net.DialTimeout("tcp", address, operatorTimeout)
	if err != nil {
		return 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(operatorTimeout))
	if _, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", method, path, address); err != nil {
		return 0
	}
	answer, err := http.ReadResponse(bufio.NewReaderSize(c, 4096), nil)
	if err != nil {
		return 0
	}
	answer.Body.Close()
	return answer.StatusCode
}

// upgrade starts a second process beside the current one, and ends the first once the second is ready. The rules treat both
// as one process: the number of the life stays.
func (p *schedulerHost) upgrade(ctx context.Context) {
	if !p.awaitMinUptime(ctx) {
		return
	}
	p.mu.Lock()
	old, life, from := p.process, p.life, p.r.rec.Since()
	if p.closed || old == nil || !p.ready {
		p.mu.Unlock()
		return
	}
	next, admin, err := p.launch(daemon.Limits{MemoryMB: p.r.plan.MemoryMB, Sockets: p.r.plan.Sockets})
	p.mu.Unlock()
	if err != nil {
		p.r.must(err)
		return
	}
	for requestStatus(admin, "GET", "/-/ready") != 200 {
		select {
		case <-next.Done():
			code, lastOutput := next.End()
			p.r.rec.Add(history.Event{Kind: history.KindExit, Scheduler: p.name, Life: life, Code: code, Note: lastOutput})
			return
		default:
		}
		if p.r.rec.Since()-from > upgradeTimeout+p.r.rec.Stalled() || !sleep(ctx, operatorRetryInterval) {
			next.Kill()
			<-next.Done()
			if ctx.Err() == nil {
				p.r.rec.Add(history.Event{Kind: history.KindExit, Scheduler: p.name, Life: life, Note: "not ready in time"})
			}
			return
		}
	}
	p.mu.Lock()
	if p.closed || p.life != life { // killed in the meantime
		p.mu.Unlock()
		next.Kill()
		<-next.Done()
		return
	}
	p.r.rec.Add(history.Event{Kind: history.KindUpgrade, Scheduler: p.name, Life: life, From: from.Microseconds()})
	p.process, p.admin, p.startedAt = next, admin, time.Now()
	p.mu.Unlock()
	p.r.goroutines.Go(func() { p.recordExit(next, life) })
	old.Signal(syscall.SIGTERM)
	timer := time.NewTimer(p.r.plan.KillAfter())
	defer timer.Stop()
	select {
	case <-old.Done():
	case <-timer.C:
	case <-ctx.Done():
	}
	old.Kill()
	<-old.Done()
}

// retune gives the current process an invalid configuration file, and a second later a valid one with other settings.
func (p *schedulerHost) retune(ctx context.Context) {
	file := filepath.Join(p.dir, "config.json")
	if !p.awaitMinUptime(ctx) {
		return
	}
	p.mu.Lock()
	err := replace(file, []byte(`{"name":`))
	if err == nil && p.process != nil && p.ready {
		p.process.Signal(syscall.SIGHUP)
	}
	p.mu.Unlock()
	p.r.must(err)
	if !sleep(ctx, badConfigTime) {
		return
	}
	attempts, class, repeat := p.r.plan.ChangedSettings()
	p.controlWithEvent(history.Event{Kind: history.KindSettingsChange, Tries: attempts, Class: class, Note: string(repeat)}, false,
		func(proc *daemon.Process) {
			p.settingsChanged = true
			known, _ := p.r.discovery.Known(p.index)
			if err := p.configure(file, known); err != nil {
				p.r.stop(err)
				return
			}
			proc.Signal(syscall.SIGHUP)
		})
}

// setWorkerEnabled disables or enables a worker at the scheduler as an operator does, and records the result.
func (p *schedulerHost) setWorkerEnabled(worker string, disable bool) {
	p.mu.Lock()
	admin, ready := p.admin, p.ready
	p.mu.Unlock()
	if !ready {
		return
	}
	verb := "enable"
	if disable {
		verb = "disable"
	}
	from := p.r.rec.Since()
	status := requestStatus(admin, "PUT", "/-/auth-workers/"+worker+"/"+verb)
	p.r.rec.Add(history.Event{Kind: history.KindOperatorChange, Scheduler: p.name, Worker: worker, On: disable, From: from.Microseconds(),
		Status: status})
}

// maintainWorker disables a worker at all schedulers, replaces its process, and enables it again.
func (r *run) maintainWorker(w int, downtime time.Duration) {
	name := r.plan.Workers[w].Name
	disableAt, enableAt := r.hosts, r.hosts
	if r.links != nil { // schedulers share the change, so one of them is enough
		disableAt, enableAt = r.hosts[w%len(r.hosts):][:1], r.hosts[(w+1)%len(r.hosts):][:1]
	}
	for _, p := range disableAt {
		p.setWorkerEnabled(name, true)
	}
	if sleep(r.ctx, disableLead) {
		r.replaceWorker(w, 0, max(0, downtime-disableLead))
	}
	for _, p := range enableAt {
		p.setWorkerEnabled(name, false)
	}
}
