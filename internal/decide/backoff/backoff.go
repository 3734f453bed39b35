// Package backoff decides when a router calls anew a service that it follows: discovery or the platform. What one router
// does at once is harmless; what hundreds do in the same moment, after a start, a restart of most or an outage, is a
// storm that the service spends its time on and answers to nobody. So pauses double with each failure in a row and are
// drawn at random (exponential back-off with jitter), and where one service takes the calls of the whole fleet, each
// router has a place of its own in a window that is wide enough for one call from every router.
package backoff

import (
	"math"
	"math/rand/v2"
	"time"

	"merlinarch/logic"
)

const (
	first = 100 * time.Millisecond // pause after a first failure, where calls cost a shared service nothing
	last  = 2 * time.Second        // the longest there

	graceParts = 4 // the longest pause is so small a part of a drain's grace

	askedPart = 0.8             // of the time in which every router has to ask: the rest is for the answer
	moved     = 3 * time.Second // the window at a move: changes count as told 4 s after it, heard or not
	widest    = 2.0             // of the time in which every router has to ask; after a failure four times it is granted
	golden    = 0.6180339887498949
)

// Rule tells how the calls of one router are spaced.
type Policy struct {
	FirstPause, MaxPause time.Duration // the pauses after a first failure and after many; not used with a Window
	Window               time.Duration // in which one call from every router finds room; zero: calls may come at once
	MoveWindow           time.Duration // the same after a move to another address
	MaxWindow            time.Duration // what the window grows to while calls fail
	Slot                 float64       // this router's in the window, 0 to under 1
	Seed                 uint64        // of the jitter
}

// OfDiscovery is the rule for calls at discovery. Where it has to be asked (Settings.AskDiscovery) it is one service of
// fixed capacity for all routers, and the settings tell in what time each has to ask (AskWithin); else an agent of the
// router's own answers, and nothing is shared.
func ForDiscovery(s logic.Settings, seed uint64) Policy {
	if !s.WatchDiscovery || s.WatchWithin <= 0 || s.RouterCount <= 1 {
		// Danger: what the agent gets when discovery is back counts as told at once; a pause as long as the grace of a
		// drain would hear of it when that is over. The agent answers at no cost.
		rule := Policy{FirstPause: first, MaxPause: last, Seed: seed}
		if part := s.DrainGrace / graceParts; part > 0 {
			rule.FirstPause, rule.MaxPause = min(first, part), min(last, part)
		}
		return rule
	}
	// Multiples of the golden section leave no part of the window crowded, whichever routers happen to call.
	_, place := math.Modf(float64(s.Self) * golden)
	window := time.Duration(askedPart * float64(s.WatchWithin))
	return Policy{Window: window, MoveWindow: min(window, moved), MaxWindow: time.Duration(widest * float64(s.WatchWithin)),
		Slot: place, Seed: seed}
}

// OfPlatform is the rule for connections to the release platform.
func ForPlatform(seed uint64) Policy { return Policy{FirstPause: first, MaxPause: last, Seed: seed} }

// Pace spaces one router's calls at one address. It is not safe for use by several goroutines.
type Pacer struct {
	rule  Policy
	rng   *rand.Rand
	begin time.Duration // the window of the first call
	fails int           // in a row
}

// New begins at an address; moved tells that another one was followed before.
func New(rule Policy, moved bool) *Pacer {
	p := &Pacer{rule: rule, rng: rand.New(rand.NewPCG(rule.Seed, rule.Seed>>32)), begin: rule.Window}
	if moved {
		p.begin = rule.MoveWindow
	}
	return p
}

// Begin is the pause before the first call: the router's own place in the window.
func (p *Pacer) InitialDelay() time.Duration { return time.Duration(p.rule.Slot * float64(p.begin)) }

// Failed notes that a call failed, or that what it had opened broke, and tells the pause before the next one, and
// whether this is the first failure in a row. Danger: calls that fail together come again together; a call that a
// service had no time for costs it as much as one that it answers, and so none may ever be answered again.
func (p *Pacer) RecordFailure() (pause time.Duration, isFirst bool) {
	grown := func(from, to time.Duration) time.Duration {
		return min(from<<min(p.fails, 16), to)
	}
	if isFirst = p.fails == 0; p.rule.Window > 0 {
		pause = p.part(grown(p.rule.Window, p.rule.MaxWindow))
	} else {
		half := grown(p.rule.FirstPause, p.rule.MaxPause) / 2
		pause = half + p.part(half)
	}
	p.fails++
	return pause, isFirst
}

// Succeeded ends a row of failures, and tells whether there was one.
func (p *Pacer) RecordSuccess() (wasFailing bool) {
	wasFailing, p.fails = p.fails > 0, 0
	return wasFailing
}

// part draws a part of d.
func (p *Pacer) part(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}
