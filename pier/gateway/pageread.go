package gateway

import (
	"context"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// maxRecordPages bounds the pages of records that a host reads at the same time.
const maxRecordPages = 16

// pageRead is a page of records that is being read, for all that wait for it.
type pageRead struct {
	// wanted is the number of those that wait for it. The view's mu guards it.
	wanted int
	// done is closed at the end. After it, page and err are the outcome.
	done chan struct{}
	page partitionlog.Page
	err  error
}

// readPage returns the page at an offset. It is read once for all that ask meanwhile. Once its turn has
// come it is read to its end, and kept, also if ctx ends before that: whoever asks next will find it.
func (v *view) readPage(ctx context.Context, from int64) (partitionlog.Page, error) {
	r := v.startPage(from)
	defer v.leavePage(r)
	select {
	case <-r.done:
		return r.page, r.err
	case <-ctx.Done():
		return partitionlog.Page{}, outcome.Refuse(outcome.ReasonOf(ctx), "journal")
	}
}

// startPage returns the reading of the page at an offset, which it begins if need be. The caller waits
// for it until leavePage.
func (v *view) startPage(from int64) *pageRead {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r := v.pages[from]; r != nil {
		r.wanted++
		return r
	}
	r := &pageRead{wanted: 1, done: make(chan struct{})}
	if v.j.g.ctx.Err() != nil {
		r.err = outcome.Refuse(outcome.ReasonCancelled, "journal")
		close(r.done)
		return r
	}
	v.pages[from] = r
	v.j.g.wg.Go(func() { v.finishPage(from, r) })
	return r
}

// leavePage notes that a reader no longer waits for a page.
func (v *view) leavePage(r *pageRead) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r.wanted--
}

// finishPage reads the page at an offset in its turn, unless nobody waits for it any more by then.
func (v *view) finishPage(from int64, r *pageRead) {
	defer close(r.done)
	leave, err := enter(v.j.g.ctx, v.j.recordPages)
	if err != nil {
		r.err = err
		return
	}
	defer leave()
	if v.dropUnwanted(from, r) {
		r.err = outcome.Refuse(outcome.ReasonCancelled, "journal")
		return
	}
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

// dropUnwanted ends the reading of a page for which nobody waits, and reports whether it did.
func (v *view) dropUnwanted(from int64, r *pageRead) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if r.wanted > 0 {
		return false
	}
	delete(v.pages, from)
	return true
}

// readAhead begins to read the record of a step's result at a position, if there is one that is not
// at hand.
func (v *view) readAhead(step string, position int) {
	e, _, ok := v.entry(step)
	if ok && position < len(e.Results) && !v.cached(e.Results[position]) {
		v.startPage(e.Results[position])
	}
}
