package accord

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the time that leases are counted on: it goes on while the process, or the whole machine, stands still, and
// nobody can set it. The zero value is the machine's own.
type Clock struct {
	Rate float64 // of a clock that runs fast or slow, for tests; 0 stands for 1
}

// Now is the time since the machine's start.
func (c Clock) Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // every Linux has it
	}
	d := time.Duration(t.Nano())
	if c.Rate != 0 {
		return time.Duration(float64(d) * c.Rate)
	}
	return d
}
