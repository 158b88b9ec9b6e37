package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/partitionlog"
)

// The host to which the log assigns a partition writes a checkpoint of its view from time to
// time. Any host that begins to follow the partition starts from the newest one: replaying
// whole partitions would cost more of the log's read limit, on more hosts, the more is kept in
// it, and all hosts need it at once after all were lost.

const (
	// checkpointsTopic holds the newest checkpoint of each partition of the journal, in the
	// partition with the same number.
	checkpointsTopic = "keyed.checkpoints"
	// checkpointKey is the key of a checkpoint in its partition.
	checkpointKey = "checkpoint"
	// checkpointBytes is the size of the records behind a checkpoint after which another is
	// written. Once nothing was appended for checkpointIdleTime, checkpointIdleBytes suffice.
	checkpointBytes     = 384 << 10
	checkpointIdleBytes = 32 << 10
	checkpointIdleTime  = time.Second
	// minCheckpointInterval is the shortest time between two checkpoints of a partition.
	minCheckpointInterval = time.Second
)

// checkpoints is what a view knows of its checkpoints.
type checkpoints struct {
	// restored is set once the newest checkpoint was looked up since the view last began to
	// follow the log.
	restored bool
	// bytesBehind is the size of the records that were applied since the last checkpoint.
	bytesBehind int
	// appliedAt is the time since boot at which a record was last applied, writtenAt that at which
	// this host last tried to write a checkpoint.
	appliedAt time.Duration
	writtenAt time.Duration
}

// due reports whether a checkpoint should be written at now.
func (c *checkpoints) due(now time.Duration) bool {
	if now-c.writtenAt < minCheckpointInterval {
		return false
	}
	return c.bytesBehind >= checkpointBytes ||
		c.bytesBehind >= checkpointIdleBytes && now-c.appliedAt >= checkpointIdleTime
}

// restore is restoreNewest, once after the view began to follow the log.
func (v *view) restore(ctx context.Context) error {
	v.mu.Lock()
	done := v.checkpoints.restored
	v.mu.Unlock()
	if done {
		return nil
	}
	return v.restoreNewest(ctx)
}

// restoreNewest goes on from the newest checkpoint of the partition, if that is further on than the
// view.
func (v *view) restoreNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	n, err := v.j.g.c.Log.Newest(ctx, at)
	if err != nil {
		v.j.g.logHealth.failed(checkpointsTopic, partitionName(at), err)
		return err
	}
	v.j.g.logHealth.answered(partitionName(at))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkpoints.restored = true
	for _, r := range n.Records {
		if r.Key == checkpointKey {
			v.adopt(r.Value)
		}
	}
	return nil
}

// adopt restores a checkpoint. The caller holds mu.
func (v *view) adopt(b []byte) {
	from := v.fold.Next
	if err := v.fold.Restore(b, v.n); err != nil {
		v.j.g.unreadable.skipped(checkpointsTopic, err, zap.Int("part", v.n))
		return
	}
	if v.fold.Next == from {
		return
	}
	v.checkpoints.bytesBehind = 0
	close(v.changed)
	v.changed = make(chan struct{})
	v.j.g.metrics.checkpoints.WithLabelValues("restored").Inc()
	v.j.g.log.Debug("journal: checkpoint restored", zap.Int("part", v.n), zap.Int64("from", from),
		zap.Int64("next", v.fold.Next), zap.Int("steps", len(v.fold.Steps())), zap.Int("bytes", len(b)))
}

// saveCheckpoint writes a checkpoint of the view if one is due.
func (v *view) saveCheckpoint() {
	now := boottime.Now()
	v.mu.Lock()
	if !v.checkpoints.due(now) {
		v.mu.Unlock()
		return
	}
	b, ok := v.fold.Checkpoint(v.n)
	next, behind := v.fold.Next, v.checkpoints.bytesBehind
	v.checkpoints.writtenAt = now
	v.mu.Unlock()
	if !ok {
		return
	}
	if limit := v.j.g.s.Log.RecordBytes; len(b) > limit-checkpointMargin {
		v.j.g.log.Warn("journal: checkpoint is larger than a record; not written", zap.Int("part", v.n),
			zap.Int("bytes", len(b)), zap.Int("limit", limit))
		return
	}
	v.j.g.wg.Go(func() { v.appendCheckpoint(b, next, behind) })
}

// checkpointMargin is the size of a keyed record without its value, in bytes.
const checkpointMargin = 1 + len(checkpointKey)

// appendCheckpoint appends a checkpoint of the records before next, behind of whose bytes the
// previous one lacks.
func (v *view) appendCheckpoint(b []byte, next int64, behind int) {
	ctx, cancel := context.WithTimeout(v.j.g.ctx, appendTimeout)
	defer cancel()
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	_, err := v.j.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: at, Records: [][]byte{partitionlog.EncodeKeyed(checkpointKey, b)}, ExpectedEnd: partitionlog.NoCondition,
	})
	if err != nil {
		v.j.g.logHealth.failed(checkpointsTopic, partitionName(at), err)
		return
	}
	v.j.g.logHealth.answered(partitionName(at))
	v.j.g.metrics.checkpoints.WithLabelValues("written").Inc()
	v.j.g.log.Debug("journal: checkpoint written", zap.Int("part", v.n), zap.Int64("next", next), zap.Int("bytes", len(b)))
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkpoints.bytesBehind -= behind
}
