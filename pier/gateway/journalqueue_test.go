package gateway

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// failAppends returns a log whose appends to the journal fail as fails says.
func failAppends(l partitionlog.Log, fails func(q partitionlog.AppendRequest) error) partitionlog.Log {
	appendRecords := l.Append
	l.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if q.Partition.Topic == stepjournal.Topic {
			if err := fails(q); err != nil {
				return partitionlog.AppendResult{}, err
			}
		}
		return appendRecords(ctx, q)
	}
	return l
}

// Guards against a host that runs the samples of a step again while their results wait for the log,
// or are in the log and not read back yet.
func TestStepWithResultsOnTheirWayIsNotResumed(t *testing.T) {
	const delay = 300 * time.Millisecond
	tests := map[string]struct {
		refused   bool
		readsLate time.Duration
	}{
		"log refuses appends": {refused: true},
		"log is read late":    {readsLate: delay},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			var refused atomic.Bool
			l := failAppends(newLog().Functions(), func(q partitionlog.AppendRequest) error {
				if refused.Load() {
					return outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
				}
				return nil
			})
			read := l.Read
			l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
				p, err := read(ctx, q)
				backoff.Sleep(ctx, x.readsLate)
				return p, err
			}
			g := newHost(t, "a", l)
			g.table(nil)
			e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
			require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 2)))
			v := g.journal.follow("s")
			require.NoError(t, v.ensureKnown(context.Background(), "s"))
			refused.Store(x.refused)
			g.register(e.Server)
			g.watch.partitions = []int{v.n}
			require.Eventually(t, func() bool { return len(e.runs()) == 2 && g.steps.count() == 0 }, 5*time.Second, time.Millisecond)
			for range 5 {
				g.watch.checkSteps()
				time.Sleep(delay / 10)
			}
			refused.Store(false)
			require.Len(t, waitResults(t, g, "s", 2), 2)
			require.Len(t, e.runs(), 2)
		})
	}
}

// queueResults queues results of a step of n items, with texts of a size, and returns when all are in
// the log and none waits.
func queueResults(t *testing.T, l partitionlog.Log, n, size int, within time.Duration) {
	t.Helper()
	g := newHost(t, "a", l)
	s := newStep("s", n)
	v := g.journal.follow("s")
	acceptAt(t, v, s, g.self, time.Now())
	for i := range n {
		b, err := stepjournal.Finished(&stepjournal.Result{
			Step: "s", ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed, Text: strings.Repeat("x", size),
		})
		require.NoError(t, err)
		v.post(b)
	}
	require.Eventually(t, func() bool { return !v.hasPending() }, within, 20*time.Millisecond)
	require.NoError(t, v.sync(context.Background()))
	e, _, ok := v.entry("s")
	require.True(t, ok)
	require.Len(t, e.Results, n)
}

// Guards against results that are appended again and again to a log that carries appends out and
// answers too late.
func TestResultsReadBackAreNotAppendedAgain(t *testing.T) {
	var appended atomic.Int64
	l := newLog().Functions()
	appendRecords := l.Append
	l.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		a, err := appendRecords(ctx, q)
		if q.Partition.Topic != stepjournal.Topic || a.First == 0 {
			return a, err
		}
		appended.Add(int64(len(q.Records)))
		<-ctx.Done()
		return partitionlog.AppendResult{}, outcome.Ambiguous(outcome.ReasonDeadline, q.Partition.Topic, ctx.Err())
	}
	const n = 8
	queueResults(t, l, n, 1, 4*appendTimeout)
	require.LessOrEqual(t, appended.Load(), int64(n))
}

// Guards against records that never reach the log since all that wait are sent at once over a link
// that is too slow for them.
func TestResultsAreAppendedOverASlowLink(t *testing.T) {
	const n, size, bytesPerSecond = 40, 16 << 10, 200 << 10
	l := newLog().Functions()
	appendRecords := l.Append
	l.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if !backoff.Sleep(ctx, time.Duration(encodedSize(q.Records))*time.Second/bytesPerSecond) {
			return partitionlog.AppendResult{}, outcome.Ambiguous(outcome.ReasonDeadline, q.Partition.Topic, ctx.Err())
		}
		return appendRecords(ctx, q)
	}
	queueResults(t, l, n, size, 3*n*size*time.Second/bytesPerSecond)
}

// Guards against a record that the log never takes and that holds up all later ones of its partition.
func TestRecordThatIsTooLargeHoldsUpNoOthers(t *testing.T) {
	l := newLog()
	var limit int
	g := newHost(t, "a", failAppends(l.Functions(), func(q partitionlog.AppendRequest) error {
		for _, b := range q.Records {
			if len(b) > limit {
				return outcome.Refuse(outcome.ReasonBadRequest, "record")
			}
		}
		return nil
	}))
	limit = g.s.Log.RecordBytes
	s := newStep("s", 2)
	v := g.journal.follow("s")
	acceptAt(t, v, s, g.self, time.Now())
	for i, score := range []string{strings.Repeat("x", limit), "score"} {
		b, err := stepjournal.Finished(&stepjournal.Result{
			Step: "s", ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed, Text: "t", Score: score,
		})
		require.NoError(t, err)
		v.post(b)
	}
	require.Equal(t, "s-1", waitResults(t, g, "s", 1)[0].ID)
	require.Eventually(t, func() bool { return !v.hasPending() }, 5*time.Second, time.Millisecond)
}

// A planned stop must wait for the results that the log does not take yet.
func TestPlannedStopWaitsForResultsToAppend(t *testing.T) {
	var refused atomic.Bool
	l := newLog()
	g := newHost(t, "a", failAppends(l.Functions(), func(q partitionlog.AppendRequest) error {
		if refused.Load() {
			return outcome.Refuse(outcome.ReasonLogDown, q.Partition.Topic)
		}
		return nil
	}))
	s := newStep("s", 1)
	v := g.journal.follow("s")
	acceptAt(t, v, s, g.self, time.Now())
	refused.Store(true)
	b, err := stepjournal.Finished(&stepjournal.Result{Step: "s", ID: "s-0", State: stepjournal.Completed})
	require.NoError(t, err)
	v.post(b)
	time.AfterFunc(unhealthyDetectionTime+500*time.Millisecond, func() { refused.Store(false) })
	g.Drain()
	g.Close()
	r, err := newHost(t, "b", l.Functions()).Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
}

// rejectRecord returns a log that rejects appends to the journal that contain a record with a text.
func rejectRecord(l partitionlog.Log, text string, rejected *atomic.Int64) partitionlog.Log {
	return failAppends(l, func(q partitionlog.AppendRequest) error {
		for _, b := range q.Records {
			if strings.Contains(string(b), text) {
				rejected.Add(1)
				return outcome.Refuse(outcome.ReasonBadRequest, "record")
			}
		}
		return nil
	})
}

// Guards against a record that the log rejects, whatever for, and that is appended for ever with all
// that wait behind it.
func TestRecordThatIsRejectedHoldsUpNoOthers(t *testing.T) {
	const n, bad = 40, 23
	var rejected atomic.Int64
	g := newHost(t, "a", rejectRecord(newLog().Functions(), "odd text", &rejected))
	s := newStep("s", n)
	v := g.journal.follow("s")
	acceptAt(t, v, s, g.self, time.Now())
	var want []string
	for i := range n {
		r := &stepjournal.Result{Step: "s", ItemIndex: i, ID: s.Items[i].ID, State: stepjournal.Completed, Text: "text"}
		if i == bad {
			r.Text = "odd text"
		} else {
			want = append(want, r.ID)
		}
		b, err := stepjournal.Finished(r)
		require.NoError(t, err)
		v.post(b)
	}
	require.Eventually(t, func() bool { return !v.hasPending() }, 5*time.Second, time.Millisecond)
	var got []string
	for _, r := range waitResults(t, g, "s", n-1) {
		got = append(got, r.ID)
	}
	require.Equal(t, want, got)
	require.LessOrEqual(t, rejected.Load(), int64(8))
	require.EqualValues(t, 1, metric(t, g, `journal_records_dropped_total{reason="rejected"}`))
}

// A result that the log rejects is lost to the step. Its item must be run again, and the step come to
// its end.
func TestItemWhoseResultIsRejectedIsRunAgain(t *testing.T) {
	var rejected atomic.Int64
	f := newLog().Functions()
	odd := rejectRecord(f, string(stepjournal.Completed), &rejected)
	write := odd.Append
	odd.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if rejected.Load() >= 1 {
			return f.Append(ctx, q)
		}
		return write(ctx, q)
	}
	g := newHost(t, "a", odd)
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	v := g.journal.follow("s")
	g.watch.partitions = []int{v.n}
	require.Eventually(t, func() bool {
		g.watch.checkSteps()
		r, err := g.Results(context.Background(), Principal{}, "s", 0, 10*time.Millisecond)
		return err == nil && len(r.Results) == 1
	}, 5*time.Second, 20*time.Millisecond)
	require.EqualValues(t, 1, rejected.Load())
	require.Len(t, e.runs(), 2)
}
