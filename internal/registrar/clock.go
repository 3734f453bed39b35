package registrar

import "time"

// withoutSteps returns a wall clock that goes on from its present time by the monotonic clock, whatever steps the original
// one makes later: windows and deadlines of the replicated state are spans, and must not end because a clock was set. How
// much it is off from the other processes' clocks is measured with each beat.
func withoutSteps(wallClock func() time.Time) func() time.Time {
	began, wallBegan := time.Now(), wallClock()
	return func() time.Time { return wallBegan.Add(time.Since(began)) }
}
