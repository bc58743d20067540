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
	const jobs, termAfter = 40, 32 // the rest comes in the 0.3 s after SIGTERM
	f.runTimeOf = map[string]time.Duration{}
	for i := range jobs {
		if i == termAfter && r.trouble {
			n0.signal(syscall.SIGTERM)
		}
		q := request{id: fmt.Sprintf("settle-%d", i), class: "settle", key: fmt.Sprintf("key-%d", i), deadline: 25 * time.Second, body: "{}"}
		f.mu.Lock()
		f.runTimeOf[q.id] = 1600*time.Millisecond + time.Duration(i*7%jobs)*50*time.Millisecond // 2.6 s in the mean
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
		time.Sleep(time.Second / 29)
	}
	if r.trouble {
		<-n0.done
		r.note("platform: n0 has ended")
		time.Sleep(350 * time.Millisecond)
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
