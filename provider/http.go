package provider

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"laddertide/decide"
	"laddertide/wire/http1"
)

// Message is a consumer's request as it is passed on.
type Message struct {
	Method, Target string
	Fields         http1.Fields // none of this connection's, and no deadline
	Body           []byte
}

func (m *Message) job(until time.Time) []byte {
	left := max(1, time.Until(until).Milliseconds())
	fields := append(m.Fields[:len(m.Fields):len(m.Fields)],
		http1.Field{Name: "X-Deadline-Ms", Value: strconv.FormatInt(left, 10)})
	return http1.AppendRequest(nil, m.Method, m.Target, fields, m.Body)
}

func (m *Message) giveUp(id string) []byte {
	host := http1.Fields{{Name: "Host", Value: m.Fields.Get("Host")}}
	return http1.AppendRequest(nil, "DELETE", "/jobs/"+id, host, nil)
}

// accepted is no end: the provider has taken the job.
const accepted decide.End = 255

type reply struct {
	end  decide.End
	last bool // the connection ends
}

// readReply reads a provider's answer to a job, or to the end of one.
func readReply(br *bufio.Reader) (reply, error) {
	head, err := http1.ReadResponseHead(br)
	if err != nil {
		return reply{}, err
	}
	// The status has arrived whole: what it says holds, whatever becomes of the rest. A body that only
	// the connection's end would end is not waited for.
	if head.Sized() {
		if _, err := head.ReadBody(br); err != nil {
			head.Close = true
		}
	}
	r := reply{end: decide.Failed, last: head.Close}
	switch {
	case head.Status == 202:
		r.end = accepted
	case (head.Status == 503 || head.Status == 504) && head.Fields.Get("X-Not-Run") == "1":
		r.end = decide.TurnedAway
	case head.Status/100 == 4 && head.Status != 408 && head.Status != 429:
		// It is the request that is no use, not the provider, and the next one would say the same.
		r.end = decide.Unusable
	}
	return r, nil
}

var states = map[string]State{"started": Started, "running": Running, "done": Done, "failed": Failed,
	"returned": Returned, "lost": Lost}

// ParseEvent reads the body of a call-back.
func ParseEvent(body []byte) (Event, error) {
	var raw struct {
		ID     string          `json:"id"`
		From   string          `json:"from"`
		State  string          `json:"state"`
		Share  json.RawMessage `json:"share"`
		Result json.RawMessage `json:"result"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return Event{}, fmt.Errorf("call-back: %w", err)
	}
	state, ok := states[raw.State]
	if !ok || raw.ID == "" || raw.From == "" {
		return Event{}, errors.New("call-back: id, from or state is missing or unknown")
	}
	ev := Event{ID: raw.ID, From: raw.From, State: state, Share: -1, Result: raw.Result}
	var share *float64 // no job depends on it, so one that makes no sense is none
	if json.Unmarshal(raw.Share, &share) == nil && share != nil && *share >= 0 && *share <= 1 {
		ev.Share = *share
	}
	if len(raw.Result) > 0 && raw.Result[0] == '"' {
		var s string
		if err := json.Unmarshal(raw.Result, &s); err != nil {
			return Event{}, fmt.Errorf("call-back: %w", err)
		}
		ev.Result = []byte(s)
	}
	return ev, nil
}
