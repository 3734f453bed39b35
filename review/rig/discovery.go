package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is a host in discovery's list.
type Entry struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
	Build  int     `json:"build"`
}

// Discovery serves the list of hosts to one router: the whole list, and watches with an empty line every 2 s.
type Discovery struct {
	c    *Case
	name string
	l    net.Listener

	mu      sync.Mutex
	log     []Entry // the list's version is the number of changes
	changed chan struct{}
	watches map[chan struct{}]bool // of open watches; closed once the watch falls silent
}

// StartDiscovery starts discovery for a router with a first list.
func (c *Case) StartDiscovery(name string, entries []Entry) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Must(err)
	d := &Discovery{c: c, name: name, l: l, log: append([]Entry{}, entries...), changed: make(chan struct{}), watches: map[chan struct{}]bool{}}
	go http.Serve(l, http.HandlerFunc(d.serve))
	return d
}

// Addr returns its address.
func (d *Discovery) Addr() string { return d.l.Addr().String() }

// Change changes entries of the list and tells the watches at once.
func (d *Discovery) Change(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.log = append(d.log, entries...)
	close(d.changed)
	d.changed = make(chan struct{})
}

// SilenceOpenWatches makes the watches that are open now fall silent, once: their connections stay open, and nothing more
// comes on them. Calls that come later are answered as ever. It returns their number.
func (d *Discovery) SilenceOpenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := len(d.watches)
	for w := range d.watches {
		close(w)
	}
	clear(d.watches)
	return n
}

// List returns the whole list.
func (d *Discovery) List() Object {
	d.mu.Lock()
	defer d.mu.Unlock()
	var order []string
	latest := map[string]Entry{}
	for _, e := range d.log {
		if _, ok := latest[e.Host]; !ok {
			order = append(order, e.Host)
		}
		latest[e.Host] = e
	}
	hosts := []Entry{}
	for _, name := range order {
		if latest[name].Health != "removed" {
			hosts = append(hosts, latest[name])
		}
	}
	return Object{"seq": len(d.log), "whole": true, "hosts": hosts}
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	d.c.Log("discovery of %s: %s", d.name, r.URL)
	if r.URL.Path != "/api/targets" {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		json.NewEncoder(w).Encode(d.List())
		return
	}
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if err != nil || from < 0 {
		http.Error(w, "from", http.StatusBadRequest)
		return
	}
	silent, flush := make(chan struct{}), http.NewResponseController(w)
	d.mu.Lock()
	d.watches[silent] = true
	d.mu.Unlock()
	defer func() {
		d.mu.Lock()
		delete(d.watches, silent)
		d.mu.Unlock()
	}()
	for first := true; ; first = false {
		d.mu.Lock()
		changes, changed := append([]Entry{}, d.log[min(from, len(d.log)):]...), d.changed
		from = len(d.log)
		d.mu.Unlock()
		select { // a silent watch brings nothing more
		case <-silent:
			<-r.Context().Done()
			return
		default:
		}
		if first || len(changes) > 0 {
			text, _ := json.Marshal(Object{"seq": from, "whole": false, "hosts": changes})
			fmt.Fprintf(w, "%s\n", text)
			if len(changes) > 0 {
				d.c.Log("discovery of %s: wrote %s", d.name, text)
			}
		} else {
			fmt.Fprint(w, "\n")
		}
		if flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-silent:
		case <-r.Context().Done():
			return
		}
	}
}
