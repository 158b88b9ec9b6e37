package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
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
	// checkpointsPerRetention is how often within the log's retention a checkpoint is written
	// at least, while there is anything new: the records behind it must not expire.
	checkpointsPerRetention = 4
	// minCheckpointInterval is the shortest time between two checkpoints of a partition.
	minCheckpointInterval = time.Second
	// checkpointTimeout bounds the time of reading a checkpoint from a quick log.
	checkpointTimeout = 2 * readSlack
)

// checkpointing is what a view knows of the checkpoints of its partition.
type checkpointing struct {
	// maxAge is the time after which records are too old to lie behind the checkpoint.
	maxAge time.Duration
	// restored is set once the newest checkpoint was read since the view last began to follow
	// the log.
	restored bool
	// writing is set while a checkpoint is being written.
	writing bool
	// end is the end offset of the checkpoint's partition, partitionlog.NoCondition if it is not known.
	end int64
	// bytesBehind is the size of the records that were applied since the last checkpoint, the
	// first of them at behindSince. appliedAt is when a record was last applied, writtenAt when this
	// host last tried to write a checkpoint. Times are since boot.
	bytesBehind int
	// size is the size of the last checkpoint that was read or written. Fewer bytes behind it are
	// not worth another: checkpoints must not fill the log faster than what they stand for.
	size        int
	behindSince time.Duration
	appliedAt   time.Duration
	writtenAt   time.Duration
}

func newCheckpointing(retention time.Duration) checkpointing {
	return checkpointing{maxAge: retention / checkpointsPerRetention, end: partitionlog.NoCondition}
}

// applied notes that records of a total size were applied at now.
func (c *checkpointing) applied(size int, now time.Duration) {
	if c.bytesBehind == 0 {
		c.behindSince = now
	}
	c.bytesBehind += size
	c.appliedAt = now
}

// due reports whether a checkpoint should be written at now.
func (c *checkpointing) due(now time.Duration) bool {
	if c.writing || c.bytesBehind == 0 || now-c.writtenAt < minCheckpointInterval {
		return false
	}
	if now-c.behindSince >= c.maxAge {
		return true
	}
	idle := now-c.appliedAt >= checkpointIdleTime
	return c.bytesBehind >= c.size && (c.bytesBehind >= checkpointBytes || idle && c.bytesBehind >= checkpointIdleBytes)
}

// startFromCheckpoint restores the newest checkpoint once after the view began to follow the log.
func (v *view) startFromCheckpoint(ctx context.Context) error {
	v.mu.Lock()
	done := v.checkpoint.restored
	v.mu.Unlock()
	if done {
		return nil
	}
	return v.restoreNewest(ctx)
}

// restoreNewest goes on from the newest checkpoint of the partition, if that is further on than the
// view. It fails if the log does not answer. If the log rejects the call there is no checkpoint to
// be had, and the view reads the partition's records.
func (v *view) restoreNewest(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, v.j.g.peerLog.limit(checkpointTimeout))
	defer cancel()
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	n, err := v.j.g.c.Log.Newest(ctx, at)
	if err != nil {
		v.j.g.logHealth.failed(checkpointsTopic, partitionName(at), err)
	} else {
		v.j.g.logHealth.answered(partitionName(at))
	}
	if err != nil && !outcome.HasReason(err, outcome.ReasonBadRequest) {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkpoint.restored = true
	if err != nil {
		return nil
	}
	v.checkpoint.end = n.End
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
	v.checkpoint.bytesBehind, v.checkpoint.size = 0, len(b)
	close(v.changed)
	v.changed = make(chan struct{})
	v.j.g.metrics.checkpoints.WithLabelValues("restored").Inc()
	v.j.g.log.Debug("journal: checkpoint restored", zap.Int("part", v.n), zap.Int64("from", from),
		zap.Int64("next", v.fold.Next), zap.Int("steps", len(v.fold.Steps())), zap.Int("bytes", len(b)))
}

// saveCheckpoint begins to write a checkpoint of the view if one is due.
func (v *view) saveCheckpoint() {
	now := boottime.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.checkpoint.due(now) {
		return
	}
	v.checkpoint.writtenAt, v.checkpoint.writing = now, true
	v.j.g.wg.Go(v.writeCheckpoint)
}

// writeCheckpoint writes a checkpoint of the view. It is appended on the condition that no other was
// since this host last looked, so that an older one never follows a newer one.
func (v *view) writeCheckpoint() {
	ctx, cancel := context.WithTimeout(v.j.g.ctx, appendTimeout)
	defer cancel()
	defer v.endCheckpoint()
	if v.checkpointEnd() == partitionlog.NoCondition && v.restoreNewest(ctx) != nil {
		return
	}
	end := v.checkpointEnd()
	b, behind := v.encodeCheckpoint()
	if b == nil {
		return
	}
	at := partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}
	a, err := v.j.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: at, Records: [][]byte{partitionlog.EncodeKeyed(checkpointKey, b)}, ExpectedEnd: end,
	})
	v.checkpointWritten(a.End, len(b), behind, err)
}

// endCheckpoint lets the next checkpoint be written.
func (v *view) endCheckpoint() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkpoint.writing = false
}

// checkpointEnd returns the end offset of the checkpoint's partition as far as it is known.
func (v *view) checkpointEnd() int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.checkpoint.end
}

// encodeCheckpoint returns a checkpoint, nil if there can be none now, and the size of the records
// since the last one that it covers.
func (v *view) encodeCheckpoint() (b []byte, behind int) {
	v.mu.Lock()
	b, ok := v.fold.Checkpoint(v.n)
	behind = v.checkpoint.bytesBehind
	v.mu.Unlock()
	if !ok {
		return nil, 0
	}
	if limit := v.j.g.s.Log.RecordBytes; len(b) > limit-checkpointMargin {
		v.j.g.log.Warn("journal: checkpoint is larger than a record; not written", zap.Int("part", v.n),
			zap.Int("bytes", len(b)), zap.Int("limit", limit))
		return nil, 0
	}
	return b, behind
}

// checkpointMargin is the size of a keyed record without its value, in bytes.
const checkpointMargin = 1 + len(checkpointKey)

// checkpointWritten notes the outcome of an append of a checkpoint of a size that covers behind bytes
// of records, after which the partition ends at end.
func (v *view) checkpointWritten(end int64, size, behind int, err error) {
	part := partitionName(partitionlog.Partition{Topic: checkpointsTopic, Number: v.n})
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil:
		v.checkpoint.end, v.checkpoint.size = end, size
		v.checkpoint.bytesBehind = max(v.checkpoint.bytesBehind-behind, 0)
		v.checkpoint.behindSince = boottime.Now()
		v.j.g.logHealth.answered(part)
		v.j.g.metrics.checkpoints.WithLabelValues("written").Inc()
		return
	case outcome.HasReason(err, partitionlog.ReasonMoved):
		v.j.g.logHealth.answered(part)
		v.j.g.metrics.checkpoints.WithLabelValues("overtaken").Inc()
	default:
		v.j.g.logHealth.failed(checkpointsTopic, part, err)
	}
	v.checkpoint.end = partitionlog.NoCondition
}
