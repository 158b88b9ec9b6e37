// Package logpath decides by which path the calls of a host reach the log: directly, or
// through a peer.
//
// It answers this load: the log turns some of the hosts away, by refusals, resets or
// silence, while it serves the others. The hosts that are turned away still reach their
// peers, and should go on serving. The opposite case must not get worse by it: if the log is
// away for all, peers that are asked in vain are not asked again for some time.
package logpath

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxFailures is the number of direct calls in a row that must fail, and minSilence the
	// time for which none must have been answered, before others go through peers. The log
	// may fail for some partitions only, which peers cannot help.
	maxFailures = 2
	minSilence  = 300 * time.Millisecond
	// maxSilence is how long direct calls may get no answer, once one has failed, before
	// others go through peers.
	maxSilence = 800 * time.Millisecond
	// congestionMargin is by how much a large read may outlast maxSilence until its failure is
	// noticed.
	congestionMargin = 200 * time.Millisecond
	// peerAvoidTime is how long a peer that failed is not asked again.
	peerAvoidTime = 2 * time.Second
	// maxPeerFailures is the number of peers that may fail in a row before no peer is asked
	// for holdOff: the log is probably away for all.
	maxPeerFailures = 3
	holdOff         = time.Second
	// maxLatency bounds the latency that is assumed of the log.
	maxLatency = time.Second
	// latencyMargin is how many times the latency an attempt must have to be worth making, and
	// limitFactor how many times the latency a call may take before it counts as failed.
	latencyMargin = 2
	limitFactor   = 3
)

// Chooser holds what a host knows of its paths to the log. It performs no I/O and is not
// safe for concurrent use. Times are since boot, since a host may be suspended.
type Chooser struct {
	self netip.AddrPort
	// peers holds the peers that may be asked, in this host's order of preference. A peer that
	// fails becomes the last.
	peers []netip.AddrPort
	// avoidUntil holds the time until which a peer that failed is not asked.
	avoidUntil map[netip.AddrPort]time.Duration
	// failures is the number of direct calls in a row that failed; answeredAt is when one
	// was last answered.
	failures   int
	answeredAt time.Duration
	// peerFailures is the number of calls through peers in a row that failed. No peer is
	// asked before askAfter.
	peerFailures int
	askAfter     time.Duration
	// latency is the time that a small direct call takes, at most maxLatency. It follows a call
	// that took longer at once, and shorter ones by half of the difference.
	latency time.Duration
}

// New returns a Chooser for the host at an address, which knows no peers yet.
func New(self netip.AddrPort) *Chooser {
	return &Chooser{self: self, avoidUntil: make(map[netip.AddrPort]time.Duration)}
}

// SetPeers sets the peers that may be asked. Each host prefers others first, so that the
// hosts that are turned away spread over them. Peers that were known stay in their order.
func (c *Chooser) SetPeers(l []netip.AddrPort) {
	c.peers = slices.DeleteFunc(c.peers, func(a netip.AddrPort) bool { return !slices.Contains(l, a) })
	known := len(c.peers)
	for _, a := range l {
		if a.IsValid() && a != c.self && !slices.Contains(c.peers, a) {
			c.peers = append(c.peers, a)
		}
	}
	slices.SortFunc(c.peers[known:], func(a, b netip.AddrPort) int { return cmp.Compare(c.weight(a), c.weight(b)) })
	maps.DeleteFunc(c.avoidUntil, func(a netip.AddrPort, _ time.Duration) bool { return !slices.Contains(c.peers, a) })
}

func (c *Chooser) weight(a netip.AddrPort) uint64 {
	return xxhash.Sum64String(c.self.String() + " " + a.String())
}

// DirectFails reports whether the log turns this host away: calls should then go through a
// peer, and this host must not carry calls of others.
func (c *Chooser) DirectFails(now time.Duration) bool {
	silence := now - c.answeredAt
	return c.failures >= maxFailures && silence > minSilence || c.failures > 0 && silence > maxSilence
}

// Peer returns the peer to ask at now. ok is false if there is none.
func (c *Chooser) Peer(now time.Duration) (a netip.AddrPort, ok bool) {
	if now < c.askAfter {
		return netip.AddrPort{}, false
	}
	for _, a := range c.peers {
		if now >= c.avoidUntil[a] {
			return a, true
		}
	}
	return netip.AddrPort{}, false
}

// Direct records whether a direct call was answered.
func (c *Chooser) Direct(answered bool, now time.Duration) {
	if answered {
		c.failures, c.answeredAt = 0, now
		return
	}
	c.failures++
}

// Took records that a small direct call was answered after d.
func (c *Chooser) Took(d time.Duration) {
	d = min(d, maxLatency)
	if d < c.latency {
		d += (c.latency - d) / 2
	}
	c.latency = d
}

// Latency returns the time that a small direct call takes, as far as known.
func (c *Chooser) Latency() time.Duration { return c.latency }

// Limit returns the time that a call may take which may take base at a quick log.
func (c *Chooser) Limit(base time.Duration) time.Duration { return max(base, limitFactor*c.latency) }

// PathTime returns how much of the time that a call has left it may take by one path: half, so that
// another one can be tried after it, but all if half is too short for an answer.
func (c *Chooser) PathTime(left time.Duration) time.Duration {
	if left/2 < latencyMargin*c.latency {
		return left
	}
	return left / 2
}

// Congested reports whether a large read that failed at now shows a slow or busy log rather than
// one that turns this host away: other calls of the host were answered meanwhile. Such a failure
// is no failed direct call, and no peer can help.
func (c *Chooser) Congested(now time.Duration) bool {
	return c.answeredAt > 0 && now-c.answeredAt <= maxSilence+congestionMargin
}

// Via records whether a call through a peer was answered by the log.
func (c *Chooser) Via(a netip.AddrPort, answered bool, now time.Duration) {
	if answered {
		c.peerFailures = 0
		return
	}
	c.avoidUntil[a] = now + peerAvoidTime
	if i := slices.Index(c.peers, a); i >= 0 {
		c.peers = append(slices.Delete(c.peers, i, i+1), a)
	}
	if c.peerFailures++; c.peerFailures >= maxPeerFailures {
		c.peerFailures, c.askAfter = 0, now+holdOff
	}
}
