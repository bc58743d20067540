package measurement

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

func configurationExample() *Configuration {
	return &Configuration{Command: "go test ./rehearse/configuration", Commit: "0123456", Date: "2026-12-02T05:35:25Z",
		Case: CaseWithoutFailure, Schedulers: 30, Sources: 3, Regions: 3, RoundTripMS: 80, Changes: 1000, ChangeEveryMS: 130,
		DocumentBytes: 1846, AcceptedP50MS: 160, P50MS: 200, P99MS: 210, WorstMS: 220, SchedulerCPUPerChange: -1}
}

func TestConfigurationsAreReadStrictly(t *testing.T) {
	raw, err := json.Marshal(configurationExample())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeConfiguration(raw); err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for field, bad := range map[string]string{
		"comit":      strings.Replace(text, `"commit"`, `"comit"`, 1),
		"schedulers": strings.Replace(text, `"schedulers":30`, `"schedulers":0`, 1),
		"p99_ms":     strings.Replace(text, `"worst_ms":220`, `"worst_ms":100`, 1),
		"date":       strings.Replace(text, "2026-12-02T", "yesterday", 1),
		"follows":    text + "1",
		"idle_cpu":   strings.Replace(text, `"idle_cpu_percent":0`, `"idle_cpu_percent":-1`, 1),
	} {
		if _, err := DecodeConfiguration([]byte(bad)); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got %v", field, err)
		}
	}
}

func TestFilesAreToldApartByName(t *testing.T) {
	folder := t.TempDir()
	if err := example().Write(filepath.Join(folder, "scale.json")); err != nil {
		t.Fatal(err)
	}
	raw, err := json.Marshal(configurationExample())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "configuration-plain-30.json"), raw, 0o644); err != nil {
		t.Fatal(err)
	}
	files, err := ReadAll(folder)
	if err != nil || len(files) != 1 || files[0].Name != "scale.json" {
		t.Errorf("got %v, %v", files, err)
	}
	configurations, err := ReadConfigurations(folder)
	if err != nil || len(configurations) != 1 || configurations[0].Name != "configuration-plain-30.json" {
		t.Errorf("got %v, %v", configurations, err)
	}
}

// A file that is too large is refused before it is parsed, as with every other measurement.
func TestLargeConfigurationIsRefused(t *testing.T) {
	_, err := DecodeConfiguration(bytes.Repeat([]byte(" "), MaxFile+1))
	if err == nil || !strings.Contains(err.Error(), strconv.Itoa(MaxFile)) {
		t.Fatalf("error %v, and the bound of %d bytes is wanted in it", err, MaxFile)
	}
}
