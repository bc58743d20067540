package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// fleet is some schedulers that know each other, by the sections peers and owners, with their workers.
type fleet struct {
	rig     *rig
	listen  []string
	members []string
	workers []*worker
	specs   []scheduler
	procs   []*process
}

// newFleet starts schedulers that know each other, and three workers. extra returns what a scheduler's operators' file has beside the
// sections peers and owners, by its number. It returns once each of them serves card-issues.
func newFleet(r *rig, schedulers int, runtime time.Duration, extra func(i int) string) *fleet {
	f := &fleet{rig: r}
	for range schedulers {
		f.listen, f.members = append(f.listen, freeAddress()), append(f.members, freeAddress())
	}
	var probing atomic.Bool
	probing.Store(true)
	for i := range 3 {
		w := newWorker(r, fmt.Sprintf("s-%d", i), f.listen, func(string) time.Duration {
			if probing.Load() {
				return 20 * time.Millisecond
			}
			return runtime
		}, func(id string) string { return "result of " + id })
		w.quiet = func(id string) bool { return strings.HasPrefix(id, "a") }
		f.workers = append(f.workers, w)
	}
	for i := range schedulers {
		var join []string
		for k, m := range f.members {
			if k != i {
				join = append(join, m)
			}
		}
		f.specs = append(f.specs, scheduler{name: fmt.Sprintf("n%d", i), listen: f.listen[i], discovery: newDiscovery(f.workers, i),
			settings: settings(schedulers, i), memory: 512,
			fleet: fmt.Sprintf("peers:\n  listen: %s\n  join: [%s]\n  cluster: review\nowners:\n  keepers: 3\n  keep_s: 30\n  first_s: 0\n%s",
				f.members[i], strings.Join(join, ", "), extra(i))})
		f.procs = append(f.procs, r.start(f.specs[i]))
	}
	for i, l := range f.listen {
		r.awaitHealthy(l)
		a := reply{}
		for k := 0; k < 200 && a.status != 200; k++ { // until the schedulers have met
			time.Sleep(50 * time.Millisecond)
			a = ask{to: l, id: fmt.Sprintf("a%07x%08x", i, k), class: "card-issue", deadline: 8 * time.Second}.send()
		}
		r.note("n%d serves card-issues: %d", i, a.status)
		if a.status != 200 {
			panic("a scheduler does not serve")
		}
	}
	time.Sleep(200 * time.Millisecond)
	probing.Store(false)
	return f
}

// killFor kills a scheduler, and starts it again some time after it has ended.
func (f *fleet) killFor(i int, down time.Duration) {
	p := f.procs[i]
	f.rig.signal(p, syscall.SIGKILL)
	go func() {
		<-p.done
		time.Sleep(down)
		f.rig.start(f.specs[i])
	}()
}

// outcome notes what became of a job, and returns how often it has run, how many of its results were acknowledged, and how many calls with
// a result were refused.
func (f *fleet) outcome(id string, a reply) (runs, acknowledged, refused int) {
	attempts, runs := totals(f.workers, id)
	for _, w := range f.workers {
		w.mu.Lock()
		acknowledged, refused = acknowledged+w.acknowledged[id], refused+w.refused[id]
		w.mu.Unlock()
	}
	f.rig.note("job %s: %d attempts, %d runs, results acknowledged %d, calls with a result refused %d; its client in the end: %v", id, attempts, runs,
		acknowledged, refused, a)
	return runs, acknowledged, refused
}
