package stepjournal

import (
	"bytes"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/outcome"
)

// A checkpoint is the state of a partition's Fold at some offset. A host that has not followed
// the partition restores the newest one and replays only the records behind it, instead of all
// that the log keeps. Offsets of records are stored, not their contents, so a checkpoint is
// a small fraction of what it stands for.

const (
	// checkpointFormat is the version of the encoding of checkpoints. Others are not restored. It
	// must change with each new kind of record, whose effect an older program would leave out.
	checkpointFormat = 1
	// organisationFormat is the version of checkpoints that hold steps of organisations. A program that restored one and
	// did not know organisations would show these steps to all of them.
	organisationFormat = 3
	// maxItems bounds the items of all steps in a checkpoint, far above what trainers submit
	// within the retention of the log.
	maxItems = 1 << 20
)

// checkpoint is the encoded form of a Fold.
type checkpoint struct {
	Format int `msgpack:"v"`
	// Partition is the number of the partition.
	Partition int              `msgpack:"p"`
	Next      int64            `msgpack:"n"`
	Steps     []checkpointStep `msgpack:"s"`
}

// checkpointStep is the encoded form of an Entry.
type checkpointStep struct {
	ID        string    `msgpack:"i"`
	From      int64     `msgpack:"f"`
	To        int64     `msgpack:"t"`
	Total     int       `msgpack:"n"`
	Driver    Driver    `msgpack:"d"`
	Takeovers int       `msgpack:"k"`
	Submitted time.Time `msgpack:"u"`
	Ended     bool      `msgpack:"e"`
	// Organisation is left out if there is none.
	Organisation string `msgpack:"o,omitempty"`
	// Age is the step's age as the checkpoint was made, ToLast the distance from From to
	// the newest record that names the step.
	Age    time.Duration `msgpack:"a"`
	ToLast int64         `msgpack:"w"`
	// Items holds the indexes of the items with results in the order of their positions, and
	// Results the distance of each result's record to the one before, the first to From.
	Items   []int   `msgpack:"l"`
	Results []int64 `msgpack:"r"`
	// Progress holds the distances to From of the offsets in Entry.ProgressOffsets.
	Progress map[int]int64 `msgpack:"g"`
}

// Checkpoint encodes the state of a partition. ok is false while the records of a step have been
// read in part, and while the log holds records of steps that this fold cannot interpret, as others
// would lose what they know by it.
func (f *Fold) Checkpoint(partition int) (b []byte, ok bool) {
	if len(f.pendingChunks) > 0 || f.skipped || len(f.cutOff) > 0 {
		return nil, false
	}
	c := checkpoint{Format: checkpointFormat, Partition: partition, Next: f.Next}
	now := f.now()
	items := 0
	for _, e := range f.steps {
		c.Steps = append(c.Steps, e.checkpoint(now))
		items += e.Total
		if e.Organisation != "" {
			c.Format = organisationFormat
		}
	}
	if items > maxItems {
		return nil, false
	}
	var w bytes.Buffer
	n := msgpack.NewEncoder(&w)
	n.UseCompactInts(true)
	err := n.Encode(&c)
	return w.Bytes(), err == nil
}

func (e *Entry) checkpoint(now time.Duration) checkpointStep {
	s := checkpointStep{
		ID: e.ID, From: e.From, To: e.To, Total: e.Total, Driver: e.Driver, Takeovers: e.Takeovers,
		Submitted: e.Submitted, Ended: e.Ended, Organisation: e.Organisation, Age: e.Age(now), ToLast: e.last - e.From, Items: e.items, Progress: make(map[int]int64, len(e.ProgressOffsets)),
	}
	last := e.From
	for _, o := range e.Results {
		s.Results = append(s.Results, o-last)
		last = o
	}
	for i, o := range e.ProgressOffsets {
		s.Progress[i] = o - e.From
	}
	return s
}

// Restore replaces the state by that of a checkpoint of a partition, if the checkpoint is further
// on. It returns an *outcome.Error, and changes nothing, if b is no checkpoint of that partition
// that this program can read.
func (f *Fold) Restore(b []byte, partition int) error {
	var c checkpoint
	if err := boundedmsgpack.Unmarshal(b, &c); err != nil {
		return outcome.RefuseWithCause(outcome.ReasonBadRequest, "checkpoint", err)
	}
	if c.Format != checkpointFormat && c.Format != organisationFormat || c.Partition != partition {
		return outcome.Refuse(outcome.ReasonBadRequest, "checkpoint of another format or partition")
	}
	if c.Next <= f.Next {
		return nil
	}
	steps := make(map[string]*Entry, len(c.Steps))
	items := 0
	for i := range c.Steps {
		if n := c.Steps[i].Total; n < 0 || n > maxItems-items {
			return outcome.Refuse(outcome.ReasonBadRequest, "checkpoint of too many items")
		}
		items += c.Steps[i].Total
		e := c.Steps[i].entry(c.Next, f.now())
		if e == nil || steps[e.ID] != nil {
			return outcome.Refuse(outcome.ReasonBadRequest, "checkpoint of contradictory records")
		}
		steps[e.ID] = e
	}
	f.Next, f.steps, f.pendingChunks, f.skipped, f.cutOff = c.Next, steps, nil, false, make(map[string]int64)
	return nil
}

// entry returns the entry of a step, or nil if its records contradict each other or do not all
// precede next.
func (s *checkpointStep) entry(next int64, now time.Duration) *Entry {
	if s.ID == "" || s.From < 0 || s.From >= s.To || s.To > next || s.Total <= 0 ||
		s.Age < 0 || s.ToLast < 0 || s.From+s.ToLast >= next || len(s.Items) != len(s.Results) || len(s.Items) > s.Total {
		return nil
	}
	e := &Entry{
		ID: s.ID, From: s.From, To: s.To, Total: s.Total, Driver: s.Driver, Takeovers: s.Takeovers,
		Submitted: s.Submitted, ObservedAt: now - s.Age, Ended: s.Ended, Organisation: s.Organisation, last: s.From + s.ToLast, ProgressOffsets: make(map[int]int64, len(s.Progress)),
	}
	e.hasResult = make([]bool, s.Total)
	at := s.From
	for i, item := range s.Items {
		at += s.Results[i]
		if s.Results[i] <= 0 || at >= next || item < 0 || item >= s.Total || e.hasResult[item] {
			return nil
		}
		e.hasResult[item] = true
		e.items = append(e.items, item)
		e.Results = append(e.Results, at)
	}
	for i, d := range s.Progress {
		if d <= 0 || s.From+d >= next || i < 0 || i >= s.Total || e.hasResult[i] {
			return nil
		}
		e.ProgressOffsets[i] = s.From + d
	}
	return e
}
