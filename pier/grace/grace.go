// Package grace decides which requests a host takes while it shuts down gracefully, so that each of
// them is answered before its process ends.
package grace

import (
	"sync"
	"time"
)

// Window is the time in which a host that shuts down answers its last requests.
type Window struct {
	// Announced is when the host has told everybody that it leaves. Requests that come before
	// are all taken, as their callers would return to this host.
	Announced time.Time
	// Settled is when requests have come on all connections that callers opened to this host before it was
	// announced. It is not before Announced.
	Settled time.Time
	// End is when each answer has to be complete.
	End time.Time
}

// Candidate is a request that a host takes or refuses.
type Candidate struct {
	// Deadline is when its caller or its route gives it up.
	Deadline time.Time
	// Usual is what is known of requests like it.
	Usual Usual
	// Idempotent is set if the caller may send it again though it may have run.
	Idempotent bool
}

// Decision tells whether a host takes a request.
type Decision int

// The decisions on a request.
const (
	// Refuse has the request answered at once, before anything is sent.
	Refuse Decision = iota
	// Take has the request begin.
	Take
	// TakeWhole has the request begin, but none of its answer may be passed on before all of it is there: the
	// request may outlast the window, and then its caller still gets an error and can send it again.
	TakeWhole
)

// marginDivisor is the divisor of the usual time of a request that gives the margin added to it.
const marginDivisor = 4

// Decide decides on a request. How long others took does not show how long this one takes, so once the
// connections have settled a request is taken only if its deadline passes before the end, or if nothing is
// lost when it has to be given up.
func (w Window) Decide(now time.Time, c Candidate) Decision {
	switch {
	case now.Before(w.Announced) || !c.Deadline.After(w.End):
		return Take
	case !c.Usual.endsBefore(w.End, now):
		return Refuse
	case now.Before(w.Settled):
		return Take
	case c.Idempotent && !c.Usual.Partial:
		return TakeWhole
	}
	return Refuse
}

// Usual is what the last requests of one kind tell about the next.
type Usual struct {
	// Longest is the longest time that one of them took, or that one which still runs has taken so far. It is
	// 0 if there was none.
	Longest time.Duration
	// Partial is set if a part of one's answer was passed on before all of it was there.
	Partial bool
}

// endsBefore reports whether a request that begins now ends before a time, if it takes no longer than others
// and a margin.
func (u Usual) endsBefore(end, now time.Time) bool {
	return u.Longest > 0 && now.Add(u.Longest+u.Longest/marginDivisor).Before(end)
}

// keptEnds is the number of ended requests that a History keeps.
const keptEnds = 64

// History knows how requests of one kind end. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// running holds the requests that have not ended.
	running map[*Request]struct{}
	// ended holds how the last requests ended; next is the index to replace.
	ended [keptEnds]ending
	next  int
}

// ending is how a request ended.
type ending struct {
	took    time.Duration
	partial bool
}

// NewHistory returns a History without requests.
func NewHistory() *History { return &History{running: make(map[*Request]struct{})} }

// Usual returns what the last requests tell about the next.
func (h *History) Usual(now time.Time) Usual {
	h.mu.Lock()
	defer h.mu.Unlock()
	var u Usual
	for _, e := range h.ended {
		u.Longest = max(u.Longest, e.took)
		u.Partial = u.Partial || e.partial
	}
	for r := range h.running {
		u.Longest = max(u.Longest, now.Sub(r.began))
		u.Partial = u.Partial || r.partial
	}
	return u
}

// Request is a request that runs.
type Request struct {
	h     *History
	began time.Time
	// partial is guarded by h.mu.
	partial bool
}

// Begin adds a request, whose End must be called.
func (h *History) Begin(now time.Time) *Request {
	r := &Request{h: h, began: now}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[r] = struct{}{}
	return r
}

// AnswerInParts records that the answer is passed on in parts, or would have to be.
func (r *Request) AnswerInParts() {
	r.h.mu.Lock()
	defer r.h.mu.Unlock()
	r.partial = true
}

// End records that the request is answered or given up. Further calls have no effect.
func (r *Request) End(now time.Time) {
	h := r.h
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.running[r]; !ok {
		return
	}
	delete(h.running, r)
	h.ended[h.next] = ending{took: now.Sub(r.began), partial: r.partial}
	h.next = (h.next + 1) % keptEnds
}
