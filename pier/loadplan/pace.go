package loadplan

import "time"

// PaceConfig constructs a Pace.
type PaceConfig struct {
	// Least is how long a load takes when no others slow it down.
	Least time.Duration
	// Most is how long a load may take at all.
	Most time.Duration
	// Lag is how much later than its end a load is seen to be done.
	Lag time.Duration
}

// Pace tells for how long a load under way keeps its place among those at once.
//
// The pattern that it answers: loads beyond some number slow each other down by
// more than their share. If each gave its place up after the time of an undisturbed
// load, the more would be under way the slower they are. So the places are kept for
// as long as loads were seen to take lately.
type Pace struct {
	c PaceConfig
	// hold is within Least and Most.
	hold time.Duration
}

// NewPace returns a pace that expects undisturbed loads.
func NewPace(c PaceConfig) *Pace { return &Pace{c: c, hold: c.Least} }

// paceWeight is the weight of the newest load: high enough to follow within a
// round of loads, low enough for one slow server not to stand for all.
const paceWeight = 0.25

// Took takes the time after which a load was seen to be done.
func (p *Pace) Took(d time.Duration) {
	d = min(max(d-p.c.Lag, p.c.Least), p.c.Most)
	p.hold += time.Duration(paceWeight * float64(d-p.hold))
}

// Hold returns for how long a load keeps its place.
func (p *Pace) Hold() time.Duration { return p.hold }

// AtOnce returns how many of a number of servers may load at one time.
func AtOnce(share float64, servers int) int {
	return max(int(share*float64(servers)+0.5), 1)
}
