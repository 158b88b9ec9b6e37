package stepjournal

import (
	"time"

	"mulberrypier.example/pier/bug"
)

// Entry is the in-memory index of one step. It holds the offsets at which the
// step's records are found; prompts and generated texts are read from the log.
type Entry struct {
	ID string
	// From and To are the half-open range of offsets, [From, To), of the records that
	// hold the step as it was accepted.
	From, To int64
	// Total is the number of items of the step.
	Total int
	// Driver is the host that runs the step's samples at present.
	Driver Driver
	// Takeovers is the number of times that the driver changed.
	Takeovers int
	// Submitted is when the step was accepted, by the clock of the host that accepted it.
	Submitted time.Time
	// Ended reports whether the trainer ended the step.
	Ended bool
	// Results holds the offsets of the result records in the order in which they were
	// appended. It is append-only: the position of a result never changes.
	Results []int64
	// ProgressOffsets maps the index of each unfinished item to the offset of its newest
	// progress record.
	ProgressOffsets map[int]int64
	// hasResult reports, by index of the item, whether the item has a result.
	hasResult []bool
}

// HasResult reports whether the item at index i has a result. It is false for an index out
// of range.
func (e *Entry) HasResult(i int) bool { return i >= 0 && i < len(e.hasResult) && e.hasResult[i] }

// Open reports whether the step has not ended and some of its items have no result.
func (e *Entry) Open() bool { return !e.Ended && len(e.Results) < e.Total }

// Fold is the state of one partition, computed by replaying its records in order. It
// depends on nothing but the records, so all hosts arrive at the same state. It is not
// safe for concurrent use.
type Fold struct {
	// Next is the offset of the record to apply next; it never decreases.
	Next  int64
	steps map[string]*Entry
	// pendingChunks holds the records read so far of a step whose last chunk has not been
	// read.
	pendingChunks [][]byte
	// pendingFrom is the offset of the first record in pendingChunks.
	pendingFrom int64
	// Unreadable is the number of records that were skipped because they could not be
	// decoded or did not fit into the sequence of chunks.
	Unreadable int
}

// NewFold returns the state of an empty partition.
func NewFold() *Fold { return &Fold{steps: make(map[string]*Entry)} }

// Step returns the entry of the step with the given id, or nil if there is none.
func (f *Fold) Step(id string) *Entry { return f.steps[id] }

// Steps returns the entries of all steps by id. The map is the one in use: callers must
// not modify it.
func (f *Fold) Steps() map[string]*Entry { return f.steps }

// DropBefore removes the steps that were submitted before t. The log drops their records
// at the end of its retention, so their texts can no longer be read.
func (f *Fold) DropBefore(t time.Time) {
	for id, e := range f.steps {
		if e.Submitted.Before(t) {
			delete(f.steps, id)
		}
	}
}

// SkipTo moves on to offset to if that lies ahead of Next. It is used when the records in
// between have expired from the log.
func (f *Fold) SkipTo(to int64) {
	if to > f.Next {
		f.Next, f.pendingChunks = to, nil
	}
}

// Apply applies the record at offset Next and increments Next. A record that cannot be
// decoded is skipped and counted in Unreadable, and the error is returned.
//
// Records of unknown steps, takeovers from a host that is not the driver, and repeated
// results have no effect.
func (f *Fold) Apply(b []byte) error {
	offset := f.Next
	f.Next++
	e, err := decode(b)
	if err != nil {
		f.pendingChunks = nil
		f.Unreadable++
		return err
	}
	if e.Kind == kindAccepted {
		return f.acceptChunk(offset, e, b)
	}
	f.pendingChunks = nil
	s := f.steps[e.Step]
	if s == nil {
		return nil
	}
	switch e.Kind {
	case kindDriver:
		if s.Driver.Host == e.PreviousDriver {
			s.Driver = e.Driver
			s.Takeovers++
		}
	case kindResult:
		s.addResult(offset, e.Result)
	case kindEnded:
		s.Ended = true
	case kindProgress:
		s.saveProgress(offset, e)
	}
	return nil
}

// acceptChunk adds a chunk of an accepted step and creates the step's entry once all chunks
// were read. The chunks of a step are appended in one call, so their offsets are
// contiguous and any other record in between means that the step is incomplete. A step
// whose id is known already is ignored.
func (f *Fold) acceptChunk(offset int64, e *envelope, b []byte) error {
	if e.Chunk == 0 {
		f.pendingChunks, f.pendingFrom = nil, offset
	}
	if e.Chunk != len(f.pendingChunks) || e.Chunks <= e.Chunk {
		f.pendingChunks = nil
		f.Unreadable++
		return nil
	}
	f.pendingChunks = append(f.pendingChunks, b)
	if len(f.pendingChunks) < e.Chunks {
		return nil
	}
	p := f.pendingChunks
	f.pendingChunks = nil
	if f.steps[e.Step] != nil {
		return nil
	}
	s, err := DecodeStep(p)
	if err != nil {
		f.Unreadable++
		return err
	}
	f.steps[e.Step] = &Entry{
		ID: e.Step, From: f.pendingFrom, To: offset + 1, Total: len(s.Items), Driver: e.Driver,
		Submitted: s.Submitted, ProgressOffsets: make(map[int]int64), hasResult: make([]bool, len(s.Items)),
	}
	return nil
}

// addResult records the offset of an item's first result; any further one is ignored.
func (e *Entry) addResult(offset int64, r *Result) {
	if r == nil || r.ItemIndex < 0 || r.ItemIndex >= e.Total || e.hasResult[r.ItemIndex] {
		return
	}
	e.hasResult[r.ItemIndex] = true
	delete(e.ProgressOffsets, r.ItemIndex)
	e.Results = append(e.Results, offset)
	bug.Assert(len(e.Results) <= e.Total, bug.ExactlyOnce, "step %s has %d results for %d items", e.ID, len(e.Results), e.Total)
}

// saveProgress records the offset of the newest progress of an item that has no result yet.
func (e *Entry) saveProgress(offset int64, x *envelope) {
	if !x.isProgress() || x.Result.ItemIndex < 0 ||
		x.Result.ItemIndex >= e.Total || e.hasResult[x.Result.ItemIndex] {
		return
	}
	e.ProgressOffsets[x.Result.ItemIndex] = offset
}
