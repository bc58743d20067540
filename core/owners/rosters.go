package owners

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Candidate is a scheduler that may be of the next roster, as the membership has it.
type Candidate struct {
	Process
	Reached  bool // it is taken for present
	Leaving  bool // by its own word it will be over: it keeps nothing new, and can still be asked
	Unable   bool // it keeps no records: it has the feature off
	Stranger bool // nothing was heard of it that says whether it does
}

// Ground is what the membership says of all.
type Ground struct {
	All      []Candidate // who may run, but for this scheduler
	Leaving  bool        // this one will be over
	Majority bool        // this scheduler reaches a majority, or need not
	Met      bool        // it has met the fleet
}

// Rosters is one scheduler's way from one roster to the next. It is not safe for concurrent use.
type Rosters struct {
	me     Process
	k      int
	life   time.Duration // how long a record counts at most
	first  time.Duration // how long a fleet in which nobody remembers a roster waits for records of before
	settle time.Duration // for which the membership must have stood still before this scheduler asks for a roster itself
	began  time.Duration

	ground    Ground
	next      Roster        // by the membership as it is
	since     time.Duration // next is what it is
	present   Roster        // kept by, or being read for
	last      Roster        // kept by before that; none: by none
	reading   bool
	asked     time.Duration // since when
	rounds    uint64        // readings that were begun
	remembers bool
	heard     Roster            // that by which somebody said last that it keeps
	tried     []Roster          // those that were read for since last, and may be in force at others by this one's help
	doubts    []doubt           // what was not read for present
	crowded   time.Duration     // until when there is more in doubt than is noted: nothing is kept
	looked    time.Duration     // when the membership was looked at last
	told      map[Process]bool  // of present: who has told what it kept
	before    map[uint64]Roster // those that some have kept by before
	gone      map[Process]time.Duration
	proxies   map[Process]Process // processes that are over, and who tells for them
	formers   []Former            // processes of this scheduler's name that are over, and for which it tells
	changes   uint64              // of what State returns
	Why       string              // what is waited for, in words for operators; empty: nothing
}

// NewRosters begins with no roster. life is how long any record counts; first and settle as above.
func NewRosters(me Process, k int, life, first, settle, now time.Duration) *Rosters {
	return &Rosters{me: me, k: k, life: life, first: first, settle: settle, began: now, before: make(map[uint64]Roster),
		told: make(map[Process]bool), gone: make(map[Process]time.Duration), proxies: make(map[Process]Process)}
}

// Live takes how long any record counts, if that is longer than before: those of before still do.
func (r *Rosters) Live(life time.Duration) { r.life = max(r.life, life) }

// Resume goes on with the roster of the process before this one, which had the same start and all of its records.
func (r *Rosters) Resume(all []Process, now time.Duration) {
	if len(all) == 0 {
		return
	}
	r.remembers = true
	r.present, r.reading = NewRoster(all, r.k), false
	r.changes++
	r.before[r.present.digest] = r.present
	r.began = now
}

// Former is what a process of this scheduler's name, which is over, has left on disk: the rosters by which it kept records, and
// what was in doubt there. A scheduler that has all of its records tells them in its place, so that nobody has to wait until they
// count no more.
type Former struct {
	Process Process
	Until   time.Duration // from then on nothing that it kept counts any more
	Lasts   [][]Process   // as [Rosters.Lasts] of that process, and the one that was being read for
	Unsure  [][]Process   // as [Rosters.Unsure]
}

// Inherit takes what former processes have left. All of their records that still count must be in this scheduler's table by then.
// It is called before the first Look.
func (r *Rosters) Inherit(formers []Former) {
	r.formers = formers
	for _, f := range formers {
		for _, last := range f.Lasts {
			r.Before(last)
		}
		r.Doubted(f.Unsure)
		r.remembers = r.remembers || len(f.Lasts) > 0
	}
}

// Tells takes word that a member tells for processes that are over. Whether it does is known once it has; until then this says that
// they can be asked.
func (r *Rosters) Tells(member Process, formers []Process) {
	if len(r.proxies)+len(formers) > mostProxies {
		clear(r.proxies) // they say so again
	}
	for _, p := range formers {
		r.proxies[p] = member
	}
}

// mostProxies is for how many processes that are over it is remembered who tells for them.
const mostProxies = 1024

// Formers are the former processes whose records may still count.
func (r *Rosters) Formers(now time.Duration) []Former {
	r.formers = slices.DeleteFunc(r.formers, func(f Former) bool { return now >= f.Until })
	return r.formers
}

// Changes counts the changes of what State returns. A change that only ends doubts is none: who reads of more of them than there
// are waits for nothing worse.
func (r *Rosters) Changes() uint64 { return r.changes }

// State is what the next process of this scheduler's name has to know of the rosters by which this one keeps, if it has this one's
// records.
func (r *Rosters) State() (lasts, unsure [][]Process) {
	lasts = slices.DeleteFunc(r.Lasts(), func(last []Process) bool { return len(last) == 0 })
	if r.reading && len(r.present.all) > 0 { // others may keep by it with this one's help
		lasts = append(lasts, r.present.all)
	}
	return lasts, r.Unsure()
}

// Crowded tells whether more is in doubt than is noted: what State returns does not tell all of it.
func (r *Rosters) Crowded() bool { return r.looked < r.crowded }

// Roster is the one by which records are kept here now, or none.
func (r *Rosters) Roster() (Roster, bool) {
	if !r.keeps() {
		return Roster{}, false
	}
	return r.present, true
}

func (r *Rosters) keeps() bool { return !r.reading && r.present.digest != 0 && r.looked >= r.crowded }

// Look takes the membership as it is now.
func (r *Rosters) Look(now time.Duration, g Ground) {
	r.looked = now
	r.ground = g
	all := make([]Process, 0, len(g.All)+1)
	if !g.Leaving {
		all = append(all, r.me)
	}
	runs := map[Process]bool{r.me: true}
	for _, c := range g.All {
		runs[c.Process] = true
		if !c.Leaving && !c.Unable {
			all = append(all, c.Process)
		}
	}
	maps.DeleteFunc(r.proxies, func(_, member Process) bool { return !runs[member] })
	if next := NewRoster(all, r.k); next.digest != r.next.digest {
		r.next, r.since = next, now
	}
	was := slices.Collect(maps.Values(r.before))
	for _, d := range r.doubts {
		was = append(was, d.roster)
	}
	for p := range r.gone {
		if !slices.ContainsFunc(was, func(b Roster) bool { return b.Has(p) }) {
			delete(r.gone, p)
		}
	}
	r.settled(now)
	for _, b := range was {
		for _, p := range b.all {
			if _, known := r.gone[p]; !runs[p] && !known {
				r.gone[p] = now
			} else if runs[p] {
				delete(r.gone, p)
			}
		}
	}
}

// wanted tells whether the next roster is to be read for: what it takes is there, and what would be given up for it is
// worth it.
func (r *Rosters) wanted(now time.Duration) bool {
	if len(r.next.all) == 0 || r.next.digest == r.present.digest {
		return false
	}
	return r.short(now, r.reached()) == ""
}

// Reaches tells whether a process can be asked, as far as the membership knows.
func (r *Rosters) Reaches(p Process) bool {
	for _, c := range r.ground.All {
		if c.Process == p {
			return c.Reached
		}
	}
	return p == r.me
}

// reached are those who can be asked.
func (r *Rosters) reached() map[Process]bool {
	can := map[Process]bool{r.me: true}
	for _, c := range r.ground.All {
		if c.Reached {
			can[c.Process] = true
		}
	}
	for _, f := range r.formers {
		can[f.Process] = true
	}
	for former, member := range r.proxies {
		if can[member] {
			can[former] = true
		}
	}
	return can
}

// short says what is missing if those have told what they kept; empty: nothing.
func (r *Rosters) short(now time.Duration, told map[Process]bool) string {
	switch {
	case now < r.crowded:
		return "too many rosters are in doubt"
	case !r.ground.Met:
		return "the fleet has not been met"
	case !r.ground.Majority:
		return "no majority of schedulers is reached"
	}
	if !r.remembers && now-r.began < r.first {
		return "nobody remembers a roster: records of before may still count"
	}
	if len(r.before) == 0 { // those who are there may keep by one, and have not said so yet
		n := 0
		for _, p := range r.next.all {
			if told[p] {
				n++
			}
		}
		if 2*n <= len(r.next.all) {
			return "too many members of the roster cannot be asked"
		}
	}
	// Two rosters that follow one and know nothing of each other would each have to be told by a majority of that one: whoever
	// told both told the second of the first. Of two halves the one with the first member counts.
	//
	// Those that have been over for so long that nothing they kept counts are left out, and not counted as having told: two
	// majorities that have only them in common know nothing of each other.
	for _, b := range r.before {
		living := slices.DeleteFunc(slices.Clone(b.all), func(p Process) bool { return r.aged(now, p) })
		n := 0
		for _, p := range living {
			if told[p] {
				n++
			}
		}
		if 2*n < len(living) || len(living) > 0 && 2*n == len(living) && !told[living[0]] {
			return "too many of those that kept records cannot be asked"
		}
	}
	return ""
}

// Begin tells whether this scheduler is to ask for the next roster now, and whom. From then on it keeps by no roster until
// enough have told what they kept.
func (r *Rosters) Begin(now time.Duration) (ask []Process, digest uint64) {
	if !r.reading || r.present.digest != r.next.digest {
		// Whoever keeps by none has nothing to lose.
		if len(r.next.all) == 0 || now-r.since < r.settle || r.keeps() && !r.wanted(now) {
			if r.next.digest != r.present.digest {
				r.Why = cmp.Or(r.short(now, r.reached()), "members come and go")
			}
			if !r.reading && len(r.doubts) > 0 && r.next.digest == r.present.digest {
				return r.untold(), r.present.digest // one that is back may have what is in doubt
			}
			return nil, 0
		}
		r.start(now)
	}
	return r.untold(), r.present.digest
}

// untold are those who can be asked and have not told.
func (r *Rosters) untold() (ask []Process) {
	for _, c := range r.ground.All {
		if c.Reached && !c.Unable && !r.told[c.Process] {
			ask = append(ask, c.Process)
		}
	}
	return ask
}

// start keeps by the old roster no more.
func (r *Rosters) start(now time.Duration) {
	switch {
	case r.present.digest == 0:
	case r.reading:
		if !slices.ContainsFunc(r.tried, func(t Roster) bool { return t.digest == r.present.digest }) {
			r.tried = append(r.tried, r.present)
		}
		r.before[r.present.digest] = r.present
	default:
		r.last = r.present
		r.before[r.last.digest] = r.last
	}
	r.present, r.reading, r.asked = r.next, true, now
	r.rounds++
	r.changes++
	clear(r.told)
	r.told[r.me] = true
	for _, f := range r.Formers(now) {
		r.told[f.Process] = true
	}
}

// Asked takes a member's call for a roster, and tells whether it is this scheduler's next one too. If so it keeps by no
// other one from now on, and what it kept is to be told; if not, the member asks again.
func (r *Rosters) Asked(now time.Duration, digest uint64) bool {
	if now < r.crowded {
		return false // what it kept could not be told with all that is in doubt
	}
	if digest != r.next.digest {
		return digest == r.present.digest && !r.reading
	}
	if r.present.digest != digest {
		// One that could not come to keep by it goes on with the one that it has: else nobody keeps by any while too many of
		// those that kept by that one are gone.
		if r.keeps() && r.short(now, r.reached()) != "" {
			return false
		}
		r.start(now)
	}
	return true
}

// Same tells whether a digest is that of this scheduler's next roster.
func (r *Rosters) Same(digest uint64) bool { return digest == r.next.digest }

// Remembers tells whether this scheduler knows a roster by which somebody kept, of its own or by others' word, and Remember
// takes that word. Rosters that were only read for are none.
func (r *Rosters) Remembers() bool { return r.remembers }

// Remember is that word.
func (r *Rosters) Remember() { r.remembers = true }

// Force takes word of a roster by which somebody keeps now. One that does not yet keep by any can put records by it.
func (r *Rosters) Force(all []Process) { r.heard = NewRoster(all, r.k) }

// Puts is the roster by which this scheduler puts records: its own, or until it has one that by which another one keeps.
func (r *Rosters) Puts() (Roster, bool) {
	if own, ok := r.Roster(); ok {
		return own, true
	}
	return r.heard, r.heard.digest != 0
}

// Target is the roster that is read for, or by which records are kept.
func (r *Rosters) Target() Roster { return r.present }

// Rounds counts the readings that were begun. What was told for an earlier one counts no more, be it of the same roster: who
// told it may have kept by another one since.
func (r *Rosters) Rounds() uint64 { return r.rounds }

// Reads tells whether what members kept is read for that roster now: until it is in force, and while something is in doubt.
func (r *Rosters) Reads(digest uint64) bool {
	return digest == r.present.digest && digest != 0 && (r.reading || len(r.doubts) > 0)
}

// Before takes word of a roster by which somebody kept.
func (r *Rosters) Before(last []Process) {
	// It may be the one that is read for: others keep by it already, and this scheduler is one of its members that know nothing.
	if b := NewRoster(last, r.k); len(last) > 0 {
		r.before[b.digest] = b
	}
}

// Told takes word that a member has told all that it kept for this scheduler. [Rosters.Before] comes first.
func (r *Rosters) Told(from Process, digest uint64) {
	if !r.Reads(digest) {
		return
	}
	r.told[from] = true
	for i := range r.doubts {
		r.doubts[i].missing = slices.DeleteFunc(r.doubts[i].missing, func(p Process) bool { return p == from })
	}
	r.settled(0)
}

// settled lets go of doubts that are none any more.
func (r *Rosters) settled(now time.Duration) {
	r.doubts = slices.DeleteFunc(r.doubts, func(d doubt) bool {
		n := 0
		for _, p := range d.missing {
			if !r.aged(now, p) {
				n++
			}
		}
		return n < d.roster.Quorum()
	})
}

// Complete tells whether enough have told: from now on records are kept by the roster that was asked for. installed is
// true once.
func (r *Rosters) Complete(now time.Duration) (installed bool) {
	if !r.reading || r.present.digest != r.next.digest {
		return false
	}
	// All that are reached are waited for a while, so that a record has all of its keepers again; one whom others reach and
	// this scheduler does not must not keep it from going on. But who knows of no roster waits for each: one of them may.
	for _, c := range r.ground.All {
		if c.Reached && !c.Unable && !r.told[c.Process] && (now-r.asked < r.settle || !r.remembers) {
			r.Why = "not all members have told what they keep"
			return false
		}
	}
	if r.Why = r.short(now, r.told); r.Why != "" {
		return false
	}
	r.reading, r.tried, r.remembers = false, nil, true
	r.changes++
	for _, b := range r.before {
		var missing []Process
		for _, p := range b.all {
			if !r.told[p] && !r.aged(now, p) {
				missing = append(missing, p)
			}
		}
		if len(missing) >= b.Quorum() { // fewer are a majority of no id's keepers
			r.doubt(b, missing)
		}
	}
	r.settled(now)
	clear(r.before)
	r.before[r.present.digest] = r.present
	return true
}
