package job

import "sync"

// Inherited is the Keeper of a job that another process has handed over. It keeps nothing: it only knows what was done.
type Inherited struct {
	calls   []Past
	arrived func()
}

// Inherit makes one. arrived is called once the call that is out, if any, is listened for here.
func Inherit(calls []Past, arrived func()) *Inherited {
	i := &Inherited{calls: calls, arrived: sync.OnceFunc(arrived)}
	if n := len(calls); n == 0 || !calls[n-1].Out {
		i.arrived()
	}
	return i
}

// Past implements job.Keeper, as all that follows does.
func (i *Inherited) Past() ([]Past, bool) { return i.calls, true }

func (i *Inherited) Awaiting() { i.arrived() }

// Sending numbers no calls.
func (i *Inherited) Sending(string) (uint64, error) { return 0, nil }

// MayStillSend allows all attempts: nobody else knows the job.
func (i *Inherited) MayStillSend(uint64) error { return nil }

func (i *Inherited) Begun(uint64) {}

func (i *Inherited) Beat(uint64) {}

func (i *Inherited) Done(uint64, []byte) error { return nil }

func (i *Inherited) Over(uint64, bool) {}

// Left tells that nobody else goes on with the job.
func (i *Inherited) Left() bool { return false }
