// Package policy makes the decisions of a dispatcher that pushes jobs to workers.
//
// A [Dispatcher] is a deterministic state machine. Its host calls one method per
// event with the current time and a slice of actions; the method appends the
// actions to take and returns the slice. It does no I/O, starts no goroutine and
// reads no clock. Its methods must not be called concurrently.
//
// The host guarantees two things: each [Send] gets exactly one Outcome, at the
// request's deadline at the latest, and each [SetTimer] gets its Timer call.
package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// RequestID identifies a request. The host never reuses one; values are below 1<<52.
type RequestID uint64

// WorkerID identifies a worker for the lifetime of the Dispatcher.
type WorkerID uint64

// Effect is what running a request more than once does.
type Effect uint8

// The effects of a repeat.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // a group of workers drops repeats within a time window
	Unsafe               // must never run twice
)

// Group is the set of workers that deduplicates a keyed request.
type Group uint8

// The groups of a keyed class.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class is a class of requests.
type Class struct {
	Name     string
	Aim      time.Duration // target response time: a request answered within it earns its worth
	Stretch  float64       // the aim is extended by this multiple of the job's work
	Deadline time.Duration // how long a client waits over all its tries
	Worth    float64
	Effect   Effect
	Group    Group
	Window   time.Duration // how long workers deduplicate repeats of a keyed request
	Kind     int           // the kind of worker that runs it; -1: any
	Retired  bool          `json:",omitempty"` // no new requests of this class arrive
}

// Tenant is a party that shares the service.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all dispatchers, that count as its share; 0: no limit
}

// Field is a value in a load report.
type Field uint8

// The fields that the module reads; all others are FieldOther.
const (
	FieldOther Field = iota
	FieldInflight
	FieldQueue
	FieldUtil
	FieldFreeSlots
	FieldFreeMemory
)

// Settings is the configuration of a Dispatcher.
type Settings struct {
	Seed      uint64
	Me        int // index of this dispatcher among Balancers
	Balancers int // number of dispatchers that share the workers
	// Budget is the number of dispatchers that share a cold worker's budget, including those that this
	// one may not see; 0: Balancers.
	Budget  float64 `json:",omitempty"`
	Zone    int     // zone of this dispatcher
	Zones   int
	Kinds   int
	Classes []Class
	Tenants []Tenant

	OverShareWorth float64 // factor on the worth of a request beyond its tenant's share
	WorthByWork    bool    // worth is per unit of work

	Report          []Field // the values of a load report, in order
	ReportInAnswers bool    // outcomes carry reports too, not only probes
	TellsStart      bool    // workers send a notification when a job starts

	Subscribe bool          // the worker list is delivered only after a Subscribe action
	AskEvery  time.Duration // without a subscription the host must poll the list this often

	ColdFrom     float64       // minimum share of its capacity that a just started worker has
	WarmWithin   time.Duration // time from its start until a worker has its whole capacity
	FallMultiple float64       // a cold worker fails if sent more than this multiple of its capacity
	FallWindow   time.Duration // the time over which FallMultiple counts

	MaxAttempts  int
	SecondCopies bool
	Probes       bool
	Peers        bool
	Cancel       bool
	CrossZone    float64 // cost of sending all requests across zones

	MaxRetryAfter time.Duration // longest retry delay that a rejected client can be given; 0: none

	DialTimeout time.Duration // a connection that is not established by then has failed; 0: unknown

	// For hosts on a network; no decision depends on these.
	ZoneNames, KindNames []string      // names of zones and kinds in the worker list, by number
	AnswerSlack          time.Duration // how long after its deadline a request may be answered
	IdleClose            time.Duration // workers close connections that have been idle this long
}

// Validate returns an error for the first invalid setting.
func (s *Settings) Validate() error {
	durations := []struct {
		name string
		d    time.Duration
	}{
		{"ask-every", s.AskEvery}, {"warm-within", s.WarmWithin},
		{"fall window", s.FallWindow}, {"max-retry-after", s.MaxRetryAfter},
		{"answer-slack", s.AnswerSlack}, {"dial-timeout", s.DialTimeout}, {"idle-close", s.IdleClose},
	}
	for _, d := range durations {
		if d.d < 0 {
			return fmt.Errorf("settings: %s is negative", d.name)
		}
	}
	switch {
	case s.Balancers < 1:
		return errors.New("settings: balancers must be at least 1")
	case s.Me < 0 || s.Me >= s.Balancers:
		return fmt.Errorf("settings: dispatcher %d is not among %d", s.Me, s.Balancers)
	case len(s.Classes) == 0:
		return errors.New("settings: no classes")
	case s.MaxAttempts < 1:
		return errors.New("settings: max attempts must be at least 1")
	case s.Zone < 0 || s.Zone > math.MaxUint8:
		return fmt.Errorf("settings: zone %d is out of range", s.Zone)
	case !inRange(s.Budget, 0, math.MaxFloat32):
		return errors.New("settings: budget is not a number of 0 or more")
	case !inRange(s.ColdFrom, 0, 1):
		return errors.New("settings: cold-from is not within 0 and 1")
	case !inRange(s.FallMultiple, 0, math.MaxFloat32):
		return errors.New("settings: fall multiple is not a number of 0 or more")
	case !inRange(s.CrossZone, 0, math.MaxFloat32):
		return errors.New("settings: cross-zone price is not a number of 0 or more")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim < 0 || c.Window < 0 {
			return fmt.Errorf("settings: class %d: deadline, aim or window out of range", i)
		}
		if !inRange(c.Worth, 0, math.MaxFloat32) || !inRange(c.Stretch, 0, math.MaxFloat32) {
			return fmt.Errorf("settings: class %d: worth or stretch out of range", i)
		}
		if c.Effect > Unsafe || c.Group > GroupCell || c.Kind < -1 || c.Kind > math.MaxUint16 {
			return fmt.Errorf("settings: class %d: unknown effect, group or kind", i)
		}
	}
	for i, t := range s.Tenants {
		if !inRange(t.Quota, 0, math.MaxFloat32) {
			return fmt.Errorf("settings: tenant %d: quota out of range", i)
		}
	}
	return nil
}

// possibleSenders returns the number of dispatchers that may be sending to a worker. They share the budget
// of a cold worker.
func (s *Settings) possibleSenders() float64 {
	if s.Budget > 0 {
		return s.Budget
	}
	return float64(s.Balancers)
}

// inRange reports whether v is a number between lo and hi. It is false for NaN.
func inRange(v, lo, hi float64) bool { return v >= lo && v <= hi }

// State is the state of a worker in the list.
type State uint8

// The states of a worker.
const (
	Ready State = iota
	Draining
	Gone
)

// Entry is a worker in the list.
type Entry struct {
	ID      WorkerID
	State   State
	Kind    int
	Zone    int
	Cell    int
	Weight  float64
	Started time.Duration // clock time of its last start; 0: long ago
	// Back is the clock time of its return from maintenance, since when it is cold whatever Started is;
	// 0: never.
	Back time.Duration
}

// ListKind tells complete worker lists from changes and errors.
type ListKind uint8

// The kinds of list.
const (
	ListFull   ListKind = iota // all workers; an absent one has left
	ListCached                 // a saved full list, possibly old
	ListDelta                  // changed entries only
	ListFailed                 // reading the list failed, or the subscription was lost
)

// Request is a job to be placed.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Left   time.Duration // time until the client gives up this try
	Hint   time.Duration // expected work on a standard core; 0: unknown
	Slots  float64

	// ConnectionSlots is the number of connections that the host currently has for requests if this one
	// occupies a connection until it is answered; else 0.
	ConnectionSlots int
}

// PastAttempt is an attempt at a request that a previous host made. A list must have contained its worker.
type PastAttempt struct {
	Worker  WorkerID
	Sent    time.Duration // on this host's clock
	Started time.Duration // when its start was notified, on this host's clock; 0: not notified
	MayRun  bool          // it has ended and may have run
	Out     bool          // in flight: its Outcome is still to come; only the last attempt may be
}

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses.
const (
	OK Status = iota
	Error
	Full // the worker had no room; proves that the job never ran
	TimedOut
	ConnectFailed // proves that the job never ran
	Reset
	Cancelled
	NotRun // not sent, or unusable; proves that the job never ran and says nothing about the worker
)

// ProvesNotRun reports whether the status proves that the job never ran.
func (s Status) ProvesNotRun() bool { return s == Full || s == ConnectFailed || s == NotRun }

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Status  Status
	Closed  bool          // the request has ended
	Elapsed time.Duration // since the send
	Report  []float64     // the worker's load report, if any
}

// ProbeOutcome is the result of a probe.
type ProbeOutcome struct {
	Worker  WorkerID
	Status  Status
	Elapsed time.Duration
	Report  []float64
}

// Note is a notification about an attempt in flight.
type Note struct {
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // the job started
	Progress float64 // if not Started: the share of the job that is done
}

// ActionKind is the kind of an [Action].
type ActionKind uint8

// The actions.
const (
	Send        ActionKind = iota // start an attempt: Request, Worker, Timeout, AckTimeout
	Reject                        // final answer, a retry is harmless: Request, RetryIn
	Fail                          // final answer; the job may have run: Request
	CancelSend                    // stop waiting for an attempt: Request, Attempt
	SetTimer                      // call Timer: Token, At
	Probe                         // probe a worker: Worker
	Subscribe                     // subscribe to changes of the worker list
	NotifyPeers                   // send a message to every other dispatcher: Data
)

// Action is a step for the host to carry out, in the order given.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Worker     WorkerID
	Timeout    time.Duration // 0: until the client gives up
	AckTimeout time.Duration // a Send that is not acknowledged within this ends as Reset; 0: no limit
	Token      uint64
	At         time.Duration
	RetryIn    time.Duration // delay until the client should retry; 0: unspecified
	Data       []byte
}
