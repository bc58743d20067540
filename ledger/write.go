package ledger

import (
	"errors"
	"fmt"
	"io/fs"
	"runtime"
	"time"
)

func notExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// run is the loop of the writer goroutine.
func (s *Store) run() {
	defer close(s.writerEnded)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		// Goroutines whose commits have just ended run first, so that what they append next shares the next write.
		// Otherwise, on one core, they and the writer alternate for a time slice with a single record per write.
		runtime.Gosched()
		g, wait, end := s.nextGroup()
		switch {
		case g != nil:
			s.commit(g)
			continue
		case end:
			s.finishSegment()
			return
		}
		if wait >= 0 {
			timer.Reset(wait)
		} else {
			timer.Stop()
		}
		select {
		case <-s.wake:
		case <-timer.C:
			s.mu.Lock()
			broken, queued := s.writeErr != nil, len(s.queue) > 0
			s.mu.Unlock()
			switch {
			case broken:
				s.heal()
			case !queued:
				s.writeMarker()
			}
		}
	}
}

// nextGroup returns the next group to write. If there is none it returns how long to wait for one (negative: without limit),
// or closing if the ledger is being closed.
func (s *Store) nextGroup() (g *group, wait time.Duration, closing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.queue) == 1 && s.queue[0].lazy && !s.closing && time.Until(s.queue[0].due) > 0:
		return nil, time.Until(s.queue[0].due), false
	case len(s.queue) > 0:
		g = s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.inFlight = g
		return g, 0, false
	case s.closing:
		return nil, 0, true
	case s.writeErr != nil:
		return nil, s.opt.RetryInterval, false
	case s.lastIsOpen && !s.markerWritten && s.opt.MarkerDelay > 0 && s.opt.Sync != SyncNone:
		return nil, s.opt.MarkerDelay, false
	}
	return nil, -1, false
}

// commit writes a group and completes it.
func (s *Store) commit(g *group) {
	err := s.write(g)
	if err != nil && !errors.Is(err, ErrFull) {
		s.fail(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = nil
	s.finish(g, err)
}

// write writes a group to the last segment, or to a new one if the group does not fit.
func (s *Store) write(g *group) error {
	if s.file == nil || s.last.end+g.bytes+frameHeadBytes > s.fileSize {
		if err := s.startSegment(g.useReserve || s.file == nil); err != nil {
			return err
		}
	}
	if len(g.records) == 0 && !g.forceSync {
		return nil
	}
	last := s.last
	b, at, top := s.buf[:0], last.end, last.maxSeq
	s.offsets = s.offsets[:0]
	for i := range g.records {
		r := &g.records[i]
		s.offsets = append(s.offsets, at+int64(len(b)))
		b = s.header.appendFrame(b, at+int64(len(b)), kindRecord, r.seq, last.synced, r.data)
		top = max(top, r.seq)
	}
	if err := s.writeFrames(b, g.forceSync || s.opt.Sync != SyncNone); err != nil {
		return err
	}
	if s.buf = b; cap(b) > maxGroupBytes {
		s.buf = nil
	}
	s.markerWritten = false
	s.mu.Lock()
	last.maxSeq = top
	s.mu.Unlock()
	s.reportWritten(last.number, g.records)
	return nil
}

// reportWritten reports records that are on disk at s.offsets of a segment.
func (s *Store) reportWritten(segment uint64, records []record) {
	if s.opt.Written == nil {
		return
	}
	for i := range records {
		s.opt.Written(Position{segment, s.offsets[i]}, records[i].data)
	}
}

// writeFrames writes frames at the end of the last segment and, if sync is set, syncs the file. If it fails, none of the frames
// are valid.
func (s *Store) writeFrames(b []byte, sync bool) error {
	last := s.last
	s.hasInvalidTail = true
	if len(b) > 0 {
		if n, err := s.file.WriteAt(b, last.end); err != nil || n < len(b) {
			s.hasInvalidTail = n > 0 // if no byte was written, there is nothing to remove
			return fmt.Errorf("%d of %d bytes written: %w", n, len(b), err)
		}
	}
	if sync {
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	if err := s.file.CheckLinked(); err != nil {
		return err
	}
	s.hasInvalidTail = false
	s.mu.Lock()
	defer s.mu.Unlock()
	last.end += int64(len(b))
	s.stats.Bytes += uint64(len(b))
	if sync {
		last.synced = last.end
		s.stats.Syncs++
	}
	return nil
}

// startSegment creates the next segment and directs writes to it. The file has a temporary name until it is complete, so that
// no incomplete segment is ever read. useReserve allows the use of the reserved space.
func (s *Store) startSegment(useReserve bool) (err error) {
	s.mu.Lock()
	used := s.usedBytes()
	var prev *segment
	if n := len(s.segments); n > 0 {
		prev = s.segments[n-1]
	}
	s.mu.Unlock()
	if !useReserve && used+2*s.segmentBytes > s.opt.MaxBytes {
		return ErrFull
	}
	if err := s.lock.Check(); err != nil {
		return err
	}
	if s.syncPrevious {
		if err := s.syncSegments(); err != nil {
			return err
		}
	}
	head := header{number: s.nextNumber, salt: newSalt()}
	if prev != nil {
		head.prevEnd, head.prevSynced = prev.end, prev.synced
	}
	next := &segment{number: head.number}
	b := make([]byte, firstFrameOffset, firstFrameOffset+frameHeadBytes)
	head.encode(b)
	s.offsets = s.offsets[:0]
	for _, r := range s.unsyncedTail {
		s.offsets = append(s.offsets, int64(len(b)))
		b = head.appendFrame(b, int64(len(b)), kindRecord, r.seq, firstFrameOffset, r.data)
		next.maxSeq = max(next.maxSeq, r.seq)
	}
	next.end, next.synced = int64(len(b)), int64(len(b))
	size := max(s.segmentBytes, next.end+s.segmentBytes/2)
	name := segmentName(head.number)
	f, err := s.fs.Create(name+tempSuffix, size)
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if n, err := f.WriteAt(b, 0); err != nil || n < len(b) {
		return fmt.Errorf("%d of %d bytes written: %w", n, len(b), err)
	}
	if err := f.Sync(); err != nil {
		return err
	}
	if err := s.fs.Rename(name+tempSuffix, name); err != nil {
		return err
	}
	if err := s.fs.Sync(); err != nil {
		return err
	}
	s.reportWritten(next.number, s.unsyncedTail)
	// The preallocated space that the previous segment did not use is released. If that fails, the space stays allocated.
	if s.file != nil {
		s.file.Truncate(prev.end)
		s.file.Close()
	} else if prev != nil {
		if old, err := s.fs.Open(segmentName(prev.number)); err == nil {
			old.Truncate(prev.end)
			old.Close()
		}
	}
	s.file, s.last, s.header, s.fileSize, s.hasInvalidTail, s.markerWritten, s.unsyncedTail = f, next, head, size, false, true, nil
	s.nextNumber++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments, next)
	s.lastIsOpen = true
	s.stats.Syncs++
	s.stats.Bytes += uint64(len(b))
	return nil
}

// syncSegments makes sure that what Replay has read is on disk: the last writes and changes of the folder by a process that
// was killed may be in the page cache only. The unsynced records of the last segment are written again into the next
// one; the other segments may have been written by a process in a mode without syncs, and are synced here.
func (s *Store) syncSegments() error {
	if err := s.fs.Sync(); err != nil {
		return err
	}
	s.mu.Lock()
	var unsynced []*segment
	for i, g := range s.segments {
		if s.opt.Sync != SyncNone && g.synced < g.end && !(s.lastIsOpen && i == len(s.segments)-1) {
			unsynced = append(unsynced, g)
		}
	}
	s.mu.Unlock()
	for _, g := range unsynced {
		f, err := s.fs.Open(segmentName(g.number))
		if err != nil {
			if notExist(err) {
				continue
			}
			return err
		}
		err = f.Sync()
		f.Close()
		if err != nil {
			return err
		}
	}
	s.syncPrevious = false
	return nil
}

// fail completes the group that could not be written, and all groups after it, with the error. No records are accepted
// from then on until heal succeeds.
func (s *Store) fail(err error) {
	err = withPrefix(err)
	s.truncateInvalid()
	if now := time.Now(); now.Sub(s.lastLogged) >= logInterval {
		s.lastLogged, s.failureLogged = now, true
		s.log.Error("the ledger cannot be written; trying again", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = err
	s.stats.WriteFailures++
	if s.inFlight != nil {
		if s.hasInvalidTail && len(s.inFlight.records) > 0 {
			s.finish(s.inFlight, fmt.Errorf("%w: %w", ErrUncertain, err))
		} else {
			s.finish(s.inFlight, err)
		}
	}
	for _, g := range s.queue {
		s.finish(g, err)
	}
	s.inFlight, s.queue = nil, nil
}

// truncateInvalid truncates the last segment after its valid data, to remove a failed write. If that fails, the header of the next
// segment records where the valid data ends.
func (s *Store) truncateInvalid() {
	if s.file == nil || !s.hasInvalidTail {
		return
	}
	if s.file.Truncate(s.last.end) == nil && s.file.Sync() == nil {
		s.hasInvalidTail = false
	}
}

// heal tries to resume writing after a failure, in a new segment.
func (s *Store) heal() {
	s.truncateInvalid()
	if err := s.startSegment(true); err != nil {
		s.mu.Lock()
		s.writeErr = withPrefix(err)
		s.stats.WriteFailures++
		s.mu.Unlock()
		return
	}
	if s.failureLogged {
		s.failureLogged = false
		s.log.Info("the ledger can be written again")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeErr = nil
	s.stats.Recovered++
}

// writeMarker writes a sync marker after some idle time. It records that all data before it is on disk: if a later process
// cannot read some of that data, it is damaged.
func (s *Store) writeMarker() {
	last := s.last
	if s.markerWritten || last.synced < last.end || last.end+2*frameHeadBytes > s.fileSize {
		s.markerWritten = true
		return
	}
	err := s.writeFrames(s.header.appendFrame(s.buf[:0], last.end, kindSyncMarker, 0, last.synced, nil), false)
	if err != nil {
		s.fail(err)
		return
	}
	s.markerWritten = true
}

// finishSegment syncs the last segment, ends it with a sync marker and closes its file.
func (s *Store) finishSegment() {
	s.mu.Lock()
	broken := s.writeErr != nil
	s.mu.Unlock()
	if s.file == nil {
		return
	}
	defer s.file.Close()
	if broken {
		s.truncateInvalid()
		return
	}
	last := s.last
	var err error
	if last.synced < last.end {
		err = s.writeFrames(nil, true)
	}
	if err == nil {
		err = s.writeFrames(s.header.appendFrame(s.buf[:0], last.end, kindSyncMarker, 0, last.synced, nil), true)
	}
	if err != nil {
		s.truncateInvalid()
		s.mu.Lock()
		s.writeErr = withPrefix(err)
		s.mu.Unlock()
		return
	}
	s.file.Truncate(last.end)
}
