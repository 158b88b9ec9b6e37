package member

import (
	"cmp"
	"slices"
	"time"

	"mulberrypier.example/pier/ring"
)

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
