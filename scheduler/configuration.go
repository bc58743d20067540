package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"laddertide/configuration/follower"
	"laddertide/internal/wire"
	"laddertide/policy"
)

// The section configuration: settings come from a log that a quorum of sources keeps. If s.cfg.Operator.Configuration is
// nil, the functions here do nothing.

// followedConfiguration is the state of the configuration that a scheduler follows. Guarded by the scheduler's mutex.
type followedConfiguration struct {
	follower *follower.Follower // nil: off, closed, or another process still holds the folder
	ended    bool               // no follower may be started any more
	inForce  follower.Document  // Version 0: the settings come from the file
	since    time.Time          // when it came into force
	problem  string             // error in the folder, or in the stored document, at the start; empty: none
}

// followerRetryInterval is the interval of attempts to open a folder that the previous process may still hold.
const followerRetryInterval = 50 * time.Millisecond

// firstVersionTimeout bounds how long a start without a version on disk waits for a source before it uses the file's
// settings. Together with the longest wait for the previous process it stays within the 6 s in which readiness is due.
const firstVersionTimeout = joinTimeout / 2

// Keys of the settings that belong to one scheduler. They keep the values of its file, whatever a document contains.
const (
	keyMe   = "me"
	keyZone = "zone"
)

// ownSettings parses a document into the settings of the scheduler of cfg, by the rules for its configuration file.
func ownSettings(cfg *Config, document []byte) (policy.Settings, error) {
	var keys map[string]json.RawMessage
	if err := json.Unmarshal(document, &keys); err != nil {
		return policy.Settings{}, fmt.Errorf("configuration: the document is no object of settings: %w", err)
	}
	if keys == nil {
		return policy.Settings{}, errors.New("configuration: the document is empty")
	}
	keys[keyMe] = json.RawMessage(strconv.Itoa(cfg.Settings.Me))
	keys[keyZone] = json.RawMessage(strconv.Itoa(cfg.Settings.Zone))
	raw, err := json.Marshal(keys)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("configuration: %w", err)
	}
	set, err := wire.ParseSettingsJSON(cfg.Settings.Seed, raw)
	if err != nil {
		return policy.Settings{}, fmt.Errorf("configuration: %w", err)
	}
	return set, set.ValidateNames()
}

// CheckDocument reports what makes a document unusable for every scheduler, by the rules for a configuration file. What
// depends on one scheduler, such as its number among them and its features, is checked by that scheduler.
func CheckDocument(document []byte) error {
	cfg := Config{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", Limits: Limits{Sockets: defaultSockets}}
	set, err := ownSettings(&cfg, document)
	if err != nil {
		return err
	}
	cfg.Settings = set
	return cfg.Check()
}

// withDocument returns a configuration with the settings of a document, checked as those of a file are.
func withDocument(cfg Config, document []byte) (Config, error) {
	set, err := ownSettings(&cfg, document)
	if err != nil {
		return cfg, err
	}
	if set, err = set.AlignedWith(&cfg.Settings); err != nil {
		return cfg, err
	}
	cfg.Settings = set
	return cfg, cfg.Check()
}

// loadStoredConfiguration lets a new scheduler start with the newest version that the previous process stored. The folder is
// read without its lock, because that process may still run.
func (s *Scheduler) loadStoredConfiguration() {
	set := s.cfg.Operator.Configuration
	if set == nil {
		return
	}
	found := follower.Inspect(set, s.cfg.Name)
	if found.Damage != nil {
		s.log.Error("the stored configuration is damaged", "dir", set.Dir, "version", found.Document.Version, "err", found.Damage)
		s.configuration.problem = found.Damage.Error()
	}
	if found.Document.Version == 0 {
		return
	}
	// Nothing uses the file's settings yet, so their classes need not keep their indices.
	settings, err := ownSettings(&s.cfg, found.Document.Body)
	next := s.cfg
	next.Settings = settings
	if err == nil {
		err = next.Check()
	}
	if err != nil {
		s.log.Error("the stored configuration is not usable by this scheduler: it starts with its file's settings",
			"version", found.Document.Version, "err", err)
		s.configuration.problem = err.Error()
		return
	}
	s.cfg = next
	s.setInForce(found.Document)
	s.log.Info("configuration in force", "version", found.Document.Version, "digest", found.Document.Digest, "from", "disk")
}

// setInForce records the version of the settings. Called under mu, or by New.
func (s *Scheduler) setInForce(d follower.Document) {
	s.configuration.inForce, s.configuration.since = d, time.Now()
}

// checkDocument returns the reason why a document cannot be applied here, or nil.
func (s *Scheduler) checkDocument(d follower.Document) error {
	s.mu.Lock()
	cfg := s.cfg
	s.mu.Unlock()
	_, err := withDocument(cfg, d.Body)
	return err
}

// applyDocument applies a document, whole or not at all, unless a newer one is in force.
func (s *Scheduler) applyDocument(d follower.Document) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if d.Version <= s.configuration.inForce.Version { // also if there is no document
		return nil
	}
	next, err := withDocument(s.cfg, d.Body)
	if err != nil {
		return err
	}
	if err := s.updateSettings(next); err != nil {
		return err
	}
	s.setInForce(d)
	s.log.Info("configuration in force", "version", d.Version, "digest", d.Digest, "accepted", d.AcceptedAt.UTC().Format(time.RFC3339Nano),
		"classes", strings.Join(activeClasses(&next.Settings), ","), "attempts", next.Settings.MaxAttempts)
	s.requestSuccessorReread()
	return nil
}

// versionInForce returns the version that the settings come from; 0: they come from the file. Called under mu.
func (s *Scheduler) versionInForce() uint64 { return s.configuration.inForce.Version }

// openConfiguration opens the folder of the configuration and starts to follow the sources. A process that takes over from
// another one does so only once it serves. It returns once a version is in force, or none has arrived in time.
func (s *Scheduler) openConfiguration(ctx context.Context) error {
	if s.cfg.Operator.Configuration == nil {
		return nil
	}
	f, err := s.startFollower()
	if err != nil && s.cfg.canHandOver() {
		s.log.Info("the configuration is followed once this process serves", "err", err)
		return nil
	}
	if err != nil {
		return fmt.Errorf("scheduler: %w", err)
	}
	s.mu.Lock()
	noVersion := s.versionInForce() == 0
	s.mu.Unlock()
	if !noVersion {
		return nil
	}
	waiting, stop := context.WithTimeout(ctx, firstVersionTimeout)
	defer stop()
	if !f.AwaitFirst(waiting) && ctx.Err() == nil {
		s.log.Warn("no source of configuration in time: the file's settings are in force until one answers", "waited", firstVersionTimeout)
	}
	return nil
}

// startFollower opens the folder and starts to follow the sources.
func (s *Scheduler) startFollower() (*follower.Follower, error) {
	s.mu.Lock()
	seed := s.cfg.Settings.Seed
	s.mu.Unlock()
	f, found, err := follower.Open(follower.Config{
		Settings: *s.cfg.Operator.Configuration, Name: s.cfg.Name, Seed: seed, Log: s.log,
		Check: s.checkDocument, Apply: s.applyDocument,
	})
	if err != nil {
		return nil, err
	}
	// The previous process may have stored a newer version since this one read the folder.
	if err := s.applyDocument(found.Document); err != nil {
		s.log.Error("the stored configuration is not usable by this scheduler", "version", found.Document.Version, "err", err)
		f.MarkRefused(found.Document, err.Error())
	}
	s.mu.Lock()
	ended := s.configuration.ended
	inForce := s.configuration.inForce
	if !ended {
		s.configuration.follower = f
	}
	s.mu.Unlock()
	if ended {
		return f, f.Close()
	}
	f.Start(inForce)
	return f, nil
}

// followConfiguration starts to follow the sources as soon as the previous process has released the folder, if that was not
// possible at the start.
func (s *Scheduler) followConfiguration() {
	if s.cfg.Operator.Configuration == nil {
		return
	}
	go func() {
		warned := false
		for s.needsFollower() {
			_, err := s.startFollower()
			if err != nil && !warned {
				s.log.Warn("the folder of the configuration cannot be opened yet: retrying", "err", err)
				warned = true
			}
			time.Sleep(followerRetryInterval)
		}
	}()
}

// needsFollower reports whether a follower is still to be started.
func (s *Scheduler) needsFollower() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configuration.follower == nil && !s.configuration.ended
}

// closeFollower closes the connection to the sources and releases the folder: for the next process, or because this one
// ends.
func (s *Scheduler) closeFollower() {
	s.mu.Lock()
	f := s.configuration.follower
	s.configuration.follower, s.configuration.ended = nil, true
	s.mu.Unlock()
	if f == nil {
		return
	}
	if err := f.Close(); err != nil {
		s.log.Warn("the folder of the configuration could not be closed", "err", err)
	}
}

// resumeFollowing starts to follow the sources again, after a failed handover.
func (s *Scheduler) resumeFollowing() {
	s.mu.Lock()
	s.configuration.ended = false
	s.mu.Unlock()
	s.followConfiguration()
}

// rereadConfiguration applies a version that the previous process stored after this one read the folder.
func (s *Scheduler) rereadConfiguration() {
	set := s.cfg.Operator.Configuration
	if set == nil {
		return
	}
	found := follower.Inspect(set, s.cfg.Name)
	if found.Damage != nil {
		s.log.Error("the stored configuration is damaged", "dir", set.Dir, "version", found.Document.Version, "err", found.Damage)
	}
	if found.Document.Version == 0 {
		return
	}
	if err := s.applyDocument(found.Document); err != nil {
		s.log.Error("the stored configuration is not usable by this scheduler", "version", found.Document.Version, "err", err)
	}
}

// ConfigurationReport describes the configuration in force to operators.
type ConfigurationReport struct {
	follower.Report
	FolderProblem string          `json:"folder,omitempty"` // error in the folder, or in the stored document, at the start
	Fleet         *follower.Fleet `json:"fleet,omitempty"`  // as reported by the connected source
	FleetError    string          `json:"fleet_error,omitempty"`
}

// report describes the configuration with the version that is in force here: the follower records a new version only after
// it was applied, and clears the refusal of an earlier one then.
func (f *followedConfiguration) report() follower.Report {
	inForce := follower.ReportOf(f.inForce)
	if f.follower == nil { // another process holds the folder
		return inForce
	}
	report := f.follower.Report()
	if report.Version < inForce.Version {
		report.Version, report.Digest, report.Accepted = inForce.Version, inForce.Digest, inForce.Accepted
		report.Newest = max(report.Newest, inForce.Version)
		report.Refused, report.Reason = 0, ""
	}
	return report
}

// configurationReport describes the configuration to operators; nil if the section is off. It asks a source which followers
// are behind.
func (s *Scheduler) configurationReport() *ConfigurationReport {
	if s.cfg.Operator.Configuration == nil {
		return nil
	}
	s.mu.Lock()
	known := s.configuration
	s.mu.Unlock()
	report := &ConfigurationReport{FolderProblem: known.problem, Report: known.report()}
	if known.follower != nil {
		var err error
		if report.Fleet, err = known.follower.QueryFleet(context.Background()); err != nil {
			report.FleetError = err.Error()
		}
	}
	if known.inForce.Version > 0 {
		report.InForceMS = time.Since(known.since).Milliseconds()
	}
	return report
}

// configurationGaugeInterval is the interval of updates of the configuration's gauges: the age changes without an event.
const configurationGaugeInterval = time.Second

// updateConfigurationGauges updates the gauges of the configuration until ctx ends, if metrics are on.
func (s *Scheduler) updateConfigurationGauges(ctx context.Context) {
	if s.metrics == nil || s.cfg.Operator.Configuration == nil {
		return
	}
	tick := time.NewTicker(configurationGaugeInterval)
	defer tick.Stop()
	for {
		s.mu.Lock()
		known := s.configuration
		s.mu.Unlock()
		report := known.report()
		s.metrics.SetConfiguration(report.Version, report.Refused, report.CurrentMS)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}
