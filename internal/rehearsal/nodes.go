package rehearsal

import (
	"math/rand/v2"
	"time"

	"merlinarch/internal/config"
	"merlinarch/internal/driver"
	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// moduleOrigin is the module's time when the rehearsal begins. It is not zero because a zero time means "long ago" to
// the module.
const moduleOrigin = time.Hour

// virtualFleet is the routers in virtual time. Each is a decision module driven as the gateway drives it, with the
// timeouts and checks of the program on sockets. The module's computing takes no virtual time. It implements
// RouterFleet.
type virtualFleet struct {
	w         *World
	limits    config.Limits
	routers   []*virtualRouter
	newModule func(s logic.Settings, seed uint64) driver.Module
}

// virtualRouter is one router; its state is that of its present incarnation.
type virtualRouter struct {
	fleet         *virtualFleet
	number        int
	site          string
	incarnation   int
	frozenUntil   time.Duration                // stalled until then
	driver        *driver.Driver[*task]        // nil while it is down
	tasks         map[*Try]*driver.Call[*task] // requests that are not over
	knownHosts    map[logic.ServerID]Entry
	notReadySince map[logic.ServerID]time.Duration   // hosts that drain or are gone: when it was informed
	idleConns     map[logic.ServerID][]time.Duration // idle connections: when each was last used
	rng           *rand.Rand
}

// task is a router's state of a request.
type task struct {
	try        *Try
	deadline   time.Duration // by which the module has to answer
	fallbackAt time.Duration // when the router answers by itself, without the module
	answered   bool
	attempt    *sentAttempt // the current one, or nil
}

// sentAttempt is an attempt as its router sees it, from the send to its outcome.
type sentAttempt struct {
	id            logic.RequestID
	number        int
	host          *Host
	atHost        *Attempt // nil until it has reached its host
	ended         bool
	newConnection bool // a connection was made for it
}

// Run plays a script in virtual time and returns its report. progress, if not nil, is called now and then with the
// fraction played.
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

// Prepare returns the world of a script with its routers in virtual time, ready for World.Step.
func Prepare(s script.Script) (*World, error) {
	limits, err := config.NewLimits(config.Resources{Cores: 1, MemoryMB: s.Routers.MemoryMB, Sockets: s.Routers.Sockets,
		DialTimeout: s.Network.DialTimeout}, Settings(s, 0))
	if err != nil {
		return nil, err
	}
	w := New(s, false)
	n := &virtualFleet{w: w, limits: limits, newModule: policies[s.Routers.Policy]}
	for i, r := range w.routers {
		n.routers = append(n.routers, &virtualRouter{fleet: n, number: i, site: r.site})
	}
	w.Start(n, time.Second)
	return w, nil
}

// Settings returns the settings that a router of a script gets when it starts.
func Settings(s script.Script, router int) logic.Settings {
	l, h := s.Launcher, s.Hosts
	out := logic.Settings{Self: router, RouterCount: s.Routers.Count, Zone: s.Sites[router%len(s.Sites)],
		MaxAttempts: s.Routers.MaxAttempts, MaxRetryAfter: s.Routers.RetryAfter, CanPost: s.Routers.Peers,
		CanCancel: s.Routers.Cancel, ClockResolution: 5 * time.Millisecond, DrainGrace: h.DrainGrace,
		ConnIdleTimeout: s.Network.ConnIdle, ColdCapacity: h.ColdFrom, WarmUpTime: h.ColdTime,
		OverloadMultiple: h.FallMultiple, OverloadTime: h.FallTime, CrossZoneCost: s.Routers.CrossCost,
		OverShareWorth: s.Routers.OverShare,
		Rollout: logic.Rollout{StageShare: l.Share, StageCap: l.Cap, ExposureWindow: l.Window, FreeAttempts: float64(l.Free),
			BudgetPerClass: l.PerClass, ClosedStages: l.Closed, RollingUpdate: true, MinStageTime: l.Bake, VoteTTL: l.VoteLife,
			VoteTimeout: l.CallTimeout, VotesPerSec: l.VotesPerSec}}
	classes, tenants := 0.0, 0.0
	for _, c := range s.Classes {
		classes += c.Share
	}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, logic.Class{Name: c.Name, Repeatability: repeatabilities[c.Repeat],
			DedupScope: dedupScopes[c.Group], DedupWindow: c.Window, LatencyTarget: c.Aim, Deadline: c.Deadline, Worth: c.Worth,
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

// dedupScopes translates a class's group in a script.
var dedupScopes = map[string]logic.DedupScope{"all": logic.ScopeAll, "zone": logic.ScopeZone, "cell": logic.ScopeCell}

// whenRunning calls do with the module's time: at once, or after the stall if the router is frozen. What was waiting is
// lost when the router dies.
func (n *virtualRouter) whenRunning(do func(now time.Duration)) {
	w := n.fleet.w
	if w.queue.now < n.frozenUntil {
		incarnation := n.incarnation
		w.queue.at(n.frozenUntil, func() {
			if n.incarnation == incarnation {
				n.whenRunning(do)
			}
		})
		return
	}
	do(w.queue.now + moduleOrigin)
}

// feed passes an event to the module.
func (n *virtualRouter) feed(e logic.Event) {
	n.whenRunning(func(now time.Duration) { n.driver.Feed(now, e) })
}

// Boot starts a new incarnation of a router.
func (ns *virtualFleet) Boot(i int, known []Entry, release ReleaseState) {
	n := ns.routers[i]
	n.incarnation++
	n.frozenUntil = 0
	n.rng = rand.New(rand.NewPCG(ns.w.script.Seed, uint64(i)<<32|uint64(n.incarnation)))
	n.tasks, n.knownHosts = map[*Try]*driver.Call[*task]{}, map[logic.ServerID]Entry{}
	n.idleConns, n.notReadySince = map[logic.ServerID][]time.Duration{}, map[logic.ServerID]time.Duration{}
	s := Settings(ns.w.script, i)
	s.MaxOpenRequests = ns.limits.MaxOpen
	n.driver = driver.New(ns.newModule(s, n.rng.Uint64()), n)
	ns.listHosts(i, known, true)
	ns.ReleaseChanged(i, release)
}

// Kill ends a router: its attempts are cancelled and its connections closed.
func (ns *virtualFleet) Kill(i int) {
	n := ns.routers[i]
	n.incarnation++ // events that are still scheduled for it do nothing
	for _, c := range n.tasksInOrder() {
		if f := c.Request.attempt; f != nil && !f.ended {
			f.ended = true
			if f.atHost != nil {
				ns.w.Cancel(f.atHost)
			}
		}
	}
	for id, list := range n.idleConns {
		if e, ok := n.knownHosts[id]; ok {
			e.Host.connections -= len(list)
		}
	}
	n.tasks, n.driver = nil, nil
}

// tasksInOrder returns the requests in a fixed order, which map iteration does not give.
func (n *virtualRouter) tasksInOrder() []*driver.Call[*task] {
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

// Freeze stalls a router for a time.
func (ns *virtualFleet) Freeze(i int, length time.Duration) {
	ns.routers[i].frozenUntil = ns.w.queue.now + length
}

// HostUp does nothing: routers learn of hosts from discovery.
func (ns *virtualFleet) HostUp(*Host) {}

// SilenceLauncher does nothing: the world's launcher stops its pushes and replies itself.
func (ns *virtualFleet) SilenceLauncher(bool) {}

// HostDown closes the connections to a host. Those to a silent host stay open.
func (ns *virtualFleet) HostDown(h *Host, silent bool) {
	if !silent {
		for _, n := range ns.routers {
			delete(n.idleConns, logic.ServerID(h.ID))
		}
		h.connections = 0
	}
}

// Take starts a request as the gateway's client side does: the module's deadline is a little before the client's.
func (ns *virtualFleet) Take(t *Try) {
	n := ns.routers[t.Router]
	wait := t.Until - t.SentAt
	answerMargin, fallbackMargin := ns.limits.Margins(wait)
	k := &task{try: t, deadline: t.Until - answerMargin, fallbackAt: t.Until - fallbackMargin}
	incarnation := n.incarnation
	n.whenRunning(func(now time.Duration) {
		if ns.w.queue.now >= k.fallbackAt {
			n.answer(k, Answer{Status: Failed})
			return
		}
		e := logic.RequestArrived{Class: t.Class(), Tenant: t.Tenant(ns.w), Key: t.Request.Key, HasKey: true,
			TimeLeft: max(0, k.deadline-ns.w.queue.now)}
		c := n.driver.Submit(now, k, e)
		if c.Finished() {
			return
		}
		n.tasks[t] = c
		ns.w.queue.at(k.deadline, func() { // the current attempt times out at the module's deadline
			if f := k.attempt; n.incarnation == incarnation && f != nil && !f.ended {
				n.endAttempt(f, logic.TimedOut, nil)
			}
		})
		ns.w.queue.at(k.fallbackAt, func() {
			if n.incarnation == incarnation && !k.answered {
				n.whenRunning(func(now time.Duration) { n.endRequest(now, c, Answer{Status: Failed}) })
			}
		})
	})
}

// endRequest ends a request that the module has not ended itself.
func (n *virtualRouter) endRequest(now time.Duration, c *driver.Call[*task], a Answer) {
	if !c.Request.answered && a.Status != Abandoned {
		n.answer(c.Request, a)
	}
	c.Request.answered = true
	if n.driver.Abandon(now, c) {
		delete(n.tasks, c.Request.try)
	}
}

// ClientGone abandons the request of a client that has given up.
func (ns *virtualFleet) ClientGone(t *Try) {
	n := ns.routers[t.Router]
	if c := n.tasks[t]; c != nil && t.incarnation == ns.w.routers[t.Router].incarnation {
		n.whenRunning(func(now time.Duration) { n.endRequest(now, c, Answer{Status: Abandoned}) })
	}
}

// answer sends a request's final answer, once.
func (n *virtualRouter) answer(k *task, a Answer) {
	if !k.answered {
		k.answered = true
		n.fleet.w.Answered(k.try, a)
	}
}

// Listed passes changes of hosts to a router.
func (ns *virtualFleet) Listed(i int, changes []Entry) { ns.listHosts(i, changes, false) }

// listHosts passes a full list or changes of hosts to a router's module.
func (ns *virtualFleet) listHosts(i int, entries []Entry, full bool) {
	n := ns.routers[i]
	e := logic.ServersListed{Full: full}
	for _, x := range entries {
		id := logic.ServerID(x.Host.ID)
		s := logic.Server{ID: id, Zone: x.Host.Site, Build: logic.BuildID(x.Build + 1), Cell: x.Host.Cell,
			State: x.State, Weight: 1}
		if x.Started > 0 {
			s.Started = x.Started + moduleOrigin
		}
		n.knownHosts[id] = x
		if _, known := n.notReadySince[id]; x.State != logic.Ready && !known {
			n.notReadySince[id] = ns.w.queue.now
		}
		e.Servers = append(e.Servers, s)
	}
	n.feed(e)
}

// releaseStatus translates a release state into the module's event.
func (ns *virtualFleet) releaseStatus(s ReleaseState) logic.ReleaseStatus {
	return logic.ReleaseStatus{Build: logic.BuildID(s.Build + 1), Stage: s.Stage, Phase: s.Phase, Cap: s.Cap,
		StageAge: ns.w.queue.now - s.Since}
}

// ReleaseChanged passes the launcher's release state to a router's module.
func (ns *virtualFleet) ReleaseChanged(i int, s ReleaseState) {
	ns.routers[i].feed(ns.releaseStatus(s))
}

// Start sends an attempt on an idle connection, or on a new one, which takes a round trip to set up.
func (n *virtualRouter) Start(c *driver.Call[*task], timeout time.Duration) {
	w := n.fleet.w
	h := n.knownHosts[c.Server].Host
	f := &sentAttempt{id: c.ID, number: c.Attempt(), host: h}
	c.Request.attempt = f
	if timeout > 0 {
		incarnation := n.incarnation
		w.queue.after(timeout, func() {
			if n.incarnation == incarnation && !f.ended {
				n.endAttempt(f, logic.TimedOut, nil)
			}
		})
	}
	linkTime := w.drawLinkTime(n.site, h.Site)
	for list := n.idleConns[c.Server]; len(list) > 0 && f.atHost == nil; list = n.idleConns[c.Server] {
		last := len(list) - 1
		used := list[last]
		n.idleConns[c.Server] = list[:last]
		if w.queue.now-used < n.fleet.limits.ServerIdleTimeout {
			n.transmit(c, f, linkTime)
			return
		}
		h.connections--
	}
	f.newConnection = true
	cut := w.isCutBetween(n.site, h.Site)
	switch {
	case cut || h.silent:
		n.afterIfPending(w.script.Network.DialTimeout, f, func() { n.endAttempt(f, logic.ConnectFailed, nil) })
	case h.phase == ended || h.phase == booting:
		n.afterIfPending(2*linkTime, f, func() { n.endAttempt(f, logic.ConnectFailed, nil) })
	case h.connections >= w.script.Hosts.Connections:
		n.afterIfPending(2*linkTime, f, func() { n.endAttempt(f, logic.Rejected, nil) })
	default:
		h.connections++
		n.afterIfPending(2*linkTime, f, func() {
			// The host may have begun to drain while the connection was made; a request sent now would come after the grace.
			at, gone := n.notReadySince[c.Server]
			if gone && w.queue.now > at+n.fleet.limits.SendGrace || c.Finished() {
				n.endAttempt(f, logic.NotSent, nil)
				return
			}
			n.transmit(c, f, linkTime)
		})
	}
}

// afterIfPending calls do after a time if the attempt has not ended and the router has not died by then.
func (n *virtualRouter) afterIfPending(d time.Duration, f *sentAttempt, do func()) {
	incarnation := n.incarnation
	n.fleet.w.queue.after(d, func() {
		if n.incarnation == incarnation && !f.ended {
			do()
		}
	})
}

// transmit carries an attempt to its host, and the host's reply back.
func (n *virtualRouter) transmit(c *driver.Call[*task], f *sentAttempt, linkTime time.Duration) {
	w := n.fleet.w
	sent := w.queue.now
	incarnation := n.incarnation
	w.queue.after(linkTime, func() {
		if n.incarnation != incarnation || f.ended || w.isCutBetween(n.site, f.host.Site) { // ended or lost on its way
			return
		}
		if w.linkLossRate > 0 && w.rng.Float64() < w.linkLossRate {
			n.afterIfPending(linkTime, f, func() { n.endAttempt(f, logic.Reset, nil) })
			return
		}
		f.atHost = &Attempt{Try: c.Request.try, Router: n.number, Host: f.host, SentAt: sent,
			Done: func(r Reply, load *logic.Load) {
				back := w.drawLinkTime(n.site, f.host.Site)
				if w.isCutBetween(n.site, f.host.Site) {
					return
				}
				n.afterIfPending(back, f, func() { n.receiveReply(c, f, r, load) })
			}}
		w.Arrive(f.atHost, f.newConnection)
	})
}

// outcomes translates hosts' replies into the module's outcomes; it can't tell a wrong answer from a good one.
var outcomes = map[Reply]logic.Outcome{Good: logic.OK, Wrong: logic.OK, Erred: logic.ServerError,
	TurnedAway: logic.Rejected, Broken: logic.Reset}

// receiveReply handles a host's reply, after which the connection is idle. If the client will dispute a wrong answer,
// the module learns it a second later.
func (n *virtualRouter) receiveReply(c *driver.Call[*task], f *sentAttempt, r Reply, load *logic.Load) {
	w := n.fleet.w
	if r != Broken && f.host.phase != ended {
		id := logic.ServerID(f.host.ID)
		n.idleConns[id] = append(n.idleConns[id], w.queue.now)
	}
	if r == Wrong && w.drawDisputed() {
		sent, class := w.queue.now, c.Request.try.Class()
		w.queue.after(time.Second, func() {
			if n.driver != nil {
				n.feed(logic.AnswerDisputed{Server: logic.ServerID(f.host.ID), Class: class, AttemptAge: w.queue.now - sent})
			}
		})
	}
	n.endAttempt(f, outcomes[r], load)
}

// endAttempt reports an attempt's outcome to the module. Its connection is idle or closed by then.
func (n *virtualRouter) endAttempt(f *sentAttempt, o logic.Outcome, load *logic.Load) {
	w := n.fleet.w
	f.ended = true
	if f.atHost != nil && !f.atHost.ended {
		w.Cancel(f.atHost)
	}
	ended := w.queue.now + moduleOrigin
	incarnation := n.incarnation
	n.whenRunning(func(now time.Duration) {
		if n.incarnation != incarnation {
			return
		}
		c := n.driver.EndAttempt(f.id, f.number)
		if c == nil {
			return
		}
		k := c.Request
		k.attempt = nil
		requestOver := o == logic.OK || c.Finished() || k.answered
		if o == logic.OK {
			n.answer(k, Answer{Status: Served})
		} else if requestOver {
			n.answer(k, Answer{Status: Failed})
		}
		if requestOver {
			delete(n.tasks, k.try)
		}
		n.driver.ReportOutcome(now, c, driver.AttemptResult{Outcome: o, EndedAt: ended, Load: load}, requestOver)
	})
}

// CancelAttempt ends an attempt that nobody waits for.
func (n *virtualRouter) CancelAttempt(c *driver.Call[*task]) {
	if f := c.Request.attempt; f != nil && !f.ended {
		n.afterIfPending(0, f, func() { n.endAttempt(f, logic.Cancelled, nil) })
	}
}

// Finish sends the module's final answer that a request is refused or has failed.
func (n *virtualRouter) Finish(c *driver.Call[*task], refused bool, advice time.Duration) {
	a := Answer{Status: Failed}
	if refused {
		a = Answer{Status: Refused, RetryAfter: advice}
	}
	n.answer(c.Request, a)
	if !c.InFlight() {
		delete(n.tasks, c.Request.try)
	}
}

// ReportStray does nothing: the referee sees the effects of a module's wrong actions.
func (n *virtualRouter) ReportStray(logic.Action) {}

// Do carries out an action that concerns no single request.
func (n *virtualRouter) Do(a logic.Action) {
	w, incarnation := n.fleet.w, n.incarnation
	switch a := a.(type) {
	case logic.SetTimer:
		w.queue.after(a.After, func() {
			if n.incarnation == incarnation {
				n.feed(logic.TimerFired{Token: a.Token})
			}
		})
	case logic.Close:
		if e, ok := n.knownHosts[a.Server]; ok {
			e.Host.connections -= len(n.idleConns[a.Server])
			delete(n.idleConns, a.Server)
		}
	case logic.Post:
		n.postMessage(a)
	case logic.Vote:
		answered := false
		w.launcher.Vote(n.number, int(a.Build)-1, a.Stage, a.Verdict, func(r VoteReply) {
			if n.incarnation != incarnation || answered {
				return
			}
			answered = true
			e := logic.ReleaseStatus{IsReply: true, Reply: r.Result}
			if r.Result == logic.VoteCounted {
				e = n.fleet.releaseStatus(r.Release)
				e.IsReply = true
				w.RecordRelease(n.number, r.Release)
			}
			n.feed(e)
		})
		w.queue.after(w.script.Launcher.CallTimeout, func() {
			if n.incarnation == incarnation && !answered {
				answered = true
				n.feed(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
			}
		})
	}
}

// postMessage sends a message to one router, or to all others. It arrives with a delay, or is lost.
func (n *virtualRouter) postMessage(a logic.Post) {
	w := n.fleet.w
	data := append([]byte(nil), a.Data...)
	for i, to := range n.fleet.routers {
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
