package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/outcome"
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

// queuedRecord is a record that waits for its append.
type queuedRecord struct {
	b []byte
	// progress names the sample whose progress it is; zero for a record of another kind.
	progress progressKey
}

// progressKey identifies a sample of a step.
type progressKey struct {
	step string
	item int
}

// post queues a record. flush appends it together with the other queued ones, and retries
// until the append is acknowledged. A record may be appended twice; the fold keeps the first. It counts
// as memory that is in use until then. One that the log never takes is dropped, so that it holds up no
// others.
func (v *view) post(b []byte) { v.enqueue(queuedRecord{b: b}) }

// postProgress is post for the progress of a sample. It takes the place of older progress of the sample
// that waits.
func (v *view) postProgress(k progressKey, b []byte) { v.enqueue(queuedRecord{b: b, progress: k}) }

func (v *view) enqueue(r queuedRecord) {
	if limit := v.j.g.s.Log.RecordBytes; len(r.b) > limit {
		v.j.g.metrics.recordsDropped.WithLabelValues("too-large").Inc()
		v.j.g.log.Error("journal: record is larger than the log allows; dropped", zap.Int("part", v.n),
			zap.Int("bytes", len(r.b)), zap.Int("limit", limit))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.j.g.memory.Charge(r.size())
	v.usedAt = time.Now()
	if i := v.olderProgress(r); i >= 0 {
		v.j.g.memory.Give(v.queue[i].size())
		v.queue[i] = r
		return
	}
	v.queue = append(v.queue, r)
	if !v.flushing {
		v.flushing = true
		v.j.g.wg.Go(v.flush)
	}
}

// olderProgress returns the index of the queued record that a record of progress replaces, -1 if there is
// none. Records that are being appended stay. The caller holds mu.
func (v *view) olderProgress(r queuedRecord) int {
	if r.progress == (progressKey{}) {
		return -1
	}
	i := slices.IndexFunc(v.queue[v.appending:], func(o queuedRecord) bool { return o.progress == r.progress })
	if i < 0 {
		return -1
	}
	return v.appending + i
}

// size returns what the record takes of the memory in use.
func (r *queuedRecord) size() int64 { return int64(encodedSize([][]byte{r.b})) }

// appendPace is how a queue is appended: later, and fewer records at once, while appends fail.
type appendPace struct {
	wait time.Duration
	// limit bounds the total size of the records of an append, but for the first.
	limit int
	// suspects is the number of records to append next among which is one that the log rejects, 0 if it
	// rejected none.
	suspects int
}

// done notes that an append of n records took d.
func (p *appendPace) done(n int, d time.Duration) {
	p.wait = logRetryDelay
	p.suspects = max(p.suspects-n, 0)
	if p.suspects == 0 && d < appendTimeout/4 {
		p.limit = min(2*p.limit, maxAppendBytes)
	}
}

// failed notes that an append of records of a total size failed. If its outcome is unknown, they may
// be too many for the time that an append has.
func (p *appendPace) failed(size int, unknown bool) {
	p.wait = min(2*p.wait, maxAppendBackoff)
	if unknown {
		p.limit = max(min(p.limit, size)/2, minAppendBytes)
	}
}

// rejected notes that the log rejected n records of a total size. One of them may be the reason, so that
// it is sought with fewer at once.
func (p *appendPace) rejected(size, n int) {
	if n == 1 {
		p.suspects, p.limit = 0, max(p.limit, minAppendBytes)
		return
	}
	p.suspects, p.limit = n, size/2
}

// flush appends the queued records until the queue is empty.
func (v *view) flush() {
	p := appendPace{wait: logRetryDelay, limit: maxAppendBytes}
	for {
		b := v.batch(p.limit)
		if len(b) == 0 {
			return
		}
		end := v.j.g.peerLog.outageEnd()
		sent := time.Now()
		_, err := v.append(v.j.g.ctx, b)
		if err == nil {
			v.removeFirst(b)
			p.done(len(b), time.Since(sent))
			continue
		}
		if v.j.g.ctx.Err() != nil {
			return
		}
		if outcome.HasReason(err, outcome.ReasonBadRequest) {
			p.rejected(encodedSize(b), len(b))
			v.dropRejected(b, err)
			continue
		}
		v.j.g.log.Debug("journal: append failed; retrying after a backoff", zap.Int("part", v.n),
			zap.Int("records", len(b)), zap.Error(err))
		v.endAttempt()
		retrySleep(v.j.g.ctx, end, p.wait)
		unknown := outcome.AsError(err).Outcome != outcome.NotRun
		p.failed(encodedSize(b), unknown)
		if unknown {
			v.dropRepeats(len(b))
		}
	}
}

// removeFirst removes the records of the last batch from the queue.
func (v *view) removeFirst(b [][]byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue, v.appending = v.queue[len(b):], 0
	v.j.g.memory.Give(int64(encodedSize(b)))
}

// endAttempt lets the records of the last batch, which were not appended, be replaced by newer ones.
func (v *view) endAttempt() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.appending = 0
}

// dropRejected drops the first queued record if the log rejected it alone. It would be rejected again,
// and hold up all others. An item whose result is dropped is run again.
func (v *view) dropRejected(b [][]byte, err error) {
	if len(b) != 1 {
		return
	}
	v.j.g.metrics.recordsDropped.WithLabelValues("rejected").Inc()
	v.j.g.log.Error("journal: record is rejected by the log; dropped", zap.Int("part", v.n),
		zap.Int("bytes", len(b[0])), zap.Error(err))
	v.removeFirst(b)
}

// dropRepeats drops those of the first n queued records that the view has read back, or that others
// made needless. The answer to their append may have been lost, and appended again they fill the log.
func (v *view) dropRepeats(n int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var keep []queuedRecord
	for _, r := range v.queue[:n] {
		if v.fold.Repeats(r.b) {
			v.j.g.memory.Give(r.size())
			continue
		}
		keep = append(keep, r)
	}
	v.queue = append(keep, v.queue[n:]...)
}

// batch returns the records to append next, up to a total size but at least one. If there are none, it
// ends the flush.
func (v *view) batch(limit int) [][]byte {
	v.mu.Lock()
	defer v.mu.Unlock()
	var r [][]byte
	size := 0
	for _, q := range v.queue {
		if len(r) > 0 && size+len(q.b) > limit {
			break
		}
		size += len(q.b)
		r = append(r, q.b)
	}
	v.appending = len(r)
	if len(r) == 0 {
		v.flushing, v.queue = false, nil
	}
	return r
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
