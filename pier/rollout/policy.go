package rollout

import (
	"slices"
	"time"
)

// Order is the order in which pending groups are started.
type Order string

// The orders of starting groups.
const (
	// OrderArrival starts groups in the order of opening.
	OrderArrival Order = "arrival"
	// OrderLongest starts the group with the longest predicted samples first.
	OrderLongest Order = "longest-first"
	// OrderSpread starts one sample of each group before the second of any.
	OrderSpread Order = "spread"
)

// Policy decides which slot a server gets. Its zero value is the baseline.
type Policy struct {
	Order Order
	// Siblings prefers a group that runs on the offering server already, for its
	// cached prefix.
	Siblings bool
	// StragglerPriority raises the engine priority of a group's last slots.
	StragglerPriority bool
	// Spares is the number of extra attempts for a slot late in the step.
	Spares int
	// SpareAfter is how long a stream runs before it may get a spare.
	SpareAfter time.Duration
	// Hold refuses to start a stream in this many seconds before a weight load.
	Hold float64
}

// pick returns the slot that the offered server gets, if any.
func (p *Policy) pick(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if p.Hold > 0 && o.Until >= 0 && o.Until < p.Hold {
		return 0, false
	}
	if c.counts.Pending > 0 {
		return p.pickPending(c, o), true
	}
	return p.pickSpare(c, now, o)
}

func (p *Policy) pickPending(c *Coordinator, o *Offer) Slot {
	c.order = slices.DeleteFunc(c.order, func(g *group) bool {
		return len(g.pending) == 0 && g.done == g.Samples && g.settled(c)
	})
	var best *group
	for _, g := range c.order {
		if len(g.pending) == 0 {
			continue
		}
		if p.Siblings && g.servers[o.Server] > 0 {
			best = g
			break
		}
		if best == nil || p.before(g, best) {
			best = g
		}
		if p.Order == OrderArrival && !p.Siblings {
			break
		}
	}
	return best.pending[0]
}

// before reports whether group a is started before group b.
func (p *Policy) before(a, b *group) bool {
	switch p.Order {
	case OrderLongest:
		return a.predicted() > b.predicted()
	case OrderSpread:
		return len(a.pending)*b.Samples > len(b.pending)*a.Samples
	default:
		return false
	}
}

// pickSpare returns a slot that has run for long, for a second attempt.
func (p *Policy) pickSpare(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if p.Spares == 0 || !c.counts.Closed {
		return 0, false
	}
	var (
		best  Slot
		since time.Time
		found bool
	)
	for n, s := range c.slots {
		if s.state != slotRunning || len(s.runs) > p.Spares {
			continue
		}
		r := s.runs[0]
		if r.server == o.Server || now.Sub(r.started) < p.SpareAfter {
			continue
		}
		if !found || r.started.Before(since) || r.started.Equal(since) && n < best {
			best, since, found = n, r.started, true
		}
	}
	return best, found
}

// priority returns the engine priority of a slot that is about to start.
func (p *Policy) priority(c *Coordinator, s *slot) int {
	if !p.StragglerPriority {
		return 0
	}
	switch {
	case c.counts.Closed && c.counts.Pending*20 < c.counts.Slots:
		return 2
	case s.group.done*2 >= s.group.Samples:
		return 1
	}
	return 0
}

// predicted returns the expected tokens of the group's next sample.
func (g *group) predicted() int {
	if g.done == 0 || g.lengths == 0 {
		return g.MaxTokens
	}
	return g.lengths / g.done
}

// settled reports whether no slot of the group can become pending again.
func (g *group) settled(c *Coordinator) bool {
	for i := range g.Samples {
		if c.slots[g.First+Slot(i)].state != slotAcked {
			return false
		}
	}
	return true
}
