package durable

import "laddertide/core/leases"

// Counts returns counters of the ledger's jobs.
func (h *Handler) Counts() leases.Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.table.Counts()
}

// Usage is how much of its bounds a Handler uses.
type Usage struct {
	Open, Kept  int
	RecordBytes int64  // of durable.keep_mb: what stays in memory of ended jobs for durable.keep_s
	DiskBytes   int64  // of durable.max_mb
	Refused     uint64 // new jobs not taken for want of room, since the start
}

// Usage returns how much of its bounds the Handler uses.
func (h *Handler) Usage() Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.table.Counts()
	return Usage{Open: c.Open, Kept: c.Kept, RecordBytes: c.RecordBytes, DiskBytes: h.store.Size(), Refused: h.refused}
}
