//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["window"] = playWindow }

const (
	shortWindow  = 2 * time.Second         // of settle's key
	heldUp       = 2400 * time.Millisecond // for so long no answer of a worker comes through
	usualClients = 3                       // before that
	settles      = 2                       // asked for as it begins
	timeSlack    = 50 * time.Millisecond   // every time limit of the rules is longer by that on sockets
)

// playWindow: nothing comes back from the zone of both workers for a while, under settles whose keys have a short window.
func playWindow(p *play) (breaches []string, err error) {
	fleet, err := startWorkers(p, 2, "hillsboro")
	if err != nil {
		return nil, err
	}
	fleet.window = shortWindow
	disc, err := startDiscovery(p, fleet.members())
	if err != nil {
		return nil, err
	}
	set := settings()
	lane(set, "settle")["repeat-window"] = shortWindow.Microseconds()
	lane(set, "settle")["deadline"] = 8_000_000
	d, err := p.deploy(disc, set, "")
	if err != nil {
		return nil, err
	}
	fleet.reportTo(d.listen)
	if _, err := p.start(d, "scheduler.log"); err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	var clients sync.WaitGroup
	for n := range usualClients { // quiet service before
		clients.Go(func() {
			for i := range 30 {
				p.ask(d.listen, &request{id: fmt.Sprintf("00c0ffee%04x%04x", n, i), class: "limit-check", tenant: "rainier-haul",
					deadline: 5 * time.Second, run: 100 * time.Millisecond, hint: 100 * time.Millisecond}, 5*time.Second)
			}
		})
	}
	clients.Wait()
	fleet.mu.Lock()
	served := len(fleet.effects)
	fleet.mu.Unlock()
	if served != 30*usualClients {
		return nil, fmt.Errorf("only %d jobs were served before the trouble", served)
	}
	if p.trouble {
		p.note("from now on answers and call-backs of the workers are held up for %v; what is sent to them arrives", heldUp)
		fleet.hold(heldUp)
	}
	var ids []string
	for i := range settles {
		q := &request{id: fmt.Sprintf("9b1f03aa%08x", i), class: "settle", tenant: "rainier-haul", key: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08x", i),
			deadline: 8 * time.Second, run: 300 * time.Millisecond}
		ids = append(ids, q.id)
		clients.Go(func() { p.ask(d.listen, q, 9*time.Second) })
		time.Sleep(20 * time.Millisecond)
	}
	clients.Wait()
	time.Sleep(time.Second)
	for _, id := range ids {
		all := fleet.arrivalsOf(id)
		for _, a := range all {
			if past := a.at.Sub(all[0].at); past > shortWindow+timeSlack {
				breaches = append(breaches, fmt.Sprintf("settle %s was sent %.3f s after its first attempt, which has run; the window of its key is %v",
					id, past.Seconds(), shortWindow))
			}
		}
		if n := len(fleet.effectsOf(id)); n > 1 {
			breaches = append(breaches, fmt.Sprintf("settle %s has been applied %d times", id, n))
		}
	}
	return breaches, nil
}
