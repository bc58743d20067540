package measurement

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// configurationPrefix begins the names of files that hold a Configuration and no File.
const configurationPrefix = "configuration-"

// CaseWithoutFailure is the case of a Configuration in which nothing fails.
const CaseWithoutFailure = "plain"

// Configuration is a measurement of changes of configuration as rehearse/configuration writes it: how long they took until
// they were in force in all schedulers, and what they cost. Costs are means over schedulers or sources.
type Configuration struct {
	Command       string  `json:"command"`
	Commit        string  `json:"commit"`
	Date          string  `json:"date"`
	Machine       Machine `json:"machine"` // empty in files from before it was recorded
	Case          string  `json:"case"`
	Schedulers    int     `json:"schedulers"`
	Sources       int     `json:"sources"`
	Regions       int     `json:"regions"`
	RoundTripMS   int64   `json:"round_trip_ms"`
	Changes       int     `json:"changes"`
	ChangeEveryMS int64   `json:"change_every_ms"`
	DocumentBytes int     `json:"document_bytes"`

	AcceptedP50MS float64 `json:"accepted_p50_ms"`
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
	WorstMS       float64 `json:"worst_ms"`
	AfterHealMS   float64 `json:"after_heal_worst_ms,omitempty"`

	SchedulerBytesPerChange float64 `json:"scheduler_bytes_per_change"`
	SchedulerCPUPerChange   float64 `json:"scheduler_cpu_us_per_change"`
	SourceBytesPerChange    float64 `json:"source_bytes_per_change"`
	SourceCPUPerChange      float64 `json:"source_cpu_us_per_change"`

	IdleBytesPerSecond       float64 `json:"idle_bytes_per_second"`
	IdleCPUPercent           float64 `json:"idle_cpu_percent"`
	IdleCPUPercentOff        float64 `json:"idle_cpu_percent_off"`
	SourceIdleBytesPerSecond float64 `json:"source_idle_bytes_per_second"`
	SourceIdleCPUPercent     float64 `json:"source_idle_cpu_percent"`

	// Of the sources at the end, the most of all; 0: not measured.
	SourceMemoryPeakBytes float64 `json:"source_memory_peak_bytes,omitempty"`
	SourceDescriptors     float64 `json:"source_descriptors,omitempty"`
	SourceStateBytes      float64 `json:"source_state_bytes,omitempty"` // files of its folder
}

// Check returns the first mistake with the name of its field, or nil. Costs of a change are differences, and may be
// negative by noise.
func (c *Configuration) Check() error {
	texts := []struct{ name, text string }{{"command", c.Command}, {"commit", c.Commit}, {"case", c.Case}}
	for _, t := range texts {
		if t.text == "" {
			return fmt.Errorf("%s: is empty", t.name)
		}
	}
	if _, err := time.Parse(time.RFC3339, c.Date); err != nil {
		return fmt.Errorf("date: %q is not of RFC 3339", c.Date)
	}
	counts := []struct {
		name  string
		count int
	}{{"schedulers", c.Schedulers}, {"sources", c.Sources}, {"regions", c.Regions}, {"changes", c.Changes},
		{"document_bytes", c.DocumentBytes}}
	for _, n := range counts {
		if n.count <= 0 {
			return fmt.Errorf("%s: %d is not more than 0", n.name, n.count)
		}
	}
	if !(c.P50MS <= c.P99MS && c.P99MS <= c.WorstMS) {
		return fmt.Errorf("p99_ms: p50 %g, p99 %g and worst %g are out of order", c.P50MS, c.P99MS, c.WorstMS)
	}
	roundTrip := float64(c.RoundTripMS)
	return checkFigures([]figure{{"round_trip_ms", &roundTrip}, {"accepted_p50_ms", &c.AcceptedP50MS}, {"p50_ms", &c.P50MS},
		{"worst_ms", &c.WorstMS}, {"after_heal_worst_ms", &c.AfterHealMS}, {"idle_bytes_per_second", &c.IdleBytesPerSecond},
		{"idle_cpu_percent", &c.IdleCPUPercent}, {"idle_cpu_percent_off", &c.IdleCPUPercentOff},
		{"source_idle_bytes_per_second", &c.SourceIdleBytesPerSecond}, {"source_idle_cpu_percent", &c.SourceIdleCPUPercent},
		{"source_memory_peak_bytes", &c.SourceMemoryPeakBytes}, {"source_descriptors", &c.SourceDescriptors},
		{"source_state_bytes", &c.SourceStateBytes}})
}

// DecodeConfiguration reads and checks one such file's content, as strictly as Decode.
func DecodeConfiguration(raw []byte) (*Configuration, error) {
	var c Configuration
	if err := decode(raw, &c); err != nil {
		return nil, err
	}
	return &c, nil
}

// NamedConfiguration is a Configuration and its file's base name.
type NamedConfiguration struct {
	Name string
	*Configuration
}

// ReadConfigurations reads all configuration-*.json of a folder in the order of their names.
func ReadConfigurations(folder string) ([]NamedConfiguration, error) {
	paths, err := filepath.Glob(filepath.Join(folder, configurationPrefix+"*.json"))
	if err != nil {
		return nil, err
	}
	slices.Sort(paths)
	var files []NamedConfiguration
	for _, path := range paths {
		raw, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		c, err := DecodeConfiguration(raw)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		files = append(files, NamedConfiguration{Name: filepath.Base(path), Configuration: c})
	}
	return files, nil
}

// isConfiguration tells a file of a Configuration by its name.
func isConfiguration(path string) bool {
	return strings.HasPrefix(filepath.Base(path), configurationPrefix)
}
