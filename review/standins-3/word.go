package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["word"] = word }

// word: three schedulers with one owner for each job. A scheduler is killed while card-issues of its clients run, and comes back two seconds
// later. Its clients ask it again, and the workers repeat their words to it. A result that the new process acknowledges must reach the
// client.
func word(r *rig) verdict {
	f := newFleet(r, 3, 1500*time.Millisecond, func(int) string { return "" })
	const jobs, deadline = 24, 8 * time.Second
	id := func(i int) string { return fmt.Sprintf("b%015x", i+1) }
	final := make([]reply, jobs)
	var all sync.WaitGroup
	for i := range jobs {
		all.Go(func() {
			time.Sleep(time.Duration(i) * 30 * time.Millisecond)
			began, told := time.Now(), 0
			for {
				left := deadline - time.Since(began)
				if left < 100*time.Millisecond {
					return
				}
				at := told % len(f.listen) // the same one as long as it gives no answer, then any of them
				a := ask{to: f.listen[at], id: id(i), class: "card-issue", deadline: left}.send()
				if a.status != 0 || told > 0 || final[i].took == 0 {
					final[i] = a
					r.note("client of %s at n%d: %v", id(i), at, a)
				}
				if a.status != 0 && (a.status != 502 || a.retryAfter == "") {
					return
				}
				if a.status == 502 {
					told++
				}
				time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	if r.trouble {
		f.killFor(0, 2*time.Second)
	}
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	lost := 0
	for i, a := range final {
		if _, acknowledged := f.outcome(id(i), a); acknowledged > 0 && a.status != 200 {
			lost++
		}
	}
	r.note("%d results were acknowledged and did not reach their clients in their time", lost)
	if lost > 0 {
		return broken
	}
	return held
}
