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

// The supported orders.
const (
	// OrderArrival starts groups one after the other, in the order in which they were
	// opened.
	OrderArrival Order = "arrival"
	// OrderLongest first starts one sample of each group, to learn its length, and then
	// the groups in descending order of predicted sample length.
	OrderLongest Order = "longest-first"
	// OrderSpread balances the groups by the share of their samples that is still
	// pending, so that every group has one sample started before any has two.
	OrderSpread Order = "spread"
)

const (
	// maxTailStreams is the number of running streams above which no search for
	// stragglers to duplicate or to move is made, as the search visits every stream.
	maxTailStreams = 1024
	// moveLoadRatio is the minimum ratio between the number of streams on the server that
	// a straggler leaves and the number on the server that it moves to.
	moveLoadRatio = 2
	// maxMoves is how often one slot may be moved for load.
	maxMoves = 2
	// similarLengthRatio is the minimum ratio between the predicted length of a group and
	// that of the longest one for the group to be preferred for its cached prefix.
	similarLengthRatio = 0.8
	// minMeanSamples is the number of finished samples from which a mean length is
	// considered reliable.
	minMeanSamples = 3
)

// Policy selects the sample that a server gets. The zero value is the baseline: groups
// in the order of opening, and no treatment of stragglers.
type Policy struct {
	Order Order `toml:"order"`
	// Siblings prefers the group that the server got a sample of last, for its cached
	// prefix.
	Siblings bool `toml:"siblings"`
	// StragglerPriority raises the engine priority of a step's last samples.
	StragglerPriority bool `toml:"straggler-priority"`
	// Spares is the number of additional concurrent attempts for a sample late in the
	// step.
	Spares int `toml:"spares"`
	// SpareAfter is how long a stream must have run before its slot gets a spare attempt.
	SpareAfter time.Duration `toml:"-"`
	// Move moves late samples from a busy server to one that has become nearly idle.
	Move bool `toml:"move"`
	// Straggler is the multiple of its group's mean length from which a sample counts as a
	// straggler and is moved to an express server; 0 moves none.
	Straggler float64 `toml:"straggler"`
	// Tail is the largest fraction of a step's samples that may still be running for all of
	// them to count as stragglers.
	Tail float64 `toml:"tail"`
	// Hold is the number of seconds before a planned weight load during which no stream is
	// started on the server.
	Hold float64 `toml:"hold"`
	// StaleShare, in [0, 1], is the fraction of a step that may be started on versions
	// older than the one at which the trainer is expected to train it. It weighs idle
	// servers against stale samples.
	StaleShare float64 `toml:"stale-share"`
	// CancelLate cancels streams whose samples would exceed the staleness bound.
	CancelLate bool `toml:"cancel-late"`
}

// pick returns the slot to start on the offered server, and whether there is one.
func (p *Policy) pick(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if len(c.awaitingExpress) > 0 && (o.Express || c.counts.Pending == len(c.awaitingExpress)) {
		return c.awaitingExpress[0], true
	}
	if o.Express {
		return 0, false
	}
	if p.Hold > 0 && o.SecondsToLoad >= 0 && o.SecondsToLoad < p.Hold {
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

// behind reports whether a sample started at version v would be older than the version
// at which the trainer is expected to train this step.
func (c *Coordinator) behind(v Version) bool { return c.expectedVersion > 0 && v < c.expectedVersion }

// pickPending returns the next slot to start; the queue must not be empty. The queue
// update that follows takes time logarithmic in the number of groups.
func (p *Policy) pickPending(c *Coordinator, o *Offer) Slot {
	if p.Siblings {
		g, top := c.lastGroup[o.Server], c.queue.list[0]
		if g != nil && len(g.pending) > 0 && p.prefersCached(g, top) {
			return g.pending[0]
		}
	}
	return c.queue.list[0].pending[0]
}

// prefersCached reports whether group g may be started before group top, the head of the
// queue, to use its cached prefix. With OrderLongest, its samples must be predicted to be
// nearly as long as those of top.
func (p *Policy) prefersCached(g, top *group) bool {
	if p.Order != OrderLongest {
		return true
	}
	return top.probed() && float64(g.predicted()) >= similarLengthRatio*float64(top.predicted())
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

// pickSpare returns the slot that has been running longest, for an additional attempt.
// The slot must run on another server, for at least SpareAfter, and have spares left.
func (p *Policy) pickSpare(c *Coordinator, now time.Time, o *Offer) (Slot, bool) {
	if p.Spares == 0 || !c.counts.Closed || len(c.running) > maxTailStreams {
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

// priority returns the engine priority for a sample about to start. It is 1 when fewer
// than 5% of a closed step are still pending, if the policy asks for it, and 0 otherwise.
func (p *Policy) priority(c *Coordinator) int {
	if p.StragglerPriority && c.counts.Closed && c.counts.Pending*20 < c.counts.Slots {
		return 1
	}
	return 0
}

// Moves returns the streams to move off their servers in favour of the offered ones:
// stragglers to express servers at any time and, once nothing is pending, streams of
// servers that run many more than the offered one. The owner stops such a stream and
// reports its tokens through StreamFailed, after which the slot is assigned again.
func (c *Coordinator) Moves(now time.Time, o []Offer) []Cancel {
	l := c.expressMoves(now, o)
	if !c.c.Policy.Move || c.counts.Pending > 0 || !c.counts.Closed || len(c.running) > maxTailStreams {
		return l
	}
	for i := range o {
		if o[i].Express {
			continue
		}
		for n := o[i].Running; n < o[i].Running+o[i].FreeSlots; n++ {
			s, r := c.moveCandidate(&o[i], n)
			if s == nil {
				break
			}
			l = append(l, c.move(now, s, r))
		}
	}
	return l
}

// move marks a run as leaving its server and returns the request to its owner.
func (c *Coordinator) move(now time.Time, s *slot, r *run) Cancel {
	s.moves++
	r.moveRequested = now
	c.uncountStream(r.server)
	return Cancel{Stream: Stream{c.c.Key, r.slot, r.attempt}, Host: r.host, Server: r.server, Move: true}
}

// expressMoves fills the free slots of express servers with stragglers, those with the
// most tokens first.
func (c *Coordinator) expressMoves(now time.Time, o []Offer) []Cancel {
	var l []Cancel
	for i := range o {
		if !o[i].Express {
			continue
		}
		for n := o[i].FreeSlots - len(c.awaitingExpress) - c.movingToExpress; n > 0; n-- {
			s := c.longestStraggler()
			if s == nil {
				return l
			}
			r := &s.runs[0]
			delete(c.stragglers, r.slot)
			s.express, r.express = true, true
			c.movingToExpress++
			l = append(l, c.move(now, s, r))
		}
	}
	return l
}

// longestStraggler returns the straggler with the most tokens, or nil.
func (c *Coordinator) longestStraggler() *slot {
	var best *slot
	for _, s := range c.stragglers {
		r := &s.runs[0]
		if best == nil || r.tokens > best.runs[0].tokens || r.tokens == best.runs[0].tokens && r.slot < best.runs[0].slot {
			best = s
		}
	}
	return best
}

// markStraggler records slot n if its stream has become a straggler. It skips slots that
// have several attempts, that are being moved or that belong on express servers already.
func (c *Coordinator) markStraggler(n Slot, s *slot) {
	f := c.c.Policy.Straggler
	if f <= 0 || s.express || len(s.runs) != 1 || !s.runs[0].moveRequested.IsZero() {
		return
	}
	if c.inTail() || float64(s.runs[0].tokens) >= f*c.meanLength(s.group) {
		c.stragglers[n] = s
	}
}

// inTail reports whether the step is closed, nothing is pending on ordinary servers and at
// most the Tail share of its samples is running.
func (c *Coordinator) inTail() bool {
	return c.counts.Closed && c.counts.Pending == len(c.awaitingExpress) &&
		float64(len(c.running)) <= c.c.Policy.Tail*float64(c.counts.Slots)
}

// meanLength returns the mean length of the group's finished samples, or of the step's
// while the group has too few. It is infinite while the step has too few as well.
func (c *Coordinator) meanLength(g *group) float64 {
	if g.done >= minMeanSamples && g.sealedTokens > 0 {
		return float64(g.sealedTokens) / float64(g.done)
	}
	if n := c.counts.Slots - c.counts.Pending - c.counts.Running; n >= minMeanSamples {
		return float64(c.counts.Tokens) / float64(n)
	}
	return math.Inf(1)
}

// moveCandidate returns the stream with the most tokens among those on servers that run at
// least moveLoadRatio times as many as the offered server would with n+1, or nil.
func (c *Coordinator) moveCandidate(o *Offer, n int) (*slot, *run) {
	var best *slot
	for k, s := range c.running {
		r := &s.runs[0]
		if len(s.runs) > 1 || s.moves >= maxMoves || !r.moveRequested.IsZero() || r.server == o.Server {
			continue
		}
		if c.load[r.server] < moveLoadRatio*(n+1) {
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

// CancelOverdue returns the streams to cancel because the version at which they started is too
// old for their samples to arrive within the staleness bound. Their slots become pending again.
// It searches once for each version of the trainer.
func (c *Coordinator) CancelOverdue(bound int64) []Cancel {
	c.bound = bound
	if !c.c.Policy.CancelLate || c.version-c.overdueCheckedAt <= 0 {
		return nil
	}
	c.overdueCheckedAt = c.version
	var l []Cancel
	for _, n := range slices.Sorted(maps.Keys(c.running)) {
		s := c.running[n]
		for i := len(s.runs) - 1; i >= 0; i-- {
			r := s.runs[i]
			if r.version == 0 || int64(c.version-r.version) <= bound {
				continue
			}
			l = append(l, Cancel{Stream: Stream{c.c.Key, n, r.attempt}, Host: r.host, Server: r.server})
			c.counts.Discarded += int64(r.tokens)
			c.endRun(n, s, i)
		}
	}
	return l
}

// predicted returns the expected number of tokens of the group's next sample.
func (g *group) predicted() int {
	if g.done == 0 || g.sealedTokens == 0 {
		return g.MaxTokens
	}
	return g.sealedTokens / g.done
}

// probed reports whether a sample of the group has been started.
func (g *group) probed() bool { return len(g.pending) < g.Samples }

// groupQueue is a heap of the groups with pending samples; the next group is on top.
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
	q.list[i].heapIndex, q.list[j].heapIndex = i, j
}

// Push appends a group. Only container/heap calls it.
func (q *groupQueue) Push(x any) {
	g := x.(*group)
	g.heapIndex = len(q.list)
	q.list = append(q.list, g)
}

// Pop removes the last group. Only container/heap calls it.
func (q *groupQueue) Pop() any {
	g := q.list[len(q.list)-1]
	q.list = q.list[:len(q.list)-1]
	g.heapIndex = -1
	return g
}

// fix adds, removes or moves a group in the heap after its pending samples or its
// predicted length have changed.
func (q *groupQueue) fix(g *group) {
	switch {
	case len(g.pending) == 0 && g.heapIndex >= 0:
		heap.Remove(q, g.heapIndex)
	case len(g.pending) > 0 && g.heapIndex < 0:
		heap.Push(q, g)
	case len(g.pending) > 0:
		heap.Fix(q, g.heapIndex)
	}
}
