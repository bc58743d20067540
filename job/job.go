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

	Subject string // what it concerns: path and query, as given
	Payload []byte

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
)

var kindNames = [...]string{Failed: "failed", Served: "served", Rejected: "rejected", Gone: "gone", Mistaken: "mistaken"}

func (k Kind) String() string { return kindNames[k] }

// Outcome is the one answer to a job, for its front to word.
type Outcome struct {
	Kind       Kind
	Result     []byte        // of Served
	RetryAfter time.Duration // of Rejected: how long to stay away; 0: not told
	Why        string        // of Mistaken, in words for the consumer
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

// Causes for a job's context to end.
var (
	ErrLeft     = errors.New("job: its consumer has left")
	ErrAnswered = errors.New("job: it has been answered")
)
