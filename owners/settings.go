package owners

import (
	"time"

	"laddertide/operator"
	"laddertide/owners/recordlog"
	wire "laddertide/wire/owners"
)

// Settings are the section owners of the operators' file.
type Settings struct {
	Keepers           int           // schedulers that keep the record of an ID
	Retention         time.Duration // time for which the end of a job is known
	InitialRejectTime time.Duration // time for which jobs that must not run twice are rejected if no scheduler knows an earlier roster; below 0: as long as records count
	MaxRecords        int           // records that this scheduler keeps for all, and also answers of its own jobs
	MaxWaiters        int           // questions of other schedulers that wait for the end of jobs of this one
	Dir               string        // folder for the records that this scheduler keeps for all, so that they outlive the process; empty: they do not
}

// The defaults.
const (
	defaultKeepers    = 3
	defaultKeepS      = 30
	defaultMaxRecords = 10_000
	defaultMaxWaits   = 2000
)

// Parse reads the section owners.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Keepers: defaultKeepers, InitialRejectTime: -1, MaxRecords: defaultMaxRecords, MaxWaiters: defaultMaxWaits}
	keep, first := defaultKeepS, -1
	s.Int("keepers", &set.Keepers, 1, 9)
	s.Int("keep_s", &keep, 1, 3600)
	s.Int("first_s", &first, 0, 86400)
	s.Int("max_records", &set.MaxRecords, 16, 1_000_000)
	s.Int("max_waits", &set.MaxWaiters, 1, 1_000_000)
	s.Text("dir", &set.Dir)
	set.Retention = time.Duration(keep) * time.Second
	if first >= 0 {
		set.InitialRejectTime = time.Duration(first) * time.Second
	}
	return set, s.Done()
}

const (
	recordBytes   = 512     // of a record with the largest result that it can carry
	waitBytes     = 128     // of a question that waits
	answerBytes   = 4 << 20 // of all retained answers
	maxJoiners    = 64      // clients that wait for one job here
	maxLookups    = 64      // providers' events whose owner is being looked up, at a time
	maxLargeSends = 4       // messages larger than a packet that are sent at a time
)

// Memory returns the most memory that this package takes, in bytes, apart from open jobs.
func (s *Settings) Memory() int {
	bytes := s.MaxRecords*recordBytes + s.MaxWaiters*waitBytes + answerBytes + maxLargeSends*(1<<20)
	if s.Dir != "" {
		bytes += recordlog.QueueBytes
	}
	return bytes
}

// Descriptors returns the number of file descriptors that the folder takes.
func (s *Settings) Descriptors() int {
	if s.Dir == "" {
		return 0
	}
	return recordlog.Descriptors
}

// writesPerRecord limits how often a record is written within the time that the log holds. While it counts, a record is written for its
// claim, for each attempt, for its end, and when other members transfer it as the roster changes. The factor is 3 because the log
// holds three times that time: entries are trimmed at twice the age, and late.
const writesPerRecord = 3 * (wire.MaxAttempts + 4)

// storedBytes returns the size limit of the log of records.
func (s *Settings) storedBytes() int64 { return int64(s.MaxRecords) * recordBytes * writesPerRecord }

// CheckDir returns an error if a folder is configured and cannot be used.
func (s *Settings) CheckDir() error {
	if s.Dir == "" {
		return nil
	}
	return operator.CheckFolder("owners.dir", s.Dir)
}
