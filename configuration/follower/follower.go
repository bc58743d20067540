// Package follower keeps a scheduler's configuration up to date with the log that a quorum of sources keeps: it holds one connection
// to one of the sources, receives the versions pushed over it, has each checked, saves it to disk, has it put in force and reports
// the version in force. It owns the connection and the folder. What to do with a push is decided by core/configuration; what a
// document means is up to the callbacks Check and Apply.
//
// # Guarantees
//
// A document is in force whole or not at all, and is on disk before it is in force. A version older than the one in force is never
// put in force, not even by a later process that uses the same folder. While no source can be reached, or the connected source has
// no quorum, the version in force stays, and Report says how old it is.
package follower

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"laddertide/configuration/stream"
	core "laddertide/core/configuration"
	"laddertide/internal/netfault"
	wire "laddertide/wire/configuration"
)

// Config configures a Follower.
type Config struct {
	Settings Settings
	Name     string // of the scheduler
	Seed     uint64 // of the random order of sources and the jitter of retries
	Log      *slog.Logger

	// Check returns an error if a document cannot be put in force; it changes nothing. Apply puts a document in force that has
	// passed Check. Both are called on one goroutine of the follower.
	Check, Apply func(Document) error
}

// Follower receives the configuration from the sources. Its methods may be called from any goroutine.
type Follower struct {
	cfg     Config
	timing  Timing
	store   *store
	seals   *stream.Seals // nil: nothing is encrypted
	startID uint64        // distinguishes this process's connections from those of other processes with the same name

	ctx                  context.Context
	stop                 context.CancelFunc
	startOnce, firstOnce sync.Once
	done                 chan struct{} // closed once run has ended
	firstKnown           chan struct{} // closed once a version is in force, or a quorum is known to have none
	queries              chan struct{} // semaphore: one element for each fleet query in progress

	mu    sync.Mutex
	state state
}

// state is the data for a Report. Guarded by the follower's mutex.
type state struct {
	machine *core.Follower // decides what to do with a push, from the versions in force and refused
	inForce Document       // Version 0: none

	address   string    // of the connected source; empty: none
	member    string    // name of the connected source
	newest    uint64    // the newest version that any source has announced
	contactAt time.Time // last welcome or heartbeat of a source
	quorumAt  time.Time // when the source that sent the last heartbeat had contact with a quorum
	currentAt time.Time // the last time at which the version in force is known to have been a quorum's newest
	problem   string    // why the last connection failed or ended
	saveError string    // why the last document could not be saved; empty: it was

	contradiction string // error of the last push that contradicts its digest or an earlier version, as logged
}

// Open locks the folder for this process and reads its contents, which the caller puts in force. It returns an error if the folder
// cannot be used at all, or is locked by another process.
func Open(cfg Config) (*Follower, Contents, error) {
	seals, err := stream.NewSeals(cfg.Settings.Keys, cfg.Settings.Cluster)
	if err != nil {
		return nil, Contents{}, err
	}
	folder, found, err := openStore(&cfg.Settings, cfg.Name, cfg.Log)
	if err != nil {
		return nil, Contents{}, err
	}
	f := &Follower{cfg: cfg, timing: defaultTiming, store: folder, seals: seals, startID: uint64(time.Now().UnixNano()),
		done: make(chan struct{}), firstKnown: make(chan struct{}), queries: make(chan struct{}, maxQueries)}
	f.state.machine = core.NewFollower(0, wire.Digest{})
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f, found, nil
}

// Start starts following the sources. inForce is the version that is already in force; its Version is 0 if there is none.
func (f *Follower) Start(inForce Document) {
	f.startOnce.Do(func() {
		if inForce.Version > 0 {
			f.mu.Lock()
			f.state.inForce = inForce
			f.state.machine = core.NewFollower(inForce.Version, inForce.Digest)
			f.mu.Unlock()
			f.signalFirst()
		}
		go f.run()
	})
}

// MarkRefused records, before Start, that the document found in the folder cannot be put in force. It remains the newest version that
// this scheduler has had: neither it nor an older one is tried.
func (f *Follower) MarkRefused(found Document, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state.machine.Refused(pushOf(&found), reason)
}

// signalFirst releases the callers that wait for the first version.
func (f *Follower) signalFirst() { f.firstOnce.Do(func() { close(f.firstKnown) }) }

// AwaitFirst waits until a version is in force, or a source with a quorum reports that there is none yet. It returns false if ctx ends
// first.
func (f *Follower) AwaitFirst(ctx context.Context) bool {
	select {
	case <-f.firstKnown:
		return true
	case <-ctx.Done():
		return false
	}
}

// Close closes the connection, waits until no document is being put in force, and unlocks the folder. It must not be called while
// holding a lock that Check or Apply take.
func (f *Follower) Close() error {
	f.stop()
	f.startOnce.Do(func() { close(f.done) })
	<-f.done
	return f.store.close()
}

// run connects to one source after another until Close.
func (f *Follower) run() {
	defer close(f.done)
	random := rand.New(rand.NewPCG(f.cfg.Seed, f.startID))
	sources := shuffled(f.cfg.Settings.Sources, f.cfg.Seed)
	retry := backoff{shortest: f.timing.MinRetry, longest: f.timing.MaxRetry, perRound: len(sources)}
	for turn := 0; f.ctx.Err() == nil; turn++ {
		useful, err := f.follow(sources[turn%len(sources)])
		if f.ctx.Err() != nil {
			return
		}
		if _, stale := errors.AsType[staleError](err); useful || stale { // the source is up, and may have a quorum again at any time
			retry.reset()
		}
		f.noteDisconnected(useful, err)
		select {
		case <-f.ctx.Done():
		case <-time.After(retry.next(random)):
		}
	}
}

// shuffled returns the sources in an order given by the seed, so that followers spread over them.
func shuffled(sources []string, seed uint64) []string {
	order := append([]string(nil), sources...)
	rand.New(rand.NewPCG(seed, uint64(len(sources)))).Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// backoff spaces connection attempts: the first round over all sources at the shortest interval, each further round at twice the
// interval of the previous one, up to the longest.
type backoff struct {
	shortest, longest time.Duration
	perRound          int // attempts per round
	failures          int // attempts since the last useful connection
}

func (b *backoff) reset() { b.failures = 0 }

// next returns how long to wait, drawn from the upper half of the interval.
func (b *backoff) next(random *rand.Rand) time.Duration {
	wait := b.shortest
	for range b.failures / b.perRound {
		wait = min(2*wait, b.longest)
	}
	b.failures++
	return wait/2 + time.Duration(random.Int64N(int64(wait/2)+1))
}

// errSilent reports that no heartbeat of a source arrived in time.
var errSilent = errors.New("its heartbeats have stopped")

// staleError reports that a source has had no contact with a quorum for too long to be useful.
type staleError struct{ age time.Duration }

func (e staleError) Error() string { return fmt.Sprintf("no contact with a quorum for %s", e.age) }

// rejectedError is a source's rejection of this follower.
type rejectedError struct {
	code wire.Code
	text string
}

func (e rejectedError) Error() string { return fmt.Sprintf("rejected: %s: %s", e.code, e.text) }

// connect opens a connection to a source and introduces this scheduler. A source that refuses the connection answers with the reason.
func (f *Follower) connect(address string) (*stream.Conn, *wire.Welcome, error) {
	dialer := net.Dialer{Timeout: f.timing.DialTimeout}
	raw, err := dialer.DialContext(f.ctx, "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	c := stream.New(raw, f.seals, f.timing.WriteTimeout)
	release := context.AfterFunc(f.ctx, func() { c.Close() }) // also while the source does not answer
	defer release()
	report := f.report()
	welcome, err := f.handshake(c, &wire.Hello{Role: wire.RoleFollower, Cluster: f.cfg.Settings.Cluster, Name: f.cfg.Name, Start: f.startID,
		Version: report.Version, Digest: report.Digest})
	if err != nil {
		c.Close()
		return nil, nil, err
	}
	return c, welcome, nil
}

// handshake sends the hello and waits for the answer.
func (f *Follower) handshake(c *stream.Conn, hello *wire.Hello) (*wire.Welcome, error) {
	if err := c.Write(hello); err != nil {
		return nil, err
	}
	m, err := c.Read(f.timing.DialTimeout, wire.MaxSmall) // a working source answers at once
	if err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case *wire.Welcome:
		return m, nil
	case *wire.Rejected:
		return nil, rejectedError{m.Code, m.Text}
	}
	return nil, fmt.Errorf("it answers with %T", m)
}

// follow holds a connection to a source until it ends. useful reports whether a heartbeat of a source with a quorum was received.
func (f *Follower) follow(address string) (useful bool, err error) {
	c, welcome, err := f.connect(address)
	if err != nil {
		return false, err
	}
	defer c.Close()
	f.noteConnected(address, welcome)
	timing := f.timing
	if welcome.Heartbeat > 0 {
		timing = timing.withHeartbeat(time.Duration(welcome.Heartbeat) * time.Millisecond)
	}
	release := context.AfterFunc(f.ctx, func() { c.Close() })
	defer release()
	done := make(chan struct{})
	defer close(done)
	go f.sendHeartbeats(c, timing.HeartbeatInterval, done)
	for {
		m, err := c.Read(timing.SilenceLimit, wire.MaxFrame)
		if err != nil {
			if netfault.DeadlinePassed(err) {
				err = errSilent
			}
			return useful, err
		}
		switch m := m.(type) {
		case *wire.Push:
			if err := f.handlePush(m); err != nil {
				return useful, err
			}
			if err := c.Write(f.report()); err != nil {
				return useful, err
			}
		case *wire.Beat:
			age := time.Duration(m.QuorumAge) * time.Millisecond
			f.noteHeartbeat(m.Newest, age)
			if age > timing.QuorumAgeLimit {
				return useful, staleError{age}
			}
			if !useful {
				f.cfg.Log.Info("following a source of configuration", "source", address, "member", welcome.Name, "newest", m.Newest)
			}
			useful = true
		default:
			return useful, fmt.Errorf("it sends %T out of turn", m)
		}
	}
}

// sendHeartbeats sends heartbeats to a source until done is closed or the connection ends.
func (f *Follower) sendHeartbeats(c *stream.Conn, every time.Duration, done <-chan struct{}) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		version := f.state.inForce.Version
		f.mu.Unlock()
		if c.Write(&wire.Beat{Newest: version}) != nil {
			c.Close() // ends the reader
			return
		}
	}
}

// noteConnected records which source is connected.
func (f *Follower) noteConnected(address string, welcome *wire.Welcome) {
	f.mu.Lock()
	st := &f.state
	st.address, st.member, st.problem = address, welcome.Name, ""
	st.newest = max(st.newest, welcome.Newest)
	st.contactAt = time.Now()
	f.mu.Unlock()
}

// noteHeartbeat records a source's heartbeat.
func (f *Follower) noteHeartbeat(newest uint64, quorumAge time.Duration) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	st := &f.state
	st.contactAt, st.quorumAt = now, now.Add(-quorumAge)
	st.newest = max(st.newest, newest)
	if st.newest == 0 && quorumAge <= f.timing.QuorumAgeLimit {
		f.signalFirst()
	}
	if newest <= st.inForce.Version && st.quorumAt.After(st.currentAt) {
		st.currentAt = st.quorumAt
	}
}

// noteDisconnected records that no source is connected, and why. It logs the loss of a useful source, and the first failure to reach any
// source since the start.
func (f *Follower) noteDisconnected(useful bool, err error) {
	f.mu.Lock()
	firstFailure := f.state.contactAt.IsZero() && f.state.problem == ""
	f.state.address, f.state.member, f.state.problem = "", "", fmt.Sprint(err)
	version := f.state.inForce.Version
	f.mu.Unlock()
	switch {
	case useful:
		f.cfg.Log.Warn("source of configuration lost: trying others", "version", version, "err", err)
	case firstFailure:
		f.cfg.Log.Warn("no source of configuration reached yet: retrying", "version", version, "err", err)
	}
}
