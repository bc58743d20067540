package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// replicatedFleet is schedulers that keep durable jobs together, in the bounds of their machines.
func (r *rig) replicatedFleet(schedulers int) *fleet {
	var addresses []string
	for range schedulers {
		addresses = append(addresses, r.freePort())
	}
	return r.newFleet(schedulers, 6, func(i int, f *fleet) string {
		return peersSection(i, addresses) + "owners:\n  max_records: 2000\n" + firstStart +
			"durable:\n  dir: " + r.folder(fmt.Sprintf("ledger%d", i)) + "\n  max_open: 500\n" +
			"replicated:\n  dir: " + r.folder(fmt.Sprintf("groups%d", i)) + "\n  max_mb: 16\n"
	}, limitCheck(), settle(), cardIssue())
}

// askAgain is a client whose connection has broken: until its time is over it asks again, with the same id, the schedulers given in turn.
// It waits as long as it is told before it does, or for a moment if nobody listens. final is its final answer; nil: it has none.
func (f *fleet) askAgain(who string, q request, due time.Time, at ...*scheduler) (final *answer) {
	for try := 0; time.Until(due) > 20*time.Millisecond; try++ {
		s := at[try%len(at)]
		q.deadline = time.Until(due)
		a := f.r.ask(fmt.Sprintf("%s, at %s", who, s.name), s.listen, q, q.deadline+lostAfter)
		if a.err == nil && (a.retryAfter == "" || a.status != 502) {
			return &a
		}
		wait := 100 * time.Millisecond
		if a.retryAfter != "" {
			seconds := 0.5
			fmt.Sscan(a.retryAfter, &seconds)
			wait = time.Duration(seconds * float64(time.Second))
		}
		time.Sleep(wait)
	}
	return nil
}

// askedBeforeTakeover kills one scheduler, which is started again at once. The clients of its jobs ask the others again. If its next process
// itself goes on with its jobs, which is as well, the same is done with the next scheduler, four times at most.
func askedBeforeTakeover(r *rig) bool {
	f := r.replicatedFleet(3)
	f.runTime = func(string) time.Duration { return 1500 * time.Millisecond }
	f.start()
	for round := range 4 {
		if f.killOwner(round) {
			return true
		}
	}
	return false
}

// killOwner plays one round, and reports whether jobs were served whose clients had no final answer in their time.
func (f *fleet) killOwner(round int) bool {
	r, owner := f.r, f.schedulers[round%3]
	others := []*scheduler{f.schedulers[(round+1)%3], f.schedulers[(round+2)%3]}
	const jobs = 8
	without := make([]bool, jobs)
	q := func(i int) request {
		id := fmt.Sprintf("settle-%d-%d", round, i)
		return request{id: id, class: "settle", key: "key-" + id, deadline: 25 * time.Second, body: "{}"}
	}
	var clients sync.WaitGroup
	killed := make(chan struct{})
	for i := range jobs {
		clients.Go(func() {
			q, who := q(i), fmt.Sprintf("client %d", i)
			due := time.Now().Add(q.deadline)
			a := r.ask(who, owner.listen, q, q.deadline+lostAfter)
			if a.err == nil && a.retryAfter == "" {
				return
			}
			if r.trouble {
				<-killed
				time.Sleep(time.Duration(200+50*i) * time.Millisecond)
			}
			without[i] = f.askAgain(who, q, due, others[i%2], others[1-i%2]) == nil
		})
	}
	if r.trouble {
		time.Sleep(500 * time.Millisecond)
		owner.signal(syscall.SIGKILL)
		<-owner.done
		close(killed)
		owner.launch()
	}
	clients.Wait()
	broken := false
	for i := range jobs {
		if !without[i] {
			continue
		}
		q := q(i)
		q.deadline = 2 * time.Second
		late := r.ask("client, after its time", others[0].listen, q, q.deadline+lostAfter)
		r.note("%s: its client had no final answer in its 25 s; it ran %v; asked after that: %v", q.id, f.runsOf(q.id), late)
		broken = broken || late.status == 200 // it was served, and any scheduler could have told so
	}
	return broken
}

// keptElsewhereNoLonger has clients' answers lost in the network. They ask again 45 s later, other schedulers than the first time.
func keptElsewhereNoLonger(r *rig) bool {
	f := r.replicatedFleet(5)
	f.runTime = func(string) time.Duration { return 500 * time.Millisecond }
	f.start()
	network := f.r.newRelay(f.schedulers[0].listen)
	network.setCut(r.trouble)
	const jobs = 8
	var clients sync.WaitGroup
	last := make([]answer, jobs)
	for i := range jobs {
		clients.Go(func() {
			q := request{id: fmt.Sprintf("card-issue-%d", i), class: "card-issue", deadline: 8 * time.Second, body: "{}"}
			who := fmt.Sprintf("client %d", i)
			a := r.ask(who, network.address, q, q.deadline+lostAfter)
			if a.err != nil {
				time.Sleep(45 * time.Second)
				for k := range 2 {
					s := f.schedulers[1+(i+k)%4]
					if a = r.ask(who+", again, at "+s.name, s.listen, q, q.deadline+lostAfter); a.status != 502 {
						break
					}
				}
			}
			last[i] = a
		})
	}
	clients.Wait()
	time.Sleep(time.Second) // workers note that their results are acknowledged
	broken := false
	for i := range jobs {
		id := fmt.Sprintf("card-issue-%d", i)
		runs, at := f.runsOf(id), f.acknowledgedAt(id)
		r.note("%s: ran %v, the last result was acknowledged at %s s; its client got: %v", id, runs, at, last[i])
		if at == "" {
			r.giveUp("%s was not served", id)
		}
		broken = broken || len(runs) > 1
	}
	return broken
}
