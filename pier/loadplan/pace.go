package loadplan

import (
	"math"
	"time"
)

// PaceConfig constructs a Pace.
type PaceConfig struct {
	// Share is the part of the servers that may load at one time, as a first guess.
	Share float64
	// Least is how long a load takes when no others slow it down.
	Least time.Duration
	// Lag is how much later than its end a load is seen to be done, at most.
	Lag time.Duration
}

// Pace tells how many loads may be under way, and which of them keep their places.
// Times of day are readings of one clock.
//
// The pattern that it answers: loads beyond some number slow each other down by
// more than their share. That number belongs to the deployment, not to the servers
// that are there just now, so it is learnt: it falls when loads turn slow, and is
// tried one higher after a long time of undisturbed ones. The end of a load is seen
// late, so after the time of an undisturbed one its place goes to the next; if by
// then it should have been seen and was not, it is slow and has its place back.
// Otherwise the more would be under way the slower they are.
type Pace struct {
	c PaceConfig
	// servers is the greatest number seen; it gives the guess while limit is 0.
	servers int
	// limit is the number learnt, 0 before anything was learnt.
	limit int
	// slow and fast count loads at the limit, since the last change of it.
	slow, fast int
	// raise is when the next higher number may be tried; 0 before the first load.
	raise time.Duration
}

// NewPace returns a pace that expects undisturbed loads.
func NewPace(c PaceConfig) *Pace { return &Pace{c: c} }

const (
	// slowFactor is how much longer than undisturbed a load takes that is slow.
	slowFactor = 1.25
	// slowMost is how many slow loads lower the limit: one server may be slow by itself.
	slowMost = 3
	// raiseAfter is how long a limit stands before the next higher one is tried.
	raiseAfter = 30 * time.Second
)

// Took takes the time after which a load was seen to be done, that so many were under
// way with it when it began, itself among them, and the time of day.
func (p *Pace) Took(d time.Duration, together int, now time.Duration) {
	if p.raise == 0 {
		p.raise = now + raiseAfter
	}
	if together < p.atOnce() {
		return
	}
	if float64(d-p.c.Lag) > slowFactor*float64(p.c.Least) {
		p.slow, p.fast = p.slow+1, 0
	} else {
		p.slow, p.fast = max(p.slow-1, 0), p.fast+1
	}
	switch {
	case p.slow >= slowMost:
		p.set(max(p.atOnce()-1, 1), now)
	case p.fast >= slowMost*p.atOnce() && now >= p.raise:
		p.set(p.atOnce()+1, now)
	}
}

func (p *Pace) set(limit int, now time.Duration) {
	p.limit, p.slow, p.fast, p.raise = limit, 0, 0, now+raiseAfter
}

// Holds reports whether a load of some age that is not known to be done keeps its
// place.
func (p *Pace) Holds(age time.Duration) bool { return age < p.c.Least || age > p.c.Least+p.c.Lag }

// Next returns how long after its order a load's place may be free.
func (p *Pace) Next() time.Duration { return p.c.Least }

// AtOnce returns how many of a number of servers may load at one time.
func (p *Pace) AtOnce(servers int) int {
	p.servers = max(p.servers, servers)
	return p.atOnce()
}

func (p *Pace) atOnce() int {
	if p.limit > 0 {
		return p.limit
	}
	return max(int(math.Round(p.c.Share*float64(p.servers))), 1)
}
