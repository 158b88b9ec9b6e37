package usage

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// newLearntCounter returns the counter of a host that was started at testStart, at 0 since boot.
func newLearntCounter() *Counter {
	clock := NewClock(testStart, 0)
	clock.Set(time.Duration(testStart.UnixNano()))
	return NewCounter(testWindows, clock, 0)
}

// Totals are sent until the holder of the term has acknowledged them, and again to the next holder.
func TestTotalsAreDueUntilAcknowledged(t *testing.T) {
	c := newLearntCounter()
	k := testWindows.At(testStart)
	require.True(t, c.Add("x", 0))
	first := c.Due("a", 10)
	require.Equal(t, []Total{{Window: k, Organisation: "x", Count: 1}}, first)
	require.True(t, c.Add("x", time.Second))
	c.Acknowledged("a", first)
	require.Equal(t, []Total{{Window: k, Organisation: "x", Count: 2}}, c.Due("a", 10))
	c.Acknowledged("a", c.Due("a", 10))
	require.Empty(t, c.Due("a", 10))
	require.False(t, c.HasDue())
	require.Len(t, c.Due("b", 10), 1)
	c.Acknowledged("a", first)
	require.True(t, c.HasDue(), "an answer of the last holder says nothing of this one")
	require.EqualValues(t, 2, c.Reported(k))
	require.Empty(t, c.Due("c", 10))
	require.False(t, c.Add("x", 2*time.Second), "the window is reported")
}

// The host does not know true time when it starts, and its time of day is wrong. The requests of that time must be
// counted in the windows of true time once that is known.
func TestRequestsBeforeTrueTimeIsKnown(t *testing.T) {
	k := testWindows.At(testStart)
	tests := map[string]struct {
		learnAt time.Duration
		want    []Total
	}{
		"learnt soon": {time.Second, []Total{{k, "x", 1}, {k + 1, "x", 1}}},
		"not learnt":  {0, []Total{{k + 80, "x", 1}, {k + 81, "x", 1}}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			clock := NewClock(testStart.Add(400*time.Second), 0)
			n := NewCounter(testWindows, clock, 0)
			_, ok := n.Since()
			require.False(t, ok)
			require.True(t, n.Add("x", time.Second))
			require.True(t, n.Add("x", 7*time.Second))
			require.Zero(t, n.Settle(8*time.Second))
			require.Empty(t, n.Due("a", 10))
			require.True(t, n.HasDue())
			if c.learnAt > 0 {
				clock.Learn(testStart.Add(c.learnAt), c.learnAt, c.learnAt)
				since, ok := n.Since()
				require.True(t, ok)
				require.Equal(t, k, since)
			}
			require.Zero(t, n.Settle(maxUnlearnt))
			require.Equal(t, c.want, n.Due("a", 10))
		})
	}
}

// A host that no holder hears must not keep its totals for ever.
func TestCounterIsBounded(t *testing.T) {
	c := newLearntCounter()
	for i := range maxOrganisations + 1 {
		require.Equal(t, i < maxOrganisations, c.Add(fmt.Sprint(i), 0))
	}
	require.Zero(t, c.Settle(windowLength))
	require.EqualValues(t, maxOrganisations, c.Settle(2*windowLength+MaxAge))
	require.Empty(t, c.totals)
	require.Empty(t, c.sizes)
}

// Fewer than half of the clocks are wrong by 2 s to 400 s, ahead or behind. The time must be within the range of the
// others.
func TestMostClocksDecide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 40).Draw(t, "hosts")
		wrong := rapid.IntRange(0, n/3).Draw(t, "wrong")
		c := NewConsensus()
		for i := range n {
			off := rapid.Int64Range(-20, 20).Draw(t, "offset ms") * int64(time.Millisecond)
			if i < wrong {
				off = rapid.Int64Range(2000, 400_000).Draw(t, "wrong by ms") * int64(time.Millisecond)
				if rapid.Bool().Draw(t, "behind") {
					off = -off
				}
			}
			boot := time.Duration(i) * time.Millisecond
			c.Add(fmt.Sprint(i), testStart.Add(boot+time.Duration(off)), boot)
		}
		base, clocks := c.Base(time.Second)
		require.Equal(t, n, clocks)
		require.InDelta(t, testStart.UnixNano(), int64(base), float64(20*time.Millisecond))
	})
}

func TestClocksOfLostHostsAreDropped(t *testing.T) {
	c := NewConsensus()
	c.Add("a", testStart, 0)
	c.Add("b", testStart.Add(time.Hour), clockLifetime)
	_, n := c.Base(clockLifetime)
	require.Equal(t, 2, n)
	base, n := c.Base(clockLifetime + 1)
	require.Equal(t, 1, n)
	require.EqualValues(t, testStart.Add(time.Hour-clockLifetime).UnixNano(), base)
}

// The answer to a message corrects a clock by half of its round trip; a slow answer corrects only a clock that shows the
// host's own time of day.
func TestClockLearnsFromAnswers(t *testing.T) {
	const boot = 10 * time.Second
	c := NewClock(testStart.Add(-400*time.Second), boot)
	require.Equal(t, testStart.Add(-399*time.Second), c.Now(boot+time.Second))
	c.Learn(testStart, boot, boot+2*time.Second)
	require.Equal(t, testStart, c.Now(boot+time.Second))
	c.Learn(testStart.Add(time.Hour), boot, boot+2*time.Second)
	require.Equal(t, testStart, c.Now(boot+time.Second), "too slow")
	c.Learn(testStart.Add(50*time.Millisecond), boot, boot+40*time.Millisecond)
	require.Equal(t, testStart.Add(50*time.Millisecond), c.Now(boot+20*time.Millisecond))
}
