package measurement

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

func pointer(x float64) *float64 { return &x }

func example() *File {
	return &File{
		Version: Version,
		Command: "go run ./cmd/rehearse scale --vary workers",
		Commit:  "0123456789",
		Date:    "2026-12-02T05:00:00Z",
		Machine: Machine{CPU: "a model", Cores: 8, Memory: 16 << 30},
		Size:    SizeFile{File: "deploy/size.yaml", Scale: 0.1},
		Varied:  string(Workers),
		Points: []Point{{
			Parameters:    Parameters{Workers: 100, Schedulers: 6},
			Seed:          1,
			WindowSeconds: 30,
			Valid:         true,
			Roles: []Usage{{
				Role: Scheduler, Instances: 6, CPUSeconds: pointer(0.2), MemorySteady: pointer(20e6),
				Traffic: []Traffic{{Kind: "membership", Path: Control, Direction: Sent, Messages: pointer(30),
					Bytes: pointer(21930), Source: DaemonCounter}},
			}},
			Service:     &Service{Share: 0.9, Asked: 10, Done: 9, Refused: 1},
			Failures:    []Failure{{Kind: "worker", LastedSeconds: 5, StandsForSeconds: 5, Struck: 1}},
			Propagation: []Propagation{{Condition: "no failure", Changes: 100, Schedulers: 6, P50: 0.1, P99: 0.2, Worst: 0.3}},
		}},
	}
}

func TestRoundTrip(t *testing.T) {
	folder := t.TempDir()
	want := example()
	if err := want.Write(filepath.Join(folder, "a.json")); err != nil {
		t.Fatal(err)
	}
	files, err := ReadAll(folder)
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != 1 || files[0].Name != "a.json" || !reflect.DeepEqual(files[0].File, want) {
		t.Fatalf("read %+v, want %+v", files, want)
	}
}

func TestFolderThatIsMissingHasNoFiles(t *testing.T) {
	files, err := ReadAll(filepath.Join(t.TempDir(), "missing"))
	if err != nil || len(files) != 0 {
		t.Fatalf("got %v, %v", files, err)
	}
}

func TestMistakesNameTheirField(t *testing.T) {
	cases := []struct {
		field  string
		change func(*File)
	}{
		{"version", func(f *File) { f.Version = 2 }},
		{"command", func(f *File) { f.Command = "" }},
		{"commit", func(f *File) { f.Commit = "" }},
		{"date", func(f *File) { f.Date = "yesterday" }},
		{"machine.cores", func(f *File) { f.Machine.Cores = 0 }},
		{"machine.memory_bytes", func(f *File) { f.Machine.Memory = 0 }},
		{"size.scale", func(f *File) { f.Size.Scale = 0 }},
		{"varied", func(f *File) { f.Varied = "moon" }},
		{"points", func(f *File) { f.Points = nil }},
		{"points[0].parameters.workers", func(f *File) { f.Points[0].Parameters.Workers = -1 }},
		{"points[0].window_seconds", func(f *File) { f.Points[0].WindowSeconds = -1 }},
		{"points[0].why_not", func(f *File) { f.Points[0].Valid = false }},
		{"points[0].why_not", func(f *File) { f.Points[0].WhyNot = "late" }},
		{"points[0].roles[0].role", func(f *File) { f.Points[0].Roles[0].Role = "cook" }},
		{"points[0].roles[1].role", func(f *File) { f.Points[0].Roles = append(f.Points[0].Roles, f.Points[0].Roles[0]) }},
		{"points[0].roles[0].instances", func(f *File) { f.Points[0].Roles[0].Instances = 0 }},
		{"points[0].roles[0].cpu_seconds", func(f *File) { f.Points[0].Roles[0].CPUSeconds = pointer(-1) }},
		{"points[0].roles[0].cpu_seconds", func(f *File) { f.Points[0].WindowSeconds = 0 }},
		{"points[0].roles[0].traffic[0].kind", func(f *File) { f.Points[0].Roles[0].Traffic[0].Kind = "" }},
		{"points[0].roles[0].traffic[0].path", func(f *File) { f.Points[0].Roles[0].Traffic[0].Path = "" }},
		{"points[0].roles[0].traffic[0].direction", func(f *File) { f.Points[0].Roles[0].Traffic[0].Direction = "up" }},
		{"points[0].roles[0].traffic[0].source", func(f *File) { f.Points[0].Roles[0].Traffic[0].Source = "hearsay" }},
		{"points[0].roles[0].traffic[0].messages", func(f *File) {
			f.Points[0].Roles[0].Traffic[0].Messages = nil
			f.Points[0].Roles[0].Traffic[0].Bytes = nil
		}},
		{"points[0].service.share", func(f *File) { f.Points[0].Service.Share = 1.5 }},
		{"points[0].service.refused", func(f *File) { f.Points[0].Service.Refused = -1 }},
		{"points[0].failures[0].kind", func(f *File) { f.Points[0].Failures[0].Kind = "" }},
		{"points[0].propagation[0].condition", func(f *File) { f.Points[0].Propagation[0].Condition = "" }},
		{"points[0].propagation[0].seconds_p99", func(f *File) { f.Points[0].Propagation[0].P99 = 9 }},
	}
	for _, c := range cases {
		f := example()
		c.change(f)
		err := f.Check()
		if err == nil || !strings.HasPrefix(err.Error(), c.field+": ") {
			t.Errorf("%s: got %v", c.field, err)
		}
	}
	if err := example().Check(); err != nil {
		t.Errorf("the example itself: %v", err)
	}
}

func TestReadingIsStrict(t *testing.T) {
	raw, err := example().Encode()
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for name, bad := range map[string]string{
		"unknown field":   strings.Replace(text, `"commit"`, `"comit"`, 1),
		"second object":   text + "{}",
		"wrong type":      strings.Replace(text, `"seed": 1`, `"seed": "one"`, 1),
		"negative number": strings.Replace(text, `"workers": 100`, `"workers": -100`, 1),
		"empty":           "",
	} {
		if _, err := Decode([]byte(bad)); err == nil {
			t.Errorf("%s: was read", name)
		}
	}
}

func TestReadNamesTheFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(path, []byte(`{"version": 1, "moon": 2}`), 0o644); err != nil {
		t.Fatal(err)
	}
	if _, err := Read(path); err == nil || !strings.Contains(err.Error(), path) || !strings.Contains(err.Error(), "moon") {
		t.Errorf("got %v", err)
	}
}

func TestEachParameterHasItsField(t *testing.T) {
	var p Parameters
	for i, name := range AllParameters() {
		if !p.Set(name, float64(i+1)) {
			t.Fatalf("%s cannot be set", name)
		}
	}
	fields := reflect.TypeFor[Parameters]()
	if fields.NumField() != len(AllParameters()) {
		t.Fatalf("%d fields, %d names", fields.NumField(), len(AllParameters()))
	}
	for i, name := range AllParameters() {
		if tag := fields.Field(i).Tag.Get("json"); tag != string(name) {
			t.Errorf("field %d is %q, its name %q", i, tag, name)
		}
		if value, ok := p.Value(name); !ok || value != float64(i+1) {
			t.Errorf("%s is %g, %t", name, value, ok)
		}
	}
	if p.Set("moon", 1) {
		t.Error("an unknown parameter was set")
	}
}

func TestThisMachine(t *testing.T) {
	m, err := ThisMachine()
	if err != nil {
		t.Skip("no /proc here:", err)
	}
	if m.CPU == "" || m.Cores < 1 || m.Memory < 1<<20 {
		t.Errorf("got %+v", m)
	}
}
