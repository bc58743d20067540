package scheduler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"laddertide/admin"
	"laddertide/consumer"
	"laddertide/core/maintenance"
	"laddertide/directory"
	"laddertide/handover"
	"laddertide/job"
	"laddertide/policy"
	"laddertide/provider"
	wire "laddertide/wire/handover"
)

// succession is what a scheduler knows of the processes before and after it. One process serves at any time; another one
// stands by until the first is told to stop, and then goes on with all that it has.
type succession struct {
	// Guarded by the scheduler's mutex.
	older    *handover.Peer // the process before, until it has gone
	standing bool           // older serves
	heir     *handover.Peer // the process after
	handed   bool           // heir serves
	handing  chan struct{}  // not nil while heir is asked to serve; closed then
	place    *handover.Place
	listener *net.TCPListener // what the next process is given
	stopping bool
	stopBy   time.Time // by when all is to be answered, once stopping

	before   *wire.Peers         // what older knew of the other schedulers; nil: nothing
	takeover chan *wire.Takeover // older's word that this one serves now
	opened   chan struct{}       // closed once server can adopt
}

const (
	joinLimit  = 4 * time.Second        // the yes is due 6 s after the start
	joinRetry  = 50 * time.Millisecond  // for one that is not to be followed just now
	askLimit   = 600 * time.Millisecond // operators wait for 1 s
	eventLimit = 1200 * time.Millisecond
	jobLimit   = 2 * time.Second
	takeLimit  = time.Second // for the next process to say that it serves
)

// Parts of the memory limit that the collector is told of. Both processes of an upgrade together stay within one.
const (
	whole   = 1.0
	standby = 0.25
	sharing = 0.5
)

// door returns the listening socket: the older process's if there is one that can be followed, once it is this one's turn,
// else one of its own. Without a socket and an error this process was told to stop before its turn.
func (s *Scheduler) door(ctx context.Context) (net.Listener, *wire.Takeover, error) {
	if !s.cfg.handsOver() {
		ln, err := net.Listen("tcp", s.cfg.Listen)
		if err != nil {
			return nil, nil, fmt.Errorf("scheduler: %w", err)
		}
		return ln, nil, nil
	}
	s.mu.Lock()
	s.takeover, s.opened = make(chan *wire.Takeover, 1), make(chan struct{})
	s.mu.Unlock()
	var ln net.Listener
	for by := time.Now().Add(joinLimit); ctx.Err() == nil; {
		peer, welcome, file, err := handover.Join(s.cfg.Dir, wire.Hello{Name: s.cfg.Name, Listen: s.cfg.Listen})
		if err == nil {
			took, door, err := s.standBy(ctx, peer, welcome, file)
			if took != nil || ctx.Err() != nil {
				return door, took, err
			}
			s.log.Warn("the process before this one has gone without a word", "err", err)
			if ln != nil {
				ln.Close()
			}
			ln = door // and ask again: it may be there yet
			continue
		}
		var refused *handover.Refused
		if errors.As(err, &refused) && refused.Later && time.Now().Before(by) && ctx.Err() == nil {
			time.Sleep(joinRetry)
			continue
		}
		if !errors.Is(err, handover.ErrGone) {
			s.log.Warn("no hand-over: this process listens for itself", "err", err)
		}
		break
	}
	s.mu.Lock()
	s.standing = false
	s.mu.Unlock()
	if ln != nil || ctx.Err() != nil {
		return ln, nil, nil
	}
	// One that cannot be handed the socket listens beside the process that has it.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); e != nil {
			return e
		}
		return err
	}}
	ln, err := config.Listen(ctx, "tcp", s.cfg.Listen)
	if err != nil {
		return nil, nil, fmt.Errorf("scheduler: %w", err)
	}
	return ln, nil, nil
}

// standBy waits until the older process hands over, or has gone. It is ready meanwhile.
func (s *Scheduler) standBy(ctx context.Context, peer *handover.Peer, welcome *wire.Welcome, file *os.File) (*wire.Takeover,
	net.Listener, error) {
	ln, err := net.FileListener(file)
	file.Close()
	if err != nil {
		peer.Close()
		return nil, nil, err
	}
	s.limit(standby)
	s.mu.Lock()
	s.older, s.standing = peer, true
	s.adopt(&welcome.Roster)
	s.mu.Unlock()
	ended := make(chan error, 1)
	go func() { ended <- peer.Run(func(r handover.Received) error { return s.hearPeer(ctx, peer, r) }) }()
	s.log.Info("standing by: another process serves", "name", s.cfg.Name, "listen", ln.Addr(), "providers", len(welcome.Roster.Providers))
	s.ready.Store(true)
	select {
	case took := <-s.takeover:
		return took, ln, nil
	case <-ctx.Done():
		s.mu.Lock()
		serves := !s.standing // it has said so: what comes over must have its answers
		s.standing = false
		s.mu.Unlock()
		if serves {
			return <-s.takeover, ln, nil
		}
		peer.Close()
		ln.Close()
		return nil, nil, nil
	case err = <-ended:
	}
	select {
	case took := <-s.takeover: // and ended at once
		return took, ln, nil
	default:
	}
	s.limit(whole)
	return nil, ln, err
}

// open begins to serve: server is about to accept. before is the older process's last word, if there was one.
func (s *Scheduler) open(server *consumer.Server, ln net.Listener, before *wire.Takeover) {
	defer s.ready.Store(true)
	if !s.cfg.handsOver() {
		return
	}
	server.Successor = s.succeed
	tcp, ok := ln.(*net.TCPListener)
	if !ok {
		return
	}
	if before != nil {
		// No more than this process has of its own, whatever the other one says.
		server.Held, before.Calls = before.Conns, min(max(0, before.Calls), s.cfg.calls()-1)
		s.pool.Hold(before.Calls)
		s.limit(sharing)
	}
	s.pool.Unclaimed = s.alsoOwners(s.unclaimed)
	s.mu.Lock()
	s.listener = tcp
	older := s.older
	if before == nil {
		s.older = nil
	}
	s.mu.Unlock()
	close(s.opened)
	if before != nil {
		go func() {
			<-older.Gone()
			s.mu.Lock()
			s.older = nil
			s.mu.Unlock()
			server.Released()
			s.pool.Hold(-before.Calls)
			s.limit(whole)
			s.log.Info("the process before this one has gone")
		}()
	}
	go s.expectHeir()
}

// part lets go of the other processes: this one has nothing left.
func (s *Scheduler) part() {
	s.mu.Lock()
	older, heir, place := s.older, s.heir, s.place
	s.stopping = true
	s.mu.Unlock()
	if older != nil {
		older.Close()
	}
	if heir != nil {
		heir.Finish()
	}
	if place != nil {
		place.Close()
	}
}

// expectHeir lets the next process find this one, for as long as it serves.
func (s *Scheduler) expectHeir() {
	place, err := handover.Listen(s.cfg.Dir)
	if err != nil {
		s.log.Warn("no process can follow this one without a break", "err", err)
		return
	}
	s.mu.Lock()
	s.place = place
	door := s.listener
	if s.stopping {
		place.Close()
	}
	s.mu.Unlock()
	place.Serve(door, func(hello *wire.Hello) wire.Message {
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case hello.Name != s.cfg.Name || hello.Listen != s.cfg.Listen:
			return &wire.Refusal{Version: wire.Version, Why: "this is another scheduler: " + s.cfg.Name}
		case s.heir != nil:
			return &wire.Refusal{Version: wire.Version, Why: "another process stands by already", Later: true}
		case s.stopping:
			return &wire.Refusal{Version: wire.Version, Why: "this process is stopping", Later: true}
		}
		return &wire.Welcome{Version: wire.Version, Roster: s.roster()}
	}, s.admitted)
}

// admitted notes who stands by.
func (s *Scheduler) admitted(peer *handover.Peer) {
	s.mu.Lock()
	s.heir = peer
	roster := s.roster()
	s.mu.Unlock()
	s.log.Info("another process stands by to take over")
	go func() {
		err := peer.Run(func(r handover.Received) error { return s.hearPeer(context.Background(), peer, r) })
		s.mu.Lock()
		if s.heir == peer && !s.handed {
			s.heir = nil
			s.log.Warn("the process that stood by has gone: this one serves on", "err", err)
		}
		s.mu.Unlock()
	}()
	s.tellHeir(peer, roster) // what has changed since the welcome
}

// tellHeir tells who stands by of the bans. One that does not answer must not take over with an older list.
func (s *Scheduler) tellHeir(peer *handover.Peer, roster wire.Roster) {
	if _, err := peer.Ask(&wire.News{Roster: roster}, nil, askLimit); err != nil {
		s.log.Warn("the process that stands by does not answer: it is let go", "err", err)
		peer.Close()
	}
}

// owner is the process that serves, if that is not this one. Called under mu.
func (s *Scheduler) owner() *handover.Peer {
	switch {
	case s.handed:
		return s.heir
	case s.standing:
		return s.older
	}
	return nil
}

// passCall lets another process do what an operator has asked for.
func (s *Scheduler) passCall(to *handover.Peer, verb, name string) error {
	reply, err := to.Ask(&wire.Call{Verb: verb, ID: name}, nil, askLimit)
	switch {
	case err != nil:
		return err
	case reply.Code == wire.Unknown:
		return admin.ErrUnknown
	case reply.Code != wire.Yes:
		return errors.New(reply.Why)
	}
	return nil
}

// hearPeer takes a message of the process before or after this one.
func (s *Scheduler) hearPeer(ctx context.Context, from *handover.Peer, r handover.Received) error {
	s.mu.Lock()
	before := from == s.older
	standing := before && s.standing
	s.mu.Unlock()
	var conn net.Conn
	if r.File != nil {
		var err error
		conn, err = net.FileConn(r.File)
		if r.File.Close(); err != nil {
			return err
		}
	}
	reply := func(number uint64, code wire.Code, why string) {
		from.Send(&wire.Reply{Number: number, Code: code, Why: why}, nil)
	}
	switch m := r.Message.(type) {
	case *wire.Call:
		go func() {
			code, why := codeOf(s.peersCall(m))
			reply(m.Number, code, why)
		}()
		return nil
	case *wire.Event:
		go func() {
			code, why := s.peersEvent(m)
			reply(m.Number, code, why)
		}()
		return nil
	case *wire.News:
		if standing {
			s.mu.Lock()
			s.adopt(&m.Roster)
			s.mu.Unlock()
			reply(m.Number, wire.Yes, "")
			return nil
		}
	case *wire.Reread:
		if standing {
			go func() {
				if s.Reread != nil {
					s.Reread()
				}
				s.rereadConfiguration()
				reply(m.Number, wire.Yes, "")
			}()
			return nil
		}
	case *wire.Peers:
		if standing {
			s.mu.Lock()
			s.before = m
			s.mu.Unlock()
			return nil
		}
	case *wire.Takeover:
		if standing {
			s.rereadConfiguration() // the older process has let go of it
		}
		if standing && s.inherit(m) {
			s.takeover <- m
			<-s.opened
			reply(m.Number, wire.Yes, "")
			return nil
		}
	case *wire.Conn:
		if before && !standing && conn != nil {
			s.server.Adopt(conn, consumer.Kept{Told: m.Told, Events: m.Events, Ahead: m.Ahead}, false, nil)
			return nil
		}
	case *wire.Job:
		if before && !standing && conn != nil {
			j, err := s.jobOf(m)
			if err != nil {
				conn.Close()
				reply(m.Number, wire.No, err.Error())
				return nil
			}
			j.Keeper = job.Inherit(pastOf(m), func() { reply(m.Number, wire.Yes, "") })
			s.server.Adopt(conn, consumer.Kept{Told: m.Conn.Told, Events: m.Conn.Events, Ahead: m.Conn.Ahead}, m.Last, j)
			return nil
		}
	}
	if conn != nil {
		conn.Close()
	}
	return fmt.Errorf("scheduler: the other process sends %T out of turn", r.Message)
}

func codeOf(err error) (wire.Code, string) {
	switch {
	case err == nil:
		return wire.Yes, ""
	case errors.Is(err, admin.ErrUnknown):
		return wire.Unknown, ""
	}
	return wire.No, err.Error()
}

// peersCall does what an operator has asked of the other process.
func (s *Scheduler) peersCall(m *wire.Call) error {
	s.mu.Lock()
	if s.owner() != nil || m.Verb != "disable" && m.Verb != "enable" {
		s.mu.Unlock()
		return errors.New("scheduler: not this process's call")
	}
	s.mu.Unlock()
	_, err := s.byAnyHand(m.Verb, m.ID)
	return err
}

// peersEvent takes a call-back that the other process does not know the job of.
func (s *Scheduler) peersEvent(m *wire.Event) (wire.Code, string) {
	if m.State > byte(provider.Lost) {
		return wire.Unknown, ""
	}
	claimed, moved, err := s.pool.Claim(provider.Event{ID: m.ID, From: m.From, Lease: m.Lease, State: provider.State(m.State),
		Share: m.Share, Result: m.Result})
	switch {
	case err != nil:
		return wire.No, err.Error()
	case claimed:
		return wire.Yes, ""
	case moved:
		return wire.Elsewhere, ""
	}
	return wire.Unknown, ""
}

// unclaimed asks the other process of an upgrade about a call-back that belongs to no call here. It is acknowledged only
// once it has been heard where its job is, or is known to be nobody's.
func (s *Scheduler) unclaimed(ev provider.Event) error {
	s.mu.Lock()
	s.settled()
	peer, handed := s.older, s.handed
	if handed {
		peer = s.heir
	}
	s.mu.Unlock()
	// A job on its way is known to nobody until one of the two says that it listens.
	claimed, moved, err := s.pool.Claim(ev)
	if moved && !handed { // it has stayed, or come back
		claimed, _, err = s.pool.Claim(ev)
	}
	if claimed || err != nil || peer == nil {
		return later(err)
	}
	reply, err := peer.Ask(&wire.Event{ID: ev.ID, From: ev.From, Lease: ev.Lease, State: byte(ev.State), Share: ev.Share,
		Result: ev.Result}, nil, eventLimit)
	if err != nil && !errors.Is(err, handover.ErrGone) && !errors.Is(err, handover.ErrNotSent) {
		return job.ErrLater
	}
	if err == nil && (reply.Code == wire.Yes || reply.Code == wire.Unknown) {
		return nil
	}
	if err == nil && reply.Code == wire.No {
		return job.ErrLater
	}
	// The job has come over meanwhile, or back, or whoever had it has gone.
	claimed, _, err = s.pool.Claim(ev)
	if !claimed && err == nil && handed {
		return job.ErrLater // it may be on its way back
	}
	return later(err)
}

// later lets a provider say again what could not be heard.
func later(err error) error {
	if err != nil {
		return job.ErrLater
	}
	return nil
}

// settled waits until it is known who serves. Called under mu, which it gives up meanwhile.
func (s *Scheduler) settled() {
	for s.handing != nil {
		handing := s.handing
		s.mu.Unlock()
		<-handing
		s.mu.Lock()
	}
}

// roster is the list as the next process must know it. Called under mu.
func (s *Scheduler) roster() wire.Roster {
	r := wire.Roster{Index: s.index}
	for _, p := range s.list.All() {
		e := &p.Entry
		r.Providers = append(r.Providers, wire.Provider{Name: p.Name, Address: e.Address, Zone: e.Zone, Type: e.Type,
			Status: string(e.Status), Group: e.Group, Weight: e.Weight, SinceMS: e.SinceMS, Gone: p.Gone, Out: p.Out, Back: p.Back})
	}
	return r
}

// adopt takes the older process's list in place of this one's. Called under mu.
func (s *Scheduler) adopt(r *wire.Roster) {
	all := make([]maintenance.Provider[directory.Entry], len(r.Providers))
	for i, p := range r.Providers {
		all[i] = maintenance.Provider[directory.Entry]{Name: p.Name, Gone: p.Gone, Out: p.Out, Back: p.Back,
			Entry: directory.Entry{Name: p.Name, Address: p.Address, Zone: p.Zone, Type: p.Type, Group: p.Group,
				Status: directory.Status(p.Status), Weight: p.Weight, SinceMS: p.SinceMS}}
	}
	s.list.Adopt(all)
	s.index = r.Index
	s.retell()
}

// inherit makes this process the one that decides, unless it has been told to stop.
func (s *Scheduler) inherit(m *wire.Takeover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.standing {
		return false
	}
	// Places of classes mean here what they meant there.
	of := s.cfg.Settings
	of.Classes, of.Tenants = nil, nil
	for _, c := range m.Classes {
		of.Classes = append(of.Classes, policy.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Window: c.Window,
			Stretch: c.Stretch, Worth: c.Worth, Effect: policy.Effect(c.Effect), Group: policy.Group(c.Group), Kind: c.Kind,
			Retired: c.Retired})
	}
	for _, t := range m.Tenants {
		of.Tenants = append(of.Tenants, policy.Tenant{Name: t.Name, Quota: t.Quota})
	}
	next := s.cfg
	var err error
	if next.Settings, err = s.cfg.Settings.After(&of); err == nil {
		err = s.desk.Inherit(of, m.Names, m.Beliefs)
		if err := s.retune(next); err != nil {
			s.log.Error("settings of the process before do not go with this one's", "err", err)
		}
	}
	if err != nil {
		s.log.Warn("what the process before believed of providers is not taken over", "err", err)
	}
	s.adopt(&m.Roster)
	s.standing = false
	s.log.Info("taking over", "connections", m.Conns, "calls", m.Calls, "providers", len(m.Roster.Providers))
	return true
}

// succeed hands over to the process that stands by, if there is one: it serves from here on.
func (s *Scheduler) succeed(held int) consumer.Heir {
	s.mu.Lock()
	s.stopping = true
	next := s.heir
	if next == nil {
		by := s.stopBy
		s.mu.Unlock()
		if s.owners != nil { // it may have gone a moment ago
			s.owners.Stop(by)
		}
		return nil
	}
	s.handing = make(chan struct{}) // operators' calls wait: the roster is on its way
	if s.configuration.follower != nil {
		s.mu.Unlock()
		s.leaveConfiguration() // what is in force stays so until the next process has read it
		s.mu.Lock()
	}
	s.limit(standby)
	s.pool.Leave() // nothing is sent from here any more
	names, beliefs := s.desk.Beliefs()
	m := &wire.Takeover{Roster: s.roster(), Names: names, Beliefs: beliefs, Conns: held, Calls: s.pool.Open()}
	for _, c := range s.cfg.Settings.Classes {
		m.Classes = append(m.Classes, wire.Class{Name: c.Name, Aim: c.Aim, Deadline: c.Deadline, Window: c.Window,
			Stretch: c.Stretch, Worth: c.Worth, Effect: byte(c.Effect), Group: byte(c.Group), Kind: c.Kind, Retired: c.Retired})
	}
	for _, t := range s.cfg.Settings.Tenants {
		m.Tenants = append(m.Tenants, wire.Tenant{Name: t.Name, Quota: t.Quota})
	}
	known := s.handPeers()
	s.mu.Unlock()
	if known != nil {
		next.Send(known, nil) // without it the next process finds the others by itself
	}
	reply, err := next.Ask(m, nil, takeLimit)
	if err == nil && reply.Code != wire.Yes {
		err = errors.New(reply.Why)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.handing)
	s.handing = nil
	if err != nil {
		s.log.Error("the process that stood by does not take over", "err", err)
		go s.resumeConfiguration()
		s.heir = nil
		next.Close()
		s.pool.Retain()
		s.limit(whole)
		if s.owners != nil {
			go s.owners.Stop(s.stopBy)
		}
		return nil
	}
	s.handed = true
	s.log.Info("handing over", "connections", held, "calls", m.Calls)
	return &heir{s, next}
}

// heir is the next process as the server sees it.
type heir struct {
	s    *Scheduler
	peer *handover.Peer
}

// Conn implements consumer.Heir.
func (h *heir) Conn(c *net.TCPConn, k consumer.Kept) error {
	return h.check(h.peer.Send(&wire.Conn{Told: k.Told, Events: k.Events, Ahead: k.Ahead}, c))
}

// Job implements consumer.Heir. It returns once the next process hears of the job's call.
func (h *heir) Job(c *net.TCPConn, k consumer.Kept, last bool, j *job.Job, past []job.Past) error {
	defer h.s.pool.Arrived(j.ID)
	m := &wire.Job{Conn: wire.Conn{Told: k.Told, Events: k.Events, Ahead: k.Ahead}, Last: last,
		ID: j.ID, Party: j.Party, Key: j.Key, Subject: j.Subject, Protocol: j.Protocol,
		Class: j.Class, Tenant: j.Tenant, Deadline: j.Deadline, Left: j.Left, Hint: j.Hint, Slots: j.Slots, Payload: j.Payload, Fields: j.Fields}
	for _, p := range past {
		m.Past = append(m.Past, wire.Past{Provider: p.Provider, Ago: p.Ago, Begun: p.Begun, MayRun: p.MayRun, Out: p.Out})
	}
	reply, err := h.peer.Ask(m, c, jobLimit)
	if errors.Is(err, handover.ErrNotSent) {
		return h.check(err)
	}
	if err != nil {
		h.s.log.Warn("no word of a job that was handed over", "id", j.ID, "err", err) // it is not this one's any more
		return nil
	}
	if reply.Code != wire.Yes {
		return h.check(errors.New(reply.Why))
	}
	return nil
}

// check lets calls be made here again if the next process cannot go on with them.
func (h *heir) check(err error) error {
	if err != nil {
		h.s.pool.Retain()
	}
	return err
}

// jobOf is a job that the older process has handed over.
func (s *Scheduler) jobOf(m *wire.Job) (*job.Job, error) {
	s.mu.Lock()
	set := s.cfg.Settings
	s.mu.Unlock()
	if m.Class < 0 || m.Class >= len(set.Classes) || m.Tenant < 0 {
		return nil, fmt.Errorf("scheduler: there is no class %d or tenant %d", m.Class, m.Tenant)
	}
	return &job.Job{ID: m.ID, Party: m.Party, Key: m.Key, Subject: m.Subject, Protocol: m.Protocol, Class: m.Class,
		ClassName: set.Classes[m.Class].Name, Tenant: m.Tenant, Deadline: m.Deadline, Left: max(0, m.Left), Hint: m.Hint,
		Slots: m.Slots, Payload: m.Payload, Fields: m.Fields}, nil
}

func pastOf(m *wire.Job) []job.Past {
	out := make([]job.Past, len(m.Past))
	for i, p := range m.Past {
		out[i] = job.Past{Provider: p.Provider, Ago: p.Ago, Begun: p.Begun, MayRun: p.MayRun, Out: p.Out}
	}
	return out
}
