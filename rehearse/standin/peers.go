package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"sigs.k8s.io/yaml"
)

// A stand-in whose operators' file has a section peers says to each of join, again and again, who it is and which workers
// operators have out. It knows who has said so lately, and nothing better: it is no model for membership.

const (
	helloEvery   = 200 * time.Millisecond
	silentFor    = 3 * time.Second // after which one counts as unreachable
	strangerStay = time.Second     // of a connection at the address for peers
	mostHello    = 16 << 10
)

// peers is what a stand-in knows of others. All but conn and join belong to the scheduler's mutex.
type peers struct {
	conn  *net.UDPConn
	join  []*net.UDPAddr
	heard map[string]time.Time
	hands map[string]int // how often operators have said something of a worker; odd: it is out
}

// hello is a packet.
type hello struct {
	Name  string         `json:"name"`
	Hands map[string]int `json:"hands"`
}

// meet opens the address for peers, if the operators' file wants one.
func (s *scheduler) meet(args []string) error {
	i := slices.Index(args, "--fleet")
	if i < 0 || i+1 == len(args) {
		return nil
	}
	raw, err := os.ReadFile(args[i+1])
	if err != nil {
		return err
	}
	var file struct {
		Peers *struct {
			Listen string
			Join   []string
		}
	}
	if err := yaml.Unmarshal(raw, &file); err != nil || file.Peers == nil {
		return err
	}
	p := &peers{heard: make(map[string]time.Time), hands: make(map[string]int)}
	at, err := net.ResolveUDPAddr("udp4", file.Peers.Listen)
	if err != nil {
		return err
	}
	if p.conn, err = net.ListenUDP("udp4", at); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", file.Peers.Listen)
	if err != nil {
		return err
	}
	for _, a := range file.Peers.Join {
		to, err := net.ResolveUDPAddr("udp4", a)
		if err != nil {
			return err
		}
		p.join = append(p.join, to)
	}
	s.peers = p
	go s.strangers(ln)
	go s.listenToPeers()
	go func() {
		for ; ; time.Sleep(helloEvery) {
			s.greet()
		}
	}()
	return nil
}

// strangers closes on whoever comes by TCP: stand-ins speak UDP.
func (s *scheduler) strangers(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		go func() {
			defer c.Close()
			if s.bad["keep-strangers"] {
				io.Copy(io.Discard, c)
				return
			}
			c.SetReadDeadline(time.Now().Add(strangerStay))
			io.Copy(io.Discard, c)
		}()
	}
}

func (s *scheduler) greet() {
	s.mu.Lock()
	h := hello{s.cfg.Name, maps.Clone(s.peers.hands)}
	s.mu.Unlock()
	text, err := json.Marshal(h)
	if err != nil {
		return
	}
	for _, to := range s.peers.join {
		s.peers.conn.WriteTo(text, to)
	}
}

func (s *scheduler) listenToPeers() {
	buf := make([]byte, mostHello)
	for {
		n, err := s.peers.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		var h hello
		d := json.NewDecoder(bytes.NewReader(buf[:n]))
		d.DisallowUnknownFields()
		if err != nil || d.Decode(&h) != nil || h.Name == "" {
			continue
		}
		s.mu.Lock()
		s.peers.heard[h.Name] = time.Now()
		for w, n := range h.Hands {
			s.said(w, n)
		}
		s.mu.Unlock()
	}
}

// said puts in force what operators have said of a worker, if it is the latest. Called under mu.
func (s *scheduler) said(worker string, n int) {
	if n <= s.peers.hands[worker] {
		return
	}
	s.peers.hands[worker] = n
	if w := s.workers[worker]; w != nil {
		w.banned = n%2 == 1
	}
}

// handed takes an operator's word, and passes it on.
func (s *scheduler) handed(worker string, out bool) {
	s.mu.Lock()
	if w := s.workers[worker]; w != nil {
		w.banned = out
	}
	tell := s.peers != nil && (s.peers.hands[worker]%2 == 1) != out
	if tell {
		s.said(worker, s.peers.hands[worker]+1)
	}
	s.mu.Unlock()
	if tell {
		s.greet()
	}
}

// fleetPage is what GET /-/fleet gives, as far as the kit reads it.
type fleetPage struct {
	Start   uint64   `json:"start"`
	Self    string   `json:"self"`
	Present int      `json:"present"`
	MayRun  int      `json:"may_run"`
	Share   float64  `json:"share"`
	Members []member `json:"members"`
	Bans    []ban    `json:"bans"`
}

// started is this process's number.
var started = time.Now()

type member struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type ban struct {
	Provider string `json:"provider"`
}

// view is that page.
func (s *scheduler) view() []byte {
	var page fleetPage
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers.heard[s.cfg.Name] = time.Now()
	for _, name := range slices.Sorted(maps.Keys(s.peers.heard)) {
		m := member{name, "present"}
		if time.Since(s.peers.heard[name]) > silentFor {
			m.State = "unreachable"
		} else {
			page.Present++
		}
		page.Members = append(page.Members, m)
	}
	page.MayRun = max(len(page.Members), s.cfg.Settings.FleetSize)
	page.Self, page.Share = "cut", 1/float64(page.MayRun)
	switch page.Present {
	case page.MayRun:
		page.Self = "whole"
	case 1:
		page.Self = "alone"
	}
	page.Start = uint64(started.UnixNano())
	for _, w := range slices.Sorted(maps.Keys(s.peers.hands)) {
		if s.peers.hands[w]%2 == 1 {
			page.Bans = append(page.Bans, ban{w})
		}
	}
	s.sabotageView(&page)
	text, err := json.Marshal(page)
	if err != nil {
		return nil
	}
	return text
}

// sabotageView is what goes wrong with what one says of the others.
func (s *scheduler) sabotageView(page *fleetPage) {
	switch {
	case s.bad["call-over"]:
		for i := range page.Members {
			if page.Members[i].Name != s.cfg.Name {
				page.Members[i].State = "left"
			}
		}
	case s.bad["undercount"]:
		page.MayRun--
	case s.bad["cut-for-ever"]:
		page.Self = "cut"
	case s.bad["take-all"]:
		page.Share = 1
	case s.bad["forget-bans"]:
		page.Bans = nil
	case s.bad["old-number"]:
		page.Start = 1
	}
}
