package registrar_test

import (
	"context"
	"fmt"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"merlinarch/internal/decide/ruleset"
	"merlinarch/internal/decide/statemachine"
	"merlinarch/internal/standin/cluster"
	"merlinarch/internal/standin/hosts"
	"merlinarch/internal/testwait"
)

// fate is what becomes of one attempt of planned work at its receiver.
type fate struct {
	runs  bool // unless the receiver remembers the work
	reply hosts.Kind
}

// fates of attempts while the trouble lasts, each as likely as the others.
var fates = []fate{
	{true, hosts.Served}, {true, hosts.Served}, {true, hosts.ConnectionReset}, {true, hosts.ServerError}, {true, hosts.Silent}, {true, hosts.TurnedAway},
	{false, hosts.TurnedAway}, {false, hosts.TurnedAway}, {false, hosts.ConnectionReset}, {false, hosts.ServerError}, {false, hosts.Silent},
}

// receivers are servers that drop a repeat of planned work for a window after it ran, all together, and record what came.
type receivers struct {
	window time.Duration

	mu       sync.Mutex
	rng      *mathrand.Rand
	healed   bool
	ranAt    map[string][]time.Time // by idempotency key
	mayRun   map[string]bool        // by idempotency key: an attempt was not turned away
	breaches []string
}

// serve decides the fate of an attempt of planned work, and answers any other request.
func (r *receivers) serve(_ context.Context, a cluster.Arrival) hosts.Reply {
	if a.Key == "" {
		return hosts.Reply{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	f := fate{true, hosts.Served}
	if !r.healed {
		f = fates[r.rng.IntN(len(fates))]
	}
	ran := r.ranAt[a.Key]
	if len(ran) > 0 && a.At.Sub(ran[0]) > r.window {
		r.breaches = append(r.breaches, fmt.Sprintf("%s came %v after it first ran, from %s as %s", a.Key, a.At.Sub(ran[0]), a.Dispatcher, a.ID))
	}
	if f.reply == hosts.TurnedAway { // promises that nothing has run
		return hosts.Reply{Kind: f.reply}
	}
	r.mayRun[a.Key] = true
	if f.runs && (len(ran) == 0 || a.At.Sub(ran[len(ran)-1]) >= r.window) {
		r.ranAt[a.Key] = append(ran, a.At)
	}
	return hosts.Reply{Kind: f.reply, Body: []byte(http.StatusText(http.StatusOK))}
}

// Random faults hit processes and links, and receivers lose answers in every way, while planned work goes out. By the
// receivers' record nothing comes again after the time for which they drop repeats, nothing counts as done that has not run,
// nothing is dropped although one process's clock is wrong, and what the registrars give up as unknown, though no receiver may have run it, had an owner that was stopped or cut off.
func TestRandomTroubleOfDispatches(t *testing.T) {
	const window, pieces = 4 * time.Second, 40
	for seed := *randomFrom; seed < *randomFrom+*randomSeeds; seed++ {
		for _, gentle := range []bool{true, false} { // gentle: no process is stopped or killed, no link is cut
			t.Run(fmt.Sprint("seed ", seed, ", gentle: ", gentle), func(t *testing.T) {
				if *randomSeeds <= 4 {
					t.Parallel()
				}
				r := &receivers{window: window, rng: mathrand.New(mathrand.NewPCG(uint64(seed), 1)), ranAt: map[string][]time.Time{}, mayRun: map[string]bool{}}
				s := startCluster(t, cluster.Options{Registrars: 3, Dispatchers: 3, Servers: 4, Seed: uint64(seed) + 300, Serve: r.serve, RepeatWindow: window,
					LowTraffic: true, Site: func(server int) string { return []string{"a", "a", "b", "c"}[server] }, Accord: settings(map[string]any{"cold": "1s"}),
					ProcessSettings: wrongClockOf(seed)})
				s.waitForTraffic("s-2")
				s.waitForTraffic("s-3")
				ctx, stop := context.WithTimeout(s.ctx, *randomTime)
				defer stop()
				var faults sync.WaitGroup
				faultRng, planRng := mathrand.New(mathrand.NewPCG(uint64(seed), 2)), mathrand.New(mathrand.NewPCG(uint64(seed), 3))
				if gentle {
					faults.Go(func() { s.interruptServers(ctx, faultRng) })
				} else {
					faults.Go(func() { s.injectFaults(ctx, faultRng) })
				}
				planned := map[string]bool{}
				for i := 0; i < pieces && ctx.Err() == nil; i += 4 {
					var changes []ruleset.Change
					for j := range 4 {
						name := fmt.Sprint("sheet-", i+j)
						planned[name] = true
						changes = append(changes, plannedDispatch(name, []string{"a", "b", "c"}[planRng.IntN(3)], 2*time.Minute))
					}
					s.mustChange(s.Operator(), changes...)
				}
				faults.Wait()
				r.mu.Lock()
				r.healed = true
				r.mu.Unlock()
				s.restartAll()
				var final map[string]statemachine.DispatchState
				testwait.Until(t, "all work to come to its end", func() bool {
					st := s.status(s.Operator(), time.Second)
					if st == nil {
						return false
					}
					final = st.Dispatches
					ended := 0
					for _, d := range final {
						if d.Progress == statemachine.Done || d.Progress == statemachine.Unknown || d.Progress == statemachine.Dropped {
							ended++
						}
					}
					return ended == len(planned)
				})
				time.Sleep(time.Second)
				r.check(t, final, gentle)
			})
		}
	}
}

// wrongClockOf gives one process, a registrar or a dispatcher, a wall clock that is an hour ahead or behind.
func wrongClockOf(seed int) func(process string) map[string]any {
	names := []string{"r0", "n0", "r1", "n1", "r2", "n2"}
	steps := []string{"1h", "-1h"}
	return func(process string) map[string]any {
		if process != names[seed%len(names)] {
			return nil
		}
		return map[string]any{"clock_step": steps[seed/len(names)%len(steps)]}
	}
}

// check compares the receivers' record with the final states that the registrars tell.
func (r *receivers) check(t *testing.T, final map[string]statemachine.DispatchState, gentle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, breach := range r.breaches {
		t.Error(breach)
	}
	unknown := 0
	for name, d := range final {
		key := "dispatch-" + name
		runs := len(r.ranAt[key])
		switch {
		case d.Progress == statemachine.Dropped:
			t.Errorf("%s was dropped long before its time: %+v", name, d)
		case runs > 1:
			t.Errorf("%s ran %d times", name, runs)
		case d.Progress == statemachine.Done && runs == 0:
			t.Errorf("%s counts as done and has not run", name)
		case d.Progress == statemachine.Unknown && gentle && !r.mayRun[key]:
			t.Errorf("%s was given up, although no receiver may have run it: %+v", name, d)
		}
		if d.Progress == statemachine.Unknown {
			unknown++
		}
	}
	t.Logf("%d of %d pieces are unknown", unknown, len(final))
}

// interruptServers takes servers down for a while, one at a time, and ends routers in order, until ctx ends.
func (s *testCluster) interruptServers(ctx context.Context, rng *mathrand.Rand) {
	for ctx.Err() == nil {
		if rng.IntN(2) == 0 {
			server := rng.IntN(s.Servers)
			s.StopServer(server)
			time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
			if err := s.RestartServer(server); err != nil {
				s.t.Error(err)
			}
		} else {
			s.restartInOrder(cluster.DispatcherName(rng.IntN(s.Dispatchers)))
		}
	}
}
