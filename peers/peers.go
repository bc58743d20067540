// Package peers tells the schedulers of one installation of each other: who is there, by a membership protocol of a library
// (SWIM with Lifeguard), and what each has to say, by messages of its own. It owns the sockets, the timers and the list of
// what is to be told. It concludes nothing: what evidence proves is decided in core/fleet, and what follows from it is done
// by whoever is told to apply it.
package peers

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// Config is what peers need.
type Config struct {
	Name     string
	Settings Settings
	Timing   Timing
	Expect   int                  // schedulers that there are, as far as the settings say
	Start    uint64               // of this process; 0: the clock's
	State    []byte               // of the process that this one follows as the same member, from Release; nil: it follows none
	Network  memberlist.Transport // nil: sockets at Settings.Listen
	Log      *slog.Logger

	// Apply is called after something that counts has changed, by one goroutine at a time, with no lock held.
	Apply func()
	// Own is what the own list says of a provider.
	Own func(provider string) fleet.Own
	// Failing takes word that a provider fails what it is sent.
	Failing func(provider string)
	// Beliefs gives what this scheduler believes of providers, and Adopt takes a peer's, once, before Start returns, with the
	// peer's clock beside this one's. Either may be nil.
	Beliefs func() []byte
	Adopt   func(from string, beliefs []byte, skew time.Duration)
	// Calls takes what another scheduler says of whose job is whose (wire/owners). It must not block. nil: this one keeps no
	// records of that.
	Calls func(b []byte)
	// Streams takes connections between members of groups (laddertide/replica), which begin with another byte than the
	// membership's. nil: there are none.
	Streams func(c net.Conn)
	// Disk is what this scheduler's disk is called among members of groups; 0: it keeps none.
	Disk uint64

	// What follows is of a scheduler that keeps its state on disk; nil: it does not.
	Before *Before
}

// Before is what a scheduler has kept of the one before it, and how it keeps what must last.
type Before struct {
	Addresses []string // of the schedulers that were there: they are looked for beside those that the settings name
	Bans      []wire.BanOf
	Undone    []wire.Dot
	// Save returns once all that is known here is on disk; an error means that it is not.
	Save func() error
	// Number gives this process a later number than one that a peer has seen of this name. It is on disk when it returns.
	Number func(seen uint64) (uint64, error)
	// ToGo is how many steps of the return are yet to come.
	ToGo func() byte
}

// Peers are the other schedulers.
type Peers struct {
	cfg    Config
	log    *slog.Logger
	list   *memberlist.Memberlist
	listed chan struct{} // closed once list is there
	net    memberlist.Transport
	queue  *memberlist.TransmitLimitedQueue
	origin time.Time

	inbox   chan wire.Message
	kick    chan struct{}
	closing chan struct{}
	once    sync.Once
	all     sync.WaitGroup

	noting   chan struct{} // holds one while a word of this scheduler's on itself is about to go
	speaking sync.Mutex    // held while one goes

	mu       sync.Mutex // never held while the list is called
	view     *fleet.View
	bans     *fleet.Bans
	stops    *fleet.Stops
	last     fleet.Conclusion
	states   map[string]fleet.State // as they were logged
	notes    map[string]wire.Note   // what members say of themselves
	leaving  bool                   // this one keeps nothing new
	has      map[fleet.Dot]map[string]bool
	waiting  map[uint64]*asked
	number   uint64
	lessons  map[lessonKey]bool
	taught   []lessonKey // those of lessons, oldest first
	joining  bool
	adopted  bool
	conflict *conflict
	oddOnes  map[string]bool // who speaks another version, told once
	counts   Counts

	// Of a return; kept with Config.Before alone.
	answered map[string]uint64 // who has told all that it knows since this process began, and of which start
	odd      map[string]bool   // members of another version
	searched bool              // the first search is over
	found    bool              // and somebody was there
	numbers  map[uint64]bool   // this process's own, all of them
	seen     uint64            // the latest of this name that others have seen, but for those
	anew     chan struct{}     // holds one while a later number is on its way
	acking   chan struct{}     // holds one for each round of acknowledgements that waits for the disk
}

// Counts tell what has happened since the start.
type Counts struct {
	Messages, Dropped, Malformed, OtherVersion, Exchanges, Stalls int
}

// asked is a message that waits for its acknowledgements.
type asked struct {
	left map[string]string // address by name
	done chan struct{}
}

// lessonKey names a lesson.
type lessonKey struct {
	from         string
	start, index uint64
}

// conflict is another process of this name.
type conflict struct {
	address string
	start   uint64
}

// Start joins the others. It returns once one of them has told all that it knows, or none could be found in time: then it
// goes on looking. An error means that this process must not serve: another one of its name is there.
func Start(ctx context.Context, cfg Config) (*Peers, error) {
	if cfg.Start == 0 {
		cfg.Start = uint64(time.Now().UnixNano())
	}
	p := &Peers{cfg: cfg, log: cfg.Log, origin: time.Now(), inbox: make(chan wire.Message, inboxSize),
		kick: make(chan struct{}, 1), noting: make(chan struct{}, 1), listed: make(chan struct{}), closing: make(chan struct{}), states: make(map[string]fleet.State), notes: make(map[string]wire.Note),
		has: make(map[fleet.Dot]map[string]bool), waiting: make(map[uint64]*asked), oddOnes: make(map[string]bool), lessons: make(map[lessonKey]bool), joining: true}
	set := &cfg.Settings
	p.view = fleet.New(cfg.Name, fleet.Start(cfg.Start), set.Advertise, cfg.Timing.limits(cfg.Expect), p.now())
	p.bans, p.stops = fleet.NewBans(mostBans), fleet.NewStops(set.Hold, mostStops)
	p.remember()
	p.last = p.view.Conclude(p.now())
	if cfg.State != nil {
		p.joining = false // it has beliefs of its own
		(*delegate)(p).MergeRemoteState(cfg.State, false)
	}
	network := cfg.Network
	if network == nil {
		s, err := listen(set.Listen, cfg.Timing, cfg.Streams)
		// The process before this one may just be letting go.
		for by := time.Now().Add(cfg.Timing.Stream); err != nil && cfg.State != nil && time.Now().Before(by); {
			time.Sleep(cfg.Timing.Gossip / 4)
			s, err = listen(set.Listen, cfg.Timing, cfg.Streams)
		}
		if err != nil {
			return nil, fmt.Errorf("peers: %w", err)
		}
		network = s
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.Label = cfg.Name, network, set.Cluster
	if set.Advertise != "" && cfg.Network == nil {
		if ip, port := splitAddress(set.Advertise); port != 0 {
			c.AdvertiseAddr, c.AdvertisePort = ip, port
		}
	}
	t := cfg.Timing
	c.ProbeTimeout, c.ProbeInterval, c.GossipInterval, c.PushPullInterval = t.Answer, t.Probe, t.Gossip, t.Whole
	c.TCPTimeout, c.DeadNodeReclaimTime = t.Stream, t.Probe
	c.SuspicionMult, c.SuspicionMaxTimeoutMult, c.AwarenessMaxMultiplier = suspicions, patience, slowest
	c.UDPBufferSize, c.EnableCompression, c.RequireNodeNames = packetSize, false, false
	c.Delegate, c.Events, c.Conflict, c.Alive, c.Ping = (*delegate)(p), (*events)(p), (*events)(p), (*events)(p), (*events)(p)
	c.Logger = log.New(io.Discard, "", 0) // it writes several lines a lost packet; what counts is told here
	if set.Keys != nil {
		ring, err := memberlist.NewKeyring(set.Keys, set.Keys[0])
		if err != nil {
			network.Shutdown()
			return nil, fmt.Errorf("peers: %w", err)
		}
		c.Keyring = ring
	}
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: c.RetransmitMult, NumNodes: func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.last.Present
	}}
	list, err := memberlist.Create(c)
	if err != nil {
		network.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.list, p.net = list, network
	close(p.listed)
	p.search(ctx)
	p.mu.Lock()
	p.joining = false
	other := p.conflict
	p.mu.Unlock()
	if other != nil && other.start < cfg.Start && p.answers(other.address) {
		p.Close()
		return nil, fmt.Errorf("peers: another process of the name %s is there, at %s, and was there before this one", cfg.Name, other.address)
	}
	p.all.Go(p.work)
	p.all.Go(p.watch)
	p.poke()
	return p, nil
}

// now is the time of all conclusions; it begins above 0, and the system's clock has no part in it.
func (p *Peers) now() time.Duration { return time.Since(p.origin) + time.Second }

// search asks all that could be there at once, until one of them has told what it knows or none can. Who refuses is not
// there; who is silent may be slow, and is asked again.
func (p *Peers) search(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 3*p.cfg.Timing.Stream)
	defer cancel()
	join := slices.Clone(p.cfg.Settings.Join)
	p.mu.Lock()
	for _, m := range p.view.Members() { // of the process before this one
		if m.State.MayRun() && m.Address != "" && !slices.Contains(join, m.Address) && len(join) < mostJoin {
			join = append(join, m.Address)
		}
	}
	p.mu.Unlock()
	join = p.andBefore(join)
	join = slices.DeleteFunc(join, func(a string) bool { return a == p.cfg.Settings.Advertise })
	some := false
	defer func() {
		p.mu.Lock()
		p.searched, p.found = true, some
		p.mu.Unlock()
	}()
	if len(join) == 0 {
		return
	}
	found := make(chan bool, len(join))
	for _, a := range join {
		go func() {
			for {
				began := time.Now()
				some, _ := p.list.Join([]string{a})
				if some > 0 || ctx.Err() != nil || time.Since(began) < p.cfg.Timing.Stream/2 {
					found <- some > 0
					return
				}
			}
		}()
	}
	for range join {
		select {
		case ok := <-found:
			if some = ok; ok {
				return
			}
		case <-ctx.Done():
			p.log.Warn("no other scheduler answers in time: looking on", "join", join)
			return
		}
	}
	p.log.Warn("no other scheduler is found: looking on", "join", join)
}

// answers tells whether somebody of this scheduler's name answers at an address.
func (p *Peers) answers(address string) bool {
	at, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return false
	}
	for range 3 {
		if _, err := p.list.Ping(p.cfg.Name, at); err == nil {
			return true
		}
	}
	return false
}

// poke lets Apply be called.
func (p *Peers) poke() {
	select {
	case p.kick <- struct{}{}:
	default:
	}
}

// work applies what was heard, in its order, and acknowledges it then.
func (p *Peers) work() {
	for {
		select {
		case <-p.closing:
			return
		case <-p.kick:
			p.conclude()
			p.cfg.Apply()
		case m := <-p.inbox:
			acks := p.take(m, nil)
			for more := true; more; {
				select {
				case m = <-p.inbox:
					acks = p.take(m, acks)
				default:
					more = false
				}
			}
			p.cfg.Apply()
			p.acknowledge(acks)
		}
	}
}

type reply struct {
	to      memberlist.Address
	message wire.Message
}

// take takes a message, and adds the acknowledgement that it wants.
func (p *Peers) take(m wire.Message, acks []reply) []reply {
	lesson := ""
	p.mu.Lock()
	now := p.now()
	p.counts.Messages++
	if m.From == p.cfg.Name {
		p.mu.Unlock()
		return acks
	}
	ack := m.Number != 0
	if ack { // news without a number comes by others, too
		p.view.Heard(now, m.From)
	}
	news := false // to be passed on: the membership gives each news to a few, who give it to a few
	switch m.Kind {
	case wire.Ban:
		d := dotOf(m.Dots[0])
		fresh := !p.bans.Knows(d)
		known := p.bans.Hear(fleet.Ban{Dot: d, Provider: m.Provider, At: m.At})
		ack, news = ack && known, fresh && known
		if news {
			p.log.Info("a peer has been told that a provider is out", "provider", m.Provider, "by", d.By)
		}
		p.note(d, m.From)
	case wire.Enable:
		dots := make([]fleet.Dot, len(m.Dots))
		for i, d := range m.Dots {
			dots[i] = dotOf(d)
			news = news || !p.bans.Undone(dots[i])
		}
		p.undo(dots)
	case wire.Forget:
		if news = p.view.Forget(now, m.Name, fleet.Start(m.Start)); news {
			p.log.Info("operators say that a scheduler is over", "peer", m.Name, "told", m.From)
		}
	case wire.Ack:
		if a := p.waiting[m.Number]; a != nil {
			if delete(a.left, m.From); len(a.left) == 0 {
				delete(p.waiting, m.Number)
				close(a.done)
			}
		}
		for _, d := range m.Dots {
			p.note(dotOf(d), m.From)
		}
		ack = false
	case wire.Stop:
		if p.cfg.Settings.Drains {
			stop := fleet.Stop{Provider: m.Provider, Since: m.Since, Index: m.Index, By: m.From, Start: fleet.Start(m.Start)}
			p.mu.Unlock()
			own := p.cfg.Own(m.Provider)
			p.mu.Lock()
			if news = p.stops.Hear(now, stop, own); news {
				p.log.Info("a peer has heard that a provider wants nothing new", "provider", m.Provider, "peer", m.From)
			}
		}
	case wire.Leave:
		before, _ := p.view.Get(m.From)
		p.view.Leave(now, m.From, fleet.Start(m.Start))
		after, _ := p.view.Get(m.From)
		news = before.State != after.State
	case wire.Lesson:
		if news = p.lesson(m); news && p.cfg.Settings.Lessons {
			lesson = m.Provider
		}
	}
	var to memberlist.Address
	if peer, ok := p.view.Get(m.From); ok {
		to = memberlist.Address{Addr: peer.Address, Name: peer.Name}
	}
	p.mu.Unlock()
	if news {
		m.Number = 0
		p.broadcast(m)
	}
	if lesson != "" {
		p.cfg.Failing(lesson)
	}
	if ack && to.Addr != "" {
		acks = append(acks, reply{to, wire.Message{Kind: wire.Ack, Number: m.Number, From: p.cfg.Name, Dots: m.Dots}})
	}
	return acks
}

// mostLessons is how many lessons are remembered, so that each counts once.
const mostLessons = 1024

// lesson tells whether a lesson is heard for the first time. Called under mu.
func (p *Peers) lesson(m wire.Message) bool {
	key := lessonKey{m.From, m.Start, m.Index}
	if p.lessons[key] {
		return false
	}
	if len(p.taught) >= mostLessons {
		delete(p.lessons, p.taught[0])
		p.taught = p.taught[1:]
	}
	p.lessons[key] = true
	p.taught = append(p.taught, key)
	return true
}

func dotOf(d wire.Dot) fleet.Dot { return fleet.Dot{By: d.By, Start: fleet.Start(d.Start), Seq: d.Seq} }

func wireDot(d fleet.Dot) wire.Dot { return wire.Dot{By: d.By, Start: uint64(d.Start), Seq: d.Seq} }

// note remembers who has a ban in force. Called under mu.
func (p *Peers) note(d fleet.Dot, name string) {
	if p.has[d] == nil {
		if len(p.has) >= mostBans {
			return
		}
		p.has[d] = make(map[string]bool)
	}
	if len(p.has[d]) < mostMembers {
		p.has[d][name] = true
	}
}

func (p *Peers) undo(dots []fleet.Dot) {
	p.bans.Undo(dots)
	for _, d := range dots {
		delete(p.has, d)
	}
}

func (p *Peers) send(to memberlist.Address, m wire.Message) {
	// An error is a lost packet like any other.
	p.list.SendToAddress(to, m.Append())
}

// broadcast passes a message on to all, as news.
func (p *Peers) broadcast(m wire.Message) { p.queue.QueueBroadcast(&news{m.Append()}) }

type news struct{ b []byte }

// Invalidates implements memberlist.Broadcast.
func (*news) Invalidates(memberlist.Broadcast) bool { return false }

// Message implements memberlist.Broadcast.
func (n *news) Message() []byte { return n.b }

// Finished implements memberlist.Broadcast.
func (*news) Finished() {}

// Heard says how a word of operators has spread when they are answered.
type Heard struct{ InForce, Missing []string }

// sayLimit is for all that are reached to answer; operators wait for 1 s.
const sayLimit = 700 * time.Millisecond

// say tells a message to all that may run and waits until all that are reached have it in force.
func (p *Peers) say(m wire.Message, most time.Duration) Heard {
	p.mu.Lock()
	p.number++
	m.Number, m.From = p.number, p.cfg.Name
	a := &asked{left: make(map[string]string), done: make(chan struct{})}
	heard := Heard{InForce: []string{p.cfg.Name}}
	reached := make(map[string]string)
	for _, x := range p.view.Members() {
		switch {
		case x.Name == p.cfg.Name || !x.State.MayRun():
		case x.State == fleet.Unreachable || x.Address == "":
			heard.Missing = append(heard.Missing, x.Name)
		default:
			a.left[x.Name], reached[x.Name] = x.Address, x.Address
		}
	}
	if len(a.left) > 0 {
		p.waiting[m.Number] = a
	} else {
		close(a.done)
	}
	p.mu.Unlock()
	limit := time.NewTimer(most)
	defer limit.Stop()
	every := time.NewTicker(max(p.cfg.Timing.Gossip/2, 20*time.Millisecond))
	defer every.Stop()
	for over := false; !over; {
		p.mu.Lock()
		left := maps.Clone(a.left)
		p.mu.Unlock()
		for name, address := range left {
			p.send(memberlist.Address{Addr: address, Name: name}, m)
		}
		select {
		case <-a.done:
			over = true
		case <-limit.C:
			over = true
		case <-p.closing:
			over = true
		case <-every.C:
		}
	}
	p.mu.Lock()
	delete(p.waiting, m.Number)
	for name := range reached {
		if _, missing := a.left[name]; missing {
			heard.Missing = append(heard.Missing, name)
		} else {
			heard.InForce = append(heard.InForce, name)
		}
	}
	p.mu.Unlock()
	// Those who were not heard may hear others: it goes on as news, too.
	m.Number = 0
	p.broadcast(m)
	slices.Sort(heard.InForce)
	slices.Sort(heard.Missing)
	return heard
}

// ErrFull says that there are too many bans for another one.
var ErrFull = errors.New("peers: there are too many bans: enable providers that nobody needs out any more")

// Ban takes a provider out for all. known is called first, with no lock held: an error means that it is not to be.
func (p *Peers) Ban(provider string) (Heard, error) {
	p.mu.Lock()
	name, start := p.view.Me()
	ban, ok := p.bans.Add(name, start, provider, time.Duration(time.Now().UnixNano()))
	p.mu.Unlock()
	if !ok {
		return Heard{}, ErrFull
	}
	p.cfg.Apply()
	if err := p.save(); err != nil {
		return Heard{}, err
	}
	heard := p.say(wire.Message{Kind: wire.Ban, Provider: provider, At: ban.At, Dots: []wire.Dot{wireDot(ban.Dot)}}, sayLimit)
	p.mu.Lock()
	for _, n := range heard.InForce {
		p.note(ban.Dot, n)
	}
	p.mu.Unlock()
	return heard, nil
}

// mostDots is how many bans one message undoes; a provider rarely has more than one.
const mostDots = 4

// Enable undoes all bans of a provider that are known here.
func (p *Peers) Enable(provider string) (Heard, error) {
	p.mu.Lock()
	dots := p.bans.Of(provider)
	p.undo(dots)
	p.mu.Unlock()
	p.cfg.Apply()
	if err := p.save(); err != nil {
		return Heard{}, err
	}
	heard := Heard{InForce: []string{p.cfg.Name}}
	for some := range slices.Chunk(dots, mostDots) {
		m := wire.Message{Kind: wire.Enable, Provider: provider, At: time.Duration(time.Now().UnixNano())}
		for _, d := range some {
			m.Dots = append(m.Dots, wireDot(d))
		}
		heard = p.say(m, sayLimit)
	}
	return heard, nil
}

// Out tells whether a provider is banned.
func (p *Peers) Out(provider string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bans.Out(provider)
}

// Bans is how many bans are in force.
func (p *Peers) Bans() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	live, _ := p.bans.All()
	return len(live)
}

// Held tells whether a peer's word keeps a provider from getting anything new.
func (p *Peers) Held(provider string, own fleet.Own) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stops.Holds(p.now(), provider, own)
}

// Named are the providers that anything has been said of: bans and stops.
func (p *Peers) Named() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	live, _ := p.bans.All()
	names := p.stops.Providers()
	for _, b := range live {
		names = append(names, b.Provider)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Stopped tells the others that the own list says of a provider's process that it drains or is gone.
func (p *Peers) Stopped(provider string, since time.Duration, index uint64) {
	p.mu.Lock()
	name, start := p.view.Me()
	stop := fleet.Stop{Provider: provider, Since: since, Index: index, By: name, Start: start}
	known := p.stops.Known(p.now(), stop)
	p.mu.Unlock()
	if p.cfg.Settings.Drains && !known { // else it goes round already
		p.broadcast(wire.Message{Kind: wire.Stop, From: name, Start: uint64(start), Provider: provider, Since: since, Index: index})
	}
}

// Failed tells the others that a provider fails what it is sent.
func (p *Peers) Failed(provider string) {
	if !p.cfg.Settings.Lessons {
		return
	}
	p.mu.Lock()
	_, start := p.view.Me()
	p.mu.Unlock()
	// The clock names it: a count would begin anew after an upgrade, under the same start.
	m := wire.Message{Kind: wire.Lesson, From: p.cfg.Name, Start: uint64(start), Index: uint64(time.Now().UnixNano()), Provider: provider}
	p.broadcast(m)
}

// Errors of Forget.
var (
	ErrNoPeer = errors.New("no such scheduler")
	ErrThere  = errors.New("the scheduler is there: stop it first")
)

// Forget takes the operators' word that a scheduler which is not reached is over.
func (p *Peers) Forget(name string) (Heard, error) {
	p.mu.Lock()
	m, ok := p.view.Get(name)
	done := ok && p.view.Forget(p.now(), name, m.Start)
	p.mu.Unlock()
	switch {
	case !ok:
		return Heard{}, ErrNoPeer
	case !done && m.State.MayRun():
		return Heard{}, ErrThere
	case !done:
		return Heard{InForce: []string{p.cfg.Name}}, nil // it was over already
	}
	p.conclude()
	if err := p.save(); err != nil {
		return Heard{}, err
	}
	return p.say(wire.Message{Kind: wire.Forget, Name: name, Start: uint64(m.Start)}, sayLimit), nil
}

// Conclusion is what follows from all that was heard so far.
func (p *Peers) Conclusion() fleet.Conclusion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.last
}

// conclude draws conclusions anew, tells changes, and lets them be applied.
func (p *Peers) conclude() {
	p.mu.Lock()
	now := p.now()
	c := p.view.Conclude(now)
	changed := c != p.last
	was := p.last
	p.last = c
	var lines []func()
	states := make(map[string]fleet.State, len(p.states))
	for _, m := range p.view.Members() {
		before, seen := p.states[m.Name]
		states[m.Name] = m.State
		// Doubt comes and goes with packets that are lost.
		if m.Name != p.cfg.Name && (!seen || before != m.State) && m.State != fleet.Doubt && !(before == fleet.Doubt && m.State == fleet.Present) {
			lines = append(lines, func() {
				p.log.Info("scheduler "+m.State.String(), "peer", m.Name, "address", m.Address, "start", m.Start)
			})
		}
	}
	p.states = states
	due := p.stops.Next()
	p.mu.Unlock()
	for _, line := range lines {
		line()
	}
	if changed && (c.Self != was.Self || c.Present != was.Present || c.MayRun != was.MayRun || c.Held != was.Held) {
		p.log.Info("schedulers", "self", c.Self, "present", c.Present, "may_run", c.MayRun, "majority", c.Majority, "share", fmt.Sprintf("%.4f", c.Share))
	}
	if changed || due != 0 && due <= now {
		p.poke()
	}
}

// watch looks after what the membership does not: who is silent to this scheduler itself, who should be asked again, and
// bans that somebody has missed.
func (p *Peers) watch() {
	tick := time.NewTicker(p.cfg.Timing.Probe)
	defer tick.Stop()
	busy := make(chan struct{}, 2)
	try := func(do func()) { // nobody waits for these when the process ends: each has its time
		select {
		case busy <- struct{}{}:
			go func() {
				defer func() { <-busy }()
				do()
			}()
		default:
		}
	}
	for n := 0; ; n++ {
		select {
		case <-p.closing:
			return
		case <-tick.C:
		}
		p.conclude()
		p.repair()
		if quiet, ok := p.quietest(); ok {
			try(func() { p.look(quiet) })
		}
		if address := p.missing(n); address != "" {
			try(func() { p.list.Join([]string{address}) })
		}
		if n%60 == 59 {
			p.mu.Lock()
			other := p.conflict
			p.conflict = nil
			_, me := p.view.Me()
			p.mu.Unlock()
			if other != nil {
				p.log.Error("two processes have one name: stop one of them", "name", p.cfg.Name, "other", other.address, "this_one_is_older", uint64(me) < other.start)
			}
		}
	}
}

// quietest is the present peer that was heard from least lately.
func (p *Peers) quietest() (q fleet.Member, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State <= fleet.Doubt && m.Address != "" && (!ok || m.Heard < q.Heard) {
			q, ok = m, true
		}
	}
	return q, ok
}

func (p *Peers) look(m fleet.Member) {
	at, err := net.ResolveUDPAddr("udp", m.Address)
	if err != nil {
		return
	}
	_, err = p.list.Ping(m.Name, at)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.view.Silent(p.now(), m.Name)
	} else {
		p.view.Heard(p.now(), m.Name)
	}
}

// missing is the address of one that should be there and is not reached, in turn; empty: there is none, or it is not time.
func (p *Peers) missing(n int) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []string
	there := map[string]bool{p.cfg.Settings.Advertise: true}
	for _, m := range p.view.Members() {
		if m.State <= fleet.Doubt || !m.State.MayRun() {
			there[m.Address] = true
		} else if m.Address != "" {
			all = append(all, m.Address)
		}
	}
	for _, a := range p.andBefore(p.cfg.Settings.Join) {
		if !there[a] && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return ""
	}
	return all[n%len(all)]
}

// mostRepairs is how many bans are told again at a time.
const mostRepairs = 8

// repair tells bans again to those that are reached and have not said that they have them.
func (p *Peers) repair() {
	var out []reply
	p.mu.Lock()
	live, _ := p.bans.All()
	for _, b := range live {
		for _, m := range p.view.Members() {
			if m.Name == p.cfg.Name || m.State > fleet.Doubt || m.Address == "" || p.has[b.Dot][m.Name] || len(out) >= mostRepairs {
				continue
			}
			p.number++
			out = append(out, reply{memberlist.Address{Addr: m.Address, Name: m.Name}, wire.Message{Kind: wire.Ban, Number: p.number,
				From: p.cfg.Name, Provider: b.Provider, At: b.At, Dots: []wire.Dot{wireDot(b.Dot)}}})
		}
	}
	p.mu.Unlock()
	for _, r := range out {
		p.send(r.to, r.message)
	}
}

// Wake says that this process stood still: what it has heard is old.
func (p *Peers) Wake() {
	p.mu.Lock()
	p.counts.Stalls++
	p.view.Wake()
	p.mu.Unlock()
	p.conclude()
}

// Refresh asks a peer for all that it knows, applies that, and says so. It gives up with ctx.
func (p *Peers) Refresh(ctx context.Context) {
	p.mu.Lock()
	var all []fleet.Member
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State.MayRun() && m.Address != "" {
			all = append(all, m)
		}
	}
	p.mu.Unlock()
	slices.SortFunc(all, func(a, b fleet.Member) int {
		return cmp.Or(cmp.Compare(a.State, b.State), cmp.Compare(b.Heard, a.Heard))
	})
	all = all[:min(3, len(all))]
	answers := make(chan bool, len(all))
	for _, m := range all {
		go func() {
			n, _ := p.list.Join([]string{m.Address})
			answers <- n > 0
		}()
	}
	for heard := false; !heard && len(all) > 0; all = all[1:] {
		select {
		case heard = <-answers:
		case <-ctx.Done():
			heard = true // no more is to be had
		}
	}
	p.mu.Lock()
	p.view.Awake()
	p.mu.Unlock()
	p.conclude()
	p.cfg.Apply()
}

// Leave says that this process is over: it sends nothing more.
func (p *Peers) Leave() {
	p.mu.Lock()
	_, start := p.view.Me()
	p.mu.Unlock()
	// The membership's own word does not tell who has left from who was given up.
	// Both at once: the platform gives a process that has answered all no more than a moment.
	var both sync.WaitGroup
	both.Go(func() { p.say(wire.Message{Kind: wire.Leave, Start: uint64(start)}, p.cfg.Timing.Answer) })
	both.Go(func() { p.list.Leave(p.cfg.Timing.Answer) })
	both.Wait()
	p.Close()
}

// Release lets go of everything without a word and gives what the next process needs to go on as the same member.
func (p *Peers) Release() (start uint64, state []byte) {
	p.once.Do(func() {
		close(p.closing)
		p.list.Shutdown()
	})
	p.mu.Lock()
	_, own := p.view.Me()
	p.mu.Unlock()
	return uint64(own), (*delegate)(p).LocalState(false)
}

// Close lets go of everything without a word.
func (p *Peers) Close() {
	p.once.Do(func() {
		close(p.closing)
		p.list.Shutdown()
	})
	p.all.Wait()
}

// Report is what operators are shown.
type Report struct {
	Me         string           `json:"me"`
	Start      uint64           `json:"start"`
	Present    int              `json:"present"`
	MayRun     int              `json:"may_run"`
	Self       string           `json:"self"`
	Majority   bool             `json:"majority"`
	Restrained bool             `json:"restrained"` // it takes half of its part of what all share
	Share      float64          `json:"share"`
	Members    []MemberReport   `json:"members"`
	Bans       []BanReport      `json:"bans"`
	Held       []string         `json:"held"` // providers that a peer's word keeps from getting anything new
	Conflict   string           `json:"conflict,omitempty"`
	Counts     map[string]int   `json:"counts"`
	Traffic    map[string]int64 `json:"traffic,omitempty"`
}

// MemberReport is a scheduler as operators are shown it.
type MemberReport struct {
	Name     string  `json:"name"`
	State    string  `json:"state"`
	Start    uint64  `json:"start"`
	Address  string  `json:"address"`
	HeardMS  int64   `json:"heard_ms"` // since something came from itself; -1: nothing has
	SinceMS  int64   `json:"since_ms"` // in this state
	Replaced int     `json:"replaced"`
	Weight   float64 `json:"weight,omitempty"`
}

// BanReport is a ban as operators are shown it.
type BanReport struct {
	Provider string   `json:"provider"`
	By       string   `json:"by"`
	At       string   `json:"at"`
	Missing  []string `json:"missing"` // who may run and has not said that it has it in force
}

// Report tells how things stand.
func (p *Peers) Report() Report {
	p.conclude()
	p.mu.Lock()
	defer p.mu.Unlock()
	now, c := p.now(), p.last
	name, start := p.view.Me()
	r := Report{Me: name, Start: uint64(start), Present: c.Present, MayRun: c.MayRun, Self: c.Self.String(), Majority: c.Majority,
		Restrained: c.Held, Share: c.Share, Bans: []BanReport{}, Held: []string{}, Counts: map[string]int{
			"messages": p.counts.Messages, "dropped": p.counts.Dropped, "malformed": p.counts.Malformed,
			"other_version": p.counts.OtherVersion, "exchanges": p.counts.Exchanges, "stalls": p.counts.Stalls,
			"members_refused": p.view.Refused, "bans_refused": p.bans.Dropped, "drains_refused": p.stops.Dropped}}
	switch p.cfg.Settings.Shares { // what is in force
	case ByPresent:
		r.Share = 1 / float64(c.Claims)
	case Off:
		r.Share = 1 / float64(max(1, p.cfg.Expect))
	}
	for _, m := range p.view.Members() {
		x := MemberReport{Name: m.Name, State: m.State.String(), Start: uint64(m.Start), Address: m.Address, HeardMS: -1,
			SinceMS: (now - m.Since).Milliseconds(), Replaced: m.Replaced, Weight: m.Weight}
		if m.Heard > 0 {
			x.HeardMS = (now - m.Heard).Milliseconds()
		}
		if m.Name == name {
			x.HeardMS = 0
		}
		r.Members = append(r.Members, x)
	}
	live, _ := p.bans.All()
	for _, b := range live {
		x := BanReport{Provider: b.Provider, By: b.By, At: time.Unix(0, int64(b.At)).UTC().Format(time.RFC3339Nano), Missing: []string{}}
		for _, m := range p.view.Members() {
			if m.Name != name && m.State.MayRun() && !p.has[b.Dot][m.Name] {
				x.Missing = append(x.Missing, m.Name)
			}
		}
		r.Bans = append(r.Bans, x)
	}
	r.Held = append(r.Held, p.stops.Providers()...)
	if p.conflict != nil {
		r.Conflict = p.conflict.address
	}
	if s, ok := p.net.(interface{ Traffic() Traffic }); ok {
		t := s.Traffic()
		r.Traffic = map[string]int64{"packets_in": int64(t.PacketsIn), "packets_out": int64(t.PacketsOut), "bytes_in": int64(t.BytesIn),
			"bytes_out": int64(t.BytesOut), "streams": int64(t.Streams), "refused": int64(t.Refused),
			"stream_bytes_in": int64(t.StreamBytesIn), "stream_bytes_out": int64(t.StreamBytesOut)}
	}
	return r
}
