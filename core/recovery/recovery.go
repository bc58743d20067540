// Package recovery defines the order in which a scheduler returns to service after a power loss: what it waits for before
// each step and for how long at most, what is permitted in the meantime, and the rate at which jobs enter the engine. It owns
// the order, the time limits and the admission rate. It does no I/O; time is passed as an argument, and randomness comes from
// a seed. Which provider gets a job, whether the job is retried, and whether a client is told that repeating its request is
// safe remain decisions of the decision module. The cost of each possible wrong assumption is listed in
// docs/design/recovery.md.
//
// # Usage
//
// [New] starts at the step [Read]. The host reports its findings in any order ([Machine.SetSnapshot], [Machine.SetLedger],
// [Machine.SetFleet], [Machine.SetList], [Machine.SetJobsKnown], [Machine.SetUnheardAttempts]). It calls [Machine.Status] after each report and
// at the returned wake time. What is permitted depends on the step alone. Jobs are submitted with [Machine.Offer], enter
// the engine when [Machine.Next] returns them, and are reported with [Machine.JobEnded] when they finish. A step is never
// repeated.
package recovery

import (
	"fmt"
	"strings"
	"time"
)

// Step is a step of the recovery sequence.
type Step uint8

// The steps, in order.
const (
	Read    Step = iota // read this scheduler's snapshot and ledger
	Find                // find another scheduler that shares what it knows
	Agree               // learn which schedulers are back and which of the previous processes are over
	Take                // receive bans, drains and start numbers from every scheduler that is back, and discovery's list
	Settle              // determine who owns the jobs of the previous process, starting with those that must never run twice
	Carry               // listen for results of attempts that may be in flight; from here on, callbacks find their job
	Ready               // wait for a provider; jobs of the previous process enter at a limited rate
	Admit               // new jobs enter too, at a limited rate
	Service             // normal service; this package no longer limits anything
)

var stepNames = [...]string{"read", "find", "agree", "take", "settle", "carry", "ready", "admit", "service"}

func (s Step) String() string { return stepNames[s] }

// Awaited identifies something that a step waits for.
type Awaited uint8

// The things that a step can wait for.
const (
	Nothing      Awaited = iota
	ForDisk              // operators: the data on disk belongs to another scheduler or needs another program version
	ForLedger            // the ledger to be read or synced
	ForSnapshot          // the snapshot to be read
	ForPeer              // the first other scheduler
	ForMembers           // the schedulers that were running before
	ForPeerState         // the schedulers that are present, to share what they know
	ForList              // a list from discovery that is at least as new as the saved one
	ForOwners            // the schedulers that may own jobs of the previous process
	ForListeners         // listeners for attempts that may be in flight
	ForProvider          // one provider in the list
	ForWarmUp            // providers to warm up, and the last jobs of the previous process
)

var awaitedNames = [...]string{"nothing", "operators: the disk is another's", "ledger", "snapshot", "first scheduler", "schedulers of before",
	"schedulers' words", "discovery's list", "owners", "listeners", "a provider", "cold providers"}

func (w Awaited) String() string { return awaitedNames[w] }

// costs describes what may be lost if a step proceeds without what it waits for.
var costs = [...]string{
	ForDisk:      "what is there is set aside: bans, starts and open jobs in it are not known",
	ForLedger:    "open jobs of before are not carried on, and those that must never run twice are turned away for a while",
	ForSnapshot:  "bans and starts are what others tell",
	ForPeer:      "bans told to others alone are not known; a part of the cold budget is kept for those who may run",
	ForMembers:   "bans told to them alone are not known; a part of the cold budget is kept for them",
	ForPeerState: "bans told to them alone are not known until their next exchange",
	ForList:      "the list of before serves, with nobody warm in it: first calls may meet nobody",
	ForOwners:    "jobs that may be theirs are carried on but for those that must never run twice",
	ForWarmUp:    "jobs enter as ever while providers may still be cold: the module alone keeps their budget",
}

// Wait describes what a step waits for.
type Wait struct {
	For   Awaited
	Names []string      // of schedulers, if the wait is for them
	Until time.Duration // when the step proceeds anyway; 0: only when the awaited event occurs or the operators say so
}

// WaitEnd identifies what ended a wait.
type WaitEnd uint8

// The ways in which a wait ends.
const (
	ByEvent WaitEnd = iota // the awaited event occurred
	ByLimit
	ByOperators
)

var endingNames = [...]string{"done", "bound", "operators"}

func (b WaitEnd) String() string { return endingNames[b] }

// SkippedWait is a wait that ended before the awaited event occurred.
type SkippedWait struct {
	Wait
	By WaitEnd
}

func (w SkippedWait) String() string {
	s := fmt.Sprintf("without %v (%v", w.For, w.By)
	if len(w.Names) > 0 {
		s += ": " + strings.Join(w.Names, " ")
	}
	return s + "): " + costs[w.For]
}

// Change describes a completed step, for the log.
type Change struct {
	Step    Step
	Took    time.Duration
	Skipped []SkippedWait
}

func (c Change) String() string {
	s := fmt.Sprintf("%v took %v", c.Step, c.Took.Round(time.Millisecond))
	for _, w := range c.Skipped {
		s += "; " + w.String()
	}
	return s
}

// Allowed describes what is currently permitted.
type Allowed struct {
	Health    bool // GET /_health returns 200: jobs can be taken
	CallBacks bool // a callback may be acknowledged: its job would be known
	OldJobs   bool // jobs of the previous process may enter the engine when Next returns them
	NewJobs   bool // so may new jobs
	NewUnsafe bool // new jobs that must never run twice may be taken
	Durable   bool // durable jobs may be taken: the ledger belongs to this scheduler and has been read
	Paced     bool // Next limits what enters
}

// Status is the state of recovery.
type Status struct {
	Step        Step
	Since       time.Duration // when the step began
	Wait        Wait
	Allowed     Allowed
	LedgerStale bool          // the ledger is older than what others have seen of this name: each of its open jobs may have run since
	Skipped     []SkippedWait // the waits of all steps that ended without the awaited event
	Wake        time.Duration
}

// Reason describes the condition in which saved data was found on disk.
type Reason uint8

// The conditions of saved data.
const (
	Unread          Reason = iota // not read yet
	Intact                        // as last written
	Missing                       // nothing is there
	Damaged                       // data is there, but none of it is valid
	OlderGeneration               // the latest generation is invalid, the one before it is valid
	FromFuture                    // valid, but its timestamp is later than this machine's clock
	OtherName                     // written by another scheduler of the cluster
	OtherCluster                  // written by a scheduler of another cluster
	NewerVersion                  // written by a later program version in a format that this one cannot read
)

// Usable reports whether the saved data can be used.
func (r Reason) Usable() bool { return r == Intact || r == OlderGeneration || r == FromFuture }

// foreign reports whether the saved data belongs to another scheduler, so that this one must not replace it.
func (r Reason) foreign() bool { return r == OtherName || r == OtherCluster }

// Member is a scheduler that was running before.
type Member struct {
	Name  string
	Start uint64
}

// SnapshotInfo is the content of the snapshot. The fields other than Reason count only if Reason is usable.
type SnapshotInfo struct {
	Reason    Reason
	Start     uint64   // this scheduler's own start number
	Members   []Member // other schedulers that may be running
	ListIndex uint64   // discovery's index of the list
	HadLedger bool     // a ledger with jobs existed
}

// Peer is the current state of another scheduler.
type Peer struct {
	Name         string
	Start        uint64
	Step         Step // as reported by the scheduler itself
	Reachable    bool // it can be reached
	Ended        bool // the process with this start number is over, by its own statement or the operators'
	Answered     bool // it has shared all that it knows since this process began
	OtherVersion bool // it runs another version and cannot be asked
}

// Fleet is the evidence about other schedulers; each report is complete.
type Fleet struct {
	Peers      []Peer
	NoneFound  bool   // the search is over, and no other scheduler was found
	LatestSeen uint64 // the latest start number of this scheduler's name that others have seen, other than this process's own; 0: none
}

// Limits are the parameters of the recovery sequence. None is fitted: each is a setting or is derived from settings as noted.
type Limits struct {
	HasPeers           bool // there are other schedulers to look for
	HasLedger          bool // jobs are kept on disk
	HasOwners          bool // other schedulers may own jobs that are requested here
	ExpectedSchedulers int  // the number of schedulers according to the settings

	DialTimeout     time.Duration // permissions.dial-timeout: a healthy peer or provider answers within this time
	ExchangeTime    time.Duration // for a full state exchange (peers.Timing)
	SettleTime      time.Duration // time in which an update reaches all reachable schedulers (fleet.Limits)
	DiscoverySpread time.Duration // time over which all schedulers spread their first call to discovery (pace.Over)

	Classes       []Class
	ColdFrom      float64       // obligations.cold-from
	ColdLoadLimit float64       // part of its current capacity that all schedulers together may send to a cold provider
	WarmWithin    time.Duration // obligations.warm-within
	FallWindow    time.Duration // obligations.fall
	MaxRetry      time.Duration // the longest retry delay that a client can be given; 0: none
}

// Class is a class of jobs.
type Class struct {
	Deadline time.Duration
	Worth    float64
	Unsafe   bool // jobs must never run twice
}

// longestDeadline returns the time after which every client of the previous process has given up.
func (l *Limits) longestDeadline() (d time.Duration) {
	for _, c := range l.Classes {
		d = max(d, c.Deadline)
	}
	return d
}

// waitLimit returns how long a step may wait for w; 0: until it occurs or the operators say to proceed. Only two waits have no
// limit: for this machine's disk, and for a provider, without which there is no service. Nothing that may never come back is
// waited for without a limit.
func (l *Limits) waitLimit(w Awaited) time.Duration {
	switch w {
	case ForSnapshot, ForPeerState: // the snapshot holds no more than a peer may share
		return l.ExchangeTime
	case ForPeer: // the search asks each slow scheduler once more
		return 3 * l.ExchangeTime
	case ForMembers:
		return l.SettleTime
	case ForList: // this scheduler's call may be the last of all, and takes as long as an exchange
		return l.DiscoverySpread + l.ExchangeTime
	case ForOwners, ForListeners: // asked, and asked again
		return 2 * l.DialTimeout
	case ForWarmUp: // by then providers have warmed up, and it is known whether fewer clients are told to retry later
		return l.WarmWithin + 2*l.retryPeriod()
	}
	return 0
}

// Longest returns the longest time to readiness if nothing that is waited for with a limit arrives. Waits without a limit
// (see Wait.Until) add to it.
func (l *Limits) Longest() (d time.Duration) {
	for _, w := range []Awaited{ForSnapshot, ForPeer, ForMembers, ForList, ForOwners, ForListeners} {
		d += l.waitLimit(w)
	}
	return d
}
