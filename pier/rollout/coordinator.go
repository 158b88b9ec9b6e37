package rollout

import (
	"maps"
	"math"
	"slices"
	"time"

	"mulberrypier.example/pier/outcome"
)

// Config constructs a Coordinator.
type Config struct {
	Key StepKey
	// Epoch identifies this holder of the step; a trainer that pulls with another
	// epoch is asked which slots it has.
	Epoch string
	// Grace is how long a stream that no owner speaks of may still be adopted by
	// the server's next owner before its slot is generated again.
	Grace time.Duration
	// FirstAttempt is the number of each slot's first attempt. It must be above the
	// numbers of earlier coordinators of the step, whose streams may still be about.
	FirstAttempt int
	// Policy decides which slot a server gets.
	Policy Policy
}

type slotState uint8

const (
	slotPending slotState = iota
	slotRunning
	slotSealed
	slotOffered
	slotAcked
)

// run is one attempt in progress.
type run struct {
	slot    Slot
	attempt int
	// version is what the server reported when the stream began; 0 if unknown.
	version Version
	// moving is when the owner was asked to give the stream up.
	moving time.Time
	// express tells that it is moving to an express server.
	express bool
	server  string
	host    string
	started time.Time
	// seen is when an owner last said that it drives the stream.
	seen   time.Time
	tokens int
}

type slot struct {
	state slotState
	group *group
	// next is the number of the next attempt; attempts are never numbered twice.
	next int
	runs []run
	// moves counts how often the slot was moved to another server.
	moves int
	// express tells that the slot was a straggler and belongs on express servers.
	express bool
	// early tells that the slot counts among the coordinator's early starts.
	early bool
	// partial holds the tokens of an attempt that was given up, to go on from.
	partial *Sample
	// sample is set from slotSealed to slotAcked; kept is its attempt.
	sample *Sample
	kept   int
}

type group struct {
	Group
	// done counts the slots of the group that are sealed or later.
	done int
	// lengths sums the tokens of the sealed samples, for prediction.
	lengths int
	pending []Slot
	// seq is the order of opening; at is the place in the queue, -1 for none.
	seq, at int
}

// Cancel asks the owner on Host to cancel a stream.
type Cancel struct {
	Stream
	Host   string
	Server string
	// Move asks the owner to bring back the tokens so far.
	Move bool
}

// Batch is what one pull hands over.
type Batch struct {
	// Epoch and Seq identify the batch; a repeated batch has the same bytes.
	Epoch   string    `msgpack:"e" json:"epoch"`
	Seq     int64     `msgpack:"q" json:"seq"`
	Samples []*Sample `msgpack:"s" json:"samples"`
	// Whole tells that this batch is the last one of a closed step.
	Whole bool `msgpack:"w" json:"whole"`
}

// Pull is a trainer's request for samples.
type Pull struct {
	// Epoch and Ack name the last batch that the trainer has read; empty at first.
	Epoch string `msgpack:"e" json:"epoch"`
	Ack   int64  `msgpack:"a" json:"ack"`
	// Version is the version that the trainer trains at.
	Version Version `msgpack:"v" json:"version"`
	// Max is the greatest number of samples to return.
	Max int `msgpack:"m" json:"max"`
	// WholeGroups asks for groups only when all their samples are there.
	WholeGroups bool `msgpack:"g" json:"whole-groups"`
	// Wait is how long the pull may be held when there is nothing to return.
	Wait time.Duration `msgpack:"w" json:"-"`
	// Have is the set of slots that the trainer has; required after a resync.
	Have Bitmap `msgpack:"h" json:"have,omitempty"`
	// Stated tells that Have is set, also when it is empty.
	Stated bool `msgpack:"t" json:"stated,omitempty"`
}

// Counts is the state of a step at a glance.
type Counts struct {
	Slots   int  `msgpack:"s" json:"slots"`
	Pending int  `msgpack:"p" json:"pending"`
	Running int  `msgpack:"r" json:"running"`
	Sealed  int  `msgpack:"e" json:"sealed"`
	Offered int  `msgpack:"o" json:"offered"`
	Acked   int  `msgpack:"a" json:"acked"`
	Closed  bool `msgpack:"c" json:"closed"`
	// Dropped counts samples that were over the staleness bound when pulled.
	Dropped int `msgpack:"d" json:"dropped"`
	// Thrown counts tokens that were generated and not delivered.
	Thrown int64 `msgpack:"t" json:"tokens-thrown"`
	// Tokens counts the tokens of sealed samples.
	Tokens int64 `msgpack:"k" json:"tokens"`
	// Lost counts streams whose server, owner or stream failed.
	Lost int `msgpack:"l" json:"lost"`
}

// Coordinator holds one step. It is not safe for concurrent use.
type Coordinator struct {
	c Config
	// slots holds the opened slots; a slot leaves slotAcked never.
	slots  map[Slot]*slot
	groups map[Slot]*group
	// queue holds the groups with pending slots, running the slots that run.
	queue   groupQueue
	running map[Slot]*slot
	// load counts the step's streams by server, last is the group that a server
	// was given last.
	load map[string]int
	last map[string]*group
	// expected is the version that the trainer will train this step at; early
	// counts the slots that were started at an older one.
	expected Version
	early    int
	// late holds the stragglers that run on ordinary servers, urgent lists those
	// that wait for an express server, leaving counts those on their way there.
	late    map[Slot]*slot
	urgent  []Slot
	leaving int
	// lateAt is the version at which late streams were looked for last.
	lateAt Version
	// bound is the trainer's staleness bound as it was stated last.
	bound  int64
	counts Counts
	// offered is the batch that is not acknowledged yet, if any.
	offered *Batch
	seq     int64
	// version is the highest version that the trainer stated or published.
	version Version
	// sealed lists sealed slots in the order in which they became so.
	sealed []Slot
	// have is what the trainer stated at the last resync.
	have Bitmap
	// ticked is the time of the last tick; resumed is when the coordinator went on
	// after it had stood still.
	ticked, resumed time.Time
}

// NewCoordinator returns the holder of a step without groups.
func NewCoordinator(c Config) *Coordinator {
	x := &Coordinator{
		c:       c,
		slots:   make(map[Slot]*slot),
		groups:  make(map[Slot]*group),
		running: make(map[Slot]*slot),
		load:    make(map[string]int),
		last:    make(map[string]*group),
		late:    make(map[Slot]*slot),
		bound:   math.MaxInt64,
	}
	x.queue.p = &x.c.Policy
	return x
}

// Open adds groups to the step. A group that is there already must be the same.
// Errors are *outcome.Error: bad-request or conflict.
func (c *Coordinator) Open(g []Group) error {
	for i := range g {
		if err := g[i].Check(); err != nil {
			return err
		}
		if err := c.fits(&g[i]); err != nil {
			return err
		}
	}
	for i := range g {
		if _, ok := c.groups[g[i].First]; !ok {
			c.add(g[i])
		}
	}
	return nil
}

func (c *Coordinator) fits(g *Group) error {
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

func (c *Coordinator) add(g Group) {
	x := &group{Group: g, seq: len(c.groups), at: -1}
	c.groups[g.First] = x
	for i := range g.Samples {
		n := g.First + Slot(i)
		s := &slot{group: x, next: c.c.FirstAttempt}
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

// Expect states the version that the trainer will train this step at, as far as
// its earlier steps tell.
func (c *Coordinator) Expect(v Version) { c.expected = max(c.expected, v) }

// Close tells that no more groups come.
func (c *Coordinator) Close() { c.counts.Closed = true }

// Counts returns the state of the step.
func (c *Coordinator) Counts() Counts { return c.counts }

// Done reports whether the step is closed and all its samples acknowledged.
func (c *Coordinator) Done() bool {
	return c.counts.Closed && c.counts.Acked == c.counts.Slots
}

// SetVersion tells that the trainer has published or trains at version v.
func (c *Coordinator) SetVersion(v Version) { c.version = max(c.version, v) }

// Ask assigns work to the servers that the host offers.
func (c *Coordinator) Ask(now time.Time, host string, o []Offer) []Work {
	var w []Work
	for i := range o {
		for range o[i].Room {
			x, ok := c.assign(now, host, &o[i])
			if !ok {
				break
			}
			o[i].Running++
			w = append(w, x)
		}
	}
	return w
}

func (c *Coordinator) assign(now time.Time, host string, o *Offer) (Work, bool) {
	n, ok := c.c.Policy.pick(c, now, o)
	if !ok {
		return Work{}, false
	}
	s := c.slots[n]
	if s.partial != nil && int64(c.version-s.partial.Oldest()) > c.bound {
		c.counts.Thrown += int64(s.partial.Tokens)
		s.partial = nil
	}
	w := Work{
		Stream:    Stream{Key: c.c.Key, Slot: n, Attempt: s.next},
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
	r := run{attempt: s.next, server: o.Server, host: host, started: now, seen: now, version: o.Version}
	if s.partial != nil {
		r.version = s.partial.Oldest()
	}
	s.partial = nil
	c.last[o.Server] = s.group
	c.start(n, r)
	return w, true
}

// start moves a slot to running, or adds a run to one that is.
func (c *Coordinator) start(n Slot, r run) {
	s := c.slots[n]
	r.slot = n
	s.next = max(s.next, r.attempt+1)
	s.runs = append(s.runs, r)
	c.load[r.server]++
	if s.state == slotPending {
		s.state = slotRunning
		c.running[n] = s
		c.counts.Pending--
		c.counts.Running++
		c.unqueue(n, s)
	}
}

// unqueue takes a slot out of the pending ones.
func (c *Coordinator) unqueue(n Slot, s *slot) {
	s.group.pending = remove(s.group.pending, n)
	c.urgent = remove(c.urgent, n)
	c.queue.fix(s.group)
}

// Holding tells what a host holds for the step, after this coordinator took it
// over: streams in progress and finished samples. A slot that is unknown yet is
// kept until its group is opened again.
func (c *Coordinator) Holding(now time.Time, host string, running []Work, done []*Sample) []Cancel {
	for i := range running {
		w := &running[i]
		s, ok := c.slots[w.Slot]
		if !ok || s.state > slotRunning || s.find(w.Attempt) >= 0 {
			continue
		}
		c.start(w.Slot, run{attempt: w.Attempt, server: w.Server, host: host, started: now, seen: now})
	}
	var x []Cancel
	for _, d := range done {
		x = append(x, c.Seal(now, d)...)
	}
	return x
}

// Adopt tells that host drives a stream on the server, in place of another if it
// was another's before. It returns false when the stream's result is no longer wanted.
func (c *Coordinator) Adopt(now time.Time, host, server string, t Stream) bool {
	s, ok := c.slots[t.Slot]
	if !ok || s.state > slotRunning {
		return false
	}
	if i := s.find(t.Attempt); i >= 0 {
		s.runs[i].host = host
		s.runs[i].seen = now
		return true
	}
	c.start(t.Slot, run{attempt: t.Attempt, server: server, host: host, started: now, seen: now})
	return true
}

// Progress tells how many tokens a stream has produced.
func (c *Coordinator) Progress(t Stream, tokens int) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	if i := s.find(t.Attempt); i >= 0 {
		s.runs[i].tokens = tokens
		c.noteLate(t.Slot, s)
	}
}

// Seal takes a finished sample. The first one of a slot is kept; it returns the
// other attempts of the slot, which are to be cancelled.
func (c *Coordinator) Seal(_ time.Time, d *Sample) []Cancel {
	s, ok := c.slots[d.Slot]
	if !ok || !d.Whole() {
		return nil
	}
	if s.state >= slotSealed {
		if s.kept != d.Attempt {
			c.counts.Thrown += int64(d.Tokens)
		}
		return nil
	}
	if int64(c.version-d.Oldest()) > c.bound {
		c.refuseStale(s, d)
		return nil
	}
	var x []Cancel
	for _, r := range s.runs {
		c.unloadRun(&r)
		if r.attempt != d.Attempt {
			c.counts.Thrown += int64(r.tokens)
			x = append(x, Cancel{Stream: Stream{c.c.Key, d.Slot, r.attempt}, Host: r.host, Server: r.server})
		}
	}
	s.runs = nil
	if s.state == slotPending {
		c.counts.Pending--
		c.unqueue(d.Slot, s)
	} else {
		c.counts.Running--
		delete(c.running, d.Slot)
	}
	delete(c.late, d.Slot)
	s.partial = nil
	s.state = slotSealed
	s.sample, s.kept = d, d.Attempt
	s.next = max(s.next, d.Attempt+1)
	s.group.done++
	s.group.lengths += d.Tokens
	c.queue.fix(s.group)
	c.counts.Sealed++
	c.counts.Tokens += int64(d.Tokens)
	c.sealed = append(c.sealed, d.Slot)
	return x
}

// refuseStale throws a finished sample away that is over its bound already.
func (c *Coordinator) refuseStale(s *slot, d *Sample) {
	c.counts.Dropped++
	c.counts.Thrown += int64(d.Tokens)
	s.next = max(s.next, d.Attempt+1)
	if i := s.find(d.Attempt); i >= 0 {
		c.drop(d.Slot, s, i)
	}
}

// Failed tells that a stream ended without a sample; its slot is generated again,
// from the partial sample on when there is one.
func (c *Coordinator) Failed(t Stream, tokens int, partial *Sample) {
	s, ok := c.slots[t.Slot]
	if !ok {
		return
	}
	i := s.find(t.Attempt)
	if i < 0 {
		return
	}
	if s.runs[i].moving.IsZero() {
		c.counts.Lost++
	}
	c.drop(t.Slot, s, i)
	if s.state == slotPending && partial != nil && partial.Whole() && partial.Tokens < s.group.MaxTokens {
		s.partial = partial
		return
	}
	c.counts.Thrown += int64(tokens)
}

// Tick gives up streams that no owner has spoken of for the grace time. It
// returns their number. Time during which this coordinator itself stood still
// does not count.
func (c *Coordinator) Tick(now time.Time) int {
	if d := now.Sub(c.ticked); !c.ticked.IsZero() && d > c.c.Grace/2 {
		c.resumed = now
	}
	c.ticked = now
	n := 0
	for _, k := range slices.Sorted(maps.Keys(c.running)) {
		s := c.running[k]
		for i := len(s.runs) - 1; i >= 0; i-- {
			if since := later(s.runs[i].seen, c.resumed); now.Sub(since) < c.c.Grace {
				continue
			}
			c.counts.Lost++
			c.counts.Thrown += int64(s.runs[i].tokens)
			c.drop(k, s, i)
			n++
		}
	}
	return n
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (c *Coordinator) drop(n Slot, s *slot, i int) {
	c.unloadRun(&s.runs[i])
	s.runs = slices.Delete(s.runs, i, i+1)
	if s.state == slotRunning && len(s.runs) == 0 {
		c.counts.Running--
		delete(c.running, n)
		c.requeue(n, s)
	}
}

// requeue makes a slot pending again, in front of the others of its group.
func (c *Coordinator) requeue(n Slot, s *slot) {
	s.state = slotPending
	s.sample = nil
	c.counts.Pending++
	delete(c.late, n)
	if s.express {
		c.urgent = append(c.urgent, n)
		return
	}
	i, _ := slices.BinarySearch(s.group.pending, n)
	s.group.pending = slices.Insert(s.group.pending, i, n)
	c.queue.fix(s.group)
}

func (s *slot) find(attempt int) int {
	return slices.IndexFunc(s.runs, func(r run) bool { return r.attempt == attempt })
}

// unloadRun counts a stream less on its server, unless it was asked to move and
// is not counted any longer.
func (c *Coordinator) unloadRun(r *run) {
	if r.moving.IsZero() {
		c.unload(r.server)
	} else if r.express {
		c.leaving--
	}
}

// unload counts one stream less on a server.
func (c *Coordinator) unload(server string) {
	if c.load[server]--; c.load[server] <= 0 {
		delete(c.load, server)
	}
}

func remove(l []Slot, n Slot) []Slot {
	if i := slices.Index(l, n); i >= 0 {
		return slices.Delete(l, i, i+1)
	}
	return l
}

// Key returns the step's name.
func (c *Coordinator) Key() StepKey { return c.c.Key }

// Seq returns the number of the batch that was acknowledged last, or of the
// outstanding one.
func (c *Coordinator) Seq() int64 { return c.seq }

// Opened reports whether the slot belongs to a group of the step.
func (c *Coordinator) Opened(n Slot) bool { return c.slots[n] != nil }

// Keeps reports whether the slot has a sample that is not acknowledged, so that
// its owner has to hold it.
func (c *Coordinator) Keeps(n Slot) bool {
	s := c.slots[n]
	return s != nil && (s.state == slotSealed || s.state == slotOffered)
}

// Acked reports whether the trainer has acknowledged the slot.
func (c *Coordinator) Acked(n Slot) bool {
	s := c.slots[n]
	return s != nil && s.state == slotAcked
}

// Waits says in words why the step is not whole.
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
