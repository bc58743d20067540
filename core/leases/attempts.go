package leases

import (
	"time"
)

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
