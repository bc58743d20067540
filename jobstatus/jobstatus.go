// Package jobstatus keeps the status of each job for clients' queries, while the job is open and for a limited time after its end.
// It keeps no results.
package jobstatus

import (
	"container/list"
	"crypto/sha256"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"laddertide/dispatch"
	"laddertide/operator"
	"laddertide/policy"
)

// Settings are the operator's limits for ended jobs.
type Settings struct {
	Keep       time.Duration
	MaxEntries int
}

// Parse reads the settings from their section of the operator's file.
func Parse(s *operator.Section) (Settings, error) {
	keep, most := 120, 4000
	s.Int("keep_s", &keep, 1, 86400)
	s.Int("max_entries", &most, 1, 1_000_000)
	return Settings{Keep: time.Duration(keep) * time.Second, MaxEntries: most}, s.Done()
}

// Memory returns the maximum memory use of ended jobs in bytes, with ids of full length. Open jobs are limited by their
// connections.
func (set *Settings) Memory() int { return set.MaxEntries * 512 }

// State is the state of a job.
type State string

// The states. Waiting and TimedOut are set by this scheduler; the others follow the provider's reports.
const (
	Waiting  State = "waiting"
	TimedOut State = "timed_out"
	Started  State = "started"
	Running  State = "running"
	Done     State = "done"
	Failed   State = "failed"
	Returned State = "returned"
	Lost     State = "lost"
)

// stateAfter maps the end of an attempt to the state of its job. A result on the attempt's own connection has the same meaning as a
// call-back.
var stateAfter = map[dispatch.End]State{
	dispatch.Served: Done, dispatch.Failed: Failed, dispatch.Unusable: Failed, dispatch.Refused: Returned, dispatch.Broken: Lost,
	dispatch.NotConnected: Waiting, dispatch.NotSent: Waiting, // the job was not sent
	dispatch.Unacknowledged: TimedOut, dispatch.TimedOut: TimedOut, dispatch.Withdrawn: TimedOut,
}

// entry is the status of one job.
type entry struct {
	id          string
	tenant      [sha256.Size]byte // hash of the tenant's name, which clients choose and which may be long
	class       int
	state       State
	server      string
	progress    float64       // the share that is done, as reported; -1: not reported
	endReported bool          // the end of the attempt has been reported
	job         *dispatch.Job // nil once the job has ended
	ended       time.Time
	element     *list.Element // in Store.ended
}

// Store holds the status of jobs. It observes an engine.
type Store struct {
	set     Settings
	classes []string

	mu    sync.Mutex
	jobs  map[string]*entry
	ended *list.List // of *entry, oldest first
}

// New returns a Store for jobs under the given settings.
func New(set Settings, policySettings policy.Settings) *Store {
	s := &Store{set: set, jobs: make(map[string]*entry), ended: list.New()}
	s.UpdateSettings(policySettings)
	return s
}

// UpdateSettings replaces the settings. They must follow the previous ones, so that class indices keep their meaning.
func (s *Store) UpdateSettings(policySettings policy.Settings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.classes = nil
	for _, c := range policySettings.Classes {
		s.classes = append(s.classes, c.Name)
	}
}

// Observe implements dispatch.Observer.
func (s *Store) Observe(ev *dispatch.Event) {
	if ev.Kind == dispatch.Stepped || ev.Job.TenantName == "" {
		return // the status of a job without a tenant cannot be queried
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if ev.Kind == dispatch.Taken {
		s.remove(s.jobs[ev.Job.ID]) // it has ended, as only one open job can have an id
		id := strings.Clone(ev.Job.ID)
		s.jobs[id] = &entry{id: id, tenant: sha256.Sum256([]byte(ev.Job.TenantName)), class: ev.Job.Class, state: Waiting,
			progress: -1, job: ev.Job}
		return
	}
	e := s.jobs[ev.Job.ID]
	if e == nil || e.job != ev.Job {
		return // the event belongs to a job that has ended
	}
	switch ev.Kind {
	case dispatch.Sent:
		e.state, e.server, e.progress, e.endReported = Waiting, ev.Provider, -1, false
	case dispatch.Started:
		if e.state == Waiting { // a late repeat of the report has no effect
			e.state = Started
		}
	case dispatch.Progress:
		if !e.endReported {
			e.state, e.progress = Running, max(e.progress, ev.Share)
		}
	case dispatch.EndAnnounced, dispatch.Ended:
		if e.endReported {
			return
		}
		e.endReported = true
		if e.state = stateAfter[ev.End]; e.state == Waiting {
			e.server = ""
		}
	case dispatch.Decided:
		s.markEnded(e)
	}
}

// markEnded marks a job as ended. If its provider did not report how it ended, this scheduler stopped waiting for it.
func (s *Store) markEnded(e *entry) {
	switch e.state {
	case Done, Failed, Returned, Lost:
	default:
		e.state = TimedOut
	}
	e.job, e.ended = nil, time.Now()
	e.element = s.ended.PushBack(e)
	s.evict()
}

// evict removes ended jobs whose time is over, and the oldest ones beyond the maximum number.
func (s *Store) evict() {
	for first := s.ended.Front(); first != nil; first = s.ended.Front() {
		e := first.Value.(*entry)
		if s.ended.Len() <= s.set.MaxEntries && time.Since(e.ended) < s.set.Keep {
			return
		}
		s.remove(e)
	}
}

func (s *Store) remove(e *entry) {
	if e == nil {
		return
	}
	if e.element != nil {
		s.ended.Remove(e.element)
	}
	delete(s.jobs, e.id)
}

// Get describes a job, as JSON, to a client of its tenant. For other tenants it reports that there is no such job.
func (s *Store) Get(id, tenant string) ([]byte, bool) {
	out := struct {
		ID     string   `json:"id"`
		Tenant string   `json:"tenant"`
		Class  string   `json:"class"`
		State  State    `json:"state"`
		Server string   `json:"server,omitempty"`
		Share  *float64 `json:"share,omitempty"`
	}{ID: id, Tenant: tenant}
	if !s.lookup(id, tenant, func(e *entry) {
		out.Class, out.State, out.Server = s.classes[e.class], e.state, e.server
		if share := e.progress; e.state == Running && share >= 0 {
			out.Share = &share
		}
	}) {
		return nil, false
	}
	b, err := json.Marshal(out)
	return b, err == nil
}

func (s *Store) lookup(id, tenant string, use func(*entry)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evict()
	e := s.jobs[id]
	if e == nil || tenant == "" || e.tenant != sha256.Sum256([]byte(tenant)) {
		return false
	}
	use(e)
	return true
}
