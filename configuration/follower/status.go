package follower

import (
	"context"
	"errors"
	"fmt"
	"time"

	"laddertide/configuration/client"
	wire "laddertide/wire/configuration"
)

// Report is the state of a follower, for operators. Ages are in milliseconds; -1: never.
type Report struct {
	Version   uint64 `json:"version"` // in force; 0: the settings of the operator's file are in force
	Digest    string `json:"digest,omitempty"`
	Accepted  string `json:"accepted,omitempty"` // when the version was accepted, by the leader's clock
	InForceMS int64  `json:"in_force_ms"`        // since it was put in force here
	CurrentMS int64  `json:"current_ms"`         // since it was last known to be the newest version of a quorum

	Source    string `json:"source,omitempty"` // address of the connected source
	Member    string `json:"member,omitempty"` // name of the connected source
	HeardMS   int64  `json:"heard_ms"`         // since a source's last welcome or heartbeat
	QuorumMS  int64  `json:"quorum_ms"`        // since the source that sent the last heartbeat had contact with a quorum
	Newest    uint64 `json:"newest"`           // the newest version that any source has announced
	Problem   string `json:"problem,omitempty"`
	Refused   uint64 `json:"refused,omitempty"` // a version that was not put in force
	Reason    string `json:"reason,omitempty"`
	SaveError string `json:"save_error,omitempty"` // why the last document could not be saved
}

// Fleet is a source's view of all followers.
type Fleet struct {
	Member    string `json:"member"` // the source that answers
	Leader    string `json:"leader,omitempty"`
	Newest    uint64 `json:"newest"`
	Digest    string `json:"digest,omitempty"`
	QuorumMS  int64  `json:"quorum_ms"`
	Followers []Row  `json:"followers"`
}

// Row is a source's view of one follower.
type Row struct {
	Name     string `json:"name"`
	Version  uint64 `json:"version"`
	Digest   string `json:"digest,omitempty"`
	BehindMS int64  `json:"behind_ms"` // since the first version that it lacks was accepted; 0: it is up to date
	HeardMS  int64  `json:"heard_ms"`
	InDoubt  bool   `json:"in_doubt,omitempty"`
	Refused  uint64 `json:"refused,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Member   string `json:"member,omitempty"`
}

// Report returns the current state of this follower.
func (f *Follower) Report() Report {
	f.mu.Lock()
	st, wireReport := f.state, f.state.machine.Report()
	f.mu.Unlock()
	r := ReportOf(st.inForce)
	r.CurrentMS, r.HeardMS, r.QuorumMS = ageOf(st.currentAt), ageOf(st.contactAt), ageOf(st.quorumAt)
	r.Source, r.Member, r.Problem, r.Newest = st.address, st.member, st.problem, max(st.newest, st.inForce.Version)
	r.Refused, r.Reason, r.SaveError = wireReport.Refused, wireReport.Reason, st.saveError
	return r
}

// ReportOf returns the report of a process that has the given version in force and does not follow any source.
func ReportOf(inForce Document) Report {
	r := Report{Version: inForce.Version, Newest: inForce.Version, InForceMS: -1, CurrentMS: -1, HeardMS: -1, QuorumMS: -1}
	if inForce.Version > 0 {
		r.Digest = inForce.Digest.String()
		r.Accepted = inForce.AcceptedAt.UTC().Format(time.RFC3339Nano)
	}
	return r
}

// ageOf returns the time since t in milliseconds; -1 if t is zero.
func ageOf(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return time.Since(t).Milliseconds()
}

// errTooManyQueries reports that the maximum number of queries is in progress.
var errTooManyQueries = errors.New("enough questions for it are under way")

// QueryFleet queries the connected source for the state of all followers. Without a connected source it returns an error.
func (f *Follower) QueryFleet(ctx context.Context) (*Fleet, error) {
	select {
	case f.queries <- struct{}{}:
		defer func() { <-f.queries }()
	default:
		return nil, errTooManyQueries
	}
	ctx, stop := context.WithTimeout(ctx, f.timing.QueryTimeout)
	defer stop()
	f.mu.Lock()
	address := f.state.address
	f.mu.Unlock()
	if address == "" {
		return nil, errors.New("no source is connected")
	}
	status, err := f.queryStatus(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", address, err)
	}
	return fleetOf(status), nil
}

// queryStatus queries one source over a separate connection, because the connection that is followed may be busy with a document.
func (f *Follower) queryStatus(ctx context.Context, address string) (*wire.Status, error) {
	c, err := client.Dial(ctx, client.Options{Address: address, Cluster: f.cfg.Settings.Cluster, Keys: f.cfg.Settings.Keys,
		Name: f.cfg.Name, DialTimeout: f.timing.QueryTimeout, AnswerTimeout: f.timing.QueryTimeout})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	release := context.AfterFunc(ctx, func() { c.Close() })
	defer release()
	return c.Status()
}

func fleetOf(st *wire.Status) *Fleet {
	out := &Fleet{Member: st.Member, Leader: st.Leader, Newest: st.Newest, QuorumMS: st.QuorumAge, Followers: make([]Row, 0, len(st.Rows))}
	if st.Newest > 0 {
		out.Digest = st.Digest.String()
	}
	for _, r := range st.Rows {
		row := Row{Name: r.Name, Version: r.Version, BehindMS: r.Behind, HeardMS: r.HeardAgo, InDoubt: r.InDoubt, Refused: r.Refused,
			Reason: r.Reason, Member: r.Member}
		if r.Version > 0 {
			row.Digest = r.Digest.String()
		}
		out.Followers = append(out.Followers, row)
	}
	return out
}
