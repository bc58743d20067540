// Package book keeps what clients have asked for, so that workers can tell a job that a client has sent in just this
// form from one that no client has, and know what it is really made of. Schedulers never see it.
package book

import (
	"crypto/sha256"
	"encoding/binary"
	"sync"
	"time"
)

// Job is what the kit knows of a request beyond its bytes.
type Job struct {
	Class  int           // place among the classes of the setup
	Key    string        // of a keyed class
	Work   time.Duration // its own running time at speed 1; attempts vary round it
	Noise  float64       // the spread (sigma of the logarithm) of that
	Slots  float64
	Memory float64
}

// Digest stands for what must be passed on unchanged: method, path with its query, body, id and key.
type Digest [16]byte

// Sum makes the digest of a request.
func Sum(method, target, id, key string, body []byte) Digest {
	h := sha256.New()
	for _, s := range []string{method, target, id, key} {
		var n [8]byte
		binary.LittleEndian.PutUint64(n[:], uint64(len(s)))
		h.Write(n[:])
		h.Write([]byte(s))
	}
	h.Write(body)
	var d Digest
	copy(d[:], h.Sum(nil))
	return d
}

type page struct {
	digest Digest
	job    Job
	other  whose
}

// whose is a class and a tenant by their names.
type whose struct{ class, tenant string }

// Book is safe for use by many goroutines.
type Book struct {
	mu    sync.RWMutex
	pages map[string]page // by request id
}

// New returns an empty Book.
func New() *Book { return &Book{pages: make(map[string]page)} }

// Write enters a request; it must come before its first byte is sent.
func (b *Book) Write(id string, d Digest, job Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pages[id]
	p.digest, p.job = d, job
	b.pages[id] = p
}

// Steal notes that somebody is about to send a job of another class or tenant under an id, perhaps in the same form.
func (b *Book) Steal(id, class, tenant string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.pages[id]
	p.other = whose{class, tenant}
	b.pages[id] = p
}

// Stolen says whether what came under an id is what Steal was told of.
func (b *Book) Stolen(id, class, tenant string) bool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return class != "" && b.pages[id].other == whose{class, tenant}
}

// Read finds the request of an id. same says whether it came in the form in which the client sent it.
func (b *Book) Read(id string, d Digest) (job Job, same, known bool) {
	b.mu.RLock()
	defer b.mu.RUnlock()
	p, ok := b.pages[id]
	return p.job, ok && p.digest == d, ok
}
