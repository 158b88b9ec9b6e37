package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// viewIdleTimeout is how long a partition is followed after its last use.
	viewIdleTimeout = 10 * time.Second
	// retryPageTimeout and retryPageBytes bound the time in a quick log, and the size, of a page of a
	// partition whose last page failed.
	retryPageTimeout = 250 * time.Millisecond
	retryPageBytes   = 32 << 10
)

// view is the replayed state of one partition. It follows the log while it is in use.
type view struct {
	j *journal
	// n is the number of the partition.
	n int

	// reading holds an entry while the view catches up with the log, so that concurrent
	// callers read records only once. Long-poll reads at the end of the log don't need it.
	reading chan struct{}
	// failing is set if the last page that was read to catch up failed. The holder of reading
	// uses it.
	failing bool

	mu sync.Mutex
	// fold is the state replayed from the partition's records.
	fold *stepjournal.Fold
	// end is the partition's end offset as last read, -1 before the first read.
	end int64
	// changed is closed and replaced when records were read.
	changed chan struct{}
	// freshAt is when the newest read that reached the partition's end was sent.
	freshAt time.Time
	// usedAt is the time of the last use; running is set while run follows the log.
	usedAt  time.Time
	running bool
	// checkpoint is what is known of the partition's checkpoints.
	checkpoint checkpointing
	// rebuilding is set while rebuild runs; it does not run again before rebuildAfter, since boot.
	rebuilding   bool
	rebuildAfter time.Duration
	// replay counts what was read to replay the partition.
	replay replayCount
	// pages holds the pages of records that are being read, by their first offset.
	pages map[int64]*pageRead
	// loads holds the accepted steps that are being read, or were a short time ago, by id.
	loads map[string]*stepLoad
	// queue holds records to append; flushing is set while flush appends them, the first sending of
	// them at present.
	queue    []queuedRecord
	flushing bool
	sending  int
}

func (v *view) partition() partitionlog.Partition {
	return partitionlog.Partition{Topic: stepjournal.Topic, Number: v.n}
}

// use keeps the view following the log for viewIdleTimeout.
func (v *view) use() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usedAt = time.Now()
	if !v.running && v.j.g.ctx.Err() == nil {
		v.running = true
		v.checkpoint.restored, v.end = false, -1
		v.j.g.wg.Go(v.run)
	}
}

// stopIfIdle marks the view as not running if it was not used for viewIdleTimeout, and
// reports whether it did.
func (v *view) stopIfIdle() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.usedAt) > viewIdleTimeout {
		v.running = false
	}
	return !v.running
}

func (v *view) run() {
	failures := 0
	for v.j.g.ctx.Err() == nil && !v.stopIfIdle() {
		var err error
		end := v.j.g.peerLog.outageEnd()
		if v.behind() {
			err = v.catchUp(v.j.g.ctx, time.Now())
		} else {
			err = v.read(v.j.g.ctx, partitionlog.ReadRequest{MaxBytes: v.j.pace.pageBytes(), Wait: readWait})
		}
		if err == nil {
			failures = 0
			continue
		}
		failures++
		retrySleep(v.j.g.ctx, end, v.j.pace.delay(failures))
	}
}

// behind reports whether the partition holds records that the view has not read, as far as
// is known.
func (v *view) behind() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Next < v.end || v.end < 0
}

// catchUp reads the next page without waiting for new records, unless the view has read up to
// the end since asked. A page is read to its end, and kept, also if ctx ends meanwhile.
func (v *view) catchUp(ctx context.Context, asked time.Time) error {
	select {
	case v.reading <- struct{}{}:
	case <-ctx.Done():
		return outcome.Refuse(outcome.ReasonOf(ctx), "journal")
	}
	if v.j.g.ctx.Err() != nil {
		<-v.reading
		return outcome.Refuse(outcome.ReasonCancelled, "journal")
	}
	done := make(chan error, 1)
	v.j.g.wg.Go(func() {
		defer func() { <-v.reading }()
		var err error
		if v.staleAt(asked) {
			err = v.readInTurn()
		}
		done <- err
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return outcome.Refuse(outcome.ReasonOf(ctx), "journal")
	}
}

// readInTurn reads the newest checkpoint, if that was not read, or else a page without a wait: what the
// checkpoint tells may be enough for a reader. Pages of a view that is behind are large, and are read in
// turn; the time allowed for a page begins with its turn.
func (v *view) readInTurn() error {
	if v.needsCheckpoint() {
		return v.restoreNewest(v.j.g.ctx)
	}
	if v.behind() {
		end, err := v.j.pace.takeTurn(v.j.g.ctx, v.failing)
		if err != nil {
			return err
		}
		defer end()
	}
	err := v.readTurn()
	v.failing = err != nil
	return err
}

// readTurn reads a page in its turn. One of a partition that failed before is small and has little
// time, as others wait for their turns behind it.
func (v *view) readTurn() error {
	if !v.failing {
		return v.read(v.j.g.ctx, partitionlog.ReadRequest{MaxBytes: v.j.pace.pageBytes()})
	}
	ctx, cancel := context.WithTimeout(v.j.g.ctx, v.j.g.peerLog.limit(retryPageTimeout))
	defer cancel()
	return v.read(ctx, partitionlog.ReadRequest{MaxBytes: retryPageBytes})
}

// read reads and applies the next records. Records that the log no longer holds are skipped.
func (v *view) read(ctx context.Context, q partitionlog.ReadRequest) error {
	q.From, _ = v.position()
	sent := time.Now()
	p, err := v.fetch(ctx, pageReplay, q)
	if outcome.HasReason(err, partitionlog.ReasonExpired) {
		return v.passExpired(ctx, p.First)
	}
	if err != nil {
		if v.j.g.ctx.Err() == nil {
			v.j.g.logHealth.failed(stepjournal.Topic, partitionName(v.partition()), err)
		}
		return err
	}
	v.j.g.logHealth.answered(partitionName(v.partition()))
	v.apply(p, sent)
	return nil
}

// passExpired moves the view on to the first record that the log holds: by the newest
// checkpoint, or by skipping the records in between if there is none that is far enough on.
func (v *view) passExpired(ctx context.Context, first int64) error {
	if err := v.restoreNewest(ctx); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.fold.Next >= first {
		return nil
	}
	v.j.g.log.Warn("journal: records expired", zap.Int("part", v.n), zap.Int64("from", v.fold.Next),
		zap.Int64("first", first))
	v.fold.SkipTo(first)
	return nil
}

// apply folds the records of a page that are not folded yet. Pages may overlap, as a
// long-poll read runs concurrently with catch-up reads.
func (v *view) apply(p partitionlog.Page, sent time.Time) {
	now := boottime.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, b := range p.Records {
		at := p.From + int64(i)
		if at != v.fold.Next {
			continue
		}
		if err := v.fold.Apply(b); err != nil {
			v.j.g.unreadable.skipped(stepjournal.Topic, err, zap.Int("part", v.n), zap.Int64("offset", at))
			continue
		}
		v.keep(at, b)
		v.checkpoint.applied(len(b), now)
	}
	v.fold.DropExpired(p.First, p.End)
	v.end = max(v.end, p.End)
	if v.fold.Next >= p.End && sent.After(v.freshAt) {
		v.freshAt = sent
	}
	if len(p.Records) > 0 {
		v.notifyChanged()
	}
}

// notifyChanged wakes those that wait for a change of the view. The caller holds mu.
func (v *view) notifyChanged() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// sync returns once the view has every record that was in the partition at the call.
func (v *view) sync(ctx context.Context) error {
	return v.syncUntil(ctx, func() bool { return false })
}

// syncUntil is sync, but returns as soon as the records that were read so far are enough.
func (v *view) syncUntil(ctx context.Context, enough func() bool) error {
	defer enterStage(ctx, stageReplay)()
	v.lookAgainIfIdle()
	asked := time.Now()
	failures := 0
	for !enough() && v.staleAt(asked) {
		err := v.catchUp(ctx, asked)
		if err == nil {
			failures = 0
			continue
		}
		failures++
		if !v.retry(ctx, err, failures) {
			return err
		}
	}
	return nil
}

// lookAgainIfIdle has a view that does not follow the log start from the newest checkpoint again, if
// much may have been appended since its last read.
func (v *view) lookAgainIfIdle() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.running && time.Since(v.freshAt) > viewIdleTimeout {
		v.checkpoint.restored = false
	}
}

// staleAt reports whether the view may lack records that were in the partition at t.
func (v *view) staleAt(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshAt.Before(t)
}

// entry returns a copy of a step's entry without its saved progress, and a channel that is
// closed when the next records are read. ok is false for an unknown step.
func (v *view) entry(step string) (e stepjournal.Entry, changed <-chan struct{}, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.fold.Step(step)
	if p == nil {
		return stepjournal.Entry{}, v.changed, false
	}
	e = *p
	e.ProgressOffsets = nil
	return e, v.changed, true
}

// cutOff reports whether the log may hold records of a step that the view cannot interpret, since
// those before them expired unread.
func (v *view) cutOff(step string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.CutOff(step)
}

// savedProgress returns the offsets of the newest progress records of a step's unfinished
// items, by item.
func (v *view) savedProgress(step string) map[int]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.fold.Step(step); e != nil {
		return maps.Clone(e.ProgressOffsets)
	}
	return nil
}

// finished reports which of a step's n items have results.
func (v *view) finished(step string, n int) []bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := make([]bool, n)
	e := v.fold.Step(step)
	for i := range r {
		r[i] = e != nil && e.HasResult(i)
	}
	return r
}

// openSteps returns the entries of the steps that lack results and were not ended.
func (v *view) openSteps() []stepjournal.Entry {
	v.mu.Lock()
	defer v.mu.Unlock()
	var r []stepjournal.Entry
	for _, e := range v.fold.Steps() {
		if e.Open() {
			r = append(r, *e)
		}
	}
	return r
}
