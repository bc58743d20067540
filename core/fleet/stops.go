package fleet

import (
	"maps"
	"slices"
	"time"
)

// Stop is a scheduler's report, from its own discovery list, that a provider's process drains or has ended.
type Stop struct {
	Provider string
	Since    time.Duration // that process's start, as Unix time; 0: long ago
	Index    uint64        // discovery's index of that state
	By       string
	Start    Start
}

// OwnListEntry is what this scheduler's own list says of a provider, and the index of that list.
type OwnListEntry struct {
	Index   uint64
	Since   time.Duration
	Serving bool
}

// Stops holds the stops that peers have reported. A stop only prevents sending. It ends when the scheduler's own list
// has newer information, or when its time is over; a repetition from a peer neither renews nor revives it. Not safe for
// concurrent use.
type Stops struct {
	hold   time.Duration
	limit  int
	active map[string]heldStop
	past   map[string]heldStop // each provider's last ended stop: while a repetition of it could still hold, the repetition is ignored

	Dropped int // stops for which there was no room
}

type heldStop struct {
	Stop
	until time.Duration
}

// NewStops returns a register with room for that many stops, each of which holds for at most the given time.
func NewStops(hold time.Duration, most int) *Stops {
	return &Stops{hold: hold, limit: most, active: make(map[string]heldStop), past: make(map[string]heldStop)}
}

// newer reports whether a has later information than b on one provider.
func (a Stop) newer(b Stop) bool {
	return a.Since > b.Since || a.Since == b.Since && a.Index > b.Index
}

// Record records a stop from a peer's own list, and reports whether it is new.
func (s *Stops) Record(now time.Duration, stop Stop, own OwnListEntry) bool {
	old, ok := s.active[stop.Provider]
	if ok && !stop.newer(old.Stop) || superseded(stop, own) {
		return false
	}
	if s.hasEnded(now, stop) {
		return false
	}
	if !ok && len(s.active) >= s.limit {
		s.Dropped++
		return false
	}
	s.active[stop.Provider] = heldStop{stop, now + s.hold}
	return true
}

// superseded reports whether the own list has newer information: a later process, or this one at a later index.
func superseded(stop Stop, own OwnListEntry) bool {
	return !own.Serving || own.Since > stop.Since || own.Index >= stop.Index
}

// Holds reports whether a peer's stop holds a provider back, given what the own list says.
func (s *Stops) Holds(now time.Duration, provider string, own OwnListEntry) bool {
	h, ok := s.active[provider]
	if ok && (now >= h.until || superseded(h.Stop, own)) {
		s.endStop(now, h.Stop)
		return false
	}
	return ok
}

// Expire ends the stops whose time is over, and reports whether there were any.
func (s *Stops) Expire(now time.Duration) (ended bool) {
	for _, provider := range s.Providers() {
		if h := s.active[provider]; now >= h.until {
			s.endStop(now, h.Stop)
			ended = true
		}
	}
	return ended
}

// endStop ends a stop that holds.
func (s *Stops) endStop(now time.Duration, stop Stop) {
	delete(s.active, stop.Provider)
	if len(s.past) >= s.limit {
		s.evictOldest()
	}
	s.past[stop.Provider] = heldStop{stop, now + s.hold}
}

// evictOldest removes the ended stop with the lowest index. At worst, a repetition of it holds for one more period.
func (s *Stops) evictOldest() {
	oldest := ""
	for name, h := range s.past {
		stop := h.Stop
		if old := s.past[oldest]; oldest == "" || stop.Index < old.Index || stop.Index == old.Index && name < oldest {
			oldest = name
		}
	}
	delete(s.past, oldest)
}

// hasEnded reports whether a stop has ended already or is older than one that has. After discovery has moved, its index
// starts anew, so a stop with a lower index may be new: no repetition circulates for as long as a stop holds.
func (s *Stops) hasEnded(now time.Duration, stop Stop) bool {
	h, ok := s.past[stop.Provider]
	if ok && now >= h.until {
		delete(s.past, stop.Provider)
		return false
	}
	return ok && !stop.newer(h.Stop)
}

// Known reports whether peers have already reported this stop or a newer one.
func (s *Stops) Known(now time.Duration, stop Stop) bool {
	h, ok := s.active[stop.Provider]
	return ok && !stop.newer(h.Stop) || s.hasEnded(now, stop)
}

// Providers returns the providers for which there is a stop, which may have ended.
func (s *Stops) Providers() []string { return slices.Sorted(maps.Keys(s.active)) }
