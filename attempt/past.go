package attempt

import (
	"sync"
	"time"

	"laddertide/dispatch"
	"laddertide/job"
)

// past are the calls made for a job, those of earlier processes included, for a process that may go on with it.
type past struct {
	mu    sync.Mutex
	calls []call
}

type call struct {
	sent time.Time
	job.Past
}

func (p *past) carryOver(before []job.Past) {
	for _, b := range before {
		p.calls = append(p.calls, call{time.Now().Add(-b.Ago), b})
	}
}

// sending notes a call that is about to be made.
func (p *past) sending(provider string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = append(p.calls, call{time.Now(), job.Past{Provider: provider, Out: true}})
}

// hear notes that the last call's job has begun, on its way to next.
func (p *past) hear(next func(dispatch.News)) func(dispatch.News) {
	return func(n dispatch.News) {
		if n.Kind == dispatch.Begun {
			p.mu.Lock()
			p.calls[len(p.calls)-1].Begun = true
			p.mu.Unlock()
		}
		next(n)
	}
}

// over notes how the last call ended.
func (p *past) over(end dispatch.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	last := &p.calls[len(p.calls)-1]
	last.Out, last.MayRun = false, !end.Proves()
}

// unsent forgets the last call: it was not made.
func (p *past) unsent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls = p.calls[:len(p.calls)-1]
}

// list are the calls as they stand now.
func (p *past) list() []job.Past {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]job.Past, len(p.calls))
	for i, c := range p.calls {
		out[i] = c.Past
		out[i].Ago = time.Since(c.sent)
	}
	return out
}
