package page

import (
	"strings"

	"laddertide/rehearse/scale/measurement"
)

// resource is a quantity of a role that is fitted against parameters.
type resource struct {
	name string
	unit string
	of   func(u *measurement.Usage, window float64) (value float64, measured bool)
}

// key tells a resource of one role from all others.
type key struct {
	role     measurement.Role
	resource string
}

// Names of the resources that are there whatever the kinds of messages.
const (
	cpu             = "CPU"
	memorySteady    = "memory, steady"
	memoryPeak      = "memory, peak"
	descriptors     = "descriptors"
	state           = "state"
	controlBytes    = "control bytes"
	controlMessages = "control messages"
	bytesSuffix     = " bytes"
	messagesSuffix  = " messages"
)

// Units of resources.
const (
	percentOfACore  = "% of a core"
	bytesUnit       = "bytes"
	bytesASecond    = "bytes/s"
	messagesASecond = "messages/s"
	countUnit       = "open at once"
	percent         = 100
)

// fixedResources are those of each usage.
func fixedResources() []resource {
	return []resource{
		{cpu, percentOfACore, func(u *measurement.Usage, window float64) (float64, bool) {
			if u.CPUSeconds == nil || window == 0 {
				return 0, false
			}
			return percent * *u.CPUSeconds / window, true
		}},
		{memorySteady, bytesUnit, field(func(u *measurement.Usage) *float64 { return u.MemorySteady })},
		{memoryPeak, bytesUnit, field(func(u *measurement.Usage) *float64 { return u.MemoryPeak })},
		{descriptors, countUnit, field(func(u *measurement.Usage) *float64 { return u.Descriptors })},
		{state, bytesUnit, field(func(u *measurement.Usage) *float64 { return u.State })},
		{controlBytes, bytesASecond, traffic(bytesOf, func(t *measurement.Traffic) bool {
			return t.Path == measurement.Control
		})},
		{controlMessages, messagesASecond, traffic(messagesOf, func(t *measurement.Traffic) bool {
			return t.Path == measurement.Control
		})},
	}
}

// kindResources are the bytes and messages of one kind in both directions.
func kindResources(kind string) []resource {
	ofKind := func(t *measurement.Traffic) bool { return t.Kind == kind }
	return []resource{
		{kind + bytesSuffix, bytesASecond, traffic(bytesOf, ofKind)},
		{kind + messagesSuffix, messagesASecond, traffic(messagesOf, ofKind)},
	}
}

func field(of func(*measurement.Usage) *float64) func(*measurement.Usage, float64) (float64, bool) {
	return func(u *measurement.Usage, _ float64) (float64, bool) {
		value := of(u)
		if value == nil {
			return 0, false
		}
		return *value, true
	}
}

func bytesOf(t *measurement.Traffic) *float64    { return t.Bytes }
func messagesOf(t *measurement.Traffic) *float64 { return t.Messages }

// traffic adds both directions of the chosen kinds, a second. Of several sources of one count it takes the first of
// the daemon's counters, relays and the system.
func traffic(of func(*measurement.Traffic) *float64, chosen func(*measurement.Traffic) bool) func(*measurement.Usage,
	float64) (float64, bool) {
	return func(u *measurement.Usage, window float64) (float64, bool) {
		type count struct {
			kind      string
			direction measurement.Direction
		}
		best := make(map[count]*measurement.Traffic)
		for i := range u.Traffic {
			t := &u.Traffic[i]
			if !chosen(t) || of(t) == nil {
				continue
			}
			c := count{t.Kind, t.Direction}
			if best[c] == nil || rank(t.Source) < rank(best[c].Source) {
				best[c] = t
			}
		}
		if len(best) == 0 || window == 0 {
			return 0, false
		}
		sum := 0.0
		for i := range u.Traffic { // in the file's order: sums of floats must not depend on a map's
			t := &u.Traffic[i]
			if best[count{t.Kind, t.Direction}] == t {
				sum += *of(t)
			}
		}
		return sum / window, true
	}
}

func rank(source measurement.Source) int {
	switch source {
	case measurement.DaemonCounter:
		return 0
	case measurement.Relay:
		return 1
	}
	return 2
}

// kindsOf lists the kinds of messages of a role over all files, in order of their first appearance.
func kindsOf(files []measurement.Named, role measurement.Role) []string {
	var kinds []string
	seen := make(map[string]bool)
	for _, f := range files {
		for i := range f.Points {
			u := f.Points[i].Usage(role)
			if u == nil {
				continue
			}
			for _, t := range u.Traffic {
				if !seen[t.Kind] {
					seen[t.Kind] = true
					kinds = append(kinds, t.Kind)
				}
			}
		}
	}
	return kinds
}

// escape keeps a text within its cell of a table.
func escape(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", `\|`)
}
