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
	view    *ruleset.View
	conduct lease.Permission
	hosts   map[logic.ServerID]Host          // as listed
	lifted  map[logic.ServerID]time.Duration // when the cordon of this life was lifted: it counts as started then
	news    *logic.ReleaseStatus             // the platform's latest; nil: none yet
	newsAt  time.Duration                    // when it came
	fleet   *Fleet
}

// ruled is a version of the rules, or another conduct.
type ruled struct {
	view    *ruleset.View
	conduct lease.Permission
	heard   chan struct{} // closed once the module knows
}

// UseRules has the gateway keep to agreed rules; until the first version comes, nothing may be sent. It has to be called
// before Run. The Fleet is what dispatchers tell their registrars of the servers.
func (g *Gateway) UseRules(coldTime time.Duration) *Fleet {
	f := newFleet(g.clock, coldTime)
	g.rules = &rules{view: ruleset.NewView(ruleset.Document{}), conduct: lease.None, hosts: map[logic.ServerID]Host{},
		lifted: map[logic.ServerID]time.Duration{}, fleet: f}
	return f
}

// Ruled brings a version of the rules, or another conduct, and returns once the module knows of it.
func (g *Gateway) UpdateRules(ctx context.Context, v *ruleset.View, c lease.Permission) error {
	e := ruled{v, c, make(chan struct{})}
	if err := g.post(e); err != nil {
		return err
	}
	select {
	case <-e.heard:
		return nil
	case <-g.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// list takes discovery's news, narrowed by the rules. The pool hears first, so that sends find the addresses.
func (g *Gateway) list(e listed) {
	if r := g.rules; r != nil && !e.event.Failed {
		r.keep(e)
		for i := range e.hosts {
			e.hosts[i] = r.narrow(e.hosts[i], g.clock)
			e.event.Servers[i] = e.hosts[i].Server
		}
	}
	g.parts.Servers.UpdateServers(e.event.Full, e.hosts)
	g.feed(e.event)
	g.listed = g.listed || len(e.hosts) > 0
	g.ready.Store(g.listed && g.told)
}

// keep notes a list as it came.
func (r *rules) keep(e listed) {
	named := map[logic.ServerID]bool{}
	for _, h := range e.hosts {
		named[h.ID] = true
		if was, ok := r.hosts[h.ID]; ok && (was.StartedUnixMs != h.StartedUnixMs || was.Build != h.Build) {
			delete(r.lifted, h.ID)
		}
		if h.State == logic.Gone {
			delete(r.hosts, h.ID)
			delete(r.lifted, h.ID)
			continue
		}
		r.hosts[h.ID] = h
	}
	if e.event.Full {
		maps.DeleteFunc(r.hosts, func(id logic.ServerID, _ Host) bool { return !named[id] })
		maps.DeleteFunc(r.lifted, func(id logic.ServerID, _ time.Duration) bool { return !named[id] })
	}
	r.fleet.set(r.hosts)
}

// narrow is a listed server as the rules let it be seen. One whose cordon was lifted comes back as one that has just
// started does, so that all dispatchers together keep to its warm-up.
func (r *rules) narrow(h Host, clock Clock) Host {
	if at := clock.FromUnix(float64(r.view.LiftedAt(h.Name))); at > h.Started && at > r.lifted[h.ID] {
		r.lifted[h.ID] = at
	}
	h.Started = max(h.Started, r.lifted[h.ID])
	h.State = r.view.RestrictState(h.Name, h.StartedUnixMs, h.State)
	return h
}

// release narrows the platform's news.
func (r *rules) release(e logic.ReleaseStatus, now time.Duration) logic.ReleaseStatus {
	if !e.IsReply || e.Reply == logic.VoteCounted {
		kept := e
		kept.IsReply = false
		r.news, r.newsAt = &kept, now
	}
	return r.view.RestrictRelease(e, r.conduct)
}

// rule takes a version in, or another conduct: what it changes for servers, for the build on trial, for shares and worths
// reaches the module, and what waits unsent while nothing may be sent is refused at once.
func (g *Gateway) rule(e ruled) {
	r := g.rules
	was := maps.Clone(r.hosts)
	for id, h := range was {
		was[id] = r.narrow(h, g.clock)
	}
	r.view, r.conduct = e.view, e.conduct
	var changed []Host
	event := logic.ServersListed{}
	for id, h := range r.hosts {
		if now := r.narrow(h, g.clock); now != was[id] {
			changed = append(changed, now)
			event.Servers = append(event.Servers, now.Server)
		}
	}
	if len(changed) > 0 {
		g.parts.Servers.UpdateServers(false, changed)
		g.feed(event)
	}
	if r.news != nil && r.news.Phase == logic.OnTrial {
		if now := r.view.RestrictRelease(*r.news, r.conduct); now.Cap != g.last.Cap || now.Build != g.last.Build {
			again := *r.news
			again.StageAge += g.clock.Now() - r.newsAt
			g.release(again)
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
