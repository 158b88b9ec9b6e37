package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// congestedLog serves the reads of all hosts one after the other at a limited rate. An answer for
// which nobody waits any more takes its time all the same.
type congestedLog struct {
	partitionlog.Log
	// rate is the number of bytes served in a second, latency the time of a call besides.
	rate    int
	latency time.Duration

	mu sync.Mutex
	// busyUntil is when all answers that were asked for will be served.
	busyUntil time.Time
}

// maxWork is the time of waiting work with which a congestedLog refuses further calls.
const maxWork = 2 * time.Second

// serve waits until n bytes were served.
func (l *congestedLog) serve(ctx context.Context, n int) error {
	l.mu.Lock()
	now := time.Now()
	if l.busyUntil.Before(now) {
		l.busyUntil = now
	}
	if l.busyUntil.Sub(now) > maxWork {
		l.mu.Unlock()
		return outcome.Refuse(outcome.ReasonLogDown, "503")
	}
	l.busyUntil = l.busyUntil.Add(time.Duration(n) * time.Second / time.Duration(l.rate))
	t := time.NewTimer(l.busyUntil.Sub(now) + l.latency)
	l.mu.Unlock()
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return outcome.Ambiguous(outcome.ReasonLogDown, "read", ctx.Err())
	}
}

func (l *congestedLog) functions() partitionlog.Log {
	f := l.Log
	f.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		p, err := l.Log.Read(ctx, q)
		if err != nil {
			return p, err
		}
		n := 0
		for _, b := range p.Records {
			n += len(b)
		}
		return p, l.serve(ctx, n)
	}
	f.Newest = func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
		r, err := l.Log.Newest(ctx, p)
		if err != nil {
			return r, err
		}
		n := 1 << 10
		for _, k := range r.Records {
			n += len(k.Key) + len(k.Value)
		}
		return r, l.serve(ctx, n)
	}
	f.Members = func(ctx context.Context, group string) ([]partitionlog.Member, error) {
		if err := l.serve(ctx, 1<<10); err != nil {
			return nil, err
		}
		return l.Log.Members(ctx, group)
	}
	return f
}

// All hosts have just started, and each trainer reads its step from another one. Their pages
// waited behind each other until none was whole in time, and were asked for again. Each host must
// come to the end of the partition.
func TestColdHostsReadStepsFromACongestedLog(t *testing.T) {
	const hosts = 24
	l := newLog()
	putStep(t, l.Functions(), "s", 4, 8<<10, 1<<20)
	c := &congestedLog{Log: l.Functions(), rate: 6 << 20, latency: 5 * time.Millisecond}
	var w sync.WaitGroup
	took := make([]time.Duration, hosts)
	start := time.Now()
	for i := range hosts {
		g := newHost(t, "h", c.functions())
		w.Go(func() {
			for time.Since(start) < 15*time.Second {
				p, err := g.Results(context.Background(), Principal{}, "s", 0, time.Second)
				if err == nil && len(p.Results) == 4 {
					took[i] = time.Since(start)
					return
				}
			}
		})
	}
	w.Wait()
	for _, d := range took {
		require.Positive(t, d, "a host could not read the step: %v", took)
	}
}

// slowPages returns a log in which no page of the journal above some size is whole in time.
func slowPages(l partitionlog.Log, maxBytes int) partitionlog.Log {
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if q.Partition.Topic == stepjournal.Topic && q.Wait == 0 && q.MaxBytes > maxBytes {
			<-ctx.Done()
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonLogDown, "read", ctx.Err())
		}
		return read(ctx, q)
	}
	return l
}

// A page that was not whole in time was asked for again in the same size, again and again.
func TestPageThatDoesNotArriveIsAskedForInASmallerSize(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 8<<10, 256<<10)
	g := newHost(t, "a", slowPages(l.Functions(), 40<<10))
	v := g.journal.get("s")
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	require.NoError(t, v.sync(ctx))
	e, _, ok := v.entry("s")
	require.True(t, ok)
	require.Len(t, e.Results, 2)
}

// The log does not answer for many partitions. Their pages must leave turns to the others.
func TestSilentPartitionsLeaveTurnsToOthers(t *testing.T) {
	const silent = 8
	l := newLog().Functions()
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if q.Partition.Number < silent {
			<-ctx.Done()
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonLogDown, "read", ctx.Err())
		}
		return read(ctx, q)
	}
	g := newHost(t, "a", l)
	for n := range silent {
		g.journal.followPartition(n)
	}
	time.Sleep(4 * readSlack)
	for n := range 10 {
		start := time.Now()
		require.NoError(t, g.journal.view(silent+n).sync(context.Background()))
		require.Less(t, time.Since(start), readSlack/2)
	}
}

// A host that drives a step reads the progress of its samples one by one. At a log that does not
// answer, it must not spend the time of several attempts on each.
func TestReaderWithoutDeadlineGoesOnAtTheFirstFailure(t *testing.T) {
	g := newHost(t, "a", slowPages(newLog().Functions(), 0))
	start := time.Now()
	_, err := g.journal.get("s").records(context.Background(), 0, 1)
	require.Error(t, err)
	require.Error(t, g.journal.get("s").sync(context.Background()))
	require.Less(t, time.Since(start), 2*readSlack+400*time.Millisecond)
}

// Pages of the journal that did not arrive in time counted as calls that the log turns away, and
// were asked for again through peers, while the log answered all other calls.
func TestSlowPagesAreNoTurningAway(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", slowPages(l.Functions(), 0)), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	a.knowPeers(b)
	for range 3 {
		_, err := a.c.Log.Members(context.Background(), watchGroup)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(context.Background(), readSlack)
		_, err = a.c.Log.Read(ctx, partitionlog.ReadRequest{Partition: stepPartition("s"), MaxBytes: 1})
		cancel()
		require.Error(t, err)
		require.False(t, a.peerLog.directFails())
	}
	require.Zero(t, metric(t, a, `log_calls_via_peers_total{result="answered"}`))
}

// Views of a host shared its link, so that no page was whole in time.
func TestFewPagesAreReadAtOnce(t *testing.T) {
	l := newLog().Functions()
	var now, most atomic.Int64
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		n := now.Add(1)
		defer now.Add(-1)
		for o := most.Load(); n > o && !most.CompareAndSwap(o, n); o = most.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		return read(ctx, q)
	}
	g := newHost(t, "a", l)
	var w sync.WaitGroup
	for n := range 12 {
		w.Go(func() { require.NoError(t, g.journal.view(n).sync(context.Background())) })
	}
	w.Wait()
	require.EqualValues(t, maxPagesAtOnce, most.Load())
}

// The log is silent, and callers of one step waited behind each other, each for the time of a page.
// Each must be told soon, with the time after which to ask again, and that nothing was done.
func TestReadOfAStepIsRefusedInTime(t *testing.T) {
	tests := map[string]struct {
		call  func(g *Gateway) error
		limit time.Duration
	}{
		"results": {func(g *Gateway) error {
			_, err := g.Results(context.Background(), Principal{}, "s", 0, 500*time.Millisecond)
			return err
		}, 500*time.Millisecond + resultsSlack},
		"body": {func(g *Gateway) error {
			_, err := g.Body(context.Background(), Principal{}, "s", "s-0")
			return err
		}, bodyTimeout},
		"end": {func(g *Gateway) error { return g.End(context.Background(), Principal{}, "s") }, endTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHost(t, "a", slowPages(newLog().Functions(), 0))
			var w sync.WaitGroup
			for range 8 {
				w.Go(func() {
					start := time.Now()
					e := outcome.AsError(c.call(g))
					assert.Less(t, time.Since(start), c.limit+300*time.Millisecond)
					assert.Equal(t, outcome.ReasonLogDown, e.Reason)
					assert.Equal(t, outcome.NotRun, e.Outcome)
					assert.Positive(t, e.RetryAfter)
				})
			}
			w.Wait()
		})
	}
}

// The first results were held back until all others of a long list were read, or the time was up
// and none was answered.
func TestListAnswersWithWhatItHasInTime(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 8, 100<<10, 0)
	g := newHost(t, "a", l.Functions())
	v := g.journal.get("s")
	require.NoError(t, v.sync(context.Background()))
	g.journal.cache = newCache(0)
	read := g.peerLog.direct.Read
	g.peerLog.direct.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if !backoff.Sleep(ctx, 300*time.Millisecond) {
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonLogDown, "read", ctx.Err())
		}
		return read(ctx, q)
	}
	e, _, ok := v.entry("s")
	require.True(t, ok)
	start := time.Now()
	p, err := v.readList(context.Background(), &e, 0)
	require.NoError(t, err)
	require.NotEmpty(t, p.Results)
	require.Less(t, time.Since(start), listTime+400*time.Millisecond)
}

// A page that was begun shortly before a list's time was up was given up, and read again for the
// next list.
func TestListBeginsNoPageForWhichTimeIsShort(t *testing.T) {
	const (
		results = 8
		// apart is the size of other records between two results, so that each takes a page.
		apart = 320 << 10
	)
	l := newLog()
	g := newHost(t, "a", l.Functions())
	v := g.journal.get("s")
	s, other := newStep("s", results), newStep(partitionMate(t, g), 1)
	acceptAt(t, v, s, g.self, time.Now())
	for i := range results {
		appendResult(t, v, s, i)
		b, err := stepjournal.Saved(other.ID, &stepjournal.Progress{Text: string(make([]byte, apart))})
		require.NoError(t, err)
		_, err = v.append(context.Background(), [][]byte{b})
		require.NoError(t, err)
	}
	require.NoError(t, v.sync(context.Background()))
	g.journal.cache = newCache(maxCacheBytes)
	var begun, givenUp atomic.Int64
	read := g.peerLog.direct.Read
	g.peerLog.direct.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		begun.Add(1)
		if !backoff.Sleep(ctx, 300*time.Millisecond) {
			givenUp.Add(1)
			return partitionlog.Page{}, outcome.Ambiguous(outcome.ReasonLogDown, "read", ctx.Err())
		}
		return read(ctx, q)
	}
	e, _, ok := v.entry("s")
	require.True(t, ok)
	for got := 0; got < results; {
		start := time.Now()
		p, err := v.readList(context.Background(), &e, got)
		require.NoError(t, err)
		require.NotEmpty(t, p.Results)
		require.Less(t, time.Since(start), listTime+400*time.Millisecond)
		got += len(p.Results)
	}
	require.Zero(t, givenUp.Load())
	require.LessOrEqual(t, begun.Load(), int64(results))
}

// Records of progress, which nobody reads, took the place of the results in memory.
func TestProgressLeavesResultsInMemory(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	g := newHost(t, "a", l.Functions())
	v := g.journal.get("s")
	require.NoError(t, v.sync(context.Background()))
	for range 20 {
		b, err := stepjournal.Saved("s", &stepjournal.Progress{ItemIndex: 1, Text: string(make([]byte, 64<<10))})
		require.NoError(t, err)
		_, err = v.append(context.Background(), [][]byte{b})
		require.NoError(t, err)
	}
	require.NoError(t, v.sync(context.Background()))
	e, _, ok := v.entry("s")
	require.True(t, ok)
	_, err := v.readList(context.Background(), &e, 0)
	require.NoError(t, err)
	require.Zero(t, metric(t, g, `journal_read_bytes_total{purpose="records"}`))
}

// Consecutive results must not be read with a call each.
func TestConsecutiveResultsAreReadWithFewCalls(t *testing.T) {
	l := newLog()
	putStep(t, l.Functions(), "s", 40, 1<<10, 0)
	g := newHost(t, "a", l.Functions())
	v := g.journal.get("s")
	require.NoError(t, v.sync(context.Background()))
	g.journal.cache = newCache(maxCacheBytes)
	calls := 0
	read := g.peerLog.direct.Read
	g.peerLog.direct.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		calls++
		return read(ctx, q)
	}
	e, _, ok := v.entry("s")
	require.True(t, ok)
	p, err := v.readList(context.Background(), &e, 0)
	require.NoError(t, err)
	require.Len(t, p.Results, 40)
	require.Equal(t, 1, calls)
}
