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
	agentFirstPause = 100 * time.Millisecond // pause after a first failure, where calls cost a shared service nothing
	agentMaxPause   = 2 * time.Second        // the longest there

	drainGraceDivisor = 4 // the longest pause is so small a part of a drain's grace

	windowShare         = 0.8             // of the time in which every router has to ask: the rest is for the answer
	moveWindow          = 3 * time.Second // the window at a move: changes count as told 4 s after it, heard or not
	maxWindowFactor     = 2.0             // of the time in which every router has to ask; after a failure four times it is granted
	goldenRatioFraction = 0.6180339887498949
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
	if !s.AskDiscovery || s.AskWithin <= 0 || s.Peers <= 1 {
		// Danger: what the agent gets when discovery is back counts as told at once; a pause as long as the grace of a
		// drain would hear of it when that is over. The agent answers at no cost.
		policy := Policy{FirstPause: agentFirstPause, MaxPause: agentMaxPause, Seed: seed}
		if graceShare := s.DrainGrace / drainGraceDivisor; graceShare > 0 {
			policy.FirstPause, policy.MaxPause = min(agentFirstPause, graceShare), min(agentMaxPause, graceShare)
		}
		return policy
	}
	// Multiples of the golden section leave no part of the window crowded, whichever routers happen to call.
	_, slot := math.Modf(float64(s.Self) * goldenRatioFraction)
	window := time.Duration(windowShare * float64(s.AskWithin))
	return Policy{Window: window, MoveWindow: min(window, moveWindow), MaxWindow: time.Duration(maxWindowFactor * float64(s.AskWithin)),
		Slot: slot, Seed: seed}
}

// OfPlatform is the rule for connections to the release platform.
func ForPlatform(seed uint64) Policy {
	return Policy{FirstPause: agentFirstPause, MaxPause: agentMaxPause, Seed: seed}
}

// Pace spaces one router's calls at one address. It is not safe for use by several goroutines.
type Pacer struct {
	policy        Policy
	rng           *rand.Rand
	initialWindow time.Duration // the window of the first call
	failures      int           // in a row
}

// New begins at an address; moved tells that another one was followed before.
func New(policy Policy, moved bool) *Pacer {
	p := &Pacer{policy: policy, rng: rand.New(rand.NewPCG(policy.Seed, policy.Seed>>32)), initialWindow: policy.Window}
	if moved {
		p.initialWindow = policy.MoveWindow
	}
	return p
}

// Begin is the pause before the first call: the router's own place in the window.
func (p *Pacer) InitialDelay() time.Duration {
	return time.Duration(p.policy.Slot * float64(p.initialWindow))
}

// Failed notes that a call failed, or that what it had opened broke, and tells the pause before the next one, and
// whether this is the first failure in a row. Danger: calls that fail together come again together; a call that a
// service had no time for costs it as much as one that it answers, and so none may ever be answered again.
func (p *Pacer) RecordFailure() (pause time.Duration, isFirst bool) {
	double := func(initial, limit time.Duration) time.Duration {
		return min(initial<<min(p.failures, 16), limit)
	}
	if isFirst = p.failures == 0; p.policy.Window > 0 {
		pause = p.randomShare(double(p.policy.Window, p.policy.MaxWindow))
	} else {
		half := double(p.policy.FirstPause, p.policy.MaxPause) / 2
		pause = half + p.randomShare(half)
	}
	p.failures++
	return pause, isFirst
}

// Succeeded ends a row of failures, and tells whether there was one.
func (p *Pacer) RecordSuccess() (wasFailing bool) {
	wasFailing, p.failures = p.failures > 0, 0
	return wasFailing
}

// part draws a part of d.
func (p *Pacer) randomShare(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}
