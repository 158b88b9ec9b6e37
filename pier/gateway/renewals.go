package gateway

import (
	"context"
	"time"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
)

// Servers compare the id of a request only, and some do not state when they started. So a host
// that opens a connection to a server may reach a newer start of it, whose registration it has not
// read yet. The registration tells afterwards: the incarnation that still writes it was running
// when the connection was opened.

const (
	// confirmTimeout is how long a request waits for the registration of its server, which is
	// written about once a second.
	confirmTimeout = 2 * time.Second
	// confirmInterval is the time between two looks at the registration.
	confirmInterval = 50 * time.Millisecond
)

// renewal is what the newest registration of a server shows: the incarnation that started at born
// was running after a time.
type renewal struct {
	born  time.Time
	after time.Time
}

// ranSince reports whether the incarnation of a server that started at born is known to have been
// running at or after a time. One that states no start is never known.
func (f *fleet) ranSince(id string, born, at time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r, ok := f.renewals[id]
	return ok && born.UnixMilli() > 0 && r.born.Equal(born) && !r.after.Before(at)
}

// confirm waits until the incarnation of a request is known to have been running at or after a time.
func (f *fleet) confirm(ctx context.Context, q *backend.Request, at time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for !f.ranSince(q.Server, q.Born, at) {
		if !backoff.Sleep(ctx, confirmInterval) {
			return outcome.Refuse(outcome.ReasonUnconfirmed, q.Server).After(originRetryAfter)
		}
	}
	return nil
}
