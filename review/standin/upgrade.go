//go:build review

package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upgrade"] = playUpgrade }

const (
	usualPerSecond = 30                      // requests of usual clients
	badRequests    = 4                       // open requests of the bad client
	lateAnswer     = 500 * time.Millisecond  // after its time a request may still get its answer
	listed         = 5                       // lost requests that are named
	killAfter      = 3700 * time.Millisecond // from SIGTERM: the longest deadline, 3 s at most, and 0.7 s
)

// playUpgrade: the program is replaced under load, while a bad client has requests open that tell an infinite number of slots.
func playUpgrade(p *play) (breaches []string, err error) {
	fleet, err := startWorkers(p, 12, "tukwila")
	if err != nil {
		return nil, err
	}
	disc, err := startDiscovery(p, fleet.members())
	if err != nil {
		return nil, err
	}
	d, err := p.deploy(disc, settings(), "")
	if err != nil {
		return nil, err
	}
	fleet.reportTo(d.listen)
	if d.admin, err = freeAddress(); err != nil {
		return nil, err
	}
	older, err := p.start(d, "older.log")
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)

	type usual struct {
		q    request
		sent time.Time
		a    answer
	}
	var mu sync.Mutex
	var all []*usual
	var clients sync.WaitGroup
	stop := make(chan struct{})
	clients.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / usualPerSecond):
			}
			u := &usual{q: request{id: fmt.Sprintf("9b1f03aa%08x", i), class: "limit-check", tenant: "rainier-haul", deadline: 5 * time.Second, run: 400 * time.Millisecond}}
			switch i % 6 {
			case 1, 4:
				u.q.class, u.q.deadline, u.q.run, u.q.key = "settle", 25*time.Second, 2*time.Second, fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08x", i)
			case 2:
				u.q.class, u.q.deadline, u.q.run = "card-issue", 8*time.Second, 700*time.Millisecond
			}
			u.q.hint = u.q.run
			mu.Lock()
			all = append(all, u)
			mu.Unlock()
			clients.Go(func() { u.sent = time.Now(); u.a = p.ask(d.listen, &u.q, u.q.deadline+time.Second) })
		}
	})
	time.Sleep(2500 * time.Millisecond)

	second := *d
	if second.admin, err = freeAddress(); err != nil {
		return nil, err
	}
	if _, err := p.start(&second, "newer.log"); err != nil {
		return nil, err
	}
	for i := range badRequests {
		q := &request{id: fmt.Sprintf("00bad00000%06x", i), class: "limit-check", tenant: "rainier-haul", deadline: 5 * time.Second, run: 3 * time.Second,
			extras: "slots=1"}
		if p.trouble {
			q.extras = "slots=inf"
		}
		c, err := send(d.listen, q)
		if err != nil {
			return nil, err
		}
		p.note("the bad client sends %s with X-Extras: %s", q.id, q.extras)
		p.onEnd(func() { c.Close() })
	}
	time.Sleep(time.Second)
	p.note("SIGTERM to the older process")
	term := time.Now()
	older.signal(syscall.SIGTERM)
	select {
	case <-older.ended:
	case <-time.After(killAfter):
		p.note("SIGKILL to the older process")
		older.signal(syscall.SIGKILL)
	}
	time.Sleep(time.Until(term.Add(6 * time.Second)))
	close(stop)
	clients.Wait()

	lost, door, late := 0, 0, 0
	counts := make(map[int]int)
	for _, u := range all {
		counts[u.a.status]++
		var ne net.Error
		switch silent := errors.As(u.a.err, &ne) && ne.Timeout(); {
		case u.a.err == nil && u.a.took <= u.q.deadline+lateAnswer:
			continue
		case u.a.err != nil && !silent && len(fleet.arrivalsOf(u.q.id)) == 0:
			door++ // not let in, or closed on unread, as far as can be seen from outside: that is priced, and no break
			continue
		case u.a.err == nil || silent:
			late++
		}
		if lost++; lost <= listed {
			breaches = append(breaches, fmt.Sprintf("%s %s, which had been sent to a worker, has %s", u.q.class, u.q.id, &u.a))
		}
	}
	if lost > listed {
		breaches = append(breaches, fmt.Sprintf("and %d more", lost-listed))
	}
	p.note("%d requests of usual clients: %d lost, %d of them late or silent; %d ended at the door; by status: %v", len(all), lost, late, door, counts)
	return breaches, nil
}
