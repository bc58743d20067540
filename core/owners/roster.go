// Package owners decides whose job a job is when any of several schedulers may be asked for it: who keeps the record of
// its id, when a word of enough of them makes a scheduler its owner, and what is done about a job whose owner cannot be
// asked. It owns the records that one scheduler keeps for all and the rules under which they count. It does no I/O, time
// is an argument, and it neither sends a job nor words an answer.
//
// A record is kept by the first k members of a roster, by rendezvous hashing of the id. Rosters change as members come and
// go; two of them need not have a majority of keepers in common. So nobody keeps an id by a new roster before it has read what
// all but fewer than a majority of its keepers by each roster of before kept, and whoever has been asked for that keeps by the
// old ones no more. docs/design/owners.md has the proof.
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

// Process, Record and Outcome are as they are told.
type (
	Process = wire.Process
	Record  = wire.Record
	Outcome = wire.Outcome
)

// Roster is a set of processes among whom records are kept. The zero value is no roster.
type Roster struct {
	all    []Process // by name
	hashes []uint64  // of their names
	k      int
	digest uint64
}

// NewRoster makes a roster of processes of which the first k, by the hash of an id, keep its record.
func NewRoster(all []Process, k int) Roster {
	r := Roster{all: slices.Clone(all), k: min(k, len(all))}
	slices.SortFunc(r.all, compare)
	b := binary.LittleEndian.AppendUint64(nil, uint64(k))
	for _, p := range r.all {
		// A process that follows another of its name keeps the same ids.
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

// Digest stands for the roster; 0 for none.
func (r *Roster) Digest() uint64 { return r.digest }

// All are its processes, by name.
func (r *Roster) All() []Process { return r.all }

// Quorum is how many keepers of an id are a majority of them.
func (r *Roster) Quorum() int { return r.k/2 + 1 }

// Has tells whether a process is one of the roster.
func (r *Roster) Has(p Process) bool {
	_, ok := slices.BinarySearchFunc(r.all, p, compare)
	return ok
}

// Keepers are those who keep the record of an id, the first one first. Few ids move when a member comes or goes.
func (r *Roster) Keepers(id string) []Process {
	type place struct {
		score uint64
		i     int
	}
	best := make([]place, 0, r.k+1)
	of := hash(id)
	var mix rand.PCG
	for i, h := range r.hashes {
		mix.Seed(of, h) // its first number is a good hash of the two
		p := place{mix.Uint64(), i}
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

// Keeps tells whether a process keeps the record of an id.
func (r *Roster) Keeps(p Process, id string) bool { return slices.Contains(r.Keepers(id), p) }
