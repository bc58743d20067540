package attempt

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"

	"laddertide/core/runonce"
	"laddertide/job"
)

// Bounds of the memory for jobs that must not run twice.
const (
	OnceRetention = 2 * time.Minute // after the last attempt, or the job's end
	onceJobs      = 32_768
)

// Once remembers jobs that must not run twice and of which something was sent, for requests that repeat one: its client may have left
// before its answer, or asks again after it. Jobs that another Handler keeps are not its concern.
type Once struct {
	mustNotRunTwice func(class int) bool
	origin          time.Time

	mu     sync.Mutex
	memory *runonce.Memory
}

// NewOnce returns an empty memory. mustNotRunTwice tells the effect of a class.
func NewOnce(mustNotRunTwice func(class int) bool) *Once {
	return &Once{mustNotRunTwice: mustNotRunTwice, origin: time.Now(), memory: runonce.New(OnceRetention, onceJobs)}
}

// Entries returns all remembered jobs, for the next process.
func (o *Once) Entries() []runonce.Entry {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.memory.Entries(o.now())
}

// Restore adds the jobs that the previous process remembers.
func (o *Once) Restore(entries []runonce.Entry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.memory.Restore(entries, o.now())
}

func (o *Once) now() time.Duration { return time.Since(o.origin) }

// track returns the handle of a job in the memory; nil: the job may run twice.
func (o *Once) track(j *job.Job) *onceJob {
	if o == nil || !o.mustNotRunTwice(j.Class) {
		return nil
	}
	return &onceJob{o, onceKey(j)}
}

// onceJob is a job that must not run twice. All methods may be called on nil.
type onceJob struct {
	once *Once
	key  runonce.Key
}

// spent reports whether something of the job was sent for an earlier request.
func (j *onceJob) spent() bool {
	if j == nil {
		return false
	}
	j.once.mu.Lock()
	defer j.once.mu.Unlock()
	return j.once.memory.Contains(j.key, j.once.now())
}

// record records that something of the job is about to be sent, or that it has ended.
func (j *onceJob) record() {
	if j == nil {
		return
	}
	j.once.mu.Lock()
	defer j.once.mu.Unlock()
	j.once.memory.Record(j.key, j.once.now())
}

// forget records that all attempts so far are proven not to have run.
func (j *onceJob) forget() {
	if j == nil {
		return
	}
	j.once.mu.Lock()
	defer j.once.mu.Unlock()
	j.once.memory.Forget(j.key)
}

// onceKey returns the key of all requests for the same job: those with the same id that are alike in all that a worker is sent.
func onceKey(j *job.Job) (key runonce.Key) {
	sum := sha256.New()
	for _, text := range []string{j.ID, j.ClassName, j.TenantName, j.Key, j.Subject} {
		sum.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(text))))
		sum.Write([]byte(text))
	}
	sum.Write(j.Payload)
	copy(key[:], sum.Sum(nil))
	return key
}
