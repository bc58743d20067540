// Package history is the record of a rehearsal: what clients, workers, discovery and process control saw and did, with
// one clock. The judge and the figures are made from it alone. It holds nothing that a scheduler says of itself, but
// for what it answers a client and what it sends a worker; and it decides nothing.
package history

// Kind says what an event is. Each constant names the fields that its events carry besides T and Kind.
type Kind string

// What the run is. Setup comes first, End last; a history without an End was cut off.
const (
	KindSetup   Kind = "setup"   // Setup
	KindTrouble Kind = "trouble" // Note: its name; From, Until: when it begins and ends; Worker, Scheduler: whom it meets, if one
	KindStep    Kind = "step"    // Note: what the plan has the kit do, Scheduler: to whom, if to one; From: when by the plan, Until: when it was due (From; or when its cue came, or the time for that was over), T: when it was done; Limit: how long it waits for its cue at most (0: it has none), On: that came
	KindStall   Kind = "stall"   // From, Until: the kit's own clock stood still, so what was seen in between may be late
	KindEnd     Kind = "end"     // Partial, Note: why
)

// What process control did to schedulers and saw of them. Life counts the processes of one name from 1.
const (
	KindStart   Kind = "start"   // Scheduler, Life, Entries: the list in its configuration file (what it is told at its start)
	KindReady   Kind = "ready"   // Scheduler, Life: GET /_health answered 200
	KindTerm    Kind = "term"    // Scheduler, Life: SIGTERM was sent
	KindKill    Kind = "kill"    // Scheduler, Life: SIGKILL was sent by the kit
	KindHup     Kind = "hup"     // Scheduler, Life: SIGHUP was sent, with a configuration that names another address of discovery
	KindUpgrade Kind = "upgrade" // Scheduler, Life, From: a second process of it was started at From and has said that it is ready. To the rules both are one
	KindLink    Kind = "link"    // Scheduler, Peer or Worker, On, Note: the link from one scheduler to another, or between it and a worker or Discovery, fails in a way (On), or does no more
	KindPause   Kind = "pause"   // Scheduler, Life, On: the process was stopped (On), or goes on
	KindView    Kind = "view"    // Scheduler, Life, From, View: what a scheduler says of the others, asked for at From
	KindHand    Kind = "hand"    // Scheduler, Worker, On, From, Status: an operator took the worker out (On) or put it back; called at From, answered at T (Status 0: not)
	KindRetune  Kind = "retune"  // Scheduler, Life, Tries, Class, Note: SIGHUP with other settings: attempts allowed, and a class with its repeat
	KindExit    Kind = "exit"    // Scheduler, Life, Code, Note: its last words. Without a Term or Kill before it: it crashed
)

// Discovery is the Peer of a KindLink that is a scheduler's link to discovery.
const Discovery = "discovery"

// What clients did and saw. Request is the X-Request-Id; a client's retry is a request of its own.
const (
	KindAsk      Kind = "ask"      // Request, First, Try, Class, Tenant, Zone, Key, Work, Due, Limit: a client is about to send
	KindSent     Kind = "sent"     // Request, Scheduler, Life, Conn, Fresh, Again: its last byte was written (T) to an accepted connection
	KindUnsent   Kind = "unsent"   // Request, Scheduler, Note: no connection came up, or it broke before the last byte
	KindAnswer   Kind = "answer"   // Request, Scheduler, Conn, Status, Result, After: the last byte of a whole answer came (T)
	KindBroken   Kind = "broken"   // Request, Scheduler, Conn, Bytes, Read, Note: the scheduler ended the connection without a whole answer
	KindGaveUp   Kind = "gave-up"  // Request, Scheduler, Conn (0: it had none): the client's time is over and it has hung up; a crossing answer may still come
	KindTurned   Kind = "turned"   // Request, Scheduler, Conn: its client has hung up there and asks another scheduler; a crossing answer may still come
	KindOther    Kind = "other"    // Request, Scheduler, Life, Conn, Class, Note: somebody sent another body, class or tenant (Note) under the id, its last byte at From; Status, Result, After: the answer at T (Status 0: none)
	KindStranger Kind = "stranger" // Scheduler, Conn, Note, Status, From: a bad client got an answer or a close (Status 0); Bytes: 0, 1 (nothing came in time)
)

// What workers did and saw. Attempt numbers the attempts of a run from 1; Life counts a worker's processes from 1.
const (
	KindUp      Kind = "up"       // Worker, Life, Cold, Warm: a process has started, at the share Cold of its capacity, warm after Warm
	KindCrash   Kind = "crash"    // Worker, Life: the process died; its connections are reset
	KindVanish  Kind = "vanish"   // Worker, Life: the machine went silent; nothing that it has runs any more
	KindMute    Kind = "mute"     // Worker, Life: the same, but new connections are accepted, and never answered
	KindCut     Kind = "cut"      // Worker, Scheduler, On: nothing passes between these two any more (On), or does again
	KindFell    Kind = "fell"     // Worker, Life, Work, Budget: pushed over while cold; it stays down
	KindSlow    Kind = "slow"     // Worker, Factor: from now on it runs so many times slower
	KindDrain   Kind = "drain"    // Worker, Life: it finishes what it has and wants nothing new
	KindStop    Kind = "stop"     // Worker, Life: a drained process ended in order
	KindAttempt Kind = "attempt"  // Attempt, Request, Worker, Life, Scheduler, Lease, From: first byte, T: last byte, Work, Cost, Limit, Note: why it was answered 400 or 404
	KindVoid    Kind = "void"     // Attempt, Request, Worker, Life, Scheduler, From: as attempt, but a silent machine's network took it: the scheduler's write was whole, nothing ran
	KindTaken   Kind = "taken"    // Attempt: 202 was written
	KindBegan   Kind = "began"    // Attempt: the job runs
	KindOver    Kind = "over"     // Attempt, State, Result, Ran, Effect, Work: the worker's own truth of how it ended
	KindGivenUp Kind = "given-up" // Attempt, Note: "delete" or "close": the scheduler gave it up (DELETE arrived, or the connection ended before the 202)
	KindTold    Kind = "told"     // Attempt, State, Scheduler, Life, Tries: a call-back was answered with 200 or 204
	KindUntold  Kind = "untold"   // Attempt, State, Scheduler, Tries, Note: none of its tries was
	KindProbe   Kind = "probe"    // Worker, Scheduler
)

// What discovery told. Entries are those that changed, or the whole list with Full.
const (
	KindHeld  Kind = "held"  // Scheduler, Index, Full, Entries: the agent on the scheduler's machine has it from now on
	KindWrote Kind = "wrote" // Scheduler, Life, Index, Full, Entries: it was written to a connection of this process
)

// State is how an attempt ended at its worker.
type State string

// The states, with what a scheduler may conclude in the comment.
const (
	StateStarted   State = "started"   // in a call-back only: it has begun
	StateDone      State = "done"      // it ran, the result is there
	StateFailed    State = "failed"    // it may have run
	StateReturned  State = "returned"  // handed back, it never ran
	StateLost      State = "lost"      // it may have run; also at a machine that died without a word
	StateFull      State = "full"      // turned away at once with X-Not-Run, it never ran
	StateRefused   State = "refused"   // answered 400 or 404: no client has asked for this
	StateCancelled State = "cancelled" // given up by the scheduler; it may have run
)

// Entry is what discovery says of one worker.
type Entry struct {
	Worker  string `json:"worker"`
	Address string `json:"address,omitempty"`
	Status  Status `json:"status"`
	Life    int    `json:"life"` // the process that the entry speaks of
}

// Status is discovery's word.
type Status string

// The words of the protocol.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING"
	Deleted  Status = "DELETED"
)

// Event is one thing that happened. All times are microseconds since the run's beginning.
type Event struct {
	T    int64 `json:"t"`
	Kind Kind  `json:"k"`

	Scheduler string `json:"s,omitempty"`
	Worker    string `json:"w,omitempty"`
	Life      int    `json:"life,omitempty"`
	Request   string `json:"id,omitempty"`
	Attempt   int64  `json:"a,omitempty"`

	First  string `json:"first,omitempty"` // the id of the first try of the same job; its own for a first try
	Try    int    `json:"try,omitempty"`   // 0: the first
	Class  string `json:"class,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Key    string `json:"key,omitempty"`
	Work   int64  `json:"work,omitempty"`  // running time at speed 1, in microseconds; of an ask: the job's own, by which its aim counts
	Cost   int64  `json:"cost,omitempty"`  // what a cold worker's budget is charged for it, in microseconds of work
	Due    int64  `json:"due,omitempty"`   // when the client meant to send
	Limit  int64  `json:"limit,omitempty"` // how long the client (or, of an attempt, the scheduler) will wait, counted from the last byte

	Conn  int64 `json:"conn,omitempty"`
	Fresh int64 `json:"fresh,omitempty"` // how old the connection was when the request was written, in microseconds, if it had carried none before; else 0
	Again bool  `json:"again,omitempty"` // sent once more: a close had crossed it, or its client asks for the same job again

	Status int     `json:"status,omitempty"`
	Result string  `json:"result,omitempty"` // of an answer: its body
	After  float64 `json:"after,omitempty"`  // Retry-After, in seconds
	Bytes  int64   `json:"bytes,omitempty"`
	Read   bool    `json:"read,omitempty"` // of a broken connection: its scheduler had read the whole request, so its close crossed nothing

	State  State  `json:"state,omitempty"`
	Ran    bool   `json:"ran,omitempty"`    // some of it ran
	Effect bool   `json:"effect,omitempty"` // it took effect: its result counts, and no earlier run of its key had within the window
	Tries  int    `json:"tries,omitempty"`
	Lease  uint64 `json:"lease,omitempty"` // of an attempt: its X-Lease; 0: none

	From    int64   `json:"from,omitempty"`
	Until   int64   `json:"until,omitempty"`
	Cold    float64 `json:"cold,omitempty"`
	Warm    int64   `json:"warm,omitempty"`
	Factor  float64 `json:"factor,omitempty"`
	Budget  int64   `json:"budget,omitempty"`
	On      bool    `json:"on,omitempty"`
	Code    int     `json:"code,omitempty"`
	Partial bool    `json:"partial,omitempty"`

	Index   uint64  `json:"index,omitempty"`
	Full    bool    `json:"full,omitempty"`
	Entries []Entry `json:"entries,omitempty"`

	Peer string `json:"peer,omitempty"`
	View *View  `json:"view,omitempty"`

	Note  string `json:"note,omitempty"`
	Setup *Setup `json:"setup,omitempty"`
}

// View is what a scheduler says of the others.
type View struct {
	Start   uint64            `json:"start,omitempty"` // its own number: later processes of a name have larger ones
	Self    string            `json:"self"`            // whole, cut, alone or woken
	Present int               `json:"present"`
	MayRun  int               `json:"may_run"`
	Share   float64           `json:"share"`   // the part of a budget shared by all that it takes
	Members map[string]string `json:"members"` // states by name
	Out     []string          `json:"out,omitempty"`
}

// Notes of a kill: what became of the disk.
const (
	DiskLost = "its disk is lost"
	DiskBack = "its disk is put back"
)

// Repeat says how often a job of a class may run.
type Repeat string

// The words of the settings.
const (
	ReadLike      Repeat = "read_like"       // any number of times
	Keyed         Repeat = "idempotency_key" // again within the window, as workers drop repeats of its key
	NonIdempotent Repeat = "non_idempotent"  // never twice
)

// Class is a class of jobs, as the brief counts it. Durations are microseconds.
type Class struct {
	Name      string  `json:"name"`
	Repeat    Repeat  `json:"repeat"`
	Aim       int64   `json:"aim"`     // wanted within Aim + Stretch x its own running time
	Stretch   float64 `json:"stretch"` //
	Deadline  int64   `json:"deadline"`
	Window    int64   `json:"window"` // in which repeats of a key are dropped
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"` // the share of its worth that a late answer earns
}

// Tenant is a fleet account.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota"` // requests a second within its share, over all schedulers
}

// WorkerSetup describes a worker for figures and for the cold rule.
type WorkerSetup struct {
	Name  string  `json:"name"`
	Zone  string  `json:"zone"`
	Kind  string  `json:"kind"`
	Cores int     `json:"cores"`
	Slots int     `json:"slots"`
	Speed float64 `json:"speed"` // of a core
}

// SchedulerSetup describes a scheduler.
type SchedulerSetup struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Rules are the figures of the four rules, in microseconds where they are times.
type Rules struct {
	Slack        int64   `json:"slack"`        // every time limit is longer by this
	AnswerSlack  int64   `json:"answer_slack"` // a final answer may come this long after the deadline
	Drain        int64   `json:"drain"`        // nothing new later than this after word of a drain or loss
	Deemed       int64   `json:"deemed"`       // what discovery holds counts as told after this
	DeemedMoved  int64   `json:"deemed_moved"` // the same from a SIGHUP on that moves discovery
	Attempts     int     `json:"attempts"`     // at most so many for a request
	FallMultiple float64 `json:"fall_multiple"`
	FallWindow   int64   `json:"fall_window"`
	OverShare    float64 `json:"over_share"` // the worth of what a tenant asks beyond its share
	Crossing     int64   `json:"crossing"`   // a close this soon after a request's last byte may have crossed it

	// Recover is for how long a process must have been ready at the end of a client's time for an answer to a durable job
	// that an earlier process had taken to be owed.
	Recover int64 `json:"recover,omitempty"`

	// Keep is for how long an ended job is known by its id, whichever scheduler is asked; 0: each knows its own jobs alone.
	// Keepers is how many schedulers keep the record by which they know it.
	Keep    int64 `json:"keep,omitempty"`
	Keepers int   `json:"keepers,omitempty"`

	// Agree is how long after the last trouble all schedulers must say the same of each other; 0: they do not know each
	// other, and nothing of the kind is judged. Met is how long one that has just come up may be unknown to the others.
	Agree int64 `json:"agree,omitempty"`
	Met   int64 `json:"met,omitempty"`
}

// Weights say how the parts of the service count, and what is taken off it.
type Weights struct {
	Whole       float64 `json:"whole"`
	Window      float64 `json:"window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	CrossZone   float64 `json:"cross_zone"` // a request that crosses zones once
	LateFail    float64 `json:"late_fail"`  // all failing only after the wanted time
	Waste       float64 `json:"waste"`      // work wasted, as much as was asked for
	Probe       float64 `json:"probe"`      // one probe a request
}

// Setup is all that the judge and the figures must know beforehand.
type Setup struct {
	Version    int              `json:"version"` // of this form; 1
	Scenario   string           `json:"scenario"`
	Seed       uint64           `json:"seed"`
	Begin      int64            `json:"begin"`  // Unix time of T = 0, in microseconds
	Start      int64            `json:"start"`  // when clients begin, as T; schedulers have come up before
	Length     int64            `json:"length"` // arrivals are drawn for this long from then on, in microseconds
	Classes    []Class          `json:"classes"`
	Tenants    []Tenant         `json:"tenants"`
	Workers    []WorkerSetup    `json:"workers"`
	Schedulers []SchedulerSetup `json:"schedulers"`
	Rules      Rules            `json:"rules"`
	Weights    Weights          `json:"weights"`
	Durable    []string         `json:"durable,omitempty"` // classes whose jobs outlive their scheduler's process
	Drawn      map[string]any   `json:"drawn,omitempty"`   // what else the seed drew, for readers
}

// FleetRules are the figures of fleetpay-nw's rules.
func FleetRules() Rules {
	return Rules{Slack: 50_000, AnswerSlack: 8_000, Drain: 2_000_000, Deemed: 6_000_000, DeemedMoved: 4_000_000,
		Attempts: 4, FallMultiple: 3, FallWindow: 1_000_000, OverShare: 0.2, Crossing: 100_000,
		Recover: 1_500_000}
}

// FleetWeights are the weights of fleetpay-nw's brief.
func FleetWeights() Weights {
	return Weights{Whole: 0.35, Window: 0.35, WorstClass: 0.2, WorstTenant: 0.1,
		CrossZone: 0.084, LateFail: 0.067, Waste: 0.046, Probe: 0.002}
}
