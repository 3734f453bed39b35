package gateway

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"merlinarch/internal/decide/contact"
	"merlinarch/internal/decide/cordon"
	"merlinarch/logic"
)

// Fleet is what this dispatcher knows of the servers, for the registrars. The loop writes it, the accord's task reads it.
type Fleet struct {
	clock    Clock
	coldTime time.Duration

	mu    sync.Mutex
	hosts map[logic.ServerID]Host
	heard map[logic.ServerID]cordon.Evidence // since the last Reports
	sites map[string]contact.Evidence        // since the last Met
}

func newFleet(clock Clock, coldTime time.Duration) *Fleet {
	return &Fleet{clock: clock, coldTime: coldTime, hosts: map[logic.ServerID]Host{}, heard: map[logic.ServerID]cordon.Evidence{}, sites: map[string]contact.Evidence{}}
}

// set takes the list as it stands now.
func (f *Fleet) set(hosts map[logic.ServerID]Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.hosts)
	for id, h := range hosts {
		f.hosts[id] = h
	}
}

// noted counts what came of an attempt: for its site, whether anything came at all, and for the server, its answers.
func (f *Fleet) noted(id logic.ServerID, result Result) {
	o := result.Outcome
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[id]
	if !ok {
		return
	}
	e := f.sites[h.Zone]
	e.Site = h.Zone
	switch {
	case o == logic.OK || o == logic.ServerError || o == logic.Rejected || result.ConnRefused:
		e.Answered++
	case o == logic.TimedOut || o == logic.ConnectFailed:
		e.Unanswered++
	}
	f.sites[h.Zone] = e
	if o != logic.OK && o != logic.ServerError {
		return
	}
	r := f.heard[id]
	r.Host = h.Name
	r.Answered++
	if o == logic.ServerError {
		r.Errors++
	}
	f.heard[id] = r
}

// Listed is the list, with a sum over it.
func (f *Fleet) Servers() (servers []cordon.Server, sum string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, h := range f.hosts {
		servers = append(servers, cordon.Server{Host: h.Name, Born: h.StartedUnixMs, Site: h.Zone, Class: h.MachineClass, Build: int(h.Build),
			Weight: h.Weight, OutOfService: h.State != logic.Ready || h.Started > 0 && now < h.Started+f.coldTime})
	}
	slices.SortFunc(servers, func(a, b cordon.Server) int { return cmp.Compare(a.Host, b.Host) })
	h := fnv.New64a()
	fmt.Fprint(h, servers)
	return servers, fmt.Sprintf("%x", h.Sum64())
}

// Met is what came of attempts at each site since it was last asked for.
func (f *Fleet) TakeSiteEvidence() []contact.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []contact.Evidence{}
	for _, e := range f.sites {
		out = append(out, e)
	}
	clear(f.sites)
	slices.SortFunc(out, func(a, b contact.Evidence) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// Reports is what servers have answered since it was last asked for.
func (f *Fleet) TakeReports() []cordon.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []cordon.Evidence{}
	for _, r := range f.heard {
		out = append(out, r)
	}
	clear(f.heard)
	slices.SortFunc(out, func(a, b cordon.Evidence) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
