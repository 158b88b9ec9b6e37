package gateway

import (
	"net/http"
	"sync"
)

// inProgress counts the requests that callers have made and that are not answered yet. It is
// safe for concurrent use.
type inProgress struct {
	mu     sync.Mutex
	n      int
	closed bool
}

// begin adds a request. It returns false if no request may begin any more.
func (p *inProgress) begin() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.n++
	return true
}

func (p *inProgress) end() {
	p.mu.Lock()
	p.n--
	p.mu.Unlock()
}

// close lets no further request begin, and reports whether none is in progress.
func (p *inProgress) close() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	return p.n == 0
}

// closeIfNone does so only if no request is in progress.
func (p *inProgress) closeIfNone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || p.n == 0
	return p.closed
}

// track counts the requests to h. During a drain each answer closes its connection, and once the
// drain is over requests are refused before h sees them: net/http's own way to close idle
// connections also closes those on which a request is just being read, and h then runs it.
func (r *drainer) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.stopping() {
			w.Header().Set("Connection", "close")
		}
		if !r.requests.begin() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer r.requests.end()
		h.ServeHTTP(w, q)
	})
}
