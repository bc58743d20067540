package returning

import (
	"time"

	"laddertide/core/recovery"
	"laddertide/ledger"
	"laddertide/operator"
	"laddertide/policy"
)

// Settings are what the operators' file says of the state that outlives a process.
type Settings struct {
	Dir      string // its folder; it must be there
	Every    time.Duration
	MaxBytes int // of one generation

	FS   ledger.FS        // in its place; nil: the system's
	Wall func() time.Time // the time of day; nil: the system's
}

const (
	defaultEveryS = 5
	defaultMaxMB  = 4
)

// Parse reads the section state.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{}
	every, mb := defaultEveryS, defaultMaxMB
	s.Need("dir")
	s.Text("dir", &set.Dir)
	s.Whole("every_s", &every, 1, 3600)
	s.Whole("max_mb", &mb, 1, 8)
	set.Every, set.MaxBytes = time.Duration(every)*time.Second, mb<<20
	return set, s.Done()
}

// CheckDir says what is wrong with the folder.
func (s *Settings) CheckDir() error { return operator.CheckFolder("state.dir", s.Dir) }

// Descriptors are the folder's lock, the folder, and the file that is written.
const Descriptors = 3

// waiterBytes is what a job weighs that waits for its turn, beside what any open one does.
const waiterBytes = 256

// Memory is what this may take, in bytes: a generation as it is made and as it was read, and who waits.
func (s *Settings) Memory() int { return 3*s.MaxBytes + mostWaiting*waiterBytes }

// mostWaiting is how many new jobs wait at a time at most, whatever they take: as many as the bound on memory is for.
const mostWaiting = 16_384

// LimitsOf are the limits of the order of return that follow from a scheduler's settings. What depends on the timing of the
// membership is the caller's.
func LimitsOf(set *policy.Settings) recovery.Limits {
	l := recovery.Limits{Dial: set.DialTimeout, Stream: set.DialTimeout, Expect: 1, ColdFrom: set.ColdFrom, Bears: set.Bears(),
		WarmWithin: set.WarmWithin, FallWindow: set.FallWindow, MaxRetry: set.MaxRetryAfter}
	for _, c := range set.Classes {
		l.Classes = append(l.Classes, recovery.Class{Deadline: c.Deadline, Worth: c.Worth, Never: c.Effect == policy.Unsafe})
	}
	return l
}
