// Package job defines, independently of any protocol, jobs, their outcomes and the handlers that process them. It only owns these types: it
// does no I/O, stores nothing, and never decides the outcome of a job.
package job

import (
	"context"
	"errors"
	"time"
)

// Job is a client's request, as its frontend has read and checked it. Its fields have the same meaning for every backend: the frontend
// makes sure that ID can be used in a path as it is, that Subject begins with a slash and contains no blanks, and that no text here
// contains a control character other than a tab. Handlers pass on the job that they were given or one of their own; none modifies the
// contents of Fields or Payload, as others may still read them.
type Job struct {
	ID            string // as given by its client
	Class, Tenant int    // indexes in the settings; Tenant may be one past the last: unknown
	ClassName     string // the class's name in the settings
	TenantName    string // the tenant's name, even if unknown to the settings; empty: not given

	Deadline time.Duration // as given by the client, limited by its class
	TimeLeft time.Duration // time until its client must have its answer; a handler that holds the job for a while deducts that time

	Hint  time.Duration // estimated work; 0: not given
	Slots float64
	Key   string // idempotency key; empty: not given

	// ConnectionSlots is how many connections the frontend had for jobs when it took this one, if the job occupies a connection until it is
	// answered; else 0.
	ConnectionSlots int

	Subject string // path and query, as given
	Payload []byte

	// Keeper preserves the job beyond the end of this process; nil: nothing does.
	Keeper Keeper

	// Fields are the remaining protocol fields that the frontend passes on, in their order, in the terms of Protocol; the values above are among
	// them as received. A backend that speaks Protocol forwards them unchanged and adds none of the above; any other backend forwards none of
	// them, as a field without meaning here may affect a message's framing or routing there.
	Protocol string
	Fields   []Field
}

// Field is one field of a protocol's message. It is an alias, so that a protocol package's own type of the same structure is identical to it
// and neither package needs to import the other.
type Field = struct{ Name, Value string }

// Kind is the kind of a job's outcome.
type Kind uint8

// The kinds of outcomes. The zero value is the one that promises nothing.
const (
	Failed   Kind = iota // it may have run, or may still run
	Served               // Result is what a provider returned for this job
	Rejected             // nothing ran, so a retry is harmless
	Gone                 // the client has left; there is nobody to answer
	Invalid              // the job itself is invalid, and it never ran; Why says what is wrong
	Conflict             // its id belongs to a different job, about which nothing is disclosed
	Moved                // it continues in another process, with Past; there is no answer here
)

var kindNames = [...]string{Failed: "failed", Served: "served", Rejected: "rejected", Gone: "gone", Invalid: "mistaken",
	Conflict: "conflict", Moved: "moved"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is the one answer to a job, which its frontend encodes.
type Outcome struct {
	Kind         Kind
	Result       []byte        // of Served
	RetryAfter   time.Duration // of Rejected: how long the client should wait before a retry; 0: not given. Of Failed: the job continues, ask again then
	Why          string        // of an invalid job: a message for the client
	PastAttempts []PastAttempt // of Moved: the attempts that were made
	Written      func()        // to be called once the whole answer has been written; may be nil
}

// Keeper records what happens to a job, in advance where the job could not be preserved otherwise. Its methods may be called from any
// goroutine; those that block say so, and none blocks for longer than the time that the job has left.
type Keeper interface {
	// PastAttempts returns the attempts that a previous process has made for the job; resumed reports whether a previous process had the job at all.
	PastAttempts() (past []PastAttempt, resumed bool)
	// CallBacksAccepted notes that call-backs about the attempt which a previous process left in flight are accepted from now on.
	CallBacksAccepted()
	// BeforeSend must return before any byte of an attempt is written. It blocks. After an error nothing may be sent.
	BeforeSend(provider string) (lease uint64, err error)
	// MayStillSend returns an error if what Sending allowed is no longer allowed. It is called right before the first byte is written, as
	// the steps in between may take long, and the process may be paused meanwhile. It does not block. After an error the attempt ends as not
	// sent, and Sending is called again before the next one.
	MayStillSend(lease uint64) error
	// Started records a provider's call-back that the job has started there.
	Started(lease uint64)
	// Running records a provider's call-back that the job is still running there.
	Running(lease uint64)
	// StoreResult records a provider's result before its call-back is acknowledged. It blocks. An error means that the result was not stored, and
	// that the provider should repeat the call-back.
	StoreResult(lease uint64, result []byte) error
	// AttemptEnded records that an attempt has ended and the job continues. neverRan: it is proven that the attempt did not run.
	AttemptEnded(lease uint64, neverRan bool)
	// LeftToNextProcess reports whether the job is left to the next process: none of its attempts may be withdrawn any more.
	LeftToNextProcess() bool
}

// PastAttempt is an attempt that a previous process has made.
type PastAttempt struct {
	Provider   string
	Lease      uint64
	Sent       time.Time // when it was sent, or earlier
	Started    bool      // its provider has reported that it started
	MayHaveRun bool      // it has ended, and may have run
	InFlight   bool      // it is not known to have ended; at most the last one
}

// Handler handles jobs. It answers each exactly once, itself or through the next Handler, and blocks until then: the returned outcome is
// the answer. It does not encode answers, as frontends do; it chooses no provider, repeats no attempt and rejects no job, as policy does.
//
// ctx ends when nobody waits for the answer any more, with ErrClientLeft or a similar cause; then the outcome is Gone unless another came
// first. Whoever still works on the job then gives it up. A Handler may panic: its frontend then answers that the job has failed.
type Handler interface {
	Handle(ctx context.Context, j *Job) Outcome
}

// HandlerFunc adapts a function to a Handler.
type HandlerFunc func(ctx context.Context, j *Job) Outcome

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, j *Job) Outcome { return f(ctx, j) }

// ErrNotStored is returned for a provider's call-back that could not be stored: the provider should repeat it.
var ErrNotStored = errors.New("job: what the provider says could not be kept, it should say it again")

// Causes with which a job's context ends.
var (
	ErrClientLeft = errors.New("job: its client has left")
	ErrAnswered   = errors.New("job: it has been answered")
)
