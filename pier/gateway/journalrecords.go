package gateway

import (
	"context"
	"errors"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// pagePurpose is what a page of the journal is read for. It is also a label value of metrics.
type pagePurpose string

const (
	// pageReplay is a page to replay a partition, pageRecords one for single records.
	pageReplay  pagePurpose = "replay"
	pageRecords pagePurpose = "records"
)

// pageRead counts the records of a page.
func (v *view) pageRead(purpose pagePurpose, records [][]byte) {
	n := 0
	for _, b := range records {
		n += len(b)
	}
	v.j.g.metrics.journalBytes.WithLabelValues(string(purpose)).Add(float64(n))
	if purpose != pageReplay {
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.replay.pages++
	v.replay.bytes += n
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

// pageFailure returns why a page did not arrive, as a label value of metrics.
func pageFailure(err error) string {
	e := outcome.AsError(err)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
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
	ctx, cancel := context.WithTimeout(ctx, readSlack)
	defer cancel()
	p, err := v.j.g.c.Log.Read(ctx, partitionlog.ReadRequest{
		Partition: v.partition(), From: from, MaxBytes: maxReadBytes,
	})
	if err != nil {
		v.pageGivenUp(pageRecords, maxReadBytes, err)
		return nil, err
	}
	v.pageRead(pageRecords, p.Records)
	if len(p.Records) == 0 {
		return nil, outcome.Refuse(outcome.ReasonLogDown, "journal record is missing")
	}
	for i, b := range p.Records {
		v.j.cache.put(cacheKey{v.n, from + int64(i)}, b)
	}
	return p.Records[:min(n, len(p.Records))], nil
}
