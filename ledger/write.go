package ledger

import (
	"errors"
	"fmt"
	"io/fs"
	"runtime"
	"time"
)

func missing(err error) bool { return errors.Is(err, fs.ErrNotExist) }

// run is the writer.
func (s *Store) run() {
	defer close(s.gone)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		// Those who have just been told go on first: what they append shares the next write. Otherwise, on one core, a
		// record goes to and fro between them and the writer for a time slice.
		runtime.Gosched()
		g, wait, end := s.take()
		switch {
		case g != nil:
			s.commit(g)
			continue
		case end:
			s.end()
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
			broken, queued := s.broken != nil, len(s.queue) > 0
			s.mu.Unlock()
			switch {
			case broken:
				s.heal()
			case !queued:
				s.note()
			}
		}
	}
}

// take gives the next group to be written. If there is none it tells how long to wait for one, negative for ever, or
// that it is the end.
func (s *Store) take() (g *group, wait time.Duration, end bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.queue) == 1 && s.queue[0].lazy && !s.closing && time.Until(s.queue[0].due) > 0:
		return nil, time.Until(s.queue[0].due), false
	case len(s.queue) > 0:
		g = s.queue[0]
		s.queue[0] = nil
		s.queue = s.queue[1:]
		s.flight = g
		return g, 0, false
	case s.closing:
		return nil, 0, true
	case s.broken != nil:
		return nil, s.opt.Retry, false
	case s.current && !s.noted && s.opt.Idle > 0 && s.opt.Sync != None:
		return nil, s.opt.Idle, false
	}
	return nil, -1, false
}

// commit writes a group and ends it.
func (s *Store) commit(g *group) {
	err := s.write(g)
	if err != nil && !errors.Is(err, ErrFull) {
		s.fail(err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flight = nil
	s.finish(g, err)
}

// write puts a group into the last segment, or into a new one if it has no room.
func (s *Store) write(g *group) error {
	if s.file == nil || s.last.end+g.bytes+frameHead > s.size {
		if err := s.begin(g.makes || s.file == nil); err != nil {
			return err
		}
	}
	if len(g.records) == 0 && !g.sync {
		return nil
	}
	last := s.last
	b, at, top := s.buf[:0], last.end, last.maxSeq
	for i := range g.records {
		r := &g.records[i]
		b = s.head.appendFrame(b, at+int64(len(b)), kindRecord, r.seq, last.synced, r.data)
		top = max(top, r.seq)
	}
	if err := s.put(b, g.sync || s.opt.Sync != None); err != nil {
		return err
	}
	if s.buf = b; cap(b) > mostTogether {
		s.buf = nil
	}
	s.noted = false
	s.mu.Lock()
	last.maxSeq = top
	s.mu.Unlock()
	return nil
}

// put writes frames at the end of the last segment, and syncs them if asked to. If it fails nothing of them counts.
func (s *Store) put(b []byte, sync bool) error {
	last := s.last
	s.bad = true
	if len(b) > 0 {
		if n, err := s.file.WriteAt(b, last.end); err != nil || n < len(b) {
			s.bad = n > 0 // of none there is nothing to be removed
			return fmt.Errorf("%d of %d bytes written: %w", n, len(b), err)
		}
	}
	if sync {
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	if err := s.file.Linked(); err != nil {
		return err
	}
	s.bad = false
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

// begin makes the next segment the one that is written: first under another name, so that no segment is seen that is
// not whole. makes tells that it may use the space that is kept free.
func (s *Store) begin(makes bool) (err error) {
	s.mu.Lock()
	used := s.used()
	var prev *segment
	if n := len(s.segments); n > 0 {
		prev = s.segments[n-1]
	}
	s.mu.Unlock()
	if !makes && used+2*s.bytes > s.opt.MaxBytes {
		return ErrFull
	}
	if err := s.lock.Check(); err != nil {
		return err
	}
	if s.unsure {
		if err := s.settle(); err != nil {
			return err
		}
	}
	head := header{number: s.next, salt: salt()}
	if prev != nil {
		head.prevEnd, head.prevSynced = prev.end, prev.synced
	}
	now := &segment{number: head.number}
	b := make([]byte, firstFrame, firstFrame+frameHead)
	head.put(b)
	for _, r := range s.tail {
		b = head.appendFrame(b, int64(len(b)), kindRecord, r.seq, firstFrame, r.data)
		now.maxSeq = max(now.maxSeq, r.seq)
	}
	now.end, now.synced = int64(len(b)), int64(len(b))
	size := max(s.bytes, now.end+s.bytes/2)
	name := segmentName(head.number)
	f, err := s.fs.Create(name+madeSuffix, size)
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
	if err := s.fs.Rename(name+madeSuffix, name); err != nil {
		return err
	}
	if err := s.fs.Sync(); err != nil {
		return err
	}
	// What the one before does not need any more goes back to the system. If that fails, it stays.
	if s.file != nil {
		s.file.Truncate(prev.end)
		s.file.Close()
	} else if prev != nil {
		if old, err := s.fs.Open(segmentName(prev.number)); err == nil {
			old.Truncate(prev.end)
			old.Close()
		}
	}
	s.file, s.last, s.head, s.size, s.bad, s.noted, s.tail = f, now, head, size, false, true, nil
	s.next++
	s.mu.Lock()
	defer s.mu.Unlock()
	s.segments = append(s.segments, now)
	s.current = true
	s.stats.Syncs++
	s.stats.Bytes += uint64(len(b))
	return nil
}

// settle makes sure that what Replay read is on disk: a process that was killed has left its last writes to the system,
// in the folder too. Of the last segment all that was not on disk is written once more; the others may be those of a
// process that did not sync.
func (s *Store) settle() error {
	if err := s.fs.Sync(); err != nil {
		return err
	}
	s.mu.Lock()
	var open []*segment
	for i, g := range s.segments {
		if s.opt.Sync != None && g.synced < g.end && !(s.current && i == len(s.segments)-1) {
			open = append(open, g)
		}
	}
	s.mu.Unlock()
	for _, g := range open {
		f, err := s.fs.Open(segmentName(g.number))
		if err != nil {
			if missing(err) {
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
	s.unsure = false
	return nil
}

// fail ends the group that could not be written, and all behind it, and lets nothing more come until heal.
func (s *Store) fail(err error) {
	err = told(err)
	s.void()
	if now := time.Now(); now.Sub(s.logged) >= logEvery {
		s.logged, s.told = now, true
		s.log.Error("the ledger cannot be written; trying again", "err", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = err
	s.stats.Failures++
	if s.flight != nil {
		if s.bad && len(s.flight.records) > 0 {
			s.finish(s.flight, fmt.Errorf("%w: %w", ErrUncertain, err))
		} else {
			s.finish(s.flight, err)
		}
	}
	for _, g := range s.queue {
		s.finish(g, err)
	}
	s.flight, s.queue = nil, nil
}

// void takes off the last segment what was written and must not count. Where that fails the next segment's header says
// so; see begin.
func (s *Store) void() {
	if s.file == nil || !s.bad {
		return
	}
	if s.file.Truncate(s.last.end) == nil && s.file.Sync() == nil {
		s.bad = false
	}
}

// heal tries to go on after a failure, with a new segment.
func (s *Store) heal() {
	s.void()
	if err := s.begin(true); err != nil {
		s.mu.Lock()
		s.broken = told(err)
		s.stats.Failures++
		s.mu.Unlock()
		return
	}
	if s.told {
		s.told = false
		s.log.Info("the ledger can be written again")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = nil
	s.stats.Healed++
}

// note notes, when nothing is to be done for a while, that all is on disk: what cannot be read after that is damage.
func (s *Store) note() {
	last := s.last
	if s.noted || last.synced < last.end || last.end+2*frameHead > s.size {
		s.noted = true
		return
	}
	err := s.put(s.head.appendFrame(s.buf[:0], last.end, kindNote, 0, last.synced, nil), false)
	if err != nil {
		s.fail(err)
		return
	}
	s.noted = true
}

// end notes at the end that all is on disk.
func (s *Store) end() {
	s.mu.Lock()
	broken := s.broken != nil
	s.mu.Unlock()
	if s.file == nil {
		return
	}
	defer s.file.Close()
	if broken {
		s.void()
		return
	}
	last := s.last
	var err error
	if last.synced < last.end {
		err = s.put(nil, true)
	}
	if err == nil {
		err = s.put(s.head.appendFrame(s.buf[:0], last.end, kindNote, 0, last.synced, nil), true)
	}
	if err != nil {
		s.void()
		s.mu.Lock()
		s.broken = told(err)
		s.mu.Unlock()
		return
	}
	s.file.Truncate(last.end)
}
