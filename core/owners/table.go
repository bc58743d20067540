package owners

import (
	"cmp"
	"slices"
	"strings"
	"time"

	wire "laddertide/wire/owners"
)

// Code is the result in a reply.
type Code = wire.Code

// Table holds the records that one scheduler stores on behalf of all. It is not safe for concurrent use.
type Table struct {
	maxIDs    int
	byID      map[string]*entry
	nextSweep time.Duration // time of the next sweep for expired records

	Counts TableCounts
}

// TableCounts are counters of events since the start.
type TableCounts struct{ Put, Refused, Moved, Dropped, Expired, Full uint64 }

// entry holds the claims received for one id.
type entry struct {
	claims        []*claim
	keepers       []Process // cached keepers of the id, as they are looked up often when rosters change
	keepersDigest uint64    // digest of the roster that keepers belongs to
}

// claim is one scheduler's claim to own an id: its record, with the times made absolute.
type claim struct {
	Record
	expires, due, receivedAt time.Duration // receivedAt is the base for the ages of the record's attempts
}

// maxClaims limits the number of claims stored per id.
const maxClaims = 16

// NewTable returns a table with room for maxIDs ids. Merge may exceed that; see there.
func NewTable(maxIDs int) *Table { return &Table{maxIDs: maxIDs, byID: make(map[string]*entry)} }

// sweepInterval is the interval between sweeps for expired records. Until swept, an expired record takes up room but is not used.
const sweepInterval = time.Second

// Sweep removes expired records, at most once per sweepInterval.
func (t *Table) Sweep(now time.Duration) {
	if now < t.nextSweep {
		return
	}
	t.nextSweep = now + sweepInterval
	for id := range t.byID {
		t.get(now, id)
	}
}

// get removes the expired claims of an id and returns the others, or nil if there are none.
func (t *Table) get(now time.Duration, id string) *entry {
	k := t.byID[id]
	if k == nil {
		return nil
	}
	k.claims = slices.DeleteFunc(k.claims, func(x *claim) bool { return now >= x.expires })
	if len(k.claims) == 0 {
		delete(t.byID, id)
		t.Counts.Expired++
		return nil
	}
	return k
}

// sameClaim reports whether two records belong to the same claim of the same owner.
func sameClaim(a, b *Record) bool {
	return a.Owner == b.Owner && a.Nonce == b.Nonce && a.Term == b.Term
}

// find returns the claim to which a record belongs, or nil.
func (k *entry) find(r *Record) *claim {
	if i := slices.IndexFunc(k.claims, func(x *claim) bool { return sameClaim(&x.Record, r) }); i >= 0 {
		return k.claims[i]
	}
	return nil
}

// replaces reports whether r takes over from old and has seen all of old's revisions.
func replaces(r, old *Record) bool {
	return r.Replaces == old.Owner && r.ReplacesTerm == old.Term && r.Term == old.Term+1 && r.ReplacesRev >= old.Rev
}

// standing returns the claims that no other one has replaced and that may have a majority; beside a claim known to have had one, no
// other can. If several are returned, any of them may have a majority, and this keeper cannot tell which.
func (k *entry) standing() (out []*claim) {
	for _, x := range k.claims {
		if !slices.ContainsFunc(k.claims, func(y *claim) bool {
			return replaces(&y.Record, &x.Record) || y.Confirmed && y != x && (y.Term > x.Term || y.Term == x.Term && !x.Confirmed)
		}) {
			out = append(out, x)
		}
	}
	return out
}

// Put stores a record, or returns the conflicting one. A record may be put repeatedly and arrive late: an earlier revision never
// replaces a later one, and an ended job never becomes open again. While several claims stand, updates of each are stored but none
// gets a Yes.
func (t *Table) Put(now time.Duration, r *Record) (Code, *Record) {
	t.Sweep(now)
	k := t.get(now, r.ID)
	if k == nil {
		if len(t.byID) >= t.maxIDs {
			t.Counts.Full++
			return wire.TableFull, nil
		}
		t.Counts.Put++
		t.byID[r.ID] = &entry{claims: []*claim{newClaim(now, r)}}
		return wire.Yes, nil
	}
	standing := k.standing()
	if x := k.find(r); x != nil && slices.Contains(standing, x) {
		if x.update(now, r); len(standing) == 1 {
			t.Counts.Put++
			return wire.Yes, nil
		}
	} else if x == nil && len(standing) == 1 && replaces(r, &standing[0].Record) {
		t.Counts.Moved++
		k.claims = []*claim{standing[0], newClaim(now, r)} // the replaced claim becomes valid again if this one is dropped
		return wire.Yes, nil
	}
	t.Counts.Refused++
	return wire.No, relative(now, conflicting(standing, r))
}

// conflicting returns the claim to report when r is refused: one that has ended, otherwise the latest.
func conflicting(standing []*claim, r *Record) *claim {
	others := slices.DeleteFunc(slices.Clone(standing), func(x *claim) bool { return sameClaim(&x.Record, r) })
	return slices.MaxFunc(others, func(a, b *claim) int {
		if a.Ended != b.Ended {
			return map[bool]int{true: 1, false: -1}[a.Ended]
		}
		return cmp.Or(cmp.Compare(a.Term, b.Term), cmp.Compare(a.Rev, b.Rev), compare(b.Owner, a.Owner))
	})
}

func newClaim(now time.Duration, r *Record) *claim {
	return &claim{Record: *r, expires: now + r.TimeLeft, due: now + r.DueIn, receivedAt: now}
}

// update stores a later revision of the same claim.
func (x *claim) update(now time.Duration, r *Record) {
	if r.Rev > x.Rev {
		*x = *newClaim(now, r)
	}
}

// CanRenew reports whether a record belongs to a stored claim that had a majority. Such a record may be renewed even where other claims
// of the id may be missing, as none of those had a majority. This does not hold for a keyed job, which unreachable members may
// have taken over.
func (t *Table) CanRenew(now time.Duration, r *Record) bool {
	k := t.get(now, r.ID)
	return k != nil && r.Confirmed && Effect(r.Effect) != Keyed && k.find(r) != nil
}

// Drop deletes the record of a claim that its owner withdrew without having sent, or ever sending, the job. The claim that it had
// replaced becomes valid again.
func (t *Table) Drop(now time.Duration, r *Record) {
	k := t.get(now, r.ID)
	if k == nil {
		return
	}
	if x := k.find(r); x != nil {
		t.Counts.Dropped++
		k.claims = slices.DeleteFunc(k.claims, func(y *claim) bool { return x == y })
		if len(k.claims) == 0 {
			delete(t.byID, r.ID)
		}
	}
}

// Read returns the record of an id, or nil.
func (t *Table) Read(now time.Duration, id string) *Record {
	if k := t.get(now, id); k != nil {
		return relative(now, conflicting(k.standing(), &Record{}))
	}
	return nil
}

// relative returns a copy of a claim's record with all times relative to now, as messages carry them.
func relative(now time.Duration, x *claim) *Record {
	r := x.Record
	r.TimeLeft, r.DueIn = x.expires-now, x.due-now
	r.Attempts = slices.Clone(r.Attempts)
	for i := range r.Attempts {
		r.Attempts[i].Age += now - x.receivedAt
	}
	return &r
}

// RecordsFor returns all records of which a process is a keeper under a roster.
func (t *Table) RecordsFor(now time.Duration, r *Roster, p Process) []Record {
	return t.list(now, func(id string, k *entry) bool {
		if k.keepersDigest != r.digest {
			k.keepers, k.keepersDigest = r.Keepers(id), r.digest
		}
		return slices.Contains(k.keepers, p)
	})
}

// All returns all records that have not expired.
func (t *Table) All(now time.Duration) []Record {
	return t.list(now, func(string, *entry) bool { return true })
}

func (t *Table) list(now time.Duration, match func(id string, k *entry) bool) (out []Record) {
	for id := range t.byID {
		if k := t.get(now, id); k != nil && match(id, k) {
			for _, x := range k.claims {
				out = append(out, *relative(now, x))
			}
		}
	}
	slices.SortStableFunc(out, func(a, b Record) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Merge adds a record received from another keeper, and returns false if there is no room for it. Within a claim the latest revision
// counts, and a claim that has replaced another takes precedence over it. Of two claims that do not know of each other, or the later
// of which has not seen all revisions of the earlier one, either may have had a majority: both stand, and no scheduler can
// claim the id until one is dropped.
func (t *Table) Merge(now time.Duration, r *Record) bool {
	k := t.get(now, r.ID)
	if k == nil {
		if len(t.byID) >= 2*t.maxIDs { // higher limit than in Put: records that other keepers hold must not be lost for lack of room
			t.Counts.Full++
			return false
		}
		k = &entry{}
		t.byID[r.ID] = k
	}
	if x := k.find(r); x != nil {
		x.update(now, r)
	} else if len(k.claims) >= maxClaims {
		t.Counts.Full++
		return false
	} else {
		k.claims = append(k.claims, newClaim(now, r))
	}
	return true
}

// Len returns the number of ids with records, including expired ones that have not been swept.
func (t *Table) Len() int { return len(t.byID) }
