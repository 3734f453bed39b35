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

// The model check explores the decisions of the packages statemachine, lease and ruleset in virtual time. Up to given bounds
// it covers all interleavings of beats that are sent and received late, twice or never; of proofs of leadership and grants;
// of leaders that are replaced and still believe that they lead; of dispatchers that are paused or killed; and of
// operators. Consensus itself is left to the Raft library: an entry is committed if its proposer leads at that time. Each
// guard is removed in turn, and the check has to detect it.

var deep = flag.Bool("deep", false, "run the model check up to the bounds of docs/accord.md, which takes minutes")

// unit is one tick of true time. Clocks run at 3/4 and 5/4 of true time, and leases last whole ticks.
const unit = time.Second

var modelTerms = lease.Terms{Length: 2 * unit, Longest: 2 * unit, Beat: unit, Send: unit, Drift: 0.25}

// removedGuards tells which guards are removed.
type removedGuards struct {
	checkOnlyOnArrival bool // the lease is checked when a request arrives, but not when its bytes are sent
	ignoreDrift        bool // leaders wait as if all clocks ran at the same rate
	newLeaderSkipsWait bool // a new leader counts leases that it does not know of as expired
	activateEarly      bool // a change that permits more comes into force as soon as it is committed
	lapseCountsInServe bool // the expiry of its lease counts for a dispatcher in mode serve
	acceptOtherTerm    bool // an entry proposed by a deposed leader is committed in its successor's term
	grantWithoutProof  bool // leases are granted without proof of leadership
	countFromArrival   bool // a lease runs from the arrival of its grant
	forgetIncarnations bool // a restart removes the earlier incarnation from the state
}

// bounds limits an exploration.
type bounds struct {
	lastTick      int
	leaderChanges int
	restarts      int
	duplicates    int // beats received twice
	beats, sends  int
	dispatchers   int
	serveMode     bool // the first dispatcher is in mode serve
	liftsCordon   bool
}

// beat is a dispatcher's request for a lease, and the grant for it.
type beat struct {
	pending     bool
	incarnation uint64
	held        uint64        // version that its sender had applied
	sentAt      time.Duration // by its sender's clock
	receivedBy  int           // 0: no registrar yet; otherwise the index of the registrar + 1, which has to prove its leadership
	granted     uint64        // version of the grant; 0: not granted yet
	grantedOpen bool          // whether the granted version permits the use of the server
}

// dispatcher is the state of one dispatcher process.
type dispatcher struct {
	name           string
	slowClock      bool
	incarnation    uint64
	holder         lease.Holder
	version        uint64 // version that it acts on
	serverOpen     bool   // whether that version permits the use of the server
	beat           beat
	delayedBeat    beat   // an earlier beat that the network still delays
	sendingTicks   int    // ticks since the check of an attempt that is being sent; -1: none
	checkedVersion uint64 // version at that check
	checkedStale   bool   // checked in mode serve, without a lease
}

// registrar is the state of one registrar that leads or believes to lead.
type registrar struct {
	term              uint64 // term in which it believes to lead; 0: none
	leases            *lease.Tracker
	proposed          *Entry // proposed and not yet committed
	proposedAtVersion uint64
}

// world is one state of the model, with the action that led to it.
type world struct {
	now               int
	state             *State
	committedAt       [8]int // by version: the tick of its commit; later versions are not reached
	leader            int
	term              uint64
	registrars        [2]registrar
	dispatchers       [2]dispatcher
	activeDispatchers int // number of dispatchers in use
	leaderChanges     int
	restarts          int
	duplicates        int
	beats             int
	sends             int
	parent            *world
	action            string
}

// model explores all worlds within its bounds.
type model struct {
	removedGuards
	bounds
	terms     lease.Terms     // terms that the leaders use
	seen      map[uint64]bool // by hash of the world; the probability that a collision hides any world is a millionth in all
	violation string
}

// clock returns the dispatcher's local time. The first dispatcher's clock is slow and those of the registrars are fast, which
// is the worst case for the expiry of a lease.
func (d *dispatcher) clock(now int) time.Duration {
	if d.slowClock {
		return time.Duration(now) * unit * 3 / 4
	}
	return time.Duration(now) * unit * 5 / 4
}
func (m *model) registrarClock(now int) time.Duration { return time.Duration(now) * unit * 5 / 4 }

// cloneState copies what the entries of the model change.
func cloneState(s *State) *State {
	c := *s
	c.Ruleset = s.Ruleset.Clone()
	c.Members, c.Confirmed, c.CordonVersions = maps.Clone(s.Members), maps.Clone(s.Confirmed), maps.Clone(s.CordonVersions)
	c.RemainingMs = maps.Clone(s.RemainingMs)
	return &c
}

// apply commits an entry and applies it.
func (m *model) apply(w *world, e Entry) Result {
	w.state = cloneState(w.state)
	term := w.term
	if m.acceptOtherTerm {
		term = e.Term
	}
	r := w.state.Apply(e, term)
	if v := w.state.Ruleset.Document.Head.Version; r.Step != nil && v < uint64(len(w.committedAt)) {
		w.committedAt[v] = w.now
	}
	return r
}

// isServerOpen reports whether the newest version permits the use of the server.
func (w *world) isServerOpen() bool {
	return ruleset.NewView(w.state.Ruleset.Document).AllowsNewWork("a", 0)
}

// hash identifies a world, whichever way led to it.
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
	appendInts(int64(w.state.Ruleset.Document.Head.Version), int64(w.state.Ruleset.NewestPending()), int64(len(w.state.Confirmed)), int64(len(w.state.Ruleset.Document.Rules.Cordons)))
	for _, at := range w.committedAt {
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

// successors returns the worlds that a single action can lead to.
func (m *model) successors(w *world) []*world {
	var out []*world
	next := func(action string, change func(x *world)) {
		x := *w
		x.parent, x.action = w, action
		change(&x)
		out = append(out, &x)
	}
	// Time advances, unless an attempt that was checked has to be sent first.
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
	if w.state.Ruleset.Document.Head.Version == 1 {
		next("cordon committed", func(x *world) { m.apply(x, operatorEntry(w, "c", cordonChange("a", 0))) })
	} else if _, exists := w.state.Ruleset.Document.Rules.Cordons["a"]; m.liftsCordon && exists && w.state.Ruleset.NewestPending() == 0 {
		next("lifting committed", func(x *world) {
			m.apply(x, operatorEntry(w, "l", ruleset.Change{Kind: ruleset.KindLift, Name: "a"}))
		})
	}
	return out
}

// operatorEntry returns the entry of an operator's change.
func operatorEntry(w *world, key string, c ruleset.Change) Entry {
	return Entry{Term: w.term, At: 1, ChangeRequest: &ruleset.ChangeRequest{Key: key, BaseVersion: w.state.Ruleset.Document.Head.Version, Author: "a", Reason: "r", Forced: true,
		Changes: []ruleset.Change{c}}}
}

// addDispatcherSteps adds the actions of one dispatcher.
func (m *model) addDispatcherSteps(w *world, i int, next func(string, func(*world))) {
	d, name := &w.dispatchers[i], w.dispatchers[i].name
	local := d.clock(w.now)
	if !d.beat.pending && w.beats < m.beats {
		next(name+" sends a beat", func(x *world) {
			x.beats++
			x.dispatchers[i].beat = beat{pending: true, incarnation: d.incarnation, held: d.holder.Version(), sentAt: local}
		})
	} else if d.beat.pending && d.beat.granted != 0 {
		next(name+" receives its grant", func(x *world) {
			y := &x.dispatchers[i]
			if y.beat.granted > y.version {
				y.version, y.serverOpen = y.beat.granted, y.beat.grantedOpen
				if !y.serverOpen { // the dispatcher cancels what the new version forbids
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
		next(name+"'s beat is delayed, and sent again", func(x *world) {
			y := &x.dispatchers[i]
			y.delayedBeat, y.beat = y.beat, beat{}
			x.duplicates++
		})
	}
	permission := d.holder.Permission(local)
	if d.sendingTicks < 0 && d.serverOpen && permission != lease.None && w.sends < m.sends {
		next(name+" checks its lease", func(x *world) {
			x.sends++
			x.dispatchers[i].sendingTicks, x.dispatchers[i].checkedVersion, x.dispatchers[i].checkedStale = 0, d.version, permission == lease.Stale
		})
	}
	if d.sendingTicks >= 0 {
		next(name+" sends the attempt", func(x *world) {
			x.dispatchers[i].sendingTicks = -1
			_, exists := x.state.Ruleset.Document.Rules.Cordons["a"]
			if _, confirmed := x.state.Confirmed["a"]; confirmed && exists {
				m.violation = name + " sends to a server whose cordon is confirmed"
			}
			for v := d.checkedVersion + 1; v < uint64(len(x.committedAt)) && !d.checkedStale; v++ {
				if at := x.committedAt[v]; at >= 0 && time.Duration(x.now-at)*unit > modelTerms.StalenessBound() {
					m.violation = fmt.Sprintf("%s sends under version %d, %d ticks after version %d was committed", name, d.checkedVersion, x.now-at, v)
				}
			}
		})
	}
	if w.restarts < m.restarts && w.activeDispatchers == 1 {
		next(name+" is taken for dead, and another process starts under its name", func(x *world) {
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

// addRegistrarSteps adds the actions of one registrar.
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
				next(fmt.Sprintf("%s receives the beat of %s", name, member), func(x *world) {
					y := &x.registrars[i]
					y.leases = y.leases.Clone()
					y.leases.RecordBeat(local, member, a.incarnation, a.held, modelTerms.Length)
					if beatOf(x).receivedBy = i + 1; delayed {
						*beatOf(x) = beat{} // its sender does not wait for this beat any more
					}
				})
			} else if a.receivedBy == i+1 && (isLeader || m.grantWithoutProof) {
				next(fmt.Sprintf("%s grants a lease to %s", name, member), func(x *world) {
					if x.state.Members[member].Incarnation != a.incarnation {
						*beatOf(x) = beat{}
						return
					}
					beatOf(x).granted, beatOf(x).grantedOpen = x.state.Ruleset.Document.Head.Version, x.isServerOpen()
					if m.grantWithoutProof && !isLeader { // its state may be old: it grants the version that the dispatcher holds
						beatOf(x).granted, beatOf(x).grantedOpen = max(1, a.held), a.held < 2
					}
				})
			}
		}
	}
	if r.proposed == nil {
		for _, e := range m.dueEntries(w, r, local) {
			e.Term = r.term
			kind := "activation"
			if e.Confirm != nil {
				kind = "confirmation"
			}
			next(fmt.Sprintf("%s proposes: %s", name, kind), func(x *world) {
				x.registrars[i].proposed, x.registrars[i].proposedAtVersion = &e, x.state.Ruleset.Document.Head.Version
			})
		}
	} else if isLeader || m.acceptOtherTerm {
		next(fmt.Sprintf("the proposal of %s is committed", name), func(x *world) {
			m.apply(x, *r.proposed)
			x.registrars[i].proposed = nil
		})
	}
}

// dueEntries returns the confirmations and activations that a registrar that believes to lead finds due.
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
	if v := st.Ruleset.NewestPending(); m.activateEarly && v > 0 {
		due = append(due, Entry{Activate: &Activate{Version: v}})
	}
	return slices.DeleteFunc(due, func(e Entry) bool { return e.Confirm == nil && e.Activate == nil })
}

// checkActivation records a violation if changes are in force while a dispatcher holds a lease on a version from before
// they were announced.
func (m *model) checkActivation(w *world) {
	announcedBy := w.state.Ruleset.Document.Head.ActivatesUpTo
	if announcedBy == 0 {
		return
	}
	for i := range w.activeDispatchers {
		d := &w.dispatchers[i]
		if _, hasLease := d.holder.Remaining(d.clock(w.now)); hasLease && d.holder.Version() < announcedBy {
			m.violation = fmt.Sprintf("n%d holds a lease on version %d while changes announced by version %d are in force", i, d.holder.Version(), announcedBy)
		}
	}
}

// explore visits all interleavings, the shortest first. It returns the number of states and, if a rule is violated, the trace
// to the violation.
func (m *model) explore() (states int, trace []string) {
	st := New(cordon.Budget{Share: 1}, 1)
	w := &world{state: st, term: 1, committedAt: [8]int{0, 0, -1, -1, -1, -1, -1, -1}}
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
	"beats duplicated":            {lastTick: 6, leaderChanges: 1, duplicates: 1, dispatchers: 1, beats: 3, sends: 1},
	"restart":                     {lastTick: 6, restarts: 1, dispatchers: 1, beats: 2, sends: 1},
	"serve":                       {lastTick: 5, leaderChanges: 1, dispatchers: 1, serveMode: true, beats: 2, sends: 1},
	"two dispatchers, lifted":     {lastTick: 5, dispatchers: 2, liftsCordon: true, beats: 3, sends: 0},
}

// No interleaving within the bounds of a scenario violates a rule.
func TestModel(t *testing.T) {
	for name, b := range scenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if !*deep { // violations are found early; the full bounds take minutes
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

// The removal of each guard is detected.
func TestModelFindsRemovedGuards(t *testing.T) {
	for name, c := range map[string]struct {
		removedGuards
		scenario string
	}{
		"lease checked only on arrival":              {removedGuards{checkOnlyOnArrival: true}, "one dispatcher, two leaders"},
		"drift ignored":                              {removedGuards{ignoreDrift: true}, "one dispatcher, two leaders"},
		"new leader does not wait":                   {removedGuards{newLeaderSkipsWait: true}, "one dispatcher, two leaders"},
		"activated before all have it":               {removedGuards{activateEarly: true}, "two dispatchers, lifted"},
		"confirmed on a lapse in mode serve":         {removedGuards{lapseCountsInServe: true}, "serve"},
		"proposed in one term, committed in another": {removedGuards{acceptOtherTerm: true}, "one dispatcher, two leaders"},
		"granted without proof of leadership":        {removedGuards{grantWithoutProof: true}, "one dispatcher, two leaders"},
		"lease runs from the arrival of its grant":   {removedGuards{countFromArrival: true}, "one dispatcher, two leaders"},
		"earlier incarnation forgotten at a restart": {removedGuards{forgetIncarnations: true}, "restart"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &model{removedGuards: c.removedGuards, bounds: scenarios[c.scenario], terms: modelTerms}
			if m.ignoreDrift {
				m.terms.Drift = 0
			}
			began := time.Now()
			states, trace := m.explore()
			if trace == nil {
				t.Fatalf("not detected in %d states, %v", states, time.Since(began))
			}
			t.Logf("detected after %d states in %v, %d steps: %s", states, time.Since(began).Round(time.Millisecond), len(trace)-1, strings.Join(trace, "; "))
		})
	}
}
