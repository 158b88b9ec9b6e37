package gateway

import (
	"context"
	"maps"
	"slices"
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
	// givenUpMemory is how long after a call was given up at a server an end of the server may be
	// due to it: the registration of a server that ended is removed after some seconds.
	givenUpMemory = 6 * time.Second
	// maxGivenUp bounds the calls that are remembered for that; the oldest are dropped.
	maxGivenUp = 1000
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
	// givenUp holds the calls that were given up while a server ran them, the oldest first.
	givenUp []givenUpCall
}

// givenUpCall is a call that got no answer from a server, of which it is not known whether it ended.
type givenUpCall struct {
	id     string
	key    quarantine.Key
	server directory.Server
	at     time.Duration
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
func (e *serverEnds) check(c *plainCall, s directory.Server, err error) evidence {
	began := boottime.Now()
	v := e.evidence(s)
	e.g.metrics.serverEnds.WithLabelValues(string(v)).Inc()
	e.g.log.Info("request: connection lost while a server ran it", zap.String("id", c.ID),
		zap.Stringer("request-key", c.key()), zap.String("server", s.ID), zap.String("evidence", string(v)),
		zap.String("reason", string(outcome.AsError(err).Reason)), zap.Duration("checked-in", boottime.Now()-began))
	if v == evidenceRefused {
		e.gone(s)
	}
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

// remember has the end of a server put down to a call if the server is found to have ended soon.
func (e *serverEnds) remember(c *plainCall, s directory.Server) {
	k := c.key()
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.givenUp) >= maxGivenUp {
		e.givenUp = e.givenUp[1:]
	}
	e.givenUp = append(e.givenUp, givenUpCall{id: c.ID, key: k, server: s, at: boottime.Now()})
}

// hasGivenUp reports whether calls are remembered.
func (e *serverEnds) hasGivenUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.givenUp) > 0
}

// gone records that servers have ended, and tells all hosts of the calls that were given up
// there shortly before.
func (e *serverEnds) gone(servers ...directory.Server) {
	ended := make(map[directory.Incarnation]bool)
	for _, s := range servers {
		ended[s.Incarnation()] = true
	}
	for _, d := range e.takeGivenUp(ended) {
		e.g.suspects.tellEnd(d.key, d.server)
		e.g.log.Info("request: server ended after the request was given up there", zap.String("id", d.id),
			zap.Stringer("request-key", d.key), zap.String("server", d.server.ID), zap.Duration("age", boottime.Now()-d.at))
	}
}

// takeGivenUp removes and returns the calls that were given up at servers that have ended, and
// drops those that are too old.
func (e *serverEnds) takeGivenUp(ended map[directory.Incarnation]bool) []givenUpCall {
	now := boottime.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var taken []givenUpCall
	e.givenUp = slices.DeleteFunc(e.givenUp, func(d givenUpCall) bool {
		old := now-d.at >= givenUpMemory
		if !old && ended[d.server.Incarnation()] {
			taken = append(taken, d)
		}
		return old || ended[d.server.Incarnation()]
	})
	return taken
}

// mayShowEnd reports whether the reason of a failed attempt can mean that the server ended.
func mayShowEnd(err error) bool {
	e := outcome.AsError(err)
	if e == nil || e.Outcome != outcome.Unknown {
		return false
	}
	switch e.Reason {
	case outcome.ReasonConnectionLost, outcome.ReasonShortAnswer, outcome.ReasonMalformedAnswer:
		return true
	}
	return false
}
