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

// fleet stands for the server side.
type fleet struct {
	mu       sync.Mutex
	attempts []Attempt
	recalled []logic.BuildID
	listed   int
	arrived  chan Attempt
}

func (f *fleet) UpdateServers(bool, []Host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed++
}

func (f *fleet) Start(a Attempt) func() {
	f.mu.Lock()
	f.attempts = append(f.attempts, a)
	f.mu.Unlock()
	f.arrived <- a
	return func() {}
}
func (f *fleet) Probe(logic.ServerID, func(Result)) {}
func (f *fleet) CloseIdle(logic.ServerID)           {}
func (f *fleet) CancelUnsent(b logic.BuildID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recalled = append(f.recalled, b)
}

type sink struct{}

func (sink) Vote(logic.Vote) {}
func (sink) Post(logic.Post) {}

var testSettings = logic.Settings{RouterCount: 1, MaxAttempts: 3, Zone: "a", MaxRetryAfter: time.Second,
	Classes: []logic.Class{{Name: "read", Repeatability: logic.Safe, LatencyTarget: patience, Deadline: patience, Worth: 1},
		{Name: "pay", Repeatability: logic.Unsafe, LatencyTarget: patience, Deadline: patience, Worth: 1},
		{Name: "post", Repeatability: logic.Keyed, DedupWindow: patience, LatencyTarget: patience, Deadline: patience, Worth: 1}}}

// start runs a gateway round a real module with two servers of a released build.
func start(t *testing.T) (*Gateway, *fleet) {
	t.Helper()
	clock := NewClock()
	g := New(logic.New(testSettings, 1), config.Limits{MaxEvents: 64}, clock, metrics.New(), zap.NewNop())
	f := &fleet{arrived: make(chan Attempt, 64)}
	ctx, stop := context.WithCancel(context.Background())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: sink{}, Peers: sink{}}) })
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

func final(t *testing.T, ex *exchange.Exchange) exchange.Answer {
	t.Helper()
	testwait.Value(t, "a final answer", ex.Done())
	return ex.Answer()
}

func ended(o logic.Outcome, body string) Result {
	return Result{Outcome: o, Body: []byte(body), EndedAt: time.Now()}
}

func TestServed(t *testing.T) {
	g, f := start(t)
	ex := submit(t, g, "read", "x")
	testwait.Value(t, "an attempt", f.arrived).Report(ended(logic.OK, "hi"))
	if a := final(t, ex); a.Status != exchange.Served || string(a.Body) != "hi" {
		t.Errorf("answer %+v", a)
	}
}

// A client's id may come twice, even while the first is out: each request gets its own answer.
func TestSameClientID(t *testing.T) {
	g, f := start(t)
	one, two := submit(t, g, "read", "x"), submit(t, g, "read", "x")
	a, b := testwait.Value(t, "an attempt", f.arrived), testwait.Value(t, "an attempt", f.arrived)
	if a.Exchange == b.Exchange {
		t.Fatal("both attempts are for one request")
	}
	for _, at := range []Attempt{b, a} {
		body := "one"
		if at.Exchange == two {
			body = "two"
		}
		at.Report(ended(logic.OK, body))
	}
	if got := string(final(t, one).Body) + string(final(t, two).Body); got != "onetwo" {
		t.Errorf("answers %q", got)
	}
}

// What never ran is tried again; the next attempt leaves only after the first was reported.
func TestTriedAgain(t *testing.T) {
	g, f := start(t)
	ex := submit(t, g, "pay", "x")
	first := testwait.Value(t, "an attempt", f.arrived)
	if len(f.arrived) != 0 {
		t.Fatal("two attempts out")
	}
	first.Report(ended(logic.ConnectFailed, ""))
	second := testwait.Value(t, "an attempt", f.arrived)
	if second.Server == first.Server {
		t.Error("the same server again")
	}
	second.Report(ended(logic.OK, "hi"))
	if a := final(t, ex); a.Status != exchange.Served {
		t.Errorf("answer %+v", a)
	}
}

// An unsafe request that may have run fails; it is neither sent again nor refused.
func TestMayHaveRun(t *testing.T) {
	for _, o := range []logic.Outcome{logic.Reset, logic.TimedOut, logic.ServerError} {
		g, f := start(t)
		ex := submit(t, g, "pay", "x")
		testwait.Value(t, "an attempt", f.arrived).Report(ended(o, ""))
		if a := final(t, ex); a.Status != exchange.Failed {
			t.Errorf("after outcome %v: answer %+v", o, a)
		}
		if len(f.arrived) != 0 {
			t.Error("sent again")
		}
	}
}

// A repeat has to leave while servers drop it, on the clock of the attempts; whose client has left is seen by the attempt
// that is being made, before the module hears of it.
func TestRepeatLeavesInTime(t *testing.T) {
	g, f := start(t)
	ex := submit(t, g, "post", "x")
	first := testwait.Value(t, "an attempt", f.arrived)
	first.Report(ended(logic.Reset, ""))
	second := testwait.Value(t, "a repeat", f.arrived)
	if off := second.SendBy.Sub(first.DecidedAt.Add(patience)); !first.SendBy.IsZero() || off > 0 || off < -patience/2 {
		t.Errorf("the first leaves by %v, the repeat %v from its window's end", first.SendBy, off)
	}
	if ex.Abandoned() {
		t.Error("nobody has left")
	}
	g.Abandon(ex)
	if !second.Exchange.Abandoned() {
		t.Error("the attempt does not see its client leave")
	}
	second.Report(ended(logic.NotSent, ""))
	if a := final(t, ex); a.Status != exchange.Failed {
		t.Errorf("answer %+v", a)
	}
}

// That a good answer had begun to come reaches the module: its key goes to no earlier build any more.
func TestBegunAnswersReachTheModule(t *testing.T) {
	s := testSettings
	s.Rollout, s.MaxAttempts = logic.Rollout{ForwardOnly: true, FreeAttempts: 100, ExposureWindow: patience}, 1
	g := New(logic.New(s, 1), config.Limits{MaxEvents: 64}, NewClock(), metrics.New(), zap.NewNop())
	f := &fleet{arrived: make(chan Attempt, 64)}
	ctx, stop := context.WithCancel(t.Context())
	var work sync.WaitGroup
	work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: sink{}, Peers: sink{}}) })
	defer work.Wait()
	defer stop()
	ask := func(key uint64) Attempt {
		ex := exchange.New(exchange.Message{}, exchange.Fields{Class: "read", Key: key, HasKey: true}, time.Now().Add(patience))
		if err := g.Submit(ex); err != nil {
			t.Fatal(err)
		}
		return testwait.Value(t, "an attempt", f.arrived)
	}
	const keys = 8
	var later []Host
	for i := range keys {
		later = append(later, Host{Server: logic.Server{ID: logic.ServerID(8 + i), Zone: "a", Build: 8, Weight: 1}})
	}
	g.UpdateServers(true, later)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.OnTrial, Cap: 0.1})
	for key := range uint64(keys) {
		first := ask(key)
		first.Report(Result{Outcome: logic.TimedOut, AnswerBegun: true, EndedAt: time.Now()})
		final(t, first.Exchange)
	}
	g.UpdateServers(false, []Host{{Server: logic.Server{ID: 7, Zone: "a", Build: 7, Weight: 1}}})
	for key := range uint64(keys) { // unbound, nine in ten would go there
		if second := ask(key); !second.ForwardOnly || second.Server == 7 {
			t.Errorf("key %d: sent to %d, forward %v", key, second.Server, second.ForwardOnly)
		}
	}
}

// A router is ready once it knows servers and the state of the newest build, whichever comes first.
func TestReady(t *testing.T) {
	host := []Host{{Server: logic.Server{ID: 1, Zone: "a", Build: 7, Weight: 1}}}
	news := logic.ReleaseStatus{Build: 7, Phase: logic.Released, Cap: 1}
	for name, tell := range map[string][2]func(g *Gateway){
		"servers first": {func(g *Gateway) { g.UpdateServers(true, host) }, func(g *Gateway) { g.UpdateRelease(news) }},
		"state first":   {func(g *Gateway) { g.UpdateServers(true, nil); g.UpdateRelease(news) }, func(g *Gateway) { g.UpdateServers(false, host) }},
	} {
		g := New(logic.New(testSettings, 1), config.Limits{MaxEvents: 64}, NewClock(), metrics.New(), zap.NewNop())
		f := &fleet{arrived: make(chan Attempt, 64)}
		ctx, stop := context.WithCancel(t.Context())
		var work sync.WaitGroup
		work.Go(func() { g.Run(ctx, Outputs{Servers: f, Platform: sink{}, Peers: sink{}}) })
		tell[0](g)
		testwait.Until(t, "the first news to be taken in", func() bool { return len(g.events) == 0 })
		if g.Ready() {
			t.Errorf("%s: ready too early", name)
		}
		tell[1](g)
		testwait.Until(t, "it to be ready", g.Ready)
		stop()
		work.Wait()
	}
}

// Once a request has ended without the module's doing, nothing more is sent for it.
func TestLeft(t *testing.T) {
	g, f := start(t)
	ex := submit(t, g, "read", "x")
	a := testwait.Value(t, "an attempt", f.arrived)
	g.Abandon(ex)
	a.Report(ended(logic.ConnectFailed, ""))
	if got := final(t, ex); got.Status != exchange.Failed { // for a client that only stopped sending
		t.Errorf("answer %+v", got)
	}
	next := submit(t, g, "read", "y")
	if b := testwait.Value(t, "an attempt", f.arrived); b.Exchange != next {
		t.Error("another attempt for a request that has ended")
	}
	// The answer of an attempt that was out is still the client's, if it listens.
	g.Abandon(next)
	f.mu.Lock()
	last := f.attempts[len(f.attempts)-1]
	f.mu.Unlock()
	last.Report(ended(logic.OK, "hi"))
	if got := final(t, next); got.Status != exchange.Served {
		t.Errorf("answer %+v", got)
	}
}

// A lower cap recalls sends that have not left.
func TestLowerCapRecalls(t *testing.T) {
	g, f := start(t)
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Cap: 0.5})
	g.UpdateRelease(logic.ReleaseStatus{IsReply: true, Reply: logic.VoteTimedOut})
	g.UpdateRelease(logic.ReleaseStatus{Build: 8, Phase: logic.RollingBack, Cap: 0})
	testwait.Until(t, "a recall", func() bool {
		f.mu.Lock()
		defer f.mu.Unlock()
		return len(f.recalled) > 0
	})
	if len(f.recalled) != 1 || f.recalled[0] != 8 {
		t.Errorf("recalled %v", f.recalled)
	}
}

// Without servers a request is held, and refused before its time is over.
func TestHeldAndRefused(t *testing.T) {
	g, f := start(t)
	g.UpdateServers(true, nil)
	ex := exchange.New(exchange.Message{ID: "x"}, exchange.Fields{Class: "pay"}, time.Now().Add(300*time.Millisecond))
	if err := g.Submit(ex); err != nil {
		t.Fatal(err)
	}
	if a := final(t, ex); a.Status != exchange.Refused || a.RetryAfter != 500*time.Millisecond {
		t.Errorf("answer %+v", a)
	}
	if len(f.arrived) != 0 {
		t.Error("sent to a server that is not listed")
	}
}

func TestAfterTheEnd(t *testing.T) {
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
		q.set(at, uint64(i))
	}
	if _, ok := q.due(9); ok || q.next() != 10 {
		t.Errorf("due too soon, or next %v", q.next())
	}
	for _, want := range []uint64{1, 3, 2, 0} {
		if got, ok := q.due(100); !ok || got.token != want {
			t.Errorf("got %v %v, want token %d", got, ok, want)
		}
	}
	if _, ok := q.due(100); ok || q.next() < 1<<62 {
		t.Error("an empty queue has something due")
	}
}

// Unix times keep their distance from the present; zero stays long ago, and nothing else becomes it.
func TestClock(t *testing.T) {
	c := NewClock()
	now, at := c.Now(), c.FromUnix(float64(time.Now().UnixMilli())-2500)
	if d := now - at; d < 2400*time.Millisecond || d > 2600*time.Millisecond {
		t.Errorf("2.5 s ago is %v ago", d)
	}
	if c.FromUnix(0) != 0 || c.FromUnix(1) == 0 {
		t.Error("long ago")
	}
}
