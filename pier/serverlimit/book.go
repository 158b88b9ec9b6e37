package serverlimit

import (
	"time"

	"mulberrypier.example/pier/directory"
)

// fallbackPerSecond is the limit of a server whose first stated limit cannot be read.
const fallbackPerSecond = 1

// Limit is the limit that a server states.
type Limit struct {
	// PerSecond is the number of requests a second that the server takes from all hosts
	// together; it is not negative.
	PerSecond float64
	// StatedAt is when the newest answer that stated the limit was received. It is a reading
	// of package boottime's clock, like all points in time in this package.
	StatedAt time.Duration
}

// Change is what an answer has changed in a Book.
type Change string

// The changes.
const (
	Unchanged Change = "unchanged"
	Stated    Change = "stated"
	Changed   Change = "changed"
	Ended     Change = "ended"
)

// Book holds the limits that a host knows. It is not safe for concurrent use.
type Book struct {
	limits map[directory.Incarnation]*entry
	// ended holds when the newest request was sent whose answer stated no limit any more.
	ended map[directory.Incarnation]time.Duration
}

// entry is a limit and what this host knows of its use.
type entry struct {
	Limit
	// fullUntil is when the coordinator would grant the next request.
	fullUntil time.Duration
}

// NewBook returns a book without limits.
func NewBook() *Book {
	return &Book{limits: make(map[directory.Incarnation]*entry), ended: make(map[directory.Incarnation]time.Duration)}
}

// Limit returns the limit of a server. ok is false if it has none.
func (b *Book) Limit(s directory.Incarnation) (l Limit, ok bool) {
	p := b.limits[s]
	if p == nil {
		return Limit{}, false
	}
	return p.Limit, true
}

// SetFull records that the coordinator grants no request to a server until a time.
func (b *Book) SetFull(s directory.Incarnation, until time.Duration) {
	if p := b.limits[s]; p != nil {
		p.fullUntil = until
	}
}

// Wait returns how long no request to a server is granted, as far as this host knows.
func (b *Book) Wait(s directory.Incarnation, now time.Duration) time.Duration {
	p := b.limits[s]
	if p == nil {
		return 0
	}
	return max(p.fullUntil-now, 0)
}

// Len returns the number of limits.
func (b *Book) Len() int { return len(b.limits) }

// Retain forgets the servers for which keep returns false.
func (b *Book) Retain(keep func(s directory.Incarnation) bool) {
	for s := range b.limits {
		if !keep(s) {
			delete(b.limits, s)
		}
	}
	for s := range b.ended {
		if !keep(s) {
			delete(b.ended, s)
		}
	}
}

// Observe applies an answer that states the limit with the given header fields; without
// fields it states that there is none. The answer was received at now and belongs to a
// request that was sent at sent. An answer ends a limit only if its request was sent after
// the limit was last stated: answers on different connections may overtake each other.
//
// If the fields cannot be read, the error is an *outcome.Error, and the server keeps the
// limit that it has, or gets a low one if it has none.
func (b *Book) Observe(s directory.Incarnation, fields []string, sent, now time.Duration) (Change, error) {
	if len(fields) == 0 {
		return b.end(s, sent), nil
	}
	v, err := Parse(fields)
	if err != nil {
		v = fallbackPerSecond
		if p := b.limits[s]; p != nil {
			v = p.PerSecond
		}
	}
	return b.state(s, Limit{PerSecond: v, StatedAt: now}), err
}

// Learn applies what another host knows of a limit, unless this host knows something newer.
func (b *Book) Learn(s directory.Incarnation, l Limit) Change {
	if p := b.limits[s]; p != nil && p.StatedAt >= l.StatedAt {
		return Unchanged
	}
	if t, ok := b.ended[s]; ok && t >= l.StatedAt {
		return Unchanged
	}
	return b.state(s, l)
}

// LearnEnd applies what another host knows of the end of a limit: a request that was sent at sent
// got an answer without one.
func (b *Book) LearnEnd(s directory.Incarnation, sent time.Duration) Change {
	if b.limits[s] != nil {
		return b.end(s, sent)
	}
	b.ended[s] = max(b.ended[s], sent)
	return Unchanged
}

// Ended reports whether a limit that another host knows has ended, as far as this host knows.
func (b *Book) Ended(s directory.Incarnation, l Limit) bool {
	t, ok := b.ended[s]
	return ok && t > l.StatedAt && b.limits[s] == nil
}

func (b *Book) state(s directory.Incarnation, l Limit) Change {
	p := b.limits[s]
	if p == nil {
		b.limits[s] = &entry{Limit: l}
		return Stated
	}
	changed := p.PerSecond != l.PerSecond
	p.Limit = l
	if changed {
		p.fullUntil = 0
		return Changed
	}
	return Unchanged
}

func (b *Book) end(s directory.Incarnation, sent time.Duration) Change {
	p := b.limits[s]
	if p == nil || sent <= p.StatedAt {
		return Unchanged
	}
	delete(b.limits, s)
	b.ended[s] = sent
	return Ended
}
