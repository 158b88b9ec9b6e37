package capacityplan

import (
	"time"

	"mulberrypier.example/pier/backoff"
)

const (
	// startupSlack is how much longer than stated a server may take until it is registered.
	startupSlack = 2 * time.Second
	// initialRefusalTime is the time for which a group that does not provide servers is not ordered. It doubles
	// with each further failure, up to maxRefusalTime.
	initialRefusalTime = time.Second
	maxRefusalTime     = 8 * time.Second
	// repeatTime is the age up to which a decision of another host may not have been sent: it
	// covers the longest backoff and the takeover of the lease.
	repeatTime = 20 * time.Second
	// answerTime is how long an order is expected to be answered and carried out.
	answerTime = time.Second
	// failureMemory is how long failures count.
	failureMemory = time.Minute
)

// Result is what became of the order of a target.
type Result int

// The results of an order.
const (
	// Accepted is that the provider has accepted the order.
	Accepted Result = iota
	// Refused is that the provider did not carry the order out, as it has no such servers now.
	Refused
	// Unanswered is that the order may have been carried out, or may be later.
	Unanswered
)

// group holds the observed servers of a Group and the orders for it.
type group struct {
	// servers are those at the last plan.
	servers Servers
	// target is the target that was ordered last, or that a record states; fallback is the one that stays in
	// force if the order is refused.
	target, fallback int
	// refused is the last target that was refused, 0 if it is not wanted any more.
	refused int
	// inFlight is set from an order to its answer, uncertain if the order may be carried out late.
	inFlight, uncertain bool
	// orderedAt is when the last order was given.
	orderedAt time.Duration
	// recorded is set if a record states the target; recordedAt is when it was read or appended.
	recorded   bool
	recordedAt time.Duration
	// dueAt is the time by which the servers of the target should have registered, 0 if no registration is
	// awaited. surplusSince is since when more are registered than the target, 0 if they are not.
	dueAt, surplusSince time.Duration
	// failures is the number of failures in a row, blockedUntil the time up to which the group is not ordered.
	failures     int
	blockedUntil time.Duration
	// blocked is set if that time is not over.
	blocked bool
	// ideals holds the servers that the group should have had, and the targets to which it was raised.
	ideals window
}

// empty reports whether the group has no servers and none are ordered.
func (g *group) empty() bool { return g.target == 0 && g.servers.Ready == 0 && g.servers.Leaving == 0 }

// startTerm has this host order the group.
func (g *group) startTerm(now time.Duration) {
	recent := g.recorded && now-g.recordedAt < repeatTime
	*g = group{
		target: g.target, fallback: g.target, recorded: g.recorded, recordedAt: g.recordedAt, uncertain: recent, servers: g.servers,
	}
}

// record processes a record of the group's target.
func (g *group) record(servers int, now time.Duration) {
	if !g.inFlight || g.target != servers {
		g.fallback, g.target, g.inFlight, g.uncertain = g.target, servers, false, false
	}
	g.recorded, g.recordedAt = true, now
}

// order marks a target as in flight. It returns false if an order is in flight already.
func (g *group) order(servers int, now time.Duration) bool {
	if g.inFlight {
		return false
	}
	if !g.uncertain {
		g.fallback = g.target
	}
	if servers > g.target {
		g.ideals.add(now, servers)
	}
	g.target, g.inFlight, g.orderedAt = servers, true, now
	return true
}

// answered processes the answer to the order in flight.
func (g *group) answered(servers int, r Result, now, startup time.Duration) {
	if !g.inFlight || g.target != servers {
		return
	}
	g.inFlight = false
	switch r {
	case Accepted:
		g.uncertain, g.fallback, g.surplusSince = false, g.target, 0
		g.blockedUntil, g.refused = 0, 0
		if g.servers.Ready < g.target {
			g.dueAt = now + startup + startupSlack
		}
	case Refused:
		g.uncertain, g.target, g.refused = false, g.fallback, servers
		g.block(now)
	case Unanswered:
		g.uncertain = true
		g.block(now)
	}
}

// block has the group not ordered for some time.
func (g *group) block(now time.Duration) {
	g.blockedUntil = now + backoff.Exponential(initialRefusalTime, maxRefusalTime, g.failures)
	g.blocked = true
	g.failures++
}

// observe compares the registered servers with the target.
func (g *group) observe(k Group, s Servers, now, startup time.Duration) {
	before := g.servers
	g.servers = s
	if !g.recorded && !g.inFlight && !g.uncertain && s.Ready > g.target {
		g.target, g.fallback = s.Ready, s.Ready
	}
	lost := s.Ready < before.Ready
	switch {
	case s.Ready >= g.target:
		if g.dueAt > 0 {
			g.failures = 0
		}
		g.dueAt = 0
	case lost && (k.Reclaimable && s.Leaving > before.Leaving || s.Ready == 0 && before.Ready > 1):
		g.dueAt = 0
		if !g.blocked {
			g.block(now)
		}
	case lost:
		g.dueAt = 0
	case g.dueAt > 0 && now >= g.dueAt:
		g.dueAt = 0
		g.block(now)
	}
	if now-g.blockedUntil > failureMemory {
		g.failures = 0
	}
	g.blocked = now < g.blockedUntil
	if s.Ready <= g.target {
		g.surplusSince = 0
	} else if g.surplusSince == 0 {
		g.surplusSince = max(now, 1)
	}
}

// expected returns the number of servers that are registered, or will be soon, and stay.
func (g *group) expected(now time.Duration) int {
	coming := now < g.dueAt && !g.uncertain || g.inFlight && now-g.orderedAt < answerTime
	if g.servers.Ready >= g.target || coming {
		return g.target
	}
	return g.servers.Ready
}

// held returns the number of servers that the group may have.
func (g *group) held() int { return max(g.target, g.fallback) }

// missing returns the number of servers that were ordered and are not registered.
func (g *group) missing() int { return max(g.target-g.servers.Ready, 0) }

// mayOrder reports whether the group may be ordered to have another number of servers.
func (g *group) mayOrder() bool { return !g.inFlight && !g.uncertain }
