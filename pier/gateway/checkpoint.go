package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// The host to which the log assigns a partition writes a checkpoint of its view from time to
// time. Any host that begins to follow the partition starts from the newest one: replaying
// whole partitions would cost more of the log's read limit, on more hosts, the more is kept in
// it, and all hosts need it at once after all were lost.

const (
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
	// maxCheckpointPause bounds the time until the next attempt after failed ones.
	maxCheckpointPause = 15 * time.Second
	// checkpointTimeout bounds the time of reading a page of a checkpoint from a quick log.
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
	// keys holds the keys of the newest checkpoint's records as of end.
	keys map[string]bool
	// failures is the number of attempts in a row to write a checkpoint that failed. None is made
	// before pausedUntil, since boot.
	failures    int
	pausedUntil time.Duration
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
	if c.writing || c.bytesBehind == 0 || now < c.pausedUntil || now-c.writtenAt < minCheckpointInterval {
		return false
	}
	if now-c.behindSince >= c.maxAge {
		return true
	}
	idle := now-c.appliedAt >= checkpointIdleTime
	return c.bytesBehind >= c.size && (c.bytesBehind >= checkpointBytes || idle && c.bytesBehind >= checkpointIdleBytes)
}

// needsCheckpoint reports whether the newest checkpoint was not read yet since the view began to
// follow the log.
func (v *view) needsCheckpoint() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return !v.checkpoint.restored
}

// restoreNewest goes on from the newest checkpoint of the partition, if that is further on than the
// view. It fails if the log does not answer. If the log rejects the call there is no checkpoint to
// be had, and the view reads the partition's records.
func (v *view) restoreNewest(ctx context.Context) error {
	s, b, err := v.readCheckpoint(ctx)
	if err != nil && !outcome.HasReason(err, outcome.ReasonBadRequest) {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.checkpoint.restored = true
	if err != nil {
		return nil
	}
	v.checkpoint.end, v.checkpoint.keys = s.end, s.keys()
	if b != nil {
		v.adopt(b)
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
	v.notifyChanged()
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
	defer v.endCheckpoint()
	if v.checkpointEnd() == partitionlog.NoCondition && v.restoreNewest(v.j.g.ctx) != nil {
		return
	}
	w := v.prepareCheckpoint()
	if w == nil {
		return
	}
	ctx, cancel := context.WithTimeout(v.j.g.ctx, v.j.g.peerLog.limit(appendTimeout))
	defer cancel()
	a, err := v.j.g.c.Log.Append(ctx, w.request)
	v.checkpointWritten(w, a.End, err)
}

// checkpointWrite is an append of a checkpoint.
type checkpointWrite struct {
	request partitionlog.AppendRequest
	// keys holds the keys of the checkpoint's records.
	keys map[string]bool
	// size is the size of the checkpoint, behind that of the records since the last one that it
	// covers.
	size, behind int
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

// prepareCheckpoint returns the append of a checkpoint, nil if there can be none now. One that is too
// large is not encoded again soon.
func (v *view) prepareCheckpoint() *checkpointWrite {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.checkpoint.end == partitionlog.NoCondition {
		return nil
	}
	b, ok := v.fold.Checkpoint(v.n)
	if !ok {
		return nil
	}
	w := &checkpointWrite{size: len(b), behind: v.checkpoint.bytesBehind}
	records, keys, err := checkpointRecords(b, v.checkpoint.keys, v.j.g.s.Log)
	if err != nil {
		v.checkpoint.pausedUntil = boottime.Now() + v.checkpoint.maxAge
		v.j.g.log.Warn("journal: checkpoint is not written", zap.Int("part", v.n), zap.Error(err))
		return nil
	}
	w.keys = keys
	w.request = partitionlog.AppendRequest{
		Partition: partitionlog.Partition{Topic: checkpointsTopic, Number: v.n}, Records: records, ExpectedEnd: v.checkpoint.end,
	}
	return w
}

// checkpointWritten notes the outcome of an append of a checkpoint, after which the partition ends at
// end.
func (v *view) checkpointWritten(w *checkpointWrite, end int64, err error) {
	part := partitionName(w.request.Partition)
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case err == nil:
		v.checkpoint.end, v.checkpoint.keys, v.checkpoint.size = end, w.keys, w.size
		v.checkpoint.bytesBehind = max(v.checkpoint.bytesBehind-w.behind, 0)
		v.checkpoint.behindSince, v.checkpoint.failures = boottime.Now(), 0
		v.j.g.logHealth.answered(part)
		v.j.g.metrics.checkpoints.WithLabelValues("written").Inc()
		return
	case outcome.HasReason(err, partitionlog.ReasonMoved):
		v.j.g.logHealth.answered(part)
		v.j.g.metrics.checkpoints.WithLabelValues("overtaken").Inc()
	default:
		v.j.g.logHealth.failed(checkpointsTopic, part, err)
		v.checkpoint.pausedUntil = boottime.Now() + backoff.Exponential(minCheckpointInterval, maxCheckpointPause, v.checkpoint.failures)
		v.checkpoint.failures++
	}
	v.checkpoint.end = partitionlog.NoCondition
}
