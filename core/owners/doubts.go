package owners

import (
	"slices"
	"time"
)

// doubt is what one that keeps by present does not know: what some kept by a roster of before.
type doubt struct {
	roster  Roster
	missing []Process // who has not told
}

// Doubts tells whether what was kept of an id may be with those alone who have not told it: then nobody has it here.
func (r *Rosters) Doubts(now time.Duration, id string) bool {
	for _, d := range r.doubts {
		n := 0
		for _, k := range d.roster.Keepers(id) {
			if slices.Contains(d.missing, k) && !r.aged(now, k) {
				n++
			}
		}
		if n >= d.roster.Quorum() {
			return true
		}
	}
	return false
}

// aged tells whether all that a process kept counts no more: it has been over for so long.
func (r *Rosters) aged(now time.Duration, p Process) bool {
	over, ended := r.gone[p]
	return ended && now-over >= r.life
}

// Unsure is what is in doubt here: rosters, each followed by those of it who have not told what they kept.
func (r *Rosters) Unsure() (out [][]Process) {
	for _, d := range r.doubts {
		out = append(out, d.roster.all, d.missing)
	}
	return out
}

// Doubted takes what is in doubt at another member: it is so here, but for what this scheduler was told itself. What followed
// that roster is read in its own right.
func (r *Rosters) Doubted(unsure [][]Process) {
	for i := 0; i+1 < len(unsure); i += 2 {
		r.doubt(NewRoster(unsure[i], r.k), unsure[i+1])
	}
	r.settled(0)
}

// mostDoubts is how many rosters are in doubt at a time; a record counts no longer than a few of them.
const mostDoubts = 16

// doubt notes who of a roster has not told.
func (r *Rosters) doubt(of Roster, missing []Process) {
	missing = slices.DeleteFunc(slices.Clone(missing), func(p Process) bool { return r.told[p] || !of.Has(p) })
	at := slices.IndexFunc(r.doubts, func(d doubt) bool { return d.roster.digest == of.digest })
	if at < 0 {
		if len(missing) == 0 {
			return
		}
		if len(r.doubts) >= mostDoubts { // what cannot be told apart is in doubt as a whole, until none of it counts
			r.crowded = r.looked + r.life
			r.changes++
			return
		}
		r.doubts = append(r.doubts, doubt{roster: of})
		at = len(r.doubts) - 1
	}
	for _, p := range missing {
		if !slices.Contains(r.doubts[at].missing, p) {
			r.doubts[at].missing = append(r.doubts[at].missing, p)
			r.changes++
		}
	}
}

// Lasts are the rosters by which records were kept here, or may be by others that this scheduler has told what it kept; the one
// by which they are kept now comes last.
func (r *Rosters) Lasts() (out [][]Process) {
	if !r.reading {
		return append(out, r.present.all)
	}
	if len(r.last.all) > 0 {
		out = append(out, r.last.all)
	}
	for _, t := range r.tried {
		out = append(out, t.all)
	}
	return out
}
