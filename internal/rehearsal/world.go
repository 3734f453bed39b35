// Package rehearsal is a deterministic discrete-event simulation of the fleet. It plays a script: a world of hosts,
// discovery, a release platform (the launcher) and clients around the routers, in which troubles begin at scripted
// times. A referee checks the rules from outside and relies on nothing that a router reports. The world has one event
// queue and one seed, and uses no goroutines, sockets or wall clock, so a script and a seed always give the same
// outcome. Run plays a script in virtual time with the routers' decision modules in this process; package live plays
// the same world against router processes on loopback.
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
	Build   int // 0 is the build that runs at the start, n is the script's nth release
	State   logic.ServerState
	Started time.Duration // zero if it was up before the rehearsal
}

// ReleaseState is the state of the newest build as the launcher reports it.
type ReleaseState struct {
	Build, Stage int // both counted from 0
	Phase        logic.Phase
	Cap          float64       // largest fraction of a router's requests that the build may get
	Since        time.Duration // when this state began
}

// RouterFleet is the interface through which the world drives the routers. All calls come from the world's own steps.
type RouterFleet interface {
	// Boot starts a router with the hosts and the release state that it last received.
	Boot(router int, known []Entry, release ReleaseState)
	// Kill ends a router at once.
	Kill(router int)
	// Freeze stalls a router for a time.
	Freeze(router int, length time.Duration)
	// Take delivers a client's try to its router, which has to call World.Answered.
	Take(t *Try)
	// ClientGone reports that the client of a try has given up.
	ClientGone(t *Try)
	// Listed delivers changes of hosts from discovery.
	Listed(router int, changes []Entry)
	// ReleaseChanged delivers the launcher's release state.
	ReleaseChanged(router int, s ReleaseState)
	// SilenceLauncher makes the launcher unresponsive to all routers, or responsive again.
	SilenceLauncher(on bool)
	// HostUp reports that a host has begun to listen.
	HostUp(h *Host)
	// HostDown reports that a host no longer listens. A silent host disappears without closing its connections.
	HostDown(h *Host, silent bool)
}

// World is the state of one running rehearsal. It is not safe for concurrent use.
type World struct {
	queue       queue
	script      script.Script
	routerFleet RouterFleet
	referee     *Referee

	rng           *rand.Rand // draws for hosts, launcher and network, in the order of events
	places        []*place
	launchedCount int           // hosts launched so far; the last one's ID
	hosts         map[int]*Host // hosts that have not ended, by ID

	routers []*routerState
	launcher
	traffic
	cutSites               map[string]bool // sites cut off from the others and from discovery and the launcher
	addedLinkDelay         time.Duration
	linkLossRate           float64
	discoverySilent        bool
	neighbourHarm          float64 // moving average of the slowdown, at most 1, by the fault "neighbours"
	workDone, workWasted   float64 // seconds of hosts' work: in total, and for answers that no client got
	attempts, rejected     int
	messages, messageBytes int // between routers; a message to several counts once for each receiver
	marks                  []Mark
}

// routerState is the world's state of one router.
type routerState struct {
	site          string
	up            bool
	incarnation   int
	avoidedFrom   time.Duration // when the clients' balancer stops choosing a router that is down; 0 while it is up
	knownHosts    map[int]Entry // hosts as last delivered, by ID
	release       ReleaseState  // as last delivered
	lastChangeAt  time.Duration // of the latest scheduled push; later ones come no earlier, which keeps their order
	lastReleaseAt time.Duration // the same for release states
	batch         *batch        // changes collected for the next push
}

// batch is one push from discovery to one incarnation of a router.
type batch struct {
	dueAt       time.Duration
	incarnation int
	entries     []Entry
}

// Mark is an annotation for the charts: a trouble, a stage of a release or a cold host that was overloaded.
type Mark struct {
	AtS    float64 `json:"at_s"`
	UntilS float64 `json:"until_s,omitempty"`
	Text   string  `json:"text"`
}

// New returns the world of a script; Start adds its routers. With live set the referee tolerates the small delays of
// real sockets.
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

// Start begins the rehearsal: the first hosts run and are warm, the routers boot, and requests arrive after lead.
func (w *World) Start(fleet RouterFleet, lead time.Duration) {
	w.routerFleet, w.lead = fleet, lead
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

// Next returns the time of the next event, and false if there is none or the rehearsal is over.
func (w *World) Next() (time.Duration, bool) {
	if t, ok := w.queue.next(); ok && t <= w.endTime() {
		return t, true
	}
	return 0, false
}

// Step processes the next event.
func (w *World) Step() { w.queue.step() }

// Advance moves the clock forward to now, for a world that also receives events from outside.
func (w *World) Advance(now time.Duration) { w.queue.now = max(w.queue.now, now) }

// Now returns the world's time.
func (w *World) Now() time.Duration { return w.queue.now }

// endTime returns when the rehearsal ends: late enough for every request to be answered or given up.
func (w *World) endTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range w.script.Classes {
		longest = max(longest, c.Deadline)
	}
	return w.lead + w.script.Length + 2*longest + time.Second
}

// drawBetween draws uniformly from a span.
func (w *World) drawBetween(s script.Span) time.Duration {
	return s[0] + time.Duration(w.rng.Float64()*float64(s[1]-s[0]))
}

// boot starts a new incarnation of a router.
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
	// Changes made while it was down reach it like all other changes.
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

// kill ends a router's incarnation; the clients' balancer notices with a delay.
func (w *World) kill(i int) {
	r := w.routers[i]
	if !r.up {
		return
	}
	r.up, r.avoidedFrom = false, w.queue.now+w.drawBetween(w.script.Network.FrontNotice)
	w.routerFleet.Kill(i)
	w.breakConnections(i)
}

// announceHost sends every router the changed state of a host, each with its own delay.
func (w *World) announceHost(h *Host) {
	for i, r := range w.routers {
		if r.up {
			w.scheduleChange(i, h.entry())
		}
	}
}

// scheduleChange adds a host's change to a router's next push, never ahead of earlier changes.
func (w *World) scheduleChange(i int, e Entry) {
	r := w.routers[i]
	delay := w.script.Discovery.Change
	if e.State == logic.Gone {
		delay = w.script.Discovery.Loss
	}
	// Discovery pushes periodically, to each router at its own offset within the period.
	period := max(w.script.Discovery.Period, 1)
	offset := period * time.Duration(i) / time.Duration(len(w.routers))
	at := max(r.lastChangeAt, w.queue.now+w.drawBetween(delay))
	at = (at-offset+period-1)/period*period + offset
	r.lastChangeAt = at
	if b := r.batch; b != nil && b.dueAt == at && b.incarnation == r.incarnation {
		b.entries = append(b.entries, e)
		return
	}
	b := &batch{dueAt: at, incarnation: r.incarnation, entries: []Entry{e}}
	r.batch = b
	w.queue.at(at, func() { w.push(i, b) })
}

// push delivers a batch of changes to a router. While discovery is silent or the router's site is cut off, it tries
// again later.
func (w *World) push(i int, b *batch) {
	r := w.routers[i]
	if r.batch == b {
		r.batch = nil
	}
	if !r.up || r.incarnation != b.incarnation {
		return
	}
	if w.discoverySilent || w.cutSites[r.site] { // the batch waits and is delivered in order afterwards
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

// scheduleRelease sends a router the launcher's present release state, with a delay.
func (w *World) scheduleRelease(i int) {
	r, s, incarnation := w.routers[i], w.release, w.routers[i].incarnation
	at := max(r.lastReleaseAt, w.queue.now+w.drawBetween(w.script.Launcher.ToldLate)+w.addedReleaseDelay)
	r.lastReleaseAt = at
	w.queue.at(at, func() {
		if !r.up || r.incarnation != incarnation || w.launcherSilent || w.cutSites[r.site] {
			return // lost; the launcher repeats it periodically
		}
		w.deliverRelease(i, s)
	})
}

// deliverRelease gives a router a release state.
func (w *World) deliverRelease(i int, s ReleaseState) {
	w.RecordRelease(i, s)
	w.routerFleet.ReleaseChanged(i, s)
}

// RecordRelease records that a router has received a release state, pushed or in the reply to its vote.
func (w *World) RecordRelease(i int, s ReleaseState) {
	w.routers[i].release = s
	w.referee.releaseChanged(i, s)
}

// CarryMessage calls arrive when a message of size bytes from one router reaches another: after a delay, or never if
// it is lost.
func (w *World) CarryMessage(from, to, size int, arrive func()) {
	w.messages, w.messageBytes = w.messages+1, w.messageBytes+size
	if w.isCutBetween(w.routers[from].site, w.routers[to].site) || w.rng.Float64() < w.script.Network.MessageLoss {
		return
	}
	w.queue.after(w.drawBetween(w.script.Network.Message), arrive)
}

// isCutBetween reports whether two sites can't reach each other.
func (w *World) isCutBetween(a, b string) bool { return a != b && (w.cutSites[a] || w.cutSites[b]) }

// drawLinkTime draws a one-way time between a router and a host at the given sites.
func (w *World) drawLinkTime(a, b string) time.Duration {
	if a == b {
		return w.drawBetween(w.script.Network.Same) + w.addedLinkDelay
	}
	return w.drawBetween(w.script.Network.Cross) + w.addedLinkDelay
}

// addMark adds an annotation to the charts; until is 0 if it has no length.
func (w *World) addMark(text string, until time.Duration) {
	m := Mark{AtS: (w.queue.now - w.lead).Seconds(), Text: text}
	if until > 0 {
		m.UntilS = (until - w.lead).Seconds()
	}
	w.marks = append(w.marks, m)
}
