package leases

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"
)

// fenceBlock is how many fences a Mark reserves; up to that many stay unused after a restart.
const fenceBlock = 1 << 12

// Table holds the open jobs, and the ended jobs that are still kept. Use [New] to make one.
type Table struct {
	opt     Options
	classes map[string]*Class

	jobs           map[Seq]*job
	byID           map[string]*job
	bySeq          []*job // ordered by Seq; forgotten jobs stay until all before them are removed or many have gathered
	forgottenCount int    // number of forgotten jobs in bySeq

	ended    jobList // in the order of their ends
	expiries expiryHeap

	// Ended jobs whose answer is in memory, in the order in which they came to be so.
	answered   jobList // stored, and received by a client
	unanswered jobList // stored
	unstored   jobList // not known to be stored

	unstoredBytes int64 // approximate memory of the jobs in unstored

	nextSeq       Seq   // number of the next job
	lastFence     Fence // last fence given
	reservedFence Fence // highest fence reserved by the last Mark
	markFence     Fence // fence of the lease whose records include that Mark
	floor         Seq   // all jobs below are forgotten

	counts Counts

	// Used while records are replayed.
	latestWall  int64        // latest Clock.Wall of any record
	suspectUpTo Seq          // a lost record may belong to any job up to and including this one
	suspects    map[Seq]bool // jobs of which a record is lost
	missing     []Missing
	recovered   bool
}

// job is an open job, or an ended one that is still kept. Its own fields are what must be known of an ended job until it may be
// forgotten.
type job struct {
	seq     Seq
	id      string
	digest  [32]byte
	since   Clock    // when it was taken or, once it has ended, its end
	outcome *Outcome // nil until it has ended
	*details

	answered  bool // its answer was written to a client
	stored    bool // its Ended record is on disk
	takenLost bool // its Taken record is lost
	endedLost bool // it was answered, and its Ended record is lost
	forgotten bool // forgotten; only seq is still valid

	keptBytes    int64 // its share of Counts.KeptBytes, once it has ended
	storedAt     Location
	lastFence    Fence  // of its last attempt, once details are dropped
	lastProvider string // of its last attempt, once details are dropped
	links        links
}

// details is what is known of a job as long as it is open or its answer is in memory.
type details struct {
	spec     Spec
	class    *Class // nil: not in the settings
	attempts []attempt
	waiters  int

	expiresAt int64    // Clock.Mono at which the lease in flight expires
	lastSeen  int64    // Clock.Mono of the lease's last sign of life
	heapKey   int64    // expiry time by which Table.expiries is ordered, at most expiresAt
	heapIndex int      // index in Table.expiries, or -1
	list      *jobList // the list of jobs with their answer in memory that it is in; nil: none
}

// newJob returns an open job.
func newJob(seq Seq, spec Spec, since Clock) *job {
	return &job{seq: seq, id: spec.ID, digest: spec.Digest, since: since, details: &details{spec: spec, heapIndex: -1}}
}

// New returns an empty Table, or an error if the options are invalid.
func New(o Options) (*Table, error) {
	t := &Table{
		opt:     o,
		classes: make(map[string]*Class, len(o.Classes)),
		jobs:    map[Seq]*job{},
		byID:    map[string]*job{},
		ended:   jobList{index: endedLinks}, answered: jobList{index: answerLinks}, unanswered: jobList{index: answerLinks},
		unstored: jobList{index: answerLinks},
		nextSeq:  1,
		suspects: map[Seq]bool{},
	}
	switch {
	case o.MaxOpen < 1:
		return nil, errors.New("leases: at least one job must be allowed to be open")
	case o.Keep < 0 || o.KeepBytes < 0 || o.UnstoredBytes < 0 || o.MaxJoiners < 0:
		return nil, errors.New("leases: a bound is negative")
	}
	t.opt.Classes = append([]Class(nil), o.Classes...)
	for i := range t.opt.Classes {
		c := &t.opt.Classes[i]
		if c.Name == "" || len(c.Name) > MaxText || t.classes[c.Name] != nil {
			return nil, fmt.Errorf("leases: class %d has no name, one that is too long, or the name of another class", i)
		}
		if c.Effect > Unsafe || c.Group > Cell || c.Window < 0 {
			return nil, fmt.Errorf("leases: class %s: effect, group or window out of range", c.Name)
		}
		t.classes[c.Name] = c
	}
	return t, nil
}

// Take takes a job, joins the client to an open one or returns the outcome of an ended one; otherwise the kind of the
// result says why not. For Fresh, the record of the Step must be on disk before the job is used (rule B1). For Known, if
// the job's end may not be on disk yet, the Step has Sync set and no records (rule B3).
func (t *Table) Take(now Clock, spec Spec) (TakeResult, Step) {
	if j := t.byID[spec.ID]; j != nil && t.isExpired(now, j) {
		t.drop(j)
	}
	if j := t.byID[spec.ID]; j != nil {
		switch {
		case j.digest != spec.Digest:
			t.counts.Conflicts++
			return TakeResult{Kind: Conflict}, Step{}
		case j.outcome != nil:
			t.counts.Joins++
			return TakeResult{Kind: Known, Seq: j.seq, Outcome: *j.outcome, Answer: j.answer()}, Step{Sync: !j.answered}
		case j.waiters > t.opt.MaxJoiners:
			return TakeResult{Kind: Crowded}, Step{}
		}
		t.counts.Joins++
		j.waiters++
		return TakeResult{Kind: Joined, Seq: j.seq}, Step{}
	}
	c := t.classes[spec.Class]
	switch {
	case c == nil || spec.ID == "" || len(spec.ID) > MaxText || len(spec.Tenant) > MaxText || len(spec.Key) > MaxText ||
		len(spec.Body) > MaxBody:
		return TakeResult{Kind: Invalid}, Step{}
	case t.counts.Open >= t.opt.MaxOpen || t.nextSeq >= numberLimit-1:
		return TakeResult{Kind: Full}, Step{}
	case t.counts.RecordBytes >= t.opt.KeepBytes:
		t.counts.Refused++
		return TakeResult{Kind: Full}, Step{}
	}
	spec.Class = c.Name
	spec.Deadline, spec.TimeLeft, spec.WorkHint = max(0, spec.Deadline), max(0, spec.TimeLeft), max(0, spec.WorkHint)
	if !(spec.Slots > 0 && spec.Slots <= math.MaxFloat64) {
		spec.Slots = 0
	}
	j := newJob(t.nextSeq, spec, now)
	j.class, j.waiters = c, 1
	t.nextSeq++
	t.addOpen(j)
	t.byID[spec.ID] = j
	return TakeResult{Kind: Fresh, Seq: j.seq}, Step{[]Record{{Kind: Taken, Seq: j.seq, Clock: now, Spec: spec}}, true}
}

// Holds reports whether Take would find a job with that id, whatever its class.
func (t *Table) Holds(now Clock, id string) bool {
	j := t.byID[id]
	return j != nil && !t.isExpired(now, j)
}

// isExpired reports whether a job has ended so long ago that it may be forgotten.
func (t *Table) isExpired(now Clock, j *job) bool {
	return j.outcome != nil && elapsedSince(now, j.since) >= t.opt.Keep
}

// Withdraw removes a job whose Taken could not be written and of which no lease was used, as if it had never been taken,
// also for clients that joined it. As a failed write may have reached the disk nevertheless, the Step has an end for the
// job, which the host writes if it can; no effect waits for it.
func (t *Table) Withdraw(now Clock, seq Seq) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome != nil || slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.mayHaveRun }) {
		return Step{}
	}
	t.drop(j)
	outcome := Outcome{Kind: Rejected, Reason: "its taking could not be written"}
	return Step{Records: []Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: outcome}}}
}

// RemoveWaiter records that one of the clients waiting for the job, the first one or one that joined, has gone. The job stays
// open.
func (t *Table) RemoveWaiter(seq Seq) {
	if j := t.jobs[seq]; j != nil && j.waiters > 0 {
		j.waiters--
	}
}

// End ends the job with its outcome. The record of the Step must be on disk before the outcome is sent (rule B3). A second
// call changes nothing and returns ErrEnded.
func (t *Table) End(now Clock, seq Seq, out Outcome) (Step, error) {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return Step{}, ErrUnknown
	case j.outcome != nil:
		return Step{}, ErrEnded
	case out.Kind > InvalidRequest || len(out.Result) > MaxBody:
		return Step{}, ErrTooLong
	}
	out.RetryAfter = max(0, out.RetryAfter)
	out.Reason = out.Reason[:min(len(out.Reason), MaxText)]
	t.finish(j, now, out)
	t.enforceBounds()
	return Step{[]Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: out}}, true}, nil
}

// Revise changes the outcome of a rejected job to failed, for a host that could not write the rejection in time and has
// answered its clients that the job failed. It changes nothing for an unknown or open job or any other pair of outcomes.
// The Step has the new end; no effect waits for it.
func (t *Table) Revise(now Clock, seq Seq, out Outcome) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil || !mayReplace(out.Kind, j.outcome.Kind) {
		return Step{}
	}
	t.replaceOutcome(j, out)
	return Step{[]Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: out}}, true}
}

// mayReplace reports whether an outcome may replace an earlier one of the same job: only if it promises less.
func mayReplace(kind, earlier OutcomeKind) bool { return kind == Failed && earlier == Rejected }

// replaceOutcome replaces the outcome of an ended job.
func (t *Table) replaceOutcome(j *job, out Outcome) {
	t.leaveList(j)
	t.countKept(j, -1)
	j.outcome, j.stored = &out, false
	t.countKept(j, 1)
	t.listAnswer(j)
}

// EndRecord returns the record of a job's end again, for a host whose first write of it failed, or false if the job has not
// ended or its end is stored.
func (t *Table) EndRecord(seq Seq) (Record, bool) {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil || j.answer().InStore {
		return Record{}, false
	}
	return Record{Kind: Ended, Seq: seq, Clock: j.since, Outcome: *j.outcome}, true
}

// finish ends j with an outcome.
func (t *Table) finish(j *job, at Clock, out Outcome) {
	if a := j.inFlight(); a != nil {
		a.inFlight = false
		t.expiries.remove(j)
	}
	j.outcome, j.since, j.waiters = &out, at, 0
	j.spec.Body = nil
	t.counts.Open--
	t.counts.Kept++
	t.countKept(j, 1)
	t.ended.add(j)
	t.listAnswer(j)
}

// Get returns the current state of the job with that number.
func (t *Table) Get(now Clock, seq Seq) (Job, bool) {
	if j := t.jobs[seq]; j != nil {
		return t.view(now, j), true
	}
	return Job{}, false
}

// Find returns the current state of the job with that id.
func (t *Table) Find(now Clock, id string) (Job, bool) {
	if j := t.byID[id]; j != nil {
		return t.view(now, j), true
	}
	return Job{}, false
}

// Snapshot iterates over all jobs in the Table, ordered by number. The Table must not change during the iteration.
func (t *Table) Snapshot(now Clock) iter.Seq[Job] {
	return func(yield func(Job) bool) {
		for _, j := range t.bySeq {
			if !j.forgotten && !yield(t.view(now, j)) {
				return
			}
		}
	}
}

// Counts returns the counters.
func (t *Table) Counts() Counts { return t.counts }

func (t *Table) view(now Clock, j *job) Job {
	v := Job{Seq: j.seq, Spec: Spec{ID: j.id, Digest: j.digest}, Age: elapsedSince(now, j.since)}
	if j.details != nil {
		v.Spec, v.Waiters, v.Attempts = j.spec, j.waiters, j.attemptViews(now)
	}
	if j.outcome != nil {
		v.State, v.Outcome, v.Answer = StateEnded, *j.outcome, j.answer()
		if j.answered {
			v.State = StateAnswered
		}
		return v
	}
	switch a := j.inFlight(); {
	case a != nil && a.begun:
		v.State = StateBegun
	case a != nil:
		v.State = StateLeased
	}
	v.TimeLeft = t.remaining(now, j)
	return v
}

// remaining returns the time that the job has left.
func (t *Table) remaining(now Clock, j *job) time.Duration {
	return max(0, j.spec.TimeLeft-elapsedSince(now, j.since))
}

// elapsedSince returns the time from at to now. at must be a clock of this process or one that Recover has converted.
func elapsedSince(now, at Clock) time.Duration { return time.Duration(max(0, now.Mono-at.Mono)) }

// addOpen adds an open job, as the last in bySeq.
func (t *Table) addOpen(j *job) {
	t.jobs[j.seq] = j
	t.bySeq = append(t.bySeq, j)
	t.counts.Open++
}
