package registrar

import (
	"time"

	"merlinarch/internal/decide/lease"
)

// withoutSteps returns a wall clock that goes on from its present time by the monotonic clock, whatever steps the original
// one makes later: windows and deadlines of the replicated state are spans, and must not end because a clock was set. How
// much it is off from the other processes' clocks is measured with each beat.
func withoutSteps(wallClock func() time.Time) func() time.Time {
	began, wallBegan := time.Now(), wallClock()
	return func() time.Time { return wallBegan.Add(time.Since(began)) }
}

// unixMs is the time of this registrar's wall clock.
func (o Options) unixMs() int64 { return o.WallClock().UnixMilli() }

// agreedTimeInterval is how often the time on which the members agree is computed anew.
const agreedTimeInterval = 100 * time.Millisecond

// agreedTime is the time on which the clocks of registrars and dispatchers agree, as a leader has computed it.
type agreedTime struct {
	offset     time.Duration // ahead of this registrar's clock
	agreed     bool          // a majority of the members' clocks agrees
	computedAt time.Duration
	term       uint64
}

// recordOffset records the wall clock that a message told; zero: its sender is of an earlier build, and tells none.
func recordOffset[K comparable](n *node, offsets map[K]*lease.ClockOffset, sender K, unixMs int64) {
	if unixMs == 0 {
		return
	}
	if offsets[sender] == nil {
		offsets[sender] = &lease.ClockOffset{}
	}
	offsets[sender].Record(n.opts.Clock.Now(), time.UnixMilli(unixMs).Sub(n.opts.WallClock()))
}

// agreeOnTime returns the time on which the members agree. Members are the registrars, and the dispatchers that may hold a
// lease: none of a leader's first beats can outvote those that it has not heard of yet.
func (n *node) agreeOnTime() agreedTime {
	now := n.opts.Clock.Now()
	if last := n.time; last.term == n.term && now-last.computedAt < agreedTimeInterval {
		return last
	}
	offsets, members := []time.Duration{0}, len(n.state.Registrars)
	for _, r := range n.state.Registrars {
		if o := n.peerClockOffsets[r.ID]; o != nil && r.ID != n.id.ID {
			offsets = append(offsets, o.Value())
		}
	}
	for name := range n.state.Members {
		if !n.isActive(name) {
			continue
		}
		members++
		if o := n.clockOffsets[name]; o != nil {
			offsets = append(offsets, o.Value())
		}
	}
	n.time = agreedTime{computedAt: now, term: n.term}
	n.time.offset, n.time.agreed = lease.AgreedOffset(offsets, members)
	return n.time
}

// unixMs is the wall-clock time for the replicated state: this leader's, corrected by the clocks of the other members.
func (n *node) unixMs() int64 { return n.opts.WallClock().Add(n.agreeOnTime().offset).UnixMilli() }

// clockInDoubt reports whether no majority of the members' clocks agrees, or few are known yet. Nothing is decided then that
// a wrong clock would make final.
func (n *node) clockInDoubt() bool { return !n.agreeOnTime().agreed }
