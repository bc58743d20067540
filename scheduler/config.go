package scheduler

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"laddertide/admin"
	"laddertide/directory"
	"laddertide/frontend"
	"laddertide/handover"
	"laddertide/internal/wire"
	"laddertide/policy"
	"laddertide/wire/http1"
)

// Config is the configuration of a scheduler.
type Config struct {
	Name        string
	Listen      string // address for clients and call-backs
	Admin       string // address for operators; empty: none
	Discovery   string
	Limits      Limits
	HandoverDir string         // folder shared with the previous and the next process, for handovers; empty: none
	Known       directory.List // the last known list of providers; may be out of date
	Settings    policy.Settings
	Operator    Operator // features that the operator has turned on

	tree       map[string]any // the file as parsed, without interpretation; nil: there was no file
	clockAhead time.Duration  // by how much the machine's clock is ahead of real time, in tests
}

// Limits are the machine's limits.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

const (
	defaultSockets = 1024
	minSockets     = 64 // a scheduler cannot work with fewer
)

// connectionSlots is the maximum number of accepted connections. Each may hold a message of full size, and all of them
// together at most half of the memory that the operator's features leave.
func (c *Config) connectionSlots() int {
	n := (c.Limits.Sockets - c.descriptors()) * 5 / 8
	if mb := c.Limits.MemoryMB; mb > 0 {
		n = min(n, (int(mb*(1<<20))-c.Operator.memory())/2/(http1.MaxBody+http1.MaxHead+frontend.MaxReadAhead+c.Operator.connBytes()))
	}
	return n
}

// providerConnections is the maximum number of connections to providers.
func (c *Config) providerConnections() int { return (c.Limits.Sockets - c.descriptors()) / 4 }

// descriptors is the number of descriptors that are reserved before the port for jobs and the connections to providers get
// their share.
func (c *Config) descriptors() int {
	n := c.Operator.descriptors()
	if c.Admin != "" {
		n += admin.Descriptors(c.adminConnections())
	}
	if c.canHandOver() {
		n += 2 + handover.MaxUnanswered + standbyDescriptors + admin.Descriptors(c.adminConnections()) // the handover listener and the successor's connection; and the descriptors of a standby process
	}
	return n
}

// standbyDescriptors is the number of descriptors of a standby process without its operators' address: standard streams, the
// runtime's, the listening socket, the connection to the previous process, and a few for the start.
const standbyDescriptors = 12

// canHandOver reports whether this process can take over from a previous one and hand over to a next one while serving. A
// ledger has one owner, as has the state on disk, and TLS and STOMP sessions cannot be handed over.
func (c *Config) canHandOver() bool {
	return c.Admin != "" && c.HandoverDir != "" && c.Operator.Durable == nil && !c.Operator.storesRecords() && c.Operator.State == nil && c.Operator.TLS == nil && c.Operator.Stomp == nil
}

// adminConnections is the maximum number of connections to the operators' address.
func (c *Config) adminConnections() int { return max(4, c.Limits.Sockets/32) }

// Load reads a configuration file.
func Load(path string) (Config, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	return Parse(raw)
}

// Parse reads a configuration.
func Parse(raw []byte) (Config, error) {
	var file struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Admin     string          `json:"admin"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    Limits          `json:"limits"`
		Known     directory.List  `json:"known"`
		Settings  json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(raw, &file); err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	tree, err := parseTree(raw)
	if err != nil {
		return Config{}, fmt.Errorf("config: %w", err)
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return Config{}, fmt.Errorf("config: seed %q is not a number of 16 hex digits", file.Seed)
	}
	cfg := Config{Name: file.Name, Listen: file.Listen, Admin: file.Admin, Discovery: file.Discovery, Limits: file.Limits,
		Known: file.Known, tree: tree}
	if cfg.Limits.Sockets == 0 {
		cfg.Limits.Sockets = defaultSockets
	}
	if cfg.Settings, err = wire.ParseSettingsJSON(seed, file.Settings); err != nil {
		return cfg, fmt.Errorf("config: %w", err)
	}
	return cfg, nil
}

// Check reports what makes a configuration unusable.
func (c *Config) Check() error {
	for _, a := range []struct{ what, address string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if err := checkAddress(a.what, a.address); err != nil {
			return err
		}
	}
	if c.Admin != "" {
		if err := checkAddress("admin", c.Admin); err != nil {
			return err
		}
		if c.Admin == c.Listen {
			return errors.New("config: admin is the same address as listen")
		}
	}
	if c.Limits.Sockets < minSockets {
		return fmt.Errorf("config: limits.sockets is under %d", minSockets)
	}
	if c.Settings.DialTimeout <= 0 || c.Settings.IdleClose <= 0 {
		return errors.New("config: permissions.dial-timeout and permissions.idle-close must be set")
	}
	if err := c.Settings.Validate(); err != nil {
		return err
	}
	return c.Operator.check(c)
}

func checkAddress(what, address string) error {
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("config: %s: %w", what, err)
	}
	return nil
}
