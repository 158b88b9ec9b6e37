package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// maxPageFailures bounds the attempts in a row to read a page that its reader waits for.
const maxPageFailures = 4

const (
	// recordsAtPatience bounds the time that recordsAt spends on pages that fail.
	recordsAtPatience = 2 * time.Second
	// maxSparseness bounds the records of a page by their ratio to those that are wanted of it:
	// those that lie farther apart are read one by one.
	maxSparseness = 2
	// assumedRecordBytes is the size assumed of a record before one was read.
	assumedRecordBytes = 4 << 10
)

// pagePurpose is what a page of the journal is read for. It is also a label value of metrics.
type pagePurpose string

const (
	// pageReplay is a page to replay a partition, pageRecords one for single records.
	pageReplay  pagePurpose = "replay"
	pageRecords pagePurpose = "records"
)

// fetch reads a page of the partition in the time allowed. What becomes of a page that is not
// waited for tells in which size to ask for the next one.
func (v *view) fetch(ctx context.Context, purpose pagePurpose, q partitionlog.ReadRequest) (partitionlog.Page, error) {
	limited, cancel := context.WithTimeout(ctx, q.Wait+v.j.g.peerLog.limit(readSlack))
	defer cancel()
	q.Partition = v.partition()
	sent := time.Now()
	p, err := v.j.g.c.Log.Read(limited, q)
	if outcome.HasReason(err, partitionlog.ReasonExpired) {
		return p, err
	}
	if err != nil {
		v.pageGivenUp(purpose, q.MaxBytes, err)
		if q.Wait == 0 && ctx.Err() == nil {
			v.j.pace.failed(q.MaxBytes, err)
		}
		return p, err
	}
	n := v.pageRead(purpose, p.Records)
	if q.Wait == 0 {
		v.j.pace.done(q.MaxBytes, n, time.Since(sent))
	}
	return p, nil
}

// pageRead counts the records of a page, and returns their size.
func (v *view) pageRead(purpose pagePurpose, records [][]byte) int {
	n := 0
	for _, b := range records {
		n += len(b)
	}
	v.j.g.metrics.journalBytes.WithLabelValues(string(purpose)).Add(float64(n))
	if purpose == pageReplay {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.replay.pages++
		v.replay.bytes += n
	}
	return n
}

// pageGivenUp counts a page that was asked for and did not arrive as a whole.
func (v *view) pageGivenUp(purpose pagePurpose, asked int, err error) {
	reason := pageFailure(err)
	v.j.g.metrics.pagesGivenUp.WithLabelValues(string(purpose), reason).Inc()
	v.j.g.metrics.bytesGivenUp.WithLabelValues(string(purpose), reason).Add(float64(asked))
	if purpose != pageReplay {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replay.givenUp++
	v.replay.lastError = err
}

// fetchRecords reads a page of the partition. A page that fails is read again while that may help.
func (v *view) fetchRecords(ctx context.Context, from int64) (partitionlog.Page, error) {
	for failures := 1; ; failures++ {
		p, err := v.readPage(ctx, from)
		if err == nil || !v.retry(ctx, err, failures) {
			return p, err
		}
	}
}

// retry reports, after a delay, whether a page is to be read again of which a number of attempts
// in a row failed: not if the log refuses it by all paths, or the caller no longer waits. A caller
// without a deadline goes on at the first failure, and tries again by itself if need be: a driver
// must not stand still while the log does.
func (v *view) retry(ctx context.Context, err error, failures int) bool {
	_, limited := ctx.Deadline()
	refused := !isTimeout(err) && v.j.g.peerLog.directFails()
	if !limited || failures >= maxPageFailures || refused || outcome.HasReason(err, partitionlog.ReasonExpired) {
		return false
	}
	return backoff.Sleep(ctx, v.j.pace.delay(failures))
}

// isTimeout reports whether a page did not arrive in time.
func isTimeout(err error) bool { return errors.Is(err, context.DeadlineExceeded) }

// pageFailure returns why a page did not arrive, as a label value of metrics.
func pageFailure(err error) string {
	e := outcome.AsError(err)
	switch {
	case isTimeout(err):
		return "timeout"
	case e.Outcome == outcome.NotRun:
		return "refused"
	}
	return string(e.Reason)
}

// replayed returns what was read so far to replay the partition.
func (v *view) replayed() replayCount {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.replay
}

// position returns the offset of the record to read next, and the end as last read.
func (v *view) position() (next, end int64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.fold.Next, v.end
}

// keep caches a record, but for progress: it is read only if a step gets another driver, and
// would take the place of the results that trainers read.
func (v *view) keep(at int64, b []byte) {
	if !stepjournal.IsProgress(b) {
		v.j.cache.put(cacheKey{v.n, at}, b)
	}
}

// cached reports whether a record is in the cache.
func (v *view) cached(at int64) bool {
	_, ok := v.j.cache.get(cacheKey{v.n, at})
	return ok
}

// records returns up to n records from an offset on, but at least one. Those in the cache
// are returned without a read of the log.
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
	p, err := v.fetchRecords(ctx, from)
	if err != nil {
		return nil, err
	}
	if len(p.Records) == 0 {
		return nil, outcome.Refuse(outcome.ReasonLogDown, "journal record is missing")
	}
	return p.Records[:min(n, len(p.Records))], nil
}

// recordsAt calls found for the records at given offsets, in their order and as they arrive. It reads
// them in few pages, each in its turn. A page that fails is read again, but none is after
// recordsAtPatience was spent on failures. Records that cannot be read are left out.
func (v *view) recordsAt(ctx context.Context, offsets []int64, found func(at int64, b []byte)) {
	w := wantedRecords{offsets: slices.Sorted(slices.Values(offsets)), found: found}
	for len(w.offsets) > 0 && w.wasted < recordsAtPatience && ctx.Err() == nil {
		v.readWanted(ctx, &w)
	}
}

// readWanted reads one page of wanted records. If it fails, it returns after the delay until the
// next one.
func (v *view) readWanted(ctx context.Context, w *wantedRecords) {
	end, err := v.turnToReadWanted(ctx, w)
	if err != nil {
		return
	}
	began := time.Now()
	p, err := v.fetch(ctx, pageRecords, partitionlog.ReadRequest{
		From: w.offsets[0], MaxBytes: min(v.j.pace.pageBytes(), maxReadBytes, w.pageBytes()),
	})
	end()
	if err == nil || outcome.HasReason(err, partitionlog.ReasonExpired) {
		w.take(p)
		return
	}
	w.failures++
	backoff.Sleep(ctx, v.j.pace.delay(w.failures))
	w.wasted += time.Since(began)
	if w.failures == maxPageFailures {
		w.failures, w.offsets = 0, w.offsets[1:]
	}
}

// turnToReadWanted waits for the turn to read a page of wanted records, and returns the function
// that ends it. After a failure, the wait counts as spent on failures, which bounds it.
func (v *view) turnToReadWanted(ctx context.Context, w *wantedRecords) (end func(), err error) {
	if w.failures == 0 {
		return v.j.pace.takeTurn(ctx, false)
	}
	began := time.Now()
	defer func() { w.wasted += time.Since(began) }()
	ctx, cancel := context.WithTimeout(ctx, recordsAtPatience-w.wasted)
	defer cancel()
	return v.j.pace.takeTurn(ctx, true)
}

// wantedRecords is the state of a read of records at given offsets.
type wantedRecords struct {
	// offsets holds the offsets that are still to be read, in ascending order.
	offsets []int64
	// found is called for each wanted record that was read.
	found func(at int64, b []byte)
	// records and bytes count what was read, wanted or not.
	records, bytes int
	// failures counts the attempts in a row that failed to read the next page, and wasted is the
	// time spent on all that failed.
	failures int
	wasted   time.Duration
}

// pageBytes returns the expected size of the next page: of the records from the first wanted one
// to the last one that is near enough, by the mean size of those read so far.
func (w *wantedRecords) pageBytes() int {
	n := 1
	for i, at := range w.offsets {
		if span := int(at - w.offsets[0] + 1); span <= maxSparseness*(i+1) {
			n = span
		}
	}
	if n == 1 {
		return 1
	}
	if w.records == 0 {
		return n * assumedRecordBytes
	}
	return n * max(w.bytes/w.records, 1)
}

// take hands on the wanted records of a page. Those that the page shows to be missing are no longer
// wanted.
func (w *wantedRecords) take(p partitionlog.Page) {
	for _, b := range p.Records {
		w.records++
		w.bytes += len(b)
	}
	end := max(p.First, p.From+int64(len(p.Records)), w.offsets[0]+1)
	for len(w.offsets) > 0 && w.offsets[0] < end {
		at := w.offsets[0]
		if i := at - p.From; i >= 0 && i < int64(len(p.Records)) {
			w.found(at, p.Records[i])
		}
		w.offsets = w.offsets[1:]
	}
	w.failures = 0
}
