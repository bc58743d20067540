// Package fleet derives from the evidence about the other schedulers which of them share the work, which may still be
// sending, and which part of a shared budget belongs to this scheduler. It owns the evidence and its age. It does no
// I/O, time is passed as an argument, and the effects of a conclusion are not decided here.
//
// A silent peer may be dead or cut off; the two cannot be told apart. Therefore two sets are kept. The schedulers that
// are present share the work now. Those that may run may still be sending, and leave that set only on evidence that
// their process is over. The cost of each line of the rules if it is wrong is listed in docs/design/peers.md.
package fleet

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Start numbers the processes of one name: a later one has a larger number.
type Start uint64

// State is the state of a member.
type State uint8

// The states of a member.
const (
	Present     State = iota // alive, by its own statement or that of others who reach it
	Suspected                // present, but it did not answer this scheduler's last request
	Unreachable              // given up: dead, stopped or cut off
	Left                     // it announced its end: its process is over
	Forgotten                // the operators said that its process is over
)

var stateNames = [...]string{"present", "doubt", "unreachable", "left", "forgotten"}

func (s State) String() string { return stateNames[s] }

// MayRun reports whether a process in this state may still be sending.
func (s State) MayRun() bool { return s <= Unreachable }

// Vote tells how a member counts for a majority. Two processes may know different votes of one process; the larger one
// holds.
type Vote uint8

// The votes of a member.
const (
	NoVote      Vote = iota // it joined recently: not all have known it for long enough
	Voter                   // it was present when all were, for long enough that all knew it
	CountedOnly             // it is counted in the total but supports no side: the process before it was out of reach, and may have learnt beyond the partition that others are over
	EndedVote               // its name was over before this process began, and the vote with it
)

// Counts reports whether the member is part of the total of which a majority is more than half.
func (v Vote) Counts() bool { return v == Voter || v == CountedOnly }

// Connectivity is this scheduler's own connectivity.
type Connectivity uint8

// The degrees of connectivity.
const (
	ReachesAll  Connectivity = iota // it reaches all that may run
	ReachesSome                     // it reaches some of them
	ReachesNone                     // it reaches none of them
	WasPaused                       // it was paused, and has not yet read the messages that arrived meanwhile
)

var selfNames = [...]string{"whole", "cut", "alone", "woken"}

func (s Connectivity) String() string { return selfNames[s] }

// Member is what this scheduler knows of a scheduler.
type Member struct {
	Name      string
	Start     Start
	State     State
	Address   string
	Since     time.Duration // when it entered this state
	LastHeard time.Duration // when a message from the member itself was last received; 0: never
	Weight    float64       // the part of a shared budget that it may continue to use (unreachable) or that nobody has taken over (ended)
	Replaced  int           // earlier processes of this name that were seen
	Vote      Vote

	inheritedWeight float64 // the weight of the previous process that was over: it does not belong to this one, and a majority may have taken it over
}

// Limits bound what a View may conclude, and when. All derive from the timing of the membership (see peers.Timing).
type Limits struct {
	SettleTime         time.Duration // time in which an update reaches all reachable schedulers
	NoticeTime         time.Duration // time after which a peer that was given up has noticed that it has no majority
	MaxMembers         int           // maximum number of known members
	ExpectedSchedulers int           // number of schedulers according to the settings, until that many were met
}

// View is what one scheduler knows of all. It is not safe for concurrent use.
type View struct {
	me      Member
	limits  Limits
	members map[string]*Member // all except this scheduler

	peerShare       float64       // what each scheduler that it reaches uses, or may use while it has a majority
	allReachedSince time.Duration // since when it reaches all that may run; 0: it does not
	minoritySince   time.Duration // since when it has no majority; 0: it has one
	majoritySince   time.Duration // since when it has a majority again; 0: it never lacked one
	paused          bool
	isolated        bool // it receives nothing from anybody: members in state Present may be alive, and it is cut off from all
	met             bool // it has met as many as there should be, or somebody that has
	Refused         int  // members for which there was no room
}

// New returns the view of a scheduler that knows only itself.
func New(name string, start Start, address string, limits Limits, now time.Duration) *View {
	return &View{me: Member{Name: name, Start: start, Address: address, State: Present, Since: now, LastHeard: now}, limits: limits,
		members: make(map[string]*Member), peerShare: 1 / float64(max(1, limits.ExpectedSchedulers))}
}

// Identity returns this scheduler's own name and start.
func (v *View) Identity() (string, Start) { return v.me.Name, v.me.Start }

// Renumber gives this process a start above seen, which others have seen of its name, because an earlier process has had
// its number or a later one. It returns false, and changes nothing, if seen is below the current start.
func (v *View) Renumber(seen Start) (Start, bool) {
	if seen < v.me.Start {
		return v.me.Start, false
	}
	v.me.Start = seen + 1
	return v.me.Start, true
}

// lookup finds the record of the process that a piece of evidence is about. It returns nil if the evidence is about this
// scheduler or about a process that a later one has replaced, or if there is no room for a new member. fresh reports
// that the process was not known here.
func (v *View) lookup(now time.Duration, name string, start Start) (m *Member, fresh bool) {
	if name == "" || name == v.me.Name {
		return nil, false
	}
	m = v.members[name]
	switch {
	case m == nil:
		if len(v.members) >= v.limits.MaxMembers && !v.evictEnded() {
			v.Refused++
			return nil, false
		}
		m = &Member{Name: name, Start: start, State: Unreachable, Since: now}
		v.members[name] = m
		return m, true
	case start < m.Start:
		return nil, false
	case start > m.Start:
		// The name stands for its host and address: the earlier process has ended, or the later one could not have
		// begun.
		vote, kept := m.Vote, m.inheritedWeight
		switch {
		case !m.State.MayRun():
			vote, kept = EndedVote, max(kept, m.Weight)
		case m.State == Unreachable && vote == Voter:
			vote = CountedOnly
		}
		*m = Member{Name: name, Start: start, State: Unreachable, Address: m.Address, Since: now, Replaced: m.Replaced + 1,
			Weight: m.Weight, Vote: vote, inheritedWeight: kept}
		return m, true
	}
	return m, false
}

// evictEnded removes the member that ended first, to make room, and reports whether there was one.
func (v *View) evictEnded() bool {
	var first *Member
	for _, m := range v.members {
		if !m.State.MayRun() && (first == nil || m.Since < first.Since || m.Since == first.Since && m.Name < first.Name) {
			first = m
		}
	}
	if first != nil {
		delete(v.members, first.Name)
	}
	return first != nil
}

// RecordAlive records that a process is present, by its own statement or that of a scheduler that reaches it.
func (v *View) RecordAlive(now time.Duration, name string, start Start, address string) {
	m, _ := v.lookup(now, name, start)
	if m == nil || m.State == Left {
		return // a message from before its leave
	}
	if address != "" {
		m.Address = address
	}
	if m.State == Present || m.State == Suspected {
		return
	}
	// A member that the operators declared over is not if it is alive: counting it costs less than not counting it.
	if !m.State.MayRun() {
		m.inheritedWeight = max(m.inheritedWeight, m.Weight)
	}
	m.State, m.Since, m.Weight = Present, now, 0
	v.allReachedSince = 0 // it counts for a majority when all have known it for long enough
}

// markEnded records that a process is over. While some members are not reached, they may learn of that too, so its part is
// taken over by a majority alone.
func (v *View) markEnded(now time.Duration, m *Member, how State) {
	switch {
	case m.State == Unreachable: // keeps its weight
	case m.State.MayRun():
		m.Weight = v.peerShare + m.inheritedWeight
	}
	m.State, m.Since = how, now
}

// RecordMessage records a message from the process itself.
func (v *View) RecordMessage(now time.Duration, name string) {
	m := v.members[name]
	if m == nil || !m.State.MayRun() {
		return // a member that was given up returns by its start, which this message does not carry
	}
	v.isolated = false
	m.LastHeard = now
	if m.State == Suspected {
		m.State, m.Since = Present, now
	}
}

// receivesRecently reports whether a message from any present peer was received recently, or there is no such peer, and
// sets isolated accordingly. Each peer asks and is asked several times in that period, so a scheduler without any message
// is cut off, and need not wait until it has given the peers up one after the other.
func (v *View) receivesRecently(now time.Duration) bool {
	if v.isolated {
		return false
	}
	some := false
	for _, m := range v.members {
		if m.State == Present || m.State == Suspected {
			if some = true; now-max(m.LastHeard, m.Since) < v.limits.SettleTime {
				return true
			}
		}
	}
	v.isolated = some
	return !some
}

// RecordNoAnswer records that the process did not answer a request.
func (v *View) RecordNoAnswer(now time.Duration, name string) {
	if m := v.members[name]; m != nil && m.State == Present {
		m.State, m.Since = Suspected, now
	}
}

// RecordUnreachable records that the process answers none of those that were asked to try it.
func (v *View) RecordUnreachable(now time.Duration, name string, start Start) {
	m, fresh := v.lookup(now, name, start)
	if m == nil || !m.State.MayRun() || m.State == Unreachable && !fresh {
		return
	}
	v.markUnreachable(now, m, v.peerShare)
}

func (v *View) markUnreachable(now time.Duration, m *Member, weight float64) {
	m.State, m.Since, m.Weight = Unreachable, now, weight+m.inheritedWeight
}

// isPresent reports whether a process of that name is present. Only its own messages can tell that another process has
// followed it: two may have one name by mistake.
func (v *View) isPresent(name string) bool {
	m := v.members[name]
	return m != nil && (m.State == Present || m.State == Suspected)
}

// RecordUnreachableByPeer records a peer's statement about a process that this scheduler does not reach. Whether it is present depends on
// this scheduler's own evidence, but it may run, and it uses its part of a budget: the largest that any reached
// scheduler knows of.
func (v *View) RecordUnreachableByPeer(now time.Duration, name string, start Start, address string, weight float64) {
	if v.isPresent(name) {
		return
	}
	m, fresh := v.lookup(now, name, start)
	some := weight > 0 && weight <= 1
	if m != nil && !fresh && m.State == Unreachable && some {
		m.Weight = max(m.Weight, weight) // it has grown since it was given up here
	}
	if m == nil || !fresh {
		return
	}
	if !some {
		weight = v.peerShare
	}
	m.Address = cmp.Or(address, m.Address)
	v.markUnreachable(now, m, weight)
}

// RecordLeave records a process's own statement that it is over, received directly or passed on.
func (v *View) RecordLeave(now time.Duration, name string, start Start) {
	if m, _ := v.lookup(now, name, start); m != nil && m.State != Left {
		v.markEnded(now, m, Left)
	}
}

// Forget records the operators' statement that a process is over. It returns false if the process was not given up.
func (v *View) Forget(now time.Duration, name string, start Start) bool {
	m := v.members[name]
	if m == nil || m.Start != start || m.State != Unreachable {
		return false
	}
	v.markEnded(now, m, Forgotten)
	return true
}

// RecordEndedByPeer records a peer's statement that a process has ended, by its own statement or the operators', and the part of its
// budget that nobody has taken over. A process that is present is not over because others report that the operators say
// so.
func (v *View) RecordEndedByPeer(now time.Duration, name string, start Start, how State, weight float64) {
	if m := v.members[name]; v.isPresent(name) && m.Start != start {
		return
	}
	m, fresh := v.lookup(now, name, start)
	switch {
	case m == nil || how.MayRun() || m.State == Left:
	case fresh:
		m.State, m.Since = how, now
		if m.Weight = 0; weight > 0 && weight <= 1 {
			m.Weight = weight
		}
	case how == Left || m.State == Unreachable:
		v.markEnded(now, m, how)
	}
	if m != nil && !m.State.MayRun() && weight <= 1 {
		m.Weight = max(m.Weight, weight)
	}
}

// ApplyReport records one entry of a peer's full report: about a member, or about this scheduler.
func (v *View) ApplyReport(now time.Duration, said Member) {
	if said.State > Forgotten {
		return
	}
	vote := said.Vote
	if said.State <= Suspected { // Weight carries the vote of a present member
		if said.Weight > 0 && said.Weight <= 1 {
			vote = max(vote, Vote(math.Round(said.Weight*float64(EndedVote))))
		}
		said.Weight = 0
	}
	switch {
	case said.Name == v.me.Name:
		switch { // the vote of an earlier process is its own
		case said.Start == v.me.Start:
		case !said.State.MayRun():
			vote = EndedVote
		case said.State == Unreachable && vote == Voter:
			vote = CountedOnly
		}
		v.me.Vote = max(v.me.Vote, vote)
	case !said.State.MayRun():
		v.RecordEndedByPeer(now, said.Name, said.Start, said.State, said.Weight)
	default:
		v.RecordUnreachableByPeer(now, said.Name, said.Start, said.Address, said.Weight)
		if m := v.members[said.Name]; m != nil && m.Start == said.Start {
			m.Vote = max(m.Vote, vote)
		}
	}
}

// Report returns the members in the form in which they are sent to peers. For a present member, which has no weight,
// Weight carries the vote; Vote itself only tells whether it counts.
func (v *View) Report() []Member {
	all := v.Members()
	for i := range all {
		m := &all[i]
		if m.State <= Suspected {
			m.Weight = float64(m.Vote) / float64(EndedVote)
		}
		if m.Vote == EndedVote {
			m.Vote = NoVote
		}
		m.Vote = min(m.Vote, Voter)
	}
	return all
}

// Get returns what is known of a member.
func (v *View) Get(name string) (Member, bool) {
	if name == v.me.Name {
		return v.me, true
	}
	if m := v.members[name]; m != nil {
		return *m, true
	}
	return Member{}, false
}

// Members returns all known members and this scheduler, by name.
func (v *View) Members() []Member {
	out := []Member{v.me}
	for _, m := range v.members {
		out = append(out, *m)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// MarkPaused records that this scheduler was paused.
func (v *View) MarkPaused() { v.paused = true }

// MarkCaughtUp records that this scheduler has read the messages that arrived during the pause.
func (v *View) MarkCaughtUp() { v.paused = false }

// RecordMet records that a peer which has met the fleet has shared all that it knows. Before that, and until as many were
// met as the settings say, the fleet is assumed to have the size in the settings.
func (v *View) RecordMet() { v.met = true }

// Met reports whether this scheduler has met the fleet.
func (v *View) Met() bool {
	v.met = v.met || v.knownRunning() >= v.limits.ExpectedSchedulers
	return v.met
}

// knownRunning counts the named schedulers that may run, this one included.
func (v *View) knownRunning() int {
	n := 1
	for _, m := range v.members {
		if m.State.MayRun() {
			n++
		}
	}
	return n
}

// otherVoters counts the other members that count for a majority.
func (v *View) otherVoters() (n int) {
	for _, m := range v.members {
		if m.Vote.Counts() && m.State.MayRun() {
			n++
		}
	}
	return n
}

func (v *View) runningCount() int {
	if !v.Met() {
		return max(v.knownRunning(), v.limits.ExpectedSchedulers)
	}
	return v.knownRunning()
}

// Conclusion is derived from all evidence.
type Conclusion struct {
	Connectivity Connectivity
	Present      int     // schedulers that share the work now, this one included
	MayRun       int     // schedulers that may be sending, this one included
	Sharers      int     // number of schedulers that share the work: those present, or as many as the settings say until that many were met
	Majority     bool    // it reaches more than half of the members that count, or the half with the first name
	Halved       bool    // it has no majority, or had none until a moment ago: it takes half of its part
	Share        float64 // the part of a shared budget that is this scheduler's, above 0 and at most 1
}

// reaches reports whether a member is reached, or is this scheduler itself.
func (v *View) reaches(m *Member) bool { return m == &v.me || m.State != Unreachable && !v.isolated }

// grantVotes gives a vote to all members once they have been seen together for long enough. The parts of ended members are
// free then.
func (v *View) grantVotes(now time.Duration, reached, running int) {
	switch {
	case reached < running:
		v.allReachedSince = 0
	case v.allReachedSince == 0:
		v.allReachedSince = max(now, 1)
	case now-v.allReachedSince >= v.limits.SettleTime:
		v.me.Vote = Voter
		for _, m := range v.members {
			if m.Vote, m.inheritedWeight = Voter, 0; !m.State.MayRun() {
				m.Weight = 0
			}
		}
	}
}

// hasMajority reports whether this scheduler reaches more than half of those that count, or the half with the first name.
// A member that joins while others are cut off must not turn a minority into a majority: it counts once all were seen
// together.
func (v *View) hasMajority(c *Conclusion) bool {
	if !v.Met() {
		return 2*c.Present > c.MayRun
	}
	n, here, first := 0, 0, false
	var least *Member
	for _, m := range append(slices.Collect(maps.Values(v.members)), &v.me) {
		if !m.State.MayRun() || !m.Vote.Counts() {
			continue
		}
		helps := m.Vote == Voter && v.reaches(m)
		if n++; helps {
			here++
		}
		if least == nil || m.Name < least.Name {
			least, first = m, helps
		}
	}
	if n == 0 { // nobody has a vote yet, or those that had one are over
		return c.Present == c.MayRun
	}
	return 2*here > n || 2*here == n && first
}

// Conclude derives the conclusion at a time. Time must not run backwards between calls.
func (v *View) Conclude(now time.Duration) Conclusion {
	c := Conclusion{Present: 1, MayRun: 1}
	v.receivesRecently(now)
	reached := 1
	for _, m := range v.members {
		if m.State.MayRun() && v.reaches(m) {
			reached++
		}
	}
	v.grantVotes(now, reached, v.runningCount())
	taken, all, ended := 0.0, 0.0, 0.0
	for _, name := range slices.Sorted(maps.Keys(v.members)) {
		m := v.members[name]
		switch {
		case !m.State.MayRun():
			ended += m.Weight
			continue
		case v.isolated && m.State != Unreachable:
			all += v.peerShare
			taken += v.peerShare
		case m.State == Unreachable:
			all += m.Weight
			if now-m.Since >= v.limits.NoticeTime {
				taken += m.Weight / 2 // it has no majority, or this scheduler has none and has halved its own
			} else {
				taken += m.Weight
			}
		default:
			c.Present++
			ended += m.inheritedWeight
		}
		c.MayRun++
	}
	c.Sharers = c.Present
	if unmet := v.runningCount() - c.MayRun; unmet > 0 {
		c.Sharers = max(c.Present, v.limits.ExpectedSchedulers)
		c.MayRun += unmet
		part := float64(unmet) / float64(c.MayRun)
		taken, all = taken+part, all+part
	}
	c.Majority = v.hasMajority(&c)
	switch {
	case !c.Majority:
		if v.minoritySince == 0 {
			v.minoritySince = max(now, 1)
		}
		v.majoritySince = 0
	case v.minoritySince != 0 && v.majoritySince == 0:
		v.majoritySince = max(now, 1)
	}
	// The others have grown by what this one gave up. By then they know that it is back.
	if v.majoritySince != 0 && now-v.majoritySince >= v.limits.SettleTime {
		v.minoritySince, v.majoritySince = 0, 0
	}
	c.Halved = v.minoritySince != 0
	if c.Halved {
		taken = all + ended // those that it does not reach may have a majority, and have halved nothing
	}
	c.Share = (1 - taken) / float64(c.Present)
	least := 1 / float64(4*c.MayRun)
	if !(c.Share >= least) {
		c.Share = least // reported weights may make no sense; nobody is left without a part
	}
	if !v.isolated { // what the others use continues from its last value
		v.peerShare = c.Share
	}
	if c.Halved {
		// Those beyond the partition cannot know of a member that joined meanwhile. If the members that admitted it
		// end, and that is known beyond the partition, nobody counts its part: it gets the minimum.
		if v.Met() && !v.me.Vote.Counts() && v.otherVoters() > 0 {
			c.Share = least
		}
		c.Share /= 2
	}
	switch {
	case v.paused:
		c.Connectivity = WasPaused
	case c.Present == c.MayRun:
		c.Connectivity = ReachesAll
	case c.Present == 1:
		c.Connectivity = ReachesNone
	default:
		c.Connectivity = ReachesSome
	}
	return c
}
