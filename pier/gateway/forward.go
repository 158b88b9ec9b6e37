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
	bufferMost = 256 << 10
	// slowFactor is how many times its route's objective an idempotent request may
	// take at one server before another is tried.
	slowFactor = 2.5
	// busyPause is when a caller may come back to servers that had no room.
	busyPause = 200 * time.Millisecond
	// awayPause is when a caller may come back to a host that cannot reach the log
	// or knows no server.
	awayPause = time.Second
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
func (g *Gateway) Do(x context.Context, c Call) (*Answer, error) {
	began := time.Now()
	x, stop := context.WithDeadline(x, c.Deadline)
	a, err := g.attempts(x, c)
	if err != nil {
		stop()
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
		stop()
	}
	g.metrics.plain.Observe(time.Since(began).Seconds())
	return a, nil
}

// attempts tries one server after the other.
func (g *Gateway) attempts(x context.Context, c Call) (*Answer, error) {
	service := c.Route.Pick(xxhash.Sum64String(c.ID))
	tried := make(map[string]bool)
	var failed *outcome.Error
	last := outcome.Refuse(outcome.ReasonNoServer, service).After(awayPause)
	for sent := 0; sent < c.Route.Attempts && x.Err() == nil; {
		u, ok := g.fleet.plain(service, tried)
		if !ok {
			break
		}
		tried[u.s.ID] = true
		a, err := g.attempt(x, c, u, sent+1 < c.Route.Attempts)
		if err == nil {
			return a, nil
		}
		last = outcome.From(err)
		if last.Outcome != outcome.NotRun {
			sent++
			failed = last
			if c.Route.Kind != routetable.KindIdempotent {
				break
			}
		}
		g.metrics.retries.WithLabelValues(string(last.Reason)).Inc()
		g.log.Debug("request: attempt failed", zap.String("id", c.ID), zap.String("server", u.s.ID), zap.String("reason", string(last.Reason)))
	}
	if failed == nil {
		return nil, last
	}
	if x.Err() != nil {
		return nil, outcome.Lost(outcome.ReasonDeadline, service, x.Err())
	}
	return nil, failed
}

// attempt sends the request to one server. With more set, another server may be
// tried after it.
func (g *Gateway) attempt(x context.Context, c Call, u *lease, more bool) (*Answer, error) {
	stop := func() {}
	idempotent := c.Route.Kind == routetable.KindIdempotent
	if idempotent && more && c.Route.Objective > 0 {
		x, stop = context.WithTimeout(x, time.Duration(slowFactor*float64(c.Route.Objective)))
	}
	end := func() { stop(); u.done() }
	r, err := g.pool.Do(x, g.request(c, u))
	if err != nil {
		g.blame(u, x, err)
		end()
		return nil, err
	}
	u.observe(r)
	if r.NotRun() {
		u.full(busyPause)
		_, _ = io.Copy(io.Discard, io.LimitReader(r, bufferMost))
		r.Close()
		end()
		return nil, outcome.Refuse(outcome.ReasonQueueFull, u.s.ID).After(busyPause)
	}
	if r.Status >= http.StatusInternalServerError && idempotent && more {
		u.failed("status " + strconv.Itoa(r.Status))
		_, _ = io.Copy(io.Discard, io.LimitReader(r, bufferMost))
		r.Close()
		end()
		return nil, outcome.Lost(outcome.ReasonServerError, u.s.ID, nil)
	}
	if !idempotent && promise(r.Status) {
		r.Close()
		end()
		return nil, outcome.Lost(outcome.ReasonServerError, u.s.ID, nil)
	}
	a, err := answer(c, r)
	if err != nil {
		g.blame(u, x, err)
		r.Close()
		end()
		return nil, outcome.Lost(outcome.ReasonShortAnswer, u.s.ID, err)
	}
	u.served()
	a.close = func() { r.Close(); end() }
	return a, nil
}

// promise reports whether a status tells a caller that its request has not run.
func promise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// blame puts a server behind others unless the caller itself went away.
func (g *Gateway) blame(u *lease, x context.Context, err error) {
	if errors.Is(x.Err(), context.Canceled) {
		return
	}
	u.failed(string(outcome.From(err).Reason))
}

func (g *Gateway) request(c Call, u *lease) backend.Request {
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
func answer(c Call, r *backend.Response) (*Answer, error) {
	a := &Answer{Status: r.Status, Header: r.Header}
	if c.Route.Kind == routetable.KindStream {
		a.Rest = r
		return a, nil
	}
	b, err := io.ReadAll(io.LimitReader(r, bufferMost))
	if err != nil {
		return nil, err
	}
	a.Body = b
	if len(b) == bufferMost {
		a.Rest = r
	}
	return a, nil
}
