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
	// End is when each answer has to be complete.
	End time.Time
}

// marginDivisor is the divisor of the usual time of a request that gives the margin added to it.
const marginDivisor = 4

// Takes reports whether a request is answered in time: its deadline passes before the end, or
// requests like it take no longer than is left. usual is the longest time that these take, 0 if
// that is not known.
func (w Window) Takes(now, deadline time.Time, usual time.Duration) bool {
	if now.Before(w.Announced) || !deadline.After(w.End) {
		return true
	}
	return usual > 0 && now.Add(usual+usual/marginDivisor).Before(w.End)
}

// keptTimes is the number of requests whose times a History keeps.
const keptTimes = 64

// History knows how long requests of one kind take. It is safe for concurrent use.
type History struct {
	mu sync.Mutex
	// running holds the requests that have not ended.
	running map[*Request]struct{}
	// times holds the times of the last requests that ended; next is the index to replace.
	times [keptTimes]time.Duration
	next  int
}

// NewHistory returns a History without requests.
func NewHistory() *History { return &History{running: make(map[*Request]struct{})} }

// Request is a request that runs.
type Request struct {
	h     *History
	began time.Time
}

// Begin adds a request, whose End must be called.
func (h *History) Begin(now time.Time) *Request {
	r := &Request{h: h, began: now}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[r] = struct{}{}
	return r
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
	h.times[h.next] = now.Sub(r.began)
	h.next = (h.next + 1) % keptTimes
}

// Longest returns the longest time that one of the last requests took, or that one which still
// runs has taken so far. It is 0 if there was none.
func (h *History) Longest(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	var d time.Duration
	for _, t := range h.times {
		d = max(d, t)
	}
	for r := range h.running {
		d = max(d, now.Sub(r.began))
	}
	return d
}
