package member

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"mulberrypier.example/pier/ring"
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

// fullSyncInterval is how long the list must be unchanged before a differing
// checksum is answered with the full list, and the minimum time between two
// such answers to one member.
const fullSyncInterval = 3 * time.Second

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
