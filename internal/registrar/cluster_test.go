package registrar_test

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/standin/link"
	"merlinarch/internal/testwait"
)

// These tests run registrars and dispatchers as processes and inject faults into them and the links between them. They
// check which requests reached the servers behind the dispatchers, and when.

var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "programs")
	if err != nil {
		panic(err)
	}
	bin = dir
	if out, err := exec.Command("go", "build", "-o", dir, "merlinarch/cmd/merlinarch", "merlinarch/cmd/merlinarch-registrar").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// terms are short to keep the tests short. On a busy machine a dispatcher may lose its lease, which is no failure.
var terms = lease.Terms{Length: 1500 * time.Millisecond, Longest: 1500 * time.Millisecond, Beat: 300 * time.Millisecond,
	Send: 200 * time.Millisecond, Drift: 0.1}

// settings returns the accord settings of a cluster under test, with more added.
func settings(more map[string]any) map[string]any {
	out := map[string]any{"lease": terms.Length.String(), "beat": terms.Beat.String(), "send": terms.Send.String(), "drift": terms.Drift,
		"budget": 0.5, "cold": "2s"}
	for k, v := range more {
		out[k] = v
	}
	return out
}

// testCluster is a cluster with client traffic through its dispatchers.
type testCluster struct {
	*cluster.Cluster
	t            *testing.T
	ctx          context.Context
	lastRequest  atomic.Int64
	mu           sync.Mutex
	answerCounts map[string]map[int]int // by dispatcher and status code
}

// startCluster starts a cluster, waits until all dispatchers serve, and starts the client traffic.
func startCluster(t *testing.T, o cluster.Options) *testCluster {
	t.Helper()
	o.Bin, o.Dir, o.UseLinks = bin, t.TempDir(), true
	if o.Accord == nil {
		o.Accord = settings(nil)
	}
	if o.Mode == "" {
		o.Mode = "hold"
	}
	c, err := cluster.New(o)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	s := &testCluster{Cluster: c, t: t, ctx: ctx, answerCounts: map[string]map[int]int{}}
	var work sync.WaitGroup
	t.Cleanup(func() {
		stop()
		if t.Failed() {
			for name := range c.Processes {
				t.Logf("%s:\n%s", name, lastLines(c.Log(name), 30))
			}
		}
		c.Close()
		work.Wait()
	})
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	for i := range o.Dispatchers {
		name := cluster.DispatcherName(i)
		testwait.Until(t, name+" to serve", func() bool { return c.Ready(name) })
		workers := 4
		if o.LowTraffic {
			workers = 1
		}
		for range workers {
			work.Go(func() { s.sendTraffic(name) })
		}
	}
	return s
}

// lastLines returns the last lines of a text.
func lastLines(text string, lines int) string {
	l := strings.Split(strings.TrimSpace(text), "\n")
	return strings.Join(l[max(0, len(l)-lines):], "\n")
}

// sendTraffic sends requests to one dispatcher until the test ends.
func (s *testCluster) sendTraffic(name string) {
	for s.ctx.Err() == nil {
		status, _ := s.Get(s.ctx, name, fmt.Sprintf("%s-%d", name, s.lastRequest.Add(1)))
		s.mu.Lock()
		if s.answerCounts[name] == nil {
			s.answerCounts[name] = map[int]int{}
		}
		s.answerCounts[name][status]++
		s.mu.Unlock()
		if time.Sleep(3 * time.Millisecond); s.LowTraffic {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// answerCount returns how often a dispatcher has answered with a status code.
func (s *testCluster) answerCount(name string, status int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerCounts[name][status]
}

// mustChange retries changes until they are committed. It returns their version and the time when the client knew it.
func (s *testCluster) mustChange(op *accord.Client, changes ...ruleset.Change) (uint64, time.Time) {
	s.t.Helper()
	ctx, stop := context.WithTimeout(s.ctx, testwait.Patience)
	defer stop()
	for {
		v, err := s.tryChange(ctx, op, changes...)
		if err != nil {
			s.t.Fatal(err)
		}
		if v != 0 {
			return v, time.Now()
		}
	}
}

// tryChange submits changes once. It returns version 0 if their base version was stale.
func (s *testCluster) tryChange(ctx context.Context, op *accord.Client, changes ...ruleset.Change) (uint64, error) {
	var st accord.Status
	if err := op.Do(ctx, accord.PathStatus, nil, &st); err != nil {
		return 0, err
	}
	var a ruleset.Answer
	err := op.Do(ctx, accord.PathChange, accord.OperatorRequest{Cluster: "test", ChangeRequest: ruleset.ChangeRequest{Key: rand.Text(), BaseVersion: st.Head.Version, Author: "test",
		Reason: "a test", Changes: changes}}, &a)
	switch {
	case err != nil:
		return 0, err
	case a.Refused == ruleset.RefusedStale:
		return 0, nil
	case a.Refused != "":
		return 0, fmt.Errorf("%s: %s", a.Refused, a.Text)
	}
	return a.Version, nil
}

// cordonChange returns a change that cordons a server.
func cordonChange(host string) ruleset.Change {
	return ruleset.Change{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: host}}
}

// status returns the leader's status; nil if there is no answer in time.
func (s *testCluster) status(op *accord.Client, patience time.Duration) *accord.Status {
	ctx, stop := context.WithTimeout(s.ctx, patience)
	defer stop()
	var st accord.Status
	if op.Do(ctx, accord.PathStatus, nil, &st) != nil {
		return nil
	}
	return &st
}

// findCordon finds a cordon in a status; nil if there is none.
func findCordon(st *accord.Status, id string) *statemachine.CordonStatus {
	if st == nil {
		return nil
	}
	if i := slices.IndexFunc(st.Cordons, func(c statemachine.CordonStatus) bool { return c.ID == id }); i >= 0 {
		return &st.Cordons[i]
	}
	return nil
}

// waitConfirmed waits until the leader reports a cordon as confirmed, and returns the time.
func (s *testCluster) waitConfirmed(op *accord.Client, id string) time.Time {
	s.t.Helper()
	testwait.Until(s.t, "the cordon of "+id+" to be confirmed", func() bool {
		c := findCordon(s.status(op, time.Second), id)
		return c != nil && c.State == cordon.Confirmed
	})
	return time.Now()
}

// arrivalTolerance is the time that a busy machine may take from the last byte of a request until the server records
// it.
const arrivalTolerance = 300 * time.Millisecond

// checkNoArrivals checks that no request reached a server between two times.
func (s *testCluster) checkNoArrivals(server string, from, until time.Time, since string) {
	s.t.Helper()
	for _, a := range s.Arrivals() {
		if a.Server == server && a.At.After(from) && a.At.Before(until) {
			s.t.Errorf("%s got %s from %s %v after %s", server, a.ID, a.Dispatcher, a.At.Sub(from), since)
			return
		}
	}
}

// waitForTraffic waits until a server gets requests from every dispatcher; otherwise, their absence later would prove
// nothing.
func (s *testCluster) waitForTraffic(server string) {
	s.t.Helper()
	for i := range s.Dispatchers {
		name := cluster.DispatcherName(i)
		testwait.Until(s.t, server+" to get requests from "+name, func() bool {
			return slices.ContainsFunc(s.Arrivals(), func(a cluster.Arrival) bool { return a.Server == server && a.Dispatcher == name })
		})
	}
}

// checkCordonHeld checks the two guarantees of a cordon: no request reaches the server later than the staleness bound D
// after the cordon was committed, and none after it was confirmed.
func (s *testCluster) checkCordonHeld(server string, agreed, confirmed time.Time) {
	s.t.Helper()
	now := time.Now()
	s.checkNoArrivals(server, agreed.Add(terms.StalenessBound()+arrivalTolerance), now, "D had passed")
	if !confirmed.IsZero() {
		s.checkNoArrivals(server, confirmed.Add(arrivalTolerance), now, "it was confirmed")
	}
}

// linksBetween returns the links between one process and others, in both directions.
func (s *testCluster) linksBetween(name string, others ...string) []*link.Link {
	var out []*link.Link
	for k, l := range s.Links {
		if k[0] == name && slices.Contains(others, k[1]) || k[1] == name && slices.Contains(others, k[0]) {
			out = append(out, l)
		}
	}
	return out
}

// otherRegistrars returns all registrars but one.
func (s *testCluster) otherRegistrars(name string) []string {
	var out []string
	for i := range s.Registrars {
		if r := cluster.RegistrarName(i); r != name {
			out = append(out, r)
		}
	}
	return out
}

// waitForLeader waits until there is a leader and returns its name.
func (s *testCluster) waitForLeader() string {
	s.t.Helper()
	name := ""
	testwait.Until(s.t, "a leader", func() bool { name = s.Leader(s.ctx); return name != "" })
	return name
}

// The leader is killed while a cordon is proposed. The cordon has to be committed exactly once, whether or not the
// first attempt was, and all three dispatchers have to obey it.
func TestLeaderKilledDuringCordon(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 1})
	s.waitForTraffic("s-1")
	leader := s.waitForLeader()
	op := s.Operator()
	st := s.status(op, testwait.Patience)
	ask := accord.OperatorRequest{Cluster: "test", ChangeRequest: ruleset.ChangeRequest{Key: "one key", BaseVersion: st.Head.Version, Author: "test", Reason: "a test",
		Changes: []ruleset.Change{cordonChange("s-1")}}}
	answers := make(chan ruleset.Answer, 1)
	go func() {
		var a ruleset.Answer
		if err := op.Do(s.ctx, accord.PathChange, ask, &a); err != nil {
			t.Error(err)
		}
		answers <- a
	}()
	time.Sleep(2 * time.Millisecond)
	s.Processes[leader].Kill()
	a := testwait.Value(t, "the answer", answers)
	agreed := time.Now()
	if a.Refused != "" {
		t.Fatalf("refused: %+v", a)
	}
	at := s.waitConfirmed(s.Operator(s.otherRegistrars(leader)...), "s-1")
	var again ruleset.Answer
	if err := op.Do(s.ctx, accord.PathChange, ask, &again); err != nil || again != a {
		t.Errorf("answer to the same key: %+v, %v; first %+v", again, err, a)
	}
	if err := s.Processes[leader].Start(); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the killed registrar to catch up with the others", func() bool {
		var role accord.RegistrarStatus
		ctx, stop := context.WithTimeout(s.ctx, time.Second)
		defer stop()
		return s.Operator(leader).Do(ctx, accord.PathStatus+"?local", nil, &role) == nil && role.Version >= a.Version
	})
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-1", agreed, at)
	if n := s.answerCount("n0", 200); n == 0 {
		t.Error("no request was served")
	}
}

// A leader's process is paused until another leader is elected. When it resumes it still takes itself for the leader;
// it must neither grant a lease nor confirm a cordon.
func TestLeaderPausedPastItsTerm(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 2})
	s.waitForTraffic("s-2")
	leader := s.waitForLeader()
	s.Processes[leader].Stop()
	majority := s.Operator(s.otherRegistrars(leader)...)
	_, agreed := s.mustChange(majority, cordonChange("s-2"))
	at := s.waitConfirmed(majority, "s-2")
	s.Processes[leader].Continue()
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-2", agreed, at)
	if c := findCordon(s.status(s.Operator(), testwait.Patience), "s-2"); c == nil || c.State != cordon.Confirmed {
		t.Errorf("after the old leader resumed: %+v", c)
	}
}

// A leader that can reach the dispatchers, but not the other registrars, must not renew leases on the old version. Nor
// must one that can send to the other registrars but receives nothing from them.
func TestLeaderPartitioned(t *testing.T) {
	t.Parallel()
	for name, cutLinks := range map[string]func(s *testCluster, leader string){
		"both ways": func(s *testCluster, leader string) {
			for _, l := range s.linksBetween(leader, s.otherRegistrars(leader)...) {
				l.Cut()
			}
		},
		"one way": func(s *testCluster, leader string) { // its messages reach the others, theirs don't reach it
			for _, o := range s.otherRegistrars(leader) {
				s.Links[[2]string{o, leader}].Set(link.Faults{BlockToTarget: true, BlockFromTarget: true})
				s.Links[[2]string{leader, o}].Set(link.Faults{BlockFromTarget: true})
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 3})
			s.waitForTraffic("s-0")
			leader := s.waitForLeader()
			cutLinks(s, leader)
			majority := s.Operator(s.otherRegistrars(leader)...)
			_, agreed := s.mustChange(majority, cordonChange("s-0"))
			at := s.waitConfirmed(majority, "s-0")
			time.Sleep(terms.StalenessBound())
			s.checkCordonHeld("s-0", agreed, at)
			for _, l := range s.linksBetween(leader, s.otherRegistrars(leader)...) {
				l.Heal()
			}
			testwait.Until(t, "the old leader to follow the new one", func() bool {
				var role accord.RegistrarStatus
				ctx, stop := context.WithTimeout(s.ctx, time.Second)
				defer stop()
				err := s.Operator(leader).Do(ctx, accord.PathStatus+"?local", nil, &role)
				return err == nil && role.Version >= 2 && role.Leader != ""
			})
			s.checkCordonHeld("s-0", agreed, at)
		})
	}
}

// A dispatcher's process is paused while a cordon is committed and confirmed. It must send nothing to that server when
// it resumes, and the cordon must be confirmed without it only once its lease has certainly expired.
func TestDispatcherPausedDuringCordon(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 4})
	s.waitForTraffic("s-3")
	for round := range 3 { // several, as each pause hits the process at another point
		if round > 0 {
			s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindLift, Name: "s-3"})
			testwait.Until(t, "the cordon of s-3 to be lifted", func() bool { return findCordon(s.status(s.Operator(), time.Second), "s-3") == nil })
		}
		s.Processes["n1"].Stop()
		stopped := time.Now()
		_, agreed := s.mustChange(s.Operator(), cordonChange("s-3"))
		at := s.waitConfirmed(s.Operator(), "s-3")
		if early := stopped.Add(terms.Length - terms.Beat - arrivalTolerance); at.Before(early) {
			t.Errorf("confirmed only %v after n1 was paused", at.Sub(stopped))
		}
		c := findCordon(s.status(s.Operator(), testwait.Patience), "s-3")
		if c == nil || c.Confirmed == nil || !slices.Equal(c.Confirmed.Lapsed, []string{"n1"}) {
			t.Errorf("the confirmation does not name n1 as lapsed: %+v", c)
		}
		s.Processes["n1"].Continue()
		time.Sleep(terms.StalenessBound())
		s.checkCordonHeld("s-3", agreed, at)
		testwait.Until(t, "the paused dispatcher to serve again", func() bool { return s.Ready("n1") })
	}
}

// A dispatcher is cut off from all registrars. In mode hold it refuses requests at once when its lease has expired, and
// says when to retry. In mode serve it goes on serving, and no cordon is confirmed until it is back.
func TestDispatcherPartitioned(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"hold", "serve"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: 5, Mode: mode})
			s.waitForTraffic("s-1")
			regs := append(s.otherRegistrars(""), "")
			for _, l := range s.linksBetween("n2", regs...) {
				l.Cut()
			}
			_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
			if mode == "hold" {
				at := s.waitConfirmed(s.Operator(), "s-1")
				testwait.Until(t, "n2 to refuse", func() bool { return s.answerCount("n2", 503) > 0 && !s.Ready("n2") })
				served := s.answerCount("n2", 200)
				began := time.Now()
				status, _ := s.Get(s.ctx, "n2", "refused")
				if took := time.Since(began); status != 503 || took > time.Second {
					t.Errorf("answered %d after %v, want 503 within 1 s", status, took)
				}
				if n := s.answerCount("n2", 200); n != served {
					t.Errorf("served %d more requests without a lease", n-served)
				}
				s.checkCordonHeld("s-1", agreed, at)
				for _, l := range s.linksBetween("n2", regs...) {
					l.Heal()
				}
				testwait.Until(t, "n2 to serve again", func() bool { return s.Ready("n2") })
				s.checkCordonHeld("s-1", agreed, at)
				return
			}
			time.Sleep(2 * terms.ExpiryWait(terms.Longest))
			if c := findCordon(s.status(s.Operator(), testwait.Patience), "s-1"); c == nil || c.State != cordon.Propagating ||
				len(c.Stragglers) != 1 || c.Stragglers[0].Name != "n2" || !c.Stragglers[0].NeverLapses || c.Reached != 2 {
				t.Errorf("while it is cut off: %+v", c)
			}
			served := s.answerCount("n2", 200)
			testwait.Until(t, "n2 to go on serving", func() bool { return s.answerCount("n2", 200) > served+10 })
			for _, l := range s.linksBetween("n2", regs...) {
				l.Heal()
			}
			at := s.waitConfirmed(s.Operator(), "s-1")
			time.Sleep(300 * time.Millisecond)
			s.checkNoArrivals("s-1", at.Add(arrivalTolerance), time.Now(), "it was confirmed")
		})
	}
}

// A dispatcher is killed and restarted under its name while a cordon propagates. The cordon must not be confirmed while
// either of its incarnations may hold a lease on an older version.
func TestDispatcherRestartsDuringCordon(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 6})
	s.waitForTraffic("s-1")
	s.Processes["n0"].Kill()
	_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
	if err := s.Processes["n0"].Start(); err != nil {
		t.Fatal(err)
	}
	at := s.waitConfirmed(s.Operator(), "s-1")
	testwait.Until(t, "n0 to serve again", func() bool { return s.Ready("n0") })
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-1", agreed, at)
}

// Monotonic clocks of dispatchers and registrars run 10% fast or slow, and wall clocks are off by an hour. Cordons have
// to hold, and planned work has to be done, all the same.
func TestClocksDriftAndDiffer(t *testing.T) {
	t.Parallel()
	rates := map[string]float64{"n0": 0.9, "n1": 1.1, "r0": 1.1, "r1": 0.9, "r2": 1.1}
	steps := map[string]string{"n0": "0s", "n1": "-1h", "r0": "1h", "r1": "0s", "r2": "0s"}
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 7,
		ProcessSettings: func(p string) map[string]any { return map[string]any{"clock_rate": rates[p], "clock_step": steps[p]} }})
	s.waitForTraffic("s-1")
	// The expiry of a cordon is counted by the leader's monotonic clock, whatever the wall clocks say.
	began := time.Now()
	s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindCordon, Cordon: &cordon.Target{Host: "s-2"}, DurationMs: 3000})
	testwait.Until(t, "the cordon to expire", func() bool { return findCordon(s.status(s.Operator(), time.Second), "s-2") == nil })
	if took := time.Since(began); took < 2600*time.Millisecond {
		t.Errorf("a cordon for 3 s expired after %v", took)
	}
	s.mustChange(s.Operator(), plannedDispatch("sheet", "a", 20*time.Second))
	s.waitForProgress(s.Operator(), "sheet", statemachine.Done)
	for _, l := range s.linksBetween("n0", s.otherRegistrars("")...) {
		l.Cut()
	}
	_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
	at := s.waitConfirmed(s.Operator(), "s-1")
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-1", agreed, at)
}

// All registrars are killed and restarted, then all processes at once. Dispatchers without a lease hold or serve
// according to their mode, and a confirmed cordon survives.
func TestAllRegistrarsRestart(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"hold", "serve"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 8, Mode: mode})
			s.waitForTraffic("s-1")
			_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
			at := s.waitConfirmed(s.Operator(), "s-1")
			for _, r := range s.otherRegistrars("") {
				s.Processes[r].Kill()
			}
			gone := time.Now()
			if mode == "hold" {
				testwait.Until(t, "all to refuse", func() bool { return !s.Ready("n0") && !s.Ready("n1") })
				s.checkNoArrivals("s-0", gone.Add(terms.StalenessBound()+arrivalTolerance), time.Now(), "all leases had expired")
			} else {
				time.Sleep(terms.StalenessBound())
				n := s.answerCount("n0", 200)
				testwait.Until(t, "n0 to go on serving", func() bool { return s.answerCount("n0", 200) > n+10 })
			}
			for _, r := range s.otherRegistrars("") {
				if err := s.Processes[r].Start(); err != nil {
					t.Fatal(err)
				}
			}
			s.waitForLeader()
			testwait.Until(t, "all to serve", func() bool { return s.Ready("n0") && s.Ready("n1") })
			for name := range s.Processes {
				s.Processes[name].Kill()
			}
			if err := s.Start(); err != nil {
				t.Fatal(err)
			}
			testwait.Until(t, "all to serve after a restart of all", func() bool { return s.Ready("n0") && s.Ready("n1") })
			if c := findCordon(s.status(s.Operator(), testwait.Patience), "s-1"); c == nil {
				t.Error("the cordon was lost in the restart")
			}
			time.Sleep(300 * time.Millisecond)
			s.checkCordonHeld("s-1", agreed, at)
		})
	}
}

// A registrar that restarts with an old copy of its store, or with none, must not take part: it could vote again,
// differently. A new registrar joins in its place and fetches the state and the history.
func TestStaleOrMissingStore(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 1, Servers: 4, Seed: 9})
	leader := s.waitForLeader()
	name := s.otherRegistrars(leader)[0]
	old, err := os.ReadFile(s.StorePath(name))
	if err != nil {
		t.Fatal(err)
	}
	for range 3 {
		s.mustChange(s.Operator(), cordonChange("s-1"))
		s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindLift, Name: "s-1"})
	}
	s.Processes[name].Kill()
	if err := os.WriteFile(s.StorePath(name), old, 0o600); err != nil {
		t.Fatal(err)
	}
	p := s.Processes[name]
	for _, lost := range []bool{false, true} {
		if lost {
			if err := os.Remove(s.StorePath(name)); err != nil {
				t.Fatal(err)
			}
		}
		if err := p.Start(); err != nil {
			t.Fatal(err)
		}
		if code, ok := p.WaitExit(testwait.Patience); !ok || code != 3 {
			t.Fatalf("store missing: %v; exited: %v, with code %d, want 3:\n%s", lost, ok, code, lastLines(s.Log(name), 5))
		}
	}
	if out, err := s.Join(name); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	testwait.Until(t, "the new registrar to catch up with the others", func() bool {
		var role accord.RegistrarStatus
		ctx, stop := context.WithTimeout(s.ctx, time.Second)
		defer stop()
		return s.Operator(name).Do(ctx, accord.PathStatus+"?local", nil, &role) == nil && role.Version >= 7
	})
	testwait.Until(t, "the new registrar to have the history from version 2 on", func() bool {
		var v accord.VersionHistory
		ctx, stop := context.WithTimeout(s.ctx, time.Second)
		defer stop()
		return s.Operator(name).Do(ctx, accord.PathVersion+"?from=2", nil, &v) == nil && len(v.Steps) > 0 && v.Steps[0].Head.Version == 2
	})
	// The new registrar counts towards the quorum: with another one gone, the remaining two commit a change.
	s.Processes[leader].Kill()
	s.mustChange(s.Operator(s.otherRegistrars(leader)...), cordonChange("s-2"))
}

// Messages arrive duplicated, late, reordered and corrupted. They have to be refused or do no harm.
func TestDuplicatedAndCorruptedMessages(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 10})
	s.waitForTraffic("s-1")
	for _, l := range s.Links {
		l.Record()
		l.Reset()
		l.Set(link.Faults{Corruption: 0.02, Delay: time.Millisecond})
	}
	leader := s.waitForLeader()
	for range 3 { // so that recorded messages are from terms that have passed
		s.Processes[leader].Stop()
		testwait.Until(t, "another leader", func() bool { l := s.Leader(s.ctx); return l != "" && l != leader })
		s.Processes[leader].Continue()
		leader = s.waitForLeader()
	}
	_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
	at := s.waitConfirmed(s.Operator(), "s-1")
	replayed := 0
	for _, l := range s.Links {
		l.Reset()
	}
	time.Sleep(100 * time.Millisecond)
	for _, l := range s.Links {
		replayed += l.Replay()
	}
	if replayed == 0 {
		t.Error("no message was replayed")
	}
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-1", agreed, at)
	refused := 0.0
	for _, r := range s.otherRegistrars("") {
		refused += metric(t, s, r, `registrar_messages_refused_total{why="spoilt"}`)
	}
	if refused == 0 {
		t.Error("no corrupted message was refused")
	}
	for _, l := range s.Links {
		l.Heal()
	}
	testwait.Until(t, "all to serve", func() bool { return s.Ready("n0") && s.Ready("n1") })
}

// A registrar of another cluster listens at the address of one of this cluster's. Neither side must accept the other's
// messages.
func TestRegistrarOfAnotherCluster(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 11})
	s.waitForTraffic("s-1")
	leader := s.waitForLeader()
	s.Processes[leader].Kill()
	o := cluster.Options{Bin: bin, Dir: filepath.Join(t.TempDir(), "other"), Registrars: 1, Mode: "hold",
		Accord: settings(map[string]any{"cluster": "other", "listen": s.Addrs[leader]})}
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		t.Fatal(err)
	}
	other, err := cluster.New(o)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := other.Start(); err != nil {
		t.Fatal(err)
	}
	majority := s.Operator(s.otherRegistrars(leader)...)
	_, agreed := s.mustChange(majority, cordonChange("s-1"))
	at := s.waitConfirmed(majority, "s-1")
	testwait.Until(t, "the other cluster's registrar to refuse them", func() bool {
		return metric(t, s, leader, `registrar_refused_total{code="cluster"}`) > 0
	})
	s.checkCordonHeld("s-1", agreed, at)
	if !s.Ready("n0") || !s.Ready("n1") {
		t.Error("a dispatcher lost its lease")
	}
}

// Two of five registrars are cut off and removed. The remaining three need a quorum of two; the removed two must never
// commit a change, and have to exit once they are reconnected.
func TestMembershipShrinksDuringPartition(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 5, Dispatchers: 2, Servers: 4, Seed: 12})
	s.waitForTraffic("s-1")
	for _, gone := range []string{"r3", "r4"} {
		for _, l := range s.linksBetween(gone, "r0", "r1", "r2") {
			l.Cut()
		}
	}
	majority := s.Operator("r0", "r1", "r2")
	for _, gone := range []string{"r3", "r4"} {
		testwait.Until(t, gone+" to be removed", func() bool {
			ctx, stop := context.WithTimeout(s.ctx, 2*time.Second)
			defer stop()
			err := majority.Do(ctx, accord.PathMembers, map[string]string{"cluster": "test", "name": gone}, nil)
			var p *accord.Problem
			return err == nil || errors.As(err, &p) && p.Code == accord.CodeNotFound
		})
	}
	// Two of the three are a quorum now.
	s.Processes["r2"].Kill()
	_, agreed := s.mustChange(s.Operator("r0", "r1"), cordonChange("s-1"))
	at := s.waitConfirmed(s.Operator("r0", "r1"), "s-1")
	ctx, stop := context.WithTimeout(s.ctx, 2*time.Second)
	defer stop()
	if v, err := s.tryChange(ctx, s.Operator("r3", "r4"), cordonChange("s-2")); err == nil {
		t.Errorf("the two registrars that were removed committed version %d", v)
	}
	for _, gone := range []string{"r3", "r4"} {
		for _, l := range s.linksBetween(gone, "r0", "r1", "r2") {
			l.Heal()
		}
	}
	for _, gone := range []string{"r3", "r4"} {
		if code, ok := s.Processes[gone].WaitExit(testwait.Patience); !ok || code != 3 {
			t.Errorf("%s exited: %v, with code %d, want 3", gone, ok, code)
		}
	}
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-1", agreed, at)
}

// metric reads a registrar's counter; 0 if it can't be read.
func metric(t *testing.T, s *testCluster, name, counter string) float64 {
	t.Helper()
	text, err := s.Metrics(s.ctx, name)
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(text, "\n") {
		var v float64
		if rest, ok := strings.CutPrefix(line, counter+" "); ok {
			if _, err := fmt.Sscan(rest, &v); err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	return 0
}

// A server whose answers are errors for several dispatchers is cordoned automatically. One that breaks connections is
// not, because a cut link looks the same.
func TestAutomaticCordon(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 5, Seed: 13,
		Accord: settings(map[string]any{"auto": map[string]any{"agreeing": 2, "most": 1, "share": 0.5, "least": 3}}),
		Serve: func(_ context.Context, a cluster.Arrival) hosts.Reply {
			switch a.Server {
			case "s-3":
				return hosts.Reply{Kind: hosts.ServerError}
			case "s-4":
				return hosts.Reply{Kind: hosts.ConnectionReset}
			}
			return hosts.Reply{Body: []byte("notice")}
		}})
	at := s.waitConfirmed(s.Operator(), "s-3")
	agreed := time.Now()
	st := s.status(s.Operator(), testwait.Patience)
	if c := findCordon(st, "s-3"); c == nil || !c.Automatic || c.Author != "registrar" {
		t.Errorf("want an automatic cordon by the registrar, got %+v", c)
	}
	time.Sleep(terms.StalenessBound())
	s.checkCordonHeld("s-3", agreed, at)
	if st := s.status(s.Operator(), testwait.Patience); len(st.Cordons) != 1 {
		t.Errorf("want one cordon, got %+v", st.Cordons)
	}
}

// The operator's commands print and exit as documented.
func TestCommands(t *testing.T) {
	t.Parallel()
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 3, Seed: 14, Mode: "serve"})
	s.waitForTraffic("s-0")
	file := s.SettingsPath("n0")
	run := func(code int, want string, args ...string) {
		t.Helper()
		c := exec.Command(filepath.Join(bin, "merlinarch"), append(args, "--settings", file)...)
		out, _ := c.CombinedOutput()
		if got := c.ProcessState.ExitCode(); got != code || !strings.Contains(string(out), want) {
			t.Errorf("%v: code %d, %s; want %d, %s", args, got, out, code, want)
		}
	}
	why := []string{"--author", "test", "--reason", "a test"}
	run(0, "cordon of s-1 confirmed", append([]string{"cordon", "s-1", "--wait"}, why...)...)
	run(0, "confirmed  2 of 2", "status")
	run(1, "refused (budget)", append([]string{"cordon", "s-2"}, why...)...)
	run(1, "no dispatcher lists this server", append([]string{"cordon", "s-9"}, why...)...)
	run(2, "reason", "cordon", "s-2")
	run(0, "s-1 is open again", append([]string{"uncordon", "s-1", "--wait"}, why...)...)
	run(1, "no such cordon stands", append([]string{"uncordon", "s-1"}, why...)...)
	changes := filepath.Join(t.TempDir(), "changes.json")
	for text, want := range map[string]string{`[{"kind":"freeze"},{"kind":"tenant","name":"acme","value":0.5}]`: "1 of 2 changes wait",
		`[{"kind":"freeze","hue":3}]`: "expected a list of changes", `[{"kind":"dance"}]`: "no such kind of change"} {
		if err := os.WriteFile(changes, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		code := map[bool]int{true: 0, false: 1}[strings.Contains(want, "wait")]
		if strings.Contains(want, "list") {
			code = 2
		}
		run(code, want, append([]string{"change", changes}, why...)...)
	}
	// A dispatcher in mode serve that is gone has to be retired by force, as it may still be serving.
	s.Processes["n1"].Kill()
	run(1, "n1 (serves without a lease", append([]string{"cordon", "s-1", "--wait", "--patience", "6s"}, why...)...)
	run(1, "retire it by force", append([]string{"retire", "n1"}, why...)...)
	run(0, "n1 is not waited for any more", append([]string{"retire", "n1", "--force"}, why...)...)
	s.waitConfirmed(s.Operator(), "s-1")
	run(0, "registrar", "status", "--json")
}

// Dispatchers at a site with a planned outage get longer leases. They serve through a cut that is longer than an
// ordinary lease, a cordon waits for them, and the status shows the longer staleness bound.
func TestLongerLeaseBeforePlannedOutage(t *testing.T) {
	t.Parallel()
	longTerms := terms
	longTerms.Longest = 6 * time.Second
	s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 2, Servers: 4, Seed: 15, Accord: settings(map[string]any{"longest_lease": longTerms.Longest.String()})})
	s.waitForTraffic("s-1")
	now := time.Now()
	s.mustChange(s.Operator(), ruleset.Change{Kind: ruleset.KindSite, Name: "a", Site: &ruleset.Site{
		Outages: []ruleset.Span{{From: now.UnixMilli(), Until: now.Add(time.Hour).UnixMilli()}}}})
	testwait.Until(t, "the status to show the longer bound", func() bool {
		st := s.status(s.Operator(), time.Second)
		return st != nil && st.StalenessBoundBySite["a"] == longTerms.StalenessBoundFor(longTerms.Longest).String()
	})
	time.Sleep(2 * terms.Beat) // both dispatchers have renewed their leases since
	for _, l := range s.linksBetween("n1", s.otherRegistrars("")...) {
		l.Cut()
	}
	cut := time.Now()
	_, agreed := s.mustChange(s.Operator(), cordonChange("s-1"))
	time.Sleep(terms.Length + time.Second)
	if !s.Ready("n1") {
		t.Error("the longer lease of n1 did not last")
	}
	at := s.waitConfirmed(s.Operator(), "s-1")
	if early := cut.Add(longTerms.Longest - 2*terms.Beat); at.Before(early) {
		t.Errorf("confirmed only %v after the cut", at.Sub(cut))
	}
	testwait.Until(t, "n1 to refuse", func() bool { return !s.Ready("n1") })
	s.checkNoArrivals("s-1", agreed.Add(longTerms.StalenessBoundFor(longTerms.Longest)+arrivalTolerance), time.Now(), "the longer D had passed")
	s.checkNoArrivals("s-1", at.Add(arrivalTolerance), time.Now(), "it was confirmed")
}
