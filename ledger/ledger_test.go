package ledger

import (
	"fmt"
	"testing"
)

// open opens a ledger in a folder of the system and reads it.
func open(t *testing.T, opt Options) (*Store, []string) {
	t.Helper()
	s, err := Open(opt)
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	if err := s.Replay(func(r []byte) error { out = append(out, string(r)); return nil },
		func(d Damage) { t.Errorf("damage: %v", d) }); err != nil {
		t.Fatal(err)
	}
	return s, out
}

func TestAppendAndReopen(t *testing.T) {
	for _, mode := range []string{Batch, Each, None} {
		opt := Options{Dir: t.TempDir(), Sync: mode}
		var want []string
		for round := range 3 {
			s, got := open(t, opt)
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%s: %q, want %q", mode, got, want)
			}
			for i := range 50 {
				r := fmt.Sprintf("%d-%d", round, i)
				want = append(want, r, r+"b")
				if err := s.Append(uint64(i+1), []byte(r), []byte(r+"b")).Wait(); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.Append(0).Wait(); err != nil {
				t.Fatal(err)
			}
			if err := s.Close(); err != nil {
				t.Fatal(err)
			}
		}
	}
}
