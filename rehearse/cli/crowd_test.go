package cli_test

import (
	"os"
	"testing"
)

// A crowd at one scheduler with few descriptors: requests with short deadlines ran out of time before they were accepted, as others
// that waited for hung workers kept all connections up to theirs. Not beside other plays: it needs the kit to be in time.
func TestDaemonAnswersACrowdWithHungWorkers(t *testing.T) {
	path, err := daemonPath()
	if err != nil {
		t.Fatal(err)
	}
	day, err := os.ReadFile("../scenario/files/crowd-hang.yaml")
	if err != nil {
		t.Fatal(err)
	}
	keeps(t, "", string(day), "--daemon", path)
}
