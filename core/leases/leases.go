// Package leases is the state machine of durable jobs: jobs that are taken for good, leased to a provider for each
// invoker call, ended once, answered, kept for a while for those who ask again, and forgotten. It owns the rules of
// what must be on disk before which effect, and what a restart makes of what it finds. It never does I/O, reads a clock
// or starts a goroutine; it neither chooses a provider nor decides whether a job is repeated, it only says no where
// that would break a promise. A [Table] must be used by one goroutine at a time.
//
// # What its host owes it
//
// Each method that changes what must survive returns a [Step]: records that the host appends to its store, in the order
// of the calls. Where Sync is set, the effect that the call was for waits until these records and all that were
// appended before them are on disk:
//
//   - B1: Taken before anything of the job is sent, and before anyone hears that it was taken.
//   - B2: Leased before the first byte of that attempt goes out.
//   - B3: Ended before a consumer's answer goes out, and before a provider's final word is acknowledged.
//   - B4: Over with Never before a job that must never run twice is leased again; it comes once more with that lease's
//     records, so that one sync does for both.
//   - B5: a Mark, which reserves a block of fences, before the first of them is used; it comes with that lease's
//     records.
//
// Begun, Answered and other Overs need no sync. A write that fails is told by Withdrawn (of Taken) or Unlease (of
// Leased); nothing was sent then. An Ended that cannot be written is an end all the same: who waits is answered in
// time, but a restart may find the job as it was before.
//
// At a start the host calls Replay for each record of the store, Lost for each that was there and cannot be read, and
// then Recover, once. Records of one job come in the order in which they were appended; those of several may mix. What
// was read may have been written by a process that was killed before it could sync: the host syncs the store before it
// acts on what Recover tells.
//
// # What a crash may take
//
// Of the records behind the last sync any may be missing, each by itself. So a restart may find a job without its
// Begun, an attempt that was over without its Over, an Ended without Answered. What the store promises by Sync is the
// operator's choice:
//
//   - batch and each: what a Sync covers has reached the disk (in batch many Steps share one flush). B1 to B5 hold
//     whatever dies, the process, the machine or its power.
//   - none: what a Sync covers was handed to the operating system. B1 to B5 hold when the process is killed. After a
//     loss of power, or a crash of the machine, any record of late may be missing: a job may not be known, one that
//     must never run twice may be found without its lease and go again, an answer may change, a fence come twice.
package leases

import (
	"errors"
	"time"
)

// Seq is the number of a job. It only grows, over restarts too; 0 is none. It stays below 1<<53.
type Seq uint64

// Fence is the number of a lease. It only grows over all jobs, over restarts too; 0 is none. It stays below 1<<53, as
// it travels through programs that hold numbers as floating point.
type Fence uint64

// Clock is a moment on this machine: the id of its boot (all zero if it is not known), the time since then as
// CLOCK_BOOTTIME tells it, and Unix time, both in nanoseconds. Within a process only Mono counts.
type Clock struct {
	Boot       [16]byte
	Mono, Wall int64
}

// Effect says what a second run of a job does.
type Effect uint8

// The effects of a second run.
const (
	Safe   Effect = iota // none: the job may run any number of times
	Keyed                // it is dropped within a group of providers and a window
	Unsafe               // harm: the job must never run twice
)

// Group is the set of providers that drops the second run of a keyed job.
type Group uint8

// The groups of a keyed class.
const (
	All Group = iota
	Zone
	Cell
)

// Class is a class of durable jobs. Window counts for Keyed alone. Deadline, the longest that a consumer waits, is for
// the host's use.
type Class struct {
	Name             string
	Effect           Effect
	Group            Group
	Window, Deadline time.Duration
}

// Options are what a Table is made with. All bounds are strict: 0 is none.
type Options struct {
	Classes    []Class
	MaxOpen    int           // jobs that have not ended; those found at a restart count, but are never turned away
	Keep       time.Duration // for which an ended job is known, from its end
	KeepCount  int           // ended jobs that are known at most
	KeepBytes  int64         // and about what they may take in memory
	MaxJoiners int           // consumers that may wait for a job beside one
}

// Spec is what a job is. Digest stands for all that makes two jobs the same: class, party, key, subject and payload.
// Body is the caller's: whatever it needs to send the job. Neither slice nor times change once the job is taken.
type Spec struct {
	ID, Class, Party string
	Digest           [32]byte
	Key              string
	Deadline         time.Duration // as the consumer stated it
	Left             time.Duration // of it, when the job was taken
	Hint             time.Duration // expected work; 0: not told
	Slots            float64
	Body             []byte
}

// Kind says how a job ended.
type Kind uint8

// The ends of a job.
const (
	Served   Kind = iota // with a provider's result
	Rejected             // a repeat does no harm
	Failed               // nothing is promised
	Mistaken             // it was no use as it was
)

func (k Kind) String() string { return name(k, "served", "rejected", "failed", "mistaken") }

// Outcome is the one end of a job.
type Outcome struct {
	Kind       Kind
	Result     []byte        // of Served, and what a provider said of a Mistaken one
	RetryAfter time.Duration // how long the consumer should stay away; 0: not told
	Why        string        // for operators
}

// Step is what has to be written. The zero Step is nothing.
type Step struct {
	Records []Record // to be appended in this order
	Sync    bool     // the effect waits until these, and all that were appended before them, are on disk
}

// TakingKind says what became of a job that came in.
type TakingKind uint8

// What can become of a job that comes in.
const (
	Fresh    TakingKind = iota // it was not known, and is taken
	Joined                     // it is open; its one end is for this consumer too
	Known                      // it has ended, with Taking.Outcome
	Conflict                   // its id is another job's
	Full                       // too many jobs are open, or too many wait for this one
	Invalid                    // its class is not known, it has no id, or it is larger than a record may be
)

func (k TakingKind) String() string {
	return name(k, "fresh", "joined", "known", "conflict", "full", "invalid")
}

// Taking is what became of a job that came in. Seq is 0 but for Fresh, Joined and Known: of another's job nothing is
// said.
type Taking struct {
	Kind    TakingKind
	Seq     Seq
	Outcome Outcome
}

// State is how far a job is.
type State uint8

// The states of a job. One whose attempt is over, without an end, is StateTaken again.
const (
	StateTaken State = iota
	StateLeased
	StateBegun
	StateEnded
	StateAnswered
)

func (s State) String() string { return name(s, "taken", "leased", "begun", "ended", "answered") }

// Lease is an attempt's right to a job.
type Lease struct {
	Seq      Seq
	Fence    Fence
	ID       string
	Class    string
	Provider string
	Begun    bool
	Silent   time.Duration // since the last sign of life, or the lease's begin
}

// Attempt is one lease of a job, past or present.
type Attempt struct {
	Provider   string // "" if its record is lost
	Address    string // where it was reached; "" if that is not known
	Fence      Fence  // 0 if its record is lost
	Ago        time.Duration
	AgoKnown   bool // otherwise the clock stepped, and Ago is 0
	MayHaveRun bool // true while it is out, too
	Out        bool // no record says that it is over
	Begun      bool
}

// Do is what becomes of a job that a restart finds open.
type Do uint8

// What becomes of a job that a restart finds open.
const (
	Again Do = iota // it goes to the decision module with the attempts made; none is out
	Wait            // an attempt may be out: it goes there with that attempt as one that is out
	Fail            // it is to be ended as Failed, at once; Why says why
)

func (d Do) String() string { return name(d, "again", "wait", "fail") }

// Resumed is a job that a restart finds open. Of one whose Taken is lost the Spec has no more than ID and Digest.
type Resumed struct {
	Seq      Seq
	Spec     Spec
	Left     time.Duration
	Do       Do
	Attempts []Attempt // in the order of their fences
	Why      string
}

// Missing is a record that must have been there. ID is "" where it is not known.
type Missing struct {
	Seq  Seq
	ID   string
	What string
}

// Job is a job as it stands, for status and operators.
type Job struct {
	Seq      Seq
	Spec     Spec // without Body once it has ended
	State    State
	Ago      time.Duration // since it was taken or, once it has ended, since its end
	Left     time.Duration // until it can only fail; 0 once it has ended
	Waiting  int           // consumers
	Attempts []Attempt
	Outcome  Outcome // once it has ended
}

// Counts are a Table's figures. Open, Kept and KeptBytes are as of now, the others since the Table was made.
type Counts struct {
	Open, Kept int
	KeptBytes  int64
	Evicted    uint64 // ended jobs forgotten before Keep was over
	Conflicts  uint64
	Joins      uint64 // consumers that joined an open job or got the outcome of an ended one
	Stale      uint64 // words of leases that no longer stand
	Lost       uint64 // records that could not be read, as told by Lost
}

// What speaks against a call. Nothing has changed then.
var (
	ErrUnknown  = errors.New("leases: no such job")
	ErrEnded    = errors.New("leases: the job has ended")
	ErrOut      = errors.New("leases: the job is leased")
	ErrNotOut   = errors.New("leases: the lease does not stand")
	ErrLate     = errors.New("leases: the job's time is over")
	ErrRan      = errors.New("leases: the job may have run and must not run twice")
	ErrWindow   = errors.New("leases: the job may have run, and the window of its key is over or not known")
	ErrGroup    = errors.New("leases: the job may have run at a provider that is not known")
	ErrClass    = errors.New("leases: the job's class is not in the settings")
	ErrAttempts = errors.New("leases: the job was leased too often")
	ErrTooLong  = errors.New("leases: longer than a record may hold")
	ErrNumbers  = errors.New("leases: no numbers left")
	ErrTaking   = errors.New("leases: the record of the job's taking is lost")
	ErrEnding   = errors.New("leases: the job was answered, and the record of its end is lost")
)

func name[T ~uint8](v T, names ...string) string {
	if int(v) < len(names) {
		return names[v]
	}
	return "unknown"
}
