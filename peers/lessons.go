package peers

import (
	"time"

	wire "laddertide/wire/peers"
)

// maxFailureReports is the number of failure reports that are remembered, so that each counts once.
const maxFailureReports = 1024

// failureReportKey identifies a failure report: a scheduler's report that jobs sent to a provider fail.
type failureReportKey struct {
	from         string
	start, index uint64
}

// ReportFailure reports to the other schedulers that jobs sent to a provider fail.
func (p *Peers) ReportFailure(provider string) {
	if !p.cfg.Settings.Lessons {
		return
	}
	p.mu.Lock()
	_, start := p.view.Identity()
	p.mu.Unlock()
	// The index is a time: a counter would restart after an upgrade, with the same start number.
	index := uint64(time.Now().UnixNano())
	p.broadcast(wire.Message{Kind: wire.FailureReport, From: p.cfg.Name, Start: uint64(start), Index: index, Provider: provider})
}

// handleFailureReport records a failure report, in place of the oldest one if the table is full, and forwards it if it is new.
func (p *Peers) handleFailureReport(m wire.Message) disposition {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := failureReportKey{from: m.From, start: m.Start, index: m.Index}
	if p.seenFailureReports[key] {
		return disposition{acknowledge: true}
	}
	if len(p.failureReportOrder) >= maxFailureReports {
		delete(p.seenFailureReports, p.failureReportOrder[0])
		p.failureReportOrder = p.failureReportOrder[1:]
	}
	p.seenFailureReports[key] = true
	p.failureReportOrder = append(p.failureReportOrder, key)
	return disposition{acknowledge: true, forward: true}
}
