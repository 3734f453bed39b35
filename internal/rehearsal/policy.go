package rehearsal

import (
	"math/rand/v2"
	"time"

	"merlinarch/internal/driver"
	"merlinarch/logic"
)

// policies make what decides in a router, by name. The baselines live here, never in the product's path.
var policies = map[string]func(logic.Settings, uint64) driver.Module{
	"module": func(s logic.Settings, seed uint64) driver.Module { return logic.New(s, seed) },
	"random": func(s logic.Settings, seed uint64) driver.Module { return newBaseline(s, seed, false) },
	"least":  func(s logic.Settings, seed uint64) driver.Module { return newBaseline(s, seed, true) },
}

// baseline sends each request to a host by chance, or to the one with the least in flight as this router sees it.
// It keeps to the rules that any router would: listed hosts, the cap, repeats as the class permits. It never votes
// a build back: each goes on by itself.
type baseline struct {
	s      logic.Settings
	least  bool
	rng    *rand.Rand
	hosts  []logic.Server
	flying map[logic.ServerID]int
	asked  map[logic.RequestID]*asked
	news   logic.ReleaseStatus
	taken  []time.Duration // requests within the window, while a build is on trial
	tried  []time.Duration
	voteAt time.Duration
	begun  bool
	out    []logic.Action
}

type asked struct {
	class  logic.Class
	server logic.ServerID
	tries  int
}

func newBaseline(s logic.Settings, seed uint64, least bool) *baseline {
	return &baseline{s: s, least: least, rng: rand.New(rand.NewPCG(seed, 9)), flying: map[logic.ServerID]int{},
		asked: map[logic.RequestID]*asked{}}
}

// Handle takes one event.
func (b *baseline) Handle(now time.Duration, e logic.Event) []logic.Action {
	b.out = b.out[:0]
	if !b.begun {
		b.begun = true
		b.do(logic.SetTimer{After: 250 * time.Millisecond})
	}
	switch e := e.(type) {
	case logic.ServersListed:
		b.listed(e)
	case logic.ReleaseStatus:
		if !e.IsReply || e.Reply == logic.VoteCounted {
			b.news = e
		}
	case logic.RequestArrived:
		b.arrive(now, e)
	case logic.AttemptDone:
		b.done(now, e)
	case logic.ClientGone:
		if a := b.asked[e.ID]; a != nil && b.s.CanCancel {
			b.do(logic.Cancel{ID: e.ID, Attempt: a.tries - 1})
		}
	case logic.TimerFired:
		b.do(logic.SetTimer{After: 250 * time.Millisecond})
		if b.news.Phase == logic.OnTrial && now >= b.voteAt && b.s.Self < 3 {
			b.voteAt = now + b.s.Rollout.VoteTTL/2
			b.do(logic.Vote{Build: b.news.Build, Stage: b.news.Stage, Verdict: logic.VoteAdvance})
		}
	}
	return b.out
}

func (b *baseline) do(a logic.Action) { b.out = append(b.out, a) }

func (b *baseline) listed(e logic.ServersListed) {
	if e.Full {
		b.hosts = nil
	}
	for _, s := range e.Servers {
		kept := b.hosts[:0]
		for _, h := range b.hosts {
			if h.ID != s.ID {
				kept = append(kept, h)
			}
		}
		b.hosts = kept
		if s.State == logic.Ready {
			b.hosts = append(b.hosts, s)
		}
	}
}

func (b *baseline) arrive(now time.Duration, e logic.RequestArrived) {
	a := &asked{class: logic.Class{Repeatability: logic.Unsafe}}
	for _, c := range b.s.Classes {
		if c.Name == e.Class {
			a.class = c
		}
	}
	b.taken = append(within(b.taken, now-b.s.Rollout.ExposureWindow), now)
	b.asked[e.ID] = a
	b.send(now, e.ID, a)
}

func within(list []time.Duration, from time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= from {
		list = list[1:]
	}
	return list
}

// send picks a host; without one the request is refused.
func (b *baseline) send(now time.Duration, id logic.RequestID, a *asked) {
	limit, stage := b.news.Cap, b.news.Stage
	if b.news.Phase != logic.OnTrial {
		limit, stage = 0, 0
	}
	b.tried = within(b.tried, now-b.s.Rollout.ExposureWindow)
	room := float64(len(b.tried))+1 <= limit*float64(len(b.taken))*0.8 &&
		(stage >= b.s.Rollout.ClosedStages || a.class.Repeatability == logic.Safe)
	var best *logic.Server
	n := 0
	for i := range b.hosts {
		h := &b.hosts[i]
		trial := h.Build > b.news.Build || h.Build == b.news.Build && b.news.Phase != logic.Released
		if trial && (!room || h.Build > b.news.Build) || h.ID == a.server && len(b.hosts) > 1 {
			continue
		}
		switch {
		case best == nil || b.least && b.flying[h.ID] < b.flying[best.ID]:
			best, n = h, 1
		case !b.least || b.flying[h.ID] == b.flying[best.ID]:
			if n++; b.rng.IntN(n) == 0 {
				best = h
			}
		}
	}
	if best == nil {
		delete(b.asked, id)
		b.do(logic.Refuse{ID: id})
		return
	}
	if best.Build == b.news.Build && b.news.Phase != logic.Released {
		b.tried = append(b.tried, now)
	}
	a.server = best.ID
	a.tries++
	b.flying[best.ID]++
	b.do(logic.Send{ID: id, Server: best.ID})
}

func (b *baseline) done(now time.Duration, e logic.AttemptDone) {
	b.flying[e.Server]--
	a := b.asked[e.ID]
	if a == nil {
		return
	}
	switch {
	case e.RequestEnded:
		delete(b.asked, e.ID)
	case !e.Outcome.MayHaveRun() && a.tries < min(3, b.s.MaxAttempts),
		a.class.Repeatability == logic.Safe && a.tries < min(3, b.s.MaxAttempts) && e.Outcome != logic.TimedOut:
		b.send(now, e.ID, a)
	default:
		delete(b.asked, e.ID)
		b.do(logic.Fail{ID: e.ID})
	}
}
