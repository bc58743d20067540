package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// discovery is the platform's discovery: it tells one list, and changes of it, and is always there.
type discovery struct {
	r       *rig
	address string

	mu      sync.Mutex
	index   int
	entries map[string]map[string]any // by name
	changed map[string]int            // the index of an entry's last change, by name
	news    chan struct{}             // closed with the next change
}

func (r *rig) newDiscovery() *discovery {
	ln := r.listen()
	d := &discovery{r: r, address: ln.Addr().String(), index: 1, entries: map[string]map[string]any{}, changed: map[string]int{},
		news: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/catalog/members", d.serve)
	server := &http.Server{Handler: mux}
	go server.Serve(ln)
	r.onCleanup = append(r.onCleanup, func() { server.Close() })
	return d
}

// set lists a worker with a status.
func (d *discovery) set(w *worker, status string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	d.entries[w.name] = map[string]any{"name": w.name, "address": w.address, "zone": "tukwila", "type": "fast-2", "group": 1,
		"status": status, "weight": 4.0, "since_ms": 0}
	d.changed[w.name] = d.index
	close(d.news)
	d.news = make(chan struct{})
	d.r.note("discovery: %s is %s", w.name, status)
}

// after returns the entries that changed after an index; 0: all of them.
func (d *discovery) after(index int) (message []byte, at int, news chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := []any{}
	for name, e := range d.entries {
		if d.changed[name] > index {
			list = append(list, e)
		}
	}
	message, _ = json.Marshal(map[string]any{"index": d.index, "snapshot": index == 0, "endpoints": list})
	return message, d.index, d.news
}

func (d *discovery) serve(w http.ResponseWriter, q *http.Request) {
	index := 0
	fmt.Sscan(q.URL.Query().Get("after"), &index)
	if q.URL.Query().Get("watch") == "" {
		b, _, _ := d.after(0)
		w.Write(b)
		return
	}
	for {
		b, at, news := d.after(index)
		index = at
		w.Write(append(b, '\n'))
		for quiet := true; quiet; {
			w.(http.Flusher).Flush()
			select {
			case <-news:
				quiet = false
			case <-time.After(2 * time.Second):
				if _, err := w.Write([]byte("\n")); err != nil {
					return
				}
			case <-q.Context().Done():
				return
			}
		}
	}
}

// worker is a sound auth worker: it takes each job, runs it, and tells the scheduler that sent it. It tells each call-back until it is
// acknowledged, at most ten times.
type worker struct {
	r             *rig
	name, address string
	callBackTo    func(id string) string // the scheduler's address
	runTime       func(class string) time.Duration
	result        func(id string) string

	mu      sync.Mutex
	out     map[string]chan struct{} // jobs that have not ended, by id; closed when one is given up
	runs    map[string]int           // runs that began, by id
	ended   map[string]int           // runs that ended with a result, by id
	classes map[string]string
}

func (r *rig) newWorker(name string) *worker {
	ln := r.listen()
	w := &worker{r: r, name: name, address: ln.Addr().String(), out: map[string]chan struct{}{}, runs: map[string]int{}, ended: map[string]int{},
		classes: map[string]string{}, runTime: func(string) time.Duration { return 100 * time.Millisecond }, result: func(id string) string { return "result of " + id }}
	server := &http.Server{Handler: http.HandlerFunc(w.serve)}
	go server.Serve(ln)
	r.onCleanup = append(r.onCleanup, func() { server.Close() })
	return w
}

func (w *worker) serve(a http.ResponseWriter, q *http.Request) {
	if q.Method == "DELETE" {
		id := strings.TrimPrefix(q.URL.Path, "/jobs/")
		w.mu.Lock()
		if c := w.out[id]; c != nil {
			delete(w.out, id)
			close(c)
		}
		w.mu.Unlock()
		w.r.note("%s: job %s is given up", w.name, id)
		a.WriteHeader(200)
		return
	}
	io.Copy(io.Discard, q.Body)
	id, class := q.Header.Get("X-Request-Id"), q.Header.Get("X-Class")
	if id == "" {
		a.WriteHeader(404)
		return
	}
	w.mu.Lock()
	w.runs[id]++
	w.classes[id] = class
	n, stop := w.runs[id], make(chan struct{})
	w.out[id] = stop
	w.mu.Unlock()
	w.r.note("%s: runs %s %s, for the %d. time here (deadline-ms %s)", w.name, class, id, n, q.Header.Get("X-Deadline-Ms"))
	a.WriteHeader(202)
	go w.run(id, class, stop)
}

func (w *worker) run(id, class string, stop chan struct{}) {
	w.tell(id, map[string]any{"id": id, "from": w.name, "state": "started"})
	select {
	case <-stop:
		return
	case <-time.After(w.runTime(class)):
	}
	w.mu.Lock()
	if w.out[id] == stop {
		delete(w.out, id)
	}
	w.ended[id]++
	w.mu.Unlock()
	answered := w.tell(id, map[string]any{"id": id, "from": w.name, "state": "done", "result": w.result(id)})
	w.r.note("%s: %s %s is done; call-back acknowledged: %v", w.name, class, id, answered)
}

func (w *worker) tell(id string, what map[string]any) bool {
	b, _ := json.Marshal(what)
	for range 10 {
		message := fmt.Sprintf("POST /v1/job-events HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(b), b)
		if a := send(w.callBackTo(id), message, 2*time.Second); a.status == 200 || a.status == 204 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// runsOf returns how often a job began at all of the workers.
func runsOf(workers []*worker, id string) (n int) {
	for _, w := range workers {
		w.mu.Lock()
		n += w.runs[id]
		w.mu.Unlock()
	}
	return n
}

// workers starts workers that are listed as serving, and call back one scheduler.
func (r *rig) workers(n int, d *discovery, callBackTo func(id string) string) (all []*worker) {
	for i := range n {
		w := r.newWorker(fmt.Sprintf("s-%d", i+1))
		w.callBackTo = callBackTo
		all = append(all, w)
		d.set(w, "SERVING")
	}
	return all
}

// relay passes connections on to another address. While cut is set it passes on requests, and resets a connection in place of its answer.
type relay struct {
	r       *rig
	address string
	mu      sync.Mutex
	cut     bool
}

func (r *rig) newRelay(to string) *relay {
	ln := r.listen()
	p := &relay{r: r, address: ln.Addr().String()}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn), to)
		}
	}()
	return p
}

func (p *relay) setCut(cut bool) {
	p.mu.Lock()
	p.cut = cut
	p.mu.Unlock()
}

func (p *relay) serve(c *net.TCPConn, to string) {
	defer c.Close()
	s, err := net.Dial("tcp", to)
	if err != nil {
		return
	}
	defer s.Close()
	go func() {
		io.Copy(s, c)
		s.(*net.TCPConn).CloseWrite()
	}()
	var b [32 << 10]byte
	for {
		n, err := s.Read(b[:])
		if n > 0 {
			p.mu.Lock()
			cut := p.cut
			p.mu.Unlock()
			if cut {
				s.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				io.Copy(io.Discard, s) // the rest of the answer was on its way as well
				p.r.note("network: an answer is lost, and the client's connection is reset (it began with %q)", bytes.SplitN(b[:n], []byte("\r\n"), 2)[0])
				c.SetLinger(0)
				return
			}
			if _, err := c.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
