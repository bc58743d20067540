package owners

import (
	"log/slog"
	"slices"
	"time"

	core "laddertide/core/owners"
	"laddertide/ledger"
	"laddertide/owners/recordlog"
	wire "laddertide/wire/owners"
)

// The records that this scheduler has acknowledged as a keeper outlive its process if the operators' file names a folder for them.
// Each entry is written before the packet that acknowledges it is sent: see unlock.

// Stored is the log in an opened folder, and what earlier processes have left in it.
type Stored struct {
	Log      *recordlog.Log
	Contents recordlog.Contents
}

// OpenStored opens the folder of the settings, or returns nil if there is none. An error means that another process has the folder,
// or that it cannot be read.
func OpenStored(set *Settings, log *slog.Logger) (*Stored, error) {
	if set.Dir == "" {
		return nil, nil
	}
	opened, found, err := recordlog.Open(recordlog.Options{Dir: set.Dir, MaxBytes: set.storedBytes(), Log: log})
	if err != nil {
		return nil, err
	}
	return &Stored{opened, found}, nil
}

// restoreRecords restores the records of earlier processes of this scheduler's name. It is called before the Handler is used.
func (h *Handler) restoreRecords(found recordlog.Contents) {
	if found.LastState == nil {
		return
	}
	now := h.now()
	longest := h.recordLife()
	for i := range found.Changes {
		step := &found.Changes[i]
		if step.Drop {
			h.table.Drop(now, &step.Record)
			continue
		}
		longest = max(longest, step.Record.TimeLeft)
		if !h.table.Merge(now, &step.Record) {
			h.log.Error("the table has no room for the records of the previous process: they count as lost", "records", len(found.Changes))
			h.table = core.NewTable(h.cfg.Settings.MaxRecords)
			return
		}
	}
	last := found.LastState
	for _, f := range last.Formers {
		h.formers = append(h.formers, core.Former{Process: f.Process, Until: now + f.Until - h.records.Now(), StoredUnder: f.StoredUnder, IncompleteRosters: f.IncompleteRosters})
	}
	h.formers = append(h.formers, core.Former{Process: last.Process, Until: now + longest, StoredUnder: last.StoredUnder, IncompleteRosters: last.IncompleteRosters})
	if more := len(h.formers) - wire.MaxFormers; more > 0 {
		h.formers = slices.Delete(h.formers, 0, more) // records of the oldest ones may be missing until they expire
	}
	h.log.Info("records of jobs' owners restored from the previous process", "process", last.Process.Start, "records", h.table.Len(),
		"formers", len(h.formers))
}

// state returns what the next process of this scheduler's name has to know. Called under mu.
func (h *Handler) state() wire.ReplicaState {
	h.stateVersion++
	lasts, unsure := h.rosters.State()
	s := wire.ReplicaState{Process: h.me, Version: h.stateVersion, Partial: h.rosters.Overflowed(), StoredUnder: lasts, IncompleteRosters: unsure}
	for _, f := range h.rosters.Formers(h.now()) {
		s.Formers = append(s.Formers, wire.FormerProcess{Process: f.Process, Until: h.records.Now() + f.Until - h.now(), StoredUnder: f.StoredUnder,
			IncompleteRosters: f.IncompleteRosters})
	}
	return s
}

// storeRecord queues an entry for a record that is kept. Called under mu.
func (h *Handler) storeRecord(r *wire.Record) { h.storeEntry(wire.StoredRecord, r) }

// storeDrop queues an entry for a record that is no longer kept. Called under mu.
func (h *Handler) storeDrop(r *wire.Record) { h.storeEntry(wire.StoredDrop, r) }

func (h *Handler) storeEntry(kind wire.StoredKind, r *wire.Record) {
	if h.records == nil {
		return
	}
	record := *r
	record.Attempts = slices.Clone(r.Attempts)
	h.pendingEntries = append(h.pendingEntries, wire.Stored{Kind: kind, Record: &record})
}

// storeLocally puts a record into the table, and queues it for the disk if the table accepts it. Called under mu.
func (h *Handler) storeLocally(now time.Duration, r *wire.Record) (wire.Code, *wire.Record) {
	code, stored := h.table.Put(now, r)
	if code == wire.Yes {
		h.storeRecord(r)
	}
	return code, stored
}

// mergeRecord adds a record that another keeper has. Called under mu.
func (h *Handler) mergeRecord(now time.Duration, r *wire.Record) bool {
	merged := h.table.Merge(now, r)
	if merged {
		h.storeRecord(r)
	}
	return merged
}

// dropLocally removes a record. Called under mu.
func (h *Handler) dropLocally(now time.Duration, r *wire.Record) {
	h.table.Drop(now, r)
	h.storeDrop(r)
}

// afterWrite has do called, without mu, once all entries queued so far in this critical section are written, or with the error if
// they are not; at once if there are none. Called under mu.
func (h *Handler) afterWrite(do func(err error)) { h.afterWrites = append(h.afterWrites, do) }

// flush hands the queued entries to the log, after the state if that has changed. The order of calls is the order on disk. It does
// not block. Called under mu.
func (h *Handler) flush() ledger.Commit {
	if h.records == nil || h.net == nil {
		return nil
	}
	if changes := h.rosters.Changes(); h.stateStale || changes != h.storedChanges {
		h.stateStale, h.storedChanges = false, changes
		state := h.state()
		h.pendingEntries = slices.Insert(h.pendingEntries, 0, wire.Stored{Kind: wire.StoredState, State: &state})
	}
	if len(h.pendingEntries) == 0 {
		return nil
	}
	entries := h.pendingEntries
	h.pendingEntries = nil
	return h.records.Append(entries)
}

// awaitCommit waits for a write and then calls then.
func (h *Handler) awaitCommit(commit ledger.Commit, then func(err error)) {
	err := commit.Wait()
	if err != nil {
		h.mu.Lock()
		h.stateStale = true // the state may be among the entries that were not written
		logNow := time.Since(h.failureLoggedAt) >= time.Minute
		if logNow {
			h.failureLoggedAt = time.Now()
		}
		h.mu.Unlock()
		if logNow {
			h.log.Error("records of jobs' owners cannot be written: no new ones are accepted", "err", err)
		}
	}
	then(err)
}

// trim removes entries that are too old for any of them to count. Called under mu.
func (h *Handler) trim(now time.Duration) {
	if h.records == nil || now < h.nextTrim {
		return
	}
	life := h.ledgerRecordLife()
	h.nextTrim = now + life/4
	h.records.Trim(2*life, h.state(), h.log)
}

// formersMessage returns a message that lists the former processes that this one answers for; nil: there are none. Called under mu.
func (h *Handler) formersMessage() []byte {
	formers := h.rosters.Formers(h.now())
	if len(formers) == 0 {
		return nil
	}
	m := wire.Message{Kind: wire.Formers, From: h.me}
	for _, f := range formers {
		m.Formers = append(m.Formers, f.Process)
	}
	return m.Append()
}

// answerForFormers answers a member's question on behalf of former processes, with the same records. Called under mu.
func (h *Handler) answerForFormers(m *wire.Message, parts []wire.Message) {
	for _, f := range h.rosters.Formers(h.now()) {
		for i := range parts {
			part := parts[i]
			part.From, part.Code, part.StoredUnder, part.IncompleteRosters = f.Process, 0, nil, nil
			if i == 0 {
				part.Code, part.StoredUnder, part.IncompleteRosters = wire.InProgress, f.StoredUnder, f.IncompleteRosters
			}
			h.sendMessage(m.From.Name, &part)
		}
	}
}
