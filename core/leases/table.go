package leases

import (
	"errors"
	"fmt"
	"iter"
	"math"
	"slices"
	"time"
)

// block is how many fences a Mark reserves; as many may go unused at a restart.
const block = 1 << 12

// Table holds the jobs that are open, and those that have ended and are known. See [New].
type Table struct {
	opt     Options
	classes map[string]*Class

	jobs  map[Seq]*job
	byID  map[string]*job
	order []*job // by Seq, with those that were forgotten until the ones before them are
	dead  int    // of order, those that were forgotten

	ended    list // by their ends
	answered list // of them, those that were answered
	due      due

	next     Seq   // of the next job
	fence    Fence // the last one given
	reserved Fence // by the last Mark
	marking  Fence // whose lease's records have that Mark
	floor    Seq   // all below are forgotten

	counts Counts

	// While records are replayed.
	wall      int64 // the latest time that one of them has
	doubtTo   Seq   // a record is lost that may be of any job up to here
	doubts    map[Seq]bool
	missing   []Missing
	recovered bool
}

// job is a job that is open, or has ended and is known.
type job struct {
	seq      Seq
	spec     Spec
	class    *Class // nil: not in the settings
	at       Clock  // when it was taken, or ended
	attempts []attempt
	waiting  int
	outcome  *Outcome // once it has ended
	size     int64    // what it counts for once it has ended

	told   bool // it was answered
	orphan bool // its Taken is lost
	halved bool // it was answered, and its Ended is lost
	gone   bool // it is forgotten

	until int64 // when the lease that is out runs out, by Clock.Mono
	heard int64 // when it last gave a sign of life
	key   int64
	place int // in Table.due, or -1
	links links
}

// New returns an empty Table, or says what is wrong with the options.
func New(o Options) (*Table, error) {
	t := &Table{
		opt:     o,
		classes: make(map[string]*Class, len(o.Classes)),
		jobs:    map[Seq]*job{},
		byID:    map[string]*job{},
		ended:   list{index: 0}, answered: list{index: 1},
		next:   1,
		doubts: map[Seq]bool{},
	}
	switch {
	case o.MaxOpen < 1:
		return nil, errors.New("leases: at least one job must be allowed to be open")
	case o.Keep < 0 || o.KeepCount < 0 || o.KeepBytes < 0 || o.MaxJoiners < 0:
		return nil, errors.New("leases: a bound is negative")
	}
	t.opt.Classes = append([]Class(nil), o.Classes...)
	for i := range t.opt.Classes {
		c := &t.opt.Classes[i]
		if c.Name == "" || len(c.Name) > MaxText || t.classes[c.Name] != nil {
			return nil, fmt.Errorf("leases: class %d has no name, a long one, or another's", i)
		}
		if c.Effect > Unsafe || c.Group > Cell || c.Window < 0 {
			return nil, fmt.Errorf("leases: class %s: effect, group or window out of range", c.Name)
		}
		t.classes[c.Name] = c
	}
	return t, nil
}

// Take takes a job that came in, or says why not. The Step of a Fresh one is what B1 is about; that of a Known one, if
// its end may not be on disk yet, has no records and is what B3 is about.
func (t *Table) Take(now Clock, spec Spec) (Taking, Step) {
	if j := t.byID[spec.ID]; j != nil && j.outcome != nil && ago(now, j.at) >= t.opt.Keep {
		t.drop(j)
	}
	if j := t.byID[spec.ID]; j != nil {
		switch {
		case j.spec.Digest != spec.Digest:
			t.counts.Conflicts++
			return Taking{Kind: Conflict}, Step{}
		case j.outcome != nil:
			t.counts.Joins++
			return Taking{Kind: Known, Seq: j.seq, Outcome: *j.outcome}, Step{Sync: !j.told}
		case j.waiting > t.opt.MaxJoiners:
			return Taking{Kind: Full}, Step{}
		}
		t.counts.Joins++
		j.waiting++
		return Taking{Kind: Joined, Seq: j.seq}, Step{}
	}
	c := t.classes[spec.Class]
	switch {
	case c == nil || spec.ID == "" || len(spec.ID) > MaxText || len(spec.Party) > MaxText || len(spec.Key) > MaxText ||
		len(spec.Body) > MaxBody:
		return Taking{Kind: Invalid}, Step{}
	case t.counts.Open >= t.opt.MaxOpen || t.next >= numbers-1:
		return Taking{Kind: Full}, Step{}
	}
	spec.Class = c.Name
	spec.Deadline, spec.Left, spec.Hint = max(0, spec.Deadline), max(0, spec.Left), max(0, spec.Hint)
	if !(spec.Slots > 0 && spec.Slots <= math.MaxFloat64) {
		spec.Slots = 0
	}
	j := &job{seq: t.next, spec: spec, class: c, at: now, waiting: 1, place: -1}
	t.next++
	t.add(j)
	t.byID[spec.ID] = j
	return Taking{Kind: Fresh, Seq: j.seq}, Step{[]Record{{Kind: Taken, Seq: j.seq, Clock: now, Spec: spec}}, true}
}

// Withdrawn takes back a job whose Taken could not be written, and of which no lease was used: it is as if it had never
// come, for those that joined it too. As a write that failed may have reached the disk all the same, the Step has an end for it, to be written if that
// goes; nothing waits for it.
func (t *Table) Withdrawn(now Clock, seq Seq) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome != nil || slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.may }) {
		return Step{}
	}
	t.drop(j)
	out := Outcome{Kind: Rejected, Why: "its taking could not be written"}
	return Step{Records: []Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: out}}}
}

// Leave tells that a consumer that waited for the job, whether it joined or came first, is gone. The job goes on.
func (t *Table) Leave(seq Seq) {
	if j := t.jobs[seq]; j != nil && j.waiting > 0 {
		j.waiting--
	}
}

// End gives the job its one end, whose Step B3 is about. A second one changes nothing and is told by ErrEnded.
func (t *Table) End(now Clock, seq Seq, out Outcome) (Step, error) {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return Step{}, ErrUnknown
	case j.outcome != nil:
		return Step{}, ErrEnded
	case out.Kind > Mistaken || len(out.Result) > MaxBody:
		return Step{}, ErrTooLong
	}
	out.RetryAfter = max(0, out.RetryAfter)
	out.Why = out.Why[:min(len(out.Why), MaxText)]
	t.finish(j, now, out)
	t.trim()
	return Step{[]Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: out}}, true}, nil
}

// Revise changes the end of a job that was rejected, for a host that could not write that in time and has told its clients that the job
// failed. What is no job's, or another end, stays as it is. The Step has the end to be written; nothing waits for it.
func (t *Table) Revise(now Clock, seq Seq, out Outcome) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil || !revises(out.Kind, j.outcome.Kind) {
		return Step{}
	}
	t.revise(j, out)
	return Step{[]Record{{Kind: Ended, Seq: seq, Clock: now, Outcome: out}}, true}
}

// revises reports whether an end may take the place of an earlier one of the same job: one that promises less.
func revises(kind, earlier Kind) bool { return kind == Failed && earlier == Rejected }

// revise gives a job that has ended another outcome.
func (t *Table) revise(j *job, out Outcome) {
	change := int64(len(out.Result) + len(out.Why) - len(j.outcome.Result) - len(j.outcome.Why))
	j.size += change
	t.counts.KeptBytes += change
	j.outcome = &out
}

// EndAgain is the record of a job's end once more, for a host whose first write of it failed; false: it has none.
func (t *Table) EndAgain(seq Seq) (Record, bool) {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil {
		return Record{}, false
	}
	return Record{Kind: Ended, Seq: seq, Clock: j.at, Outcome: *j.outcome}, true
}

// perJob and perAttempt are about what a job that ended takes beside its texts, in bytes.
const perJob, perAttempt = 640, 96

// finish makes j a job that has ended.
func (t *Table) finish(j *job, at Clock, out Outcome) {
	if a := j.out(); a != nil {
		a.out = false
		t.due.remove(j)
	}
	j.outcome, j.at, j.waiting = &out, at, 0
	j.spec.Body = nil
	s := &j.spec
	j.size = perJob + int64(len(j.attempts)*perAttempt+len(s.ID)+len(s.Party)+len(s.Key)+len(out.Result)+len(out.Why))
	t.counts.Open--
	t.counts.Kept++
	t.counts.KeptBytes += j.size
	t.ended.add(j)
}

// Get is the job of that number as it stands.
func (t *Table) Get(now Clock, seq Seq) (Job, bool) {
	if j := t.jobs[seq]; j != nil {
		return t.show(now, j), true
	}
	return Job{}, false
}

// Find is the job of that id as it stands.
func (t *Table) Find(now Clock, id string) (Job, bool) {
	if j := t.byID[id]; j != nil {
		return t.show(now, j), true
	}
	return Job{}, false
}

// Snapshot goes through all jobs that are known, by their numbers. The Table must not change meanwhile.
func (t *Table) Snapshot(now Clock) iter.Seq[Job] {
	return func(yield func(Job) bool) {
		for _, j := range t.order {
			if !j.gone && !yield(t.show(now, j)) {
				return
			}
		}
	}
}

// Counts are the figures as of now.
func (t *Table) Counts() Counts { return t.counts }

func (t *Table) show(now Clock, j *job) Job {
	v := Job{Seq: j.seq, Spec: j.spec, Ago: ago(now, j.at), Waiting: j.waiting, Attempts: j.list(now)}
	switch a := j.out(); {
	case j.outcome != nil:
		v.State, v.Outcome = StateEnded, *j.outcome
		if j.told {
			v.State = StateAnswered
		}
		return v
	case a != nil && a.begun:
		v.State = StateBegun
	case a != nil:
		v.State = StateLeased
	}
	v.Left = t.left(now, j)
	return v
}

// left is what is left of the job's time.
func (t *Table) left(now Clock, j *job) time.Duration { return max(0, j.spec.Left-ago(now, j.at)) }

// ago is how long ago a moment of this process is, or one that Recover has carried into it.
func ago(now, at Clock) time.Duration { return time.Duration(max(0, now.Mono-at.Mono)) }

// add takes a job in, open and the last of all.
func (t *Table) add(j *job) {
	t.jobs[j.seq] = j
	t.order = append(t.order, j)
	t.counts.Open++
}
