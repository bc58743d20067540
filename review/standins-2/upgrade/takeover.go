package main

import (
	"fmt"
	"net/http"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// takeover: the program is replaced while it serves. The next process is stopped for a while around the word to stop, so that the older one
// gives it up and answers what it has by itself. A result that a worker reports, and that is acknowledged, must reach its client.
func takeover(r *rig) verdict {
	listen, tmp := freeAddress(), filepath.Join(r.dir, "shared.tmp")
	var began time.Time
	const jobs, deadline = 24, 25 * time.Second
	id := func(i int) string { return fmt.Sprintf("%016x", i+1) }
	runtimes := make(map[string]time.Duration)
	for i := range jobs {
		runtimes[id(i)] = 1600*time.Millisecond + time.Duration(i*7%jobs)*55*time.Millisecond // 2.2 s in the mean
	}
	runtime := func(id string) time.Duration { return runtimes[id] }
	var workers []*worker
	for i := range 3 {
		w := newWorker(r, fmt.Sprintf("s-%d", i), []string{listen}, runtime, func(id string) string { return "result of " + id })
		w.quiet = func(string) bool { return false }
		workers = append(workers, w)
	}
	callBacks.Transport.(*http.Transport).DisableKeepAlives = true
	discovery := newDiscovery(workers, 0)
	base := scheduler{name: "n0", listen: listen, discovery: discovery, settings: settings(1, 0), tmp: tmp}
	older, next := base, base
	older.admin, next.admin = freeAddress(), freeAddress()
	first := r.start(older)
	r.awaitHealthy(listen)
	second := r.start(next)
	r.awaitStatus("http://" + next.admin + "/-/ready")
	time.Sleep(500 * time.Millisecond)

	began = time.Now()
	answers := make([]reply, jobs)
	var all sync.WaitGroup
	for i := range jobs {
		time.Sleep(time.Second / 29) // the rate of the operators' site
		all.Go(func() {
			answers[i] = ask{to: listen, id: id(i), class: "settle", key: "key-" + id(i), deadline: deadline}.send()
		})
	}
	time.Sleep(100 * time.Millisecond)
	if r.trouble {
		r.signal(second, syscall.SIGSTOP)
	}
	r.signal(first, syscall.SIGTERM)
	if r.trouble {
		time.Sleep(1600 * time.Millisecond)
		r.signal(second, syscall.SIGCONT)
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	r.note("%.1f s after the jobs were sent", time.Since(began).Seconds())
	lost := 0
	for i, a := range answers {
		_, runs := totals(workers, id(i))
		acknowledged := 0
		for _, w := range workers {
			w.mu.Lock()
			acknowledged += w.acknowledged[id(i)]
			w.mu.Unlock()
		}
		r.note("job %s: %d runs, results acknowledged %d; its client: %v", id(i), runs, acknowledged, a)
		if acknowledged > 0 && a.status != 200 {
			lost++
		}
	}
	r.note("%d results were acknowledged by a process of the scheduler and did not reach their clients", lost)
	if lost > 0 {
		return broken
	}
	return held
}
