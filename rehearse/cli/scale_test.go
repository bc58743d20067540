package cli

import (
	"os"
	"strings"
	"testing"
)

const twoYears = "../scale/files/size-two-years.yaml"

func TestScaleIsRefusedBeforeItStarts(t *testing.T) {
	shipped, err := os.ReadFile(twoYears)
	if err != nil {
		t.Fatal(err)
	}
	unknown := write(t, "a.yaml", strings.Replace(string(shipped), "warm_s", "warm_ms", 1), 0o600)
	for _, c := range []struct {
		args []string
		want string
	}{
		{nil, "scale needs --file"},
		{[]string{"--file", unknown}, "a.yaml: line 4: warm_ms: there is no such key"},
		{[]string{"--file", twoYears, "--scale", "2"}, "--scale: 2 is not over 0 and at most 1"},
		{[]string{"--file", twoYears, "--schedulers", "24"}, "24000 listeners (1000 workers x 24 real schedulers)"},
		{[]string{"--file", twoYears, "--sweep", "moons"}, `--sweep: "moons" is none of workers`},
		{[]string{"--file", twoYears, "--sweep", "workers", "--points", "1,2"}, "a sweep needs 5 points at least"},
		{[]string{"--file", twoYears, "--sweep", "workers", "--failures"}, "do not go together"},
		{[]string{"--file", twoYears, "--deadline-seconds", "5"}, "1 values for 4 classes"},
		{[]string{"--file", twoYears, "more"}, `scale takes no "more"`},
		{[]string{"--file", twoYears, "--daemon", "/no/such/daemon"}, "no such file"},
	} {
		code, out, errs := call(append([]string{"scale"}, c.args...)...)
		if code != Failed || out != "" || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 {
			t.Errorf("%q: status %d, %q, %q", c.args, code, out, errs)
		}
	}
}

func TestScaleTellsWhatASizeNeeds(t *testing.T) {
	code, out, errs := call("scale", "--file", twoYears, "--scale", "0.1", "--check")
	if code != Kept || !strings.HasPrefix(out, "3 processes, ") || errs != "" {
		t.Errorf("status %d, %q, %q", code, out, errs)
	}
	if code, out, _ := call("scale", "--help"); code != Kept || !strings.Contains(out, "--sweep") {
		t.Errorf("status %d, %q", code, out)
	}
}

func TestCommandOfAMeasurementHasNoPlacesOfThisMachine(t *testing.T) {
	got := strings.Join(quoted([]string{"--file", "a b.yaml", "--daemon", "/x", "--out=/y", "--note", "n", "--scale", "0.1"}), " ")
	if want := "--file 'a b.yaml' --scale 0.1"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
