package durable

import (
	"math"

	"laddertide/core/leases"
	"laddertide/ledger"
)

// LedgerContents is the contents of a ledger, for tools that inspect it.
type LedgerContents struct {
	ledger.Report
	Jobs           []leases.Job // ordered by number; bodies only of open jobs
	Damages        []ledger.Damage
	InvalidRecords []error          // errors of invalid records
	Missing        []leases.Missing // records that seem to be missing; some may be writes lost in a crash
}

// Inspect reads the ledger in a folder without changing it. A process may be using it.
func Inspect(dir string) (*LedgerContents, error) {
	t, err := leases.New(leases.Options{MaxOpen: math.MaxInt, Keep: math.MaxInt64, KeepBytes: math.MaxInt64, UnstoredBytes: math.MaxInt64})
	if err != nil {
		return nil, err
	}
	f := &LedgerContents{}
	f.Report, err = ledger.Read(dir, func(_ uint64, b []byte) error {
		r, err := leases.Decode(b)
		if err == nil {
			err = t.Replay(r)
		}
		if err != nil {
			f.InvalidRecords = append(f.InvalidRecords, err)
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
