package experiment

import (
	"encoding/json"
	"io"
	"math"
)

// orNull is a number, or null for what is none.
func orNull(x float64) *float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return nil
	}
	r := math.Round(x*1e6) / 1e6
	return &r
}

// orEmpty is never null.
func orEmpty(list []string) []string {
	if list == nil {
		return []string{}
	}
	return list
}

type lineJSON struct {
	Scenario   string   `json:"scenario"` // empty: over all of them
	Figure     string   `json:"figure"`
	N          int      `json:"n"`
	A          *float64 `json:"a"`
	B          *float64 `json:"b"`
	Difference *float64 `json:"difference"`
	Low        *float64 `json:"low"`
	High       *float64 `json:"high"`
	SignP      *float64 `json:"sign_p"`
	Told       bool     `json:"told_from_noise"`
}

// JSON writes the comparison for programs: one object.
func (c *Comparison) JSON(w io.Writer) error {
	out := struct {
		A         string     `json:"a"`
		B         string     `json:"b"`
		Scenarios []string   `json:"scenarios"`
		Pairs     int        `json:"pairs"`
		Seeds     int        `json:"seeds"`
		Lines     []lineJSON `json:"figures"`
		Said      []string   `json:"said"`
		BrokenA   []string   `json:"broken_by_a"`
		BrokenB   []string   `json:"broken_by_b"`
		LeftOut   []string   `json:"left_out"`
		Partial   bool       `json:"partial"`
	}{c.NameA, c.NameB, orEmpty(c.Scenarios), c.Pairs, c.Seeds, []lineJSON{}, orEmpty(c.Said), orEmpty(c.BrokenA),
		orEmpty(c.BrokenB), orEmpty(c.LeftOut), c.Partial != ""}
	for _, l := range c.Lines {
		out.Lines = append(out.Lines, lineJSON{l.Scenario, l.Figure, l.N, orNull(l.A), orNull(l.B), orNull(l.Mean),
			orNull(l.Low), orNull(l.High), orNull(l.SignP), l.Told()})
	}
	return json.NewEncoder(w).Encode(out)
}

type stepJSON struct {
	Rate     float64  `json:"rate"`
	Runs     int      `json:"runs"`
	Service  *float64 `json:"service"`
	Worst10s *float64 `json:"worst_10s"`
	LateMS   *float64 `json:"late_ms"`
	KitMS    *float64 `json:"kit_cpu_ms_job"`
	DaemonMS *float64 `json:"daemon_cpu_ms_request"`
	Breaches int      `json:"breaches"`
	Holds    bool     `json:"holds"`
	Kit      bool     `json:"kit_was_late"`
	Why      string   `json:"why"`
}

// JSON writes the search for programs: one object.
func (f *Found) JSON(w io.Writer) error {
	out := struct {
		Scenario    string     `json:"scenario"`
		Wants       string     `json:"wants"`
		Capacity    *float64   `json:"capacity"`
		Fails       *float64   `json:"fails"`
		KitWasIt    bool       `json:"kit_was_the_limit"`
		Steps       []stepJSON `json:"steps"`
		Said        []string   `json:"said"`
		Broken      []string   `json:"broken"`
		Interrupted bool       `json:"partial"`
	}{f.Scenario, f.Wants, positive(f.Holds), positive(f.Fails), f.KitLimit, []stepJSON{}, orEmpty(f.Said),
		orEmpty(f.Broken),
		f.Partial != ""}
	for _, s := range f.Steps {
		out.Steps = append(out.Steps, stepJSON{s.Rate, s.Runs, orNull(s.Service), orNull(s.Worst10s), orNull(s.LateMS),
			orNull(s.KitMS), orNull(s.DaemonMS), s.Breaches, s.Holds, s.Kit, s.Why})
	}
	return json.NewEncoder(w).Encode(out)
}

// positive is null for what was not found.
func positive(x float64) *float64 {
	if !(x > 0) {
		return nil
	}
	return &x
}
