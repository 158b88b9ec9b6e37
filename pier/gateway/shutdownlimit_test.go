package gateway

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/stepjournal"
)

// A planned stop must end within the grace period though the log takes no result. The step stays in the
// log, with the item to be run again.
func TestPlannedStopEndsThoughTheLogTakesNoResults(t *testing.T) {
	t.Parallel()
	const period = 4 * time.Second
	var refused atomic.Bool
	l := newLog()
	g := newHost(t, "a", failAppends(l.Functions(), func(q partitionlog.AppendRequest) error {
		if refused.Load() {
			return outcome.Refuse(partitionlog.ReasonFull, q.Partition.Topic)
		}
		return nil
	}))
	g.s.Timing.Grace = settings.Duration(period)
	v := g.journal.follow("s")
	acceptAt(t, v, newStep("s", 1), g.self, time.Now())
	refused.Store(true)
	b, err := stepjournal.Finished(&stepjournal.Result{Step: "s", ID: "s-0", State: stepjournal.Completed})
	require.NoError(t, err)
	v.post(b)
	start := time.Now()
	g.Drain()
	require.Less(t, time.Since(start), period)
	require.True(t, v.hasPending())
	g.Close()
	p, err := newHost(t, "b", l.Functions()).Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Empty(t, p.Results)
	require.Equal(t, 1, p.Total)
}
