package main

import (
	"fmt"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The cases. Each returns whether its rule was broken; its claim.txt has the rule, the disruption and their limits.

// load sends jobs of other clients, at a rate, until stop is closed. It returns how many were sent and how many were served.
func (r *rig) load(to string, perSecond int, name string, stop chan struct{}) (sent, served int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for {
		select {
		case <-stop:
			all.Wait()
			return sent, served
		case <-tick.C:
		}
		sent++
		q := request{id: fmt.Sprintf("%s-%05d", name, sent), class: "limit-check", deadline: 5 * time.Second, body: "{}"}
		switch sent % 20 {
		case 1, 4, 7, 10, 13, 16, 19:
			q.class, q.key, q.deadline = "settle", "key-"+q.id, 25*time.Second
		case 5, 11, 17:
			q.class, q.deadline = "card-issue", 8*time.Second
		}
		switch sent % 25 { // the accounts' shares: 44%, 40% and 16%
		case 2, 5, 7, 10, 12, 14, 17, 19, 22, 24:
			q.tenant = "puget-delivery"
		case 3, 9, 15, 21:
			q.tenant = "willamette-crews"
		}
		all.Go(func() {
			if a := send(to, q.message(), q.deadline); a.status == 200 {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
	}
}

// forgottenEarly has one client's answer lost in the network: the client asks again within its time, and far within keep_s.
func forgottenEarly(r *rig) bool {
	d := r.newDiscovery()
	ledger := r.folder("ledger")
	s := r.newScheduler("n0", d.address, siteSettings(1, limitCheck(), settle(), cardIssue()), "durable:\n  dir: "+ledger+"\n")
	workers := r.workers(13, d, func(string) string { return s.listen })
	for _, w := range workers {
		w.runTime = func(class string) time.Duration {
			return map[string]time.Duration{"limit-check": 240 * time.Millisecond, "settle": 1500 * time.Millisecond, "card-issue": 480 * time.Millisecond}[class]
		}
		w.result = func(id string) string { return id + " " + strings.Repeat("x", 60_000) }
	}
	s.run()
	stop, over := make(chan struct{}), make(chan struct{})
	go func() {
		sent, served := r.load(s.listen, 29, "other", stop)
		r.note("other clients: %d jobs sent, %d served", sent, served)
		close(over)
	}()
	defer func() {
		close(stop)
		<-over
	}()
	time.Sleep(8 * time.Second)
	network := r.newRelay(s.listen)
	network.setCut(r.trouble)
	q := request{id: "card-of-driver-1", class: "card-issue", deadline: 8 * time.Second, body: "{}"}
	began := time.Now()
	a := r.ask("client", network.address, q, 8*time.Second)
	if a.err != nil {
		time.Sleep(time.Until(began.Add(6300 * time.Millisecond)))
		r.noteLedger(ledger, q.id)
		network.setCut(false)
		q.deadline = 8*time.Second - time.Since(began)
		r.ask("client, again", network.address, q, q.deadline+lostAfter)
	}
	time.Sleep(time.Second)
	n := runsOf(workers, q.id)
	r.note("%s has run %d times", q.id, n)
	if n == 0 {
		r.giveUp("the job was never sent")
	}
	return n > 1
}

// noteLedger notes what the ledger on disk says of a job, and how large it is.
func (r *rig) noteLedger(dir, id string) {
	out, err := exec.Command("bin/laddertide", "ledger", "show", id, dir).CombinedOutput()
	r.note("ledger on disk, of %s (%v): %s", id, err, strings.Join(strings.Fields(string(out)), " "))
	out, _ = exec.Command("bin/laddertide", "ledger", "verify", dir).CombinedOutput()
	r.note("ledger on disk: %s", strings.Join(strings.Fields(string(out)), " "))
}

// classGone has a new configuration end a class while a job of it is out. A second asking for the same job follows.
func classGone(r *rig) bool {
	d := r.newDiscovery()
	s := r.newScheduler("n0", d.address, siteSettings(1, limitCheck(), settle(), cardIssue()), "durable:\n  dir: "+r.folder("ledger")+"\n")
	workers := r.workers(3, d, func(string) string { return s.listen })
	for _, w := range workers {
		w.runTime = func(string) time.Duration { return 4 * time.Second }
	}
	s.run()
	time.Sleep(2 * time.Second) // no SIGHUP within its first second
	q := request{id: "card-of-driver-1", class: "card-issue", deadline: 8 * time.Second, body: "{}"}
	began := time.Now()
	first := make(chan answer, 1)
	go func() { first <- r.ask("client", s.listen, q, 8*time.Second+lostAfter) }()
	time.Sleep(500 * time.Millisecond)
	if r.trouble {
		s.configure(siteSettings(1, limitCheck(), settle()))
		r.note("platform: the configuration file is replaced: the class card-issue is gone")
		s.signal(syscall.SIGHUP)
	}
	time.Sleep(1500 * time.Millisecond)
	q.deadline = 8*time.Second - time.Since(began)
	second := r.ask("client, again", s.listen, q, q.deadline+lostAfter)
	a := <-first
	n := runsOf(workers, q.id)
	r.note("%s has run %d times; first answer %v, second answer %v", q.id, n, a, second)
	if a.status != 200 {
		r.giveUp("the job was not served")
	}
	return second.status != 200 || second.body != a.body
}
