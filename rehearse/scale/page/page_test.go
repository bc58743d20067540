package page

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

const root = "../../.."

// The page in the repository must be what its files give. Run: go run ./cmd/rehearse capacity-page
func TestPageIsGeneratedFromItsFiles(t *testing.T) {
	was, should, err := Generate(root)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(was, should) {
		t.Fatalf("%s differs from its measurements: run go run ./cmd/rehearse capacity-page\n%s", PageFile,
			firstDifference(string(was), string(should)))
	}
}

// The last digit of a figure is not the same on all kinds of machines: the page must not depend on it.
func TestPageDoesNotDependOnLastDigits(t *testing.T) {
	s := fleetSize(t)
	tables := func(nudge func(x *float64)) map[string]string {
		files, err := measurement.ReadAll(filepath.Join(root, Folder))
		if err != nil {
			t.Fatal(err)
		}
		for _, f := range files {
			for i := range f.Points {
				nudge(&f.Points[i].WindowSeconds)
				for _, u := range f.Points[i].Roles {
					nudge(u.CPUSeconds)
					for _, counted := range u.Traffic {
						nudge(counted.Messages)
						nudge(counted.Bytes)
					}
				}
			}
		}
		return newReport(s, files, nil, always).tables()
	}
	want := tables(func(*float64) {})
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(70, seed))
		got := tables(func(x *float64) {
			if x != nil && *x != 0 {
				*x = math.Nextafter(*x, math.Inf(random.IntN(2)-1))
			}
		})
		for name := range got {
			if got[name] != want[name] {
				t.Errorf("seed %d, table %s: %s", seed, name, firstDifference(want[name], got[name]))
			}
		}
	}
}

func TestMeasuredFiguresHalfwayBetweenTwo(t *testing.T) {
	for x, want := range map[float64]string{80310.5: "80,310", 80311.5: "80,312", -80310.5: "-80,310", 100: "100", 0.0625e-20: "6.25e-22"} {
		for _, off := range []float64{-2e-16, 0, 4e-16} {
			if got := measured(x * (1 + off)); got != want {
				t.Errorf("%.17g is printed as %s, want %s", x*(1+off), got, want)
			}
		}
	}
}

func firstDifference(was, should string) string {
	a, b := strings.Split(was, "\n"), strings.Split(should, "\n")
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return fmt.Sprintf("line %d is\n%s\nand should be\n%s", i+1, a[i], b[i])
		}
	}
	return fmt.Sprintf("%d lines, should be %d", len(a), len(b))
}

func pointer(x float64) *float64 { return &x }

func fleetSize(t *testing.T) *size.Size {
	t.Helper()
	s, err := size.Load(filepath.Join(root, SizeFile))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// sweepFile varies one parameter over five points with three seeds: what a scheduler uses is the sum of its parts.
func sweepFile(name string, varied measurement.Parameter, values []float64, base measurement.Parameters,
	cpuOf func(p measurement.Parameters) float64) measurement.Named {
	f := &measurement.File{Version: measurement.Version, Command: "rehearse scale --sweep " + string(varied), Commit: "0123456789",
		Date: "2026-12-02T05:00:00Z", Machine: measurement.Machine{CPU: "a model", Cores: 8, Memory: 1 << 34},
		Size: measurement.SizeFile{Scale: 1}, Varied: string(varied)}
	for _, value := range values {
		for seed := range uint64(3) {
			p := base
			p.Set(varied, value)
			if varied == measurement.Workers {
				p.Accelerators = 2.5 * value
			}
			const window = 10
			noise := 0.001 * (float64(seed) - 1)
			f.Points = append(f.Points, measurement.Point{Parameters: p, Seed: seed, WindowSeconds: window, Valid: true,
				Roles: []measurement.Usage{{Role: measurement.Scheduler, Instances: 1,
					CPUSeconds: pointer(window * (cpuOf(p) + noise) / percent)}}})
		}
	}
	return measurement.Named{Name: name, File: f}
}

// cpuPercent is what a scheduler of the examples takes.
func cpuPercent(p measurement.Parameters) float64 {
	return 0.1 + 0.0004*p.Workers + 0.5*p.TaskStartsPerSecond/p.Schedulers + 0.01*(p.Schedulers+p.HollowSchedulers)
}

func exampleFiles(s *size.Size) []measurement.Named {
	full := fullSize(s)
	base := full
	base.Workers, base.Accelerators, base.HollowSchedulers = 200, 500, 0
	base.TaskStartsPerSecond, base.TasksRunning = 0, 0
	workers := sweepFile("workers.json", measurement.Workers, []float64{100, 200, 300, 400, 500}, base, cpuPercent)
	hollow := sweepFile("hollow.json", measurement.HollowSchedulers, []float64{0, 10, 20, 30, 40}, base, cpuPercent)
	starts := sweepFile("starts.json", measurement.TaskStartsPerSecond, []float64{0, 10, 20, 30, 40}, base, cpuPercent)
	for i := range starts.Points {
		p := &starts.Points[i].Parameters
		p.TasksRunning = p.TaskStartsPerSecond * full.TasksRunning / full.TaskStartsPerSecond
	}
	return []measurement.Named{hollow, starts, workers}
}

func always(string) bool { return true }

// A sum of slopes must give the truth that the files were made from, with and without tasks.
func TestFigureAtTheSize(t *testing.T) {
	s := fleetSize(t)
	r := newReport(s, exampleFiles(s), nil, always)
	full := fullSize(s)
	for _, control := range []bool{true, false} {
		want := full
		if control {
			want = controlOnly(full)
		}
		f := r.figure(key{measurement.Scheduler, cpu}, control)
		if f == nil || len(f.missing) > 0 {
			t.Fatalf("control %t: got %+v", control, f)
		}
		truth := cpuPercent(want)
		if f.estimate.Excludes(truth) || f.estimate.Value < 0.95*truth || f.estimate.Value > 1.05*truth {
			t.Errorf("control %t: %+v, want %g", control, f.estimate, truth)
		}
	}
	// 0.1 + 0.4 + 0.3 without tasks: within 1.3.
	if got := r.budgetFinding(key{measurement.Scheduler, cpu}, true).verdict; got != within {
		t.Errorf("control's CPU is %s", got)
	}
}

func TestVerdictsFollowTheBudget(t *testing.T) {
	s := fleetSize(t)
	r := newReport(s, exampleFiles(s), nil, always)
	s.Budget.CPUPercent = 0.79
	if got := r.budgetFinding(key{measurement.Scheduler, cpu}, true).verdict; got != over {
		t.Errorf("0.8 of 0.79: %s", got)
	}
	if got := r.budgetFinding(key{measurement.Scheduler, memoryPeak}, true).verdict; got != notMeasured {
		t.Errorf("memory that no file has: %s", got)
	}
}

// Without the sweep of schedulers the figure lacks a parameter: it may be over, but not within.
func TestMissingParameterIsNotWithin(t *testing.T) {
	s := fleetSize(t)
	files := exampleFiles(s)[1:]
	r := newReport(s, files, nil, always)
	f := r.figure(key{measurement.Scheduler, cpu}, true)
	if f == nil || len(f.missing) != 1 || !strings.HasPrefix(f.missing[0], "schedulers (6 there, 30 wanted)") {
		t.Fatalf("got %+v", f)
	}
	if got := judge(f, 1.3); got != notMeasured {
		t.Errorf("0.56 of 1.3 without schedulers: %s", got)
	}
	if got := judge(f, 0.3); got != over {
		t.Errorf("0.56 of 0.3 without schedulers: %s", got)
	}
}

func TestPointsThatDoNotCountAreLeftOut(t *testing.T) {
	s := fleetSize(t)
	files := exampleFiles(s)
	spoiled := &files[2].Points[0]
	spoiled.Valid, spoiled.WhyNot = false, "the kit was late"
	spoiled.Roles[0].CPUSeconds = pointer(1000)
	r := newReport(s, files, nil, always)
	f := r.figure(key{measurement.Scheduler, cpu}, true)
	if f.estimate.Value > 1 {
		t.Errorf("got %+v", f.estimate)
	}
	if !strings.Contains(r.measured(), "14 of 15 | 1: the kit was late |") {
		t.Errorf("the table of files does not say so:\n%s", r.measured())
	}
}

// A sweep in which another parameter moves gives no slope to add up.
func TestConfusedSweepIsNotUsed(t *testing.T) {
	s := fleetSize(t)
	files := exampleFiles(s)
	for i := range files[0].Points {
		files[0].Points[i].Parameters.Tenants = float64(i)
	}
	r := newReport(s, files, nil, always)
	f := r.figure(key{measurement.Scheduler, cpu}, true)
	if len(f.missing) == 0 {
		t.Errorf("the slope by schedulers was used: %s", formula(f))
	}
	if !strings.Contains(r.slopes(), "no: tenants varies as well") {
		t.Errorf("the table of slopes does not say so:\n%s", r.slopes())
	}
}

func TestWithoutFilesNothingIsMeasured(t *testing.T) {
	r := newReport(fleetSize(t), nil, nil, func(string) bool { return false })
	for name, text := range r.tables() {
		if strings.Contains(text, "| "+string(within)+" |") || strings.Contains(text, "| "+string(over)+" |") {
			t.Errorf("%s has a verdict:\n%s", name, text)
		}
	}
	if got := strings.Count(r.promises(), string(noMechanism)); got != 14 {
		t.Errorf("%d promises without a mechanism where there are no packages at all", got)
	}
}

// Of what nothing carries, that with the most stated events a day is first; a budget that is passed comes after all of it.
func TestOrderOfWhatIsMissing(t *testing.T) {
	s := fleetSize(t)
	s.Budget.CPUPercent = 0.79
	carried := func(folder string) bool { return folder == "policy" }
	r := newReport(s, exampleFiles(s), nil, carried)
	rows := strings.Split(strings.TrimSpace(r.missing()), "\n")[2:]
	want := []string{"1,100 changes", "gangs of up to 64", "3 regions", "340 teams", "6 machines", "control takes"}
	if len(rows) != len(want) {
		t.Fatalf("got\n%s", r.missing())
	}
	for i, row := range rows {
		if !strings.HasPrefix(row, fmt.Sprintf("| %d | %s", i+1, want[i])) {
			t.Errorf("row %d is %s, want %s", i+1, row, want[i])
		}
	}
}

func TestMechanismsThatNothingCarries(t *testing.T) {
	r := newReport(fleetSize(t), nil, nil, func(folder string) bool { return folder == "policy" })
	text := r.promises()
	for _, what := range []string{"gangs of up to 64", "340 teams with quotas", "3 regions with 7 zones", "1,100 changes of"} {
		for line := range strings.Lines(text) {
			if strings.HasPrefix(line, "| "+what) && !strings.Contains(line, string(noMechanism)) {
				t.Errorf("%s", line)
			}
		}
		if !strings.Contains(text, "| "+what) {
			t.Errorf("no row for %s in\n%s", what, text)
		}
	}
}

// servicePoint is a run at a share of the size.
func servicePoint(s *size.Size, share float64) measurement.Point {
	p := fullSize(s)
	p.Workers *= share
	p.Accelerators *= share
	p.TasksRunning *= share
	p.TaskStartsPerSecond *= share
	return measurement.Point{Parameters: p, WindowSeconds: 10, Valid: true,
		Service: &measurement.Service{Share: 0.99, Asked: 1000, Done: 995, Failed: 5, UrgentWorst: pointer(2)}}
}

func TestPromisesOfLoad(t *testing.T) {
	s := fleetSize(t)
	cases := []struct {
		name         string
		point        func() measurement.Point
		load, urgent verdict
	}{
		{"at the size", func() measurement.Point { return servicePoint(s, 1) }, within, within},
		{"at a tenth", func() measurement.Point { return servicePoint(s, 0.1) }, notMeasured, notMeasured},
		{"refused", func() measurement.Point {
			p := servicePoint(s, 1)
			p.Service.Done, p.Service.Refused = 800, 195
			return p
		}, over, within},
		{"late", func() measurement.Point {
			p := servicePoint(s, 0.1)
			p.Service.UrgentWorst = pointer(4)
			return p
		}, notMeasured, over},
		{"unanswered", func() measurement.Point {
			p := servicePoint(s, 1)
			p.Service.Unanswered = 3
			return p
		}, over, within},
		{"broken", func() measurement.Point {
			p := servicePoint(s, 1)
			p.Service.RulesBroken = []string{"run twice"}
			return p
		}, over, within},
		{"does not count", func() measurement.Point {
			p := servicePoint(s, 1)
			p.Valid = false
			return p
		}, notMeasured, notMeasured},
	}
	for _, c := range cases {
		r := newReport(s, []measurement.Named{{Name: "a.json", File: &measurement.File{Points: []measurement.Point{c.point()}}}}, nil, always)
		if got := r.loadFinding(measurement.Workers); got.verdict != c.load {
			t.Errorf("%s: workers %s: %s", c.name, got.verdict, got.text)
		}
		if got := r.urgent(3.9); got.verdict != c.urgent {
			t.Errorf("%s: urgent %s: %s", c.name, got.verdict, got.text)
		}
	}
}

func plainRun() measurement.Configuration {
	return measurement.Configuration{Case: measurement.CaseWithoutFailure, Schedulers: 30, Sources: 3, Regions: 3, RoundTripMS: 80,
		Changes: 1000, DocumentBytes: 1846, P50MS: 200, P99MS: 210, WorstMS: 300, IdleBytesPerSecond: 16, SchedulerBytesPerChange: 1728,
		IdleCPUPercent: 0.07, IdleCPUPercentOff: 0.05, SchedulerCPUPerChange: 1728}
}

func TestChangesInForce(t *testing.T) {
	s := fleetSize(t)
	cases := []struct {
		name   string
		change func(*measurement.Configuration)
		want   verdict
	}{
		{"at the size", func(*measurement.Configuration) {}, within},
		{"late", func(c *measurement.Configuration) { c.WorstMS = 6100 }, over},
		{"few schedulers", func(c *measurement.Configuration) { c.Schedulers = 6 }, notMeasured},
		{"one region", func(c *measurement.Configuration) { c.Regions = 1 }, notMeasured},
		{"short way", func(c *measurement.Configuration) { c.RoundTripMS = 8 }, notMeasured},
		{"under a failure only", func(c *measurement.Configuration) { c.Case = "leader-kill" }, notMeasured},
	}
	for _, c := range cases {
		run := plainRun()
		c.change(&run)
		r := newReport(s, nil, []measurement.NamedConfiguration{{Name: "a.json", Configuration: &run}}, always)
		if got := r.inForce(6); got.verdict != c.want {
			t.Errorf("%s: %s: %s", c.name, got.verdict, got.text)
		}
		if got := r.machines(6).verdict; got != within {
			t.Errorf("%s: 3 sources on 6 machines: %s", c.name, got)
		}
		if got := r.machines(2).verdict; got != over {
			t.Errorf("%s: 3 sources on 2 machines: %s", c.name, got)
		}
	}
}

// What following the configuration takes belongs to what control takes: 0.02 and 1,100 changes a day of 1.728 ms each.
func TestFollowingIsPartOfControl(t *testing.T) {
	s := fleetSize(t)
	run := plainRun()
	without := newReport(s, exampleFiles(s), nil, always)
	with := newReport(s, exampleFiles(s), []measurement.NamedConfiguration{{Name: "a.json", Configuration: &run}}, always)
	k := key{measurement.Scheduler, cpu}
	row := budgetRow{key: k, control: true, follows: true}
	if without.rowFigure(row) != nil {
		t.Error("a figure with following, of which nothing was measured")
	}
	added := with.rowFigure(row).estimate.Value - with.figure(k, true).estimate.Value
	if want := 0.02 + 100*0.001728*1100/86400; math.Abs(added-want) > 1e-9 {
		t.Errorf("following adds %g, want %g", added, want)
	}
	s.Budget.CPUPercent = 0.81
	if got := with.budgetFinding(k, true).verdict; got != over {
		t.Errorf("0.8 and 0.022 of 0.81: %s", got)
	}
	if got := without.budgetFinding(k, true).verdict; got != within {
		t.Errorf("0.8 of 0.81: %s", got)
	}
}

// A source's costs of changes are computed to the size's rate; what it holds is the most that was measured, and a row without a
// measurement says so.
func TestRowsOfASource(t *testing.T) {
	s := fleetSize(t)
	run := plainRun()
	run.SourceIdleBytesPerSecond, run.SourceBytesPerChange, run.SourceMemoryPeakBytes = 1000, 8640, 12_000_000
	r := newReport(s, nil, []measurement.NamedConfiguration{{Name: "a.json", Configuration: &run}}, always)
	budgets := r.budgets()
	for _, want := range []string{
		"| configuration source | control bytes, bytes/s | 1,000 + 8,640 × changes/s | 1,110 |",
		"| configuration source | memory, peak, bytes | measured | 12,000,000 | none | no budget stated | the most of 3 sources",
		"| configuration source | descriptors, open at once |  |  | none | not measured |",
	} {
		if !strings.Contains(budgets, want) {
			t.Errorf("no row\n%s\nin\n%s", want, budgets)
		}
	}
	if without := newReport(s, nil, nil, always).budgets(); !strings.Contains(without, "| configuration source | CPU, % of a core |  |  | none | not measured |") {
		t.Errorf("no measurement, and no row that says so:\n%s", without)
	}
}

func TestFailuresShowTheWorst(t *testing.T) {
	s := fleetSize(t)
	point := func(during, back *float64, broken ...string) measurement.Point {
		return measurement.Point{Valid: true, Failures: []measurement.Failure{{Kind: "zone", LastedSeconds: 8, StandsForSeconds: 8,
			Struck: 140, ServiceBefore: pointer(0.98), ServiceDuring: during, SecondsUntilBack: back, RulesBroken: broken}}}
	}
	f := measurement.File{Size: measurement.SizeFile{Scale: 0.1}, Points: []measurement.Point{
		point(pointer(0.9), pointer(3)), point(pointer(0.7), pointer(5), "no answer")}}
	r := newReport(s, []measurement.Named{{Name: "a.json", File: &f}}, nil, always)
	want := "| a zone | a.json, 0.1 | 2 | 140 | 8 s, 8 s | 0.980 | 0.700 | 5.00 | **broken**: no answer |"
	if !strings.Contains(r.failures(), want) {
		t.Errorf("no row\n%s\nin\n%s", want, r.failures())
	}
	f.Points = append(f.Points, point(pointer(0.9), nil))
	if r = newReport(s, r.files, nil, always); !strings.Contains(r.failures(), "not back within the run") {
		t.Errorf("a run that was never back is passed over:\n%s", r.failures())
	}
}

func TestTrafficTakesOneSource(t *testing.T) {
	u := &measurement.Usage{Traffic: []measurement.Traffic{
		{Kind: "membership", Path: measurement.Control, Direction: measurement.Sent, Bytes: pointer(104), Source: measurement.Relay},
		{Kind: "membership", Path: measurement.Control, Direction: measurement.Sent, Messages: pointer(5), Bytes: pointer(100),
			Source: measurement.DaemonCounter},
		{Kind: "membership", Path: measurement.Control, Direction: measurement.Received, Bytes: pointer(50), Source: measurement.Relay},
		{Kind: "job", Path: measurement.Job, Direction: measurement.Sent, Bytes: pointer(9000), Source: measurement.System},
	}}
	for _, r := range fixedResources() {
		value, ok := r.of(u, 10)
		if r.name == controlBytes && (!ok || value != 15) {
			t.Errorf("control bytes a second: %g, %t", value, ok)
		}
		if r.name == controlMessages && (!ok || value != 0.5) {
			t.Errorf("control messages a second: %g, %t", value, ok)
		}
	}
}

func TestFill(t *testing.T) {
	tables := map[string]string{"a": "| new |\n"}
	got, err := fill([]byte("x\n<!-- generated: a -->\n| old |\n<!-- end -->\ny\n"), tables)
	if err != nil || string(got) != "x\n<!-- generated: a -->\n| new |\n<!-- end -->\ny\n" {
		t.Errorf("got %q, %v", got, err)
	}
	for name, text := range map[string]string{
		"no place":    "x\n",
		"unknown":     "<!-- generated: b -->\n<!-- end -->\n<!-- generated: a -->\n<!-- end -->\n",
		"twice":       "<!-- generated: a -->\n<!-- end -->\n<!-- generated: a -->\n<!-- end -->\n",
		"no end":      "<!-- generated: a -->\n",
		"end alone":   "<!-- end -->\n<!-- generated: a -->\n<!-- end -->\n",
		"interleaved": "<!-- generated: a -->\n<!-- generated: a -->\n<!-- end -->\n",
	} {
		if _, err := fill([]byte(text), tables); err == nil {
			t.Errorf("%s: was filled", name)
		}
	}
}

func TestNumbers(t *testing.T) {
	cases := map[string]string{
		number(1.3): "1.3", number(3072): "3,072", number(256e6): "256,000,000", number(1234567.25): "1,234,567.25",
		measured(0): "0", measured(1234567): "1,234,567", measured(0.012345): "0.0123", measured(12.345): "12.3",
		measured(-1234.5): "-1,234", measured(1e-12): "1e-12", measured(999.96): "1,000",
	}
	for got, want := range cases {
		if got != want {
			t.Errorf("%s, want %s", got, want)
		}
	}
}

func TestCompare(t *testing.T) {
	s := fleetSize(t)
	before := exampleFiles(s)[2]
	dearer := func(factor float64) measurement.Named {
		return sweepFile("later.json", measurement.Workers, []float64{100, 200, 300, 400, 500}, before.Points[0].Parameters,
			func(p measurement.Parameters) float64 { return cpuPercent(p) + (factor-1)*0.0004*p.Workers })
	}
	cases := []struct {
		factor float64
		moved  int
	}{{1, 0}, {1.15, 0}, {1.25, 1}, {0.75, 1}}
	for _, c := range cases {
		var out strings.Builder
		moved, err := Compare(&out, before, dearer(c.factor))
		if err != nil || moved != c.moved {
			t.Errorf("slope times %g: %d moved, %v\n%s", c.factor, moved, err, out.String())
		}
	}
	gone := dearer(1)
	for i := range gone.Points {
		gone.Points[i].Roles = nil
	}
	if moved, err := Compare(&strings.Builder{}, before, gone); err != nil || moved != 1 {
		t.Errorf("a slope that is gone: %d, %v", moved, err)
	}
	if _, err := Compare(&strings.Builder{}, before, exampleFiles(s)[0]); err == nil {
		t.Error("sweeps of different parameters were compared")
	}
}

func TestWriteChangesOnlyWhatDiffers(t *testing.T) {
	folder := t.TempDir()
	copyFile := func(name string) {
		raw, err := os.ReadFile(filepath.Join(root, name))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(folder, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	copyFile(PageFile)
	copyFile(SizeFile)
	if _, err := Write(folder); err != nil { // the copy has neither measurements nor packages
		t.Fatal(err)
	}
	if changed, err := Write(folder); err != nil || changed {
		t.Errorf("a second time: changed %t, %v", changed, err)
	}
}
