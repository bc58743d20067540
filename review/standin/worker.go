//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is an auth worker. It takes each job that comes, runs it for the time that its body tells in ms (slots are not counted), and
// tells of its start and its end. A repeat of a key is dropped, by all workers, for the time of the window.
type worker struct {
	p       *play
	name    string
	zone    string
	address string
	listen  string // the scheduler's address for call-backs
	fleet   *workers

	mu   sync.Mutex
	jobs map[string]*workerJob
}

type workerJob struct {
	cancelled chan struct{}
}

// workers is what all auth workers share: what has been applied, for the record and the judgement.
type workers struct {
	window     time.Duration // in which a repeat of a key is dropped; 0: keys are not looked at
	resultSize int           // bytes of a result beside its first words
	all        []*worker

	mu       sync.Mutex
	arrivals []arrival
	effects  []effect
	keys     map[string]time.Time // the first arrival of a key within the window
	late     chan struct{}        // not nil while answers and call-backs of the workers are held up; closed afterwards
}

// arrival is an attempt whose last byte has come to a worker.
type arrival struct {
	id, key, class, worker string
	at                     time.Time
}

// effect is a job that has run to its end.
type effect struct {
	id, key, class, worker string
	at                     time.Time
}

func startWorkers(p *play, n int, zone string) (*workers, error) {
	fleet := &workers{keys: make(map[string]time.Time)}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		w := &worker{p: p, name: "s-" + strconv.Itoa(i+1), zone: zone, address: ln.Addr().String(), fleet: fleet, jobs: make(map[string]*workerJob)}
		server := &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
		go server.Serve(ln)
		p.onEnd(func() { server.Close() })
		fleet.all = append(fleet.all, w)
	}
	return fleet, nil
}

func (f *workers) members() (out []member) {
	for _, w := range f.all {
		out = append(out, member{Name: w.name, Address: w.address, Zone: w.zone, Type: "fast-2", Group: 1, Status: "SERVING", Weight: 2})
	}
	return out
}

func (f *workers) reportTo(listen string) {
	for _, w := range f.all {
		w.listen = listen
	}
}

// hold holds up all answers and call-backs of the workers for a while: what is sent to them still arrives.
func (f *workers) hold(d time.Duration) {
	f.mu.Lock()
	f.late = make(chan struct{})
	late := f.late
	f.mu.Unlock()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		f.late = nil
		f.mu.Unlock()
		close(late)
	})
}

func (f *workers) awaitLink() {
	f.mu.Lock()
	late := f.late
	f.mu.Unlock()
	if late != nil {
		<-late
	}
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	now := time.Now()
	if r.Method == "DELETE" {
		id := strings.TrimPrefix(r.URL.Path, "/jobs/")
		w.p.note("%s is told to give up %s", w.name, id)
		w.mu.Lock()
		if j := w.jobs[id]; j != nil {
			close(j.cancelled)
			delete(w.jobs, id)
		}
		w.mu.Unlock()
		w.fleet.awaitLink()
		rw.WriteHeader(200)
		return
	}
	id, key, class := r.Header.Get("X-Request-Id"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Class")
	if r.Method != "POST" || id == "" {
		http.NotFound(rw, r)
		return
	}
	run, _, _ := strings.Cut(string(body), " ")
	ms, err := strconv.Atoi(run)
	if err != nil {
		rw.WriteHeader(400)
		return
	}
	w.p.note("%s gets %s %s key %q, left %s ms", w.name, class, id, key, r.Header.Get("X-Deadline-Ms"))
	f := w.fleet
	f.mu.Lock()
	f.arrivals = append(f.arrivals, arrival{id, key, class, w.name, now})
	repeat := false
	if key != "" && f.window > 0 {
		if first, seen := f.keys[key]; seen && now.Sub(first) < f.window {
			repeat = true
		} else {
			f.keys[key] = now
		}
	}
	f.mu.Unlock()
	j := &workerJob{cancelled: make(chan struct{})}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	go w.work(j, id, key, class, time.Duration(ms)*time.Millisecond, repeat)
	f.awaitLink()
	rw.WriteHeader(202)
}

func (w *worker) work(j *workerJob, id, key, class string, run time.Duration, repeat bool) {
	go w.tell(object{"id": id, "from": w.name, "state": "started"})
	timer := time.NewTimer(run)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-j.cancelled:
		return
	}
	w.mu.Lock()
	if w.jobs[id] == j {
		delete(w.jobs, id)
	}
	w.mu.Unlock()
	f := w.fleet
	if repeat {
		w.p.note("%s drops the repeat of key %s", w.name, key)
	} else {
		f.mu.Lock()
		f.effects = append(f.effects, effect{id, key, class, w.name, time.Now()})
		f.mu.Unlock()
		w.p.note("%s has run %s %s", w.name, class, id)
	}
	w.tell(object{"id": id, "from": w.name, "state": "done", "result": "of " + id + " " + strings.Repeat("r", f.resultSize)})
}

// tell makes a call-back, ten times at most.
func (w *worker) tell(event object) {
	w.fleet.awaitLink()
	b, _ := json.Marshal(event)
	client := http.Client{Timeout: 2 * time.Second}
	for try := range 10 {
		r, err := client.Post("http://"+w.listen+"/v1/job-events", "application/json", bytes.NewReader(b))
		if err == nil {
			io.Copy(io.Discard, r.Body)
			r.Body.Close()
			if r.StatusCode == 200 || r.StatusCode == 204 {
				return
			}
		}
		time.Sleep(time.Duration(try+1) * 50 * time.Millisecond)
	}
}

// effectsOf returns how often the job of an id has run.
func (f *workers) effectsOf(id string) (out []effect) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.effects {
		if e.id == id {
			out = append(out, e)
		}
	}
	return out
}

func (f *workers) arrivalsOf(id string) (out []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.id == id {
			out = append(out, a)
		}
	}
	return out
}
