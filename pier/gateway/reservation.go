package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/promptload"
)

// reservation is the use of a server by one request of this host. It must be released.
type reservation struct {
	f *fleet
	s directory.Server
	// permit is set until the request was sent or needs no permit of the server's limit.
	permit bool
	// begun is set once a byte of the answer's body has come. left is set if the answer goes on after another
	// server has answered the request.
	begun, left atomic.Bool
	// unread is the prompt until its first event, nil if there is none of known length.
	unread *promptload.Unread
}

// endPermit records that the request waits for no permit any more. The caller holds the
// fleet's mu.
func (u *reservation) endPermit() {
	if t := u.f.states[u.s.ID]; t != nil && u.permit {
		t.permits--
	}
	u.permit = false
}

// paced records a measurement of the time between two events of a generation.
func (u *reservation) paced(d time.Duration) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.pace.Observe(d, time.Now())
	}
}

// observeLoad records the load that a server states in an answer.
func (u *reservation) observeLoad(a *backend.Response) {
	l, ok := a.Load()
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.endPermit()
	if !ok {
		return
	}
	if t := u.f.states[u.s.ID]; t != nil {
		t.load, t.loadAt, t.ownRunning = l, time.Now(), t.running
	}
}

// version records the version of a model that a server states in an answer. A version older
// than the ordered one shows that the order was not carried out.
func (u *reservation) version(model string, v int64) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil && t.ordered[model].version > v {
		delete(t.ordered, model)
	}
	if u.f.dir.ObserveVersion(u.s.ID, model, v) {
		u.f.rebuild(time.Now())
	}
}

// absent records that nothing listens at the server's address.
func (u *reservation) absent() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.absentUntil = time.Now().Add(backoff.Exponential(initialAvoidTime, maxAbsentTime, t.failures))
	}
}

// failed records a failure: the server is avoided for some time.
func (u *reservation) failed(reason string) {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		u.avoid(t, reason)
	}
}

// avoid has the server, whose state is t, avoided after a failure. The caller holds the fleet's mu.
func (u *reservation) avoid(t *serverState, reason string) {
	d := backoff.Exponential(initialAvoidTime, maxAvoidTime, t.failures)
	t.failures++
	t.unfinished, t.endsLong = 0, false
	t.avoidUntil = time.Now().Add(d)
	u.f.g.log.Info("servers: avoided", zap.String("server", u.s.ID), zap.String("reason", reason),
		zap.Duration("for", d))
}

// refused records a refusal. A server without capacity is avoided for d, which doubles with
// each refusal in a row, up to maxRefusalDoublings times. If another server answers at the
// address, that counts as a failure.
func (u *reservation) refused(r *backend.Response, d time.Duration) {
	if r.Status == http.StatusMisdirectedRequest {
		u.failed(string(outcome.ReasonNotOwner))
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.avoidUntil = time.Now().Add(backoff.Exponential(d, d<<maxRefusalDoublings, t.refusals))
		t.refusals++
	}
}

// accepted records that the server accepted the request.
func (u *reservation) accepted() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.refusals = 0
	}
}

// succeeded records that the server completed the request.
func (u *reservation) succeeded() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.failures, t.unfinished = 0, 0
	}
}

// unfinished records that the server had begun an answer, which outlasted its request: one that another
// server has answered, or a stream without a line.
func (u *reservation) unfinished() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.states[u.s.ID]
	if t == nil {
		return
	}
	if t.unfinished++; t.unfinished >= maxUnfinished {
		u.avoid(t, "unfinished-answers")
	}
}

// leave reports whether the answer may go on, though another server has answered the request: it has begun,
// and no other of the server goes on like that. endLeave must follow.
func (u *reservation) leave() bool {
	if !u.begun.Load() {
		return false
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.states[u.s.ID]
	if t == nil || t.left {
		return false
	}
	t.left = true
	u.left.Store(true)
	return true
}

// endLeave records that an answer that could go on has ended.
func (u *reservation) endLeave() {
	if !u.left.Load() {
		return
	}
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.left = false
	}
}

// endedLong records that the server has ended a long answer of unstated length.
func (u *reservation) endedLong() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		t.endsLong = true
	}
}

// failures returns the number of failures in a row of the server.
func (u *reservation) failures() int {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	if t := u.f.states[u.s.ID]; t != nil {
		return t.failures
	}
	return 0
}

// endsLong reports whether the server is taken to end long answers of unstated length.
func (u *reservation) endsLong() bool {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	t := u.f.states[u.s.ID]
	return t != nil && t.endsLong
}

// check returns a refusal if the server has left, or has started again, since it was picked.
func (u *reservation) check() error {
	s, ok := u.f.server(u.s.ID)
	if !ok || s.Leaving || !s.Born.Equal(u.s.Born) {
		return outcome.Refuse(outcome.ReasonServerLeft, u.s.ID).After(busyRetryAfter)
	}
	return nil
}

// replaced reports whether the server has started again under its id, as far as is known.
func (u *reservation) replaced() bool {
	s, ok := u.f.server(u.s.ID)
	return ok && !s.Born.Equal(u.s.Born)
}

// release ends the use of the server.
func (u *reservation) release() {
	u.f.mu.Lock()
	defer u.f.mu.Unlock()
	u.endPermit()
	u.unread.End()
	u.f.states[u.s.ID].running--
	u.f.signalCapacity()
}
