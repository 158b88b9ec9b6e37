// Package boottime reads the boot-time clock, which advances while the host is suspended.
//
// The monotonic clock of time.Now stops during suspension. The holder of a lease measured
// with it would still consider the lease valid after another host has taken it over.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// started is when the process started, with a reading of the monotonic clock.
var started = time.Now()

// Now returns the time since the host booted, including time in suspension. If the clock
// cannot be read, it returns the time since the process started, without that in suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return sinceStart()
	}
	return time.Duration(t.Nano())
}

// sinceStart does not follow steps of the time of day.
func sinceStart() time.Duration { return time.Since(started) }
