package fleet

import (
	"maps"
	"slices"
	"time"
)

// Stop is a scheduler's word, from its own list, that a provider's process drains or is gone.
type Stop struct {
	Provider string
	Since    time.Duration // that process's start, as Unix time; 0: long ago
	Index    uint64        // discovery's, of that word
	By       string
	Start    Start
}

// Own is what the own list says of a provider, and how far the list goes.
type Own struct {
	Index   uint64
	Since   time.Duration
	Serving bool
}

// Stops are the stops that others have told of. A stop only ever keeps something from being sent: it ends with a newer own
// word, or by its time. What others repeat of it neither renews nor revives it. Not safe for concurrent use.
type Stops struct {
	hold time.Duration
	most int
	all  map[string]held
	over map[string]held // the last one of each provider that has ended: an echo of it, for as long as it could hold, is no news

	Dropped int // stops that found no room
}

type held struct {
	Stop
	until time.Duration
}

// NewStops returns a register with room for that many, each of which holds for so long at most.
func NewStops(hold time.Duration, most int) *Stops {
	return &Stops{hold: hold, most: most, all: make(map[string]held), over: make(map[string]held)}
}

// newer tells whether a says more than b of one provider.
func (a Stop) newer(b Stop) bool {
	return a.Since > b.Since || a.Since == b.Since && a.Index > b.Index
}

// Hear takes a stop from a peer whose own list says so, and tells whether it is news.
func (s *Stops) Hear(now time.Duration, stop Stop, own Own) bool {
	old, ok := s.all[stop.Provider]
	if ok && !stop.newer(old.Stop) || answered(stop, own) {
		return false
	}
	if s.ended(now, stop) {
		return false
	}
	if !ok && len(s.all) >= s.most {
		s.Dropped++
		return false
	}
	s.all[stop.Provider] = held{stop, now + s.hold}
	return true
}

// answered tells whether the own list has spoken since: of a later process, or of this one after that word.
func answered(stop Stop, own Own) bool {
	return !own.Serving || own.Since > stop.Since || own.Index >= stop.Index
}

// Holds tells whether a provider is held back by a peer's word, given the own one.
func (s *Stops) Holds(now time.Duration, provider string, own Own) bool {
	h, ok := s.all[provider]
	if ok && (now >= h.until || answered(h.Stop, own)) {
		s.end(now, h.Stop)
		return false
	}
	return ok
}

// Expire ends the stops whose time is over, and reports whether there were any.
func (s *Stops) Expire(now time.Duration) (ended bool) {
	for _, provider := range s.Providers() {
		if h := s.all[provider]; now >= h.until {
			s.end(now, h.Stop)
			ended = true
		}
	}
	return ended
}

// end ends a stop that holds.
func (s *Stops) end(now time.Duration, stop Stop) {
	delete(s.all, stop.Provider)
	if len(s.over) >= s.most {
		s.forget()
	}
	s.over[stop.Provider] = held{stop, now + s.hold}
}

// forget lets go of the ended stop with the oldest word: an echo of it costs its time once more at worst.
func (s *Stops) forget() {
	oldest := ""
	for name, h := range s.over {
		stop := h.Stop
		if old := s.over[oldest]; oldest == "" || stop.Index < old.Index || stop.Index == old.Index && name < oldest {
			oldest = name
		}
	}
	delete(s.over, oldest)
}

// ended tells whether a stop is one that has ended, or an older one. A discovery that has moved counts from anew, so a word
// with a lower index may be a new one: no echo goes round for as long as a stop holds.
func (s *Stops) ended(now time.Duration, stop Stop) bool {
	h, ok := s.over[stop.Provider]
	if ok && now >= h.until {
		delete(s.over, stop.Provider)
		return false
	}
	return ok && !stop.newer(h.Stop)
}

// Known tells whether peers have told of this stop, or a newer one, already.
func (s *Stops) Known(now time.Duration, stop Stop) bool {
	h, ok := s.all[stop.Provider]
	return ok && !stop.newer(h.Stop) || s.ended(now, stop)
}

// Providers are those that there is a stop of, which may have ended.
func (s *Stops) Providers() []string { return slices.Sorted(maps.Keys(s.all)) }
