// Package peers connects the schedulers of one installation: a membership protocol (SWIM with Lifeguard, by
// hashicorp/memberlist) finds out which of them run, and messages of this package carry bans, drain notices and failure
// reports. The package owns the sockets, the timers and the queue of broadcasts. It draws no conclusions: core/fleet decides
// what evidence proves, and the user of this package applies it.
package peers

import (
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// Config holds the settings and callbacks of Peers.
type Config struct {
	Name               string
	Settings           Settings
	Timing             Timing
	ExpectedSchedulers int                  // number of schedulers according to the settings
	Start              uint64               // start number of this process; 0: the system clock's time in nanoseconds
	State              []byte               // returned by Release of the process that this one succeeds as the same member; nil: there is none
	Network            memberlist.Transport // nil: sockets at Settings.Listen
	Log                *slog.Logger

	// Apply is called after a change of the membership, bans or drain notices, by one goroutine at a time and with no lock held.
	Apply func()
	// OwnListEntry returns a provider's entry in this scheduler's own list of providers.
	OwnListEntry func(provider string) fleet.OwnListEntry
	// HandleFailureReport is called when a peer has reported that jobs sent to a provider fail.
	HandleFailureReport func(provider string)
	// CheckpointEstimates returns a checkpoint of this scheduler's estimates about providers. Config.RestoreFromPeer restores a peer's checkpoint;
	// it is called at most once, before Start returns. skew is the peer's clock minus this one's. Either may be nil.
	CheckpointEstimates func() []byte
	RestoreFromPeer     func(from string, beliefs []byte, skew time.Duration)
	// HandleOwnership handles another scheduler's message on the ownership of jobs (wire/owners). It must not block. nil: this scheduler
	// keeps no records of ownership.
	HandleOwnership func(b []byte)
	// HandleGroupConn handles connections between members of groups (laddertide/replica), which begin with another byte than those of
	// the membership protocol. nil: there are none.
	HandleGroupConn func(c net.Conn)
	// Disk identifies this scheduler's disk among members of groups; 0: it takes part in no groups.
	Disk uint64

	// Stored is set if the scheduler keeps its state on disk; nil: it does not.
	Stored *StoredState
}

// StoredState holds the state that the previous process has left on disk, and callbacks that save more.
type StoredState struct {
	Addresses  []string // of the schedulers that ran then; contacted in addition to those of Settings.Join
	Bans       []wire.BanRecord
	LiftedBans []wire.BanID
	// Save returns once the current state is on disk; an error means that it is not.
	Save func() error
	// NextStart returns a start number for this process that is later than seen, the latest that a peer has seen of this name.
	// The number is on disk when Number returns.
	NextStart func(seen uint64) (uint64, error)
	// StepsRemaining returns the number of steps of the recovery that remain.
	StepsRemaining func() byte
}

// Peers is this scheduler's connection to the others. Its methods are safe for concurrent use.
type Peers struct {
	cfg       Config
	log       *slog.Logger
	list      *memberlist.Memberlist
	listReady chan struct{} // closed once list is set
	transport memberlist.Transport
	queue     *memberlist.TransmitLimitedQueue
	origin    time.Time

	inbox      chan wire.Message
	applyDue   chan struct{} // holds one while Apply is to be called
	closing    chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup

	noteDue chan struct{} // holds one while a new note of this scheduler about itself is to be published
	noteMu  sync.Mutex    // held while a note is published

	mu                 sync.Mutex // never held while list is called
	view               *fleet.View
	bans               *fleet.Bans
	stops              *fleet.Stops
	conclusion         fleet.Conclusion
	loggedStates       map[string]fleet.State // members' states as last logged
	notes              map[string]wire.Note   // members' notes about themselves
	leaving            bool                   // this scheduler accepts no new records
	banHolders         map[fleet.BanID]map[string]bool
	announcements      map[uint64]*announcement // by message number, while they wait for acknowledgements
	lastNumber         uint64                   // the last number given to a message that is to be acknowledged
	seenFailureReports map[failureReportKey]bool
	failureReportOrder []failureReportKey // the keys of seenFailureReports, oldest first
	joining            bool               // Start has not finished searching for peers
	checkpointRestored bool
	conflict           *conflict
	loggedFaults       map[string]bool // kinds of malformed messages that were logged
	counts             Counts

	// Used only with Config.Stored.
	exchangedWith    map[string]uint64 // start numbers of members that have sent their full state since this process started
	otherVersion     map[string]bool   // members that speak another version
	searchDone       bool              // the search of Start is over
	searchFound      bool              // that search has found a scheduler
	ownStarts        map[uint64]bool   // all start numbers of this process
	latestOtherStart uint64            // the latest start number of this name that others have seen, except ownStarts
	renumbering      chan struct{}     // holds one while a later start number is being obtained
	ackSlots         chan struct{}     // holds one for each batch of acknowledgements that waits for the disk
}

// Counts are numbers of events since the start.
type Counts struct {
	Messages, Dropped, Malformed, OtherVersion, Exchanges, Stalls int
}

// conflict describes another process that uses this scheduler's name.
type conflict struct {
	address string
	start   uint64
}

// now returns the time used for all conclusions. It is monotonic and starts above 0.
func (p *Peers) now() time.Duration { return time.Since(p.origin) + time.Second }

// Conclusion returns the conclusions drawn from everything received so far.
func (p *Peers) Conclusion() fleet.Conclusion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conclusion
}
