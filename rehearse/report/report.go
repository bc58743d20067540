// Package report puts a rehearsal's figures and verdict before people and programs: a table on a terminal, JSON, and a
// page of HTML that needs nothing from outside. It measures nothing and judges nothing; what it is given it shows, and
// what is missing or not whole it says.
package report

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"unicode"

	"github.com/jedib0t/go-pretty/v6/text"

	"laddertide/core/history"
	"laddertide/core/score"
	"laddertide/rehearse/ids"
)

// Run is all that is known of one run.
type Run struct {
	Scenario string
	Seed     uint64
	Figures  score.Report
	Verdict  Verdict
	Daemon   Daemon
	KitCPU   float64 // s of CPU that the kit itself took
	Partial  bool    // it was cut off: figures and verdict are those of what there is
	Late     bool    // the kit was too late for its figures to count
	Unjudged bool    // only a part was played by the kit, so nobody can say whether rules were kept
	Length   float64 // s in which jobs were meant to arrive
	Rate     float64 // jobs a second, as planned
	Notes    []string

	Workers, Schedulers int

	IDs ids.Result // of jobs for which any scheduler may be asked

	// Stories are the histories of requests that broken rules name; the page shows those it finds.
	Stories map[string][]history.Event
}

// Daemon is what the schedulers' processes took.
type Daemon struct {
	CPUSeconds  float64 // all together
	PeakMB      float64 // the largest of them
	Descriptors int     // the most that one of them had open
	Schedulers  []Process
}

// Process is one scheduler over all its lives.
type Process struct {
	Name        string
	CPUSeconds  float64
	PeakMB      float64
	Descriptors int
}

// The bounds of what is shown of broken rules.
const (
	breachesInJSON  = 50
	breachesInTable = 10
	breachesInPage  = 20
	eventsInStory   = 120
)

// ruleOrder is how rules are listed; others follow by their names.
var ruleOrder = []Rule{"answers", "duplicates", "drains", "cold", "altered"}

type ruleCount struct {
	Rule Rule
	N    int
}

// rules counts the breaches of each rule, those that are kept too. What the judge lists and does not count is counted
// here: a breach must not go unseen.
func rules(v *Verdict) []ruleCount {
	listed := map[Rule]int{}
	for _, b := range v.Breaches {
		listed[b.Rule]++
	}
	out := make([]ruleCount, 0, len(ruleOrder))
	for _, r := range ruleOrder {
		out = append(out, ruleCount{r, max(v.Counts[r], listed[r])})
	}
	var more []ruleCount
	for _, m := range []map[Rule]int{v.Counts, listed} {
		for r := range m {
			known := func(c ruleCount) bool { return c.Rule == r }
			if !slices.ContainsFunc(out, known) && !slices.ContainsFunc(more, known) {
				more = append(more, ruleCount{r, max(v.Counts[r], listed[r])})
			}
		}
	}
	slices.SortFunc(more, func(a, b ruleCount) int { return cmp.Compare(a.Rule, b.Rule) })
	return append(out, more...)
}

// broken lists the rules that were not kept, with their counts.
func broken(v *Verdict) []ruleCount {
	return slices.DeleteFunc(rules(v), func(c ruleCount) bool { return c.N == 0 })
}

// Kept says whether all rules were.
func (r *Run) Kept() bool { return len(broken(&r.Verdict)) == 0 }

// rulesText is the verdict in a few words.
func (r *Run) rulesText() string {
	if r.Unjudged {
		return "not judged"
	}
	var parts []string
	for _, c := range broken(&r.Verdict) {
		parts = append(parts, fmt.Sprintf("%s %d", clip(string(c.Rule), 20), c.N))
	}
	if len(parts) == 0 {
		return "all kept"
	}
	return "BROKEN: " + strings.Join(parts, ", ")
}

// partial says whether anything that made this run says that it is not whole.
func (r *Run) partial() bool { return r.Partial || r.Verdict.Partial || r.Figures.Partial }

// caveats are the sentences that must be read before the figures are.
func (r *Run) caveats() []string {
	var out []string
	if r.partial() {
		s := "PARTIAL: the run was cut off; figures and verdict are of the part that there is"
		if r.Figures.Note != "" {
			s += " (" + clip(r.Figures.Note, 200) + ")"
		}
		out = append(out, s+".")
	}
	if r.Late {
		k := &r.Figures.Harness
		out = append(out,
			fmt.Sprintf("LATE: the kit itself could not keep up (p99 %s ms, worst %s ms, %d stalls of %s ms; worst step of the plan %s ms); "+
				"this run does not count.", millis(k.LateP99), millis(k.LateMax), k.Stalls, millis(k.StallTotal), millis(k.StepLateMax)))
	}
	for _, notes := range [][]string{r.Notes, r.Verdict.Notes} {
		for _, n := range notes {
			out = append(out, clip(n, 300))
		}
	}
	return out
}

// steps words how the plan was played; empty: it had no steps, or the history is of a kit that did not write them down.
func (r *Run) steps() string {
	f := &r.Figures
	if len(f.Steps) == 0 {
		return ""
	}
	text := fmt.Sprintf("%d steps, the worst done %s ms late", len(f.Steps), millis(f.Harness.StepLateMax))
	if waiting, uncued := r.Cues(); waiting > 0 {
		text += fmt.Sprintf("; %d of %d that wait for a cue had none", uncued, waiting)
	}
	return text
}

// Cues counts the steps that wait for a cue, and those of them that were done without.
func (r *Run) Cues() (waiting, uncued int) {
	for i := range r.Figures.Steps {
		s := &r.Figures.Steps[i]
		if s.Wait > 0 {
			waiting++
		}
		if s.Uncued() {
			uncued++
		}
	}
	return waiting, uncued
}

// clip makes a text of others fit for a line: nothing that steers a terminal, and no wider than so many columns.
func clip(s string, most int) string {
	var b strings.Builder
	wide, fits := 0, 0 // fits: where to cut, should it be too wide
	for _, r := range s {
		if !unicode.IsPrint(r) {
			r = '?'
		}
		n := text.StringWidth(string(r))
		if wide+n > most {
			return b.String()[:fits] + "…"
		}
		wide += n
		b.WriteRune(r)
		if wide < most {
			fits = b.Len()
		}
	}
	return b.String()
}

// finite is a figure that JSON and people can read: rounded to so many decimals, and 0 for what is no number.
func finite(x float64, decimals int) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) {
		return 0
	}
	p := math.Pow10(decimals)
	if r := math.Round(x*p) / p; !math.IsInf(r, 0) {
		return r
	}
	return x
}

// millis words milliseconds with as many decimals as matter.
func millis(x float64) string {
	switch x = finite(x, 6); {
	case x >= 100:
		return fmt.Sprintf("%.0f", x)
	case x >= 10:
		return fmt.Sprintf("%.1f", x)
	default:
		return fmt.Sprintf("%.2f", x)
	}
}

// at words a time of the run.
func at(us int64) string { return fmt.Sprintf("%.3f s", float64(us)/1e6) }

// share words a share of 1.
func share(x float64) string { return fmt.Sprintf("%.3f", finite(x, 6)) }
