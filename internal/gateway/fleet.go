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

// Fleet collects what this dispatcher (a gateway under agreed rules) reports to the registrars (the members of the Raft
// group that replicates those rules) about the servers. The gateway's loop writes it, and the goroutine that talks to the
// registrars reads it.
type Fleet struct {
	clock      Clock
	warmUpTime time.Duration // a server that started more recently counts as out of service

	mu           sync.Mutex
	hosts        map[logic.ServerID]Host
	reports      map[logic.ServerID]cordon.Evidence // since the last TakeReports
	siteEvidence map[string]contact.Evidence        // by site, since the last TakeSiteEvidence
}

// newFleet returns a Fleet without servers.
func newFleet(clock Clock, warmUpTime time.Duration) *Fleet {
	return &Fleet{clock: clock, warmUpTime: warmUpTime, hosts: map[logic.ServerID]Host{}, reports: map[logic.ServerID]cordon.Evidence{}, siteEvidence: map[string]contact.Evidence{}}
}

// setHosts replaces the list of servers.
func (f *Fleet) setHosts(hosts map[logic.ServerID]Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.hosts)
	for id, h := range hosts {
		f.hosts[id] = h
	}
}

// recordResult counts the result of an attempt: for the server's site, whether the site responded at all, and for the
// server, its answers and errors.
func (f *Fleet) recordResult(id logic.ServerID, result Result) {
	o := result.Outcome
	f.mu.Lock()
	defer f.mu.Unlock()
	h, ok := f.hosts[id]
	if !ok {
		return
	}
	e := f.siteEvidence[h.Zone]
	e.Site = h.Zone
	switch {
	case o == logic.OK || o == logic.ServerError || o == logic.Rejected || result.ConnRefused:
		e.Answered++
	case o == logic.TimedOut || o == logic.ConnectFailed:
		e.Unanswered++
	}
	f.siteEvidence[h.Zone] = e
	if o != logic.OK && o != logic.ServerError {
		return
	}
	r := f.reports[id]
	r.Host = h.Name
	r.Answered++
	if o == logic.ServerError {
		r.Errors++
	}
	f.reports[id] = r
}

// Servers returns the list of servers, sorted by name, and a checksum that changes with it.
func (f *Fleet) Servers() (servers []cordon.Server, digest string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for _, h := range f.hosts {
		servers = append(servers, cordon.Server{Host: h.Name, Born: h.StartedUnixMs, Site: h.Zone, Class: h.MachineClass, Build: int(h.Build),
			Weight: h.Weight, OutOfService: h.State != logic.Ready || h.Started > 0 && now < h.Started+f.warmUpTime})
	}
	slices.SortFunc(servers, func(a, b cordon.Server) int { return cmp.Compare(a.Host, b.Host) })
	h := fnv.New64a()
	fmt.Fprint(h, servers)
	return servers, fmt.Sprintf("%x", h.Sum64())
}

// TakeSiteEvidence returns the counts of each site since the last call, and resets them.
func (f *Fleet) TakeSiteEvidence() []contact.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []contact.Evidence{}
	for _, e := range f.siteEvidence {
		out = append(out, e)
	}
	clear(f.siteEvidence)
	slices.SortFunc(out, func(a, b contact.Evidence) int { return cmp.Compare(a.Site, b.Site) })
	return out
}

// TakeReports returns the counts of each server since the last call, and resets them.
func (f *Fleet) TakeReports() []cordon.Evidence {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := []cordon.Evidence{}
	for _, r := range f.reports {
		out = append(out, r)
	}
	clear(f.reports)
	slices.SortFunc(out, func(a, b cordon.Evidence) int { return cmp.Compare(a.Host, b.Host) })
	return out
}
