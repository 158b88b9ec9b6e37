// Package boottime reads the boot-time clock, which advances while the host is suspended.
//
// The monotonic clock of time.Now stops during suspension. The holder of a lease measured
// with it would still consider the lease valid after another host has taken it over.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, including time in suspension. If the clock
// cannot be read, it returns the wall-clock time since the Unix epoch.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(t.Nano())
}
