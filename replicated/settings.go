package replicated

import (
	"laddertide/operator"
)

// Settings are what the operators' file says of ledgers that several schedulers keep.
type Settings struct {
	Replicas int    // of each ledger, this scheduler's own copy among them
	Dir      string // the folder of the log of all groups here; it must be there
	MaxMB    int    // of that log on disk, and about of what groups hold in memory
}

// The defaults.
const (
	defaultReplicas = 3
	defaultMaxMB    = 64
)

// Parse reads the section replicated.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Replicas: defaultReplicas, MaxMB: defaultMaxMB}
	s.Need("dir")
	s.Text("dir", &set.Dir)
	s.Whole("replicas", &set.Replicas, 2, 7)
	s.Whole("max_mb", &set.MaxMB, 16, 4096)
	return set, s.Done()
}

// Memory is what groups may take, in bytes: half of the log, as what is in it is in memory, too, and nothing new is taken where
// more is used.
func (s *Settings) Memory() int { return s.MaxMB << 20 / 2 }

// CheckDir says what is wrong with the folder.
func (s *Settings) CheckDir() error { return operator.CheckFolder("replicated.dir", s.Dir) }
