package owners

import (
	"slices"
	"time"
)

// incompleteRoster is a previous roster from which records may be missing here, as some of its members have not transferred theirs.
type incompleteRoster struct {
	roster  Roster
	missing []Process // members that have not transferred their records
}

// MayBeMissing reports whether the record of an id may exist only at members that have not transferred their records. If so, the lack of
// a record here does not show that there is none.
func (r *Rosters) MayBeMissing(now time.Duration, id string) bool {
	for _, d := range r.incomplete {
		n := 0
		for _, k := range d.roster.Keepers(id) {
			if slices.Contains(d.missing, k) && !r.recordsExpired(now, k) {
				n++
			}
		}
		if n >= d.roster.Quorum() {
			return true
		}
	}
	return false
}

// recordsExpired reports whether a process ended so long ago that all records it stored have expired.
func (r *Rosters) recordsExpired(now time.Duration, p Process) bool {
	end, ended := r.endedAt[p]
	return ended && now-end >= r.recordLifetime
}

// IncompleteRosters returns pairs of lists: the members of a previous roster, then those of them that have not transferred their records.
func (r *Rosters) IncompleteRosters() (out [][]Process) {
	for _, d := range r.incomplete {
		out = append(out, d.roster.all, d.missing)
	}
	return out
}

// MergeIncomplete adds the incompletely read rosters of another member. Members that have transferred their records to this scheduler itself are
// left out. The rosters that followed those listed are read separately.
func (r *Rosters) MergeIncomplete(pairs [][]Process) {
	for i := 0; i+1 < len(pairs); i += 2 {
		r.addIncomplete(NewRoster(pairs[i], r.k), pairs[i+1])
	}
	r.pruneIncomplete(0)
}

// maxIncomplete limits how many incompletely read rosters are tracked at a time. Within a record's lifetime there are only a few rosters.
const maxIncomplete = 16

// addIncomplete adds the members of a roster that have not transferred their records.
func (r *Rosters) addIncomplete(roster Roster, missing []Process) {
	missing = slices.DeleteFunc(slices.Clone(missing), func(p Process) bool { return r.transferred[p] || !roster.Has(p) })
	at := slices.IndexFunc(r.incomplete, func(d incompleteRoster) bool { return d.roster.digest == roster.digest })
	if at < 0 {
		if len(missing) == 0 {
			return
		}
		if len(r.incomplete) >= maxIncomplete { // beyond the limit all ids count as incomplete until every record from then has expired
			r.overflowUntil = r.membershipAt + r.recordLifetime
			r.changes++
			return
		}
		r.incomplete = append(r.incomplete, incompleteRoster{roster: roster})
		at = len(r.incomplete) - 1
	}
	for _, p := range missing {
		if !slices.Contains(r.incomplete[at].missing, p) {
			r.incomplete[at].missing = append(r.incomplete[at].missing, p)
			r.changes++
		}
	}
}

// StoredUnder returns the rosters under which records were stored here, or may be stored by members that received this scheduler's
// records. The roster in force, if any, comes last.
func (r *Rosters) StoredUnder() (out [][]Process) {
	if !r.reading {
		return append(out, r.present.all)
	}
	if len(r.last.all) > 0 {
		out = append(out, r.last.all)
	}
	for _, t := range r.abandoned {
		out = append(out, t.all)
	}
	return out
}
