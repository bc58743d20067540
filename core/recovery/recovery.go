// Package recovery says in which order service returns after a power loss: what a scheduler waits for before each step,
// for how long at most, what may be done meanwhile, and at which pace work of before and new work may enter the engine. It
// owns the order, the bounds and the pace; it does no I/O, time is an argument, and chance comes from a seed. Which provider
// gets a job, whether it goes again, and whether a client is told that a repeat is harmless stays with the module. What is
// lost where a line is wrong is in docs/design/recovery.md.
//
// # How a host drives it
//
// [New] begins at the step [Read]. The host tells what it finds, in any order ([Machine.Snapshot], [Machine.Ledger],
// [Machine.Fleet], [Machine.List], [Machine.Settled], [Machine.Listening]), and asks [Machine.Look] after each and at the
// time that it names. What is allowed follows from the step alone. Jobs come by [Machine.Offer], enter the engine as
// [Machine.Next] says, and are told of by [Machine.Ended]. A step never goes back.
package recovery

import (
	"fmt"
	"strings"
	"time"
)

// Step is a step of the order of return.
type Step uint8

// The steps, in their order.
const (
	Read    Step = iota // what this scheduler has kept: its snapshot, its ledger
	Find                // some other scheduler that tells what it knows
	Agree               // who is back, and which starts are over
	Take                // the word on bans, drains and numbers: of each that is back, and of discovery
	Settle              // whose the jobs of before are, those that must never run twice first
	Carry               // listen for calls that may be out; from here on call-backs find their job
	Ready               // somebody is there to serve; jobs of before enter, paced
	Admit               // new jobs enter too, paced
	Service             // as ever: nothing here has a say
)

var stepNames = [...]string{"read", "find", "agree", "take", "settle", "carry", "ready", "admit", "service"}

func (s Step) String() string { return stepNames[s] }

// What is something that a step waits for.
type What uint8

// What there is to wait for.
const (
	Nothing      What = iota
	ForDisk           // the operators: what is on the disk is not for this scheduler, or not for this program
	ForLedger         // the ledger, to be read or to be synced
	ForSnapshot       // the snapshot, to be read
	ForPeer           // the first other scheduler
	ForMembers        // those who were there before
	ForWords          // those who are there, to tell what they know
	ForList           // discovery's list, as new as the one of before
	ForOwners         // those who may own jobs of before
	ForListeners      // calls that may be out, to be listened for
	ForProvider       // one provider in the list
	ForPace           // providers to warm up, and the last jobs of before
)

var whatNames = [...]string{"nothing", "operators: the disk is another's", "ledger", "snapshot", "first scheduler", "schedulers of before",
	"schedulers' words", "discovery's list", "owners", "listeners", "a provider", "cold providers"}

func (w What) String() string { return whatNames[w] }

// costs is what may be lost where a step goes on without.
var costs = [...]string{
	ForDisk:     "what is there is set aside: bans, starts and open jobs in it are not known",
	ForLedger:   "open jobs of before are not carried on, and those that must never run twice are turned away for a while",
	ForSnapshot: "bans and starts are what others tell",
	ForPeer:     "bans told to others alone are not known; a part of the cold budget is kept for those who may run",
	ForMembers:  "bans told to them alone are not known; a part of the cold budget is kept for them",
	ForWords:    "bans told to them alone are not known until their next exchange",
	ForList:     "the list of before serves, with nobody warm in it: first calls may meet nobody",
	ForOwners:   "jobs that may be theirs are carried on but for those that must never run twice",
	ForPace:     "jobs enter as ever while providers may still be cold: the module alone keeps their budget",
}

// Wait is what a step waits for.
type Wait struct {
	For   What
	Names []string      // of schedulers, where it is for them
	Until time.Duration // then the step goes on without; 0: it ends with what it is for, or with the operators' word
}

// By tells what has ended a wait.
type By uint8

// What ends a wait.
const (
	ByItself By = iota // what it was for has come
	ByBound
	ByOperators
)

var byNames = [...]string{"done", "bound", "operators"}

func (b By) String() string { return byNames[b] }

// Without is a wait that was ended without what it was for.
type Without struct {
	Wait
	By By
}

func (w Without) String() string {
	s := fmt.Sprintf("without %v (%v", w.For, w.By)
	if len(w.Names) > 0 {
		s += ": " + strings.Join(w.Names, " ")
	}
	return s + "): " + costs[w.For]
}

// Change is a step that has ended: a line for the log.
type Change struct {
	Step    Step
	Took    time.Duration
	Without []Without
}

func (c Change) String() string {
	s := fmt.Sprintf("%v took %v", c.Step, c.Took.Round(time.Millisecond))
	for _, w := range c.Without {
		s += "; " + w.String()
	}
	return s
}

// Allowed is what may be done now.
type Allowed struct {
	Health    bool // GET /_health says 200: jobs can be taken
	CallBacks bool // a call-back may be acknowledged: its job would be known
	Old       bool // jobs of before may enter the engine, as Next says
	New       bool // new ones too
	Never     bool // new ones that must never run twice may be taken
	Durable   bool // jobs may be taken for good: the ledger is this scheduler's, and is read
	Paced     bool // Next has a say in what enters
}

// Status is how the return stands.
type Status struct {
	Step    Step
	Since   time.Duration // when the step began
	Wait    Wait
	Allowed Allowed
	Doubt   bool      // the ledger is older than what others have seen of this name: each of its open jobs may have run since
	Without []Without // what was gone on without, of all steps
	Wake    time.Duration
}

// Reason says how something of before was found on disk.
type Reason uint8

// How something of before is found.
const (
	Unread       Reason = iota // not yet
	Whole                      // as it was written last
	Missing                    // nothing is there
	Torn                       // something is there, and none of it holds
	Older                      // the last one does not hold, the one before it does
	Future                     // it holds, and its time is after this machine's
	OtherName                  // another scheduler of the cluster has written it
	OtherCluster               // a scheduler of another cluster has
	NewerVersion               // a later program has, in a form that this one cannot read
)

// Usable tells whether what was found says something of before.
func (r Reason) Usable() bool { return r == Whole || r == Older || r == Future }

// foreign tells whether it is not for this scheduler to replace.
func (r Reason) foreign() bool { return r == OtherName || r == OtherCluster }

// Member is a scheduler that was there before.
type Member struct {
	Name  string
	Start uint64
}

// Found is what the snapshot holds. But for Reason it counts where that is usable.
type Found struct {
	Reason  Reason
	Start   uint64   // this scheduler's own
	Members []Member // others that might run
	Index   uint64   // discovery's, of the list
	Ledger  bool     // there was a ledger with jobs
}

// Peer is another scheduler as it is there now.
type Peer struct {
	Name     string
	Start    uint64
	Step     Step // as it says itself
	Here     bool // it is reached
	Over     bool // the process that has this start is over: by its own word or the operators'
	Answered bool // it has told all that it knows, since this process began
	Odd      bool // of another version: nothing can be asked
}

// Fleet is the evidence of others, whole each time.
type Fleet struct {
	Peers  []Peer
	Nobody bool   // the search is over, and nobody was there
	Seen   uint64 // the latest start of this scheduler's name that others have seen, but for this process's own; 0: none
}

// Limits are what the order of return derives from. None is fitted: each is a setting, or derives from some as it says.
type Limits struct {
	Peers  bool // there are others to look for
	Ledger bool // jobs are kept on disk
	Owners bool // others may own jobs that are asked for here
	Expect int  // schedulers that there are, by the settings

	Dial   time.Duration // permissions.dial-timeout: an answer takes no longer where all is well
	Stream time.Duration // for an exchange of all that is known (peers.Timing)
	Settle time.Duration // in which news reaches all that are reached (fleet.Limits)
	Ask    time.Duration // over which all schedulers spread their first call to discovery (pace.Over)

	Classes    []Class
	ColdFrom   float64       // obligations.cold-from
	Bears      float64       // part of its present capacity that all schedulers together may send to a cold provider
	WarmWithin time.Duration // obligations.warm-within
	FallWindow time.Duration // obligations.fall
	MaxRetry   time.Duration // the longest that a client can be told to stay away; 0: none
}

// Class is a class of jobs.
type Class struct {
	Deadline time.Duration
	Worth    float64
	Never    bool // must never run twice
}

// longest is after how long no client of before asks any more.
func (l *Limits) longest() (d time.Duration) {
	for _, c := range l.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// bound is how long a step may wait for something; 0: until it comes, or the operators say to go on. Nobody who may never
// come back is waited for without a bound: only this machine's disk is, and a provider, without whom there is no service.
func (l *Limits) bound(w What) time.Duration {
	switch w {
	case ForSnapshot, ForWords: // it holds no more than a peer may tell
		return l.Stream
	case ForPeer: // the search asks each once more, if it is slow
		return 3 * l.Stream
	case ForMembers:
		return l.Settle
	case ForList: // the call may be the last of all, and takes as long as an exchange
		return l.Ask + l.Stream
	case ForOwners, ForListeners: // asked, and asked again
		return 2 * l.Dial
	case ForPace: // providers have warmed up, and it is known whether those who were told to stay away grow fewer
		return l.WarmWithin + 2*l.back()
	}
	return 0
}

// Longest is the longest time to readiness if all that is waited for with a bound does not come. A wait without one, see
// Wait.Until, adds to it.
func (l *Limits) Longest() (d time.Duration) {
	for _, w := range []What{ForSnapshot, ForPeer, ForMembers, ForList, ForOwners, ForListeners} {
		d += l.bound(w)
	}
	return d
}
