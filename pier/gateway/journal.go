package gateway

import (
	"context"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

const (
	// viewIdle is how long a partition is followed after its last use.
	viewIdleTimeout = 10 * time.Second
	// appendLimit is how long an append to the journal may take.
	appendTimeout = 1500 * time.Millisecond
	// appendBytes bounds the results of one append.
	maxAppendBytes = 512 << 10
	// journalBytes bounds the answer to a read of a partition.
	maxJournalReadBytes = 512 << 10
	// cacheBytes bounds the results that are kept for trainers to read.
	maxCacheBytes = 768 << 10
	// appendPauseMost bounds the pause between tries to append.
	maxAppendBackoff = 600 * time.Millisecond
)

// journal is this host's view of the steps' partitions.
type journal struct {
	g  *Gateway
	mu sync.Mutex
	// views holds the partitions that were of use so far.
	views map[int]*view
	cache *cache
}

func newJournal(g *Gateway) *journal {
	return &journal{g: g, views: make(map[int]*view), cache: newCache(maxCacheBytes)}
}

// of returns the view of a step's partition and begins to follow it.
func (j *journal) follow(step string) *view {
	v := j.get(step)
	v.use()
	return v
}

// get returns the view of a step's partition, followed or not.
func (j *journal) get(step string) *view {
	return j.view(stepjournal.PartOf(step, j.g.s.Log.Partitions))
}

// following returns the view of a step's partition if it is being followed and
// knows the step.
func (j *journal) following(step string) (*view, bool) {
	v := j.get(step)
	v.mu.Lock()
	ok := v.running && v.fold.Step(step) != nil
	v.mu.Unlock()
	if ok {
		v.use()
	}
	return v, ok
}

// part returns the view of a partition and begins to follow it.
func (j *journal) followPartition(n int) *view {
	v := j.view(n)
	v.use()
	return v
}

func (j *journal) view(n int) *view {
	j.mu.Lock()
	defer j.mu.Unlock()
	v := j.views[n]
	if v == nil {
		v = &view{j: j, n: n, fold: stepjournal.NewFold(), end: -1, changed: make(chan struct{})}
		j.views[n] = v
	}
	return v
}

// view follows one partition while it is of use.
type view struct {
	j *journal
	n int

	// reading is held by the one that catches up with the log, so that records are
	// read once; a read that waits for new records does without it.
	reading sync.Mutex

	mu   sync.Mutex
	fold *stepjournal.Fold
	// end is the partition's end as last read, -1 before the first read.
	end int64
	// changed is closed and replaced with each new record.
	changed chan struct{}
	// fresh is when the newest read that reached the end was sent.
	freshAt time.Time
	usedAt  time.Time
	running bool
	// queue holds records to append; flushing tells that an append is under way.
	queue    [][]byte
	flushing bool
	// progress is when records were last acknowledged, or the first was queued.
	progressAt time.Time
	// handed is the number of the queue's records that another host has appended for
	// this one, at handedAt.
	relayed   int
	relayedAt time.Time
}

func (v *view) partition() partitionlog.Partition {
	return partitionlog.Partition{Topic: stepjournal.Topic, Part: v.n}
}

// use keeps the view following for a while.
func (v *view) use() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.usedAt = time.Now()
	if !v.running && v.j.g.ctx.Err() == nil {
		v.running = true
		v.j.g.wg.Go(v.run)
	}
}

// idle ends the following when the view was not used; it reports whether it did.
func (v *view) stopIfIdle() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.usedAt) > viewIdleTimeout {
		v.running = false
	}
	return !v.running
}

func (v *view) run() {
	for v.j.g.ctx.Err() == nil && !v.stopIfIdle() {
		var err error
		if v.behind() {
			err = v.catchUp(v.j.g.ctx)
		} else {
			err = v.read(v.j.g.ctx, readWait)
		}
		if err != nil {
			backoff.For(v.j.g.ctx, logRetryDelay)
		}
	}
}

// behind reports whether there are records that the view has not read.
func (v *view) behind() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Next < v.end || v.end < 0
}

// catchUp reads what is there without waiting for more.
func (v *view) catchUp(ctx context.Context) error {
	v.reading.Lock()
	defer v.reading.Unlock()
	return v.read(ctx, 0)
}

// read takes the next records, waiting for the first.
func (v *view) read(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	v.mu.Lock()
	from := v.fold.Next
	v.mu.Unlock()
	sent := time.Now()
	p, err := v.j.g.c.Log.Read(ctx, partitionlog.ReadRequest{Partition: v.partition(), From: from, MaxBytes: maxJournalReadBytes, Wait: wait})
	if outcome.Is(err, partitionlog.ReasonExpired) {
		v.skip(p.First)
		return nil
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

func (v *view) skip(first int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.j.g.log.Warn("journal: records expired", zap.Int("part", v.n), zap.Int64("from", v.fold.Next), zap.Int64("first", first))
	v.fold.Skip(first)
}

// take folds the records of a page that are not folded yet.
func (v *view) apply(p partitionlog.Page, sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, b := range p.Records {
		at := p.From + int64(i)
		if at != v.fold.Next {
			continue
		}
		if err := v.fold.Apply(b); err != nil {
			v.j.g.metrics.unreadable.WithLabelValues(stepjournal.Topic).Inc()
			v.j.g.log.Warn("journal: record cannot be read", zap.Int("part", v.n), zap.Int64("offset", at), zap.Error(err))
			continue
		}
		v.j.cache.put(cacheKey{v.n, at}, b)
	}
	v.end = max(v.end, p.End)
	if v.fold.Next >= p.End && sent.After(v.freshAt) {
		v.freshAt = sent
	}
	if len(p.Records) > 0 {
		close(v.changed)
		v.changed = make(chan struct{})
		v.fold.Forget(time.Now().Add(-v.j.g.s.Log.Retention.D()))
	}
}

// sync returns once the view has every record that was there at the call.
func (v *view) sync(ctx context.Context) error {
	asked := time.Now()
	for {
		v.reading.Lock()
		var err error
		if v.staleAt(asked) {
			err = v.read(ctx, 0)
		}
		v.reading.Unlock()
		if err != nil {
			return err
		}
		if !v.staleAt(asked) {
			return nil
		}
		if ctx.Err() != nil {
			return outcome.Refuse(outcome.ReasonDeadline, "journal")
		}
	}
}

// staleAt reports whether the view may lack records that were there at t.
func (v *view) staleAt(t time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.freshAt.Before(t)
}

// entry returns a copy of a step's entry, and the channel that is closed with the
// next record; ok is false for a step that is not known.
func (v *view) entry(step string) (e stepjournal.Entry, changed <-chan struct{}, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.fold.Step(step)
	if p == nil {
		return stepjournal.Entry{}, v.changed, false
	}
	e = *p
	e.Saved = nil
	return e, v.changed, true
}

// saved returns where the progress of a step's unfinished items stands.
func (v *view) savedProgress(step string) map[int]int64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if e := v.fold.Step(step); e != nil {
		return maps.Clone(e.Saved)
	}
	return nil
}

// finished returns which items of a step have results.
func (v *view) finished(step string, n int) []bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	r := make([]bool, n)
	e := v.fold.Step(step)
	for i := range r {
		r[i] = e != nil && e.Done(i)
	}
	return r
}

// open returns the entries of the steps that want results.
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

// append adds records in one call. Its error tells whether they may be there.
func (v *view) append(ctx context.Context, r [][]byte) (partitionlog.Appended, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	a, err := v.j.g.c.Log.Append(ctx, partitionlog.AppendRequest{Partition: v.partition(), Records: r, At: partitionlog.NoCondition})
	if err != nil {
		v.j.g.logHealth.failed(stepjournal.Topic, partitionName(v.partition()), err)
		return a, err
	}
	v.j.g.logHealth.answered(partitionName(v.partition()))
	return a, nil
}

// post appends a record until it is acknowledged, together with others that come
// meanwhile. Records may be appended twice: the fold takes the first.
func (v *view) post(b []byte) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.queue = append(v.queue, b)
	v.usedAt = time.Now()
	if !v.flushing {
		v.flushing, v.progressAt = true, time.Now()
		v.j.g.wg.Go(v.flush)
	}
}

func (v *view) flush() {
	wait := logRetryDelay
	for {
		b := v.batch()
		if len(b) == 0 {
			return
		}
		_, err := v.append(v.j.g.ctx, b)
		if err == nil {
			v.mu.Lock()
			v.queue = v.queue[len(b):]
			v.relayed = max(v.relayed-len(b), 0)
			v.progressAt = time.Now()
			v.mu.Unlock()
			wait = logRetryDelay
			continue
		}
		if v.j.g.ctx.Err() != nil {
			return
		}
		v.j.g.log.Debug("journal: append failed", zap.Int("part", v.n), zap.Int("records", len(b)), zap.Error(err))
		backoff.For(v.j.g.ctx, wait)
		wait = min(2*wait, maxAppendBackoff)
	}
}

// batch returns the records to append next; none ends the flushing.
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

// posting reports whether records wait to be acknowledged.
func (j *journal) hasPending() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, v := range j.views {
		v.mu.Lock()
		n := len(v.queue)
		v.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// records returns the records from an offset on, out of the cache if they are
// there; at least the first.
func (v *view) records(ctx context.Context, from int64, n int) ([][]byte, error) {
	var r [][]byte
	for i := range n {
		b, ok := v.j.cache.get(cacheKey{v.n, from + int64(i)})
		if !ok {
			break
		}
		r = append(r, b)
	}
	if len(r) > 0 {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	p, err := v.j.g.c.Log.Read(ctx, partitionlog.ReadRequest{Partition: v.partition(), From: from, MaxBytes: maxReadBytes})
	if err != nil {
		return nil, err
	}
	if len(p.Records) == 0 {
		return nil, outcome.Refuse(outcome.ReasonLogDown, "journal record is missing")
	}
	for i, b := range p.Records {
		v.j.cache.put(cacheKey{v.n, from + int64(i)}, b)
	}
	return p.Records[:min(n, len(p.Records))], nil
}
