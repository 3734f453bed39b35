package rehearsal

import (
	"math/rand/v2"
	"time"

	"merlinarch/internal/driver"
	"merlinarch/logic"
)

// policies construct a router's decision module by the policy's name in a script. The baselines exist only in
// rehearsals, never in the gateway.
var policies = map[string]func(logic.Settings, uint64) driver.Module{
	"module": func(s logic.Settings, seed uint64) driver.Module { return logic.New(s, seed) },
	"random": func(s logic.Settings, seed uint64) driver.Module { return newBaseline(s, seed, false) },
	"least":  func(s logic.Settings, seed uint64) driver.Module { return newBaseline(s, seed, true) },
}

// baseline is a simple policy to compare the module with. It sends each request to a random host, or to the one with
// the smallest in-flight count at this router. It keeps the rules that any router must: listed hosts only, the cap, and
// retries that the class permits. It only ever votes to advance a build.
type baseline struct {
	settings      logic.Settings
	leastInFlight bool
	rng           *rand.Rand
	hosts         []logic.Server
	inFlight      map[logic.ServerID]int
	pending       map[logic.RequestID]*pendingRequest
	release       logic.ReleaseStatus
	accepted      []time.Duration // arrivals of requests within the exposure window
	exposures     []time.Duration // attempts at the build on trial within the exposure window
	nextVoteAt    time.Duration
	started       bool
	actions       []logic.Action
}

// pendingRequest is a request that has no final answer yet.
type pendingRequest struct {
	class    logic.Class
	server   logic.ServerID // of the last attempt
	attempts int
}

func newBaseline(s logic.Settings, seed uint64, least bool) *baseline {
	return &baseline{settings: s, leastInFlight: least, rng: rand.New(rand.NewPCG(seed, 9)),
		inFlight: map[logic.ServerID]int{}, pending: map[logic.RequestID]*pendingRequest{}}
}

// Handle processes one event and returns the actions that it leads to.
func (b *baseline) Handle(now time.Duration, e logic.Event) []logic.Action {
	b.actions = b.actions[:0]
	if !b.started {
		b.started = true
		b.add(logic.SetTimer{After: 250 * time.Millisecond})
	}
	switch e := e.(type) {
	case logic.ServersListed:
		b.updateHosts(e)
	case logic.ReleaseStatus:
		if !e.IsReply || e.Reply == logic.VoteCounted {
			b.release = e
		}
	case logic.RequestArrived:
		b.requestArrived(now, e)
	case logic.AttemptDone:
		b.attemptDone(now, e)
	case logic.ClientGone:
		if a := b.pending[e.ID]; a != nil && b.settings.CanCancel {
			b.add(logic.Cancel{ID: e.ID, Attempt: a.attempts - 1})
		}
	case logic.TimerFired:
		b.add(logic.SetTimer{After: 250 * time.Millisecond})
		if b.release.Phase == logic.OnTrial && now >= b.nextVoteAt && b.settings.Self < 3 {
			b.nextVoteAt = now + b.settings.Rollout.VoteTTL/2
			b.add(logic.Vote{Build: b.release.Build, Stage: b.release.Stage, Verdict: logic.VoteAdvance})
		}
	}
	return b.actions
}

// add appends an action to the result of Handle.
func (b *baseline) add(a logic.Action) { b.actions = append(b.actions, a) }

func (b *baseline) updateHosts(e logic.ServersListed) {
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

func (b *baseline) requestArrived(now time.Duration, e logic.RequestArrived) {
	a := &pendingRequest{class: logic.Class{Repeatability: logic.Unsafe}}
	for _, c := range b.settings.Classes {
		if c.Name == e.Class {
			a.class = c
		}
	}
	b.accepted = append(dropUntil(b.accepted, now-b.settings.Rollout.ExposureWindow), now)
	b.pending[e.ID] = a
	b.send(now, e.ID, a)
}

// dropUntil removes the times up to and including from from the head of a sorted list.
func dropUntil(list []time.Duration, from time.Duration) []time.Duration {
	for len(list) > 0 && list[0] <= from {
		list = list[1:]
	}
	return list
}

// send picks a host and sends an attempt; without an eligible host the request is refused.
func (b *baseline) send(now time.Duration, id logic.RequestID, a *pendingRequest) {
	limit, stage := b.release.Cap, b.release.Stage
	if b.release.Phase != logic.OnTrial {
		limit, stage = 0, 0
	}
	b.exposures = dropUntil(b.exposures, now-b.settings.Rollout.ExposureWindow)
	underCap := float64(len(b.exposures))+1 <= limit*float64(len(b.accepted))*0.8 &&
		(stage >= b.settings.Rollout.ClosedStages || a.class.Repeatability == logic.Safe)
	var best *logic.Server
	candidates := 0
	for i := range b.hosts {
		h := &b.hosts[i]
		onTrial := h.Build > b.release.Build || h.Build == b.release.Build && b.release.Phase != logic.Released
		if onTrial && (!underCap || h.Build > b.release.Build) || h.ID == a.server && len(b.hosts) > 1 {
			continue
		}
		switch {
		case best == nil || b.leastInFlight && b.inFlight[h.ID] < b.inFlight[best.ID]:
			best, candidates = h, 1
		case !b.leastInFlight || b.inFlight[h.ID] == b.inFlight[best.ID]:
			if candidates++; b.rng.IntN(candidates) == 0 {
				best = h
			}
		}
	}
	if best == nil {
		delete(b.pending, id)
		b.add(logic.Refuse{ID: id})
		return
	}
	if best.Build == b.release.Build && b.release.Phase != logic.Released {
		b.exposures = append(b.exposures, now)
	}
	a.server = best.ID
	a.attempts++
	b.inFlight[best.ID]++
	b.add(logic.Send{ID: id, Server: best.ID})
}

func (b *baseline) attemptDone(now time.Duration, e logic.AttemptDone) {
	b.inFlight[e.Server]--
	a := b.pending[e.ID]
	if a == nil {
		return
	}
	switch {
	case e.RequestEnded:
		delete(b.pending, e.ID)
	case !e.Outcome.MayHaveRun() && a.attempts < min(3, b.settings.MaxAttempts),
		a.class.Repeatability == logic.Safe && a.attempts < min(3, b.settings.MaxAttempts) && e.Outcome != logic.TimedOut:
		b.send(now, e.ID, a)
	default:
		delete(b.pending, e.ID)
		b.add(logic.Fail{ID: e.ID})
	}
}
