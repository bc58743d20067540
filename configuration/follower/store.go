package follower

import (
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"laddertide/snapshot"
	"laddertide/wire/binarycodec"
	wire "laddertide/wire/configuration"
	disk "laddertide/wire/snapshot"
)

// Document is one complete version of the configuration.
type Document struct {
	Version    uint64 // 0: none
	Digest     wire.Digest
	AcceptedAt time.Time // by the clock of the leader that accepted it
	Body       []byte
}

// Contents describes what a folder contains.
type Contents struct {
	Document Document
	// Damage describes what is wrong with the folder's files; nil: nothing. A Document returned with it may be older than the last
	// one that was saved.
	Damage error
}

const (
	partName = "configuration" // name of the part of the state on disk that holds the document

	// maxFileBytes limits the size of one generation on disk: a document of the maximum size and the framing around it.
	maxFileBytes = wire.MaxDocument + 4<<10

	// rewriteInterval is how often the snapshot store would rewrite an unchanged document. A saved document stays on disk, so the
	// interval is long enough that this never happens.
	rewriteInterval = 100 * 365 * 24 * time.Hour

	// saveTimeout limits how long the disk may take to save a document. The two writes with their syncs take milliseconds; a save that
	// takes longer than this counts as failed, and the document is pushed again.
	saveTimeout = time.Second
)

var errForeign = errors.New("the folder holds what another scheduler or cluster has kept")

// store keeps the newest document on disk, whole or not at all. Its methods must be called from one goroutine.
type store struct {
	snapshots *snapshot.Store

	mu       sync.Mutex
	document Document // the document that the next save writes
}

// openStore locks a folder and reads its contents.
func openStore(set *Settings, name string, log *slog.Logger) (*store, Contents, error) {
	options := snapshot.Options{Dir: set.Dir, Cluster: set.Cluster, Name: name, MaxBytes: maxFileBytes,
		Log: log.With("of", partName), FS: set.FS}
	snapshots, found, err := snapshot.Open(options)
	if err != nil {
		return nil, Contents{}, fmt.Errorf("configuration: %w", err)
	}
	out := checkContents(found, set.Cluster, name)
	s := &store{snapshots: snapshots, document: out.Document}
	snapshots.Start(rewriteInterval, s.encodeState)
	return s, out, nil
}

// encodeState returns the state that the snapshot store writes to disk.
func (s *store) encodeState() disk.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return disk.State{Parts: []disk.Part{{Name: partName, Data: appendDocument(&s.document)}}}
}

// save writes a document to disk. After an error the disk may hold it or the previous one.
func (s *store) save(d Document) error {
	s.mu.Lock()
	previous := s.document
	s.document = d
	s.mu.Unlock()
	err := s.snapshots.Save(time.Now().Add(saveTimeout))
	if err != nil {
		s.mu.Lock()
		s.document = previous
		s.mu.Unlock()
	}
	return err
}

func (s *store) close() error { return s.snapshots.Close(time.Now().Add(saveTimeout)) }

// Inspect reads the contents of a folder without locking it, also while another process writes there.
func Inspect(set *Settings, name string) Contents {
	found, err := snapshot.Inspect(set.Dir)
	if err != nil {
		return Contents{Damage: err}
	}
	return checkContents(found, set.Cluster, name)
}

func checkContents(found snapshot.Contents, cluster, name string) Contents {
	contents := Contents{}
	for _, flaw := range found.FileErrors {
		contents.Damage = errors.Join(contents.Damage, errors.New(flaw.String()))
	}
	if found.State == nil {
		return contents
	}
	if found.State.Cluster != cluster || found.State.Name != name {
		contents.Damage = errors.Join(contents.Damage, errForeign)
		return contents
	}
	document, err := readDocument(found.State.Part(partName))
	if err != nil {
		contents.Damage = errors.Join(contents.Damage, err)
		return contents
	}
	contents.Document = document
	return contents
}

func appendDocument(d *Document) []byte {
	w := binarycodec.Codec{}
	codeDocument(&w, d)
	return w.Bytes
}

func readDocument(b []byte) (d Document, err error) {
	w := binarycodec.Codec{Bytes: b, Reading: true}
	codeDocument(&w, &d)
	if w.Err == nil && wire.DigestOf(d.Body) != d.Digest {
		w.Fail("does not match its digest")
	}
	if w.Err != nil {
		return Document{}, fmt.Errorf("the document on disk %w", w.Err)
	}
	return d, nil
}

func codeDocument(w *binarycodec.Codec, d *Document) {
	accepted := d.AcceptedAt.UnixMilli()
	digest := d.Digest[:]
	binarycodec.Integers(w, &d.Version)
	binarycodec.Integers(w, &accepted)
	w.Data(&digest)
	w.Data(&d.Body)
	if w.Reading {
		copy(d.Digest[:], digest)
		d.AcceptedAt = time.UnixMilli(accepted)
	}
}
