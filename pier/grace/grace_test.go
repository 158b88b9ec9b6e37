package grace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = time.Second

func window(start time.Time) Window {
	return Window{Announced: start.Add(2 * second), End: start.Add(8 * second)}
}

func TestTakes(t *testing.T) {
	tests := map[string]struct {
		// at, deadline are times since the start of the shutdown.
		at, deadline, usual time.Duration
		want                bool
	}{
		"before it is announced":              {1 * second, 60 * second, 0, true},
		"deadline before the end":             {5 * second, 8 * second, 0, true},
		"deadline before the end, long usual": {5 * second, 8 * second, 10 * second, true},
		"deadline later, time not known":      {3 * second, 9 * second, 0, false},
		"deadline later, short":               {6 * second, 12 * second, 1 * second, true},
		"deadline later, too long":            {7 * second, 12 * second, 1 * second, false},
		"margin does not fit":                 {6800 * time.Millisecond, 12 * second, 1 * second, false},
		"after the end":                       {9 * second, 12 * second, time.Millisecond, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			start := time.Now()
			require.Equal(t, c.want, window(start).Takes(start.Add(c.at), start.Add(c.deadline), c.usual))
		})
	}
}

func TestHistoryKnowsTheLongest(t *testing.T) {
	start := time.Now()
	h := NewHistory()
	require.Zero(t, h.Longest(start))
	long := h.Begin(start)
	require.Equal(t, 3*second, h.Longest(start.Add(3*second)), "one that runs counts")
	long.End(start.Add(4 * second))
	long.End(start.Add(9 * second))
	require.Equal(t, 4*second, h.Longest(start.Add(20*second)))
	for i := range keptTimes {
		at := start.Add(time.Duration(i) * second)
		h.Begin(at).End(at.Add(second))
	}
	require.Equal(t, second, h.Longest(start.Add(100*second)), "old requests are forgotten")
}

// Requests come on kept connections until the end of a shutdown, with deadlines beyond it. Replays
// loads of steady times: none that is taken lasts beyond the end, and once the time is known, only
// those are refused that do not fit with their margin.
func TestNoSteadyLoadIsCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.Now()
		w := window(start)
		lasts := time.Duration(rapid.Int64Range(1, 6000).Draw(t, "lasts")) * time.Millisecond
		gap := time.Duration(rapid.Int64Range(10, 700).Draw(t, "gap")) * time.Millisecond
		h := NewHistory()
		h.Begin(start.Add(-lasts)).End(start)
		for at := start; at.Before(w.End); at = at.Add(gap) {
			taken := w.Takes(at, at.Add(60*second), h.Longest(at))
			ends := at.Add(lasts)
			if taken && !at.Before(w.Announced) && ends.After(w.End) {
				t.Fatalf("taken after %v, ends after %v", at.Sub(start), ends.Sub(start))
			}
			if !taken && ends.Add(lasts/marginDivisor).Before(w.End) {
				t.Fatalf("refused after %v, would end after %v", at.Sub(start), ends.Sub(start))
			}
		}
	})
}
