package recovery

import (
	"math"
	"time"

	"laddertide/core/leases"
)

// PowerLoss tells whether this machine has lost power or was rebooted since the snapshot was written.
type PowerLoss uint8

// What is known about a loss of power.
const (
	PowerUnknown PowerLoss = iota
	PowerKept
	PowerLost
)

// Downtime is the time for which this scheduler was down: from its last write to now.
type Downtime struct {
	Power PowerLoss
	Known bool          // the two bounds are equal
	Min   time.Duration // a lower bound proved by the time since boot, never by the wall clock
	Max   time.Duration // according to the wall clock, which may have been set back; without a bound if unknown
}

// Unbounded means that there is no upper bound.
const Unbounded time.Duration = math.MaxInt64

// DowntimeSince returns the time that has passed since was. Within one boot, the monotonic clock gives the exact value. Otherwise at
// least the time since boot has passed, and the wall clock gives the upper bound if it is consistent with that; a wall clock
// that was set back gives none.
func DowntimeSince(was, now leases.Clock) Downtime {
	bootsKnown := was.Boot != [16]byte{} && now.Boot != [16]byte{}
	if bootsKnown && was.Boot == now.Boot {
		if d := time.Duration(now.Mono - was.Mono); d >= 0 {
			return Downtime{Power: PowerKept, Known: true, Min: d, Max: d}
		}
		return Downtime{Max: Unbounded} // no process of this boot wrote that
	}
	a := Downtime{Max: Unbounded}
	if bootsKnown {
		a.Power, a.Min = PowerLost, max(0, time.Duration(now.Mono))
	}
	if d := time.Duration(now.Wall - was.Wall); now.Wall >= was.Wall && d >= a.Min {
		a.Max = d
	}
	return a
}

// Trust tells which parts of a snapshot count after a power loss.
type Trust struct {
	Membership bool    // members, bans and starts: they do not age; what others know is added to them
	List       bool    // the provider list, until discovery sends its own; no provider in it counts as warm
	Speeds     float64 // the weight of the learnt speeds and slots, 0 to 1; 0: the decision module starts without estimates
	Health     bool    // which providers were excluded or unavailable: such a state ends sooner than the downtime, or the downtime is not known
}

// TrustOf determines which parts of a snapshot count. memory is the time in which learnt estimates decay to 1/e; healed is the
// longest time for which a provider is excluded. No earlier credit at a cold provider is restored: how much of it was spent
// is not known to the last job, and the decision module's own budget starts in debt.
func TrustOf(r Reason, a Downtime, memory, healed time.Duration) Trust {
	if !r.Usable() {
		return Trust{}
	}
	t := Trust{Membership: true, List: true}
	if r == FromFuture || a.Max == Unbounded || memory <= 0 {
		return t
	}
	t.Speeds = math.Exp(-a.Max.Seconds() / memory.Seconds())
	// A provider that may have lost power as well has restarted, and its failures ended with the old process.
	t.Health = a.Power == PowerKept && a.Max <= healed
	return t
}

// SchedulerCount returns the number of schedulers among which the work and the cold budget are shared until they are met: the
// number in the settings, or the number that ran before if that is larger. Counting one that is gone leaves its part unused;
// not counting one that runs makes both send it.
func SchedulerCount(set int, f SnapshotInfo) int {
	if !f.Reason.Usable() {
		return max(1, set)
	}
	return max(1, set, len(f.Members)+1)
}

// ListedProvider is a provider in the list.
type ListedProvider struct {
	Since     time.Duration // its last start, according to discovery; 0: long ago or unknown
	FirstSeen time.Duration // when this process first learnt of that start, on the clock of began
	Fresh     bool          // the list is from discovery and at least as new as the saved one: Machine.Fresh
}

// ColdSince returns the time from which a provider must count as cold, whatever its start says: policy.Entry.Back. It is 0 if
// the list can be relied on. began is when this process started. After a power loss a provider counts as warm only after it
// has had the time to warm up since then. An unchanged start proves nothing, because discovery, which may have been down too,
// notices the end of a process only seconds later. Clocks, which differ between machines, are not used for this. Treating a
// warm provider as cold costs a part of its capacity for WarmWithin; treating a cold one as warm overloads it.
func ColdSince(p ListedProvider, a Downtime, began time.Duration) time.Duration {
	switch {
	case !p.Fresh:
		return began
	case a.Power == PowerKept:
		return 0
	}
	return max(began, p.FirstSeen)
}
