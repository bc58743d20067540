package peering

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"laddertide/rehearse/daemon"
	"laddertide/rehearse/daemon/daemontest"
)

// startFull starts a scheduler's next process with a folder that takes no writes, from its first moment on.
func (p *post) startFull() {
	p.program = daemon.Program{Path: "/bin/sh", Args: []string{"-c", `ulimit -S -f 0; exec "$0" serve --fleet operators.yaml`, daemontest.Program}}
	p.start()
	p.program = daemon.Program{}
}

// full makes writes of the process fail, or lets them through again.
func (p *post) full(on bool) {
	p.r.t.Helper()
	if err := p.proc.Full(on); err != nil {
		p.r.t.Fatal(err)
	}
}

// TestStartOnAFullFolder guards against a process that ends as its ledger's folder takes no writes when it starts: what its predecessor
// has taken is owed by it.
func TestStartOnAFullFolder(t *testing.T) {
	r := newRig(t, 1)
	p := r.all[0]
	p.extra = "durable: {dir: d, keep_s: 60}\n"
	if err := os.MkdirAll(filepath.Join(r.dir, p.name, "d"), 0o700); err != nil {
		t.Fatal(err)
	}
	p.start()
	p.ready()
	open := r.task("settle", 5*time.Second, nil)
	began := make(chan reply, 1)
	p.send(open, func(a reply) { began <- a })
	r.until("it runs", func() bool { return r.busy() == 1 })
	p.kill()
	<-began
	p.startFull()
	p.ready()
	if status, _, again := p.request(r.task("limit-check", quick, nil)); status != 503 || !again {
		t.Errorf("a new job while nothing can be written: %d", status)
	}
	if status, body := call(p.listen, "GET", "/_health"); status != 200 || !strings.Contains(body, "file too large") {
		t.Errorf("/_health: %d %q", status, body)
	}
	answered := make(chan reply, 1)
	p.send(open, func(a reply) { answered <- a })
	r.until("it says that it waits", func() bool { return p.log.has("the ledger's folder takes no writes") })
	p.full(false)
	r.until("it says that it goes on", func() bool { return p.log.has("the ledger's folder takes writes: going on") })
	if status, _, _ := p.request(r.task("limit-check", quick, nil)); status != 200 {
		t.Errorf("a new job once writes go on: %d", status)
	}
	if a := <-answered; a.status != 200 {
		t.Errorf("the job of before: %+v", a)
	}
	if _, body := call(p.listen, "GET", "/_health"); strings.TrimSpace(body) != "serving" {
		t.Errorf("/_health: %q", body)
	}
}

// TestStartsWhileNothingCanBeWritten guards against other features whose folders take no writes as a process starts: it serves what
// needs no write, and all once writes go on.
func TestStartsWhileNothingCanBeWritten(t *testing.T) {
	for name, extra := range map[string]string{
		"owners":            "owners: {keep_s: 5, first_s: 0, dir: f}\n",
		"state":             "state: {dir: f}\n",
		"state and durable": "state: {dir: f}\ndurable: {dir: d, keep_s: 60}\n",
		"capture":           "capture: {dir: f}\n",
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 1)
			p := r.all[0]
			p.extra = extra
			for _, folder := range []string{"d", "f"} {
				if err := os.MkdirAll(filepath.Join(r.dir, p.name, folder), 0o700); err != nil {
					t.Fatal(err)
				}
			}
			serves := func() bool {
				status, _, _ := p.request(r.task("limit-check", quick, nil))
				return status == 200
			}
			p.start()
			p.ready()
			r.until("it serves", serves)
			p.kill()
			p.startFull()
			time.Sleep(2 * time.Second)
			select {
			case <-p.proc.Done():
				t.Fatalf("the process has ended: %s", p.proc.LastWords())
			default:
			}
			p.full(false)
			r.until("it serves again", serves)
		})
	}
}

// TestReplicatedStartsWhileNothingCanBeWritten is the same for the ledgers that several schedulers keep.
func TestReplicatedStartsWhileNothingCanBeWritten(t *testing.T) {
	r := newReplicated(t, 3)
	p := r.all[2]
	p.kill()
	p.startFull()
	time.Sleep(2 * time.Second)
	select {
	case <-p.proc.Done():
		t.Fatalf("the process has ended: %s", p.proc.LastWords())
	default:
	}
	p.full(false)
	p.takes()
}
