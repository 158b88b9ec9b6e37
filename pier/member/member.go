// Package member keeps the list of the system's live entry hosts.
//
// Table is a pure core: heartbeats and times in, heartbeats and events out. Each
// host sends heartbeats to the members at the ring distances 1, 2, 4 and so on,
// so their number grows with the logarithm of the hosts and news crosses the
// ring in as many hops. Joins, leaves, suspicions and incarnations travel as
// deltas on the heartbeats. The platform's host list is a hint of whom to ask.
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

// State is what is known of a member.
type State uint8

// The states of a member, in the order in which one overrides another at the
// same incarnation.
const (
	// Alive members answer and take new work.
	Alive State = iota
	// Suspect members did not answer; they still count as members.
	Suspect
	// Leaving members answer and take no new work.
	Leaving
	// Dead members did not answer for the suspicion time.
	Dead
	// Left members have ended their process on purpose.
	Left
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead", "left"}[s]
}

// Member is one entry host.
type Member struct {
	// ID is unique for each start of a process on a host.
	ID string `msgpack:"i" json:"id"`
	// Address is where the host listens for its peers.
	Address netip.AddrPort `msgpack:"a" json:"address"`
	Region  string         `msgpack:"r" json:"region"`
	Domain  string         `msgpack:"d" json:"failure-domain"`
	// Incarnation only grows, and only the member itself raises it.
	Incarnation uint64 `msgpack:"n" json:"incarnation"`
	State       State  `msgpack:"s" json:"-"`
}

// newer reports whether a overrides b.
func (a *Member) newer(b *Member) bool {
	return a.Incarnation > b.Incarnation || a.Incarnation == b.Incarnation && a.State > b.State
}

// Heartbeat is what two members exchange. The answer to one is another with
// Answer set.
type Heartbeat struct {
	From   string `msgpack:"f"`
	Answer bool   `msgpack:"a"`
	// Deltas are the news that the receiver may not know.
	Deltas []Member `msgpack:"d"`
	// Offset is the sender's next offset of the release stream.
	Offset int64 `msgpack:"o"`
	// Sum is the sender's hash of its live members, to find missed news.
	Sum uint64 `msgpack:"s"`
	// Full asks for, or carries, the whole list.
	Full bool `msgpack:"l"`
}

// Config constructs a Table.
type Config struct {
	// Self is this host; its incarnation must be higher than in its last life.
	Self Member
	// Interval is the time between heartbeats to one neighbour.
	Interval time.Duration
	// Timeout is how long an answer may take before the member is probed.
	Timeout time.Duration
	// ProbeTimeout is how long the probe on a new connection may take.
	ProbeTimeout time.Duration
	// Suspicion is how long a suspect has to refute before it counts as dead.
	Suspicion time.Duration
	// DeadKept is how long a dead member is remembered and tried again.
	DeadKept time.Duration
	// Seed makes the choice of dead members to try again repeatable.
	Seed uint64
}

// Default fills the zero times of c with the values for today's hosts.
func (c Config) Default() Config {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&c.Interval, 500*time.Millisecond)
	set(&c.Timeout, 400*time.Millisecond)
	set(&c.ProbeTimeout, 300*time.Millisecond)
	set(&c.Suspicion, 500*time.Millisecond)
	set(&c.DeadKept, 30*time.Minute)
	return c
}

// Send asks the shell to send a heartbeat.
type Send struct {
	To Member
	Heartbeat
	// Fresh asks for a new connection, to a member whose old one may be silent.
	Fresh bool
}

// Change tells that a member's state changed.
type Change struct {
	Member
	Was State
	// New tells that the member was not known before.
	New bool
}

// Output is what a step of the table asks of the shell.
type Output struct {
	Sends   []Send
	Changes []Change
}

type phase uint8

const (
	phaseIdle phase = iota
	phaseWaiting
	phaseProbing
)

// entry is a member with what this host tracks of it.
type entry struct {
	Member
	// since is when the state was taken.
	since time.Time
	phase phase
	// asked is when the heartbeat or probe that waits was sent.
	asked time.Time
	// due is when the next heartbeat is sent, for neighbours.
	due time.Time
	// at is the place on the ring.
	at uint64
	// repaired is when the member was sent the whole list last.
	repaired time.Time
}

// news is a delta that is still sent on.
type news struct {
	id string
	// sent holds the neighbours that have it.
	sent map[string]struct{}
	// at is when the news was queued.
	at time.Time
}

// Table is the list of members as one host knows it. Not safe for concurrent use.
type Table struct {
	c    Config
	self Member
	m    map[string]*entry
	// ring lists the ids that count as members, in ring order.
	ring []string
	near []string
	news []*news
	sum  uint64
	// offset is this host's next offset of the release stream.
	offset int64
	rng    *rand.Rand
	// changed is when the list changed last.
	changed time.Time
	// doubts holds dead members that another host holds for live.
	doubts map[string]bool
	// retry is when a dead member is tried again.
	retry time.Time
	cache []ring.Candidate
}

const (
	// newsKept bounds how long a delta is offered to new neighbours.
	newsKept = 10 * time.Second
	// deltasMax is the greatest number of deltas on one heartbeat.
	deltasMax = 64
	// deadRetry is the time between tries of a random dead member.
	deadRetry = 2 * time.Second
	// doubtsMost is how many doubted deaths are looked into at one tick.
	doubtsMost = 4
	// repairAfter is how long two lists may differ before one is sent whole.
	repairAfter = 3 * time.Second
)

// New returns a table that knows only its own host.
func New(c Config) *Table {
	c = c.Default()
	t := &Table{
		c:      c,
		self:   c.Self,
		m:      make(map[string]*entry),
		doubts: make(map[string]bool),
		rng:    rand.New(rand.NewPCG(c.Seed, ring.Score(c.Self.ID, "member"))),
	}
	t.rebuild(time.Time{})
	return t
}

// Self returns this host as the others know it.
func (t *Table) Self() Member { return t.self }

// SetOffset states this host's next offset of the release stream.
func (t *Table) SetOffset(o int64) { t.offset = o }

// Members returns all members known, this host among them, in the order of ids.
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

// Candidates returns the members that may hold a role: alive or suspect ones.
// The slice is shared and must not be changed.
func (t *Table) Candidates() []ring.Candidate { return t.cache }

// Neighbours returns the ids of the members that get this host's heartbeats.
func (t *Table) Neighbours() []string { return t.near }

// Hint tells that the platform's list names a host at an address. A host that is
// not known is asked for its list.
func (t *Table) Hint(a netip.AddrPort) Output {
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
	o.Sends = append(o.Sends, Send{To: Member{Address: a}, Heartbeat: h, Fresh: true})
	return o
}

// Leave tells the others that this host takes no new work, or that it ends.
func (t *Table) Leave(now time.Time, s State) Output {
	t.self.Incarnation++
	t.self.State = s
	t.spread(t.self.ID, "", now)
	t.rebuild(now)
	return t.flush(now)
}

// Receive takes a heartbeat or its answer. What it brings is sent on at the next
// tick, so that the number of messages does not grow with the number of news.
func (t *Table) Receive(now time.Time, h *Heartbeat) Output {
	var o Output
	for i := range h.Deltas {
		t.merge(now, &h.Deltas[i], h.From, &o)
	}
	e, ok := t.m[h.From]
	if ok {
		t.heard(e)
	}
	if len(o.Changes) > 0 {
		t.rebuild(now)
	}
	if !h.Answer && ok {
		a := t.heartbeat(e)
		a.Answer = true
		if h.Full || h.Sum != t.sum && t.mayRepair(now, e) {
			// The dead are in it too: the other host may have missed a death.
			a.Deltas = t.Members()
		}
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: a})
	}
	return o
}

// mayRepair reports whether a neighbour with another list is to get the whole
// one: only when news have had the time to arrive, and not at every heartbeat.
func (t *Table) mayRepair(now time.Time, e *entry) bool {
	if now.Sub(t.changed) < repairAfter || now.Sub(e.repaired) < repairAfter {
		return false
	}
	e.repaired = now
	return true
}

// heard notes that a member itself was heard. A suspect or dead one is told so by
// the next heartbeat to it and refutes it with a higher incarnation.
func (t *Table) heard(e *entry) {
	e.phase = phaseIdle
}

// Tick sends the heartbeats that are due and judges those without an answer.
func (t *Table) Tick(now time.Time) Output {
	var o Output
	for _, id := range t.near {
		t.watch(now, t.m[id], &o)
	}
	t.expire(now, &o)
	if len(o.Changes) > 0 {
		t.rebuild(now)
	}
	t.tryDead(now, &o)
	o.Sends = append(o.Sends, t.flush(now).Sends...)
	return o
}

// Next returns when Tick has something to do at the latest.
func (t *Table) Next(now time.Time) time.Time { return now.Add(t.c.Interval / 5) }

// watch drives the heartbeats to one neighbour.
func (t *Table) watch(now time.Time, e *entry, o *Output) {
	switch {
	case e.phase == phaseWaiting && now.Sub(e.asked) >= t.c.Timeout:
		e.phase = phaseProbing
		e.asked = now
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e), Fresh: true})
	case e.phase == phaseProbing && now.Sub(e.asked) >= t.c.ProbeTimeout:
		e.phase = phaseIdle
		e.due = now.Add(t.c.Interval)
		if e.State == Alive || e.State == Leaving {
			t.suspect(now, e, o)
		}
	case e.phase == phaseIdle && !now.Before(e.due):
		e.phase = phaseWaiting
		e.asked = now
		e.due = now.Add(t.c.Interval)
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: t.heartbeat(e)})
	}
}

// Refused tells that a new connection to the member was refused: no process
// listens there.
func (t *Table) Refused(now time.Time, id string) Output {
	var o Output
	e, ok := t.m[id]
	if !ok || e.State >= Dead || e.State == Suspect {
		return o
	}
	t.suspect(now, e, &o)
	if e.State == Suspect {
		e.since = now.Add(-t.c.Suspicion / 2)
	}
	t.rebuild(now)
	o.Sends = t.flush(now).Sends
	return o
}

func (t *Table) suspect(now time.Time, e *entry, o *Output) {
	if e.State == Leaving {
		t.set(now, e, Member{}, Dead, o)
		return
	}
	t.set(now, e, Member{}, Suspect, o)
}

// expire turns old suspects into dead members and forgets old dead ones.
func (t *Table) expire(now time.Time, o *Output) {
	for id, e := range t.m {
		d := now.Sub(e.since)
		switch {
		case e.State == Suspect && d >= t.c.Suspicion:
			t.set(now, e, Member{}, Dead, o)
		case e.State >= Dead && d >= t.c.DeadKept:
			delete(t.m, id)
		}
	}
	slices.SortFunc(o.Changes, func(a, b Change) int { return cmp.Compare(a.ID, b.ID) })
}

// tryDead asks a random dead member now and then, so that parted regions find
// each other again.
func (t *Table) tryDead(now time.Time, o *Output) {
	n := 0
	for _, id := range slices.Sorted(maps.Keys(t.doubts)) {
		if n++; n > doubtsMost {
			break
		}
		delete(t.doubts, id)
		if e := t.m[id]; e != nil && e.State == Dead {
			o.Sends = append(o.Sends, t.tellDead(e))
		}
	}
	if now.Before(t.retry) {
		return
	}
	t.retry = now.Add(deadRetry)
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
	s := t.tellDead(t.m[l[t.rng.IntN(len(l))]])
	s.Full = true
	o.Sends = append(o.Sends, s)
}

// tellDead returns a heartbeat that tells a dead member what is thought of it, so
// that it refutes if it lives.
func (t *Table) tellDead(e *entry) Send {
	h := Heartbeat{From: t.self.ID, Offset: t.offset, Sum: t.sum, Deltas: []Member{e.Member, t.self}}
	return Send{To: e.Member, Heartbeat: h, Fresh: true}
}

// merge takes one delta.
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
		e = &entry{Member: *d, since: now, at: ring.Score(d.ID, "")}
		t.m[d.ID] = e
		t.spread(d.ID, from, now)
		o.Changes = append(o.Changes, Change{Member: *d, Was: Dead, New: true})
		t.replace(now, d, o)
		return
	}
	if !d.newer(&e.Member) {
		if e.State == Dead && d.State < Dead && d.Incarnation == e.Incarnation {
			t.doubts[d.ID] = true
		}
		return
	}
	t.set(now, e, *d, d.State, o)
	t.mark(d.ID, from)
}

// replace takes an older process at a new member's address for dead, as two
// processes cannot listen there.
func (t *Table) replace(now time.Time, d *Member, o *Output) {
	for _, e := range t.m {
		if e.Address == d.Address && e.ID != d.ID && e.State < Dead && e.Incarnation < d.Incarnation {
			t.set(now, e, Member{}, Dead, o)
		}
	}
}

// refute raises this host's incarnation over a claim that it is not well.
func (t *Table) refute(now time.Time, d *Member) {
	if d.Incarnation < t.self.Incarnation || d.Incarnation == t.self.Incarnation && d.State <= t.self.State {
		return
	}
	t.self.Incarnation = d.Incarnation + 1
	t.spread(t.self.ID, "", now)
}

// set changes a member's state and spreads it.
func (t *Table) set(now time.Time, e *entry, d Member, s State, o *Output) {
	w := e.State
	if d.ID != "" {
		e.Member = d
	}
	e.State = s
	e.since = now
	t.spread(e.ID, "", now)
	if w != s {
		o.Changes = append(o.Changes, Change{Member: e.Member, Was: w})
	}
}

// spread queues the member's state as news for the neighbours.
func (t *Table) spread(id, from string, now time.Time) {
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return n.id == id })
	n := &news{id: id, sent: make(map[string]struct{}), at: now}
	if from != "" {
		n.sent[from] = struct{}{}
	}
	t.news = append(t.news, n)
}

// mark notes that a neighbour has the news of id.
func (t *Table) mark(id, by string) {
	for _, n := range t.news {
		if n.id == id && by != "" {
			n.sent[by] = struct{}{}
		}
	}
}

// flush sends news to the neighbours that do not have it.
func (t *Table) flush(now time.Time) Output {
	var o Output
	t.news = slices.DeleteFunc(t.news, func(n *news) bool { return now.Sub(n.at) > newsKept })
	for _, id := range t.near {
		e := t.m[id]
		if !t.hasNews(id) {
			continue
		}
		h := t.heartbeat(e)
		if e.phase == phaseIdle {
			e.phase = phaseWaiting
			e.asked = now
			e.due = now.Add(t.c.Interval)
		}
		o.Sends = append(o.Sends, Send{To: e.Member, Heartbeat: h})
	}
	return o
}

// hasNews reports whether there are news that a neighbour does not have.
func (t *Table) hasNews(id string) bool {
	return slices.ContainsFunc(t.news, func(n *news) bool {
		_, ok := n.sent[id]
		return !ok
	})
}

// heartbeat returns a heartbeat for e with the news that e does not have.
func (t *Table) heartbeat(e *entry) Heartbeat {
	h := Heartbeat{From: t.self.ID, Offset: t.offset, Sum: t.sum}
	if e == nil {
		return h
	}
	if e.State == Suspect || e.State == Dead {
		h.Deltas = append(h.Deltas, e.Member)
	}
	for _, n := range t.news {
		if _, ok := n.sent[e.ID]; ok || len(h.Deltas) >= deltasMax {
			continue
		}
		n.sent[e.ID] = struct{}{}
		if m, ok := t.Get(n.id); ok {
			h.Deltas = append(h.Deltas, m)
		}
	}
	return h
}

// place is a member's place on the ring.
type place struct {
	at uint64
	id string
}

// rebuild derives the ring, the neighbours, the candidates and the sum.
func (t *Table) rebuild(now time.Time) {
	t.changed = now
	l := make([]place, 0, len(t.m)+1)
	t.cache = make([]ring.Candidate, 0, len(t.m)+1)
	t.sum = 0
	add := func(m *Member, at uint64) {
		if m.State >= Dead {
			return
		}
		l = append(l, place{at, m.ID})
		t.sum += at*uint64(m.State+1) + m.Incarnation
		if m.State <= Suspect {
			t.cache = append(t.cache, ring.Candidate{ID: m.ID, Region: m.Region})
		}
	}
	add(&t.self, ring.Score(t.self.ID, ""))
	for _, e := range t.m {
		add(&e.Member, e.at)
	}
	slices.SortFunc(l, func(a, b place) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.id, b.id)) })
	slices.SortFunc(t.cache, func(a, b ring.Candidate) int { return cmp.Compare(a.ID, b.ID) })
	t.ring = t.ring[:0]
	for _, p := range l {
		t.ring = append(t.ring, p.id)
	}
	t.neighbours(now)
}

// neighbours takes the members at the ring distances 1, 2, 4 and so on.
func (t *Table) neighbours(now time.Time) {
	t.near = nil
	i := slices.Index(t.ring, t.self.ID)
	n := len(t.ring)
	for d := 1; i >= 0 && d < n; d *= 2 {
		id := t.ring[(i+d)%n]
		t.near = append(t.near, id)
		e := t.m[id]
		if e.due.IsZero() {
			e.due = now
		}
	}
}
