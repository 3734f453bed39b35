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

// The virtual run plays cordons over many dispatchers with the same pure parts as the live tasks: each dispatcher has a
// watch at a registrar and beats at the leader, which handles one after another; messages take time and get lost, and
// leaders are killed. What a message costs is as it was seen live: 0.1 ms of the leader's time for a beat, and a watch.

type happening struct {
	at    time.Duration
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// conditions of a virtual run.
type conditions struct {
	delay time.Duration // one way
	loss  float64       // such messages come 200 ms later
	kills time.Duration // a leader is killed so often; 0: never
}

const (
	handling = 100 * time.Microsecond // of a beat by the leader, of a watch by its registrar
	writing  = time.Millisecond       // of an entry by a disk
	headless = 700 * time.Millisecond // without a leader after a kill
)

type virtual struct {
	conditions
	rng    *rand.Rand
	now    time.Duration
	order  int
	agenda agenda
	st     *State
	roll   *lease.Tracker
	term   uint64
	down   time.Duration // the leader can't be reached until then
	busy   [3]time.Duration
	disps  []*lease.Holder
	taken  []time.Duration // the newest version was taken in
	judged bool            // an entry on the present cordon is on its way
}

func (v *virtual) after(d time.Duration, do func()) {
	v.order++
	heap.Push(&v.agenda, happening{v.now + d, v.order, do})
}

// travel is how long a message takes.
func (v *virtual) travel() time.Duration {
	d := v.delay + time.Duration(v.rng.Float64()*float64(200*time.Microsecond))
	if v.rng.Float64() < v.loss {
		d += 200 * time.Millisecond
	}
	return d
}

// served is when a registrar has handled what has just come to it.
func (v *virtual) served(registrar int) time.Duration {
	v.busy[registrar] = max(v.busy[registrar], v.now) + handling
	return v.busy[registrar] - v.now
}

// agree has an entry agreed: written by the leader and one other, and told back.
func (v *virtual) agree(e Entry, done func(Result)) {
	e.Term = v.term
	v.after(writing+v.travel()+v.travel(), func() { done(v.st.Apply(e, v.term)) })
}

func (v *virtual) take(i int) {
	if newest := v.st.Book.Document.Head.Version; v.disps[i].Version() < newest {
		v.disps[i].Advance(newest)
		v.taken[i] = v.now
	}
}

// beat asks for a lease; once is for news, else another follows.
func (v *virtual) beat(i int, once bool) {
	asked, holds := v.now, v.disps[i].Version()
	name := fmt.Sprint("n", i)
	again := func(d time.Duration) {
		if !once {
			v.after(d, func() { v.beat(i, false) })
		}
	}
	v.after(v.travel(), func() {
		if v.now < v.down { // its sender gives up after a beat
			v.after(terms.Beat, func() { v.beat(i, once) })
			return
		}
		v.after(v.served(0), func() {
			v.roll.RecordBeat(v.now, name, v.st.Members[name].Incarnation, holds, terms.Length)
			v.due()
			v.after(2*v.travel()+v.travel(), func() { // a proof, and the way back
				before := v.disps[i].Version()
				v.take(i)
				v.disps[i].RecordGrant(asked, v.disps[i].Version(), terms.Length)
				if v.disps[i].Version() != before {
					v.beat(i, true)
				}
				again(terms.Beat)
			})
		})
	})
}

// due confirms and opens what can be.
func (v *virtual) due() {
	if v.judged {
		return
	}
	for _, e := range v.st.Due(LeaderView{Leases: v.roll, Now: v.now}) {
		if e.Confirm != nil || e.Activate != nil {
			v.judged = true
			v.agree(e, func(r Result) {
				v.judged = false
				if r.Step != nil {
					v.tell()
				}
			})
		}
	}
}

// tell brings a new version to the watches, a third of them at each registrar.
func (v *virtual) tell() {
	for i := range v.disps {
		v.after(v.served(i%3)+v.travel(), func() {
			if before := v.disps[i].Version(); before < v.st.Book.Document.Head.Version {
				v.take(i)
				v.beat(i, true)
			}
		})
	}
}

func (v *virtual) until(done func() bool, most time.Duration) bool {
	for end := v.now + most; len(v.agenda) > 0 && !done(); {
		h := heap.Pop(&v.agenda).(happening)
		if v.now = h.at; v.now > end {
			return false
		}
		h.do()
	}
	return true
}

// TestVirtualReach is the reach of cordons at 300 and 1,000 dispatchers.
func TestVirtualReach(t *testing.T) {
	sizes, rounds := []int{300}, 4
	if *deep {
		sizes, rounds = []int{300, 1000}, 100
	}
	for _, n := range sizes {
		for name, c := range map[string]conditions{"clean": {}, "2% loss, 20 ms delay": {delay: 20 * time.Millisecond, loss: 0.02},
			"a leader killed each 10 s": {kills: 10 * time.Second}} {
			t.Run(fmt.Sprint(n, " ", name), func(t *testing.T) {
				t.Parallel()
				v := &virtual{conditions: c, rng: rand.New(rand.NewPCG(uint64(n), 1)), term: 1, st: New(cordon.Budget{Share: 1}, 1)}
				for i := range n {
					v.st.Apply(enrol(fmt.Sprint("n", i), "t", lease.Hold), 1)
					v.disps = append(v.disps, &lease.Holder{Mode: lease.Hold})
					v.taken = append(v.taken, 0)
					v.after(time.Duration(v.rng.Float64()*float64(terms.Beat)), func() { v.beat(i, false) })
				}
				v.roll = lease.NewTracker(terms, 0)
				if c.kills > 0 {
					var kill func()
					kill = func() {
						v.down = v.now + headless
						v.after(headless, func() {
							v.term++
							v.roll, v.judged = lease.NewTracker(terms, v.now), false
						})
						v.after(c.kills, kill)
					}
					v.after(c.kills-500*time.Millisecond, kill)
				}
				v.until(func() bool { return v.now > 5*time.Second }, time.Minute)
				var last, confirm []time.Duration
				for i := range rounds {
					agreed := time.Duration(-1)
					v.agree(Entry{Ask: &ruleset.ChangeRequest{Key: fmt.Sprint("c", i), BaseVersion: v.st.Book.Document.Head.Version, Author: "a", Reason: "r",
						Forced: true, Changes: []ruleset.Change{closing("a", 0)}}}, func(r Result) {
						if r.Refused != "" {
							t.Fatal(r.Refused)
						}
						agreed = v.now
						v.tell()
					})
					if !v.until(func() bool { _, ok := v.st.Confirmed["a"]; return ok }, time.Minute) {
						t.Fatal("not confirmed in a minute")
					}
					confirm = append(confirm, v.now-agreed)
					late := time.Duration(0)
					for _, at := range v.taken {
						late = max(late, at-agreed)
					}
					if last = append(last, late); late > terms.StalenessBound() {
						t.Errorf("the last took it in after %v, D is %v", late, terms.StalenessBound())
					}
					v.agree(Entry{Ask: &ruleset.ChangeRequest{Key: fmt.Sprint("l", i), BaseVersion: v.st.Book.Document.Head.Version, Author: "a", Reason: "r",
						Changes: []ruleset.Change{{Kind: ruleset.KindLift, Name: "a"}}}}, func(Result) { v.tell() })
					if !v.until(func() bool { return len(v.st.Book.Document.Rules.Cordons) == 0 }, time.Minute) {
						t.Fatal("not lifted in a minute")
					}
					at := v.now + time.Duration(v.rng.Float64()*float64(2*time.Second))
					v.until(func() bool { return v.now >= at }, time.Minute)
				}
				slices.Sort(last)
				slices.Sort(confirm)
				q := func(d []time.Duration, p float64) time.Duration {
					return d[min(len(d)-1, int(p*float64(len(d))))].Round(100 * time.Microsecond)
				}
				t.Logf("last attempt p50 %v, p99 %v, worst %v; confirmed p50 %v, p99 %v, worst %v of %d", q(last, 0.5), q(last, 0.99), q(last, 1),
					q(confirm, 0.5), q(confirm, 0.99), q(confirm, 1), len(last))
			})
		}
	}
}
