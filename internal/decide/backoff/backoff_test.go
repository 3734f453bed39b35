package backoff

import (
	"container/heap"
	"testing"
	"time"

	"merlinarch/logic"
)

func shared(self, peers int) logic.Settings {
	return logic.Settings{Self: self, RouterCount: peers, WatchDiscovery: true, WatchWithin: 10 * time.Second}
}

// call is one that a router makes.
type call struct {
	at     time.Duration
	router int
}

type calls []call

func (c calls) Len() int           { return len(c) }
func (c calls) Less(i, j int) bool { return c[i].at < c[j].at }
func (c calls) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *calls) Push(x any)        { *c = append(*c, x.(call)) }
func (c *calls) Pop() any          { old := *c; x := old[len(old)-1]; *c = old[:len(old)-1]; return x }

// desk is a service that takes one call from each of so many routers in a full time; calls wait in turn, and the time
// that it spends on one whose caller has stopped waiting is lost.
type desk struct{ each, patience, free time.Duration }

// take gives the moment of the answer, and whether that comes while it is waited for.
func (d *desk) take(at time.Duration) (ends time.Duration, answered bool) {
	d.free = max(d.free, at) + d.each
	if d.free > at+d.patience {
		return at + d.patience, false
	}
	return d.free, true
}

// heardAt plays routers that all start at zero and call until they are answered, up to an end; it returns how many had
// heard by then, and the moment of the last.
func heardAt(rule func(self int) Policy, peers int, full, end time.Duration) (heard int, latest time.Duration) {
	paces, queue := make([]*Pacer, peers), calls{}
	for i := range peers {
		paces[i] = New(rule(i), false)
		queue = append(queue, call{paces[i].InitialDelay(), i})
	}
	heap.Init(&queue)
	d := desk{each: full / time.Duration(peers), patience: 2 * time.Second}
	for len(queue) > 0 && queue[0].at < end {
		c := heap.Pop(&queue).(call)
		ends, answered := d.take(c.at)
		if answered {
			heard, latest = heard+1, max(latest, ends)
			continue
		}
		pause, _ := paces[c.router].RecordFailure()
		heap.Push(&queue, call{ends + pause, c.router})
	}
	return heard, latest
}

// Danger: discovery takes one call from every router in 2 to 8 s. Routers that all call at once, and again within 2 s
// where they get no answer, keep it busy with calls that nobody waits for any more: on herd+vast none of 80 heard from
// it in 40 s, and none voted on a build before its stage's longest time was over.
func TestFleetThatStartsAtOnceIsHeard(t *testing.T) {
	for _, peers := range []int{20, 80, 300} {
		for _, full := range []time.Duration{2 * time.Second, 5 * time.Second, 8 * time.Second} {
			rule := func(i int) Policy { return ForDiscovery(shared(i, peers), uint64(i)+1) }
			if heard, latest := heardAt(rule, peers, full, 20*time.Second); heard < peers {
				t.Errorf("%d routers, %v for a call from each: %d heard, the last at %v", peers, full, heard, latest)
			}
		}
	}
	// The former way: at once, then in pauses from 0.1 to 2 s that all routers share.
	atOnce := func(i int) Policy { return Policy{FirstPause: first, MaxPause: last, Seed: 1} }
	if heard, _ := heardAt(atOnce, 300, 8*time.Second, 20*time.Second); heard > 150 {
		t.Errorf("without a window %d of 300 heard: the play shows no storm", heard)
	}
}

// After seven in ten are killed and start together, no part of the window is crowded.
func TestPlacesAreSpreadWhoeverStarts(t *testing.T) {
	const peers, parts = 300, 10
	for step := 1; step <= 10; step++ { // each router, every second one, ...
		seen, n := [parts]int{}, 0
		for i := 0; i < peers; i += step {
			p := New(ForDiscovery(shared(i, peers), 7), false)
			seen[int(float64(parts)*float64(p.InitialDelay())/float64(8*time.Second))]++
			n++
		}
		for part, have := range seen {
			if have > 2*n/parts+1 {
				t.Errorf("every %d-th router: %d of %d in part %d", step, have, n, part)
			}
		}
	}
}

// Danger: after a move the changes count as told 4 s later, whether they were heard or not.
func TestMoveLeavesTimeToHear(t *testing.T) {
	for i := range 300 {
		if at := New(ForDiscovery(shared(i, 300), 7), true).InitialDelay(); at > 3*time.Second {
			t.Errorf("router %d calls %v after a move", i, at)
		}
	}
}

// Where an agent of its own answers, or there is one router, nothing is shared: the first call comes at once, and the
// next ones in growing pauses that are not the same at two routers.
func TestNothingSharedNothingWaits(t *testing.T) {
	pushed, alone := shared(5, 300), shared(0, 1)
	pushed.WatchDiscovery = false
	for _, s := range []logic.Settings{pushed, alone} {
		p, q := New(ForDiscovery(s, 1), false), New(ForDiscovery(s, 2), false)
		if p.InitialDelay() != 0 {
			t.Errorf("the first call waits %v", p.InitialDelay())
		}
		same := 0
		for i := range 12 {
			want := min(first<<i, last)
			a, isFirst := p.RecordFailure()
			b, _ := q.RecordFailure()
			if a < want/2 || a > want || isFirst != (i == 0) {
				t.Errorf("failure %d: pause %v of %v, the first: %v", i, a, want, isFirst)
			}
			if a == b {
				same++
			}
		}
		if same > 0 {
			t.Errorf("two routers shared %d pauses", same)
		}
		if !p.RecordSuccess() || p.RecordSuccess() {
			t.Error("the end of a row is told once")
		}
		if again, isFirst := p.RecordFailure(); !isFirst || again > first {
			t.Errorf("a new row begins with %v, first: %v", again, isFirst)
		}
	}
}

// A call that failed comes again before changes count as told: four times the time in which all have to ask.
func TestPausesStayWithinWhatIsGranted(t *testing.T) {
	p := New(ForDiscovery(shared(1, 300), 3), false)
	for range 100 {
		if pause, _ := p.RecordFailure(); pause > 20*time.Second {
			t.Fatalf("pause %v", pause)
		}
	}
}

// Danger: what discovery tells when it is back counts as told at once; who pauses for longer than a drain's grace then goes
// on sending to hosts that drain.
func TestPausesEndBeforeADrainsGrace(t *testing.T) {
	for _, grace := range []time.Duration{400 * time.Millisecond, time.Second, 2 * time.Second, time.Minute} {
		p := New(ForDiscovery(logic.Settings{RouterCount: 300, DrainGrace: grace}, 1), false)
		for i := range 20 {
			if pause, _ := p.RecordFailure(); pause > grace/2 || pause > last || pause <= 0 {
				t.Errorf("grace %v, failure %d: pause %v", grace, i, pause)
			}
		}
	}
}
