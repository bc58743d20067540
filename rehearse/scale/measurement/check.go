package measurement

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Check returns the first mistake in a file with the path of its field, or nil.
func (f *File) Check() error {
	switch {
	case f.Version != Version:
		return fmt.Errorf("version: %d is not known; this program reads %d", f.Version, Version)
	case f.Command == "":
		return fmt.Errorf("command: is empty")
	case f.Commit == "":
		return fmt.Errorf("commit: is empty")
	case f.Machine.CPU == "":
		return fmt.Errorf("machine.cpu: is empty")
	case f.Machine.Cores <= 0:
		return fmt.Errorf("machine.cores: %d is not more than 0", f.Machine.Cores)
	case f.Machine.Memory <= 0:
		return fmt.Errorf("machine.memory_bytes: %d is not more than 0", f.Machine.Memory)
	case !(f.Size.Scale > 0 && f.Size.Scale <= 1):
		return fmt.Errorf("size.scale: %g is not over 0 and at most 1", f.Size.Scale)
	case len(f.Points) == 0:
		return fmt.Errorf("points: there are none")
	}
	if _, err := time.Parse(time.RFC3339, f.Date); err != nil {
		return fmt.Errorf("date: %q is not of RFC 3339", f.Date)
	}
	if f.Varied != "" && !slices.Contains(AllParameters(), Parameter(f.Varied)) {
		return fmt.Errorf("varied: there is no parameter %q", f.Varied)
	}
	for i := range f.Points {
		if err := f.Points[i].check(); err != nil {
			return fmt.Errorf("points[%d].%w", i, err)
		}
	}
	return nil
}

func (p *Point) check() error {
	for _, name := range AllParameters() {
		value, _ := p.Parameters.Value(name)
		if err := notNegative(value); err != nil {
			return fmt.Errorf("parameters.%s: %w", name, err)
		}
	}
	if err := notNegative(p.WindowSeconds); err != nil {
		return fmt.Errorf("window_seconds: %w", err)
	}
	if p.Valid != (p.WhyNot == "") {
		return fmt.Errorf("why_not: %q does not go with valid %t", p.WhyNot, p.Valid)
	}
	seen := make(map[Role]bool)
	for i := range p.Roles {
		if err := p.Roles[i].check(p.WindowSeconds); err != nil {
			return fmt.Errorf("roles[%d].%w", i, err)
		}
		if seen[p.Roles[i].Role] {
			return fmt.Errorf("roles[%d].role: %q stands twice", i, p.Roles[i].Role)
		}
		seen[p.Roles[i].Role] = true
	}
	if p.Service != nil {
		if err := p.Service.check(); err != nil {
			return fmt.Errorf("service.%w", err)
		}
	}
	for i := range p.Failures {
		if err := p.Failures[i].check(); err != nil {
			return fmt.Errorf("failures[%d].%w", i, err)
		}
	}
	for i := range p.Propagation {
		if err := p.Propagation[i].check(); err != nil {
			return fmt.Errorf("propagation[%d].%w", i, err)
		}
	}
	return nil
}

func (u *Usage) check(window float64) error {
	if !slices.Contains(Roles(), u.Role) {
		return fmt.Errorf("role: there is no role %q", u.Role)
	}
	if u.Instances <= 0 {
		return fmt.Errorf("instances: %d is not more than 0", u.Instances)
	}
	if window == 0 && (u.CPUSeconds != nil || len(u.Traffic) > 0) {
		return fmt.Errorf("cpu_seconds: counted over a window of 0 s")
	}
	figures := []figure{{"cpu_seconds", u.CPUSeconds}, {"memory_steady_bytes", u.MemorySteady},
		{"memory_peak_bytes", u.MemoryPeak}, {"descriptors", u.Descriptors}, {"state_bytes", u.State}}
	if err := checkFigures(figures); err != nil {
		return err
	}
	for i := range u.Traffic {
		if err := u.Traffic[i].check(); err != nil {
			return fmt.Errorf("traffic[%d].%w", i, err)
		}
	}
	return nil
}

func (t *Traffic) check() error {
	switch {
	case t.Kind == "":
		return fmt.Errorf("kind: is empty")
	case t.Path != Control && t.Path != Job:
		return fmt.Errorf("path: there is no path %q", t.Path)
	case t.Direction != Sent && t.Direction != Received:
		return fmt.Errorf("direction: there is no direction %q", t.Direction)
	case t.Source != DaemonCounter && t.Source != Relay && t.Source != System:
		return fmt.Errorf("source: there is no source %q", t.Source)
	case t.Messages == nil && t.Bytes == nil:
		return fmt.Errorf("messages: neither messages nor bytes were counted")
	}
	return checkFigures([]figure{{"messages", t.Messages}, {"bytes", t.Bytes}})
}

func (s *Service) check() error {
	if !(s.Share >= 0 && s.Share <= 1) {
		return fmt.Errorf("share: %g is not between 0 and 1", s.Share)
	}
	counts := map[string]int{"asked": s.Asked, "done": s.Done, "refused": s.Refused, "failed": s.Failed,
		"unanswered": s.Unanswered}
	for _, name := range []string{"asked", "done", "refused", "failed", "unanswered"} {
		if counts[name] < 0 {
			return fmt.Errorf("%s: %d is negative", name, counts[name])
		}
	}
	return checkFigures([]figure{{"start_seconds_p50", s.StartP50}, {"start_seconds_p99", s.StartP99},
		{"urgent_start_seconds_p99", s.UrgentStartP99}, {"urgent_start_seconds_worst", s.UrgentWorst}})
}

func (f *Failure) check() error {
	if f.Kind == "" {
		return fmt.Errorf("kind: is empty")
	}
	return checkFigures([]figure{{"lasted_seconds", &f.LastedSeconds}, {"stands_for_seconds", &f.StandsForSeconds},
		{"struck", &f.Struck}, {"service_before", f.ServiceBefore}, {"service_during", f.ServiceDuring},
		{"seconds_until_back", f.SecondsUntilBack}, {"messages", f.Messages}, {"bytes", f.Bytes}})
}

func (p *Propagation) check() error {
	switch {
	case p.Condition == "":
		return fmt.Errorf("condition: is empty")
	case p.Changes <= 0:
		return fmt.Errorf("changes: %d is not more than 0", p.Changes)
	case p.Schedulers <= 0:
		return fmt.Errorf("schedulers: %d is not more than 0", p.Schedulers)
	case p.Refused < 0 || p.NotInForce < 0:
		return fmt.Errorf("not_in_force: a count is negative")
	case !(p.P50 <= p.P99 && p.P99 <= p.Worst):
		return fmt.Errorf("seconds_p99: p50 %g, p99 %g and worst %g are out of order", p.P50, p.P99, p.Worst)
	}
	return checkFigures([]figure{{"seconds_p50", &p.P50}, {"seconds_worst", &p.Worst}})
}

// figure is a field's name and its value, nil if it was not measured.
type figure struct {
	name  string
	value *float64
}

func checkFigures(figures []figure) error {
	for _, f := range figures {
		if f.value == nil {
			continue
		}
		if err := notNegative(*f.value); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

func notNegative(value float64) error {
	if !(value >= 0) || math.IsInf(value, 0) {
		return fmt.Errorf("%g is not a number of 0 or more", value)
	}
	return nil
}
