// Package stepjournal keeps the steps of trainers in a partitioned log.
//
// A step is accepted once its records are appended. Each finished sample is one
// more record, and the list of a step's results is a pure fold of its partition:
// the first record of a sample wins, and results have the positions of these
// records. So any host can rebuild every list, and a record that is appended
// twice, late, or by two hosts at once changes nothing.
package stepjournal

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"mulberrypier.example/pier/outcome"
)

// Topic holds the steps of all trainers.
const Topic = "steps"

// chunkMargin is what a record needs beside the chunk that it carries, in bytes.
const chunkMargin = 1024

// PartOf returns the partition of a step among n.
func PartOf(step string, n int) int { return int(xxhash.Sum64String(step) % uint64(n)) }

// Driver is the host that runs a step's samples.
type Driver struct {
	// Host is the name of the host's incarnation.
	Host string `msgpack:"h"`
	// Peers is where the host answers other hosts.
	Peers netip.AddrPort `msgpack:"p"`
}

// Call is a request to a plain service.
type Call struct {
	ID   string `msgpack:"i"`
	Host string `msgpack:"h"`
	Path string `msgpack:"p"`
	Body []byte `msgpack:"b"`
}

// Item asks for one sample.
type Item struct {
	ID string `msgpack:"i"`
	// Path is where the engine takes the generation.
	Path   string            `msgpack:"p"`
	Header map[string]string `msgpack:"h"`
	Body   []byte            `msgpack:"b"`
	// Group names the samples of the same prompt.
	Group string `msgpack:"g"`
	// Hint is the caller's estimate of the tokens to generate, 0 for none.
	Hint int `msgpack:"n"`
	// Scorer is called with the finished sample; nil for an item without a score.
	Scorer *Call `msgpack:"s"`
}

// Step is what a trainer submits.
type Step struct {
	ID     string `msgpack:"i"`
	Number int64  `msgpack:"n"`
	// Model is the line of weights, MinVersion the oldest version that may generate.
	Model      string `msgpack:"m"`
	MinVersion int64  `msgpack:"v"`
	// Groups is the number of whole groups that the trainer waits for.
	Groups int `msgpack:"g"`
	// Host and Path select the step's route.
	Host  string `msgpack:"h"`
	Path  string `msgpack:"p"`
	Items []Item `msgpack:"l"`
	// Submitted is when the step was taken, by the clock of the host that took it.
	Submitted time.Time `msgpack:"t"`
}

// Check returns an *outcome.Error naming what makes the step unusable.
func (s *Step) Check() error {
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

// State tells how a sample ended.
type State string

const (
	// Completed samples have their whole text and, if asked for, a score.
	Completed State = "completed"
	// Dead samples were given up.
	Dead State = "dead"
)

// Result is how one sample ended.
type Result struct {
	Step string `msgpack:"s"`
	// Item is the item's place in its step.
	Item     int     `msgpack:"i"`
	ID       string  `msgpack:"d"`
	State    State   `msgpack:"e"`
	Text     string  `msgpack:"x"`
	Versions []int64 `msgpack:"v"`
	Score    string  `msgpack:"c"`
}

type kind uint8

const (
	kindAccepted kind = iota + 1
	kindDriver
	kindResult
	kindEnded
	kindProgress
)

// envelope is the form of all records.
type envelope struct {
	Kind   kind      `msgpack:"k"`
	Step   string    `msgpack:"s"`
	Driver Driver    `msgpack:"d,omitempty"`
	Prior  string    `msgpack:"q,omitempty"`
	At     time.Time `msgpack:"t,omitempty"`
	// Chunk of Chunks is the place of Data in an encoded step.
	Chunk  int     `msgpack:"c,omitempty"`
	Chunks int     `msgpack:"n,omitempty"`
	Data   []byte  `msgpack:"b,omitempty"`
	Result *Result `msgpack:"r,omitempty"`
	// LastEvent is the number of events in an unfinished Result.
	LastEvent int64 `msgpack:"l,omitempty"`
}

func encode(e *envelope) ([]byte, error) {
	b, err := msgpack.Marshal(e)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "journal record", err)
	}
	return b, nil
}

// Accepted returns the records of a step, none longer than limit bytes.
func Accepted(s *Step, d Driver, limit int) ([][]byte, error) {
	b, err := msgpack.Marshal(s)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "step", err)
	}
	size := max(limit-chunkMargin, chunkMargin)
	n := (len(b) + size - 1) / size
	r := make([][]byte, 0, n)
	for i := range n {
		c := b[i*size : min((i+1)*size, len(b))]
		e, err := encode(&envelope{Kind: kindAccepted, Step: s.ID, Driver: d, At: s.Submitted, Chunk: i, Chunks: n, Data: c})
		if err != nil {
			return nil, err
		}
		r = append(r, e)
	}
	return r, nil
}

// TakenOver returns the record by which a host follows prior as a step's driver.
// With an empty driver the prior one leaves the step to any other.
func TakenOver(step, prior string, d Driver) ([]byte, error) {
	return encode(&envelope{Kind: kindDriver, Step: step, Prior: prior, Driver: d})
}

// Finished returns the record of a result.
func Finished(r *Result) ([]byte, error) {
	return encode(&envelope{Kind: kindResult, Step: r.Step, Result: r})
}

// Progress is the part of a sample's text that was generated so far.
type Progress struct {
	Item int
	Text string
	// LastEvent is the id of the last event in Text.
	LastEvent int64
	Versions  []int64
}

// Saved returns the record of a long sample's progress, from which another host
// can go on.
func Saved(step string, p *Progress) ([]byte, error) {
	return encode(&envelope{
		Kind: kindProgress, Step: step, LastEvent: p.LastEvent, Result: &Result{Step: step, Item: p.Item, Text: p.Text, Versions: p.Versions},
	})
}

// DecodeProgress reads the record of a sample's progress.
func DecodeProgress(b []byte) (*Progress, error) {
	e, err := decode(b)
	if err != nil {
		return nil, err
	}
	if e.Kind != kindProgress || e.Result == nil || e.LastEvent <= 0 {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "not a progress")
	}
	return &Progress{Item: e.Result.Item, Text: e.Result.Text, LastEvent: e.LastEvent, Versions: e.Result.Versions}, nil
}

// Ended returns the record by which a trainer ends a step.
func Ended(step string, at time.Time) ([]byte, error) {
	return encode(&envelope{Kind: kindEnded, Step: step, At: at})
}

// Check returns an error if a record cannot be read.
func Check(b []byte) error {
	_, err := decode(b)
	return err
}

func decode(b []byte) (*envelope, error) {
	var e envelope
	if err := msgpack.Unmarshal(b, &e); err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "journal record", err)
	}
	if e.Step == "" {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "journal record without step")
	}
	return &e, nil
}

// DecodeResult reads the record of a result.
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

// DecodeStep reads a step from its records.
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
	if err := msgpack.Unmarshal(b, &s); err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonBadRequest, "step", err)
	}
	return &s, nil
}
