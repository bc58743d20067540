package recovery

import (
	"maps"
	"slices"
	"time"
)

// Machine is the recovery sequence of one scheduler. It is not safe for concurrent use.
type Machine struct {
	lim            Limits
	began          time.Duration
	step           Step
	since          time.Duration
	wait           Wait
	skipped        map[Awaited]WaitEnd // waits that ended without the awaited event
	without        []SkippedWait
	earlierWithout int // the number of entries of without from earlier steps
	changes        []Change

	found           SnapshotInfo
	ledger          Reason
	fleet           Fleet
	listReceived    bool // this process has received a list from discovery
	index           uint64
	jobsKnown       bool          // the ledger's jobs are known
	jobsKnownAt     time.Duration // since when they are known
	owners          []string
	unheardAttempts int // attempts that still need a listener; -1: not reported
	downtime        Downtime
	doubt           bool
	admitUntil      time.Duration // until when the step Admit continues past its limit, because a surge of clients is about to end
	pacer           *pacer
}

// New starts the recovery sequence. The seed is for the random spread of retry delays.
func New(lim Limits, seed uint64, now time.Duration) *Machine {
	m := &Machine{lim: lim, began: now, since: now, skipped: make(map[Awaited]WaitEnd), unheardAttempts: -1, pacer: newPacer(lim, seed, now)}
	if !lim.HasLedger {
		m.ledger = Missing
	}
	return m
}

// SetSnapshot reports the content of the snapshot, and how long this scheduler was down according to it. It is ignored once the
// step Read is over, because the later steps have proceeded without it.
func (m *Machine) SetSnapshot(now time.Duration, f SnapshotInfo, away Downtime) {
	if m.found.Reason != Unread { // after Read, an unread snapshot counts as missing
		return
	}
	if !f.Reason.Usable() {
		f = SnapshotInfo{Reason: f.Reason}
	}
	m.found, m.downtime = f, away
	m.advance(now)
}

// SetLedger reports the condition of the ledger, once it has been read or cannot be. A partly damaged ledger counts as whole:
// core/leases keeps what is left of it and knows what is missing.
func (m *Machine) SetLedger(now time.Duration, r Reason) {
	if m.step == Read && m.lim.HasLedger && m.ledger == Unread {
		m.ledger = r
	}
	m.advance(now)
}

// SetFleet reports the state of the other schedulers.
func (m *Machine) SetFleet(now time.Duration, f Fleet) {
	m.fleet = Fleet{Peers: slices.Clone(f.Peers), NoneFound: f.NoneFound, LatestSeen: max(f.LatestSeen, m.fleet.LatestSeen)}
	m.advance(now)
}

// SetList reports the provider list: discovery's index and the providers that serve according to it. heard is false for a list
// that was saved in a snapshot or a file.
func (m *Machine) SetList(now time.Duration, index uint64, fromDiscovery bool, serving []Provider, part CapacityShare) {
	if fromDiscovery {
		m.listReceived, m.index = true, index
	}
	m.pacer.setProviders(now, serving, part)
	m.advance(now)
}

// Fresh reports whether the list is from discovery and at least as new as the saved one. A peer's statement or the index
// alone is not enough.
func (m *Machine) Fresh() bool { return m.listReceived && m.index >= m.found.ListIndex }

// SetJobsKnown reports that the ledger's open jobs are known (leases.Table.Recover, and its sync), and which schedulers may own
// some of them. Jobs that must never run twice are offered only after their owners have answered.
func (m *Machine) SetJobsKnown(now time.Duration, owners []string) {
	if m.step < Settle {
		return // the data that it builds on may still change
	}
	if !m.jobsKnown {
		m.jobsKnown, m.jobsKnownAt = true, now
	}
	m.owners = slices.Clone(owners)
	m.advance(now)
}

// SetUnheardAttempts reports for how many attempts that may be in flight there is no listener yet.
func (m *Machine) SetUnheardAttempts(now time.Duration, left int) {
	m.unheardAttempts = left
	m.advance(now)
}

// Proceed ends the current wait on the operators' instruction. They name the step that they have seen; it returns false if
// that step is over or waits for nothing.
func (m *Machine) Proceed(now time.Duration, step Step) bool {
	m.advance(now)
	if m.step != step || m.wait.For == Nothing {
		return false
	}
	m.skipWait(ByOperators)
	m.advance(now)
	return true
}

// Status returns the state of recovery. It has to be called again at Wake at the latest.
func (m *Machine) Status(now time.Duration) Status {
	m.advance(now)
	s := Status{Step: m.step, Since: m.since, Wait: m.wait, LedgerStale: m.doubt, Skipped: slices.Clone(m.without), Wake: m.wait.Until}
	s.Allowed = Allowed{
		Health:    m.step >= Admit && (m.step == Service || m.pacer.slots() > 0),
		CallBacks: m.step >= Carry, OldJobs: m.step >= Ready, NewJobs: m.step >= Admit, NewUnsafe: now >= m.neverHeldUntil(),
		Durable: m.step >= Carry && m.lim.HasLedger && m.ownsLedger(), Paced: m.step < Service,
	}
	if at := m.neverHeldUntil(); at > now && m.step >= Admit && (s.Wake == 0 || at < s.Wake) {
		s.Wake = at
	}
	if m.step >= Ready && m.step < Service {
		at := max(m.pacer.allWarmAt(), m.pacer.nextTurn)
		if m.pacer.waiting() > 0 {
			at = now + m.pacer.planInterval()
		}
		if at > now && (s.Wake == 0 || at < s.Wake) {
			s.Wake = at
		}
	}
	return s
}

// Changes returns the steps that have ended since the last call.
func (m *Machine) Changes() []Change {
	c := m.changes
	m.changes = nil
	return c
}

// ownsLedger reports whether the ledger is present and this scheduler may write it.
func (m *Machine) ownsLedger() bool {
	_, aside := m.skipped[ForLedger]
	return m.ledger != Unread && !m.ledger.foreign() && m.ledger != NewerVersion && !aside
}

// neverHeldUntil returns the time until which no new job that must never run twice is taken. If a ledger may have been lost or rolled
// back, a requested job may have run before. Its client gives up within the longest deadline. If this machine has lost power,
// the time since boot is subtracted from that, whatever the wall clock says.
func (m *Machine) neverHeldUntil() time.Duration {
	lost := !(m.ledger == Intact || m.ledger == FromFuture) && (m.found.HadLedger || !m.found.Reason.Usable()) || !m.ownsLedger()
	if !m.lim.HasLedger || !lost && !m.doubt {
		return 0
	}
	over := time.Duration(0)
	if m.downtime.Power == PowerLost && !m.doubt {
		over = m.downtime.Min
	}
	return m.began + max(0, m.lim.longestDeadline()-over)
}

// advance moves through the steps until one has to wait.
func (m *Machine) advance(now time.Duration) {
	// Others have seen a later process of this name than the disk has: the disk was rolled back, and its records of jobs too.
	if m.found.Reason.Usable() && m.fleet.LatestSeen > m.found.Start && m.lim.HasLedger {
		m.doubt = true
	}
	for m.step < Service {
		m.wait = m.currentWait(now)
		switch {
		case m.wait.For == Nothing:
			m.nextStep(now)
		case m.wait.Until > 0 && now >= m.wait.Until && m.wait.For == ForWarmUp && m.pacer.surgeDeclines(now):
			m.admitUntil = now + m.lim.retryPeriod()
		case m.wait.Until > 0 && now >= m.wait.Until:
			m.skipWait(ByLimit)
		default:
			return
		}
	}
	m.wait = Wait{}
}

// skipWait ends the current wait without the awaited event.
func (m *Machine) skipWait(by WaitEnd) {
	m.skipped[m.wait.For] = by
	m.without = append(m.without, SkippedWait{Wait: m.wait, By: by})
}

func (m *Machine) nextStep(now time.Duration) {
	m.changes = append(m.changes, Change{Step: m.step, Took: now - m.since, Skipped: slices.Clone(m.without[m.earlierWithout:])})
	if m.step == Read && (m.found.Reason == Unread || m.found.Reason.foreign()) {
		m.found = SnapshotInfo{Reason: Missing}
	}
	m.step, m.since, m.earlierWithout = m.step+1, now, len(m.without)
}

// currentWait returns what the current step still waits for.
func (m *Machine) currentWait(now time.Duration) Wait {
	waitFor := func(missing bool, w Awaited, names ...string) bool {
		_, passed := m.skipped[w]
		if !missing || passed {
			return false
		}
		m.wait = Wait{For: w, Names: names}
		if b := m.lim.waitLimit(w); b > 0 {
			m.wait.Until = m.since + b
			switch w {
			case ForOwners:
				m.wait.Until = m.jobsKnownAt + b
			case ForWarmUp:
				m.wait.Until = max(m.wait.Until, m.admitUntil)
			}
		}
		return true
	}
	m.wait = Wait{}
	switch m.step {
	case Read:
		_ = waitFor(m.found.Reason == Unread, ForSnapshot) ||
			waitFor(m.found.Reason.foreign() || m.ledger.foreign() || m.ledger == NewerVersion, ForDisk) ||
			waitFor(m.ledger == Unread, ForLedger)
	case Find:
		names, met := m.foundPeer()
		_ = waitFor(!met, ForPeer, names...)
	case Agree:
		missing := m.missingMembers()
		_ = waitFor(len(missing) > 0 || m.fewerThanExpected(), ForMembers, missing...)
	case Take:
		silent := m.unansweredPeers()
		_ = waitFor(len(silent) > 0, ForPeerState, silent...) || waitFor(!m.Fresh(), ForList)
	case Settle:
		_ = waitFor(m.lim.HasLedger && m.ownsLedger() && !m.jobsKnown, ForLedger) ||
			waitFor(m.lim.HasOwners && m.jobsKnown && len(m.owners) > 0, ForOwners, m.owners...)
	case Carry:
		_ = waitFor(m.lim.HasLedger && m.ownsLedger() && m.unheardAttempts != 0, ForListeners)
	case Ready:
		_ = waitFor(m.pacer.slots() == 0, ForProvider)
	case Admit:
		_ = waitFor(!m.pacer.idle(now), ForWarmUp)
	}
	return m.wait
}

// foundPeer reports whether another scheduler has shared what it knows, or there is none to look for. names are those that ran
// before.
func (m *Machine) foundPeer() (names []string, met bool) {
	for _, b := range m.found.Members {
		names = append(names, b.Name)
	}
	if !m.lim.HasPeers || m.lim.ExpectedSchedulers <= 1 && len(names) == 0 || m.fleet.NoneFound {
		return names, true
	}
	return names, slices.ContainsFunc(m.fleet.Peers, func(p Peer) bool { return p.Reachable && p.Answered && !p.OtherVersion })
}

// inServicePeer reports whether a scheduler that has shared what it knows is in normal service: it knows who is back, and this
// scheduler's absence has not delayed the others.
func (m *Machine) inServicePeer() bool {
	return slices.ContainsFunc(m.fleet.Peers, func(p Peer) bool { return p.Reachable && p.Answered && !p.OtherVersion && p.Step == Service })
}

// missingMembers returns the names of earlier schedulers whose fate nobody knows. A scheduler that is present with an earlier start
// number than before is either a stale report, or its disk was rolled back: it counts once it has taken a later number.
func (m *Machine) missingMembers() []string {
	if !m.lim.HasPeers || m.inServicePeer() {
		return nil
	}
	left := make(map[string]bool)
	for _, b := range m.found.Members {
		left[b.Name] = true
		for _, p := range m.fleet.Peers {
			if p.Name == b.Name && p.Start >= b.Start && (p.Reachable || p.Ended) || p.Name == b.Name && p.OtherVersion {
				delete(left, b.Name)
			}
		}
	}
	return slices.Sorted(maps.Keys(left))
}

// fewerThanExpected reports whether fewer schedulers are present than the settings say, if no snapshot names them.
func (m *Machine) fewerThanExpected() bool {
	if !m.lim.HasPeers || m.found.Reason.Usable() || m.inServicePeer() {
		return false
	}
	n := 1
	for _, p := range m.fleet.Peers {
		if p.Reachable {
			n++
		}
	}
	return n < m.lim.ExpectedSchedulers
}

// unansweredPeers returns the names of schedulers that are present and have not yet shared what they know.
func (m *Machine) unansweredPeers() (names []string) {
	for _, p := range m.fleet.Peers {
		if m.lim.HasPeers && p.Reachable && !p.Answered && !p.OtherVersion {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
}
