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

// Wish is what a client wants: one request, and the tries that it takes.
type ClientRequest struct {
	ID     int
	Key    uint64
	class  *script.Class
	tenant int
	site   string
	work   float64 // seconds at a host of speed 1
	at     time.Duration
	tries  int
	ended  bool
	window int
}

// Try is one of them, at one router.
type Try struct {
	Request *ClientRequest
	Number  int // 0 first
	Router  int
	SentAt  time.Duration
	Until   time.Duration // when its client gives up

	over, taken bool // ended for the client; has reached a router that was up
	life        int  // of the router that took it
	judged      trial
}

// Class, Tenant and Retry are what a router is told of a try.
func (t *Try) Class() string          { return t.Request.class.Name }
func (t *Try) Repeat() string         { return t.Request.class.Repeat }
func (t *Try) Tenant(w *World) string { return w.s.Tenants[t.Request.tenant].Name }

// ID is fresh for every try: 16 hex digits.
func (t *Try) ID() string {
	text := strconv.FormatUint(uint64(t.Request.ID)<<8|uint64(t.Number), 16)
	return "0000000000000000"[:16-len(text)] + text
}

// Dedup is the key under which hosts drop repeats; empty where the class has none.
func (t *Try) DedupKey() string {
	if t.Request.class.Repeat != "keyed" {
		return ""
	}
	return fmt.Sprintf("%032x", t.Request.ID+1)
}

// Answer is a router's final answer to a try.
type Answer struct {
	Status     Status
	RetryAfter time.Duration // of a refusal; zero: no advice
	Mismatched bool          // served with something that no host made for it
}

// Status is how a try or a wish ends.
type Status int

// Ends of tries, and of wishes by their last try.
const (
	Served Status = iota
	Refused
	Failed
	Abandoned // its client gave up
	Open      // the rehearsal ended first
)

var statusNames = [...]string{"served", "refused", "failed", "abandoned", "open"}

// boost is a burst under way; class and tenant are -1 where it is of all.
type boost struct {
	factor        float64
	class, tenant int
}

// traffic is the clients and what became of their wishes.
type traffic struct {
	w           *World
	lead        time.Duration
	asks, picks *rand.Rand // arrivals; the front's choices, and clients' waits
	zipf        *rand.Zipf
	boosts      []boost
	hotKey      float64
	wishes      int
	held        []map[*Try]bool // by router: taken and not answered
	tally       tally
	digest      hash.Hash
}

func newTraffic(w *World) traffic {
	t := traffic{w: w, asks: rand.New(rand.NewPCG(w.s.Seed, 2)), picks: rand.New(rand.NewPCG(w.s.Seed, 3)),
		digest: sha256.New(), tally: newTally(&w.s)}
	t.zipf = rand.NewZipf(t.asks, w.s.Clients.Zipf, 1, uint64(w.s.Clients.Keys-1))
	for range w.s.Routers.Count {
		t.held = append(t.held, map[*Try]bool{})
	}
	return t
}

// rates gives the requests a second: of all, and of each burst that is of some.
func (t *traffic) rates() (all float64, some []float64) {
	k := t.w.s.Clients
	base := k.Rate * (1 + k.Wave*math.Sin(2*math.Pi*t.w.q.now.Seconds()/k.Period.Seconds()))
	all = base
	for _, b := range t.boosts {
		extra := 0.0
		if b.class < 0 && b.tenant < 0 {
			all += base * (b.factor - 1)
		} else {
			extra = base * max(0, b.factor-1)
			if b.class >= 0 {
				extra *= t.w.s.Classes[b.class].Share / t.tally.classShare
			}
			if b.tenant >= 0 {
				extra *= t.w.s.Tenants[b.tenant].Share / t.tally.tenantShare
			}
		}
		some = append(some, extra)
	}
	return max(all, 1e-6), some
}

// ask lets one client wish, and the next one come.
func (t *traffic) ask() {
	w := t.w
	if w.q.now >= t.lead+w.s.Length {
		return
	}
	all, some := t.rates()
	total := all
	for _, x := range some {
		total += x
	}
	wait := t.asks.ExpFloat64() / total
	w.q.after(time.Duration(min(wait, 3600)*1e9), t.ask)

	class := pick(t, w.s.Classes, t.tally.classShare, func(c *script.Class) float64 { return c.Share })
	tenant := pick(t, w.s.Tenants, t.tally.tenantShare, func(x *script.Tenant) float64 { return x.Share })
	at := t.asks.Float64()*total - all
	for i := 0; i < len(some) && at >= 0; i++ {
		if at -= some[i]; at < 0 {
			if c := t.boosts[i].class; c >= 0 {
				class = c
			}
			if c := t.boosts[i].tenant; c >= 0 {
				tenant = c
			}
		}
	}
	c := &w.s.Classes[class]
	sigma := math.Sqrt(math.Log1p(c.CV * c.CV))
	q := &ClientRequest{ID: t.wishes, class: c, tenant: tenant, at: w.q.now, Key: t.zipf.Uint64() + 1,
		work: c.Work.Seconds() * math.Exp(sigma*t.asks.NormFloat64()-sigma*sigma/2),
		site: w.s.Sites[t.asks.IntN(len(w.s.Sites))]}
	if t.hotKey > 0 && t.asks.Float64() < t.hotKey {
		q.Key = 1
	}
	t.wishes++
	q.window = t.tally.asked(w.q.now-t.lead, class, tenant, c)
	t.try(q)
}

// pick draws one of several by their shares, which sum to all.
func pick[T any](t *traffic, list []T, all float64, share func(*T) float64) int {
	at := t.asks.Float64() * all
	for i := range list {
		if at -= share(&list[i]); at < 0 {
			return i
		}
	}
	return len(list) - 1
}

// try sends a wish's next try to a router that the front believes in.
func (t *traffic) try(q *ClientRequest) {
	w := t.w
	p := w.s.Clients.Patience
	patience := time.Duration((p[0] + t.picks.Float64()*(p[1]-p[0])) * float64(q.class.Deadline))
	x := &Try{Request: q, Number: q.tries, Router: t.route(q.site), SentAt: w.q.now, Until: w.q.now + patience}
	q.tries++
	w.q.after(w.within(w.s.Network.Client), func() {
		r := w.routers[x.Router]
		if !r.up { // refused to connect
			t.end(x, Failed, 0)
			return
		}
		x.taken, x.life = true, r.life
		t.held[x.Router][x] = true
		w.referee.taken(x)
		w.front.Take(x)
	})
	w.q.at(x.Until, func() { t.giveUp(x) })
}

// route picks a router of the site, else of any, that the front does not know to be dead.
func (t *traffic) route(site string) int {
	best, n := 0, 0
	for _, near := range []bool{true, false} {
		for i, r := range t.w.routers {
			if (r.site == site || !near) && (r.up || t.w.q.now < r.noticed) {
				if n++; t.picks.IntN(n) == 0 {
					best = i
				}
			}
		}
		if n > 0 {
			return best
		}
	}
	return t.picks.IntN(len(t.w.routers))
}

func (t *traffic) giveUp(x *Try) {
	if x.over {
		return
	}
	if x.taken {
		t.w.referee.unanswered(x)
		delete(t.held[x.Router], x)
		t.w.front.ClientGone(x)
	}
	t.end(x, Abandoned, 0)
}

// Answered brings a router's answer to a try's client; it takes its way from now on.
func (w *World) Answered(x *Try, a Answer) {
	w.referee.answered(x, a)
	delete(w.held[x.Router], x)
	w.q.after(w.within(w.s.Network.Client), func() {
		if x.over {
			if a.Status != Abandoned {
				w.referee.late(x)
			}
			return
		}
		w.traffic.end(x, a.Status, a.RetryAfter)
	})
}

// Untaken tells that a try found no router at its address, or one that was not up.
func (w *World) ConnectFailed(x *Try) {
	delete(w.held[x.Router], x)
	w.traffic.end(x, Failed, 0)
}

// Dropped tells that a router ended a try's connection without an answer.
func (w *World) ConnectionDropped(x *Try) {
	if x.over {
		return
	}
	w.referee.dropped(x)
	w.ConnectFailed(x)
}

// orphan tells the clients of a router that died that their connections broke.
func (w *World) orphan(router int) {
	var lost []*Try
	for x := range w.held[router] {
		lost = append(lost, x)
	}
	sortTries(lost)
	clear(w.held[router])
	for _, x := range lost {
		w.traffic.end(x, Failed, 0)
	}
}

// end ends a try for its client, who may try again.
func (t *traffic) end(x *Try, s Status, advice time.Duration) {
	if x.over {
		return
	}
	x.over = true
	w, q := t.w, x.Request
	now := w.q.now
	fmt.Fprintf(t.digest, "%s %s %d\n", x.ID(), statusNames[s], now)
	if q.ended {
		return
	}
	k := w.s.Clients
	again := s != Served && q.tries <= k.Retries && (s == Refused || q.class.Repeat != "unsafe")
	wait := min(k.Backoff[0]<<min(x.Number, 20), k.Backoff[1])
	wait = time.Duration((0.5 + t.picks.Float64()) * float64(wait))
	if advice > 0 && t.picks.Float64() < k.Honour {
		wait = max(wait, advice)
	}
	if again && now+wait < q.at+q.class.Deadline {
		w.q.after(wait, func() { t.try(q) })
		return
	}
	q.ended = true
	t.tally.ended(q, s, now)
}

// Dispute tells whether a client finds out that an answer was wrong.
func (w *World) dispute() bool { return w.draws.Float64() < w.s.Launcher.Disputed }

var repeats = map[string]logic.Repeatability{"safe": logic.Safe, "keyed": logic.Keyed, "unsafe": logic.Unsafe}
