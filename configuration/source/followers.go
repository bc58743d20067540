package source

import (
	"context"
	"fmt"
	"sync"
	"time"

	"laddertide/configuration/stream"
	wire "laddertide/wire/configuration"
)

// followerStream is the connection of a follower.
type followerStream struct {
	source *Source
	conn   *stream.Conn
	hello  *wire.Hello

	mu       sync.Mutex
	report   wire.Report   // the last one received
	reported chan struct{} // capacity 1: signals a new report
}

// serveFollower pushes the newest version to a follower, and receives its reports, until the connection ends. A follower is sent the
// next version only after it has reported on the previous one, so a slow follower skips versions and does not delay others.
func (s *Source) serveFollower(ctx context.Context, c *stream.Conn, hello *wire.Hello) error {
	f := &followerStream{source: s, conn: c, hello: hello, reported: make(chan struct{}, 1)}
	if err := f.enqueueReport(&wire.Report{Version: hello.Version, Digest: hello.Digest}); err != nil {
		return err
	}
	read := make(chan error, 1)
	s.background.Go(func() { read <- f.readLoop() })
	err := f.writeLoop(ctx, read)
	c.Close()
	return err
}

// enqueueReport queues a report for the loop, and keeps it for the writer.
func (f *followerStream) enqueueReport(r *wire.Report) error {
	if !f.source.enqueue(wire.MaxReason, maxQueue/2, func() { f.source.node.report(f.hello, r, time.Now()) }) {
		return fmt.Errorf("configuration: the queue is full: dropped a report of follower %s", f.hello.Name)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report = *r
	return nil
}

// knownVersion returns the newest version that the follower has or has refused.
func (f *followerStream) knownVersion() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(f.report.Version, f.report.Refused)
}

// readLoop receives reports and heartbeats until the connection ends.
func (f *followerStream) readLoop() error {
	for {
		m, err := f.conn.Read(maxMissedBeats*f.source.cfg.Heartbeat, wire.MaxSmall)
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *wire.Report:
			if err := f.handleReport(m); err != nil {
				return err
			}
		case *wire.Beat:
			f.source.enqueue(0, maxQueue/2, func() { f.source.node.table.Heard(f.hello.Name, f.hello.Start, time.Now()) })
		default:
			return fmt.Errorf("configuration: follower %s sends %T", f.hello.Name, m)
		}
	}
}

// handleReport handles a report, after which the follower may be sent the next version.
func (f *followerStream) handleReport(r *wire.Report) error {
	if r.Refused > 0 {
		f.source.log.Warn("a follower refuses a version", "follower", f.hello.Name, "version", r.Refused, "why", r.Reason)
	}
	if err := f.enqueueReport(r); err != nil {
		return err
	}
	select {
	case f.reported <- struct{}{}:
	default:
	}
	return nil
}

// writeLoop pushes versions and sends heartbeats.
func (f *followerStream) writeLoop(ctx context.Context, read <-chan error) error {
	beat := time.NewTicker(f.source.cfg.Heartbeat)
	defer beat.Stop()
	pushed, waiting := uint64(0), false // the last version pushed, and whether its report is outstanding
	for {
		newest, changed := f.source.latest.get()
		if !waiting && newest.Version > max(pushed, f.knownVersion()) {
			if err := f.conn.Write(newest); err != nil {
				return err
			}
			pushed, waiting = newest.Version, true
		}
		select {
		case <-ctx.Done():
			return nil
		case err := <-read:
			return err
		case <-changed:
		case <-f.reported:
			waiting = false
		case <-beat.C:
			if err := f.conn.Write(&wire.Beat{Newest: newest.Version, QuorumAge: f.source.quorumAge()}); err != nil {
				return err
			}
		}
	}
}
