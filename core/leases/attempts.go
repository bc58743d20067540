package leases

import (
	"time"
)

// attempt is one lease of a job.
type attempt struct {
	fence      Fence
	provider   string
	address    string
	leasedAt   Clock
	ageUnknown bool // the age is not known, because the clock may have stepped
	duration   time.Duration
	inFlight   bool
	mayHaveRun bool // it may have run; also true while it is in flight
	begun      bool
}

// checkSend returns an error if the job must not be sent again, given that no attempt is in flight.
func (t *Table) checkSend(now Clock, j *job) error {
	switch {
	case j.takenLost:
		return ErrTakenLost
	case j.endedLost:
		return ErrEndedLost
	case j.class == nil:
		return ErrUnknownClass
	case t.remaining(now, j) <= 0:
		return ErrTimeOver
	}
	for i := range j.attempts {
		a := &j.attempts[i]
		if !a.mayHaveRun || j.class.Effect == Safe {
			continue
		}
		switch {
		case j.class.Effect == Unsafe:
			return ErrMayHaveRun
		case a.ageUnknown || elapsedSince(now, a.leasedAt) > j.class.Window:
			return ErrWindowOver
		case a.provider == "" && j.class.Group != All:
			return ErrProviderUnknown
		}
	}
	return nil
}

// Lease leases the job to a provider, at its address if one is given, or returns an error that names the rule which
// forbids it. The lease expires when there is no sign of life for the time until (0: never). For a keyed job Lease checks
// the window; the decision module checks the group. The records of the Step must be on disk before the attempt is sent
// (rules B2, B4 and B5).
func (t *Table) Lease(now Clock, seq Seq, provider string, until time.Duration,
	address ...string) (Fence, Step, error) {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return 0, Step{}, ErrUnknown
	case j.outcome != nil:
		return 0, Step{}, ErrEnded
	case j.inFlight() != nil:
		return 0, Step{}, ErrLeased
	case len(j.attempts) >= maxAttempts:
		return 0, Step{}, ErrTooManyLeases
	case provider == "" || len(provider) > MaxText:
		return 0, Step{}, ErrTooLong
	case t.lastFence >= numberLimit-fenceBlock-1:
		return 0, Step{}, ErrNumbersExhausted
	}
	if err := t.checkSend(now, j); err != nil {
		return 0, Step{}, err
	}
	until = max(0, until)
	addr := ""
	if len(address) > 0 && len(address[0]) <= MaxText {
		addr = address[0]
	}
	t.lastFence++
	var recs []Record
	if t.lastFence > t.reservedFence {
		t.reservedFence = t.lastFence + fenceBlock - 1
		t.markFence = t.lastFence
		recs = append(recs, t.Mark())
	}
	if j.class.Effect == Unsafe {
		// Rule B4: written again, because the first write of these records need not have reached the disk.
		for i := range j.attempts {
			recs = append(recs, Record{Kind: Over, Seq: seq, Fence: j.attempts[i].fence, Never: true})
		}
	}
	recs = append(recs, Record{Kind: Leased, Seq: seq, Fence: t.lastFence, Clock: now, Provider: provider, Address: addr,
		Spec: Spec{ID: j.spec.ID, Digest: j.spec.Digest}, Try: len(j.attempts), Span: until})
	j.attempts = append(j.attempts,
		attempt{fence: t.lastFence, provider: provider, address: addr, leasedAt: now, duration: until, inFlight: true, mayHaveRun: true})
	t.startExpiry(now, j)
	return t.lastFence, Step{recs, true}, nil
}

// startExpiry starts the expiry time of the lease in flight.
func (t *Table) startExpiry(now Clock, j *job) {
	j.lastSeen = now.Mono
	if a := j.inFlight(); a.duration > 0 {
		j.expiresAt = now.Mono + int64(a.duration)
		t.expiries.add(j)
	}
}

// CheckLease checks whether a lease may still be used once its records are on disk, as the write may have taken long. If it
// returns an error, nothing may be sent, and the host calls Over with never.
func (t *Table) CheckLease(now Clock, seq Seq, fence Fence) error {
	j := t.jobs[seq]
	switch {
	case j == nil:
		return ErrUnknown
	case j.outcome != nil:
		return ErrEnded
	}
	a := j.inFlightWith(fence)
	if a == nil {
		return ErrLeaseInvalid
	}
	a.mayHaveRun = false
	err := t.checkSend(now, j)
	a.mayHaveRun = true
	return err
}

// CancelLease cancels a lease whose records could not be written. Nothing was sent under it.
func (t *Table) CancelLease(seq Seq, fence Fence) {
	if fence == t.markFence {
		t.reservedFence = min(t.reservedFence, t.lastFence) // the next lease writes a Mark again
	}
	if j := t.jobs[seq]; j != nil {
		t.closeAttempt(j, fence, true)
	}
}

// closeAttempt ends the attempt with that fence and reports whether it was in flight.
func (t *Table) closeAttempt(j *job, fence Fence, never bool) bool {
	a := j.inFlightWith(fence)
	if a == nil {
		return false
	}
	a.inFlight, a.mayHaveRun = false, !never
	t.expiries.remove(j)
	return true
}

// BeginAttempt records a provider's report that the job has begun there. It also counts as a sign of life.
func (t *Table) BeginAttempt(now Clock, seq Seq, fence Fence) Step {
	j := t.jobs[seq]
	if j == nil {
		return Step{}
	}
	a := j.inFlightWith(fence)
	if a == nil {
		return Step{}
	}
	t.RenewLease(now, seq, fence)
	if a.begun {
		return Step{}
	}
	a.begun = true
	return Step{Records: []Record{{Kind: Begun, Seq: seq, Fence: fence}}}
}

// RenewLease records a sign of life for a lease. The lease is renewed for its full duration, even if it had expired.
func (t *Table) RenewLease(now Clock, seq Seq, fence Fence) {
	j := t.jobs[seq]
	if j == nil {
		return
	}
	a := j.inFlightWith(fence)
	if a == nil {
		return
	}
	j.lastSeen = max(j.lastSeen, now.Mono)
	if a.duration > 0 {
		j.expiresAt = max(j.expiresAt, now.Mono+int64(a.duration))
		if j.heapIndex < 0 {
			t.expiries.add(j)
		}
	}
}

// EndAttempt ends an attempt; the job stays open. never means that the attempt is proven never to have run.
func (t *Table) EndAttempt(now Clock, seq Seq, fence Fence, never bool) Step {
	j := t.jobs[seq]
	if j == nil || !t.closeAttempt(j, fence, never) {
		return Step{}
	}
	return Step{Records: []Record{{Kind: Over, Seq: seq, Fence: fence, Never: never}}}
}

// MatchReport reports whether a provider's report on the job of that id is valid, and for which lease. A report that names a
// lease must name the one in flight and come from the provider that holds it. Fence 0 means that the report names no
// lease; then the provider's name decides. Other reports are counted as stale, except repeats for the lease under which
// the job ended: for these the result is the lease's fence and false, and, as B3 applies to them too, the host acknowledges
// them once all appended records are on disk. Seq is 0 if no job of that id is known.
func (t *Table) MatchReport(id, provider string, fence Fence) (Seq, Fence, bool) {
	j := t.byID[id]
	if j == nil {
		return 0, 0, false
	}
	if last, lastProvider, inFlight := j.lastAttempt(); last != 0 || lastProvider != "" {
		fits := provider == lastProvider && fence == 0 || fence == last && (provider == lastProvider || lastProvider == "")
		switch {
		case fits && inFlight:
			return j.seq, last, true
		case fits && j.outcome != nil:
			return j.seq, last, false
		}
	}
	t.counts.StaleReports++
	return j.seq, 0, false
}

// Expired returns the leases that have expired since the last call. They stay valid until the attempt is over or the job
// has ended: the decision module decides what to do with them. A lease that is renewed afterwards can expire again.
func (t *Table) Expired(now Clock) (out []Lease) {
	for len(t.expiries) > 0 && t.expiries[0].heapKey <= now.Mono {
		j := t.expiries[0]
		if j.expiresAt > now.Mono {
			t.expiries.add(j)
			continue
		}
		t.expiries.remove(j)
		a := j.inFlight()
		out = append(out, Lease{Seq: j.seq, Fence: a.fence, ID: j.spec.ID, Class: j.spec.Class, Provider: a.provider,
			Begun: a.begun, SilentFor: time.Duration(now.Mono - j.lastSeen)})
	}
	return out
}

// attemptViews returns the job's attempts in their exported form.
func (j *job) attemptViews(now Clock) []Attempt {
	if len(j.attempts) == 0 {
		return nil
	}
	out := make([]Attempt, len(j.attempts))
	for i := range j.attempts {
		a := &j.attempts[i]
		out[i] = Attempt{Provider: a.provider, Address: a.address, Fence: a.fence, AgeKnown: !a.ageUnknown,
			MayHaveRun: a.mayHaveRun, InFlight: a.inFlight, Begun: a.begun}
		if !a.ageUnknown {
			out[i].Age = elapsedSince(now, a.leasedAt)
		}
	}
	return out
}

// lastAttempt returns the fence and the provider of the job's last attempt, zero if there is none, and whether it is in flight.
func (j *job) lastAttempt() (fence Fence, provider string, inFlight bool) {
	if j.details == nil {
		return j.lastFence, j.lastProvider, false
	}
	if n := len(j.attempts); n > 0 {
		a := &j.attempts[n-1]
		return a.fence, a.provider, a.inFlight
	}
	return 0, "", false
}

// inFlight returns the attempt in flight, or nil. Only the last attempt can be in flight.
func (j *job) inFlight() *attempt {
	if j.details == nil {
		return nil
	}
	if n := len(j.attempts); n > 0 && j.attempts[n-1].inFlight {
		return &j.attempts[n-1]
	}
	return nil
}

// inFlightWith returns the attempt in flight if it has that fence, or nil.
func (j *job) inFlightWith(fence Fence) *attempt {
	if a := j.inFlight(); a != nil && a.fence == fence {
		return a
	}
	return nil
}
