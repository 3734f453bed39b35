package rehearsal

import (
	"maps"
	"math"
	"slices"
	"time"

	"merlinarch/logic"
)

// place is a slot of the deployment in which hosts of successive builds run.
type place struct {
	index       int
	site        string
	host        *Host   // the one that serves there, or will once it has booted
	successor   *Host   // the host that replaces it, while that boots
	wantedBuild int     // the build that the launcher wants there
	errorRate   float64 // fraction of requests that hosts there answer with an error, whatever their build
}

// hostPhase is a phase of a host's life.
type hostPhase int

const (
	booting hostPhase = iota
	serving
	draining // still accepts requests, for the drain time
	closing  // accepts none and finishes those that it has
	ended
)

// Host is one incarnation of a backend server. Its cores are shared evenly by the requests in its slots; a bounded
// queue holds those that wait. It starts with cold caches and works more slowly until it is warm.
type Host struct {
	ID, Build, Cell int
	Site            string

	w            *World
	place        *place
	phase        hostPhase
	silent       bool          // ended without closing its connections: attempts get no reply, and connecting times out
	speed        float64       // seconds of work that a core does in a second once warm
	started      time.Duration // zero if it was up before the rehearsal
	pausedUntil  time.Duration
	stalled      bool          // does no work but goes on accepting requests
	speedFactor  float64       // fraction of its speed that troubles leave
	connections  int           // open, from all routers
	running      []*job        // in the slots
	waiting      []*job        // in the queue
	attained     float64       // attained service: seconds of work that a request in a slot since the start would have got
	advancedAt   time.Duration // when attained was last brought up to date
	wakeup       uint64        // number of the latest scheduled completion event; earlier ones do nothing
	coldArrivals []arrival     // recent work sent to it while cold
	loadReport   logic.Load
	loadReportAt time.Duration
}

// arrival is work, in seconds, that a host was sent while cold.
type arrival struct {
	at   time.Duration
	work float64
}

// Reply is the result of an attempt at a host.
type Reply int

// Results of attempts.
const (
	Good       Reply = iota
	Wrong            // a wrong answer that looks like a good one
	Erred            // an error, status 500
	TurnedAway       // rejected before it ran
	Broken           // the connection ended after the request had arrived
)

// Attempt is a router's attempt that has reached a host.
type Attempt struct {
	Try    *Try
	Router int
	Host   *Host
	SentAt time.Duration // when its first byte was sent
	// Done is called once, in a step of the world, unless the attempt is cancelled or the host has become silent.
	Done func(Reply, *logic.Load)

	job       *job
	ended     bool
	workSpent float64 // seconds of the host's work
}

// job is an attempt that a host runs or has queued.
type job struct {
	attempt        *Attempt
	work           float64 // seconds, with the build's speed and faults applied
	finishAttained float64 // the host's attained service at which it is done; 0 while it waits
	startAttained  float64 // the host's attained service when it started
	cancelled      bool    // nobody waits for its result
}

// launch starts a host at a place. A warm one, at the rehearsal's start, serves at once.
func (w *World) launch(p *place, build int, warm bool) *Host {
	w.launchedCount++
	sp := w.script.Hosts.Speed
	h := &Host{ID: w.launchedCount, Build: build, Site: p.site, Cell: p.index / 4, w: w, place: p, speedFactor: 1,
		speed: sp[0] + w.rng.Float64()*(sp[1]-sp[0])}
	p.wantedBuild = build
	w.hosts[h.ID] = h
	if p.host == nil {
		p.host = h
	} else {
		p.successor = h
	}
	if warm {
		h.phase = serving
		w.routerFleet.HostUp(h)
		return h
	}
	w.queue.after(w.drawBetween(w.script.Hosts.Boot), func() { w.finishBoot(h) })
	return h
}

// finishBoot makes a host serve, and drains the one that it replaces.
func (w *World) finishBoot(h *Host) {
	if h.phase != booting {
		return
	}
	h.phase, h.started, h.advancedAt = serving, w.queue.now, w.queue.now
	w.routerFleet.HostUp(h)
	w.announceHost(h)
	if p := h.place; p.successor == h {
		old := p.host
		p.host, p.successor = h, nil
		if old != nil {
			w.drain(old)
		}
	}
	w.checkReady()
}

// drain shuts a host down gracefully: it still accepts requests for the drain time, then finishes those that it has.
func (w *World) drain(h *Host) {
	switch h.phase {
	case booting:
		h.phase = ended
		delete(w.hosts, h.ID)
	case serving:
		h.phase = draining
		w.announceHost(h)
		w.queue.after(w.script.Hosts.DrainTime, func() {
			if h.phase == draining {
				h.phase = closing
				w.stopWhenIdle(h, w.queue.now+10*w.script.Hosts.DrainTime)
			}
		})
	}
}

// stopWhenIdle stops a host once it has finished its requests, or at the deadline.
func (w *World) stopWhenIdle(h *Host, deadline time.Duration) {
	if len(h.running)+len(h.waiting) == 0 || w.queue.now >= deadline {
		w.stop(h, false)
		return
	}
	w.queue.after(100*time.Millisecond, func() { w.stopWhenIdle(h, deadline) })
}

// stop ends a host at once. Its attempts are reset; if it is silent they get no reply at all.
func (w *World) stop(h *Host, silent bool) {
	if h.phase == ended || h.phase == booting {
		return
	}
	h.advance()
	h.phase, h.silent = ended, silent
	h.wakeup++
	delete(w.hosts, h.ID)
	w.routerFleet.HostDown(h, silent)
	for _, j := range slices.Concat(h.running, h.waiting) {
		j.recordWork(h)
		if !silent && !j.cancelled {
			j.attempt.finish(Broken, nil)
		}
	}
	h.running, h.waiting = nil, nil
	if silent { // discovery detects it much later
		w.queue.after(2*w.drawBetween(w.script.Discovery.Loss), func() { w.announceHost(h) })
		return
	}
	w.announceHost(h)
}

// crash stops a host and launches a new one at its place after the time away.
func (w *World) crash(h *Host, silent bool, away time.Duration) {
	if h.phase == booting || h.phase == ended {
		return
	}
	p := h.place
	w.stop(h, silent)
	if p.host != h {
		return
	}
	p.host = nil
	w.queue.after(away, func() {
		if p.host == nil && p.successor == nil {
			w.launch(p, p.wantedBuild, false)
		}
	})
}

// entry returns the host as discovery lists it.
func (h *Host) entry() Entry {
	e := Entry{Host: h, Build: h.Build, Started: h.started}
	switch h.phase {
	case draining, closing:
		e.State = logic.Draining
	case ended, booting:
		e.State = logic.Gone
	}
	return e
}

// hostsInOrder returns the hosts that have booted and not ended, by ID.
func (w *World) hostsInOrder() []*Host {
	var list []*Host
	for _, id := range slices.Sorted(maps.Keys(w.hosts)) {
		if h := w.hosts[id]; h.phase != booting {
			list = append(list, h)
		}
	}
	return list
}

// knownHostIDs returns the IDs of the hosts that a router knows, in order.
func (w *World) knownHostIDs(r *routerState) []int { return slices.Sorted(maps.Keys(r.knownHosts)) }

// warmth returns the fraction of its speed that a host has reached at a time; it grows linearly while it warms up.
func (h *Host) warmth(at time.Duration) float64 {
	if h.started == 0 || h.w.script.Hosts.ColdTime == 0 {
		return 1
	}
	from := h.w.script.Hosts.ColdFrom
	return min(1, from+(1-from)*float64(max(0, at-h.started))/float64(h.w.script.Hosts.ColdTime))
}

// rate returns the work that each request in a slot gets per second at present.
func (h *Host) rate() float64 {
	if len(h.running) == 0 || h.stalled || h.w.queue.now < h.pausedUntil {
		return 0
	}
	share := min(1, float64(h.w.script.Hosts.Cores)/float64(len(h.running)))
	return share * h.speed * h.speedFactor * h.warmth(h.w.queue.now)
}

// advance brings the attained service up to date.
func (h *Host) advance() {
	if now := h.w.queue.now; now > h.advancedAt {
		h.attained += h.meanRate() * (now - h.advancedAt).Seconds()
		h.advancedAt = now
	}
}

// meanRate returns the mean rate since the last advance. The requests in the slots have not changed since then; warmth
// is taken at the middle of the interval.
func (h *Host) meanRate() float64 {
	if h.stalled || len(h.running) == 0 {
		return 0
	}
	now := h.w.queue.now
	part := 1.0
	if h.pausedUntil > h.advancedAt { // paused for part of the interval
		part = float64(max(0, now-h.pausedUntil)) / float64(now-h.advancedAt)
	}
	share := min(1, float64(h.w.script.Hosts.Cores)/float64(len(h.running)))
	return part * share * h.speed * h.speedFactor * h.warmth((now+h.advancedAt)/2)
}

// warmUpStep bounds the time between two updates of a host that warms up, since its rate changes meanwhile.
const warmUpStep = 50 * time.Millisecond

// scheduleCompletion schedules the event at which the next request is done and voids the one scheduled before. A paused
// host gets one at the end of its pause.
func (h *Host) scheduleCompletion() {
	h.wakeup++
	if len(h.running) == 0 || h.stalled {
		return
	}
	wakeup, wait := h.wakeup, h.pausedUntil-h.w.queue.now
	if wait <= 0 {
		next := math.Inf(1)
		for _, j := range h.running {
			next = min(next, j.finishAttained)
		}
		wait = time.Duration(math.Ceil(max(0, next-h.attained) / h.rate() * 1e9))
		if h.warmth(h.w.queue.now) < 1 {
			wait = min(wait, warmUpStep)
		}
	}
	h.w.queue.after(wait, func() {
		if h.wakeup == wakeup {
			h.completeFinished()
		}
	})
}

// workTolerance is the largest remainder of a job, in seconds, that is attributed to rounding.
const workTolerance = 2e-9

// completeFinished completes the jobs that are done and starts waiting ones.
func (h *Host) completeFinished() {
	h.advance()
	var done []*job
	h.running = slices.DeleteFunc(h.running, func(j *job) bool {
		if j.finishAttained > h.attained+workTolerance {
			return false
		}
		done = append(done, j)
		return true
	})
	h.startWaiting()
	h.scheduleCompletion()
	for _, j := range done {
		h.complete(j)
	}
}

// startWaiting starts waiting jobs while there are free slots.
func (h *Host) startWaiting() {
	for len(h.running) < h.w.script.Hosts.Slots && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		j.startAttained, j.finishAttained = h.attained, h.attained+j.work
		h.running = append(h.running, j)
	}
}

// recordWork adds the work done on a job to the totals.
func (j *job) recordWork(h *Host) {
	if j.finishAttained > 0 {
		j.attempt.workSpent = min(j.work, h.attained-j.startAttained)
		h.w.workDone += j.attempt.workSpent
		if j.cancelled {
			h.w.workWasted += j.attempt.workSpent
		}
	}
}

// complete answers a job; the answer depends on the errors of its host, its place and its build.
func (h *Host) complete(j *job) {
	j.recordWork(h)
	if j.cancelled {
		return
	}
	r := Good
	f := h.w.script.Releases
	switch {
	case h.w.rng.Float64() < h.w.script.Hosts.Errors, h.place.errorRate > 0 && h.w.rng.Float64() < h.place.errorRate:
		r = Erred
	case h.Build > 0:
		r = h.w.faultyReply(h, f[h.Build-1], j.attempt)
	}
	j.attempt.finish(r, h.currentLoad())
}

// currentLoad returns the load report that goes with an answer. It is refreshed only after the configured age, and a
// stall does not show in it.
func (h *Host) currentLoad() *logic.Load {
	if now := h.w.queue.now; h.loadReportAt == 0 || now-h.loadReportAt >= h.w.script.Hosts.ReportAge {
		h.loadReport = logic.Load{InFlight: float64(len(h.running) + len(h.waiting)), Queue: float64(len(h.waiting)),
			Utilization: min(1, float64(len(h.running))/float64(h.w.script.Hosts.Slots)), RatePerSec: -1}
		h.loadReportAt = now
	}
	l := h.loadReport
	return &l
}

// finish ends an attempt and reports its result to the router.
func (a *Attempt) finish(r Reply, l *logic.Load) {
	if a.ended {
		return
	}
	a.ended = true
	a.Host.w.referee.attemptEnded(a, r)
	if a.workSpent > 0 && (r == Erred || r == Broken) {
		a.Host.w.workWasted += a.workSpent
	}
	a.Done(r, l)
}

// Arrive delivers an attempt to its host, when its last byte arrives. connected says that a connection was made for it,
// which costs the host the work of a handshake.
func (w *World) Arrive(a *Attempt, connected bool) {
	h := a.Host
	w.attempts++
	w.referee.attemptArrived(a)
	if h.silent {
		return
	}
	if h.phase == ended || h.phase == booting {
		a.finish(Broken, nil)
		return
	}
	w.trackColdLoad(a)
	if h.phase == ended { // this attempt overloaded it
		a.finish(Broken, nil)
		return
	}
	if h.phase == closing || len(h.running) >= w.script.Hosts.Slots && len(h.waiting) >= w.script.Hosts.Queue ||
		a.Try.ended {
		w.rejected++
		a.finish(TurnedAway, h.currentLoad())
		return
	}
	h.advance()
	work := a.Try.Request.work * w.workFactor(h, a)
	if connected {
		work += w.script.Hosts.Handshake.Seconds()
	}
	a.job = &job{attempt: a, work: work}
	h.waiting = append(h.waiting, a.job)
	h.startWaiting()
	h.scheduleCompletion()
}

// Cancel tells the host that nobody waits for an attempt any more. Whether the host then drops it from its queue or
// stops work on it depends on the script.
func (w *World) Cancel(a *Attempt) {
	if a.ended {
		return
	}
	a.ended = true
	w.referee.attemptEnded(a, Broken)
	h, j := a.Host, a.job
	if j == nil || h.phase == ended {
		return
	}
	j.cancelled = true
	if i := slices.Index(h.waiting, j); i >= 0 && w.script.Hosts.Stops != "nothing" {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	if i := slices.Index(h.running, j); i >= 0 && w.script.Hosts.Stops == "running" {
		h.advance()
		j.recordWork(h)
		h.running = slices.Delete(h.running, i, i+1)
		h.startWaiting()
		h.scheduleCompletion()
	}
}

// trackColdLoad counts the work that a cold host is sent, and stops the host once that exceeds a multiple of its
// capacity over the window. A new host has empty caches, so all routers together must limit what they send it.
func (w *World) trackColdLoad(a *Attempt) {
	h, now, window := a.Host, w.queue.now, w.script.Hosts.FallTime
	if h.started == 0 || now > h.started+w.script.Hosts.ColdTime {
		h.coldArrivals = nil
		return
	}
	h.coldArrivals = append(h.coldArrivals, arrival{now, a.Try.Request.class.Work.Seconds()})
	for h.coldArrivals[0].at < now-window {
		h.coldArrivals = h.coldArrivals[1:]
	}
	if now < h.started+window {
		return
	}
	load := 0.0
	for _, s := range h.coldArrivals {
		load += s.work
	}
	capacity := float64(w.script.Hosts.Cores) * h.speed * h.warmth(now-window/2) * window.Seconds()
	if load > w.script.Hosts.FallMultiple*capacity {
		w.referee.hostOverloaded(h)
		h.place.host = nil // it is not restarted
		w.stop(h, false)
	}
}
