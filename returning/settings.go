package returning

import (
	"time"

	"laddertide/core/recovery"
	"laddertide/ledger"
	"laddertide/operator"
	"laddertide/policy"
)

// Settings are the operators' settings for the state that outlives a process.
type Settings struct {
	Dir      string // its folder, which must exist
	Every    time.Duration
	MaxBytes int // of one generation

	FS   ledger.FS        // nil: the system's
	Wall func() time.Time // the wall clock; nil: the system's
}

const (
	defaultEveryS = 5
	defaultMaxMB  = 4
)

// Parse reads the section state.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{}
	every, mb := defaultEveryS, defaultMaxMB
	s.Require("dir")
	s.Text("dir", &set.Dir)
	s.Int("every_s", &every, 1, 3600)
	s.Int("max_mb", &mb, 1, 8)
	set.Every, set.MaxBytes = time.Duration(every)*time.Second, mb<<20
	return set, s.Done()
}

// CheckDir reports what is wrong with the folder.
func (s *Settings) CheckDir() error { return operator.CheckFolder("state.dir", s.Dir) }

// Descriptors is the number of file descriptors: the folder's lock, the folder, and the file being written.
const Descriptors = 3

// waiterBytes is the memory that a waiting job needs in addition to that of any open job.
const waiterBytes = 256

// Memory returns the maximum memory use in bytes: a generation as it is built and as it was read, and the waiting jobs.
func (s *Settings) Memory() int { return 3*s.MaxBytes + maxWaiting*waiterBytes }

// maxWaiting limits the number of waiting new jobs, whatever they need; the memory bound is based on it.
const maxWaiting = 16_384

// LimitsOf returns the limits of the recovery sequence that follow from a scheduler's settings. The caller sets those that
// depend on the timing of the membership.
func LimitsOf(set *policy.Settings) recovery.Limits {
	l := recovery.Limits{DialTimeout: set.DialTimeout, ExchangeTime: set.DialTimeout, ExpectedSchedulers: 1, ColdFrom: set.ColdFrom, ColdLoadLimit: set.ColdSendMultiple(),
		WarmWithin: set.WarmWithin, FallWindow: set.FallWindow, MaxRetry: set.MaxRetryAfter}
	for _, c := range set.Classes {
		l.Classes = append(l.Classes, recovery.Class{Deadline: c.Deadline, Worth: c.Worth, Unsafe: c.Effect == policy.Unsafe})
	}
	return l
}
