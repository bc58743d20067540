package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// refused: three schedulers keep each other's ledgers. One is killed while card-issues of its clients run, and its next process comes at
// once; another one goes on with its jobs. The clients ask any of the three, until their time is over. A result that a worker reports must be
// taken, and reach the client.
func refused(r *rig) verdict {
	f := newFleet(r, 3, 3*time.Second, func(i int) string {
		ledger, groups := filepath.Join(r.dir, fmt.Sprintf("ledger%d", i)), filepath.Join(r.dir, fmt.Sprintf("groups%d", i))
		must(os.MkdirAll(ledger, 0o700))
		must(os.MkdirAll(groups, 0o700))
		return fmt.Sprintf("durable:\n  dir: %s\nreplicated:\n  dir: %s\n  replicas: 3\n  max_mb: 64\n", ledger, groups)
	})
	const jobs, deadline = 16, 8 * time.Second
	id := func(i int) string { return fmt.Sprintf("b%015x", i+1) }
	final := make([]reply, jobs)
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			began := time.Now()
			at := 0
			for {
				left := deadline - time.Since(began)
				if left < 100*time.Millisecond {
					return
				}
				patience := time.Duration(800+rand.IntN(1700)) * time.Millisecond // hearing nothing for so long, it asks another one
				a := ask{to: f.listen[at], id: id(i), class: "card-issue", deadline: left, patience: min(patience, left+500*time.Millisecond)}.send()
				final[i] = a
				r.note("client of %s at n%d: %v", id(i), at, a)
				if a.status != 0 && (a.status != 502 || a.retryAfter == "") {
					return
				}
				at = (at + 1 + rand.IntN(2)) % len(f.listen)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(600 * time.Millisecond)
	if r.trouble {
		f.killFor(0, 300*time.Millisecond)
	}
	all.Wait()
	time.Sleep(time.Second)
	lost, untold := 0, 0
	for i, a := range final {
		runs, acknowledged, refused := f.outcome(id(i), a)
		if a.status == 200 || runs == 0 {
			continue
		}
		untold++
		if acknowledged == 0 && refused == 10 {
			lost++
		}
	}
	r.note("%d of %d jobs have run, and their clients were not told in their time; of %d of them all ten calls with the result were refused",
		untold, jobs, lost)
	if lost > 0 {
		return broken
	}
	return held
}
