package logpath

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/200, 1+i%200))
}

func addresses(n int) []netip.AddrPort {
	var r []netip.AddrPort
	for i := range n {
		r = append(r, address(i))
	}
	return r
}

func TestDirectFails(t *testing.T) {
	type call struct {
		answered bool
		at       time.Duration
	}
	tests := map[string]struct {
		calls []call
		now   time.Duration
		want  bool
	}{
		"at the start":            {nil, time.Hour, false},
		"answered":                {[]call{{true, 1}}, time.Hour, false},
		"one failure":             {[]call{{true, 1}, {false, 2}}, 3, false},
		"a failure, then silence": {[]call{{true, 1}, {false, 2}}, maxSilence + 2, true},
		"refusals":                {[]call{{true, 1}, {false, 2}, {false, 3}}, minSilence + 2, true},
		"a few refusals":          {[]call{{true, 1}, {false, 2}, {false, 3}}, 4, false},
		"a refusal now and then":  {[]call{{false, 2}, {true, 3}, {false, 4}}, 5, false},
		"answered again":          {[]call{{false, 2}, {false, 3}, {true, 4}}, 5, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(address(0))
			for _, x := range c.calls {
				p.Direct(x.answered, x.at)
			}
			require.Equal(t, c.want, p.DirectFails(c.now))
		})
	}
}

// The log refuses the calls to half of its partitions, at all hosts alike, and answers some
// other call several times a second. The direct path must not count as failing on and off.
func TestPartialOutageIsNoTurningAway(t *testing.T) {
	c := New(address(0))
	changes, before := 0, false
	for now := time.Duration(0); now < 5*time.Second; now += 10 * time.Millisecond {
		c.Direct(now%(200*time.Millisecond) == 0, now)
		if fails := c.DirectFails(now); fails != before {
			changes++
			before = fails
		}
	}
	require.Zero(t, changes)
}

func TestPeerThatFailsIsAvoided(t *testing.T) {
	c := New(address(0))
	_, ok := c.Peer(0)
	require.False(t, ok)
	c.SetPeers(addresses(3))
	first, ok := c.Peer(0)
	require.True(t, ok)
	require.NotEqual(t, address(0), first, "a host is not its own peer")
	c.Via(first, false, 0)
	second, ok := c.Peer(1)
	require.True(t, ok)
	require.NotEqual(t, first, second)
	c.Via(second, true, 1)
	again, _ := c.Peer(2)
	require.Equal(t, second, again)
	c.Via(second, false, peerAvoidTime)
	back, _ := c.Peer(peerAvoidTime)
	require.Equal(t, first, back)
	c.SetPeers(addresses(3))
	back, _ = c.Peer(2 * peerAvoidTime)
	require.Equal(t, first, back, "the peers keep their order")
}

// The log is away for all. After a few peers failed, no further ones are asked for a while.
func TestNoPeerIsAskedWhenAllFail(t *testing.T) {
	c := New(address(0))
	c.SetPeers(addresses(40))
	asked := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if a, ok := c.Peer(now); ok {
			asked++
			c.Via(a, false, now)
		}
	}
	require.LessOrEqual(t, asked, 10*maxPeerFailures)
}

// The log turns away 35 in 100 of 200 hosts at the same moment. Each of them must find a
// peer that reaches the log with few attempts, and no peer may carry the calls of many.
func TestHerdSpreadsOverThePeers(t *testing.T) {
	const hosts, members, turnedAway = 200, 48, 70
	l := addresses(hosts)
	var known []netip.AddrPort
	for i := range members {
		known = append(known, l[i*hosts/members])
	}
	carried := make(map[netip.AddrPort]int)
	for i := range turnedAway {
		c := New(l[i])
		c.SetPeers(known) // some of them are turned away themselves
		for attempts := 0; ; attempts++ {
			require.Less(t, attempts, 12)
			a, ok := c.Peer(time.Duration(attempts) * holdOff)
			require.True(t, ok)
			reaches := a.Compare(l[turnedAway-1]) > 0
			c.Via(a, reaches, time.Duration(attempts)*holdOff)
			if reaches {
				carried[a]++
				break
			}
		}
	}
	for a, n := range carried {
		require.LessOrEqual(t, n, 10, a)
	}
}

// Large reads that fail while the log answers other calls show that it is slow. They counted as
// calls that it turns away.
func TestCongested(t *testing.T) {
	tests := map[string]struct {
		answeredAt, now time.Duration
		want            bool
	}{
		"never answered":         {0, time.Second, false},
		"answered just now":      {time.Hour, time.Hour, true},
		"answered while it read": {time.Hour, time.Hour + maxSilence, true},
		"silent for longer":      {time.Hour, time.Hour + maxSilence + 2*congestionMargin, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := New(address(0))
			if c.answeredAt > 0 {
				p.Direct(true, c.answeredAt)
			}
			require.Equal(t, c.want, p.Congested(c.now))
		})
	}
}

func TestLimitsFollowTheLatency(t *testing.T) {
	const ms = time.Millisecond
	tests := map[string]struct {
		took                []time.Duration
		limit, direct, want time.Duration
	}{
		"nothing known": {nil, 600 * ms, 300 * ms, 0},
		"quick":         {[]time.Duration{4 * ms}, 600 * ms, 300 * ms, 4 * ms},
		"slow":          {[]time.Duration{4 * ms, 400 * ms}, 1200 * ms, 600 * ms, 400 * ms},
		"quick again":   {[]time.Duration{400 * ms, 0, 0, 0}, 600 * ms, 300 * ms, 50 * ms},
		"very slow":     {[]time.Duration{time.Minute}, 3 * maxLatency, 600 * ms, maxLatency},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			x := New(netip.AddrPort{})
			for _, d := range c.took {
				x.Took(d)
			}
			require.Equal(t, c.want, x.Latency())
			require.Equal(t, c.limit, x.Limit(600*ms))
			require.Equal(t, c.direct, x.PathTime(600*ms))
		})
	}
}
