package rehearsal

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"merlinarch/internal/rehearsal/script"
	"merlinarch/logic"
)

// ClientRequest is one request of a client, which may take several tries.
type ClientRequest struct {
	ID        int
	Key       uint64
	class     *script.Class
	tenant    int
	site      string
	work      float64 // seconds at a warm host of speed 1
	arrivedAt time.Duration
	tryCount  int
	ended     bool
	window    int // index of the report's window in which it arrived
}

// Try is one try of a client's request, at one router. A router may make several attempts for it.
type Try struct {
	Request *ClientRequest
	Number  int // 0 for the first
	Router  int
	SentAt  time.Duration
	Until   time.Duration // when its client gives up

	ended, accepted bool // ended for the client; has reached a router that was up
	incarnation     int  // of the router that accepted it
	record          tryRecord
}

// Class returns the name of the request's class.
func (t *Try) Class() string { return t.Request.class.Name }

// Repeat returns whether requests of its class may be repeated: safe, keyed or unsafe.
func (t *Try) Repeat() string { return t.Request.class.Repeat }

// Tenant returns the name of the request's tenant.
func (t *Try) Tenant(w *World) string { return w.script.Tenants[t.Request.tenant].Name }

// ID returns the try's ID, 16 hex digits that no other try has.
func (t *Try) ID() string {
	text := strconv.FormatUint(uint64(t.Request.ID)<<8|uint64(t.Number), 16)
	return "0000000000000000"[:16-len(text)] + text
}

// DedupKey returns the idempotency key by which hosts drop repeats of the request; it is empty if the class has none.
func (t *Try) DedupKey() string {
	if t.Request.class.Repeat != "keyed" {
		return ""
	}
	return fmt.Sprintf("%032x", t.Request.ID+1)
}

// Answer is a router's final answer to a try.
type Answer struct {
	Status     Status
	RetryAfter time.Duration // advice with a refusal; zero if none
	Mismatched bool          // the answer's body is not the one that a host sends for this try
}

// Status is how a try or a request ends.
type Status int

// Ends of tries; a request ends like its last try.
const (
	Served Status = iota
	Refused
	Failed
	Abandoned // its client gave up
	Open      // the rehearsal ended first
)

var statusNames = [...]string{"served", "refused", "failed", "abandoned", "open"}

// burst is a burst of traffic under way. class and tenant are indexes, -1 if it is not limited to one.
type burst struct {
	factor        float64
	class, tenant int
}

// traffic is the clients, the balancer through which they reach the routers, and the outcome of their requests.
type traffic struct {
	w                     *World
	lead                  time.Duration
	arrivalRNG, clientRNG *rand.Rand // new requests; the balancer's choices, and clients' patience and backoff
	zipf                  *rand.Zipf
	bursts                []burst
	hotKeyShare           float64
	requestCount          int
	pending               []map[*Try]bool // by router: tries accepted and not answered
	tally                 tally
	digest                hash.Hash // over the ends of tries
}

func newTraffic(w *World) traffic {
	t := traffic{w: w, arrivalRNG: rand.New(rand.NewPCG(w.script.Seed, 2)),
		clientRNG: rand.New(rand.NewPCG(w.script.Seed, 3)), digest: sha256.New(), tally: newTally(&w.script)}
	t.zipf = rand.NewZipf(t.arrivalRNG, w.script.Clients.Zipf, 1, uint64(w.script.Clients.Keys-1))
	for range w.script.Routers.Count {
		t.pending = append(t.pending, map[*Try]bool{})
	}
	return t
}

// rates returns the arrival rates per second: the common one, and what each burst of one class or tenant adds.
func (t *traffic) rates() (common float64, extras []float64) {
	clients := t.w.script.Clients
	base := clients.Rate * (1 + clients.Wave*math.Sin(2*math.Pi*t.w.queue.now.Seconds()/clients.Period.Seconds()))
	common = base
	for _, b := range t.bursts {
		extra := 0.0
		if b.class < 0 && b.tenant < 0 {
			common += base * (b.factor - 1)
		} else {
			extra = base * max(0, b.factor-1)
			if b.class >= 0 {
				extra *= t.w.script.Classes[b.class].Share / t.tally.classShare
			}
			if b.tenant >= 0 {
				extra *= t.w.script.Tenants[b.tenant].Share / t.tally.tenantShare
			}
		}
		extras = append(extras, extra)
	}
	return max(common, 1e-6), extras
}

// newRequest creates a client's request and schedules the next one. The waits between are exponentially distributed, so
// arrivals are a Poisson process.
func (t *traffic) newRequest() {
	w := t.w
	if w.queue.now >= t.lead+w.script.Length {
		return
	}
	common, extras := t.rates()
	total := common
	for _, x := range extras {
		total += x
	}
	wait := t.arrivalRNG.ExpFloat64() / total
	w.queue.after(time.Duration(min(wait, 3600)*1e9), t.newRequest)

	class := drawByShare(t, w.script.Classes, t.tally.classShare, func(c *script.Class) float64 { return c.Share })
	tenant := drawByShare(t, w.script.Tenants, t.tally.tenantShare, func(x *script.Tenant) float64 { return x.Share })
	draw := t.arrivalRNG.Float64()*total - common
	for i := 0; i < len(extras) && draw >= 0; i++ {
		if draw -= extras[i]; draw < 0 {
			if c := t.bursts[i].class; c >= 0 {
				class = c
			}
			if c := t.bursts[i].tenant; c >= 0 {
				tenant = c
			}
		}
	}
	c := &w.script.Classes[class]
	sigma := math.Sqrt(math.Log1p(c.CV * c.CV))
	request := &ClientRequest{ID: t.requestCount, class: c, tenant: tenant, arrivedAt: w.queue.now,
		Key: t.zipf.Uint64() + 1, work: c.Work.Seconds() * math.Exp(sigma*t.arrivalRNG.NormFloat64()-sigma*sigma/2),
		site: w.script.Sites[t.arrivalRNG.IntN(len(w.script.Sites))]}
	if t.hotKeyShare > 0 && t.arrivalRNG.Float64() < t.hotKeyShare {
		request.Key = 1
	}
	t.requestCount++
	request.window = t.tally.addRequest(w.queue.now-t.lead, class, tenant, c)
	t.sendTry(request)
}

// drawByShare draws the index of an element with a probability proportional to its share; the shares sum to total.
func drawByShare[T any](t *traffic, list []T, total float64, share func(*T) float64) int {
	draw := t.arrivalRNG.Float64() * total
	for i := range list {
		if draw -= share(&list[i]); draw < 0 {
			return i
		}
	}
	return len(list) - 1
}

// sendTry sends a request's next try to a router that the clients' balancer considers up.
func (t *traffic) sendTry(request *ClientRequest) {
	w := t.w
	patienceRange := w.script.Clients.Patience
	patience := time.Duration((patienceRange[0] + t.clientRNG.Float64()*(patienceRange[1]-patienceRange[0])) *
		float64(request.class.Deadline))
	x := &Try{Request: request, Number: request.tryCount, Router: t.pickRouter(request.site), SentAt: w.queue.now,
		Until: w.queue.now + patience}
	request.tryCount++
	w.queue.after(w.drawBetween(w.script.Network.Client), func() {
		r := w.routers[x.Router]
		if !r.up { // connection refused
			t.endTry(x, Failed, 0)
			return
		}
		x.accepted, x.incarnation = true, r.incarnation
		t.pending[x.Router][x] = true
		w.referee.tryAccepted(x)
		w.routerFleet.Take(x)
	})
	w.queue.at(x.Until, func() { t.giveUp(x) })
}

// pickRouter draws a router that the clients' balancer does not know to be down: of the site if there is one, else of
// any site. If it knows all to be down, it draws from all.
func (t *traffic) pickRouter(site string) int {
	best, n := 0, 0
	for _, near := range []bool{true, false} {
		for i, r := range t.w.routers {
			if (r.site == site || !near) && (r.up || t.w.queue.now < r.avoidedFrom) {
				if n++; t.clientRNG.IntN(n) == 0 {
					best = i
				}
			}
		}
		if n > 0 {
			return best
		}
	}
	return t.clientRNG.IntN(len(t.w.routers))
}

// giveUp ends a try whose client's patience is over.
func (t *traffic) giveUp(x *Try) {
	if x.ended {
		return
	}
	if x.accepted {
		t.w.referee.clientGaveUp(x)
		delete(t.pending[x.Router], x)
		t.w.routerFleet.ClientGone(x)
	}
	t.endTry(x, Abandoned, 0)
}

// Answered sends a router's answer to the client of a try, which it reaches after the network's delay.
func (w *World) Answered(x *Try, a Answer) {
	w.referee.tryAnswered(x, a)
	delete(w.pending[x.Router], x)
	w.queue.after(w.drawBetween(w.script.Network.Client), func() {
		if x.ended {
			if a.Status != Abandoned {
				w.referee.answeredLate(x)
			}
			return
		}
		w.traffic.endTry(x, a.Status, a.RetryAfter)
	})
}

// ConnectFailed reports that a try could not connect to its router.
func (w *World) ConnectFailed(x *Try) {
	delete(w.pending[x.Router], x)
	w.traffic.endTry(x, Failed, 0)
}

// ConnectionDropped reports that a router closed a try's connection without an answer.
func (w *World) ConnectionDropped(x *Try) {
	if x.ended {
		return
	}
	w.referee.connectionDropped(x)
	w.ConnectFailed(x)
}

// breakConnections fails the tries that a router held when it died.
func (w *World) breakConnections(router int) {
	var lost []*Try
	for x := range w.pending[router] {
		lost = append(lost, x)
	}
	sortTries(lost)
	clear(w.pending[router])
	for _, x := range lost {
		w.traffic.endTry(x, Failed, 0)
	}
}

// endTry ends a try for its client. The client tries again after a backoff if the class, its retry limit and the
// deadline permit.
func (t *traffic) endTry(x *Try, s Status, advice time.Duration) {
	if x.ended {
		return
	}
	x.ended = true
	w, request := t.w, x.Request
	now := w.queue.now
	fmt.Fprintf(t.digest, "%s %s %d\n", x.ID(), statusNames[s], now)
	if request.ended {
		return
	}
	clients := w.script.Clients
	retry := s != Served && request.tryCount <= clients.Retries && (s == Refused || request.class.Repeat != "unsafe")
	wait := min(clients.Backoff[0]<<min(x.Number, 20), clients.Backoff[1])
	wait = time.Duration((0.5 + t.clientRNG.Float64()) * float64(wait))
	if advice > 0 && t.clientRNG.Float64() < clients.Honour {
		wait = max(wait, advice)
	}
	if retry && now+wait < request.arrivedAt+request.class.Deadline {
		w.queue.after(wait, func() { t.sendTry(request) })
		return
	}
	request.ended = true
	t.tally.addEnd(request, s, now)
}

// drawDisputed draws whether a client notices that an answer was wrong.
func (w *World) drawDisputed() bool { return w.rng.Float64() < w.script.Launcher.Disputed }

// repeatabilities translates a class's repeat in a script.
var repeatabilities = map[string]logic.Repeatability{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}
