package gateway

import (
	"context"
	"errors"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
)

const (
	// membersTimeout bounds the time for reading the group's members.
	membersTimeout = time.Second
	// maxPeersAsked bounds the peers that are asked for one call.
	maxPeersAsked = 3
	// maxCarried bounds the calls that a host carries at the same time, and
	// maxCarriedReadBytes the answer to a read among them.
	maxCarried          = 48
	maxCarriedReadBytes = 128 << 10
	// peerLinger is how long connections to peers stay open after the last use for a call.
	peerLinger = 5 * time.Second
)

// askPeers makes a call through one peer after another, at most n.
func (l *peerLog) askPeers(ctx context.Context, d *doneCall, n int) {
	for range n {
		p, ok := l.nextPeer()
		if !ok {
			return
		}
		peerCtx, cancel := l.keepTime(ctx, d.q)
		d.add(l.askPeer(peerCtx, p, d.q))
		cancel()
		if d.settled(ctx) {
			return
		}
	}
}

// askPeer makes a call through a peer.
func (l *peerLog) askPeer(ctx context.Context, p netip.AddrPort, q *logCall) *logAnswer {
	now := boottime.Now()
	l.mu.Lock()
	l.lastAsked[p] = now
	l.mu.Unlock()
	var a logAnswer
	reason := outcome.ReasonLogDown
	if err := l.g.peers.Call(ctx, p, kindLogCall, q, &a); err != nil {
		// An error of the peer itself, whatever it says, is no answer of the log.
		reason = outcome.AsError(err).Reason
		a = logAnswer{Err: outcome.AsError(err).WithReason(outcome.ReasonLogDown)}
	}
	if !a.answered() && errors.Is(ctx.Err(), context.Canceled) {
		return &a
	}
	l.mu.Lock()
	l.paths.Via(p, a.answered(), boottime.Now())
	l.mu.Unlock()
	if a.answered() {
		l.g.metrics.viaPeers.WithLabelValues("answered").Inc()
		return &a
	}
	if a.Err.Reason != outcome.ReasonLogDown {
		reason = a.Err.Reason
	}
	l.g.metrics.viaPeers.WithLabelValues(string(reason)).Inc()
	a.Err = a.Err.WithReason(outcome.ReasonLogDown)
	return &a
}

// carry makes a call to the log for a peer, directly only.
func (l *peerLog) carry(ctx context.Context, r *peer.Request) (any, error) {
	var q logCall
	if err := peer.Decode(r.Body, &q); err != nil {
		return nil, err
	}
	if l.directFails() {
		l.g.metrics.carried.WithLabelValues(string(outcome.ReasonLogDown)).Inc()
		return nil, outcome.Refuse(outcome.ReasonLogDown, "host is turned away itself")
	}
	if l.g.drain.leaving() {
		l.g.metrics.carried.WithLabelValues(string(outcome.ReasonDraining)).Inc()
		return nil, outcome.Refuse(outcome.ReasonDraining, "host shuts down")
	}
	select {
	case l.carrying <- struct{}{}:
		defer func() { <-l.carrying }()
	default:
		l.g.metrics.carried.WithLabelValues(string(outcome.ReasonQueueFull)).Inc()
		return nil, outcome.Refuse(outcome.ReasonQueueFull, "calls for peers")
	}
	if q.Read != nil {
		q.Read.MaxBytes = min(q.Read.MaxBytes, maxCarriedReadBytes)
	}
	a := l.askDirect(ctx, &q)
	l.g.metrics.carried.WithLabelValues("done").Inc()
	return a, nil
}

// isCarrying reports whether this host makes a call for a peer.
func (l *peerLog) isCarrying() bool { return len(l.carrying) > 0 }

// readMembers reads the group's members, which are the peers that carry calls.
func (l *peerLog) readMembers() {
	ctx, cancel := context.WithTimeout(l.g.ctx, l.limit(membersTimeout))
	defer cancel()
	a := l.askDirect(ctx, &logCall{Members: watchGroup})
	if a.Err != nil {
		l.g.log.Info("log: members of the group cannot be read; peers stay as known", zap.Error(a.err()))
		return
	}
	l.g.limits.setHosts(a.Members)
	var peers []netip.AddrPort
	holders := make(map[int]netip.AddrPort)
	for _, m := range a.members() {
		p, ok := peerAddress(m.Name)
		if !ok {
			continue
		}
		peers = append(peers, p)
		for _, x := range m.Parts {
			holders[x.Number] = p
		}
	}
	l.mu.Lock()
	l.paths.SetPeers(peers)
	l.holders, l.membersStale = holders, false
	l.mu.Unlock()
}

// membersDue reports whether the group's members should be read, and notes that they are.
func (l *peerLog) membersDue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := membersInterval
	if l.membersStale {
		interval = staleMembersInterval
	}
	if time.Since(l.membersAt) < interval {
		return false
	}
	l.membersAt = time.Now()
	return true
}

// holder returns the peer address of the host to which the log assigned a partition of the journal,
// as last read. ok is false if none is known, or it is this host.
func (l *peerLog) holder(part int) (a netip.AddrPort, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a, ok = l.holders[part]
	return a, ok && a != l.g.self.Peers
}

// holderFailed notes that the holder of a partition did not answer, or no longer holds it.
func (l *peerLog) holderFailed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.membersStale = true
}

// peerAddress returns the peer address in the name of a member, as hostID makes it.
func peerAddress(member string) (netip.AddrPort, bool) {
	i := strings.LastIndexByte(member, '@')
	a, err := netip.ParseAddrPort(member[i+1:])
	return a, err == nil
}

// keepOpen keeps the connection to a peer, to which this host sends other messages, open
// until peerLinger after now.
func (l *peerLog) keepOpen(a netip.AddrPort, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastAsked[a] = now
}

// closeIdle closes the connections to peers that were not asked for peerLinger.
func (l *peerLog) closeIdle(now time.Duration) {
	l.mu.Lock()
	var idle []netip.AddrPort
	for a, t := range l.lastAsked {
		if now-t > peerLinger {
			idle = append(idle, a)
			delete(l.lastAsked, a)
		}
	}
	l.mu.Unlock()
	for _, a := range idle {
		l.g.peers.Disconnect(a)
	}
}
