package report

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"

	"laddertide/core/score"
)

// tableWidth is what a line of the table holds at most.
const tableWidth = 116

// Terminal says whether a file shows colours: a terminal on which nobody has asked for none.
func Terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0 && os.Getenv("NO_COLOR") == "" &&
		os.Getenv("TERM") != "dumb"
}

// Table writes what a person needs to see of the runs, in lines of under 120 columns. The error is the writer's.
func Table(w io.Writer, runs []Run, colour bool) error {
	p := &printer{colour: colour}
	if len(runs) > 1 {
		p.overview(runs)
	}
	for i := range runs {
		p.run(&runs[i])
	}
	_, err := io.WriteString(w, p.b.String())
	return err
}

type printer struct {
	b      strings.Builder
	colour bool
}

// The colours, which never carry what the words do not.
const (
	good = "32"
	bad  = "1;31"
	bold = "1"
)

func (p *printer) paint(s, code string) string {
	if !p.colour {
		return s
	}
	return "\x1b[" + code + "m" + s + "\x1b[0m"
}

// say writes a paragraph: what leads its first line, and its words, in further lines as far in as asked. Words that
// no line holds are cut.
func (p *printer) say(lead, words string, in int) {
	line, wide, begun := lead, text.StringWidthWithoutEscSequences(lead), false
	for word := range strings.FieldsSeq(words) {
		n := text.StringWidthWithoutEscSequences(word)
		if n > tableWidth-in {
			word = clip(word, tableWidth-in)
			n = text.StringWidthWithoutEscSequences(word)
		}
		if (begun || wide > in) && wide+1+n > tableWidth {
			p.b.WriteString(line + "\n")
			line, wide, begun = strings.Repeat(" ", in), in, false
		}
		if begun {
			line, wide = line+" ", wide+1
		}
		line, wide, begun = line+word, wide+n, true
	}
	p.b.WriteString(line + "\n")
}

// newTable makes a table whose first columns are words and the rest figures.
func newTable(words int, header table.Row) table.Writer {
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	s := t.Style()
	s.Format.Header = text.FormatDefault
	s.Options.DrawBorder = false
	s.Options.SeparateColumns = false
	s.Box.PaddingLeft, s.Box.PaddingRight = "", "  "
	t.AppendHeader(header)
	var columns []table.ColumnConfig
	for i := range header {
		c := table.ColumnConfig{Number: i + 1}
		if i >= words {
			c.Align, c.AlignHeader = text.AlignRight, text.AlignRight
		}
		columns = append(columns, c)
	}
	t.SetColumnConfigs(columns)
	return t
}

func (p *printer) put(t table.Writer) {
	for line := range strings.SplitSeq(t.Render(), "\n") {
		p.b.WriteString(strings.TrimRight(line, " ") + "\n")
	}
}

func (p *printer) overview(runs []Run) {
	t := newTable(2, table.Row{"scenario", "seed", "service", "worst 10 s", "kit late", "rules"})
	columns := []table.ColumnConfig{{Number: 3, Align: text.AlignRight, AlignHeader: text.AlignRight},
		{Number: 4, Align: text.AlignRight, AlignHeader: text.AlignRight},
		{Number: 5, Align: text.AlignRight, AlignHeader: text.AlignRight},
		{Number: 6, WidthMax: 36, WidthMaxEnforcer: text.WrapSoft}}
	t.SetColumnConfigs(columns)
	for i := range runs {
		r := &runs[i]
		rules := r.rulesText()
		if r.partial() {
			rules += "; PARTIAL"
		}
		if r.Late {
			rules += "; LATE, does not count"
		}
		t.AppendRow(table.Row{clip(r.Scenario, 24), r.Seed, share(r.Figures.Service), share(r.Figures.Parts.Window),
			millis(r.Figures.Harness.LateP99) + " ms", rules})
	}
	p.put(t)
	p.b.WriteString("\n")
}

func (p *printer) run(r *Run) {
	f := &r.Figures
	rules := p.paint("rules "+r.rulesText(), good)
	if !r.Kept() {
		rules = p.paint("rules "+r.rulesText(), bad)
	}
	p.say("", fmt.Sprintf("%s, seed %d: %s, worst 10 s %s; %s; kit late %s ms", p.paint(clip(r.Scenario, 40), bold),
		r.Seed, p.paint("service "+share(f.Service), bold), share(f.Parts.Window), rules, millis(f.Harness.LateP99)), 2)
	for _, c := range r.caveats() {
		p.say(p.paint("! ", bad), c, 2)
	}
	p.say("", fmt.Sprintf("%.1f s, %d workers, %d schedulers, %.4g jobs a second%s", finite(r.Length, 3), r.Workers,
		r.Schedulers, finite(r.Rate, 3), troublesText(f.Faults)), 2)
	p.b.WriteString("\n")
	p.groups(f)
	p.b.WriteString("\n")
	p.costs(r)
	p.breaches(r)
	p.b.WriteString("\n")
}

// troublesText lists what the scenario did, the first few of it.
func troublesText(troubles []score.Fault) string {
	if len(troubles) == 0 {
		return ", no trouble"
	}
	const most = 8
	var parts []string
	for i, t := range troubles {
		if i == most {
			parts = append(parts, fmt.Sprintf("and %d more", len(troubles)-most))
			break
		}
		whom := ""
		if t.Worker+t.Scheduler != "" {
			whom = " of " + clip(strings.TrimSpace(t.Worker+" "+t.Scheduler), 30)
		}
		parts = append(parts, fmt.Sprintf("%s%s %.1f to %.1f s", clip(t.Name, 30), whom, seconds(t.From),
			seconds(t.Until)))
	}
	return "; troubles: " + strings.Join(parts, ", ")
}

func (p *printer) groups(f *score.Report) {
	t := newTable(1, table.Row{"", "asked", "in time", "late", "refused", "failed", "unansw.", "beyond", "share",
		"p50 ms", "p99 ms", "p99.9"})
	row := func(name string, e *score.Ends, beyond string, of, p50, p99, p999 float64) {
		times := [3]string{"-", "-", "-"}
		if e.Served() > 0 {
			times = [3]string{millis(p50), millis(p99), millis(p999)}
		}
		worth := "-"
		if e.Asked > 0 {
			worth = share(of)
		}
		t.AppendRow(table.Row{clip(name, 20), e.Asked, e.InTime, e.Late, e.Refused, e.Failed, e.Unanswered, beyond,
			worth, times[0], times[1], times[2]})
	}
	for _, groups := range [][]score.Group{f.Classes, f.Tenants} {
		for i := range groups {
			g := &groups[i]
			beyond := "-"
			if g.Quota > 0 {
				beyond = strconv.Itoa(g.OverQuota)
			}
			row(g.Name, &g.Ends, beyond, g.Share, g.P50, g.P99, g.P999)
		}
		t.AppendSeparator()
	}
	a := &f.Totals
	row("all", &a.Ends, "-", f.Parts.Whole, a.P50, a.P99, a.P999)
	p.put(t)
}

func (p *printer) costs(r *Run) {
	f := &r.Figures
	t, parts, d, k := &f.Totals, &f.Parts, &f.Deductions, &f.Harness
	line := func(label, s string) { p.say(fmt.Sprintf("%-9s ", label), s, 10) }
	line("service", fmt.Sprintf("whole run %s, worst 10 s %s (from %.0f s), worst class %s (%s), worst tenant %s (%s)",
		share(parts.Whole), share(parts.Window), seconds(parts.WindowFrom), share(parts.WorstClass),
		clip(parts.WorstClassName, 30), share(parts.WorstTenant), clip(parts.WorstTenantName, 30)))
	line("taken off", fmt.Sprintf("%.4f: zones crossed %.4f, failing late %.4f, wasted work %.4f, probes %.4f",
		finite(d.Sum, 6), finite(d.CrossZone, 6), finite(d.LateFail, 6), finite(d.Waste, 6), finite(d.Probe, 6)))
	line("requests",
		fmt.Sprintf("%d for %d jobs (%d retries by clients), %d attempts (%d again by schedulers, %d turned away "+
			"full, %d into silence), %d to another zone", t.Requests, t.Asked, t.ClientRetries, t.Attempts,
			t.SchedulerRetries, t.Full, t.Undelivered, t.Crossings))
	line("work",
		fmt.Sprintf("asked %.1f s, done %.1f s, wasted %.1f s; %d took effect, %d call-backs untold, %d probes, "+
			"%d cold workers fell", finite(t.WorkAsked, 3), finite(t.WorkDone, 3), finite(t.WorkWasted, 3), t.Effects,
			t.CallbacksFailed, t.Probes, t.ColdOverloads))
	if o := &f.Owned; o.Asked > 0 {
		line("owners", fmt.Sprintf("%d requests, %d asked at several schedulers, %d told to ask again (%d times; %d served after, p50 %s ms, "+
			"p99 %s ms, worst %s ms), %d refused, %d failed; %d of %d strangers to an id got 409; %d kills, %d stops, %d links failed; "+
			"%d ids looked at as a whole", o.Asked, o.AtSeveralSchedulers, o.Deferred, o.Deferrals, o.DeferredServed, millis(o.Wait50), millis(o.Wait99),
			millis(o.WaitMost), o.Refused, o.Failed, o.IDConflictsDetected, o.IDConflicts, o.Kills, o.Pauses, o.LinkFaults, r.IDs.Checked))
	} else if t.Durable > 0 {
		line("durable", fmt.Sprintf("%d requests, %d asked for again (%d times in all), over %d kills and %d restarts of "+
			"schedulers", t.Durable, t.Repeated, t.Resent, t.Kills, t.Restarts))
	}
	if b := f.Recovery; b != nil {
		line("power", fmt.Sprintf("gone at %s, all back at %s; first new job served after %s; service, %.3f before, stays at 0.5 of that after %s, "+
			"at 0.95 after %s, and ends at %.3f; of %d jobs since %d were served, %d refused", at(b.At), at(b.Until), after(b.FirstAnswer),
			finite(b.Before, 6), after(b.HalfRestored), after(b.NearlyRestored), finite(b.End, 6), b.Asked, b.Served, b.Refused))
	}
	if s := &f.BadClients; s.Seen > 0 {
		line("strangers", fmt.Sprintf("%d bad clients, %d got neither an answer nor a close in time", s.Seen,
			s.Ignored))
	}
	crashes := 0
	for _, s := range f.Schedulers {
		crashes += s.Crashes
	}
	line("daemon",
		fmt.Sprintf("CPU %.2f s, peak %.1f MB, %d descriptors, %d crashes; kit: CPU %.2f s, late p50 %s ms, "+
			"p99 %s ms, worst %s ms, %d stalls of %s ms", finite(r.Daemon.CPUSeconds, 3), finite(r.Daemon.PeakMB, 3),
			r.Daemon.Descriptors, crashes, finite(r.KitCPU, 3), millis(k.LateP50), millis(k.LateP99), millis(k.LateMax),
			k.Stalls, millis(k.StallTotal)))
	if steps := r.steps(); steps != "" {
		line("plan", steps)
	}
	for i, s := range r.Daemon.Schedulers {
		if i == 8 {
			line("", fmt.Sprintf("and %d more schedulers", len(r.Daemon.Schedulers)-i))
			break
		}
		line("", fmt.Sprintf("%s: CPU %.2f s, peak %.1f MB, %d descriptors", clip(s.Name, 30), finite(s.CPUSeconds, 3),
			finite(s.PeakMB, 3), s.Descriptors))
	}
}

func (p *printer) breaches(r *Run) {
	all := r.Verdict.Breaches
	if len(all) == 0 && r.Kept() {
		return
	}
	p.b.WriteString("\n" + p.paint("Broken rules", bad) + "\n")
	for _, b := range all[:min(breachesInTable, len(all))] {
		p.say("  ", breachText(&b), 4)
	}
	total := 0
	for _, c := range broken(&r.Verdict) {
		total += c.N
	}
	if more := total - min(breachesInTable, len(all)); more > 0 {
		fmt.Fprintf(&p.b, "  and %d more\n", more)
	}
	if r.Verdict.CardIssueDuplicates > 0 || r.Verdict.MissingAnswers > 0 {
		fmt.Fprintf(&p.b, "  second runs of card-issue %d, missing answers %d\n", r.Verdict.CardIssueDuplicates,
			r.Verdict.MissingAnswers)
	}
}

// breachText names where and when, and then says what in the judge's words.
func breachText(b *Breach) string {
	parts := []string{fmt.Sprintf("%s %s", at(b.T), clip(string(b.Rule), 20))}
	for _, whom := range [][2]string{{"scheduler", b.Scheduler}, {"worker", b.Worker}, {"request", b.Request}} {
		if whom[1] != "" {
			parts = append(parts, whom[0]+" "+clip(whom[1], 40))
		}
	}
	return strings.Join(parts, ", ") + ": " + clip(b.Text, 600)
}

// after words a time since something that may never have come.
func after(us int64) string {
	if us < 0 {
		return "never"
	}
	return fmt.Sprintf("%.1f s", seconds(us))
}
