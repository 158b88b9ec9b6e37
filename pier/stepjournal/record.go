// Package stepjournal encodes the steps of trainers as records of a partitioned log and
// rebuilds their state by replaying the records.
//
// A step is accepted once its records are appended. Each finished sample adds one
// record, and the list of a step's results is computed from the records of its
// partition alone: the first result record of a sample counts, and the results are in
// the order of these records. So any host can rebuild every list, and a record that is
// appended twice, late, or by two hosts at once changes nothing.
package stepjournal

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/boundedmsgpack"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
)

// Topic is the name of the topic that holds the steps of all trainers.
const Topic = "steps"

// chunkMargin is the size reserved in a record for the fields other than the chunk that
// it carries, in bytes.
const chunkMargin = 1024

// PartitionOf returns the partition, from 0 to n-1, that holds the records of a step.
func PartitionOf(step string, n int) int { return int(xxhash.Sum64String(step) % uint64(n)) }

// Driver is the host that runs a step's samples.
type Driver struct {
	// Host is the name of the host's incarnation.
	Host string `msgpack:"h"`
	// Peers is the address at which the host serves other hosts.
	Peers netip.AddrPort `msgpack:"p"`
}

// Call is a request to a plain service.
type Call struct {
	ID   string `msgpack:"i"`
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	Body []byte `msgpack:"b"`
}

// Item is the request for one sample.
type Item struct {
	ID string `msgpack:"i"`
	// Path is the path of the generation request at the engine.
	Path   string            `msgpack:"p"`
	Header map[string]string `msgpack:"h"`
	Body   []byte            `msgpack:"b"`
	// Group identifies the samples that share a prompt.
	Group string `msgpack:"g"`
	// ExpectedTokens is the caller's estimate of the number of tokens to generate, 0 if
	// there is none.
	ExpectedTokens int `msgpack:"n"`
	// PromptTokens is the number of tokens of the prompt, 0 if it is not known.
	PromptTokens int `msgpack:"t,omitempty"`
	// Scorer is the call that scores the finished sample; nil for an item that is not
	// scored.
	Scorer *Call `msgpack:"s"`
}

// Step is the work that a trainer submits at once.
type Step struct {
	ID     string `msgpack:"i"`
	Number int64  `msgpack:"n"`
	// Model names the model; MinVersion is the oldest version of its weights that may
	// generate the samples.
	Model      string `msgpack:"m"`
	MinVersion int64  `msgpack:"v"`
	// Groups is the number of complete groups that the trainer waits for.
	Groups int `msgpack:"g"`
	// Host and Path select the step's route.
	Host  string `msgpack:"h"`
	Path  string `msgpack:"p"`
	Items []Item `msgpack:"l"`
	// Organisation is the one whose key submitted the step, "" if there is none.
	Organisation string `msgpack:"o,omitempty"`
	// Submitted is when the step was accepted, by the clock of the host that accepted it.
	Submitted time.Time `msgpack:"t"`
}

// Validate checks the step. It returns an *outcome.Error with ReasonBadRequest if the
// step lacks an id, a model or items, or if an item lacks an id or a path or repeats the
// id of another.
func (s *Step) Validate() error {
	if s.ID == "" || s.Model == "" || len(s.Items) == 0 {
		return outcome.Refuse(outcome.ReasonBadRequest, "step without id, model or items")
	}
	seen := make(map[string]bool, len(s.Items))
	for _, i := range s.Items {
		if i.ID == "" || i.Path == "" || seen[i.ID] {
			return outcome.Refuse(outcome.ReasonBadRequest, "item without id or path, or twice: "+i.ID)
		}
		seen[i.ID] = true
	}
	return nil
}

// State is the final state of a sample.
type State string

const (
	// Completed samples have their complete text and, if requested, a score.
	Completed State = "completed"
	// Dead samples were abandoned; their results have no text.
	Dead State = "dead"
)

// Result is the final result of one sample.
type Result struct {
	Step string `msgpack:"s"`
	// ItemIndex is the index of the item in its step, ID the item's id.
	ItemIndex int     `msgpack:"i"`
	ID        string  `msgpack:"d"`
	State     State   `msgpack:"e"`
	Text      string  `msgpack:"x"`
	Versions  []int64 `msgpack:"v"`
	Score     string  `msgpack:"c"`
}

// kind is the kind of a record.
type kind uint8

const (
	kindAccepted kind = iota + 1
	kindDriver
	kindResult
	kindEnded
	kindProgress
)

// envelope is the encoded form of all records; Kind determines which fields are set.
type envelope struct {
	Kind           kind   `msgpack:"k"`
	Step           string `msgpack:"s"`
	Driver         Driver `msgpack:"d,omitempty"`
	PreviousDriver string `msgpack:"q,omitempty"`
	// Organisation is that of the accepted step, which is in Data as well. It is left out if there is none.
	Organisation string `msgpack:"o,omitempty"`
	// At is when the step was submitted or ended.
	At time.Time `msgpack:"t,omitempty"`
	// Chunk is the index, from 0 to Chunks-1, of the part of the encoded step in Data.
	Chunk  int     `msgpack:"c,omitempty"`
	Chunks int     `msgpack:"n,omitempty"`
	Data   []byte  `msgpack:"b,omitempty"`
	Result *Result `msgpack:"r,omitempty"`
	// LastEvent is the id of the last event whose text is in Result, in a record of
	// progress.
	LastEvent int64 `msgpack:"l,omitempty"`
	// Writer is the software that generated the text in Result, in a record of progress.
	Writer directory.Software `msgpack:"w,omitempty"`
	// Failures and ScoreFailures are those of a Progress.
	Failures      int `msgpack:"f,omitempty"`
	ScoreFailures int `msgpack:"g,omitempty"`
}

// isProgress reports whether e is a valid record of a sample's progress: of its text, of the
// servers that failed, or of both.
func (e *envelope) isProgress() bool {
	if e.Kind != kindProgress || e.Result == nil || e.LastEvent < 0 || e.Failures < 0 || e.ScoreFailures < 0 {
		return false
	}
	return e.LastEvent > 0 || e.Failures > 0 || e.ScoreFailures > 0
}

func encode(e *envelope) ([]byte, error) {
	b, err := msgpack.Marshal(e)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "journal record", err)
	}
	return b, nil
}

// Accepted returns the records of an accepted step with d as its driver. They must be
// appended in one call. The step is split so that no record exceeds limit bytes, as long
// as limit is at least twice chunkMargin.
func Accepted(s *Step, d Driver, limit int) ([][]byte, error) {
	b, err := msgpack.Marshal(s)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "step", err)
	}
	size := max(limit-chunkMargin-len(s.Organisation), chunkMargin)
	n := (len(b) + size - 1) / size
	r := make([][]byte, 0, n)
	for i := range n {
		c := b[i*size : min((i+1)*size, len(b))]
		e, err := encode(&envelope{
			Kind: kindAccepted, Step: s.ID, Driver: d, Organisation: s.Organisation, At: s.Submitted, Chunk: i, Chunks: n, Data: c,
		})
		if err != nil {
			return nil, err
		}
		r = append(r, e)
	}
	return r, nil
}

// TakenOver returns the record by which d replaces previous as the driver of a step. It has
// no effect unless previous is still the driver when the record is applied. With an empty d,
// previous gives the step up and any host may take it over.
func TakenOver(step, previous string, d Driver) ([]byte, error) {
	return encode(&envelope{Kind: kindDriver, Step: step, PreviousDriver: previous, Driver: d})
}

// Finished returns the record of a sample's result.
func Finished(r *Result) ([]byte, error) {
	return encode(&envelope{Kind: kindResult, Step: r.Step, Result: r})
}

// Progress is the part of a sample that was generated so far, and how often that has failed.
type Progress struct {
	// ItemIndex is the index of the item in its step.
	ItemIndex int
	Text      string
	// LastEvent is the id of the last event whose text is in Text, 0 if there is no text.
	LastEvent int64
	Versions  []int64
	// Writer is the software that generated the text; its zero value means that this is not
	// known.
	Writer directory.Software
	// Failures is the number of servers that ran the item and answered that they failed,
	// ScoreFailures the number of those that did so for the call to its scorer.
	Failures      int
	ScoreFailures int
}

// Saved returns the record of a sample's progress, from which another host can go on with the
// sample.
func Saved(step string, p *Progress) ([]byte, error) {
	return encode(&envelope{
		Kind: kindProgress, Step: step, LastEvent: p.LastEvent, Writer: p.Writer,
		Failures: p.Failures, ScoreFailures: p.ScoreFailures, Result: &Result{
			Step:      step,
			ItemIndex: p.ItemIndex, Text: p.Text, Versions: p.Versions,
		},
	})
}

// DecodeProgress decodes the record of a sample's progress. It returns an *outcome.Error
// if b is a record of another kind.
func DecodeProgress(b []byte) (*Progress, error) {
	e, err := decode(b)
	if err != nil {
		return nil, err
	}
	if !e.isProgress() {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "not a progress")
	}
	return &Progress{
		ItemIndex: e.Result.ItemIndex, Text: e.Result.Text, LastEvent: e.LastEvent,
		Versions: e.Result.Versions, Writer: e.Writer, Failures: e.Failures, ScoreFailures: e.ScoreFailures,
	}, nil
}

// Ended returns the record that marks a step as ended by its trainer.
func Ended(step string, at time.Time) ([]byte, error) {
	return encode(&envelope{Kind: kindEnded, Step: step, At: at})
}

// CheckRecord returns an *outcome.Error if b cannot be decoded as a record.
func CheckRecord(b []byte) error {
	_, err := decode(b)
	return err
}

func decode(b []byte) (*envelope, error) {
	var e envelope
	if err := boundedmsgpack.Unmarshal(b, &e); err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "journal record", err)
	}
	if e.Step == "" {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "journal record without step")
	}
	return &e, nil
}

// DecodeResult decodes the record of a result. It returns an *outcome.Error if b is a
// record of another kind.
func DecodeResult(b []byte) (*Result, error) {
	e, err := decode(b)
	if err != nil {
		return nil, err
	}
	if e.Kind != kindResult || e.Result == nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "not a result")
	}
	return e.Result, nil
}

// DecodeStep decodes a step from all of its records, in order.
func DecodeStep(records [][]byte) (*Step, error) {
	var b []byte
	for _, r := range records {
		e, err := decode(r)
		if err != nil {
			return nil, err
		}
		b = append(b, e.Data...)
	}
	var s Step
	if err := boundedmsgpack.Unmarshal(b, &s); err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonBadRequest, "step", err)
	}
	return &s, nil
}
