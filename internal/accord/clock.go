package accord

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the monotonic clock that leases are measured with. It continues while the process is paused or the machine is
// suspended, and it cannot be set. The zero value is the machine's clock at its own rate.
type Clock struct {
	Rate float64 // simulates a fast or slow clock in tests; 0 stands for 1
}

// Now returns the time since the machine's start.
func (c Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every supported Linux has CLOCK_BOOTTIME
	}
	d := time.Duration(t.Nano())
	if c.Rate != 0 {
		return time.Duration(float64(d) * c.Rate)
	}
	return d
}
