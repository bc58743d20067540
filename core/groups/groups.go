// Package groups decides which schedulers replicate a scheduler's ledger, and when its next replication group begins. It does no
// I/O and takes the time as an argument. The consensus library decides whether a record is committed, and core/leases what records
// mean.
//
// The members of a group never change. When a member is lost, the group's log has grown large, or more copies are wanted, the
// owner begins a new group for the jobs from then on. The old group accepts no more jobs, and ends when it has no live entries. All
// groups of a process share its log on disk, which can be truncated at its beginning only. An idle group is therefore
// replaced, too, once the log has grown far beyond the group's first entry. A new process always begins a group of its own,
// whoever leads the groups of the previous process.
package groups

import (
	"slices"
	"time"

	"laddertide/core/owners"
	wire "laddertide/wire/groups"
)

// Candidate is a scheduler that may join a group, with its state in the membership.
type Candidate struct {
	wire.Member
	Reached bool // the membership considers it present
	Leaving bool // it announced that it will stop
}

// Limits say when an owner's next group begins.
type Limits struct {
	Replicas           int           // members of a group, including the owner
	ExpectedSchedulers int           // number of schedulers according to the settings
	SettleTime         time.Duration // how long a better choice of members must persist before another group begins for it
	Bytes              int64         // size of a group's log at which the next group begins
	LogGrowth          int64         // growth of the log on disk since a group's first entry at which the next group begins
	Age                time.Duration // age of a group at which the next one begins, unless the group is empty
	LeadTimeout        time.Duration // how long to wait for this scheduler to lead a group before another one begins
}

// Choose returns the members of an owner's group: the owner, then others by rendezvous hashing of its name, reachable ones first.
// It returns fewer than replicas if there are not enough candidates.
func Choose(me wire.Member, all []Candidate, replicas int) []wire.Member {
	var reachable, unreachable []owners.Process
	disks := make(map[string]uint64, len(all))
	for _, c := range all {
		if c.Name == me.Name || c.Leaving || c.Disk == 0 {
			continue
		}
		disks[c.Name] = c.Disk
		if c.Reached {
			reachable = append(reachable, owners.Process{Name: c.Name})
		} else {
			unreachable = append(unreachable, owners.Process{Name: c.Name})
		}
	}
	out := []wire.Member{me}
	for _, part := range [][]owners.Process{reachable, unreachable} {
		r := owners.NewRoster(part, len(part))
		for _, p := range r.Keepers(me.Name) {
			if len(out) < replicas {
				out = append(out, wire.Member{Name: p.Name, Disk: disks[p.Name]})
			}
		}
	}
	return out
}

// CurrentGroup tracks an owner's current group, the one that accepts jobs.
type CurrentGroup struct {
	me          wire.Member
	start       uint64
	limits      Limits
	current     wire.Group
	epoch       uint64
	begunAt     time.Duration
	led         bool
	notLedSince time.Duration // since when this scheduler has not led the current group, if led is false
	betterSince time.Duration // since when a better choice of members has existed; 0: there is none
}

// NewCurrentGroup returns the state before the first group. start is the start time of the process.
func NewCurrentGroup(me wire.Member, start uint64, limits Limits) *CurrentGroup {
	return &CurrentGroup{me: me, start: start, limits: limits}
}

// Current returns the current group, and whether this scheduler leads it. Only then does it accept jobs.
func (o *CurrentGroup) Current() (wire.ID, bool) { return o.current.ID, o.led }

// SetLed notes whether this scheduler leads the given group. Groups other than the current one are ignored.
func (o *CurrentGroup) SetLed(now time.Duration, id wire.ID, is bool) {
	if id != o.current.ID {
		return
	}
	if o.led && !is {
		o.notLedSince = now
	}
	o.led = is
}

// Status is the state of the current group as known to its owner.
type Status struct {
	Bytes     int64 // size of the group's log
	LogGrowth int64 // bytes that the log on disk has grown by since the group began
	LogFull   bool  // some member's log on disk is full
	Empty     bool  // the group holds no job
}

// Next reports whether another group must begin now, and returns it as the current one.
func (o *CurrentGroup) Next(now time.Duration, all []Candidate, current Status) (wire.Group, bool) {
	best := Choose(o.me, all, o.limits.Replicas)
	reached := 1
	for _, m := range best {
		if slices.ContainsFunc(all, func(c Candidate) bool { return c.Member == m && c.Reached }) {
			reached++
		}
	}
	// A new group needs a reachable majority of its members and, while few schedulers have been contacted, of the expected number
	// of members. Otherwise jobs would be accepted that the loss of one machine would destroy.
	if 2*reached <= max(len(best), min(o.limits.Replicas, o.limits.ExpectedSchedulers)) {
		return wire.Group{}, false
	}
	same := sameMembers(best, o.current.Members)
	switch {
	case same:
		o.betterSince = 0
	case o.betterSince == 0:
		o.betterSince = now
	}
	switch {
	case o.epoch == 0:
	case !o.led && now-o.notLedSince >= o.limits.LeadTimeout && (!same || now-o.begunAt >= o.limits.LeadTimeout):
		// Another member or nobody leads the group; its members may be lost. The jobs in it continue there.
	case !o.led:
		return wire.Group{}, false
	case !same && now-o.betterSince >= o.limits.SettleTime:
	case current.Bytes >= o.limits.Bytes, now-o.begunAt >= o.limits.Age && !current.Empty:
	case current.LogGrowth >= o.limits.LogGrowth:
	case current.LogFull && now-o.begunAt >= o.limits.LeadTimeout:
		// This group may be the one whose entries prevent the truncation of that log.
	default:
		return wire.Group{}, false
	}
	o.epoch++
	o.current = wire.Group{ID: wire.ID{Owner: o.me.Name, Start: o.start, Epoch: o.epoch}, Members: best}
	o.begunAt, o.led, o.notLedSince, o.betterSince = now, false, now, 0
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
