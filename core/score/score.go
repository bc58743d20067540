// Package score computes the figures of a rehearsal from its history: the service score as operators define it, results
// by class and tenant, costs, delays of the test harness itself, and the time series for plots. It is a pure function of
// the events and uses no clock, file or socket. It does not check rules; that is done by core/judge.
package score

import "laddertide/core/history"

// Report contains all figures of one history. Shares are between 0 and 1, and no value is NaN or infinite.
type Report struct {
	Scenario string
	Seed     uint64
	Length   int64 // arrivals were drawn for this long, in microseconds
	End      int64 // time of the last event, in microseconds

	Service    float64 // weighted sum of the parts minus the deductions; at least 0
	Parts      Parts
	Deductions Deductions

	Classes []Group // in the order of the setup, then those that occur only in requests
	Tenants []Group // the same
	Totals  Totals
	Harness HarnessTiming

	Step      int64      // length of a Moment in microseconds: 1 s, more in long runs
	Intervals []Interval // jobs by intended send time

	LoadStep   int64    // time between elements of a worker's Queued and Held, in microseconds
	Workers    []Worker // in the order of the setup
	Schedulers []Scheduler

	Faults     []Fault
	Steps      []Step // of the plan, in order of execution
	Stalls     []Span // times in which the harness was paused
	BadClients BadClients
	Owned      Owned
	Recovery   *Recovery // recovery after a loss of power; nil: there was none

	Partial bool   // the history has no end event, or is marked as incomplete
	Note    string // the reason, as given in the history
}

// Parts are the components of the service score: earned worth divided by requested worth.
type Parts struct {
	Whole           float64
	Window          float64 // of the worst 10 s
	WindowFrom      int64   // start of the worst 10 s, in microseconds
	WorstClass      float64
	WorstClassName  string // name of the worst class
	WorstTenant     float64
	WorstTenantName string
	Weights         history.Weights
}

// Deductions are subtracted from the score, as fractions of 1 (0.01 is one point in 100). The second group of fields
// holds the quantities that they are computed from.
type Deductions struct {
	CrossZone, LateFail, Waste, Probe, Sum float64

	CrossingsPerJob float64 // attempts to another zone per job
	LateFailShare   float64 // share of the requested worth
	WasteShare      float64 // work without a served answer divided by requested work; can exceed 1
	ProbesPerJob    float64
}

// Ends counts jobs by outcome. A job is a first try together with its client's retries; it is counted in Asked and in
// exactly one of the other five.
type Ends struct {
	Asked      int
	InTime     int // a 200 within the response-time goal
	Late       int // a 200 after that, but within the class's deadline
	Refused    int // the last try got 429 or 503
	Failed     int // the last try got another answer, a broken connection or no connection
	Unanswered int // the deadline passed, or the history ended
}

// Served returns the number of jobs that got a result, late or not.
func (e Ends) Served() int { return e.InTime + e.Late }

// Group holds the results for the jobs of a class or tenant.
type Group struct {
	Name string
	Ends
	Worth, Earned  float64
	Share          float64       // earned worth divided by worth; of a tenant: of its jobs within quota. 0 if there are none
	OverQuota      int           // jobs beyond their tenant's quota
	P50, P99, P999 float64       // ms from the intended send time to the served answer; 0 if none was served
	Quota          float64       // of a tenant, in jobs per second
	Class          history.Class // of a class
}

// Totals are counts over the whole run. All except Strange refer to requests of regular clients.
type Totals struct {
	Ends
	Open              int // unanswered jobs whose deadline is after the end of the history
	Requests          int // tries of clients
	ClientRetries     int // tries after a job's first
	Resent            int // requests written again: the connection was closed at the same time, or the client repeated them
	Durable           int // requests written to a scheduler that may be repeated: of durable classes, or with owners
	Repeated          int // of these, the ones written more than once
	Kills, Restarts   int // of schedulers, by SIGKILL and SIGTERM; counted only if another process followed
	Attempts          int // of schedulers, including those to silent machines
	SchedulerRetries  int // attempts after a request's first
	Crossings         int // attempts to a worker in another zone than the scheduler's
	Full              int // attempts that a worker refused at once
	Undelivered       int // attempts to a silent machine
	BadClientAttempts int // attempts for requests that no regular client sent
	CallbacksFailed   int // call-backs that no scheduler accepted in any of their tries
	Effects           int // jobs that took effect at a worker
	Probes            int
	ColdOverloads     int     // cold workers that crashed from overload
	WorkAsked         float64 // s at speed 1, excluding retries
	WorkDone          float64 // s at speed 1, at workers
	WorkWasted        float64 // the part of WorkDone that did not lead to a served answer
	P50, P99, P999    float64 // ms, over all served jobs
	Statuses          []Count // answers by status
}

// Count is the number of occurrences of a value.
type Count struct {
	Name string
	N    int
}

// HarnessTiming holds delays of the test harness itself.
type HarnessTiming struct {
	LateP50, LateP99, LateMax float64 // ms from the intended to the actual send time of first tries
	StepLateMax               float64 // ms from the due time of a step of the plan to its completion
	Stalls                    int
	StallTotal, StallLongest  float64 // ms
}

// Interval holds the results for the jobs with intended send times in one step of the time series.
type Interval struct {
	T int64 // start, in microseconds
	Ends
	Worth, Earned, InTimeWorth float64
	P50, P99                   float64 // ms; of served jobs
}

// Worker holds the figures and time series of one worker.
type Worker struct {
	history.WorkerSetup
	Queued, Held []float32 // waiting jobs, and waiting plus running jobs; means over each LoadStep
	Attempts     int
	Full         int
	Work         float64 // s at speed 1
	Downs        []Span
	Draining     []Span
}

// Scheduler holds the figures of one scheduler.
type Scheduler struct {
	history.SchedulerSetup
	Sent     int // requests written to it
	Attempts int
	Lives    int
	Crashes  int // exits without a signal from the harness
	Downs    []Span
}

// Fault describes a failure injected by the scenario.
type Fault struct {
	Name              string
	Worker, Scheduler string // the affected one, if there is just one
	From, Until       int64  // microseconds
}

// Step is an action of the harness that the plan asks for. Times are in microseconds.
type Step struct {
	Action    string
	Scheduler string // the target, if it is a scheduler
	Planned   int64  // time in the plan
	Due       int64  // time at which it had to be done: as planned, or when its cue occurred or the wait for it timed out
	Done      int64
	Wait      int64 // maximum wait for its cue; 0: it has no cue
	Cued      bool  // its cue occurred
}

// Late returns the delay of the step, in microseconds.
func (s *Step) Late() int64 { return max(0, s.Done-s.Due) }

// Uncued reports whether the step was done without its cue, after the wait for it had timed out.
func (s *Step) Uncued() bool { return s.Wait > 0 && !s.Cued }

// Span is an interval of time, in microseconds.
type Span struct {
	From, Until int64
	Kind        string
}

// Owned holds the clients' view of jobs that any scheduler may be asked about.
type Owned struct {
	Asked                            int     // requests; 0: there are no such jobs
	AtSeveralSchedulers              int     // requests written to more than one scheduler
	Deferred                         int     // requests answered with 502 and Retry-After at least once
	DeferredServed                   int     // of those, the ones that got a 200 later
	Deferrals                        int     // all answers with 502 and Retry-After
	Wait50, Wait99, WaitMost         float64 // ms from the first such answer to the final one, of requests that got a final one
	Failed, Refused                  int     // requests whose last answer was another 5xx, or 503 or 429
	IDConflicts, IDConflictsDetected int     // different requests sent under a known id, and the ones answered with 409
	Kills, Pauses, LinkFaults        int     // of schedulers, and of links between them (each direction of each pair)
}

// BadClients holds figures of misbehaving clients.
type BadClients struct {
	Seen    int
	Ignored int     // those that got neither an answer nor a close in time
	Kinds   []Count // by kind of misbehaviour; if there are very many, the rarest are combined
}
