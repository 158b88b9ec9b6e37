package gateway

import (
	"context"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// pageRead is a page of records that is being read, for all that wait for it.
type pageRead struct {
	// done is closed at the end. After it, page and err are the outcome.
	done chan struct{}
	page partitionlog.Page
	err  error
}

// readPage returns the page at an offset. It is read once for all that ask meanwhile, and read to
// its end, and kept, also if ctx ends before that: whoever asks next will find it.
func (v *view) readPage(ctx context.Context, from int64) (partitionlog.Page, error) {
	r := v.startPage(from)
	select {
	case <-r.done:
		return r.page, r.err
	case <-ctx.Done():
		return partitionlog.Page{}, outcome.Refuse(outcome.ReasonOf(ctx), "journal")
	}
}

// startPage returns the reading of the page at an offset, which it begins if need be.
func (v *view) startPage(from int64) *pageRead {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.pages[from]; r != nil {
		return r
	}
	r := &pageRead{done: make(chan struct{})}
	if v.j.g.ctx.Err() != nil {
		r.err = outcome.Refuse(outcome.ReasonCancelled, "journal")
		close(r.done)
		return r
	}
	v.pages[from] = r
	v.j.g.wg.Go(func() { v.finishPage(from, r) })
	return r
}

// finishPage reads the page at an offset.
func (v *view) finishPage(from int64, r *pageRead) {
	defer close(r.done)
	r.page, r.err = v.fetch(v.j.g.ctx, pageRecords, partitionlog.ReadRequest{
		From: from, MaxBytes: min(v.j.pace.pageBytes(), maxReadBytes),
	})
	for i, b := range r.page.Records {
		v.keep(from+int64(i), b)
	}
	v.mu.Lock()
	delete(v.pages, from)
	v.mu.Unlock()
}

// readAhead begins to read the record of a step's result at a position, if there is one that is not
// at hand.
func (v *view) readAhead(step string, position int) {
	e, _, ok := v.entry(step)
	if ok && position < len(e.Results) && !v.cached(e.Results[position]) {
		v.startPage(e.Results[position])
	}
}
