package peers

import (
	"time"

	"laddertide/core/fleet"
)

// Report is the state of the membership in the form shown to operators.
type Report struct {
	Me         string           `json:"me"`
	Start      uint64           `json:"start"`
	Present    int              `json:"present"`
	MayRun     int              `json:"may_run"`
	Self       string           `json:"self"`
	Majority   bool             `json:"majority"`
	Restrained bool             `json:"restrained"` // it uses half of its share
	Share      float64          `json:"share"`
	Members    []MemberReport   `json:"members"`
	Bans       []BanReport      `json:"bans"`
	Held       []string         `json:"held"` // providers that get no new jobs because of a peer's drain notice
	Conflict   string           `json:"conflict,omitempty"`
	Counts     map[string]int   `json:"counts"`
	Traffic    map[string]int64 `json:"traffic,omitempty"`
}

// MemberReport describes a scheduler in a Report.
type MemberReport struct {
	Name     string  `json:"name"`
	State    string  `json:"state"`
	Start    uint64  `json:"start"`
	Address  string  `json:"address"`
	HeardMS  int64   `json:"heard_ms"` // since the last message that it sent itself; -1: there was none
	SinceMS  int64   `json:"since_ms"` // in this state
	Replaced int     `json:"replaced"`
	Weight   float64 `json:"weight,omitempty"`
}

// BanReport describes a ban in a Report.
type BanReport struct {
	Provider string   `json:"provider"`
	By       string   `json:"by"`
	At       string   `json:"at"`
	Missing  []string `json:"missing"` // schedulers that may run and have not acknowledged it
}

// Report returns the current state of the membership.
func (p *Peers) Report() Report {
	p.conclude()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.conclusion
	name, start := p.view.Identity()
	r := Report{
		Me:         name,
		Start:      uint64(start),
		Present:    c.Present,
		MayRun:     c.MayRun,
		Self:       c.Connectivity.String(),
		Majority:   c.Majority,
		Restrained: c.Halved,
		Share:      p.shareInForce(),
		Members:    p.memberReports(),
		Bans:       p.banReports(),
		Held:       append([]string{}, p.stops.Providers()...),
		Counts:     p.countsReport(),
	}
	if p.conflict != nil {
		r.Conflict = p.conflict.address
	}
	if s, ok := p.transport.(interface{ Traffic() Traffic }); ok {
		t := s.Traffic()
		r.Traffic = map[string]int64{"packets_in": int64(t.PacketsIn), "packets_out": int64(t.PacketsOut), "bytes_in": int64(t.BytesIn),
			"bytes_out": int64(t.BytesOut), "streams": int64(t.Streams), "refused": int64(t.Refused),
			"stream_bytes_in": int64(t.StreamBytesIn), "stream_bytes_out": int64(t.StreamBytesOut)}
	}
	return r
}

// shareInForce returns this scheduler's share according to the setting Shares. Called under mu.
func (p *Peers) shareInForce() float64 {
	switch p.cfg.Settings.Shares {
	case ByPresent:
		return 1 / float64(p.conclusion.Sharers)
	case Off:
		return 1 / float64(max(1, p.cfg.ExpectedSchedulers))
	default:
		return p.conclusion.Share
	}
}

// memberReports returns the reports on all members. Called under mu.
func (p *Peers) memberReports() []MemberReport {
	var reports []MemberReport
	now := p.now()
	for _, m := range p.view.Members() {
		reports = append(reports, MemberReport{
			Name:     m.Name,
			State:    m.State.String(),
			Start:    uint64(m.Start),
			Address:  m.Address,
			HeardMS:  p.heardMS(now, m),
			SinceMS:  (now - m.Since).Milliseconds(),
			Replaced: m.Replaced,
			Weight:   m.Weight,
		})
	}
	return reports
}

// heardMS returns the time in milliseconds since the last message that a member sent itself; -1: there was none.
func (p *Peers) heardMS(now time.Duration, m fleet.Member) int64 {
	switch {
	case m.Name == p.cfg.Name:
		return 0
	case m.LastHeard > 0:
		return (now - m.LastHeard).Milliseconds()
	default:
		return -1
	}
}

// banReports returns the reports on all bans in force. Called under mu.
func (p *Peers) banReports() []BanReport {
	reports := []BanReport{}
	inForce, _ := p.bans.All()
	for _, ban := range inForce {
		at := time.Unix(0, int64(ban.At)).UTC().Format(time.RFC3339Nano)
		reports = append(reports, BanReport{Provider: ban.Provider, By: ban.By, At: at, Missing: p.withoutBan(ban.BanID)})
	}
	return reports
}

// withoutBan returns the names of the members that may run and have not acknowledged a ban. Called under mu.
func (p *Peers) withoutBan(id fleet.BanID) []string {
	names := []string{}
	for _, m := range p.view.Members() {
		if m.Name != p.cfg.Name && m.State.MayRun() && !p.banHolders[id][m.Name] {
			names = append(names, m.Name)
		}
	}
	return names
}

// countsReport returns all counters under their public names. Called under mu.
func (p *Peers) countsReport() map[string]int {
	return map[string]int{
		"messages":        p.counts.Messages,
		"dropped":         p.counts.Dropped,
		"malformed":       p.counts.Malformed,
		"other_version":   p.counts.OtherVersion,
		"exchanges":       p.counts.Exchanges,
		"stalls":          p.counts.Stalls,
		"members_refused": p.view.Refused,
		"bans_refused":    p.bans.Dropped,
		"drains_refused":  p.stops.Dropped,
	}
}
