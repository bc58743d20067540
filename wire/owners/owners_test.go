package owners

import (
	"bytes"
	"errors"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"laddertide/wire/peers"
)

var (
	a      = Process{"n1", 1 << 60}
	b      = Process{"n2", 3}
	record = Record{ID: "j-1", Owner: a, Nonce: 7, Term: 2, Rev: 3, Digest: [16]byte{1, 15: 9}, Effect: 2, InLedger: true, Confirmed: true, TimeLeft: time.Minute,
		DueIn: time.Second, Attempts: []Attempt{{"w-1", 5}, {"w-2", 0}}, Replaces: b, ReplacesTerm: 1, ReplacesRev: 4}
	ended = Record{ID: "j-2", Owner: b, Ended: true, HasOutcome: true, Outcome: Outcome{Kind: 1, Result: []byte("r"), RetryAfter: 4, Reason: "w"}}
	job   = Job{Record: record, Class: "c", TenantName: "p", Key: "k", Subject: "s", Protocol: "http", Deadline: 1, TimeLeft: 2, WorkHint: 3, Slots: 0.5,
		Payload: []byte{0, 1}, Fields: []Field{{"n", "v"}}, PastAttempts: []PastAttempt{{"w-1", 3, true, true, false}}}
	samples = []Message{
		{Kind: Put, Number: 1, From: a, Roster: 1 << 63, Record: &record},
		{Kind: Drop, From: a, Record: &ended},
		{Kind: Read, Number: 2, From: b, ID: "j-1"},
		{Kind: QueryJob, Number: 3, From: b, Record: &record},
		{Kind: Sync, Number: 4, From: b, Roster: 5},
		{Kind: RecordsPart, Number: 4, From: a, Roster: 5, Piece: 1, Pieces: 2, StoredUnder: [][]Process{{a, b}, {b}}, IncompleteRosters: [][]Process{{a, b}, {a}}, Records: []Record{record, ended}},
		{Kind: GetRoster, Number: 5, From: a},
		{Kind: HandOver, Number: 6, From: a, Job: &job},
		{Kind: Event, Number: 7, From: a, ID: "j-1", Report: &ProviderReport{Provider: "w-1", Lease: 1 << 63, State: 3, Share: 0.25, Result: []byte("r")}},
		{Kind: Reply, Number: 8, From: b, Code: No, Roster: 9, Record: &ended, Outcome: &ended.Outcome},
		{Kind: JobEnded, From: a, ID: "j-1", Outcome: &Outcome{Kind: 4}},
		{Kind: Batch, From: b, Bundle: [][]byte{{1, 2}, {3}}},
		{Kind: Offer, Number: 9, From: a, ID: "j-1"},
		{Kind: Formers, From: a, Formers: []Process{{"n1", 4}, {"n1", 9}}},
	}
)

func TestRoundTrip(t *testing.T) {
	seen := map[Kind]bool{}
	for _, m := range samples {
		seen[m.Kind] = true
		if got, err := Parse(m.Append()); err != nil || !reflect.DeepEqual(*got, m) {
			t.Errorf("%+v is decoded as %+v, %v", m, got, err)
		}
	}
	if len(seen) != int(kindEnd)-1 {
		t.Errorf("samples of %d kinds, want %d", len(seen), kindEnd-1)
	}
}

// TestSlotsThatAreNotFinite guards against a job of an earlier version that cannot be handed on, as its number of slots is not finite.
func TestSlotsThatAreNotFinite(t *testing.T) {
	for _, slots := range []float64{math.Inf(1), math.Inf(-1), math.NaN()} {
		given := job
		given.Slots = slots
		m, err := Parse((&Message{Kind: HandOver, From: a, Job: &given}).Append())
		if err != nil || m.Job.Slots != 0 {
			t.Errorf("%v slots: %+v, %v", slots, m, err)
		}
	}
}

func TestInvalidInput(t *testing.T) {
	whole := samples[0].Append()
	with := func(change func(m *Message, r *Record, j *Job)) []byte {
		r, j := record, job
		m := Message{Kind: Put, From: a, Record: &r}
		change(&m, &r, &j)
		return m.Append()
	}
	long := strings.Repeat("x", MaxName+1)
	for name, c := range map[string][]byte{
		"empty":             nil,
		"no kind":           with(func(m *Message, _ *Record, _ *Job) { m.Kind = 0 }),
		"an unknown kind":   with(func(m *Message, _ *Record, _ *Job) { m.Kind = kindEnd }),
		"an unknown code":   with(func(m *Message, _ *Record, _ *Job) { m.Code = codeEnd }),
		"truncated":         whole[:len(whole)-1],
		"trailing bytes":    append(slices.Clone(whole), 0),
		"too large":         make([]byte, MaxMessage+1),
		"a name too long":   with(func(_ *Message, r *Record, _ *Job) { r.Owner.Name = long }),
		"an id too long":    with(func(_ *Message, r *Record, _ *Job) { r.ID = long[:MaxID+1] }),
		"too many attempts": with(func(_ *Message, r *Record, _ *Job) { r.Attempts = make([]Attempt, MaxAttempts+1) }),
		"a result too long": with(func(_ *Message, r *Record, _ *Job) { r.HasOutcome, r.Result = true, make([]byte, MaxRecordResult+1) }),
		"too many in a job": with(func(m *Message, _ *Record, j *Job) {
			m.Kind, m.Job, j.PastAttempts = HandOver, j, make([]PastAttempt, MaxAttempts+1)
		}),
		"a put, no record":    with(func(m *Message, _ *Record, _ *Job) { m.Record = nil }),
		"a put, no id":        with(func(_ *Message, r *Record, _ *Job) { r.ID = "" }),
		"an ask, no owner":    with(func(m *Message, r *Record, _ *Job) { m.Kind, r.Owner = QueryJob, Process{} }),
		"a read, no id":       with(func(m *Message, _ *Record, _ *Job) { m.Kind = Read }),
		"a told, no outcome":  with(func(m *Message, _ *Record, _ *Job) { m.Kind, m.ID = JobEnded, "x" }),
		"a hand, no job":      with(func(m *Message, _ *Record, _ *Job) { m.Kind = HandOver }),
		"an event, no report": with(func(m *Message, _ *Record, _ *Job) { m.Kind, m.ID = Event, "x" }),
		"a piece beyond all":  with(func(m *Message, _ *Record, _ *Job) { m.Kind, m.Piece, m.Pieces = RecordsPart, 1, 1 }),
		"a piece of 0":        with(func(m *Message, _ *Record, _ *Job) { m.Kind = RecordsPart }),
	} {
		if m, err := Parse(c); err == nil || errors.Is(err, ErrVersion) && name != "too large" {
			t.Errorf("%s: decoded as %+v, %v", name, m, err)
		}
	}
	if _, err := Parse(append([]byte{2*(Version+1)&0x7f | 0x80, 1}, "whatever"...)); !errors.Is(err, ErrVersion) {
		t.Errorf("another version: %v", err)
	}
}

// TestRecordsFitPackets checks that a record fits into a packet if names have at most 63 bytes, as those of hosts.
func TestRecordsFitPackets(t *testing.T) {
	name, big := strings.Repeat("n", 63), int64(1)<<62
	p, d := Process{name, uint64(big)}, time.Duration(1)<<50
	r := Record{ID: strings.Repeat("i", MaxID), Owner: p, Nonce: uint64(big), Term: 1 << 20, Rev: 1 << 20, TimeLeft: d, DueIn: d, Replaces: p, ReplacesTerm: 1 << 20, ReplacesRev: 1 << 20}
	m := Message{Kind: Reply, Number: uint64(big), From: p, Roster: 1 << 63, Record: &r}
	for r.Attempts = nil; len(r.Attempts) < MaxAttempts; {
		r.Attempts = append(r.Attempts, Attempt{name, d})
	}
	if n := len(m.Append()); n > MaxPacket {
		t.Errorf("a record with all attempts has %d bytes", n)
	}
	r.Attempts, r.Ended, r.HasOutcome = nil, true, true
	r.Outcome = Outcome{Result: make([]byte, MaxRecordResult), RetryAfter: d, Reason: strings.Repeat("w", MaxName)}
	if n := len(m.Append()); n > MaxPacket {
		t.Errorf("a record with its result has %d bytes", n)
	}
}

// TestDistinctFromPeerMessages checks that messages of this package and of wire/peers cannot be mistaken for each other.
func TestDistinctFromPeerMessages(t *testing.T) {
	for _, m := range samples {
		if got, err := peers.ReadMessage(m.Append()); err == nil || !IsMessage(m.Append()) {
			t.Errorf("%+v is decoded by wire/peers as %+v", m, got)
		}
	}
	for k := peers.Kind(1); k < 20; k++ {
		if b := (&peers.Message{Kind: k, Number: 1 << 40, From: "x", Provider: "p", Name: "n", At: -1, Start: 1}).Append(); IsMessage(b) {
			t.Errorf("Is reports true for kind %d of wire/peers", k)
		} else if _, err := Parse(b); err == nil {
			t.Errorf("kind %d of wire/peers is decoded", k)
		}
	}
}

// FuzzParse checks that any input is an error, or a message that is unchanged by encoding and decoding it again.
func FuzzParse(f *testing.F) {
	for _, m := range samples {
		f.Add(m.Append())
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Parse(b)
		if err != nil {
			return
		}
		if !IsMessage(b) {
			t.Fatal("Parse accepts a message for which Is reports false")
		}
		if again, err := Parse(m.Append()); err != nil || !bytes.Equal(m.Append(), again.Append()) {
			t.Fatalf("%+v is decoded as %+v, %v", m, again, err)
		}
	})
}
