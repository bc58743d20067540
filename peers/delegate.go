package peers

import (
	"errors"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	"laddertide/wire/owners"
	wire "laddertide/wire/peers"
)

// maxLoggedFaults is the number of kinds of malformed messages that are logged.
const maxLoggedFaults = 64

// delegate provides the membership protocol with this scheduler's data and handles its messages. It is called by the
// protocol's own goroutines and must not block.
type delegate Peers

// NodeMeta implements memberlist.Delegate.
func (d *delegate) NodeMeta(int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, start := d.view.Identity()
	note := wire.Note{Start: uint64(start), KeepsRecords: d.cfg.HandleOwnership != nil, Leaving: d.leaving, Disk: d.cfg.Disk}
	if d.cfg.Stored != nil {
		note.StepsRemaining = d.cfg.Stored.StepsRemaining()
	}
	return note.Append()
}

// NotifyMsg implements memberlist.Delegate.
func (d *delegate) NotifyMsg(b []byte) {
	if d.cfg.HandleOwnership != nil && owners.IsMessage(b) {
		d.cfg.HandleOwnership(b) // it shares no memory with b
		return
	}
	m, err := wire.ReadMessage(b)
	if err != nil {
		(*Peers)(d).countMalformed(err, "a message")
		return
	}
	select {
	case d.inbox <- m: // it shares no memory with b
	default:
		d.mu.Lock()
		d.counts.Dropped++ // like a packet lost on the network: senders repeat what must arrive
		d.mu.Unlock()
	}
}

// countMalformed counts data that could not be decoded, and logs each combination of kind and error once. kind names the data.
func (p *Peers) countMalformed(err error, kind string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if errors.Is(err, wire.ErrVersion) {
		p.counts.OtherVersion++
	} else {
		p.counts.Malformed++
	}
	if key := kind + err.Error(); !p.loggedFaults[key] && len(p.loggedFaults) < maxLoggedFaults {
		p.loggedFaults[key] = true
		p.log.Warn("something of a peer's cannot be read; it is not told again", "what", kind, "err", err)
	}
}

// GetBroadcasts implements memberlist.Delegate.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.queue.GetBroadcasts(overhead, limit)
}

// maxCheckpoint is the size, in bytes, up to which a scheduler sends a checkpoint of its estimates to one that joins.
const maxCheckpoint = 1 << 20

// LocalState implements memberlist.Delegate.
func (d *delegate) LocalState(join bool) []byte {
	s := wire.State{At: time.Duration(time.Now().UnixNano())}
	d.mu.Lock()
	joining := d.joining
	d.mu.Unlock()
	if join && !joining && d.cfg.CheckpointEstimates != nil && d.cfg.Settings.Beliefs {
		if s.Checkpoint = d.cfg.CheckpointEstimates(); len(s.Checkpoint) > maxCheckpoint {
			s.Checkpoint = nil
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	name, start := d.view.Identity()
	s.From, s.Start, s.Met = name, uint64(start), d.view.Met()
	for _, m := range d.view.Report() {
		s.Members = append(s.Members, wire.Member{Name: m.Name, Address: m.Address, Start: uint64(m.Start), State: uint8(m.State),
			Weight: m.Weight, Voter: m.Vote == fleet.Voter})
	}
	inForce, undone := d.bans.All()
	for _, b := range inForce {
		s.Bans = append(s.Bans, wire.BanRecord{BanID: banIDToWire(b.BanID), Provider: b.Provider, At: b.At})
	}
	for _, u := range undone {
		s.LiftedBans = append(s.LiftedBans, banIDToWire(u))
	}
	return s.Append()
}

// MergeRemoteState implements memberlist.Delegate.
func (d *delegate) MergeRemoteState(b []byte, _ bool) {
	s, err := wire.ReadState(b)
	if err != nil {
		(*Peers)(d).countMalformed(err, "a whole exchange")
		return
	}
	d.mu.Lock()
	now := (*Peers)(d).now()
	d.counts.Exchanges++
	d.view.RecordMessage(now, s.From)
	if s.Met {
		d.view.RecordMet()
	}
	renumbered := false
	for _, m := range s.Members {
		if m.Name == d.cfg.Name {
			if m.Address == "" || m.Address == d.cfg.Settings.Advertise {
				// An earlier process of this name, whose clock was ahead of this one's.
				if me, _ := d.view.Get(m.Name); fleet.Start(m.Start) > me.Start {
					if d.cfg.Stored == nil {
						_, renumbered = d.view.Renumber(fleet.Start(m.Start))
					}
				}
				(*Peers)(d).observeStart(m.Start)
			}
		}
		vote := fleet.NoVote
		if m.Voter {
			vote = fleet.Voter
		}
		d.view.ApplyReport(now, fleet.Member{Name: m.Name, Start: fleet.Start(m.Start), State: fleet.State(m.State), Address: m.Address,
			Weight: m.Weight, Vote: vote})
	}
	if d.exchangedWith != nil {
		if _, known := d.view.Get(s.From); known {
			d.exchangedWith[s.From] = s.Start
		}
	}
	undone := make([]fleet.BanID, 0, len(s.LiftedBans))
	for _, u := range s.LiftedBans {
		undone = append(undone, banIDFromWire(u))
	}
	(*Peers)(d).undoBans(undone)
	for _, x := range s.Bans {
		id := banIDFromWire(x.BanID)
		if d.bans.Record(fleet.Ban{BanID: id, Provider: x.Provider, At: x.At}) && d.bans.Banned(x.Provider) {
			(*Peers)(d).addBanHolder(id, s.From)
		}
	}
	restore := d.joining && !d.checkpointRestored && len(s.Checkpoint) > 0 && d.cfg.RestoreFromPeer != nil && d.cfg.Settings.Beliefs
	d.checkpointRestored = d.checkpointRestored || restore
	d.mu.Unlock()
	if restore {
		d.cfg.RestoreFromPeer(s.From, s.Checkpoint, s.At-time.Duration(time.Now().UnixNano()))
	}
	if renumbered {
		(*Peers)(d).PublishNote()
	}
	(*Peers)(d).requestApply()
}

// events receives the membership protocol's events on other members. It is called under the protocol's own lock.
type events Peers

// recordAlive records that a member is alive, and its note about itself.
func (e *events) recordAlive(n *memberlist.Node) {
	note, err := wire.ReadNote(n.Meta)
	if err != nil {
		return // NotifyAlive rejects members without a valid note
	}
	e.mu.Lock()
	before, known := e.view.Get(n.Name)
	e.view.RecordAlive((*Peers)(e).now(), n.Name, fleet.Start(note.Start), n.Address())
	e.notes[n.Name] = note
	if known && before.Start != fleet.Start(note.Start) {
		for _, holders := range e.banHolders { // a new process does not have the bans of the previous one
			delete(holders, n.Name)
		}
	}
	e.mu.Unlock()
	(*Peers)(e).requestApply()
}

// NotifyJoin implements memberlist.EventDelegate.
func (e *events) NotifyJoin(n *memberlist.Node) { e.recordAlive(n) }

// NotifyUpdate implements memberlist.EventDelegate.
func (e *events) NotifyUpdate(n *memberlist.Node) { e.recordAlive(n) }

// NotifyLeave implements memberlist.EventDelegate.
func (e *events) NotifyLeave(n *memberlist.Node) {
	note, err := wire.ReadNote(n.Meta)
	if err != nil {
		return
	}
	// A member that has left has announced that with a message of its own; any other is recorded as unreachable.
	e.mu.Lock()
	e.view.RecordUnreachable((*Peers)(e).now(), n.Name, fleet.Start(note.Start))
	e.mu.Unlock()
	(*Peers)(e).requestApply()
}

// NotifyAlive implements memberlist.AliveDelegate. It rejects members that use another version of the protocol.
func (e *events) NotifyAlive(n *memberlist.Node) error {
	_, err := wire.ReadNote(n.Meta)
	if err != nil {
		(*Peers)(e).countMalformed(err, "a scheduler's note of itself")
		e.mu.Lock()
		if e.otherVersion != nil && len(e.otherVersion) < maxMembers {
			e.otherVersion[n.Name] = true
		}
		e.mu.Unlock()
	}
	return err
}

// NotifyConflict implements memberlist.ConflictDelegate.
func (e *events) NotifyConflict(existing, other *memberlist.Node) {
	if existing.Name != e.cfg.Name {
		return // a conflict of other members' names is theirs to resolve
	}
	note, err := wire.ReadNote(other.Meta)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conflict = &conflict{address: other.Address(), start: note.Start}
}

// NotifyPingComplete implements memberlist.PingDelegate.
func (e *events) NotifyPingComplete(other *memberlist.Node, _ time.Duration, _ []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.RecordMessage((*Peers)(e).now(), other.Name)
}

// AckPayload implements memberlist.PingDelegate.
func (e *events) AckPayload() []byte { return nil }
