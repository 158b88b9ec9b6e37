package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// disconnectableLog returns a log whose calls fail while cut is set.
func disconnectableLog(l partitionlog.Log, cut *atomic.Bool) partitionlog.Log {
	r := l
	unavailable := func() error { return outcome.Ambiguous(outcome.ReasonLogDown, "cut", nil) }
	r.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if cut.Load() {
			return partitionlog.AppendResult{}, unavailable()
		}
		return l.Append(ctx, q)
	}
	r.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if cut.Load() {
			return partitionlog.Page{}, unavailable()
		}
		p, err := l.Read(ctx, q)
		if cut.Load() {
			return partitionlog.Page{}, unavailable()
		}
		return p, err
	}
	return r
}

// The driver of a step loses its connection to the log for longer than the step takes. Its
// samples must not run again elsewhere: another host appends its results, which completes
// the step. Once the connection is back, no result may be listed twice.
func TestHostThatIsCutOffKeepsItsSteps(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut)), newHost(t, "b", l.Functions())
	begin := make(chan struct{})
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		<-begin
		stream(w, r, 1, 3, 0)
	})
	for _, g := range []*Gateway{a, b} {
		g.table(nil)
		g.register(e.Server)
		g.listenPeers(t)
	}
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	require.Eventually(t, func() bool { return len(e.runs()) == 3 }, 5*time.Second, time.Millisecond)
	cut.Store(true)
	a.logHealth.answerAt.Store(int64(boottime.Now() - time.Minute))
	close(begin)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	require.Eventually(t, func() bool {
		b.watch.checkSteps()
		n, err := b.Results(context.Background(), "s", 0, 0)
		return err == nil && len(n.Results) == 3
	}, 10*time.Second, 100*time.Millisecond)
	require.False(t, b.steps.isDriving("s"))
	require.Len(t, e.runs(), 3)
	cut.Store(false)
	require.Eventually(t, func() bool { return !a.journal.hasPending() }, 5*time.Second, 10*time.Millisecond)
	n, err := b.Results(context.Background(), "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, n.Results, 3)
}

// Records must be given to another host once, and again after relayRetryAfter, since the
// host that received them may be lost.
func TestStuckRecordsAreHandedOutAgain(t *testing.T) {
	now := time.Now()
	v := &view{flushing: true, progressAt: now, queue: [][]byte{{1}, {2}}}
	b, waiting := v.relayable(now)
	require.Empty(t, b, "records must not be relayed before relayAfter")
	require.True(t, waiting)
	now = now.Add(relayAfter)
	b, _ = v.relayable(now)
	require.Len(t, b, 2)
	v.queue = append(v.queue, []byte{3})
	b, _ = v.relayable(now.Add(time.Second))
	require.Equal(t, [][]byte{{3}}, b)
	b, waiting = v.relayable(now.Add(2 * time.Second))
	require.Empty(t, b)
	require.True(t, waiting)
	b, _ = v.relayable(now.Add(time.Second + relayRetryAfter + time.Millisecond))
	require.Len(t, b, 3)
}

// A driver that cannot reach the log may start samples only while other hosts query its
// step, as it does not learn otherwise whether it still is the driver.
func TestCutOffDriverStopsUnwatched(t *testing.T) {
	now := time.Now()
	d := &stepDriver{startedAt: now.Add(-time.Minute), view: &view{}}
	require.True(t, d.outdated(now))
	d.watched.Store(int64(boottime.Now()))
	require.False(t, d.outdated(now))
	d.watched.Store(int64(boottime.Now() - watchedTimeout - time.Millisecond))
	require.True(t, d.outdated(now))
}
