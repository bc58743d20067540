package policy

import (
	"errors"
	"fmt"
	"slices"
)

// MaxClasses is the maximum number of classes in settings, including retired ones.
const MaxClasses = 4096

// AlignedWith returns s with the class and tenant indices of old, which s replaces. A class keeps its
// index while its definition is unchanged, and an index never gets another definition: a changed class is
// appended, and a removed one stays as retired. Tenants keep their indices by name; the quota of a removed
// one becomes 0.
func (s *Settings) AlignedWith(old *Settings) (Settings, error) {
	out := *s
	out.Seed, out.Me = old.Seed, old.Me // these belong to the dispatcher, not to its configuration
	out.Classes = slices.Clone(old.Classes)
	for i := range out.Classes {
		out.Classes[i].Retired = true
	}
	for _, c := range s.Classes {
		if c.Retired {
			continue // s has been merged with earlier settings before
		}
		c.Retired = true
		i := slices.Index(out.Classes, c)
		if i < 0 {
			i = len(out.Classes)
			out.Classes = append(out.Classes, c)
		}
		out.Classes[i].Retired = false
	}
	if len(out.Classes) > MaxClasses {
		return out, errors.New("settings: too many class changes since the start: restart to apply more")
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
	if err := out.ValidateNames(); err != nil {
		return out, err
	}
	return out, out.Validate()
}

// ClassIndex returns the index of the class in use with a name, else of the last retired one; -1: none.
func ClassIndex(classes []Class, name string) int {
	index := -1
	for i := range classes {
		if c := &classes[i]; c.Name == name && (!c.Retired || index < 0 || classes[index].Retired) {
			index = i
		}
	}
	return index
}

// ValidateNames returns an error if a class in use has no name, or the name of another class in use.
func (s *Settings) ValidateNames() error {
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

// UpdateSettings replaces the settings by s, in which each class and tenant of the current settings must
// keep its index. Open requests keep their classes, estimates of workers stay, and a changed class keeps its
// mean work.
func (d *Dispatcher) UpdateSettings(s Settings) error {
	if err := s.Validate(); err != nil {
		return err
	}
	if len(s.Classes) < len(d.set.Classes) || len(s.Tenants) < len(d.set.Tenants) {
		return errors.New("settings: a class or tenant of the current settings is missing")
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
		d.classWork, d.classSamples = append(d.classWork, work), append(d.classSamples, 0)
	}
	d.growKinds(kinds)
	d.tenantRate = append(d.tenantRate, make([]float64, len(s.Tenants)-len(d.tenantRate))...)
	d.set, d.splitStale = s, true
	return nil
}

// SetShares sets the number of dispatchers that share the work, and this one's share of a cold worker's
// budget, which is divided among all that may be sending. The host determines both.
func (d *Dispatcher) SetShares(present int, budgetShare float64) {
	d.set.Balancers, d.set.Budget, d.splitStale = max(1, present), 1/min(max(budgetShare, 1e-6), 1), true
	d.set.Me = min(d.set.Me, d.set.Balancers-1) // Validate requires the range; Me is read only by New
}

// growKinds extends the lists to at least n kinds of workers.
func (d *Dispatcher) growKinds(n int) {
	oldPools := d.pools
	defer func() {
		if len(d.pools) == len(oldPools) {
			return
		}
		// The pools have been reallocated: point the open requests to the new ones. A request that still
		// pointed to an old pool would be removed there when it ends and stay held in the new pool, which
		// would send it later, when its memory may belong to another request.
		for _, r := range d.open {
			for i := range oldPools {
				if r.pool == &oldPools[i] {
					r.pool = &d.pools[i]
					break
				}
			}
		}
	}()
	for len(d.kinds) < n {
		d.kinds = append(d.kinds, kindStats{unboundShare: 1})
		d.pools = append(d.pools, pool{})
		d.boundArrivedSlots, d.boundArrivalRate = append(d.boundArrivedSlots, 0),
			append(d.boundArrivalRate, 0)
	}
}
