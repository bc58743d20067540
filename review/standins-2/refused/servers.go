package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// worker is an auth worker: it takes jobs by POST, answers 202, and tells what becomes of them by call-backs. What it runs it runs at once,
// as it has slots enough for the load of the cases.
type worker struct {
	rig       *rig
	name      string
	addresses []string // one for each scheduler, as discovery tells it: a job's call-backs go to the scheduler that sent it there
	runtime   func(id string) time.Duration
	result    func(id string) string
	quiet     func(id string) bool // jobs that are not noted

	mu       sync.Mutex
	attempts map[string]int  // attempts received, by request id
	runs     map[string]int  // runs that came to their end, by request id
	given    map[string]bool // jobs that the scheduler has given up

	acknowledged map[string]int // results that the scheduler has acknowledged, by request id
	refused      map[string]int // calls with a result that were answered otherwise
}

// newWorker starts a worker for the schedulers that listen at these addresses.
func newWorker(r *rig, name string, schedulers []string, runtime func(string) time.Duration, result func(string) string) *worker {
	w := &worker{rig: r, name: name, runtime: runtime, result: result, attempts: make(map[string]int),
		runs: make(map[string]int), given: make(map[string]bool), acknowledged: make(map[string]int), refused: make(map[string]int), quiet: func(string) bool { return true }}
	for _, callBack := range schedulers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		must(err)
		w.addresses = append(w.addresses, ln.Addr().String())
		handler := http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) { w.serve(callBack, out, in) })
		go (&http.Server{Handler: handler, IdleTimeout: 10 * time.Second}).Serve(ln)
	}
	return w
}

// serve answers a request of the scheduler at an address.
func (w *worker) serve(callBack string, out http.ResponseWriter, in *http.Request) {
	if id, ok := strings.CutPrefix(in.URL.Path, "/jobs/"); ok && in.Method == "DELETE" {
		w.mu.Lock()
		w.given[id] = true
		w.mu.Unlock()
		w.noteJob(id, "is given up")
		out.WriteHeader(200)
		return
	}
	id := in.Header.Get("X-Request-Id")
	if in.Method != "POST" || id == "" {
		out.WriteHeader(404)
		return
	}
	new(bytes.Buffer).ReadFrom(in.Body)
	w.mu.Lock()
	w.attempts[id]++
	number := w.attempts[id]
	delete(w.given, id)
	w.mu.Unlock()
	w.noteJob(id, fmt.Sprintf("arrives, attempt %d at this worker, X-Deadline-Ms %s", number, in.Header.Get("X-Deadline-Ms")))
	out.WriteHeader(202)
	go w.work(id, callBack)
}

// noteJob notes what happens to a job, unless it is one of many alike.
func (w *worker) noteJob(id, what string) {
	if !w.quiet(id) {
		w.rig.note("%s: job %s %s", w.name, id, what)
	}
}

// work runs a job and tells the scheduler.
func (w *worker) work(id, callBack string) {
	w.tell(id, callBack, object{"state": "started"})
	time.Sleep(w.runtime(id))
	w.mu.Lock()
	given := w.given[id]
	if !given {
		w.runs[id]++
	}
	number := w.runs[id]
	w.mu.Unlock()
	if given {
		return
	}
	w.noteJob(id, fmt.Sprintf("has run, run %d at this worker", number))
	w.tell(id, callBack, object{"state": "done", "result": w.result(id)})
}

// tell makes a call-back, and repeats it until it is answered, ten times at most.
func (w *worker) tell(id, callBack string, what object) {
	what["id"], what["from"] = id, w.name
	raw, err := json.Marshal(what)
	must(err)
	for range 10 {
		resp, err := callBacks.Post("http://"+callBack+"/v1/job-events", "application/json", bytes.NewReader(raw))
		if err == nil {
			resp.Body.Close()
			w.noteJob(id, fmt.Sprintf("call-back %q is answered %d", what["state"], resp.StatusCode))
			if resp.StatusCode == 200 || resp.StatusCode == 204 {
				if what["state"] == "done" {
					w.mu.Lock()
					w.acknowledged[id]++
					w.mu.Unlock()
				}
				return
			}
			if what["state"] == "done" {
				w.mu.Lock()
				w.refused[id]++
				w.mu.Unlock()
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

var callBacks = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 8}}

// totals returns how many attempts of a job the workers have received, and how many runs came to their end.
func totals(workers []*worker, id string) (attempts, runs int) {
	for _, w := range workers {
		w.mu.Lock()
		attempts, runs = attempts+w.attempts[id], runs+w.runs[id]
		w.mu.Unlock()
	}
	return attempts, runs
}

// newDiscovery starts the discovery agent of one scheduler, by its number. Its list names the workers and never changes. It returns its
// address.
func newDiscovery(workers []*worker, scheduler int) string {
	var endpoints []object
	for _, w := range workers {
		endpoints = append(endpoints, object{"name": w.name, "address": w.addresses[scheduler], "zone": "tukwila", "type": "fast-2", "group": 1,
			"status": "SERVING", "weight": 8.0, "since_ms": 0})
	}
	list, err := json.Marshal(object{"index": 7, "snapshot": true, "endpoints": endpoints})
	must(err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	go http.Serve(ln, http.HandlerFunc(func(out http.ResponseWriter, in *http.Request) {
		out.Write(list)
		if in.URL.Query().Get("watch") == "" {
			return
		}
		for {
			if _, err := out.Write([]byte("\n")); err != nil {
				return
			}
			if err := http.NewResponseController(out).Flush(); err != nil {
				return
			}
			select {
			case <-in.Context().Done():
				return
			case <-time.After(2 * time.Second):
			}
		}
	}))
	return ln.Addr().String()
}
