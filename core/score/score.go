// Package score makes the figures of a rehearsal from its history: service as the operators count it, how each class
// and tenant fared, what it cost, how late the kit itself was, and the courses that plots are drawn from. It is a pure
// function of the events and knows no clock, file or socket. It does not judge: rules are core/judge's.
package score

import "laddertide/core/history"

// Report is all figures of one history. Shares are between 0 and 1, and nothing in it is NaN or infinite.
type Report struct {
	Scenario string
	Seed     uint64
	Length   int64 // arrivals were drawn for this long, in microseconds
	End      int64 // the last event, in microseconds

	Service    float64 // the parts by their weights, less the deductions; never under 0
	Parts      Parts
	Deductions Deductions

	Classes []Group // in the order of the setup; a class that only an ask names follows
	Tenants []Group // the same
	Totals  Totals
	Kit     Kit

	Step    int64    // how long a Moment is, in microseconds: 1 s, more in long runs
	Moments []Moment // jobs by the time for which they were meant

	LoadStep   int64    // how long an element of a worker's Queued and Held is, in microseconds
	Workers    []Worker // in the order of the setup
	Schedulers []Scheduler

	Troubles  []Trouble
	Steps     []Step // of the plan, in the order in which they were played
	Stalls    []Span // the kit stood still
	Strangers Strangers
	Owned     Owned
	Back      *Back // after a loss of power; nil: there was none

	Partial bool   // the history has no end, or says itself that it is not whole
	Note    string // why, in the history's words
}

// Parts are what service is mixed from: worth earned over worth asked.
type Parts struct {
	Whole       float64
	Window      float64 // the worst 10 s
	WindowFrom  int64   // where they begin, in microseconds
	WorstClass  float64
	Class       string // which that is
	WorstTenant float64
	Tenant      string
	Weights     history.Weights
}

// Deductions are the points taken off, as shares of 1 (0.01 is one point in 100), beside what they were counted from.
type Deductions struct {
	CrossZone, LateFail, Waste, Probe, Sum float64

	CrossingsPerJob float64 // attempts to another zone for each job
	LateFailShare   float64 // of the worth asked for
	WasteShare      float64 // work without a served answer over work asked for; can be more than 1
	ProbesPerJob    float64
}

// Ends counts jobs by how they ended. A job is a first try with the retries of its client; it ends in just one of the
// last five.
type Ends struct {
	Asked      int
	InTime     int // a 200 within the time that was wanted
	Late       int // a 200 after that, but within the class's deadline
	Refused    int // the last try got 429 or 503
	Failed     int // it got another answer, a broken connection or none at all
	Unanswered int // its time ran out, or the history does
}

// Served is how many got what they asked for, late or not.
func (e Ends) Served() int { return e.InTime + e.Late }

// Group is how the jobs of a class or tenant fared.
type Group struct {
	Name string
	Ends
	Worth, Earned  float64
	Share          float64       // earned over worth; of a tenant: within its share. 0 if nothing was asked
	Beyond         int           // jobs that their tenant asked beyond its share
	P50, P99, P999 float64       // ms from the intended send time to the served answer; 0 if none was served
	Quota          float64       // of a tenant, in jobs a second
	Class          history.Class // of a class
}

// Totals are counts of the whole run. All but Strange are of what the usual clients asked.
type Totals struct {
	Ends
	Open             int // of those unanswered: still within their time when the history ends
	Requests         int // tries of clients
	ClientRetries    int // those after a first
	Resent           int // written once more: a close had crossed them, or they were asked for again
	Durable          int // requests that were written to a scheduler and may be asked for again: of durable classes, or with owners
	AskedAgain       int // of them: those that were written more than once
	Kills, Restarts  int // of schedulers, by SIGKILL and by SIGTERM, that another process followed
	Attempts         int // of schedulers, voids among them
	SchedulerRetries int // attempts beyond a request's first
	Crossings        int // attempts to a worker in another zone than the scheduler's
	Full             int // attempts that a worker turned away at once
	Void             int // attempts that went to a silent machine
	Strange          int // attempts for requests that no usual client sent
	Untold           int // call-backs that no scheduler took in any of their tries
	Effects          int // jobs that took effect at a worker
	Probes           int
	Fallen           int     // cold workers that were pushed over
	WorkAsked        float64 // s at speed 1, retries not counted again
	WorkDone         float64 // s at speed 1, at workers
	WorkWasted       float64 // the part of WorkDone that no served answer came of
	P50, P99, P999   float64 // ms, over all served jobs
	Statuses         []Count // answers by their status
}

// Count is how often something was seen.
type Count struct {
	Name string
	N    int
}

// Kit is how late the kit itself was.
type Kit struct {
	LateP50, LateP99, LateMax float64 // ms from the intended send time to the sending, of first tries
	StepLateMax               float64 // ms from when a step of the plan was due to when it was done
	Stalls                    int
	StallTotal, StallLongest  float64 // ms
}

// Moment is what became of the jobs that were meant for one step of time.
type Moment struct {
	T int64 // where it begins, in microseconds
	Ends
	Worth, Earned, InTimeWorth float64
	P50, P99                   float64 // ms; of those served
}

// Worker is the course of one worker.
type Worker struct {
	history.WorkerSetup
	Queued, Held []float32 // jobs in its queue, and those with the running ones, as means over each LoadStep
	Attempts     int
	Full         int
	Work         float64 // s at speed 1
	Downs        []Span
	Draining     []Span
}

// Scheduler is what process control saw of one scheduler.
type Scheduler struct {
	history.SchedulerSetup
	Sent     int // requests written to it
	Attempts int
	Lives    int
	Crashes  int // ends that nobody had asked for
	Downs    []Span
}

// Trouble is one thing that the scenario did.
type Trouble struct {
	Name              string
	Worker, Scheduler string // whom it met, if it was one
	From, Until       int64  // microseconds
}

// Step is one thing that the plan had the kit do. Times are microseconds.
type Step struct {
	What      string
	Scheduler string // to whom, if to one
	Planned   int64  // when the plan wanted it
	Due       int64  // when it had to be done: as planned, or when its cue came or the time for that was over
	Done      int64
	Wait      int64 // how long it waits for its cue at most; 0: it has none
	Cued      bool  // its cue came
}

// Late is how late it was, in microseconds.
func (s *Step) Late() int64 { return max(0, s.Done-s.Due) }

// Uncued tells whether it was done without the cue that it had waited for.
func (s *Step) Uncued() bool { return s.Wait > 0 && !s.Cued }

// Span is a stretch of time, in microseconds.
type Span struct {
	From, Until int64
	What        string
}

// Owned is what clients saw of jobs for which any scheduler may be asked.
type Owned struct {
	Asked                     int     // requests; 0: there are no such jobs
	Elsewhere                 int     // of them: written to more than one scheduler
	ToldToWait                int     // of them: answered 502 with Retry-After at least once
	WaitedServed              int     // of those: got a 200 after that
	Waits                     int     // all such answers
	Wait50, Wait99, WaitMost  float64 // ms from the first such answer to one that ends the asking; of those that got one
	Failed, Refused           int     // requests whose last answer was another 5xx, or 503 or 429
	Others, OthersKnown       int     // who sent something else under a known id, and those who got a 409
	Kills, Pauses, LinkFaults int     // of schedulers, and of links between them (each direction of each pair)
}

// Strangers are the bad clients.
type Strangers struct {
	Seen    int
	Ignored int     // of them: got neither an answer nor a close in time
	Kinds   []Count // by what they did; the rarest are one entry if there are very many
}
