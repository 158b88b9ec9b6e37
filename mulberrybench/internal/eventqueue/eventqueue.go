// Package eventqueue is the list of what happens when, for runs in virtual time. What
// is due at the same time happens in the order in which it was added, so a run is
// the same each time.
package eventqueue

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// Agenda holds events, the next one on top. Its zero value is empty. Not safe for
// concurrent use.
type Agenda struct {
	list events
	seq  int
}

// Add adds what happens at a time.
func (a *Agenda) Add(at time.Time, do func()) {
	a.seq++
	heap.Push(&a.list, &event{at: at, seq: a.seq, do: do})
}

// Next returns when the next event happens, or false when there is none.
func (a *Agenda) Next() (time.Time, bool) {
	if len(a.list) == 0 {
		return time.Time{}, false
	}
	return a.list[0].at, true
}

// Take removes the next event, if it happens no later than end, and returns its
// time and what happens, or a nil function.
func (a *Agenda) Take(end time.Time) (time.Time, func()) {
	if len(a.list) == 0 || a.list[0].at.After(end) {
		return time.Time{}, nil
	}
	e := heap.Pop(&a.list).(*event)
	return e.at, e.do
}

// events is a heap.
type events []*event

// Len returns the number of events.
func (q events) Len() int { return len(q) }

// Less reports whether the i-th event comes before the j-th.
func (q events) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap swaps two events.
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event; it is called by package heap only.
func (q *events) Push(x any) { *q = append(*q, x.(*event)) }

// Pop takes the last event; it is called by package heap only.
func (q *events) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}
