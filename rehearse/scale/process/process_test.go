package process

import (
	"os"
	"testing"
	"time"
)

func TestLookSeesWhatThisProcessDoes(t *testing.T) {
	before, err := Look(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.Create(t.TempDir() + "/file")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write(make([]byte, 1<<16)); err != nil {
		t.Fatal(err)
	}
	for began := time.Now(); time.Since(began) < 20*time.Millisecond; {
	}
	after, err := Look(os.Getpid())
	if err != nil {
		t.Fatal(err)
	}
	if after.CPU <= before.CPU {
		t.Errorf("CPU went from %s to %s in a busy loop", before.CPU, after.CPU)
	}
	if written := after.Written - before.Written; written < 1<<16 {
		t.Errorf("%d bytes counted of %d written", written, 1<<16)
	}
	if after.Resident <= 0 || after.Peak < after.Resident/2 || after.Descriptors < 3 {
		t.Errorf("%+v", after)
	}
}

func TestLookFailsWithoutAProcess(t *testing.T) {
	if s, err := Look(1 << 30); err == nil {
		t.Errorf("got %+v", s)
	}
}

func TestMachineHasTimeAndMemory(t *testing.T) {
	m, err := LookAtMachine()
	if err != nil {
		t.Fatal(err)
	}
	if m.Busy <= 0 || m.Idle <= 0 || m.Swapped < 0 {
		t.Errorf("%+v", m)
	}
}
