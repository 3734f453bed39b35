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
type guards struct {
	checkOnArrival bool // the lease is checked when a request arrives, not when its bytes go out
	noDrift        bool // leaders wait as if clocks ran alike
	newLeaderHurry bool // a new leader counts leases it never heard of as over
	openEarly      bool // a widening is opened as soon as it is agreed
	lapseInServe   bool // a lapse counts for who serves without a lease
	otherTerm      bool // what a deposed leader judged is agreed by its successor
	noProof        bool // grants without proof of leadership
	fromArrival    bool // a lease counts from when its grant arrives
	forgetLives    bool // a restart wipes out the earlier life
}

// limits of a play.
type bounds struct {
	until       int // ticks
	leaders     int // changes of leaders
	restarts    int
	doubles     int // askings heard twice
	asks, sends int
	dispatchers int
	serve       bool // the first dispatcher serves without a lease
	lift        bool
}

type asking struct {
	there   bool
	life    uint64
	holds   uint64
	sent    time.Duration // by its sender's clock
	heardBy int           // 0: nobody yet; else the registrar + 1, where it waits for its proof
	version uint64        // granted; 0: not yet
	open    bool          // the granted version lets the server be used
}

type disp struct {
	name    string
	slow    bool // its clock
	life    uint64
	holder  lease.Holder
	view    uint64 // version acted on
	open    bool   // it lets the server be used
	ask     asking
	old     asking // an earlier one that the network still has
	sending int    // ticks since the check; -1: nothing
	under   uint64 // version of the check
	stale   bool   // checked without a lease, in mode serve
}

type reg struct {
	term    uint64 // it believes to lead; 0: it does not
	roll    *lease.Tracker
	judged  *Entry // on its way to agreement
	judgeAt uint64
}

type world struct {
	now      int
	st       *State
	agreed   [8]int // by version: the tick; versions beyond are not reached
	leader   int
	term     uint64
	regs     [2]reg
	disps    [2]disp
	active   int // of disps
	leaders  int
	restarts int
	doubles  int
	asks     int
	sends    int
	parent   *world
	did      string
}

type model struct {
	guards
	bounds
	terms lease.Terms     // as leaders reckon with
	seen  map[uint64]bool // by a hash of the world: a collision would pass over one, with a chance of a millionth in all
	bad   string
}

// The first dispatcher's clock is slow, the registrars' are fast: what a lease's end is hardest on.
func (d *disp) clock(now int) time.Duration {
	if d.slow {
		return time.Duration(now) * unit * 3 / 4
	}
	return time.Duration(now) * unit * 5 / 4
}
func (m *model) regClock(now int) time.Duration { return time.Duration(now) * unit * 5 / 4 }

func cloneState(s *State) *State {
	c := *s
	c.Book = s.Book.Clone()
	c.Members, c.Confirmed, c.CordonVersions = maps.Clone(s.Members), maps.Clone(s.Confirmed), maps.Clone(s.CordonVersions)
	c.RemainingMs = maps.Clone(s.RemainingMs)
	return &c
}

// apply has an entry agreed.
func (m *model) apply(w *world, e Entry) Result {
	w.st = cloneState(w.st)
	term := w.term
	if m.otherTerm {
		term = e.Term
	}
	r := w.st.Apply(e, term)
	if v := w.st.Book.Document.Head.Version; r.Step != nil && v < uint64(len(w.agreed)) {
		w.agreed[v] = w.now
	}
	return r
}

func (w *world) openNow() bool { return ruleset.NewView(w.st.Book.Document).AllowsNewWork("a", 0) }

func (w *world) key() uint64 {
	h := xxhash.New()
	var b []byte
	n := func(v ...int64) {
		for _, x := range v {
			b = strconv.AppendInt(b, x, 36)
			b = append(b, ',')
		}
	}
	flag := func(v bool) {
		if v {
			n(1)
		} else {
			n(0)
		}
	}
	n(int64(w.now), int64(w.active), int64(w.leader), int64(w.term), int64(w.leaders), int64(w.restarts), int64(w.doubles), int64(w.asks), int64(w.sends))
	n(int64(w.st.Book.Document.Head.Version), int64(w.st.Book.NewestPending()), int64(len(w.st.Confirmed)), int64(len(w.st.Book.Document.Rules.Cordons)))
	for _, at := range w.agreed {
		n(int64(at))
	}
	for _, name := range []string{"n0", "n1"} {
		n(int64(w.st.Members[name].Incarnation), int64(len(w.st.Members[name].FormerIncarnations)))
	}
	for i := range w.disps {
		d := &w.disps[i]
		left, _ := d.holder.Remaining(0)
		n(int64(d.life), int64(d.holder.Version()), int64(left), int64(d.view), int64(d.sending), int64(d.under))
		flag(d.open)
		flag(d.stale)
		for _, a := range []asking{d.ask, d.old} {
			flag(a.there)
			flag(a.open)
			n(int64(a.life), int64(a.holds), int64(a.sent), int64(a.heardBy), int64(a.version))
		}
	}
	for i := range w.regs {
		r := &w.regs[i]
		n(int64(r.term))
		if r.roll != nil {
			for _, x := range r.roll.Stragglers(0, w.st.Members, 1<<62) {
				n(int64(x.Incarnation), int64(x.Version), int64(x.Remaining))
			}
		}
		if r.judged != nil {
			flag(r.judged.Activate != nil)
			n(int64(r.judgeAt))
		}
	}
	h.Write(b)
	return h.Sum64()
}

// steps are all worlds that one action leads to.
func (m *model) steps(w *world) []*world {
	var out []*world
	next := func(did string, change func(x *world)) {
		x := *w
		x.parent, x.did = w, did
		change(&x)
		out = append(out, &x)
	}
	// Time goes on, unless a send that was checked has to go out first.
	wait := false
	for i := range w.active {
		wait = wait || w.disps[i].sending >= int(modelTerms.Send/unit) && !m.checkOnArrival
	}
	if !wait && w.now < m.until {
		next("a tick", func(x *world) {
			x.now++
			for i := range x.active {
				if x.disps[i].sending >= 0 {
					x.disps[i].sending++
				}
			}
		})
	}
	for i := range w.active {
		m.dispSteps(w, i, next)
	}
	for i := range w.regs {
		m.regSteps(w, i, next)
	}
	if w.leaders < m.leaders {
		next("another leader", func(x *world) {
			x.leaders++
			x.term++
			x.leader = 1 - x.leader
			begun := m.regClock(x.now)
			if m.newLeaderHurry {
				begun -= m.terms.ExpiryWait(m.terms.Longest)
			}
			x.regs[x.leader] = reg{term: x.term, roll: lease.NewTracker(m.terms, begun)}
		})
	}
	// Operators.
	if w.st.Book.Document.Head.Version == 1 {
		next("cordon agreed", func(x *world) { m.apply(x, operator(w, "c", closing("a", 0))) })
	} else if _, stands := w.st.Book.Document.Rules.Cordons["a"]; m.lift && stands && w.st.Book.NewestPending() == 0 {
		next("lifting agreed", func(x *world) {
			m.apply(x, operator(w, "l", ruleset.Change{Kind: ruleset.KindLift, Name: "a"}))
		})
	}
	return out
}

func operator(w *world, key string, c ruleset.Change) Entry {
	return Entry{Term: w.term, At: 1, Ask: &ruleset.ChangeRequest{Key: key, BaseVersion: w.st.Book.Document.Head.Version, Author: "a", Reason: "r", Forced: true,
		Changes: []ruleset.Change{c}}}
}

func (m *model) dispSteps(w *world, i int, next func(string, func(*world))) {
	d, name := &w.disps[i], w.disps[i].name
	local := d.clock(w.now)
	if !d.ask.there && w.asks < m.asks {
		next(name+" asks", func(x *world) {
			x.asks++
			x.disps[i].ask = asking{there: true, life: d.life, holds: d.holder.Version(), sent: local}
		})
	} else if d.ask.there && d.ask.version != 0 {
		next(name+" gets its grant", func(x *world) {
			y := &x.disps[i]
			if y.ask.version > y.view {
				y.view, y.open = y.ask.version, y.ask.open
				if !y.open { // the gate breaks off what the new version forbids
					y.sending = -1
				}
			}
			y.holder.Advance(y.view)
			from := y.ask.sent
			if m.fromArrival {
				from = local
			}
			y.holder.RecordGrant(from, y.ask.version, modelTerms.Length)
			y.ask = asking{}
		})
	} else if d.ask.there && d.ask.heardBy == 0 && !d.old.there && w.doubles < m.doubles {
		next(name+"'s asking is kept back, and sent again", func(x *world) {
			y := &x.disps[i]
			y.old, y.ask = y.ask, asking{}
			x.doubles++
		})
	}
	c := d.holder.Permission(local)
	if d.sending < 0 && d.open && c != lease.None && w.sends < m.sends {
		next(name+" checks", func(x *world) {
			x.sends++
			x.disps[i].sending, x.disps[i].under, x.disps[i].stale = 0, d.view, c == lease.Stale
		})
	}
	if d.sending >= 0 {
		next(name+" sends", func(x *world) {
			x.disps[i].sending = -1
			_, stands := x.st.Book.Document.Rules.Cordons["a"]
			if _, confirmed := x.st.Confirmed["a"]; confirmed && stands {
				m.bad = name + " sends where a cordon is confirmed"
			}
			for v := d.under + 1; v < uint64(len(x.agreed)) && !d.stale; v++ {
				if at := x.agreed[v]; at >= 0 && time.Duration(x.now-at)*unit > modelTerms.StalenessBound() {
					m.bad = fmt.Sprintf("%s sends under version %d, %d ticks after version %d was agreed", name, d.under, x.now-at, v)
				}
			}
		})
	}
	if w.restarts < m.restarts && w.active == 1 {
		next(name+" is taken for dead, and started anew", func(x *world) {
			x.restarts++
			r := m.apply(x, Entry{Term: x.term, Enrol: &Enrol{Name: name, Token: fmt.Sprint("again", x.restarts), Mode: d.holder.Mode}})
			if m.forgetLives {
				y := x.st.Members[name]
				y.FormerIncarnations = nil
				x.st.Members[name] = y
			}
			x.disps[1], x.active = disp{name: name, life: r.Incarnation, holder: lease.Holder{Mode: d.holder.Mode}, sending: -1}, 2
		})
	}
}

func (m *model) regSteps(w *world, i int, next func(string, func(*world))) {
	r := &w.regs[i]
	if r.term == 0 {
		return
	}
	name, local := fmt.Sprintf("r%d", i), m.regClock(w.now)
	leads := i == w.leader
	for j := range w.active {
		for _, old := range []bool{false, true} {
			a := &w.disps[j].ask
			if old {
				a = &w.disps[j].old
			}
			of := func(x *world) *asking {
				if old {
					return &x.disps[j].old
				}
				return &x.disps[j].ask
			}
			if !a.there || a.version != 0 {
				continue
			}
			member := w.disps[j].name
			if a.heardBy == 0 {
				next(fmt.Sprintf("%s hears %s", name, member), func(x *world) {
					y := &x.regs[i]
					y.roll = y.roll.Clone()
					y.roll.RecordBeat(local, member, a.life, a.holds, modelTerms.Length)
					if of(x).heardBy = i + 1; old {
						*of(x) = asking{} // its sender does not wait for this one any more
					}
				})
			} else if a.heardBy == i+1 && (leads || m.noProof) {
				next(fmt.Sprintf("%s grants %s", name, member), func(x *world) {
					if x.st.Members[member].Incarnation != a.life {
						*of(x) = asking{}
						return
					}
					of(x).version, of(x).open = x.st.Book.Document.Head.Version, x.openNow()
					if m.noProof && !leads { // what it knows may be old: it grants what the asker holds
						of(x).version, of(x).open = max(1, a.holds), a.holds < 2
					}
				})
			}
		}
	}
	if r.judged == nil {
		for _, e := range m.due(w, r, local) {
			e.Term = r.term
			what := "opening"
			if e.Confirm != nil {
				what = "confirmation"
			}
			next(fmt.Sprintf("%s judges: %s", name, what), func(x *world) {
				x.regs[i].judged, x.regs[i].judgeAt = &e, x.st.Book.Document.Head.Version
			})
		}
	} else if leads || m.otherTerm {
		next(fmt.Sprintf("what %s judged is agreed", name), func(x *world) {
			m.apply(x, *r.judged)
			x.regs[i].judged = nil
		})
	}
}

// due is what a registrar that believes to lead finds due.
func (m *model) due(w *world, r *reg, local time.Duration) []Entry {
	st := w.st
	if m.lapseInServe {
		st = cloneState(st)
		for name, x := range st.Members {
			x.Mode = lease.Hold
			st.Members[name] = x
		}
	}
	due := st.Due(LeaderView{Leases: r.roll, Now: local})
	if v := st.Book.NewestPending(); m.openEarly && v > 0 {
		due = append(due, Entry{Activate: &Activate{Version: v}})
	}
	return slices.DeleteFunc(due, func(e Entry) bool { return e.Confirm == nil && e.Activate == nil })
}

// contradicts finds a dispatcher that acts on what was opened, while another holds a lease on a version from before it
// was announced.
func (m *model) contradicts(w *world) {
	opens := w.st.Book.Document.Head.ActivatesUpTo
	if opens == 0 {
		return
	}
	for i := range w.active {
		d := &w.disps[i]
		if _, stands := d.holder.Remaining(d.clock(w.now)); stands && d.holder.Version() < opens {
			m.bad = fmt.Sprintf("n%d holds a lease on version %d while what version %d announced is in force", i, d.holder.Version(), opens)
		}
	}
}

// play goes through all interleavings, the shortest first, and gives the number of states and a trace to what is broken.
func (m *model) play() (states int, trace []string) {
	st := New(cordon.Budget{Share: 1}, 1)
	w := &world{st: st, term: 1, agreed: [8]int{0, 0, -1, -1, -1, -1, -1, -1}}
	for i := range w.disps {
		w.disps[i].sending = -1
	}
	w.active = m.dispatchers
	for i := range m.dispatchers {
		w.disps[i].name, w.disps[i].slow = fmt.Sprintf("n%d", i), i == 0
		mode := lease.Hold
		if m.serve && i == 0 {
			mode = lease.Serve
		}
		r := st.Apply(Entry{Term: 1, Enrol: &Enrol{Name: fmt.Sprintf("n%d", i), Token: "t", Mode: mode}}, 1)
		w.disps[i].life, w.disps[i].holder.Mode = r.Incarnation, mode
	}
	w.regs[0] = reg{term: 1, roll: lease.NewTracker(m.terms, -m.terms.ExpiryWait(m.terms.Longest))}
	m.seen = map[uint64]bool{w.key(): true}
	queue := []*world{w}
	for len(queue) > 0 {
		at := queue[0]
		queue = queue[1:]
		for _, x := range m.steps(at) {
			if m.contradicts(x); m.bad != "" {
				for y := x; y.parent != nil; y = y.parent {
					trace = append(trace, fmt.Sprintf("%d: %s", y.now, y.did))
				}
				slices.Reverse(trace)
				return len(m.seen), append(trace, m.bad)
			}
			if k := x.key(); !m.seen[k] {
				m.seen[k] = true
				queue = append(queue, x)
			}
		}
	}
	return len(m.seen), nil
}

var plays = map[string]bounds{
	"one dispatcher, two leaders": {until: 6, leaders: 2, dispatchers: 1, asks: 2, sends: 1},
	"askings doubled":             {until: 6, leaders: 1, doubles: 1, dispatchers: 1, asks: 3, sends: 1},
	"restart":                     {until: 6, restarts: 1, dispatchers: 1, asks: 2, sends: 1},
	"serve":                       {until: 5, leaders: 1, dispatchers: 1, serve: true, asks: 2, sends: 1},
	"two dispatchers, lifted":     {until: 5, dispatchers: 2, lift: true, asks: 3, sends: 0},
}

func TestModel(t *testing.T) {
	for name, b := range plays {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if !*deep { // what is found, is found early; all of it takes minutes
				b.until -= 3
			}
			m := &model{bounds: b, terms: modelTerms}
			began := time.Now()
			states, trace := m.play()
			if trace != nil {
				t.Errorf("after %d states: %s", states, strings.Join(trace, "; "))
			}
			t.Logf("%d states in %v", states, time.Since(began).Round(time.Millisecond))
		})
	}
}

// Each guard removed is found.
func TestModelFindsBrokenGuards(t *testing.T) {
	for name, c := range map[string]struct {
		guards
		play string
	}{
		"lease checked only on arrival":          {guards{checkOnArrival: true}, "one dispatcher, two leaders"},
		"drift left out":                         {guards{noDrift: true}, "one dispatcher, two leaders"},
		"new leader that does not wait":          {guards{newLeaderHurry: true}, "one dispatcher, two leaders"},
		"opened before all have it":              {guards{openEarly: true}, "two dispatchers, lifted"},
		"confirmed on a lapse in serve":          {guards{lapseInServe: true}, "serve"},
		"judged in one term, agreed in another":  {guards{otherTerm: true}, "one dispatcher, two leaders"},
		"granted without proof of leadership":    {guards{noProof: true}, "one dispatcher, two leaders"},
		"lease counted from its grant's arrival": {guards{fromArrival: true}, "one dispatcher, two leaders"},
		"earlier life forgotten at a restart":    {guards{forgetLives: true}, "restart"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := &model{guards: c.guards, bounds: plays[c.play], terms: modelTerms}
			if m.noDrift {
				m.terms.Drift = 0
			}
			began := time.Now()
			states, trace := m.play()
			if trace == nil {
				t.Fatalf("not found in %d states, %v", states, time.Since(began))
			}
			t.Logf("found after %d states in %v, %d steps: %s", states, time.Since(began).Round(time.Millisecond), len(trace)-1, strings.Join(trace, "; "))
		})
	}
}
