package member

import (
	"time"

	"mulberrypier.example/pier/ring"
)

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
