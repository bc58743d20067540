package size

import (
	"os"
	"strings"
	"testing"
)

const shipped = "../files/size-two-years.yaml"

func text(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile(shipped)
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestShippedFileHasTheSizeOfTheIssue(t *testing.T) {
	s, err := Load(shipped)
	if err != nil {
		t.Fatal(err)
	}
	zones, _ := s.Zones()
	if s.Workers.Count != 1000 || s.Workers.Accelerators != 2500 || s.Tasks.Jobs != 5700 || s.Tasks.StartsPerS != 130 ||
		s.Tasks.Running != 4100 || s.Tenants.Count != 340 || len(s.Regions) != 3 || len(zones) != 7 ||
		s.Configuration.ChangesPerDay != 1100 || s.Configuration.InForceWithinS != 6 || s.Budget.CPUPercent != 1.3 ||
		s.Budget.MemoryMB != 256 || s.Budget.ControlBytes != 3072 || s.Schedulers.Machines != 6 ||
		s.Failures.MachinesPerDay != 6 || s.Failures.RestartsPerDay != 370 {
		t.Errorf("%+v", s)
	}
	urgent, gang := s.Classes[0], s.Classes[3]
	if urgent.StartWithinS != 3.9 || gang.Slots != 64 {
		t.Errorf("urgent %+v, gang %+v", urgent, gang)
	}
	if err := NeedsOf(s).Check(20_000); err != nil {
		t.Errorf("at a limit of 20,000 descriptors: %v", err)
	}
}

func TestMistakesNameFileLineAndReason(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{"warm_s: 6", "warm_ms: 6000", "x.yaml: line 4: warm_ms: there is no such key"},
		{"warm_s: 6", "warm_s: 6s", "x.yaml: line 4: workers.warm_s: cannot unmarshal"},
		{"count: 1000,", "count: 1001,", "x.yaml: line 4: workers.count: 1001 is not between 1 and 1000"},
		{"real: 6", "real: 33", "x.yaml: line 5: schedulers.real: 33 is not between 1 and 32"},
		{"machines: 6", "machines: 6, ledger_replicas: 3", "x.yaml: line 5: schedulers.ledger_replicas: a replicated ledger needs schedulers.ownership"},
		{"machines: 6", "machines: 6, ownership: true, ledger_replicas: 8", "x.yaml: line 5: schedulers.ledger_replicas: 8 is neither 0 nor between 2 and 7"},
		{"real: 6, hollow: 24, machines: 6", "real: 1, hollow: 1, machines: 6, ownership: true, ledger_replicas: 3",
			"x.yaml: line 5: schedulers.ledger_replicas: 3 replicas are more than the 2 schedulers"},
		{"running: 4100", "running: 400", "x.yaml: line 6: tasks.running: 130 starts a second that run 31.4 s in the mean are 4082"},
		{"task_slots_each: 6", "task_slots_each: 4", "x.yaml: line 6: tasks.running: 4100 are more than the 4000 slots"},
		{"repeat: non_idempotent", "repeat: sometimes", "x.yaml: line 10: classes[2].repeat: \"sometimes\" is none of"},
		{"run_most_s: 60", "run_most_s: 30", "x.yaml: line 9: classes[1].run_most_s: 30 is not between 48 and 480"},
		{"deadline_s: 60,", "deadline_s: 10,", "x.yaml: line 8: classes[0].deadline_s: 10 is less than run_most_s, 18"},
		{"name: batch", "name: urgent", "x.yaml: line 9: classes[1].name: a class needs a name"},
		{"east-b", "east-a", "x.yaml: line 15: regions[1].zones: \"east-a\" is no name that no other zone has"},
		{"memory_mb: 256", "memory_mb: .nan", "x.yaml: line 20: budget.memory_mb: NaN is not between"},
	} {
		changed := strings.Replace(text(t), c.old, c.new, 1)
		if changed == text(t) {
			t.Fatalf("%q is not in the file", c.old)
		}
		if _, err := Parse("x.yaml", []byte(changed)); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.new, err, c.want)
		}
	}
}

func TestScaledShrinksCountsAndRatesAlone(t *testing.T) {
	whole, err := Load(shipped)
	if err != nil {
		t.Fatal(err)
	}
	tenth := whole.Scaled(0.1)
	if err := tenth.Sane(); err != nil {
		t.Error(err)
	}
	if tenth.Workers.Count != 100 || tenth.Workers.Accelerators != 250 || tenth.Tasks.StartsPerS != 13 || tenth.Tasks.Running != 410 ||
		tenth.Tenants.Count != 34 || tenth.Schedulers.Real != 1 || tenth.Schedulers.Hollow != 2 || tenth.Tasks.Jobs != 570 ||
		tenth.Configuration.ChangesPerDay != 110 || tenth.Failures.RestartsPerDay != 37 {
		t.Errorf("%+v", tenth)
	}
	if tenth.Budget != whole.Budget || tenth.Network != whole.Network || tenth.Classes[0] != whole.Classes[0] ||
		tenth.Configuration.InForceWithinS != 6 || len(tenth.Regions) != 3 || tenth.Workers.TaskSlots != 6 {
		t.Errorf("%+v", tenth)
	}
	if least := whole.Scaled(0.0001); least.Workers.Count != 1 || least.Schedulers.Hollow != 1 || least.Tenants.Count != 1 {
		t.Errorf("%+v", least)
	}
}

func TestWithRunTimesKeepsDeadlines(t *testing.T) {
	whole, err := Load(shipped)
	if err != nil {
		t.Fatal(err)
	}
	short := whole.WithRunTimes(0.5)
	if mean := short.MeanRunS(); mean < 0.499 || mean > 0.501 {
		t.Errorf("a task runs %g s", mean)
	}
	if short.Tasks.Running != 65 || short.Classes[0].DeadlineS != whole.Classes[0].DeadlineS || whole.MeanRunS() < 31 {
		t.Errorf("%+v", short)
	}
	if err := short.Sane(); err != nil {
		t.Error(err)
	}
}

func TestBoundsRefuseWithTheSum(t *testing.T) {
	whole, err := Load(shipped)
	if err != nil {
		t.Fatal(err)
	}
	many := *whole
	many.Schedulers.Real = 24
	err = NeedsOf(&many).Check(20_000)
	if err == nil || !strings.Contains(err.Error(), "24000 listeners (1000 workers x 24 real schedulers)") {
		t.Errorf("24 real schedulers: %v", err)
	}
	one := NeedsOf(whole)
	if err := one.Add(one).Check(20_000); err == nil || !strings.Contains(err.Error(), "; beside 6000 listeners") {
		t.Errorf("two whole fleets side by side: %v", err)
	}
	crowd := *whole
	crowd.Schedulers.Hollow = 1000
	crowd.Workers.Count = 10
	if n := NeedsOf(&crowd); n.Processes != 47 || n.Check(20_000) != nil {
		t.Errorf("1,000 hollow schedulers: %+v, %v", n, n.Check(20_000))
	}
	large := *whole
	large.Budget.MemoryMB = 4096
	if err := NeedsOf(&large).Check(20_000); err == nil || !strings.Contains(err.Error(), "MB of memory are more than 12288") {
		t.Errorf("schedulers of 4 GiB: %v", err)
	}
}
