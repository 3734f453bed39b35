// Package gateway runs the decision module: one goroutine owns it, takes events in through a channel, and
// hands its actions to the packages that speak with the router's peers. It decides nothing itself.
package gateway

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/driver"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/logic"
)

// Host is a server as discovery lists it, and where it listens.
type Host struct {
	logic.Server
	Addr          string
	Name          string // as the list has it
	MachineClass  string // of machine
	StartedUnixMs int64  // when this life started, in Unix time and milliseconds; 0: long ago
}

// Attempt is one try of a request at a server.
type Attempt struct {
	Exchange    *exchange.Exchange
	Server      logic.ServerID
	DecidedAt   time.Time // when the module asked for it
	Deadline    time.Time // when the wait for its outcome ends
	SendBy      time.Time // the latest time at which its first byte may go out; zero: any
	ForwardOnly bool      // of a key that goes to no earlier build any more; see logic.Send
	// Report is called exactly once, with how it ended, never from Start itself.
	Report func(Result)
}

// Result tells how an attempt or a probe ended, and what came back.
type Result struct {
	Outcome     logic.Outcome
	ConnRefused bool // ConnectFailed, by a machine that is there
	NoLease     bool // NotSent, since nothing may be sent now: no lease on the agreed rules stands
	AnswerBegun bool // not OK, but a good answer had begun to come
	Body        []byte
	FreeBody    func() // gives back the room that the body takes; nil: nothing to do
	Load        *logic.Load
	EndedAt     time.Time // when that was seen
}

// Servers is the server side. None of its methods may block.
type Servers interface {
	UpdateServers(full bool, hosts []Host)
	// Start begins an attempt; the function it returns gives the attempt up.
	Start(Attempt) (cancel func())
	Probe(server logic.ServerID, report func(Result))
	CloseIdle(server logic.ServerID)
	// Recall voids sends to servers of a build that were decided before now and have not left.
	CancelUnsent(build logic.BuildID)
}

// Platform takes votes; Vote must not block.
type Platform interface{ Vote(logic.Vote) }

// Peers takes messages for other routers; Post must not block.
type Peers interface{ Post(logic.Post) }

// Parts is what the gateway hands actions to.
type Outputs struct {
	Servers  Servers
	Platform Platform
	Peers    Peers
}

// Clock is monotonic time from one origin. Unix times are mapped to it once, at the origin.
type Clock struct{ origin time.Time }

// NewClock starts a clock; its time begins above zero, since zero means 'never' or 'long ago' to the module.
func NewClock() Clock { return Clock{time.Now().Add(-time.Hour)} }

// Now is the time since the origin.
func (c Clock) Now() time.Duration { return time.Since(c.origin) }

// At is a moment's time since the origin.
func (c Clock) At(t time.Time) time.Duration { return t.Sub(c.origin) }

// Time is the moment that is so long after the origin.
func (c Clock) Time(since time.Duration) time.Time { return c.origin.Add(since) }

// FromUnix maps a Unix time in milliseconds; zero, long ago, stays zero.
func (c Clock) FromUnix(ms float64) time.Duration {
	if ms <= 0 {
		return 0
	}
	at := time.Duration(ms*1000)*time.Microsecond - time.Duration(c.origin.UnixNano())
	if at == 0 {
		return 1
	}
	return at
}

// request is what the gateway knows a call by.
type request struct {
	ex     *exchange.Exchange
	cancel func() // gives up the attempt that is out
}

type call = driver.Call[*request]

// event is one that waits for the loop.
type event struct {
	what any
	at   time.Time // when it was posted
}

// Events of the node itself.
type (
	arrived   struct{ ex *exchange.Exchange }
	left      struct{ ex *exchange.Exchange }
	attempted struct {
		id      logic.RequestID
		attempt int
		result  Result
	}
	probed struct {
		server logic.ServerID
		sentAt time.Time
		result Result
	}
	listed struct {
		event logic.ServersListed
		hosts []Host
	}
)

// Gateway is the loop round the module.
type Gateway struct {
	limits config.Limits
	parts  Outputs
	clock  Clock
	count  *metrics.Registry
	log    *zap.Logger

	events chan event
	done   chan struct{}
	timers timers
	driver *driver.Driver[*request]
	calls  map[*exchange.Exchange]*call
	last   logic.ReleaseStatus // as handed to the module
	listed bool                // servers are known
	told   bool                // the newest build's state is known
	ready  atomic.Bool
	rules  *rules // nil: no accord
	router *logic.Router
}

// New makes a gateway round a router; Run starts it.
func New(router *logic.Router, limits config.Limits, clock Clock, count *metrics.Registry, log *zap.Logger) *Gateway {
	g := &Gateway{limits: limits, clock: clock, count: count, log: log,
		events: make(chan event, limits.MaxEvents), done: make(chan struct{}), calls: map[*exchange.Exchange]*call{}}
	g.driver, g.router = driver.New(router, effects{g}), router
	return g
}

// ErrStopped tells that the loop has ended.
var ErrStopped = errors.New("gateway stopped")

// post puts an event before the loop. It waits while the loop is behind; the loop never waits for a poster.
func (g *Gateway) post(e any) error {
	select {
	case <-g.done: // else the queue might still take it, and nobody would read it
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

// Submit hands a request to the module, which will finish the exchange.
func (g *Gateway) Submit(ex *exchange.Exchange) error { return g.post(arrived{ex}) }

// Left tells that a request's client has gone, or that the node has answered it by itself.
func (g *Gateway) Abandon(ex *exchange.Exchange) {
	ex.Abandon() // an attempt that is being made sees it at once, whether or not the settings let it be given up
	g.notify(left{ex})
}

// Ready tells that the module knows servers and the newest build's state: before that it can send nothing.
func (g *Gateway) Ready() bool { return g.ready.Load() }

// Listed brings discovery's news.
func (g *Gateway) UpdateServers(full bool, hosts []Host) {
	e := logic.ServersListed{Full: full}
	for _, h := range hosts {
		e.Servers = append(e.Servers, h.Server)
	}
	g.notify(listed{e, hosts})
}

// ListingFailed tells that the watch of discovery broke.
func (g *Gateway) DiscoveryFailed() { g.notify(logic.ServersListed{Failed: true}) }

// Released brings the platform's news or its reply to a vote.
func (g *Gateway) UpdateRelease(e logic.ReleaseStatus) { g.notify(e) }

// Heard brings another router's message.
func (g *Gateway) DeliverPeerMessage(e logic.PeerMessage) { g.notify(e) }

// notify posts an event that is of no use to anybody once the loop has ended.
func (g *Gateway) notify(e any) {
	if g.post(e) != nil {
		g.count.Inc("events.after_end")
	}
}

// Run owns the module until ctx ends. Parts must be complete by then.
func (g *Gateway) Run(ctx context.Context, parts Outputs) {
	defer close(g.done)
	g.parts = parts
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	armed := time.Duration(0)
	for {
		g.fire()
		if at := g.timers.next(); at != armed {
			armed = at
			wake.Reset(at - g.clock.Now())
		}
		select {
		case e := <-g.events:
			g.count.RecordMax("loop.worst_wait_us", time.Since(e.at))
			g.take(e.what)
		case <-wake.C:
			armed = 0
		case <-ctx.Done():
			return
		}
	}
}

// fire hands due timers to the module, before any event that waits. Danger: a tick over 0.1 s late passes
// for a stall of the router, and its evidence is dropped; so nothing here dials, writes, parses or logs at
// length, and the worst lateness is counted.
func (g *Gateway) fire() {
	for {
		now := g.clock.Now()
		t, ok := g.timers.due(now)
		if !ok {
			return
		}
		g.count.RecordMax("loop.worst_lateness_us", now-t.at)
		if now-t.at > 100*time.Millisecond {
			g.count.Inc("loop.late_ticks")
		}
		g.feed(logic.TimerFired{Token: t.token})
	}
}

// feed gives the module one event and carries out what it asks.
func (g *Gateway) feed(e logic.Event) { g.driver.Feed(g.clock.Now(), e) }

// take translates one event of the node into the module's.
func (g *Gateway) take(e any) {
	switch e := e.(type) {
	case arrived:
		g.arrive(e.ex)
	case left:
		g.leave(e.ex)
	case attempted:
		g.outcome(e)
	case probed:
		g.feed(logic.ProbeDone{Server: e.server, Outcome: e.result.Outcome, Duration: e.result.EndedAt.Sub(e.sentAt),
			Load: e.result.Load})
	case listed:
		g.list(e)
	case ruled:
		g.rule(e)
		close(e.heard)
	case logic.ReleaseStatus:
		g.release(e)
	default:
		g.feed(e)
	}
}

// arrive hands a request to the module.
func (g *Gateway) arrive(ex *exchange.Exchange) {
	f := ex.Fields
	c := g.driver.Submit(g.clock.Now(), &request{ex: ex}, logic.RequestArrived{Class: f.Class, Tenant: f.Tenant,
		Key: f.Key, HasKey: f.HasKey, TimeLeft: max(0, time.Until(ex.Deadline)), ExpectedWork: f.ExpectedWork, MarkedRetry: f.IsRetry, RequiredZone: f.RequiredZone})
	if !c.Finished() {
		g.calls[ex] = c
	}
}

// leave tells the module that a request has ended without its doing. An attempt that is out may still bring
// an answer for a client that has only stopped sending; where none is, such a client is told at once.
func (g *Gateway) leave(ex *exchange.Exchange) {
	c := g.calls[ex]
	if c == nil {
		return
	}
	if g.driver.Abandon(g.clock.Now(), c) {
		ex.Finish(exchange.Answer{Status: exchange.Failed})
		delete(g.calls, ex)
	}
}

// outcome gives the module the end of an attempt. An answer is the client's at once.
func (g *Gateway) outcome(e attempted) {
	c := g.driver.EndAttempt(e.id, e.attempt)
	if c == nil {
		exchange.Answer{FreeBody: e.result.FreeBody}.Release()
		g.count.Inc("loop.stray_outcomes")
		return
	}
	ex := c.Request.ex
	c.Request.cancel = nil
	g.count.Inc("attempts." + outcomeName(e.result.Outcome))
	over := e.result.Outcome == logic.OK || e.result.NoLease || c.Finished() || ex.Ended()
	if g.rules != nil {
		g.rules.fleet.noted(c.Server, e.result)
	}
	switch {
	case e.result.NoLease && e.attempt == 0: // nothing has been sent for it
		ex.Finish(exchange.Answer{Status: exchange.Refused, RetryAfter: g.limits.RetryAfter})
	case e.result.Outcome == logic.OK:
		if a := (exchange.Answer{Status: exchange.Served, Body: e.result.Body, FreeBody: e.result.FreeBody, Attempts: e.attempt + 1}); !ex.Finish(a) {
			a.Release()
		}
	case over:
		ex.Finish(exchange.Answer{Status: exchange.Failed, Attempts: e.attempt + 1})
	}
	if over {
		delete(g.calls, ex)
	}
	g.driver.ReportOutcome(g.clock.Now(), c, driver.AttemptResult{Outcome: e.result.Outcome, EndedAt: g.clock.At(e.result.EndedAt), AnswerBegun: e.result.AnswerBegun,
		Load: e.result.Load}, over)
}

// release passes on the platform's news, narrowed by the agreed rules. Sends to a build whose share has fallen must not
// leave late.
func (g *Gateway) release(e logic.ReleaseStatus) {
	if g.rules != nil {
		e = g.rules.release(e, g.clock.Now())
	}
	if !e.IsReply || e.Reply == logic.VoteCounted {
		if e.Build == g.last.Build && e.Cap < g.last.Cap {
			g.parts.Servers.CancelUnsent(e.Build)
		}
		g.last, g.told = e, true
		g.ready.Store(g.listed)
	}
	g.feed(e)
}

// effects carries out what the module asks.
type effects struct{ *Gateway }

// Start hands an attempt to the server side.
func (g effects) Start(c *call, timeout time.Duration) {
	now := time.Now()
	deadline := c.Request.ex.Deadline
	if timeout > 0 && now.Add(timeout).Before(deadline) {
		deadline = now.Add(timeout)
	}
	id, n, leaveBy := c.ID, c.Attempt(), time.Time{}
	if c.SendBy > 0 {
		leaveBy = g.clock.Time(c.SendBy)
	}
	g.count.Inc("attempts.sent")
	c.Request.cancel = g.parts.Servers.Start(Attempt{Exchange: c.Request.ex, Server: c.Server, DecidedAt: now, Deadline: deadline, SendBy: leaveBy, ForwardOnly: c.ForwardOnly,
		Report: func(r Result) { g.notify(attempted{id, n, r}) }})
}

func (g effects) CancelAttempt(c *call) { c.Request.cancel() }

func (g effects) Finish(c *call, refused bool, retryAfter time.Duration) {
	a := exchange.Answer{Status: exchange.Failed, Attempts: c.Attempt() + 1}
	if refused {
		a.Status, a.RetryAfter = exchange.Refused, retryAfter
	}
	c.Request.ex.Finish(a)
	if !c.InFlight() {
		delete(g.calls, c.Request.ex)
	}
}

func (g effects) Do(a logic.Action) {
	switch a := a.(type) {
	case logic.Close:
		g.parts.Servers.CloseIdle(a.Server)
	case logic.SetTimer:
		g.timers.set(g.clock.Now()+a.After, a.Token)
	case logic.Probe:
		sentAt := time.Now()
		g.parts.Servers.Probe(a.Server, func(r Result) { g.notify(probed{a.Server, sentAt, r}) })
	case logic.Post:
		g.parts.Peers.Post(a)
	case logic.Vote:
		if g.rules != nil {
			a = g.rules.view.RestrictVote(a, g.rules.conduct)
		}
		g.parts.Platform.Vote(a)
	case logic.Watch: // the watch of discovery always stands or is being renewed
	case logic.Log:
		g.log.Info(a.Text)
	default:
		g.count.Inc("loop.unknown_actions")
	}
}

func (g effects) ReportStray(logic.Action) { g.count.Inc("loop.stray_actions") }
