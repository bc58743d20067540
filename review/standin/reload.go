//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

func init() { cases["reload"] = playReload }

// playReload: a durable card-issue is under way while its client's connection breaks; an operator changes the class's worth with SIGHUP;
// the client asks again with the same id.
func playReload(p *play) (breaches []string, err error) {
	fleet, err := startWorkers(p, 3, "tukwila")
	if err != nil {
		return nil, err
	}
	disc, err := startDiscovery(p, fleet.members())
	if err != nil {
		return nil, err
	}
	ledger := filepath.Join(p.dir, "ledger")
	if err := os.Mkdir(ledger, 0o700); err != nil {
		return nil, err
	}
	set := settings()
	d, err := p.deploy(disc, set, "\ndurable:\n  dir: "+ledger+"\n")
	if err != nil {
		return nil, err
	}
	fleet.reportTo(d.listen)
	x, err := p.start(d, "scheduler.log")
	if err != nil {
		return nil, err
	}
	time.Sleep(1500 * time.Millisecond)
	q := &request{id: "9b1f03aa5c7e2d41", class: "card-issue", tenant: "rainier-haul", deadline: 8 * time.Second, run: 1500 * time.Millisecond, hint: 1500 * time.Millisecond}
	sent := time.Now()
	c, err := send(d.listen, q)
	if err != nil {
		return nil, err
	}
	p.note("client sends %s %s", q.class, q.id)
	time.Sleep(500 * time.Millisecond)
	if len(fleet.arrivalsOf(q.id)) != 1 {
		return nil, fmt.Errorf("the job is not at a worker after 0.5 s")
	}
	c.Close()
	p.note("the client's connection breaks")
	if p.trouble {
		lane(set, "card-issue")["worth"] = 9.0
		if err := d.writeConfig(set); err != nil {
			return nil, err
		}
		x.signal(syscall.SIGHUP)
		p.note("SIGHUP: card-issue's worth is 9 in place of 8")
	}
	time.Sleep(2 * time.Second)
	if p.trouble && !x.sawLine("configuration reread") {
		return nil, fmt.Errorf("the configuration was not reread")
	}
	if n := len(fleet.effectsOf(q.id)); n != 1 {
		return nil, fmt.Errorf("the job has run %d times before the client asks again", n)
	}
	q.deadline -= time.Since(sent)
	a := p.ask(d.listen, q, q.deadline+500*time.Millisecond)
	time.Sleep(2 * time.Second)
	if n := len(fleet.effectsOf(q.id)); n != 1 {
		breaches = append(breaches, fmt.Sprintf("card-issue %s has run %d times", q.id, n))
	}
	p.note("second answer: %s", &a)
	return breaches, nil
}
