// Package policy makes the decisions of a dispatcher that pushes jobs to workers.
//
// A [Dispatcher] is a deterministic state machine. Its host calls one method per
// event with the present time and a slice of actions; the method appends what is
// to be done and returns the slice. It does no I/O, starts no goroutine and reads
// no clock. Every method must be called from one goroutine at a time.
//
// The host owes a Dispatcher two things: each [Send] gets exactly one Outcome, at
// the request's deadline at the latest, and each [SetTimer] gets its Timer call.
package policy

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// RequestID names a request; the host never uses one twice. It is below 1<<52.
type RequestID uint64

// WorkerID names a worker for as long as the machine exists.
type WorkerID uint64

// Effect says what a repeat of a request does.
type Effect uint8

// The effects of a repeat.
const (
	Safe   Effect = iota // may run any number of times
	Keyed                // repeats are dropped within a group of workers and a window
	Unsafe               // must never run twice
)

// Group is the set of workers that drops the repeats of a keyed request.
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
	Aim      time.Duration // answered within this, a request earns its worth
	Stretch  float64       // the aim extends by this multiple of the job's work
	Deadline time.Duration // what a client waits for all its tries
	Worth    float64
	Effect   Effect
	Group    Group
	Window   time.Duration // how long repeats of a keyed request are remembered
	Kind     int           // the kind of worker that runs it, or -1
	Retired  bool          `json:",omitempty"` // no request comes in of it any more
}

// Tenant is a party that shares the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all dispatchers that count as in its share; 0: no limit
}

// Field is a value in a load report.
type Field uint8

// The fields that the module reads; others are FieldOther.
const (
	FieldOther Field = iota
	FieldInflight
	FieldQueue
	FieldUtil
	FieldFreeSlots
	FieldFreeMemory
)

// Settings are what a Dispatcher is told at its start.
type Settings struct {
	Seed      uint64
	Me        int // number of this dispatcher
	Balancers int // number of dispatchers that share the workers
	// Budget is over how many a cold worker's budget is shared, of which some may not be seen; 0: as many as Balancers.
	Budget  float64 `json:",omitempty"`
	Zone    int     // zone of this dispatcher
	Zones   int
	Kinds   int
	Classes []Class
	Tenants []Tenant

	OverShareWorth float64 // worth of a request past its tenant's share
	WorthByWork    bool    // worth counts for each unit of work

	Report          []Field // the values of a load report, in order
	ReportInAnswers bool    // reports come with outcomes too, not with probes alone
	TellsStart      bool    // workers tell when a job starts

	Subscribe bool          // the list comes only when asked for
	AskEvery  time.Duration // without a subscription the list must be asked for this often

	ColdFrom     float64 // share of its capacity that a started worker has at least
	WarmWithin   time.Duration
	FallMultiple float64 // sent more than this multiple of its present capacity
	FallWindow   time.Duration

	MaxAttempts  int
	SecondCopies bool
	Probes       bool
	Peers        bool
	Cancel       bool
	CrossZone    float64 // price of sending all requests across zones

	MaxRetryAfter time.Duration // longest time that a refused client can be told to stay away; 0: none

	DialTimeout time.Duration // a connection not up by then is a failed one; 0: not told

	// For hosts on a network; no decision reads them.
	ZoneNames, KindNames []string      // what the list calls zones and kinds, by number
	AnswerSlack          time.Duration // how long after its deadline a request may be answered
	IdleClose            time.Duration // idle connections are closed by workers at this age
}

// Validate reports the first thing that makes the settings unusable.
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
	case !within(s.Budget, 0, math.MaxFloat32):
		return errors.New("settings: budget is not a number of 0 or more")
	case !within(s.ColdFrom, 0, 1):
		return errors.New("settings: cold-from is not within 0 and 1")
	case !within(s.FallMultiple, 0, math.MaxFloat32):
		return errors.New("settings: fall multiple is not a number of 0 or more")
	case !within(s.CrossZone, 0, math.MaxFloat32):
		return errors.New("settings: cross-zone price is not a number of 0 or more")
	}
	for i, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim < 0 || c.Window < 0 {
			return fmt.Errorf("settings: class %d: deadline, aim or window out of range", i)
		}
		if !within(c.Worth, 0, math.MaxFloat32) || !within(c.Stretch, 0, math.MaxFloat32) {
			return fmt.Errorf("settings: class %d: worth or stretch out of range", i)
		}
		if c.Effect > Unsafe || c.Group > GroupCell || c.Kind < -1 || c.Kind > math.MaxUint16 {
			return fmt.Errorf("settings: class %d: unknown effect, group or kind", i)
		}
	}
	for i, t := range s.Tenants {
		if !within(t.Quota, 0, math.MaxFloat32) {
			return fmt.Errorf("settings: tenant %d: quota out of range", i)
		}
	}
	return nil
}

// budget is over how many dispatchers a cold worker's budget is shared: all that may be sending.
func (s *Settings) budget() float64 {
	if s.Budget > 0 {
		return s.Budget
	}
	return float64(s.Balancers)
}

// within tells whether v is a number between lo and hi.
func within(v, lo, hi float64) bool { return v >= lo && v <= hi }

// State is what the list says of a worker.
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
	Back    time.Duration // clock time at which it came back from maintenance, cold whatever Started says; 0: never
}

// ListKind says how a list is to be read.
type ListKind uint8

// The kinds of list.
const (
	ListFull   ListKind = iota // all workers; who is absent has left
	ListCached                 // the same, as this dispatcher last saw it, maybe long ago
	ListDelta                  // changed entries only
	ListFailed                 // a call for the list failed, or the subscription dropped
)

// Request is a job that came in.
type Request struct {
	ID     RequestID
	Class  int
	Tenant int
	Left   time.Duration // time until the client gives this try up
	Hint   time.Duration // expected work on a standard core; 0: not told
	Slots  float64

	// ConnectionSlots is how many connections the host has for requests at present, if this one keeps a connection
	// for itself until it is answered; else 0.
	ConnectionSlots int
}

// Past is an attempt at a request that an earlier host had made. Its worker must be one that a list has named.
type Past struct {
	Worker  WorkerID
	Sent    time.Duration // on this host's clock
	Started time.Duration // the same of its start note; 0: none came
	MayRun  bool          // it is over, and may have run
	Out     bool          // it must still get its Outcome; at most the last one
}

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses. Full, ConnectFailed and Moot prove that the job never ran.
const (
	OK Status = iota
	Error
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Proves tells whether the status proves that the job never ran.
func (s Status) Proves() bool { return s == Full || s == ConnectFailed || s == Moot }

// Outcome is the end of an attempt.
type Outcome struct {
	Request RequestID
	Attempt int
	Worker  WorkerID
	Status  Status
	Closed  bool          // the request is over
	Elapsed time.Duration // since the send
	Report  []float64     // the worker's load report, or nothing
}

// Probed is the end of a probe.
type Probed struct {
	Worker  WorkerID
	Status  Status
	Elapsed time.Duration
	Report  []float64
}

// Note is news of an attempt that is still out.
type Note struct {
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Started  bool    // the job started
	Progress float64 // otherwise: the share done
}

// ActionKind says what an [Action] is.
type ActionKind uint8

// The actions.
const (
	Send       ActionKind = iota // start an attempt: Request, Worker, Timeout, TakenIn
	Refuse                       // final answer, trying again is harmless: Request, RetryIn
	Fail                         // final answer that promises nothing: Request
	CancelSend                   // stop waiting for an attempt: Request, Attempt
	SetTimer                     // call Timer: Token, At
	Probe                        // look at a worker: Worker
	Subscribe                    // ask for the list's changes from now on
	TellPeers                    // a message to every other dispatcher: Data
)

// Action is something that the host is to do, in the order given.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Worker  WorkerID
	Timeout time.Duration // 0: until the client gives up
	TakenIn time.Duration // a Send that is not even acknowledged by then ends as Reset; 0: no such limit
	Token   uint64
	At      time.Duration
	RetryIn time.Duration // how long the client should stay away; 0: not told
	Data    []byte
}
