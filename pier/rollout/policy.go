package rollout

import (
	"container/heap"
	"maps"
	"math"
	"slices"
	"time"
)

// Order is the order in which pending samples are started.
type Order string

// The orders of starting samples.
const (
	// OrderArrival starts groups one after the other, in the order of opening.
	OrderArrival Order = "arrival"
	// OrderLongest starts one sample of each group first, to learn its length, and
	// then the group with the longest predicted samples.
	OrderLongest Order = "longest-first"
	// OrderSpread starts one sample of each group before the second of any.
	OrderSpread Order = "spread"
)

const (
	// tailMost bounds the running streams among which a straggler is looked for.
	tailMost = 1024
	// moveGain is how many times as many streams the server that a straggler
	// leaves must have than the one that it moves to.
	moveGain = 2
	// movesMost is how often one slot may be moved.
	movesMost = 2
	// nearLength is the part of the longest predicted length that a group must have
	// to be preferred for its cached prefix.
	nearLength = 0.8
	// probeSamples is the number of finished samples whose mean is relied on.
	probeSamples = 3
)

// Policy decides which sample a server gets. Its zero value is the baseline:
// groups in the order of opening, and nothing done about stragglers.
type Policy struct {
	Order Order `toml:"order"`
	// Siblings prefers the group that the server was given last, for its cached
	// prefix.
	Siblings bool `toml:"siblings"`
	// StragglerPriority raises the engine priority of a step's last samples.
	StragglerPriority bool `toml:"straggler-priority"`
	// Spares is the number of extra attempts for a sample late in the step.
	Spares int `toml:"spares"`
	// SpareAfter is how long a stream runs before it may get a spare.
	SpareAfter time.Duration `toml:"-"`
	// Move takes a late sample from a busy server to one that has run empty.
	Move bool `toml:"move"`
	// Straggler is how many times as long as its group's mean a sample must be to
	// be moved to an express server; 0 moves none.
	Straggler float64 `toml:"straggler"`
	// Tail is the part of a step that may be left for all its streams to count as
	// stragglers.
	Tail float64 `toml:"tail"`
	// Hold starts no stream in this many seconds before a weight load.
	Hold float64 `toml:"hold"`
	// StaleShare in [0, 1] is the part of a step that may be started before the
	// versions that its trainer will have by then are loaded: the weight of idle
	// time against staleness.
	StaleShare float64 `toml:"stale-share"`
	// CancelLate cancels streams that can no longer arrive within bound.
	CancelLate bool `toml:"cancel-late"`
}

// pick returns the slot that the offered server gets, if any.
func (p *Policy) pick(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if len(c.urgent) > 0 && (o.Express || c.counts.Pending == len(c.urgent)) {
		return c.urgent[0], true
	}
	if o.Express {
		return 0, false
	}
	if p.Hold > 0 && o.Until >= 0 && o.Until < p.Hold {
		return 0, false
	}
	if c.queue.Len() == 0 {
		return p.pickSpare(c, now, o)
	}
	if c.behind(o.Version) && float64(c.early) >= p.StaleShare*float64(c.counts.Slots) {
		return 0, false
	}
	return p.pickPending(c, o), true
}

// behind reports whether a sample begun at version v will be behind the version
// that the trainer is expected to train this step at.
func (c *Coordinator) behind(v Version) bool { return c.expected > 0 && v < c.expected }

// pickPending returns the next sample to start. It costs the logarithm of the
// number of groups.
func (p *Policy) pickPending(c *Coordinator, o *Offer) Slot {
	if p.Siblings {
		g, top := c.last[o.Server], c.queue.list[0]
		if g != nil && len(g.pending) > 0 && p.near(g, top) {
			return g.pending[0]
		}
	}
	return c.queue.list[0].pending[0]
}

// near reports whether group g is worth its cached prefix although group top is
// the next one: its samples are expected to be nearly as long.
func (p *Policy) near(g, top *group) bool {
	if p.Order != OrderLongest {
		return true
	}
	return top.probed() && float64(g.predicted()) >= nearLength*float64(top.predicted())
}

// before reports whether group a is started before group b.
func (p *Policy) before(a, b *group) bool {
	switch p.Order {
	case OrderLongest:
		x, y := a.probed(), b.probed()
		if x != y {
			return y
		}
		if x && a.predicted() != b.predicted() {
			return a.predicted() > b.predicted()
		}
	case OrderSpread:
		x, y := len(a.pending)*b.Samples, len(b.pending)*a.Samples
		if x != y {
			return x > y
		}
	}
	return a.seq < b.seq
}

// pickSpare returns the slot that has run for longest, for a second attempt.
func (p *Policy) pickSpare(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if p.Spares == 0 || !c.counts.Closed || len(c.running) > tailMost {
		return 0, false
	}
	best, found := Slot(0), false
	var since time.Time
	for n, s := range c.running {
		if len(s.runs) > p.Spares {
			continue
		}
		r := &s.runs[0]
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
func (p *Policy) priority(c *Coordinator) int {
	if p.StragglerPriority && c.counts.Closed && c.counts.Pending*20 < c.counts.Slots {
		return 1
	}
	return 0
}

// Moves returns streams that should leave their servers for the offered ones:
// stragglers for express servers at any time, and once nothing is pending streams
// of servers that have many more than the offered one. The owner gives such a
// stream up, and its tokens come back with Failed.
func (c *Coordinator) Moves(now time.Time, o []Offer) []Cancel {
	l := c.expressMoves(now, o)
	if !c.c.Policy.Move || c.counts.Pending > 0 || !c.counts.Closed || len(c.running) > tailMost {
		return l
	}
	for i := range o {
		if o[i].Express {
			continue
		}
		for n := o[i].Running; n < o[i].Running+o[i].Room; n++ {
			s, r := c.straggler(&o[i], n)
			if s == nil {
				break
			}
			l = append(l, c.move(now, s, r))
		}
	}
	return l
}

// move marks a stream as leaving its server.
func (c *Coordinator) move(now time.Time, s *slot, r *run) Cancel {
	s.moves++
	r.moving = now
	c.unload(r.server)
	return Cancel{Stream: Stream{c.c.Key, r.slot, r.attempt}, Host: r.host, Server: r.server, Move: true}
}

// expressMoves takes the stragglers with the most tokens to express servers.
func (c *Coordinator) expressMoves(now time.Time, o []Offer) []Cancel {
	var l []Cancel
	for i := range o {
		if !o[i].Express {
			continue
		}
		for n := o[i].Room - len(c.urgent) - c.leaving; n > 0; n-- {
			s := c.longestLate()
			if s == nil {
				return l
			}
			r := &s.runs[0]
			delete(c.late, r.slot)
			s.express, r.express = true, true
			c.leaving++
			l = append(l, c.move(now, s, r))
		}
	}
	return l
}

// longestLate returns the straggler with the most tokens, or nil.
func (c *Coordinator) longestLate() *slot {
	var best *slot
	for _, s := range c.late {
		r := &s.runs[0]
		if best == nil || r.tokens > best.runs[0].tokens || r.tokens == best.runs[0].tokens && r.slot < best.runs[0].slot {
			best = s
		}
	}
	return best
}

// noteLate notes a stream that has become a straggler.
func (c *Coordinator) noteLate(n Slot, s *slot) {
	f := c.c.Policy.Straggler
	if f <= 0 || s.express || len(s.runs) != 1 || !s.runs[0].moving.IsZero() {
		return
	}
	if c.tail() || float64(s.runs[0].tokens) >= f*c.mean(s.group) {
		c.late[n] = s
	}
}

// tail reports whether only the last samples of a closed step are still running.
func (c *Coordinator) tail() bool {
	return c.counts.Closed && c.counts.Pending == len(c.urgent) &&
		float64(len(c.running)) <= c.c.Policy.Tail*float64(c.counts.Slots)
}

// mean returns the mean length of the group's samples, or of the step's while the
// group has too few.
func (c *Coordinator) mean(g *group) float64 {
	if g.done >= probeSamples && g.lengths > 0 {
		return float64(g.lengths) / float64(g.done)
	}
	if n := c.counts.Slots - c.counts.Pending - c.counts.Running; n >= probeSamples {
		return float64(c.counts.Tokens) / float64(n)
	}
	return math.Inf(1)
}

// straggler returns the stream with the most tokens on a server that has far
// more streams than the offered one would have with n + 1.
func (c *Coordinator) straggler(o *Offer, n int) (*slot, *run) {
	var best *slot
	for k, s := range c.running {
		r := &s.runs[0]
		if len(s.runs) > 1 || s.moves >= movesMost || !r.moving.IsZero() || r.server == o.Server {
			continue
		}
		if c.load[r.server] < moveGain*(n+1) {
			continue
		}
		if best == nil || r.tokens > best.runs[0].tokens || r.tokens == best.runs[0].tokens && k < best.runs[0].slot {
			best = s
		}
	}
	if best == nil {
		return nil, nil
	}
	return best, &best.runs[0]
}

// Late returns the streams that can no longer arrive within bound, as the
// version at which they began is too old already. Their slots are pending again.
func (c *Coordinator) Late(bound int64) []Cancel {
	c.bound = bound
	if !c.c.Policy.CancelLate || c.version-c.lateAt <= 0 {
		return nil
	}
	c.lateAt = c.version
	var l []Cancel
	for _, n := range slices.Sorted(maps.Keys(c.running)) {
		s := c.running[n]
		for i := len(s.runs) - 1; i >= 0; i-- {
			r := s.runs[i]
			if r.version == 0 || int64(c.version-r.version) <= bound {
				continue
			}
			l = append(l, Cancel{Stream: Stream{c.c.Key, n, r.attempt}, Host: r.host, Server: r.server})
			c.counts.Thrown += int64(r.tokens)
			c.drop(n, s, i)
		}
	}
	return l
}

// predicted returns the expected tokens of the group's next sample.
func (g *group) predicted() int {
	if g.done == 0 || g.lengths == 0 {
		return g.MaxTokens
	}
	return g.lengths / g.done
}

// probed reports whether a sample of the group was started.
func (g *group) probed() bool { return len(g.pending) < g.Samples }

// groupQueue is a heap of the groups with pending samples, the next one on top.
type groupQueue struct {
	p    *Policy
	list []*group
}

// Len returns the number of groups.
func (q *groupQueue) Len() int { return len(q.list) }

// Less reports whether the i-th group is started before the j-th.
func (q *groupQueue) Less(i, j int) bool { return q.p.before(q.list[i], q.list[j]) }

// Swap swaps two groups.
func (q *groupQueue) Swap(i, j int) {
	q.list[i], q.list[j] = q.list[j], q.list[i]
	q.list[i].at, q.list[j].at = i, j
}

// Push adds a group; it is called by package heap only.
func (q *groupQueue) Push(x any) {
	g := x.(*group)
	g.at = len(q.list)
	q.list = append(q.list, g)
}

// Pop takes the last group; it is called by package heap only.
func (q *groupQueue) Pop() any {
	g := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	g.at = -1
	return g
}

// fix puts a group where it belongs after its state has changed.
func (q *groupQueue) fix(g *group) {
	switch {
	case len(g.pending) == 0 && g.at >= 0:
		heap.Remove(q, g.at)
	case len(g.pending) > 0 && g.at < 0:
		heap.Push(q, g)
	case len(g.pending) > 0:
		heap.Fix(q, g.at)
	}
}
