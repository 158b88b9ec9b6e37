package rollout

import (
	"math"
	"time"

	"mulberrypier.example/pier/outcome"
)

// Config holds the parameters of a Coordinator.
type Config struct {
	Key StepKey
	// Epoch identifies this coordinator of the step. A trainer that pulls with another
	// epoch is asked which slots it has.
	Epoch string
	// Grace is how long a stream may go without a report from an owner before its slot is
	// generated again. Within that time the server's next owner may adopt the stream.
	Grace time.Duration
	// FirstAttempt is the number of each slot's first attempt. It must be higher than the
	// numbers used by earlier coordinators of the step, whose streams may still be running.
	FirstAttempt int
	Policy       Policy
}

// Coordinator tracks one step. It is not safe for concurrent use.
type Coordinator struct {
	c Config
	// slots holds the opened slots by number. Only a resync takes a slot out of slotAcked.
	slots  map[Slot]*slot
	groups map[Slot]*group
	// queue holds the groups with pending slots; running holds the slots in slotRunning.
	queue   groupQueue
	running map[Slot]*slot
	// load counts the step's streams by server, without those being moved off it; lastGroup
	// is the group that each server got a sample of last.
	load      map[string]int
	lastGroup map[string]*group
	// expectedVersion is the version at which the trainer is expected to train this step, 0
	// if unknown; early counts the slots that were started at an older one.
	expectedVersion Version
	early           int
	// stragglers holds the stragglers that run on ordinary servers; awaitingExpress lists
	// the pending slots that belong on an express server; movingToExpress counts the
	// streams that were asked to move to one and have not stopped yet.
	stragglers      map[Slot]*slot
	awaitingExpress []Slot
	movingToExpress int
	// overdueCheckedAt is the trainer's version at the last search for overdue streams.
	overdueCheckedAt Version
	// bound is the last known staleness bound of the trainer.
	bound  int64
	counts Counts
	// offered is the batch that is not acknowledged yet, or nil; seq is the number of the
	// last batch.
	offered *Batch
	seq     int64
	// version is the highest version that the trainer has stated or published.
	version Version
	// sealed lists the sealed slots in the order in which they finished.
	sealed []Slot
	// have is the set of slots that the trainer stated at the last resync.
	have Bitmap
	// lastTick is the time of the last Tick. resumedAt is when ticks resumed after this
	// coordinator had been stalled for more than half the grace time.
	lastTick, resumedAt time.Time
}

// NewCoordinator returns a coordinator of a step without groups.
func NewCoordinator(c Config) *Coordinator {
	x := &Coordinator{
		c:          c,
		slots:      make(map[Slot]*slot),
		groups:     make(map[Slot]*group),
		running:    make(map[Slot]*slot),
		load:       make(map[string]int),
		lastGroup:  make(map[string]*group),
		stragglers: make(map[Slot]*slot),
		bound:      math.MaxInt64,
	}
	x.queue.p = &x.c.Policy
	return x
}

// Open adds groups to the step. A group that is open already must be identical. Errors are
// *outcome.Error with the reason bad-request or conflict; no group is added then.
func (c *Coordinator) Open(g []Group) error {
	for i := range g {
		if err := g[i].Check(); err != nil {
			return err
		}
		if err := c.checkGroup(&g[i]); err != nil {
			return err
		}
	}
	for i := range g {
		if _, ok := c.groups[g[i].First]; !ok {
			c.addGroup(g[i])
		}
	}
	return nil
}

// checkGroup returns an error if g conflicts with the groups opened before.
func (c *Coordinator) checkGroup(g *Group) error {
	if o, ok := c.groups[g.First]; ok {
		if o.Group != *g {
			return outcome.Refuse(outcome.ReasonConflict, "group differs from the one opened before")
		}
		return nil
	}
	if c.counts.Closed {
		return outcome.Refuse(outcome.ReasonConflict, "step is closed")
	}
	for i := range g.Samples {
		if _, ok := c.slots[g.First+Slot(i)]; ok {
			return outcome.Refuse(outcome.ReasonConflict, "slot belongs to another group")
		}
	}
	return nil
}

// addGroup adds a group. Slots that the trainer stated to have start as acknowledged.
func (c *Coordinator) addGroup(g Group) {
	x := &group{Group: g, seq: len(c.groups), heapIndex: -1}
	c.groups[g.First] = x
	for i := range g.Samples {
		n := g.First + Slot(i)
		s := &slot{group: x, nextAttempt: c.c.FirstAttempt}
		c.slots[n] = s
		c.counts.Slots++
		if c.have.Has(n) {
			s.state = slotAcked
			x.done++
			c.counts.Acked++
			continue
		}
		x.pending = append(x.pending, n)
		c.counts.Pending++
	}
	c.queue.fix(x)
}

// SetExpectedVersion sets the version at which the trainer is expected to train this step, as
// estimated from its earlier steps. It never lowers it.
func (c *Coordinator) SetExpectedVersion(v Version) { c.expectedVersion = max(c.expectedVersion, v) }

// Close marks the step as closed: no more groups will be opened.
func (c *Coordinator) Close() { c.counts.Closed = true }

// Done reports whether the step is closed and all its samples are acknowledged.
func (c *Coordinator) Done() bool {
	return c.counts.Closed && c.counts.Acked == c.counts.Slots
}

// SetVersion records that the trainer has published or trains at version v. Lower versions
// are ignored.
func (c *Coordinator) SetVersion(v Version) { c.version = max(c.version, v) }

// Assign assigns work to the servers that the host offers. It updates Running of the offers.
func (c *Coordinator) Assign(now time.Time, host string, o []Offer) []Work {
	var w []Work
	for i := range o {
		for range o[i].FreeSlots {
			x, ok := c.assignNext(now, host, &o[i])
			if !ok {
				break
			}
			o[i].Running++
			w = append(w, x)
		}
	}
	return w
}

// assignNext starts one stream on the offered server, and reports whether there was one to
// start. Tokens of an earlier attempt are discarded if they are over the staleness bound.
func (c *Coordinator) assignNext(now time.Time, host string, o *Offer) (Work, bool) {
	n, ok := c.c.Policy.pick(c, now, o)
	if !ok {
		return Work{}, false
	}
	s := c.slots[n]
	if s.partial != nil && int64(c.version-s.partial.Oldest()) > c.bound {
		c.counts.Discarded += int64(s.partial.Tokens)
		s.partial = nil
	}
	w := Work{
		Stream:    Stream{Key: c.c.Key, Slot: n, Attempt: s.nextAttempt},
		Server:    o.Server,
		Prompt:    s.group.Prompt,
		MaxTokens: s.group.MaxTokens,
		Group:     s.group.First,
		Priority:  c.c.Policy.priority(c),
		Resume:    s.partial,
	}
	if c.behind(o.Version) && !s.early {
		s.early = true
		c.early++
	}
	r := run{
		attempt: s.nextAttempt, server: o.Server, host: host, started: now, lastSeen: now,
		version: o.Version,
	}
	if s.partial != nil {
		r.version = s.partial.Oldest()
	}
	s.partial = nil
	c.lastGroup[o.Server] = s.group
	c.startRun(n, r)
	return w, true
}

// Seal records a finished sample. The first one of a slot is kept, and the slot's other
// attempts are returned to be cancelled. An incomplete sample is ignored; one that is over
// the staleness bound is discarded and its slot generated again.
func (c *Coordinator) Seal(d *Sample) []Cancel {
	s, ok := c.slots[d.Slot]
	if !ok || !d.Complete() {
		return nil
	}
	if s.state >= slotSealed {
		if s.keptAttempt != d.Attempt {
			c.counts.Discarded += int64(d.Tokens)
		}
		return nil
	}
	if int64(c.version-d.Oldest()) > c.bound {
		c.discardStale(s, d)
		return nil
	}
	x := c.endRuns(s, d)
	c.keep(s, d)
	return x
}

// endRuns ends all runs of the slot of a finished sample, and returns those of other attempts to be
// cancelled.
func (c *Coordinator) endRuns(s *slot, d *Sample) []Cancel {
	var x []Cancel
	for _, r := range s.runs {
		c.uncountRun(&r)
		if r.attempt != d.Attempt {
			c.counts.Discarded += int64(r.tokens)
			x = append(x, Cancel{Stream: Stream{c.c.Key, d.Slot, r.attempt}, Host: r.host, Server: r.server})
		}
	}
	s.runs = nil
	if s.state == slotPending {
		c.counts.Pending--
		c.dequeue(d.Slot, s)
	} else {
		c.counts.Running--
		delete(c.running, d.Slot)
	}
	delete(c.stragglers, d.Slot)
	return x
}

// keep keeps a finished sample as that of its slot, which has no runs.
func (c *Coordinator) keep(s *slot, d *Sample) {
	s.partial = nil
	s.state = slotSealed
	s.sample, s.keptAttempt = d, d.Attempt
	s.nextAttempt = max(s.nextAttempt, d.Attempt+1)
	s.group.done++
	s.group.sealedTokens += d.Tokens
	c.queue.fix(s.group)
	c.counts.Sealed++
	c.counts.Tokens += int64(d.Tokens)
	c.sealed = append(c.sealed, d.Slot)
}

// discardStale discards a finished sample that is over the staleness bound.
func (c *Coordinator) discardStale(s *slot, d *Sample) {
	c.counts.Dropped++
	c.counts.Discarded += int64(d.Tokens)
	s.nextAttempt = max(s.nextAttempt, d.Attempt+1)
	if i := s.runIndex(d.Attempt); i >= 0 {
		c.endRun(d.Slot, s, i)
	}
}

// Key returns the key of the step.
func (c *Coordinator) Key() StepKey { return c.c.Key }

// Seq returns the number of the outstanding batch or, if there is none, of the last
// acknowledged one.
func (c *Coordinator) Seq() int64 { return c.seq }

// Opened reports whether the slot belongs to a group of the step.
func (c *Coordinator) Opened(n Slot) bool { return c.slots[n] != nil }

// HasUnacknowledged reports whether the slot has a sample that is not acknowledged yet,
// so that the host that generated it must keep it.
func (c *Coordinator) HasUnacknowledged(n Slot) bool {
	s := c.slots[n]
	return s != nil && (s.state == slotSealed || s.state == slotOffered)
}

// Acked reports whether the trainer has acknowledged the slot.
func (c *Coordinator) Acked(n Slot) bool {
	s := c.slots[n]
	return s != nil && s.state == slotAcked
}
