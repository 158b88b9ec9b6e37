package loadplan

import (
	"math"
	"time"
)

// PaceConfig constructs a Pace.
type PaceConfig struct {
	// Share is the fraction of the servers that may load at the same time until a limit
	// was learnt.
	Share float64
	// Least is how long a load takes when no others slow it down.
	Least time.Duration
	// Lag is the maximum delay between the end of a load and its detection.
	Lag time.Duration
}

// Pace limits the number of concurrent loads by an adaptive limit, and decides which loads
// count towards it. All points in time passed to it are readings of one clock.
//
// Beyond some number, concurrent loads slow each other down so much that fewer of them
// complete per second. That number is a property of the deployment, not of the servers
// that are registered at the moment, so it is learnt: the limit is lowered when loads
// become slow, and raised by one on trial after a long period without slow loads.
//
// The end of a load is detected late. Therefore a load frees its slot for the next one
// after the time that an undisturbed load takes. If it has not been detected as done after
// the detection lag either, it is slow and occupies its slot again; otherwise slower loads
// would lead to more concurrent ones.
type Pace struct {
	c PaceConfig
	// servers is the highest number of servers seen; the initial limit, in use while limit
	// is 0, is computed from it.
	servers int
	// limit is the limit learnt, 0 before anything was learnt.
	limit int
	// slowCount and fastCount count the loads that ran at the limit since its last change.
	// Each slow load resets fastCount, and each fast one decrements slowCount.
	slowCount, fastCount int
	// raiseAt is the time from which the limit may be raised; 0 before the first load.
	raiseAt time.Duration
}

// NewPace returns a Pace that has learnt no limit yet and starts with c.Share.
func NewPace(c PaceConfig) *Pace { return &Pace{c: c} }

const (
	// slowFactor is the multiple of the duration of an undisturbed load above which a
	// load counts as slow.
	slowFactor = 1.25
	// slowLoadsToLower is the number of slow loads that lower the limit. It is more than one
	// because a single server may be slow for reasons of its own.
	slowLoadsToLower = 3
	// raiseAfter is the minimum time between a change of the limit and its next increase.
	raiseAfter = 30 * time.Second
)

// Took records that a load was detected as done at now, d after it was ordered. The number
// of loads in progress when it started, itself included, is given by concurrent. Loads that
// ran below the limit are ignored, as they say nothing about it.
func (p *Pace) Took(d time.Duration, concurrent int, now time.Duration) {
	if p.raiseAt == 0 {
		p.raiseAt = now + raiseAfter
	}
	if concurrent < p.currentLimit() {
		return
	}
	if float64(d-p.c.Lag) > slowFactor*float64(p.c.Least) {
		p.slowCount, p.fastCount = p.slowCount+1, 0
	} else {
		p.slowCount, p.fastCount = max(p.slowCount-1, 0), p.fastCount+1
	}
	switch {
	case p.slowCount >= slowLoadsToLower:
		p.setLimit(max(p.currentLimit()-1, 1), now)
	case p.fastCount >= slowLoadsToLower*p.currentLimit() && now >= p.raiseAt:
		p.setLimit(p.currentLimit()+1, now)
	}
}

// setLimit changes the limit and restarts the counts.
func (p *Pace) setLimit(limit int, now time.Duration) {
	p.limit, p.slowCount, p.fastCount, p.raiseAt = limit, 0, 0, now+raiseAfter
}

// Holds reports whether a load that was ordered age ago and is not known to be done counts
// towards the limit.
func (p *Pace) Holds(age time.Duration) bool { return age < p.c.Least || age > p.c.Least+p.c.Lag }

// Next returns the time after its order from which a load may no longer count towards the
// limit.
func (p *Pace) Next() time.Duration { return p.c.Least }

// AtOnce returns how many of the given number of servers may load at the same time, at
// least 1. The initial limit follows the highest number of servers seen and does not fall
// when servers leave.
func (p *Pace) AtOnce(servers int) int {
	p.servers = max(p.servers, servers)
	return p.currentLimit()
}

func (p *Pace) currentLimit() int {
	if p.limit > 0 {
		return p.limit
	}
	return max(int(math.Round(p.c.Share*float64(p.servers))), 1)
}
