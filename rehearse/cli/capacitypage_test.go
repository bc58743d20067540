package cli

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestCapacityPageFlags(t *testing.T) {
	repository := "../.."
	file := filepath.Join(repository, "docs/capacity/state-list.json")
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, Kept, "--compare"},
		{[]string{"--check", "--compare"}, Failed, "do not go together"},
		{[]string{"--compare", file}, Failed, "takes two files"},
		{[]string{"--compare", file, file}, Kept, ""},
		{[]string{"--compare", file, filepath.Join(repository, "docs/capacity/state-tasks.json")}, Failed, "no slopes in common"},
		{[]string{"moon"}, Failed, "moon"},
		{[]string{"--moon"}, Failed, "moon"},
		{[]string{"--check", "--root", repository}, Kept, "is what its measurements give"},
		{[]string{"--check", "--root", t.TempDir()}, Failed, "no such file"},
	}
	for _, c := range cases {
		var out, errs bytes.Buffer
		code := Main(append([]string{capacityPageCommand}, c.args...), &out, &errs)
		if code != c.code || !strings.Contains(out.String()+errs.String(), c.want) {
			t.Errorf("%v: exit %d\n%s%s", c.args, code, out.String(), errs.String())
		}
	}
}

// A page that was changed by hand is told, and put right by the command without flags.
func TestCapacityPageTellsAndMends(t *testing.T) {
	root := t.TempDir()
	for _, name := range []string{"docs/CAPACITY.md", "rehearse/scale/files/size-two-years.yaml", "docs/capacity/state-list.json"} {
		raw, err := os.ReadFile(filepath.Join("../..", name))
		if err != nil {
			t.Fatal(err)
		}
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	call := func(args ...string) int {
		return Main(append([]string{capacityPageCommand, "--root", root}, args...), &bytes.Buffer{}, &bytes.Buffer{})
	}
	if code := call("--check"); code != Failed { // the copy lacks files
		t.Errorf("a page of other measurements passes: %d", code)
	}
	if code := call(); code != Kept {
		t.Fatalf("it cannot be written: %d", code)
	}
	if code := call("--check"); code != Kept {
		t.Errorf("a page just written fails: %d", code)
	}
}
