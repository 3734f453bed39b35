// Package rehearsal plays a script: a world of notice servers, discovery, a launcher and clients round routers, in
// which things go wrong at told times, and a referee that trusts no router. The world has one queue of events and
// one seed; it knows no goroutine, no socket and no wall clock. In virtual time the routers are modules in this
// process (Run); package live plays the same world against processes on loopback.
package rehearsal

import (
	"math/rand/v2"
	"time"

	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// Entry is one host as discovery lists it.
type Entry struct {
	Host    *Host
	Build   int // counted from 0, the script's first
	State   logic.ServerState
	Started time.Duration // zero: before the rehearsal
}

// Standing is what the launcher tells of the newest build.
type ReleaseState struct {
	Build, Stage int
	Phase        logic.Phase
	Cap          float64
	Since        time.Duration
}

// Front is the routers as the world reaches them. All calls come from the world's own steps.
type RouterFleet interface {
	// Boot starts a router with the list and the standing as last told to it.
	Boot(router int, known []Entry, news ReleaseState)
	Kill(router int)
	Freeze(router int, length time.Duration)
	// Take brings a client's try; Answered is owed. Left tells that its client has given up.
	Take(t *Try)
	ClientGone(t *Try)
	Listed(router int, changes []Entry)
	ReleaseChanged(router int, s ReleaseState)
	// Silence lets the launcher stand still towards all routers, or go on.
	SilenceLauncher(on bool)
	// HostUp and HostDown tell that a host listens, or does not any more; silent: it is gone without a word.
	HostUp(h *Host)
	HostDown(h *Host, silent bool)
}

// World is one rehearsal under way. It is not safe for use by several goroutines.
type World struct {
	q       queue
	s       script.Script
	front   RouterFleet
	referee *Referee

	draws  *rand.Rand // hosts, launcher, network: in the order of events
	places []*place
	lives  int // hosts so far
	fleet  map[int]*Host

	routers []*routerState
	launcher
	traffic
	cut                    map[string]bool // sites cut off
	linkSlow               time.Duration
	linkLoss               float64
	listSilent             bool
	harmful                float64 // part of the attempts that go to a build that slows its neighbours, smoothed
	worked, wasted         float64 // seconds of hosts' work: all, and that for answers nobody got
	attempts, rejected     int
	messages, messageBytes int // between routers, by receiver
	troubled               []Mark
}

// routerState is what the world knows of a router.
type routerState struct {
	site    string
	up      bool
	life    int
	noticed time.Duration // since when the front leaves a dead router out; 0: it does not
	known   map[int]Entry // as last told, by host
	news    ReleaseState
	toldAt  time.Duration // changes are told in order
	newsAt  time.Duration
	batch   *batch // what discovery gathers for its next push
}

// batch is one push of discovery to a router.
type batch struct {
	at      time.Duration
	life    int
	entries []Entry
}

// Mark is something for the plots: a trouble, a wave, a vote.
type Mark struct {
	AtS    float64 `json:"at_s"`
	UntilS float64 `json:"until_s,omitempty"`
	Text   string  `json:"text"`
}

// New makes the world of a script; its routers come from front. Live: limits on times are a little longer.
func New(s script.Script, live bool) *World {
	w := &World{s: s, draws: rand.New(rand.NewPCG(s.Seed, 1)), fleet: map[int]*Host{}, cut: map[string]bool{}}
	w.referee = newReferee(w, live)
	w.launcher = newLauncher(w)
	w.traffic = newTraffic(w)
	for i := range s.Routers.Count {
		w.routers = append(w.routers, &routerState{site: s.Sites[i%len(s.Sites)], known: map[int]Entry{}})
	}
	return w
}

// Start begins: the first hosts run and are warm, the routers boot, requests come after lead.
func (w *World) Start(front RouterFleet, lead time.Duration) {
	w.front, w.lead = front, lead
	for i := range w.s.Hosts.Count {
		p := &place{index: i, site: w.s.Sites[i%len(w.s.Sites)]}
		w.places = append(w.places, p)
		w.launch(p, 0, true)
	}
	for i := range w.routers {
		for _, h := range w.hostsInOrder() {
			w.routers[i].known[h.ID] = h.entry()
		}
		w.routers[i].news = w.standing
		w.boot(i)
	}
	w.q.at(lead, w.ask)
	w.tellAgain()
	for i, r := range w.s.Releases {
		w.q.at(lead+r.At, func() { w.offer(i + 1) })
	}
	w.plan(lead)
}

// Next is when the next event happens; false once there is none, or the rehearsal is over.
func (w *World) Next() (time.Duration, bool) {
	if t, ok := w.q.next(); ok && t <= w.end() {
		return t, true
	}
	return 0, false
}

// Step lets the next event happen.
func (w *World) Step() { w.q.step() }

// Advance moves the clock of a world whose events come in part from outside.
func (w *World) Advance(now time.Duration) { w.q.now = max(w.q.now, now) }

// Now is the world's time.
func (w *World) Now() time.Duration { return w.q.now }

func (w *World) end() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.s.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.lead + w.s.Length + 2*longest + time.Second
}

// within draws evenly from a span.
func (w *World) within(s script.Span) time.Duration {
	return s[0] + time.Duration(w.draws.Float64()*float64(s[1]-s[0]))
}

// boot begins a router's life.
func (w *World) boot(i int) {
	r := w.routers[i]
	r.up, r.noticed, r.life = true, 0, r.life+1
	r.toldAt, r.newsAt = w.q.now, w.q.now
	var known []Entry
	for _, h := range w.everyKnown(r) {
		known = append(known, r.known[h])
	}
	w.referee.booted(i, known, r.news)
	w.front.Boot(i, known, r.news)
	// What changed while it was down is told to it as anything is.
	for _, h := range w.hostsInOrder() {
		if r.known[h.ID] != h.entry() {
			w.tell(i, h.entry())
		}
	}
	for _, id := range w.everyKnown(r) {
		if w.fleet[id] == nil {
			e := r.known[id]
			e.State = logic.Gone
			w.tell(i, e)
		}
	}
	w.inform(i)
}

// kill ends a router's life; the front notices late.
func (w *World) kill(i int) {
	r := w.routers[i]
	if !r.up {
		return
	}
	r.up, r.noticed = false, w.q.now+w.within(w.s.Network.FrontNotice)
	w.front.Kill(i)
	w.orphan(i)
}

// listed tells all routers of a change of a host, each late.
func (w *World) listed(h *Host) {
	for i, r := range w.routers {
		if r.up {
			w.tell(i, h.entry())
		}
	}
}

// tell brings one router one change; it comes after all that it was told before.
func (w *World) tell(i int, e Entry) {
	r := w.routers[i]
	late := w.s.Discovery.Change
	if e.State == logic.Gone {
		late = w.s.Discovery.Loss
	}
	// Discovery pushes by periods, each router at its own moment of them.
	period := max(w.s.Discovery.Period, 1)
	own := period * time.Duration(i) / time.Duration(len(w.routers))
	at := max(r.toldAt, w.q.now+w.within(late))
	at = (at-own+period-1)/period*period + own
	r.toldAt = at
	if b := r.batch; b != nil && b.at == at && b.life == r.life {
		b.entries = append(b.entries, e)
		return
	}
	b := &batch{at: at, life: r.life, entries: []Entry{e}}
	r.batch = b
	w.q.at(at, func() { w.push(i, b) })
}

// push brings a router what discovery has gathered for it.
func (w *World) push(i int, b *batch) {
	r := w.routers[i]
	if r.batch == b {
		r.batch = nil
	}
	if !r.up || r.life != b.life {
		return
	}
	if w.listSilent || w.cut[r.site] { // it waits, and comes in order once it is over
		r.toldAt = max(r.toldAt, w.q.now+100*time.Millisecond)
		w.q.at(r.toldAt, func() { w.push(i, b) })
		return
	}
	for _, e := range b.entries {
		if e.State == logic.Gone {
			delete(r.known, e.Host.ID)
		} else {
			r.known[e.Host.ID] = e
		}
		w.referee.listed(i, e)
	}
	w.front.Listed(i, b.entries)
}

// inform tells a router the launcher's standing, late.
func (w *World) inform(i int) {
	r, s, life := w.routers[i], w.standing, w.routers[i].life
	at := max(r.newsAt, w.q.now+w.within(w.s.Launcher.ToldLate)+w.newsLate)
	r.newsAt = at
	w.q.at(at, func() {
		if !r.up || r.life != life || w.silent || w.cut[r.site] {
			return // it is told again
		}
		w.tellNews(i, s)
	})
}

func (w *World) tellNews(i int, s ReleaseState) {
	w.RecordRelease(i, s)
	w.front.ReleaseChanged(i, s)
}

// Heard notes that a router was told the standing in reply to its vote.
func (w *World) RecordRelease(i int, s ReleaseState) {
	w.routers[i].news = s
	w.referee.news(i, s)
}

// Carry brings a message of so many bytes from a router to another: late, or not at all.
func (w *World) CarryMessage(from, to, size int, arrive func()) {
	w.messages, w.messageBytes = w.messages+1, w.messageBytes+size
	if w.apart(w.routers[from].site, w.routers[to].site) || w.draws.Float64() < w.s.Network.MessageLoss {
		return
	}
	w.q.after(w.within(w.s.Network.Message), arrive)
}

// apart tells whether two sites can't reach each other.
func (w *World) apart(a, b string) bool { return a != b && (w.cut[a] || w.cut[b]) }

// distance draws a one-way time between a router and a host or another router.
func (w *World) distance(a, b string) time.Duration {
	if a == b {
		return w.within(w.s.Network.Same) + w.linkSlow
	}
	return w.within(w.s.Network.Cross) + w.linkSlow
}

// mark notes something for the plots.
func (w *World) mark(text string, until time.Duration) {
	m := Mark{AtS: (w.q.now - w.lead).Seconds(), Text: text}
	if until > 0 {
		m.UntilS = (until - w.lead).Seconds()
	}
	w.troubled = append(w.troubled, m)
}
