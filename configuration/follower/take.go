package follower

import (
	"errors"
	"fmt"
	"time"

	core "laddertide/core/configuration"
	wire "laddertide/wire/configuration"
)

// handlePush handles a pushed version: it has the document checked, saved and put in force. An error ends the connection; the document is
// pushed again over the next one.
func (f *Follower) handlePush(m *wire.Push) error {
	f.mu.Lock()
	decision, err := f.state.machine.Offer(m)
	version := f.state.inForce.Version
	f.mu.Unlock()
	switch {
	case errors.Is(err, core.ErrOlder): // the source has not caught up, or its cluster was restored from an older state
		f.cfg.Log.Warn("an older version of the configuration is ignored", "pushed", m.Version, "version", version)
		return nil
	case err != nil:
		f.logContradiction(err)
		return err
	case decision == core.Ignore:
		return nil
	}
	d := Document{Version: m.Version, Digest: m.Digest, AcceptedAt: time.UnixMilli(m.AcceptedAt), Body: m.Document}
	if err := f.cfg.Check(d); err != nil {
		f.noteRefused(m, err)
		return nil
	}
	if err := f.save(d); err != nil {
		return err
	}
	if err := f.cfg.Apply(d); err != nil {
		f.noteRefused(m, err)
		return f.restoreInForce()
	}
	f.noteApplied(m, d)
	return nil
}

// logContradiction logs a push that contradicts its digest or an earlier version, unless the previous such push had the same error.
func (f *Follower) logContradiction(err error) {
	f.mu.Lock()
	logged := f.state.contradiction == err.Error()
	f.state.contradiction = err.Error()
	address, version := f.state.address, f.state.inForce.Version
	f.mu.Unlock()
	if !logged {
		f.cfg.Log.Error("a pushed configuration contradicts its digest or an earlier version", "source", address, "version", version, "err", err)
	}
}

// save saves a document to disk. It logs the first of several failures in a row.
func (f *Follower) save(d Document) error {
	err := f.store.save(d)
	f.mu.Lock()
	version, failedBefore := f.state.inForce.Version, f.state.saveError != ""
	f.state.saveError = ""
	if err != nil {
		f.state.saveError = err.Error()
	}
	f.mu.Unlock()
	if err == nil {
		return nil
	}
	if !failedBefore {
		f.cfg.Log.Error("the configuration cannot be kept on disk: what is in force stays", "pushed", d.Version, "version", version, "err", err)
	}
	return fmt.Errorf("version %d cannot be kept: %w", d.Version, err)
}

// restoreInForce saves the version in force again, after a newer document was saved but could not be put in force.
func (f *Follower) restoreInForce() error {
	f.mu.Lock()
	inForce := f.state.inForce
	f.mu.Unlock()
	return f.store.save(inForce)
}

// noteApplied records that a version is in force.
func (f *Follower) noteApplied(m *wire.Push, d Document) {
	f.mu.Lock()
	f.state.machine.Applied(m)
	f.state.inForce = d
	f.state.newest = max(f.state.newest, d.Version)
	f.mu.Unlock()
	f.signalFirst()
}

// noteRefused records that a version cannot be put in force here. Later versions are still tried.
func (f *Follower) noteRefused(m *wire.Push, reason error) {
	f.mu.Lock()
	f.state.machine.Refused(m, reason.Error())
	version := f.state.inForce.Version
	f.mu.Unlock()
	f.cfg.Log.Error("a version of the configuration is refused: what is in force stays", "refused", m.Version, "version", version, "err", reason)
}

// report returns the report for the source: the version in force, and the one that was refused.
func (f *Follower) report() *wire.Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	report := f.state.machine.Report()
	return &report
}

func pushOf(d *Document) *wire.Push {
	return &wire.Push{Version: d.Version, Digest: d.Digest, AcceptedAt: d.AcceptedAt.UnixMilli(), Document: d.Body}
}
