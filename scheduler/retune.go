package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"laddertide/directory"
	"laddertide/policy"
	"laddertide/provider"
	wire "laddertide/wire/handover"
)

// Reload applies the parts of a new configuration that can change without a restart: the address of discovery, and the
// settings, whole or not at all. The list, the jobs and all connections stay. It may be called from any goroutine.
func (s *Scheduler) Reload(cfg Config) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.awaitHandover()
	if s.handedOver { // the jobs that are still to be handed over keep the classes that the next process knows
		s.requestSuccessorReread()
		return nil
	}
	if err := checkKeys("", s.cfg.tree, cfg.tree); err != nil {
		return fmt.Errorf("config: %w", err)
	}
	next := s.cfg
	next.Discovery = cfg.Discovery
	version := s.versionInForce()
	if cfg.tree != nil { // otherwise the configuration does not come from a file
		if version == 0 {
			var err error
			if next.Settings, err = cfg.Settings.AlignedWith(&s.cfg.Settings); err != nil {
				return err
			}
		}
		next.tree = cfg.tree
	}
	if err := next.Check(); err != nil {
		return err
	}
	if err := s.updateSettings(next); err != nil {
		return err
	}
	previousDiscovery := s.cfg.Discovery
	s.cfg.Discovery, s.cfg.tree = next.Discovery, next.tree
	s.log.Info("configuration reread", "discovery", cfg.Discovery, "before", previousDiscovery,
		"classes", strings.Join(activeClasses(&next.Settings), ","), "attempts", next.Settings.MaxAttempts)
	if version > 0 {
		s.log.Warn("the file's settings are ignored: those of the configuration's log are in force", "version", version)
	}
	s.requestSuccessorReread()
	if s.watching != nil && previousDiscovery != cfg.Discovery {
		// Index numbers of the previous address say nothing about the lists of the new one, so the watch starts with a whole
		// list.
		s.startWatch(cfg.Discovery, 0, true)
	}
	return nil
}

// requestSuccessorReread asks the standby process to read its configuration again. Called under mu.
func (s *Scheduler) requestSuccessorReread() {
	if successor := s.successor; successor != nil {
		go successor.Ask(&wire.RereadConfig{}, nil, askTimeout)
	}
}

// updateSettings applies settings to the components in the reverse order in which a job passes them, so that no job has a
// class that a later component does not know. Called under mu.
func (s *Scheduler) updateSettings(next Config) error {
	set := &next.Settings
	if err := s.engine.Retune(*set); err != nil {
		return err
	}
	if s.metrics != nil {
		s.metrics.UpdateSettings(*set)
	}
	if s.status != nil {
		s.status.UpdateSettings(*set)
	}
	if s.owners != nil {
		s.owners.UpdateSettings(set)
	}
	if s.durable != nil && len(set.Classes) > len(s.cfg.Settings.Classes) {
		s.log.Warn("classes that are new or changed are not durable before a restart")
	}
	s.pool.SetLimits(poolLimits(set, next.providerConnections()))
	before := s.cfg.Settings
	s.cfg.Settings = *set
	if !slices.Equal(before.ZoneNames, set.ZoneNames) || !slices.Equal(before.KindNames, set.KindNames) {
		s.publishAll()
	}
	if s.server != nil {
		s.server.UpdateSettings(*set, s.grace())
	}
	return nil
}

// restDivisor divides the dial timeout to give the time for which a connection rests between two messages. By the settings,
// that timeout bounds a connection's round trip and the delay of a busy machine; a second answer follows the first within
// the variation of that delay, which is taken as a tenth. A longer rest costs connections: one more for each message that
// goes to a worker within it.
const restDivisor = 10

// poolLimits returns a pool's limits for these settings.
func poolLimits(set *policy.Settings, calls int) provider.Limits {
	return provider.Limits{Dial: set.DialTimeout, Idle: set.IdleClose / 2, RestTime: set.DialTimeout / restDivisor, MaxConnections: calls}
}

// activeClasses returns the names of the classes in use.
func activeClasses(set *policy.Settings) (names []string) {
	for _, c := range set.Classes {
		if !c.Retired {
			names = append(names, c.Name)
		}
	}
	return names
}

// publishAll publishes the whole list again. Called under mu.
func (s *Scheduler) publishAll() {
	list := directory.List{Index: s.index, Snapshot: true}
	for _, p := range s.list.All() {
		if !p.Unlisted {
			list.Entries = append(list.Entries, s.effectiveEntry(p))
		}
	}
	s.publishList(policy.ListFull, list)
}

// parseTree parses a file without interpretation, for checkKeys.
func parseTree(raw []byte) (map[string]any, error) {
	var tree map[string]any
	if err := json.Unmarshal(raw, &tree); err != nil {
		return nil, err
	}
	if tree == nil {
		return nil, errors.New("it is empty")
	}
	if known, ok := tree["known"].(map[string]any); ok {
		clear(known) // a snapshot of the list, which is not a setting
	}
	return tree, nil
}

// checkKeys reports a key in force that a new file lacks, or has with a value of another type. Where a list holds objects,
// each new object must have the keys that all of the old ones had.
func checkKeys(at string, old, now any) error {
	if a, b := jsonKind(old), jsonKind(now); a != b && old != nil {
		return fmt.Errorf("%s is %s, not %s", at, b, a)
	}
	switch old := old.(type) {
	case map[string]any:
		now := now.(map[string]any)
		for _, key := range slices.Sorted(maps.Keys(old)) {
			v, ok := now[key]
			path := strings.TrimPrefix(at+"."+key, ".")
			if !ok {
				return fmt.Errorf("%s is missing", path)
			}
			if err := checkKeys(path, old[key], v); err != nil {
				return err
			}
		}
	case []any:
		if len(old) == 0 {
			return nil
		}
		like := old[0]
		if first, ok := like.(map[string]any); ok {
			common := maps.Clone(first)
			for _, x := range old[1:] {
				maps.DeleteFunc(common, func(key string, _ any) bool {
					m, _ := x.(map[string]any)
					_, has := m[key]
					return !has
				})
			}
			like = common
		}
		for i, x := range now.([]any) {
			if err := checkKeys(at+"."+strconv.Itoa(i), like, x); err != nil {
				return err
			}
		}
	}
	return nil
}

func jsonKind(v any) string {
	switch v.(type) {
	case nil:
		return "nothing"
	case map[string]any:
		return "an object"
	case []any:
		return "a list"
	case string:
		return "a text"
	case bool:
		return "true or false"
	}
	return "a number"
}
