package gateway

import (
	"net/http"
	"sync/atomic"
)

// failedAttempts counts the servers that ran a request and answered that they failed. An item, or
// its call to a scorer, is given up once they are as many as its route allows. It is safe for
// concurrent use.
type failedAttempts struct{ n atomic.Int64 }

// observe counts an answer by its status. Only an internal error counts: a server whose time was
// up (504) or that did not reach another (502) says nothing of the request.
func (f *failedAttempts) observe(status int) {
	if status == http.StatusInternalServerError {
		f.n.Add(1)
	}
}

// set continues the count of another host.
func (f *failedAttempts) set(n int) { f.n.Store(int64(n)) }

func (f *failedAttempts) count() int { return int(f.n.Load()) }

// reached reports whether a route that allows limit attempts allows no more.
func (f *failedAttempts) reached(limit int) bool { return f.count() >= max(limit, 1) }
