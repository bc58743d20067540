package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// call runs the program.
func call(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = Main(args, &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name, text string, mode os.FileMode) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(text), mode); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestExperimentsThatCannotBegin(t *testing.T) {
	sweep := write(t, "s.yaml", "scenarios: [calm]\nseeds: 1\nparameters: {rate: [5]}\n", 0o600)
	bad := write(t, "bad.yaml", "scenarios: [calm]\nseeds: 1\nparameter: {rate: [5]}\n", 0o600)
	reports := write(t, "a.jsonl", `{"scenario":"calm","seed":1,"service":1}`+"\n", 0o600)
	program := write(t, "daemon", "no program", 0o700)
	dir := t.TempDir()
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"sweep"}, "sweep takes one file"},
		{[]string{"sweep", sweep}, "--out DIR"},
		{[]string{"sweep", bad, "--out", dir}, "bad.yaml: line 3: parameter: there is no such key"},
		{[]string{"sweep", sweep, "--out", dir, "--rate", "3"}, "--rate: the sweep's file moves it"},
		{[]string{"sweep", sweep, "--out", dir, "--seeds", "3"}, "sweep takes no --seeds"},
		{[]string{"sweep", sweep, "--out", dir, "--daemon", reports}, "cannot be executed"},
		{[]string{"sweep", sweep + "x", "--out", dir}, "no such file"},
		{[]string{"compare", program}, "compare takes two"},
		{[]string{"compare", program, reports}, "one is a program and the other is not"},
		{[]string{"compare", program, program, "--min-service", "0.5"}, "compare takes no --min-service"},
		{[]string{"compare", program, program, "--scenario", "quake"}, `no scenario is called "quake"`},
		{[]string{"compare", reports, reports, "--rate", "9"},
			"--rate: the reports of earlier runs are compared as they are"},
		{[]string{"compare", reports, bad}, "bad.yaml: line 1: no report of a run"},
		{[]string{"compare", reports, dir}, "0 files called report.json"},
		{[]string{"capacity"}, "name a scenario"},
		{[]string{"capacity", "calm", "crash"}, "capacity takes one scenario"},
		{[]string{"capacity", "calm", "--width", "7"}, "--width takes"},
		{[]string{"capacity", "calm", "--most-runs", "0"}, "--most-runs"},
		{[]string{"capacity", "--kit", "--min-service", "0.5"}, "capacity --kit takes no --min-service"},
		{[]string{"capacity", "calm", "--json", filepath.Join(dir, "none", "x")}, "--json: "},
	} {
		code, out, errs := call(c.args...)
		if code != Failed || out != "" || !strings.HasPrefix(errs, "rehearse: ") || !strings.Contains(errs, c.want) ||
			strings.Count(errs, "\n") != 1 {
			t.Errorf("%q: status %d, %q, %q; want %q", c.args, code, out, errs, c.want)
		}
	}
	if left, err := os.ReadDir(dir); err != nil || len(left) != 0 {
		t.Errorf("they left %v, %v", left, err)
	}
}

func TestComparingReports(t *testing.T) {
	var a, b string
	for seed := range 4 {
		n := string(rune('0' + seed))
		a += `{"scenario":"calm","seed":` + n + `,"service":0.9` + n + "}\n"
		b += `{"scenario":"calm","seed":` + n + `,"service":0.9` + n + `5,"rules":{"drains":0}}` + "\n"
	}
	fa, fb := write(t, "a.jsonl", a, 0o600), write(t, "b.jsonl", b, 0o600)
	code, out, errs := call("compare", fa, fb)
	if code != Kept || errs != "" || !strings.Contains(out, "B serves 0.005 more (0.005 to 0.005), with 4 pairs.") {
		t.Errorf("%d, %s, %s", code, out, errs)
	}
	broken := write(t, "c.jsonl", strings.Replace(b, `"drains":0`, `"drains":2`, 1), 0o600)
	for _, pair := range [][]string{{fa, broken}, {broken, fa}} {
		if code, out, _ := call("compare", pair[0], pair[1], "--json", "-"); code != Broken ||
			!json.Valid([]byte(out)) ||
			!strings.Contains(out, "calm, seed 0: drains 2") {
			t.Errorf("%q: %d, %s", pair, code, out)
		}
	}
	late := write(t, "d.jsonl", strings.ReplaceAll(b, `"rules"`, `"late":true,"rules"`), 0o600)
	if code, out, _ := call("compare", fa, late); code != RanLate || !strings.Contains(out, "no pair counts") {
		t.Errorf("%d, %s", code, out)
	}
}

// With the real daemon, short and light, in as few runs as show that the parts fit. How late the kit is on a busy
// machine does not matter here.
func TestExperimentsWithTheDaemon(t *testing.T) {
	if testing.Short() {
		t.Skip("plays real runs")
	}
	daemon := filepath.Join(t.TempDir(), "laddertide")
	if out, err := exec.Command("go", "build", "-o", daemon, "laddertide/cmd/laddertide").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	light := []string{"--seconds", "1", "--late-ms", "60000", "--parallel", "2"}
	file := write(t, "s.yaml",
		"scenarios: [calm]\nseeds: 1\nset: {workers: 3, schedulers: 1, load: 0.02}\nparameters: {rate: [5, 10]}\n",
		0o600)
	dir := filepath.Join(t.TempDir(), "out")
	code, out, errs := call(append([]string{"sweep", file, "--out", dir, "--daemon", daemon}, light...)...)
	if code != Kept || !strings.Contains(errs, "2 runs (1 scenario, 2 points, 1 seed), 0 of them there already") ||
		!strings.Contains(out, "index.html") {
		t.Fatalf("%d, %s, %s", code, out, errs)
	}
	for _, name := range []string{"runs.csv", "summary.csv", "index.html", "service-rate.svg"} {
		if st, err := os.Stat(filepath.Join(dir, name)); err != nil || st.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if code, _, errs = call(append([]string{"sweep", file, "--out", dir, "--daemon", daemon},
		light...)...); code != Kept ||
		!strings.Contains(errs, "2 of them there already; 0 to play") {
		t.Errorf("again: %d, %s", code, errs)
	}
	dir = filepath.Join(t.TempDir(), "pairs")
	code, out, errs = call(append([]string{"compare", daemon, daemon, "--scenario", "calm", "--seeds", "1", "--rate",
		"8", "--load", "0.02",
		"--out", dir, "--json", "-"}, light...)...)
	var c struct {
		Pairs   int
		Figures []struct {
			Figure string
			N      int
			A, B   float64
		}
	}
	if err := json.Unmarshal([]byte(out), &c); err != nil || code != Kept || c.Pairs != 1 || len(c.Figures) < 3 ||
		c.Figures[0].Figure != "service" ||
		c.Figures[0].N != 1 || c.Figures[0].A <= 0 || c.Figures[0].B <= 0 {
		t.Fatalf("%d, %v, %s, %s", code, err, out, errs)
	}
	// What it kept can be compared again, to the same end.
	code, again, errs := call("compare", filepath.Join(dir, "a.jsonl"), filepath.Join(dir, "b.jsonl"), "--json", "-")
	if cut := func(s string) string { return s[strings.Index(s, `"scenarios"`):] }; code != Kept ||
		cut(again) != cut(out) {
		t.Errorf("%d, %s\n%s\n%s", code, errs, out, again)
	}
	code, out, errs = call(append([]string{"capacity", "calm", "--seeds", "1", "--rate", "8", "--load", "0.02",
		"--most-runs", "1",
		"--daemon", daemon, "--min-service", "0.01"}, light...)...)
	if code != Kept || !strings.Contains(out, "Stopped after 1 run,") || !strings.Contains(out,
		"up to 8 jobs a second") {
		t.Errorf("%d, %s, %s", code, out, errs)
	}
}
