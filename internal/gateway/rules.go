package gateway

import (
	"context"
	"maps"
	"time"

	"merlinarch/internal/decide/incarnation"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/exchange"
	"merlinarch/logic"
)

// rules is the loop's state for the agreed rules: the servers and the release status as received, and the view of the
// rules that restricts them. The module sees a cordoned server as a draining one.
type rules struct {
	view         *ruleset.View
	permission   lease.Permission
	hosts        map[logic.ServerID]Host          // as discovery lists them
	liftedAt     map[logic.ServerID]time.Duration // when the cordon of this incarnation was lifted; it counts as started then
	lifts        *incarnation.Starts              // the same, by the registrars' time of the lifting
	applied      bool                             // a version of the rules has been applied
	lastStatus   *logic.ReleaseStatus             // latest from the platform; nil: none yet
	lastStatusAt time.Duration                    // when it was received
	lastVote     *logic.Vote                      // as the module decided it; nil: none yet
	castVerdict  logic.Verdict                    // with which lastVote was cast, as the rules restricted it
	fleet        *Fleet
}

// rulesUpdated brings a version of the rules, or a changed permission to send.
type rulesUpdated struct {
	view       *ruleset.View
	permission lease.Permission
	applied    chan struct{} // closed once the module has been updated
}

// UseRules makes the gateway follow agreed rules; until their first version is received, nothing may be sent. It must be
// called before Run. It returns the Fleet that collects the reports on the servers for the registrars; the Fleet reports a
// server as out of service until warmUpTime after its start.
func (g *Gateway) UseRules(warmUpTime time.Duration) *Fleet {
	f := newFleet(g.clock, warmUpTime)
	g.rules = &rules{view: ruleset.NewView(ruleset.Document{}), permission: lease.None, hosts: map[logic.ServerID]Host{},
		liftedAt: map[logic.ServerID]time.Duration{}, lifts: incarnation.New(), fleet: f}
	return f
}

// UpdateRules applies a version of the rules, or a changed permission to send, and returns once the module has it.
func (g *Gateway) UpdateRules(ctx context.Context, v *ruleset.View, permission lease.Permission) error {
	e := rulesUpdated{v, permission, make(chan struct{})}
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

// applyServers gives a list of servers to the connection pool and the module, restricted by the agreed rules. The pool
// gets it first, so that it knows the address of each server that the module may choose.
func (g *Gateway) applyServers(e serversUpdated) {
	g.observeStarts(e)
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

// observeStarts replaces the start of each listed server by what this router has made of it, whose wall clock may be wrong.
func (g *Gateway) observeStarts(e serversUpdated) {
	now := g.clock.Now()
	if e.event.Full {
		g.starts.RemoveUnlisted(e.event.Servers)
	}
	for i, h := range e.hosts {
		if h.State == logic.Gone {
			g.starts.Remove(h.ID)
			continue
		}
		e.hosts[i].Started = g.starts.Observe(h.ID, h.StartedUnixMs, h.Started, now, !g.serversKnown)
		e.event.Servers[i].Started = e.hosts[i].Started
	}
}

// storeHosts stores a list, or changes to it, as received.
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
			r.lifts.Remove(h.ID)
			continue
		}
		r.hosts[h.ID] = h
	}
	if e.event.Full {
		r.lifts.RemoveUnlisted(e.event.Servers)
		maps.DeleteFunc(r.hosts, func(id logic.ServerID, _ Host) bool { return !present[id] })
		maps.DeleteFunc(r.liftedAt, func(id logic.ServerID, _ time.Duration) bool { return !present[id] })
	}
	r.fleet.setHosts(r.hosts)
}

// applyToHost returns a listed server as the rules restrict it. One whose cordon was lifted counts as started at that
// time, so that all dispatchers together apply slow start to it.
func (r *rules) applyToHost(h Host, clock Clock) Host {
	liftedUnixMs := r.view.LiftedAt(h.Name)
	if at := r.lifts.Observe(h.ID, liftedUnixMs, clock.FromUnix(float64(liftedUnixMs)), clock.Now(), !r.applied); at > h.Started && at > r.liftedAt[h.ID] {
		r.liftedAt[h.ID] = at
	}
	h.Started = max(h.Started, r.liftedAt[h.ID])
	h.State = r.view.RestrictState(h.Name, h.StartedUnixMs, h.State)
	return h
}

// applyToRelease stores a release status and returns it as the rules restrict it.
func (r *rules) applyToRelease(e logic.ReleaseStatus, now time.Duration) logic.ReleaseStatus {
	if !e.IsReply || e.Reply == logic.VoteCounted {
		status := e
		status.IsReply = false
		r.lastStatus, r.lastStatusAt = &status, now
	}
	return r.view.RestrictRelease(e, r.permission)
}

// applyToVote stores a vote as the module decided it, and returns it as the rules restrict it.
func (r *rules) applyToVote(decided logic.Vote) logic.Vote {
	vote := r.view.RestrictVote(decided, r.permission)
	r.lastVote, r.castVerdict = &decided, vote.Verdict
	return vote
}

// recastVote casts the last vote again if the rules now restrict it to another verdict than it was cast with, since a vote
// counts until it expires. A vote on an earlier stage counts no more.
func (g *Gateway) recastVote() {
	r := g.rules
	if r.lastVote == nil || r.lastStatus == nil || r.lastStatus.Phase != logic.OnTrial ||
		r.lastVote.Build != r.lastStatus.Build || r.lastVote.Stage != r.lastStatus.Stage {
		return
	}
	if r.view.RestrictVote(*r.lastVote, r.permission).Verdict != r.castVerdict {
		g.outputs.Platform.Vote(r.applyToVote(*r.lastVote))
	}
}

// applyRules applies a version of the rules, or a changed permission to send. It updates the module where servers, the
// build on trial, tenants' shares or classes' worths change. Without permission to send, it refuses all requests of which
// no attempt was made yet.
func (g *Gateway) applyRules(e rulesUpdated) {
	r := g.rules
	before := maps.Clone(r.hosts)
	for id, h := range before {
		before[id] = r.applyToHost(h, g.clock)
	}
	r.view, r.permission = e.view, e.permission
	var changed []Host
	event := logic.ServersListed{}
	for id, h := range r.hosts {
		if updated := r.applyToHost(h, g.clock); updated != before[id] {
			changed = append(changed, updated)
			event.Servers = append(event.Servers, updated.Server)
		}
	}
	if len(changed) > 0 {
		g.outputs.Servers.UpdateServers(false, changed)
		g.feed(event)
	}
	if r.lastStatus != nil && r.lastStatus.Phase == logic.OnTrial {
		if restricted := r.view.RestrictRelease(*r.lastStatus, r.permission); restricted.Cap != g.lastRelease.Cap || restricted.Build != g.lastRelease.Build {
			status := *r.lastStatus
			status.StageAge += g.clock.Now() - r.lastStatusAt
			g.applyRelease(status)
		}
	}
	r.applied = true
	g.recastVote()
	d := r.view.Document.Rules
	g.router.SetSharesAndWorths(d.Tenants, d.Worth)
	if r.permission != lease.None {
		return
	}
	for ex, c := range g.calls {
		if c.Attempt() < 0 && !c.InFlight() && ex.Finish(exchange.Answer{Status: exchange.Refused, RetryAfter: g.limits.RetryAfter}) {
			g.driver.Abandon(g.clock.Now(), c)
			delete(g.calls, ex)
		}
	}
}
