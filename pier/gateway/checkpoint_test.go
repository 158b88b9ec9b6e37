package gateway

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// The number of bytes and of records with which fillPartition fills a partition.
const (
	filledRecords     = 200
	filledRecordBytes = 8 << 10
)

// fillPartition stores a step "s" with one result, and in front of it records of another step in
// the same partition that saved its progress. It returns a view that has read them all.
func fillPartition(t *testing.T, g *Gateway) *view {
	t.Helper()
	v := g.journal.get("s")
	before := newStep(partitionMate(t, g), 1)
	acceptAt(t, v, before, g.self, time.Now())
	for i := range filledRecords {
		b, err := stepjournal.Saved(before.ID, &stepjournal.Progress{Text: strings.Repeat("x", filledRecordBytes), LastEvent: int64(i + 1)})
		require.NoError(t, err)
		_, err = v.append(context.Background(), [][]byte{b})
		require.NoError(t, err)
	}
	s := newStep("s", 1)
	acceptAt(t, v, s, g.self, time.Now())
	appendResult(t, v, s, 0)
	require.NoError(t, v.sync(context.Background()))
	return v
}

// partitionMate returns the ID of another step in the partition of the step "s".
func partitionMate(t *testing.T, g *Gateway) string {
	t.Helper()
	for i := range 100 {
		if id := fmt.Sprint("mate-", i); g.journal.get(id) == g.journal.get("s") {
			return id
		}
	}
	require.Fail(t, "no step shares the partition")
	return ""
}

// writeCheckpoint has a view write a checkpoint and waits for it to be in the log.
func writeCheckpoint(t *testing.T, v *view, l *memlog.Log) {
	t.Helper()
	v.saveCheckpoint()
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	require.Eventually(t, func() bool {
		n, err := l.Functions().Newest(context.Background(), at)
		return err == nil && len(n.Records) == 1
	}, 5*time.Second, 5*time.Millisecond)
}

// countReads returns a log that counts the bytes of the journal that are read from it.
func countReads(l partitionlog.Log, bytes *atomic.Int64) partitionlog.Log {
	read := l.Read
	l.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		p, err := read(ctx, q)
		if q.Partition.Topic == stepjournal.Topic {
			bytes.Add(int64(encodedSize(p.Records)))
		}
		return p, err
	}
	return l
}

// Guards against a host that replays a whole partition for a read of one step.
func TestHostWithoutViewReadsWhatFollowsTheCheckpoint(t *testing.T) {
	l := newLog()
	writeCheckpoint(t, fillPartition(t, newHost(t, "a", l.Functions())), l)
	var read atomic.Int64
	b := newHost(t, "b", countReads(l.Functions(), &read))
	r, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
	require.Less(t, read.Load(), int64(filledRecords*filledRecordBytes/10))
}

// A checkpoint that cannot be read must neither hide a step nor have it denied.
func TestNoCheckpointHidesAStep(t *testing.T) {
	tests := map[string]struct {
		value []byte
		// fails is the reason for which the log fails the read of the checkpoint.
		fails outcome.Reason
		known bool
	}{
		"odd bytes":             {value: []byte("odd"), known: true},
		"none":                  {known: true},
		"log does not answer":   {fails: outcome.ReasonLogDown},
		"log rejects the topic": {fails: outcome.ReasonBadRequest, known: true},
		"of another partition":  {value: otherCheckpoint(t), known: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			v := fillPartition(t, newHost(t, "a", l.Functions()))
			f := l.Functions()
			if c.value != nil {
				_, err := f.Append(context.Background(), partitionlog.AppendRequest{
					Partition: partitionlog.Partition{Topic: checkpointsTopic, Number: v.n},
					Records:   [][]byte{partitionlog.EncodeKeyed(checkpointKey, c.value)}, ExpectedEnd: partitionlog.NoCondition,
				})
				require.NoError(t, err)
			}
			newest := f.Newest
			f.Newest = func(ctx context.Context, p partitionlog.Partition) (partitionlog.Newest, error) {
				if c.fails != "" && p.Topic == checkpointsTopic {
					return partitionlog.Newest{}, outcome.Refuse(c.fails, p.Topic)
				}
				return newest(ctx, p)
			}
			r, err := newHost(t, "b", f).Results(context.Background(), Principal{}, "s", 0, 0)
			if !c.known {
				require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Len(t, r.Results, 1)
		})
	}
}

// otherCheckpoint returns a checkpoint of a partition that no log here has.
func otherCheckpoint(t *testing.T) []byte {
	t.Helper()
	b, ok := stepjournal.NewFold(stepjournal.FoldConfig{Now: func() time.Duration { return 0 }}).Checkpoint(testParts + 1)
	require.True(t, ok)
	return b
}

func TestCheckpointIsDue(t *testing.T) {
	const now = time.Hour
	const maxAge = time.Minute
	tests := map[string]struct {
		c    checkpointing
		want bool
	}{
		"nothing new":                {checkpointing{}, false},
		"much, while appends go on":  {checkpointing{bytesBehind: checkpointBytes, behindSince: now, appliedAt: now}, true},
		"little, while they go on":   {checkpointing{bytesBehind: checkpointBytes - 1, behindSince: now, appliedAt: now}, false},
		"little, after a pause":      {checkpointing{bytesBehind: checkpointIdleBytes, behindSince: now, appliedAt: now - checkpointIdleTime}, true},
		"very little, after a pause": {checkpointing{bytesBehind: checkpointIdleBytes - 1, behindSince: now, appliedAt: now - checkpointIdleTime}, false},
		"very little, for long":      {checkpointing{bytesBehind: 1, behindSince: now - maxAge, appliedAt: now}, true},
		"less than it is itself":     {checkpointing{bytesBehind: checkpointIdleBytes, size: 2 * checkpointIdleBytes, behindSince: now, appliedAt: now - checkpointIdleTime}, false},
		"as much as it is itself":    {checkpointing{bytesBehind: checkpointIdleBytes, size: checkpointIdleBytes, behindSince: now, appliedAt: now - checkpointIdleTime}, true},
		"little, large, for long":    {checkpointing{bytesBehind: 1, size: checkpointBytes, behindSince: now - maxAge, appliedAt: now}, true},
		"much, another just tried":   {checkpointing{bytesBehind: checkpointBytes, writtenAt: now - minCheckpointInterval/2}, false},
		"much, another under way":    {checkpointing{bytesBehind: checkpointBytes, writing: true}, false},
	}
	for name, x := range tests {
		t.Run(name, func(t *testing.T) {
			x.c.maxAge = maxAge
			require.Equal(t, x.want, x.c.due(now))
		})
	}
}

// The records of a partition in which little is appended must not expire behind its checkpoint.
func TestStepOfAQuietPartitionOutlivesTheLossOfAllHosts(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	v := a.journal.get("s")
	s := newStep("s", 1)
	acceptAt(t, v, s, a.self, time.Now())
	appendResult(t, v, s, 0)
	require.NoError(t, v.sync(context.Background()))
	v.checkpoint.behindSince -= a.s.Log.Retention.D() / 2
	writeCheckpoint(t, v, l)
	l.Expire(v.partition(), 1)
	r, err := newHost(t, "b", l.Functions()).Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
}

// A checkpoint that was made before another must not take its place.
func TestCheckpointIsNotWrittenOverANewerOne(t *testing.T) {
	l := newLog()
	f := l.Functions()
	v := fillPartition(t, newHost(t, "a", f))
	writeCheckpoint(t, v, l)
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	_, err := f.Append(context.Background(), partitionlog.AppendRequest{
		Partition: at, Records: [][]byte{partitionlog.EncodeKeyed(checkpointKey, []byte("newer"))}, ExpectedEnd: partitionlog.NoCondition,
	})
	require.NoError(t, err)
	v.writeCheckpoint()
	n, err := f.Newest(context.Background(), at)
	require.NoError(t, err)
	require.Equal(t, []byte("newer"), n.Records[0].Value)
	require.Equal(t, partitionlog.NoCondition, v.checkpointEnd())
}

// The newest checkpoint outlives the history of its topic, and another is written after it.
func TestCheckpointOutlivesTheHistoryOfItsTopic(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	v := fillPartition(t, a)
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	v.writeCheckpoint()
	v.writeCheckpoint()
	l.Expire(at, 2)
	l.Expire(v.partition(), filledRecords)
	b := newHost(t, "b", l.Functions())
	r, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
	require.False(t, b.journal.get("s").cutOff(partitionMate(t, b)))
	b.journal.get("s").writeCheckpoint()
	n, err := l.Functions().Newest(context.Background(), at)
	require.NoError(t, err)
	require.Len(t, n.Records, 1)
	require.EqualValues(t, 2, n.Records[0].Offset)
}

// A view whose next records have expired must not lose the steps that a checkpoint knows.
func TestViewBehindTheLogGoesOnFromTheCheckpoint(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	w := b.journal.get("s")
	require.NoError(t, w.sync(context.Background()))
	v := fillPartition(t, a)
	writeCheckpoint(t, v, l)
	s := newStep("s", 1)
	acceptAt(t, v, s, a.self, time.Now())
	l.Expire(v.partition(), filledRecords+2)
	require.NoError(t, w.sync(context.Background()))
	require.False(t, w.cutOff("s"))
	r, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
}

// Guards against checkpoints that fill the log faster than the records that they stand for.
func TestCheckpointsTakeLessThanTheirRecords(t *testing.T) {
	const rounds, steps, items, text = 8, 1000, 10, 10 << 10
	l := newLog()
	var written atomic.Int64
	f := l.Functions()
	appendRecords := f.Append
	f.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		if q.Partition.Topic == checkpointsTopic {
			written.Add(int64(encodedSize(q.Records)))
		}
		return appendRecords(ctx, q)
	}
	g := newHost(t, "a", f)
	v := g.journal.get("s")
	s := newStep("s", items)
	acceptAt(t, v, s, g.self, time.Now())
	for i := range steps {
		acceptAt(t, v, newStep(fmt.Sprint("other-", i), 1), g.self, time.Now())
	}
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	before, records := written.Load(), 0
	for i := range rounds {
		for range checkpointIdleBytes / text * 2 {
			b, err := stepjournal.Saved("s", &stepjournal.Progress{ItemIndex: i, Text: strings.Repeat("x", text), LastEvent: 1})
			require.NoError(t, err)
			_, err = v.append(context.Background(), [][]byte{b})
			require.NoError(t, err)
			records += len(b)
		}
		require.NoError(t, v.sync(context.Background()))
		v.checkpoint.appliedAt -= checkpointIdleTime
		if v.checkpoint.writtenAt = 0; v.checkpoint.due(boottime.Now()) {
			v.writeCheckpoint()
		}
	}
	t.Logf("%d bytes of checkpoints for %d bytes of records", written.Load()-before, records)
	require.LessOrEqual(t, written.Load()-before, int64(records))
}

// A host that skipped records refused reads of a step that the newest checkpoint knows, as that was no
// further on than the host itself.
func TestHostThatSkippedRecordsGoesOnFromAnOlderCheckpoint(t *testing.T) {
	tests := map[string]func(t *testing.T, g *Gateway) bool{
		"read": func(t *testing.T, g *Gateway) bool {
			t.Helper()
			r, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
			require.False(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "%v", err)
			return err == nil && len(r.Results) == 1
		},
		"submitted again": func(t *testing.T, g *Gateway) bool {
			t.Helper()
			return g.Accept(context.Background(), route(g), newStep("s", 1)) == nil
		},
	}
	for name, done := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
			b.table(nil)
			w := b.journal.get("s")
			require.NoError(t, w.sync(context.Background()))
			v := fillPartition(t, a)
			l.Expire(v.partition(), filledRecords+2)
			require.NoError(t, w.sync(context.Background()))
			require.True(t, w.cutOff("s"))
			writeCheckpoint(t, v, l)
			require.Eventually(t, func() bool { return done(t, b) }, 5*time.Second, 10*time.Millisecond)
			require.False(t, w.cutOff("s"))
			require.NoError(t, w.sync(context.Background()))
			e, _, ok := w.entry("s")
			require.True(t, ok)
			require.EqualValues(t, filledRecords+1, e.From, "the step was accepted anew")
			require.Equal(t, []int64{filledRecords + 2}, e.Results)
		})
	}
}
