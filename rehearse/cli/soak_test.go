package cli_test

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"laddertide/rehearse/cli"
	"laddertide/rehearse/daemon"
)

// Bad input is refused before a process starts, with what is allowed.
func TestSoakRefuses(t *testing.T) {
	for args, want := range map[string]string{
		"--seed x":             `--seed: "x" is no seed: a whole number from 0 on is`,
		"--seed -1":            `--seed: "-1" is no seed`,
		"--seeds 0":            "--seeds: 0 is not between 1 and 10000",
		"--faults hang,flood":  `--faults: no fault is called "flood"; there are signals, hang,`,
		"--schedulers 33":      "--schedulers: 33 is not between 1 and 32",
		"--seconds 1":          "--seconds: 1 is not between 4 and 600",
		"--parallel 0":         "--parallel: 0 is not between 1 and 64",
		"calm":                 `"calm" is no flag`,
		"--daemon /not/there ": "daemon:",
	} {
		var out, errs bytes.Buffer
		code := cli.Main(append([]string{"soak"}, strings.Fields(args)...), &out, &errs)
		if code != cli.Failed || !strings.Contains(errs.String(), want) || out.Len() > 0 {
			t.Errorf("soak %s: status %d, %q, %q", args, code, errs.String(), out.String())
		}
	}
}

// Some short seeds against the daemon itself: no rule is broken. A run for which the kit was late does not count.
func TestSoakShort(t *testing.T) {
	path, remove, err := daemon.Find(context.Background(), "")
	if err != nil {
		t.Fatal(err)
	}
	defer remove()
	var out, errs bytes.Buffer
	code := cli.Main([]string{"soak", "--short", "--seed", "1", "--seeds", "9", "--parallel", "3", "--daemon", path}, &out, &errs)
	if code != cli.Kept && code != cli.RanLate {
		t.Errorf("status %d\n%s%s", code, errs.String(), out.String())
	}
	t.Log(out.String())
}
