package peering

import (
	"slices"
	"syscall"
	"testing"
	"time"

	"laddertide/core/history"
)

// firstStandstill is long enough for a scheduler to notice it, and too short for the others to give the scheduler up.
const firstStandstill = 1300 * time.Millisecond

// betweenStandstills is how long a scheduler runs, so that attempts get their connections, within the second for which it waits for
// news after a standstill.
const betweenStandstills = 150 * time.Millisecond

// TestOwnersStandStillConnected guards against an attempt that is sent by an ownership which was confirmed before the process stood
// still, on a connection that was up by then: attempts wait for news after a first standstill, and the second one begins meanwhile.
func TestOwnersStandStillConnected(t *testing.T) {
	o := newOwned(t, 5, 60)
	o.startAll(o.all...)
	p, others := o.all[0], o.all[1:]
	warm := o.each(2, quick, nil) // so that there are connections to workers
	o.want("before", warm, o.insistAll(warm, nil, p), served)
	all := o.each(3, quick, nil)
	o.world.Discovery.Silence(p.i, true) // its wait for news lasts as long as it may
	p.stop()
	time.Sleep(firstStandstill)
	p.signal(syscall.SIGCONT)
	asked := o.askAll(p, all)
	o.kept(slices.Concat(warm, all), o.all)
	time.Sleep(betweenStandstills)
	p.stop()
	o.world.Discovery.Silence(p.i, false)
	o.until("it is given up", func() bool {
		return !slices.ContainsFunc(others, func(q *post) bool { return q.state(p) != "unreachable" })
	})
	got := o.insistAll(all, nil, others...)
	o.want("elsewhere", all, got, map[string]int{"limit-check": 200, "settle": 200, "card-issue": 502})
	p.signal(syscall.SIGCONT)
	for i, heard := range asked {
		if a := <-heard; a.status == 200 && all[i].class == "settle" && a != got[i] {
			t.Errorf("%s of class %s: %+v here, %+v elsewhere", all[i].id, all[i].class, a, got[i])
		}
	}
	answered := o.rec.Now()
	o.agreed(5, o.all...)
	sent := o.judge()
	for _, j := range all {
		if j.class == "card-issue" {
			continue // nobody else runs it, so it may go on where it is
		}
		if slices.ContainsFunc(sent[j.id], func(ev history.Event) bool { return ev.Scheduler == p.name && ev.T < answered }) {
			t.Errorf("%s of class %s was sent by the one that stood still: %v", j.id, j.class, sent[j.id])
		}
	}
}
