package provider

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
	"laddertide/wire/http1"
)

// jobMessage returns the request that sends a job. The fields of a client's HTTP request are forwarded unchanged.
func jobMessage(j *job.Job, lease uint64, until time.Time) []byte {
	fields := j.Fields
	if j.Protocol != http1.Protocol {
		fields = translatedFields(j)
	}
	left := max(1, time.Until(until).Milliseconds())
	more := []http1.Field{{Name: "X-Deadline-Ms", Value: strconv.FormatInt(left, 10)}}
	if lease != 0 {
		// One sent by the client would refer to another job, if to any.
		fields = slices.DeleteFunc(slices.Clone(fields), func(f job.Field) bool { return strings.EqualFold(f.Name, "X-Lease") })
		more = append(more, http1.Field{Name: "X-Lease", Value: strconv.FormatUint(lease, 10)})
	}
	return http1.AppendRequest(nil, "POST", j.Subject, fields, j.Payload, more...)
}

// translatedFields returns the HTTP fields for a job that was received over another protocol.
func translatedFields(j *job.Job) []job.Field {
	fields := []job.Field{{Name: "Host"}, // Host is required; empty means that the target has none
		{Name: "X-Request-Id", Value: j.ID}, {Name: "X-Class", Value: j.ClassName}}
	add := func(name, value string) { fields = append(fields, job.Field{Name: name, Value: value}) }
	if j.TenantName != "" {
		add("X-Tenant", j.TenantName)
	}
	if j.Key != "" {
		add("Idempotency-Key", j.Key)
	}
	if j.Hint > 0 {
		add("X-Cost-Hint", strconv.FormatInt(max(1, j.Hint.Microseconds()), 10))
	}
	if j.Slots > 0 {
		add("X-Extras", "slots="+strconv.FormatFloat(j.Slots, 'f', -1, 64))
	}
	return fields
}

// giveUpMessage returns the request that gives up a job.
func giveUpMessage(j *job.Job) []byte {
	host := ""
	if j.Protocol == http1.Protocol {
		host = http1.Fields(j.Fields).Get("Host")
	}
	return http1.AppendRequest(nil, "DELETE", "/jobs/"+j.ID, http1.Fields{{Name: "Host", Value: host}}, nil)
}

// accepted is not an end: the provider has accepted the job.
const accepted dispatch.End = 255

type reply struct {
	end    dispatch.End
	closes bool // the connection closes after this reply
}

// readReply reads a provider's answer to a job, or to its cancellation. bodyFollows is called once the head has been read.
func readReply(br *bufio.Reader, bodyFollows func()) (reply, error) {
	head, err := http1.ReadResponseHead(br)
	if err != nil {
		return reply{}, err
	}
	bodyFollows()
	// The status has been received completely: it holds, whatever happens to the rest. A body that is only terminated by the end of the
	// connection is not read.
	if head.Sized() {
		if _, err := head.ReadBody(br); err != nil {
			head.Close = true
		}
	}
	r := reply{end: dispatch.Failed, closes: head.Close}
	switch {
	case head.Status == 202:
		r.end = accepted
	case (head.Status == 503 || head.Status == 504) && head.Fields.Get("X-Not-Run") == "1":
		r.end = dispatch.Refused
	case head.Status/100 == 4 && head.Status != 408 && head.Status != 429:
		// The request is invalid, not the provider, and the next provider would answer the same.
		r.end = dispatch.Unusable
	}
	return r, nil
}

var states = map[string]State{"started": Started, "running": Running, "done": Done, "failed": Failed,
	"returned": Returned, "lost": Lost}

// ParseEvent parses the body of a call-back.
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
	ev := Event{ID: raw.ID, Provider: raw.From, State: state, Share: -1, Result: raw.Result}
	if bytes.Contains(body, []byte(`"lease"`)) { // rare
		var more struct {
			Lease json.RawMessage `json:"lease"`
		}
		if json.Unmarshal(body, &more) == nil && len(more.Lease) > 0 && string(more.Lease) != "null" {
			// A lease that cannot be parsed is mapped to one that no attempt has.
			if json.Unmarshal(more.Lease, &ev.Lease) != nil || ev.Lease == 0 {
				ev.Lease = math.MaxUint64
			}
		}
	}
	var share *float64 // no job depends on it, so an invalid value is ignored
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
