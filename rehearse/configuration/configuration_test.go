package configuration

import (
	"testing"
)

const schedulers = 6

// TestAChangeIsInForceEverywhere: accepted once, in force at all, and each page names who has it.
func TestAChangeIsInForceEverywhere(t *testing.T) {
	r := newRig(t, schedulers)
	r.startAll()
	document := r.document(1)
	version := r.change(0, document)
	r.untilInForce(version, document, r.schedulers...)
	r.until("nobody is behind by any page", func() bool {
		for _, p := range r.schedulers {
			page := p.page()
			if page == nil || page.Fleet == nil || len(page.Fleet.Followers) != schedulers {
				return false
			}
			for _, row := range page.Fleet.Followers {
				if row.Version != version || row.BehindMS != 0 || row.InDoubt {
					return false
				}
			}
		}
		return true
	})
}
