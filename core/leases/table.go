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

// attempt is a lease. One that is not out never ran, or may have.
type attempt struct {
	fence    Fence
	provider string
	address  string
	at       Clock
	vague    bool // how long ago that is is not known
	span     time.Duration
	out      bool
	may      bool // it may have run; while it is out, too
	begun    bool
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

// may tells what speaks against sending the job once more, with no attempt out.
func (t *Table) may(now Clock, j *job) error {
	switch {
	case j.orphan:
		return ErrTaking
	case j.halved:
		return ErrEnding
	case j.class == nil:
		return ErrClass
	case t.left(now, j) <= 0:
		return ErrLate
	}
	for i := range j.attempts {
		a := &j.attempts[i]
		if !a.may || j.class.Effect == Safe {
			continue
		}
		switch {
		case j.class.Effect == Unsafe:
			return ErrRan
		case a.vague || ago(now, a.at) > j.class.Window:
			return ErrWindow
		case a.provider == "" && j.class.Group != All:
			return ErrGroup
		}
	}
	return nil
}

// Lease gives a provider, at its address if that is given, the job, for until without a sign of life (0: for ever), or says which rule that would break.
// Of a keyed job the window is looked at here, its group is the decision module's to judge. The Step is the one that
// B2, B4 and B5 are about.
func (t *Table) Lease(now Clock, seq Seq, provider string, until time.Duration,
	address ...string) (Fence, Step, error) {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return 0, Step{}, ErrUnknown
	case j.outcome != nil:
		return 0, Step{}, ErrEnded
	case j.out() != nil:
		return 0, Step{}, ErrOut
	case len(j.attempts) >= maxTries:
		return 0, Step{}, ErrAttempts
	case provider == "" || len(provider) > MaxText:
		return 0, Step{}, ErrTooLong
	case t.fence >= numbers-block-1:
		return 0, Step{}, ErrNumbers
	}
	if err := t.may(now, j); err != nil {
		return 0, Step{}, err
	}
	until = max(0, until)
	at := ""
	if len(address) > 0 && len(address[0]) <= MaxText {
		at = address[0]
	}
	t.fence++
	var recs []Record
	if t.fence > t.reserved {
		t.reserved = t.fence + block - 1
		t.marking = t.fence
		recs = append(recs, t.Mark())
	}
	if j.class.Effect == Unsafe {
		// Whatever became of the first writes of these.
		for i := range j.attempts {
			recs = append(recs, Record{Kind: Over, Seq: seq, Fence: j.attempts[i].fence, Never: true})
		}
	}
	recs = append(recs, Record{Kind: Leased, Seq: seq, Fence: t.fence, Clock: now, Provider: provider, Address: at,
		Spec: Spec{ID: j.spec.ID, Digest: j.spec.Digest}, Try: len(j.attempts), Span: until})
	j.attempts = append(j.attempts,
		attempt{fence: t.fence, provider: provider, address: at, at: now, span: until, out: true, may: true})
	t.start(now, j)
	return t.fence, Step{recs, true}, nil
}

// start lets the time run of the lease that is out.
func (t *Table) start(now Clock, j *job) {
	j.heard = now.Mono
	if a := j.out(); a.span > 0 {
		j.until = now.Mono + int64(a.span)
		t.due.add(j)
	}
}

// Stands tells what speaks against using a lease whose records have reached the disk by now, which may have taken long.
// If it is not nil nothing may be sent, and the host calls Over with never.
func (t *Table) Stands(now Clock, seq Seq, fence Fence) error {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return ErrUnknown
	case j.outcome != nil:
		return ErrEnded
	}
	a := j.holds(fence)
	if a == nil {
		return ErrNotOut
	}
	a.may = false
	err := t.may(now, j)
	a.may = true
	return err
}

// Unlease takes back a lease that could not be written. Nothing was sent.
func (t *Table) Unlease(seq Seq, fence Fence) {
	if fence == t.marking {
		t.reserved = min(t.reserved, t.fence) // the next lease brings a Mark again
	}
	if j := t.jobs[seq]; j != nil {
		t.close(j, fence, true)
	}
}

// close ends the attempt that holds the fence, if that is out.
func (t *Table) close(j *job, fence Fence, never bool) bool {
	a := j.holds(fence)
	if a == nil {
		return false
	}
	a.out, a.may = false, !never
	t.due.remove(j)
	return true
}

// Begin takes a provider's word that the job began there. It is a sign of life, too.
func (t *Table) Begin(now Clock, seq Seq, fence Fence) Step {
	j := t.jobs[seq]
	if j == nil {
		return Step{}
	}
	a := j.holds(fence)
	if a == nil {
		return Step{}
	}
	t.Beat(now, seq, fence)
	if a.begun {
		return Step{}
	}
	a.begun = true
	return Step{Records: []Record{{Kind: Begun, Seq: seq, Fence: fence}}}
}

// Beat takes a sign of life of a lease, which holds for its whole time again, also if it had run out.
func (t *Table) Beat(now Clock, seq Seq, fence Fence) {
	j := t.jobs[seq]
	if j == nil {
		return
	}
	a := j.holds(fence)
	if a == nil {
		return
	}
	j.heard = max(j.heard, now.Mono)
	if a.span > 0 {
		j.until = max(j.until, now.Mono+int64(a.span))
		if j.place < 0 {
			t.due.add(j)
		}
	}
}

// Over takes the end of an attempt; the job goes on. Never says that the attempt is proven never to have run.
func (t *Table) Over(now Clock, seq Seq, fence Fence, never bool) Step {
	j := t.jobs[seq]
	if j == nil || !t.close(j, fence, never) {
		return Step{}
	}
	return Step{Records: []Record{{Kind: Over, Seq: seq, Fence: fence, Never: never}}}
}

// Word tells whether a provider's word on the job of that id counts, and for which lease: one that names its lease must
// name the one that is out and be of the provider that holds it; fence 0 means that it named none, then the provider's
// name decides. Others are counted as stale, but for repeats of the lease under which the job ended: these come back
// with its Fence and, as B3 holds for them too, are acknowledged once all that was appended is on disk. Seq is 0 if no
// job of that id is known here.
func (t *Table) Word(id, provider string, fence Fence) (Seq, Fence, bool) {
	j := t.byID[id]
	if j == nil {
		return 0, 0, false
	}
	if n := len(j.attempts); n > 0 {
		a := &j.attempts[n-1]
		fits := provider == a.provider && fence == 0 || fence == a.fence && (provider == a.provider || a.provider == "")
		switch {
		case fits && a.out:
			return j.seq, a.fence, true
		case fits && j.outcome != nil:
			return j.seq, a.fence, false
		}
	}
	t.counts.Stale++
	return j.seq, 0, false
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

// trim forgets ended jobs until the bounds hold.
func (t *Table) trim() {
	for t.counts.Kept > t.opt.KeepCount || t.counts.KeptBytes > t.opt.KeepBytes {
		j := t.answered.head
		if j == nil {
			j = t.ended.head
		}
		t.drop(j)
		t.counts.Evicted++
	}
}

// Answered tells that a consumer has been written the job's whole answer.
func (t *Table) Answered(seq Seq) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil || j.told {
		return Step{}
	}
	j.told = true
	t.answered.add(j)
	return Step{Records: []Record{{Kind: Answered, Seq: seq}}}
}

// Expired are the leases that have run out since the last call. They stand until the attempt is over or the job has
// ended: what becomes of them is the decision module's to say. One that gave a sign of life since can run out again.
func (t *Table) Expired(now Clock) (out []Lease) {
	for len(t.due) > 0 && t.due[0].key <= now.Mono {
		j := t.due[0]
		if j.until > now.Mono {
			t.due.add(j)
			continue
		}
		t.due.remove(j)
		a := j.out()
		out = append(out, Lease{Seq: j.seq, Fence: a.fence, ID: j.spec.ID, Class: j.spec.Class, Provider: a.provider,
			Begun: a.begun, Silent: time.Duration(now.Mono - j.heard)})
	}
	return out
}

// Forget forgets the jobs that ended Keep ago, and tells how many and which is the lowest number that is still needed.
// Before the store drops what is older it makes sure that a Mark made since, see [Table.Mark], is on disk.
func (t *Table) Forget(now Clock) (forgotten int, oldest Seq) {
	for t.ended.head != nil && ago(now, t.ended.head.at) >= t.opt.Keep {
		t.drop(t.ended.head)
		forgotten++
	}
	return forgotten, t.oldest()
}

// Shed forgets the jobs below a number that have ended, whatever time they have left: the store has no room for them.
func (t *Table) Shed(below Seq) (forgotten int) {
	for _, j := range t.order {
		if j.seq >= below {
			break
		}
		if !j.gone && j.outcome != nil {
			t.drop(j)
			t.counts.Evicted++
			forgotten++
		}
	}
	return forgotten
}

// oldest is the lowest number that is still needed.
func (t *Table) oldest() Seq {
	n := 0
	for n < len(t.order) && t.order[n].gone {
		t.order[n] = nil
		n++
	}
	t.order = t.order[n:]
	t.dead -= n
	t.floor = t.next
	if len(t.order) > 0 {
		t.floor = t.order[0].seq
	}
	return t.floor
}

// Mark is the record of all that must outlive the jobs: the fences in use and the numbers of jobs, and which of them
// are forgotten. The store writes it anew, and waits until it is on disk, before it drops older records.
func (t *Table) Mark() Record {
	return Record{Kind: Mark, Seq: t.next, Fence: t.reserved, Floor: t.floor}
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

// list is what is told of the job's attempts.
func (j *job) list(now Clock) []Attempt {
	if len(j.attempts) == 0 {
		return nil
	}
	out := make([]Attempt, len(j.attempts))
	for i := range j.attempts {
		a := &j.attempts[i]
		out[i] = Attempt{Provider: a.provider, Address: a.address, Fence: a.fence, AgoKnown: !a.vague, MayHaveRun: a.may, Out: a.out,
			Begun: a.begun}
		if !a.vague {
			out[i].Ago = ago(now, a.at)
		}
	}
	return out
}

// out is the attempt that is out, or nil. Only the last one can be.
func (j *job) out() *attempt {
	if n := len(j.attempts); n > 0 && j.attempts[n-1].out {
		return &j.attempts[n-1]
	}
	return nil
}

// holds is the attempt that is out if it holds that fence, or nil.
func (j *job) holds(fence Fence) *attempt {
	if a := j.out(); a != nil && a.fence == fence {
		return a
	}
	return nil
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

// drop forgets a job.
func (t *Table) drop(j *job) {
	t.due.remove(j)
	if j.outcome != nil {
		t.ended.remove(j)
		t.answered.remove(j)
		t.counts.Kept--
		t.counts.KeptBytes -= j.size
	} else {
		t.counts.Open--
	}
	delete(t.jobs, j.seq)
	if t.byID[j.spec.ID] == j {
		delete(t.byID, j.spec.ID)
	}
	*j = job{seq: j.seq, gone: true, place: -1}
	if t.dead++; t.dead > 64 && t.dead > len(t.order)/2 {
		live := make([]*job, 0, len(t.order)-t.dead+64)
		for _, k := range t.order {
			if !k.gone {
				live = append(live, k)
			}
		}
		t.order, t.dead = live, 0
	}
}
