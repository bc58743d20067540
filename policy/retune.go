package policy

import (
	"errors"
	"fmt"
	"slices"
)

// MostClasses bounds the classes of settings, those that are retired included.
const MostClasses = 4096

// After are the settings that take the place of old ones. A class keeps its place for as long as it means the same, and
// no place ever means another one: what is changed gets a new place, and what is gone is retired at its own. Tenants keep
// their places by name; one that is gone has no share to go past any more.
func (s *Settings) After(old *Settings) (Settings, error) {
	out := *s
	out.Seed, out.Me = old.Seed, old.Me // of this dispatcher, not of its settings
	out.Classes = slices.Clone(old.Classes)
	for i := range out.Classes {
		out.Classes[i].Retired = true
	}
	for _, c := range s.Classes {
		if c.Retired {
			continue // s has come after others itself
		}
		c.Retired = true
		i := slices.Index(out.Classes, c)
		if i < 0 {
			i = len(out.Classes)
			out.Classes = append(out.Classes, c)
		}
		out.Classes[i].Retired = false
	}
	if len(out.Classes) > MostClasses {
		return out, errors.New("settings: too many changes of classes since the start: only a restart takes more")
	}
	out.Tenants = slices.Clone(old.Tenants)
	for i := range out.Tenants {
		out.Tenants[i].Quota = 0
	}
	for _, t := range s.Tenants {
		i := slices.IndexFunc(out.Tenants, func(o Tenant) bool { return o.Name == t.Name })
		if i < 0 {
			i = len(out.Tenants)
			out.Tenants = append(out.Tenants, t)
		}
		out.Tenants[i] = t
	}
	if err := out.Names(); err != nil {
		return out, err
	}
	return out, out.Validate()
}

// Names reports the first thing wrong with the names of classes that are in use: each must have one of its own.
func (s *Settings) Names() error {
	seen := make(map[string]bool)
	for i, c := range s.Classes {
		if c.Retired {
			continue
		}
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("settings: class %d has no name of its own", i)
		}
		seen[c.Name] = true
	}
	return nil
}

// Retune goes on under other settings, which must come After those that it has. Requests keep the classes that they came
// with; of workers nothing is forgotten, and of a class that has changed its mean work is kept.
func (d *Dispatcher) Retune(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if len(s.Classes) < len(d.set.Classes) || len(s.Tenants) < len(d.set.Tenants) {
		return errors.New("settings: a class or tenant has lost its place")
	}
	kinds := max(len(d.kinds), s.Kinds)
	for i, c := range s.Classes {
		kinds = max(kinds, c.Kind+1)
		if i < len(d.classWork) {
			continue
		}
		work := d.meanWork
		for k := range d.classWork {
			if s.Classes[k].Name == c.Name {
				work = d.classWork[k]
			}
		}
		d.classWork, d.classN = append(d.classWork, work), append(d.classN, 0)
	}
	d.growKinds(kinds)
	d.tenantRate = append(d.tenantRate, make([]float64, len(s.Tenants)-len(d.tenantRate))...)
	d.set, d.dirty = s, true
	return nil
}

// Share goes on as one of so many dispatchers that share the work, with this part of a cold worker's budget, which all that
// may be sending share. Who these are is the host's to say.
func (d *Dispatcher) Share(present int, part float64) {
	d.set.Balancers, d.set.Budget, d.dirty = max(1, present), 1/min(max(part, 1e-6), 1), true
	d.set.Me = min(d.set.Me, d.set.Balancers-1) // it has drawn its first numbers by it and is not read again
}

// growKinds makes room for that many kinds of workers.
func (d *Dispatcher) growKinds(n int) {
	before := d.pools
	defer func() {
		if len(d.pools) == len(before) {
			return
		}
		// The pools have moved, and what is held in them goes along: one that was left with the old ones would be ended there
		// and stay held here, to be sent on when it is another request by then.
		for _, r := range d.open {
			for i := range before {
				if r.pool == &before[i] {
					r.pool = &d.pools[i]
					break
				}
			}
		}
	}()
	for len(d.kinds) < n {
		d.kinds = append(d.kinds, kindStats{guest: 1})
		d.pools = append(d.pools, pool{})
		d.boundIn, d.boundRate = append(d.boundIn, 0), append(d.boundRate, 0)
	}
}
