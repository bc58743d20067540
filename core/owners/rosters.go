package owners

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Candidate is a scheduler that may join the next roster, with its state in the membership.
type Candidate struct {
	Process
	Reached           bool // the membership considers it present
	Leaving           bool // it announced that it will stop: it stores nothing new but still answers
	Disabled          bool // it stores no records, because the feature is disabled there
	CapabilityUnknown bool // no message from it has shown yet whether it stores records
}

// Membership is the fleet as this scheduler's membership sees it.
type Membership struct {
	All            []Candidate // all other schedulers that may be running
	Leaving        bool        // this scheduler will stop
	Majority       bool        // this scheduler reaches a majority, or does not need one
	FleetContacted bool        // this scheduler has contacted the fleet
}

// Rosters manages one scheduler's transition from one roster to the next. It is not safe for concurrent use.
type Rosters struct {
	me                Process
	k                 int
	recordLifetime    time.Duration // maximum lifetime of a record
	unknownRosterWait time.Duration // how long a fleet in which no member knows a roster waits, as earlier records may still be valid
	settleTime        time.Duration // how long the membership must be unchanged before this scheduler starts to read for a roster itself
	startedAt         time.Duration

	membership    Membership
	next          Roster        // the roster according to the current membership
	nextSince     time.Duration // when next last changed
	present       Roster        // in force, or being read for
	last          Roster        // in force before present; zero value: none
	reading       bool
	readSince     time.Duration // when the read for present began
	readRounds    uint64        // number of reads begun
	rosterKnown   bool
	announced     Roster             // the roster that another member last reported to be in force there
	abandoned     []Roster           // rosters read for since last; they may be in force at members that received this scheduler's records
	incomplete    []incompleteRoster // previous rosters that were read incompletely
	overflowUntil time.Duration      // until when the list incomplete omits rosters, as it overflowed; nothing is stored before
	membershipAt  time.Duration      // time of the last Look
	transferred   map[Process]bool   // members that have transferred their records for present
	previous      map[uint64]Roster  // previous rosters that were in force at some member, by digest
	endedAt       map[Process]time.Duration
	proxies       map[Process]Process // ended processes, and the member that transfers records on their behalf
	formers       []Former            // ended processes with this scheduler's name, whose records it transfers
	changes       uint64              // number of changes to the result of State
	BlockReason   string              // what blocks the next roster, as text for operators; empty: nothing
}

// NewRosters returns a Rosters without a roster. life is the maximum lifetime of a record. first is how long a fleet in which no
// member knows a roster waits, and settle how long the membership must be unchanged before a read begins.
func NewRosters(me Process, k int, life, first, settle, now time.Duration) *Rosters {
	return &Rosters{me: me, k: k, recordLifetime: life, unknownRosterWait: first, settleTime: settle, startedAt: now, previous: make(map[uint64]Roster),
		transferred: make(map[Process]bool), endedAt: make(map[Process]time.Duration), proxies: make(map[Process]Process)}
}

// ExtendLifetime raises the maximum lifetime of a record. It never lowers it: existing records remain valid for their lifetime.
func (r *Rosters) ExtendLifetime(life time.Duration) { r.recordLifetime = max(r.recordLifetime, life) }

// Resume continues with the roster of the previous process, which had the same start time and whose records this one has all taken over.
func (r *Rosters) Resume(all []Process, now time.Duration) {
	if len(all) == 0 {
		return
	}
	r.rosterKnown = true
	r.present, r.reading = NewRoster(all, r.k), false
	r.changes++
	r.previous[r.present.digest] = r.present
	r.startedAt = now
}

// Former is the stored state of an ended process with this scheduler's name: the rosters under which it stored records, and the
// incompletely read ones. A scheduler that has all of its records transfers them on its behalf, so the other members need not wait
// until they expire.
type Former struct {
	Process           Process
	Until             time.Duration // when the last of its records expires
	StoredUnder       [][]Process   // [Rosters.StoredUnder] of that process, and the roster that was being read for
	IncompleteRosters [][]Process   // [Rosters.IncompleteRosters] of that process
}

// Inherit adds the state of former processes. This scheduler's table must already hold all of their records that are still valid.
// Inherit must be called before the first Look.
func (r *Rosters) Inherit(formers []Former) {
	r.formers = formers
	for _, f := range formers {
		for _, last := range f.StoredUnder {
			r.AddPrevious(last)
		}
		r.MergeIncomplete(f.IncompleteRosters)
		r.rosterKnown = r.rosterKnown || len(f.StoredUnder) > 0
	}
}

// SetProxy notes that a member announced to transfer the records of ended processes. Those processes then count as reachable; whether
// the member really transfers them shows when it has done so.
func (r *Rosters) SetProxy(member Process, formers []Process) {
	if len(r.proxies)+len(formers) > maxProxies {
		clear(r.proxies) // the members repeat their announcements
	}
	for _, p := range formers {
		r.proxies[p] = member
	}
}

// maxProxies limits the number of ended processes for which a proxy is stored.
const maxProxies = 1024

// Formers returns the former processes whose records may still be valid.
func (r *Rosters) Formers(now time.Duration) []Former {
	r.formers = slices.DeleteFunc(r.formers, func(f Former) bool { return now >= f.Until })
	return r.formers
}

// Changes counts the changes to the result of State. The mere removal of an incompletely read roster is not counted: the only cost
// of a stored state that lists too many is a longer wait.
func (r *Rosters) Changes() uint64 { return r.changes }

// State returns what the next process with this scheduler's name must know about this one's rosters if it takes over its records.
func (r *Rosters) State() (lasts, unsure [][]Process) {
	lasts = slices.DeleteFunc(r.StoredUnder(), func(last []Process) bool { return len(last) == 0 })
	if r.reading && len(r.present.all) > 0 { // it may be in force at members that received this scheduler's records
		lasts = append(lasts, r.present.all)
	}
	return lasts, r.IncompleteRosters()
}

// Overflowed reports whether the list of incompletely read rosters overflowed, so that the result of State is incomplete.
func (r *Rosters) Overflowed() bool { return r.membershipAt < r.overflowUntil }

// Roster returns the roster in force here, and whether there is one.
func (r *Rosters) Roster() (Roster, bool) {
	if !r.inForce() {
		return Roster{}, false
	}
	return r.present, true
}

func (r *Rosters) inForce() bool {
	return !r.reading && r.present.digest != 0 && r.membershipAt >= r.overflowUntil
}

// UpdateMembership stores the current view of the fleet, derives the next roster from it, and notes which members of earlier rosters have ended.
func (r *Rosters) UpdateMembership(now time.Duration, g Membership) {
	r.membershipAt = now
	r.membership = g
	all := make([]Process, 0, len(g.All)+1)
	if !g.Leaving {
		all = append(all, r.me)
	}
	running := map[Process]bool{r.me: true}
	for _, c := range g.All {
		running[c.Process] = true
		if !c.Leaving && !c.Disabled {
			all = append(all, c.Process)
		}
	}
	maps.DeleteFunc(r.proxies, func(_, member Process) bool { return !running[member] })
	if next := NewRoster(all, r.k); next.digest != r.next.digest {
		r.next, r.nextSince = next, now
	}
	earlier := slices.Collect(maps.Values(r.previous))
	for _, d := range r.incomplete {
		earlier = append(earlier, d.roster)
	}
	for p := range r.endedAt {
		if !slices.ContainsFunc(earlier, func(b Roster) bool { return b.Has(p) }) {
			delete(r.endedAt, p)
		}
	}
	r.pruneIncomplete(now)
	for _, b := range earlier {
		for _, p := range b.all {
			if _, known := r.endedAt[p]; !running[p] && !known {
				r.endedAt[p] = now
			} else if running[p] {
				delete(r.endedAt, p)
			}
		}
	}
}

// worthReading reports whether to read for the next roster: it differs from the present one, and enough members are reachable to put it
// in force, so that giving up the present one is worthwhile.
func (r *Rosters) worthReading(now time.Duration) bool {
	if len(r.next.all) == 0 || r.next.digest == r.present.digest {
		return false
	}
	return r.blockedBy(now, r.reachable()) == ""
}

// Reaches reports whether the membership considers a process reachable.
func (r *Rosters) Reaches(p Process) bool {
	for _, c := range r.membership.All {
		if c.Process == p {
			return c.Reached
		}
	}
	return p == r.me
}

// reachable returns the processes whose records can be obtained: reachable members, and former processes with a reachable proxy.
func (r *Rosters) reachable() map[Process]bool {
	reachable := map[Process]bool{r.me: true}
	for _, c := range r.membership.All {
		if c.Reached {
			reachable[c.Process] = true
		}
	}
	for _, f := range r.formers {
		reachable[f.Process] = true
	}
	for former, member := range r.proxies {
		if reachable[member] {
			reachable[former] = true
		}
	}
	return reachable
}

// blockedBy returns what still blocks the next roster if the given processes have transferred their records. Empty means nothing does.
func (r *Rosters) blockedBy(now time.Duration, transferred map[Process]bool) string {
	switch {
	case now < r.overflowUntil:
		return "too many rosters are in doubt"
	case !r.membership.FleetContacted:
		return "the fleet has not been met"
	case !r.membership.Majority:
		return "no majority of schedulers is reached"
	}
	if !r.rosterKnown && now-r.startedAt < r.unknownRosterWait {
		return "nobody remembers a roster: records of before may still count"
	}
	if len(r.previous) == 0 { // the present members may have a roster in force and not have reported it yet
		n := 0
		for _, p := range r.next.all {
			if transferred[p] {
				n++
			}
		}
		if 2*n <= len(r.next.all) {
			return "too many members of the roster cannot be asked"
		}
	}
	// A successor of a roster needs the records of a majority of its members. Two successors therefore share a member that
	// transferred its records to both and informed the second about the first, so they cannot form without knowledge of each other.
	// If exactly half have transferred theirs, the half with the first member counts.
	//
	// Processes that ended so long ago that all their records have expired are left out and do not count as transferred:
	// two majorities that share only such processes would not know of each other.
	for _, b := range r.previous {
		living := slices.DeleteFunc(slices.Clone(b.all), func(p Process) bool { return r.recordsExpired(now, p) })
		n := 0
		for _, p := range living {
			if transferred[p] {
				n++
			}
		}
		if 2*n < len(living) || len(living) > 0 && 2*n == len(living) && !transferred[living[0]] {
			return "too many of those that kept records cannot be asked"
		}
	}
	return ""
}

// BeginRead starts to read for the next roster if it is time, and returns the members to ask and the digest of the roster, or 0 if there
// is nothing to ask. Once a read has begun, no roster is in force here until enough members have transferred their records.
func (r *Rosters) BeginRead(now time.Duration) (ask []Process, digest uint64) {
	if !r.reading || r.present.digest != r.next.digest {
		// A member without a roster in force has nothing to give up, so it need not check that the read can complete.
		if len(r.next.all) == 0 || now-r.nextSince < r.settleTime || r.inForce() && !r.worthReading(now) {
			if r.next.digest != r.present.digest {
				r.BlockReason = cmp.Or(r.blockedBy(now, r.reachable()), "members come and go")
			}
			if !r.reading && len(r.incomplete) > 0 && r.next.digest == r.present.digest {
				return r.notTransferred(), r.present.digest // a member that has returned may have the missing records
			}
			return nil, 0
		}
		r.startRead(now)
	}
	return r.notTransferred(), r.present.digest
}

// notTransferred returns the reachable members that have not transferred their records.
func (r *Rosters) notTransferred() (ask []Process) {
	for _, c := range r.membership.All {
		if c.Reached && !c.Disabled && !r.transferred[c.Process] {
			ask = append(ask, c.Process)
		}
	}
	return ask
}

// startRead begins a read for the next roster. The previous roster is no longer in force here.
func (r *Rosters) startRead(now time.Duration) {
	switch {
	case r.present.digest == 0:
	case r.reading:
		if !slices.ContainsFunc(r.abandoned, func(t Roster) bool { return t.digest == r.present.digest }) {
			r.abandoned = append(r.abandoned, r.present)
		}
		r.previous[r.present.digest] = r.present
	default:
		r.last = r.present
		r.previous[r.last.digest] = r.last
	}
	r.present, r.reading, r.readSince = r.next, true, now
	r.readRounds++
	r.changes++
	clear(r.transferred)
	r.transferred[r.me] = true
	for _, f := range r.Formers(now) {
		r.transferred[f.Process] = true
	}
}

// AcceptSync handles a member's Sync message for a roster, and reports whether this scheduler agrees on that roster. If so, no other
// roster is in force here any more and the caller transfers the records; if not, the member asks again later.
func (r *Rosters) AcceptSync(now time.Duration, digest uint64) bool {
	if now < r.overflowUntil {
		return false // the records could not be transferred with a complete list of the missing ones
	}
	if digest != r.next.digest {
		return digest == r.present.digest && !r.reading
	}
	if r.present.digest != digest {
		// A scheduler that could not complete the read keeps its present roster. Otherwise no member would have a roster in force
		// while too many members of the present one are gone.
		if r.inForce() && r.blockedBy(now, r.reachable()) != "" {
			return false
		}
		r.startRead(now)
	}
	return true
}

// IsNext reports whether a digest is that of this scheduler's next roster.
func (r *Rosters) IsNext(digest uint64) bool { return digest == r.next.digest }

// KnowsRoster reports whether this scheduler knows that some roster has been in force, from its own state or from another member.
// Rosters that were only read for do not count.
func (r *Rosters) KnowsRoster() bool { return r.rosterKnown }

// SetRosterKnown notes that another member knows of a roster that has been in force.
func (r *Rosters) SetRosterKnown() { r.rosterKnown = true }

// SetAnnounced notes a roster that is in force at another member. A scheduler without a roster of its own can put records under it.
func (r *Rosters) SetAnnounced(all []Process) { r.announced = NewRoster(all, r.k) }

// PutRoster returns the roster under which this scheduler puts records: its own, or while it has none, the one in force at another member.
func (r *Rosters) PutRoster() (Roster, bool) {
	if own, ok := r.Roster(); ok {
		return own, true
	}
	return r.announced, r.announced.digest != 0
}

// Target returns the roster that is being read for or is in force.
func (r *Rosters) Target() Roster { return r.present }

// ReadRounds counts the reads begun. Records transferred for an earlier read do not count for a later one, even of the same roster: the
// sender may have stored records under another roster since.
func (r *Rosters) ReadRounds() uint64 { return r.readRounds }

// IsReading reports whether members' records are being read for that roster: until it is in force, and while records may be missing.
func (r *Rosters) IsReading(digest uint64) bool {
	return digest == r.present.digest && digest != 0 && (r.reading || len(r.incomplete) > 0)
}

// AddPrevious adds a previous roster that has been in force at some member.
func (r *Rosters) AddPrevious(last []Process) {
	// It may be the roster that is being read for: it can be in force at others while this scheduler, one of its members, has no records yet.
	if b := NewRoster(last, r.k); len(last) > 0 {
		r.previous[b.digest] = b
	}
}

// MarkTransferred notes that a member has transferred all records that it held for this scheduler. [Rosters.AddPrevious] must be called first with
// the rosters that came with them.
func (r *Rosters) MarkTransferred(from Process, digest uint64) {
	if !r.IsReading(digest) {
		return
	}
	r.transferred[from] = true
	for i := range r.incomplete {
		r.incomplete[i].missing = slices.DeleteFunc(r.incomplete[i].missing, func(p Process) bool { return p == from })
	}
	r.pruneIncomplete(0)
}

// pruneIncomplete removes rosters of which too few members are missing to hide a record.
func (r *Rosters) pruneIncomplete(now time.Duration) {
	r.incomplete = slices.DeleteFunc(r.incomplete, func(d incompleteRoster) bool {
		n := 0
		for _, p := range d.missing {
			if !r.recordsExpired(now, p) {
				n++
			}
		}
		return n < d.roster.Quorum()
	})
}

// Complete puts the target roster in force if enough members have transferred their records. It returns true only in the call that
// does so.
func (r *Rosters) Complete(now time.Duration) (installed bool) {
	if !r.reading || r.present.digest != r.next.digest {
		return false
	}
	// Wait for all reachable members for a while, so that each record has all of its keepers again. The wait is limited, as a member
	// that only others can reach must not block the roster. A scheduler that knows of no roster waits for every member, as any of
	// them may know one.
	for _, c := range r.membership.All {
		if c.Reached && !c.Disabled && !r.transferred[c.Process] && (now-r.readSince < r.settleTime || !r.rosterKnown) {
			r.BlockReason = "not all members have told what they keep"
			return false
		}
	}
	if r.BlockReason = r.blockedBy(now, r.transferred); r.BlockReason != "" {
		return false
	}
	r.reading, r.abandoned, r.rosterKnown = false, nil, true
	r.changes++
	for _, b := range r.previous {
		var missing []Process
		for _, p := range b.all {
			if !r.transferred[p] && !r.recordsExpired(now, p) {
				missing = append(missing, p)
			}
		}
		if len(missing) >= b.Quorum() { // fewer cannot be a majority of any id's keepers
			r.addIncomplete(b, missing)
		}
	}
	r.pruneIncomplete(now)
	clear(r.previous)
	r.previous[r.present.digest] = r.present
	return true
}
