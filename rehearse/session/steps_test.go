package session

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"laddertide/core/history"
)

// judged keeps a history of these events in a file, judges it, and returns the report.
func judged(t *testing.T, events ...history.Event) (notes []string, late bool) {
	t.Helper()
	setup := &history.Setup{Version: history.Version, Scenario: "hand", Rules: history.FleetRules(), Weights: history.FleetWeights(),
		Schedulers: []history.SchedulerSetup{{Name: "n1", Zone: "a"}}}
	all := slices.Concat([]history.Event{{Kind: history.KindSetup, Setup: setup}}, events, []history.Event{{T: 20_000_000, Kind: history.KindEnd}})
	file := filepath.Join(t.TempDir(), HistoryFile)
	out, err := os.Create(file)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	if err := history.Write(out, all); err != nil {
		t.Fatal(err)
	}
	run, err := Judge(file, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !run.Kept() {
		t.Errorf("broken rules: %+v", run.Verdict.Breaches)
	}
	return run.Notes, run.Late
}

// A step whose cue did not come in its time is told of; one whose cue did is not.
func TestStepsWithoutTheirCueAreTold(t *testing.T) {
	notes, _ := judged(t,
		history.Event{T: 5_000_000, Kind: history.KindStep, Note: "crash", From: 1_000_000, Until: 5_000_000, Limit: 4_000_000},
		history.Event{T: 5_000_000, Kind: history.KindStep, Note: "mute", From: 1_000_000, Until: 5_000_000, Limit: 9_000_000, On: true})
	want := "the step crash, planned at 1.000 s, was done at 5.000 s without its cue: no job came for it within 4.000 s"
	if !slices.Equal(notes, []string{want}) {
		t.Errorf("%q, want %q", strings.Join(notes, "; "), want)
	}
}

// A run in which a step was done more than 50 ms after it was due does not count, and says which.
func TestALateStepDoesNotCount(t *testing.T) {
	step := func(planned, due, done int64) history.Event {
		return history.Event{T: done, Kind: history.KindStep, Note: "pause", Scheduler: "n1", From: planned, Until: due}
	}
	if notes, late := judged(t, step(6_000_000, 6_000_000, 6_050_000), step(1_000_000, 5_000_000, 5_050_000)); late || len(notes) > 0 {
		t.Errorf("50 ms: late %v, %q", late, notes)
	}
	const want = "the step pause n1, due at 6.000 s, was done 51 ms late"
	if notes, late := judged(t, step(6_000_000, 6_000_000, 6_050_501)); !late || !slices.Equal(notes, []string{want}) {
		t.Errorf("51 ms: late %v, %q, want %q", late, notes, want)
	}
	var many []history.Event
	for range 8 {
		many = append(many, step(6_000_000, 6_000_000, 10_000_000))
	}
	notes, late := judged(t, many...)
	if !late || len(notes) != mostLateSteps+1 || notes[mostLateSteps] != "3 more steps were done over 50ms late" {
		t.Errorf("8 late steps: late %v, %q", late, notes)
	}
}

// A history of a kit that did not write steps down is read as before.
func TestHistoriesWithoutSteps(t *testing.T) {
	if notes, late := judged(t); len(notes) > 0 || late {
		t.Errorf("late %v, %q", late, notes)
	}
}
