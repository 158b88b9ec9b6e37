package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

const (
	// bufferMost is the longest answer that is read whole before it is passed on, so
	// that one which breaks off can still be asked of another server.
	maxBufferedBytes = 256 << 10
	// hedgeFactor is the part of its route's objective that an idempotent request
	// may take at one server before a second one is asked as well.
	hedgeFactor = 0.6
	// busyPause is when a caller may come back to servers that had no room.
	busyRetryAfter = 200 * time.Millisecond
	// awayPause is when a caller may come back to a host that cannot reach the log
	// or knows no server.
	unavailableRetryAfter = time.Second
)

// Call is a plain request.
type Call struct {
	Route  *routetable.Route
	Method string
	// Target is the path and query, passed on as it is.
	Target string
	Host   string
	ID     string
	Header http.Header
	Body   []byte
	// Deadline is when the caller or the route's timeout gives up.
	Deadline time.Time
}

// Answer is a server's answer to a plain request.
type Answer struct {
	Status int
	Header http.Header
	// Body is the whole body, or its beginning when Rest is set.
	Body []byte
	// Failed is the number of servers that answered with an error of their own, this
	// one included.
	Failed int
	// Rest is the body that is still to come. Close must be called.
	Rest  io.Reader
	close func()
}

// Close ends the use of the server.
func (a *Answer) Close() {
	if a.close != nil {
		a.close()
	}
}

// Do sends a plain request to a server, and to others while the route's kind and
// the number of attempts allow it. An error is an *outcome.Error; it is not-run
// only if no server can have executed the request.
func (g *Gateway) Do(ctx context.Context, c Call) (*Answer, error) {
	began := time.Now()
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	a, err := g.attempts(ctx, c)
	if err != nil {
		cancel()
		e := outcome.From(err)
		g.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
		g.log.Info("request: not answered", zap.String("id", c.ID), zap.String("route", c.Route.Name),
			zap.String("reason", string(e.Reason)), zap.String("outcome", string(e.Outcome)),
			zap.String("at", e.Detail), zap.Duration("after", time.Since(began)))
		return nil, e
	}
	done := a.close
	a.close = func() {
		if done != nil {
			done()
		}
		cancel()
	}
	g.metrics.plain.Observe(time.Since(began).Seconds())
	return a, nil
}

// try is one request to one server.
type serverAttempt struct {
	u      *reservation
	answer *Answer
	err    error
	cancel context.CancelFunc
}

// attempts tries one server after the other. An idempotent request that is slow
// at one server is sent to a second one as well, and the first answer counts.
func (g *Gateway) attempts(ctx context.Context, c Call) (*Answer, error) {
	s := plainDispatch{g: g, c: c, service: c.Route.Pick(xxhash.Sum64String(c.ID)), tried: make(map[string]bool)}
	s.endedAttempts = make(chan *serverAttempt, c.Route.Attempts+1)
	s.last = outcome.Refuse(outcome.ReasonNoServer, s.service).After(unavailableRetryAfter)
	s.hedge = time.NewTimer(time.Hour)
	defer s.hedge.Stop()
	s.send(ctx)
	for s.pending > 0 {
		select {
		case t := <-s.endedAttempts:
			s.pending--
			if t.err == nil {
				s.cancelOthers(t)
				t.answer.Failed += s.errors
				return t.answer, nil
			}
			if s.mayRetry(t) {
				s.send(ctx)
			}
		case <-s.hedge.C:
			g.metrics.retries.WithLabelValues(reasonSlow).Inc()
			s.send(ctx)
		}
	}
	switch {
	case s.failed == nil:
		return nil, s.last
	case ctx.Err() != nil:
		return nil, outcome.Lost(outcome.ReasonDeadline, s.service, ctx.Err())
	}
	return nil, s.failed
}

// reasonSlow labels the requests that were sent to a second server.
const reasonSlow = "slow"

// spread is a plain request on its way to one server or several.
type plainDispatch struct {
	g        *Gateway
	c        Call
	service  string
	tried    map[string]bool
	attempts []*serverAttempt
	// open counts the tries without an end; sent those that may have run.
	pending, sent int
	// errors counts the servers that answered with an error of their own.
	errors        int
	endedAttempts chan *serverAttempt
	hedge         *time.Timer
	// failed is the newest failure of a try that may have run, last any.
	failed, last *outcome.Error
}

func (s *plainDispatch) idempotent() bool { return s.c.Route.Kind == routetable.KindIdempotent }

// send starts a try at a server that had none yet, if the route allows it.
func (s *plainDispatch) send(ctx context.Context) {
	if ctx.Err() != nil || s.sent >= s.c.Route.Attempts {
		return
	}
	u, ok := s.g.fleet.pickServer(s.service, s.tried)
	if !ok {
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
		t.answer, t.err = s.g.attempt(attemptCtx, s.c, u, more)
		s.endedAttempts <- t
	}()
	if s.idempotent() && more && s.c.Route.Objective > 0 {
		s.hedge.Reset(time.Duration(hedgeFactor * float64(s.c.Route.Objective)))
	}
}

// again takes a failed try and reports whether another may follow.
func (s *plainDispatch) mayRetry(t *serverAttempt) bool {
	t.cancel()
	s.last = outcome.From(t.err)
	s.g.metrics.retries.WithLabelValues(string(s.last.Reason)).Inc()
	s.g.log.Debug("request: attempt failed", zap.String("id", s.c.ID), zap.String("server", t.u.s.ID), zap.String("reason", string(s.last.Reason)))
	if s.last.Outcome == outcome.NotRun {
		s.sent--
		return true
	}
	s.failed = s.last
	if s.last.Reason == outcome.ReasonServerError {
		s.errors++
	}
	return s.idempotent()
}

// drop ends all tries but the one whose answer counts.
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

// attempt sends the request to one server. With more set, another server may be
// tried after it.
func (g *Gateway) attempt(ctx context.Context, c Call, u *reservation, more bool) (*Answer, error) {
	idempotent := c.Route.Kind == routetable.KindIdempotent
	r, err := g.pool.Do(ctx, g.request(c, u))
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
		return nil, outcome.Lost(outcome.ReasonServerError, u.s.ID, nil)
	case !idempotent && impliesNotRun(r.Status):
		end()
		return nil, outcome.Lost(outcome.ReasonServerError, u.s.ID, nil)
	}
	u.accepted()
	a, err := readAnswer(c, r)
	if err != nil {
		g.recordFailure(ctx, u, err)
		end()
		return nil, outcome.Lost(outcome.ReasonShortAnswer, u.s.ID, err)
	}
	u.succeeded()
	a.close = end
	return a, nil
}

// discard reads a short body to its end, so that its connection can be kept.
func discard(r *backend.Response) {
	// A failure shows when the connection is closed instead of kept.
	_, _ = io.Copy(io.Discard, io.LimitReader(r, maxBufferedBytes))
}

// promise reports whether a status tells a caller that its request has not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// blame puts a server behind others unless the caller itself went away.
func (g *Gateway) recordFailure(ctx context.Context, u *reservation, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	u.failed(string(outcome.From(err).Reason))
}

func (g *Gateway) request(c Call, u *reservation) backend.Request {
	d := g.c.Dialect
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h[d.Incarnation] = []string{u.s.ID}
	h[d.Deadline] = []string{strconv.FormatInt(max(time.Until(c.Deadline).Milliseconds(), 1), 10)}
	return backend.Request{
		Server: u.s.ID, Address: u.s.Address, Method: c.Method, Target: c.Target, Host: c.Host,
		ID: c.ID, Header: h, Body: c.Body,
	}
}

// answer reads a plain answer whole; a stream or a long one is left to the caller
// after its beginning.
func readAnswer(c Call, r *backend.Response) (*Answer, error) {
	a := &Answer{Status: r.Status, Header: r.Header}
	if r.Status == http.StatusInternalServerError {
		a.Failed = 1
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
