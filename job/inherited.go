package job

import "sync"

// InheritedKeeper is the Keeper of a job that another process has handed over. It stores nothing; it only knows the earlier attempts.
type InheritedKeeper struct {
	past    []PastAttempt
	arrived func()
}

// NewInheritedKeeper returns the Keeper of such a job. arrived is called once this process accepts call-backs about the attempt in flight, if there is
// one.
func NewInheritedKeeper(past []PastAttempt, arrived func()) *InheritedKeeper {
	i := &InheritedKeeper{past: past, arrived: sync.OnceFunc(arrived)}
	if n := len(past); n == 0 || !past[n-1].InFlight {
		i.arrived()
	}
	return i
}

// PastAttempts implements job.Keeper, as do all methods below.
func (i *InheritedKeeper) PastAttempts() ([]PastAttempt, bool) { return i.past, true }

func (i *InheritedKeeper) CallBacksAccepted() { i.arrived() }

// BeforeSend assigns no leases.
func (i *InheritedKeeper) BeforeSend(string) (uint64, error) { return 0, nil }

// MayStillSend allows all attempts: no other process has the job.
func (i *InheritedKeeper) MayStillSend(uint64) error { return nil }

func (i *InheritedKeeper) Started(uint64) {}

func (i *InheritedKeeper) Running(uint64) {}

func (i *InheritedKeeper) StoreResult(uint64, []byte) error { return nil }

func (i *InheritedKeeper) AttemptEnded(uint64, bool) {}

// LeftToNextProcess returns false: no other process continues the job.
func (i *InheritedKeeper) LeftToNextProcess() bool { return false }
