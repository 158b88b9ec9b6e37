package gateway

import (
	"context"
	"math"
	"sync"
	"time"

	"mulberrypier.example/pier/directory"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/serverlimit"
)

// A host that never called a server does not know its limit, and with many hosts and servers
// few hosts call the same server twice in a minute. So a server's coordinator tells all hosts
// of the limit. It sends a notice to the holder of the order lease, whose records all hosts
// read, and the holder adds it to its next record.

const (
	// noticeAttempts bounds the attempts to send a notice, noticeRetryDelay is the time
	// between them. A host that is not told learns of the limit from an answer.
	noticeAttempts   = 3
	noticeRetryDelay = 500 * time.Millisecond
	// noticeChange is the change of a limit, as a fraction of the value that was told last,
	// from which on the hosts are told again.
	noticeChange = 0.2
	// noticeLifetime is the time without a question for permits after which a limit counts as
	// a new one.
	noticeLifetime = 5 * time.Second
	// maxNotices bounds the notices in one record, maxWaitingNotices those that wait.
	maxNotices        = 500
	maxWaitingNotices = 20000
	// noticeRecordDelay is the least time between two records that are appended for notices.
	noticeRecordDelay = 200 * time.Millisecond
)

// kindLimitNotice is the kind of a message that tells the holder of the order lease of a
// server's limit. Its body is an orderlease.Limit.
const kindLimitNotice = kindPermit + 1

// announcement is the last notice of a server's limit.
type announcement struct {
	perSecond float64
	// askedAt is when a host last asked for a permit of the server.
	askedAt time.Duration
}

// announce has all hosts told of a limit for which a host asks, if it is new or changed a
// lot. The caller holds mu.
func (l *limits) announce(q serverlimit.Ask, now time.Duration) {
	a, ok := l.announced[q.Server]
	known := ok && now-a.askedAt < noticeLifetime && math.Abs(a.perSecond-q.Limit.PerSecond) <= noticeChange*a.perSecond
	if !known {
		a.perSecond = q.Limit.PerSecond
		go l.sendNotice(q.Server, q.Limit)
	}
	a.askedAt = now
	l.announced[q.Server] = a
}

// sendNotice tells the holder of the order lease of a limit.
func (l *limits) sendNotice(s directory.Incarnation, limit serverlimit.Limit) {
	var err error
	for range noticeAttempts {
		n := orderlease.Limit{
			Server: s.ID, Born: s.Born, PerSecond: limit.PerSecond, StatedAgo: boottime.Now() - limit.StatedAt,
		}
		if err = l.notifyHolder(n); err == nil {
			return
		}
		backoff.Sleep(l.g.ctx, noticeRetryDelay)
	}
	l.g.metrics.limits.WithLabelValues("not-announced").Inc()
	l.g.log.Info("servers: other hosts could not be told of a limit", zap.String("server", s.ID), zap.Error(err))
}

func (l *limits) notifyHolder(n orderlease.Limit) error {
	holder := l.g.orders.notices.leaseHolder()
	if holder == l.g.hostID() {
		return l.g.orders.notices.add(n)
	}
	a, ok := peerAddress(holder)
	if !ok {
		return outcome.Refuse(outcome.ReasonNotOwner, "no holder of the order lease")
	}
	ctx, cancel := context.WithTimeout(l.g.ctx, permitTimeout)
	defer cancel()
	l.g.peerLog.keepOpen(a, boottime.Now())
	return l.g.peers.Call(ctx, a, kindLimitNotice, &n, nil)
}

// answerNotice takes a notice, if this host holds the order lease.
func (g *Gateway) answerNotice(r *peer.Request) (any, error) {
	var n orderlease.Limit
	if err := peer.Decode(r.Body, &n); err != nil {
		return nil, err
	}
	if g.orders.notices.leaseHolder() != g.hostID() {
		return nil, outcome.Refuse(outcome.ReasonNotOwner, "order lease")
	}
	if err := g.orders.notices.add(n); err != nil {
		return nil, err
	}
	g.limits.learnNotice(n, boottime.Now())
	g.orders.wake()
	return nil, nil
}

// learnNotice applies a notice that was read at now.
func (l *limits) learnNotice(n orderlease.Limit, now time.Duration) {
	if !isLimit(n.PerSecond) {
		l.g.metrics.limits.WithLabelValues("malformed").Inc()
		l.g.log.Warn("servers: limit in a record cannot be read", zap.String("server", n.Server))
		return
	}
	l.learn(directory.Incarnation{ID: n.Server, Born: n.Born},
		serverlimit.Limit{PerSecond: n.PerSecond, StatedAt: now - max(n.StatedAgo, 0)})
}

// isLimit reports whether a value in a message can be a limit.
func isLimit(perSecond float64) bool { return !math.IsNaN(perSecond) && perSecond >= 0 }

// limitNotices holds the notices of limits that wait for the next record of the order lease.
// It is safe for concurrent use.
type limitNotices struct {
	mu      sync.Mutex
	holder  string
	waiting []orderlease.Limit
	// received holds when each waiting notice was received.
	received []time.Duration
}

// leaseHolder returns the host that holds the order lease as far as this host knows, or "".
func (n *limitNotices) leaseHolder() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.holder
}

func (n *limitNotices) setHolder(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holder = host
}

func (n *limitNotices) add(l orderlease.Limit) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) >= maxWaitingNotices {
		return outcome.Refuse(outcome.ReasonQueueFull, "notices of limits")
	}
	n.waiting = append(n.waiting, l)
	n.received = append(n.received, boottime.Now())
	return nil
}

// any reports whether notices wait.
func (n *limitNotices) any() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.waiting) > 0
}

// next returns the notices for the next record, as of now. They wait on until done is called.
func (n *limitNotices) next(now time.Duration) []orderlease.Limit {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := make([]orderlease.Limit, min(len(n.waiting), maxNotices))
	for i := range r {
		r[i] = n.waiting[i]
		r[i].StatedAgo += now - n.received[i]
	}
	return r
}

// done removes the first notices, which are in a record now.
func (n *limitNotices) done(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting, n.received = n.waiting[count:], n.received[count:]
}
