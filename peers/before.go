package peers

import (
	"slices"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// maxAckBatches is the number of batches of acknowledgements that may wait for the disk at a time.
const maxAckBatches = 8

// Evidence is what is known about another scheduler, for the recovery after a power loss.
type Evidence struct {
	Name           string
	Start          uint64
	StepsRemaining byte // steps that remain of its own recovery, as it reports itself
	Reachable      bool // it is reachable
	Ended          bool // its process has ended, as announced by itself or by an operator
	SentState      bool // it has sent its full state since this process started
	OtherVersion   bool // it uses another version of the protocol
}

// restoreState restores the bans that were saved on disk, which are in force from then on. Only newPeers calls it.
func (p *Peers) restoreState() {
	before := p.cfg.Stored
	if before == nil {
		return
	}
	p.exchangedWith = make(map[string]uint64)
	p.otherVersion = make(map[string]bool)
	p.renumbering = make(chan struct{}, 1)
	p.ackSlots = make(chan struct{}, maxAckBatches)
	p.ownStarts = map[uint64]bool{p.cfg.Start: true}
	for _, id := range before.LiftedBans {
		p.bans.Undo([]fleet.BanID{banIDFromWire(id)})
	}
	for _, ban := range before.Bans {
		p.bans.Record(fleet.Ban{BanID: banIDFromWire(ban.BanID), Provider: ban.Provider, At: ban.At})
	}
}

// withStoredAddresses returns addresses together with those that were saved on disk, up to maxJoin in total.
func (p *Peers) withStoredAddresses(addresses []string) []string {
	if p.cfg.Stored == nil {
		return addresses
	}
	addresses = slices.Clone(addresses)
	for _, a := range p.cfg.Stored.Addresses {
		if a != "" && !slices.Contains(addresses, a) && len(addresses) < maxJoin {
			addresses = append(addresses, a)
		}
	}
	return addresses
}

// save returns once the current state is on disk, or at once if this scheduler keeps no state there. Called with no lock held.
func (p *Peers) save() error {
	if p.cfg.Stored == nil {
		return nil
	}
	return p.cfg.Stored.Save()
}

// acknowledge sends acknowledgements of messages that are in force here; if this scheduler keeps its state on disk, only once
// they are saved there. It never waits for the disk. If too many batches wait for the disk already, these acknowledgements
// are dropped: the senders repeat their messages until they are acknowledged.
func (p *Peers) acknowledge(acks []addressed) {
	sendAll := func() {
		for _, a := range acks {
			p.send(a.to, a.message)
		}
	}
	if len(acks) == 0 || p.cfg.Stored == nil {
		sendAll()
		return
	}
	select {
	case p.ackSlots <- struct{}{}:
	default:
		return
	}
	p.goroutines.Go(func() {
		defer func() { <-p.ackSlots }()
		if err := p.save(); err != nil {
			p.log.Warn("a peer's message is in force but could not be saved: not acknowledged", "err", err)
			return
		}
		sendAll()
	})
}

// observeStart records a start number of this scheduler's name that others have seen. If it is not this process's own and not
// earlier, this process takes a still later one, in the background, as it must be on disk before it is published. Called under mu.
func (p *Peers) observeStart(start uint64) {
	if p.ownStarts == nil || p.ownStarts[start] {
		return
	}
	p.latestOtherStart = max(p.latestOtherStart, start)
	me, _ := p.view.Get(p.cfg.Name)
	if fleet.Start(start) < me.Start {
		return
	}
	select {
	case p.renumbering <- struct{}{}:
	default:
		return // one is being obtained, and a peer that has seen a later one sends it again
	}
	go func() {
		defer func() { <-p.renumbering }()
		p.renumberAfter(start)
	}()
}

// renumberAfter takes a start number that is later than seen. It blocks until the number is on disk.
func (p *Peers) renumberAfter(seen uint64) {
	number, err := p.cfg.Stored.NextStart(seen)
	if err != nil {
		p.log.Error("peers have seen a later process of this name, and a later start number could not be saved", "seen", seen, "err", err)
		return
	}
	p.mu.Lock()
	renumbered := false
	if me, _ := p.view.Get(p.cfg.Name); fleet.Start(number) > me.Start {
		_, renumbered = p.view.Renumber(fleet.Start(number - 1))
		p.ownStarts[number] = true
	}
	p.mu.Unlock()
	if !renumbered {
		return
	}
	p.log.Warn("peers have seen a later process of this name: this one has taken a later start number", "seen", seen, "start", number)
	p.PublishNote()
	p.requestApply()
}

// PublishNote publishes this scheduler's note about itself after it has changed. It returns at once; changes in quick succession
// are published together.
func (p *Peers) PublishNote() {
	select {
	case p.noteDue <- struct{}{}:
		go p.publishNote()
	default: // a publication that is due includes this change
	}
}

// publishNote publishes this scheduler's note about itself. The membership protocol accepts one update at a time.
func (p *Peers) publishNote() {
	p.noteMu.Lock()
	defer p.noteMu.Unlock()
	<-p.noteDue // a change from here on needs another publication
	select {
	case <-p.listReady:
	case <-p.closing:
		return
	}
	select {
	case <-p.closing:
	default:
		// An error means that the note has not reached all members in time: it continues to spread.
		p.list.UpdateNode(p.cfg.Timing.AnswerTime)
	}
}

// Evidence returns what is known about the other schedulers. nobody reports that the search is over and no scheduler was
// found. seen is the latest start number of this scheduler's name that others have seen, except this process's own.
func (p *Peers) Evidence() (all []Evidence, nobody bool, seen uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	anyFound := p.searchFound
	for _, m := range p.view.Members() {
		if m.Name == p.cfg.Name {
			continue
		}
		e := Evidence{Name: m.Name, Start: uint64(m.Start), Reachable: m.State <= fleet.Suspected, Ended: !m.State.MayRun(),
			OtherVersion: p.otherVersion[m.Name], StepsRemaining: p.notes[m.Name].StepsRemaining}
		e.SentState = p.exchangedWith[m.Name] >= e.Start && e.Start > 0
		anyFound = anyFound || e.Reachable
		all = append(all, e)
	}
	for name := range p.otherVersion {
		if _, known := p.view.Get(name); !known {
			all = append(all, Evidence{Name: name, OtherVersion: true})
		}
	}
	return all, p.searchDone && !anyFound, p.latestOtherStart
}

// MembersToSave returns the other schedulers that may run, in the form that is saved on disk.
func (p *Peers) MembersToSave() (out []wire.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State.MayRun() {
			out = append(out, wire.Member{Name: m.Name, Address: m.Address, Start: uint64(m.Start), State: uint8(m.State), Weight: m.Weight,
				Voter: m.Vote == fleet.Voter})
		}
	}
	return out
}

// BansToSave returns the bans in force and the IDs of those that were lifted, in the form that is saved on disk.
func (p *Peers) BansToSave() (bans []wire.BanRecord, undone []wire.BanID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	inForce, lifted := p.bans.All()
	for _, b := range inForce {
		bans = append(bans, wire.BanRecord{BanID: banIDToWire(b.BanID), Provider: b.Provider, At: b.At})
	}
	for _, u := range lifted {
		undone = append(undone, banIDToWire(u))
	}
	return bans, undone
}
