package rehearsal

import (
	"math/rand/v2"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/driver"
	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// moduleOrigin is the module's time when the rehearsal begins: zero means 'long ago' to it.
const moduleOrigin = time.Hour

// nodes are routers in virtual time: a module each, driven as the gateway drives it, with the waits and the checks
// of the program on sockets. The module's own time costs none. It implements Front.
type nodes struct {
	w      *World
	limits config.Limits
	list   []*node
	make   func(s logic.Settings, seed uint64) driver.Module
}

// node is one router in one of its lives.
type node struct {
	of     *nodes
	number int
	site   string
	life   int
	frozen time.Duration // stands still until then
	driver *driver.Driver[*task]
	tasks  map[*Try]*driver.Call[*task]
	known  map[logic.ServerID]Entry
	gone   map[logic.ServerID]time.Duration   // hosts that drain or are gone: since when it knows
	idle   map[logic.ServerID][]time.Duration // connections, by when they were used last
	draws  *rand.Rand
}

// task is a request as a node holds it.
type task struct {
	try      *Try
	deadline time.Duration // of the module
	last     time.Duration // the node answers by itself then
	answered bool
	flight   *flight
}

// flight is an attempt under way, from the send to its outcome.
type flight struct {
	id       logic.RequestID
	number   int
	host     *Host
	arrived  *Attempt
	over     bool
	connects bool
}

// Run plays a script in virtual time.
func Run(s script.Script, progress func(done float64)) (Report, error) {
	w, err := Prepare(s)
	if err != nil {
		return Report{}, err
	}
	const lead = time.Second
	total := float64(lead + s.Length)
	for n := 0; ; n++ {
		if _, ok := w.Next(); !ok {
			return w.Report(), nil
		}
		w.Step()
		if progress != nil && n%(1<<16) == 0 {
			progress(min(1, float64(w.Now())/total))
		}
	}
}

// Prepare makes the world of a script with its routers in virtual time, ready to be stepped.
func Prepare(s script.Script) (*World, error) {
	limits, err := config.NewLimits(config.Resources{Cores: 1, MemoryMB: s.Routers.MemoryMB, Sockets: s.Routers.Sockets,
		DialTimeout: s.Network.DialTimeout}, Settings(s, 0))
	if err != nil {
		return nil, err
	}
	w := New(s, false)
	n := &nodes{w: w, limits: limits, make: policies[s.Routers.Policy]}
	for i, r := range w.routers {
		n.list = append(n.list, &node{of: n, number: i, site: r.site})
	}
	w.Start(n, time.Second)
	return w, nil
}

// Settings is what a router of a script learns at its start.
func Settings(s script.Script, router int) logic.Settings {
	l, h := s.Launcher, s.Hosts
	out := logic.Settings{Self: router, RouterCount: s.Routers.Count, Zone: s.Sites[router%len(s.Sites)],
		MaxAttempts: s.Routers.MaxAttempts, MaxRetryAfter: s.Routers.RetryAfter, CanPost: s.Routers.Peers,
		CanCancel: s.Routers.Cancel, ClockResolution: 5 * time.Millisecond, DrainGrace: h.DrainGrace,
		ConnIdleTimeout: s.Network.ConnIdle, ColdCapacity: h.ColdFrom, WarmUpTime: h.ColdTime, OverloadMultiple: h.FallMultiple,
		OverloadTime: h.FallTime, CrossZoneCost: s.Routers.CrossCost, OverShareWorth: s.Routers.OverShare,
		Rollout: logic.Rollout{StageShare: l.Share, StageCap: l.Cap, ExposureWindow: l.Window, FreeAttempts: float64(l.Free),
			BudgetPerClass: l.PerClass, ClosedStages: l.Closed, RollingUpdate: true, MinStageTime: l.Bake, VoteTTL: l.VoteLife,
			VoteTimeout: l.CallTimeout, VotesPerSec: l.VotesPerSec}}
	classes, tenants := 0.0, 0.0
	for _, c := range s.Classes {
		classes += c.Share
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, logic.Class{Name: c.Name, Repeatability: repeats[c.Repeat],
			DedupScope: scopes[c.Group], DedupWindow: c.Window, LatencyTarget: c.Aim, Deadline: c.Deadline, Worth: c.Worth,
			LateValue: c.LateWorth})
	}
	for _, t := range s.Tenants {
		tenants += t.Share
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, logic.Tenant{Name: t.Name, Quota: s.Clients.Rate * t.Share / tenants,
			Share: t.Share / tenants})
	}
	return out
}

var scopes = map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}

// in lets a node take something in, once it does not stand still; what belongs to an earlier life is lost.
func (n *node) in(do func(now time.Duration)) {
	w := n.of.w
	if w.q.now < n.frozen {
		life := n.life
		w.q.at(n.frozen, func() {
			if n.life == life {
				n.in(do)
			}
		})
		return
	}
	do(w.q.now + moduleOrigin)
}

// feed gives the module an event.
func (n *node) feed(e logic.Event) { n.in(func(now time.Duration) { n.driver.Feed(now, e) }) }

func (ns *nodes) Boot(i int, known []Entry, news ReleaseState) {
	n := ns.list[i]
	n.life++
	n.frozen = 0
	n.draws = rand.New(rand.NewPCG(ns.w.s.Seed, uint64(i)<<32|uint64(n.life)))
	n.tasks, n.known = map[*Try]*driver.Call[*task]{}, map[logic.ServerID]Entry{}
	n.idle, n.gone = map[logic.ServerID][]time.Duration{}, map[logic.ServerID]time.Duration{}
	s := Settings(ns.w.s, i)
	s.MaxOpenRequests = ns.limits.MaxOpen
	n.driver = driver.New(ns.make(s, n.draws.Uint64()), n)
	ns.tell(i, known, true)
	ns.ReleaseChanged(i, news)
}

func (ns *nodes) Kill(i int) {
	n := ns.list[i]
	n.life++ // what is under way finds nobody
	for _, c := range n.tasksInOrder() {
		if f := c.Request.flight; f != nil && !f.over {
			f.over = true
			if f.arrived != nil {
				ns.w.Cancel(f.arrived)
			}
		}
	}
	for id, list := range n.idle {
		if e, ok := n.known[id]; ok {
			e.Host.conns -= len(list)
		}
	}
	n.tasks, n.driver = nil, nil
}

func (n *node) tasksInOrder() []*driver.Call[*task] {
	var tries []*Try
	for t := range n.tasks {
		tries = append(tries, t)
	}
	sortTries(tries)
	var list []*driver.Call[*task]
	for _, t := range tries {
		list = append(list, n.tasks[t])
	}
	return list
}

func (ns *nodes) Freeze(i int, length time.Duration) { ns.list[i].frozen = ns.w.q.now + length }

func (ns *nodes) HostUp(*Host)         {}
func (ns *nodes) SilenceLauncher(bool) {}

// HostDown ends the connections to a host; one that goes silent keeps them open.
func (ns *nodes) HostDown(h *Host, silent bool) {
	if !silent {
		for _, n := range ns.list {
			delete(n.idle, logic.ServerID(h.ID))
		}
		h.conns = 0
	}
}

// Take begins a request as the client side does: the module's time is over a little before the client's.
func (ns *nodes) Take(t *Try) {
	n := ns.list[t.Router]
	wait := t.Until - t.SentAt
	answer, last := ns.limits.Margins(wait)
	k := &task{try: t, deadline: t.Until - answer, last: t.Until - last}
	life := n.life
	n.in(func(now time.Duration) {
		if ns.w.q.now >= k.last {
			n.answer(k, Answer{Status: Failed})
			return
		}
		e := logic.RequestArrived{Class: t.Class(), Tenant: t.Tenant(ns.w), Key: t.Request.Key, HasKey: true,
			TimeLeft: max(0, k.deadline-ns.w.q.now)}
		c := n.driver.Submit(now, k, e)
		if c.Finished() {
			return
		}
		n.tasks[t] = c
		ns.w.q.at(k.deadline, func() { // an attempt's wait ends with the module's time
			if f := k.flight; n.life == life && f != nil && !f.over {
				n.end(f, logic.TimedOut, nil)
			}
		})
		ns.w.q.at(k.last, func() {
			if n.life == life && !k.answered {
				n.in(func(now time.Duration) { n.leave(now, c, Answer{Status: Failed}) })
			}
		})
	})
}

// leave ends a request without the module's doing.
func (n *node) leave(now time.Duration, c *driver.Call[*task], a Answer) {
	if !c.Request.answered && a.Status != Abandoned {
		n.answer(c.Request, a)
	}
	c.Request.answered = true
	if n.driver.Abandon(now, c) {
		delete(n.tasks, c.Request.try)
	}
}

// Left tells that a request's client has gone.
func (ns *nodes) ClientGone(t *Try) {
	n := ns.list[t.Router]
	if c := n.tasks[t]; c != nil && t.life == ns.w.routers[t.Router].life {
		n.in(func(now time.Duration) { n.leave(now, c, Answer{Status: Abandoned}) })
	}
}

func (n *node) answer(k *task, a Answer) {
	if !k.answered {
		k.answered = true
		n.of.w.Answered(k.try, a)
	}
}

func (ns *nodes) Listed(i int, changes []Entry) { ns.tell(i, changes, false) }

func (ns *nodes) tell(i int, entries []Entry, full bool) {
	n := ns.list[i]
	e := logic.ServersListed{Full: full}
	for _, x := range entries {
		id := logic.ServerID(x.Host.ID)
		s := logic.Server{ID: id, Zone: x.Host.Site, Build: logic.BuildID(x.Build + 1), Cell: x.Host.Cell,
			State: x.State, Weight: 1}
		if x.Started > 0 {
			s.Started = x.Started + moduleOrigin
		}
		n.known[id] = x
		if _, known := n.gone[id]; x.State != logic.Ready && !known {
			n.gone[id] = ns.w.q.now
		}
		e.Servers = append(e.Servers, s)
	}
	n.feed(e)
}

func (ns *nodes) status(s ReleaseState) logic.ReleaseStatus {
	return logic.ReleaseStatus{Build: logic.BuildID(s.Build + 1), Stage: s.Stage, Phase: s.Phase, Cap: s.Cap,
		StageAge: ns.w.q.now - s.Since}
}

func (ns *nodes) ReleaseChanged(i int, s ReleaseState) { ns.list[i].feed(ns.status(s)) }

// Start sends an attempt: on an idle connection, or on a new one, whose setting up takes its time.
func (n *node) Start(c *driver.Call[*task], timeout time.Duration) {
	w := n.of.w
	h := n.known[c.Server].Host
	f := &flight{id: c.ID, number: c.Attempt(), host: h}
	c.Request.flight = f
	if timeout > 0 {
		life := n.life
		w.q.after(timeout, func() {
			if n.life == life && !f.over {
				n.end(f, logic.TimedOut, nil)
			}
		})
	}
	way := w.distance(n.site, h.Site)
	for list := n.idle[c.Server]; len(list) > 0 && f.arrived == nil; list = n.idle[c.Server] {
		last := len(list) - 1
		used := list[last]
		n.idle[c.Server] = list[:last]
		if w.q.now-used < n.of.limits.ServerIdleTimeout {
			n.fly(c, f, way)
			return
		}
		h.conns--
	}
	f.connects = true
	cut := w.apart(n.site, h.Site)
	switch {
	case cut || h.silent:
		n.later(w.s.Network.DialTimeout, f, func() { n.end(f, logic.ConnectFailed, nil) })
	case h.phase == ended || h.phase == booting:
		n.later(2*way, f, func() { n.end(f, logic.ConnectFailed, nil) })
	case h.conns >= w.s.Hosts.Connections:
		n.later(2*way, f, func() { n.end(f, logic.Rejected, nil) })
	default:
		h.conns++
		n.later(2*way, f, func() {
			// Danger: the host may have begun to drain while the connection was made.
			at, gone := n.gone[c.Server]
			if gone && w.q.now > at+n.of.limits.SendGrace || c.Finished() {
				n.end(f, logic.NotSent, nil)
				return
			}
			n.fly(c, f, way)
		})
	}
}

// later does something to an attempt after a while, if it is still under way.
func (n *node) later(d time.Duration, f *flight, do func()) {
	life := n.life
	n.of.w.q.after(d, func() {
		if n.life == life && !f.over {
			do()
		}
	})
}

// fly brings an attempt to its host, and its reply back.
func (n *node) fly(c *driver.Call[*task], f *flight, way time.Duration) {
	w := n.of.w
	sent := w.q.now
	life := n.life
	w.q.after(way, func() {
		if n.life != life || f.over || w.apart(n.site, f.host.Site) { // given up on its way, or lost: silence
			return
		}
		if w.linkLoss > 0 && w.draws.Float64() < w.linkLoss {
			n.later(way, f, func() { n.end(f, logic.Reset, nil) })
			return
		}
		f.arrived = &Attempt{Try: c.Request.try, Router: n.number, Host: f.host, SentAt: sent,
			Done: func(r Reply, load *logic.Load) {
				back := w.distance(n.site, f.host.Site)
				if w.apart(n.site, f.host.Site) {
					return
				}
				n.later(back, f, func() { n.reply(c, f, r, load) })
			}}
		w.Arrive(f.arrived, f.connects)
	})
}

var outcomes = map[Reply]logic.Outcome{Good: logic.OK, Wrong: logic.OK, Erred: logic.ServerError,
	TurnedAway: logic.Rejected, Broken: logic.Reset}

// reply takes a host's reply, whose connection is idle then.
func (n *node) reply(c *driver.Call[*task], f *flight, r Reply, load *logic.Load) {
	w := n.of.w
	if r != Broken && f.host.phase != ended {
		id := logic.ServerID(f.host.ID)
		n.idle[id] = append(n.idle[id], w.q.now)
	}
	if r == Wrong && w.dispute() {
		sent, class := w.q.now, c.Request.try.Class()
		w.q.after(time.Second, func() {
			if n.driver != nil {
				n.feed(logic.AnswerDisputed{Server: logic.ServerID(f.host.ID), Class: class, AttemptAge: w.q.now - sent})
			}
		})
	}
	n.end(f, outcomes[r], load)
}

// end tells the module how an attempt ended. By then its connection is idle or closed.
func (n *node) end(f *flight, o logic.Outcome, load *logic.Load) {
	w := n.of.w
	f.over = true
	if f.arrived != nil && !f.arrived.over {
		w.Cancel(f.arrived)
	}
	ended := w.q.now + moduleOrigin
	life := n.life
	n.in(func(now time.Duration) {
		if n.life != life {
			return
		}
		c := n.driver.EndAttempt(f.id, f.number)
		if c == nil {
			return
		}
		k := c.Request
		k.flight = nil
		over := o == logic.OK || c.Finished() || k.answered
		if o == logic.OK {
			n.answer(k, Answer{Status: Served})
		} else if over {
			n.answer(k, Answer{Status: Failed})
		}
		if over {
			delete(n.tasks, k.try)
		}
		n.driver.ReportOutcome(now, c, driver.AttemptResult{Outcome: o, EndedAt: ended, Load: load}, over)
	})
}

// GiveUp ends an attempt that nobody waits for.
func (n *node) CancelAttempt(c *driver.Call[*task]) {
	if f := c.Request.flight; f != nil && !f.over {
		n.later(0, f, func() { n.end(f, logic.Cancelled, nil) })
	}
}

// Finish gives the module's final answer.
func (n *node) Finish(c *driver.Call[*task], refused bool, advice time.Duration) {
	a := Answer{Status: Failed}
	if refused {
		a = Answer{Status: Refused, RetryAfter: advice}
	}
	n.answer(c.Request, a)
	if !c.InFlight() {
		delete(n.tasks, c.Request.try)
	}
}

// Stray counts nothing here: a module's slip shows in what the referee sees.
func (n *node) ReportStray(logic.Action) {}

// Do carries out what concerns no request.
func (n *node) Do(a logic.Action) {
	w, life := n.of.w, n.life
	switch a := a.(type) {
	case logic.SetTimer:
		w.q.after(a.After, func() {
			if n.life == life {
				n.feed(logic.TimerFired{Token: a.Token})
			}
		})
	case logic.Close:
		if e, ok := n.known[a.Server]; ok {
			e.Host.conns -= len(n.idle[a.Server])
			delete(n.idle, a.Server)
		}
	case logic.Post:
		n.post(a)
	case logic.Vote:
		answered := false
		w.launcher.Vote(n.number, int(a.Build)-1, a.Stage, a.Verdict, func(r VoteReply) {
			if n.life != life || answered {
				return
			}
			answered = true
			e := logic.ReleaseStatus{IsReply: true, Reply: r.Result}
			if r.Result == logic.VoteCounted {
				e = n.of.status(r.Release)
				e.IsReply = true
				w.RecordRelease(n.number, r.Release)
			}
			n.feed(e)
		})
		w.q.after(w.s.Launcher.CallTimeout, func() {
			if n.life == life && !answered {
				answered = true
				n.feed(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
			}
		})
	}
}

// post sends a message to one router or to all; it comes late, or not at all.
func (n *node) post(a logic.Post) {
	w := n.of.w
	data := append([]byte(nil), a.Data...)
	for i, to := range n.of.list {
		if i == n.number || a.Peer >= 0 && i != a.Peer {
			continue
		}
		w.CarryMessage(n.number, i, len(data), func() {
			if to.driver != nil {
				to.feed(logic.PeerMessage{From: n.number, Data: data})
			}
		})
	}
}
