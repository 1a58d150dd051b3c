// Package boottime reads CLOCK_BOOTTIME, a monotonic clock that also advances
// while the machine is suspended. Leases and the age of received state need it:
// Go's monotonic clock stops during a suspension.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock in nanoseconds. It is only meaningful on the
// same machine, until its next boot.
type Instant int64

// Now returns the current instant.
func Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has had this clock since 2.6.39, so the call can't fail.
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Add returns the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }
