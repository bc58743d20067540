package replicated

import (
	"laddertide/operator"
)

// Settings are the section replicated of the operators' file, for ledgers that several schedulers store.
type Settings struct {
	Replicas int    // copies of each ledger, including this scheduler's own
	Dir      string // folder of the log of all groups here; it must exist
	MaxMB    int    // maximum size of that log on disk, and about the memory that groups take
}

// The defaults.
const (
	defaultReplicas = 3
	defaultMaxMB    = 64
)

// Parse reads the section replicated.
func Parse(s *operator.Section) (Settings, error) {
	set := Settings{Replicas: defaultReplicas, MaxMB: defaultMaxMB}
	s.Require("dir")
	s.Text("dir", &set.Dir)
	s.Int("replicas", &set.Replicas, 2, 7)
	s.Int("max_mb", &set.MaxMB, 16, 4096)
	return set, s.Done()
}

// Memory returns the most memory that groups may take, in bytes: half of the log, as its contents are in memory, too, and nothing
// new is accepted if more is used.
func (s *Settings) Memory() int { return s.MaxMB << 20 / 2 }

// CheckDir returns an error if the folder cannot be used.
func (s *Settings) CheckDir() error { return operator.CheckFolder("replicated.dir", s.Dir) }
