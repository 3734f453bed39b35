// Package gateway runs the decision module (package logic) on sockets and real time. One goroutine, the loop, owns the
// module, receives events through a channel, and hands the module's actions to the packages that talk to servers, to the
// release platform and to other routers. It decides nothing itself.
package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/decide/incarnation"
	"merlinarch/internal/driver"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// Host is a server as discovery lists it, with its address.
type Host struct {
	logic.Server
	Addr          string
	Name          string // in discovery's list
	MachineClass  string
	StartedUnixMs int64 // when this incarnation started; 0: long ago
}

// Attempt is one try of a request at a server.
type Attempt struct {
	Exchange    *exchange.Exchange
	Server      logic.ServerID
	DecidedAt   time.Time // when the module asked for it
	Deadline    time.Time // when waiting for its outcome ends
	SendBy      time.Time // the latest time at which its first byte may go out; zero: no limit
	ForwardOnly bool      // its key may not go back to an earlier build; see logic.Send
	// Report is called exactly once with the result, and never from within Start.
	Report func(Result)
}

// Result is how an attempt or a probe ended, and what was received.
type Result struct {
	Outcome     logic.Outcome
	ConnRefused bool // with ConnectFailed: the machine is up but refused the connection
	NoLease     bool // with NotSent: nothing may be sent, since this dispatcher holds no valid lease on the agreed rules
	AnswerBegun bool // the outcome is not OK, but a successful answer had begun to arrive
	Body        []byte
	FreeBody    func() // releases the memory of the body; nil: nothing to release
	Load        *logic.Load
	EndedAt     time.Time // when the end was seen
}

// Servers is the server side of the router. None of its methods may block.
type Servers interface {
	UpdateServers(full bool, hosts []Host)
	// Start begins an attempt; the function that it returns cancels the attempt.
	Start(Attempt) (cancel func())
	Probe(server logic.ServerID, report func(Result))
	CloseIdle(server logic.ServerID)
	// CancelUnsent cancels attempts at servers of a build that were decided before now and have not been sent.
	CancelUnsent(build logic.BuildID)
}

// Platform sends votes to the release platform; Vote must not block.
type Platform interface{ Vote(logic.Vote) }

// Peers sends messages to other routers; Post must not block.
type Peers interface{ Post(logic.Post) }

// Outputs are the destinations of the module's actions.
type Outputs struct {
	Servers  Servers
	Platform Platform
	Peers    Peers
}

// Clock measures monotonic time since its origin. The mapping from Unix times is fixed when the clock is made.
type Clock struct {
	origin     time.Time
	unixOrigin time.Duration // the Unix time of the origin, by this machine's wall clock when the clock was made
}

// NewClock returns a clock. Its time starts above zero, since zero means "never" or "long ago" to the module.
func NewClock() Clock {
	origin := time.Now().Add(-time.Hour)
	return Clock{origin, time.Duration(origin.UnixNano())}
}

// Now returns the time since the origin.
func (c Clock) Now() time.Duration { return time.Since(c.origin) }

// At returns the time from the origin to t.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.origin) }

// Time returns the moment that lies this long after the origin.
func (c Clock) Time(since time.Duration) time.Time { return c.origin.Add(since) }

// FromUnix converts a Unix time in milliseconds; zero, which means long ago, stays zero.
func (c Clock) FromUnix(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	at := time.Duration(ms*1000)*time.Microsecond - c.unixOrigin
	if at == 0 {
		return 1
	}
	return at
}

// request is the gateway's own record of a call.
type request struct {
	ex     *exchange.Exchange
	cancel func() // cancels the attempt in flight
}

type call = driver.Call[*request]

// event is an event that waits for the loop.
type event struct {
	payload  any
	postedAt time.Time
}

// Events of the node itself. The gateway translates them into the module's events.
type (
	requestArrived   struct{ ex *exchange.Exchange }
	requestAbandoned struct{ ex *exchange.Exchange }
	attemptEnded     struct {
		id      logic.RequestID
		attempt int
		result  Result
	}
	probeEnded struct {
		server logic.ServerID
		sentAt time.Time
		result Result
	}
	serversUpdated struct {
		event logic.ServersListed
		hosts []Host
	}
)

// Gateway is the loop that owns the decision module.
type Gateway struct {
	limits   config.Limits
	outputs  Outputs
	clock    Clock
	counters *metrics.Registry
	log      *zap.Logger
	tracing  bool // the steps of each request are logged

	events       chan event
	done         chan struct{}
	timers       timers
	driver       *driver.Driver[*request]
	calls        map[*exchange.Exchange]*call
	lastRelease  logic.ReleaseStatus // as the module was last given it
	serversKnown bool                // a list with servers has been received
	releaseKnown bool                // the state of the newest build has been received
	ready        atomic.Bool
	starts       *incarnation.Starts
	rules        *rules // nil: no agreed rules are in use
	router       *logic.Router
}

// New returns a gateway for a decision module; Run starts it.
func New(router *logic.Router, limits config.Limits, clock Clock, counters *metrics.Registry, log *zap.Logger) *Gateway {
	g := &Gateway{limits: limits, clock: clock, counters: counters, log: log, tracing: log.Core().Enabled(zap.DebugLevel),
		events: make(chan event, limits.MaxEvents), done: make(chan struct{}), calls: map[*exchange.Exchange]*call{}, starts: incarnation.New()}
	g.driver, g.router = driver.New(router, effects{g}), router
	return g
}

// ErrStopped means that the loop has ended.
var ErrStopped = errors.New("gateway stopped")

// post queues an event for the loop. It waits while the queue is full; the loop never waits for a poster.
func (g *Gateway) post(e any) error {
	select {
	case <-g.done: // otherwise the queue might accept an event that nobody reads
		return ErrStopped
	default:
	}
	select {
	case g.events <- event{e, time.Now()}:
		return nil
	case <-g.done:
		return ErrStopped
	}
}

// Submit gives a request to the module, which will finish the exchange.
func (g *Gateway) Submit(ex *exchange.Exchange) error { return g.post(requestArrived{ex}) }

// Abandon tells the module that a request's client has gone, or that the node has answered the request by itself.
func (g *Gateway) Abandon(ex *exchange.Exchange) {
	ex.Abandon() // an attempt being started sees this at once, even if the settings allow no cancelling
	g.notify(requestAbandoned{ex})
}

// Ready reports whether the module knows servers and the state of the newest build. Before that it can send nothing.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// UpdateServers passes on a list of servers from discovery: the full list, or changes to it.
func (g *Gateway) UpdateServers(full bool, hosts []Host) {
	e := logic.ServersListed{Full: full}
	for _, h := range hosts {
		e.Servers = append(e.Servers, h.Server)
	}
	g.notify(serversUpdated{e, hosts})
}

// DiscoveryFailed tells the module that the watch of discovery broke.
func (g *Gateway) DiscoveryFailed() { g.notify(logic.ServersListed{Failed: true}) }

// UpdateRelease passes on a release status from the platform, or its reply to a vote.
func (g *Gateway) UpdateRelease(e logic.ReleaseStatus) { g.notify(e) }

// DeliverPeerMessage passes on another router's message.
func (g *Gateway) DeliverPeerMessage(e logic.PeerMessage) { g.notify(e) }

// notify posts an event. If the loop has ended, nobody needs the event, and it is only counted.
func (g *Gateway) notify(e any) {
	if g.post(e) != nil {
		g.counters.Inc("events.after_end")
	}
}

// Run runs the loop until ctx ends. All outputs must be set and ready for use.
func (g *Gateway) Run(ctx context.Context, outputs Outputs) {
	defer close(g.done)
	g.outputs = outputs
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	armedFor := time.Duration(0)
	for {
		g.fireTimers()
		if at := g.timers.nextDue(); at != armedFor {
			armedFor = at
			wake.Reset(at - g.clock.Now())
		}
		select {
		case e := <-g.events:
			g.counters.RecordMax("loop.worst_wait_us", time.Since(e.postedAt))
			g.handle(e.payload)
		case <-wake.C:
			armedFor = 0
		case <-ctx.Done():
			return
		}
	}
}

// fireTimers gives due timers to the module, ahead of events that wait. If a tick is more than 0.1 s late, the module
// assumes that the router stalled and drops its evidence. The loop therefore never dials, writes to sockets, parses or logs
// at length, and the worst lateness is counted.
func (g *Gateway) fireTimers() {
	for {
		now := g.clock.Now()
		t, ok := g.timers.popDue(now)
		if !ok {
			return
		}
		g.counters.RecordMax("loop.worst_lateness_us", now-t.at)
		if now-t.at > 100*time.Millisecond {
			g.counters.Inc("loop.late_ticks")
		}
		g.feed(logic.TimerFired{Token: t.token})
	}
}

// feed gives the module one event and carries out the actions that it returns.
func (g *Gateway) feed(e logic.Event) { g.driver.Feed(g.clock.Now(), e) }

// handle processes one event from the queue.
func (g *Gateway) handle(e any) {
	switch e := e.(type) {
	case requestArrived:
		g.startRequest(e.ex)
	case requestAbandoned:
		g.abandonRequest(e.ex)
	case attemptEnded:
		g.endAttempt(e)
	case probeEnded:
		g.feed(logic.ProbeDone{Server: e.server, Outcome: e.result.Outcome, Duration: e.result.EndedAt.Sub(e.sentAt),
			Load: e.result.Load})
	case serversUpdated:
		g.applyServers(e)
	case rulesUpdated:
		g.applyRules(e)
		close(e.applied)
	case logic.ReleaseStatus:
		g.applyRelease(e)
	default:
		g.feed(e)
	}
}

// startRequest gives a new request to the module.
func (g *Gateway) startRequest(ex *exchange.Exchange) {
	f := ex.Fields
	g.traceArrived(ex)
	c := g.driver.Submit(g.clock.Now(), &request{ex: ex}, logic.RequestArrived{Class: f.Class, Tenant: f.Tenant,
		Key: f.Key, HasKey: f.HasKey, TimeLeft: max(0, time.Until(ex.Deadline)), ExpectedWork: f.ExpectedWork, MarkedRetry: f.IsRetry, RequiredZone: f.RequiredZone})
	if !c.Finished() {
		g.calls[ex] = c
	}
}

// abandonRequest tells the module that a request has ended without an answer from it. An attempt in flight may still
// bring an answer for a client that has only stopped sending; if there is none, such a client gets a failure at once.
func (g *Gateway) abandonRequest(ex *exchange.Exchange) {
	c := g.calls[ex]
	if c == nil {
		return
	}
	g.traceAbandoned(ex, c)
	if g.driver.Abandon(g.clock.Now(), c) {
		ex.Finish(exchange.Answer{Status: exchange.Failed})
		delete(g.calls, ex)
	}
}

// endAttempt processes the result of an attempt. The client gets its answer before the module gets the result.
func (g *Gateway) endAttempt(e attemptEnded) {
	c := g.driver.EndAttempt(e.id, e.attempt)
	if c == nil {
		exchange.Answer{FreeBody: e.result.FreeBody}.Release()
		g.counters.Inc("loop.stray_outcomes")
		return
	}
	ex := c.Request.ex
	c.Request.cancel = nil
	g.counters.Inc("attempts." + outcomeName(e.result.Outcome))
	g.traceAttemptEnded(c, e)
	requestOver := e.result.Outcome == logic.OK || e.result.NoLease || c.Finished() || ex.Ended()
	if g.rules != nil {
		g.rules.fleet.recordResult(c.Server, e.result)
	}
	switch {
	case e.result.NoLease && e.attempt == 0: // nothing has been sent for this request
		ex.Finish(exchange.Answer{Status: exchange.Refused, RetryAfter: g.limits.RetryAfter})
	case e.result.Outcome == logic.OK:
		if a := (exchange.Answer{Status: exchange.Served, Body: e.result.Body, FreeBody: e.result.FreeBody, Attempts: e.attempt + 1}); !ex.Finish(a) {
			a.Release()
		}
	case requestOver:
		ex.Finish(exchange.Answer{Status: exchange.Failed, Attempts: e.attempt + 1})
	}
	if requestOver {
		delete(g.calls, ex)
	}
	g.driver.ReportOutcome(g.clock.Now(), c, driver.AttemptResult{Outcome: e.result.Outcome, EndedAt: g.clock.At(e.result.EndedAt), AnswerBegun: e.result.AnswerBegun,
		Load: e.result.Load}, requestOver)
}

// applyRelease gives the module a release status, restricted by the agreed rules. If the exposure cap of a build has
// fallen, attempts that were decided under the higher cap and have not been sent are cancelled.
func (g *Gateway) applyRelease(e logic.ReleaseStatus) {
	if g.rules != nil {
		e = g.rules.applyToRelease(e, g.clock.Now())
	}
	if !e.IsReply || e.Reply == logic.VoteCounted {
		if e.Build == g.lastRelease.Build && e.Cap < g.lastRelease.Cap {
			g.outputs.Servers.CancelUnsent(e.Build)
		}
		g.lastRelease, g.releaseKnown = e, true
		g.ready.Store(g.serversKnown)
	}
	g.feed(e)
}

// effects implements driver.Effects.
type effects struct{ *Gateway }

// Start passes an attempt to the server side.
func (g effects) Start(c *call, timeout time.Duration) {
	now := time.Now()
	deadline := c.Request.ex.Deadline
	if timeout > 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	id, attempt, sendBy := c.ID, c.Attempt(), time.Time{}
	if c.SendBy > 0 {
		sendBy = g.clock.Time(c.SendBy)
	}
	g.counters.Inc("attempts.sent")
	g.traceAttempt(c)
	c.Request.cancel = g.outputs.Servers.Start(Attempt{Exchange: c.Request.ex, Server: c.Server, DecidedAt: now, Deadline: deadline, SendBy: sendBy, ForwardOnly: c.ForwardOnly,
		Report: func(r Result) { g.notify(attemptEnded{id, attempt, r}) }})
}

// CancelAttempt cancels the attempt in flight.
func (g effects) CancelAttempt(c *call) { c.Request.cancel() }

// Finish gives the client the final answer of the module.
func (g effects) Finish(c *call, refused bool, retryAfter time.Duration) {
	a := exchange.Answer{Status: exchange.Failed, Attempts: c.Attempt() + 1}
	if refused {
		a.Status, a.RetryAfter = exchange.Refused, retryAfter
	}
	g.traceFinished(c, refused, retryAfter)
	c.Request.ex.Finish(a)
	if !c.InFlight() {
		delete(g.calls, c.Request.ex)
	}
}

// Do passes on an action that belongs to no call.
func (g effects) Do(a logic.Action) {
	switch a := a.(type) {
	case logic.Close:
		g.outputs.Servers.CloseIdle(a.Server)
	case logic.SetTimer:
		g.timers.add(g.clock.Now()+a.After, a.Token)
	case logic.Probe:
		sentAt := time.Now()
		g.outputs.Servers.Probe(a.Server, func(r Result) { g.notify(probeEnded{a.Server, sentAt, r}) })
	case logic.Post:
		g.outputs.Peers.Post(a)
	case logic.Vote:
		if g.rules != nil {
			a = g.rules.applyToVote(a)
		}
		g.outputs.Platform.Vote(a)
	case logic.Watch: // nothing to do: the watch of discovery is always open or being reopened
	case logic.Log:
		g.log.Info(a.Text)
	default:
		g.counters.Inc("loop.unknown_actions")
	}
}

// ReportStray counts an action for a call that does not exist or is not in a state for it.
func (g effects) ReportStray(logic.Action) { g.counters.Inc("loop.stray_actions") }
