package ledger

import (
	"errors"
	"fmt"
	"io"
	"os"
)

// Report is the result of Read, apart from the records.
type Report struct {
	InUse    bool   // a process has the folder locked; records written during Read may or may not be included
	Process  string // the id of that process
	Segments int
	Records  int
	Torn     int   // torn writes; a folder in use may end with some
	Bytes    int64 // of the segments on disk
}

// Read reads the ledger in a folder as Replay does, for tools. It takes no lock, so it also reads a folder in use, and
// changes nothing. damaged may be nil.
func Read(dir string, each func(seq uint64, record []byte) error, damaged func(Damage)) (Report, error) {
	var r Report
	d := osFolder(dir)
	if st, err := os.Stat(dir); err != nil {
		return r, fmt.Errorf("ledger: %w", err)
	} else if !st.IsDir() {
		return r, fmt.Errorf("ledger: %s is no folder", dir)
	}
	r.Process, r.InUse = d.holder()
	all, err := openSegments(d)
	if err != nil {
		return r, withPrefix(err)
	}
	defer closeAll(all)
	if len(all) == 0 && !r.InUse {
		if _, err := os.Stat(d.path(lockName)); err != nil {
			return r, fmt.Errorf("ledger: %s holds no ledger", dir)
		}
	}
	for _, f := range all {
		r.Segments++
		r.Bytes += f.size
	}
	w, err := walkSegments(all, false, func(_ Position, seq uint64, record []byte) error { return each(seq, record) }, damaged)
	r.Records, r.Torn = w.records, w.torn
	return r, err
}

// Snapshot copies the ledger into the folder dst, which must be empty or not exist, while the ledger is in use. The copy
// holds all records committed before the call. It is on disk when Snapshot returns, and can be opened and read like the
// ledger itself. No segment is removed meanwhile.
func (s *Store) Snapshot(dst string) error {
	if err := os.Mkdir(dst, 0o700); err != nil && !errors.Is(err, os.ErrExist) {
		return withPrefix(err)
	}
	if names, err := os.ReadDir(dst); err != nil {
		return withPrefix(err)
	} else if len(names) > 0 {
		return fmt.Errorf("ledger: %s is not empty", dst)
	}
	if err := s.Append(0).Wait(); err != nil { // so there is a segment being written, and the earlier ones are as Replay has read them
		return err
	}
	s.mu.Lock()
	s.activeSnapshots++
	list := make([]segment, len(s.segments))
	for i, g := range s.segments {
		list[i] = *g
	}
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.activeSnapshots--
		s.mu.Unlock()
	}()
	to := osFolder(dst)
	copied := 0
	for i := range list {
		err := s.copySegment(to, &list[i], i == len(list)-1)
		if notExist(err) && copied == 0 {
			continue // it was being removed
		}
		if err != nil {
			return withPrefix(err)
		}
		copied++
	}
	return withPrefix(to.Sync())
}

// copySegment copies the valid data of a segment. The copy of the last one ends with a sync marker.
func (s *Store) copySegment(to FS, g *segment, last bool) error {
	from, err := s.fs.Open(segmentName(g.number))
	if err != nil {
		return err
	}
	defer from.Close()
	var end []byte
	if last {
		f := &segmentFile{number: g.number, file: from}
		if err := f.readHeader(); err != nil {
			return err
		}
		end = f.header.appendFrame(nil, g.end, kindSyncMarker, 0, g.end, nil)
	}
	out, err := to.Create(segmentName(g.number), g.end+int64(len(end)))
	if err != nil {
		return err
	}
	defer out.Close()
	b := make([]byte, pageBytes)
	for at := int64(0); at < g.end; {
		n, err := from.ReadAt(b[:min(int64(len(b)), g.end-at)], at)
		if n == 0 {
			if err == nil || err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return err
		}
		if _, err := out.WriteAt(b[:n], at); err != nil {
			return err
		}
		at += int64(n)
	}
	if _, err := out.WriteAt(end, g.end); err != nil {
		return err
	}
	return out.Sync()
}
