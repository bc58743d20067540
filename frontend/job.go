package frontend

import (
	"context"
	"math"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"laddertide/job"
	"laddertide/policy"
)

// deadlineMargin is deducted from a client's deadline, so that the answer arrives before the client gives up.
const deadlineMargin = 10 * time.Millisecond

// handleWatched passes a job to the Handler and returns its outcome, while it watches c for the client to leave. A client may have left
// before that: while its request waited behind others, or while its connection was handed over between processes. No new job begins
// for it then; a job of another process is still handled, as it may be running.
func (s *Server) handleWatched(j *job.Job, c *conn) job.Outcome {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(job.ErrAnswered)
	c.SetReadDeadline(time.Time{})
	if c.hasLeft() {
		if j.Keeper == nil {
			return job.Outcome{Kind: job.Gone}
		}
		cancel(job.ErrClientLeft)
		return s.handle(ctx, j)
	}
	stop := watchLeave(c, func() { cancel(job.ErrClientLeft) })
	defer stop()
	return s.handle(c.withLeaveCheck(ctx, cancel), j)
}

// handle calls the Handler. It is common to all protocols, which convert the outcome to an answer of their own. A panic is answered
// as a failure.
func (s *Server) handle(ctx context.Context, j *job.Job) (out job.Outcome) {
	defer func() {
		if r := recover(); r != nil {
			// The client still gets an answer. The job may have run.
			s.Log.Error("panic in a handler of jobs", "id", j.ID, "panic", r, "stack", string(debug.Stack()))
			out = job.Outcome{Kind: job.Failed}
		}
	}()
	if s.graceOver.Load() {
		return s.Unfinished
	}
	return s.Jobs.Handle(ctx, j)
}

// fieldNames holds the names that a protocol uses for the attributes of a job.
type fieldNames struct{ id, class, tenant, key, deadline, hint, extras string }

// unique returns the names that may occur only once in a request: two values would be two jobs.
func (w *fieldNames) unique() []string {
	return []string{w.id, w.class, w.tenant, w.key, w.deadline, w.hint, w.extras}
}

// parseJob builds a job from its attributes, which get returns by name, or returns the reason why the request is not a valid job.
func (s *Server) parseJob(w *fieldNames, get func(name string) string) (*job.Job, string) {
	j := &job.Job{ID: get(w.id), TenantName: get(w.tenant), Key: get(w.key), Slots: 1}
	if !validID(j.ID) {
		return nil, w.id + " is missing or malformed"
	}
	set, name := s.settings(), get(w.class)
	j.Class = firstIndex(len(set.Classes), func(i int) bool { return set.Classes[i].Name == name && !set.Classes[i].Retired })
	if j.Class == len(set.Classes) {
		return nil, w.class + " is unknown"
	}
	// A tenant that is not in the settings has no share to exceed; it is served like any other.
	j.Tenant = firstIndex(len(set.Tenants), func(i int) bool { return set.Tenants[i].Name == j.TenantName })
	class := &set.Classes[j.Class]
	j.ClassName = class.Name
	if class.Effect == policy.Keyed && j.Key == "" {
		return nil, w.key + " is missing"
	}
	left := class.Deadline
	if v := get(w.deadline); v != "" {
		ms, err := strconv.ParseUint(v, 10, 31)
		if err != nil {
			return nil, w.deadline + " is not a whole number"
		}
		left = min(left, time.Duration(ms)*time.Millisecond) // the deadline of the class is the upper limit
	}
	j.Deadline, j.TimeLeft = left, max(0, left-deadlineMargin)
	if v := get(w.hint); v != "" {
		us, err := strconv.ParseFloat(v, 64)
		if err != nil || !(us >= 0 && us < math.MaxInt32) {
			return nil, w.hint + " is not a number of microseconds"
		}
		j.Hint = time.Duration(us * float64(time.Microsecond))
	}
	for pair := range strings.SplitSeq(get(w.extras), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		if v, err := strconv.ParseFloat(value, 64); name == "slots" && err == nil && v > 0 && v <= math.MaxFloat64 {
			j.Slots = v
		}
	}
	return j, ""
}

const maxIDLength = 128 // length of a request's id

// validID reports whether an id can be part of a path without escaping.
func validID(id string) bool {
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && !strings.ContainsRune("-_.~", rune(c)) {
			return false
		}
	}
	return id != "" && len(id) <= maxIDLength
}

// firstIndex returns the first i below n for which matches(i) is true, or n.
func firstIndex(n int, matches func(int) bool) int {
	for i := range n {
		if matches(i) {
			return i
		}
	}
	return n
}
