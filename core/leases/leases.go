// Package leases is the state machine of durable jobs. A job is taken, leased to a provider for each attempt, ended
// exactly once, answered, kept for a while so that a repeated request gets the same outcome, and then forgotten. The
// package defines which records must be on disk before which effect, and what a restart concludes from the records that
// it finds. It does no I/O, reads no clock and starts no goroutine. It neither chooses a provider nor decides whether a
// job is repeated; it only returns an error where that would break a guarantee. A [Table] must be used by one goroutine
// at a time.
//
// # What the host must do
//
// Each method that changes durable state returns a [Step]: records that the host appends to its store, in the order of
// the calls. Where Sync is set, the host delays the effect of the call until these records and all records appended
// before them are on disk. The rules are:
//
//   - B1: Taken is on disk before any part of the job is sent, and before anyone is notified that it was taken.
//   - B2: Leased is on disk before the first byte of that attempt is sent.
//   - B3: Ended is on disk before a client is answered, and before a provider's final report is acknowledged.
//   - B4: Over with Never is on disk before a job that must never run twice is leased again. It is repeated among the
//     records of that lease, so that one sync covers both.
//   - B5: a Mark, which reserves a block of fences, is on disk before the first of them is used. It comes with the
//     records of that lease.
//
// Begun, Answered and other Overs need no sync. If the write of Taken fails, the host calls [Table.Withdraw]; if that of
// Leased fails, [Table.CancelLease]. Nothing was sent then. A job whose Ended cannot be written has ended nevertheless:
// waiting clients are answered in time, but a restart may find the job as it was before.
//
// At startup the host calls [Table.Replay] for each record of the store, [Table.ReplayLost] for each record that is there but
// cannot be read, and then [Table.Recover], once. Records of one job come in the order in which they were appended; those
// of different jobs may be interleaved. The records may have been written by a process that was killed before it could
// sync, so the host syncs the store before it acts on the result of Recover.
//
// # What a crash may lose
//
// Any subset of the records after the last sync may be missing. So a restart may find a job without its Begun, a
// finished attempt without its Over, an Ended without Answered. What a completed Sync guarantees is the operator's
// choice:
//
//   - batch and each: what a Sync covers has reached the disk (in batch many Steps share one flush). B1 to B5 hold
//     after a crash of the process or the machine, and after a loss of power.
//   - none: what a Sync covers was handed to the operating system. B1 to B5 hold when the process is killed. After a
//     loss of power, or a crash of the machine, any recent record may be missing: a job may be unknown, a job that must
//     never run twice may be found without its lease and sent again, an answer may change, a fence may be reused.
package leases

import (
	"errors"
	"time"
)

// Seq is the number of a job. Numbers increase, also across restarts; 0 means none. They stay below 1<<53.
type Seq uint64

// Fence is the number of a lease. Numbers increase over all jobs, also across restarts; 0 means none. They stay below
// 1<<53 because they pass through programs that hold numbers as floating point.
type Fence uint64

// Clock is a point in time on this machine: Boot is the boot id (all zero if it is not known), Mono the time since boot
// by CLOCK_BOOTTIME and Wall the Unix time, both in nanoseconds. Within a process only Mono is used.
type Clock struct {
	Boot       [16]byte
	Mono, Wall int64
}

// Effect is the effect of running a job a second time.
type Effect uint8

// The effects of a second run.
const (
	Safe   Effect = iota // no effect: the job may run any number of times
	Keyed                // a second run is dropped within a group of providers and a time window
	Unsafe               // harmful: the job must never run twice
)

// Group is the set of providers within which the second run of a keyed job is dropped.
type Group uint8

// The groups of a keyed class.
const (
	All Group = iota
	Zone
	Cell
)

// Class is a class of durable jobs. Window applies to Keyed only. Deadline, the longest time that a client waits, is for
// the host's use.
type Class struct {
	Name             string
	Effect           Effect
	Group            Group
	Window, Deadline time.Duration
}

// Options configure a Table. All bounds are strict; a bound of 0 allows none.
type Options struct {
	Classes   []Class
	MaxOpen   int           // maximum of open jobs; those found at a restart count, but are never rejected for it
	Keep      time.Duration // how long an ended job is kept, counted from its end
	KeepBytes int64         // approximate maximum of the memory that ended jobs use; see Counts
	// UnstoredBytes is the approximate maximum of the memory of ended jobs whose end is not known to be stored. It must exceed what the
	// host's store accepts before a write is done.
	UnstoredBytes int64
	MaxJoiners    int // maximum of clients that wait for a job in addition to the first
}

// Spec describes a job. Digest covers everything that makes two jobs the same: class, party, key, subject and payload.
// Body is opaque here: it holds whatever the caller needs to send the job. Neither slice nor times change once the job
// is taken.
type Spec struct {
	ID, Class, Tenant string
	Digest            [32]byte
	Key               string
	Deadline          time.Duration // as stated by the client
	TimeLeft          time.Duration // part of Deadline that was left when the job was taken
	WorkHint          time.Duration // expected work; 0 if not given
	Slots             float64
	Body              []byte
}

// OutcomeKind is the kind of a job's outcome.
type OutcomeKind uint8

// The kinds of outcome.
const (
	Served         OutcomeKind = iota // a provider returned a result
	Rejected                          // a repeat does no harm
	Failed                            // no guarantee on whether the job ran
	InvalidRequest                    // the request itself was invalid
)

func (k OutcomeKind) String() string { return enumName(k, "served", "rejected", "failed", "mistaken") }

// Outcome is the final result of a job, of which there is exactly one.
type Outcome struct {
	Kind       OutcomeKind
	Result     []byte        // of a served job; the provider's response if the request was invalid
	RetryAfter time.Duration // how long the client should wait before it retries; 0 if not given
	Reason     string        // for operators
}

// Step lists the records that have to be written. The zero Step needs no write.
type Step struct {
	Records []Record // to be appended in this order
	Sync    bool     // the effect must wait until these and all records appended before them are on disk
}

// TakeResultKind says what Take did with a job.
type TakeResultKind uint8

// What Take can do with a job.
const (
	Fresh    TakeResultKind = iota // it was not known and has been taken
	Joined                         // it is open; this client gets its outcome too
	Known                          // it has ended; the outcome is returned
	Conflict                       // another job has its id
	Full                           // too many jobs are open, or what is kept of ended ones leaves no room; nothing of it was sent
	Crowded                        // it is open, and too many clients wait for it
	Invalid                        // its class is unknown, it has no id, or it does not fit into a record
)

func (k TakeResultKind) String() string {
	return enumName(k, "fresh", "joined", "known", "conflict", "full", "crowded", "invalid")
}

// TakeResult is the result of Take. Seq is set only for Fresh, Joined and Known, so that nothing is revealed of another
// client's job. Answer tells where the Result and the Reason of a Known job's Outcome are.
type TakeResult struct {
	Kind    TakeResultKind
	Seq     Seq
	Outcome Outcome
	Answer  Answer
}

// Location is the place of a record in the host's store, which alone knows its meaning.
type Location struct {
	Segment uint64
	Offset  int64
}

// Answer tells where the texts of an ended job's outcome are: its Result and its Reason.
type Answer struct {
	InStore  bool     // they are not in memory: the host reads the job's Ended record
	Location Location // of that record, as given to MarkStored
}

// State is the state of a job.
type State uint8

// The states of a job. A job whose attempt is over but which has not ended returns to StateTaken.
const (
	StateTaken State = iota
	StateLeased
	StateBegun
	StateEnded
	StateAnswered
)

func (s State) String() string { return enumName(s, "taken", "leased", "begun", "ended", "answered") }

// Lease is the right of one attempt to run a job, as reported by Expired.
type Lease struct {
	Seq       Seq
	Fence     Fence
	ID        string
	Class     string
	Provider  string
	Begun     bool
	SilentFor time.Duration // time since the last sign of life or, without one, since the lease began
}

// Attempt is one lease of a job, past or present.
type Attempt struct {
	Provider   string // "" if the lease's record is lost
	Address    string // address of the provider for this attempt; "" if not known
	Fence      Fence  // 0 if the lease's record is lost
	Age        time.Duration
	AgeKnown   bool // false if a clock step made the age unknown; it is 0 then
	MayHaveRun bool // also true while the attempt is in flight
	InFlight   bool // in flight: no record says that it is over
	Begun      bool
}

// RecoveryAction is the action that the host takes for a job found open at a restart.
type RecoveryAction uint8

// The actions for a job found open at a restart.
const (
	SendAgain RecoveryAction = iota // pass it to the decision module with the attempts made; none is in flight
	Wait                            // an attempt may be in flight: pass it on with that attempt as in flight
	Fail                            // end it as Failed at once, with the reason given
)

func (d RecoveryAction) String() string { return enumName(d, "again", "wait", "fail") }

// Resumed is a job found open at a restart. If its Taken record is lost, Spec has only ID and Digest.
type Resumed struct {
	Seq      Seq
	Spec     Spec
	TimeLeft time.Duration
	Action   RecoveryAction
	Attempts []Attempt // in the order of their fences
	Reason   string
}

// Missing is a record that must have existed and was not found. ID is "" if it is not known.
type Missing struct {
	Seq  Seq
	ID   string
	What string
}

// Job is the current state of a job, for status pages and operators.
type Job struct {
	Seq      Seq
	Spec     Spec // without Body once it has ended; only ID and Digest once its answer is not in memory
	State    State
	Age      time.Duration // time since it was taken or, once it has ended, since its end
	TimeLeft time.Duration // time until it can only fail; 0 once it has ended
	Waiters  int           // number of waiting clients
	Attempts []Attempt     // none once its answer is not in memory
	Outcome  Outcome       // once it has ended
	Answer   Answer        // once it has ended
}

// Counts are the counters of a Table. Open, Kept, KeptBytes and RecordBytes are current values, the others totals since New.
//
// An ended job is known for Options.Keep, always. Its answer leaves the memory before that where KeptBytes would exceed
// Options.KeepBytes; what is left of the job is counted by RecordBytes, and no new job is taken while these alone reach the bound. Answers
// that are not stored yet may exceed it, by Options.UnstoredBytes at most.
type Counts struct {
	Open, Kept        int
	KeptBytes         int64  // approximate memory of ended jobs, with the answers that are in memory
	RecordBytes       int64  // the part of it that stays until Keep has passed
	AnswersDropped    uint64 // answers that were dropped from memory and are in the store
	AnswersLost       uint64 // answers that were dropped from memory and could not be stored
	Refused           uint64 // new jobs not taken because of RecordBytes
	Conflicts         uint64
	Joins             uint64 // clients that joined an open job or got the outcome of an ended one
	StaleReports      uint64 // reports for leases that are no longer valid
	UnreadableRecords uint64 // records of the store that could not be read
}

// The errors with which a call is refused. The Table is unchanged then.
var (
	ErrUnknown          = errors.New("leases: no such job")
	ErrEnded            = errors.New("leases: the job has ended")
	ErrLeased           = errors.New("leases: the job is leased")
	ErrLeaseInvalid     = errors.New("leases: the lease does not stand")
	ErrTimeOver         = errors.New("leases: the job's time is over")
	ErrMayHaveRun       = errors.New("leases: the job may have run and must not run twice")
	ErrWindowOver       = errors.New("leases: the job may have run, and the window of its key is over or not known")
	ErrProviderUnknown  = errors.New("leases: the job may have run at a provider that is not known")
	ErrUnknownClass     = errors.New("leases: the job's class is not in the settings")
	ErrTooManyLeases    = errors.New("leases: the job was leased too often")
	ErrTooLong          = errors.New("leases: longer than a record may hold")
	ErrNumbersExhausted = errors.New("leases: no numbers left")
	ErrTakenLost        = errors.New("leases: the record of the job's taking is lost")
	ErrEndedLost        = errors.New("leases: the job was answered, and the record of its end is lost")
)

func enumName[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}
