// Package replicated stores durable jobs on several schedulers. Its Handler accepts them in the group that this scheduler leads for
// its own jobs, and continues the jobs of other schedulers whose groups it has come to lead. The package knows which groups are led
// here and has the Handler of each. Package core/groups decides what a group is and when the next one begins, core/leases what must
// be stored before what, and the decision module which provider gets a job.
package replicated

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"laddertide/core/groups"
	"laddertide/core/leases"
	"laddertide/durable"
	"laddertide/job"
	"laddertide/ledger"
	"laddertide/policy"
	"laddertide/provider"
	"laddertide/replica"
	wire "laddertide/wire/groups"
)

// Network is the membership as this package uses it.
type Network interface {
	// Dial opens a connection to a scheduler.
	Dial(to string) (net.Conn, error)
	// Candidates returns the schedulers that may be members of groups. met is false before the membership is known.
	Candidates() (all []groups.Candidate, met bool)
}

// Config configures a Handler.
type Config struct {
	Name       string
	Settings   Settings
	Durable    durable.Settings
	Policy     policy.Settings
	Next       job.Handler
	Pool       *provider.Pool
	Log        *slog.Logger
	Keys       [][]byte      // of the membership; nil: messages are not encrypted
	Label      string        // of the installation
	AnswerTime time.Duration // time within which a healthy peer answers
	SettleTime time.Duration // time within which the membership declares no scheduler gone
	// OnTakeover is called with the jobs that this scheduler has taken over from another one, and the IDs of those that have ended; nil:
	// not called.
	OnTakeover func(open []*job.Job, ended []string)
	// Forward forwards a provider's event to the scheduler that carries its job now; nil: events cannot be forwarded.
	Forward func(ev provider.Event) error
}

// Handler handles durable jobs that several schedulers store.
type Handler struct {
	cfg     Config
	log     *slog.Logger
	durable []bool // by class
	node    *replica.Node
	streams *replica.Streams
	disk    *ledger.Store
	origin  time.Time

	minLogSize int64 // smallest size of the log on disk since the current group began, in bytes; used by maintain alone

	mu           sync.Mutex
	me           wire.Member
	net          Network
	currentGroup *groups.CurrentGroup
	led          map[wire.ID]*ledGroup
	draining     map[wire.ID]chan struct{} // former groups; closed when none of their jobs is carried here any more
	leaving      bool
	endTime      time.Time // time at which the program ends, if leaving is set

	work sync.WaitGroup
	stop chan struct{}
	once sync.Once
}

// ledGroup is a group that this scheduler leads.
type ledGroup struct {
	lead    *replica.Lead
	handler *durable.Handler // nil: its jobs are not resumed yet
	ready   chan struct{}    // closed when handler is set, or never will be
	ended   bool             // it is no longer led here
}

// New opens the log of groups and reads what an earlier process has left in it. The earlier groups wait for their other members
// until Join.
func New(cfg Config) (*Handler, error) {
	h := &Handler{cfg: cfg, log: cfg.Log, led: make(map[wire.ID]*ledGroup), stop: make(chan struct{}), origin: time.Now(),
		draining: make(map[wire.ID]chan struct{})}
	for _, c := range cfg.Policy.Classes {
		h.durable = append(h.durable, cfg.Durable.IsDurable(c.Name))
	}
	disk, err := ledger.Open(ledger.Options{Dir: cfg.Settings.Dir, Sync: cfg.Durable.Sync, MaxBytes: int64(cfg.Settings.MaxMB) << 20, Log: cfg.Log})
	if err != nil {
		return nil, err
	}
	h.disk = disk
	h.streams = &replica.Streams{Dial: h.dial, HandleFrame: h.receive, Keys: cfg.Keys, Cluster: cfg.Label, Timeout: 4 * cfg.AnswerTime, Log: cfg.Log, MaxConns: maxStreams}
	if err = h.streams.Check(); err == nil {
		h.node, err = replica.New(replica.Config{Name: cfg.Name, Disk: disk, Net: h.streams, Log: h.log,
			// A leader that is silent for as long as the membership needs to suspect it counts as gone.
			Tick: h.tick(), ElectionTicks: electionTicks, MaxPendingBytes: h.logFraction(8), RememberFinished: 2 * h.jobLife(),
			// The other half is for the further records of open jobs.
			FullSize: h.logFraction(2), RecordKey: durable.TakenID, OnLead: h.onLead, OnLeadEnd: h.onLeadLost})
	}
	if err != nil {
		return nil, errors.Join(err, disk.Close())
	}
	h.me = wire.Member{Name: cfg.Name, Disk: h.node.Disk()}
	return h, nil
}

// maxStreams limits the schedulers that may have a connection to this one: members of its own groups, and owners of groups that it
// is a member of.
const maxStreams = 32

// Descriptors limits the file descriptors of the log of groups and of the connections in both directions.
const Descriptors = durable.Descriptors + 2*maxStreams

func (h *Handler) dial(to string) (net.Conn, error) {
	h.mu.Lock()
	n := h.net
	h.mu.Unlock()
	if n == nil {
		return nil, errNotJoined
	}
	return n.Dial(to)
}

var errNotJoined = errors.New("replicated: not joined to the other schedulers yet")

// Serve handles a connection from a member of a group.
func (h *Handler) Serve(c net.Conn) { h.streams.Serve(c) }

func (h *Handler) now() time.Duration { return time.Since(h.origin) + time.Second }

// Join connects the groups to the other schedulers. start is the start number of this process, as the others know it.
func (h *Handler) Join(start uint64, net Network) {
	h.mu.Lock()
	h.net = net
	h.currentGroup = groups.NewCurrentGroup(h.me, start, groups.Limits{Replicas: h.cfg.Settings.Replicas, ExpectedSchedulers: h.cfg.Policy.Balancers, SettleTime: h.cfg.SettleTime,
		Bytes: min(h.logFraction(16), h.cfg.Durable.KeepBytes()), LogGrowth: h.logFraction(8), Age: h.jobLife(), LeadTimeout: 4 * h.cfg.SettleTime})
	h.mu.Unlock()
	go h.node.Run()
	h.work.Go(h.maintain)
}

// electionTicks is the minimum number of ticks that a member waits for its leader before it asks to be elected. With two ticks in
// an answer time that is a wait of 3 to 6 answer times.
const electionTicks = 6

// tick is the heartbeat interval of a leader.
func (h *Handler) tick() time.Duration { return h.cfg.AnswerTime / 2 }

// leadAssured returns for how long after a majority was asked to store a record no other leader can be elected: those members have
// received a message of their leader since. One tick is subtracted for clocks that run at different rates.
func (h *Handler) leadAssured() time.Duration { return (electionTicks - 1) * h.tick() }

// jobLife returns the longest time for which a job is known.
func (h *Handler) jobLife() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.cfg.Policy.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest + h.cfg.Durable.Keep
}

// Disk returns the ID of this scheduler's disk among members.
func (h *Handler) Disk() uint64 { return h.me.Disk }

// receive handles a frame of another scheduler.
func (h *Handler) receive(f *wire.Frame) { h.node.HandleFrame(f) }

// onLead is called by the node's loop when this scheduler has become the leader of a group.
func (h *Handler) onLead(g *replica.Lead, records func() [][]byte) {
	l := &ledGroup{lead: g, ready: make(chan struct{})}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.led[g.ID] = l
	h.currentGroup.SetLed(h.now(), g.ID, true)
	drained := h.draining[g.ID]
	h.work.Go(func() {
		if drained != nil { // the Handler of the previous time that the group was led here must have released its jobs
			<-drained
		}
		h.resume(l, records())
	})
}

// resume continues the jobs of a group.
func (h *Handler) resume(l *ledGroup, records [][]byte) {
	defer close(l.ready)
	began, g, own := time.Now(), l.lead, l.lead.Owner == h.me.Name
	for tries := 0; ; tries++ {
		d, err := durable.NewReplica(h.cfg.Durable, h.cfg.Policy, h.cfg.Next, h.cfg.Pool, h.log, durable.ReplicaOptions{Store: store{g}, Records: records,
			SentElsewhere: !own, Full: g.LogFull, LeaseValidity: h.leadAssured()})
		if err != nil {
			h.log.Error("cannot resume the jobs of a group", "group", g.ID, "err", err)
			return
		}
		err = d.Start()
		h.mu.Lock()
		if err == nil {
			l.handler = d
		}
		ended, leaving, endTime := l.ended, h.leaving, h.endTime
		h.mu.Unlock()
		if err == nil {
			if leaving {
				d.Stop(endTime)
			}
			h.reportResumed(l, began, len(records))
			return
		}
		d.LeaveOpenJobs()
		d.Drain()
		if ended {
			return
		}
		if tries == 0 {
			h.log.Warn("jobs of a group not resumed yet: trying again", "group", g.ID, "err", err)
		}
		select {
		case <-time.After(h.cfg.AnswerTime):
		case <-h.stop:
			return
		}
	}
}

// reportResumed reports that the jobs of a group have been resumed here.
func (h *Handler) reportResumed(l *ledGroup, began time.Time, records int) {
	open, ended := l.handler.Open()
	h.log.Info("leading a group", "group", l.lead.ID, "members", len(l.lead.Members), "records", records, "open", len(open),
		"took", time.Since(began).Round(time.Millisecond))
	if h.cfg.OnTakeover != nil && len(open)+len(ended) > 0 {
		h.cfg.OnTakeover(open, ended)
	}
}

// onLeadLost is called by the node's loop when this scheduler no longer leads a group.
func (h *Handler) onLeadLost(g *replica.Lead) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.led[g.ID]
	if l == nil || l.lead != g {
		return
	}
	delete(h.led, g.ID)
	h.currentGroup.SetLed(h.now(), g.ID, false)
	l.ended = true
	drained := make(chan struct{})
	h.draining[g.ID] = drained
	h.work.Go(func() {
		<-l.ready
		if l.handler != nil {
			h.log.Info("leading a group no more", "group", g.ID)
			l.handler.LeaveOpenJobs()
			l.handler.Drain()
		}
		h.mu.Lock()
		if h.draining[g.ID] == drained {
			delete(h.draining, g.ID)
		}
		h.mu.Unlock()
		close(drained)
	})
}

// Handle implements job.Handler.
func (h *Handler) Handle(ctx context.Context, j *job.Job) job.Outcome {
	// Whether a job is stored is asked by its id, before its class: the class may have changed since the job was taken.
	if d := h.handlerOf(j.ID); d != nil {
		return d.Handle(ctx, j)
	}
	if h.isUnresumed(j.ID) { // the leader of its group knows its outcome, or will know it
		return job.Outcome{Kind: job.Failed, RetryAfter: 2 * h.cfg.AnswerTime}
	}
	if !h.IsDurable(j.Class) {
		return h.cfg.Next.Handle(ctx, j)
	}
	h.mu.Lock()
	var l *ledGroup
	if h.currentGroup != nil && !h.leaving {
		if id, ok := h.currentGroup.Current(); ok {
			l = h.led[id]
		}
	}
	h.mu.Unlock()
	if l != nil {
		timer := time.NewTimer(j.TimeLeft)
		defer timer.Stop()
		select {
		case <-l.ready:
			if l.handler != nil {
				return l.handler.Handle(ctx, j)
			}
		case <-timer.C:
		case <-ctx.Done():
			return job.Outcome{Kind: job.Gone}
		}
	}
	// No majority stores anything with this scheduler: nothing ran, and nothing will run.
	return job.Outcome{Kind: job.Rejected, RetryAfter: 2 * h.cfg.AnswerTime}
}

// isUnresumed reports whether a job is in a group here whose jobs are not carried here, or not yet.
func (h *Handler) isUnresumed(id string) bool {
	h.mu.Lock()
	here := make(map[wire.ID]bool, len(h.led))
	for g, l := range h.led {
		here[g] = l.handler != nil
	}
	h.mu.Unlock()
	return h.node.MayHoldKey(id, func(g wire.ID) bool { return here[g] })
}

// handlerOf returns the Handler, of a group that is led here, that knows a job; nil: there is none.
func (h *Handler) handlerOf(id string) *durable.Handler {
	for _, d := range h.handlers() {
		if d.Carries(id) {
			return d
		}
	}
	return nil
}

// Usage returns how much of their bounds the groups that are led here use in all. DiskBytes is the size of the log on disk, with what is
// kept there for other schedulers.
func (h *Handler) Usage() durable.Usage {
	total := durable.Usage{}
	for _, d := range h.handlers() {
		u := d.Usage()
		total.Open += u.Open
		total.Kept += u.Kept
		total.RecordBytes += u.RecordBytes
		total.Refused += u.Refused
	}
	total.DiskBytes = h.disk.Size()
	return total
}

func (h *Handler) handlers() []*durable.Handler {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make([]*durable.Handler, 0, len(h.led))
	for _, l := range h.led {
		if l.handler != nil {
			out = append(out, l.handler)
		}
	}
	return out
}

// Find reports whether a job is known here, and returns its answer, or nil while that may not be given out or is for another
// scheduler to give.
func (h *Handler) Find(id string) (out *job.Outcome, known bool) {
	if d := h.handlerOf(id); d != nil {
		return d.Find(id)
	}
	return nil, h.isUnresumed(id)
}

// Carries reports whether this scheduler carries a job or has ended it.
func (h *Handler) Carries(id string) bool { return h.handlerOf(id) != nil }

// IsDurable reports whether new jobs of a class are stored.
func (h *Handler) IsDurable(class int) bool { return class < len(h.durable) && h.durable[class] }

// HandleUnclaimed handles a provider's event that belongs to no attempt here. An event for a job that another scheduler carries is forwarded.
func (h *Handler) HandleUnclaimed(ev provider.Event) error {
	if d := h.handlerOf(ev.ID); d != nil {
		return d.HandleUnclaimed(ev)
	}
	switch {
	case !h.isUnresumed(ev.ID):
		return nil
	case h.cfg.Forward == nil:
		return job.ErrNotStored
	}
	return h.cfg.Forward(ev)
}

// HandleForwarded handles a provider's event that another scheduler has forwarded, as this one is recorded as the owner of its job.
func (h *Handler) HandleForwarded(ev provider.Event) error {
	if d := h.handlerOf(ev.ID); d != nil {
		return d.HandleUnclaimed(ev)
	}
	if h.isUnresumed(ev.ID) { // the scheduler that forwards it will soon learn who carries the job
		return job.ErrNotStored
	}
	return nil
}

// maintain begins the next group when it is due, and ends groups in which no job is known any more.
func (h *Handler) maintain() {
	tick := time.NewTicker(h.cfg.AnswerTime)
	defer tick.Stop()
	for {
		h.update()
		select {
		case <-h.stop:
			return
		case <-tick.C:
		}
	}
}

func (h *Handler) update() {
	all, met := h.net.Candidates()
	// Locks of groups and of their Handlers are not taken under mu, as the node's loop waits for mu.
	h.mu.Lock()
	now := h.now()
	current, hasCurrent := h.currentGroup.Current()
	leading := make(map[wire.ID]*ledGroup, len(h.led))
	for id, l := range h.led {
		if l.handler != nil && !l.ended {
			leading[id] = &ledGroup{lead: l.lead, handler: l.handler}
		}
	}
	h.mu.Unlock()
	empty := make(map[wire.ID]bool, len(leading))
	for id, l := range leading {
		c := l.handler.Counts()
		empty[id] = c.Open == 0 && c.Kept == 0
	}
	status := groups.Status{Empty: true, LogGrowth: h.logGrowth()}
	if l := leading[current]; hasCurrent && l != nil {
		status.Bytes, status.LogFull, status.Empty = l.lead.CommittedBytes(), l.lead.LogFull(), empty[current]
	}
	h.mu.Lock()
	next, ok := wire.Group{}, false
	if met && !h.leaving && !h.node.DiskFails() {
		next, ok = h.currentGroup.Next(now, all, status)
	}
	current, _ = h.currentGroup.Current()
	h.mu.Unlock()
	if ok {
		h.minLogSize = h.disk.Size()
		h.node.Begin(next)
	}
	for id, l := range leading {
		// A job that is just being added to the previous group is lost with it and rejected: nothing of it was sent.
		if id != current && empty[id] {
			l.lead.EndGroup()
		}
	}
}

// logGrowth returns by how many bytes the log on disk has grown since the current group began, less what was removed meanwhile.
// Called by maintain alone.
func (h *Handler) logGrowth() int64 {
	size := h.disk.Size()
	h.minLogSize = min(h.minLogSize, size)
	return size - h.minLogSize
}

// logFraction returns a fraction of the maximum size of the log on disk, in bytes.
func (h *Handler) logFraction(parts int64) int64 { return int64(h.cfg.Settings.MaxMB) << 20 / parts }

// Stop announces that the program ends at by. Open jobs are left to the next leader.
func (h *Handler) Stop(by time.Time) {
	h.mu.Lock()
	h.leaving, h.endTime = true, by
	h.mu.Unlock()
	for _, d := range h.handlers() {
		d.Stop(by)
	}
}

// Close stops leading and closes the log.
func (h *Handler) Close() error {
	h.once.Do(func() { close(h.stop) })
	h.mu.Lock()
	joined := h.net != nil
	h.mu.Unlock()
	if joined {
		h.node.Close()
	}
	h.streams.Close()
	h.work.Wait()
	return h.disk.Close()
}

// store adapts a group to durable.Store: a log that is never trimmed, and is removed as a whole.
type store struct{ *replica.Lead }

// Trim implements durable.Store.
func (store) Trim(uint64, []byte) error { return nil }

// Read implements durable.Store.
func (s store) Read(seq uint64, _ ledger.Position, _ time.Time) ([]byte, error) {
	record := s.FindRecord(func(b []byte) bool {
		ended, ok := leases.EndedSeq(b)
		return ok && uint64(ended) == seq
	})
	if record == nil {
		return nil, ledger.ErrUnreadable
	}
	return record, nil
}

// Size implements durable.Store.
func (s store) Size() int64 { return s.CommittedBytes() }

// Snapshot implements durable.Store.
func (store) Snapshot(string) error {
	return errors.New("replicated: a group is copied by its members, and backed up by their folders")
}

// Close implements durable.Store.
func (store) Close() error { return nil }
