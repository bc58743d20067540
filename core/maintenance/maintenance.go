// Package maintenance combines the providers reported by discovery with the bans set by operators into one list of providers. It
// holds the bans and the last report of discovery. It does no I/O, and does not decide what the list means for jobs.
package maintenance

import (
	"maps"
	"slices"
	"time"
)

// Provider is the effective state of a provider.
type Provider[E any] struct {
	Name        string
	Entry       E             // the last entry from discovery
	Unlisted    bool          // discovery does not list it
	Banned      bool          // banned by an operator: it gets no new jobs, whatever discovery reports
	HeldBack    bool          // another scheduler reported it drained or gone: no new jobs until discovery reports more
	BanLiftedAt time.Duration // when its ban was last lifted; 0: never
}

// List is the list of providers. The zero value is an empty list. It keeps every provider that was ever listed, as a provider that
// discovery no longer lists can also be banned, before it returns.
type List[E any] struct {
	providers map[string]*Provider[E]
}

func (l *List[E]) get(name string) *Provider[E] {
	if l.providers == nil {
		l.providers = make(map[string]*Provider[E])
	}
	p := l.providers[name]
	if p == nil {
		p = &Provider[E]{Name: name, Unlisted: true}
		l.providers[name] = p
	}
	return p
}

// Report stores discovery's report on one provider and returns its effective state.
func (l *List[E]) Report(name string, e E, gone bool) Provider[E] {
	p := l.get(name)
	p.Entry, p.Unlisted = e, gone
	return *p
}

// SetListed marks all providers except these as no longer listed by discovery.
func (l *List[E]) SetListed(names []string) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for name, p := range l.providers {
		p.Unlisted = p.Unlisted || !listed[name]
	}
}

// Ban bans a provider. It returns the provider's effective state, and whether it is known.
func (l *List[E]) Ban(name string) (now Provider[E], known bool) {
	p := l.providers[name]
	if p == nil {
		return now, false
	}
	p.Banned = true
	return *p, true
}

// LiftBan lifts the ban on a provider. It changes nothing for one that is not banned.
func (l *List[E]) LiftBan(name string, at time.Duration) (now Provider[E], known bool) {
	p := l.providers[name]
	if p == nil {
		return now, false
	}
	if p.Banned {
		p.Banned, p.BanLiftedAt = false, at
	}
	return *p, true
}

// SetRestrictions sets whether a provider is banned by any operator, and whether it is held back because of another scheduler's report. The
// provider need not have been listed yet. Set returns the effective state, and whether out or held has changed.
func (l *List[E]) SetRestrictions(name string, out, held bool, at time.Duration) (now Provider[E], changed bool) {
	p := l.providers[name]
	if p == nil {
		if !out && !held {
			return now, false
		}
		p = l.get(name)
	}
	if changed = p.Banned != out || p.HeldBack != held; p.Banned && !out {
		p.BanLiftedAt = at
	}
	p.Banned, p.HeldBack = out, held
	return *p, changed
}

// Get returns the effective state of a provider, and whether it is known.
func (l *List[E]) Get(name string) (Provider[E], bool) {
	p := l.providers[name]
	if p == nil {
		return Provider[E]{Name: name, Unlisted: true}, false
	}
	return *p, true
}

// All returns all providers, sorted by name.
func (l *List[E]) All() []Provider[E] {
	out := make([]Provider[E], 0, len(l.providers))
	for _, name := range slices.Sorted(maps.Keys(l.providers)) {
		out = append(out, *l.providers[name])
	}
	return out
}

// Replace replaces the contents of the list with those of another one.
func (l *List[E]) Replace(all []Provider[E]) {
	l.providers = make(map[string]*Provider[E], len(all))
	for i := range all {
		p := all[i]
		l.providers[p.Name] = &p
	}
}
