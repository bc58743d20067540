package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"laddertide/core/score"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is what the template shows; all its words are made here.
type page struct {
	Title string
	Many  bool
	Runs  []pageRun
}

type pageRun struct {
	ID                                              string
	Scenario                                        string
	Seed                                            uint64
	Service, Window, Rules, Late, Setting, Troubles string
	Kept, Counts                                    bool
	Caveats                                         []string
	RuleRows                                        []ruleRow
	Groups                                          []groupTable
	Parts                                           []partRow
	Deductions                                      []partRow
	Costs                                           []pair
	Figures                                         []figure
	Breaches                                        []breachStory
	MoreBreaches                                    int
	Processes                                       []processRow
	Kit                                             []pair
}

type ruleRow struct {
	Name, Means string
	N           int
}

type groupTable struct {
	What   string
	Tenant bool
	Rows   []groupRow
}

type groupRow struct {
	Name string
	score.Ends
	Beyond, Share, P50, P99, P999 string
	All                           bool
}

type partRow struct{ Name, Value, Weight, Points string }

type pair struct{ Name, Value string }

type breachStory struct {
	Breach
	At    string
	Where string
	Story []told
	Left  int
	Open  bool
}

type processRow struct {
	Name, Zone, CPU, Peak, Descriptors string
	Requests, Attempts, Lives, Crashes int
}

// ruleMeans says what each rule asks, for those who have not read them today.
var ruleMeans = map[Rule]string{
	"answers":    "One final answer for all that a running scheduler has taken, before its client gives up.",
	"duplicates": "No job runs again that may not; never two attempts at once; refused only if nothing may have run.",
	"drains":     "Nothing new to a worker once its scheduler was told, 2 s ago or more, that it drains or is gone.",
	"cold":       "No worker that just came up is pushed over.",
	"altered":    "What a client asked for reaches workers unchanged, and nothing that no client has asked for.",
}

// Page writes one page of HTML for the runs, with its drawings and styles in it: it loads nothing. The error is the
// writer's.
func Page(w io.Writer, runs []Run) error {
	p := page{Title: "Rehearsal", Many: len(runs) > 1}
	for i := range runs {
		p.Runs = append(p.Runs, runs[i].page(fmt.Sprintf("run-%d", i+1)))
	}
	if len(runs) == 1 {
		p.Title = fmt.Sprintf("Rehearsal of %s, seed %d", clip(runs[0].Scenario, 60), runs[0].Seed)
	}
	return pageTemplate.Execute(w, p)
}

func (r *Run) page(id string) pageRun {
	f := &r.Figures
	out := pageRun{
		ID: id, Scenario: clip(r.Scenario, 60), Seed: r.Seed, Service: share(f.Service), Window: share(f.Parts.Window),
		Rules: r.rulesText(), Kept: r.Kept(), Counts: !r.partial() && !r.Late, Late: millis(f.Harness.LateP99) + " ms",
		Caveats: r.caveats(), Figures: figures(f),
		Setting: fmt.Sprintf("%.4g s, %d workers, %d schedulers, %.4g jobs a second", finite(r.Length, 3), r.Workers,
			r.Schedulers, finite(r.Rate, 3)),
		Troubles: troublesText(f.Faults),
	}
	for _, c := range rules(&r.Verdict) {
		out.RuleRows = append(out.RuleRows, ruleRow{clip(string(c.Rule), 40), ruleMeans[c.Rule], c.N})
	}
	out.Groups = r.groupTables()
	p, d, w := &f.Parts, &f.Deductions, &f.Parts.Weights
	part := func(name string, x, weight float64) {
		out.Parts = append(out.Parts, partRow{name, share(x), fmt.Sprintf("%.0f%%", 100*weight),
			fmt.Sprintf("%.4f", finite(x*weight, 6))})
	}
	part("whole run", p.Whole, w.Whole)
	part(fmt.Sprintf("worst 10 s, from %.1f s on", seconds(p.WindowFrom)), p.Window, w.Window)
	part("worst class: "+clip(p.WorstClassName, 40), p.WorstClass, w.WorstClass)
	part("worst tenant, within its share: "+clip(p.WorstTenantName, 40), p.WorstTenant, w.WorstTenant)
	off := func(name string, x, fee, points float64) {
		out.Deductions = append(out.Deductions, partRow{name, share(x), fmt.Sprintf("%.3f", finite(fee, 6)),
			fmt.Sprintf("-%.4f", finite(points, 6))})
	}
	off("attempts to another zone, for each job", d.CrossingsPerJob, w.CrossZone, d.CrossZone)
	off("worth that was not served and ended after its aim", d.LateFailShare, w.LateFail, d.LateFail)
	off("work without a served answer, of that asked for", d.WasteShare, w.Waste, d.Waste)
	off("probes, for each job", d.ProbesPerJob, w.Probe, d.Probe)
	out.Costs, out.Kit = r.costPairs(), r.kitPairs()
	for i, b := range r.Verdict.Breaches[:min(breachesInPage, len(r.Verdict.Breaches))] {
		s := breachStory{Breach: b, At: at(b.T), Where: whereabouts(&b), Open: i < 3}
		s.Rule, s.Kind, s.Text = Rule(clip(string(b.Rule), 40)), clip(b.Kind, 40), clip(b.Text, 600)
		s.Story, s.Left = tell(r.Stories[b.Request], b.Attempt)
		out.Breaches = append(out.Breaches, s)
	}
	for _, c := range broken(&r.Verdict) {
		out.MoreBreaches += c.N
	}
	out.MoreBreaches -= len(out.Breaches)
	out.Processes = r.processRows()
	return out
}

// whereabouts names whom a breach concerns.
func whereabouts(b *Breach) string {
	s := ""
	for _, whom := range [][2]string{{"scheduler", b.Scheduler}, {"worker", b.Worker}, {"request", b.Request}} {
		if whom[1] != "" {
			s += ", " + whom[0] + " " + clip(whom[1], 40)
		}
	}
	return s
}

func (r *Run) groupTables() []groupTable {
	f := &r.Figures
	row := func(name string, e score.Ends, of, p50, p99, p999 float64) groupRow {
		out := groupRow{Name: clip(name, 60), Ends: e, Beyond: "-", Share: "-", P50: "-", P99: "-", P999: "-"}
		if e.Asked > 0 {
			out.Share = share(of)
		}
		if e.Served() > 0 {
			out.P50, out.P99, out.P999 = millis(p50), millis(p99), millis(p999)
		}
		return out
	}
	var out []groupTable
	for _, t := range []struct {
		what   string
		groups []score.Group
	}{{"Class", f.Classes}, {"Tenant", f.Tenants}} {
		g := groupTable{What: t.what, Tenant: t.what == "Tenant"}
		for i := range t.groups {
			gr := &t.groups[i]
			line := row(gr.Name, gr.Ends, gr.Share, gr.P50, gr.P99, gr.P999)
			if gr.Quota > 0 {
				line.Beyond = fmt.Sprint(gr.OverQuota)
			}
			g.Rows = append(g.Rows, line)
		}
		if t.what == "Class" {
			a := &f.Totals
			all := row("all", a.Ends, f.Parts.Whole, a.P50, a.P99, a.P999)
			all.All = true
			g.Rows = append(g.Rows, all)
		}
		out = append(out, g)
	}
	return out
}

func (r *Run) costPairs() []pair {
	t := &r.Figures.Totals
	n := func(name string, n int) pair { return pair{name, fmt.Sprint(n)} }
	s := func(name string, x float64) pair { return pair{name, fmt.Sprintf("%.1f s", finite(x, 3))} }
	out := []pair{
		n("requests of clients", t.Requests), n("retries by clients", t.ClientRetries), n("attempts", t.Attempts),
		n("attempts beyond a request's first", t.SchedulerRetries), n("attempts to another zone", t.Crossings),
		n("turned away full", t.Full), n("written into silence", t.Undelivered), s("work asked for", t.WorkAsked),
		s("work done", t.WorkDone), s("work wasted", t.WorkWasted), n("jobs that took effect", t.Effects),
		n("call-backs untold", t.CallbacksFailed), n("probes", t.Probes), n("cold workers that fell", t.ColdOverloads),
	}
	if st := &r.Figures.BadClients; st.Seen > 0 {
		out = append(out, n("bad clients", st.Seen), n("bad clients that got neither answer nor close", st.Ignored))
	}
	return out
}

func (r *Run) kitPairs() []pair {
	k := &r.Figures.Harness
	out := []pair{
		{"lateness of sending, p50", millis(k.LateP50) + " ms"}, {"p99", millis(k.LateP99) + " ms"},
		{"worst", millis(k.LateMax) + " ms"},
		{"stalls", fmt.Sprintf("%d, together %s ms, the longest %s ms", k.Stalls, millis(k.StallTotal),
			millis(k.StallLongest))},
		{"CPU", fmt.Sprintf("%.2f s", finite(r.KitCPU, 3))},
	}
	if steps := r.steps(); steps != "" {
		out = append(out, pair{"plan", steps})
	}
	return out
}

// processRows joins what the system says of the schedulers' processes with what the history does.
func (r *Run) processRows() []processRow {
	var out []processRow
	seen := map[string]int{}
	for _, s := range r.Figures.Schedulers {
		seen[s.Name] = len(out)
		out = append(out, processRow{Name: clip(s.Name, 40), Zone: clip(s.Zone, 40), CPU: "-", Peak: "-",
			Descriptors: "-", Requests: s.Sent, Attempts: s.Attempts, Lives: s.Lives, Crashes: s.Crashes})
	}
	put := func(row *processRow, cpu, peak float64, descriptors int) {
		row.CPU, row.Peak = fmt.Sprintf("%.2f s", finite(cpu, 3)), fmt.Sprintf("%.1f MB", finite(peak, 3))
		row.Descriptors = fmt.Sprint(descriptors)
	}
	for _, p := range r.Daemon.Schedulers {
		i, ok := seen[p.Name]
		if !ok {
			i = len(out)
			out = append(out, processRow{Name: clip(p.Name, 40), Zone: "-"})
		}
		put(&out[i], p.CPUSeconds, p.PeakMB, p.Descriptors)
	}
	all := processRow{Name: "together; the most of one"}
	for i := range out {
		all.Requests += out[i].Requests
		all.Attempts += out[i].Attempts
		all.Lives += out[i].Lives
		all.Crashes += out[i].Crashes
	}
	put(&all, r.Daemon.CPUSeconds, r.Daemon.PeakMB, r.Daemon.Descriptors)
	return append(out, all)
}
