// Package owners decides which of several schedulers owns a job when any of them may receive a request for it: which members
// (the keepers) store the record of its id, when their replies make a scheduler the owner, and what happens to a job whose owner
// cannot be reached. It holds the records that one scheduler stores on behalf of all, and the rules for their validity. It does
// no I/O, takes the time as an argument, and neither sends jobs nor formulates answers.
//
// The keepers of a record are the first k members of a roster by rendezvous hashing of the id. Rosters change as members join
// and leave, and two rosters need not share a majority of an id's keepers. Therefore a member stores an id's record under a new
// roster only after it has read the records of the id's keepers under each previous roster, except for fewer than a majority of
// them; and a member that was asked for its records no longer stores any under the previous rosters. docs/design/owners.md has
// the proof.
package owners

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"hash/fnv"
	"math/rand/v2"
	"slices"

	wire "laddertide/wire/owners"
)

// Process, Record and Outcome are the types of the messages between schedulers.
type (
	Process = wire.Process
	Record  = wire.Record
	Outcome = wire.Outcome
)

// Roster is a set of processes that store records. The zero value means no roster.
type Roster struct {
	all    []Process // sorted by name
	hashes []uint64  // of the names in all
	k      int
	digest uint64
}

// NewRoster returns a roster of processes in which k of them store the record of each id.
func NewRoster(all []Process, k int) Roster {
	r := Roster{all: slices.Clone(all), k: min(k, len(all))}
	slices.SortFunc(r.all, compare)
	b := binary.LittleEndian.AppendUint64(nil, uint64(k))
	for _, p := range r.all {
		// Only the name is hashed: a restarted process stores the same ids as its predecessor.
		r.hashes = append(r.hashes, hash(p.Name))
		b = binary.LittleEndian.AppendUint64(append(append(b, p.Name...), 0), p.Start)
	}
	sum := sha256.Sum256(b)
	r.digest = max(1, binary.LittleEndian.Uint64(sum[:]))
	return r
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

func compare(a, b Process) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Start, b.Start))
}

// Digest returns a hash that identifies the roster, or 0 for no roster.
func (r *Roster) Digest() uint64 { return r.digest }

// All returns the processes of the roster, sorted by name. The caller must not modify the slice.
func (r *Roster) All() []Process { return r.all }

// Quorum returns the number of keepers that form a majority of an id's keepers.
func (r *Roster) Quorum() int { return r.k/2 + 1 }

// Has reports whether a process is in the roster.
func (r *Roster) Has(p Process) bool {
	_, ok := slices.BinarySearchFunc(r.all, p, compare)
	return ok
}

// Keepers returns the processes that store the record of an id, in order of preference. Few ids move when a member joins or leaves.
func (r *Roster) Keepers(id string) []Process {
	type ranked struct {
		score uint64
		i     int
	}
	best := make([]ranked, 0, r.k+1)
	idHash := hash(id)
	var mix rand.PCG
	for i, h := range r.hashes {
		mix.Seed(idHash, h) // the first output is a good hash of the two seeds
		p := ranked{mix.Uint64(), i}
		if len(best) == r.k && p.score <= best[r.k-1].score {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < p.score {
			at--
		}
		if best = slices.Insert(best, at, p); len(best) > r.k {
			best = best[:r.k]
		}
	}
	out := make([]Process, len(best))
	for i, p := range best {
		out[i] = r.all[p.i]
	}
	return out
}

// IsKeeper reports whether a process is a keeper of an id.
func (r *Roster) IsKeeper(p Process, id string) bool { return slices.Contains(r.Keepers(id), p) }
