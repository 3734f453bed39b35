// Package backoff decides when a router calls a service that it watches, and when it repeats a failed call. The services
// are discovery and the release platform. One router that calls at once does no harm. When hundreds call at the same
// moment, after a common start, a restart of most of them or an outage, the service spends its time on the storm of calls
// and answers none. Therefore the pause doubles with each consecutive failure and is drawn at random (exponential backoff
// with jitter). Where one service takes the calls of the whole fleet, each router also has its own slot in a window that
// is wide enough for one call from every router.
package backoff

import (
	"math"
	"math/rand/v2"
	"time"

	"merlinarch/logic"
)

const (
	defaultFirstPause = 100 * time.Millisecond // pause after the first failure of calls without a window
	defaultMaxPause   = 2 * time.Second        // longest pause for such calls

	drainGraceDivisor = 4 // the longest pause is the drain grace divided by this

	windowShare         = 0.8             // part of WatchWithin used for the window; the rest is for the answer
	moveWindow          = 3 * time.Second // window after a move to another address; changes count as delivered 4 s after it
	maxWindowFactor     = 2.0             // longest window / WatchWithin; changes count as delivered 4 WatchWithin after a failure
	toldWithin          = 6 * time.Second // after a watch has fallen silent or broken, what it misses counts as delivered
	answerTime          = time.Second     // of toldWithin, for the call that opens the next watch
	sharedSilence       = 3 * time.Second // heartbeats come every 2 s
	reopenPauseDivisor  = 10              // the least pause before a watch is opened anew is ReopenWithin divided by this
	agentSilence        = 5 * time.Second // two missed heartbeats; the next call to an agent of the router's own is made at once
	goldenRatioFraction = 0.6180339887498949
)

// Policy tells how the calls of one router are spaced in time.
type Policy struct {
	FirstPause, MaxPause time.Duration // pause after the first failure and longest pause; not used with a Window
	Window               time.Duration // time for one call from every router; zero: the first call is made at once
	MoveWindow           time.Duration // the window after a move to another address
	MaxWindow            time.Duration // limit of the window's growth while calls fail
	ReopenWithin         time.Duration // from the last sign of life of a watch that ends until the next one is opened; with a Window
	SilenceTimeout       time.Duration // a watch that is silent for longer is taken for broken
	Slot                 float64       // this router's position in the window, from 0 to under 1
	Seed                 uint64        // seed of the jitter
}

// ForDiscovery returns the policy for calls to discovery. Where routers have to watch it (Settings.WatchDiscovery), it is one
// service of fixed capacity for all routers, and WatchWithin is the time in which each of them has to call. Otherwise an
// agent of the router's own answers, and no service is shared.
func ForDiscovery(s logic.Settings, seed uint64) Policy {
	if !s.WatchDiscovery || s.WatchWithin <= 0 || s.RouterCount <= 1 {
		// What the agent receives when discovery is back counts as delivered to the router at once. If the router paused for
		// as long as the drain grace, it would learn of a drain only after that grace. Calls to the agent cost nothing, so
		// short pauses do no harm.
		policy := Policy{FirstPause: defaultFirstPause, MaxPause: defaultMaxPause, SilenceTimeout: agentSilence, Seed: seed}
		if graceShare := s.DrainGrace / drainGraceDivisor; graceShare > 0 {
			policy.FirstPause, policy.MaxPause = min(defaultFirstPause, graceShare), min(defaultMaxPause, graceShare)
		}
		return policy
	}
	// Multiples of the golden ratio spread the slots evenly over the window for any subset of the routers.
	_, slot := math.Modf(float64(s.Self) * goldenRatioFraction)
	window := time.Duration(windowShare * float64(s.WatchWithin))
	return Policy{Window: window, MoveWindow: min(window, moveWindow), MaxWindow: time.Duration(maxWindowFactor * float64(s.WatchWithin)),
		ReopenWithin: min(window, toldWithin-answerTime), SilenceTimeout: sharedSilence, Slot: slot, Seed: seed}
}

// ForPlatform returns the policy for connections to the release platform.
func ForPlatform(seed uint64) Policy {
	return Policy{FirstPause: defaultFirstPause, MaxPause: defaultMaxPause, Seed: seed}
}

// Pacer spaces one router's calls to one address. It is not safe for concurrent use.
type Pacer struct {
	policy        Policy
	rng           *rand.Rand
	initialWindow time.Duration // window of the first call
	connected     bool          // the last call has opened a connection, and it has not ended
	failures      int           // consecutive failures
}

// New returns the Pacer for an address. The flag moved tells that the router followed another address before.
func New(policy Policy, moved bool) *Pacer {
	p := &Pacer{policy: policy, rng: rand.New(rand.NewPCG(policy.Seed, policy.Seed>>32)), initialWindow: policy.Window}
	if moved {
		p.initialWindow = policy.MoveWindow
	}
	return p
}

// InitialDelay returns the pause before the first call, which is the router's own slot in the window.
func (p *Pacer) InitialDelay() time.Duration {
	return time.Duration(p.policy.Slot * float64(p.initialWindow))
}

// RecordFailure records that a call failed, or that the connection it had opened ended, after silentFor without a sign of
// life. It returns the pause before the next call, and whether this is the first of consecutive failures. Without jitter,
// calls that fail together would be repeated together. A call that the service has no time for costs it as much as one
// that it answers, so it might never answer any again.
func (p *Pacer) RecordFailure(silentFor time.Duration) (pause time.Duration, isFirst bool) {
	if p.connected && p.policy.Window > 0 {
		pause = p.reopenDelay(silentFor)
	} else {
		pause = p.pauseAfterCall()
	}
	isFirst = p.failures == 0
	p.failures++
	p.connected = false
	return pause, isFirst
}

// reopenDelay returns the pause after the end of a connection that had worked. What it misses counts as delivered soon, and
// many may end together: each router has its own slot in the time that is left, but pauses in any case, as a service may end
// each connection at once.
func (p *Pacer) reopenDelay(silentFor time.Duration) time.Duration {
	least := p.policy.ReopenWithin / reopenPauseDivisor
	return least + time.Duration(p.policy.Slot*float64(max(0, p.policy.ReopenWithin-silentFor-least)))
}

// pauseAfterCall returns the pause after a call that failed.
func (p *Pacer) pauseAfterCall() time.Duration {
	double := func(initial, limit time.Duration) time.Duration {
		return min(initial<<min(p.failures, 16), limit)
	}
	if p.policy.Window > 0 {
		return p.randomShare(double(p.policy.Window, p.policy.MaxWindow))
	}
	half := double(p.policy.FirstPause, p.policy.MaxPause) / 2
	return half + p.randomShare(half)
}

// RecordSuccess records a sign of life. It ends a series of failures, and reports whether there was one.
func (p *Pacer) RecordSuccess() (wasFailing bool) {
	wasFailing = p.failures > 0
	p.failures, p.connected = 0, true
	return wasFailing
}

// randomShare returns a random duration from 0 to under d.
func (p *Pacer) randomShare(d time.Duration) time.Duration {
	return time.Duration(p.rng.Float64() * float64(d))
}
