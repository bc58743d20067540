// Package judge checks the recorded history of a rehearsal against the rules that every scheduler must keep. It reports
// all breaches, and none for a scheduler that kept the rules. It is a pure function without sockets or a clock. It relies
// on the events recorded by clients, workers, discovery and process control, never on what a scheduler reports about
// itself. Times are microseconds since the start of the run. The given events are never modified.
//
// Every limit is extended by the slack of the rules and by the time for which the kit itself was stalled within it.
// Where the order of two events is ambiguous, the scheduler gets the benefit of the doubt.
package judge

import (
	"fmt"
	"slices"
	"strings"

	"laddertide/core/history"
)

// Rule is the name of a rule.
type Rule string

// The rules. Altered covers what a scheduler forwards: only requests that a client sent, unchanged.
const (
	Answers    Rule = "answers"
	Duplicates Rule = "duplicates"
	Drains     Rule = "drains"
	Cold       Rule = "cold"
	Altered    Rule = "altered"
	Views      Rule = "views"  // schedulers that know each other: what they report about the others
	Owners     Rule = "owners" // jobs that any scheduler answers for: how all of them together treat an id
)

// rules lists all rules in reporting order.
var rules = []Rule{Answers, Duplicates, Drains, Cold, Altered, Views, Owners}

// The kinds of breaches: stable identifiers for programs to match.
const (
	NoAnswer            = "no-answer"         // answers: none while the scheduler ran and the client waited
	LateAnswer          = "late-answer"       // answers: answered after the limit
	ClosedUnanswered    = "closed"            // answers: the scheduler closed the connection instead of answering
	SecondAnswer        = "second-answer"     // answers: the request had already been answered
	SentAfterAnswer     = "sent-after-answer" // answers: sent to a worker after its client had been answered
	FabricatedResult    = "made-up-result"    // answers: a 200 with a result that no worker had produced for this request by then
	ServedBadClient     = "served-stranger"   // answers: a 200 to a misbehaving client whose request cannot have run
	Crashed             = "crashed"           // answers: the process ended on its own, without a signal
	ChangedAnswer       = "changed-answer"    // answers: a durable job got a different answer when it was asked for again
	RepeatRejected      = "not-joined"        // answers: a durable job was rejected as invalid when it was asked for again
	LostResult          = "lost-result"       // answers: a durable job failed after the scheduler had acknowledged its worker's result
	SecondRun           = "second-run"        // duplicates: a job that must never run twice was sent again after it ran or was accepted by a worker
	ResentUnproven      = "resent-unproven"   // duplicates: the same, where the earlier attempt may have run
	RejectedAfterRun    = "refused-after-run" // duplicates: the answer promised that nothing ran, without proof
	OutsideWindow       = "outside-window"    // duplicates: a keyed request was sent again when its key may have expired
	ParallelAttempts    = "two-out"           // duplicates: sent again while an earlier attempt was still in flight
	TooManyAttempts     = "too-many-attempts" // duplicates: more attempts than the rules allow for a request
	SentAfterDrain      = "sent-after-drain"  // drains: sent to a worker that the scheduler knew to be draining or gone
	SentWhileBanned     = "sent-while-out"    // drains: sent to a worker that an operator had banned
	OperatorUnconfirmed = "no-yes"            // answers: an operator's request was not confirmed in time
	ColdOverload        = "pushed-over"       // cold: a worker failed from overload, mostly by schedulers that knew it was cold
	AlteredJob          = "altered"           // altered: a worker was sent a request in a form in which no client had sent it
	UnknownRequest      = "unasked"           // altered: a worker was sent an id that no client had sent
	RunningReportedGone = "wrong-end"         // views: a running scheduler is reported as left or forgotten
	Undercount          = "undercount"        // views: fewer schedulers are reported as possibly sending than are
	ViewsDiffer         = "disagree"          // views: the reports still differ long after the last disturbance
	StartNumberNotAbove = "number-back"       // views: a process's start number is not above those of all previous processes of its name
	LostBan             = "lost-ban"          // views: a confirmed ban is still unknown long afterwards
	UnclosedPeerConn    = "kept-stranger"     // views: an unknown connection at the peer address was neither answered nor closed in time
	OverBudget          = "over-budget"       // views: together the schedulers take more than one budget
	ConflictNotRejected = "not-known"         // owners: another body, class or tenant under a known id was not rejected for that
	ForeignResult       = "told-other"        // owners: the same, and it was given the result of the original request
	InconsistentOrder   = "no-order"          // owners: no order of an id's requests, runs and answers is consistent (checked by rehearse/ids)
)

// MaxBreaches is the number of breaches that a verdict keeps per rule, earliest first. All of them are counted.
const MaxBreaches = 200

// Breach is one breach of a rule. Only the names involved are set; Attempt is 0 if no attempt is involved.
type Breach struct {
	Rule      Rule   `json:"rule"`
	Kind      string `json:"kind"`
	T         int64  `json:"t"` // when the breach was complete
	Scheduler string `json:"scheduler,omitempty"`
	Worker    string `json:"worker,omitempty"`
	Request   string `json:"request,omitempty"`
	Attempt   int64  `json:"attempt,omitempty"`
	Text      string `json:"text"` // one plain sentence, with figures
}

// Verdict is the result of judging a history.
type Verdict struct {
	Breaches            []Breach     `json:"breaches"` // in order of time, at most MaxBreaches of each rule
	Counts              map[Rule]int `json:"counts"`   // all breaches by rule; contains every rule, also those with 0
	CardIssueDuplicates int          `json:"card_issue_duplicates"`
	MissingAnswers      int          `json:"missing_answers"` // requests that were owed an answer and never got one
	Partial             bool         `json:"partial"`         // the history is truncated
	Notes               []string     `json:"notes,omitempty"` // remarks for the reader; none of them is a breach
}

// AllKept reports whether all rules were kept.
func (v *Verdict) AllKept() bool {
	for _, n := range v.Counts {
		if n > 0 {
			return false
		}
	}
	return true
}

// Add adds a breach that was found outside of this package.
func (v *Verdict) Add(b Breach) {
	if v.Counts[b.Rule]++; v.Counts[b.Rule] > MaxBreaches {
		return
	}
	at, _ := slices.BinarySearchFunc(v.Breaches, b.T, func(x Breach, t int64) int { return sign(x.T - t) })
	v.Breaches = slices.Insert(v.Breaches, at, b)
}

// Judge checks a history against all rules.
func Judge(events []history.Event) Verdict {
	c := gather(events)
	for i := range c.requests {
		c.judgeAnswers(&c.requests[i])
		c.judgeAttempts(&c.requests[i])
	}
	c.judgeCrossings()
	c.judgeProcesses()
	c.judgeBadClients()
	c.judgeAltered()
	c.judgeDrains()
	c.judgeBans()
	c.judgeOverloads()
	c.judgeViews()
	c.judgeIDConflicts()
	return c.verdict()
}

// RequestEvents returns all events of a request and its attempts, in the given order.
func RequestEvents(events []history.Event, request string) []history.Event {
	own := make(map[int64]bool)
	for i := range events {
		if ev := &events[i]; ev.Request == request && isAttempt(ev) {
			own[ev.Attempt] = true
		}
	}
	var out []history.Event
	for i := range events {
		ev := &events[i]
		if ev.Request == request && request != "" || ev.Request == "" && ev.Attempt != 0 && own[ev.Attempt] {
			out = append(out, *ev)
		}
	}
	return out
}

func (c *checker) addBreach(b Breach) { c.breaches = append(c.breaches, b) }

func (c *checker) note(format string, args ...any) {
	c.notes = append(c.notes, fmt.Sprintf(format, args...))
}

func (c *checker) verdict() Verdict {
	v := Verdict{
		Counts:              make(map[Rule]int),
		CardIssueDuplicates: c.countSecondRuns(),
		MissingAnswers:      c.missing,
		Partial:             c.partial,
	}
	for _, rule := range rules {
		v.Counts[rule] = 0
	}
	slices.SortStableFunc(c.breaches, func(a, b Breach) int {
		switch {
		case a.T != b.T:
			return sign(a.T - b.T)
		case a.Rule != b.Rule:
			return strings.Compare(string(a.Rule), string(b.Rule))
		case a.Request != b.Request:
			return strings.Compare(a.Request, b.Request)
		}
		return sign(a.Attempt - b.Attempt)
	})
	for _, b := range c.breaches {
		if v.Counts[b.Rule]++; v.Counts[b.Rule] <= MaxBreaches {
			v.Breaches = append(v.Breaches, b)
		}
	}
	for _, rule := range rules {
		if n := v.Counts[rule]; n > MaxBreaches {
			c.note("Of %d breaches of %s only the first %d are kept.", n, rule, MaxBreaches)
		}
	}
	if c.excusedByKill > 0 {
		c.note("%d requests were unanswered at a scheduler when the kit killed it; nobody is blamed for them.",
			c.excusedByKill)
	}
	if c.excusedByPause > 0 {
		c.note("%d requests were out at a scheduler while the kit had it stopped; nobody is blamed for a late or missing answer.",
			c.excusedByPause)
	}
	if c.excusedNotReady > 0 {
		c.note("%d durable requests ran out of time with no process of their scheduler that had been ready for the last %s; "+
			"nobody is blamed for them.", c.excusedNotReady, seconds(c.rules.RecoveryTime))
	}
	if c.excusedByOwner > 0 {
		c.note("%d requests had no answer in their time, and their owner was dead, stopped, cut off or leaving meanwhile; nobody is "+
			"blamed for them.", c.excusedByOwner)
	}
	if c.inProgress > 0 {
		c.note("%d requests were told to the end of their time that they go on; they had no result by then.", c.inProgress)
	}
	if c.twoResults > 0 {
		c.note("%d requests that may run any number of times got two results while schedulers failed or were cut off.", c.twoResults)
	}
	if c.crossedByClose > 0 {
		c.note("%d requests crossed the close of their connection; they were not taken.", c.crossedByClose)
	}
	if c.excusedByStall > 0 {
		c.note("%d clients hung up just as the kit stood still; nobody is blamed for them.", c.excusedByStall)
	}
	if c.leftEarly > 0 {
		c.note("%d clients left before their time; nothing is owed to them.", c.leftEarly)
	}
	v.Notes = c.notes
	return v
}

func sign(d int64) int {
	switch {
	case d < 0:
		return -1
	case d > 0:
		return 1
	}
	return 0
}

// seconds formats microseconds as milliseconds or seconds.
func seconds(us int64) string {
	switch {
	case us > -1_000_000 && us < 1_000_000:
		return fmt.Sprintf("%.1f ms", float64(us)/1e3)
	default:
		return fmt.Sprintf("%.3f s", float64(us)/1e6)
	}
}
