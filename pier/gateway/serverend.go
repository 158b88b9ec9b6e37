package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/quarantine"
)

const (
	// endCheckTimeout bounds the check whether a server has ended, which delays the next
	// attempt of a request.
	endCheckTimeout = 100 * time.Millisecond
	// endCheckMaxAge is how long the result of a check is used. A server needs longer to
	// start again.
	endCheckMaxAge = 300 * time.Millisecond
)

// evidence is what a check of a server after a lost connection has shown. It is also a label
// value.
type evidence string

const (
	// evidenceRefused means that nothing listens at the server's address any more, so the
	// server has ended; evidenceListening that something does, so only the connection broke.
	evidenceRefused   evidence = "refused"
	evidenceListening evidence = "listening"
	// evidenceUnclear means that the address cannot be reached.
	evidenceUnclear evidence = "unclear"
	// evidenceLeaving means that the server was known to be leaving, so its end is no crash.
	evidenceLeaving evidence = "leaving"
)

// serverEnds finds out whether a server has ended when a connection to it was lost. It is
// safe for concurrent use.
type serverEnds struct {
	g  *Gateway
	mu sync.Mutex
	// checks holds the newest check of each incarnation.
	checks map[directory.Incarnation]*endCheck
}

// endCheck is one check, which all requests share that lost their connections at that time.
type endCheck struct {
	began time.Duration
	// done is closed once evidence is set.
	done     chan struct{}
	evidence evidence
}

func newServerEnds(g *Gateway) *serverEnds {
	return &serverEnds{g: g, checks: make(map[directory.Incarnation]*endCheck)}
}

// check reports what shows whether a server has ended, and logs it for a request that lost its
// connection there.
func (e *serverEnds) check(c *Call, s directory.Server, err error) evidence {
	began := boottime.Now()
	v := e.evidence(s)
	e.g.metrics.serverEnds.WithLabelValues(string(v)).Inc()
	e.g.log.Info("request: connection lost while a server ran it", zap.String("id", c.ID),
		zap.Stringer("request-key", c.key()), zap.String("server", s.ID), zap.String("evidence", string(v)),
		zap.String("reason", string(outcome.AsError(err).Reason)), zap.Duration("checked-in", boottime.Now()-began))
	return v
}

func (e *serverEnds) evidence(s directory.Server) evidence {
	if x, ok := e.g.fleet.server(s.ID); ok && x.Leaving {
		return evidenceLeaving
	}
	k := e.start(s)
	<-k.done
	return k.evidence
}

// start returns the check in progress, or one that was made shortly before, and starts one if
// there is none.
func (e *serverEnds) start(s directory.Server) *endCheck {
	now := boottime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if k := e.checks[s.Incarnation()]; k != nil && now-k.began < endCheckMaxAge {
		return k
	}
	maps.DeleteFunc(e.checks, func(_ directory.Incarnation, k *endCheck) bool { return now-k.began >= endCheckMaxAge })
	k := &endCheck{began: now, done: make(chan struct{})}
	e.checks[s.Incarnation()] = k
	e.g.wg.Go(func() {
		defer close(k.done)
		k.evidence = e.probe(s)
	})
	return k
}

func (e *serverEnds) probe(s directory.Server) evidence {
	ctx, cancel := context.WithTimeout(e.g.ctx, endCheckTimeout)
	defer cancel()
	listening, err := e.g.pool.Listening(ctx, s.Address)
	switch {
	case err != nil:
		return evidenceUnclear
	case listening:
		return evidenceListening
	}
	return evidenceRefused
}

// mayShowEnd reports whether the reason of a failed attempt can mean that the server ended.
func mayShowEnd(err error) bool {
	if err == nil {
		return false
	}
	e := outcome.AsError(err)
	return e.Outcome == outcome.Unknown && (e.Reason == outcome.ReasonConnectionLost || e.Reason == outcome.ReasonShortAnswer)
}

// key returns what identifies the request when it comes again.
func (c *Call) key() quarantine.Key {
	return quarantine.KeyOf(quarantine.Identity{
		Host: c.Host, Method: c.Method, Target: c.Target, Caller: c.Caller, Body: c.Body,
	})
}
