// Package enginepace estimates how fast an engine generates, from the times between events that a host
// measures.
//
// It is designed for this load: engines of one service differ permanently in speed, and each runs on a machine
// that others share and that slows it down by a factor of several for a fraction of a second at times. Such a
// pause does not predict how long a generation takes there, but an engine that stays slow has to be left within
// about a second.
package enginepace

import (
	"math"
	"time"
)

// timeConstant is the time constant of the average: a change of pace that lasts as long counts for 63%.
const timeConstant = 3 * time.Second

// Estimate is the average time between two events of a generation at one engine. It is not safe for
// concurrent use.
type Estimate struct {
	mean time.Duration
	at   time.Time
}

// Observe adds the time between two events, as measured at now. Measurements of several generations that
// arrive together count as one: each weighs as much as the time since the one before.
func (e *Estimate) Observe(d time.Duration, now time.Time) {
	if e.mean == 0 {
		e.mean, e.at = d, now
		return
	}
	w := 1 - math.Exp(-float64(max(now.Sub(e.at), 0))/float64(timeConstant))
	e.mean += time.Duration(w * float64(d-e.mean))
	e.at = now
}

// Mean returns the average, 0 if nothing was observed.
func (e *Estimate) Mean() time.Duration { return e.mean }
