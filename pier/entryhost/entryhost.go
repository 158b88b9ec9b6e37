// Package entryhost defines the messages that entry hosts exchange over package
// peer: the kinds of requests, and the request and answer type of each kind.
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
	// Heartbeat carries a member.Heartbeat; the answer is one too.
	Heartbeat = peer.KindFirst + iota
	// FetchNotes requests the release records from an offset on, or a snapshot if the host
	// no longer keeps them.
	FetchNotes
	// Revision requests the revision in force at a host.
	Revision
	// StepOpen adds groups to a step at its coordinator.
	StepOpen
	// StepPull forwards a trainer's pull to the step's coordinator.
	StepPull
	// StepCancel cancels a step at its coordinator.
	StepCancel
	// StepStatus requests a step's counts from its coordinator.
	StepStatus
	// Offer offers free slots on servers to a coordinator, which answers with work.
	Offer
	// DeliverSamples delivers finished samples to a coordinator.
	DeliverSamples
	// StreamFailed reports to a coordinator that a stream ended without a sample.
	StreamFailed
	// ListHeld requests the running streams and finished samples that an owner has of a
	// step.
	ListHeld
	// HandOver hands finished samples over to another host, which stores them until they
	// are released.
	HandOver
	// ReleaseSamples tells an owner which samples it no longer needs to store.
	ReleaseSamples
	// CancelStream asks an owner to cancel a stream.
	CancelStream
	// Wake notifies an owner that a trainer's coordinator has work or that the trainer has a
	// new version.
	Wake
	// LoadPermit asks a publisher whether a server may load weights now.
	LoadPermit
	// Chat forwards a caller's completion to the owner of a server.
	Chat
	// Call forwards a claimed call to the holder of its key's partition.
	Call
	// FetchAnswer requests the stored answer of a claimed call from the host that claimed
	// its key.
	FetchAnswer
	// Status requests a summary of a host's state.
	Status
)

// FetchNotesRequest requests release records.
type FetchNotesRequest struct {
	// From is the offset of the first record requested.
	From int64 `msgpack:"f"`
}

// NoteRecord is one record of the release stream of the log.
type NoteRecord struct {
	Offset int64  `msgpack:"o"`
	Data   []byte `msgpack:"d"`
}

// FetchNotesAnswer carries the requested records, or a snapshot if the host no longer keeps
// them.
type FetchNotesAnswer struct {
	Records  []NoteRecord `msgpack:"r"`
	Snapshot []byte       `msgpack:"s"`
}

// RevisionAnswer is the state of a host's configuration.
type RevisionAnswer struct {
	// Revision is the revision in force.
	Revision int64 `msgpack:"r" json:"revision"`
	// Next is the offset of the next release record that the host will apply.
	Next int64 `msgpack:"n" json:"next"`
}

// StepOpenRequest adds groups to a step.
type StepOpenRequest struct {
	Key    rollout.StepKey `msgpack:"k"`
	Groups []rollout.Group `msgpack:"g"`
	// Close reports that no more groups will be added to the step.
	Close bool `msgpack:"c"`
}

// StepAnswer is a step's state.
type StepAnswer struct {
	// Epoch identifies the period during which one coordinator has held the step.
	Epoch string `msgpack:"e" json:"epoch"`
	// CoordinatorID is the ID of the host that coordinates the step.
	CoordinatorID string         `msgpack:"h" json:"coordinator"`
	Counts        rollout.Counts `msgpack:"c" json:"counts"`
}

// StepPullRequest is a trainer's pull, forwarded to the step's coordinator.
type StepPullRequest struct {
	Key  rollout.StepKey `msgpack:"k"`
	Pull rollout.Pull    `msgpack:"p"`
}

// StepPullAnswer is the answer to a pull.
type StepPullAnswer struct {
	// Batch is nil if no sample is ready yet.
	Batch *rollout.Batch `msgpack:"b"`
}

// StepRequest identifies the step that a request without further arguments is for.
type StepRequest struct {
	Key rollout.StepKey `msgpack:"k"`
}

// Progress reports the progress of the streams of one step on one server. Slots,
// Attempts and Tokens have the same length, with one element per stream.
type Progress struct {
	Step     int64          `msgpack:"s"`
	Server   string         `msgpack:"b"`
	Slots    []rollout.Slot `msgpack:"l"`
	Attempts []int          `msgpack:"a"`
	// Tokens holds the number of tokens that each stream has produced.
	Tokens []int `msgpack:"t"`
}

// Add appends a stream that has produced the given number of tokens.
func (p *Progress) Add(s rollout.Stream, tokens int) {
	p.Slots = append(p.Slots, s.Slot)
	p.Attempts = append(p.Attempts, s.Attempt)
	p.Tokens = append(p.Tokens, tokens)
}

// Consistent reports whether Slots, Attempts and Tokens have the same length, which the
// receiver must check before it indexes them.
func (p *Progress) Consistent() bool {
	return len(p.Slots) == len(p.Attempts) && len(p.Slots) == len(p.Tokens)
}

// OfferRequest offers free slots on an owner's servers to the coordinator of a trainer.
type OfferRequest struct {
	// Host is the ID of the owner's host.
	Host    string          `msgpack:"h"`
	Trainer string          `msgpack:"t"`
	Offers  []rollout.Offer `msgpack:"o"`
	// Progress lists the trainer's streams on this host. It is sent less often than
	// offers, so it is usually empty.
	Progress []Progress `msgpack:"p"`
}

// OfferAnswer assigns work to the offered slots.
type OfferAnswer struct {
	Work []rollout.Work `msgpack:"w"`
	// Version is the trainer's newest version known to the coordinator.
	Version rollout.Version `msgpack:"v"`
	// Pending is the number of the trainer's slots that are waiting for a server.
	Pending int `msgpack:"p"`
	// Unsealed is the number of slots of the oldest unfinished step that are not sealed.
	Unsealed int `msgpack:"l"`
	// PendingSince is when the oldest step with pending slots was opened; zero if there is
	// none.
	PendingSince time.Time `msgpack:"e"`
}

// DeliverSamplesRequest delivers finished samples to a coordinator.
type DeliverSamplesRequest struct {
	Host    string            `msgpack:"h"`
	Trainer string            `msgpack:"t"`
	Samples []*rollout.Sample `msgpack:"s"`
}

// StreamFailedRequest reports a stream that ended without a sample.
type StreamFailedRequest struct {
	Stream rollout.Stream `msgpack:"s"`
	// Partial holds the tokens produced so far if another attempt may continue from
	// them; otherwise it is nil.
	Partial *rollout.Sample `msgpack:"p"`
	// Tokens is the number of tokens that the stream produced.
	Tokens int `msgpack:"t"`
}

// ListHeldAnswer is what an owner has of a step.
type ListHeldAnswer struct {
	// Running lists the streams that are still running.
	Running []rollout.Work `msgpack:"r"`
	// Finished lists the finished samples that have not been released.
	Finished []*rollout.Sample `msgpack:"d"`
}

// HandOverRequest hands finished samples over to another host.
type HandOverRequest struct {
	Samples []*rollout.Sample `msgpack:"s"`
}

// ReleaseSamplesRequest identifies samples that the trainer has acknowledged or that the
// coordinator has dropped.
type ReleaseSamplesRequest struct {
	Key   rollout.StepKey `msgpack:"k"`
	Slots []rollout.Slot  `msgpack:"s"`
	// All releases all samples of the step and cancels its streams.
	All bool `msgpack:"a"`
}

// CancelStreamRequest identifies a stream to cancel.
type CancelStreamRequest struct {
	Server string         `msgpack:"b"`
	Stream rollout.Stream `msgpack:"s"`
	// Move asks the owner to return the tokens produced so far to the coordinator,
	// which continues the sample on another server.
	Move bool `msgpack:"m"`
}

// WakeRequest reports that a trainer's coordinator has work or that the trainer has a new
// version.
type WakeRequest struct {
	Trainer string `msgpack:"t"`
	// Version is the new version, or 0 if there is none.
	Version rollout.Version `msgpack:"v"`
}

// LoadPermitRequest requests permission to load weights on a server.
type LoadPermitRequest struct {
	Server  string          `msgpack:"s"`
	Model   string          `msgpack:"m"`
	Version rollout.Version `msgpack:"v"`
	// Done releases a granted permit.
	Done bool `msgpack:"d"`
}

// LoadPermitAnswer grants a permit or says when to request it again.
type LoadPermitAnswer struct {
	Granted bool `msgpack:"g"`
	// RetryAfter is how long to wait before the next request if the permit was not granted.
	RetryAfter time.Duration `msgpack:"a"`
}

// ChatRequest is a caller's completion, forwarded to the owner of a server.
type ChatRequest struct {
	// Deployment is the pool of engines that serves the completion. The receiving
	// owner chooses the server.
	Deployment string            `msgpack:"d"`
	Completion engine.Completion `msgpack:"c"`
}

// CallRequest is a claimed call to a plain service.
type CallRequest struct {
	Service string `msgpack:"s"`
	// Key is the caller's idempotency key.
	Key string `msgpack:"k"`
	// Issued is when the key was created.
	Issued time.Time `msgpack:"i"`
	// ID is the request ID that the service echoes.
	ID          string `msgpack:"n"`
	Method      string `msgpack:"m"`
	Path        string `msgpack:"p"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// FetchAnswerRequest requests the stored answer of a claimed call.
type FetchAnswerRequest struct {
	// Key is the caller's idempotency key.
	Key string `msgpack:"k"`
	// Nonce identifies the claim.
	Nonce string `msgpack:"n"`
}

// CallAnswer is the complete answer of a plain service.
type CallAnswer struct {
	Status      int    `msgpack:"s"`
	ContentType string `msgpack:"t"`
	Body        []byte `msgpack:"b"`
}

// ServerStatus is the state of one backend server, reported by its owner.
type ServerStatus struct {
	Name string `msgpack:"n" json:"name"`
	// Running is the number of streams that the owner drives on the server.
	Running int `msgpack:"r" json:"running"`
	// Foreign is the number of streams that other hosts drive on the server.
	Foreign  int              `msgpack:"f" json:"foreign"`
	Capacity int              `msgpack:"c" json:"capacity"`
	Leaving  bool             `msgpack:"l" json:"leaving"`
	Versions map[string]int64 `msgpack:"v" json:"versions,omitempty"`
	Order    string           `msgpack:"o" json:"order"`
}

// StepSummary is the state of one step, reported by its coordinator.
type StepSummary struct {
	Key    rollout.StepKey `msgpack:"k" json:"step"`
	Counts rollout.Counts  `msgpack:"c" json:"counts"`
	// Waits is a human-readable reason why the step is not complete yet.
	Waits string `msgpack:"w" json:"waits"`
}

// StatusAnswer is a summary of a host's state.
type StatusAnswer struct {
	Self member.Member `msgpack:"s" json:"self"`
	// State is the host's state as a member.
	State    string `msgpack:"t" json:"state"`
	Revision int64  `msgpack:"r" json:"revision"`
	// Drain is the state of the host's drain chart.
	Drain string `msgpack:"d" json:"drain"`
	// Members is the number of hosts that this host counts as members.
	Members int            `msgpack:"m" json:"members"`
	Servers []ServerStatus `msgpack:"v" json:"servers"`
	Steps   []StepSummary  `msgpack:"p" json:"steps"`
	// Bugs is the number of broken invariants that the host has found since it started.
	Bugs uint64 `msgpack:"b" json:"bugs"`
	// Err is set by the host that requested the status if this host did not answer.
	Err *outcome.Error `msgpack:"e" json:"error,omitempty"`
}
