// Package ids checks what befell each id in a rehearsal as a whole: whether there is any order in which all that was asked,
// run and answered for it could have happened at one scheduler. What core/judge finds one rule at a time it finds by one
// plain model, and the search for an order is a library's (github.com/anishathalye/porcupine). It believes what clients and
// workers wrote, and blames nobody.
package ids

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"

	"laddertide/core/history"
)

// Finding is an id for whose history there is no order.
type Finding struct {
	Request string
	T       int64  // when it was complete, in microseconds
	Text    string // what was asked, run and answered, in words
}

// Result is what Check found.
type Result struct {
	Findings []Finding
	Checked  int // ids with more to them than one asking and one run
	Unsure   int // of them: those for which the search took too long
}

// searchLimit is for how long an order is looked for, for one id. Some dozens of steps take a millisecond.
const searchLimit = 2 * time.Second

// act is what a step does to an id.
type act uint8

const (
	taken    act = iota // a scheduler heard that it is asked for
	began               // a worker began to run it
	done                // a worker had a result
	served              // a client got a result
	refused             // a client was told that nothing ran, and nothing will under what was asked so far
	unmarked            // a client was told something that says nothing of the id
)

// step is an act with what it concerns.
type step struct {
	act    act
	repeat history.Repeat
	value  string // of done and served
}

func (s step) String() string {
	words := [...]string{"asked", "began to run", "done with " + s.value, "answered with " + s.value, "refused", "answered"}
	return words[s.act]
}

// state is an id in the model. Values are each set in line ends, as results hold none.
type state struct {
	askings int // that may lead to a run
	ran     bool
	done    string
	told    string
}

const (
	valueEnd = "\n"
	slack    = 50_000 // of a record's time, as core/judge has it; microseconds
)

// next is the model: one scheduler that takes an id, runs it and answers for it. What may never run twice runs once, under an
// asking that no refusal had spoken of; a result is one that a worker had, and but for jobs that may run any number of times
// the one that was told before.
func next(s state, x step) (state, bool) {
	never, one := x.repeat == history.NonIdempotent, x.repeat != history.ReadLike
	switch x.act {
	case taken:
		s.askings++
	case began:
		if s.askings == 0 || never && s.ran {
			return s, false
		}
		s.ran = true
	case done:
		if !s.ran {
			return s, false
		}
		s.done += x.value + valueEnd
	case served:
		if !strings.Contains(valueEnd+s.done, valueEnd+x.value+valueEnd) || one && s.told != "" && s.told != x.value {
			return s, false
		}
		s.told = x.value
	case refused:
		if !never {
			break // Such a job may be refused though it may have run.
		}
		if s.ran {
			return s, false
		}
		s.askings = 0
	}
	return s, true
}

var model = porcupine.Model{
	Init: func() any { return state{} },
	Step: func(s, in, _ any) (bool, any) {
		after, ok := next(s.(state), in.(step))
		return ok, after
	},
}

// Check looks for an order of each id's history. Events are in the order of time. Limits are as loose as the records: each
// step may have happened as much earlier or later as a record may be late, and as long as the kit stood still then.
func Check(events []history.Event) Result {
	c := gather(events)
	var out Result
	for _, id := range c.order {
		ops := c.ids[id]
		if len(ops.sent) < 2 && ops.runs < 2 && !ops.refused {
			continue
		}
		out.Checked++
		list := ops.operations()
		switch porcupine.CheckOperationsTimeout(model, list, searchLimit) {
		case porcupine.Unknown:
			out.Unsure++
		case porcupine.Illegal:
			out.Findings = append(out.Findings, Finding{Request: id, T: ops.last, Text: words(id, list)})
		}
	}
	return out
}

// words tells the steps of an id by when they can have begun.
func words(id string, list []porcupine.Operation) string {
	slices.SortStableFunc(list, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	var steps []string
	for _, op := range list {
		steps = append(steps, fmt.Sprintf("%s %s", op.Input.(step), span(op.Call, op.Return)))
	}
	return fmt.Sprintf("What befell request %s has no order that makes sense: %s.", id, strings.Join(steps, ", "))
}

func span(from, to int64) string {
	if to == math.MaxInt64 {
		return fmt.Sprintf("(from %.3f s on)", float64(from)/1e6)
	}
	return fmt.Sprintf("(%.3f to %.3f s)", float64(from)/1e6, float64(to)/1e6)
}

// one is an id.
type one struct {
	repeat  history.Repeat
	sent    []*sending
	rest    []porcupine.Operation
	runs    int
	refused bool
	last    int64
}

// sending is one asking.
type sending struct {
	scheduler string
	conn      int64
	from, to  int64 // when it was heard: by its answer at the latest
	void      bool  // it was refused, and nothing may run under it
}

type attempt struct {
	id       *one
	from, to int64
	ran      bool
}

type court struct {
	ids    map[string]*one
	order  []string
	stalls []history.Event
}

// early and late are the first and last time at which what bears a time can have been.
func (c *court) early(t int64) int64 {
	from := t - slack
	for i := range c.stalls {
		if s := &c.stalls[i]; s.Until >= from && s.From <= t {
			from -= s.Until - s.From
		}
	}
	return from
}

func (c *court) late(t int64) int64 {
	to := t + slack
	for i := range c.stalls {
		if s := &c.stalls[i]; s.Until >= t && s.From <= to {
			to += s.Until - s.From
		}
	}
	return to
}

func gather(events []history.Event) *court {
	c := &court{ids: make(map[string]*one)}
	repeats := make(map[string]history.Repeat)
	for i := range events {
		ev := &events[i]
		switch {
		case ev.Kind == history.KindSetup && ev.Setup != nil:
			for _, class := range ev.Setup.Classes {
				repeats[class.Name] = class.Repeat
			}
		case ev.Kind == history.KindHarnessPaused:
			c.stalls = append(c.stalls, *ev)
		case ev.Kind == history.KindAsk && c.ids[ev.Request] == nil:
			c.ids[ev.Request] = &one{repeat: repeats[ev.Class]}
			c.order = append(c.order, ev.Request)
		}
	}
	attempts := make(map[int64]*attempt)
	for i := range events { // sendings and attempts first: what follows of one may have been written down before it
		ev := &events[i]
		id := c.ids[ev.Request]
		if id == nil {
			continue
		}
		switch ev.Kind {
		case history.KindSent:
			id.sent = append(id.sent, &sending{scheduler: ev.Scheduler, conn: ev.Conn, from: c.early(ev.T), to: math.MaxInt64})
		case history.KindAttempt:
			if ev.Note == "" {
				attempts[ev.Attempt] = &attempt{id: id, from: c.early(max(1, min(ev.From, ev.T))), to: c.late(ev.T)}
			}
		}
	}
	for i := range events {
		ev := &events[i]
		switch ev.Kind {
		case history.KindAnswer:
			if id := c.ids[ev.Request]; id != nil {
				id.answer(ev, c.late(ev.T))
			}
		case history.KindAttemptBegan:
			if a := attempts[ev.Attempt]; a != nil {
				a.run()
			}
		case history.KindAttemptOver:
			a := attempts[ev.Attempt]
			if a == nil {
				continue
			}
			if ev.Ran || ev.State == history.StateDone {
				a.run()
			}
			if ev.State == history.StateDone {
				a.id.add(step{done, a.id.repeat, ev.Result}, c.early(ev.T), c.late(ev.T))
			}
		}
	}
	return c
}

func (id *one) add(s step, from, to int64) {
	id.rest = append(id.rest, porcupine.Operation{Input: s, Call: from, Return: to})
	id.last = max(id.last, to)
}

func (a *attempt) run() {
	if a.ran {
		return
	}
	a.ran = true
	a.id.runs++
	a.id.add(step{began, a.id.repeat, ""}, a.from, a.to)
}

// answer enters an answer, which came after its asking had been heard.
func (id *one) answer(ev *history.Event, to int64) {
	var own *sending
	for _, s := range id.sent {
		if s.scheduler == ev.Scheduler && s.conn == ev.Conn {
			own = s
		}
	}
	if own == nil {
		return
	}
	own.to = min(own.to, to)
	x := step{unmarked, id.repeat, ""}
	switch ev.Status {
	case 200:
		x.act, x.value = served, ev.Result
	case 429, 503:
		x.act, id.refused, own.void = refused, true, id.repeat == history.NonIdempotent
	}
	id.add(x, own.from, to)
}

// operations are all steps of an id. An asking is heard at some time until its answer.
func (id *one) operations() []porcupine.Operation {
	list := slices.Clone(id.rest)
	for _, s := range id.sent {
		if !s.void {
			list = append(list, porcupine.Operation{Input: step{taken, id.repeat, ""}, Call: s.from, Return: s.to})
		}
	}
	for i := range list {
		list[i].ClientId = i
		list[i].Return = max(list[i].Call, list[i].Return)
	}
	return list
}
