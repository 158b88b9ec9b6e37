package enginepace

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// minSpeedup is by how much another engine has to be faster before a sample moves there.
const minSpeedup = 1.6

// observe has generations that run beside each other measure the pace every window for some time, and
// returns when they end.
func observe(e *Estimate, generations int, pace, window, during time.Duration, now time.Time) time.Time {
	for end := now.Add(during); now.Before(end); now = now.Add(window) {
		for range generations {
			e.Observe(pace, now)
		}
	}
	return now
}

// Samples must not leave an engine whose machine pauses for 0.6 s, and must leave one that stays slow.
func TestPausesOfASharedMachineAreNoSlowness(t *testing.T) {
	const usual, window = 34 * time.Millisecond, 270 * time.Millisecond
	tests := map[string]struct {
		generations int
		factor      float64
		during      time.Duration
		slow        bool
	}{
		"pause, one generation":   {1, 2.5, 600 * time.Millisecond, false},
		"pause, six generations":  {6, 2.5, 600 * time.Millisecond, false},
		"slow for 3 s":            {1, 2.5, 3 * time.Second, true},
		"slow for 3 s, full":      {6, 2.5, 3 * time.Second, true},
		"very slow for 1.5 s":     {2, 3.4, 1500 * time.Millisecond, true},
		"hardly slower for a day": {6, 1.2, time.Minute, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var e Estimate
			now := observe(&e, c.generations, usual, window, 10*time.Second, time.Unix(1000, 0))
			observe(&e, c.generations, time.Duration(c.factor*float64(usual)), window, c.during, now)
			require.Equal(t, c.slow, float64(e.Mean()) > minSpeedup*float64(usual), "mean %v", e.Mean())
		})
	}
}

// An engine that was measured once keeps its pace while nothing runs there: otherwise a slow engine counts
// as fast whenever it is idle.
func TestIdleEnginesKeepTheirPace(t *testing.T) {
	var e Estimate
	require.Zero(t, e.Mean())
	now := observe(&e, 2, 80*time.Millisecond, 640*time.Millisecond, 5*time.Second, time.Unix(1000, 0))
	require.Equal(t, 80*time.Millisecond, e.Mean())
	e.Observe(82*time.Millisecond, now.Add(-time.Minute))
	require.Equal(t, 80*time.Millisecond, e.Mean(), "a clock that goes back changes nothing")
}
