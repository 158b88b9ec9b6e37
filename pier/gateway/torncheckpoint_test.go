package gateway

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// A checkpoint was replaced each time a host read its parts. The host took it for none and skipped the
// expired records, so that it refused the steps in them also once the checkpoint could be read.
func TestCheckpointThatIsReplacedAtEachReadCutsNoStepOff(t *testing.T) {
	l := newLog()
	a := smallRecords(newHost(t, "a", l.Functions()), 400)
	v := a.journal.view(0)
	ids := partitionIDs(0, 10)
	for _, id := range ids {
		acceptAt(t, v, newStep(id, 1), a.self, time.Now())
		appendResult(t, v, newStep(id, 1), 0)
	}
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	l.Expire(v.partition(), 3)
	var settled atomic.Bool
	b := newHost(t, "b", keyByKey(l.Functions(), func() {
		if settled.Load() {
			return
		}
		appendResult(t, v, newStep(ids[0], 1), 0)
		require.NoError(t, v.sync(context.Background()))
		v.writeCheckpoint()
	}))
	_, err := b.Results(context.Background(), Principal{}, ids[1], 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	require.False(t, b.journal.view(0).cutOff(ids[1]))
	settled.Store(true)
	r, err := b.Results(context.Background(), Principal{}, ids[1], 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
	require.Zero(t, metric(t, b, `journal_checkpoints_total{event="rebuilt"}`))
}

// A checkpoint whose parts never join must not be waited for: all is replayed, and another written.
func TestOddCheckpointInSeveralPagesIsReplaced(t *testing.T) {
	l := newLog()
	a := smallRecords(newHost(t, "a", l.Functions()), 200)
	v := a.journal.view(0)
	ids := partitionIDs(0, 10)
	for _, id := range ids {
		acceptAt(t, v, newStep(id, 1), a.self, time.Now())
		appendResult(t, v, newStep(id, 1), 0)
	}
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	odd := partitionlog.EncodeKeyed(partKey(1), []byte(strings.Repeat("x", 100)))
	_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: checkpointsTopic}, Records: [][]byte{odd}, ExpectedEnd: partitionlog.NoCondition,
	})
	require.NoError(t, err)
	b := newHost(t, "b", keyByKey(l.Functions(), func() {}))
	for _, id := range ids {
		r, err := b.Results(context.Background(), Principal{}, id, 0, 0)
		require.NoError(t, err)
		require.Len(t, r.Results, 1)
	}
	b.journal.view(0).writeCheckpoint()
	require.EqualValues(t, 1, metric(t, b, `journal_checkpoints_total{event="written"}`))
	c := newHost(t, "c", keyByKey(l.Functions(), func() {}))
	_, err = c.Results(context.Background(), Principal{}, ids[0], 0, 0)
	require.NoError(t, err)
	require.EqualValues(t, 1, metric(t, c, `journal_checkpoints_total{event="restored"}`))
}
