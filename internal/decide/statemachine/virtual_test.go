package statemachine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
)

// The simulation runs cordons over many dispatchers in virtual time, with the same decision packages as the live processes.
// Each dispatcher has a watch at a registrar and sends beats to the leader, which handles them one after another. Messages
// take time and get lost, and leaders are killed. A beat costs the leader 0.1 ms, and a watch costs its registrar as much.

// event is an action at a time; order decides between events of the same time.
type event struct {
	at    time.Duration
	order int
	do    func()
}

// eventQueue is a heap of events, the next one first.
type eventQueue []event

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// networkConditions are the conditions of a simulation.
type networkConditions struct {
	delay        time.Duration // one way
	loss         float64       // part of the messages that arrive 200 ms late because they were lost and sent again
	killInterval time.Duration // time between kills of a leader; 0: no kills
}

const (
	handlingTime = 100 * time.Microsecond // of a beat by the leader, and of a watch by its registrar
	writeTime    = time.Millisecond       // of an entry to a disk
	electionTime = 700 * time.Millisecond // time without a leader after a kill
)

// simulation is the state of a cluster in virtual time.
type simulation struct {
	networkConditions
	rng             *rand.Rand
	now             time.Duration
	order           int
	queue           eventQueue
	state           *State
	leases          *lease.Tracker
	term            uint64
	leaderDownUntil time.Duration // until then no leader can be reached
	busyUntil       [3]time.Duration
	holders         []*lease.Holder
	appliedAt       []time.Duration // by dispatcher: when it applied the newest version
	proposalPending bool            // an entry about the current cordon is being committed
}

// after schedules an action.
func (v *simulation) after(d time.Duration, do func()) {
	v.order++
	heap.Push(&v.queue, event{v.now + d, v.order, do})
}

// messageDelay returns how long a message takes.
func (v *simulation) messageDelay() time.Duration {
	d := v.delay + time.Duration(v.rng.Float64()*float64(200*time.Microsecond))
	if v.rng.Float64() < v.loss {
		d += 200 * time.Millisecond
	}
	return d
}

// handlingDelay returns the time until a registrar has handled a message that has just arrived.
func (v *simulation) handlingDelay(registrar int) time.Duration {
	v.busyUntil[registrar] = max(v.busyUntil[registrar], v.now) + handlingTime
	return v.busyUntil[registrar] - v.now
}

// propose commits an entry: it is written by the leader and one other registrar, whose confirmation travels back.
func (v *simulation) propose(e Entry, done func(Result)) {
	e.Term = v.term
	v.after(writeTime+v.messageDelay()+v.messageDelay(), func() { done(v.state.Apply(e, v.term)) })
}

// applyNewest makes a dispatcher apply the newest version.
func (v *simulation) applyNewest(i int) {
	if newest := v.state.Ruleset.Document.Head.Version; v.holders[i].Version() < newest {
		v.holders[i].Advance(newest)
		v.appliedAt[i] = v.now
	}
}

// beat requests a lease. With once, it reports a new version and no other beat follows; otherwise the next beat is scheduled.
func (v *simulation) beat(i int, once bool) {
	sentAt, held := v.now, v.holders[i].Version()
	name := fmt.Sprint("n", i)
	repeat := func(d time.Duration) {
		if !once {
			v.after(d, func() { v.beat(i, false) })
		}
	}
	v.after(v.messageDelay(), func() {
		if v.now < v.leaderDownUntil { // its sender gives up after a beat interval
			v.after(terms.Beat, func() { v.beat(i, once) })
			return
		}
		v.after(v.handlingDelay(0), func() {
			v.leases.RecordBeat(v.now, name, v.state.Members[name].Incarnation, held, terms.Length)
			v.proposeDue()
			v.after(2*v.messageDelay()+v.messageDelay(), func() { // the proof of leadership and the way back
				before := v.holders[i].Version()
				v.applyNewest(i)
				v.holders[i].RecordGrant(sentAt, v.holders[i].Version(), terms.Length)
				if v.holders[i].Version() != before {
					v.beat(i, true)
				}
				repeat(terms.Beat)
			})
		})
	})
}

// proposeDue proposes a confirmation or activation that is due.
func (v *simulation) proposeDue() {
	if v.proposalPending {
		return
	}
	for _, e := range v.state.Due(LeaderView{Leases: v.leases, Now: v.now}) {
		if e.Confirm != nil || e.Activate != nil {
			v.proposalPending = true
			v.propose(e, func(r Result) {
				v.proposalPending = false
				if r.Step != nil {
					v.notifyWatches()
				}
			})
		}
	}
}

// notifyWatches sends a new version to the watches, a third of which are at each registrar.
func (v *simulation) notifyWatches() {
	for i := range v.holders {
		v.after(v.handlingDelay(i%3)+v.messageDelay(), func() {
			if before := v.holders[i].Version(); before < v.state.Ruleset.Document.Head.Version {
				v.applyNewest(i)
				v.beat(i, true)
			}
		})
	}
}

// runUntil runs events until done reports true. It returns false if that takes longer than the limit.
func (v *simulation) runUntil(done func() bool, limit time.Duration) bool {
	for end := v.now + limit; len(v.queue) > 0 && !done(); {
		h := heap.Pop(&v.queue).(event)
		if v.now = h.at; v.now > end {
			return false
		}
		h.do()
	}
	return true
}

// TestSimulatedCordonReach checks that every dispatcher applies a cordon within the staleness bound, with 300 dispatchers
// and, if -deep is set, with 1,000.
func TestSimulatedCordonReach(t *testing.T) {
	sizes, rounds := []int{300}, 4
	if *deep {
		sizes, rounds = []int{300, 1000}, 100
	}
	for _, n := range sizes {
		for name, c := range map[string]networkConditions{"clean": {}, "2% loss, 20 ms delay": {delay: 20 * time.Millisecond, loss: 0.02},
			"a leader killed each 10 s": {killInterval: 10 * time.Second}} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				t.Parallel()
				v := &simulation{networkConditions: c, rng: rand.New(rand.NewPCG(uint64(n), 1)), term: 1, state: New(cordon.Budget{Share: 1}, 1)}
				for i := range n {
					v.state.Apply(enrolEntry(fmt.Sprint("n", i), "t", lease.Hold), 1)
					v.holders = append(v.holders, &lease.Holder{Mode: lease.Hold})
					v.appliedAt = append(v.appliedAt, 0)
					v.after(time.Duration(v.rng.Float64()*float64(terms.Beat)), func() { v.beat(i, false) })
				}
				v.leases = lease.NewTracker(terms, 0)
				if c.killInterval > 0 {
					var kill func()
					kill = func() {
						v.leaderDownUntil = v.now + electionTime
						v.after(electionTime, func() {
							v.term++
							v.leases, v.proposalPending = lease.NewTracker(terms, v.now), false
						})
						v.after(c.killInterval, kill)
					}
					v.after(c.killInterval-500*time.Millisecond, kill)
				}
				v.runUntil(func() bool { return v.now > 5*time.Second }, time.Minute)
				var reachTimes, confirmTimes []time.Duration
				for i := range rounds {
					committedAt := time.Duration(-1)
					v.propose(Entry{ChangeRequest: &ruleset.ChangeRequest{Key: fmt.Sprint("c", i), BaseVersion: v.state.Ruleset.Document.Head.Version, Author: "a", Reason: "r",
						Forced: true, Changes: []ruleset.Change{cordonChange("a", 0)}}}, func(r Result) {
						if r.Refused != "" {
							t.Fatal(r.Refused)
						}
						committedAt = v.now
						v.notifyWatches()
					})
					if !v.runUntil(func() bool { _, ok := v.state.Confirmed["a"]; return ok }, time.Minute) {
						t.Fatal("not confirmed in a minute")
					}
					confirmTimes = append(confirmTimes, v.now-committedAt)
					slowest := time.Duration(0)
					for _, at := range v.appliedAt {
						slowest = max(slowest, at-committedAt)
					}
					if reachTimes = append(reachTimes, slowest); slowest > terms.StalenessBound() {
						t.Errorf("the last dispatcher applied the cordon after %v, D is %v", slowest, terms.StalenessBound())
					}
					v.propose(Entry{ChangeRequest: &ruleset.ChangeRequest{Key: fmt.Sprint("l", i), BaseVersion: v.state.Ruleset.Document.Head.Version, Author: "a", Reason: "r",
						Changes: []ruleset.Change{{Kind: ruleset.KindLift, Name: "a"}}}}, func(Result) { v.notifyWatches() })
					if !v.runUntil(func() bool { return len(v.state.Ruleset.Document.Rules.Cordons) == 0 }, time.Minute) {
						t.Fatal("not lifted in a minute")
					}
					at := v.now + time.Duration(v.rng.Float64()*float64(2*time.Second))
					v.runUntil(func() bool { return v.now >= at }, time.Minute)
				}
				slices.Sort(reachTimes)
				slices.Sort(confirmTimes)
				quantile := func(d []time.Duration, p float64) time.Duration {
					return d[min(len(d)-1, int(p*float64(len(d))))].Round(100 * time.Microsecond)
				}
				t.Logf("last attempt p50 %v, p99 %v, worst %v; confirmed p50 %v, p99 %v, worst %v of %d", quantile(reachTimes, 0.5), quantile(reachTimes, 0.99), quantile(reachTimes, 1),
					quantile(confirmTimes, 0.5), quantile(confirmTimes, 0.99), quantile(confirmTimes, 1), len(reachTimes))
			})
		}
	}
}
