package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// fleetWorker is a sound worker of a fleet of schedulers. It has an address for each scheduler, as the protocol allows, and calls back
// the scheduler that sent the job.
type fleetWorker struct {
	name      string
	addresses map[string]string // by the scheduler's name
}

// fleet is several schedulers with their workers, and what has run.
type fleet struct {
	r          *rig
	schedulers []*scheduler
	agents     []*discovery
	workers    []*fleetWorker
	runTime    func(class string) time.Duration
	result     func(id, worker string, n int) string

	mu        sync.Mutex
	runTimeOf map[string]time.Duration // of a job, by id; else by its class
	runs      map[string][]string      // by id: where and when
	out       map[string]chan struct{}
	acked     map[string]string // by id: when a result of it was acknowledged
}

// acknowledgedAt returns when a scheduler acknowledged the result of a job, in seconds; "": none did.
func (f *fleet) acknowledgedAt(id string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acked[id]
}

func (r *rig) newFleet(schedulers, workers int, features func(i int, f *fleet) string, lanes ...map[string]any) *fleet {
	f := &fleet{r: r, runs: map[string][]string{}, out: map[string]chan struct{}{}, acked: map[string]string{}, runTime: func(string) time.Duration { return 200 * time.Millisecond },
		result: func(id, worker string, n int) string { return fmt.Sprintf("%s at %s, run %d", id, worker, n) }}
	for i := range schedulers {
		d := r.newDiscovery()
		f.agents = append(f.agents, d)
		set := siteSettings(schedulers, lanes...)
		set["me"] = i
		f.schedulers = append(f.schedulers, r.newScheduler(fmt.Sprintf("n%d", i), d.address, set, ""))
	}
	for i, s := range f.schedulers {
		s.fleetFile = r.file(s.name+".yaml", features(i, f))
	}
	for i := range workers {
		w := &fleetWorker{name: fmt.Sprintf("s-%d", i+1), addresses: map[string]string{}}
		f.workers = append(f.workers, w)
		for k, s := range f.schedulers {
			ln := r.listen()
			w.addresses[s.name] = ln.Addr().String()
			server := &http.Server{Handler: http.HandlerFunc(func(a http.ResponseWriter, q *http.Request) { f.serve(w, s, a, q) })}
			go server.Serve(ln)
			r.onCleanup = append(r.onCleanup, func() { server.Close() })
			f.agents[k].set(&worker{name: w.name, address: w.addresses[s.name]}, "SERVING")
		}
	}
	return f
}

func (f *fleet) serve(w *fleetWorker, s *scheduler, a http.ResponseWriter, q *http.Request) {
	if q.Method == "DELETE" {
		id := q.URL.Path[len("/jobs/"):]
		f.mu.Lock()
		if c := f.out[w.name+" "+id]; c != nil {
			delete(f.out, w.name+" "+id)
			close(c)
		}
		f.mu.Unlock()
		f.r.note("%s: %s gives up %s", w.name, s.name, id)
		a.WriteHeader(200)
		return
	}
	id, class := q.Header.Get("X-Request-Id"), q.Header.Get("X-Class")
	if id == "" {
		a.WriteHeader(404)
		return
	}
	f.mu.Lock()
	f.runs[id] = append(f.runs[id], w.name+" for "+s.name)
	n, stop := len(f.runs[id]), make(chan struct{})
	f.out[w.name+" "+id] = stop
	takes, given := f.runTimeOf[id]
	f.mu.Unlock()
	if !given {
		takes = f.runTime(class)
	}
	f.r.note("%s: runs %s %s for %s, for the %d. time of all workers", w.name, class, id, s.name, n)
	a.WriteHeader(202)
	go func() {
		f.tell(s, map[string]any{"id": id, "from": w.name, "state": "started"})
		select {
		case <-stop:
			return
		case <-time.After(takes):
		}
		f.mu.Lock()
		if f.out[w.name+" "+id] == stop {
			delete(f.out, w.name+" "+id)
		}
		f.mu.Unlock()
		answered := f.tell(s, map[string]any{"id": id, "from": w.name, "state": "done", "result": f.result(id, w.name, n)})
		if answered {
			f.mu.Lock()
			f.acked[id] = fmt.Sprintf("%.3f", time.Since(f.r.began).Seconds())
			f.mu.Unlock()
		}
		f.r.note("%s: %s %s is done; call-back acknowledged: %v", w.name, class, id, answered)
	}()
}

func (f *fleet) tell(s *scheduler, what map[string]any) bool {
	b, _ := json.Marshal(what)
	message := fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(b), b)
	for range 10 {
		if a := send(s.listen, message, 2*time.Second); a.status == 200 || a.status == 204 {
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// runsOf returns where a job has begun to run, in order.
func (f *fleet) runsOf(id string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.runs[id]...)
}

// start starts all schedulers for the first time, and waits until they have met. From their next start on they are not told any more that
// the installation starts for the first time.
func (f *fleet) start() {
	f.startAll()
	time.Sleep(5 * time.Second)
	for _, s := range f.schedulers {
		b, err := os.ReadFile(s.fleetFile)
		f.r.must(err)
		f.r.must(os.WriteFile(s.fleetFile, []byte(strings.Replace(string(b), firstStart, "", 1)), 0o644))
	}
}

// firstStart is the line of the section owners for an installation that starts for the first time.
const firstStart = "  first_s: 0\n"

// startAll starts all schedulers and waits until they take jobs.
func (f *fleet) startAll() {
	for _, s := range f.schedulers {
		s.launch()
	}
	for _, s := range f.schedulers {
		s.awaitHealthy(20 * time.Second)
	}
}

// peersSection is the section that lets the schedulers know each other; address are those for each other.
func peersSection(i int, addresses []string) string {
	text := "peers:\n  listen: " + addresses[i] + "\n  cluster: review\n  join: ["
	first := true
	for k, a := range addresses {
		if k != i {
			if !first {
				text += ", "
			}
			first = false
			text += "\"" + a + "\""
		}
	}
	return text + "]\n"
}
