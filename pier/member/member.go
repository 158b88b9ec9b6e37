// Package member maintains the list of live entry hosts by gossip.
//
// Table is a pure state machine: it takes received heartbeats and the current time,
// and returns heartbeats to send and membership changes. Each host sends heartbeats
// to the members at the ring distances 1, 2, 4 and so on, so both the number of
// heartbeats per host and the number of hops to reach all hosts grow with the
// logarithm of the number of hosts. Joins, leaves, suspicions and incarnations
// travel as deltas on the heartbeats. The platform's host list is used only to
// discover hosts to contact.
package member

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mulberrypier.example/pier/ring"
)

// State is the state of a member as one host knows it.
type State uint8

// The states of a member. At the same incarnation, a later state overrides an
// earlier one.
const (
	// Alive members respond and accept new work.
	Alive State = iota
	// Suspect members did not respond, but still count as members.
	Suspect
	// Leaving members respond, but accept no new work.
	Leaving
	// Dead members did not respond within the suspicion time.
	Dead
	// Left members have shut down gracefully.
	Left
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Member is one entry host.
type Member struct {
	// ID is unique for each process start on a host.
	ID string `msgpack:"i" json:"id"`
	// Address is where the host listens for its peers.
	Address netip.AddrPort `msgpack:"a" json:"address"`
	// Region and Domain are the region and the failure domain of the host.
	Region string `msgpack:"r" json:"region"`
	Domain string `msgpack:"d" json:"failure-domain"`
	// Incarnation never decreases, and only the member itself increases it.
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	State       State  `msgpack:"s" json:"-"`
}

// newer reports whether the information in a overrides that in b.
func (a *Member) newer(b *Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// Heartbeat is the message that members exchange. The answer to a heartbeat is
// another one with Answer set.
type Heartbeat struct {
	From   string `msgpack:"f"`
	Answer bool   `msgpack:"a"`
	// Deltas are membership updates that the receiver may not have yet.
	Deltas []Member `msgpack:"d"`
	// Offset is the sender's next offset in the release stream.
	Offset int64 `msgpack:"o"`
	// Checksum covers the members that the sender does not know as dead or left, with
	// their states and incarnations. A difference reveals missed updates.
	Checksum uint64 `msgpack:"s"`
	// Full requests the full member list from the receiver.
	Full bool `msgpack:"l"`
}

// Config configures a Table.
type Config struct {
	// Self is this host. Its incarnation must be higher than that of the previous
	// process on this host.
	Self Member
	// Interval is the time between heartbeats to one neighbour.
	Interval time.Duration
	// Timeout is how long to wait for the answer to a heartbeat before the member
	// is probed over a new connection.
	Timeout time.Duration
	// ProbeTimeout is how long to wait for the answer to that probe.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspect member has to refute the suspicion before it
	// counts as dead.
	Suspicion time.Duration
	// DeadRetention is how long dead members, and those that have left, are
	// remembered; dead ones are retried during that time.
	DeadRetention time.Duration
	// Seed seeds the random choice of the dead members to retry, so that
	// simulations are reproducible.
	Seed uint64
}

// WithDefaults returns a copy of c in which zero durations are replaced by default
// values.
func (c Config) WithDefaults() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Interval, 500*time.Millisecond)
	set(&c.Timeout, 400*time.Millisecond)
	set(&c.ProbeTimeout, 300*time.Millisecond)
	set(&c.Suspicion, 500*time.Millisecond)
	set(&c.DeadRetention, 30*time.Minute)
	return c
}

// Send asks the caller to send a heartbeat.
type Send struct {
	To Member
	Heartbeat
	// NewConnection requests a new connection, since an existing one may be unresponsive.
	NewConnection bool
}

// Change reports that the state of a member changed.
type Change struct {
	Member
	Previous State
	// New reports that the member was not known before.
	New bool
}

// Output holds what the caller has to do after a call to the table: send heartbeats
// and handle changes of members.
type Output struct {
	Sends   []Send
	Changes []Change
}

// phase is the progress of the heartbeat to one neighbour.
type phase uint8

const (
	// phaseIdle means that no heartbeat awaits an answer.
	phaseIdle phase = iota
	// phaseWaiting means that a heartbeat awaits its answer.
	phaseWaiting
	// phaseProbing means that a probe over a new connection awaits its answer.
	phaseProbing
)

// entry is a member together with this host's local state for it.
type entry struct {
	Member
	// since is when the member entered its state.
	since time.Time
	phase phase
	// sentAt is when the outstanding heartbeat or probe was sent.
	sentAt time.Time
	// nextHeartbeat is when the next heartbeat is due, if the member is a
	// neighbour.
	nextHeartbeat time.Time
	// pos is the member's position on the ring.
	pos uint64
	// lastFullSync is when the full list was last sent to the member because
	// checksums differed.
	lastFullSync time.Time
}

// gossip is a membership update that is still being sent to neighbours.
type gossip struct {
	id string
	// sent holds the ids of the neighbours that have the update.
	sent map[string]struct{}
	// queuedAt is when the update was queued.
	queuedAt time.Time
}

// Table is the member list as seen by one host. Not safe for concurrent use.
type Table struct {
	c    Config
	self Member
	// m holds all known members except this host, by id.
	m map[string]*entry
	// ring lists the ids of all members that are not dead or left, this host
	// included, in ring order.
	ring []string
	// neighbours lists the ids of the members that get this host's heartbeats.
	neighbours []string
	// gossip holds the updates that are still being sent to neighbours.
	gossip []*gossip
	// checksum is sent as Heartbeat.Checksum.
	checksum uint64
	// offset is this host's next offset in the release stream.
	offset int64
	// rng chooses the dead members to retry.
	rng *rand.Rand
	// lastChange is when the list last changed.
	lastChange time.Time
	// disputed holds the ids of dead members that another host reports as live.
	disputed map[string]bool
	// nextDeadRetry is when the next dead member is retried.
	nextDeadRetry time.Time
	// candidates is the result of Candidates, sorted by id.
	candidates []ring.Candidate
}

const (
	// gossipTTL is how long an update is sent to neighbours that do not have it.
	gossipTTL = 10 * time.Second
	// maxDeltas is the maximum number of deltas in one heartbeat, full member lists
	// excepted.
	maxDeltas = 64
	// deadRetryInterval is the time between retries of a randomly chosen dead
	// member.
	deadRetryInterval = 2 * time.Second
	// maxDisputedProbes is the maximum number of disputed members that are probed
	// in one tick.
	maxDisputedProbes = 4
	// fullSyncInterval is how long the list must be unchanged before a differing
	// checksum is answered with the full list, and the minimum time between two
	// such answers to one member.
	fullSyncInterval = 3 * time.Second
)

// New returns a Table that contains only this host.
func New(c Config) *Table {
	c = c.WithDefaults()
	t := &Table{
		c:        c,
		self:     c.Self,
		m:        make(map[string]*entry),
		disputed: make(map[string]bool),
		rng:      rand.New(rand.NewPCG(c.Seed, ring.Score(c.Self.ID, "member"))),
	}
	t.rebuild(time.Time{})
	return t
}

// Self returns this host as it announces itself to the others.
func (t *Table) Self() Member { return t.self }

// SetOffset sets this host's next offset in the release stream.
func (t *Table) SetOffset(o int64) { t.offset = o }

// Members returns all known members, this host and dead ones included, sorted by
// id.
func (t *Table) Members() []Member {
	l := []Member{t.self}
	for _, e := range t.m {
		l = append(l, e.Member)
	}
	slices.SortFunc(l, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return l
}

// Get returns the member with the given id.
func (t *Table) Get(id string) (Member, bool) {
	if id == t.self.ID {
		return t.self, true
	}
	e, ok := t.m[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Candidates returns the members that may hold a role, sorted by id: those that are
// alive or suspect. The slice is shared and must not be modified.
func (t *Table) Candidates() []ring.Candidate { return t.candidates }

// Neighbours returns the ids of the members that get this host's heartbeats. The
// slice is shared and must not be modified.
func (t *Table) Neighbours() []string { return t.neighbours }

// Discover handles a host at address a that the platform's host list names. If no live
// member has that address, the host there is asked for its member list.
func (t *Table) Discover(a netip.AddrPort) Output {
	var o Output
	if a == t.self.Address {
		return o
	}
	for _, e := range t.m {
		if e.Address == a && e.State < Dead {
			return o
		}
	}
	h := t.heartbeat(nil)
	h.Full = true
	h.Deltas = []Member{t.self}
	o.Sends = append(o.Sends, Send{To: Member{Address: a}, Heartbeat: h, NewConnection: true})
	return o
}

// Leave announces that this host accepts no new work (Leaving) or shuts down
// (Left).
func (t *Table) Leave(now time.Time, s State) Output {
	t.self.Incarnation++
	t.self.State = s
	t.queueGossip(t.self.ID, "", now)
	t.rebuild(now)
	return t.flush(now)
}

// Receive handles a received heartbeat or answer. The updates in it are forwarded
// at the next tick, so that the number of messages does not grow with the number of
// updates.
func (t *Table) Receive(now time.Time, h *Heartbeat) Output {
	var o Output
	for i := range h.Deltas {
		t.merge(now, &h.Deltas[i], h.From, &o)
	}
	e, ok := t.m[h.From]
	if ok {
		t.markResponsive(e)
	}
	if len(o.Changes) > 0 {
		t.rebuild(now)
	}
	if !h.Answer && ok {
		a := t.heartbeat(e)
		a.Answer = true
		if h.Full || h.Checksum != t.checksum && t.startFullSync(now, e) {
			// Dead members are included, since the other host may have missed a
			// death.
			a.Deltas = t.Members()
		}
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: a})
	}
	return o
}

// startFullSync reports whether the full list should be sent to a member whose
// checksum differs, and records that it is. To give updates time to arrive, and to
// avoid sending the list with every heartbeat, it returns false within
// fullSyncInterval after the last change and after the last full sync with e.
func (t *Table) startFullSync(now time.Time, e *entry) bool {
	if now.Sub(t.lastChange) < fullSyncInterval || now.Sub(e.lastFullSync) < fullSyncInterval {
		return false
	}
	e.lastFullSync = now
	return true
}

// markResponsive records that e itself sent a message. The state of a suspect or
// dead member stays: the next heartbeat to it carries that state, which it refutes
// with a higher incarnation.
func (t *Table) markResponsive(e *entry) {
	e.phase = phaseIdle
}

// Tick sends the heartbeats that are due and handles timeouts.
func (t *Table) Tick(now time.Time) Output {
	var o Output
	for _, id := range t.neighbours {
		t.checkNeighbour(now, t.m[id], &o)
	}
	t.expire(now, &o)
	if len(o.Changes) > 0 {
		t.rebuild(now)
	}
	t.retryDead(now, &o)
	o.Sends = append(o.Sends, t.flush(now).Sends...)
	return o
}

// Next returns the latest time at which Tick should be called again.
func (t *Table) Next(now time.Time) time.Time { return now.Add(t.c.Interval / 5) }

// checkNeighbour advances the heartbeat exchange with one neighbour: it sends a
// heartbeat when one is due, probes over a new connection if no answer arrives in
// time, and marks the member as unresponsive if the probe is not answered either.
func (t *Table) checkNeighbour(now time.Time, e *entry, o *Output) {
	switch {
	case e.phase == phaseWaiting && now.Sub(e.sentAt) >= t.c.Timeout:
		e.phase = phaseProbing
		e.sentAt = now
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e), NewConnection: true})
	case e.phase == phaseProbing && now.Sub(e.sentAt) >= t.c.ProbeTimeout:
		e.phase = phaseIdle
		e.nextHeartbeat = now.Add(t.c.Interval)
		if e.State == Alive || e.State == Leaving {
			t.markUnresponsive(now, e, o)
		}
	case e.phase == phaseIdle && !now.Before(e.nextHeartbeat):
		e.phase = phaseWaiting
		e.sentAt = now
		e.nextHeartbeat = now.Add(t.c.Interval)
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e)})
	}
}

// ConnectionRefused handles the refusal of a new connection to a member. As no process
// listens there, an alive member becomes suspect for half of the suspicion time, and a
// leaving one is dead at once.
func (t *Table) ConnectionRefused(now time.Time, id string) Output {
	var o Output
	e, ok := t.m[id]
	if !ok || e.State >= Dead || e.State == Suspect {
		return o
	}
	t.markUnresponsive(now, e, &o)
	if e.State == Suspect {
		e.since = now.Add(-t.c.Suspicion / 2)
	}
	t.rebuild(now)
	o.Sends = t.flush(now).Sends
	return o
}

// markUnresponsive marks a live member as suspect, and a leaving one as dead at
// once.
func (t *Table) markUnresponsive(now time.Time, e *entry, o *Output) {
	if e.State == Leaving {
		t.setState(now, e, Member{}, Dead, o)
		return
	}
	t.setState(now, e, Member{}, Suspect, o)
}

// expire marks suspect members as dead when their suspicion time is over, and
// forgets members that have been dead or left for DeadRetention.
func (t *Table) expire(now time.Time, o *Output) {
	for id, e := range t.m {
		d := now.Sub(e.since)
		switch {
		case e.State == Suspect && d >= t.c.Suspicion:
			t.setState(now, e, Member{}, Dead, o)
		case e.State >= Dead && d >= t.c.DeadRetention:
			delete(t.m, id)
		}
	}
	slices.SortFunc(o.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
}

// retryDead probes disputed members and, from time to time, a randomly chosen dead
// one, so that regions find each other again after a network partition.
func (t *Table) retryDead(now time.Time, o *Output) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(t.disputed)) {
		if n++; n > maxDisputedProbes {
			break
		}
		delete(t.disputed, id)
		if e := t.m[id]; e != nil && e.State == Dead {
			o.Sends = append(o.Sends, t.deadProbe(e))
		}
	}
	if now.Before(t.nextDeadRetry) {
		return
	}
	t.nextDeadRetry = now.Add(deadRetryInterval)
	var l []string
	for id, e := range t.m {
		if e.State == Dead {
			l = append(l, id)
		}
	}
	if len(l) == 0 {
		return
	}
	slices.Sort(l)
	s := t.deadProbe(t.m[l[t.rng.IntN(len(l))]])
	s.Full = true
	o.Sends = append(o.Sends, s)
}

// deadProbe returns a heartbeat that carries the recorded state of a dead member,
// so that the member refutes it if it is alive.
func (t *Table) deadProbe(e *entry) Send {
	h := Heartbeat{From: t.self.ID, Offset: t.offset, Checksum: t.checksum, Deltas: []Member{e.Member, t.self}}
	return Send{To: e.Member, Heartbeat: h, NewConnection: true}
}

// merge applies one delta to the list. Unknown members that are dead or left are
// ignored unless they announce that state themselves.
func (t *Table) merge(now time.Time, d *Member, from string, o *Output) {
	if d.ID == t.self.ID {
		t.refute(now, d)
		return
	}
	e, ok := t.m[d.ID]
	if !ok {
		if d.State >= Dead && from != d.ID {
			return
		}
		e = &entry{Member: *d, since: now, pos: ring.Score(d.ID, "")}
		t.m[d.ID] = e
		t.queueGossip(d.ID, from, now)
		o.Changes = append(o.Changes, Change{Member: *d, Previous: Dead, New: true})
		t.supersede(now, d, o)
		return
	}
	if !d.newer(&e.Member) {
		if e.State == Dead && d.State < Dead && d.Incarnation == e.Incarnation {
			t.disputed[d.ID] = true
		}
		return
	}
	t.setState(now, e, *d, d.State, o)
	t.markSent(d.ID, from)
}

// supersede marks previous incarnations at the address of a new member as dead,
// since two processes cannot listen on the same address.
func (t *Table) supersede(now time.Time, d *Member, o *Output) {
	for _, e := range t.m {
		if e.Address == d.Address && e.ID != d.ID && e.State < Dead && e.Incarnation < d.Incarnation {
			t.setState(now, e, Member{}, Dead, o)
		}
	}
}

// refute raises this host's incarnation above that of a delta which reports a worse
// state than its own.
func (t *Table) refute(now time.Time, d *Member) {
	if d.Incarnation < t.self.Incarnation || d.Incarnation == t.self.Incarnation && d.State <= t.self.State {
		return
	}
	t.self.Incarnation = d.Incarnation + 1
	t.queueGossip(t.self.ID, "", now)
}

// setState changes the state of a member to s and queues the update. It replaces the
// member's data with d unless d is empty.
func (t *Table) setState(now time.Time, e *entry, d Member, s State, o *Output) {
	w := e.State
	if d.ID != "" {
		e.Member = d
	}
	e.State = s
	e.since = now
	t.queueGossip(e.ID, "", now)
	if w != s {
		o.Changes = append(o.Changes, Change{Member: e.Member, Previous: w})
	}
}

// queueGossip queues the state of the member id for all neighbours except from, and
// replaces an update that is still queued for it.
func (t *Table) queueGossip(id, from string, now time.Time) {
	t.gossip = slices.DeleteFunc(t.gossip, func(n *gossip) bool { return n.id == id })
	n := &gossip{id: id, sent: make(map[string]struct{}), queuedAt: now}
	if from != "" {
		n.sent[from] = struct{}{}
	}
	t.gossip = append(t.gossip, n)
}

// markSent records that the neighbour by has the update of the member id.
func (t *Table) markSent(id, by string) {
	for _, n := range t.gossip {
		if n.id == id && by != "" {
			n.sent[by] = struct{}{}
		}
	}
}

// flush drops expired updates and sends the others to the neighbours that do not
// have them.
func (t *Table) flush(now time.Time) Output {
	var o Output
	t.gossip = slices.DeleteFunc(t.gossip, func(n *gossip) bool { return now.Sub(n.queuedAt) > gossipTTL })
	for _, id := range t.neighbours {
		e := t.m[id]
		if !t.hasGossip(id) {
			continue
		}
		h := t.heartbeat(e)
		if e.phase == phaseIdle {
			e.phase = phaseWaiting
			e.sentAt = now
			e.nextHeartbeat = now.Add(t.c.Interval)
		}
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: h})
	}
	return o
}

// hasGossip reports whether there are updates that the neighbour id does not have.
func (t *Table) hasGossip(id string) bool {
	return slices.ContainsFunc(t.gossip, func(n *gossip) bool {
		_, ok := n.sent[id]
		return !ok
	})
}

// heartbeat returns a heartbeat to e with the updates that e does not have, and
// records them as sent. For a nil e, it carries no updates.
func (t *Table) heartbeat(e *entry) Heartbeat {
	h := Heartbeat{From: t.self.ID, Offset: t.offset, Checksum: t.checksum}
	if e == nil {
		return h
	}
	if e.State == Suspect || e.State == Dead {
		h.Deltas = append(h.Deltas, e.Member)
	}
	for _, n := range t.gossip {
		if _, ok := n.sent[e.ID]; ok || len(h.Deltas) >= maxDeltas {
			continue
		}
		n.sent[e.ID] = struct{}{}
		if m, ok := t.Get(n.id); ok {
			h.Deltas = append(h.Deltas, m)
		}
	}
	return h
}

// node is a member's position on the ring.
type node struct {
	pos uint64
	id  string
}

// rebuild recomputes the ring, the neighbours, the candidates and the checksum.
func (t *Table) rebuild(now time.Time) {
	t.lastChange = now
	l := make([]node, 0, len(t.m)+1)
	t.candidates = make([]ring.Candidate, 0, len(t.m)+1)
	t.checksum = 0
	add := func(m *Member, pos uint64) {
		if m.State >= Dead {
			return
		}
		l = append(l, node{pos, m.ID})
		t.checksum += pos*uint64(m.State+1) + m.Incarnation
		if m.State <= Suspect {
			t.candidates = append(t.candidates, ring.Candidate{ID: m.ID, Region: m.Region})
		}
	}
	add(&t.self, ring.Score(t.self.ID, ""))
	for _, e := range t.m {
		add(&e.Member, e.pos)
	}
	slices.SortFunc(l, func(a, b node) int { return cmp.Or(cmp.Compare(a.pos, b.pos), cmp.Compare(a.id, b.id)) })
	slices.SortFunc(t.candidates, func(a, b ring.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	t.ring = t.ring[:0]
	for _, p := range l {
		t.ring = append(t.ring, p.id)
	}
	t.updateNeighbours(now)
}

// updateNeighbours selects the members at the ring distances 1, 2, 4 and so on. New
// neighbours get a heartbeat at once.
func (t *Table) updateNeighbours(now time.Time) {
	t.neighbours = nil
	i := slices.Index(t.ring, t.self.ID)
	n := len(t.ring)
	for d := 1; i >= 0 && d < n; d *= 2 {
		id := t.ring[(i+d)%n]
		t.neighbours = append(t.neighbours, id)
		e := t.m[id]
		if e.nextHeartbeat.IsZero() {
			e.nextHeartbeat = now
		}
	}
}
