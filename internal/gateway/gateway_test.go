package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"merlinarch/internal/config"
	"merlinarch/internal/exchange"
	"merlinarch/internal/metrics"
	"merlinarch/internal/testwait"
	"merlinarch/logic"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const patience = testwait.Patience

// fakeServers stands in for the server side and records what it is given.
type fakeServers struct {
	mu              sync.Mutex
	attempts        []Attempt
	cancelledBuilds []logic.BuildID
	updates         int
	started         chan Attempt
}

func (f *fakeServers) UpdateServers(bool, []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updates++
}

func (f *fakeServers) Start(a Attempt) func() {
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	f.mu.Unlock()
	f.started <- a
	return func() {}
}
func (f *fakeServers) Probe(logic.ServerID, func(Result)) {}
func (f *fakeServers) CloseIdle(logic.ServerID)           {}
func (f *fakeServers) CancelUnsent(b logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cancelledBuilds = append(f.cancelledBuilds, b)
}

type discardSink struct{}

func (discardSink) Vote(logic.Vote) {}
func (discardSink) Post(logic.Post) {}

var testSettings = logic.Settings{RouterCount: 1, MaxAttempts: 3, Zone: "a", MaxRetryAfter: time.Second,
	Classes: []logic.Class{{Name: "read", Repeatability: logic.Safe, LatencyTarget: patience, Deadline: patience, Worth: 1},
		{Name: "pay", Repeatability: logic.Unsafe, LatencyTarget: patience, Deadline: patience, Worth: 1},
		{Name: "post", Repeatability: logic.Keyed, DedupWindow: patience, LatencyTarget: patience, Deadline: patience, Worth: 1}}}

// startGateway runs a gateway with a real decision module and two servers of a released build.
func startGateway(t *testing.T) (*Gateway, *fakeServers) {
	t.Helper()
	clock := NewClock()
	g := New(logic.New(testSettings, 1), config.Limits{MaxEvents: 64}, clock, metrics.New(), zap.NewNop())
	f := &fakeServers{started: make(chan Attempt, 64)}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: discardSink{}, Peers: discardSink{}}) })
	t.Cleanup(func() { stop(); work.Wait() })
	g.UpdateServers(true, []Host{{Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}},
		{Server: logic.Server{ID: 2, Zone: "a", Build: 7, Weight: 1}}})
	g.UpdateRelease(logic.ReleaseStatus{Build: 7, Phase: logic.Released, Cap: 1})
	return g, f
}

func submit(t *testing.T, g *Gateway, class, id string) *exchange.Exchange {
	t.Helper()
	ex := exchange.New(exchange.Message{Method: "GET", Target: "/api", ID: id}, exchange.Fields{Class: class},
		time.Now().Add(patience))
	if err := g.Submit(ex); err != nil {
		t.Fatal(err)
	}
	return ex
}

func finalAnswer(t *testing.T, ex *exchange.Exchange) exchange.Answer {
	t.Helper()
	testwait.Value(t, "a final answer", ex.Done())
	return ex.Answer()
}

func attemptResult(o logic.Outcome, body string) Result {
	return Result{Outcome: o, Body: []byte(body), EndedAt: time.Now()}
}

func TestServed(t *testing.T) {
	g, f := startGateway(t)
	ex := submit(t, g, "read", "x")
	testwait.Value(t, "an attempt", f.started).Report(attemptResult(logic.OK, "hi"))
	if a := finalAnswer(t, ex); a.Status != exchange.Served || string(a.Body) != "hi" {
		t.Errorf("answer %+v", a)
	}
}

// Two requests with the same client id may be in progress at a time; each gets its own answer.
func TestSameClientID(t *testing.T) {
	g, f := startGateway(t)
	one, two := submit(t, g, "read", "x"), submit(t, g, "read", "x")
	a, b := testwait.Value(t, "an attempt", f.started), testwait.Value(t, "an attempt", f.started)
	if a.Exchange == b.Exchange {
		t.Fatal("both attempts are for one request")
	}
	for _, at := range []Attempt{b, a} {
		body := "one"
		if at.Exchange == two {
			body = "two"
		}
		at.Report(attemptResult(logic.OK, body))
	}
	if got := string(finalAnswer(t, one).Body) + string(finalAnswer(t, two).Body); got != "onetwo" {
		t.Errorf("answers %q", got)
	}
}

// A request that never ran is tried again, but only after the first attempt's result was reported.
func TestRetryAfterConnectFailure(t *testing.T) {
	g, f := startGateway(t)
	ex := submit(t, g, "pay", "x")
	first := testwait.Value(t, "an attempt", f.started)
	if len(f.started) != 0 {
		t.Fatal("a second attempt before the first was reported")
	}
	first.Report(attemptResult(logic.ConnectFailed, ""))
	second := testwait.Value(t, "an attempt", f.started)
	if second.Server == first.Server {
		t.Error("the retry went to the same server")
	}
	second.Report(attemptResult(logic.OK, "hi"))
	if a := finalAnswer(t, ex); a.Status != exchange.Served {
		t.Errorf("answer %+v", a)
	}
}

// An unsafe request that may have run fails; it is neither retried nor refused.
func TestUnsafeRequestIsNotRetried(t *testing.T) {
	for _, o := range []logic.Outcome{logic.Reset, logic.TimedOut, logic.ServerError} {
		g, f := startGateway(t)
		ex := submit(t, g, "pay", "x")
		testwait.Value(t, "an attempt", f.started).Report(attemptResult(o, ""))
		if a := finalAnswer(t, ex); a.Status != exchange.Failed {
			t.Errorf("after outcome %v: answer %+v", o, a)
		}
		if len(f.started) != 0 {
			t.Error("the request was sent again")
		}
	}
}

// A retry must be sent within the window in which servers drop repeats, converted to the clock of attempts. An attempt
// sees that its client has left before the module does.
func TestRetryIsSentWithinDedupWindow(t *testing.T) {
	g, f := startGateway(t)
	ex := submit(t, g, "post", "x")
	first := testwait.Value(t, "an attempt", f.started)
	first.Report(attemptResult(logic.Reset, ""))
	second := testwait.Value(t, "a repeat", f.started)
	if off := second.SendBy.Sub(first.DecidedAt.Add(patience)); !first.SendBy.IsZero() || off > 0 || off < -patience/2 {
		t.Errorf("the first is to be sent by %v, the retry %v after the end of its window", first.SendBy, off)
	}
	if ex.Abandoned() {
		t.Error("abandoned although the client has not left")
	}
	g.Abandon(ex)
	if !second.Exchange.Abandoned() {
		t.Error("the attempt does not see that its client has left")
	}
	second.Report(attemptResult(logic.NotSent, ""))
	if a := finalAnswer(t, ex); a.Status != exchange.Failed {
		t.Errorf("answer %+v", a)
	}
}

// A good answer that had only begun to come is reported to the module, so that its key does not go back to an earlier build.
func TestBegunAnswerBindsKey(t *testing.T) {
	s := testSettings
	s.Rollout, s.MaxAttempts = logic.Rollout{ForwardOnly: true, FreeAttempts: 100, ExposureWindow: patience}, 1
	g := New(logic.New(s, 1), config.Limits{MaxEvents: 64}, NewClock(), metrics.New(), zap.NewNop())
	f := &fakeServers{started: make(chan Attempt, 64)}
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: discardSink{}, Peers: discardSink{}}) })
	defer work.Wait()
	defer stop()
	submitKey := func(key uint64) Attempt {
		ex := exchange.New(exchange.Message{}, exchange.Fields{Class: "read", Key: key, HasKey: true}, time.Now().Add(patience))
		if err := g.Submit(ex); err != nil {
			t.Fatal(err)
		}
		return testwait.Value(t, "an attempt", f.started)
	}
	const keys = 8
	var later []Host
	for i := range keys {
		later = append(later, Host{Server: logic.Server{ID: logic.ServerID(8 + i), Zone: "a", Build: 8, Weight: 1}})
	}
	g.UpdateServers(true, later)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.OnTrial, Cap: 0.1})
	for key := range uint64(keys) {
		first := submitKey(key)
		first.Report(Result{Outcome: logic.TimedOut, AnswerBegun: true, EndedAt: time.Now()})
		finalAnswer(t, first.Exchange)
	}
	g.UpdateServers(false, []Host{{Server: logic.Server{ID: 7, Zone: "a", Build: 7, Weight: 1}}})
	for key := range uint64(keys) { // keys that are not bound to build 8 would go to server 7 nine times in ten
		if second := submitKey(key); !second.ForwardOnly || second.Server == 7 {
			t.Errorf("key %d: sent to %d, forward %v", key, second.Server, second.ForwardOnly)
		}
	}
}

// A gateway is ready once it has servers and the state of the newest build, in either order.
func TestReady(t *testing.T) {
	host := []Host{{Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}}}
	release := logic.ReleaseStatus{Build: 7, Phase: logic.Released, Cap: 1}
	for name, updates := range map[string][2]func(g *Gateway){
		"servers first": {func(g *Gateway) { g.UpdateServers(true, host) }, func(g *Gateway) { g.UpdateRelease(release) }},
		"state first":   {func(g *Gateway) { g.UpdateServers(true, nil); g.UpdateRelease(release) }, func(g *Gateway) { g.UpdateServers(false, host) }},
	} {
		g := New(logic.New(testSettings, 1), config.Limits{MaxEvents: 64}, NewClock(), metrics.New(), zap.NewNop())
		f := &fakeServers{started: make(chan Attempt, 64)}
		ctx, stop := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: discardSink{}, Peers: discardSink{}}) })
		updates[0](g)
		testwait.Until(t, "the first update to be processed", func() bool { return len(g.events) == 0 })
		if g.Ready() {
			t.Errorf("%s: ready too early", name)
		}
		updates[1](g)
		testwait.Until(t, "it to be ready", g.Ready)
		stop()
		work.Wait()
	}
}

// After a request was abandoned, no further attempt is made for it.
func TestAbandonedRequest(t *testing.T) {
	g, f := startGateway(t)
	ex := submit(t, g, "read", "x")
	a := testwait.Value(t, "an attempt", f.started)
	g.Abandon(ex)
	a.Report(attemptResult(logic.ConnectFailed, ""))
	if got := finalAnswer(t, ex); got.Status != exchange.Failed { // a client that has only stopped sending gets this answer
		t.Errorf("answer %+v", got)
	}
	next := submit(t, g, "read", "y")
	if b := testwait.Value(t, "an attempt", f.started); b.Exchange != next {
		t.Error("another attempt for an abandoned request")
	}
	// The answer of an attempt in flight still goes to the client.
	g.Abandon(next)
	f.mu.Lock()
	last := f.attempts[len(f.attempts)-1]
	f.mu.Unlock()
	last.Report(attemptResult(logic.OK, "hi"))
	if got := finalAnswer(t, next); got.Status != exchange.Served {
		t.Errorf("answer %+v", got)
	}
}

// A lower exposure cap cancels attempts that have not been sent.
func TestLowerCapCancelsUnsent(t *testing.T) {
	g, f := startGateway(t)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Cap: 0.5})
	g.UpdateRelease(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.RollingBack, Cap: 0})
	testwait.Until(t, "a cancellation", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.cancelledBuilds) > 0
	})
	if len(f.cancelledBuilds) != 1 || f.cancelledBuilds[0] != 8 {
		t.Errorf("cancelled for builds %v", f.cancelledBuilds)
	}
}

// Without servers a request is held, and refused before its deadline.
func TestHeldAndRefused(t *testing.T) {
	g, f := startGateway(t)
	g.UpdateServers(true, nil)
	ex := exchange.New(exchange.Message{ID: "x"}, exchange.Fields{Class: "pay"}, time.Now().Add(300*time.Millisecond))
	if err := g.Submit(ex); err != nil {
		t.Fatal(err)
	}
	if a := finalAnswer(t, ex); a.Status != exchange.Refused || a.RetryAfter != 500*time.Millisecond {
		t.Errorf("answer %+v", a)
	}
	if len(f.started) != 0 {
		t.Error("sent to a server that is not listed")
	}
}

func TestAfterStop(t *testing.T) {
	g := New(logic.New(testSettings, 1), config.Limits{MaxEvents: 1}, NewClock(), metrics.New(), zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	stop()
	g.Run(ctx, Outputs{})
	for range 3 {
		g.DeliverPeerMessage(logic.PeerMessage{})
	}
	if err := g.Submit(exchange.New(exchange.Message{}, exchange.Fields{}, time.Now())); err != ErrStopped {
		t.Errorf("error %v", err)
	}
}

func TestTimers(t *testing.T) {
	var q timers
	for i, at := range []time.Duration{30, 10, 20, 10} {
		q.add(at, uint64(i))
	}
	if _, ok := q.popDue(9); ok || q.nextDue() != 10 {
		t.Errorf("a timer is due too early, or the next is due at %v", q.nextDue())
	}
	for _, want := range []uint64{1, 3, 2, 0} {
		if got, ok := q.popDue(100); !ok || got.token != want {
			t.Errorf("got %v %v, want token %d", got, ok, want)
		}
	}
	if _, ok := q.popDue(100); ok || q.nextDue() < 1<<62 {
		t.Error("an empty queue has a timer due")
	}
}

// A server that is listed as new counts as just started although this machine's wall clock is an hour off, and stays the
// same incarnation. It guards against slow start that fails on a machine whose clock was stepped.
func TestNewServerIsColdByAWrongClock(t *testing.T) {
	for _, off := range []time.Duration{0, time.Hour, -time.Hour} {
		clock := NewClock()
		clock.unixOrigin += off
		g := New(logic.New(logic.Settings{RouterCount: 1}, 1), config.Limits{MaxEvents: 64}, clock, metrics.New(), zap.NewNop())
		s := &recordingServers{fakeServers: &fakeServers{}, hosts: map[logic.ServerID]Host{}}
		g.outputs = Outputs{Servers: s, Platform: discardSink{}, Peers: discardSink{}}
		bornMs := time.Now().UnixMilli()
		list := func(id logic.ServerID, state logic.ServerState, startedMs int64) {
			h := Host{StartedUnixMs: startedMs, Server: logic.Server{ID: id, Zone: "a", Build: 7, Weight: 1, State: state, Started: clock.FromUnix(float64(startedMs))}}
			g.applyServers(serversUpdated{logic.ServersListed{Servers: []logic.Server{h.Server}}, []Host{h}})
		}
		list(1, logic.Ready, 0)
		list(2, logic.Ready, bornMs)
		first := s.host(2).Started
		if age := clock.Now() - first; age < 0 || age > 10*time.Second {
			t.Errorf("clock off by %v: a new server counts as %v old", off, age)
		}
		time.Sleep(2 * time.Millisecond)
		if list(2, logic.Draining, bornMs); s.host(2).Started != first {
			t.Errorf("clock off by %v: the start moved by %v", off, s.host(2).Started-first)
		}
		if s.host(1).Started != 0 {
			t.Errorf("clock off by %v: a server of long ago started at %v", off, s.host(1).Started)
		}
	}
}

// Converted Unix times keep their distance from the present; zero stays zero, and no other time becomes zero.
func TestClock(t *testing.T) {
	c := NewClock()
	now, at := c.Now(), c.FromUnix(float64(time.Now().UnixMilli())-2500)
	if d := now - at; d < 2400*time.Millisecond || d > 2600*time.Millisecond {
		t.Errorf("2.5 s ago is %v ago", d)
	}
	if c.FromUnix(0) != 0 || c.FromUnix(1) == 0 {
		t.Error("zero did not stay zero, or another time became zero")
	}
}
