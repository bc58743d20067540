package scale

import (
	"fmt"
	"math"

	"laddertide/rehearse/links"
	"laddertide/rehearse/scale/measurement"
	"laddertide/rehearse/scale/size"
)

// Kinds of traffic as measurement files name them.
const (
	kindMembership         = "membership"          // packets
	kindMembershipExchange = "membership exchange" // connections for all that a member knows
	kindLedger             = "ledger"              // connections between members of replicated ledgers
	kindDiscovery          = "discovery"
	kindJob                = "job" // all connections and files but those of control
)

// agreement is how far the daemon's counts and those of the relays may be apart.
const agreement = 0.05

// sides are the two directions in which members' messages are counted.
var sides = []struct {
	direction measurement.Direction
	suffix    string // of the daemon's counts
	relayed   func(*look) links.Counts
}{
	{measurement.Sent, "_out", func(l *look) links.Counts { return l.sent }},
	{measurement.Received, "_in", func(l *look) links.Counts { return l.received }},
}

func packetCount(c links.Counts) int64 { return c.Packets }
func packetBytes(c links.Counts) int64 { return c.Bytes - c.StreamBytes }
func streamBytes(c links.Counts) int64 { return c.StreamBytes }

// usage makes means over schedulers of what a window counted. disagreement says where the daemon's counts and the relays'
// are further apart than they may be. A scheduler whose ledger is replicated counts as a member of that.
func usage(w *window, replicated bool) (u measurement.Usage, disagreement string) {
	n := len(w.begin.schedulers)
	u = measurement.Usage{Role: measurement.Scheduler, Instances: n}
	if replicated {
		u.Role = measurement.LedgerMember
	}
	mean := func(of func(before, after *look) float64) float64 {
		sum := 0.0
		for i := range w.begin.schedulers {
			sum += of(&w.begin.schedulers[i], &w.end.schedulers[i])
		}
		return sum / float64(n)
	}
	peak, most := 0.0, 0
	for i, l := range w.end.schedulers {
		peak, most = max(peak, l.system.Peak), max(most, w.descriptors[i])
	}
	u.CPUSeconds = pointer(mean(func(a, b *look) float64 { return (b.system.CPU - a.system.CPU).Seconds() }))
	u.MemorySteady = pointer(mean(func(_, b *look) float64 { return b.system.Resident }))
	u.MemoryPeak, u.Descriptors = pointer(peak), pointer(float64(most))

	own := func(name string) float64 {
		return mean(func(a, b *look) float64 { return float64(b.page.Traffic[name] - a.page.Traffic[name]) })
	}
	control := func(kind string, direction measurement.Direction, messages, bytes *float64, source measurement.Source) {
		u.Traffic = append(u.Traffic, measurement.Traffic{Kind: kind, Path: measurement.Control, Direction: direction,
			Messages: messages, Bytes: bytes, Source: source})
	}
	for _, side := range sides {
		relays := func(of func(links.Counts) int64) *float64 {
			return pointer(mean(func(a, b *look) float64 { return float64(of(side.relayed(b)) - of(side.relayed(a))) }))
		}
		packets, streams := relays(packetBytes), relays(streamBytes)
		ownPackets, ownStreams := pointer(own("bytes"+side.suffix)), pointer(own("stream_bytes"+side.suffix))
		control(kindMembership, side.direction, pointer(own("packets"+side.suffix)), ownPackets, measurement.DaemonCounter)
		control(kindMembership, side.direction, relays(packetCount), packets, measurement.Relay)
		control(kindMembershipExchange, side.direction, nil, ownStreams, measurement.DaemonCounter)
		if replicated { // the daemon does not count connections between members of a ledger, and the relays count all
			control(kindLedger, side.direction, nil, pointer(max(0, *streams-*ownStreams)), measurement.Relay)
			streams = ownStreams
		} else {
			control(kindMembershipExchange, side.direction, nil, streams, measurement.Relay)
		}
		disagreement += apart("membership "+string(side.direction), *ownPackets+*ownStreams, *packets+*streams)
	}
	lists := mean(func(a, b *look) float64 { return float64(b.page.Discovery.Lists - a.page.Discovery.Lists) })
	received := mean(func(a, b *look) float64 { return float64(b.page.Discovery.BytesIn - a.page.Discovery.BytesIn) })
	told := mean(func(a, b *look) float64 { return float64(b.discoverySent - a.discoverySent) })
	control(kindDiscovery, measurement.Received, pointer(lists), pointer(received), measurement.DaemonCounter)
	control(kindDiscovery, measurement.Received, nil, pointer(told), measurement.Relay)
	disagreement += apart("discovery", received, told)
	u.Traffic = append(u.Traffic, jobTraffic(own, mean, received)...)
	return u, disagreement
}

// discoveryUsage is what discovery sent to all schedulers, hollow ones included. What the kit's stand-in takes of the machine says
// nothing of the platform's own and is left out.
func discoveryUsage(w *window) measurement.Usage {
	sent := w.end.hollowDiscovery - w.begin.hollowDiscovery
	for i := range w.begin.schedulers {
		sent += w.end.schedulers[i].discoverySent - w.begin.schedulers[i].discoverySent
	}
	return measurement.Usage{Role: measurement.Discovery, Instances: 1, Traffic: []measurement.Traffic{
		{Kind: kindDiscovery, Path: measurement.Control, Direction: measurement.Sent, Bytes: pointer(float64(sent)), Source: measurement.Relay},
	}}
}

// jobTraffic is what the system counted on connections and files, less what connections for control carried.
func jobTraffic(own func(string) float64, mean func(func(a, b *look) float64) float64, discovery float64) []measurement.Traffic {
	read := mean(func(a, b *look) float64 { return float64(b.system.Read - a.system.Read) })
	written := mean(func(a, b *look) float64 { return float64(b.system.Written - a.system.Written) })
	return []measurement.Traffic{
		{Kind: kindJob, Path: measurement.Job, Direction: measurement.Sent, Source: measurement.System,
			Bytes: pointer(max(0, written-own("stream_bytes_out")))},
		{Kind: kindJob, Path: measurement.Job, Direction: measurement.Received, Source: measurement.System,
			Bytes: pointer(max(0, read-own("stream_bytes_in")-discovery))},
	}
}

// apart says how far two counts are apart; empty: not far.
func apart(what string, daemon, relays float64) string {
	if math.Abs(daemon-relays) <= agreement*max(daemon, relays) {
		return ""
	}
	return fmt.Sprintf("%s: the daemon counted %.0f bytes and the relays %.0f; ", what, daemon, relays)
}

// parametersOf are those of a run.
func parametersOf(s *size.Size) measurement.Parameters {
	return measurement.Parameters{
		Workers: float64(s.Workers.Count), Accelerators: float64(s.Workers.Accelerators), TasksRunning: float64(s.Tasks.Running),
		TaskStartsPerSecond: s.Tasks.StartsPerS, Tenants: float64(s.Tenants.Count), Schedulers: float64(s.Schedulers.Real),
		HollowSchedulers: float64(s.Schedulers.Hollow), Regions: float64(len(s.Regions)), RoundTripMS: s.Network.RegionsRoundTripMS,
		Members: float64(s.Schedulers.LedgerReplicas), ReplicatedGroups: float64(ledgers(s)),
	}
}

// ledgers is how many replicated ones there are: one of each member.
func ledgers(s *size.Size) int {
	if s.Schedulers.LedgerReplicas == 0 {
		return 0
	}
	return s.Schedulers.Real + s.Schedulers.Hollow
}

func pointer(x float64) *float64 { return &x }
