package scheduler

import (
	"fmt"
	"io"
	"math"
	"net"
	"strings"
	"sync"
	"testing"

	"laddertide/frontend"
	"laddertide/handover"
	"laddertide/job"
	wire "laddertide/wire/handover"
)

const jobsOfUpgrade = 12 // open in these tests, of which one is special

// submitAll submits the jobs of an upgrade and returns their clients by id. more is further header fields of the first one.
func (r *rig) submitAll(more string) map[string]*client {
	r.t.Helper()
	all := make(map[string]*client)
	for i := range jobsOfUpgrade {
		c, id := r.dial(), fmt.Sprint("open-", i)
		r.submit(c, id, []string{"limit-check", "settle", "card-issue"}[i%3], "rainier-haul", more)
		all[id], more = c, ""
	}
	return all
}

// finishAll lets the provider serve all jobs, and checks that each has its answer.
func (r *rig) finishAll(all map[string]*client) {
	r.t.Helper()
	for id, c := range all {
		r.event(id, "done", `,"result":"`+id+`"`)
		if got := c.receive(200); got != id {
			r.t.Errorf("%s answered with %q", id, got)
		}
	}
}

// TestUpgradeBesideInfiniteSlots guards against requests that are lost in an upgrade, as a job with an infinite number of slots was handed
// over before them and the next process could not read it.
func TestUpgradeBesideInfiniteSlots(t *testing.T) {
	for _, slots := range []string{"inf", "+Infinity", "nan", "1e999", "1e300"} {
		t.Run(slots, func(t *testing.T) {
			var log logBuffer
			r := newUpgradeRig(t, &log)
			all := r.submitAll("X-Extras: slots=" + slots + "\r\n")
			next := r.startSuccessor(&log)
			r.upgrade(next)
			next.finishAll(all)
			next.stopAndWait()
		})
	}
}

// changingSuccessor calls change before each job is handed over.
type changingSuccessor struct {
	frontend.Successor
	change func(peer *handover.Peer, j *job.Job)
}

func (h *changingSuccessor) HandOverJob(c *net.TCPConn, k frontend.ConnState, last bool, j *job.Job, past []job.PastAttempt) error {
	h.change(h.Successor.(*successor).peer, j)
	return h.Successor.HandOverJob(c, k, last, j, past)
}

// changeJobs makes the rig call change before it hands a job over.
func (r *rig) changeJobs(change func(peer *handover.Peer, j *job.Job)) {
	r.sched.server.FindSuccessor = func(held int) frontend.Successor {
		return &changingSuccessor{r.sched.handOver(held), change}
	}
}

// TestRefusedJobCostsNoOther guards against one job that cannot be handed over and takes the others along: it alone is answered as failed.
func TestRefusedJobCostsNoOther(t *testing.T) {
	for name, spoil := range map[string]func(*job.Job){
		"cannot be encoded":        func(j *job.Job) { j.Slots = math.NaN() },
		"too large for a message":  func(j *job.Job) { j.Payload = make([]byte, wire.MaxMessage) },
		"a class that is not here": func(j *job.Job) { j.Class = 99 },
	} {
		t.Run(name, func(t *testing.T) {
			var log logBuffer
			r := newUpgradeRig(t, &log)
			all := r.submitAll("")
			r.changeJobs(func(_ *handover.Peer, j *job.Job) {
				if j.ID == "open-0" {
					spoil(j)
				}
			})
			next := r.startSuccessor(&log)
			r.upgrade(next)
			all["open-0"].receive(502)
			delete(all, "open-0")
			next.finishAll(all)
			next.stopAndWait()
			if strings.Contains(log.String(), "no confirmation") {
				t.Errorf("the handover has ended early:\n%s", &log)
			}
		})
	}
}

// TestLateMessagesDoNotEndAHandover guards against an upgrade that ends in the middle, as a message for a process that stands by reaches it
// after it has taken over: SIGHUP to the older process beside SIGTERM, a ban, or a message that no process sends.
func TestLateMessagesDoNotEndAHandover(t *testing.T) {
	for name, late := range map[string]struct {
		message wire.Numbered
		code    wire.Code
	}{
		"reread":    {&wire.RereadConfig{}, wire.Yes},
		"roster":    {&wire.RosterChange{}, wire.Yes},
		"take over": {&wire.Takeover{}, wire.No},
	} {
		t.Run(name, func(t *testing.T) {
			var log logBuffer
			r := newUpgradeRig(t, &log)
			all := r.submitAll("")
			reread := make(chan struct{}, jobsOfUpgrade)
			r.reread = func(*Scheduler) { reread <- struct{}{} }
			next := r.startSuccessor(&log)
			var once sync.Once
			r.changeJobs(func(peer *handover.Peer, _ *job.Job) {
				once.Do(func() {
					if reply, err := peer.Ask(late.message, nil, jobTimeout); err != nil || reply.Code != late.code {
						t.Errorf("%+v, %v", reply, err)
					}
				})
			})
			r.upgrade(next)
			next.finishAll(all)
			next.sched.mu.Lock()
			if n := len(next.sched.list.All()); n != 1 {
				t.Errorf("%d providers after a roster that is out of date", n)
			}
			next.sched.mu.Unlock()
			if name == "reread" {
				<-reread
			}
			next.stopAndWait()
		})
	}
}

// TestReloadDuringHandover guards against jobs that get a class which the next process does not know, as the older one rereads its settings
// while it hands over: only the next process does.
func TestReloadDuringHandover(t *testing.T) {
	var log logBuffer
	r := newUpgradeRig(t, &log)
	all := r.submitAll("")
	cfg := changedExample(t, `"name": "settle"`, `"name": "settle-2"`)
	reread := make(chan struct{}, 1)
	r.reread = func(*Scheduler) { reread <- struct{}{} }
	next := r.startSuccessor(&log)
	var once sync.Once
	r.changeJobs(func(*handover.Peer, *job.Job) {
		once.Do(func() {
			if err := r.sched.Reload(cfg); err != nil {
				t.Error(err)
			}
			<-reread
		})
	})
	r.upgrade(next)
	r.sched.mu.Lock()
	if n := len(r.sched.cfg.Settings.Classes); n != 3 {
		t.Errorf("the older process has %d classes", n)
	}
	r.sched.mu.Unlock()
	next.finishAll(all)
	next.stopAndWait()
}

// TestUnconfirmedRosterDuringHandover guards against a connection that carries jobs and is closed, as the next process has not confirmed a
// roster which it was sent while it stood by. Before the hand-over it is closed: the next process must not take over with an older list.
func TestUnconfirmedRosterDuringHandover(t *testing.T) {
	for name, handedOver := range map[string]bool{"standing by": false, "handed over": true} {
		t.Run(name, func(t *testing.T) {
			r := newUpgradeRig(t, io.Discard)
			peer, _, file, err := handover.Join(r.cfg.HandoverDir, wire.Hello{Name: r.cfg.Name, Listen: r.cfg.Listen})
			if err != nil {
				t.Fatal(err)
			}
			file.Close()
			t.Cleanup(peer.Close)
			confirmed := make(chan struct{})
			var once sync.Once
			go peer.Run(func(m handover.Received) { // confirms the first roster alone
				once.Do(func() {
					peer.Send(&wire.Reply{Number: wire.NumberOf(m.Message), Code: wire.Yes}, nil)
					close(confirmed)
				})
			})
			<-confirmed
			r.sched.mu.Lock()
			r.sched.handedOver = handedOver
			next, roster := r.sched.successor, r.sched.roster()
			r.sched.mu.Unlock()
			r.sched.updateSuccessor(next, roster)
			closed := false
			select {
			case <-next.Done():
				closed = true
			default:
			}
			if closed == handedOver {
				t.Errorf("closed: %v", closed)
			}
			r.sched.mu.Lock()
			r.sched.handedOver = false
			r.sched.mu.Unlock()
		})
	}
}
