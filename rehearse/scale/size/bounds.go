package size

import (
	"fmt"
	"syscall"
)

// Bounds of a run on one machine.
const (
	MostProcesses = 200
	MostMemoryMB  = 12 << 10
)

// Estimates from which a run's needs are computed. Memory was looked up in runs of the kit: a scheduler has its budget
// reserved whole, as the kit lets it grow to that.
const (
	HollowPerProcess  = 25  // members in one process
	memoryHollowMB    = 3   // a member
	memoryHollowBase  = 32  // a process of them
	memoryKitMB       = 400 // without a fleet
	memoryWorkerKB    = 64  // a hollow worker, each scheduler's listener included
	memoryTaskKB      = 64  // a task: its client's connection, its events
	idleSeconds       = 10  // a pooled connection stays open so long unused
	callBackSeconds   = 5
	relayDescriptors  = 6 // of one member: two sockets, and connections in passing
	hollowDescriptors = 8
	spareDescriptors  = 500
)

// Needs are what a run takes of the machine.
type Needs struct {
	Processes int
	MemoryMB  int
	// Descriptors that one process holds at once.
	KitDescriptors       int // the process with the hollow workers, clients, discovery and relays
	HollowDescriptors    int // a process of hollow schedulers
	SchedulerDescriptors int // a real scheduler
	HollowProcesses      int

	sum string
}

// NeedsOf computes what a size takes.
func NeedsOf(s *Size) Needs {
	workers, real, hollow := s.Workers.Count, s.Schedulers.Real, s.Schedulers.Hollow
	members := real + hollow
	n := Needs{HollowProcesses: (hollow + HollowPerProcess - 1) / HollowPerProcess}
	n.Processes = 1 + real + n.HollowProcesses
	listeners := workers * real
	toWorkers := min(workers*real, int(s.Tasks.StartsPerS*idleSeconds)+real)
	callBacks := min(workers*real, int(2*s.Tasks.StartsPerS*callBackSeconds)+real)
	relays := relayDescriptors * members
	n.KitDescriptors = listeners + s.Tasks.Running + toWorkers + callBacks + relays + spareDescriptors
	n.HollowDescriptors = hollowDescriptors*min(hollow, HollowPerProcess) + 64
	n.SchedulerDescriptors = (s.Tasks.Running+toWorkers+callBacks)/real + 128
	n.MemoryMB = memoryKitMB + real*int(s.Budget.MemoryMB) + n.HollowProcesses*memoryHollowBase + hollow*memoryHollowMB +
		workers*memoryWorkerKB*(1+real)/1024 + s.Tasks.Running*memoryTaskKB/1024
	n.sum = fmt.Sprintf("%d listeners (%d workers x %d real schedulers) + %d clients + %d connections to workers + %d call-backs + "+
		"%d for relays of %d members + %d spare", listeners, workers, real, s.Tasks.Running, toWorkers, callBacks, relays, members,
		spareDescriptors)
	return n
}

// Add returns what two runs side by side in one kit take.
func (n Needs) Add(m Needs) Needs {
	n.Processes += m.Processes - 1 // there is one kit
	n.MemoryMB += m.MemoryMB - memoryKitMB
	n.KitDescriptors += m.KitDescriptors - spareDescriptors
	n.sum += "; beside " + m.sum
	return n
}

// Check refuses what is over the bounds, with the sum. descriptors is the limit for one process.
func (n Needs) Check(descriptors int) error {
	switch {
	case n.Processes > MostProcesses:
		return fmt.Errorf("%d processes are more than %d", n.Processes, MostProcesses)
	case n.MemoryMB > MostMemoryMB:
		return fmt.Errorf("%d MB of memory are more than %d", n.MemoryMB, MostMemoryMB)
	case n.KitDescriptors > descriptors:
		return fmt.Errorf("%d descriptors are more than the limit of %d: %s", n.KitDescriptors, descriptors, n.sum)
	}
	return nil
}

// DescriptorLimit is the soft limit of this process, which is not raised.
func DescriptorLimit() (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, 1<<30)), nil
}
