package durable

import (
	"cmp"
	"slices"
	"time"

	"laddertide/operator"
)

// Settings are the settings of durable jobs in the operator's file.
type Settings struct {
	Dir     string        // the ledger's folder; it must exist
	Classes []string      // classes whose jobs are durable; nil: all
	Sync    string        // batch, each or none
	Lease   time.Duration // how long a provider may be silent about a job; 0: without limit
	Keep    time.Duration // how long an ended job is known
	MaxMB   int           // limit of the ledger on disk
	MaxOpen int           // limit of jobs that have not ended
	KeepMB  int           // limit of the memory of ended jobs; 0: the default
}

// Defaults.
const (
	defaultSync    = "batch"
	defaultLeaseS  = 60
	defaultKeepS   = 120
	defaultMaxMB   = 256
	defaultMaxOpen = 2000
	defaultKeepMB  = 8
)

// Parse reads the section "durable".
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Sync: defaultSync, MaxMB: defaultMaxMB, MaxOpen: defaultMaxOpen, KeepMB: defaultKeepMB}
	lease, keep := defaultLeaseS, defaultKeepS
	s.Require("dir")
	s.Text("dir", &set.Dir)
	s.Texts("classes", &set.Classes)
	s.OneOf("sync", &set.Sync, "batch", "each", "none")
	s.Int("lease_s", &lease, 0, 86400)
	s.Int("keep_s", &keep, 1, 86400)
	s.Int("max_mb", &set.MaxMB, 16, 1<<20)
	s.Int("max_open", &set.MaxOpen, 1, 1_000_000)
	s.Int("keep_mb", &set.KeepMB, 1, 1<<16)
	set.Lease, set.Keep = time.Duration(lease)*time.Second, time.Duration(keep)*time.Second
	return set, s.Done()
}

// CheckDir checks that the folder can be used.
func (s *Settings) CheckDir() error { return operator.CheckFolder("durable.dir", s.Dir) }

// IsDurable reports whether jobs of a class are durable.
func (s *Settings) IsDurable(class string) bool {
	return s.Classes == nil || slices.Contains(s.Classes, class)
}

// Resources that durable jobs use.
const (
	// Descriptors is the number of file descriptors: the current segment, the folder and its lock, one more while a segment is begun or
	// the ledger is copied, and one while an answer is read.
	Descriptors = 5
	openBytes   = 4 << 10 // of an open job, in addition to the memory of any job
	queueBytes  = 4 << 20 // of records being written
	// unstoredBytes limits the answers that are not on disk; it is reached only while the disk takes no writes.
	unstoredBytes = 2 * queueBytes
	maxJoiners    = 64 // further clients that wait for the same job
)

// Memory returns the bytes that durable jobs may use, in addition to the memory of any open job.
func (s *Settings) Memory() int { return s.MaxOpen*openBytes + int(s.KeepBytes()) + queueBytes }

// KeepBytes returns the limit of the memory of ended jobs. What must be known of them until Keep has passed counts first: at the limit no
// new jobs are taken. The rest holds the newest answers; older ones are read from the disk.
func (s *Settings) KeepBytes() int64 { return int64(cmp.Or(s.KeepMB, defaultKeepMB)) << 20 }

// intakeLimit returns the size of the ledger at which no new jobs are taken, so that open jobs can still be leased and ended. The ledger
// itself takes no more records at seven eighths of its limit, as it needs one eighth to free space.
func (s *Settings) intakeLimit() int64 { return int64(s.MaxMB) << 20 / 8 * 6 }
