package page

import (
	"slices"
	"strings"

	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// verdict is what a row says of the size.
type verdict string

// The verdicts.
const (
	within      verdict = "within"
	over        verdict = "**over**"
	noMechanism verdict = "**no mechanism**"
	notMeasured verdict = "not measured"
	noBudget    verdict = "no budget stated"
)

// budgetRow is a resource of a role, and what it may come to.
type budgetRow struct {
	key
	unit      string
	control   bool // at the size without tasks: what control takes
	follows   bool // with the configuration followed from its source
	budget    func(*size.Size) float64
	mechanism string
	limitOf   string // whose limit the budget is, if it isn't the operators'
}

// budgetRows are the rows of all roles.
func budgetRows() []budgetRow {
	none := func(*size.Size) float64 { return 0 }
	scheduler := func(resource, unit string, control bool, budget func(*size.Size) float64, mechanism string) budgetRow {
		return budgetRow{key{measurement.Scheduler, resource}, unit, control, false, budget, mechanism, ""}
	}
	rows := []budgetRow{
		scheduler(cpu, percentOfACore, true, func(s *size.Size) float64 { return s.Budget.CPUPercent },
			"`peers`, `directory`"),
		scheduler(cpu, percentOfACore, false, none, "`dispatch`, `policy`, `provider`, `frontend`"),
		scheduler(memoryPeak, bytesUnit, true, memoryBudget, "the process as a whole"),
		scheduler(memoryPeak, bytesUnit, false, memoryBudget, "the process as a whole"),
		scheduler(controlBytes, bytesASecond, true, controlBytesBudget, "`peers`, `directory`"),
		scheduler(controlBytes, bytesASecond, false, controlBytesBudget, "`peers`, `directory`"),
		scheduler(controlMessages, messagesASecond, false, none, "`peers`, `directory`"),
		scheduler(descriptors, countUnit, false, func(s *size.Size) float64 { return float64(s.Budget.DescriptorsEach) },
			"`limits.sockets`"),
		scheduler(state, bytesUnit, false, memoryBudget, "`policy`, `core/fleet`"),
	}
	others := []struct {
		role      measurement.Role
		mechanism string
	}{
		{measurement.Discovery, "a stand-in here; the platform's own"},
		{measurement.LedgerMember, "`replica`, `replicated`"},
		{measurement.ConfigurationSource, "`configuration/source`"},
	}
	for _, other := range others {
		for _, r := range []struct{ name, unit string }{{cpu, percentOfACore}, {memoryPeak, bytesUnit},
			{controlBytes, bytesASecond}, {controlMessages, messagesASecond}, {descriptors, countUnit}, {state, bytesUnit}} {
			rows = append(rows, budgetRow{key{other.role, r.name}, r.unit, false, false, none, other.mechanism, ""})
		}
	}
	// Without tasks a member's ledgers are control: what it takes then counts against control's budget.
	rows = append(rows,
		budgetRow{key{measurement.LedgerMember, cpu}, percentOfACore, true, false,
			func(s *size.Size) float64 { return s.Budget.CPUPercent }, "`replica`, `replicated`", ""},
		budgetRow{key{measurement.LedgerMember, controlBytes}, bytesASecond, true, false, controlBytesBudget,
			"`replica`, `replicated`", ""})
	for _, resource := range []string{cpu, controlBytes} {
		for _, row := range rows {
			if row.key == (key{measurement.Scheduler, resource}) && row.control {
				row.follows = true
				row.mechanism += ", `configuration/follower`"
				rows = append(rows, row)
				break
			}
		}
	}
	for i := range rows {
		if rows[i].key == (key{measurement.Discovery, state}) {
			rows[i].budget = func(*size.Size) float64 { return longestList }
			rows[i].limitOf = ", the longest list that `directory` reads"
			rows[i].mechanism = "the whole list, as `directory` reads it"
		}
	}
	return rows
}

// longestList is what the package directory takes of one list.
const longestList = 256 << 10

func memoryBudget(s *size.Size) float64       { return s.Budget.MemoryMB * megabyte }
func controlBytesBudget(s *size.Size) float64 { return s.Budget.ControlBytes }

// judge is the verdict on a figure against a budget; a budget of 0 is none. A figure that leaves out a parameter can be
// over, as all that is left out only adds to it, but not within.
func judge(f *figure, budget float64) verdict {
	switch {
	case f == nil:
		return notMeasured
	case budget == 0:
		return noBudget
	case f.estimate.Value > budget:
		return over
	case len(f.missing) > 0:
		return notMeasured
	}
	return within
}

// doubt says what the verdict does not: the interval reaches to the other side of the budget, or parameters are missing.
func doubt(f *figure, budget float64) string {
	if f == nil {
		return ""
	}
	var notes []string
	if budget > 0 && !f.estimate.Excludes(budget) {
		notes = append(notes, "the interval holds the budget")
	}
	if len(f.missing) > 0 {
		notes = append(notes, "without "+strings.Join(f.missing, ", "))
	}
	return strings.Join(notes, "; ")
}

// files lists the files that a figure comes from.
func (f *figure) files() []string {
	list := []string{f.from.file}
	if f.extra.file != "" {
		list = append(list, f.extra.file)
	}
	for _, t := range f.terms {
		list = append(list, t.sweep.file)
	}
	slices.Sort(list)
	return slices.Compact(list)
}
