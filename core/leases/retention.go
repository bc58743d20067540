package leases

// The approximate memory of an ended job, in bytes: of what must be known of it besides its texts, of its details besides theirs, and
// of each attempt.
const (
	recordOverhead  = 304
	detailsOverhead = 336
	attemptOverhead = 96
)

// recordBytes returns the approximate memory of an ended job whose answer is not in memory.
func (j *job) recordBytes() int64 {
	_, provider, _ := j.lastAttempt()
	return recordOverhead + int64(len(j.id)+len(provider))
}

// bytes returns the approximate memory of an ended job.
func (j *job) bytes() int64 {
	n := j.recordBytes()
	if j.details != nil {
		s := &j.spec
		n += detailsOverhead + int64(len(j.attempts)*attemptOverhead+len(s.Tenant)+len(s.Key)+len(j.outcome.Result)+len(j.outcome.Reason))
	}
	return n
}

// countKept adds an ended job to the counts, or removes it if sign is -1.
func (t *Table) countKept(j *job, sign int64) {
	if sign > 0 {
		j.keptBytes = j.bytes()
	}
	t.counts.KeptBytes += sign * j.keptBytes
	t.counts.RecordBytes += sign * j.recordBytes()
}

// listAnswer puts an ended job into the list that its state asks for.
func (t *Table) listAnswer(j *job) {
	if j.details == nil {
		return
	}
	list := &t.unstored
	switch {
	case j.stored && j.answered:
		list = &t.answered
	case j.stored:
		list = &t.unanswered
	}
	if list == j.list {
		return
	}
	t.leaveList(j)
	j.list = list
	list.add(j)
	if list == &t.unstored {
		t.unstoredBytes += j.keptBytes
	}
}

// leaveList removes an ended job from the list of jobs with their answer in memory that it is in.
func (t *Table) leaveList(j *job) {
	if j.details == nil || j.list == nil {
		return
	}
	if j.list == &t.unstored {
		t.unstoredBytes -= j.keptBytes
	}
	j.list.remove(j)
	j.list = nil
}

// answer returns where the texts of an ended job's outcome are.
func (j *job) answer() Answer {
	if j.details != nil || j.outcome == nil || j.outcome.Kind != Served && j.outcome.Kind != InvalidRequest {
		return Answer{}
	}
	return Answer{InStore: true, Location: j.storedAt}
}

// enforceBounds drops stored answers from memory until KeepBytes is met: first those that a client has received, then the others, the
// oldest first. Where answers cannot be stored and UnstoredBytes is exceeded, the oldest of these is lost: its job counts as failed from
// then on. No job is forgotten.
func (t *Table) enforceBounds() {
	for t.counts.KeptBytes > t.opt.KeepBytes {
		j := t.answered.head
		if j == nil {
			j = t.unanswered.head
		}
		if j == nil {
			break
		}
		t.dropAnswer(j)
	}
	for t.unstoredBytes > t.opt.UnstoredBytes {
		t.loseAnswer(t.unstored.head)
	}
}

// The outcomes of jobs whose texts were dropped, shared by all of them.
var (
	servedOutcome  = &Outcome{Kind: Served}
	failedOutcome  = &Outcome{Kind: Failed}
	invalidOutcome = &Outcome{Kind: InvalidRequest}
)

// dropAnswer drops the details of an ended job from memory. Its answer is in the store.
func (t *Table) dropAnswer(j *job) {
	t.counts.AnswersDropped++
	t.dropDetails(j)
}

// loseAnswer drops the details of an ended job whose end is not in the store. Nothing is sent for it again.
func (t *Table) loseAnswer(j *job) {
	t.counts.AnswersLost++
	if j.outcome.Kind == Served || j.outcome.Kind == InvalidRequest {
		t.replaceOutcome(j, Outcome{Kind: Failed})
	}
	t.dropDetails(j)
}

func (t *Table) dropDetails(j *job) {
	t.leaveList(j)
	t.countKept(j, -1)
	j.lastFence, j.lastProvider, _ = j.lastAttempt()
	j.details = nil
	switch out := j.outcome; {
	case out.Kind == Served:
		j.outcome = servedOutcome
	case out.Kind == InvalidRequest:
		j.outcome = invalidOutcome
	case out.Kind == Failed && out.RetryAfter == 0:
		j.outcome = failedOutcome
	default:
		j.outcome = &Outcome{Kind: out.Kind, RetryAfter: out.RetryAfter}
	}
	t.countKept(j, 1)
}

// MarkStored records that the end of the job is on disk, at a location of the store. From then on its answer need not stay in memory.
func (t *Table) MarkStored(seq Seq, at Location) {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil {
		return
	}
	j.stored, j.storedAt = true, at
	t.listAnswer(j)
	t.enforceBounds()
}

// MarkAnswered records that the whole answer of the job has been written to a client.
func (t *Table) MarkAnswered(seq Seq) Step {
	j := t.jobs[seq]
	if j == nil || j.outcome == nil || j.answered {
		return Step{}
	}
	j.answered = true
	t.listAnswer(j)
	return Step{Records: []Record{{Kind: Answered, Seq: seq}}}
}

// ForgetExpired forgets the jobs that ended at least Keep ago. It returns how many it forgot and the lowest job number that is
// still needed. Before the store drops older records, it makes sure that a Mark made after this call is on disk (see
// [Table.Mark]).
func (t *Table) ForgetExpired(now Clock) (forgotten int, oldest Seq) {
	for t.ended.head != nil && elapsedSince(now, t.ended.head.since) >= t.opt.Keep {
		t.drop(t.ended.head)
		forgotten++
	}
	return forgotten, t.advanceFloor()
}

// advanceFloor advances the floor to the lowest job number that is still needed and returns it.
func (t *Table) advanceFloor() Seq {
	n := 0
	for n < len(t.bySeq) && t.bySeq[n].forgotten {
		t.bySeq[n] = nil
		n++
	}
	t.bySeq = t.bySeq[n:]
	t.forgottenCount -= n
	t.floor = t.nextSeq
	if len(t.bySeq) > 0 {
		t.floor = t.bySeq[0].seq
	}
	return t.floor
}

// Mark returns the record of what must outlive the jobs: the next job number, the reserved fences, and the number below
// which all jobs are forgotten. The store writes a new one, and waits until it is on disk, before it drops older records.
func (t *Table) Mark() Record {
	return Record{Kind: Mark, Seq: t.nextSeq, Fence: t.reservedFence, Floor: t.floor}
}

// drop forgets a job.
func (t *Table) drop(j *job) {
	t.expiries.remove(j)
	if j.outcome != nil {
		t.ended.remove(j)
		t.leaveList(j)
		t.counts.Kept--
		t.countKept(j, -1)
	} else {
		t.counts.Open--
	}
	delete(t.jobs, j.seq)
	if t.byID[j.id] == j {
		delete(t.byID, j.id)
	}
	*j = job{seq: j.seq, forgotten: true}
	if t.forgottenCount++; t.forgottenCount > 64 && t.forgottenCount > len(t.bySeq)/2 {
		live := make([]*job, 0, len(t.bySeq)-t.forgottenCount+64)
		for _, k := range t.bySeq {
			if !k.forgotten {
				live = append(live, k)
			}
		}
		t.bySeq, t.forgottenCount = live, 0
	}
}
