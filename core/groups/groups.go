// Package groups decides which schedulers keep a scheduler's ledger together, when its next group begins, and when one is
// over. It does no I/O and time is an argument. Whether a record is kept is the consensus library's to say, and what records
// mean is core/leases's.
//
// A group's members never change. When one of them is gone, or the group's log has grown, or more copies are wanted, the
// owner begins another group for the jobs that come from then on; the older one takes no more, and ends when nothing in it
// is known any more. All groups of a process share its log on disk, which is removed from its beginning only: so a group in
// which nothing happens is replaced as well once much stands behind its beginning. A process that starts anew begins a group of its own, whoever leads those of before.
package groups

import (
	"slices"
	"time"

	"laddertide/core/owners"
	wire "laddertide/wire/groups"
)

// Candidate is a scheduler that may keep a group, as the membership has it.
type Candidate struct {
	wire.Member
	Reached bool // it is taken for present
	Leaving bool // by its own word it will be over
}

// Limits say when an owner's next group begins.
type Limits struct {
	Replicas int           // of a group, the owner among them
	Expect   int           // schedulers that there are, as far as the settings know
	Settle   time.Duration // for which a member must have been gone, or back, before another group begins for it
	Bytes    int64         // of a group's log, after which the next one begins
	Behind   int64         // of the log on disk that stand behind a group's beginning, after which the next one begins
	Age      time.Duration // after which the next one begins, if there is anything in this one
	Retry    time.Duration // for a group to be led
}

// Choose gives the members of an owner's group: itself, and others by rendezvous of its name, those that are reached first.
// There are fewer than wanted where there are no more.
func Choose(me wire.Member, all []Candidate, replicas int) []wire.Member {
	var near, far []owners.Process
	disks := make(map[string]uint64, len(all))
	for _, c := range all {
		if c.Name == me.Name || c.Leaving || c.Disk == 0 {
			continue
		}
		disks[c.Name] = c.Disk
		if c.Reached {
			near = append(near, owners.Process{Name: c.Name})
		} else {
			far = append(far, owners.Process{Name: c.Name})
		}
	}
	out := []wire.Member{me}
	for _, some := range [][]owners.Process{near, far} {
		r := owners.NewRoster(some, len(some))
		for _, p := range r.Keepers(me.Name) {
			if len(out) < replicas {
				out = append(out, wire.Member{Name: p.Name, Disk: disks[p.Name]})
			}
		}
	}
	return out
}

// Own are an owner's groups: the one that takes jobs now.
type Own struct {
	me      wire.Member
	start   uint64
	limits  Limits
	current wire.Group
	epoch   uint64
	begun   time.Duration
	led     bool
	unled   time.Duration // since when it is not led, while it is not
	worse   time.Duration // since when other members would be better; 0: they would not
}

// NewOwn begins without a group. start is the process's.
func NewOwn(me wire.Member, start uint64, limits Limits) *Own {
	return &Own{me: me, start: start, limits: limits}
}

// Current is the group that takes jobs, if it is led by this scheduler.
func (o *Own) Current() (wire.ID, bool) { return o.current.ID, o.led }

// Led takes word that this scheduler leads a group of its own, or does so no more.
func (o *Own) Led(now time.Duration, id wire.ID, is bool) {
	if id != o.current.ID {
		return
	}
	if o.led && !is {
		o.unled = now
	}
	o.led = is
}

// Status is what an owner knows of its current group.
type Status struct {
	Bytes  int64 // size of the group's log
	Behind int64 // bytes that the log on disk has grown by since the group began
	Full   bool  // the log on disk of a member is full
	Empty  bool  // no job is in the group
}

// Next tells whether another group is to begin now, and which.
func (o *Own) Next(now time.Duration, all []Candidate, current Status) (wire.Group, bool) {
	best := Choose(o.me, all, o.limits.Replicas)
	reached := 1
	for _, m := range best {
		if slices.ContainsFunc(all, func(c Candidate) bool { return c.Member == m && c.Reached }) {
			reached++
		}
	}
	// It would have no majority, or, while few have been met, none of those that there should be: then no job is taken that
	// a lost machine would take along.
	if 2*reached <= max(len(best), min(o.limits.Replicas, o.limits.Expect)) {
		return wire.Group{}, false
	}
	same := sameMembers(best, o.current.Members)
	switch {
	case same:
		o.worse = 0
	case o.worse == 0:
		o.worse = now
	}
	switch {
	case o.epoch == 0:
	case !o.led && now-o.unled >= o.limits.Retry && (!same || now-o.begun >= o.limits.Retry):
		// It is led by another one, or by nobody: its members may be gone. What is in it goes on there.
	case !o.led:
		return wire.Group{}, false
	case !same && now-o.worse >= o.limits.Settle:
	case current.Bytes >= o.limits.Bytes, now-o.begun >= o.limits.Age && !current.Empty:
	case current.Behind >= o.limits.Behind:
	case current.Full && now-o.begun >= o.limits.Retry:
		// This group may be the one before which nothing can be removed there.
	default:
		return wire.Group{}, false
	}
	o.epoch++
	o.current = wire.Group{ID: wire.ID{Owner: o.me.Name, Start: o.start, Epoch: o.epoch}, Members: best}
	o.begun, o.led, o.unled, o.worse = now, false, now, 0
	return o.current, true
}

func sameMembers(a, b []wire.Member) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}
	return true
}
