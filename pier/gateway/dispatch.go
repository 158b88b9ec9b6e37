package gateway

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/quarantine"
	"mulberrypier.example/pier/routetable"
)

// serverAttempt is one request to one server.
type serverAttempt struct {
	u      *reservation
	answer *Answer
	err    error
	// serverEnded is set if the server ended while it ran the request.
	serverEnded bool
	// closed is set once the attempt has failed or its answer was set aside.
	closed bool
	cancel context.CancelFunc
	// detach has the attempt outlast the request's context. It still ends at the deadline.
	detach func() bool
}

// newAttempt returns an attempt at a server and its context, which ends with the request's unless the attempt
// is detached. ctx must have a deadline.
func newAttempt(ctx context.Context, u *reservation) (*serverAttempt, context.Context) {
	deadline, _ := ctx.Deadline()
	attemptCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	detach := context.AfterFunc(ctx, func() {
		if errors.Is(ctx.Err(), context.Canceled) {
			cancel()
		}
	})
	return &serverAttempt{u: u, cancel: cancel, detach: detach}, attemptCtx
}

// leave ends an attempt whose request another server has answered. An answer that has begun may go on, to
// show whether it ends.
func (t *serverAttempt) leave() {
	if !t.closed && t.u.leave() {
		t.detach()
		return
	}
	t.cancel()
}

// finish closes the answer of an attempt that was left. One that may go on is read to its end, which is
// recorded for the server.
func (t *serverAttempt) finish(log *zap.Logger) {
	defer t.cancel()
	defer t.u.endLeave()
	if t.err != nil {
		return
	}
	defer t.answer.Close()
	if !t.u.left.Load() {
		return
	}
	if err := t.answer.readRest(); err != nil {
		log.Debug("request: other answer did not end", zap.String("server", t.u.s.ID), zap.Error(err))
	}
}

// dispatch tries one server after another. An idempotent request that is slow at one server
// is hedged: it is sent to a second one as well, and the first answer counts. A careful one is
// not, as a server has ended under it. Another server is also asked if nothing shows that an
// answer ends: a whole answer counts before it.
func (g *Gateway) dispatch(ctx context.Context, c *plainCall, careful bool) (*Answer, error) {
	s := plainDispatch{
		g: g, c: c, careful: careful,
		tried: make(map[string]bool), limited: make(map[string]bool),
	}
	s.endedAttempts = make(chan *serverAttempt, c.Route.Attempts+1)
	s.last = c.choice(nil).noServer()
	s.hedge = time.NewTimer(time.Hour)
	defer s.hedge.Stop()
	s.holdTimer = time.NewTimer(time.Hour)
	s.holdTimer.Stop()
	defer s.holdTimer.Stop()
	s.send(ctx, c.Purpose)
	for s.pending > 0 {
		select {
		case t := <-s.endedAttempts:
			s.pending--
			switch {
			case t.err == nil && s.isWorse(t):
				t.answer.Close()
				t.closed = true
				s.send(ctx, backend.PurposeRetry)
			case t.err == nil && s.hold(t):
				s.send(ctx, backend.PurposeRetry)
			case t.err == nil:
				return s.answered(ctx, t), nil
			case s.mayRetry(t):
				s.send(ctx, backend.PurposeRetry)
			}
		case <-s.holdTimer.C:
			return s.answered(ctx, s.preferred()), nil
		case <-s.hedge.C:
			g.metrics.retries.WithLabelValues(reasonSlow).Inc()
			s.send(ctx, backend.PurposeHedge)
		}
	}
	switch {
	case len(s.held) > 0:
		return s.answered(ctx, s.preferred()), nil
	case s.failed == nil:
		return nil, s.last
	case ctx.Err() != nil:
		return nil, outcome.Ambiguous(outcome.ReasonOf(ctx), s.servers(), ctx.Err())
	}
	return nil, s.failed
}

// holdShare is the part of the time until the deadline, as its divisor, for which an answer that may have no end
// is held back at most.
const holdShare = 4

// reasonSlow labels the requests that were hedged, reasonLong those whose answers nothing showed to end.
const (
	reasonSlow = "slow"
	reasonLong = "long"
)

// plainDispatch is the state of a plain request that is sent to one server or several.
type plainDispatch struct {
	g *Gateway
	c *plainCall
	// careful is set for a request under which a server has ended.
	careful bool
	tried   map[string]bool
	// limited holds the servers whose limit left no room at once. Each is tried again, and
	// may then make the request wait.
	limited  map[string]bool
	attempts []*serverAttempt
	// pending is the number of attempts that have not ended; sent is the number that may
	// have been executed.
	pending, sent int
	endedAttempts chan *serverAttempt
	hedge         *time.Timer
	// held holds the attempts whose answers may not end, of which nothing was passed on. holdTimer ends
	// the wait for a whole answer of another server.
	held      []*serverAttempt
	holdTimer *time.Timer
	// failed is the newest failure of an attempt that may have been executed, last that of
	// any attempt.
	failed, last *outcome.Error
}

// hold holds the answer of an attempt back if it may have no end and another server may be asked, and reports
// whether it did.
func (s *plainDispatch) hold(t *serverAttempt) bool {
	if !t.answer.mayBeEndless || !s.idempotent() || s.careful {
		return false
	}
	s.g.metrics.retries.WithLabelValues(reasonLong).Inc()
	if len(s.held) == 0 {
		d := min(time.Until(s.c.Deadline)/holdShare, maxUnreadTime)
		if o := s.c.Route.LatencyObjective; o > 0 {
			d = min(d, o)
		}
		s.holdTimer.Reset(d)
	}
	s.held = append(s.held, t)
	return true
}

// isWorse reports whether the answer of an attempt must not replace the one that is held: it has another
// status and is no success. A server that rejects the request says nothing of what another one has made.
func (s *plainDispatch) isWorse(t *serverAttempt) bool {
	return len(s.held) > 0 && t.answer.Status/100 != 2 && t.answer.Status != s.held[0].answer.Status
}

// answered ends the dispatch with the answer of an attempt.
func (s *plainDispatch) answered(ctx context.Context, winner *serverAttempt) *Answer {
	s.leaveOthers(winner)
	s.g.watchAnswer(ctx, s.c, winner.u, winner.answer, quarantine.Event{}, 0)
	return winner.answer
}

// preferred returns the attempt whose answer is passed on if all answers may not end: the first of a server
// with the fewest failures.
func (s *plainDispatch) preferred() *serverAttempt {
	return slices.MinFunc(s.held, func(a, b *serverAttempt) int { return cmp.Compare(a.u.failures(), b.u.failures()) })
}

func (s *plainDispatch) idempotent() bool { return s.c.Route.Kind == routetable.KindIdempotent }

// send starts an attempt at a server that had none yet, if the route allows another.
func (s *plainDispatch) send(ctx context.Context, p backend.Purpose) {
	if ctx.Err() != nil || s.sent >= s.c.Route.Attempts {
		return
	}
	if err := s.c.checkTime(); err != nil {
		s.setLast(outcome.AsError(err))
		return
	}
	u, ok := s.g.fleet.pickServer(s.c.choice(s.tried))
	if !ok {
		s.noServer()
		return
	}
	q := s.g.request(s.c, u)
	q.Purpose = p
	q.Check = func() error { return s.check(u) }
	if !s.mayWait(&q, u) {
		u.release()
		return
	}
	s.tried[u.s.ID] = true
	s.sent++
	s.pending++
	t, attemptCtx := newAttempt(ctx, u)
	s.attempts = append(s.attempts, t)
	more := s.sent < s.c.Route.Attempts
	release := s.c.holdBody()
	go func() {
		t.answer, t.err = s.g.attempt(attemptCtx, s.c.Call, q, u, more)
		if t.err == nil {
			t.answer.afterClose(release)
		} else {
			release()
		}
		if errors.Is(attemptCtx.Err(), context.DeadlineExceeded) {
			// Both deadlines are the same: the request is over before its attempts.
			<-ctx.Done()
		}
		if answeredElsewhere := u.left.Load() || attemptCtx.Err() != nil && ctx.Err() == nil; !answeredElsewhere {
			t.serverEnded = s.g.observeEnd(s.c, u, t.err)
		}
		s.endedAttempts <- t
	}()
	if s.idempotent() && more && !s.careful && s.c.Route.LatencyObjective > 0 {
		s.hedge.Reset(time.Duration(hedgeFactor * float64(s.c.Route.LatencyObjective)))
	}
}

// noServer sets the error of a request for which no server was picked: that of the last server
// that was tried, with a time to come back if that one states none.
func (s *plainDispatch) noServer() {
	services := s.c.services()
	if s.c.deferrable() && s.last.Reason == outcome.ReasonNoServer && slices.ContainsFunc(services, s.g.fleet.hasServers) {
		s.last = outcome.Refuse(outcome.ReasonQueueFull, strings.Join(services, ",")).After(busyRetryAfter)
	}
	if s.last.Reason == outcome.ReasonUnreachable && s.last.RetryAfter == 0 {
		s.last = s.last.After(unavailableRetryAfter)
	}
}

// mayWait sets how long the request may wait if the server's limit leaves no room. It returns
// false if the request should not be sent there, as an attempt at another server is still in
// progress: a permit that is not used in the end is lost to others.
func (s *plainDispatch) mayWait(q *backend.Request, u *reservation) bool {
	if !s.limited[u.s.ID] && !s.g.limits.full(u.s) {
		return true
	}
	s.limited[u.s.ID] = true
	q.LimitWait = s.c.limitWait(time.Now())
	return s.pending == 0
}

// servers returns the servers that were asked, in order, separated by commas.
func (s *plainDispatch) servers() string {
	var l []string
	for _, t := range s.attempts {
		l = append(l, t.u.s.ID)
	}
	return strings.Join(l, ",")
}

// mayRetry handles a failed attempt and reports whether another may follow.
func (s *plainDispatch) mayRetry(t *serverAttempt) bool {
	t.cancel()
	t.closed = true
	s.setLast(outcome.AsError(t.err))
	e := outcome.AsError(t.err)
	s.g.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	s.g.log.Debug("request: attempt failed", zap.String("id", s.c.ID),
		zap.String("server", t.u.s.ID), zap.String("reason", string(e.Reason)))
	if e.Outcome == outcome.NotRun {
		s.sent--
		s.allowAgain(e.Reason, t.u.s.ID)
		return e.Reason != outcome.ReasonUnauthorized && e.Reason != outcome.ReasonStaleConfiguration
	}
	s.failed = e
	if t.serverEnded && s.isSuspect() {
		return false
	}
	return s.idempotent()
}

// allowAgain lets a server that did not run the request be tried once more: one whose limit left no
// room at once, where the request may then wait, and one whose permit expired before it could be
// sent, which takes longer than permitLifetime each time.
func (s *plainDispatch) allowAgain(r outcome.Reason, server string) {
	switch {
	case r == outcome.ReasonPermitExpired:
		delete(s.tried, server)
	case r == outcome.ReasonServerLimit && !s.limited[server]:
		s.limited[server] = true
		delete(s.tried, server)
	}
}

// check returns a refusal if the request must not be sent to a server any more: its key was removed, the server
// has left, or so many servers have ended under the request meanwhile that it may be sent in trials only.
func (s *plainDispatch) check(u *reservation) error {
	if s.isSuspect() {
		return outcome.Refuse(outcome.ReasonQuarantined, u.s.ID).After(busyRetryAfter)
	}
	return s.c.check(u)
}

// isSuspect reports whether servers have ended under the request so often that it may be sent in
// trials only.
func (s *plainDispatch) isSuspect() bool {
	d, _ := s.g.suspects.decide(s.c)
	return d.Action != quarantine.Send && d.Action != quarantine.SendCarefully
}

// setLast records the failure of an attempt. Of several servers whose limits are used up,
// the one that takes a request first decides when the caller should return.
func (s *plainDispatch) setLast(e *outcome.Error) {
	p := s.last
	if p.Reason == outcome.ReasonServerLimit && e.Reason == p.Reason && p.RetryAfter > 0 && p.RetryAfter < e.RetryAfter {
		return
	}
	s.last = e
}

// leaveOthers ends all attempts but the one whose answer counts.
func (s *plainDispatch) leaveOthers(winner *serverAttempt) {
	for _, t := range s.attempts {
		if t != winner {
			t.leave()
		}
	}
	for _, t := range s.held {
		if t != winner {
			go t.finish(s.g.log)
		}
	}
	winner.answer.afterClose(winner.cancel)
	n := s.pending
	if n == 0 {
		return
	}
	go func() {
		for range n {
			t := <-s.endedAttempts
			go t.finish(s.g.log)
		}
	}()
}
