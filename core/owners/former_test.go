package owners

import (
	"reflect"
	"testing"
	"time"
)

// group of processes for the tests of former ones: p is over, and p2 follows it.
var (
	p, q, s = Process{Name: "p", Start: 1}, Process{Name: "q", Start: 1}, Process{Name: "s", Start: 1}
	p2      = Process{Name: "p", Start: 2}
	x, y    = Process{Name: "x", Start: 1}, Process{Name: "y", Start: 1}
)

// reaching is a membership in which all of some can be asked.
func reaching(all ...Process) Ground {
	g := Ground{Majority: true, Met: true}
	for _, c := range all {
		g.All = append(g.All, Candidate{Process: c, Reached: true})
	}
	return g
}

// A process that reads for a roster has let go of the one before and may have helped others to the new one: its successor has to know
// of both.
func TestStateTellsTheRosterThatIsReadFor(t *testing.T) {
	r := NewRosters(p, 3, time.Minute, 0, 0, 0)
	r.Resume([]Process{p, q, s}, 0)
	before := r.Changes()
	if lasts, _ := r.State(); !reflect.DeepEqual(lasts, [][]Process{{p, q, s}}) {
		t.Fatalf("while it keeps: %v", lasts)
	}
	r.Look(time.Second, reaching(q, s, x))
	if _, digest := r.Begin(2 * time.Second); digest == 0 {
		t.Fatal("it does not read for the next roster")
	}
	lasts, _ := r.State()
	if want := [][]Process{{p, q, s}, {p, q, s, x}}; !reflect.DeepEqual(lasts, want) {
		t.Errorf("while it reads: %v, want %v", lasts, want)
	}
	if r.Changes() == before {
		t.Error("the change is not counted, and would not be stored")
	}
}

// What a former process kept by is read from a majority before anything is kept by a new roster, as by whoever hears of it.
func TestInheritedRostersAreReadFirst(t *testing.T) {
	r := NewRosters(p2, 3, time.Minute, 0, 0, 0)
	r.Inherit([]Former{{Process: p, Until: time.Minute, Lasts: [][]Process{{p, q, s}}}})
	r.Look(0, reaching(x, y)) // q and s kept by it as well
	_, digest := r.Begin(time.Second)
	r.Told(x, digest)
	r.Told(y, digest)
	if r.Complete(2 * time.Second) {
		t.Fatal("it keeps by a new roster, and two of three who kept by the former have not told")
	}
	r.Look(3*time.Second, reaching(q, x, y))
	_, digest = r.Begin(4 * time.Second)
	for _, member := range []Process{q, x, y} {
		r.Told(member, digest)
	}
	if !r.Complete(5 * time.Second) {
		t.Errorf("with its own former and q, a majority, it does not keep: %s", r.Why)
	}
}

// What was in doubt at a former process is in doubt at its successor.
func TestInheritedDoubts(t *testing.T) {
	roster := NewRoster([]Process{p, q, s}, 3)
	r := NewRosters(p2, 3, time.Minute, 0, 0, 0)
	r.Inherit([]Former{{Process: p, Until: time.Minute, Unsure: [][]Process{roster.All(), {q, s}}}})
	if !r.Doubts(0, "id") {
		t.Error("two of three replicas of an id had not told, and it is not in doubt")
	}
}

// A successor tells for a former process as long as anything that one kept counts, and others ask it for that long.
func TestFormersAreToldForAWhile(t *testing.T) {
	r := NewRosters(p2, 3, time.Minute, 0, 0, 0)
	r.Inherit([]Former{{Process: p, Until: time.Minute}})
	if got := r.Formers(time.Minute - 1); len(got) != 1 || got[0].Process != p {
		t.Errorf("a moment before the end: %v", got)
	}
	if got := r.Formers(time.Minute); len(got) != 0 {
		t.Errorf("after it: %v", got)
	}
	other := NewRosters(q, 3, time.Minute, 0, 0, 0)
	other.Resume([]Process{p, q, s}, 0)
	other.Look(0, reaching(p2)) // s is away
	if other.wanted(time.Second) {
		t.Fatal("with one of three who kept it would give its roster up")
	}
	other.Tells(p2, []Process{p})
	if !other.wanted(time.Second) {
		t.Error("p2 tells for p, and it is not asked")
	}
	other.Look(2*time.Second, reaching(x))
	if len(other.proxies) > 0 {
		t.Errorf("p2 is over, and still counts: %v", other.proxies)
	}
}
