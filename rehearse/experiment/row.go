package experiment

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"

	"laddertide/rehearse/scenario"
)

// Row is a run as runs.csv has it: each try is one.
type Row struct {
	Scenario string
	Seed     uint64
	Changes  scenario.Overrides // zero: the scenario's own, which the seed draws
	Text     string             // fingerprints: of the scenario's file
	Daemon   string             // of the daemon's program
	Fleet    string             // of the operators' file; empty: there is none
	Try      int
	Counts   string // yes, late (the kit was), partial (it was cut off)
	Figures  []float64
}

// key tells runs apart of which one is enough.
type key struct {
	scenario string
	seed     uint64
	changes  scenario.Overrides
}

func (r *Row) key() key { return key{r.Scenario, r.Seed, r.Changes} }

var identity = slices.Concat([]string{"scenario", "seed"}, ParameterNames, []string{"text", "daemon", "fleet", "try",
	"counts"})

// Rules are those that have a column of their own; others are only in breaches.
var ruleNames = []string{"answers", "duplicates", "drains", "cold", "altered"}

// figure is a measured column.
type figure struct {
	name string
	of   func(*Outcome) float64 // NaN: there is nothing to say, and the field is empty
}

// figures are the measured columns, in the order of the file.
func figures(classes []string) []figure {
	n := func(f func(*Outcome) int) func(*Outcome) float64 {
		return func(o *Outcome) float64 { return float64(f(o)) }
	}
	out := []figure{
		{"service", func(o *Outcome) float64 { return o.Service }},
		{"worst_10s", func(o *Outcome) float64 { return o.Worst10s }},
		{"breaches", n((*Outcome).Breaches)},
	}
	for _, rule := range ruleNames {
		out = append(out, figure{rule, n(func(o *Outcome) int { return o.Rules[rule] })})
	}
	out = append(out, []figure{
		{"late_ms", func(o *Outcome) float64 { return o.LateMS }},
		{"played_rate", func(o *Outcome) float64 { return o.Rate }},
		{"played_workers", n(func(o *Outcome) int { return o.Workers })},
		{"played_schedulers", n(func(o *Outcome) int { return o.Schedulers })},
		{"played_seconds", func(o *Outcome) float64 { return o.LengthS }},
		{"asked", n(func(o *Outcome) int { return o.All.Asked })},
		{"in_time", n(func(o *Outcome) int { return o.All.InTime })},
		{"late", n(func(o *Outcome) int { return o.All.Late })},
		{"refused", n(func(o *Outcome) int { return o.All.Refused })},
		{"failed", n(func(o *Outcome) int { return o.All.Failed })},
		{"unanswered", n(func(o *Outcome) int { return o.All.Unanswered })},
	}...)
	for _, c := range classes {
		out = append(out, []figure{
			{c + ".asked", n(func(o *Outcome) int { return o.Classes[c].Asked })},
			{c + ".in_time", n(func(o *Outcome) int { return o.Classes[c].InTime })},
			{c + ".in_time_share", func(o *Outcome) float64 { return o.Classes[c].inTime() }},
			{c + ".p50_ms", func(o *Outcome) float64 { return o.Classes[c].latency(o.Classes[c].P50) }},
			{c + ".p99_ms", func(o *Outcome) float64 { return o.Classes[c].latency(o.Classes[c].P99) }},
		}...)
	}
	return append(out, []figure{
		{"requests", n(func(o *Outcome) int { return o.Requests })},
		{"client_retries", n(func(o *Outcome) int { return o.Retries })},
		{"attempts", n(func(o *Outcome) int { return o.Attempts })},
		{"scheduler_retries", n(func(o *Outcome) int { return o.SchedulerRetries })},
		{"crossings", n(func(o *Outcome) int { return o.Crossings })},
		{"full", n(func(o *Outcome) int { return o.Full })},
		{"into_silence", n(func(o *Outcome) int { return o.Void })},
		{"work_asked_s", func(o *Outcome) float64 { return o.WorkAskedS }},
		{"work_done_s", func(o *Outcome) float64 { return o.WorkDoneS }},
		{"wasted_s", func(o *Outcome) float64 { return o.WastedS }},
		{"wasted_share", func(o *Outcome) float64 { return ratio(o.WastedS, o.WorkAskedS) }},
		{"daemon_cpu_s", func(o *Outcome) float64 { return o.Daemon.CPU }},
		{"daemon_cpu_ms_request", (*Outcome).cpuMS},
		{"daemon_peak_mb", func(o *Outcome) float64 { return o.Daemon.PeakMB }},
		{"daemon_descriptors", n(func(o *Outcome) int { return o.Daemon.Descriptors })},
		{"daemon_crashes", n(func(o *Outcome) int { return o.Daemon.Crashes })},
		{"kit_cpu_s", func(o *Outcome) float64 { return o.Kit.CPU }},
	}...)
}

// number writes a figure; empty is what there is none of.
func number(x float64) string {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return ""
	}
	return strconv.FormatFloat(math.Round(x*1e6)/1e6, 'f', -1, 64)
}

func parse(s string) (float64, error) {
	if s == "" {
		return math.NaN(), nil
	}
	return strconv.ParseFloat(s, 64)
}

func (r *Row) fields() []string {
	out := []string{r.Scenario, strconv.FormatUint(r.Seed, 10)}
	vs := valuesOf(r.Changes)
	for _, name := range ParameterNames {
		if vs[name] == 0 {
			out = append(out, "")
		} else {
			out = append(out, strconv.FormatFloat(vs[name], 'g', -1, 64))
		}
	}
	out = append(out, r.Text, r.Daemon, r.Fleet, strconv.Itoa(r.Try), r.Counts)
	for _, f := range r.Figures {
		out = append(out, number(f))
	}
	return out
}

// rowOf is the opposite of fields. Its caller has made sure of how many there are.
func rowOf(fields []string) (Row, error) {
	r := Row{Scenario: fields[0]}
	var err, first error
	note := func() {
		if first == nil {
			first = err
		}
	}
	r.Seed, err = strconv.ParseUint(fields[1], 10, 64)
	note()
	vs := make(map[string]float64)
	for i, name := range ParameterNames {
		if fields[2+i] != "" {
			vs[name], err = strconv.ParseFloat(fields[2+i], 64)
			note()
		}
	}
	r.Changes = changesOf(vs)
	at := 2 + len(ParameterNames)
	r.Text, r.Daemon, r.Fleet, r.Counts = fields[at], fields[at+1], fields[at+2], fields[at+4]
	r.Try, err = strconv.Atoi(fields[at+3])
	note()
	for _, f := range fields[len(identity):] {
		x, e := parse(f)
		err = e
		note()
		r.Figures = append(r.Figures, x)
	}
	return r, first
}

// maxCSV bounds what is read of an earlier sweep.
const maxCSV = 256 << 20

// rowFile is runs.csv, open for further rows.
type rowFile struct{ f *os.File }

// openRows opens a folder's runs.csv, made if there is none, with the rows that are in it. A last line that was not
// written to its end is taken away. Nobody else may have the file open.
func openRows(dir string, columns []string) (*rowFile, []Row, error) {
	path := filepath.Join(dir, RunsFile)
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o644)
	if err != nil {
		return nil, nil, err
	}
	rows, err := readRows(f, path, columns)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return &rowFile{f}, rows, nil
}

func readRows(f *os.File, path string, columns []string) ([]Row, error) {
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, fmt.Errorf("%s: another sweep writes to it (%w)", path, err)
	}
	raw, err := io.ReadAll(io.LimitReader(f, maxCSV+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxCSV {
		return nil, fmt.Errorf("%s: over %d bytes", path, maxCSV)
	}
	whole := raw[:bytes.LastIndexByte(raw, '\n')+1]
	var rows []Row
	if len(whole) == 0 {
		// Only what is the beginning of our own header may be taken away.
		head := line(columns)
		if !bytes.HasPrefix(head, raw) {
			return nil, fmt.Errorf("%s: it was not written by a sweep like this; take another folder", path)
		}
		whole = head
		if _, err := f.WriteAt(head, 0); err != nil {
			return nil, err
		}
	}
	r := csv.NewReader(bytes.NewReader(whole))
	r.FieldsPerRecord = len(columns)
	for n := 0; ; n++ {
		fields, err := r.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if n == 0 && (err != nil || !slices.Equal(fields, columns)) {
			return nil, fmt.Errorf("%s: it was not written by a sweep like this (its columns are others); "+
				"take another folder", path)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if n == 0 {
			continue
		}
		row, err := rowOf(fields)
		if err != nil {
			return nil, fmt.Errorf("%s: row %d: %w", path, n, err)
		}
		rows = append(rows, row)
	}
	if err := f.Truncate(int64(len(whole))); err != nil {
		return nil, err
	}
	_, err = f.Seek(int64(len(whole)), io.SeekStart)
	return rows, err
}

// line is a line of CSV.
func line(fields []string) []byte {
	var b bytes.Buffer
	w := csv.NewWriter(&b)
	w.Write(fields) // a buffer takes all
	w.Flush()
	return b.Bytes()
}

// add writes a row at once, so that an end of the program leaves whole rows but for the last at most.
func (rf *rowFile) add(r *Row) error {
	_, err := rf.f.Write(line(r.fields()))
	return err
}

func (rf *rowFile) close() error { return rf.f.Close() }
