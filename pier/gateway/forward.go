package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

const (
	// maxBufferedBytes is the longest answer that is buffered before it is passed on, so
	// that the request can still be sent to another server if the answer breaks off.
	maxBufferedBytes = 256 << 10
	// hedgeFactor is the fraction of its route's objective after which an idempotent
	// request without an answer is also sent to a second server.
	hedgeFactor = 0.6
	// scoreLimitWait is how long a call to a scorer waits for a server whose limit is used up.
	scoreLimitWait = 100 * time.Millisecond
	// busyRetryAfter is the Retry-After time given to callers when servers lack capacity.
	busyRetryAfter = 200 * time.Millisecond
	// unavailableRetryAfter is the Retry-After time given to callers by a host that cannot
	// reach the log or knows no server.
	unavailableRetryAfter = time.Second
)

// Call is a plain request.
type Call struct {
	Route  *routetable.Route
	Method string
	// Target is the path and query, passed on unchanged.
	Target string
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Purpose is PurposeCall or PurposeScore.
	Purpose backend.Purpose
}

// limitWait returns how long the call may wait for a server whose limit is used up: until
// there is just time left for an answer. A call to a scorer waits only briefly and comes
// again later, so that callers' requests find no long queue before them.
func (c *Call) limitWait(now time.Time) time.Duration {
	left := c.Deadline.Sub(now)
	if c.Purpose == backend.PurposeScore {
		return min(scoreLimitWait, left/2)
	}
	return max(left-max(c.Route.LatencyObjective, left/4), 0)
}

// Answer is a server's answer to a plain request.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning if Rest is set.
	Body []byte
	// ServerErrors is the number of servers that answered with a server error, including
	// this one.
	ServerErrors int
	// Rest reads the rest of the body. Close must be called.
	Rest  io.Reader
	close func()
}

// Close releases the server.
func (a *Answer) Close() {
	if a.close != nil {
		a.close()
	}
}

// Do sends a plain request to a server, and to others as far as the route's kind and number
// of attempts allow. Errors are of type *outcome.Error; the outcome is not-run only if no
// server can have executed the request.
func (g *Gateway) Do(ctx context.Context, c Call) (*Answer, error) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	a, err := g.attempts(ctx, c)
	if err != nil {
		cancel()
		e := outcome.AsError(err)
		g.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
		g.log.Info("request: not answered", zap.String("id", c.ID), zap.String("route", c.Route.Name),
			zap.String("reason", string(e.Reason)), zap.String("outcome", string(e.Outcome)),
			zap.String("at", e.Detail), zap.Duration("after", time.Since(start)))
		return nil, e
	}
	done := a.close
	a.close = func() {
		if done != nil {
			done()
		}
		cancel()
	}
	g.metrics.plain.Observe(time.Since(start).Seconds())
	return a, nil
}

// serverAttempt is one request to one server.
type serverAttempt struct {
	u      *reservation
	answer *Answer
	err    error
	cancel context.CancelFunc
}

// attempts tries one server after another. An idempotent request that is slow at one server
// is hedged: it is sent to a second one as well, and the first answer counts.
func (g *Gateway) attempts(ctx context.Context, c Call) (*Answer, error) {
	s := plainDispatch{
		g: g, c: c, service: c.Route.PickService(xxhash.Sum64String(c.ID)),
		tried: make(map[string]bool), limited: make(map[string]bool),
	}
	s.endedAttempts = make(chan *serverAttempt, c.Route.Attempts+1)
	s.last = outcome.Refuse(outcome.ReasonNoServer, s.service).After(unavailableRetryAfter)
	s.hedge = time.NewTimer(time.Hour)
	defer s.hedge.Stop()
	s.send(ctx, c.Purpose)
	for s.pending > 0 {
		select {
		case t := <-s.endedAttempts:
			s.pending--
			if t.err == nil {
				s.cancelOthers(t)
				t.answer.ServerErrors += s.errors
				return t.answer, nil
			}
			if s.mayRetry(t) {
				s.send(ctx, backend.PurposeRetry)
			}
		case <-s.hedge.C:
			g.metrics.retries.WithLabelValues(reasonSlow).Inc()
			s.send(ctx, backend.PurposeHedge)
		}
	}
	switch {
	case s.failed == nil:
		return nil, s.last
	case ctx.Err() != nil:
		return nil, outcome.Ambiguous(outcome.ReasonOf(ctx), s.servers(), ctx.Err())
	}
	return nil, s.failed
}

// reasonSlow labels the requests that were hedged.
const reasonSlow = "slow"

// plainDispatch is the state of a plain request that is sent to one server or several.
type plainDispatch struct {
	g       *Gateway
	c       Call
	service string
	tried   map[string]bool
	// limited holds the servers whose limit left no room at once. Each is tried again, and
	// may then make the request wait.
	limited  map[string]bool
	attempts []*serverAttempt
	// pending is the number of attempts that have not ended; sent is the number that may
	// have been executed.
	pending, sent int
	// errors is the number of servers that answered with a server error.
	errors        int
	endedAttempts chan *serverAttempt
	hedge         *time.Timer
	// failed is the newest failure of an attempt that may have been executed, last that of
	// any attempt.
	failed, last *outcome.Error
}

func (s *plainDispatch) idempotent() bool { return s.c.Route.Kind == routetable.KindIdempotent }

// send starts an attempt at a server that had none yet, if the route allows another.
func (s *plainDispatch) send(ctx context.Context, p backend.Purpose) {
	if ctx.Err() != nil || s.sent >= s.c.Route.Attempts {
		return
	}
	u, ok := s.g.fleet.pickServer(s.service, s.tried)
	if !ok {
		return
	}
	q := s.g.request(s.c, u)
	q.Purpose = p
	if !s.mayWait(&q, u) {
		u.release()
		return
	}
	s.tried[u.s.ID] = true
	s.sent++
	s.pending++
	attemptCtx, cancel := context.WithCancel(ctx)
	t := &serverAttempt{u: u, cancel: cancel}
	s.attempts = append(s.attempts, t)
	more := s.sent < s.c.Route.Attempts
	go func() {
		t.answer, t.err = s.g.attempt(attemptCtx, s.c, q, u, more)
		s.endedAttempts <- t
	}()
	if s.idempotent() && more && s.c.Route.LatencyObjective > 0 {
		s.hedge.Reset(time.Duration(hedgeFactor * float64(s.c.Route.LatencyObjective)))
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
	s.setLast(outcome.AsError(t.err))
	e := outcome.AsError(t.err)
	s.g.metrics.retries.WithLabelValues(string(e.Reason)).Inc()
	s.g.log.Debug("request: attempt failed", zap.String("id", s.c.ID),
		zap.String("server", t.u.s.ID), zap.String("reason", string(e.Reason)))
	if e.Outcome == outcome.NotRun {
		s.sent--
		if e.Reason == outcome.ReasonServerLimit && !s.limited[t.u.s.ID] {
			s.limited[t.u.s.ID] = true
			delete(s.tried, t.u.s.ID)
		}
		return true
	}
	s.failed = e
	if e.Reason == outcome.ReasonServerError {
		s.errors++
	}
	return s.idempotent()
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

// cancelOthers ends all attempts but the one whose answer counts.
func (s *plainDispatch) cancelOthers(winner *serverAttempt) {
	for _, t := range s.attempts {
		if t != winner {
			t.cancel()
		}
	}
	done := winner.answer.close
	winner.answer.close = func() {
		done()
		winner.cancel()
	}
	n := s.pending
	if n == 0 {
		return
	}
	go func() {
		for range n {
			if t := <-s.endedAttempts; t.err == nil {
				t.answer.Close()
			}
		}
	}()
}

// attempt sends a call to one server, as the request q. more is set if another attempt may
// follow.
func (g *Gateway) attempt(ctx context.Context, c Call, q backend.Request, u *reservation, more bool) (*Answer, error) {
	idempotent := c.Route.Kind == routetable.KindIdempotent
	r, err := g.pool.Do(ctx, q)
	if err != nil {
		g.recordFailure(ctx, u, err)
		u.release()
		return nil, err
	}
	u.observeLoad(r)
	end := func() { r.Close(); u.release() }
	switch {
	case r.NotRun():
		u.refused(r, busyRetryAfter)
		discard(r)
		end()
		return nil, outcome.Refuse(outcome.ReasonQueueFull, u.s.ID).After(busyRetryAfter)
	case r.Status >= http.StatusInternalServerError && idempotent && more:
		discard(r)
		end()
		return nil, outcome.Ambiguous(outcome.ReasonServerError, u.s.ID, nil)
	case !idempotent && impliesNotRun(r.Status):
		end()
		return nil, outcome.Ambiguous(outcome.ReasonServerError, u.s.ID, nil)
	}
	u.accepted()
	a, err := readAnswer(c, r)
	if err != nil {
		g.recordFailure(ctx, u, err)
		end()
		return nil, outcome.Ambiguous(outcome.ReasonShortAnswer, u.s.ID, err)
	}
	u.succeeded()
	a.close = end
	return a, nil
}

// discard reads a short body to its end, so that its connection can be reused.
func discard(r *backend.Response) {
	// After a failure, closing the response closes the connection instead.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxBufferedBytes))
}

// impliesNotRun reports whether a status tells a caller that its request was not executed.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// recordFailure records a server's failure, unless the attempt was cancelled because the
// caller is gone or another attempt was answered, or there was no permit for it.
func (g *Gateway) recordFailure(ctx context.Context, u *reservation, err error) {
	if errors.Is(ctx.Err(), context.Canceled) || withoutPermit(err) {
		return
	}
	u.failed(string(outcome.AsError(err).Reason))
}

func (g *Gateway) request(c Call, u *reservation) backend.Request {
	d := g.c.Dialect
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h[d.ExpectedIncarnation] = []string{u.s.ID}
	delete(h, http.CanonicalHeaderKey(d.Deadline))
	return backend.Request{
		Server: u.s.ID, Address: u.s.Address, Born: u.s.Born, Method: c.Method, Target: c.Target, Host: c.Host,
		ID: c.ID, Header: h, Body: c.Body, Deadline: c.Deadline,
	}
}

// readAnswer reads an answer into memory. Of a stream nothing is read, and of a long answer
// only the beginning; Rest yields the remainder.
func readAnswer(c Call, r *backend.Response) (*Answer, error) {
	a := &Answer{Status: r.Status, Header: r.Header}
	if r.Status == http.StatusInternalServerError {
		a.ServerErrors = 1
	}
	if c.Route.Kind == routetable.KindStream {
		a.Rest = r
		return a, nil
	}
	b, err := io.ReadAll(io.LimitReader(r, maxBufferedBytes))
	if err != nil {
		return nil, err
	}
	a.Body = b
	if len(b) == maxBufferedBytes {
		a.Rest = r
	}
	return a, nil
}
