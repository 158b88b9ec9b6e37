package rollout

import (
	"maps"
	"math"
	"slices"
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

// slotState is the progress of a slot. Comparisons rely on the order of the constants.
type slotState uint8

const (
	// slotPending means that the sample waits for a server.
	slotPending slotState = iota
	// slotRunning means that at least one attempt is in progress.
	slotRunning
	// slotSealed means that the sample is finished and in no outstanding batch.
	slotSealed
	// slotOffered means that the sample is in the outstanding batch.
	slotOffered
	// slotAcked means that the trainer has the sample.
	slotAcked
)

// run is one attempt in progress.
type run struct {
	slot    Slot
	attempt int
	// version is the version that the server reported when the stream started, or the
	// oldest one of the tokens that it resumed from; 0 if unknown.
	version Version
	// moveRequested is when the owner was asked to stop the stream in order to move it; zero
	// if it was not.
	moveRequested time.Time
	// express is set when the stream is moving to an express server.
	express bool
	server  string
	host    string
	started time.Time
	// lastSeen is when an owner last reported that it drives the stream.
	lastSeen time.Time
	tokens   int
}

// slot is the state of one sample of the step.
type slot struct {
	state slotState
	group *group
	// nextAttempt is the number of the next attempt. Numbers are never reused.
	nextAttempt int
	runs        []run
	// moves counts how often the slot was moved to another server.
	moves int
	// express is set once the slot was a straggler; it then runs on express servers.
	express bool
	// early is set when the slot is counted in Coordinator.early.
	early bool
	// partial holds the tokens of a stopped attempt, from which the next one resumes.
	partial *Sample
	// sample is set from slotSealed until slotAcked; keptAttempt is the attempt that
	// generated it.
	sample      *Sample
	keptAttempt int
}

// group is a group of the step with its scheduling state.
type group struct {
	Group
	// done counts the slots of the group that are sealed, offered or acknowledged.
	done int
	// sealedTokens is the number of tokens of the sealed samples, for length prediction.
	sealedTokens int
	// pending lists the pending slots in ascending order, except those that wait for an
	// express server.
	pending []Slot
	// seq is the position in the order of opening; heapIndex is the position in the queue,
	// -1 if the group is not in it.
	seq, heapIndex int
}

// Cancel asks the owner on Host to cancel a stream.
type Cancel struct {
	Stream
	Host   string
	Server string
	// Move asks the owner to return the tokens generated so far.
	Move bool
}

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

// Counts summarises the state of a step: its slots by state, and totals.
type Counts struct {
	Slots   int  `msgpack:"s" json:"slots"`
	Pending int  `msgpack:"p" json:"pending"`
	Running int  `msgpack:"r" json:"running"`
	Sealed  int  `msgpack:"e" json:"sealed"`
	Offered int  `msgpack:"o" json:"offered"`
	Acked   int  `msgpack:"a" json:"acked"`
	Closed  bool `msgpack:"c" json:"closed"`
	// Dropped counts samples that were over the staleness bound when they finished or were
	// pulled.
	Dropped int `msgpack:"d" json:"dropped"`
	// Discarded counts tokens that were generated but will not be delivered.
	Discarded int64 `msgpack:"t" json:"tokens-thrown"`
	// Tokens counts the tokens of sealed samples.
	Tokens int64 `msgpack:"k" json:"tokens"`
	// Lost counts streams that failed, or whose server or owner failed.
	Lost int `msgpack:"l" json:"lost"`
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

// Counts returns the current counts of the step.
func (c *Coordinator) Counts() Counts { return c.counts }

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

// startRun moves a pending slot to slotRunning, or adds a run to one that is running.
func (c *Coordinator) startRun(n Slot, r run) {
	s := c.slots[n]
	r.slot = n
	s.nextAttempt = max(s.nextAttempt, r.attempt+1)
	s.runs = append(s.runs, r)
	c.load[r.server]++
	if s.state == slotPending {
		s.state = slotRunning
		c.running[n] = s
		c.counts.Pending--
		c.counts.Running++
		c.dequeue(n, s)
	}
}

// dequeue removes a slot from the pending ones.
func (c *Coordinator) dequeue(n Slot, s *slot) {
	s.group.pending = remove(s.group.pending, n)
	c.awaitingExpress = remove(c.awaitingExpress, n)
	c.queue.fix(s.group)
}

// AddHeld adds what a host holds for the step, after this coordinator took the step over:
// streams in progress and finished samples. It ignores slots whose group is not open yet,
// so the caller repeats it once more groups are. It returns the streams to cancel.
func (c *Coordinator) AddHeld(now time.Time, host string, running []Work, done []*Sample) []Cancel {
	for i := range running {
		w := &running[i]
		s, ok := c.slots[w.Slot]
		if !ok || s.state > slotRunning || s.runIndex(w.Attempt) >= 0 {
			continue
		}
		c.startRun(w.Slot, run{attempt: w.Attempt, server: w.Server, host: host, started: now, lastSeen: now})
	}
	var x []Cancel
	for _, d := range done {
		x = append(x, c.Seal(now, d)...)
	}
	return x
}

// Adopt records that host drives a stream on the server, possibly in place of an earlier
// owner. It returns false when the stream's result is no longer wanted.
func (c *Coordinator) Adopt(now time.Time, host, server string, t Stream) bool {
	s, ok := c.slots[t.Slot]
	if !ok || s.state > slotRunning {
		return false
	}
	if i := s.runIndex(t.Attempt); i >= 0 {
		s.runs[i].host = host
		s.runs[i].lastSeen = now
		return true
	}
	c.startRun(t.Slot, run{attempt: t.Attempt, server: server, host: host, started: now, lastSeen: now})
	return true
}

// Progress records the number of tokens that a stream has generated.
func (c *Coordinator) Progress(t Stream, tokens int) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	if i := s.runIndex(t.Attempt); i >= 0 {
		s.runs[i].tokens = tokens
		c.markStraggler(t.Slot, s)
	}
}

// Seal records a finished sample. The first one of a slot is kept, and the slot's other
// attempts are returned to be cancelled. An incomplete sample is ignored; one that is over
// the staleness bound is discarded and its slot generated again.
func (c *Coordinator) Seal(_ time.Time, d *Sample) []Cancel {
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
	return x
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

// StreamFailed records that a stream ended without a finished sample. Its slot is generated
// again, resuming from the partial sample if there is one.
func (c *Coordinator) StreamFailed(t Stream, tokens int, partial *Sample) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	i := s.runIndex(t.Attempt)
	if i < 0 {
		return
	}
	if s.runs[i].moveRequested.IsZero() {
		c.counts.Lost++
	}
	c.endRun(t.Slot, s, i)
	if s.state == slotPending && partial != nil && partial.Complete() && partial.Tokens < s.group.MaxTokens {
		s.partial = partial
		return
	}
	c.counts.Discarded += int64(tokens)
}

// Tick drops the streams that no owner has reported for the grace time, and returns their
// number. Time during which this coordinator itself was stalled does not count.
func (c *Coordinator) Tick(now time.Time) int {
	if d := now.Sub(c.lastTick); !c.lastTick.IsZero() && d > c.c.Grace/2 {
		c.resumedAt = now
	}
	c.lastTick = now
	n := 0
	for _, k := range slices.Sorted(maps.Keys(c.running)) {
		s := c.running[k]
		for i := len(s.runs) - 1; i >= 0; i-- {
			if since := later(s.runs[i].lastSeen, c.resumedAt); now.Sub(since) < c.c.Grace {
				continue
			}
			c.counts.Lost++
			c.counts.Discarded += int64(s.runs[i].tokens)
			c.endRun(k, s, i)
			n++
		}
	}
	return n
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// endRun removes the i-th run of a slot. A slot without runs becomes pending again.
func (c *Coordinator) endRun(n Slot, s *slot, i int) {
	c.uncountRun(&s.runs[i])
	s.runs = slices.Delete(s.runs, i, i+1)
	if s.state == slotRunning && len(s.runs) == 0 {
		c.counts.Running--
		delete(c.running, n)
		c.requeue(n, s)
	}
}

// requeue makes a slot pending again, in slot order within its group, which usually puts it
// ahead of the samples not started yet. A slot that belongs on an express server waits for one.
func (c *Coordinator) requeue(n Slot, s *slot) {
	s.state = slotPending
	s.sample = nil
	c.counts.Pending++
	delete(c.stragglers, n)
	if s.express {
		c.awaitingExpress = append(c.awaitingExpress, n)
		return
	}
	i, _ := slices.BinarySearch(s.group.pending, n)
	s.group.pending = slices.Insert(s.group.pending, i, n)
	c.queue.fix(s.group)
}

// runIndex returns the index of the run with the given attempt number, or -1.
func (s *slot) runIndex(attempt int) int {
	return slices.IndexFunc(s.runs, func(r run) bool { return r.attempt == attempt })
}

// uncountRun removes a run from the counts. A run that was asked to move is no longer
// counted on its server.
func (c *Coordinator) uncountRun(r *run) {
	if r.moveRequested.IsZero() {
		c.uncountStream(r.server)
	} else if r.express {
		c.movingToExpress--
	}
}

// uncountStream subtracts one stream from the server's load.
func (c *Coordinator) uncountStream(server string) {
	if c.load[server]--; c.load[server] <= 0 {
		delete(c.load, server)
	}
}

// remove returns l without n. It may modify l's memory.
func remove(l []Slot, n Slot) []Slot {
	if i := slices.Index(l, n); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
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

// Waits describes what the step is waiting for, for the status report.
func (c *Coordinator) Waits() string {
	n := &c.counts
	switch {
	case c.Done():
		return "whole"
	case n.Pending > 0:
		return "samples wait for a server"
	case n.Running > 0:
		return "samples are being generated"
	case n.Sealed > 0:
		return "samples wait for the trainer's pull"
	case n.Offered > 0:
		return "a batch waits for its acknowledgement"
	case !n.Closed:
		return "the trainer has not closed the step"
	}
	return ""
}
