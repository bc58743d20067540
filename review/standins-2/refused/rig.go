// Command refused plays case 10 of the review: it starts three schedulers that keep each other's ledgers as separate processes, and plays the
// workers, discovery and the clients around them by the operators' pages.
//
//	review2-refused RECORD
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
// disruption.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// verdict is how a case ends.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	unable verdict = 2
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: review2-refused RECORD, from the root of the repository")
		os.Exit(int(unable))
	}
	os.Exit(int(run(os.Args[1])))
}

// run plays the case, in at most 110 seconds, and ends all processes that it started.
func run(record string) verdict {
	out, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer out.Close()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer os.RemoveAll(dir)
	r := &rig{dir: dir, out: out, began: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	r.note("case 10, trouble: %v", r.trouble)
	result := make(chan verdict, 1)
	go func() {
		defer func() {
			if p := recover(); p != nil {
				r.note("could not run: %v", p)
				result <- unable
			}
		}()
		result <- refused(r)
	}()
	v := unable
	select {
	case v = <-result:
	case <-time.After(110 * time.Second):
		r.note("could not run: not over in time")
	}
	r.endAll()
	r.note("verdict: %s", map[verdict]string{held: "the rule held", broken: "THE RULE WAS BROKEN", unable: "the case could not run"}[v])
	return v
}

// rig is the surroundings of one case.
type rig struct {
	dir     string
	trouble bool
	began   time.Time

	mu    sync.Mutex
	out   *os.File
	procs []*process
}

// note writes a line to the record and to standard output.
func (r *rig) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// must ends the case as one that could not run.
func must(err error) {
	if err != nil {
		panic(err)
	}
}

// given are the addresses that freeAddress has returned.
var given = make(map[string]bool)

// freeAddress returns a loopback address that nobody listens on. Its port is below those that systems give to outgoing connections, so
// that none of these takes it before the process does for which it is meant.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 12_000+rand.IntN(18_000))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		ln.Close()
		if !given[address] {
			given[address] = true
			return address
		}
	}
	panic("there is no free port")
}

// object is a JSON object.
type object = map[string]any

// settings are those of a deployment like the operators', with its three classes.
func settings(schedulers, me int) object {
	return object{
		"me": me, "fleet-size": schedulers, "zone": 0, "localities": []string{"tukwila"}, "shapes": []string{"fast-2"},
		"discovery": "automatic", "worth-by": "work", "over-share-worth": 0.2,
		"family-info": object{"tells-start": true, "class-stretch": []float64{2, 2, 2.5}},
		"obligations": object{"answer-slack": 8000, "cold-from": 0.3, "warm-within": 9000000, "fall": 1000000, "fall-multiple": 3.0,
			"stop-sending-within": 2000000},
		"permissions": object{"cancel": true, "dial-timeout": 250000, "idle-close": 10000000, "try-limit": 4, "retry-after": true,
			"max-retry-after": 2000000},
		"lanes": []object{
			{"name": "limit-check", "repeat": "read_like", "goal-time": 150000, "deadline": 5000000, "worth": 1.0},
			{"name": "settle", "repeat": "idempotency_key", "group": "all", "repeat-window": 40000000, "goal-time": 600000,
				"deadline": 25000000, "worth": 8.0},
			{"name": "card-issue", "repeat": "non_idempotent", "goal-time": 600000, "deadline": 8000000, "worth": 8.0},
		},
		"parties": []object{{"name": "rainier-haul", "quota-rps": 100.0}},
	}
}

// scheduler is how one scheduler process is to be started.
type scheduler struct {
	name, listen, admin, discovery, tmp, fleet string
	settings                                   object
	memory                                     int // MB; 0: 192
}

// process is a scheduler process.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// start starts a scheduler by the run line of the deploy file, with an operators' file of its own.
func (r *rig) start(s scheduler) *process {
	config := filepath.Join(r.dir, s.name+".json")
	file := object{"name": s.name, "listen": s.listen, "discovery": s.discovery, "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": s.settings}
	if s.admin != "" {
		file["admin"] = s.admin
	}
	if s.memory > 0 {
		file["limits"].(object)["memory_mb"] = s.memory
	}
	raw, err := json.Marshal(file)
	must(err)
	must(os.WriteFile(config, raw, 0o600))
	fleet := filepath.Join(r.dir, s.name+".yaml")
	must(os.WriteFile(fleet, []byte(s.fleet), 0o600))
	tmp := s.tmp
	if tmp == "" {
		tmp = filepath.Join(r.dir, s.name+".tmp")
	}
	must(os.MkdirAll(tmp, 0o700))
	number := 0
	r.mu.Lock()
	number = len(r.procs)
	r.mu.Unlock()
	log, err := os.Create(filepath.Join(r.dir, fmt.Sprintf("%s.%d.log", s.name, number)))
	must(err)
	cmd := exec.Command("/bin/sh", "-c", "exec bin/laddertide serve --fleet "+fleet)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+config, "GW_NAME="+s.name, "GW_LISTEN="+s.listen, "GW_DISCOVERY="+s.discovery, "TMPDIR="+tmp)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	p := &process{name: s.name, cmd: cmd, done: make(chan struct{})}
	r.mu.Lock()
	r.procs = append(r.procs, p)
	r.mu.Unlock()
	go func() {
		cmd.Wait()
		log.Close()
		close(p.done)
	}()
	r.note("%s started, process %d", s.name, number)
	return p
}

// signal sends a signal to a process.
func (r *rig) signal(p *process, s syscall.Signal) {
	r.note("%s gets %v", p.name, s)
	must(p.cmd.Process.Signal(s))
}

// endAll kills all processes and appends what they logged to the record.
func (r *rig) endAll() {
	r.mu.Lock()
	procs := r.procs
	r.mu.Unlock()
	for _, p := range procs {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Kill()
		<-p.done
	}
	logs, _ := filepath.Glob(filepath.Join(r.dir, "*.log"))
	for _, path := range logs {
		b, _ := os.ReadFile(path)
		if len(b) > 8<<10 {
			b = b[len(b)-8<<10:]
		}
		r.mu.Lock()
		fmt.Fprintf(r.out, "--- log %s\n%s", filepath.Base(path), b)
		r.mu.Unlock()
	}
}

// awaitHealthy waits until a scheduler answers its health check.
func (r *rig) awaitHealthy(address string) { r.awaitStatus("http://" + address + "/_health") }

// awaitStatus waits until a page answers 200.
func (r *rig) awaitStatus(url string) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for by := time.Now().Add(20 * time.Second); time.Now().Before(by); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return
		}
	}
	must(errors.New("not ready: " + url))
}
