package gateway

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/logpath"
	"mulberrypier.example/pier/partitionlog"
)

// A host that the log turns away, or that cannot reach it, makes its calls to the log
// through a peer that does: a message carries the call as it is and the log's answer. Package
// logpath decides by which path a call goes.

const (
	// membersInterval is the time between two reads of the group's members, which are the
	// peers that carry calls.
	membersInterval = 10 * time.Second
	// staleMembersInterval is that time once a member proved to be out of date.
	staleMembersInterval = time.Second
	// probeInterval is the time between two direct calls that probe whether the log answers
	// this host again. Each waits for probeTimeout, so that a slow log counts as answering.
	probeInterval = 150 * time.Millisecond
	probeTimeout  = 600 * time.Millisecond
	// outageSilence is the time without an answer to a direct call after which an answer
	// shows that an outage has ended.
	outageSilence = 700 * time.Millisecond
	// carriedReadFactor is the factor by which a host reads keyed topics less often while
	// its calls go through peers.
	carriedReadFactor = 4
)

// peerLog makes this host's calls to the log, and carries those of peers. It is safe for
// concurrent use.
type peerLog struct {
	g *Gateway
	// direct is the log without the way through peers.
	direct partitionlog.Log
	// carrying limits the calls that this host carries.
	carrying chan struct{}

	mu    sync.Mutex
	paths *logpath.Chooser
	// holders maps the partitions of the journal to the peer addresses of the hosts to which the log
	// assigned them as of membersAt. membersStale is set once one of them proved to be out of date.
	holders      map[int]netip.AddrPort
	membersAt    time.Time
	membersStale bool
	// lastAsked holds when each peer with an open connection was last asked.
	lastAsked map[netip.AddrPort]time.Duration
	// turnedAway reports whether the direct path failed after the last direct call.
	turnedAway bool
	// answeredAt is when a direct call was last answered.
	answeredAt time.Duration
	// outage ends with the next outage of the direct path, by endOutage. Calls that were sent
	// before lostBefore, when the first call that is answered again was sent, will probably get
	// no answer.
	outage     context.Context
	endOutage  context.CancelFunc
	lostBefore time.Duration
}

func newPeerLog(g *Gateway, l partitionlog.Log) *peerLog {
	r := &peerLog{
		g: g, direct: l, carrying: make(chan struct{}, maxCarried), paths: logpath.New(g.s.Listen.Peers),
		lastAsked: make(map[netip.AddrPort]time.Duration), answeredAt: boottime.Now(),
	}
	r.outage, r.endOutage = context.WithCancel(g.ctx)
	return r
}

// functions returns the log as the rest of the host uses it.
func (l *peerLog) functions() partitionlog.Log {
	return partitionlog.Log{
		Append: func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
			a := l.do(ctx, &logCall{Append: &q})
			return a.Append, a.err()
		},
		Read: func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
			a := l.do(ctx, &logCall{Read: &q})
			return a.Page, a.err()
		},
		Newest: func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
			a := l.do(ctx, &logCall{Newest: p.Topic, Number: p.Number, Paged: true})
			return a.Newest, a.err()
		},
		NewestAfter: func(ctx context.Context, p partitionlog.Partition, key string) (partitionlog.Newest, error) {
			a := l.do(ctx, &logCall{Newest: p.Topic, Number: p.Number, After: key, Paged: true})
			return a.Newest, a.err()
		},
		Join: func(ctx context.Context, q partitionlog.JoinRequest) (partitionlog.Membership, error) {
			a := l.do(ctx, &logCall{Join: &q})
			return a.Membership, a.err()
		},
		Leave: func(ctx context.Context, group, member string) error {
			return l.do(ctx, &logCall{Leave: &leaveCall{Group: group, Member: member}}).err()
		},
		Members: func(ctx context.Context, group string) ([]partitionlog.Member, error) {
			a := l.do(ctx, &logCall{Members: group})
			return a.members(), a.err()
		},
	}
}

// directFails reports whether the log turns this host away.
func (l *peerLog) directFails() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paths.DirectFails(boottime.Now())
}

// nextPeer returns the peer to ask next. ok is false if there is none.
func (l *peerLog) nextPeer() (netip.AddrPort, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paths.Peer(boottime.Now())
}

// do makes a call directly or through peers. If one path fails, it tries the next, unless
// the call may have been executed and must not be repeated.
func (l *peerLog) do(ctx context.Context, q *logCall) *logAnswer {
	d := doneCall{q: q}
	if l.directFails() {
		if l.askPeers(ctx, &d, maxPeersAsked); d.settled(ctx) {
			return d.answer
		}
		d.add(l.askDirect(ctx, q))
		return d.answer
	}
	d.add(l.askDirectFirst(ctx, q))
	if !d.settled(ctx) {
		l.askPeers(ctx, &d, q.peersWorthAsking())
	}
	return d.answer
}

// askDirectFirst is askDirect with part of the time kept for a peer, if there is one.
func (l *peerLog) askDirectFirst(ctx context.Context, q *logCall) *logAnswer {
	if _, ok := l.nextPeer(); !ok {
		return l.askDirect(ctx, q)
	}
	ctx, cancel := l.keepTime(ctx, q)
	defer cancel()
	return l.askDirect(ctx, q)
}

// keepTime returns a context for one path that keeps part of the time for the next one, if the call
// may be repeated and there is enough of it. A large read needs all of its time.
func (l *peerLog) keepTime(ctx context.Context, q *logCall) (context.Context, context.CancelFunc) {
	end, limited := ctx.Deadline()
	if !limited || !q.repeatable() || q.isLarge() {
		return ctx, func() {}
	}
	left := time.Until(end) - q.wait()
	l.mu.Lock()
	left = l.paths.PathTime(left)
	l.mu.Unlock()
	return context.WithTimeout(ctx, q.wait()+left)
}

// limit returns the time that a call to the log may take which may take base at a quick log.
func (l *peerLog) limit(base time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paths.Limit(base)
}

// latency returns the time that a small call to the log takes, as far as known.
func (l *peerLog) latency() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.paths.Latency()
}

// askDirect makes a call directly. It gives the call up when the end of an outage shows that
// its answer was lost.
func (l *peerLog) askDirect(ctx context.Context, q *logCall) *logAnswer {
	sent := boottime.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(l.outageEnd(), func() {
		if l.isLost(sent) {
			cancel()
		}
	})
	defer stop()
	a := q.make(callCtx, l.direct)
	// A call that was given up, or whose caller no longer waits, tells nothing of the path.
	if a.answered() || !errors.Is(callCtx.Err(), context.Canceled) {
		l.observeDirect(q, a, sent)
	}
	return a
}

// observeDirect records whether a direct call that was sent at a time was answered.
func (l *peerLog) observeDirect(q *logCall, a *logAnswer, sent time.Duration) {
	now := boottime.Now()
	l.mu.Lock()
	if d, ok := q.latency(a, now-sent); ok {
		l.paths.Took(d)
		l.g.metrics.logLatency.Set(l.paths.Latency().Seconds())
	}
	if !a.answered() && q.isLarge() && l.paths.Congested(now) {
		l.mu.Unlock()
		return
	}
	l.paths.Direct(a.answered(), now)
	fails := l.paths.DirectFails(now)
	changed := fails != l.turnedAway
	l.turnedAway = fails
	if a.answered() {
		if now-l.answeredAt > outageSilence {
			l.lostBefore = sent
			l.endOutage()
			l.outage, l.endOutage = context.WithCancel(l.g.ctx)
		}
		l.answeredAt = now
	}
	l.mu.Unlock()
	switch {
	case changed && !fails:
		l.g.log.Info("log: answers this host again; calls no longer go through peers")
	case changed:
		l.g.log.Warn("log: turns this host away; calls go through peers", zap.Error(a.err()))
	}
}

// isLost reports whether a direct call that was sent at a time and got no answer yet will
// probably get none.
func (l *peerLog) isLost(sent time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sent < l.lostBefore
}

// outageEnd returns a context that ends with the next outage of the direct path.
func (l *peerLog) outageEnd() context.Context {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.outage
}

// retrySleep waits for d before a failed call is made again, but not beyond the end of the
// outage that outageEnd returned before the call. It returns false if ctx has ended.
func retrySleep(ctx, outageEnd context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-outageEnd.Done():
	case <-t.C:
	}
	return ctx.Err() == nil
}

// run learns the peers, and probes the direct path while it fails.
func (l *peerLog) run() {
	for l.g.ctx.Err() == nil {
		if l.directFails() {
			l.g.wg.Go(l.probe)
		} else if l.membersDue() {
			l.readMembers()
		}
		l.closeIdle(boottime.Now())
		backoff.Sleep(l.g.ctx, probeInterval)
	}
}

// probe makes a direct call.
func (l *peerLog) probe() {
	ctx, cancel := context.WithTimeout(l.g.ctx, l.limit(probeTimeout))
	defer cancel()
	l.askDirect(ctx, &logCall{Members: watchGroup})
}
