package recovery

import (
	"time"

	"laddertide/core/fleet"
)

// MaxStart is the last valid start number. A clock above it (as Unix time it is the year 2116) is invalid, and a peer's
// larger number is an error; adopting such a number would use up the remaining ones. Counting on from MaxStart cannot
// exhaust the range.
const MaxStart fleet.Start = 1 << 62

// startSpread is the range beyond the last number from which a number is drawn if the clock cannot be used: two processes
// that start from the same restored disk must not get the same number. Starting a process takes longer than this, so the
// clock catches up.
const startSpread = fleet.Start(time.Millisecond)

// StartSource tells what a number was derived from.
type StartSource uint8

// The sources of a number.
const (
	StartKept    StartSource = iota // the number that the process already has
	StartByClock                    // the wall clock
	StartByDisk                     // beyond the previous process's number on disk
	StartByPeers                    // beyond the numbers that peers have seen of this name
)

// KnownStarts is what a process knows of earlier numbers, when it starts or once it has received more.
type KnownStarts struct {
	Current      fleet.Start   // the number that it has already; 0: none
	Announced    bool          // it has announced that number: a peer that has seen it has seen this process
	Disk         fleet.Start   // the previous process's number, from the snapshot; 0: nothing usable is there
	DiskMayBeOld bool          // the snapshot is not, or may not be, the latest
	Wall         time.Duration // Unix time on this machine
	Peers        []fleet.Start // the latest number of this name that each reached peer has seen; 0: none
	Draw         uint64        // a uniformly distributed random number
}

// NextStart is a number for this process, and what was found on the way.
type NextStart struct {
	Number fleet.Start
	From   StartSource
	// RolledBack reports that an earlier process ran that the disk does not know of: the disk was lost or rolled back. Its other
	// contents, bans first of all, may be older than that process.
	RolledBack bool
	// Confirmed reports that not only the wall clock supports the number, but also the latest snapshot or a peer.
	Confirmed bool
	Ignored   []fleet.Start // invalid numbers that were ignored
}

// Next returns a number above all that the process knows of: the disk's, those that peers have seen, and the wall clock,
// which stands in for numbers that neither knows. If the clock was once ahead, the number stays ahead, and each start counts
// on from there by at most one millisecond; if the clock is behind, the number comes from disk or peers.
//
// The number must be on disk before it is announced. Therefore a peer that has seen a later one than the disk proves that the
// disk was lost or rolled back. When more is known, Next is called again with the process's own number, which is kept unless somebody has seen a
// later number.
func (s KnownStarts) Next() (n NextStart) {
	var last fleet.Start
	if s.Disk > MaxStart {
		n.Ignored = append(n.Ignored, s.Disk)
	} else if s.Disk > 0 {
		last, n.From, n.Confirmed = s.Disk, StartByDisk, !s.DiskMayBeOld
	}
	disk := last
	for _, p := range s.Peers {
		switch {
		case p > MaxStart:
			n.Ignored = append(n.Ignored, p)
		case p == 0, p == s.Current && s.Announced:
		default:
			n.Confirmed = true
			n.RolledBack = n.RolledBack || p > disk
			if p > last {
				last, n.From = p, StartByPeers
			}
		}
	}
	if s.Current > last {
		n.Number, n.From = s.Current, StartKept
		return n
	}
	n.Number = last + 1 + fleet.Start(s.Draw)%startSpread
	if wall := fleet.Start(max(0, s.Wall)); n.From == StartKept || wall > last && wall <= MaxStart {
		n.From = StartByClock
		if wall > last && wall <= MaxStart {
			n.Number = wall
		}
	}
	return n
}
