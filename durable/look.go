package durable

import (
	"math"

	"laddertide/core/leases"
	"laddertide/ledger"
)

// Found is what a ledger holds, for tools that look at it.
type Found struct {
	ledger.Report
	Jobs    []leases.Job // by their numbers; those that are open with their bodies
	Damages []ledger.Damage
	Bad     []error          // records that make no sense
	Missing []leases.Missing // what must have been there, as it seems; some of it may be lost writes of a crash
}

// Look reads the ledger in a folder without changing it, also while a process uses it.
func Look(dir string) (*Found, error) {
	t, err := leases.New(leases.Options{MaxOpen: math.MaxInt, Keep: math.MaxInt64, KeepCount: math.MaxInt,
		KeepBytes: math.MaxInt64})
	if err != nil {
		return nil, err
	}
	f := &Found{}
	f.Report, err = ledger.Read(dir, func(_ uint64, b []byte) error {
		r, err := leases.Decode(b)
		if err == nil {
			err = t.Replay(r)
		}
		if err != nil {
			f.Bad = append(f.Bad, err)
		}
		return nil
	}, func(d ledger.Damage) { f.Damages = append(f.Damages, d) })
	if err != nil {
		return nil, err
	}
	at := now()
	_, f.Missing = t.Recover(at)
	for j := range t.Snapshot(at) {
		f.Jobs = append(f.Jobs, j)
	}
	return f, nil
}
