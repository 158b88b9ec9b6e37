package gateway

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// A log that stores all that it can refuses appends. Peers can't help, and its hosts must not take
// themselves for turned away, which sends their reads through peers as well.
func TestFullLogTurnsNoHostAway(t *testing.T) {
	var carried atomic.Int64
	full := failAppends(newLog().Functions(), func(q partitionlog.AppendRequest) error {
		carried.Add(1)
		return outcome.Refuse(partitionlog.ReasonFull, q.Partition.Topic)
	})
	a, b := newHost(t, "a", full), newHost(t, "b", full)
	b.listenPeers(t)
	a.knowPeers(b)
	for range 3 {
		_, err := a.journal.view(0).append(context.Background(), [][]byte{{1}})
		require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
		time.Sleep(200 * time.Millisecond)
	}
	require.False(t, a.peerLog.directFails())
	require.EqualValues(t, 3, carried.Load())
}

// While the log is full, a step is refused and the results of another wait. Once it has room they are listed.
func TestStepOutlivesAFullLog(t *testing.T) {
	var full atomic.Bool
	l := newLog()
	g := newHost(t, "a", failAppends(l.Functions(), func(q partitionlog.AppendRequest) error {
		if full.Load() {
			return outcome.Refuse(partitionlog.ReasonFull, q.Partition.Topic)
		}
		return nil
	}))
	g.table(nil)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	full.Store(true)
	err := g.Accept(context.Background(), route(g), newStep("other", 1))
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	require.Positive(t, outcome.AsError(err).RetryAfter)
	v := g.journal.get("s")
	b, err := stepjournal.Finished(&stepjournal.Result{Step: "s", ID: "s-0", State: stepjournal.Completed})
	require.NoError(t, err)
	v.post(b)
	r, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Empty(t, r.Results)
	require.True(t, v.hasPending())
	full.Store(false)
	require.Len(t, waitResults(t, g, "s", 1), 1)
}

// While the log took no records, each record of a long sample's progress waited in memory behind the
// ones before, and all of them were appended once there was room.
func TestProgressThatWaitsIsReplacedByNewer(t *testing.T) {
	const rounds, size = 50, 100 << 10
	var full atomic.Bool
	var appended atomic.Int64
	l := newLog()
	g := newHost(t, "a", failAppends(l.Functions(), func(q partitionlog.AppendRequest) error {
		if full.Load() {
			return outcome.Refuse(partitionlog.ReasonFull, q.Partition.Topic)
		}
		appended.Add(int64(encodedSize(q.Records)))
		return nil
	}))
	v := g.journal.get("s")
	s := newStep("s", 2)
	acceptAt(t, v, s, g.self, time.Now())
	require.NoError(t, v.sync(context.Background()))
	before, left := appended.Load(), g.memory.Left()
	full.Store(true)
	d := &stepDriver{g: g, step: s, view: v}
	for n := range rounds {
		for i := range s.Items {
			x := newSample(d, i)
			require.True(t, x.text.restore(strings.Repeat("x", size), []int64{1}))
			x.lastID = int64(n + 1)
			x.saveProgress(time.Now())
			x.text.drop()
		}
		time.Sleep(time.Millisecond)
	}
	waiting := left - g.memory.Left()
	full.Store(false)
	require.Eventually(t, func() bool { return !v.hasPending() }, 5*time.Second, time.Millisecond)
	t.Logf("%d KB waited, %d KB were appended", waiting>>10, (appended.Load()-before)>>10)
	require.LessOrEqual(t, waiting, int64(5*size))
	require.LessOrEqual(t, appended.Load()-before, int64(5*size))
	require.Equal(t, left, g.memory.Left())
	require.NoError(t, v.sync(context.Background()))
	got := 0
	v.recordsAt(context.Background(), slices.Collect(maps.Values(v.savedProgress("s"))), func(_ int64, b []byte) {
		p, err := stepjournal.DecodeProgress(b)
		require.NoError(t, err)
		require.EqualValues(t, rounds, p.LastEvent)
		got++
	})
	require.Equal(t, len(s.Items), got)
}
