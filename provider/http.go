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

// jobMessage is the message that sends a job. A consumer's own request is passed on as it came.
func jobMessage(j *job.Job, lease uint64, until time.Time) []byte {
	fields := j.Fields
	if j.Protocol != http1.Protocol {
		fields = ownFields(j)
	}
	left := max(1, time.Until(until).Milliseconds())
	more := []http1.Field{{Name: "X-Deadline-Ms", Value: strconv.FormatInt(left, 10)}}
	if lease != 0 {
		// A consumer's own would be another job's, if any.
		fields = slices.DeleteFunc(slices.Clone(fields), func(f job.Field) bool { return strings.EqualFold(f.Name, "X-Lease") })
		more = append(more, http1.Field{Name: "X-Lease", Value: strconv.FormatUint(lease, 10)})
	}
	return http1.AppendRequest(nil, "POST", j.Subject, fields, j.Payload, more...)
}

// ownFields says in this protocol what a job is that came by another one.
func ownFields(j *job.Job) []job.Field {
	fields := []job.Field{{Name: "Host"}, // there must be one, and this is for a target that has none
		{Name: "X-Request-Id", Value: j.ID}, {Name: "X-Class", Value: j.ClassName}}
	add := func(name, value string) { fields = append(fields, job.Field{Name: name, Value: value}) }
	if j.Party != "" {
		add("X-Tenant", j.Party)
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

// giveUpMessage is the message that a job is given up.
func giveUpMessage(j *job.Job) []byte {
	host := ""
	if j.Protocol == http1.Protocol {
		host = http1.Fields(j.Fields).Get("Host")
	}
	return http1.AppendRequest(nil, "DELETE", "/jobs/"+j.ID, http1.Fields{{Name: "Host", Value: host}}, nil)
}

// accepted is no end: the provider has taken the job.
const accepted dispatch.End = 255

type reply struct {
	end  dispatch.End
	last bool // the connection ends
}

// readReply reads a provider's answer to a job, or to the end of one. bodyFollows is called once its head is there.
func readReply(br *bufio.Reader, bodyFollows func()) (reply, error) {
	head, err := http1.ReadResponseHead(br)
	if err != nil {
		return reply{}, err
	}
	bodyFollows()
	// The status has arrived whole: what it says holds, whatever becomes of the rest. A body that only
	// the connection's end would end is not waited for.
	if head.Sized() {
		if _, err := head.ReadBody(br); err != nil {
			head.Close = true
		}
	}
	r := reply{end: dispatch.Failed, last: head.Close}
	switch {
	case head.Status == 202:
		r.end = accepted
	case (head.Status == 503 || head.Status == 504) && head.Fields.Get("X-Not-Run") == "1":
		r.end = dispatch.TurnedAway
	case head.Status/100 == 4 && head.Status != 408 && head.Status != 429:
		// It is the request that is no use, not the provider, and the next one would say the same.
		r.end = dispatch.Unusable
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
	if bytes.Contains(body, []byte(`"lease"`)) { // few name one
		var more struct {
			Lease json.RawMessage `json:"lease"`
		}
		if json.Unmarshal(body, &more) == nil && len(more.Lease) > 0 && string(more.Lease) != "null" {
			// One that cannot be read names another lease than any that there is.
			if json.Unmarshal(more.Lease, &ev.Lease) != nil || ev.Lease == 0 {
				ev.Lease = math.MaxUint64
			}
		}
	}
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
