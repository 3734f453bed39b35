package gateway

import (
	"context"
	"maps"
	"time"

	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/exchange"
	"merlinarch/logic"
)

// rules is what the loop keeps for the agreed rules: discovery's list and the platform's news as they came, and the view
// that narrows them. The module hears of a cordon as it hears of a drain.
type rules struct {
	view         *ruleset.View
	conduct      lease.Permission
	hosts        map[logic.ServerID]Host          // as listed
	liftedAt     map[logic.ServerID]time.Duration // when the cordon of this life was lifted: it counts as started then
	lastStatus   *logic.ReleaseStatus             // the platform's latest; nil: none yet
	lastStatusAt time.Duration                    // when it came
	fleet        *Fleet
}

// ruled is a version of the rules, or another conduct.
type rulesUpdated struct {
	view    *ruleset.View
	conduct lease.Permission
	applied chan struct{} // closed once the module knows
}

// UseRules has the gateway keep to agreed rules; until the first version comes, nothing may be sent. It has to be called
// before Run. The Fleet is what dispatchers tell their registrars of the servers.
func (g *Gateway) UseRules(coldTime time.Duration) *Fleet {
	f := newFleet(g.clock, coldTime)
	g.rules = &rules{view: ruleset.NewView(ruleset.Document{}), conduct: lease.None, hosts: map[logic.ServerID]Host{},
		liftedAt: map[logic.ServerID]time.Duration{}, fleet: f}
	return f
}

// Ruled brings a version of the rules, or another conduct, and returns once the module knows of it.
func (g *Gateway) UpdateRules(ctx context.Context, v *ruleset.View, c lease.Permission) error {
	e := rulesUpdated{v, c, make(chan struct{})}
	if err := g.post(e); err != nil {
		return err
	}
	select {
	case <-e.applied:
		return nil
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// list takes discovery's news, narrowed by the rules. The pool hears first, so that sends find the addresses.
func (g *Gateway) applyServers(e serversUpdated) {
	if r := g.rules; r != nil && !e.event.Failed {
		r.storeHosts(e)
		for i := range e.hosts {
			e.hosts[i] = r.applyToHost(e.hosts[i], g.clock)
			e.event.Servers[i] = e.hosts[i].Server
		}
	}
	g.outputs.Servers.UpdateServers(e.event.Full, e.hosts)
	g.feed(e.event)
	g.serversKnown = g.serversKnown || len(e.hosts) > 0
	g.ready.Store(g.serversKnown && g.releaseKnown)
}

// keep notes a list as it came.
func (r *rules) storeHosts(e serversUpdated) {
	present := map[logic.ServerID]bool{}
	for _, h := range e.hosts {
		present[h.ID] = true
		if old, ok := r.hosts[h.ID]; ok && (old.StartedUnixMs != h.StartedUnixMs || old.Build != h.Build) {
			delete(r.liftedAt, h.ID)
		}
		if h.State == logic.Gone {
			delete(r.hosts, h.ID)
			delete(r.liftedAt, h.ID)
			continue
		}
		r.hosts[h.ID] = h
	}
	if e.event.Full {
		maps.DeleteFunc(r.hosts, func(id logic.ServerID, _ Host) bool { return !present[id] })
		maps.DeleteFunc(r.liftedAt, func(id logic.ServerID, _ time.Duration) bool { return !present[id] })
	}
	r.fleet.setHosts(r.hosts)
}

// narrow is a listed server as the rules let it be seen. One whose cordon was lifted comes back as one that has just
// started does, so that all dispatchers together keep to its warm-up.
func (r *rules) applyToHost(h Host, clock Clock) Host {
	if at := clock.FromUnix(float64(r.view.LiftedAt(h.Name))); at > h.Started && at > r.liftedAt[h.ID] {
		r.liftedAt[h.ID] = at
	}
	h.Started = max(h.Started, r.liftedAt[h.ID])
	h.State = r.view.State(h.Name, h.StartedUnixMs, h.State)
	return h
}

// release narrows the platform's news.
func (r *rules) applyToRelease(e logic.ReleaseStatus, now time.Duration) logic.ReleaseStatus {
	if !e.IsReply || e.Reply == logic.VoteCounted {
		status := e
		status.IsReply = false
		r.lastStatus, r.lastStatusAt = &status, now
	}
	return r.view.Release(e, r.conduct)
}

// rule takes a version in, or another conduct: what it changes for servers, for the build on trial, for shares and worths
// reaches the module, and what waits unsent while nothing may be sent is refused at once.
func (g *Gateway) applyRules(e rulesUpdated) {
	r := g.rules
	before := maps.Clone(r.hosts)
	for id, h := range before {
		before[id] = r.applyToHost(h, g.clock)
	}
	r.view, r.conduct = e.view, e.conduct
	var changed []Host
	event := logic.ServersListed{}
	for id, h := range r.hosts {
		if now := r.applyToHost(h, g.clock); now != before[id] {
			changed = append(changed, now)
			event.Servers = append(event.Servers, now.Server)
		}
	}
	if len(changed) > 0 {
		g.outputs.Servers.UpdateServers(false, changed)
		g.feed(event)
	}
	if r.lastStatus != nil && r.lastStatus.Phase == logic.OnTrial {
		if now := r.view.Release(*r.lastStatus, r.conduct); now.Cap != g.lastRelease.Cap || now.Build != g.lastRelease.Build {
			status := *r.lastStatus
			status.StageAge += g.clock.Now() - r.lastStatusAt
			g.applyRelease(status)
		}
	}
	d := r.view.Document.Rules
	g.router.SetSharesAndWorths(d.Tenants, d.Worth)
	if r.conduct != lease.None {
		return
	}
	for ex, c := range g.calls {
		if c.Attempt() < 0 && !c.InFlight() && ex.Finish(exchange.Answer{Status: exchange.Refused, RetryAfter: g.limits.RetryAfter}) {
			g.driver.Abandon(g.clock.Now(), c)
			delete(g.calls, ex)
		}
	}
}
