package report

import (
	"encoding/json"
	"fmt"
	"io"

	"laddertide/core/score"
)

type jsonRun struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Service  float64 `json:"service"`
	Worst10s float64 `json:"worst_10s"`
	LateMS   float64 `json:"late_ms"`

	Rules               map[string]int `json:"rules"`
	CardIssueDuplicates int            `json:"card_issue_duplicates"`
	MissingAnswers      int            `json:"missing_answers"`
	Partial             bool           `json:"partial"`
	Late                bool           `json:"late"`
	Judged              bool           `json:"judged"` // false: the rules' zeros say nothing

	Classes map[string]jsonGroup `json:"classes"`
	Tenants map[string]jsonGroup `json:"tenants"`
	All     jsonGroup            `json:"all"`
	Daemon  jsonDaemon           `json:"daemon"`

	LengthS    float64 `json:"length_s"`
	Workers    int     `json:"workers"`
	Schedulers int     `json:"schedulers"`
	Rate       float64 `json:"rate"`

	Parts      jsonParts      `json:"parts"`
	Deductions jsonDeductions `json:"deductions"`

	Requests         int            `json:"requests"`
	Retries          int            `json:"retries"`
	Attempts         int            `json:"attempts"`
	SchedulerRetries int            `json:"scheduler_retries"`
	Crossings        int            `json:"crossings"`
	Full             int            `json:"full"`
	Void             int            `json:"void"`
	Untold           int            `json:"untold"`
	Kills            int            `json:"kills"`
	Restarts         int            `json:"restarts"`
	Durable          int            `json:"durable_requests"`
	AskedAgain       int            `json:"asked_again"`
	Effects          int            `json:"effects"`
	Probes           int            `json:"probes"`
	Fallen           int            `json:"fallen"`
	WorkAskedS       float64        `json:"work_asked_s"`
	WorkDoneS        float64        `json:"work_done_s"`
	WastedS          float64        `json:"wasted_s"`
	Statuses         map[string]int `json:"statuses"`

	Kit       jsonKit       `json:"kit"`
	Strangers jsonStrangers `json:"strangers"`
	Owned     *jsonOwned    `json:"owned,omitempty"` // only where any scheduler may be asked for a job
	Back      *jsonBack     `json:"back,omitempty"`  // after a loss of power
	Troubles  []jsonTrouble `json:"troubles"`

	Breaches []jsonBreach `json:"breaches"`
	Notes    []string     `json:"notes"`
}

type jsonGroup struct {
	Asked      int     `json:"asked"`
	InTime     int     `json:"in_time"`
	Late       int     `json:"late"`
	Refused    int     `json:"refused"`
	Failed     int     `json:"failed"`
	Unanswered int     `json:"unanswered"`
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	P999       float64 `json:"p999_ms"`
	Share      float64 `json:"share"`
	Beyond     int     `json:"beyond_share"`
}

type jsonDaemon struct {
	CPU         float64                `json:"cpu_s"`
	PeakMB      float64                `json:"peak_mb"`
	Descriptors int                    `json:"descriptors"`
	Crashes     int                    `json:"crashes"`
	Schedulers  map[string]jsonProcess `json:"schedulers"`
}

type jsonProcess struct {
	CPU         float64 `json:"cpu_s"`
	PeakMB      float64 `json:"peak_mb"`
	Descriptors int     `json:"descriptors"`
}

type jsonParts struct {
	Whole       float64 `json:"whole"`
	Window      float64 `json:"worst_10s"`
	WindowFrom  float64 `json:"worst_10s_from_s"`
	WorstClass  float64 `json:"worst_class"`
	Class       string  `json:"class"`
	WorstTenant float64 `json:"worst_tenant"`
	Tenant      string  `json:"tenant"`
}

type jsonDeductions struct {
	Sum             float64 `json:"sum"`
	CrossZone       float64 `json:"cross_zone"`
	LateFail        float64 `json:"late_fail"`
	Waste           float64 `json:"waste"`
	Probe           float64 `json:"probe"`
	CrossingsPerJob float64 `json:"crossings_per_job"`
	LateFailShare   float64 `json:"late_fail_share"`
	WasteShare      float64 `json:"waste_share"`
	ProbesPerJob    float64 `json:"probes_per_job"`
}

type jsonKit struct {
	LateP50      float64 `json:"late_p50_ms"`
	LateMax      float64 `json:"late_max_ms"`
	Stalls       int     `json:"stalls"`
	StallsMS     float64 `json:"stalls_ms"`
	LongestStall float64 `json:"longest_stall_ms"`
	CPU          float64 `json:"cpu_s"`
	Steps        int     `json:"steps"`            // of the plan that were done
	StepsUncued  int     `json:"steps_uncued"`     // of them: without the cue that they had waited for
	StepLateMax  float64 `json:"step_late_max_ms"` // from when one was due until it was done
}

type jsonStrangers struct {
	Seen    int            `json:"seen"`
	Ignored int            `json:"ignored"`
	Kinds   map[string]int `json:"kinds"`
}

type jsonOwned struct {
	Asked        int     `json:"asked"`
	Elsewhere    int     `json:"asked_elsewhere"`
	ToldToWait   int     `json:"told_to_wait"`
	WaitedServed int     `json:"waited_served"`
	Waits        int     `json:"answers_502"`
	Wait50       float64 `json:"wait_p50_ms"`
	Wait99       float64 `json:"wait_p99_ms"`
	WaitMost     float64 `json:"wait_max_ms"`
	Failed       int     `json:"failed"`
	Refused      int     `json:"refused"`
	Others       int     `json:"others"`
	OthersKnown  int     `json:"others_409"`
	Kills        int     `json:"kills"`
	Pauses       int     `json:"pauses"`
	LinkFaults   int     `json:"link_faults"`
	IDsChecked   int     `json:"ids_checked"`
	IDsUnsure    int     `json:"ids_unsure"`
}

type jsonTrouble struct {
	Name      string  `json:"name"`
	Worker    string  `json:"worker,omitempty"`
	Scheduler string  `json:"scheduler,omitempty"`
	From      float64 `json:"from_s"`
	Until     float64 `json:"until_s"`
}

type jsonBreach struct {
	Rule      string  `json:"rule"`
	Kind      string  `json:"kind"`
	At        float64 `json:"at_s"`
	Scheduler string  `json:"scheduler,omitempty"`
	Worker    string  `json:"worker,omitempty"`
	Request   string  `json:"request,omitempty"`
	Attempt   int64   `json:"attempt,omitempty"`
	Text      string  `json:"text"`
}

// Encode writes one JSON object a run, each on a line of its own: the file of a single run is a JSON document, that of
// several is JSON lines. Figures that no job or process gave are 0; the error is the writer's.
func Encode(w io.Writer, runs []Run) error {
	for i := range runs {
		line, err := json.Marshal(runs[i].json())
		if err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if _, err := w.Write(append(line, '\n')); err != nil {
			return err
		}
	}
	return nil
}

func (r *Run) json() jsonRun {
	f, t := &r.Figures, &r.Figures.Totals
	out := jsonRun{
		Scenario: r.Scenario, Seed: r.Seed, Service: finite(f.Service, 6), Worst10s: finite(f.Parts.Window, 6),
		LateMS: finite(f.Harness.LateP99, 3), Rules: map[string]int{}, CardIssueDuplicates: r.Verdict.CardIssueDuplicates,
		MissingAnswers: r.Verdict.MissingAnswers, Partial: r.partial(), Late: r.Late, Judged: !r.Unjudged,
		Classes: groupsJSON(f.Classes), Tenants: groupsJSON(f.Tenants),
		All: groupJSON(&score.Group{Ends: t.Ends, Share: f.Parts.Whole, P50: t.P50, P99: t.P99, P999: t.P999}),
		Daemon: jsonDaemon{CPU: finite(r.Daemon.CPUSeconds, 3), PeakMB: finite(r.Daemon.PeakMB, 1),
			Descriptors: r.Daemon.Descriptors, Schedulers: map[string]jsonProcess{}},
		LengthS: finite(r.Length, 3), Workers: r.Workers, Schedulers: r.Schedulers, Rate: finite(r.Rate, 3),
		Requests: t.Requests, Retries: t.ClientRetries, Attempts: t.Attempts, SchedulerRetries: t.SchedulerRetries,
		Crossings: t.Crossings, Full: t.Full, Void: t.Undelivered, Untold: t.CallbacksFailed,
		Kills: t.Kills, Restarts: t.Restarts, Durable: t.Durable, AskedAgain: t.Repeated, Effects: t.Effects, Probes: t.Probes,
		Fallen: t.ColdOverloads, WorkAskedS: finite(t.WorkAsked, 3), WorkDoneS: finite(t.WorkDone, 3),
		WastedS: finite(t.WorkWasted, 3), Statuses: countsJSON(t.Statuses),
		Kit: jsonKit{LateP50: finite(f.Harness.LateP50, 3), LateMax: finite(f.Harness.LateMax, 3), Stalls: f.Harness.Stalls,
			StallsMS: finite(f.Harness.StallTotal, 3), LongestStall: finite(f.Harness.StallLongest, 3),
			CPU: finite(r.KitCPU, 3), Steps: len(f.Steps), StepLateMax: finite(f.Harness.StepLateMax, 3)},
		Strangers: jsonStrangers{Seen: f.BadClients.Seen, Ignored: f.BadClients.Ignored,
			Kinds: countsJSON(f.BadClients.Kinds)},
		Troubles: []jsonTrouble{}, Breaches: []jsonBreach{}, Notes: []string{},
	}
	_, out.Kit.StepsUncued = r.Cues()
	if o := &f.Owned; o.Asked > 0 {
		out.Owned = &jsonOwned{Asked: o.Asked, Elsewhere: o.AtSeveralSchedulers, ToldToWait: o.Deferred, WaitedServed: o.DeferredServed,
			Waits: o.Deferrals, Wait50: finite(o.Wait50, 3), Wait99: finite(o.Wait99, 3), WaitMost: finite(o.WaitMost, 3),
			Failed: o.Failed, Refused: o.Refused, Others: o.IDConflicts, OthersKnown: o.IDConflictsDetected, Kills: o.Kills, Pauses: o.Pauses,
			LinkFaults: o.LinkFaults, IDsChecked: r.IDs.Checked, IDsUnsure: r.IDs.Unsure}
	}
	if b := f.Recovery; b != nil {
		out.Back = &jsonBack{At: seconds(b.At), Until: seconds(b.Until), Before: finite(b.Before, 6), First: seconds(b.FirstAnswer),
			Half: seconds(b.HalfRestored), Nearly: seconds(b.NearlyRestored), End: finite(b.End, 6), Asked: b.Asked, Served: b.Served, Refused: b.Refused}
	}
	p, d := &f.Parts, &f.Deductions
	out.Parts = jsonParts{Whole: finite(p.Whole, 6), Window: finite(p.Window, 6), WindowFrom: seconds(p.WindowFrom),
		WorstClass: finite(p.WorstClass, 6), Class: p.WorstClassName, WorstTenant: finite(p.WorstTenant, 6), Tenant: p.WorstTenantName}
	out.Deductions = jsonDeductions{Sum: finite(d.Sum, 6), CrossZone: finite(d.CrossZone, 6),
		LateFail: finite(d.LateFail, 6), Waste: finite(d.Waste, 6), Probe: finite(d.Probe, 6),
		CrossingsPerJob: finite(d.CrossingsPerJob, 6), LateFailShare: finite(d.LateFailShare, 6),
		WasteShare: finite(d.WasteShare, 6), ProbesPerJob: finite(d.ProbesPerJob, 6)}
	for _, c := range rules(&r.Verdict) {
		out.Rules[string(c.Rule)] = c.N
	}
	for _, s := range f.Schedulers {
		out.Daemon.Crashes += s.Crashes
	}
	for _, p := range r.Daemon.Schedulers {
		out.Daemon.Schedulers[p.Name] = jsonProcess{finite(p.CPUSeconds, 3), finite(p.PeakMB, 1), p.Descriptors}
	}
	for _, tr := range f.Faults {
		out.Troubles = append(out.Troubles, jsonTrouble{tr.Name, tr.Worker, tr.Scheduler, seconds(tr.From),
			seconds(tr.Until)})
	}
	for _, b := range r.Verdict.Breaches[:min(breachesInJSON, len(r.Verdict.Breaches))] {
		out.Breaches = append(out.Breaches, jsonBreach{string(b.Rule), b.Kind, seconds(b.T), b.Scheduler, b.Worker,
			b.Request, b.Attempt, b.Text})
	}
	out.Notes = append(append(out.Notes, r.Notes...), r.Verdict.Notes...)
	return out
}

func seconds(us int64) float64 { return float64(us) / 1e6 }

func groupsJSON(groups []score.Group) map[string]jsonGroup {
	out := make(map[string]jsonGroup, len(groups))
	for i := range groups {
		out[groups[i].Name] = groupJSON(&groups[i])
	}
	return out
}

func groupJSON(g *score.Group) jsonGroup {
	return jsonGroup{g.Asked, g.InTime, g.Late, g.Refused, g.Failed, g.Unanswered, finite(g.P50, 3), finite(g.P99, 3),
		finite(g.P999, 3), finite(g.Share, 6), g.OverQuota}
}

func countsJSON(counts []score.Count) map[string]int {
	out := make(map[string]int, len(counts))
	for _, c := range counts {
		out[c.Name] += c.N
	}
	return out
}

// jsonBack is how service came back after a loss of power, in s from it on; below 0: never.
type jsonBack struct {
	At      float64 `json:"at_s"`
	Until   float64 `json:"all_back_s"`
	Before  float64 `json:"service_before"`
	First   float64 `json:"first_job_s"`
	Half    float64 `json:"half_s"`
	Nearly  float64 `json:"nearly_s"`
	End     float64 `json:"service_at_end"`
	Asked   int     `json:"asked"`
	Served  int     `json:"served"`
	Refused int     `json:"refused"`
}
