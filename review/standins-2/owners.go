package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// ownersFleet is three schedulers of which any may be asked again.
func (r *rig) ownersFleet() *fleet {
	var addresses []string
	for range 3 {
		addresses = append(addresses, r.freePort())
	}
	return r.newFleet(3, 6, func(i int, f *fleet) string {
		return peersSection(i, addresses) + "owners:\n  keep_s: 30\n" + firstStart
	},
		limitCheck(), settle(), cardIssue())
}

// resultLostAtRestart restarts one scheduler as planned, with jobs at workers. Each client asks the same scheduler again, as it is told to.
func resultLostAtRestart(r *rig) bool {
	f := r.ownersFleet()
	f.start()
	n0 := f.schedulers[0]
	var wg sync.WaitGroup
	var mu sync.Mutex
	without := map[string]string{} // jobs whose clients have no result in their time
	const jobs = 40
	f.runTimeOf = map[string]time.Duration{}
	for i := range jobs {
		class, deadline := "settle", 25*time.Second
		if i%4 == 3 {
			class, deadline = "card-issue", 8*time.Second
		}
		q := request{id: fmt.Sprintf("%s-%d", class, i), class: class, deadline: deadline, body: "{}"}
		if class == "settle" {
			q.key = "key-" + q.id
		}
		f.mu.Lock()
		f.runTimeOf[q.id] = 2600*time.Millisecond + time.Duration(i)*30*time.Millisecond
		f.mu.Unlock()
		wg.Go(func() {
			final := f.askAgain("client "+q.id, q, time.Now().Add(q.deadline), n0)
			mu.Lock()
			defer mu.Unlock()
			if final == nil {
				without[q.id] = "no final answer"
			} else if final.status != 200 {
				without[q.id] = final.String()
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	if r.trouble {
		n0.signal(syscall.SIGTERM)
		<-n0.done
		r.note("platform: n0 has ended")
		time.Sleep(500 * time.Millisecond)
		n0.launch()
	}
	wg.Wait()
	broken := false
	for id, got := range without {
		if at := f.acknowledgedAt(id); at != "" {
			r.note("%s: its worker's result was acknowledged at %s s, and its client got: %s", id, at, got)
			broken = true
		} else {
			r.note("%s: its worker's result was not acknowledged, and its client got: %s", id, got)
		}
	}
	r.note("%d of %d clients got no result", len(without), jobs)
	return broken
}
