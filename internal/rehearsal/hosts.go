package rehearsal

import (
	"maps"
	"math"
	"slices"
	"time"

	"merlinarch/logic"
)

// place is where a host of one build or another runs.
type place struct {
	index int
	site  string
	host  *Host   // the one that serves there, or will
	next  *Host   // its successor, while that boots
	want  int     // the build that is to run there
	fail  float64 // part of the requests that a host there answers with an error, whatever it runs
}

// phase is where a host stands in its life.
type phase int

const (
	booting phase = iota
	serving
	draining // takes what comes, for a while
	closing  // finishes what it has
	ended
)

// Host is one life of a notice server: a few cores shared evenly by the requests in its slots, a bounded queue
// before them, and caches that are cold at the start.
type Host struct {
	ID, Build, Cell int
	Site            string

	w        *World
	place    *place
	phase    phase
	silent   bool // gone without a word, or not listening yet to those who connect
	speed    float64
	started  time.Duration // zero: before the rehearsal
	paused   time.Duration // stands still until then
	stalled  bool
	slow     float64 // part of its speed that troubles leave it
	conns    int
	running  []*job
	waiting  []*job
	attained float64 // seconds of work that a request in a slot since the start would have got
	seenAt   time.Duration
	turn     uint64 // of the event that looks for finished work; older ones are void
	sent     []arrival
	report   logic.Load
	reportAt time.Duration
}

// arrival is work that a host was sent while it may be cold.
type arrival struct {
	at   time.Duration
	work float64
}

// Reply is how an attempt fares at a host.
type Reply int

// Replies.
const (
	Good       Reply = iota
	Wrong            // looks good, but is not
	Erred            // 500
	TurnedAway       // never ran
	Broken           // the connection ended after the request was there
)

// Attempt is a router's attempt that has reached a host.
type Attempt struct {
	Try    *Try
	Router int
	Host   *Host
	SentAt time.Duration // its first byte
	// Done is called once, in a step of the world, unless the attempt is cancelled or the host has gone silent.
	Done func(Reply, *logic.Load)

	job   *job
	over  bool
	spent float64
}

// job is an attempt in a host's hands.
type job struct {
	a      *Attempt
	work   float64 // seconds, with what the build makes of it
	finish float64 // attained work at which it is done
	from   float64
	dead   bool // nobody waits
}

// launch starts a host at a place; at once and warm where the rehearsal begins.
func (w *World) launch(p *place, build int, warm bool) *Host {
	w.lives++
	sp := w.s.Hosts.Speed
	h := &Host{ID: w.lives, Build: build, Site: p.site, Cell: p.index / 4, w: w, place: p, slow: 1,
		speed: sp[0] + w.draws.Float64()*(sp[1]-sp[0])}
	p.want = build
	w.fleet[h.ID] = h
	if p.host == nil {
		p.host = h
	} else {
		p.next = h
	}
	if warm {
		h.phase = serving
		w.front.HostUp(h)
		return h
	}
	w.q.after(w.within(w.s.Hosts.Boot), func() { w.up(h) })
	return h
}

// up makes a host serve, and drains the one before it.
func (w *World) up(h *Host) {
	if h.phase != booting {
		return
	}
	h.phase, h.started, h.seenAt = serving, w.q.now, w.q.now
	w.front.HostUp(h)
	w.listed(h)
	if p := h.place; p.next == h {
		old := p.host
		p.host, p.next = h, nil
		if old != nil {
			w.drain(old)
		}
	}
	w.settled()
}

// drain ends a host in good order.
func (w *World) drain(h *Host) {
	switch h.phase {
	case booting:
		h.phase = ended
		delete(w.fleet, h.ID)
	case serving:
		h.phase = draining
		w.listed(h)
		w.q.after(w.s.Hosts.DrainTime, func() {
			if h.phase == draining {
				h.phase = closing
				w.finishing(h, w.q.now+10*w.s.Hosts.DrainTime)
			}
		})
	}
}

// finishing ends a host once it has finished what it had, or its time is over.
func (w *World) finishing(h *Host, until time.Duration) {
	if len(h.running)+len(h.waiting) == 0 || w.q.now >= until {
		w.down(h, false)
		return
	}
	w.q.after(100*time.Millisecond, func() { w.finishing(h, until) })
}

// down ends a host at once: what it holds is reset, or hears nothing if it is silent.
func (w *World) down(h *Host, silent bool) {
	if h.phase == ended || h.phase == booting {
		return
	}
	h.advance()
	h.phase, h.silent = ended, silent
	h.turn++
	delete(w.fleet, h.ID)
	w.front.HostDown(h, silent)
	for _, j := range slices.Concat(h.running, h.waiting) {
		j.spend(h)
		if !silent && !j.dead {
			j.a.end(Broken, nil)
		}
	}
	h.running, h.waiting = nil, nil
	if silent { // seen as gone much later
		w.q.after(2*w.within(w.s.Discovery.Loss), func() { w.listed(h) })
		return
	}
	w.listed(h)
}

// crash ends a host and starts it anew at its place after a while.
func (w *World) crash(h *Host, silent bool, away time.Duration) {
	if h.phase == booting || h.phase == ended {
		return
	}
	p := h.place
	w.down(h, silent)
	if p.host != h {
		return
	}
	p.host = nil
	w.q.after(away, func() {
		if p.host == nil && p.next == nil {
			w.launch(p, p.want, false)
		}
	})
}

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

// hostsInOrder are the hosts that run, by number.
func (w *World) hostsInOrder() []*Host {
	var list []*Host
	for _, id := range slices.Sorted(maps.Keys(w.fleet)) {
		if h := w.fleet[id]; h.phase != booting {
			list = append(list, h)
		}
	}
	return list
}

func (w *World) everyKnown(r *routerState) []int { return slices.Sorted(maps.Keys(r.known)) }

// ramp is the part of its speed that a host has at a time.
func (h *Host) ramp(at time.Duration) float64 {
	if h.started == 0 || h.w.s.Hosts.ColdTime == 0 {
		return 1
	}
	from := h.w.s.Hosts.ColdFrom
	return min(1, from+(1-from)*float64(max(0, at-h.started))/float64(h.w.s.Hosts.ColdTime))
}

// rate is the work that each request in a slot gets in a second.
func (h *Host) rate() float64 {
	if len(h.running) == 0 || h.stalled || h.w.q.now < h.paused {
		return 0
	}
	share := min(1, float64(h.w.s.Hosts.Cores)/float64(len(h.running)))
	return share * h.speed * h.slow * h.ramp(h.w.q.now)
}

// advance brings the work up to the present, at the rate since the last look.
func (h *Host) advance() {
	if now := h.w.q.now; now > h.seenAt {
		h.attained += h.rate0() * (now - h.seenAt).Seconds()
		h.seenAt = now
	}
}

// rate0 is the rate that held since the last look: the state has not changed, the warmth hardly.
func (h *Host) rate0() float64 {
	if h.stalled || len(h.running) == 0 {
		return 0
	}
	now := h.w.q.now
	part := 1.0
	if h.paused > h.seenAt { // stood still for a part of it
		part = float64(max(0, now-h.paused)) / float64(now-h.seenAt)
	}
	share := min(1, float64(h.w.s.Hosts.Cores)/float64(len(h.running)))
	return part * share * h.speed * h.slow * h.ramp((now+h.seenAt)/2)
}

// coldStep is how often a host that warms up, or stands still, is looked at.
const coldStep = 50 * time.Millisecond

// look asks for the moment at which the next request is done.
func (h *Host) look() {
	h.turn++
	if len(h.running) == 0 || h.stalled {
		return
	}
	turn, wait := h.turn, h.paused-h.w.q.now
	if wait <= 0 {
		least := math.Inf(1)
		for _, j := range h.running {
			least = min(least, j.finish)
		}
		wait = time.Duration(math.Ceil(max(0, least-h.attained) / h.rate() * 1e9))
		if h.ramp(h.w.q.now) < 1 {
			wait = min(wait, coldStep)
		}
	}
	h.w.q.after(wait, func() {
		if h.turn == turn {
			h.work()
		}
	})
}

// tiny is what rounding may leave of a job, in seconds.
const tiny = 2e-9

// work ends what is done and begins what waits.
func (h *Host) work() {
	h.advance()
	var done []*job
	h.running = slices.DeleteFunc(h.running, func(j *job) bool {
		if j.finish > h.attained+tiny {
			return false
		}
		done = append(done, j)
		return true
	})
	h.fill()
	h.look()
	for _, j := range done {
		h.complete(j)
	}
}

// fill begins what waits while there are slots.
func (h *Host) fill() {
	for len(h.running) < h.w.s.Hosts.Slots && len(h.waiting) > 0 {
		j := h.waiting[0]
		h.waiting = h.waiting[1:]
		j.from, j.finish = h.attained, h.attained+j.work
		h.running = append(h.running, j)
	}
}

// spend counts the work that went into a job.
func (j *job) spend(h *Host) {
	if j.finish > 0 {
		j.a.spent = min(j.work, h.attained-j.from)
		h.w.worked += j.a.spent
		if j.dead {
			h.w.wasted += j.a.spent
		}
	}
}

// complete answers a job, as its build does.
func (h *Host) complete(j *job) {
	j.spend(h)
	if j.dead {
		return
	}
	r := Good
	f := h.w.s.Releases
	switch {
	case h.w.draws.Float64() < h.w.s.Hosts.Errors, h.place.fail > 0 && h.w.draws.Float64() < h.place.fail:
		r = Erred
	case h.Build > 0:
		r = h.w.fails(h, f[h.Build-1], j.a)
	}
	j.a.end(r, h.load())
}

// load is the report that goes with an answer: as old as told, and healthy while the host only stalls.
func (h *Host) load() *logic.Load {
	if now := h.w.q.now; h.reportAt == 0 || now-h.reportAt >= h.w.s.Hosts.ReportAge {
		h.report = logic.Load{InFlight: float64(len(h.running) + len(h.waiting)), Queue: float64(len(h.waiting)),
			Utilization: min(1, float64(len(h.running))/float64(h.w.s.Hosts.Slots)), RatePerSec: -1}
		h.reportAt = now
	}
	l := h.report
	return &l
}

// end tells the router how its attempt fared.
func (a *Attempt) end(r Reply, l *logic.Load) {
	if a.over {
		return
	}
	a.over = true
	a.Host.w.referee.ran(a, r)
	if a.spent > 0 && (r == Erred || r == Broken) {
		a.Host.w.wasted += a.spent
	}
	a.Done(r, l)
}

// Arrive brings an attempt to its host, with its last byte.
func (w *World) Arrive(a *Attempt, connected bool) {
	h := a.Host
	w.attempts++
	w.referee.attempt(a)
	if h.silent {
		return
	}
	if h.phase == ended || h.phase == booting {
		a.end(Broken, nil)
		return
	}
	w.strain(a)
	if h.phase == ended { // pushed over by this one
		a.end(Broken, nil)
		return
	}
	if h.phase == closing || len(h.running) >= w.s.Hosts.Slots && len(h.waiting) >= w.s.Hosts.Queue || a.Try.over {
		w.rejected++
		a.end(TurnedAway, h.load())
		return
	}
	h.advance()
	work := a.Try.Request.work * w.burden(h, a)
	if connected {
		work += w.s.Hosts.Handshake.Seconds()
	}
	a.job = &job{a: a, work: work}
	h.waiting = append(h.waiting, a.job)
	h.fill()
	h.look()
}

// Cancel tells the host that nobody waits for an attempt.
func (w *World) Cancel(a *Attempt) {
	if a.over {
		return
	}
	a.over = true
	w.referee.ran(a, Broken)
	h, j := a.Host, a.job
	if j == nil || h.phase == ended {
		return
	}
	j.dead = true
	if i := slices.Index(h.waiting, j); i >= 0 && w.s.Hosts.Stops != "nothing" {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	if i := slices.Index(h.running, j); i >= 0 && w.s.Hosts.Stops == "running" {
		h.advance()
		j.spend(h)
		h.running = slices.Delete(h.running, i, i+1)
		h.fill()
		h.look()
	}
}

// strain counts what a cold host is sent, and pushes it over if that is too much for too long. Danger: a host
// that is new has no caches; all routers together may send it no more than a multiple of what it can do.
func (w *World) strain(a *Attempt) {
	h, now, window := a.Host, w.q.now, w.s.Hosts.FallTime
	if h.started == 0 || now > h.started+w.s.Hosts.ColdTime {
		h.sent = nil
		return
	}
	h.sent = append(h.sent, arrival{now, a.Try.Request.class.Work.Seconds()})
	for h.sent[0].at < now-window {
		h.sent = h.sent[1:]
	}
	if now < h.started+window {
		return
	}
	sum := 0.0
	for _, s := range h.sent {
		sum += s.work
	}
	able := float64(w.s.Hosts.Cores) * h.speed * h.ramp(now-window/2) * window.Seconds()
	if sum > w.s.Hosts.FallMultiple*able {
		w.referee.fell(h)
		h.place.host = nil // it stays down
		w.down(h, false)
	}
}
