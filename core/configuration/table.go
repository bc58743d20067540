package configuration

import (
	"cmp"
	"maps"
	"slices"
	"time"

	wire "laddertide/wire/configuration"
)

// Limits bound a Table.
type Limits struct {
	SilenceLimit time.Duration // time without a message after which a follower is in doubt: it may still serve with the version that it had
	ForgetAfter  time.Duration // time after which it is no longer listed
	MaxFollowers int           // maximum number of followers
}

// Table is what a source knows of followers: those connected to it and, at the leader, those of the other members. It is not safe
// for concurrent use.
type Table struct {
	limits Limits
	rows   map[string]*row
}

// row is a follower and the time of its last message.
type row struct {
	wire.Follower
	lastHeard time.Time
}

// NewTable returns a table without followers.
func NewTable(limits Limits) *Table {
	return &Table{limits: limits, rows: make(map[string]*row)}
}

// Report records the report of a follower that is connected to a member. A report of a process that was replaced by a later one
// of the same name is ignored. It returns false if there is no room.
func (t *Table) Report(member string, hello *wire.Hello, report *wire.Report, now time.Time) bool {
	return t.record(wire.Follower{Name: hello.Name, Start: hello.Start, Version: report.Version, Digest: report.Digest,
		Refused: report.Refused, Reason: report.Reason, Member: member}, now)
}

// Heard records that a message from a follower's process was received.
func (t *Table) Heard(name string, start uint64, now time.Time) {
	if r := t.rows[name]; r != nil && r.Start == start && now.After(r.lastHeard) {
		r.lastHeard = now
	}
}

// Merge records what another member knows of its followers. The newer of two records counts.
func (t *Table) Merge(member string, rows []wire.Follower, now time.Time) {
	for _, f := range rows {
		f.Member = member
		t.record(f, now.Add(-time.Duration(f.HeardAgo)*time.Millisecond))
	}
}

func (t *Table) record(f wire.Follower, heard time.Time) bool {
	r := t.rows[f.Name]
	if r == nil {
		if len(t.rows) >= t.limits.MaxFollowers {
			return false
		}
		r = &row{}
		t.rows[f.Name] = r
	}
	if f.Start < r.Start || f.Start == r.Start && heard.Before(r.lastHeard) {
		return true
	}
	*r = row{Follower: f, lastHeard: heard}
	return true
}

// Sweep removes followers from which nothing has been received for long.
func (t *Table) Sweep(now time.Time) {
	maps.DeleteFunc(t.rows, func(_ string, r *row) bool { return now.Sub(r.lastHeard) > t.limits.ForgetAfter })
}

// Rows returns what is known of all followers, by name. The time for which a follower is behind counts from when the first
// version that it does not have was accepted.
func (t *Table) Rows(m *Machine, now time.Time) []wire.Follower {
	return t.rowsOf(m, now, func(*row) bool { return true })
}

// RowsOf returns the rows of one member's followers.
func (t *Table) RowsOf(member string, m *Machine, now time.Time) []wire.Follower {
	return t.rowsOf(m, now, func(r *row) bool { return r.Member == member })
}

func (t *Table) rowsOf(m *Machine, now time.Time, wanted func(*row) bool) []wire.Follower {
	out := make([]wire.Follower, 0, len(t.rows))
	for _, r := range t.rows {
		if !wanted(r) {
			continue
		}
		f, silent := r.Follower, max(0, now.Sub(r.lastHeard))
		f.HeardAgo = silent.Milliseconds()
		f.InDoubt = silent > t.limits.SilenceLimit
		if accepted, behind := m.AcceptedAfter(f.Version); behind {
			f.Behind = max(1, now.UnixMilli()-accepted)
		}
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b wire.Follower) int { return cmp.Compare(a.Name, b.Name) })
	return out
}
