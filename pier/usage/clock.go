package usage

import (
	"slices"
	"time"
)

const (
	// maxRoundTrip is the longest round trip of a message whose answer corrects a clock that has been
	// corrected before.
	maxRoundTrip = 200 * time.Millisecond
	// clockLifetime is how long the holder of the order lease keeps the clock of a host that does not state it
	// again.
	clockLifetime = 30 * time.Second
)

// Clock is a host's view of true time. It advances with the time since boot, so steps of the host's time of day
// do not affect it. It is not safe for concurrent use.
type Clock struct {
	// base is the time since 1970 at boot.
	base time.Duration
	// learnt is set once the base was learnt from other hosts.
	learnt bool
}

// NewClock returns a clock that shows the host's time of day until it learns true time.
func NewClock(wall time.Time, boot time.Duration) *Clock { return &Clock{base: baseOf(wall, boot)} }

func baseOf(wall time.Time, boot time.Duration) time.Duration {
	return time.Duration(wall.UnixNano()) - boot
}

// Now returns the time at a time since boot.
func (c *Clock) Now(boot time.Duration) time.Time { return time.Unix(0, int64(c.base+boot)) }

// IsLearnt reports whether the clock shows what most hosts agree on.
func (c *Clock) IsLearnt() bool { return c.learnt }

// Set sets the time since 1970 at boot, as Consensus.Base returns it.
func (c *Clock) Set(base time.Duration) { c.base, c.learnt = base, true }

// Learn corrects the clock by an answer that states the time. The message was sent and the answer was received
// at the given times since boot. A slow answer corrects only a clock that was never corrected.
func (c *Clock) Learn(stated time.Time, sent, received time.Duration) {
	if received-sent > maxRoundTrip && c.learnt {
		return
	}
	c.Set(baseOf(stated, (sent+received)/2))
}

// statedClock is what a host has stated of its time of day.
type statedClock struct {
	// base is the time since 1970 at the boot of the host that keeps this.
	base time.Duration
	at   time.Duration
}

// Consensus finds the time that most hosts agree on: the median of their times of day. If fewer than half of
// the clocks are wrong, it lies within the range of those that are right. It is not safe for concurrent use.
type Consensus struct{ clocks map[string]statedClock }

// NewConsensus returns a consensus of no hosts.
func NewConsensus() *Consensus { return &Consensus{clocks: make(map[string]statedClock)} }

// Add replaces the time of day of a host, which it stated right before the time since boot.
func (c *Consensus) Add(host string, wall time.Time, boot time.Duration) {
	c.clocks[host] = statedClock{base: baseOf(wall, boot), at: boot}
}

// Base returns the time since 1970 at boot by the median of the clocks, and the number of clocks.
func (c *Consensus) Base(boot time.Duration) (base time.Duration, clocks int) {
	var l []time.Duration
	for h, s := range c.clocks {
		if boot-s.at > clockLifetime {
			delete(c.clocks, h)
			continue
		}
		l = append(l, s.base)
	}
	if len(l) == 0 {
		return 0, 0
	}
	slices.Sort(l)
	return l[(len(l)-1)/2], len(l)
}
