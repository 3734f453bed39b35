package lease

import (
	"slices"
	"time"
)

// clockTolerance is by how much clocks that agree may differ. It covers the time that a message takes on a busy machine.
const clockTolerance = 2 * time.Second

// AgreedOffset returns by how much the time on which a majority of the members' clocks agree is ahead of the leader's clock.
// offsets are those of the members whose clocks are known, at least the leader's own, zero; members counts all members. It
// returns the median and false if no majority agrees: a clock that is set wrong could then decide. Neither leases nor the expiry of cordons
// depend on wall clocks.
func AgreedOffset(offsets []time.Duration, members int) (offset time.Duration, agreed bool) {
	sorted := slices.Sorted(slices.Values(offsets))
	first, count := 0, 0
	for low, high := 0, 0; high < len(sorted); high++ {
		for sorted[high]-sorted[low] > clockTolerance {
			low++
		}
		if n := high - low + 1; n > count {
			first, count = low, n
		}
	}
	if 2*count <= members {
		return sorted[len(sorted)/2], false
	}
	return sorted[first+count/2], true
}

// offsetPeriod is for how long a measured offset counts at least, and twice as long at most.
const offsetPeriod = 10 * time.Second

// ClockOffset estimates by how much another machine's clock is ahead, from the times that its messages tell. A message that
// was under way, or waited while this process stood still, makes that clock look behind, so the greatest recent value counts.
type ClockOffset struct {
	greatest, previous time.Duration
	since              time.Duration // start of the present period
	measured, earlier  bool          // there is a value of the present period, and of the one before
}

// Record adds a measurement; now is this machine's monotonic time.
func (o *ClockOffset) Record(now, offset time.Duration) {
	if !o.measured || now-o.since >= offsetPeriod {
		o.previous, o.earlier = o.greatest, o.measured
		o.greatest, o.since, o.measured = offset, now, true
		return
	}
	o.greatest = max(o.greatest, offset)
}

// Value returns the estimate.
func (o *ClockOffset) Value() time.Duration {
	if o.earlier {
		return max(o.greatest, o.previous)
	}
	return o.greatest
}
