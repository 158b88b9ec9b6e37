package gateway

import (
	"context"
	"net/netip"
	"time"

	"mulberrypier.example/pier/directory"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/serverlimit"
)

// A server's limit holds for all hosts together, and no host sees the total. So before a
// host sends a request to a server with a limit, it asks one host, the server's coordinator,
// for a permit. Package serverlimit decides who that is and what it grants.

const (
	// permitLifetime is how long a permit may be used, from before it was asked for or, if
	// the request had to wait, from the end of the wait. A host that was suspended in between
	// does not send the request.
	permitLifetime = 500 * time.Millisecond
	// permitTimeout bounds the time for asking a coordinator.
	permitTimeout = 250 * time.Millisecond
	// coordinatorRetryDelay is how long a coordinator that did not answer is not asked.
	coordinatorRetryDelay = time.Second
	// noCoordinatorDelay is how long no request is sent to a server whose coordinator and
	// deputy did not answer.
	noCoordinatorDelay = 200 * time.Millisecond
	// maxFullTime bounds how long a host does not ask for a server that grants no request: the limit
	// may have ended meanwhile, as the coordinator learns from others.
	maxFullTime = time.Second
	// askingDelay is how long a request that may not wait for a permit keeps away from a
	// server for which another request of this host is asking.
	askingDelay = 10 * time.Millisecond
)

// kindPermit is the kind of a message that asks for a permit.
const kindPermit = kindLogCall + 1

// permitRequest asks for a permit, or tells a coordinator that a limit has ended. Times are relative,
// since the clocks of hosts differ.
type permitRequest struct {
	Server    directory.Incarnation `msgpack:"s"`
	PerSecond float64               `msgpack:"p"`
	// StatedAgo is the time since the server stated the limit or, if Ended is set, since the
	// request was sent whose answer stated none.
	StatedAgo time.Duration `msgpack:"a"`
	MaxWait   time.Duration `msgpack:"w"`
	// Ended is set if the limit has ended. PerSecond is then no limit, so that a host that does
	// not know the field refuses the request.
	Ended bool `msgpack:"e,omitempty"`
}

// noLimit is the PerSecond of a permitRequest that names no limit.
const noLimit = -1

// permitAnswer is the answer to a permitRequest, with the fields of a serverlimit.Grant.
type permitAnswer struct {
	Granted bool          `msgpack:"g"`
	Wait    time.Duration `msgpack:"w"`
}

// The results of asking for a permit, as label values.
const (
	permitGranted = "granted"
	permitRefused = "refused"
	// permitKnownFull counts requests for which no permit was asked, as one was refused
	// shortly before; permitUnanswered those for which no coordinator answered.
	permitKnownFull  = "known-full"
	permitUnanswered = "unanswered"
	// permitUnused counts granted permits whose request ended before it could be sent.
	permitUnused = "unused"
)

// admit asks for a permit if the server of a request has a limit, and waits until the request
// may be sent.
func (l *limits) admit(ctx context.Context, q *backend.Request) (backend.Admission, error) {
	if l.known.Load() == 0 {
		return backend.Admission{}, nil
	}
	s := limitKey(q)
	asked := boottime.Now()
	limit, limited, full := l.startAsk(s, q.LimitWait, asked)
	if !limited {
		return backend.Admission{}, nil
	}
	if full > q.LimitWait {
		l.g.metrics.permits.WithLabelValues(permitKnownFull).Inc()
		return backend.Admission{}, outcome.Refuse(outcome.ReasonServerLimit, s.ID).After(full)
	}
	a, err := l.ask(ctx, serverlimit.Ask{Server: s, Limit: limit, MaxWait: q.LimitWait})
	l.endAsk(s)
	if err != nil {
		l.g.metrics.permits.WithLabelValues(permitUnanswered).Inc()
		l.g.log.Info("servers: no permit, no coordinator answered", zap.String("id", q.ID),
			zap.String("server", s.ID), zap.Error(err))
		return backend.Admission{}, l.refuse(s, noCoordinatorDelay)
	}
	if !a.Granted {
		l.g.metrics.permits.WithLabelValues(permitRefused).Inc()
		return backend.Admission{}, l.refuse(s, a.Wait)
	}
	l.g.metrics.permits.WithLabelValues(permitGranted).Inc()
	if err := l.g.drain.waitToSend(ctx, a.Wait, q); err != nil {
		l.g.metrics.permits.WithLabelValues(permitUnused).Inc()
		return backend.Admission{}, err
	}
	return backend.Admission{Limited: true, At: asked, Until: asked + a.Wait + permitLifetime}, nil
}

// startAsk returns the limit of a server, and for how long this host asks for no permit for
// a request that may wait for maxWait. If that is not too long, endAsk must be called. Of
// requests that may not wait, one at a time asks.
func (l *limits) startAsk(s directory.Incarnation, maxWait, now time.Duration) (limit serverlimit.Limit, limited bool, full time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, limited = l.book.Limit(s); !limited {
		return limit, false, 0
	}
	full = l.book.Wait(s, now)
	if maxWait == 0 && l.asking[s] > 0 {
		full = max(full, askingDelay)
	}
	if full <= maxWait {
		l.asking[s]++
	}
	return limit, true, full
}

// endAsk records that a request asks for a permit no more.
func (l *limits) endAsk(s directory.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asking[s]--; l.asking[s] == 0 {
		delete(l.asking, s)
	}
}

// withheld reports whether this host did not send a request for a reason that says nothing about
// the server's health, such as a permit that it had not.
func withheld(err error) bool {
	e := outcome.AsError(err)
	if e == nil {
		return false
	}
	switch e.Reason {
	case outcome.ReasonServerLimit, outcome.ReasonPermitExpired, outcome.ReasonUnconfirmed, outcome.ReasonServerLeft,
		outcome.ReasonQuarantined, outcome.ReasonDraining, outcome.ReasonUnauthorized, outcome.ReasonStaleConfiguration:
		return true
	}
	return false
}

// refuse records that no request to a server is granted for some time, and returns the error
// of one that was not.
func (l *limits) refuse(s directory.Incarnation, wait time.Duration) error {
	l.mu.Lock()
	l.book.SetFull(s, boottime.Now()+min(wait, maxFullTime))
	l.mu.Unlock()
	return outcome.Refuse(outcome.ReasonServerLimit, s.ID).After(wait)
}

// ask asks the server's coordinator, or its deputy if that one does not answer.
func (l *limits) ask(ctx context.Context, q serverlimit.Ask) (serverlimit.Grant, error) {
	l.readRoster(ctx)
	l.mu.Lock()
	first, deputy := l.roster.Coordinators(q.Server.ID)
	l.mu.Unlock()
	err := error(outcome.Refuse(outcome.ReasonNotOwner, "no list of hosts"))
	for _, h := range []string{first, deputy} {
		if h == "" {
			continue
		}
		var a serverlimit.Grant
		if a, err = l.askHost(ctx, h, q); err == nil {
			return a, nil
		}
	}
	return serverlimit.Grant{}, err
}

// askHost asks one host, which may be this one.
func (l *limits) askHost(ctx context.Context, host string, q serverlimit.Ask) (serverlimit.Grant, error) {
	if host == l.g.hostID() {
		return l.grant(q)
	}
	a, ok := peerAddress(host)
	if !ok {
		return serverlimit.Grant{}, outcome.Refuse(outcome.ReasonBadRequest, "name of a host")
	}
	now := boottime.Now()
	if l.failing(a, now) {
		return serverlimit.Grant{}, outcome.Refuse(outcome.ReasonUnreachable, "coordinator "+host)
	}
	l.g.peerLog.keepOpen(a, now)
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	m := permitRequest{Server: q.Server, PerSecond: q.Limit.PerSecond, StatedAgo: now - q.Limit.StatedAt, MaxWait: q.MaxWait}
	var r permitAnswer
	if err := l.g.peers.Call(ctx, a, kindPermit, &m, &r); err != nil {
		e := outcome.AsError(err)
		requestEnded := ctx.Err() != nil && boottime.Now()-now < permitTimeout
		if !e.Remote && !requestEnded {
			l.setFailing(a, now)
		}
		return serverlimit.Grant{}, e
	}
	return serverlimit.Grant{Granted: r.Granted, Wait: r.Wait}, nil
}

// failing reports whether a coordinator did not answer shortly before.
func (l *limits) failing(a netip.AddrPort, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.failedAt[a]
	return ok && now-t < coordinatorRetryDelay
}

func (l *limits) setFailing(a netip.AddrPort, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for x, t := range l.failedAt {
		if now-t >= coordinatorRetryDelay {
			delete(l.failedAt, x)
		}
	}
	l.failedAt[a] = now
}

// answer answers a permitRequest of another host.
func (l *limits) answer(r *peer.Request) (any, error) {
	var m permitRequest
	if err := peer.Decode(r.Body, &m); err != nil {
		return nil, err
	}
	at := boottime.Now() - max(m.StatedAgo, 0)
	if m.Ended {
		l.learnEnd(m.Server, at)
		return &permitAnswer{}, nil
	}
	if !isLimit(m.PerSecond) {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "limit")
	}
	q := serverlimit.Ask{
		Server: m.Server, MaxWait: m.MaxWait,
		Limit: serverlimit.Limit{PerSecond: m.PerSecond, StatedAt: at},
	}
	if l.ended(q.Server, q.Limit) {
		// The answer to the request shows the other host that the limit has ended.
		return &permitAnswer{Granted: true}, nil
	}
	l.learn(q.Server, q.Limit)
	l.refreshRoster()
	a, err := l.grant(q)
	if err != nil {
		return nil, err
	}
	return &permitAnswer{Granted: a.Granted, Wait: a.Wait}, nil
}

// learn applies what another host knows of a server's limit.
func (l *limits) learn(s directory.Incarnation, limit serverlimit.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, _ := l.book.Limit(s)
	l.changed(s, l.book.Learn(s, limit), before)
	l.known.Store(int64(l.book.Len()))
}

// learnEnd applies what another host knows of the end of a server's limit.
func (l *limits) learnEnd(s directory.Incarnation, sent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, _ := l.book.Limit(s)
	l.changed(s, l.book.LearnEnd(s, sent), before)
	l.known.Store(int64(l.book.Len()))
}

func (l *limits) ended(s directory.Incarnation, limit serverlimit.Limit) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.book.Ended(s, limit)
}

// tellEnd tells the server's coordinator and its deputy that its limit has ended, which the answer to
// a request has shown that was sent at sent: with many hosts, each would otherwise wait for a permit
// of its own to learn it.
func (l *limits) tellEnd(s directory.Incarnation, sent time.Duration) {
	l.mu.Lock()
	first, deputy := l.roster.Coordinators(s.ID)
	l.mu.Unlock()
	for _, h := range []string{first, deputy} {
		a, ok := peerAddress(h)
		if !ok || h == l.g.hostID() {
			continue
		}
		ctx, cancel := context.WithTimeout(l.g.ctx, permitTimeout)
		m := permitRequest{Server: s, PerSecond: noLimit, StatedAgo: boottime.Now() - sent, Ended: true}
		err := l.g.peers.Call(ctx, a, kindPermit, &m, nil)
		cancel()
		if err != nil {
			l.g.log.Info("servers: coordinator could not be told of the end of a limit",
				zap.String("server", s.ID), zap.String("coordinator", h), zap.Error(err))
		}
	}
}

// grant decides as a coordinator. The error has the reason not-owner if this host is not one
// of the server's.
func (l *limits) grant(q serverlimit.Ask) (serverlimit.Grant, error) {
	now := boottime.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	share := l.roster.Share(q.Server.ID, now)
	if share == 0 {
		return serverlimit.Grant{}, outcome.Refuse(outcome.ReasonNotOwner, "limit of "+q.Server.ID)
	}
	l.logShare(q, share)
	l.announce(q, now)
	return l.buckets.Ask(q, share, now), nil
}

// logShare logs which part of a server's limit this host grants, when that changes. The
// caller holds mu.
func (l *limits) logShare(q serverlimit.Ask, share float64) {
	if l.shares[q.Server] == share {
		return
	}
	l.shares[q.Server] = share
	l.g.log.Info("servers: this host grants the server's limit", zap.String("server", q.Server.ID),
		zap.Float64("per-second", q.Limit.PerSecond), zap.Float64("share", share), zap.Int("hosts", l.roster.Len()))
}
