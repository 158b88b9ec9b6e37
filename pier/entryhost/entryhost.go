// Package entryhost defines the messages that entry hosts exchange over package
// peer, one request and one answer type for each kind.
package entryhost

import (
	"time"

	"mulberrypier.example/pier/engine"
	"mulberrypier.example/pier/member"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/rollout"
)

// The kinds of requests between entry hosts.
const (
	// Heartbeat carries a member.Heartbeat and is answered by one.
	Heartbeat = peer.KindFirst + iota
	// Tail asks for release records after an offset, or for a snapshot.
	Tail
	// Revision asks for the revision in force at a host.
	Revision
	// StepOpen adds groups to a step at its coordinator.
	StepOpen
	// StepPull passes on a trainer's pull.
	StepPull
	// StepCancel ends a step.
	StepCancel
	// StepStatus asks for a step's counts.
	StepStatus
	// Ask offers room on servers to a coordinator.
	Ask
	// Sealed brings finished samples to a coordinator.
	Sealed
	// Failed tells a coordinator of a stream that ended without a sample.
	Failed
	// Hold asks an owner what it holds for a step.
	Hold
	// Keep hands finished samples over to another host, which holds them.
	Keep
	// Release tells an owner which samples it need not hold any longer.
	Release
	// CancelStream asks an owner to end a stream.
	CancelStream
	// Wake tells an owner that a coordinator has work.
	Wake
	// Permit asks a publisher whether a server may load weights now.
	Permit
	// Chat passes a caller's completion to the owner of a server.
	Chat
	// Call passes a claimed call to the holder of its key's partition.
	Call
	// Answer asks the host that claimed a key for the answer that it keeps.
	Answer
	// Status asks a host for its state at a glance.
	Status
)

// TailRequest asks for release records.
type TailRequest struct {
	// From is the first offset wanted.
	From int64 `msgpack:"f"`
}

// NoteRecord is one record of the release stream.
type NoteRecord struct {
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// TailAnswer carries records, or a snapshot when they are not kept any longer.
type TailAnswer struct {
	Records  []NoteRecord `msgpack:"r"`
	Snapshot []byte       `msgpack:"s"`
}

// RevisionAnswer is what a host has in force.
type RevisionAnswer struct {
	Revision int64 `msgpack:"r" json:"revision"`
	Next     int64 `msgpack:"n" json:"next"`
}

// StepOpenRequest adds groups to a step.
type StepOpenRequest struct {
	Key    rollout.StepKey `msgpack:"k"`
	Groups []rollout.Group `msgpack:"g"`
	// Close tells that no more groups come.
	Close bool `msgpack:"c"`
}

// StepAnswer is a step's state.
type StepAnswer struct {
	Epoch  string         `msgpack:"e" json:"epoch"`
	Holder string         `msgpack:"h" json:"coordinator"`
	Counts rollout.Counts `msgpack:"c" json:"counts"`
}

// StepPullRequest passes on a pull.
type StepPullRequest struct {
	Key  rollout.StepKey `msgpack:"k"`
	Pull rollout.Pull    `msgpack:"p"`
}

// StepPullAnswer carries a batch; it is nil when there is nothing yet.
type StepPullAnswer struct {
	Batch *rollout.Batch `msgpack:"b"`
}

// StepRequest names a step.
type StepRequest struct {
	Key rollout.StepKey `msgpack:"k"`
}

// Progress tells how far the streams of one step on one server are. The slices
// have the same length, one element a stream.
type Progress struct {
	Step     int64          `msgpack:"s"`
	Server   string         `msgpack:"b"`
	Slots    []rollout.Slot `msgpack:"l"`
	Attempts []int          `msgpack:"a"`
	Tokens   []int          `msgpack:"t"`
}

// Add adds one stream.
func (p *Progress) Add(s rollout.Stream, tokens int) {
	p.Slots = append(p.Slots, s.Slot)
	p.Attempts = append(p.Attempts, s.Attempt)
	p.Tokens = append(p.Tokens, tokens)
}

// Whole reports whether the slices have the same length.
func (p *Progress) Whole() bool {
	return len(p.Slots) == len(p.Attempts) && len(p.Slots) == len(p.Tokens)
}

// AskRequest offers room to the coordinator of a trainer.
type AskRequest struct {
	Host    string          `msgpack:"h"`
	Trainer string          `msgpack:"t"`
	Offers  []rollout.Offer `msgpack:"o"`
	// Progress names the trainer's streams on this host; it is left out of most
	// offers.
	Progress []Progress `msgpack:"p"`
}

// AskAnswer assigns work.
type AskAnswer struct {
	Work []rollout.Work `msgpack:"w"`
	// Version is the trainer's newest version as the coordinator knows it.
	Version rollout.Version `msgpack:"v"`
	// Pending is the number of slots that still wait for a server.
	Pending int `msgpack:"p"`
	// Left is the number of slots of the oldest unfinished step that are not
	// sealed; Since is when the oldest step with pending slots was opened.
	Left  int       `msgpack:"l"`
	Since time.Time `msgpack:"e"`
}

// SealedRequest brings finished samples.
type SealedRequest struct {
	Host    string            `msgpack:"h"`
	Trainer string            `msgpack:"t"`
	Samples []*rollout.Sample `msgpack:"s"`
}

// FailedRequest tells of a stream without a sample.
type FailedRequest struct {
	Stream rollout.Stream `msgpack:"s"`
	// Partial holds the tokens produced so far, if they may be continued.
	Partial *rollout.Sample `msgpack:"p"`
	Tokens  int             `msgpack:"t"`
}

// HoldAnswer is what an owner holds for a step.
type HoldAnswer struct {
	Running []rollout.Work    `msgpack:"r"`
	Done    []*rollout.Sample `msgpack:"d"`
}

// KeepRequest hands finished samples over.
type KeepRequest struct {
	Samples []*rollout.Sample `msgpack:"s"`
}

// ReleaseRequest names samples that were acknowledged.
type ReleaseRequest struct {
	Key   rollout.StepKey `msgpack:"k"`
	Slots []rollout.Slot  `msgpack:"s"`
	// All releases the whole step and cancels its streams.
	All bool `msgpack:"a"`
}

// CancelStreamRequest ends a stream.
type CancelStreamRequest struct {
	Server string         `msgpack:"b"`
	Stream rollout.Stream `msgpack:"s"`
	// Move asks to bring the tokens so far back to the coordinator.
	Move bool `msgpack:"m"`
}

// WakeRequest tells that a trainer's coordinator has work or a new version.
type WakeRequest struct {
	Trainer string          `msgpack:"t"`
	Version rollout.Version `msgpack:"v"`
}

// PermitRequest asks to load weights on a server.
type PermitRequest struct {
	Server  string          `msgpack:"s"`
	Model   string          `msgpack:"m"`
	Version rollout.Version `msgpack:"v"`
	// Done gives the permit back.
	Done bool `msgpack:"d"`
}

// PermitAnswer grants a permit or tells when to ask again.
type PermitAnswer struct {
	Granted bool          `msgpack:"g"`
	After   time.Duration `msgpack:"a"`
}

// ChatRequest is a caller's completion on its way to a server.
type ChatRequest struct {
	// Server was chosen by the front; the owner may choose another of the pool.
	Deployment string            `msgpack:"d"`
	Completion engine.Completion `msgpack:"c"`
}

// CallRequest is a claimed call to a plain service.
type CallRequest struct {
	Service string `msgpack:"s"`
	// Key is the caller's idempotency key; Issued is when it was made.
	Key    string    `msgpack:"k"`
	Issued time.Time `msgpack:"i"`
	// ID is the request id that the service echoes.
	ID          string `msgpack:"n"`
	Method      string `msgpack:"m"`
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// AnswerRequest asks for the answer to a claimed call.
type AnswerRequest struct {
	Key   string `msgpack:"k"`
	Nonce string `msgpack:"n"`
}

// CallAnswer is a whole answer of a plain service.
type CallAnswer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// ServerStatus is one backend server as its owner sees it.
type ServerStatus struct {
	Name     string           `msgpack:"n" json:"name"`
	Running  int              `msgpack:"r" json:"running"`
	Foreign  int              `msgpack:"f" json:"foreign"`
	Capacity int              `msgpack:"c" json:"capacity"`
	Leaving  bool             `msgpack:"l" json:"leaving"`
	Versions map[string]int64 `msgpack:"v" json:"versions,omitempty"`
	Order    string           `msgpack:"o" json:"order"`
}

// StepStatusLine is one step as its coordinator sees it.
type StepStatusLine struct {
	Key    rollout.StepKey `msgpack:"k" json:"step"`
	Counts rollout.Counts  `msgpack:"c" json:"counts"`
	// Waits says in words why the step is not whole yet.
	Waits string `msgpack:"w" json:"waits"`
}

// StatusAnswer is a host at a glance.
type StatusAnswer struct {
	Self     member.Member `msgpack:"s" json:"self"`
	State    string        `msgpack:"t" json:"state"`
	Revision int64         `msgpack:"r" json:"revision"`
	Drain    string        `msgpack:"d" json:"drain"`
	// Members is the number of hosts that this one counts as members.
	Members int              `msgpack:"m" json:"members"`
	Servers []ServerStatus   `msgpack:"v" json:"servers"`
	Steps   []StepStatusLine `msgpack:"p" json:"steps"`
	Bugs    uint64           `msgpack:"b" json:"bugs"`
	// Err is set by the asking host when this one did not answer.
	Err *outcome.Error `msgpack:"e" json:"error,omitempty"`
}
