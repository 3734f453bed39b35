package registrar_test

import (
	"context"
	"crypto/rand"
	"errors"
	"flag"
	"fmt"
	"math"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"merlinarch/internal/accord"
	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/link"
	"merlinarch/internal/testwait"
)

var (
	randomSeeds = flag.Int("random.seeds", 2, "number of seeds of the random run")
	randomFrom  = flag.Int("random.from", 0, "the first seed")
	randomTime  = flag.Duration("random.time", 9*time.Second, "duration of the faults for each seed")
)

// recordOp is a client's operation on the replicated state, for the linearizability checker: a write that committed a
// version, or a read of the newest version.
type recordOp struct {
	isWrite bool
	version uint64
}

// versionModel is the checker's model of the replicated state: the number of the newest version. A client's write
// raises it to the write's version, which has to be new. Registrars commit versions too, so a read may find any version
// that is not older.
var versionModel = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, _ any) (bool, any) {
		at, in := state.(uint64), input.(recordOp)
		if in.isWrite {
			return at < in.version, in.version
		}
		return at <= in.version, in.version
	},
	Equal: func(a, b any) bool { return a == b },
}

// observations are what clients saw, and when.
type observations struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
	attempts   map[string]*changeAttempt // by reason
	cordons    map[cordonKey]*observedCordon
	lifts      map[string][]time.Time // by server: when a client asked to lift its cordon
}

// changeAttempt is a change that a client submitted, and its outcome if the client knows it.
type changeAttempt struct {
	client             int
	sentAt, answeredAt time.Time
	answered           bool
	refused            bool
	version            uint64
}

// cordonKey identifies a cordon by its name and the version that brought it.
type cordonKey struct {
	id      string
	version uint64
}

// observedCordon is when clients first saw a cordon, and first saw it confirmed.
type observedCordon struct{ firstSeen, confirmedSeen time.Time }

// recordStatus records a status that a client received.
func (w *observations) recordStatus(client int, sentAt time.Time, st *accord.Status) {
	receivedAt := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.operations = append(w.operations, porcupine.Operation{ClientId: client, Input: recordOp{version: st.Head.Version},
		Call: int64(sentAt.Sub(w.start)), Return: int64(receivedAt.Sub(w.start))})
	for _, c := range st.Cordons {
		k := cordonKey{c.ID, c.Version}
		s := w.cordons[k]
		if s == nil {
			s = &observedCordon{firstSeen: receivedAt}
			w.cordons[k] = s
		}
		if c.State == cordon.Confirmed && s.confirmedSeen.IsZero() {
			s.confirmedSeen = receivedAt
		}
	}
}

// runOperator cordons and lifts servers at random. Some answers are lost, and the change is then submitted again with
// the same key.
func (s *testCluster) runOperator(ctx context.Context, observed *observations, client int, rng *mathrand.Rand, op *accord.Client) {
	for n := 0; ctx.Err() == nil; n++ {
		attemptCtx, stop := context.WithTimeout(ctx, 1500*time.Millisecond)
		var status accord.Status
		sent := time.Now()
		if op.Do(attemptCtx, accord.PathStatus, nil, &status) != nil {
			stop()
			continue
		}
		observed.recordStatus(client, sent, &status)
		server := cluster.ServerName(rng.IntN(s.Servers))
		change := cordonChange(server)
		if _, stands := status.Rules.Cordons[server]; stands {
			change = ruleset.Change{Kind: ruleset.KindLift, Name: server}
		}
		attempt := &changeAttempt{client: client, sentAt: time.Now()}
		reason := fmt.Sprintf("%d-%d", client, n)
		observed.mu.Lock()
		if observed.attempts[reason] = attempt; change.Kind == ruleset.KindLift {
			observed.lifts[server] = append(observed.lifts[server], attempt.sentAt)
		}
		observed.mu.Unlock()
		request := accord.OperatorRequest{Cluster: "test", ChangeRequest: ruleset.ChangeRequest{Key: rand.Text(), BaseVersion: status.Head.Version, Author: "test", Reason: reason,
			Changes: []ruleset.Change{change}}}
		var answer ruleset.Answer
		answerLost := rng.IntN(4) == 0
		if answerLost { // give up before the answer; the retry with the same key has to get the first attempt's answer
			shortCtx, cancel := context.WithTimeout(attemptCtx, time.Duration(rng.IntN(10))*time.Millisecond)
			op.Do(shortCtx, accord.PathChange, request, &ruleset.Answer{})
			cancel()
		}
		err := op.Do(attemptCtx, accord.PathChange, request, &answer)
		stop()
		observed.mu.Lock()
		if err == nil {
			attempt.answered, attempt.refused, attempt.version, attempt.answeredAt = true, answer.Refused != "", answer.Version, time.Now()
		}
		observed.mu.Unlock()
		time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
	}
}

// injectFaults injects random faults into processes and links, one after another, and ends each of them.
func (s *testCluster) injectFaults(ctx context.Context, rng *mathrand.Rand) {
	var names []string
	for name := range s.Processes {
		names = append(names, name)
	}
	slices.Sort(names)
	var keys [][2]string
	for k := range s.Links {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b [2]string) int { return strings.Compare(a[0]+" "+a[1], b[0]+" "+b[1]) })
	pause := func(maxMs int) { // in ms
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(rng.IntN(maxMs)) * time.Millisecond):
		}
	}
	for ctx.Err() == nil {
		name := names[rng.IntN(len(names))]
		p := s.Processes[name]
		switch rng.IntN(6) {
		case 0:
			p.Stop()
			pause(2500)
			p.Continue()
		case 1:
			p.Kill()
			pause(1500)
			if err := p.Start(); err != nil {
				s.t.Error(err)
			}
		case 2: // cut off from some of the others, in one or both directions
			var cut []*link.Link
			for _, k := range keys {
				if (k[0] == name || k[1] == name) && rng.IntN(3) > 0 {
					s.Links[k].Set([]link.Faults{{BlockToTarget: true, BlockFromTarget: true}, {BlockToTarget: true}, {BlockFromTarget: true}}[rng.IntN(3)])
					cut = append(cut, s.Links[k])
				}
			}
			pause(2500)
			for _, l := range cut {
				l.Heal()
			}
		case 3:
			l := s.Links[keys[rng.IntN(len(keys))]]
			l.Set(link.Faults{Delay: 20 * time.Millisecond, Loss: 0.1, Corruption: 0.05})
			pause(1000)
			l.Set(link.Faults{})
		case 4:
			s.Links[keys[rng.IntN(len(keys))]].Reset()
		case 5: // the leader has more pauses than the others
			if leader := s.Leader(ctx); leader != "" {
				s.Processes[leader].Stop()
				pause(1500)
				s.Processes[leader].Continue()
			}
		}
		pause(400)
	}
}

// Random faults hit processes and links while two operators cordon and lift servers through different registrars. No
// request may reach a server later than D after its cordon or after it was confirmed, and the versions have to form one
// linearizable history.
func TestRandomRun(t *testing.T) {
	for seed := *randomFrom; seed < *randomFrom+*randomSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if *randomSeeds <= 4 {
				t.Parallel()
			}
			s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 5, Seed: uint64(seed) + 100})
			for i := range s.Servers {
				s.waitForTraffic(cluster.ServerName(i))
			}
			observed := &observations{start: time.Now(), attempts: map[string]*changeAttempt{}, cordons: map[cordonKey]*observedCordon{}, lifts: map[string][]time.Time{}}
			ctx, stop := context.WithTimeout(s.ctx, *randomTime)
			defer stop()
			var work sync.WaitGroup
			for client := range 2 {
				rng := mathrand.New(mathrand.NewPCG(uint64(seed), uint64(client)))
				op := s.Operator([][]string{{"r0", "r1"}, {"r1", "r2"}}[client]...)
				work.Go(func() { s.runOperator(ctx, observed, client, rng, op) })
			}
			work.Go(func() {
				for op := s.Operator(); ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
					sent := time.Now()
					if st := s.status(op, 500*time.Millisecond); st != nil {
						observed.recordStatus(2, sent, st)
					}
				}
			})
			work.Go(func() { s.injectFaults(ctx, mathrand.New(mathrand.NewPCG(uint64(seed), 99))) })
			work.Wait()
			s.restartAll()
			observed.check(t, s)
		})
	}
}

// restartAll resumes or restarts all processes, heals all links and waits until all dispatchers serve.
func (s *testCluster) restartAll() {
	s.t.Helper()
	for name, p := range s.Processes {
		p.Continue()
		if _, ended := p.WaitExit(0); ended {
			if err := p.Start(); err != nil {
				s.t.Fatal(name, err)
			}
		}
	}
	for _, l := range s.Links {
		l.Heal()
	}
	for i := range s.Dispatchers {
		testwait.Until(s.t, "all to serve again", func() bool { return s.Ready(cluster.DispatcherName(i)) })
	}
}

// restartInOrder ends a process with SIGTERM and starts it again.
func (s *testCluster) restartInOrder(name string) {
	s.Processes[name].Signal(syscall.SIGTERM)
	if _, ended := s.Processes[name].WaitExit(testwait.Patience); !ended {
		s.t.Errorf("%s does not end", name)
		return
	}
	if err := s.Processes[name].Start(); err != nil {
		s.t.Error(err)
	}
}

// check compares what clients saw and what servers received with what the registrars guarantee.
func (w *observations) check(t *testing.T, s *testCluster) {
	t.Helper()
	st := s.status(s.Operator(), testwait.Patience)
	if st == nil {
		t.Fatal("no leader at the end")
	}
	history := s.versionHistory(t)
	if len(history) == 0 || history[len(history)-1].Head.Version != st.Head.Version {
		t.Fatalf("the history ends before version %d", st.Head.Version)
	}
	versionByReason := map[string]uint64{}
	for i, step := range history {
		if i > 0 && step.Head.PreviousHash != history[i-1].Head.Hash {
			t.Errorf("version %d does not follow version %d", step.Head.Version, history[i-1].Head.Version)
		}
		if step.Head.Author != "test" {
			continue
		}
		if v := versionByReason[step.Head.Reason]; v != 0 {
			t.Errorf("change %s was committed twice, as versions %d and %d", step.Head.Reason, v, step.Head.Version)
		}
		versionByReason[step.Head.Reason] = step.Head.Version
	}
	answered := 0
	for reason, a := range w.attempts {
		v := versionByReason[reason]
		switch {
		case a.answered && !a.refused && v != a.version:
			t.Errorf("change %s was answered with version %d, the history has version %d", reason, a.version, v)
		case a.answered && a.refused && v != 0:
			t.Errorf("change %s was refused, but committed as version %d", reason, v)
		}
		if v == 0 {
			continue
		}
		op := porcupine.Operation{ClientId: a.client, Input: recordOp{true, v}, Call: int64(a.sentAt.Sub(w.start)), Return: math.MaxInt64}
		if a.answered {
			answered++
			op.Return = int64(a.answeredAt.Sub(w.start))
		}
		w.operations = append(w.operations, op)
	}
	if !porcupine.CheckOperations(versionModel, w.operations) {
		t.Errorf("%d operations on the replicated state are not linearizable", len(w.operations))
	}
	arrivals := s.Arrivals()
	violations, checked, confirmed := 0, 0, 0
	for k, c := range w.cordons {
		until := time.Now()
		for _, at := range w.lifts[k.id] {
			// A lift that was sent before this cordon was seen may have been meant for an earlier one.
			if at.After(c.firstSeen) && at.Before(until) {
				until = at
			}
		}
		if !c.confirmedSeen.IsZero() {
			confirmed++
		}
		checked++
		for _, a := range arrivals {
			if a.Server != k.id || !a.At.Before(until) {
				continue
			}
			if a.At.After(c.firstSeen.Add(terms.StalenessBound() + arrivalTolerance)) {
				violations++
				t.Errorf("%s got %s %v after its cordon (version %d) was seen, D is %v", k.id, a.ID, a.At.Sub(c.firstSeen), k.version, terms.StalenessBound())
			}
			if !c.confirmedSeen.IsZero() && a.At.After(c.confirmedSeen.Add(arrivalTolerance)) {
				violations++
				t.Errorf("%s got %s %v after its cordon (version %d) was confirmed", k.id, a.ID, a.At.Sub(c.confirmedSeen), k.version)
			}
			if violations > 5 {
				t.FailNow()
			}
		}
	}
	t.Logf("%d versions, %d operations, %d changes (%d answered), %d cordons of which %d were confirmed, %d arrivals", len(history), len(w.operations),
		len(w.attempts), answered, checked, confirmed, len(arrivals))
	if checked == 0 || confirmed == 0 || len(arrivals) == 0 {
		t.Error("there were no arrivals, or no cordon was committed and confirmed")
	}
}

// versionHistory reads all versions from the leader.
func (s *testCluster) versionHistory(t *testing.T) []ruleset.Step {
	t.Helper()
	var out []ruleset.Step
	ctx, stop := context.WithTimeout(s.ctx, testwait.Patience)
	defer stop()
	op := s.Operator(s.waitForLeader())
	for {
		var v accord.VersionHistory
		from := uint64(2)
		if len(out) > 0 {
			from = out[len(out)-1].Head.Version + 1
		}
		if err := op.Do(ctx, fmt.Sprintf("%s?from=%d", accord.PathVersion, from), nil, &v); err != nil && !errors.Is(err, context.Canceled) {
			t.Fatal(err)
		}
		if len(v.Steps) == 0 {
			return out
		}
		out = append(out, v.Steps...)
	}
}
