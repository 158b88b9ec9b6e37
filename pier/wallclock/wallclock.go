// Package wallclock notices that a host's time of day was stepped.
//
// Nothing may be decided by times of day, as those of two hosts, or of one host before and after
// a step, cannot be compared: docs/design/clocks.md. A step is still worth knowing, since people
// compare the times in the logs of hosts. The package performs no I/O.
package wallclock

import "time"

const (
	// minStep is the smallest change that counts as a step. Clocks that are kept right by small
	// changes of their rate stay far below it.
	minStep = time.Second
	// maxReadTime is how long the reading of both clocks may take. When the process was stopped
	// in between, the two do not belong together.
	maxReadTime = 100 * time.Millisecond
)

// Reading holds the times that the clocks of a host tell at once.
type Reading struct {
	// Wall is the time of day.
	Wall time.Time
	// Before and After are the times since boot right before and after Wall was read.
	Before, After time.Duration
}

// Watch compares the time of day with the time since boot. It is not safe for concurrent use.
type Watch struct {
	// base is the time of day at boot, by the last reading; known is set once there was one.
	base  time.Duration
	known bool
}

// Look returns by how much the time of day was set ahead since the last reading, negative if it
// was set back, and 0 if it was not stepped.
func (w *Watch) Look(r Reading) time.Duration {
	if r.After-r.Before > maxReadTime {
		return 0
	}
	base := time.Duration(r.Wall.UnixNano()) - r.Before
	step := base - w.base
	first := !w.known
	w.base, w.known = base, true
	if first || step.Abs() <= minStep {
		return 0
	}
	return step
}
