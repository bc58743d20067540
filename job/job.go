// Package job says what a job is, what can become of it, and what handles one, in no protocol's words. It owns these
// types and nothing else: it does no I/O, keeps nothing, and never decides what becomes of a job.
package job

import (
	"context"
	"errors"
	"time"
)

// Job is a consumer's request, as its front has read and checked it. What is in it has a meaning for every back: the
// front sees to it that ID can stand in a path as it is, that Subject begins with a slash and holds no blanks, and that
// no text here holds a control character but a tab. Handlers hand on the job that they were given or one of their own;
// none changes what Fields or Payload hold, as others may still read them.
type Job struct {
	ID            string // as its consumer named it
	Class, Tenant int    // places in the settings; Tenant may be one past the last: unknown
	ClassName     string // as the settings have it
	Party         string // the tenant's name, known or not; empty: none was given

	Deadline time.Duration // as stated, but no more than its class allows
	Left     time.Duration // from now until its consumer must have its answer; who keeps the job a while takes that off

	Hint  time.Duration // of the work; 0: not told
	Slots float64
	Key   string // idempotency key; empty: none was given

	// ConnectionSlots is how many connections the frontend had for jobs as it took this one, if the job keeps a connection
	// for itself until it is answered; else 0.
	ConnectionSlots int

	Subject string // what it concerns: path and query, as given
	Payload []byte

	// Keeper keeps the job over the death of this program; nil: nobody does.
	Keeper Keeper

	// Fields are what else the front passes on, in its order, in the words of Protocol; those above are among them as
	// they came. A back that speaks Protocol hands them on as they are and adds none of the above; any other passes
	// none of them on, as what means nothing here may frame or route a message there.
	Protocol string
	Fields   []Field
}

// Field is one field of a protocol's message. It is an alias, so that a protocol's own type of the same shape is the
// same type, and neither package needs to know the other.
type Field = struct{ Name, Value string }

// Kind says what became of a job.
type Kind uint8

// The kinds of outcomes. The zero value is the one that promises nothing.
const (
	Failed   Kind = iota // it may have run, or may yet
	Served               // Result is what a provider made for this very job
	Rejected             // trying again is harmless
	Gone                 // nobody is left to answer
	Mistaken             // the job itself is wrong, and it never ran; Why says what is wrong
	Conflict             // its id is that of another job; nothing is said of that one
	Moved                // it goes on in another process, with Past; there is no answer here
)

var kindNames = [...]string{Failed: "failed", Served: "served", Rejected: "rejected", Gone: "gone", Mistaken: "mistaken",
	Conflict: "conflict", Moved: "moved"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is the one answer to a job, for its front to word.
type Outcome struct {
	Kind       Kind
	Result     []byte        // of Served
	RetryAfter time.Duration // of Rejected: how long to stay away; 0: not told. Of Failed: it goes on, ask again then
	Why        string        // of Mistaken, in words for the consumer
	Past       []Past        // of Moved: the calls that were made
	Written    func()        // is to be called once the whole answer has been written; nil: nobody asks
}

// Keeper is told what becomes of a job, before it does where the job could not be kept otherwise. Its methods may be
// called from any goroutine; those that block say so, and none blocks for longer than the job has time.
type Keeper interface {
	// Past are the calls that an earlier process has made for the job; resumed tells whether one had it at all.
	Past() (past []Past, resumed bool)
	// Awaiting tells that the word of the call which an earlier process has left out is listened for from now on.
	Awaiting()
	// Sending must return before a byte of a call goes out. It blocks. An error means that nothing may be sent.
	Sending(provider string) (lease uint64, err error)
	// MayStillSend returns an error if what Sending allowed may not be done any more. It is asked right before the first byte, as
	// what comes in between may take long, and the process may stand still meanwhile. It does not block. After an error the
	// attempt ends as not sent, and Sending is asked again before the next one.
	MayStillSend(lease uint64) error
	// Begun and Beat take a provider's word that the job began there, and that it goes on.
	Begun(lease uint64)
	Beat(lease uint64)
	// Done takes a provider's result before its word is acknowledged. It blocks. An error means that the result is not
	// kept, and that the word should come again.
	Done(lease uint64, result []byte) error
	// Over tells that a call is over and the job goes on. never: it is proven that it did not run.
	Over(lease uint64, never bool)
	// Left tells whether the job is left to the next process: nothing of it is to be withdrawn any more.
	Left() bool
}

// Past is an invoker call that an earlier process has made.
type Past struct {
	Provider string
	Lease    uint64
	Ago      time.Duration // since it was sent
	Begun    bool          // its provider has said that it began
	MayRun   bool          // it is over, and may have run
	Out      bool          // it is not known to be over; the last one at most
}

// Handler handles jobs. It answers each exactly once, itself or through the next Handler, and returns once it has: the
// outcome is the answer. It blocks until then. It words no answer, as fronts do; it chooses no provider, sends none a
// job again and rejects none, as policy does.
//
// ctx ends when nobody waits for the answer any more, with ErrLeft or the like as its cause; then the outcome is Gone
// if nothing else has come first. Whoever is still busy with the job by then gives it up. A Handler may panic: its
// front then answers that the job has failed.
type Handler interface {
	Handle(ctx context.Context, j *Job) Outcome
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(ctx context.Context, j *Job) Outcome

// Handle implements Handler.
func (f HandlerFunc) Handle(ctx context.Context, j *Job) Outcome { return f(ctx, j) }

// ErrLater is what is wrong with a provider's word that could not be kept: it should come again.
var ErrLater = errors.New("job: what the provider says could not be kept, it should say it again")

// Causes for a job's context to end.
var (
	ErrLeft     = errors.New("job: its consumer has left")
	ErrAnswered = errors.New("job: it has been answered")
)
