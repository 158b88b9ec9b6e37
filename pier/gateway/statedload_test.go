package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
)

// A slowdown changes many times a second: an old one must not keep requests from a server that is
// fast again, while the other figures of the same answer still count.
func TestSlowdownIsUsedForAShorterTimeThanTheLoad(t *testing.T) {
	now := time.Now()
	tests := map[string]struct {
		percent  int
		age      time.Duration
		slowdown float64
		running  int
	}{
		"new":             {250, 0, 2.5, 4},
		"just new enough": {250, 149 * time.Millisecond, 2.5, 4},
		"slowdown is old": {250, 150 * time.Millisecond, 1, 4},
		"load is old":     {250, 400 * time.Millisecond, 1, 1},
		"not stated":      {0, 0, 1, 4},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := serverState{running: 1, load: backend.Load{Running: 3, SlowdownPercent: c.percent}, loadAt: now.Add(-c.age)}
			require.InDelta(t, c.slowdown, s.slowdown(now), 1e-9)
			require.Equal(t, c.running, s.estimatedRunning(now))
		})
	}
}
