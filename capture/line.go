package capture

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"laddertide/dispatch"
	"laddertide/policy"
)

// version is the version of the format, which each head states.
const version = 1

// head is the first line of a segment. It holds all that a replay needs to start there.
type head struct {
	Capture       int             `json:"capture"`        // the format's version
	Segment       int             `json:"segment"`        // one more than that of the previous segment
	Gap           int             `json:"gap"`            // events lost since the last one that was recorded
	StateReplaced bool            `json:"anew,omitempty"` // the module has been given other settings or another state since the last event
	Origin        int64           `json:"origin"`         // the module's clock, Unix time in ns, at which t is 0
	T             json.Number     `json:"t"`
	Seed          string          `json:"seed"` // 16 hex digits
	Index         uint64          `json:"index"`
	Settings      policy.Settings `json:"settings"`
	Providers     []string        `json:"providers"` // indexed by the module's worker IDs
	State         []byte          `json:"state"`     // the module's checkpoint
}

// line is an event as a replay reads it. The first keys describe the event; the others are the exact input of the decision
// module and the actions that it returned.
type line struct {
	T               json.Number     `json:"t"`
	Class           string          `json:"class"`
	Tenant          string          `json:"tenant"`
	Index           uint64          `json:"index"`
	To              string          `json:"to"`
	Next            string          `json:"next"`
	Decision        string          `json:"decision"`
	Event           string          `json:"event"`
	N               uint64          `json:"n"`
	As              [2]int          `json:"as"`
	Left            int64           `json:"left"`
	Hint            int64           `json:"hint"`
	Slots           float64         `json:"slots"`
	ConnectionSlots int             `json:"connection-slots"`
	Attempt         int             `json:"attempt"`
	Status          uint8           `json:"status"`
	Closed          bool            `json:"closed"`
	Elapsed         int64           `json:"elapsed"`
	Token           uint64          `json:"token"`
	By              int64           `json:"by"`
	Kind            uint8           `json:"kind"`
	Entries         []entry         `json:"entries"`
	Past            []past          `json:"past"`
	Panic           bool            `json:"panic"`
	Do              json.RawMessage `json:"do"`
}

// entry is an entry of a list, [name, state, kind, zone, cell, weight, started], followed by back if that is not 0.
type entry struct {
	name  string
	entry policy.Entry
}

func (e *entry) UnmarshalJSON(b []byte) error {
	to := []any{&e.name, &e.entry.State, &e.entry.Kind, &e.entry.Zone, &e.entry.Cell, &e.entry.Weight, &e.entry.Started, &e.entry.Back}
	n := len(to)
	if err := json.Unmarshal(b, &to); err != nil {
		return err
	}
	if len(to) < n-1 || len(to) > n || e.entry.State > policy.Gone || e.entry.Kind < 0 || e.entry.Zone < 0 {
		return errors.New("invalid entry of a list")
	}
	return nil
}

// past is an attempt of a previous process, [name, sent, started, mayRun, out]; times are relative to the origin.
type past struct {
	name    string
	attempt policy.PastAttempt
}

func (p *past) UnmarshalJSON(b []byte) error {
	to := []any{&p.name, &p.attempt.Sent, &p.attempt.Started, &p.attempt.MayRun, &p.attempt.Out}
	n := len(to)
	if err := json.Unmarshal(b, &to); err != nil {
		return err
	}
	if len(to) != n {
		return errors.New("invalid attempt of a previous process")
	}
	return nil
}

// Names of the module's inputs and of the ends of an attempt: those of the protocol where it has one.
var (
	inputNames = [...]string{dispatch.List: "list", dispatch.Request: "request", dispatch.Note: "started", dispatch.Outcome: "end",
		dispatch.Gone: "left", dispatch.Timer: "timer", dispatch.Stop: "stop", dispatch.Resume: "resumed"}
	endNames = map[dispatch.End]string{dispatch.Served: "done", dispatch.Failed: "failed", dispatch.Refused: "returned",
		dispatch.Broken: "lost"}
)

// Decisions about the request of a line.
const (
	sent     = "sent"
	rejected = "refused"
	failed   = "failed"
	waiting  = "waits" // not decided yet
)

// writer appends lines. It holds what is needed to translate the module's numbers.
type writer struct {
	set       *policy.Settings
	origin    time.Duration
	providers []string
	index     uint64
}

func (w *writer) provider(id policy.WorkerID) string {
	if id < policy.WorkerID(len(w.providers)) {
		return w.providers[id]
	}
	return ""
}

// opensJob reports whether an input begins a job.
func opensJob(in dispatch.Input) bool { return in == dispatch.Request || in == dispatch.Resume }

// decision appends the decision of a step about its own request.
func (w *writer) decision(b []byte, s *dispatch.Step) []byte {
	decision, to := "", ""
	for i := range s.Actions {
		if a := &s.Actions[i]; s.Number != 0 && a.Request == s.Number {
			switch a.Kind {
			case policy.Send:
				decision, to = sent, w.provider(a.Worker)
			case policy.Reject:
				decision = rejected
			case policy.Fail:
				decision = failed
			}
		}
	}
	if opensJob(s.Input) && decision == "" {
		decision = waiting
	}
	key := `,"next":`
	if opensJob(s.Input) {
		key = `,"to":` // these inputs have no worker of their own that would use the key
	}
	if to != "" {
		b = appendString(append(b, key...), to)
	}
	if decision != "" {
		b = append(append(append(b, `,"decision":"`...), decision...), '"')
	}
	return b
}

// actions appends all actions of a step.
func (w *writer) actions(b []byte, s *dispatch.Step) []byte {
	if s.Failed {
		b = append(b, `,"panic":true`...)
	}
	b = append(b, `,"do":[`...)
	for i := range s.Actions {
		if i > 0 {
			b = append(b, ',')
		}
		b = w.action(b, &s.Actions[i])
	}
	return append(b, ']')
}

func (w *writer) action(b []byte, a *policy.Action) []byte {
	number := func(b []byte, v int64) []byte { return strconv.AppendInt(append(b, ','), v, 10) }
	switch a.Kind {
	case policy.Send:
		b = number(append(b, `["send"`...), int64(a.Request))
		b = appendString(append(b, ','), w.provider(a.Worker))
		b = number(number(b, int64(a.Timeout)), int64(a.AckTimeout))
	case policy.Reject:
		b = number(number(append(b, `["refuse"`...), int64(a.Request)), int64(a.RetryIn))
	case policy.Fail:
		b = number(append(b, `["fail"`...), int64(a.Request))
	case policy.CancelSend:
		b = number(number(append(b, `["cancel"`...), int64(a.Request)), int64(a.Attempt))
	case policy.SetTimer:
		b = number(number(append(b, `["timer"`...), int64(a.Token)), int64(a.At-w.origin))
	default: // does not occur with the engine's settings
		b = number(number(append(b, `["other"`...), int64(a.Kind)), int64(a.Worker))
		b = append(append(append(b, `,"`...), hex.EncodeToString(a.Data)...), '"')
	}
	return append(b, ']')
}

// line appends an event, with a newline.
func (w *writer) line(b []byte, s *dispatch.Step) []byte {
	integer := func(key string, v int64) {
		b = strconv.AppendInt(append(append(append(b, `,"`...), key...), `":`...), v, 10)
	}
	text := func(key, v string) {
		b = appendString(append(append(append(b, `,"`...), key...), `":`...), v)
	}
	b = appendMillis(append(b, `{"t":`...), s.Now-w.origin)
	job := s.Job(s.Number)
	if job != nil {
		text("id", job.ID)
		text("class", w.set.Classes[job.Class].Name)
		text("tenant", truncate(job.TenantName))
		b = appendMillis(append(b, `,"deadline_ms":`...), job.Deadline)
	}
	integer("index", int64(w.index))
	attempt := -1
	switch s.Input {
	case dispatch.Note:
		attempt = s.Note.Attempt
		text("to", w.provider(s.Note.Worker))
	case dispatch.Outcome:
		attempt = s.Outcome.Attempt
		text("to", w.provider(s.Outcome.Worker))
		endName, ok := endNames[s.End]
		if !ok {
			endName = s.End.String()
		}
		text("out", endName)
	}
	b = w.decision(b, s)
	text("event", inputNames[s.Input])
	if s.Number != 0 {
		integer("n", int64(s.Number))
	}
	if attempt >= 0 {
		integer("attempt", int64(attempt))
	}
	switch s.Input {
	case dispatch.Request, dispatch.Resume:
		q := &s.Request
		b = strconv.AppendInt(append(b, `,"as":[`...), int64(q.Class), 10)
		b = append(strconv.AppendInt(append(b, ','), int64(q.Tenant), 10), ']')
		integer("left", int64(q.Left))
		integer("hint", int64(q.Hint))
		b = strconv.AppendFloat(append(b, `,"slots":`...), q.Slots, 'g', -1, 64)
		if q.ConnectionSlots > 0 {
			integer("connection-slots", int64(q.ConnectionSlots))
		}
		if s.Input == dispatch.Resume {
			b = w.past(b, s.Past)
		}
	case dispatch.Outcome:
		integer("status", int64(s.Outcome.Status))
		integer("elapsed", int64(s.Outcome.Elapsed))
		if s.Outcome.Closed {
			b = append(b, `,"closed":true`...)
		}
	case dispatch.Timer:
		integer("token", int64(s.Token))
	case dispatch.Stop:
		integer("by", int64(s.By-w.origin))
	case dispatch.List:
		integer("kind", int64(s.List))
		b = append(b, `,"entries":[`...)
		for i := range s.Entries {
			e := &s.Entries[i]
			if i > 0 {
				b = append(b, ',')
			}
			b = appendString(append(b, '['), s.Names[i])
			for _, v := range [...]int{int(e.State), e.Kind, e.Zone, e.Cell} {
				b = strconv.AppendInt(append(b, ','), int64(v), 10)
			}
			b = strconv.AppendFloat(append(b, ','), e.Weight, 'g', -1, 64)
			b = strconv.AppendInt(append(b, ','), int64(e.Started), 10)
			if e.Back != 0 {
				b = strconv.AppendInt(append(b, ','), int64(e.Back), 10)
			}
			b = append(b, ']')
		}
		b = append(b, ']')
	}
	b = w.others(w.actions(b, s), s)
	return append(b, '}', '\n')
}

func (w *writer) past(b []byte, all []policy.PastAttempt) []byte {
	b = append(b, `,"past":[`...)
	for i := range all {
		p := &all[i]
		if i > 0 {
			b = append(b, ',')
		}
		b = appendString(append(b, '['), w.provider(p.Worker))
		started := int64(0)
		if p.Started != 0 {
			started = int64(p.Started - w.origin)
		}
		b = strconv.AppendInt(append(strconv.AppendInt(append(b, ','), int64(p.Sent-w.origin), 10), ','), started, 10)
		b = append(strconv.AppendBool(append(strconv.AppendBool(append(b, ','), p.MayRun), ','), p.Out), ']')
	}
	return append(b, ']')
}

// others appends the ids of the other requests in the step's actions, so that a search for an id finds every decision about it.
func (w *writer) others(b []byte, s *dispatch.Step) []byte {
	first := true
	for i := range s.Actions {
		a := &s.Actions[i]
		if a.Request == 0 || a.Request == s.Number || a.Kind == policy.SetTimer {
			continue
		}
		job := s.Job(a.Request)
		if job == nil {
			continue
		}
		if first {
			b = append(b, `,"others":{`...)
		} else {
			b = append(b, ',')
		}
		first = false
		b = strconv.AppendInt(append(b, '"'), int64(a.Request), 10)
		b = appendString(append(b, `":`...), job.ID)
	}
	if !first {
		b = append(b, '}')
	}
	return b
}

// appendMillis appends a time in ms, with as many decimals as are needed to be exact.
func appendMillis(b []byte, d time.Duration) []byte {
	if d < 0 {
		b, d = append(b, '-'), -d
	}
	b = strconv.AppendInt(b, int64(d/time.Millisecond), 10)
	if rest := int64(d % time.Millisecond); rest > 0 {
		digits := strconv.Itoa(int(1_000_000 + rest))[1:]
		b = append(append(b, '.'), strings.TrimRight(digits, "0")...)
	}
	return b
}

// parseMillis parses the output of appendMillis without rounding.
func parseMillis(s string) (time.Duration, error) {
	sign := time.Duration(1)
	if rest, ok := strings.CutPrefix(s, "-"); ok {
		sign, s = -1, rest
	}
	whole, decimals, _ := strings.Cut(s, ".")
	if len(decimals) > 6 {
		return 0, errors.New("t has more than six decimals")
	}
	ms, err := strconv.ParseUint(whole, 10, 40)
	if err != nil {
		return 0, errors.New("t is not a time in ms")
	}
	ns, err := strconv.ParseUint((decimals + "000000")[:6], 10, 32)
	if err != nil {
		return 0, errors.New("t is not a time in ms")
	}
	return sign * (time.Duration(ms)*time.Millisecond + time.Duration(ns)), nil
}

// maxTenantBytes limits the bytes that are recorded of a tenant's name, which clients choose.
const maxTenantBytes = 128

func truncate(s string) string {
	if len(s) > maxTenantBytes {
		return s[:maxTenantBytes] + "…"
	}
	return s
}

// appendString writes a JSON string, always valid and on one line.
func appendString(b []byte, s string) []byte {
	b = append(b, '"')
	for _, r := range s {
		switch {
		case r == '"' || r == '\\':
			b = append(b, '\\', byte(r))
		case r < ' ' || r == 0x7f || r == '\u0085' || r == '\u2028' || r == '\u2029':
			b = fmt.Appendf(b, `\u%04x`, r)
		default:
			b = utf8.AppendRune(b, r)
		}
	}
	return append(b, '"')
}

// step returns the call of the module that a line records.
func (l *line) step(w *writer, ids map[string]policy.WorkerID) (*dispatch.Step, error) {
	t, err := parseMillis(l.T.String())
	if err != nil {
		return nil, err
	}
	input := slices.Index(inputNames[:], l.Event)
	if input <= 0 {
		return nil, fmt.Errorf("event %q is not known", l.Event)
	}
	s := &dispatch.Step{Input: dispatch.Input(input), Now: w.origin + t, Number: policy.RequestID(l.N)}
	worker := ids[l.To]
	switch s.Input {
	case dispatch.Request, dispatch.Resume:
		if c := l.As[0]; c < 0 || c >= len(w.set.Classes) || w.set.Classes[c].Name != l.Class || l.N == 0 {
			return nil, errors.New("invalid class or request number")
		}
		s.Request = policy.Request{ID: s.Number, Class: l.As[0], Tenant: l.As[1], Left: time.Duration(l.Left),
			Hint: time.Duration(l.Hint), Slots: l.Slots, ConnectionSlots: l.ConnectionSlots}
		for i := range l.Past {
			p := l.Past[i].attempt
			id, ok := ids[l.Past[i].name]
			if !ok {
				return nil, errors.New("an attempt of a previous process names an unknown provider")
			}
			p.Worker, p.Sent = id, p.Sent+w.origin
			if p.Started != 0 {
				p.Started += w.origin
			}
			s.Past = append(s.Past, p)
		}
	case dispatch.Note:
		s.Note = policy.Note{Request: s.Number, Attempt: l.Attempt, Worker: worker, Started: true}
	case dispatch.Outcome:
		if l.Status > uint8(policy.NotRun) {
			return nil, errors.New("the status is not known")
		}
		s.Outcome = policy.Outcome{Request: s.Number, Attempt: l.Attempt, Worker: worker, Status: policy.Status(l.Status),
			Closed: l.Closed, Elapsed: time.Duration(l.Elapsed)}
	case dispatch.Timer:
		s.Token = l.Token
	case dispatch.Stop:
		s.By = w.origin + time.Duration(l.By)
	case dispatch.List:
		s.List, s.Index = policy.ListKind(l.Kind), l.Index
		for _, e := range l.Entries {
			id, ok := ids[e.name]
			if !ok {
				id = policy.WorkerID(len(w.providers))
				ids[e.name] = id
				w.providers = append(w.providers, e.name)
			}
			e.entry.ID = id
			s.Entries, s.Names = append(s.Entries, e.entry), append(s.Names, e.name)
		}
	}
	return s, nil
}

// recorded returns the output of decision and actions that the line holds, for comparison.
func (l *line) recorded(input dispatch.Input) []byte {
	var b []byte
	if opensJob(input) {
		if l.To != "" {
			b = appendString(append(b, `,"to":`...), l.To)
		}
	} else if l.Next != "" {
		b = appendString(append(b, `,"next":`...), l.Next)
	}
	if l.Decision != "" {
		b = appendString(append(b, `,"decision":`...), l.Decision)
	}
	if l.Panic {
		b = append(b, `,"panic":true`...)
	}
	var do bytes.Buffer
	if json.Compact(&do, l.Do) != nil {
		do.Reset() // the key is missing
	}
	return append(append(b, `,"do":`...), do.Bytes()...)
}
