package leases

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"time"
)

// lostJump is how many numbers of jobs and leases are skipped after the highest ones seen if a record is lost: it may
// have been a Mark, which reserves numbers.
const lostJump = 1 << 32

// Replay applies a record that the store held at startup. It returns an error for a record that contradicts earlier
// ones; the Table then keeps the interpretation under which less is sent again.
func (t *Table) Replay(r Record) error {
	if t.recovered {
		return errors.New("leases: replay after the table was recovered")
	}
	if r.Kind == Mark {
		t.nextSeq = max(t.nextSeq, r.Seq)
		t.lastFence = max(t.lastFence, r.Fence)
		t.floor = max(t.floor, r.Floor)
		return nil
	}
	t.nextSeq = max(t.nextSeq, r.Seq+1)
	t.lastFence = max(t.lastFence, r.Fence)
	t.latestWall = max(t.latestWall, r.Clock.Wall)
	j := t.jobs[r.Seq]
	if j == nil {
		switch r.Kind {
		case Taken, Leased:
			j = newJob(r.Seq, r.Spec, r.Clock)
			j.takenLost = r.Kind == Leased
			if r.Kind == Taken {
				j.setClass(t)
			}
			t.addOpen(j)
			if !t.claimID(j) {
				return nil
			}
		case Begun, Over, Ended:
			// A withdrawn job may leave an Ended as Rejected as its only record: it was never leased and has not run.
			if r.Kind != Ended || r.Outcome.Kind != Rejected {
				t.addMissing(r.Seq, "", "its taken and leased records; only "+r.Kind.String()+" is left")
				t.suspects[r.Seq] = true // in case its Taken follows, which no store does
			}
			return nil
		default:
			return nil // an Answered of a forgotten job
		}
	}
	if j.details == nil && (r.Kind == Begun || r.Kind == Over) {
		return nil // it has ended
	}
	switch r.Kind {
	case Taken:
		return t.replayTaken(j, &r)
	case Leased:
		return t.replayLeased(j, &r)
	case Begun:
		a := j.attemptWith(r.Fence)
		if a == nil {
			if a = t.addLostAttempt(j, r.Fence, "the record of a lease that began"); a == nil {
				return nil
			}
			a.inFlight = j.outcome == nil && a == &j.attempts[len(j.attempts)-1]
		}
		a.begun = true
	case Over:
		a := j.attemptWith(r.Fence)
		if a == nil {
			if !r.Never {
				t.addLostAttempt(j, r.Fence, "the record of a lease that is over")
			}
			return nil
		}
		a.inFlight, a.mayHaveRun = false, !r.Never
	case Ended:
		if j.outcome != nil && mayReplace(r.Outcome.Kind, j.outcome.Kind) {
			t.replaceOutcome(j, r.Outcome)
			return nil
		}
		if j.outcome != nil {
			if o := j.outcome; o.Kind != r.Outcome.Kind || j.details != nil && !bytes.Equal(o.Result, r.Outcome.Result) {
				return fmt.Errorf("leases: job %d: a second outcome, %v after %v", r.Seq, r.Outcome.Kind, o.Kind)
			}
			return nil
		}
		t.finish(j, r.Clock, r.Outcome)
	case Answered:
		if j.outcome == nil {
			j.endedLost = true
			return nil
		}
		j.answered = true
		t.listAnswer(j)
	default:
		return fmt.Errorf("leases: record of unknown kind %d", r.Kind)
	}
	return nil
}

func (t *Table) replayTaken(j *job, r *Record) error {
	switch {
	case j.takenLost:
		// Its Leased came before its Taken, which no Table writes: continue as if in the right order.
		j.takenLost = false
		j.spec, j.digest, j.since = r.Spec, r.Spec.Digest, r.Clock
		j.setClass(t)
	case j.id != r.Spec.ID || j.digest != r.Spec.Digest:
		return fmt.Errorf("leases: job %d was taken twice, as %q and %q", r.Seq, j.spec.ID, r.Spec.ID)
	}
	return nil
}

func (t *Table) replayLeased(j *job, r *Record) error {
	switch {
	case j.outcome != nil:
		return fmt.Errorf("leases: job %d: a lease after its end", r.Seq)
	case j.attemptWith(r.Fence) != nil:
		return nil
	}
	n := len(j.attempts)
	switch {
	case n > 0 && j.attempts[n-1].fence > r.Fence:
		t.addLostAttempt(j, r.Fence, "the position of a lease")
		return fmt.Errorf("leases: job %d: lease %d follows lease %d", r.Seq, r.Fence, j.attempts[n-1].fence)
	case n >= maxAttempts:
		t.addLostAttempt(j, r.Fence, "the position of a lease")
		return fmt.Errorf("leases: job %d: leased more than %d times", r.Seq, maxAttempts)
	case n > 0:
		j.attempts[n-1].inFlight = false // only one is in flight at a time; how this one ended is not known
	}
	j.attempts = append(j.attempts,
		attempt{fence: r.Fence, provider: r.Provider, address: r.Address, leasedAt: r.Clock, duration: r.Span, inFlight: true, mayHaveRun: true})
	return nil
}

// claimID makes j the job known by its id and reports true, or drops j if a later job has that id. The later of two jobs
// with one id wins: it could be taken only after the earlier one was ended and forgotten, or withdrawn, even if no record
// says so.
func (t *Table) claimID(j *job) bool {
	if k := t.byID[j.id]; k != nil {
		if k.seq > j.seq {
			t.drop(j)
			return false
		}
		t.drop(k)
	}
	t.byID[j.id] = j
	return true
}

// addLostAttempt inserts an attempt whose Leased record is lost, in the order of the fences. The attempt counts as one
// that may have run and was leased when the job was taken. If the job has ended or has too many attempts, none is inserted
// and the result is nil.
func (t *Table) addLostAttempt(j *job, fence Fence, what string) *attempt {
	switch {
	case j.outcome != nil:
		return nil
	case len(j.attempts) >= maxAttempts:
		j.attempts[0].provider, j.attempts[0].mayHaveRun = "", true
		return nil
	}
	if fence != 0 {
		t.addMissing(j.seq, j.spec.ID, fmt.Sprintf("%s, %d", what, fence))
	}
	i := 0
	for i < len(j.attempts) && j.attempts[i].fence < fence {
		i++
	}
	if i > 0 && i == len(j.attempts) {
		j.attempts[i-1].inFlight = false
	}
	j.attempts = slices.Insert(j.attempts, i, attempt{fence: fence, leasedAt: j.since, mayHaveRun: true})
	return &j.attempts[i]
}

func (j *job) attemptWith(fence Fence) *attempt {
	for i := range j.attempts {
		if j.attempts[i].fence == fence {
			return &j.attempts[i]
		}
	}
	return nil
}

func (j *job) setClass(t *Table) {
	if j.class = t.classes[j.spec.Class]; j.class != nil {
		j.spec.Class = j.class.Name
	}
}

// maxMissing limits the number of missing records that are listed.
const maxMissing = 1000

func (t *Table) addMissing(seq Seq, id, what string) {
	if len(t.missing) < maxMissing {
		t.missing = append(t.missing, Missing{Seq: seq, ID: id, What: what})
	}
}

// ReplayLost reports an unreadable record of the store: seq is its job, or 0 if that is not known. The host calls it in the
// record's place among the calls of Replay. The record may have been a lease, so the job, or without a number each job
// that is open so far, counts as one that may have run.
func (t *Table) ReplayLost(seq Seq) {
	t.counts.UnreadableRecords++
	if seq == 0 {
		t.suspectUpTo = t.nextSeq - 1
		return
	}
	t.nextSeq = max(t.nextSeq, seq+1)
	t.suspects[seq] = true
}

// elapsed returns the time from a record's clock to now, and whether it is known. Within one boot it uses Mono; otherwise
// Wall, provided that no record shows that the time of day has been set back since.
func (t *Table) elapsed(now, at Clock) (time.Duration, bool) {
	elapsed := now.Wall - at.Wall
	known := now.Wall >= t.latestWall // no record is later than now
	if now.Boot == at.Boot && now.Boot != [16]byte{} {
		elapsed, known = now.Mono-at.Mono, now.Mono >= at.Mono
	}
	if !known {
		return 0, false
	}
	if elapsed < 0 {
		elapsed = 1<<63 - 1 // the difference overflows
	}
	return time.Duration(elapsed), true
}

// rebase converts a record's clock to the boot of this process, and reports whether the time elapsed since is known.
func (t *Table) rebase(now Clock, at *Clock) (known bool) {
	d, known := t.elapsed(now, *at)
	// Ages are capped at a value above any setting, beyond which they make no difference.
	at.Boot, at.Mono = now.Boot, now.Mono-int64(min(d, 1<<61))
	at.Wall = now.Wall - int64(min(d, 1<<61))
	return known
}

// Recover ends the replay. It returns the action for each open job, ordered by number, and the missing records. The
// expiry time of leases that may be in flight starts again, as no sign of life could arrive in the meantime. Where clock
// steps make an age unknown, the job has as much time left as when it was taken and never more, and its key's window
// counts as over.
func (t *Table) Recover(now Clock) (resumed []Resumed, missing []Missing) {
	if t.recovered {
		return nil, nil
	}
	t.recovered = true
	slices.SortFunc(t.bySeq, func(a, b *job) int {
		if a.seq < b.seq {
			return -1
		}
		return 1
	})
	if t.counts.UnreadableRecords > 0 {
		t.lastFence = min(t.lastFence+lostJump, numberLimit-1)
		t.nextSeq = min(t.nextSeq+lostJump, numberLimit-1)
	}
	t.reservedFence = t.lastFence
	var ended []*job
	for _, j := range slices.Clone(t.bySeq) {
		if j.forgotten {
			continue
		}
		if j.seq < t.floor {
			t.drop(j)
			continue
		}
		if j.takenLost {
			t.addMissing(j.seq, j.id, "its taken record")
		}
		if j.endedLost && j.outcome == nil {
			t.addMissing(j.seq, j.id, "its ended record, though it was answered")
		}
		if j.outcome != nil {
			t.rebase(now, &j.since)
			ended = append(ended, j)
			continue
		}
		if j.seq <= t.suspectUpTo || t.suspects[j.seq] {
			t.addLostAttempt(j, 0, "")
		}
		t.rebase(now, &j.since)
		for i := range j.attempts {
			a := &j.attempts[i]
			a.ageUnknown = !t.rebase(now, &a.leasedAt)
		}
		resumed = append(resumed, t.planResume(now, j))
	}
	// Jobs ended in the order of their records, which may differ from the order of the converted clocks.
	slices.SortStableFunc(ended, func(a, b *job) int {
		switch {
		case a.since.Mono < b.since.Mono:
			return -1
		case a.since.Mono > b.since.Mono:
			return 1
		}
		return 0
	})
	t.ended = jobList{index: endedLinks}
	for _, j := range ended {
		j.links[endedLinks] = jobLinks{}
		t.ended.add(j)
	}
	t.enforceBounds()
	missing = slices.DeleteFunc(t.missing, func(m Missing) bool { return m.Seq < t.floor })
	t.suspects, t.missing = nil, nil
	return resumed, missing
}

// planResume returns the action for an open job.
func (t *Table) planResume(now Clock, j *job) Resumed {
	r := Resumed{Seq: j.seq, Spec: j.spec, TimeLeft: t.remaining(now, j), Attempts: j.attemptViews(now)}
	switch err := t.checkSend(now, j); err {
	case ErrTakenLost, ErrEndedLost, ErrUnknownClass, ErrTimeOver:
		r.Action, r.Reason = Fail, err.Error()
	default:
		if j.inFlight() != nil {
			r.Action = Wait
			t.startExpiry(now, j)
		} else if err != nil {
			r.Action, r.Reason = Fail, err.Error()
		}
	}
	return r
}
