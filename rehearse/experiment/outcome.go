package experiment

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"

	"laddertide/rehearse/report"
)

// Outcome is what an experiment uses of a run's report: the keys of its JSON.
type Outcome struct {
	Scenario string           `json:"scenario"`
	Seed     uint64           `json:"seed"`
	Service  float64          `json:"service"`
	Worst10s float64          `json:"worst_10s"`
	LateMS   float64          `json:"late_ms"`
	Late     bool             `json:"late"`
	Partial  bool             `json:"partial"`
	Rules    map[string]int   `json:"rules"`
	Classes  map[string]Group `json:"classes"`
	All      Group            `json:"all"`
	Daemon   struct {
		CPU         float64 `json:"cpu_s"`
		PeakMB      float64 `json:"peak_mb"`
		Descriptors int     `json:"descriptors"`
		Crashes     int     `json:"crashes"`
	} `json:"daemon"`
	LengthS          float64 `json:"length_s"`
	Workers          int     `json:"workers"`
	Schedulers       int     `json:"schedulers"`
	Rate             float64 `json:"rate"`
	Requests         int     `json:"requests"`
	Retries          int     `json:"retries"`
	Attempts         int     `json:"attempts"`
	SchedulerRetries int     `json:"scheduler_retries"`
	Crossings        int     `json:"crossings"`
	Full             int     `json:"full"`
	Void             int     `json:"void"`
	WorkAskedS       float64 `json:"work_asked_s"`
	WorkDoneS        float64 `json:"work_done_s"`
	WastedS          float64 `json:"wasted_s"`
	Kit              struct {
		CPU         float64 `json:"cpu_s"`
		StepLateMax float64 `json:"step_late_max_ms"`
	} `json:"kit"`
}

// Group is how a class fared.
type Group struct {
	Asked      int     `json:"asked"`
	InTime     int     `json:"in_time"`
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
}

// of makes an outcome of a report, through its JSON: a run just played and one that was kept give the same figures.
func of(run *report.Run) (*Outcome, error) {
	var b bytes.Buffer
	if err := report.Encode(&b, []report.Run{*run}); err != nil {
		return nil, err
	}
	out := &Outcome{}
	return out, json.Unmarshal(b.Bytes(), out)
}

// Breaches is how many breaches of all rules there were.
func (o *Outcome) Breaches() int {
	sum := 0
	for _, n := range o.Rules {
		sum += n
	}
	return sum
}

// counts says whether its figures do, and else why not.
func (o *Outcome) counts() string {
	switch {
	case o.Partial:
		return "partial"
	case o.Late:
		return "late"
	}
	return "yes"
}

// cpuMS is the daemon's CPU for a request, in ms; NaN if nobody measured it.
func (o *Outcome) cpuMS() float64 { return ratio(1000*o.Daemon.CPU, float64(o.Requests)) }

// inTime is the share of a class's jobs that were served in time; NaN if none was asked.
func (g Group) inTime() float64 { return ratio(float64(g.InTime), float64(g.Asked)) }

// latency is a percentile of a class; NaN if none was served, for which reports have 0.
func (g Group) latency(ms float64) float64 {
	if g.InTime+g.Late == 0 {
		return math.NaN()
	}
	return ms
}

// ratio is NaN for what nothing can be said of.
func ratio(a, b float64) float64 {
	if !(b > 0) {
		return math.NaN()
	}
	return a / b
}

// The bounds of reports that are read again.
const (
	maxReports = 100_000
	maxLine    = 16 << 20
	maxFolders = 10_000
)

// ReadReports reads the outcomes of earlier runs from a file of reports, one JSON object a line, or from a folder that
// has such a file of the name given, itself or in the folders in it.
func ReadReports(path, name string) ([]*Outcome, error) {
	st, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	files := []string{path}
	if st.IsDir() {
		files = []string{filepath.Join(path, name)}
		if _, err := os.Stat(files[0]); err != nil {
			if files, err = filepath.Glob(filepath.Join(escape(path), "*", name)); err != nil {
				return nil, err
			}
		}
		if len(files) == 0 || len(files) > maxFolders {
			return nil, fmt.Errorf("%s: %d files called %s in it", path, len(files), name)
		}
	}
	var out []*Outcome
	for _, file := range files {
		runs, err := readLines(file)
		if err != nil {
			return nil, err
		}
		if out = append(out, runs...); len(out) > maxReports {
			return nil, fmt.Errorf("%s: over %d reports", path, maxReports)
		}
	}
	if len(out) == 0 {
		return nil, fmt.Errorf("%s: no report in it", path)
	}
	return out, nil
}

// escape makes a path a pattern that only matches itself.
func escape(path string) string {
	var b bytes.Buffer
	for i := range len(path) {
		if slices.Contains([]byte(`*?[\`), path[i]) {
			b.WriteByte('\\')
		}
		b.WriteByte(path[i])
	}
	return b.String()
}

func readLines(file string) ([]*Outcome, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewReaderSize(f, 64<<10)
	var out []*Outcome
	for n := 1; len(out) <= maxReports; n++ {
		line, err := readLine(lines)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("%s: line %d: %w", file, n, err)
		}
		end := err != nil
		if len(bytes.TrimSpace(line)) > 0 {
			// A file that is no report must not pass for one of a service of 0.
			var has struct{ Scenario, Service *json.RawMessage }
			o := &Outcome{}
			if err := json.Unmarshal(line, o); err != nil {
				return nil, fmt.Errorf("%s: line %d: no report of a run: %w", file, n, err)
			}
			if json.Unmarshal(line, &has) != nil || has.Scenario == nil || has.Service == nil {
				return nil, fmt.Errorf("%s: line %d: no report of a run", file, n)
			}
			out = append(out, o)
		}
		if end {
			break
		}
	}
	return out, nil
}

func readLine(r *bufio.Reader) ([]byte, error) {
	var line []byte
	for {
		part, err := r.ReadSlice('\n')
		if line = append(line, part...); len(line) > maxLine {
			return nil, fmt.Errorf("over %d bytes", maxLine)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
}
