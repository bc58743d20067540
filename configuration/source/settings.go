package source

import (
	"fmt"
	"net/netip"
	"path/filepath"
	"time"

	"laddertide/operator"
	"laddertide/peers"
	wire "laddertide/wire/configuration"
)

// section is the only section of a source's file.
const section = "source"

// Limits of settings.
const (
	maxRoundTrip   = time.Second
	maxHeartbeat   = 10 * time.Second
	maxClusterName = 64
)

// Load reads the file of a source: strict YAML with one section. The caller sets Log and Validate.
func Load(path string) (Config, error) {
	file, err := operator.Load(path, section)
	if err != nil {
		return Config{}, err
	}
	s := file.Section(section)
	if s == nil {
		return Config{}, fmt.Errorf("%s: %s: is missing", path, section)
	}
	return parse(s)
}

func parse(s *operator.Section) (Config, error) {
	cfg := Config{MaxFollowers: DefaultMaxFollowers}
	roundTrip, heartbeat := int(DefaultRoundTrip.Milliseconds()), int(DefaultHeartbeat.Milliseconds())
	keyFile := ""
	s.Require("name", "listen", "members", "dir", "cluster")
	s.Text("name", &cfg.Name)
	s.Text("listen", &cfg.Listen)
	cfg.Members = parseMembers(s)
	s.Text("dir", &cfg.Dir)
	s.Text("cluster", &cfg.Cluster)
	s.Text("key_file", &keyFile)
	s.Int("max_followers", &cfg.MaxFollowers, 1, wire.MaxRows)
	s.Int("round_trip_ms", &roundTrip, 1, int(maxRoundTrip.Milliseconds()))
	s.Int("heartbeat_ms", &heartbeat, int(minTick.Milliseconds()), int(maxHeartbeat.Milliseconds()))
	cfg.RoundTrip = time.Duration(roundTrip) * time.Millisecond
	cfg.Heartbeat = time.Duration(heartbeat) * time.Millisecond
	if len(cfg.Cluster) > maxClusterName {
		s.Fail("cluster", "is longer than %d bytes", maxClusterName)
	}
	if keyFile != "" {
		var err error
		if cfg.Keys, err = peers.ReadKeys(resolvePath(s, keyFile)); err != nil {
			s.Fail("key_file", "%s", err)
		}
	}
	checkAddress(s, "listen", cfg.Listen, &cfg)
	for i, m := range cfg.Members {
		checkAddress(s, fmt.Sprintf("members[%d].address", i), m.Address, &cfg)
	}
	if err := s.Done(); err != nil {
		return Config{}, err
	}
	cfg.Dir = resolvePath(s, cfg.Dir)
	return cfg, checkMembers(s, &cfg)
}

func parseMembers(s *operator.Section) (members []Member) {
	for _, item := range s.Items("members") {
		var m Member
		item.Require("name", "address")
		item.Text("name", &m.Name)
		item.Text("address", &m.Address)
		if len(m.Name) > wire.MaxName {
			item.Fail("name", "is longer than %d bytes", wire.MaxName)
		}
		members = append(members, m)
	}
	return members
}

// checkMembers checks the list of members by the rules of a Config.
func checkMembers(s *operator.Section, cfg *Config) error {
	unchecked := *cfg
	unchecked.Validate = func([]byte) error { return nil } // the caller sets it after Load
	if err := unchecked.check(); err != nil {
		s.Fail("members", "%s", err)
	}
	return s.Done()
}

// checkAddress requires an IP address with a port: a loopback address unless there are keys.
func checkAddress(s *operator.Section, key, address string, cfg *Config) {
	at, err := netip.ParseAddrPort(address)
	switch {
	case address == "": // a missing address is reported elsewhere
	case err != nil:
		s.Fail(key, "%q is no IP address with a port", address)
	case at.Port() == 0:
		s.Fail(key, "%q has no port", address)
	case key != "listen" && at.Addr().IsUnspecified():
		s.Fail(key, "%q is not the address of one machine", address)
	case cfg.Keys == nil && !at.Addr().IsLoopback():
		s.Fail(key, "%q is not on this machine: without key_file anybody could change the configuration", address)
	}
}

// resolvePath resolves a path relative to the folder of the file.
func resolvePath(s *operator.Section, path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(s.Path()), path)
}
