package stepjournal

import (
	"time"

	"mulberrypier.example/pier/bug"
)

// Entry is the index of one step: what must be known to answer for it, while
// texts and prompts stay in the log.
type Entry struct {
	ID string
	// From and To delimit the records of the accepted step, To excluded.
	From, To int64
	Total    int
	// Driver is the host that runs the samples now.
	Driver Driver
	// Takeovers counts the changes of driver.
	Takeovers int
	Submitted time.Time
	Ended     bool
	// Results holds the offsets of the results by their positions; it only grows.
	Results []int64
	// Saved holds the offset of the newest progress of unfinished items.
	Saved map[int]int64
	// done tells by item whether it has a result.
	done []bool
}

// Done reports whether the item at place i has a result.
func (e *Entry) Done(i int) bool { return i >= 0 && i < len(e.done) && e.done[i] }

// Open reports whether the step wants more results.
func (e *Entry) Open() bool { return !e.Ended && len(e.Results) < e.Total }

// Fold is the state of one partition: a pure function of its records. It is not
// safe for concurrent use.
type Fold struct {
	// Next is the offset of the record to fold next; it never goes back.
	Next  int64
	steps map[string]*Entry
	// pending collects the chunks of a step whose last chunk is still to come.
	pending [][]byte
	first   int64
	// Unreadable counts the records that were skipped.
	Unreadable int
}

// NewFold returns the fold of an empty partition.
func NewFold() *Fold { return &Fold{steps: make(map[string]*Entry)} }

// Step returns the entry of a step, or nil.
func (f *Fold) Step(id string) *Entry { return f.steps[id] }

// Steps returns all entries.
func (f *Fold) Steps() map[string]*Entry { return f.steps }

// Forget drops the steps that were submitted before t: their records expire.
func (f *Fold) Forget(t time.Time) {
	for id, e := range f.steps {
		if e.Submitted.Before(t) {
			delete(f.steps, id)
		}
	}
}

// Skip goes on at an offset whose predecessors are no longer kept.
func (f *Fold) Skip(to int64) {
	if to > f.Next {
		f.Next, f.pending = to, nil
	}
}

// Apply folds the record at offset Next. A record that cannot be read is skipped
// and reported as an error.
func (f *Fold) Apply(b []byte) error {
	at := f.Next
	f.Next++
	e, err := decode(b)
	if err != nil {
		f.pending = nil
		f.Unreadable++
		return err
	}
	if e.Kind == kindAccepted {
		return f.accept(at, e, b)
	}
	f.pending = nil
	s := f.steps[e.Step]
	if s == nil {
		return nil
	}
	switch e.Kind {
	case kindDriver:
		if s.Driver.Host == e.Prior {
			s.Driver = e.Driver
			s.Takeovers++
		}
	case kindResult:
		s.result(at, e.Result)
	case kindEnded:
		s.Ended = true
	case kindProgress:
		s.save(at, e)
	}
	return nil
}

// accept collects the chunks of a step; they were appended in one call and stand
// side by side.
func (f *Fold) accept(at int64, e *envelope, b []byte) error {
	if e.Chunk == 0 {
		f.pending, f.first = nil, at
	}
	if e.Chunk != len(f.pending) || e.Chunks <= e.Chunk {
		f.pending = nil
		f.Unreadable++
		return nil
	}
	f.pending = append(f.pending, b)
	if len(f.pending) < e.Chunks {
		return nil
	}
	p := f.pending
	f.pending = nil
	if f.steps[e.Step] != nil {
		return nil
	}
	s, err := DecodeStep(p)
	if err != nil {
		f.Unreadable++
		return err
	}
	f.steps[e.Step] = &Entry{
		ID: e.Step, From: f.first, To: at + 1, Total: len(s.Items), Driver: e.Driver,
		Submitted: s.Submitted, Saved: make(map[int]int64), done: make([]bool, len(s.Items)),
	}
	return nil
}

// result takes the first result of an item and ignores any other.
func (e *Entry) result(at int64, r *Result) {
	if r == nil || r.Item < 0 || r.Item >= e.Total || e.done[r.Item] {
		return
	}
	e.done[r.Item] = true
	delete(e.Saved, r.Item)
	e.Results = append(e.Results, at)
	bug.Assert(len(e.Results) <= e.Total, bug.ExactlyOnce, "step %s: %d results of %d", e.ID, len(e.Results), e.Total)
}

// save takes the newest progress of an item that has no result.
func (e *Entry) save(at int64, x *envelope) {
	if x.Result == nil || x.LastEvent <= 0 || x.Result.Item < 0 || x.Result.Item >= e.Total || e.done[x.Result.Item] {
		return
	}
	e.Saved[x.Result.Item] = at
}
