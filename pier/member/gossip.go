package member

import (
	"slices"
	"time"
)

// gossip is a membership update that is still being sent to neighbours.
type gossip struct {
	id string
	// sent holds the ids of the neighbours that have the update.
	sent map[string]struct{}
	// queuedAt is when the update was queued.
	queuedAt time.Time
}

const (
	// gossipTTL is how long an update is sent to neighbours that do not have it.
	gossipTTL = 10 * time.Second
	// maxDeltas is the maximum number of deltas in one heartbeat, full member lists
	// excepted.
	maxDeltas = 64
)

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
