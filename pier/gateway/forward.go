package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/directory"
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
	// discardTimeout bounds the time in which the body of a rejection has to follow its header.
	discardTimeout = 500 * time.Millisecond
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
	// HoldBody, if not nil, is called before each attempt at a server. The attempt uses Body until it calls the function
	// that HoldBody returned, which may be after the call's answer was closed: another server may have answered.
	HoldBody func() (release func())
	// Organisation is the name of the organisation on behalf of which the request is made, empty if there is none.
	Organisation string
	// counted is shared by all attempts; it is nil if the request is in no usage report.
	counted *atomic.Bool
	// Caller is the credential that the caller presented, empty if there is none.
	Caller string
	// Allowed, if not nil, returns a refusal once the caller's key is not valid any more. It is called right before
	// the request is sent to a server.
	Allowed func() error
	// inTime, if not nil, returns a refusal once this host shuts down and the answer might not be complete in time. It
	// is called right before the request is sent to a server.
	inTime func() error
	// Deadline is the earlier of the caller's deadline and the route's timeout.
	Deadline time.Time
	// Purpose is PurposeCall or PurposeScore.
	Purpose backend.Purpose
	// OnStatus, if not nil, is called with the status of the answer of each server that ran the
	// request, whichever answer is returned in the end. It must be safe for concurrent use.
	OnStatus func(status int)
}

// deferrable reports whether the call can come again later: a sample waits for its score, but
// no caller does.
func (c *Call) deferrable() bool { return c.Purpose == backend.PurposeScore }

// holdBody calls HoldBody.
func (c *Call) holdBody() (release func()) {
	if c.HoldBody == nil {
		return func() {}
	}
	return c.HoldBody()
}

// observeStatus tells the caller of an answer, unless it states that the server did not run the
// request.
func (c *Call) observeStatus(r *backend.Response) {
	if c.OnStatus != nil && !r.NotRun() {
		c.OnStatus(r.Status)
	}
}

// limitWait returns how long the call may wait for a server whose limit is used up, or for the
// trial of a request like it: until there is just time left for an answer. A call to a scorer waits only briefly and comes
// again later, so that callers' requests find no long queue before them.
func (c *Call) limitWait(now time.Time) time.Duration {
	left := c.Deadline.Sub(now)
	if c.deferrable() {
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
	// Server is the server that answered. If it is not known which of its incarnations did,
	// unconfirmedSince is a time at which that one was running.
	Server           directory.Server
	unconfirmedSince time.Time
	// Rest reads the rest of the body. Close must be called.
	Rest  io.Reader
	close func()
	// buffer holds what was read of Rest; nil if Rest is.
	buffer *answerBuffer
	// taken is the number of bytes that Body takes from the host's memory.
	taken int64
	// mayBeEndless is set if nothing shows that Rest ends: its length is not stated, and no answer like it
	// of this server has ended before.
	mayBeEndless bool
}

// Close releases the server.
func (a *Answer) Close() {
	if a.close != nil {
		a.close()
	}
}

// afterClose has Close call f as well, after what it does already.
func (a *Answer) afterClose(f func()) {
	closed := a.close
	a.close = func() {
		if closed != nil {
			closed()
		}
		f()
	}
}

// closeBuffer ends the reading of the answer on behalf of a slow caller, if there is one.
func (a *Answer) closeBuffer() {
	if a.buffer != nil {
		a.buffer.close()
	}
}

// readRest reads the answer to its end. Its error shows that the answer broke off.
func (a *Answer) readRest() error {
	if a.Rest == nil {
		return nil
	}
	_, err := io.Copy(io.Discard, a.Rest)
	return err
}

// Do sends a plain request to a server, and to others as far as the route's kind and number
// of attempts allow. Errors are of type *outcome.Error; the outcome is not-run only if no
// server can have executed the request.
func (g *Gateway) Do(ctx context.Context, c Call) (*Answer, error) {
	start := time.Now()
	a, err := g.admitted(ctx, c)
	if err != nil {
		e := outcome.AsError(err)
		g.metrics.refusals.WithLabelValues(string(e.Reason)).Inc()
		level := zap.InfoLevel
		if c.deferrable() && e.Outcome == outcome.NotRun {
			level = zap.DebugLevel
		}
		g.log.Log(level, "request: not answered", zap.String("id", c.ID), zap.String("route", c.Route.Name),
			zap.String("reason", string(e.Reason)), zap.String("outcome", string(e.Outcome)),
			zap.String("at", e.Detail), zap.Duration("after", time.Since(start)))
		return nil, e
	}
	g.metrics.plain.Observe(time.Since(start).Seconds())
	if a.buffer != nil {
		a.buffer.start()
	}
	return a, nil
}

// admitted sends a request that may begin, which lasts until its answer is closed. A call to a
// scorer always may: no caller waits for its answer.
func (g *Gateway) admitted(ctx context.Context, c Call) (*Answer, error) {
	if c.deferrable() {
		return g.untilDeadline(ctx, c)
	}
	r, err := g.drain.admit(&c)
	if err != nil {
		return nil, err
	}
	a, err := g.untilDeadline(ctx, c)
	if err != nil {
		r.End(time.Now())
		return nil, err
	}
	a.afterClose(func() { r.End(time.Now()) })
	if err := r.checkAnswer(a); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}

// untilDeadline sends a request, which ends with its answer or at its deadline.
func (g *Gateway) untilDeadline(ctx context.Context, c Call) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	a, err := g.attempts(ctx, c)
	if err != nil {
		cancel()
		return nil, err
	}
	a.afterClose(cancel)
	return a, nil
}

// attempt sends a call to one server, as the request q. more is set if another attempt may
// follow.
func (g *Gateway) attempt(ctx context.Context, c Call, q backend.Request, u *reservation, more bool) (*Answer, error) {
	idempotent := c.Route.Kind == routetable.KindIdempotent
	n := g.usage.begin(&c, &q)
	r, err := g.pool.Do(ctx, q)
	n.ended(r, err)
	if err != nil {
		g.recordFailure(ctx, u, err)
		u.release()
		return nil, err
	}
	u.observeLoad(r)
	c.observeStatus(r)
	end := func() { r.Close(); u.release() }
	switch {
	case r.NotRun():
		u.refused(r, busyRetryAfter)
		brokenOff := g.discard(ctx, u, r)
		end()
		return nil, outcome.RefuseWithCause(outcome.ReasonQueueFull, u.s.ID, brokenOff).After(busyRetryAfter)
	case r.Status >= http.StatusInternalServerError && idempotent && more:
		brokenOff := g.discard(ctx, u, r)
		end()
		return nil, outcome.Ambiguous(outcome.ReasonServerError, u.s.ID, brokenOff)
	case !idempotent && impliesNotRun(r.Status):
		end()
		return nil, outcome.Ambiguous(outcome.ReasonServerError, u.s.ID, nil)
	}
	u.accepted()
	a, err := g.readAnswer(ctx, c, u, r)
	if err != nil {
		end()
		if outcome.HasReason(err, outcome.ReasonAnswerTooLarge) {
			return nil, err
		}
		return nil, bodyError(u.s.ID, err)
	}
	a.close = func() {
		a.closeBuffer()
		end()
		g.memory.Give(a.taken)
	}
	a.Rest = n.body(a.Rest, a.Status)
	a.Server, a.unconfirmedSince = u.s, r.UnconfirmedSince()
	return a, nil
}

// discard reads the short body of a rejection to its end, so that its connection can be reused. Its error
// shows that the body does not end or broke off, which counts as a failure of the server; closing the
// response closes the connection then.
func (g *Gateway) discard(ctx context.Context, u *reservation, r *backend.Response) error {
	err := r.Discard(maxBufferedBytes, discardTimeout)
	if err != nil {
		g.recordFailure(ctx, u, bodyError(u.s.ID, err))
	}
	return err
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
	if errors.Is(ctx.Err(), context.Canceled) || withheld(err) {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		u.absent()
	}
	e := outcome.AsError(err)
	if e.Reason == outcome.ReasonMalformedAnswer {
		g.log.Info("servers: malformed answer", zap.String("server", u.s.ID), zap.String("at", e.Detail))
	}
	u.failed(string(e.Reason))
}

func (g *Gateway) request(c *plainCall, u *reservation) backend.Request {
	d := g.c.Dialect
	h := c.Header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h[d.ExpectedIncarnation] = []string{u.s.ID}
	delete(h, http.CanonicalHeaderKey(d.Deadline))
	g.identify(h, c.Route, c.Organisation, c.kind())
	return backend.Request{
		Server: u.s.ID, Address: u.s.Address, Born: u.s.Born, Method: c.Method, Target: c.Target, Host: c.Host,
		ID: c.ID, Header: h, Body: c.Body, Deadline: c.Deadline, MaxIdle: g.maxIdle(u.s.Service),
		SameIncarnation: c.Route.Kind == routetable.KindStream && g.isEngine(u.s.Service), Continues: c.writer.Known(),
		Check: func() error { return c.check(u) },
	}
}

// isEngine reports whether the servers of a service are engines, which state when they started.
func (g *Gateway) isEngine(service string) bool {
	t := g.Table()
	return t != nil && t.Services[service] != nil && t.Services[service].IsEngine()
}

// maxIdle returns how many idle connections this host keeps to a server of a service, as
// backend.Request.MaxIdle: an even share of what the server accepts from all hosts together.
// Only hosts that hold partitions are counted. With more hosts than partitions, all shares
// together can be more than the server accepts.
func (g *Gateway) maxIdle(service string) int {
	t := g.Table()
	if t == nil || t.Services[service] == nil || t.Services[service].MaxConns <= 0 {
		return 0
	}
	share := t.Services[service].MaxConns / max(int(g.limits.hosts.Load()), 1)
	if share == 0 {
		return -1
	}
	return share
}

// readAnswer reads an answer into memory. Of a stream nothing is read, and of a long answer
// only the beginning; Rest yields the remainder. Without memory for it, nothing is read.
func (g *Gateway) readAnswer(ctx context.Context, c Call, u *reservation, r *backend.Response) (*Answer, error) {
	body, err := g.newAnswerBody(ctx, &c, u, r)
	if err != nil {
		return nil, err
	}
	a := &Answer{Status: r.Status, Header: r.Header}
	bufferRest := func() {
		a.buffer = newAnswerBuffer(body, body.abort, u.s.ID, g.unread, func(result string) {
			g.metrics.slowCallers.WithLabelValues(result).Inc()
		})
		a.Rest = a.buffer
	}
	if body.stream {
		bufferRest()
		return a, nil
	}
	most := int64(maxBufferedBytes)
	if r.BodyLength >= 0 {
		most = min(most, r.BodyLength+1)
	}
	if !g.memory.Take(most) {
		bufferRest()
		return a, nil
	}
	b, err := io.ReadAll(io.LimitReader(body, maxBufferedBytes))
	g.memory.Give(most - int64(len(b)))
	a.taken = int64(len(b))
	if err != nil {
		g.memory.Give(a.taken)
		return nil, err
	}
	a.Body = b
	if len(b) == maxBufferedBytes {
		a.mayBeEndless = body.long() && !u.endsLong()
		bufferRest()
	}
	return a, nil
}
