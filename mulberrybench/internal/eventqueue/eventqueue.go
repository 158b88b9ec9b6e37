// Package eventqueue provides a priority queue of timed events for simulations in
// virtual time. Events that are due at the same time are returned in the order in
// which they were added, so that a simulation is reproducible.
package eventqueue

import (
	"container/heap"
	"time"
)

// event is a function that is due at a time. seq orders events that are due at the
// same time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// Queue holds events ordered by time. The zero value is an empty queue. It is
// not safe for concurrent use.
type Queue struct {
	pending eventHeap
	seq     int
}

// Add adds an event that is due at the given time.
func (q *Queue) Add(at time.Time, run func()) {
	q.seq++
	heap.Push(&q.pending, &event{at: at, seq: q.seq, run: run})
}

// Next returns the time of the earliest event, or false if there is none.
func (q *Queue) Next() (time.Time, bool) {
	if len(q.pending) == 0 {
		return time.Time{}, false
	}
	return q.pending[0].at, true
}

// PopUntil removes the earliest event if it is due no later than end, and returns its time
// and its function. The function is nil if there is no such event.
func (q *Queue) PopUntil(end time.Time) (time.Time, func()) {
	if len(q.pending) == 0 || q.pending[0].at.After(end) {
		return time.Time{}, nil
	}
	e := heap.Pop(&q.pending).(*event)
	return e.at, e.run
}

// eventHeap implements heap.Interface. The earliest event is on top.
type eventHeap []*event

// Len returns the number of events.
func (q eventHeap) Len() int { return len(q) }

// Less reports whether the i-th event is due before the j-th.
func (q eventHeap) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}

// Swap swaps two events.
func (q eventHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push appends an event. Only package heap calls it.
func (q *eventHeap) Push(x any) { *q = append(*q, x.(*event)) }

// Pop removes and returns the last event. Only package heap calls it.
func (q *eventHeap) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}
