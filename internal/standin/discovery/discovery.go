// Package discovery is a test double of the agent from which a router learns the list of hosts. It serves the whole
// list, and a watch that streams changes as one JSON object a line.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Host is one entry of the list, encoded as in the protocol.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Block  int     `json:"block"`
	Health string  `json:"health"` // up, draining or removed
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	Build  int     `json:"build"`
}

// List is the whole list, or the changes since an earlier version.
type List struct {
	Seq   uint64 `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Server is the discovery agent of one router.
type Server struct {
	listen net.Listener
	http   http.Server
	work   sync.WaitGroup
	done   chan struct{}

	mu      sync.Mutex
	changes []Host        // the list's version is their number
	changed chan struct{} // closed and replaced at each change
}

const keepAlivePeriod = 2 * time.Second // a watch sends an empty line this often while nothing changes

// Listen starts an agent that listens on addr; port 0 picks a free port.
func Listen(addr string) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	s := &Server{listen: l, done: make(chan struct{}), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.serveTargets)
	s.http.Handler = mux
	s.work.Go(func() {
		if err := s.http.Serve(l); err != nil && !errors.Is(err, http.ErrServerClosed) {
			panic(err) // a defect of the test double: nothing else closes its listener
		}
	})
	return s, nil
}

// Addr returns the address that the agent listens on.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Close stops the agent and ends its watches.
func (s *Server) Close() {
	close(s.done)
	s.http.Close()
	s.work.Wait()
}

// Change applies changes to the list, each of which makes a new version, and sends them to the watches at once.
func (s *Server) Change(hosts ...Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changes = append(s.changes, hosts...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the whole list as it is now.
func (s *Server) List() List {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := List{Seq: uint64(len(s.changes)), Whole: true, Hosts: []Host{}}
	for _, c := range s.changes {
		list.Hosts = slices.DeleteFunc(list.Hosts, func(h Host) bool { return h.Host == c.Host })
		if c.Health != "removed" {
			list.Hosts = append(list.Hosts, c)
		}
	}
	return list
}

// changesSince returns the changes after a version, and a channel that is closed at the next change.
func (s *Server) changesSince(version uint64) (List, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version = min(version, uint64(len(s.changes)))
	return List{Seq: uint64(len(s.changes)), Hosts: slices.Clone(s.changes[version:])}, s.changed
}

// serveTargets answers a request for the whole list, or streams changes to a watch until it ends.
func (s *Server) serveTargets(w http.ResponseWriter, r *http.Request) {
	encoder := json.NewEncoder(w)
	if r.URL.Query().Get("watch") == "" {
		encoder.Encode(s.List())
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	flusher := http.NewResponseController(w)
	for first := true; ; first = false {
		list, changed := s.changesSince(version)
		if len(list.Hosts) > 0 || first {
			if list.Hosts == nil {
				list.Hosts = []Host{}
			}
			err = encoder.Encode(list)
		} else {
			_, err = w.Write([]byte("\n"))
		}
		if err == nil {
			err = flusher.Flush()
		}
		if err != nil {
			return
		}
		version = list.Seq
		select {
		case <-changed:
		case <-time.After(keepAlivePeriod):
		case <-r.Context().Done():
			return
		case <-s.done:
			return
		}
	}
}
