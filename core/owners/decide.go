package owners

import (
	"time"

	"laddertide/core/fleet"
	wire "laddertide/wire/owners"
)

const (
	yes  = wire.Yes
	no   = wire.No
	full = wire.TableFull
)

// Effect is the effect of running a job more than once. Its values match those in the settings.
type Effect uint8

// The possible effects of a repeated run.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // the providers of a group deduplicate repeats by key within a time window
	Unsafe               // must never run twice
)

// NeedsOwnership reports whether a job with this effect may be sent only after a majority of keepers has confirmed the scheduler's ownership.
func (e Effect) NeedsOwnership() bool { return e != Safe }

// NeedsProviderRecorded reports whether a majority of keepers must have stored the provider of each attempt before its first byte is sent: a
// scheduler that takes over the job has to stay within that provider's group.
func (e Effect) NeedsProviderRecorded() bool { return e == Keyed }

// OwnerStatus is the state of a job's owner as known to the scheduler that received the request.
type OwnerStatus struct {
	State   fleet.State
	Process Process // the latest known process with the owner's name
	Known   bool    // a process with that name is known
	Self    bool    // the owner is this scheduler or an earlier process with its name
}

// Action is the action for a request whose job is owned by another scheduler.
type Action uint8

// The actions.
const (
	FromRecord Action = iota // answer from the record
	AskOwner                 // ask the owner and relay its answer
	TakeOver                 // take over the job, with the attempts listed in the record
	RetryLater               // the state cannot be determined now: the client should retry
	Fail                     // the job has failed permanently
)

// NextAction chooses the action for a job whose record names another owner. majorityRead means that a majority of the keepers returned the
// record, so it contains all attempts that had to be recorded. The decision table is in docs/design/owners.md.
func NextAction(r *Record, owner OwnerStatus, majorityRead bool) Action {
	if r.Ended && r.HasOutcome {
		return FromRecord
	}
	ownerEnded := owner.Known && (owner.Process.Start > r.Owner.Start || owner.Process.Start == r.Owner.Start && !owner.State.MayRun())
	switch {
	case !owner.Self && owner.Known && owner.Process == r.Owner && owner.State <= fleet.Suspected:
		return AskOwner
	case ownerEnded && r.InLedger && owner.Process.Start > r.Owner.Start && owner.State <= fleet.Suspected:
		return AskOwner // the owner's next process has its ledger and knows the job's state
	case r.Ended:
		// Only the owner has the answer, and may have delivered it already: another run could give a different one.
		return waitUntilDue(r, ownerEnded && !r.InLedger)
	case Effect(r.Effect) == Unsafe:
		// It may be running, whatever the owner's state. No other scheduler may take it over; it expires at its deadline.
		return waitUntilDue(r, false)
	case r.InLedger:
		return waitUntilDue(r, false) // the owner's next process resumes it
	case Effect(r.Effect) == Keyed && !majorityRead:
		return waitUntilDue(r, false)
	}
	// The owner has ended, or is unreachable and will learn before its next attempt that the job has moved.
	return TakeOver
}

// waitUntilDue returns Wait while the owner may still report the outcome before the job is due, and Give after that or if it is hopeless.
func waitUntilDue(r *Record, hopeless bool) Action {
	if hopeless || r.DueIn <= 0 {
		return Fail
	}
	return RetryLater
}

// TakeoverRecord returns the record with which the process me takes over the job in r.
func TakeoverRecord(r *Record, me Process, nonce uint64) Record {
	n := *r
	n.Owner, n.Nonce, n.Term, n.Rev = me, nonce, r.Term+1, 1
	n.Replaces, n.ReplacesTerm, n.ReplacesRev = r.Owner, r.Term, r.Rev
	n.InLedger, n.Confirmed = false, false
	return n
}

// ConfirmationValidity returns how long a majority's confirmation remains valid; settle is the time within which the membership declares no
// member lost. A scheduler that was paused or partitioned for longer asks again before it sends the first byte of an attempt.
func ConfirmationValidity(settle time.Duration) time.Duration { return settle / 2 }
