// Package history defines the event log of a rehearsal run: what clients, workers, discovery and process control saw and
// did, timed by one clock. The judge and the reported figures use nothing else. Of what a scheduler itself states it holds
// only its answers to clients, its requests to workers, its view of its peers and its last output. The package makes no
// decisions.
package history

// Kind is the type of an event. The comment on each constant lists the fields that its events have besides T and Kind.
type Kind string

// Events of the run as a whole. The setup is first and the end last; a history without an end was cut off.
const (
	KindSetup         Kind = "setup"   // Setup
	KindFault         Kind = "trouble" // a fault is injected. Note: its name; From, Until: when it begins and ends; Worker, Scheduler: its target, if there is one
	KindStep          Kind = "step"    // a step of the plan. Note: the action; Scheduler: its target, if there is one; From: the planned time; Until: when it was due (From, or when its cue came or timed out); T: when it was done; Limit: the longest wait for the cue (0: it has none); On: the cue came
	KindHarnessPaused Kind = "stall"   // From, Until: the test harness itself was paused, so events seen in between may be recorded late
	KindEnd           Kind = "end"     // Partial, Note: the reason
)

// Events of process control for schedulers. Life numbers the processes of one name from 1.
const (
	KindStart          Kind = "start"   // Scheduler, Life, Entries: the list of workers in its configuration file, which it has from its start
	KindReady          Kind = "ready"   // Scheduler, Life: GET /_health answered 200
	KindTerm           Kind = "term"    // Scheduler, Life: SIGTERM was sent
	KindKill           Kind = "kill"    // Scheduler, Life, Note: SIGKILL was sent by the test harness; Note: DiskLost or DiskRestored, if the disk is affected
	KindHup            Kind = "hup"     // Scheduler, Life: SIGHUP was sent, with a configuration that has another discovery address
	KindUpgrade        Kind = "upgrade" // Scheduler, Life, From: a second process of the scheduler was started at From and has reported that it is ready. The rules treat both as one
	KindLink           Kind = "link"    // Scheduler, Peer or Worker, On, Note: the link from one scheduler to another, or between it and a worker or Discovery, begins to fail (On) or works again; Note: the way in which it fails
	KindPause          Kind = "pause"   // Scheduler, Life, On: the process was paused (On) or resumed
	KindView           Kind = "view"    // Scheduler, Life, From, View: a scheduler's view of its peers, requested at From
	KindOperatorChange Kind = "hand"    // Scheduler, Worker, On, From, Status: an operator took the worker out of service (On) or put it back; called at From, answered at T (Status 0: no answer)
	KindSettingsChange Kind = "retune"  // Scheduler, Life, Tries, Class, Note: SIGHUP with other settings: the number of attempts allowed, and a class with its Repeat
	KindExit           Kind = "exit"    // Scheduler, Life, Code: exit status, Note: its last output. Without a KindTerm or KindKill before it, the process crashed
)

// Discovery is the Peer of a KindLink that is a scheduler's link to discovery.
const Discovery = "discovery"

// Events of clients. Request is the X-Request-Id; a client's retry is a request of its own.
const (
	KindAsk               Kind = "ask"      // Request, First, Try, Class, Tenant, Zone, Key, Work, Due, Limit: a client is about to send
	KindSent              Kind = "sent"     // Request, Scheduler, Life, Conn, Fresh, Again: its last byte was written (T) to an accepted connection
	KindUnsent            Kind = "unsent"   // Request, Scheduler, Note: no connection was established, or it broke before the last byte was written
	KindAnswer            Kind = "answer"   // Request, Scheduler, Conn, Status, Result, After: the last byte of a complete answer was received (T)
	KindBroken            Kind = "broken"   // Request, Scheduler, Conn, Bytes, Read, Note: the scheduler closed the connection without a complete answer
	KindClientTimeout     Kind = "gave-up"  // Request, Scheduler, Conn (0: it had none): the client timed out and closed the connection; an answer sent at the same time may still arrive
	KindSwitchedScheduler Kind = "turned"   // Request, Scheduler, Conn: the client closed the connection and asks another scheduler; an answer sent at the same time may still arrive
	KindIDConflict        Kind = "other"    // Request, Scheduler, Life, Conn, Class, Note: a request with the same id but another body, class or tenant (Note) was sent, its last byte at From; Status, Result, After: the answer at T (Status 0: none)
	KindBadClient         Kind = "stranger" // Scheduler, Conn, Note, Status, From: a misbehaving client got an answer or a close (Status 0); Bytes: 0, or 1 if neither came in time
)

// Events of workers. Attempt numbers the attempts of a run from 1; Life numbers a worker's processes from 1.
const (
	KindWorkerStart         Kind = "up"       // Worker, Life, Cold, Warm: a process has started, with the share Cold of its capacity until it is warm after Warm
	KindCrash               Kind = "crash"    // Worker, Life: the process died; its connections are reset
	KindMachineSilent       Kind = "vanish"   // Worker, Life: the machine went silent and runs nothing any more
	KindMachineUnresponsive Kind = "mute"     // Worker, Life: as vanish, but new connections are accepted and never answered
	KindNetworkCut          Kind = "cut"      // Worker, Scheduler, On: the network between these two is cut (On) or restored
	KindColdOverload        Kind = "fell"     // Worker, Life, Work, Budget: the worker was overloaded while cold and stays down
	KindSlow                Kind = "slow"     // Worker, Factor: from now on it is slower by this factor
	KindDrain               Kind = "drain"    // Worker, Life: it finishes its jobs and accepts no new ones
	KindWorkerStop          Kind = "stop"     // Worker, Life: a drained process exited normally
	KindAttempt             Kind = "attempt"  // Attempt, Request, Worker, Life, Scheduler, Lease, From: first byte, T: last byte, Work, Cost, Limit, Note: the reason if it was answered 400 or 404
	KindAttemptUndelivered  Kind = "void"     // Attempt, Request, Worker, Life, Scheduler, From: as attempt, but received only by the network of a silent machine: the scheduler's write was complete, nothing ran
	KindAttemptAccepted     Kind = "taken"    // Attempt: 202 was written
	KindAttemptBegan        Kind = "began"    // Attempt: the job has begun to run
	KindAttemptOver         Kind = "over"     // Attempt, State, Result, Ran, Effect, Work: how it really ended at the worker
	KindAttemptCancelled    Kind = "given-up" // Attempt, Note: "delete" or "close": the scheduler cancelled it (DELETE arrived, or the connection was closed before the 202)
	KindCallbackDelivered   Kind = "told"     // Attempt, State, Scheduler, Life, Tries: a callback was answered with 200 or 204
	KindCallbackFailed      Kind = "untold"   // Attempt, State, Scheduler, Tries, Note: no try of a callback was answered with 200 or 204
	KindProbe               Kind = "probe"    // Worker, Scheduler
)

// Events of discovery. Entries are the changed ones or, with Full, the whole list.
const (
	KindDiscoveryHeld    Kind = "held"  // Scheduler, Index, Full, Entries: the agent on the scheduler's machine has the update from now on
	KindDiscoveryWritten Kind = "wrote" // Scheduler, Life, Index, Full, Entries: the update was written to a connection of this process
)

// State is the state in which an attempt ended at its worker.
type State string

// The states. The comments say what a scheduler may conclude from them.
const (
	StateStarted   State = "started"   // only in a callback: it has begun
	StateDone      State = "done"      // it ran, and there is a result
	StateFailed    State = "failed"    // it may have run
	StateReturned  State = "returned"  // handed back, it never ran
	StateLost      State = "lost"      // it may have run; also if the machine died without a report
	StateFull      State = "full"      // refused at once with X-Not-Run, it never ran
	StateRefused   State = "refused"   // answered 400 or 404: no client has requested this job
	StateCancelled State = "cancelled" // cancelled by the scheduler; it may have run
)

// Entry is discovery's entry for one worker.
type Entry struct {
	Worker  string `json:"worker"`
	Address string `json:"address,omitempty"`
	Status  Status `json:"status"`
	Life    int    `json:"life"` // the process that the entry describes
}

// Status is the status of a worker in discovery.
type Status string

// The statuses, as the protocol spells them.
const (
	Serving  Status = "SERVING"
	Draining Status = "DRAINING"
	Deleted  Status = "DELETED"
)

// Event is one event of a run. All times are in microseconds since the beginning of the run.
type Event struct {
	T    int64 `json:"t"`
	Kind Kind  `json:"k"`

	Scheduler string `json:"s,omitempty"`
	Worker    string `json:"w,omitempty"`
	Life      int    `json:"life,omitempty"`
	Request   string `json:"id,omitempty"`
	Attempt   int64  `json:"a,omitempty"`

	First  string `json:"first,omitempty"` // request id of the first try of the same job; for a first try its own
	Try    int    `json:"try,omitempty"`   // number of the try; 0 for the first
	Class  string `json:"class,omitempty"`
	Tenant string `json:"tenant,omitempty"`
	Zone   string `json:"zone,omitempty"`
	Key    string `json:"key,omitempty"`
	Work   int64  `json:"work,omitempty"`  // running time at speed 1, in microseconds; of an ask: of the job itself, from which its wanted time follows
	Cost   int64  `json:"cost,omitempty"`  // charge to a cold worker's budget, in microseconds of work
	Due    int64  `json:"due,omitempty"`   // when the client intended to send
	Limit  int64  `json:"limit,omitempty"` // how long the client (of an attempt: the scheduler) waits, counted from the last byte

	Conn  int64 `json:"conn,omitempty"`
	Fresh int64 `json:"fresh,omitempty"` // age of the connection when its first request was written, in microseconds; 0 if it had carried a request before
	Again bool  `json:"again,omitempty"` // sent again, because a close had crossed it or the client repeats the request for the same job

	Status int     `json:"status,omitempty"`
	Result string  `json:"result,omitempty"` // for an answer: its body
	After  float64 `json:"after,omitempty"`  // Retry-After, in seconds
	Bytes  int64   `json:"bytes,omitempty"`
	Read   bool    `json:"read,omitempty"` // of a broken connection: the scheduler had read the whole request, so its close did not cross the request

	State  State  `json:"state,omitempty"`
	Ran    bool   `json:"ran,omitempty"`    // at least part of it ran
	Effect bool   `json:"effect,omitempty"` // it took effect: its result counts, and no earlier run with its key took effect within the window
	Tries  int    `json:"tries,omitempty"`
	Lease  uint64 `json:"lease,omitempty"` // of an attempt: its X-Lease; 0 if it has none

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

// View is a scheduler's view of its peers.
type View struct {
	Start   uint64            `json:"start,omitempty"` // start number of its process: later processes of a name have larger ones
	Self    string            `json:"self"`            // whole, cut, alone or woken
	Present int               `json:"present"`
	MayRun  int               `json:"may_run"`
	Share   float64           `json:"share"`   // the fraction of a shared budget that it uses
	Members map[string]string `json:"members"` // states of the peers by name
	Out     []string          `json:"out,omitempty"`
}

// Notes of a KindKill: what happens to the disk.
const (
	DiskLost     = "its disk is lost"
	DiskRestored = "its disk is put back"
)

// Repeat defines how often a job of a class may run.
type Repeat string

// The values, as the settings spell them.
const (
	ReadLike      Repeat = "read_like"       // any number of times
	Keyed         Repeat = "idempotency_key" // again within the window, in which workers drop repeats of its key
	NonIdempotent Repeat = "non_idempotent"  // never twice
)

// Class is a class of jobs with the parameters by which the service is scored. Durations are in microseconds.
type Class struct {
	Name      string  `json:"name"`
	Repeat    Repeat  `json:"repeat"`
	Aim       int64   `json:"aim"` // an answer is wanted within Aim + Stretch x the job's own running time
	Stretch   float64 `json:"stretch"`
	Deadline  int64   `json:"deadline"`
	Window    int64   `json:"window"` // time in which repeats of a key are dropped
	Worth     float64 `json:"worth"`
	LateWorth float64 `json:"late_worth"` // fraction of Worth that a late answer earns
}

// Tenant is an account of the fleet.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota"` // its share in requests per second, over all schedulers
}

// WorkerSetup describes a worker, for the figures and for the rule on cold workers.
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

// Rules are the parameters of the four rules. Times are in microseconds.
type Rules struct {
	Slack             int64   `json:"slack"`        // tolerance added to every time limit
	AnswerSlack       int64   `json:"answer_slack"` // a final answer may come this long after the deadline
	Drain             int64   `json:"drain"`        // no new attempt may be sent later than this after the notification of a drain or loss
	NotifiedAfter     int64   `json:"deemed"`       // a scheduler counts as notified of a discovery update this long after the agent has it
	NotifiedAfterMove int64   `json:"deemed_moved"` // as Deemed, from a SIGHUP that changes the address of discovery
	Attempts          int     `json:"attempts"`     // maximum for a request
	FallMultiple      float64 `json:"fall_multiple"`
	FallWindow        int64   `json:"fall_window"`
	OverShare         float64 `json:"over_share"` // worth of the requests of a tenant beyond its share
	CrossingWindow    int64   `json:"crossing"`   // a close this soon after a request's last byte may have crossed the request

	// RecoveryTime applies to a durable job that was taken by an earlier process: an answer is due only if the process has been
	// ready for this long when the client's time ends.
	RecoveryTime int64 `json:"recover,omitempty"`

	// KeepEnded is how long an ended job is known by its id at every scheduler; 0 means that each scheduler knows only its own
	// jobs. Keepers is how many schedulers store the record that makes it known.
	KeepEnded int64 `json:"keep,omitempty"`
	Keepers   int   `json:"keepers,omitempty"`

	// AgreeWithin is the time after the last fault within which the views of all schedulers must agree; 0 means that the schedulers
	// are not peers and agreement is not checked. Met is how long a scheduler that has just started may be unknown to the
	// others.
	AgreeWithin int64 `json:"agree,omitempty"`
	KnownWithin int64 `json:"met,omitempty"`
}

// Weights are the weights of the parts of the service score, and of the deductions from it.
type Weights struct {
	Whole       float64 `json:"whole"`
	Window      float64 `json:"window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
	CrossZone   float64 `json:"cross_zone"` // deduction for a request that crosses zones once
	LateFail    float64 `json:"late_fail"`  // deduction if all requests fail only after the wanted time
	Waste       float64 `json:"waste"`      // deduction for wasted work as large as the work requested
	Probe       float64 `json:"probe"`      // deduction for one probe per request
}

// Setup is the information about a run that the judge and the figures need in addition to its events.
type Setup struct {
	Version    int              `json:"version"` // of the format; see the constant Version
	Scenario   string           `json:"scenario"`
	Seed       uint64           `json:"seed"`
	Begin      int64            `json:"begin"`  // Unix time of T = 0, in microseconds
	Start      int64            `json:"start"`  // when clients begin, as T; schedulers have started before
	Length     int64            `json:"length"` // duration from Start for which arrivals are generated, in microseconds
	Classes    []Class          `json:"classes"`
	Tenants    []Tenant         `json:"tenants"`
	Workers    []WorkerSetup    `json:"workers"`
	Schedulers []SchedulerSetup `json:"schedulers"`
	Rules      Rules            `json:"rules"`
	Weights    Weights          `json:"weights"`
	Durable    []string         `json:"durable,omitempty"` // classes whose jobs survive the process of their scheduler
	Drawn      map[string]any   `json:"drawn,omitempty"`   // other values generated from the seed, for information
}

// FleetRules returns the parameters of fleetpay-nw's rules.
func FleetRules() Rules {
	return Rules{Slack: 50_000, AnswerSlack: 8_000, Drain: 2_000_000, NotifiedAfter: 6_000_000, NotifiedAfterMove: 4_000_000,
		Attempts: 4, FallMultiple: 3, FallWindow: 1_000_000, OverShare: 0.2, CrossingWindow: 100_000,
		RecoveryTime: 1_500_000}
}

// FleetWeights returns the weights of fleetpay-nw's brief.
func FleetWeights() Weights {
	return Weights{Whole: 0.35, Window: 0.35, WorstClass: 0.2, WorstTenant: 0.1,
		CrossZone: 0.084, LateFail: 0.067, Waste: 0.046, Probe: 0.002}
}
