package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// A partition with more results than one record can hold the offsets of.
const (
	largeSteps     = 6
	largeStepItems = 16_384
)

// fillLargePartition stores large steps with all their results, and then the step "s" with two
// results. It returns the size of the records.
func fillLargePartition(t *testing.T, l partitionlog.Log) int {
	t.Helper()
	size := 0
	put := func(b ...[]byte) {
		size += encodedSize(b)
		_, err := l.Append(context.Background(), partitionlog.AppendRequest{
			Partition: stepPartition("s"), Records: b, ExpectedEnd: partitionlog.NoCondition,
		})
		require.NoError(t, err)
	}
	ids := partitionIDs(stepPartition("s").Number, largeSteps)
	for _, id := range ids {
		b, err := stepjournal.Accepted(newStep(id, largeStepItems), stepjournal.Driver{Host: "gone"}, 256<<10)
		require.NoError(t, err)
		put(b...)
	}
	for i := range largeStepItems {
		var r [][]byte
		for _, id := range ids {
			b, err := stepjournal.Finished(&stepjournal.Result{
				Step: id, ItemIndex: i, ID: fmt.Sprint(id, "-", i), State: stepjournal.Completed, Text: strings.Repeat("t", 64),
			})
			require.NoError(t, err)
			r = append(r, b)
		}
		put(r...)
	}
	putStep(t, l, "s", 2, 1<<10, 0)
	return size
}

// No host had a checkpoint of a partition with many results, so that each that was asked replayed all
// of it, in vain at a log that serves them all at a limited rate.
func TestStepsOfALargePartitionAreReadBack(t *testing.T) {
	const hosts, within = 24, 12 * time.Second
	l := newLog()
	size := fillLargePartition(t, l.Functions())
	holder := newHost(t, "holder", l.Functions())
	v := holder.journal.get("s")
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	c := &sharedLog{log: l.Functions(), reads: &line{rate: 16e6}, latency: sharedLogLatency}
	var w sync.WaitGroup
	read := make([]bool, hosts)
	start := time.Now()
	for i := range hosts {
		g := newHost(t, "h", c.forHost())
		w.Go(func() {
			for time.Since(start) < within && !read[i] {
				p, err := g.Results(context.Background(), Principal{}, "s", 0, time.Second)
				read[i] = err == nil && len(p.Results) == 2
			}
		})
	}
	w.Wait()
	t.Logf("the log served %d KB in %s, the partition has %d KB", c.reads.total()>>10, time.Since(start).Round(time.Millisecond), size>>10)
	require.NotContains(t, read, false)
}

// smallRecords has a host write its checkpoints in records of a size.
func smallRecords(g *Gateway, size int) *Gateway {
	g.s.Log.RecordBytes = size
	return g
}

// keyByKey returns a log that lists one key a page, and calls between before each page but the first.
func keyByKey(l partitionlog.Log, between func()) partitionlog.Log {
	after, newest := l.NewestAfter, l.Newest
	first := func(n partitionlog.Newest, err error) (partitionlog.Newest, error) {
		if len(n.Records) > 1 {
			n.Records, n.More = n.Records[:1], true
		}
		return n, err
	}
	l.Newest = func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
		return first(newest(ctx, p))
	}
	l.NewestAfter = func(ctx context.Context, p partitionlog.Partition, key string) (partitionlog.Newest, error) {
		between()
		return first(after(ctx, p, key))
	}
	return l
}

// Another checkpoint is written between the pages in which a host reads one. Their parts must not be
// mixed, nor may the steps be unknown.
func TestCheckpointIsWrittenWhileItsPartsAreRead(t *testing.T) {
	for name, sizes := range map[string][]int{"more parts": {400, 200}, "fewer parts": {200, 400}, "one record": {200, 1 << 20}} {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			a := smallRecords(newHost(t, "a", l.Functions()), sizes[0])
			v := a.journal.view(0)
			ids := partitionIDs(0, 10)
			for _, id := range ids {
				acceptAt(t, v, newStep(id, 1), a.self, time.Now())
				appendResult(t, v, newStep(id, 1), 0)
			}
			require.NoError(t, v.sync(context.Background()))
			v.writeCheckpoint()
			var once sync.Once
			b := newHost(t, "b", keyByKey(l.Functions(), func() {
				once.Do(func() {
					smallRecords(a, sizes[1])
					appendResult(t, v, newStep(ids[0], 1), 0)
					require.NoError(t, v.sync(context.Background()))
					v.writeCheckpoint()
				})
			}))
			for _, id := range ids {
				r, err := b.Results(context.Background(), Principal{}, id, 0, 0)
				require.NoError(t, err)
				require.Len(t, r.Results, 1)
			}
			require.EqualValues(t, 1, metric(t, b, `journal_checkpoints_total{event="restored"}`))
		})
	}
}

// The records of a checkpoint that had more parts must go, or each reader reads them for ever.
func TestSmallerCheckpointLeavesNoPartsBehind(t *testing.T) {
	l := newLog()
	a := smallRecords(newHost(t, "a", l.Functions()), 200)
	v := a.journal.view(0)
	for _, id := range partitionIDs(0, 10) {
		acceptAt(t, v, newStep(id, 1), a.self, time.Now())
	}
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	stored := func() int {
		n, err := l.Functions().Newest(context.Background(), partitionlog.Partition{Topic: checkpointsTopic})
		require.NoError(t, err)
		return len(n.Records)
	}
	require.Greater(t, stored(), 2)
	b := newHost(t, "b", l.Functions())
	w := b.journal.view(0)
	require.NoError(t, w.sync(context.Background()))
	w.writeCheckpoint()
	require.Equal(t, 1, stored())
}

// A checkpoint that the log does not take was encoded each second, however often it failed.
func TestCheckpointsThatFailAreTriedLessOften(t *testing.T) {
	tests := map[string]struct {
		callBytes int
		err       error
		least     time.Duration
	}{
		"too large":       {callBytes: 100, least: time.Minute},
		"log is full":     {callBytes: 2 << 20, err: outcome.Refuse(partitionlog.ReasonFull, "507"), least: 4 * minCheckpointInterval},
		"log is away":     {callBytes: 2 << 20, err: outcome.Refuse(outcome.ReasonLogDown, "503"), least: 4 * minCheckpointInterval},
		"log rejects it":  {callBytes: 2 << 20, err: outcome.Refuse(outcome.ReasonBadRequest, "400"), least: 4 * minCheckpointInterval},
		"nothing is lost": {callBytes: 2 << 20},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			f := newLog().Functions()
			write := f.Append
			f.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
				if x.err != nil && q.Partition.Topic == checkpointsTopic {
					return partitionlog.AppendResult{}, x.err
				}
				return write(ctx, q)
			}
			g := newHost(t, "a", f)
			g.s.Log.CallBytes = x.callBytes
			v := g.journal.view(0)
			for _, id := range partitionIDs(0, 10) {
				acceptAt(t, v, newStep(id, 1), g.self, time.Now())
			}
			require.NoError(t, v.sync(context.Background()))
			for range 4 {
				v.writeCheckpoint()
			}
			v.checkpoint.bytesBehind, v.checkpoint.writtenAt = checkpointBytes, 0
			now := boottime.Now()
			require.Equal(t, x.least == 0, v.checkpoint.due(now+x.least))
			require.True(t, v.checkpoint.due(now+v.checkpoint.maxAge))
		})
	}
}

// A view that is rebuilt must not go back, or readers are shown a shorter list.
func TestViewIsNotReplacedByOneThatIsBehind(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	v := fillPartition(t, g)
	next, _ := v.position()
	f := stepjournal.NewFold(stepjournal.FoldConfig{Now: boottime.Now})
	require.False(t, v.replaceFold(f, next))
	after, _ := v.position()
	require.Equal(t, next, after)
	f.SkipTo(next)
	require.True(t, v.replaceFold(f, next))
}
