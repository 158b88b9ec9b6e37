package stepjournal

import (
	"maps"
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
	// Organisation is the one that submitted the step, "" if there is none. Only its keys give access to the step.
	Organisation string
	// Takeovers is the number of times that the driver changed.
	Takeovers int
	// Submitted is when the step was accepted, by the clock of the host that accepted it. It
	// is for people to read: the clocks of hosts differ, so no decision rests on it.
	Submitted time.Time
	// ObservedAt is a time at which the step had been accepted, by FoldConfig.Now. It may lie
	// after the acceptance, never before.
	ObservedAt time.Duration
	// Ended reports whether the trainer ended the step.
	Ended bool
	// Results holds the offsets of the result records in the order in which they were
	// appended. It is append-only: the position of a result never changes.
	Results []int64
	// ProgressOffsets maps the index of each unfinished item to the offset of its newest
	// progress record.
	ProgressOffsets map[int]int64
	// hasResult reports, by index of the item, whether the item has a result; items holds the
	// indexes of these items in the order of Results.
	hasResult []bool
	items     []int
	// last is the offset of the newest record that names the step, whatever its effect.
	last int64
}

// Age returns how long ago the step was accepted, at least, at a time of FoldConfig.Now.
func (e *Entry) Age(now time.Duration) time.Duration { return max(0, now-e.ObservedAt) }

// HasResult reports whether the item at index i has a result. It is false for an index out
// of range.
func (e *Entry) HasResult(i int) bool { return i >= 0 && i < len(e.hasResult) && e.hasResult[i] }

// Open reports whether the step has not ended and some of its items have no result.
func (e *Entry) Open() bool { return !e.Ended && len(e.Results) < e.Total }

// FoldConfig holds the dependencies of a Fold.
type FoldConfig struct {
	// Now returns the time by a clock of this host that never steps. It only sets
	// Entry.ObservedAt.
	Now func() time.Duration
}

// Fold is the state of one partition, computed by replaying its records in order. But for
// Entry.ObservedAt it depends on nothing but the records and on which of them the log holds,
// so all hosts arrive at the same state. It is not safe for concurrent use.
type Fold struct {
	// Next is the offset of the record to apply next; it never decreases.
	Next  int64
	now   func() time.Duration
	steps map[string]*Entry
	// skipped is set once records were skipped that had expired, and until the log holds none
	// before skippedTo, where reading went on.
	skipped   bool
	skippedTo int64
	// cutOff holds the steps of which records were skipped, as far as that can be told, with
	// the offset of the newest record that names the step. None of them is in steps.
	cutOff map[string]int64
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
func NewFold(c FoldConfig) *Fold {
	return &Fold{now: c.Now, steps: make(map[string]*Entry), cutOff: make(map[string]int64)}
}

// Step returns the entry of the step with the given id, or nil if there is none.
func (f *Fold) Step(id string) *Entry { return f.steps[id] }

// Steps returns the entries of all steps by id. The map is the one in use: callers must
// not modify it.
func (f *Fold) Steps() map[string]*Entry { return f.steps }

// CutOff reports whether the log may hold records of a step whose earlier records have expired
// unread. Nothing can be said of such a step: not that it is unknown, nor where its results
// are listed.
func (f *Fold) CutOff(id string) bool {
	_, ok := f.cutOff[id]
	return ok
}

// DropExpired removes the steps of which the log holds no record, given that it held those at
// the offsets [first, end) at some time. It does nothing until these are applied, as a step
// may be named by any of them.
func (f *Fold) DropExpired(first, end int64) {
	if f.Next < end {
		return
	}
	maps.DeleteFunc(f.steps, func(_ string, e *Entry) bool { return e.last < first })
	maps.DeleteFunc(f.cutOff, func(_ string, last int64) bool { return last < first })
	f.skipped = f.skipped && first <= f.skippedTo
}

// SkipTo moves on to offset to if that lies ahead of Next. It is used when the records in
// between have expired from the log. All steps known so far are cut off, since results may be
// among these records.
func (f *Fold) SkipTo(to int64) {
	if to <= f.Next {
		return
	}
	f.Next, f.pendingChunks, f.skipped, f.skippedTo = to, nil, true, to
	for id, e := range f.steps {
		f.cutOff[id] = e.last
	}
	clear(f.steps)
}

// Apply applies the record at offset Next and increments Next. A record that cannot be
// decoded is skipped and counted in Unreadable, and the error is returned.
//
// Records of unknown steps, takeovers from a host that is not the driver, and repeated
// results have no effect, except that the log still holds a record of the step.
func (f *Fold) Apply(b []byte) error {
	offset := f.Next
	f.Next++
	e, err := decode(b)
	if err != nil {
		f.pendingChunks = nil
		f.Unreadable++
		return err
	}
	f.name(offset, e)
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

// Repeats reports whether a record would have no effect if it were appended now, since the records
// applied so far have that effect or exclude it. It may be false for such a record.
func (f *Fold) Repeats(b []byte) bool {
	e, err := decode(b)
	if err != nil {
		return false
	}
	s := f.steps[e.Step]
	if s == nil {
		return false
	}
	switch e.Kind {
	case kindDriver:
		return s.Driver.Host != e.PreviousDriver
	case kindResult, kindProgress:
		return e.Result != nil && s.HasResult(e.Result.ItemIndex)
	case kindEnded:
		return s.Ended
	}
	return false
}

// name notes that the record at an offset names its step. If records were skipped, one that
// does not begin an unknown step shows that its beginning was among them.
func (f *Fold) name(offset int64, e *envelope) {
	if s := f.steps[e.Step]; s != nil {
		s.last = offset
		return
	}
	begins := e.Kind == kindAccepted && (e.Chunk == 0 || e.Chunk == len(f.pendingChunks))
	if f.CutOff(e.Step) || f.skipped && !begins {
		f.cutOff[e.Step] = offset
	}
}

// acceptChunk adds a chunk of an accepted step and creates the step's entry once all chunks
// were read. The chunks of a step are appended in one call, so their offsets are
// contiguous and any other record in between means that the step is incomplete. A step
// whose id is known already is ignored, and so is one that is cut off: it starts no new list of
// results while the log holds a record of the list before.
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
	if f.steps[e.Step] != nil || f.CutOff(e.Step) {
		return nil
	}
	s, err := DecodeStep(p)
	if err != nil || len(s.Items) == 0 {
		f.Unreadable++
		return err
	}
	f.steps[e.Step] = &Entry{
		ID: e.Step, From: f.pendingFrom, To: offset + 1, Total: len(s.Items), Driver: e.Driver, Organisation: e.Organisation,
		Submitted: s.Submitted, ObservedAt: f.now(), last: offset,
		ProgressOffsets: make(map[int]int64), hasResult: make([]bool, len(s.Items)),
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
	e.items = append(e.items, r.ItemIndex)
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
