package durable

import (
	"slices"
	"time"

	"laddertide/operator"
)

// Settings are what the operator's file says of durable jobs.
type Settings struct {
	Dir     string        // the ledger's folder; it must be there
	Classes []string      // whose jobs are durable; nil: those of all classes
	Sync    string        // batch, each or none
	Lease   time.Duration // for which a provider may be silent about a job; 0: for ever
	Keep    time.Duration // for which a job that has ended is known
	MaxMB   int           // of the ledger on disk
	MaxOpen int           // jobs that have not ended
}

// The defaults.
const (
	defaultSync    = "batch"
	defaultLeaseS  = 60
	defaultKeepS   = 120
	defaultMaxMB   = 256
	defaultMaxOpen = 2000
)

// Parse reads the section durable.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Sync: defaultSync, MaxMB: defaultMaxMB, MaxOpen: defaultMaxOpen}
	lease, keep := defaultLeaseS, defaultKeepS
	s.Need("dir")
	s.Text("dir", &set.Dir)
	s.Texts("classes", &set.Classes)
	s.Word("sync", &set.Sync, "batch", "each", "none")
	s.Whole("lease_s", &lease, 0, 86400)
	s.Whole("keep_s", &keep, 1, 86400)
	s.Whole("max_mb", &set.MaxMB, 16, 1<<20)
	s.Whole("max_open", &set.MaxOpen, 1, 1_000_000)
	set.Lease, set.Keep = time.Duration(lease)*time.Second, time.Duration(keep)*time.Second
	return set, s.Done()
}

// CheckDir says what is wrong with the folder.
func (s *Settings) CheckDir() error { return operator.CheckFolder("durable.dir", s.Dir) }

// Of tells whether jobs of a class are durable.
func (s *Settings) Of(class string) bool {
	return s.Classes == nil || slices.Contains(s.Classes, class)
}

// What durable jobs take of the machine's limits.
const (
	// Descriptors are the segment that is written, the folder and its lock, and one more while a segment is read or the
	// ledger copied.
	Descriptors = 4
	openBytes   = 4 << 10 // of an open job, beside what any job weighs
	keepBytes   = 8 << 20 // of all that have ended and are known
	keepCount   = 20_000  // of them
	queueBytes  = 4 << 20 // of records on their way to the disk
	mostJoiners = 64      // consumers that wait for a job, beside one
)

// Memory is what durable jobs may take, in bytes, beside what any open job weighs.
func (s *Settings) Memory() int { return s.MaxOpen*openBytes + keepBytes + queueBytes }

// The ledger itself takes no more records at seven eighths of what it may have, as it needs one for what makes room.
// Before that no more jobs are taken, so that those that are open can be leased and ended; and before that those that
// have ended are forgotten early.
func (s *Settings) crowded() int64 { return int64(s.MaxMB) << 20 / 8 * 5 }
func (s *Settings) full() int64    { return int64(s.MaxMB) << 20 / 8 * 6 }
