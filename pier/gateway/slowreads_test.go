package gateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/quarantine"
	"mulberrypier.example/pier/stepjournal"
	"mulberrypier.example/pier/streamorigin"
)

// reviewLatency is the time of a call in the tests of this file, unless they name another.
const reviewLatency = 400 * time.Millisecond

// knowsTwoItems answers as a host that says that it knows a step of two items, and then has no answer.
func knowsTwoItems(ctx context.Context, r *peer.Request) (any, error) {
	var q stepQuery
	if err := peer.Decode(r.Body, &q); err != nil || !q.Knows {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &stepAnswer{Total: 2}, nil
}

// The records of a step with long bodies do not fit into the cache, so that each try to read a body
// read them from the first on, and had no time for the last ones.
func TestBodyOfALargeStepIsReadFromASlowLog(t *testing.T) {
	t.Parallel()
	l := newLog()
	s := newStep("s", 8)
	for i := range s.Items {
		s.Items[i].Body = make([]byte, 200<<10)
	}
	s.Submitted = time.Now()
	b, err := stepjournal.Accepted(s, stepjournal.Driver{Host: "gone"}, 256<<10)
	require.NoError(t, err)
	_, err = l.Functions().Append(context.Background(), partitionlog.AppendRequest{
		Partition: stepPartition("s"), Records: b, ExpectedEnd: partitionlog.NoCondition,
	})
	require.NoError(t, err)
	var pages atomic.Int64
	g := newHost(t, "a", slowLog(l.Functions(), reviewLatency, &pages))
	require.NoError(t, g.journal.follow("s").sync(context.Background()))
	pages.Store(0)
	for start := time.Now(); time.Since(start) < slowLogTime; {
		if _, err = g.Body(context.Background(), Principal{}, "s", "s-7"); err == nil {
			break
		}
	}
	t.Log("pages read:", pages.Load(), "records of the step:", len(b))
	require.NoError(t, err)
}

// A preferred driver says first that it knows the step, and then has no answer. The holder, which said the
// same a little later and has the results at hand, was not asked for them.
func TestSecondHostThatKnowsTheStepIsAsked(t *testing.T) {
	t.Parallel()
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	var pages atomic.Int64
	a := newHost(t, "a", slowLog(l.Functions(), 700*time.Millisecond, &pages))
	driver, holder := newHost(t, "driver", l.Functions()), newHost(t, "holder", l.Functions())
	require.NoError(t, holder.journal.follow("s").sync(context.Background()))
	driver.listenAs(t, knowsTwoItems)
	holder.listenAs(t, func(ctx context.Context, r *peer.Request) (any, error) {
		time.Sleep(20 * time.Millisecond)
		return holder.answerPeer(ctx, r)
	})
	holder.logHealth.answered("test")
	a.makeHolder(holder)
	a.preferred.all = map[string]driverRecord{"m": {Driver: driver.self, Share: 1}}
	a.preferred.readAt = time.Now()
	_, err := a.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
}

// The host that is asked follows the step, and the log does not answer it. The holder has the results at
// hand and was not asked.
func TestHostThatFollowsAStepAsksTheHolderIfTheLogIsAway(t *testing.T) {
	t.Parallel()
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	var away atomic.Bool
	f := l.Functions()
	read := f.Read
	f.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if away.Load() {
			<-ctx.Done()
			return partitionlog.Page{}, ctx.Err()
		}
		return read(ctx, q)
	}
	a, holder := newHost(t, "a", f), newHost(t, "holder", l.Functions())
	holder.listenPeers(t)
	require.NoError(t, holder.journal.follow("s").sync(context.Background()))
	require.NoError(t, a.journal.follow("s").sync(context.Background()))
	a.makeHolder(holder)
	a.journal.cache = newCache(maxCacheBytes) // Other steps were read meanwhile.
	away.Store(true)
	_, err := a.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
}

// The origins of streams are read in 0.6 s for all pages; a call that takes longer never ends, however
// often the stream is taken up.
func TestOriginsAreReadFromASlowLog(t *testing.T) {
	t.Parallel()
	l := newLog()
	var pages atomic.Int64
	g := newHost(t, "a", slowLog(l.Functions(), 800*time.Millisecond, &pages))
	_, err := g.c.Log.Newest(context.Background(), partitionlog.Partition{Topic: checkpointsTopic})
	require.NoError(t, err)
	for range 8 {
		if err = g.streams.read(context.Background(), "x"); err == nil {
			break
		}
	}
	require.NoError(t, err, streamorigin.Topic)
}

// A trial of a quarantined request is asked for in 0.5 s, an append and a read of it.
func TestTrialIsClaimedAtASlowLog(t *testing.T) {
	t.Parallel()
	l := newLog()
	var pages atomic.Int64
	g := newHost(t, "a", slowLog(l.Functions(), 600*time.Millisecond, &pages))
	g.wg.Go(g.suspects.run)
	time.Sleep(2 * time.Second)
	var err error
	for n := range 5 {
		if _, err = g.suspects.claim(context.Background(), quarantine.Event{Kind: quarantine.KindTrial, Claim: fmt.Sprint(n)}); err == nil {
			break
		}
	}
	require.NoError(t, err)
}

// A checkpoint takes two calls of 1.5 s together. At a slow log the second is given up though it is
// executed, the end is unknown again, and the same checkpoint is written once more for good.
func TestCheckpointIsWrittenOnceAtASlowLog(t *testing.T) {
	t.Parallel()
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 512<<10)
	var pages, appends atomic.Int64
	f := slowLog(l.Functions(), 0, &pages)
	newest, write := f.Newest, f.Append
	f.Newest = func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
		time.Sleep(800 * time.Millisecond)
		return newest(ctx, p)
	}
	f.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if q.Partition.Topic == checkpointsTopic {
			appends.Add(1)
		}
		a, err := write(ctx, q) // The log has it, its answer takes long.
		select {
		case <-time.After(800 * time.Millisecond):
			return a, err
		case <-ctx.Done():
			return partitionlog.AppendResult{}, ctx.Err()
		}
	}
	g := newHost(t, "a", f)
	v := g.journal.follow("s")
	require.NoError(t, v.sync(context.Background()))
	v.mu.Lock()
	v.checkpoint.end = partitionlog.NoCondition // As after any append of a checkpoint that failed.
	v.mu.Unlock()
	for start := time.Now(); time.Since(start) < 8*time.Second; time.Sleep(50 * time.Millisecond) {
		v.use()
		v.saveCheckpoint()
	}
	require.LessOrEqual(t, appends.Load(), int64(2))
	require.Positive(t, metric(t, g, `journal_checkpoints_total{event="written"}`))
}

// Readers that have left leave their pages behind, each of up to 256 KB: nothing bounds how many a host reads at
// once.
func TestPagesOfReadersThatLeftAreBounded(t *testing.T) {
	t.Parallel()
	const records = 300
	l := newLog()
	putStep(t, l.Functions(), "s", records, 8<<10, 0)
	var atOnce, most atomic.Int64
	f := l.Functions()
	read := f.Read
	f.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if q.Wait == 0 {
			most.Store(max(most.Load(), atOnce.Add(1)))
			defer atOnce.Add(-1)
			time.Sleep(reviewLatency)
		}
		return read(ctx, q)
	}
	g := newHost(t, "a", f)
	v := g.journal.get("s")
	for i := range records {
		ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		_, _ = v.records(ctx, int64(i+1), 1)
		cancel()
	}
	t.Log("pages at once:", most.Load())
	require.LessOrEqual(t, most.Load(), int64(64))
}

// The holder knows that the step has no such item, and its answer was dropped: the caller is told to come again.
func TestItemThatIsNotOfTheStepIsNotFoundAtASlowLog(t *testing.T) {
	t.Parallel()
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	var pages atomic.Int64
	a, holder := newHost(t, "a", slowLog(l.Functions(), 700*time.Millisecond, &pages)), newHost(t, "holder", l.Functions())
	holder.listenPeers(t)
	a.makeHolder(holder)
	require.NoError(t, holder.journal.follow("s").sync(context.Background()))
	_, err := a.Body(context.Background(), Principal{}, "s", "none")
	require.True(t, outcome.HasReason(err, outcome.ReasonUnknownName), "%v", err)
}

// The time to carry a large append, or a page of the newest records, counted as the time that the log takes for a small
// call. Limits grow by it, and no time is left for a peer.
func TestLargeCallsTellNothingOfTheLatency(t *testing.T) {
	t.Parallel()
	large := make([]byte, 1<<20)
	tests := map[string]struct {
		q logCall
		a logAnswer
	}{
		"append": {q: logCall{Append: &partitionlog.AppendRequest{Records: [][]byte{large}}}},
		"newest": {
			q: logCall{Newest: "keyed.x", Paged: true},
			a: logAnswer{Newest: partitionlog.Newest{Records: []partitionlog.KeyedRecord{{Key: "k", Value: large}}}},
		},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			_, ok := x.q.latency(&x.a, 500*time.Millisecond)
			require.False(t, ok)
		})
	}
}

// A host whose last call took long, as it was large, is then turned away by silence. Its next append used up all of its
// time on the direct path.
func TestAppendAfterALongCallGoesThroughAPeer(t *testing.T) {
	t.Parallel()
	l := newLog()
	var silent atomic.Bool
	f := l.Functions()
	write := f.Append
	f.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if silent.Load() {
			<-ctx.Done()
			return partitionlog.AppendResult{}, ctx.Err()
		}
		time.Sleep(time.Duration(encodedSize(q.Records)) * time.Second / hostLinkRate)
		return write(ctx, q)
	}
	a, b := newHost(t, "a", f), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	a.knowPeers(b)
	record, err := stepjournal.Ended("other", time.Now())
	require.NoError(t, err)
	var large [][]byte
	for range 14 {
		large = append(large, make([]byte, 250<<10))
	}
	v := a.journal.get("s")
	_, err = v.append(context.Background(), large)
	require.NoError(t, err)
	silent.Store(true)
	_, err = v.append(context.Background(), [][]byte{record})
	require.NoError(t, err)
}

// The log answers the holder of a partition, which no host can reach. Each try of a caller is at a host that had not read
// the partition before: 0.3 s for the search, and three calls to the log, do not fit into the time of a read.
func TestStepIsReadBackThoughItsHolderIsSilent(t *testing.T) {
	t.Parallel()
	l := newLog()
	putStep(t, l.Functions(), "s", 2, 1<<10, 0)
	first := newHost(t, "first", l.Functions())
	v := first.journal.follow("s")
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	holder := newHost(t, "holder", l.Functions())
	holder.listenAs(t, func(ctx context.Context, _ *peer.Request) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	var pages atomic.Int64
	var err error
	start := time.Now()
	for n := range 11 {
		cold := newHost(t, fmt.Sprint("cold", n), slowLog(l.Functions(), reviewLatency, &pages))
		cold.makeHolder(holder)
		if _, err = cold.Results(context.Background(), Principal{}, "s", 0, 0); err == nil {
			break
		}
	}
	t.Log("tried for", time.Since(start))
	require.NoError(t, err)
}
