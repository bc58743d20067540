package owners

import (
	"time"

	"laddertide/operator"
	"laddertide/owners/recordlog"
	wire "laddertide/wire/owners"
)

// Settings are what the operators' file says of one owner for each job.
type Settings struct {
	Keepers    int           // schedulers that keep the record of an id
	Keep       time.Duration // for which a job that has ended is known
	First      time.Duration // for which what must not run twice is refused where nobody remembers who kept what; below 0: as long as records count
	MaxRecords int           // that this scheduler keeps for all; as many answers of its own
	MaxWaits   int           // schedulers' questions for jobs of this one's that wait for their end
	Dir        string        // a folder for what this scheduler keeps for all, so that it outlives the process; empty: it does not
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
	set := Settings{Keepers: defaultKeepers, First: -1, MaxRecords: defaultMaxRecords, MaxWaits: defaultMaxWaits}
	keep, first := defaultKeepS, -1
	s.Whole("keepers", &set.Keepers, 1, 9)
	s.Whole("keep_s", &keep, 1, 3600)
	s.Whole("first_s", &first, 0, 86400)
	s.Whole("max_records", &set.MaxRecords, 16, 1_000_000)
	s.Whole("max_waits", &set.MaxWaits, 1, 1_000_000)
	s.Text("dir", &set.Dir)
	set.Keep = time.Duration(keep) * time.Second
	if first >= 0 {
		set.First = time.Duration(first) * time.Second
	}
	return set, s.Done()
}

const (
	recordBytes = 512     // of a record, with a result as large as one carries
	waitBytes   = 128     // of a question that waits
	answerBytes = 4 << 20 // of all answers that are known
	mostJoiners = 64      // consumers that wait for a job here
	mostUnfound = 64      // providers' words at a time of which it is found out whose they are
	mostWhole   = 4       // messages at a time that are larger than a packet
)

// Memory is what this may take, in bytes, beside what any open job weighs.
func (s *Settings) Memory() int {
	bytes := s.MaxRecords*recordBytes + s.MaxWaits*waitBytes + answerBytes + mostWhole*(1<<20)
	if s.Dir != "" {
		bytes += recordlog.QueueBytes
	}
	return bytes
}

// Descriptors are those of the folder.
func (s *Settings) Descriptors() int {
	if s.Dir == "" {
		return 0
	}
	return recordlog.Descriptors
}

// storedTimes is how often a record is written at the most while it counts: for its taking, each call, its end and as it is told
// by others when members come and go; the log holds what was written within three times of that (a half, and what is trimmed late).
const storedTimes = 3 * (wire.MaxSent + 4)

// storedBytes is how large the log of records may be.
func (s *Settings) storedBytes() int64 { return int64(s.MaxRecords) * recordBytes * storedTimes }

// CheckDir says what is wrong with the folder, if there is to be one.
func (s *Settings) CheckDir() error {
	if s.Dir == "" {
		return nil
	}
	return operator.CheckFolder("owners.dir", s.Dir)
}
