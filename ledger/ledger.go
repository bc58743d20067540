// Package ledger is the store under durable jobs.
package ledger

import (
	"errors"
	"log/slog"
)

// Commit is the way to the disk of what one call of Append was given.
type Commit interface {
	// Wait blocks until all of it, and all that was appended before it, is on disk as the sync mode promises, or the write
	// has failed. It may be called by many, and again.
	Wait() error
	// Done is closed when Wait would not block.
	Done() <-chan struct{}
}

// Options say how a ledger is opened.
type Options struct {
	Dir      string
	Sync     string // batch, each or none
	MaxBytes int64
	Log      *slog.Logger
}

// Damage is a record that was there and cannot be read.
type Damage struct {
	Segment string
	Offset  int64
	Bytes   int64
	Why     string
}

// Store is a ledger.
type Store struct{}

// Open opens a ledger.
func Open(Options) (*Store, error) { return nil, errors.New("not there yet") }

// Replay reads it.
func (s *Store) Replay(func([]byte) error, func(Damage)) error { return nil }

// Append appends.
func (s *Store) Append(seq uint64, records ...[]byte) Commit { return nil }

// Trim drops.
func (s *Store) Trim(oldest uint64, mark []byte) error { return nil }

// Size tells.
func (s *Store) Size() int64 { return 0 }

// Close closes.
func (s *Store) Close() error { return nil }
