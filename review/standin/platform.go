//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// member is an auth worker in discovery's list.
type member struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

type list struct {
	Index    uint64   `json:"index"`
	Snapshot bool     `json:"snapshot"`
	Members  []member `json:"endpoints"`
}

// discovery is the agent on the schedulers' machine.
type discovery struct {
	address string
	mu      sync.Mutex
	now     list
}

func startDiscovery(p *play, members []member) (*discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: ln.Addr().String(), now: list{Index: 41, Snapshot: true, Members: members}}
	server := &http.Server{Handler: d}
	go server.Serve(ln)
	p.onEnd(func() { server.Close() })
	return d, nil
}

// ServeHTTP answers with the whole list, or with a watch whose first object is the whole list.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(w, r)
		return
	}
	d.mu.Lock()
	b, _ := json.Marshal(d.now)
	d.mu.Unlock()
	if r.URL.Query().Get("watch") == "" {
		w.Write(b)
		return
	}
	flush := http.NewResponseController(w)
	fmt.Fprintf(w, "%s\n", b)
	for flush.Flush() == nil {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(2 * time.Second):
		}
		fmt.Fprint(w, "\n")
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
