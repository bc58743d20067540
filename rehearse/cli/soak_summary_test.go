package cli

import (
	"strings"
	"testing"

	"laddertide/core/score"
	"laddertide/rehearse/report"
	"laddertide/rehearse/scenario"
)

// The line of a seed says how many steps were done without their cues, if any.
func TestSoakLineTellsOfCues(t *testing.T) {
	run := &report.Run{Figures: score.Report{Steps: []score.Step{{What: "pause"}, {What: "mute", Wait: 1, Cued: true}}}}
	if line := summary(&scenario.Plan{}, run, Kept); !strings.HasSuffix(line, ": kept") {
		t.Error(line)
	}
	run.Figures.Steps[1].Cued = false
	if line := summary(&scenario.Plan{}, run, Kept); !strings.HasSuffix(line, ": kept (1 of 1 steps that wait for a cue had none)") {
		t.Error(line)
	}
}
