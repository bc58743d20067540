package peers

import (
	"context"
	"fmt"
	"io"
	"log"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"laddertide/core/fleet"
	wire "laddertide/wire/peers"
)

// Start joins the other schedulers. It returns once one of them has sent its full state, or none could be found in time: the
// search then continues in the background. An error means that this process must not serve, because the sockets cannot be opened
// or another process of its name is running.
func Start(ctx context.Context, cfg Config) (*Peers, error) {
	if cfg.Start == 0 {
		cfg.Start = uint64(time.Now().UnixNano())
	}
	p := newPeers(cfg)
	network, err := p.openTransport()
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	if err := p.createList(network); err != nil {
		network.Shutdown()
		return nil, fmt.Errorf("peers: %w", err)
	}
	p.search(ctx)
	p.mu.Lock()
	p.joining = false
	other := p.conflict
	p.mu.Unlock()
	if other != nil && other.start < cfg.Start && p.answersToOwnName(other.address) {
		p.Close()
		return nil, fmt.Errorf("peers: another process of the name %s is there, at %s, and was there before this one", cfg.Name, other.address)
	}
	p.goroutines.Go(p.applyLoop)
	p.goroutines.Go(p.watchLoop)
	p.requestApply()
	return p, nil
}

// newPeers returns Peers without sockets, with the state of earlier processes that cfg holds.
func newPeers(cfg Config) *Peers {
	p := &Peers{
		cfg:                cfg,
		log:                cfg.Log,
		origin:             time.Now(),
		listReady:          make(chan struct{}),
		inbox:              make(chan wire.Message, inboxSize),
		applyDue:           make(chan struct{}, 1),
		closing:            make(chan struct{}),
		noteDue:            make(chan struct{}, 1),
		loggedStates:       make(map[string]fleet.State),
		notes:              make(map[string]wire.Note),
		banHolders:         make(map[fleet.BanID]map[string]bool),
		announcements:      make(map[uint64]*announcement),
		seenFailureReports: make(map[failureReportKey]bool),
		loggedFaults:       make(map[string]bool),
		joining:            true,
	}
	set := &cfg.Settings
	p.view = fleet.New(cfg.Name, fleet.Start(cfg.Start), set.Advertise, cfg.Timing.limits(cfg.ExpectedSchedulers), p.now())
	p.bans = fleet.NewBans(maxBans)
	p.stops = fleet.NewStops(set.DrainHold, maxStops)
	p.restoreState()
	p.conclusion = p.view.Conclude(p.now())
	if cfg.State != nil {
		p.joining = false // it has estimates of its own
		(*delegate)(p).MergeRemoteState(cfg.State, false)
	}
	return p
}

// openTransport returns the configured transport or opens the sockets. If this process succeeds another one as the same
// member it retries for a while, as that process may be about to close them.
func (p *Peers) openTransport() (memberlist.Transport, error) {
	if p.cfg.Network != nil {
		return p.cfg.Network, nil
	}
	timing := p.cfg.Timing
	deadline := time.Now().Add(timing.ExchangeTime)
	for {
		s, err := listen(p.cfg.Settings.Listen, timing, p.cfg.HandleGroupConn)
		if err == nil {
			return s, nil
		}
		if p.cfg.State == nil || !time.Now().Before(deadline) {
			return nil, err
		}
		time.Sleep(timing.GossipInterval / 4)
	}
}

// createList starts the membership protocol on a transport.
func (p *Peers) createList(network memberlist.Transport) error {
	c, err := p.listConfig(network)
	if err != nil {
		return err
	}
	p.queue = &memberlist.TransmitLimitedQueue{RetransmitMult: retransmitMult, NumNodes: func() int {
		return p.Conclusion().Present
	}}
	list, err := memberlist.Create(c)
	if err != nil {
		return err
	}
	p.list = list
	p.transport = network
	close(p.listReady)
	return nil
}

// listConfig returns the configuration of the membership protocol. An error means that the keys are not usable.
func (p *Peers) listConfig(network memberlist.Transport) (*memberlist.Config, error) {
	set := &p.cfg.Settings
	timing := p.cfg.Timing
	c := memberlist.DefaultLANConfig()
	c.Name = p.cfg.Name
	c.Label = set.Cluster
	c.Transport = network
	if set.Advertise != "" && p.cfg.Network == nil {
		if ip, port := splitAddress(set.Advertise); port != 0 {
			c.AdvertiseAddr = ip
			c.AdvertisePort = port
		}
	}
	c.ProbeTimeout = timing.AnswerTime
	c.ProbeInterval = timing.ProbeInterval
	c.GossipInterval = timing.GossipInterval
	c.PushPullInterval = timing.ExchangeInterval
	c.TCPTimeout = timing.ExchangeTime
	c.DeadNodeReclaimTime = timing.ProbeInterval
	c.SuspicionMult = suspicionMult
	c.SuspicionMaxTimeoutMult = suspicionMaxTimeoutMult
	c.AwarenessMaxMultiplier = awarenessMaxMult
	c.UDPBufferSize = packetSize
	c.EnableCompression = false
	c.RequireNodeNames = false
	c.Delegate = (*delegate)(p)
	c.Events = (*events)(p)
	c.Conflict = (*events)(p)
	c.Alive = (*events)(p)
	c.Ping = (*events)(p)
	c.Logger = log.New(io.Discard, "", 0) // the library logs several lines per lost packet; this package logs what matters
	if set.Keys == nil {
		return c, nil
	}
	keyring, err := memberlist.NewKeyring(set.Keys, set.Keys[0])
	if err != nil {
		return nil, err
	}
	c.Keyring = keyring
	return c, nil
}

// Leave announces that this process has ended and sends nothing more, and then closes.
func (p *Peers) Leave() {
	p.mu.Lock()
	_, start := p.view.Identity()
	p.mu.Unlock()
	// The membership protocol's own message does not distinguish a member that has left from one that was given up. Both
	// messages are sent at the same time, as the platform soon kills a process that has answered everything.
	var both sync.WaitGroup
	both.Go(func() { p.announce(wire.Message{Kind: wire.Leave, Start: uint64(start)}, p.cfg.Timing.AnswerTime) })
	both.Go(func() { p.list.Leave(p.cfg.Timing.AnswerTime) })
	both.Wait()
	p.Close()
}

// Release closes the sockets without an announcement. It returns what the next process needs to continue as the same member.
func (p *Peers) Release() (start uint64, state []byte) {
	p.shutdown()
	p.mu.Lock()
	_, own := p.view.Identity()
	p.mu.Unlock()
	return uint64(own), (*delegate)(p).LocalState(false)
}

// Close closes the sockets without an announcement and waits for the goroutines of Peers.
func (p *Peers) Close() {
	p.shutdown()
	p.goroutines.Wait()
}

// shutdown ends the membership protocol and closes its sockets, once.
func (p *Peers) shutdown() {
	p.closeOnce.Do(func() {
		close(p.closing)
		p.list.Shutdown()
	})
}
