package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

func init() { cases["bans"] = bans }

// bans: the next process stands by, and stands still while operators take two workers out by hand. Both calls are answered with 200. The
// older process is stopped, and the next one goes on and serves. No job may go to a worker that is out by hand.
func bans(r *rig) verdict {
	listen, tmp := freeAddress(), filepath.Join(r.dir, "shared.tmp")
	runtime := func(string) time.Duration { return 50 * time.Millisecond }
	var workers []*worker
	for i := range 4 {
		workers = append(workers, newWorker(r, fmt.Sprintf("s-%d", i), []string{listen}, runtime, func(id string) string { return "result of " + id }))
	}
	discovery := newDiscovery(workers, 0)
	older := scheduler{name: "n0", listen: listen, discovery: discovery, settings: settings(1, 0), tmp: tmp}
	next := older
	older.admin, next.admin = freeAddress(), freeAddress()
	first := r.start(older)
	r.awaitHealthy(listen)
	second := r.start(next)
	r.awaitStatus("http://" + next.admin + "/-/ready")
	r.note("the next process is ready to take over")
	time.Sleep(500 * time.Millisecond)

	if r.trouble {
		r.signal(second, syscall.SIGSTOP)
	}
	out := []string{"s-0", "s-1"}
	for _, name := range out {
		if status := r.disable(older.admin, name); status != 200 {
			return unable
		}
	}
	r.signal(first, syscall.SIGTERM)
	if r.trouble {
		time.Sleep(200 * time.Millisecond)
		r.signal(second, syscall.SIGCONT)
	}
	<-first.done
	r.note("the older process has ended")
	r.awaitHealthy(listen)

	const jobs = 60
	served := make([]bool, jobs)
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() {
			served[i] = ask{to: listen, id: fmt.Sprintf("%016x", i+1), class: "limit-check", deadline: 5 * time.Second}.send().status == 200
		})
		time.Sleep(40 * time.Millisecond)
	}
	all.Wait()
	n := 0
	for _, ok := range served {
		if ok {
			n++
		}
	}
	r.note("clients: %d of %d jobs are served", n, jobs)
	v := held
	for i, w := range workers {
		attempts := 0
		w.mu.Lock()
		for _, k := range w.attempts {
			attempts += k
		}
		w.mu.Unlock()
		r.note("%s has received %d jobs", w.name, attempts)
		if i < len(out) && attempts > 0 {
			v = broken
		}
	}
	return v
}

// disable takes a worker out by hand, at an address for operators, and returns the answer's status.
func (r *rig) disable(admin, worker string) int {
	began := time.Now()
	req, err := http.NewRequest("PUT", "http://"+admin+"/-/auth-workers/"+worker+"/disable", nil)
	must(err)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	must(err)
	resp.Body.Close()
	r.note("operator: disable %s is answered %d after %.3f s", worker, resp.StatusCode, time.Since(began).Seconds())
	return resp.StatusCode
}
