package state

import (
	"context"
	"path/filepath"
	"testing"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
	"laddertide/rehearse/scale/slope"
)

const sizeFile = "../files/size-two-years.yaml"

func measureAll(t *testing.T) map[string]*measurement.File {
	t.Helper()
	s, err := size.Load(sizeFile)
	if err != nil {
		t.Fatal(err)
	}
	files, err := Measure(context.Background(), s, filepath.Base(sizeFile))
	if err != nil {
		t.Skip("needs /proc and git:", err)
	}
	return files
}

// Each part of the state grows with its parameter, and by no more than its budget would bear at the size.
func TestStateGrowsWithItsParameter(t *testing.T) {
	mostEach := map[string]float64{ // bytes for one more, an order of magnitude over what was measured
		"state-workers.json": 4000, "state-tenants.json": 500, "state-tasks.json": 3000, "state-schedulers.json": 2000,
		"state-list.json": 1500,
	}
	files := measureAll(t)
	if len(files) != len(mostEach) {
		t.Errorf("%d files", len(files))
	}
	for name, file := range files {
		if err := file.Check(); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		var samples []slope.Sample
		for i := range file.Points {
			p := &file.Points[i]
			x, _ := p.Parameters.Value(measurement.Parameter(file.Varied))
			samples = append(samples, slope.Sample{X: x, Y: *p.Roles[0].State})
		}
		fit, err := slope.New(samples)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if fit.Slope.Low <= 0 || fit.Slope.Value > mostEach[name] {
			t.Errorf("%s: one more takes %.0f bytes (%.0f to %.0f), at most %.0f", name, fit.Slope.Value, fit.Slope.Low,
				fit.Slope.High, mostEach[name])
		}
	}
}

// A scheduler takes no more than this of one list.
func TestWholeListFitsAtTheSize(t *testing.T) {
	s, err := size.Load(sizeFile)
	if err != nil {
		t.Fatal(err)
	}
	length, err := wholeList(s.Workers.Count, 1)
	if err != nil {
		t.Fatal(err)
	}
	const longestList = 256 << 10
	if length > longestList {
		t.Errorf("the list of %d workers is %.0f bytes, at most %d are read", s.Workers.Count, length, longestList)
	}
}

func BenchmarkDispatcherState(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := dispatcher(1000, 340, 683, 1); err != nil {
			b.Fatal(err)
		}
	}
}
