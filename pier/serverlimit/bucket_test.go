package serverlimit

import (
	"testing"
	"time"

	"mulberrypier.example/pier/directory"

	"github.com/stretchr/testify/require"
)

// demand is a load on a server with a limit: every host asks again each interval.
type demand struct {
	perSecond float64
	share     float64
	hosts     int
	interval  time.Duration
	maxWait   time.Duration
}

// sends replays a load for a time and returns when requests were sent.
func (d demand) sends(l *Buckets, from, until time.Duration) []time.Duration {
	var r []time.Duration
	for now := from; now < until; now += d.interval / time.Duration(d.hosts) {
		g := l.Ask(Ask{Server: directory.Incarnation{ID: "s"}, Limit: Limit{PerSecond: d.perSecond, StatedAt: from}, MaxWait: d.maxWait}, d.share, now)
		if g.Granted {
			r = append(r, now+g.Wait)
		}
	}
	return r
}

// most returns the largest number of times within any window.
func most(at []time.Duration, window time.Duration) int {
	n := 0
	for i := range at {
		j := i
		for j < len(at) && at[j]-at[i] < window {
			j++
		}
		n = max(n, j-i)
	}
	return n
}

// Many hosts press a server. Within 4 s it gets no more than its limit and what a burst adds,
// and a limit that can be used is used.
func TestBucketsGrantNoMoreThanTheLimit(t *testing.T) {
	const window, total = 4 * time.Second, 30 * time.Second
	tests := map[string]demand{
		"one a second, 195 hosts":      {perSecond: 1, share: 1, hosts: 195, interval: time.Second},
		"a decimal number":             {perSecond: 2.8, share: 1, hosts: 67, interval: 500 * time.Millisecond},
		"high limit":                   {perSecond: 200, share: 1, hosts: 12, interval: 20 * time.Millisecond},
		"requests that wait":           {perSecond: 5, share: 1, hosts: 12, interval: time.Second, maxWait: 1500 * time.Millisecond},
		"a deputy":                     {perSecond: 8, share: deputyShare, hosts: 12, interval: 100 * time.Millisecond},
		"zero: one at times, to probe": {perSecond: 0, share: 1, hosts: 12, interval: 100 * time.Millisecond},
	}
	for name, d := range tests {
		t.Run(name, func(t *testing.T) {
			at := d.sends(NewBuckets(), time.Second, time.Second+total)
			rate := max(d.perSecond*d.share, leastPerSecond)
			require.LessOrEqual(t, most(at, window), int(rate*(window+burst).Seconds())+2)
			require.GreaterOrEqual(t, len(at), int(0.9*rate*total.Seconds())-1)
		})
	}
}

// A host is suspended or no one asks for a while: what was not used does not pile up.
func TestBucketsDoNotSaveUpWhileUnused(t *testing.T) {
	l := NewBuckets()
	d := demand{perSecond: 10, share: 1, hosts: 5, interval: 50 * time.Millisecond}
	d.sends(l, 0, 5*time.Second)
	at := d.sends(l, 40*time.Second, 41*time.Second)
	require.LessOrEqual(t, len(at), 10+int(10*burst.Seconds())+2)
}

// A server takes more again. Nobody waits for the long intervals of the low limit.
func TestBucketFollowsAHigherLimit(t *testing.T) {
	l := NewBuckets()
	s := directory.Incarnation{ID: "s"}
	ask := func(perSecond float64, at time.Duration) Grant {
		return l.Ask(Ask{Server: s, Limit: Limit{PerSecond: perSecond, StatedAt: at}}, 1, at)
	}
	require.True(t, ask(0, 0).Granted)
	g := ask(0, 10*time.Millisecond)
	require.False(t, g.Granted)
	require.Greater(t, g.Wait, 4*time.Second)
	g = ask(10, 20*time.Millisecond)
	require.LessOrEqual(t, g.Wait, 100*time.Millisecond)
}

// Hosts know different values, as answers overtake each other. The one stated last counts.
func TestBucketTakesTheNewestLimit(t *testing.T) {
	l := NewBuckets()
	s := directory.Incarnation{ID: "s"}
	now := 10 * time.Second
	l.Ask(Ask{Server: s, Limit: Limit{PerSecond: 1, StatedAt: 9 * time.Second}}, 1, now)
	g := l.Ask(Ask{Server: s, Limit: Limit{PerSecond: 100, StatedAt: 5 * time.Second}}, 1, now+300*time.Millisecond)
	require.False(t, g.Granted)
	require.Greater(t, g.Wait, 200*time.Millisecond)
}
