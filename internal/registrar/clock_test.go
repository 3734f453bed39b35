package registrar

import (
	"testing"
	"time"
)

// A registrar's time goes on without a jump when the wall clock of its machine is set. It guards against planned work that
// expires, or whose window is opened again, by the step of a leader's clock.
func TestWallClockWithoutSteps(t *testing.T) {
	step := time.Duration(0)
	clock := withoutSteps(func() time.Time { return time.Now().Add(step) })
	for _, step = range []time.Duration{0, time.Hour, -time.Hour} {
		if off := time.Until(clock()).Abs(); off > time.Second {
			t.Errorf("after a step of %v the clock is off by %v", step, off)
		}
	}
}
