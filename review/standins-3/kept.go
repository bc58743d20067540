package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["kept"] = kept }

// kept: a durable card-issue is served, and its answer is lost on the way. Other jobs follow, as many and as fast as the operators' site has
// them. The client asks again with the same id within its deadline and keep_s, and must get the answer that the job has.
func kept(r *rig) verdict {
	ledger := filepath.Join(r.dir, "ledger")
	must(os.MkdirAll(ledger, 0o700))
	listen := freeAddress()
	const asked = "9b1f03aa5c7e2d41"
	result := func(id string) string { return id + strings.Repeat("r", 60_000) }
	runtime := func(string) time.Duration { return 50 * time.Millisecond }
	var workers []*worker
	for i := range 3 {
		w := newWorker(r, fmt.Sprintf("s-%d", i), []string{listen}, runtime, result)
		w.quiet = func(id string) bool { return id != asked }
		workers = append(workers, w)
	}
	discovery := newDiscovery(workers, 0)
	r.start(scheduler{name: "n0", listen: listen, discovery: discovery, settings: settings(1, 0),
		fleet: fmt.Sprintf("durable:\n  dir: %s\n  keep_s: 120\n  max_mb: 256\n", ledger)})
	r.awaitHealthy(listen)
	time.Sleep(500 * time.Millisecond)

	cut := r.trouble
	proxy := newCuttingProxy(r, listen, 0, func() bool { return cut })
	began := time.Now()
	const deadline = 8 * time.Second
	first := ask{to: proxy, id: asked, class: "card-issue", deadline: deadline}
	r.note("client: asks for %s, X-Deadline-Ms %d", asked, deadline.Milliseconds())
	a := first.send()
	r.note("client: %v", a)
	if _, runs := totals(workers, asked); runs != 1 {
		r.note("the job was not run once at first")
		return unable
	}
	var served, others atomic.Int64
	var all sync.WaitGroup
	for i := range 160 { // 29 jobs a second is the traffic of the operators' site
		time.Sleep(time.Until(began.Add(300*time.Millisecond + time.Duration(i)*time.Second/29)))
		all.Go(func() {
			if b := (ask{to: listen, id: fmt.Sprintf("%016x", i+1), class: "card-issue", deadline: deadline}).send(); b.status == 200 {
				served.Add(1)
			} else {
				others.Add(1)
			}
		})
	}
	all.Wait()
	r.note("other clients: %d card-issues served with results of 60 KB, %d answered otherwise", served.Load(), others.Load())
	r.note("the ledger's folder holds %.1f MB of the 256 MB that max_mb allows it", folderMB(ledger))
	if a.status == 200 {
		r.note("client: has its answer and asks no more")
	} else {
		left := deadline - time.Since(began)
		if left < 500*time.Millisecond {
			r.note("too late to ask again")
			return unable
		}
		r.note("client: asks again with the same id, %.1f s after the job's end, X-Deadline-Ms %d", time.Since(began).Seconds(), left.Milliseconds())
		again := ask{to: listen, id: asked, class: "card-issue", deadline: left}.send()
		r.note("client: %v", again)
	}
	time.Sleep(300 * time.Millisecond)
	attempts, runs := totals(workers, asked)
	r.note("job %s, which must never run twice: %d attempts received, %d runs", asked, attempts, runs)
	if runs > 1 || attempts > 1 {
		return broken
	}
	return held
}

// folderMB is the size of the files in a folder.
func folderMB(folder string) float64 {
	var sum int64
	entries, err := os.ReadDir(folder)
	must(err)
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			sum += info.Size()
		}
	}
	return float64(sum) / 1e6
}
