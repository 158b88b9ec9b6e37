// Package rollout holds the samples of a trainer's step from the opening of the
// step to the trainer's acknowledgement.
//
// The types of this file are shared by all roles. Coordinator is the pure core
// of the role that holds one step: time and events in, assignments and batches
// out. It does no I/O and reads no clock.
package rollout

import (
	"strconv"

	"mulberrypier.example/pier/bug"
	"mulberrypier.example/pier/outcome"
)

const (
	// MaxSlots is the greatest number of samples in one step.
	MaxSlots = 1 << 17
	// MaxGroupSamples is the greatest number of samples in one group.
	MaxGroupSamples = 4096
	// MaxPromptBytes is the greatest length of a group's prompt.
	MaxPromptBytes = 1 << 20
)

// Version is the number of a set of weights; a trainer's versions only grow.
type Version int64

// StepKey names one step of one trainer.
type StepKey struct {
	Trainer string `msgpack:"t" json:"trainer"`
	Step    int64  `msgpack:"s" json:"step"`
}

// String returns trainer/step.
func (k StepKey) String() string { return k.Trainer + "/" + strconv.FormatInt(k.Step, 10) }

// Slot is the number of a sample within its step, chosen by the trainer.
type Slot int

// Group is a set of samples of the same prompt.
type Group struct {
	// First is the slot of the group's first sample; the others follow it.
	First Slot `msgpack:"f" json:"first"`
	// Samples is the number of samples, at least 1.
	Samples int `msgpack:"n" json:"samples"`
	// Prompt is the text before the generated tokens.
	Prompt string `msgpack:"p" json:"prompt"`
	// MaxTokens is the length at which an engine stops; at least 1.
	MaxTokens int `msgpack:"m" json:"max-tokens"`
}

// Check returns an *outcome.Error naming the field that is out of range.
func (g *Group) Check() error {
	p := "group at slot " + strconv.Itoa(int(g.First)) + ": "
	switch {
	case g.First < 0 || g.First >= MaxSlots:
		return outcome.Refuse(outcome.ReasonBadRequest, p+"first is out of range")
	case g.Samples < 1 || g.Samples > MaxGroupSamples || int(g.First)+g.Samples > MaxSlots:
		return outcome.Refuse(outcome.ReasonBadRequest, p+"samples is out of range")
	case g.Prompt == "" || len(g.Prompt) > MaxPromptBytes:
		return outcome.Refuse(outcome.ReasonBadRequest, p+"prompt is empty or too long")
	case g.MaxTokens < 1:
		return outcome.Refuse(outcome.ReasonBadRequest, p+"max-tokens must be at least 1")
	}
	return nil
}

// Segment is a run of tokens that one version produced.
type Segment struct {
	Version Version `msgpack:"v" json:"version"`
	// First and End delimit the tokens, End excluded; First < End.
	First int `msgpack:"f" json:"first"`
	End   int `msgpack:"e" json:"end"`
}

// Stream names one attempt at generating one sample.
type Stream struct {
	Key     StepKey `msgpack:"k" json:"step"`
	Slot    Slot    `msgpack:"s" json:"slot"`
	Attempt int     `msgpack:"a" json:"attempt"`
}

// ID returns the id under which an engine knows the stream.
func (s Stream) ID() string {
	return s.Key.String() + "/" + strconv.Itoa(int(s.Slot)) + "/" + strconv.Itoa(s.Attempt)
}

// Sample is one finished generation.
type Sample struct {
	Stream
	// Segments cover the tokens from 0 to Tokens without gap or overlap.
	Segments []Segment `msgpack:"g" json:"segments"`
	Tokens   int       `msgpack:"n" json:"tokens"`
	Text     string    `msgpack:"x" json:"text"`
	// Finish is why the engine stopped: "stop" or "length".
	Finish string `msgpack:"f" json:"finish"`
	// Server is the backend server that produced the last segment.
	Server string `msgpack:"b" json:"server"`
	// Score is what the scorer returned; nil for a trainer without a scorer.
	Score *float64 `msgpack:"c" json:"score,omitempty"`
}

// Oldest returns the lowest version among the segments.
func (s *Sample) Oldest() Version {
	if len(s.Segments) == 0 {
		return 0
	}
	v := s.Segments[0].Version
	for _, g := range s.Segments[1:] {
		v = min(v, g.Version)
	}
	return v
}

// Whole reports whether the segments cover all tokens exactly once.
func (s *Sample) Whole() bool {
	n := 0
	for _, g := range s.Segments {
		if g.First != n || g.End <= g.First {
			return false
		}
		n = g.End
	}
	return n == s.Tokens && n > 0
}

// Extend adds the tokens up to end, produced by version v, to the segments. It
// returns an *outcome.Error when v is missing or the tokens do not follow on.
func (s *Sample) Extend(first, end int, v Version) error {
	if v <= 0 {
		return outcome.Lost(outcome.ReasonUnversioned, s.ID(), nil)
	}
	if first != s.Tokens || end <= first {
		return outcome.Lost(outcome.ReasonTokenGap, s.ID(), nil)
	}
	if l := len(s.Segments); l > 0 && s.Segments[l-1].Version == v {
		s.Segments[l-1].End = end
	} else {
		s.Segments = append(s.Segments, Segment{Version: v, First: first, End: end})
	}
	s.Tokens = end
	bug.Assert(s.Whole(), bug.TrueVersions, "%s: %v", s.ID(), s.Segments)
	return nil
}

// Work is one stream to run, as handed to the owner of a backend server.
type Work struct {
	Stream
	Server    string `msgpack:"b"`
	Prompt    string `msgpack:"p"`
	MaxTokens int    `msgpack:"m"`
	// Group is the first slot of the group; siblings share a cached prefix.
	Group Slot `msgpack:"g"`
	// Priority is 0 for ordinary work; engines run higher values first.
	Priority int `msgpack:"r"`
	// Resume holds the tokens that an earlier attempt produced, if any.
	Resume *Sample `msgpack:"u"`
}

// Offer is the room that an owner has on one server.
type Offer struct {
	Server string `msgpack:"s"`
	// Room is the number of streams that may start now.
	Room int `msgpack:"r"`
	// Running is the number of streams on the server, of all trainers.
	Running int `msgpack:"n"`
	// Version is what the server reported last.
	Version Version `msgpack:"v"`
	// Until is how many seconds remain before the server loads new weights;
	// negative when no load is planned.
	Until float64 `msgpack:"u"`
	// Express tells that the server keeps its batch small for stragglers.
	Express bool `msgpack:"x"`
}

// Bitmap is a set of slots, as a trainer states which samples it has.
type Bitmap []byte

// Has reports whether slot s is in the set.
func (b Bitmap) Has(s Slot) bool {
	return int(s)/8 < len(b) && b[s/8]&(1<<(s%8)) != 0
}

// With returns the set with slot s added; it may reuse b's memory.
func (b Bitmap) With(s Slot) Bitmap {
	for int(s)/8 >= len(b) {
		b = append(b, 0)
	}
	b[s/8] |= 1 << (s % 8)
	return b
}

// Len returns the number of slots in the set.
func (b Bitmap) Len() int {
	n := 0
	for _, x := range b {
		for ; x != 0; x &= x - 1 {
			n++
		}
	}
	return n
}
