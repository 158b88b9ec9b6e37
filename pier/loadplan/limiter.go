package loadplan

import (
	"math"
	"time"
)

// LimiterConfig configures a Limiter.
type LimiterConfig struct {
	// InitialShare is the fraction of the servers that may load at the same time until a
	// limit has been learnt.
	InitialShare float64
	// Least is how long a load takes when no others slow it down.
	Least time.Duration
	// Lag is the maximum delay between the end of a load and its detection.
	Lag time.Duration
}

// Limiter limits the number of concurrent loads by an adaptive limit, and decides which
// loads count towards it. All points in time passed to it are readings of one clock.
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
type Limiter struct {
	c LimiterConfig
	// servers is the highest number of servers seen; the initial limit, in use while limit
	// is 0, is computed from it.
	servers int
	// limit is the learnt limit; 0 until one has been learnt.
	limit int
	// slowCount and fastCount count the loads that ran at the limit since its last change.
	// Each slow load resets fastCount, and each fast one decrements slowCount.
	slowCount, fastCount int
	// raiseAt is the time from which the limit may be raised; 0 before the first load is done.
	raiseAt time.Duration
}

// NewLimiter returns a Limiter that has learnt no limit yet and starts with c.InitialShare.
func NewLimiter(c LimiterConfig) *Limiter { return &Limiter{c: c} }

const (
	// slowFactor is the multiple of the duration of an undisturbed load above which a
	// load counts as slow.
	slowFactor = 1.25
	// slowLoadsToLower is the number of slow loads that lower the limit. It is more than one
	// because a single server may be slow for reasons of its own.
	slowLoadsToLower = 3
	// raiseAfter is the minimum time between a change of the limit, or the first load done, and
	// the next increase.
	raiseAfter = 30 * time.Second
)

// LoadDone records that a load was detected as done at now, d after it was ordered;
// concurrent is the number of loads that were in progress when it started, itself included.
// Loads that ran below the limit are ignored, as they say nothing about it.
func (l *Limiter) LoadDone(d time.Duration, concurrent int, now time.Duration) {
	if l.raiseAt == 0 {
		l.raiseAt = now + raiseAfter
	}
	if concurrent < l.currentLimit() {
		return
	}
	if float64(d-l.c.Lag) > slowFactor*float64(l.c.Least) {
		l.slowCount, l.fastCount = l.slowCount+1, 0
	} else {
		l.slowCount, l.fastCount = max(l.slowCount-1, 0), l.fastCount+1
	}
	switch {
	case l.slowCount >= slowLoadsToLower:
		l.setLimit(max(l.currentLimit()-1, 1), now)
	case l.fastCount >= slowLoadsToLower*l.currentLimit() && now >= l.raiseAt:
		l.setLimit(l.currentLimit()+1, now)
	}
}

// setLimit changes the limit and restarts the counts.
func (l *Limiter) setLimit(limit int, now time.Duration) {
	l.limit, l.slowCount, l.fastCount, l.raiseAt = limit, 0, 0, now+raiseAfter
}

// OccupiesSlot reports whether a load that was ordered d ago and is not known to be done
// counts towards the limit.
func (l *Limiter) OccupiesSlot(d time.Duration) bool { return d < l.c.Least || d > l.c.Least+l.c.Lag }

// SlotTime returns the time after its order from which a load may no longer count towards
// the limit.
func (l *Limiter) SlotTime() time.Duration { return l.c.Least }

// MaxConcurrent returns how many of the given number of servers may load at the same
// time, at least 1. The initial limit follows the highest number of servers seen and does
// not fall when servers leave.
func (l *Limiter) MaxConcurrent(servers int) int {
	l.servers = max(l.servers, servers)
	return l.currentLimit()
}

func (l *Limiter) currentLimit() int {
	if l.limit > 0 {
		return l.limit
	}
	return max(int(math.Round(l.c.InitialShare*float64(l.servers))), 1)
}
