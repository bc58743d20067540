//go:build review

// Command standin plays the cases of the review. It has small stand-ins for discovery, auth workers and clients, and starts the
// project's scheduler as a process of its own, by the run line of the deploy file.
//
// Exit codes: 0, the rule held; 1, it was broken; 2, the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// limit is the longest time that a case takes.
const limit = 110 * time.Second

// cases are the cases by name. Each returns the breaches of its rule that it has seen.
var cases = map[string]func(*play) (breaches []string, err error){}

// play is one run of a case.
type play struct {
	trouble bool
	root    string // of the checkout
	dir     string // a temporary folder
	began   time.Time

	mu     sync.Mutex
	record *os.File
	atEnd  []func()
}

// note writes a line of the record.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.record, "%9.3f  %s\n", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
}

// onEnd registers what is to be done at the end of the play, the last one first.
func (p *play) onEnd(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.atEnd = append(p.atEnd, f)
}

func (p *play) end() {
	p.mu.Lock()
	all := p.atEnd
	p.atEnd = nil
	p.mu.Unlock()
	for i := len(all) - 1; i >= 0; i-- {
		all[i]()
	}
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 5 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT FOLDER RECORD")
		return 2
	}
	record, err := os.Create(os.Args[4])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	p := &play{trouble: os.Getenv("TROUBLE") != "0", root: os.Args[2], dir: os.Args[3], began: time.Now(), record: record}
	if p.dir, err = filepath.Abs(p.dir); err != nil {
		return 2
	}
	p.note("case %s, trouble %v", os.Args[1], p.trouble)
	type result struct {
		breaches []string
		err      error
	}
	over := make(chan result, 1)
	go func() {
		b, err := cases[os.Args[1]](p)
		over <- result{b, err}
	}()
	var r result
	select {
	case r = <-over:
	case <-time.After(limit):
		r.err = fmt.Errorf("not over after %v", limit)
	}
	p.end()
	for _, b := range r.breaches {
		p.note("BREACH %s", b)
		fmt.Println("broken:", b)
	}
	switch {
	case r.err != nil:
		p.note("could not run: %v", r.err)
		fmt.Println("could not run:", r.err)
		return 2
	case len(r.breaches) > 0:
		return 1
	}
	p.note("the rule held")
	fmt.Println("held")
	return 0
}
