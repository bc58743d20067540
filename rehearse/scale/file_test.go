package scale

import (
	"testing"

	"laddertide/rehearse/scale/measurement"
)

func TestJoinTakesPiecesOfOneProgramAlone(t *testing.T) {
	piece := func(commit string, workers float64, seed uint64) *measurement.File {
		return &measurement.File{Version: measurement.Version, Command: "measure", Commit: commit, Date: "2026-12-02T05:00:00Z",
			Machine: measurement.Machine{CPU: "a model", Cores: 8, Memory: 1 << 30}, Size: measurement.SizeFile{Scale: 1},
			Points: []measurement.Point{{Parameters: measurement.Parameters{Workers: workers}, Seed: seed, Valid: true}}}
	}
	joined, err := Join([]*measurement.File{piece("a", 20, 2), piece("a", 20, 1), piece("a", 10, 1)}, measurement.Workers, "in pieces")
	if err != nil {
		t.Fatal(err)
	}
	if err := joined.Check(); err != nil {
		t.Error(err)
	}
	if p := joined.Points; len(p) != 3 || p[0].Parameters.Workers != 10 || p[1].Seed != 1 || p[2].Seed != 2 ||
		joined.Varied != "workers" || joined.Command != "measure; measure; measure" {
		t.Errorf("%+v", joined)
	}
	if _, err := Join([]*measurement.File{piece("a", 1, 1), piece("b", 1, 1)}, "", ""); err == nil {
		t.Error("pieces of two programs were joined")
	}
	if _, err := Join(nil, "", ""); err == nil {
		t.Error("no pieces were joined")
	}
}
