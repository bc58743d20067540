package owners

import (
	"cmp"
	"slices"
)

// Poll collects the replies of a record's keepers to one Put and derives the result. It is not safe for concurrent use.
type Poll struct {
	me         Process
	need       int // number of Yes replies required
	unanswered map[Process]bool
	yes        int
	unusable   int
	full       int
	Conflicts  []Record // the conflicting record from each keeper that replied No
}

// NewPoll returns a poll of keepers that is won with need Yes replies.
func NewPoll(me Process, keepers []Process, need int) *Poll {
	p := &Poll{me: me, need: need, unanswered: make(map[Process]bool, len(keepers))}
	for _, k := range keepers {
		p.unanswered[k] = true
	}
	return p
}

// Unanswered returns the keepers that have not replied, sorted by name.
func (p *Poll) Unanswered() []Process {
	out := make([]Process, 0, len(p.unanswered))
	for k := range p.unanswered {
		out = append(out, k)
	}
	slices.SortFunc(out, compare)
	return out
}

// Awaits reports whether a keeper has not replied yet.
func (p *Poll) Awaits(k Process) bool { return p.unanswered[k] }

// AddReply adds a keeper's reply. Only the first reply of each keeper counts. conflict is the record returned with a No.
func (p *Poll) AddReply(from Process, code Code, conflict *Record) {
	if !p.unanswered[from] {
		return
	}
	delete(p.unanswered, from)
	switch {
	case code == yes:
		p.yes++
	case code == no && conflict != nil:
		p.Conflicts = append(p.Conflicts, *conflict)
	case code == full:
		p.full++
	default: // it uses another roster, or none: counted like a keeper that does not reply
		p.unusable++
	}
}

// Need returns the number of Yes replies required.
func (p *Poll) Need() int { return p.need }

// YesCount returns the number of Yes replies.
func (p *Poll) YesCount() int { return p.yes }

// MajorityFull reports whether a majority has no record of the id and no room for one: no scheduler owns it or can come to own it.
func (p *Poll) MajorityFull() bool { return len(p.Conflicts) == 0 && p.full >= p.need }

// AnyFull reports whether any keeper has no room.
func (p *Poll) AnyFull() bool { return p.full > 0 }

// Verdict is the result of a poll.
type Verdict uint8

// The verdicts.
const (
	Undecided Verdict = iota // the replies so far do not decide it
	Won                      // enough keepers replied Yes
	Lost                     // another owner's record conflicts; see Poll.Rival
	Tied                     // two claims block each other, and this one should wait until the other is withdrawn
	TooFew                   // too few keepers are reachable or have room
)

// Verdict evaluates the replies. If final is set, missing replies are no longer waited for.
func (p *Poll) Verdict(final bool) Verdict {
	switch {
	case p.yes >= p.need && p.yes > 0:
		return Won
	case !final && p.yes+len(p.unanswered) >= p.need && (len(p.unanswered) > 0):
		return Undecided
	case len(p.Conflicts) == 0:
		return TooFew
	}
	// Two schedulers that claim an id at the same time may each have won some keepers. One of them has to withdraw, or neither
	// claim ever succeeds: the one whose name sorts later does. A claim without any Yes has nothing to wait for. A rival that
	// has a majority already does not withdraw.
	rival, n := p.RivalState()
	if p.yes > 0 && n < p.need && !rival.Ended && rival.Term == 1 && compare(p.me, rival.Owner) < 0 {
		return Tied
	}
	return Lost
}

// Rival returns the conflicting record that takes precedence: the one with the highest term, then the highest revision.
func (p *Poll) Rival() (Record, bool) {
	if len(p.Conflicts) == 0 {
		return Record{}, false
	}
	best := slices.MaxFunc(p.Conflicts, func(a, b Record) int {
		return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Rev, b.Rev), compare(b.Owner, a.Owner))
	})
	return best, true
}

// RivalState returns the latest known revision of the rival's record, and how many keepers returned a record of the same claim. If they
// are a majority, the revision includes all that a majority had stored.
//
// The end of a keyed job counts only once a majority has stored it: its owner reports it to nobody before, and another scheduler
// may still take over the job. If fewer have it, it is ignored; keepers that stored it refuse a record that replaces the job's.
func (p *Poll) RivalState() (r Record, keepers int) {
	r, _ = p.Rival()
	ended, open := 0, -1
	for i := range p.Conflicts {
		switch n := &p.Conflicts[i]; {
		case !sameClaim(n, &r):
			continue
		case n.Ended:
			ended++
		case open < 0 || n.Rev > p.Conflicts[open].Rev:
			open = i
		}
		keepers++
	}
	if r.Ended && Effect(r.Effect) == Keyed && ended < p.need {
		if open >= 0 {
			return p.Conflicts[open], keepers
		}
		r.Ended, r.HasOutcome, r.Outcome = false, false, Outcome{}
		return r, 0 // its attempts are not known
	}
	return r, keepers
}
