package fleet

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// BanID identifies a ban: the scheduler that received it, its start number, and a sequence number that it uses once.
type BanID struct {
	By    string
	Start Start
	Seq   uint64
}

func (d BanID) compare(e BanID) int {
	return cmp.Or(strings.Compare(d.By, e.By), cmp.Compare(d.Start, e.Start), cmp.Compare(d.Seq, e.Seq))
}

// Ban is an operator's instruction that a provider gets no new jobs.
type Ban struct {
	BanID
	Provider string
	At       time.Duration // Unix time on the clock of the scheduler that received it
}

// Bans holds the bans that a scheduler knows, and those that it knows to be undone. Any two schedulers that receive the
// same messages, in any order and any number of times, end in the same state. A ban is in force until an enable that
// has seen it; an enable does not undo a ban that it has not seen. Not safe for concurrent use.
type Bans struct {
	limit    int
	seq      uint64
	inForce  map[BanID]Ban
	undone   []BanID // oldest first
	isUndone map[BanID]bool

	Dropped int // bans for which there was no room
}

// NewBans returns a register with room for that many bans, and as many undone ones.
func NewBans(most int) *Bans {
	return &Bans{limit: most, inForce: make(map[BanID]Ban), isUndone: make(map[BanID]bool)}
}

// Add creates a ban that this scheduler has received from an operator.
func (b *Bans) Add(by string, start Start, provider string, at time.Duration) (Ban, bool) {
	b.seq++
	ban := Ban{BanID: BanID{By: by, Start: start, Seq: b.seq}, Provider: provider, At: at}
	return ban, b.Record(ban)
}

// Record records a ban, and reports whether it is known now.
func (b *Bans) Record(ban Ban) bool {
	b.observe(ban.BanID)
	if b.isUndone[ban.BanID] {
		return true
	}
	if _, ok := b.inForce[ban.BanID]; !ok && len(b.inForce) >= b.limit {
		b.Dropped++
		return false
	}
	b.inForce[ban.BanID] = ban
	return true
}

// observe keeps sequence numbers assigned here above all that were received. After an upgrade the next process assigns
// them under the same name and start, and a number that is used twice could already be undone.
func (b *Bans) observe(d BanID) { b.seq = max(b.seq, d.Seq) }

// IDsOf returns the bans of a provider: those that an enable undoes here and now.
func (b *Bans) IDsOf(provider string) (dots []BanID) {
	for d, ban := range b.inForce {
		if ban.Provider == provider {
			dots = append(dots, d)
		}
	}
	slices.SortFunc(dots, BanID.compare)
	return dots
}

// Undo records that bans were undone. They need not be known yet: a ban may arrive after its undo.
func (b *Bans) Undo(dots []BanID) {
	for _, d := range dots {
		b.observe(d)
		delete(b.inForce, d)
		if b.isUndone[d] {
			continue
		}
		// Forgetting an enable lets its ban return from a scheduler that has been cut off since. The provider then
		// stays banned, and an operator can enable it again.
		if len(b.undone) >= b.limit {
			delete(b.isUndone, b.undone[0])
			b.undone = append(b.undone[:0], b.undone[1:]...)
		}
		b.isUndone[d] = true
		b.undone = append(b.undone, d)
	}
}

// Banned reports whether a provider is banned.
func (b *Bans) Banned(provider string) bool {
	for _, ban := range b.inForce {
		if ban.Provider == provider {
			return true
		}
	}
	return false
}

// Undone reports whether a ban is known to be undone.
func (b *Bans) Undone(d BanID) bool { return b.isUndone[d] }

// Knows reports whether a ban is known, in force or undone.
func (b *Bans) Knows(d BanID) bool {
	_, ok := b.inForce[d]
	return ok || b.isUndone[d]
}

// All returns the bans in force, sorted by provider, and those undone, oldest first.
func (b *Bans) All() (live []Ban, undone []BanID) {
	for _, ban := range b.inForce {
		live = append(live, ban)
	}
	slices.SortFunc(live, func(x, y Ban) int {
		return cmp.Or(strings.Compare(x.Provider, y.Provider), x.BanID.compare(y.BanID))
	})
	return live, slices.Clone(b.undone)
}
