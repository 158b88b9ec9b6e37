package gateway

import (
	"context"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// append adds records in one call. The outcome of its error tells whether the records may
// be in the log.
func (v *view) append(ctx context.Context, r [][]byte) (partitionlog.AppendResult, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a, err := v.j.g.c.Log.Append(ctx, partitionlog.AppendRequest{
		Partition: v.partition(), Records: r, ExpectedEnd: partitionlog.NoCondition,
	})
	if err != nil {
		v.j.g.logHealth.failed(stepjournal.Topic, partitionName(v.partition()), err)
		return a, err
	}
	v.j.g.logHealth.answered(partitionName(v.partition()))
	return a, nil
}

// post queues a record. flush appends it together with the other queued ones, and retries
// until the append is acknowledged. A record may be appended twice; the fold keeps the first. It counts
// as memory that is in use until then.
func (v *view) post(b []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue = append(v.queue, b)
	v.j.g.memory.Charge(int64(encodedSize([][]byte{b})))
	v.usedAt = time.Now()
	if !v.flushing {
		v.flushing = true
		v.j.g.wg.Go(v.flush)
	}
}

// flush appends the queued records until the queue is empty.
func (v *view) flush() {
	wait := logRetryDelay
	for {
		b := v.batch()
		if len(b) == 0 {
			return
		}
		end := v.j.g.peerLog.outageEnd()
		_, err := v.append(v.j.g.ctx, b)
		if err == nil {
			v.mu.Lock()
			v.queue = v.queue[len(b):]
			v.mu.Unlock()
			v.j.g.memory.Give(int64(encodedSize(b)))
			wait = logRetryDelay
			continue
		}
		if v.j.g.ctx.Err() != nil {
			return
		}
		v.j.g.log.Debug("journal: append failed; retrying after a backoff", zap.Int("part", v.n),
			zap.Int("records", len(b)), zap.Error(err))
		retrySleep(v.j.g.ctx, end, wait)
		wait = min(2*wait, maxAppendBackoff)
	}
}

// batch returns the records to append next. If there are none, it ends the flush.
func (v *view) batch() [][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	n, size := 0, 0
	for n < len(v.queue) && (n == 0 || size+len(v.queue[n]) <= maxAppendBytes) {
		size += len(v.queue[n])
		n++
	}
	if n == 0 {
		v.flushing, v.queue = false, nil
	}
	return v.queue[:n:n]
}

// hasPending reports whether any record has not been acknowledged yet.
func (v *view) hasPending() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.queue) > 0
}

// hasPending reports whether any record of any partition has not been acknowledged yet.
func (j *journal) hasPending() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, v := range j.views {
		if v.hasPending() {
			return true
		}
	}
	return false
}
