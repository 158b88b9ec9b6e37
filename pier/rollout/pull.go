package rollout

import (
	"slices"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// Pull acknowledges the batch that the trainer names and returns the next one.
// The batch is nil when there is nothing to hand over. bound is the trainer's
// staleness bound in force. Errors are *outcome.Error: resync asks the trainer
// to state which slots it has.
func (c *Coordinator) Pull(p *Pull, bound int64) (*Batch, error) {
	c.SetVersion(p.Version)
	c.bound = bound
	if p.Stated {
		c.resync(p.Have)
	} else if err := c.acknowledge(p); err != nil {
		return nil, err
	}
	if c.offered != nil {
		return c.repeat(bound)
	}
	b := c.batch(p, bound)
	if b == nil {
		return nil, nil
	}
	c.offered = b
	return b, nil
}

// acknowledge settles the outstanding batch against the one that the pull names.
// A pull that does not follow on from this coordinator's last batch cannot be
// judged without the trainer's own record.
func (c *Coordinator) acknowledge(p *Pull) error {
	if p.Epoch == "" && c.counts.Acked == 0 && c.seq <= 1 {
		return nil
	}
	switch {
	case p.Epoch != c.c.Epoch:
		return outcome.Refuse(outcome.ReasonResync, "pull belongs to another coordinator")
	case p.Ack == c.seq:
		c.ackOffered()
		return nil
	case p.Ack == c.seq-1 && c.offered != nil:
		return nil
	}
	return outcome.Refuse(outcome.ReasonResync, "acknowledges a batch that was not handed out")
}

func (c *Coordinator) ackOffered() {
	if c.offered == nil {
		return
	}
	for _, s := range c.offered.Samples {
		c.ack(s.Slot)
	}
	c.offered = nil
}

func (c *Coordinator) ack(n Slot) {
	s := c.slots[n]
	bug.Assert(s.state == slotOffered, bug.ExactlyOnce, "slot %d acknowledged in state %d", n, s.state)
	s.state = slotAcked
	s.sample = nil
	c.counts.Offered--
	c.counts.Acked++
}

// repeat hands the outstanding batch out again, as long as it is within bound.
// Over it, only the trainer's own record tells which samples it has.
func (c *Coordinator) repeat(bound int64) (*Batch, error) {
	for _, s := range c.offered.Samples {
		if int64(c.version-s.Oldest()) > bound {
			return nil, outcome.Refuse(outcome.ReasonResync, "batch grew too old before it was acknowledged")
		}
	}
	return c.offered, nil
}

// resync adopts the trainer's own record of what it has.
func (c *Coordinator) resync(have Bitmap) {
	c.have = slices.Clone(have)
	if c.offered != nil {
		for _, s := range c.offered.Samples {
			c.counts.Offered--
			c.counts.Sealed++
			c.slots[s.Slot].state = slotSealed
			c.sealed = append(c.sealed, s.Slot)
		}
		c.offered = nil
	}
	for n, s := range c.slots {
		switch {
		case have.Has(n) && s.state != slotAcked:
			c.takeAway(n, s)
		case !have.Has(n) && s.state == slotAcked:
			c.counts.Acked--
			s.group.done--
			c.requeue(n, s)
		}
	}
	c.sealed = slices.DeleteFunc(c.sealed, func(n Slot) bool { return c.slots[n].state != slotSealed })
}

// takeAway marks a slot that the trainer has as acknowledged, from any state.
func (c *Coordinator) takeAway(n Slot, s *slot) {
	switch s.state {
	case slotPending:
		c.counts.Pending--
		c.unqueue(n, s)
		s.group.done++
	case slotRunning:
		c.counts.Running--
		delete(c.running, n)
		s.group.done++
	case slotSealed:
		c.counts.Sealed--
	}
	for _, r := range s.runs {
		c.unloadRun(&r)
	}
	delete(c.late, n)
	s.runs = nil
	s.sample = nil
	s.state = slotAcked
	c.counts.Acked++
	c.queue.fix(s.group)
}

// batch takes sealed samples that are within bound; the others are dropped and
// generated again.
func (c *Coordinator) batch(p *Pull, bound int64) *Batch {
	c.dropStale(bound)
	var (
		keep []Slot
		out  []*Sample
	)
	for _, n := range c.sealed {
		s := c.slots[n]
		full := !p.WholeGroups || s.group.done == s.group.Samples
		room := len(out) < max(1, p.Max) || p.WholeGroups && contains(out, s.group)
		if !room || !full {
			keep = append(keep, n)
			continue
		}
		out = append(out, s.sample)
	}
	whole := c.counts.Closed && c.counts.Acked+len(out) == c.counts.Slots
	if len(out) == 0 && !whole {
		return nil
	}
	c.sealed = keep
	for _, s := range out {
		x := c.slots[s.Slot]
		bug.Assert(x.state == slotSealed, bug.ExactlyOnce, "slot %d offered in state %d", s.Slot, x.state)
		bug.Assert(int64(c.version-s.Oldest()) <= bound, bug.StalenessBound, "%s", s.ID())
		x.state = slotOffered
		c.counts.Sealed--
		c.counts.Offered++
	}
	c.seq++
	return &Batch{Epoch: c.c.Epoch, Seq: c.seq, Samples: out, Whole: whole}
}

func (c *Coordinator) dropStale(bound int64) {
	c.sealed = slices.DeleteFunc(c.sealed, func(n Slot) bool {
		s := c.slots[n]
		if int64(c.version-s.sample.Oldest()) <= bound {
			return false
		}
		c.counts.Sealed--
		c.counts.Dropped++
		c.counts.Thrown += int64(s.sample.Tokens)
		s.group.done--
		s.group.lengths -= s.sample.Tokens
		c.requeue(n, s)
		return true
	})
}

// contains reports whether a sample of group g is in out already; whole groups
// are kept together even when they exceed the batch size.
func contains(out []*Sample, g *group) bool {
	return slices.ContainsFunc(out, func(s *Sample) bool {
		return s.Slot >= g.First && int(s.Slot) < int(g.First)+g.Samples
	})
}
