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
	queue       queue
	script      script.Script
	routerFleet RouterFleet
	referee     *Referee

	rng           *rand.Rand // hosts, launcher, network: in the order of events
	places        []*place
	launchedCount int // hosts so far
	hosts         map[int]*Host

	routers []*routerState
	launcher
	traffic
	cutSites               map[string]bool // sites cut off
	addedLinkDelay         time.Duration
	linkLossRate           float64
	discoverySilent        bool
	neighbourHarm          float64 // part of the attempts that go to a build that slows its neighbours, smoothed
	workDone, workWasted   float64 // seconds of hosts' work: all, and that for answers nobody got
	attempts, rejected     int
	messages, messageBytes int // between routers, by receiver
	marks                  []Mark
}

// routerState is what the world knows of a router.
type routerState struct {
	site          string
	up            bool
	incarnation   int
	avoidedFrom   time.Duration // since when the front leaves a dead router out; 0: it does not
	knownHosts    map[int]Entry // as last told, by host
	release       ReleaseState
	lastChangeAt  time.Duration // changes are told in order
	lastReleaseAt time.Duration
	batch         *batch // what discovery gathers for its next push
}

// batch is one push of discovery to a router.
type batch struct {
	dueAt       time.Duration
	incarnation int
	entries     []Entry
}

// Mark is something for the plots: a trouble, a wave, a vote.
type Mark struct {
	AtS    float64 `json:"at_s"`
	UntilS float64 `json:"until_s,omitempty"`
	Text   string  `json:"text"`
}

// New makes the world of a script; its routers come from front. Live: limits on times are a little longer.
func New(s script.Script, live bool) *World {
	w := &World{script: s, rng: rand.New(rand.NewPCG(s.Seed, 1)), hosts: map[int]*Host{}, cutSites: map[string]bool{}}
	w.referee = newReferee(w, live)
	w.launcher = newLauncher(w)
	w.traffic = newTraffic(w)
	for i := range s.Routers.Count {
		w.routers = append(w.routers, &routerState{site: s.Sites[i%len(s.Sites)], knownHosts: map[int]Entry{}})
	}
	return w
}

// Start begins: the first hosts run and are warm, the routers boot, requests come after lead.
func (w *World) Start(front RouterFleet, lead time.Duration) {
	w.routerFleet, w.lead = front, lead
	for i := range w.script.Hosts.Count {
		p := &place{index: i, site: w.script.Sites[i%len(w.script.Sites)]}
		w.places = append(w.places, p)
		w.launch(p, 0, true)
	}
	for i := range w.routers {
		for _, h := range w.hostsInOrder() {
			w.routers[i].knownHosts[h.ID] = h.entry()
		}
		w.routers[i].release = w.release
		w.boot(i)
	}
	w.queue.at(lead, w.newRequest)
	w.repeatRelease()
	for i, r := range w.script.Releases {
		w.queue.at(lead+r.At, func() { w.offer(i + 1) })
	}
	w.scheduleTroubles(lead)
}

// Next is when the next event happens; false once there is none, or the rehearsal is over.
func (w *World) Next() (time.Duration, bool) {
	if t, ok := w.queue.next(); ok && t <= w.endTime() {
		return t, true
	}
	return 0, false
}

// Step lets the next event happen.
func (w *World) Step() { w.queue.step() }

// Advance moves the clock of a world whose events come in part from outside.
func (w *World) Advance(now time.Duration) { w.queue.now = max(w.queue.now, now) }

// Now is the world's time.
func (w *World) Now() time.Duration { return w.queue.now }

func (w *World) endTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.script.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.lead + w.script.Length + 2*longest + time.Second
}

// within draws evenly from a span.
func (w *World) drawBetween(s script.Span) time.Duration {
	return s[0] + time.Duration(w.rng.Float64()*float64(s[1]-s[0]))
}

// boot begins a router's life.
func (w *World) boot(i int) {
	r := w.routers[i]
	r.up, r.avoidedFrom, r.incarnation = true, 0, r.incarnation+1
	r.lastChangeAt, r.lastReleaseAt = w.queue.now, w.queue.now
	var known []Entry
	for _, h := range w.knownHostIDs(r) {
		known = append(known, r.knownHosts[h])
	}
	w.referee.routerBooted(i, known, r.release)
	w.routerFleet.Boot(i, known, r.release)
	// What changed while it was down is told to it as anything is.
	for _, h := range w.hostsInOrder() {
		if r.knownHosts[h.ID] != h.entry() {
			w.scheduleChange(i, h.entry())
		}
	}
	for _, id := range w.knownHostIDs(r) {
		if w.hosts[id] == nil {
			e := r.knownHosts[id]
			e.State = logic.Gone
			w.scheduleChange(i, e)
		}
	}
	w.scheduleRelease(i)
}

// kill ends a router's life; the front notices late.
func (w *World) kill(i int) {
	r := w.routers[i]
	if !r.up {
		return
	}
	r.up, r.avoidedFrom = false, w.queue.now+w.drawBetween(w.script.Network.FrontNotice)
	w.routerFleet.Kill(i)
	w.breakConnections(i)
}

// listed tells all routers of a change of a host, each late.
func (w *World) announceHost(h *Host) {
	for i, r := range w.routers {
		if r.up {
			w.scheduleChange(i, h.entry())
		}
	}
}

// tell brings one router one change; it comes after all that it was told before.
func (w *World) scheduleChange(i int, e Entry) {
	r := w.routers[i]
	late := w.script.Discovery.Change
	if e.State == logic.Gone {
		late = w.script.Discovery.Loss
	}
	// Discovery pushes by periods, each router at its own moment of them.
	period := max(w.script.Discovery.Period, 1)
	own := period * time.Duration(i) / time.Duration(len(w.routers))
	at := max(r.lastChangeAt, w.queue.now+w.drawBetween(late))
	at = (at-own+period-1)/period*period + own
	r.lastChangeAt = at
	if b := r.batch; b != nil && b.dueAt == at && b.incarnation == r.incarnation {
		b.entries = append(b.entries, e)
		return
	}
	b := &batch{dueAt: at, incarnation: r.incarnation, entries: []Entry{e}}
	r.batch = b
	w.queue.at(at, func() { w.push(i, b) })
}

// push brings a router what discovery has gathered for it.
func (w *World) push(i int, b *batch) {
	r := w.routers[i]
	if r.batch == b {
		r.batch = nil
	}
	if !r.up || r.incarnation != b.incarnation {
		return
	}
	if w.discoverySilent || w.cutSites[r.site] { // it waits, and comes in order once it is over
		r.lastChangeAt = max(r.lastChangeAt, w.queue.now+100*time.Millisecond)
		w.queue.at(r.lastChangeAt, func() { w.push(i, b) })
		return
	}
	for _, e := range b.entries {
		if e.State == logic.Gone {
			delete(r.knownHosts, e.Host.ID)
		} else {
			r.knownHosts[e.Host.ID] = e
		}
		w.referee.hostListed(i, e)
	}
	w.routerFleet.Listed(i, b.entries)
}

// inform tells a router the launcher's standing, late.
func (w *World) scheduleRelease(i int) {
	r, s, life := w.routers[i], w.release, w.routers[i].incarnation
	at := max(r.lastReleaseAt, w.queue.now+w.drawBetween(w.script.Launcher.ToldLate)+w.addedReleaseDelay)
	r.lastReleaseAt = at
	w.queue.at(at, func() {
		if !r.up || r.incarnation != life || w.launcherSilent || w.cutSites[r.site] {
			return // it is told again
		}
		w.deliverRelease(i, s)
	})
}

func (w *World) deliverRelease(i int, s ReleaseState) {
	w.RecordRelease(i, s)
	w.routerFleet.ReleaseChanged(i, s)
}

// Heard notes that a router was told the standing in reply to its vote.
func (w *World) RecordRelease(i int, s ReleaseState) {
	w.routers[i].release = s
	w.referee.releaseChanged(i, s)
}

// Carry brings a message of so many bytes from a router to another: late, or not at all.
func (w *World) CarryMessage(from, to, size int, arrive func()) {
	w.messages, w.messageBytes = w.messages+1, w.messageBytes+size
	if w.isCutBetween(w.routers[from].site, w.routers[to].site) || w.rng.Float64() < w.script.Network.MessageLoss {
		return
	}
	w.queue.after(w.drawBetween(w.script.Network.Message), arrive)
}

// apart tells whether two sites can't reach each other.
func (w *World) isCutBetween(a, b string) bool { return a != b && (w.cutSites[a] || w.cutSites[b]) }

// distance draws a one-way time between a router and a host or another router.
func (w *World) drawLinkTime(a, b string) time.Duration {
	if a == b {
		return w.drawBetween(w.script.Network.Same) + w.addedLinkDelay
	}
	return w.drawBetween(w.script.Network.Cross) + w.addedLinkDelay
}

// mark notes something for the plots.
func (w *World) addMark(text string, until time.Duration) {
	m := Mark{AtS: (w.queue.now - w.lead).Seconds(), Text: text}
	if until > 0 {
		m.UntilS = (until - w.lead).Seconds()
	}
	w.marks = append(w.marks, m)
}
