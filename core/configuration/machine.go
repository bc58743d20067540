// Package configuration decides the outcome of proposed configuration changes, what a follower does with a version that it
// receives, and which followers are behind. It does no I/O; time is passed as an argument.
package configuration

import (
	"fmt"
	"slices"

	wire "laddertide/wire/configuration"
)

// Machine is the replicated state machine: members that apply the same changes in the same order have the same versions. The zero
// value has no version yet. It is not safe for concurrent use.
type Machine struct {
	document []byte
	history  []wire.AcceptedChange // newest last
	voters   []wire.Voter
	removed  []uint64
}

// Result is the outcome of a change.
type Result struct {
	Code    wire.Code // Accepted, Conflict or RequestReuse
	Version uint64    // if accepted, the version of the change; otherwise the newest version
	New     bool      // this change created the version; otherwise an earlier one with the same request id did
}

// Text explains a result to operators.
func (r Result) Text(base uint64) string {
	switch r.Code {
	case wire.Conflict:
		return fmt.Sprintf("the change was made from version %d, and %d is the newest", base, r.Version)
	case wire.RequestReuse:
		return "the request id was used for another change"
	}
	return ""
}

// Newest returns the newest version; 0: there is none.
func (m *Machine) Newest() uint64 { return m.Latest().Version }

// Latest returns the newest change, without its document. Its version is 0 if there is none.
func (m *Machine) Latest() wire.AcceptedChange {
	if len(m.history) == 0 {
		return wire.AcceptedChange{}
	}
	return m.history[len(m.history)-1]
}

// Push returns the newest version in the form that is sent to followers. Its document must not be changed.
func (m *Machine) Push() wire.Push {
	latest := m.Latest()
	return wire.Push{Version: latest.Version, Digest: latest.Digest, AcceptedAt: latest.AcceptedAt, Document: m.document}
}

// CertainResult returns the outcome of a change if it is certain before the change is in the log: a change from an old base stays a
// conflict, and one that was applied stays applied. It returns false while the outcome depends on other changes that are being
// replicated.
func (m *Machine) CertainResult(c *wire.Change) (Result, bool) {
	result := m.evaluate(c)
	return result, !result.New && (result.Code != wire.Conflict || c.Base < m.Newest())
}

// MaxFirstBase is the highest version on which the first change of a cluster can be based; it leaves enough versions after it.
const MaxFirstBase = 1 << 62

// Apply applies a change. The change is accepted if it is based on the newest version and was not accepted before.
//
// The first change of a cluster may be based on any version up to MaxFirstBase. A cluster that replaces one whose majority was
// lost can therefore start above all versions that followers may have had. They continue with it, because they take only newer
// versions.
func (m *Machine) Apply(c *wire.Change) Result {
	result := m.evaluate(c)
	if !result.New {
		return result
	}
	m.document = c.Document
	m.history = append(m.history, wire.AcceptedChange{Version: result.Version, Digest: wire.DigestOf(c.Document), AcceptedAt: c.AcceptedAt,
		Author: c.Author, Request: c.Request})
	if more := len(m.history) - wire.MaxHistory; more > 0 {
		m.history = slices.Delete(m.history, 0, more)
	}
	return result
}

func (m *Machine) evaluate(c *wire.Change) Result {
	newest := m.Newest()
	if past, found := m.byRequest(c.Request); found {
		if past.Digest == wire.DigestOf(c.Document) && past.Version == c.Base+1 {
			return Result{Code: wire.Accepted, Version: past.Version}
		}
		return Result{Code: wire.RequestReuse, Version: newest}
	}
	first := newest == 0 && c.Base <= MaxFirstBase
	if c.Base != newest && !first {
		return Result{Code: wire.Conflict, Version: newest}
	}
	return Result{Code: wire.Accepted, Version: c.Base + 1, New: true}
}

// byRequest finds a change by its request id. A change that is no longer remembered is a conflict by its base, so it is never
// applied twice.
func (m *Machine) byRequest(request string) (wire.AcceptedChange, bool) {
	i := slices.IndexFunc(m.history, func(p wire.AcceptedChange) bool { return p.Request == request })
	if request == "" || i < 0 {
		return wire.AcceptedChange{}, false
	}
	return m.history[i], true
}

// AcceptedAfter returns when the first version after the given one was accepted, in milliseconds since 1970; if that version is
// no longer remembered, when the oldest remembered one was. It returns false if there is no version after it.
func (m *Machine) AcceptedAfter(version uint64) (int64, bool) {
	for _, past := range m.history {
		if past.Version > version {
			return past.AcceptedAt, true
		}
	}
	return 0, false
}

// Voters returns the members and the IDs of the disks with which they take part.
func (m *Machine) Voters() []wire.Voter { return m.voters }

// DiskOf returns the disk ID of a member; 0: it has none.
func (m *Machine) DiskOf(name string) uint64 {
	for _, v := range m.voters {
		if v.Name == name {
			return v.Disk
		}
	}
	return 0
}

// NameOf returns the member that has a disk; "": no member has it.
func (m *Machine) NameOf(disk uint64) string {
	for _, v := range m.voters {
		if v.Disk == disk {
			return v.Name
		}
	}
	return ""
}

// Removed reports whether a disk used to be a member's and no longer is.
func (m *Machine) Removed(disk uint64) bool { return slices.Contains(m.removed, disk) }

// SetVoters sets the members of a new cluster.
func (m *Machine) SetVoters(voters []wire.Voter) { m.voters = slices.Clone(voters) }

// Replace assigns a member another disk in place of its previous one.
func (m *Machine) Replace(name string, disk uint64) {
	m.voters = slices.Clone(m.voters)
	for i := range m.voters {
		v := &m.voters[i]
		if v.Name != name || v.Disk == disk {
			continue
		}
		m.removed = append(slices.Clone(m.removed), v.Disk)
		v.Disk = disk
	}
	if more := len(m.removed) - wire.MaxRemoved; more > 0 {
		m.removed = m.removed[more:]
	}
}

// Snapshot returns the state, for Restore. It shares the document with the machine, and nothing that changes.
func (m *Machine) Snapshot() wire.State {
	return wire.State{Document: m.document, History: slices.Clone(m.history), Voters: slices.Clone(m.voters), Removed: slices.Clone(m.removed)}
}

// Restore sets the state. It returns an error, and changes nothing, if the versions have gaps or the document is not that of the
// newest version.
func (m *Machine) Restore(s wire.State) error {
	for i := 1; i < len(s.History); i++ {
		if s.History[i].Version != s.History[i-1].Version+1 {
			return fmt.Errorf("configuration: version %d follows %d", s.History[i].Version, s.History[i-1].Version)
		}
	}
	if n := len(s.History); n > 0 && s.History[n-1].Digest != wire.DigestOf(s.Document) {
		return fmt.Errorf("configuration: the document of version %d does not match its digest", s.History[n-1].Version)
	}
	*m = Machine{document: s.Document, history: s.History, voters: s.Voters, removed: s.Removed}
	return nil
}
