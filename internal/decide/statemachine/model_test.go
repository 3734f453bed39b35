package statemachine

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinarch/internal/decide/cordon"
	"merlinarch/internal/decide/lease"
	"merlinarch/internal/decide/ruleset"
)

// The model check plays the decisions of this package, lease and rulebook in virtual time: all interleavings, up to told
// bounds, of askings that are sent, heard late, twice or never, of proofs and grants, of leaders that are replaced and go
// on believing that they lead, of dispatchers that stand still or are killed, and of operators. Agreement itself is taken
// from the library: an entry is agreed if its proposer leads when it is. Each guard is removed in turn, and the removal
// has to be found.

var deep = flag.Bool("deep", false, "model check up to the bounds of docs/accord.md, for minutes")

// unit is a tick of true time. Clocks run at 3/4 and 5/4 of it, and leases last whole ticks.
const unit = time.Second

var modelTerms = lease.Terms{Length: 2 * unit, Longest: 2 * unit, Beat: unit, Send: unit, Drift: 0.25}

// guards are what may be removed.
type removedGuards struct {
	checkOnlyOnArrival bool // the lease is checked when a request arrives, not when its bytes go out
	ignoreDrift        bool // leaders wait as if clocks ran alike
	newLeaderSkipsWait bool // a new leader counts leases it never heard of as over
	activateEarly      bool // a widening is opened as soon as it is agreed
	lapseCountsInServe bool // a lapse counts for who serves without a lease
	acceptOtherTerm    bool // what a deposed leader judged is agreed by its successor
	grantWithoutProof  bool // grants without proof of leadership
	countFromArrival   bool // a lease counts from when its grant arrives
	forgetIncarnations bool // a restart wipes out the earlier life
}

// limits of a play.
type bounds struct {
	lastTick      int // ticks
	leaderChanges int // changes of leaders
	restarts      int
	duplicates    int // askings heard twice
	beats, sends  int
	dispatchers   int
	serveMode     bool // the first dispatcher serves without a lease
	liftsCordon   bool
}

type beat struct {
	pending     bool
	incarnation uint64
	held        uint64
	sentAt      time.Duration // by its sender's clock
	receivedBy  int           // 0: nobody yet; else the registrar + 1, where it waits for its proof
	granted     uint64        // granted; 0: not yet
	grantedOpen bool          // the granted version lets the server be used
}

type dispatcher struct {
	name           string
	slowClock      bool // its clock
	incarnation    uint64
	holder         lease.Holder
	version        uint64 // version acted on
	serverOpen     bool   // it lets the server be used
	beat           beat
	delayedBeat    beat   // an earlier one that the network still has
	sendingTicks   int    // ticks since the check; -1: nothing
	checkedVersion uint64 // version of the check
	checkedStale   bool   // checked without a lease, in mode serve
}

type registrar struct {
	term              uint64 // it believes to lead; 0: it does not
	leases            *lease.Tracker
	proposed          *Entry // on its way to agreement
	proposedAtVersion uint64
}

type world struct {
	now               int
	state             *State
	agreedAt          [8]int // by version: the tick; versions beyond are not reached
	leader            int
	term              uint64
	registrars        [2]registrar
	dispatchers       [2]dispatcher
	activeDispatchers int // of disps
	leaderChanges     int
	restarts          int
	duplicates        int
	beats             int
	sends             int
	parent            *world
	action            string
}

type model struct {
	removedGuards
	bounds
	terms     lease.Terms     // as leaders reckon with
	seen      map[uint64]bool // by a hash of the world: a collision would pass over one, with a chance of a millionth in all
	violation string
}

// The first dispatcher's clock is slow, the registrars' are fast: what a lease's end is hardest on.
func (d *dispatcher) clock(now int) time.Duration {
	if d.slowClock {
		return time.Duration(now) * unit * 3 / 4
	}
	return time.Duration(now) * unit * 5 / 4
}
func (m *model) registrarClock(now int) time.Duration { return time.Duration(now) * unit * 5 / 4 }

func cloneState(s *State) *State {
	c := *s
	c.Book = s.Book.Clone()
	c.Members, c.Confirmed, c.CordonVersions = maps.Clone(s.Members), maps.Clone(s.Confirmed), maps.Clone(s.CordonVersions)
	c.RemainingMs = maps.Clone(s.RemainingMs)
	return &c
}

// apply has an entry agreed.
func (m *model) apply(w *world, e Entry) Result {
	w.state = cloneState(w.state)
	term := w.term
	if m.acceptOtherTerm {
		term = e.Term
	}
	r := w.state.Apply(e, term)
	if v := w.state.Book.Document.Head.Version; r.Step != nil && v < uint64(len(w.agreedAt)) {
		w.agreedAt[v] = w.now
	}
	return r
}

func (w *world) isServerOpen() bool { return ruleset.NewView(w.state.Book.Document).Open("a", 0) }

func (w *world) hash() uint64 {
	h := xxhash.New()
	var buf []byte
	appendInts := func(v ...int64) {
		for _, x := range v {
			buf = strconv.AppendInt(buf, x, 36)
			buf = append(buf, ',')
		}
	}
	appendBool := func(v bool) {
		if v {
			appendInts(1)
		} else {
			appendInts(0)
		}
	}
	appendInts(int64(w.now), int64(w.activeDispatchers), int64(w.leader), int64(w.term), int64(w.leaderChanges), int64(w.restarts), int64(w.duplicates), int64(w.beats), int64(w.sends))
	appendInts(int64(w.state.Book.Document.Head.Version), int64(w.state.Book.Ready()), int64(len(w.state.Confirmed)), int64(len(w.state.Book.Document.Rules.Cordons)))
	for _, at := range w.agreedAt {
		appendInts(int64(at))
	}
	for _, name := range []string{"n0", "n1"} {
		appendInts(int64(w.state.Members[name].Incarnation), int64(len(w.state.Members[name].FormerIncarnations)))
	}
	for i := range w.dispatchers {
		d := &w.dispatchers[i]
		left, _ := d.holder.Remaining(0)
		appendInts(int64(d.incarnation), int64(d.holder.Version()), int64(left), int64(d.version), int64(d.sendingTicks), int64(d.checkedVersion))
		appendBool(d.serverOpen)
		appendBool(d.checkedStale)
		for _, a := range []beat{d.beat, d.delayedBeat} {
			appendBool(a.pending)
			appendBool(a.grantedOpen)
			appendInts(int64(a.incarnation), int64(a.held), int64(a.sentAt), int64(a.receivedBy), int64(a.granted))
		}
	}
	for i := range w.registrars {
		r := &w.registrars[i]
		appendInts(int64(r.term))
		if r.leases != nil {
			for _, x := range r.leases.Stragglers(0, w.state.Members, 1<<62) {
				appendInts(int64(x.Incarnation), int64(x.Version), int64(x.Remaining))
			}
		}
		if r.proposed != nil {
			appendBool(r.proposed.Activate != nil)
			appendInts(int64(r.proposedAtVersion))
		}
	}
	h.Write(buf)
	return h.Sum64()
}

// steps are all worlds that one action leads to.
func (m *model) successors(w *world) []*world {
	var out []*world
	next := func(action string, change func(x *world)) {
		x := *w
		x.parent, x.action = w, action
		change(&x)
		out = append(out, &x)
	}
	// Time goes on, unless a send that was checked has to go out first.
	sendIsDue := false
	for i := range w.activeDispatchers {
		sendIsDue = sendIsDue || w.dispatchers[i].sendingTicks >= int(modelTerms.Send/unit) && !m.checkOnlyOnArrival
	}
	if !sendIsDue && w.now < m.lastTick {
		next("a tick", func(x *world) {
			x.now++
			for i := range x.activeDispatchers {
				if x.dispatchers[i].sendingTicks >= 0 {
					x.dispatchers[i].sendingTicks++
				}
			}
		})
	}
	for i := range w.activeDispatchers {
		m.addDispatcherSteps(w, i, next)
	}
	for i := range w.registrars {
		m.addRegistrarSteps(w, i, next)
	}
	if w.leaderChanges < m.leaderChanges {
		next("another leader", func(x *world) {
			x.leaderChanges++
			x.term++
			x.leader = 1 - x.leader
			startedAt := m.registrarClock(x.now)
			if m.newLeaderSkipsWait {
				startedAt -= m.terms.ExpiryWait(m.terms.Longest)
			}
			x.registrars[x.leader] = registrar{term: x.term, leases: lease.NewTracker(m.terms, startedAt)}
		})
	}
	// Operators.
	if w.state.Book.Document.Head.Version == 1 {
		next("cordon agreed", func(x *world) { m.apply(x, operatorEntry(w, "c", cordonChange("a", 0))) })
	} else if _, exists := w.state.Book.Document.Rules.Cordons["a"]; m.liftsCordon && exists && w.state.Book.Ready() == 0 {
		next("lifting agreed", func(x *world) {
			m.apply(x, operatorEntry(w, "l", ruleset.Change{Kind: ruleset.KindLift, Name: "a"}))
		})
	}
	return out
}

func operatorEntry(w *world, key string, c ruleset.Change) Entry {
	return Entry{Term: w.term, At: 1, Ask: &ruleset.Ask{Key: key, Base: w.state.Book.Document.Head.Version, Author: "a", Reason: "r", Forced: true,
		Changes: []ruleset.Change{c}}}
}

func (m *model) addDispatcherSteps(w *world, i int, next func(string, func(*world))) {
	d, name := &w.dispatchers[i], w.dispatchers[i].name
	local := d.clock(w.now)
	if !d.beat.pending && w.beats < m.beats {
		next(name+" asks", func(x *world) {
			x.beats++
			x.dispatchers[i].beat = beat{pending: true, incarnation: d.incarnation, held: d.holder.Version(), sentAt: local}
		})
	} else if d.beat.pending && d.beat.granted != 0 {
		next(name+" gets its grant", func(x *world) {
			y := &x.dispatchers[i]
			if y.beat.granted > y.version {
				y.version, y.serverOpen = y.beat.granted, y.beat.grantedOpen
				if !y.serverOpen { // the gate breaks off what the new version forbids
					y.sendingTicks = -1
				}
			}
			y.holder.Advance(y.version)
			from := y.beat.sentAt
			if m.countFromArrival {
				from = local
			}
			y.holder.RecordGrant(from, y.beat.granted, modelTerms.Length)
			y.beat = beat{}
		})
	} else if d.beat.pending && d.beat.receivedBy == 0 && !d.delayedBeat.pending && w.duplicates < m.duplicates {
		next(name+"'s asking is kept back, and sent again", func(x *world) {
			y := &x.dispatchers[i]
			y.delayedBeat, y.beat = y.beat, beat{}
			x.duplicates++
		})
	}
	permission := d.holder.Permission(local)
	if d.sendingTicks < 0 && d.serverOpen && permission != lease.None && w.sends < m.sends {
		next(name+" checks", func(x *world) {
			x.sends++
			x.dispatchers[i].sendingTicks, x.dispatchers[i].checkedVersion, x.dispatchers[i].checkedStale = 0, d.version, permission == lease.Stale
		})
	}
	if d.sendingTicks >= 0 {
		next(name+" sends", func(x *world) {
			x.dispatchers[i].sendingTicks = -1
			_, exists := x.state.Book.Document.Rules.Cordons["a"]
			if _, confirmed := x.state.Confirmed["a"]; confirmed && exists {
				m.violation = name + " sends where a cordon is confirmed"
			}
			for v := d.checkedVersion + 1; v < uint64(len(x.agreedAt)) && !d.checkedStale; v++ {
				if at := x.agreedAt[v]; at >= 0 && time.Duration(x.now-at)*unit > modelTerms.StalenessBound() {
					m.violation = fmt.Sprintf("%s sends under version %d, %d ticks after version %d was agreed", name, d.checkedVersion, x.now-at, v)
				}
			}
		})
	}
	if w.restarts < m.restarts && w.activeDispatchers == 1 {
		next(name+" is taken for dead, and started anew", func(x *world) {
			x.restarts++
			r := m.apply(x, Entry{Term: x.term, Enrol: &Enrol{Name: name, Token: fmt.Sprint("again", x.restarts), Mode: d.holder.Mode}})
			if m.forgetIncarnations {
				y := x.state.Members[name]
				y.FormerIncarnations = nil
				x.state.Members[name] = y
			}
			x.dispatchers[1], x.activeDispatchers = dispatcher{name: name, incarnation: r.Incarnation, holder: lease.Holder{Mode: d.holder.Mode}, sendingTicks: -1}, 2
		})
	}
}

func (m *model) addRegistrarSteps(w *world, i int, next func(string, func(*world))) {
	r := &w.registrars[i]
	if r.term == 0 {
		return
	}
	name, local := fmt.Sprintf("r%d", i), m.registrarClock(w.now)
	isLeader := i == w.leader
	for j := range w.activeDispatchers {
		for _, delayed := range []bool{false, true} {
			a := &w.dispatchers[j].beat
			if delayed {
				a = &w.dispatchers[j].delayedBeat
			}
			beatOf := func(x *world) *beat {
				if delayed {
					return &x.dispatchers[j].delayedBeat
				}
				return &x.dispatchers[j].beat
			}
			if !a.pending || a.granted != 0 {
				continue
			}
			member := w.dispatchers[j].name
			if a.receivedBy == 0 {
				next(fmt.Sprintf("%s hears %s", name, member), func(x *world) {
					y := &x.registrars[i]
					y.leases = y.leases.Clone()
					y.leases.RecordBeat(local, member, a.incarnation, a.held, modelTerms.Length)
					if beatOf(x).receivedBy = i + 1; delayed {
						*beatOf(x) = beat{} // its sender does not wait for this one any more
					}
				})
			} else if a.receivedBy == i+1 && (isLeader || m.grantWithoutProof) {
				next(fmt.Sprintf("%s grants %s", name, member), func(x *world) {
					if x.state.Members[member].Incarnation != a.incarnation {
						*beatOf(x) = beat{}
						return
					}
					beatOf(x).granted, beatOf(x).grantedOpen = x.state.Book.Document.Head.Version, x.isServerOpen()
					if m.grantWithoutProof && !isLeader { // what it knows may be old: it grants what the asker holds
						beatOf(x).granted, beatOf(x).grantedOpen = max(1, a.held), a.held < 2
					}
				})
			}
		}
	}
	if r.proposed == nil {
		for _, e := range m.dueEntries(w, r, local) {
			e.Term = r.term
			kind := "opening"
			if e.Confirm != nil {
				kind = "confirmation"
			}
			next(fmt.Sprintf("%s judges: %s", name, kind), func(x *world) {
				x.registrars[i].proposed, x.registrars[i].proposedAtVersion = &e, x.state.Book.Document.Head.Version
			})
		}
	} else if isLeader || m.acceptOtherTerm {
		next(fmt.Sprintf("what %s judged is agreed", name), func(x *world) {
			m.apply(x, *r.proposed)
			x.registrars[i].proposed = nil
		})
	}
}

// due is what a registrar that believes to lead finds due.
func (m *model) dueEntries(w *world, r *registrar, local time.Duration) []Entry {
	st := w.state
	if m.lapseCountsInServe {
		st = cloneState(st)
		for name, x := range st.Members {
			x.Mode = lease.Hold
			st.Members[name] = x
		}
	}
	due := st.Due(LeaderView{Leases: r.leases, Now: local})
	if v := st.Book.Ready(); m.activateEarly && v > 0 {
		due = append(due, Entry{Activate: &Activate{Version: v}})
	}
	return slices.DeleteFunc(due, func(e Entry) bool { return e.Confirm == nil && e.Activate == nil })
}

// contradicts finds a dispatcher that acts on what was opened, while another holds a lease on a version from before it
// was announced.
func (m *model) checkActivation(w *world) {
	opens := w.state.Book.Document.Head.Opens
	if opens == 0 {
		return
	}
	for i := range w.activeDispatchers {
		d := &w.dispatchers[i]
		if _, hasLease := d.holder.Remaining(d.clock(w.now)); hasLease && d.holder.Version() < opens {
			m.violation = fmt.Sprintf("n%d holds a lease on version %d while what version %d announced is in force", i, d.holder.Version(), opens)
		}
	}
}

// play goes through all interleavings, the shortest first, and gives the number of states and a trace to what is broken.
func (m *model) explore() (states int, trace []string) {
	st := New(cordon.Budget{Share: 1}, 1)
	w := &world{state: st, term: 1, agreedAt: [8]int{0, 0, -1, -1, -1, -1, -1, -1}}
	for i := range w.dispatchers {
		w.dispatchers[i].sendingTicks = -1
	}
	w.activeDispatchers = m.dispatchers
	for i := range m.dispatchers {
		w.dispatchers[i].name, w.dispatchers[i].slowClock = fmt.Sprintf("n%d", i), i == 0
		mode := lease.Hold
		if m.serveMode && i == 0 {
			mode = lease.Serve
		}
		r := st.Apply(Entry{Term: 1, Enrol: &Enrol{Name: fmt.Sprintf("n%d", i), Token: "t", Mode: mode}}, 1)
		w.dispatchers[i].incarnation, w.dispatchers[i].holder.Mode = r.Incarnation, mode
	}
	w.registrars[0] = registrar{term: 1, leases: lease.NewTracker(m.terms, -m.terms.ExpiryWait(m.terms.Longest))}
	m.seen = map[uint64]bool{w.hash(): true}
	queue := []*world{w}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, x := range m.successors(at) {
			if m.checkActivation(x); m.violation != "" {
				for y := x; y.parent != nil; y = y.parent {
					trace = append(trace, fmt.Sprintf("%d: %s", y.now, y.action))
				}
				slices.Reverse(trace)
				return len(m.seen), append(trace, m.violation)
			}
			if k := x.hash(); !m.seen[k] {
				m.seen[k] = true
				queue = append(queue, x)
			}
		}
	}
	return len(m.seen), nil
}

var scenarios = map[string]bounds{
	"one dispatcher, two leaders": {lastTick: 6, leaderChanges: 2, dispatchers: 1, beats: 2, sends: 1},
	"askings doubled":             {lastTick: 6, leaderChanges: 1, duplicates: 1, dispatchers: 1, beats: 3, sends: 1},
	"restart":                     {lastTick: 6, restarts: 1, dispatchers: 1, beats: 2, sends: 1},
	"serve":                       {lastTick: 5, leaderChanges: 1, dispatchers: 1, serveMode: true, beats: 2, sends: 1},
	"two dispatchers, lifted":     {lastTick: 5, dispatchers: 2, liftsCordon: true, beats: 3, sends: 0},
}

func TestModel(t *testing.T) {
	for name, b := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if !*deep { // what is found, is found early; all of it takes minutes
				b.lastTick -= 3
			}
			m := &model{bounds: b, terms: modelTerms}
			began := time.Now()
			states, trace := m.explore()
			if trace != nil {
				t.Errorf("after %d states: %s", states, strings.Join(trace, "; "))
			}
			t.Logf("%d states in %v", states, time.Since(began).Round(time.Millisecond))
		})
	}
}

// Each guard removed is found.
func TestModelFindsRemovedGuards(t *testing.T) {
	for name, c := range map[string]struct {
		removedGuards
		play string
	}{
		"lease checked only on arrival":          {removedGuards{checkOnlyOnArrival: true}, "one dispatcher, two leaders"},
		"drift left out":                         {removedGuards{ignoreDrift: true}, "one dispatcher, two leaders"},
		"new leader that does not wait":          {removedGuards{newLeaderSkipsWait: true}, "one dispatcher, two leaders"},
		"opened before all have it":              {removedGuards{activateEarly: true}, "two dispatchers, lifted"},
		"confirmed on a lapse in serve":          {removedGuards{lapseCountsInServe: true}, "serve"},
		"judged in one term, agreed in another":  {removedGuards{acceptOtherTerm: true}, "one dispatcher, two leaders"},
		"granted without proof of leadership":    {removedGuards{grantWithoutProof: true}, "one dispatcher, two leaders"},
		"lease counted from its grant's arrival": {removedGuards{countFromArrival: true}, "one dispatcher, two leaders"},
		"earlier life forgotten at a restart":    {removedGuards{forgetIncarnations: true}, "restart"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &model{removedGuards: c.removedGuards, bounds: scenarios[c.play], terms: modelTerms}
			if m.ignoreDrift {
				m.terms.Drift = 0
			}
			began := time.Now()
			states, trace := m.explore()
			if trace == nil {
				t.Fatalf("not found in %d states, %v", states, time.Since(began))
			}
			t.Logf("found after %d states in %v, %d steps: %s", states, time.Since(began).Round(time.Millisecond), len(trace)-1, strings.Join(trace, "; "))
		})
	}
}
