package rollout

import (
	"slices"
	"time"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

// Batch is the result of one pull.
type Batch struct {
	// Epoch and Seq identify the batch. A batch that is returned again is identical.
	Epoch   string    `msgpack:"e" json:"epoch"`
	Seq     int64     `msgpack:"q" json:"seq"`
	Samples []*Sample `msgpack:"s" json:"samples"`
	// Complete marks the last batch of a closed step: with it, the trainer has all samples.
	Complete bool `msgpack:"w" json:"whole"`
}

// Pull is a trainer's request for samples.
type Pull struct {
	// Epoch and Ack identify the last batch that the trainer has read; empty at first.
	Epoch string `msgpack:"e" json:"epoch"`
	Ack   int64  `msgpack:"a" json:"ack"`
	// Version is the version at which the trainer trains.
	Version Version `msgpack:"v" json:"version"`
	// Max is the maximum number of samples to return; values below 1 count as 1.
	Max int `msgpack:"m" json:"max"`
	// WholeGroups asks for groups only once all their samples are finished. A group is never
	// split over batches, so its last samples may exceed Max.
	WholeGroups bool `msgpack:"g" json:"whole-groups"`
	// Wait is how long the pull may be held open when there is nothing to return.
	Wait time.Duration `msgpack:"w" json:"-"`
	// Have is the set of slots that the trainer has; required after a resync.
	Have Bitmap `msgpack:"h" json:"have,omitempty"`
	// HaveStated is set if the trainer states Have, which may be empty.
	HaveStated bool `msgpack:"t" json:"stated,omitempty"`
}

// Pull acknowledges the batch that the trainer names and returns the next one, or nil when
// there is nothing to hand over. An unacknowledged batch is returned again. bound is the
// trainer's current staleness bound, in versions. Errors are *outcome.Error; the reason
// resync asks the trainer to state which slots it has.
func (c *Coordinator) Pull(p *Pull, bound int64) (*Batch, error) {
	c.SetVersion(p.Version)
	c.bound = bound
	if p.HaveStated {
		c.resync(p.Have)
	} else if err := c.acknowledge(p); err != nil {
		return nil, err
	}
	if c.offered != nil {
		return c.repeatBatch(bound)
	}
	b := c.nextBatch(p, bound)
	if b == nil {
		return nil, nil
	}
	c.offered = b
	return b, nil
}

// acknowledge compares the outstanding batch with the one that the pull names. A pull that
// does not follow on from this coordinator's last batch is refused with the reason resync,
// since only the trainer's own record shows what has been delivered.
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

// ackOffered marks the samples of the outstanding batch, if any, as acknowledged.
func (c *Coordinator) ackOffered() {
	if c.offered == nil {
		return
	}
	for _, s := range c.offered.Samples {
		c.ack(s.Slot)
	}
	c.offered = nil
}

// ack marks a sample of the outstanding batch as acknowledged and drops its contents.
func (c *Coordinator) ack(n Slot) {
	s := c.slots[n]
	bug.Assert(s.state == slotOffered, bug.ExactlyOnce, "slot %d acknowledged in state %d", n, s.state)
	s.state = slotAcked
	s.sample = nil
	c.counts.Offered--
	c.counts.Acked++
}

// repeatBatch returns the outstanding batch again as long as all its samples are within
// the bound. Otherwise it asks for a resync, as only the trainer's own record shows which
// of the samples it received.
func (c *Coordinator) repeatBatch(bound int64) (*Batch, error) {
	for _, s := range c.offered.Samples {
		if int64(c.version-s.Oldest()) > bound {
			return nil, outcome.Refuse(outcome.ReasonResync, "batch grew too old before it was acknowledged")
		}
	}
	return c.offered, nil
}

// resync brings the slots in line with the trainer's own record. Slots that it has count as
// acknowledged; acknowledged slots that it lacks are generated again.
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
			c.markAcked(n, s)
		case !have.Has(n) && s.state == slotAcked:
			c.counts.Acked--
			s.group.done--
			c.requeue(n, s)
		}
	}
	c.sealed = slices.DeleteFunc(c.sealed, func(n Slot) bool { return c.slots[n].state != slotSealed })
}

// markAcked marks a slot that the trainer has as acknowledged, from any state.
func (c *Coordinator) markAcked(n Slot, s *slot) {
	switch s.state {
	case slotPending:
		c.counts.Pending--
		c.dequeue(n, s)
		s.group.done++
	case slotRunning:
		c.counts.Running--
		delete(c.running, n)
		s.group.done++
	case slotSealed:
		c.counts.Sealed--
	}
	for _, r := range s.runs {
		c.uncountRun(&r)
	}
	delete(c.stragglers, n)
	s.runs = nil
	s.sample = nil
	s.state = slotAcked
	c.counts.Acked++
	c.queue.fix(s.group)
}

// nextBatch builds a batch of the sealed samples that are within the bound, up to p.Max;
// samples over the bound are dropped and generated again. It returns nil when there is
// nothing to hand over. The last batch of a step may be empty.
func (c *Coordinator) nextBatch(p *Pull, bound int64) *Batch {
	c.requeueStale(bound)
	var (
		rest []Slot
		out  []*Sample
	)
	for _, n := range c.sealed {
		s := c.slots[n]
		ready := !p.WholeGroups || s.group.done == s.group.Samples
		fits := len(out) < max(1, p.Max) || p.WholeGroups && containsGroup(out, s.group)
		if !fits || !ready {
			rest = append(rest, n)
			continue
		}
		out = append(out, s.sample)
	}
	last := c.counts.Closed && c.counts.Acked+len(out) == c.counts.Slots
	if len(out) == 0 && !last {
		return nil
	}
	c.sealed = rest
	for _, s := range out {
		x := c.slots[s.Slot]
		bug.Assert(x.state == slotSealed, bug.ExactlyOnce, "slot %d offered in state %d", s.Slot, x.state)
		bug.Assert(int64(c.version-s.Oldest()) <= bound, bug.StalenessBound, "%s", s.ID())
		x.state = slotOffered
		c.counts.Sealed--
		c.counts.Offered++
	}
	c.seq++
	return &Batch{Epoch: c.c.Epoch, Seq: c.seq, Samples: out, Complete: last}
}

// requeueStale drops the sealed samples that are over the bound and makes their slots
// pending again.
func (c *Coordinator) requeueStale(bound int64) {
	c.sealed = slices.DeleteFunc(c.sealed, func(n Slot) bool {
		s := c.slots[n]
		if int64(c.version-s.sample.Oldest()) <= bound {
			return false
		}
		c.counts.Sealed--
		c.counts.Dropped++
		c.counts.Discarded += int64(s.sample.Tokens)
		s.group.done--
		s.group.sealedTokens -= s.sample.Tokens
		c.requeue(n, s)
		return true
	})
}

// containsGroup reports whether a sample of group g is in out. With whole groups requested,
// a group's other samples then follow even if they exceed the batch size.
func containsGroup(out []*Sample, g *group) bool {
	return slices.ContainsFunc(out, func(s *Sample) bool {
		return s.Slot >= g.First && int(s.Slot) < int(g.First)+g.Samples
	})
}
