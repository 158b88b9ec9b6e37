// Package trainer defines the HTTP interface for trainers and implements a client of
// it.
//
// A trainer sends one pull at a time. Each pull acknowledges the previous batch. When
// the coordinator requests a resync, the next pull states which samples the trainer
// has.
package trainer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rollout"
)

// OpenRequest is the body of a POST to /v1/trainers/T/steps/S/groups.
type OpenRequest struct {
	Groups []rollout.Group `json:"groups"`
	// Close reports that no more groups will be added to the step.
	Close bool `json:"close"`
}

// StepAnswer is a step's state.
type StepAnswer struct {
	// Epoch identifies the period during which one coordinator has held the step.
	Epoch string `json:"epoch"`
	// Coordinator is the ID of the host that coordinates the step.
	Coordinator string         `json:"coordinator"`
	Counts      rollout.Counts `json:"counts"`
}

// PullRequest is the body of a POST to /v1/trainers/T/steps/S/pull.
type PullRequest struct {
	rollout.Pull
	// WaitMS is how long the pull may wait for samples, in milliseconds.
	WaitMS int64 `json:"wait-ms"`
}

// WeightsRequest is the body of a POST to /v1/trainers/T/weights.
type WeightsRequest struct {
	Version rollout.Version `json:"version"`
}

const (
	maxAnswerBytes = 256 << 20
	// pullMargin is added to a pull's wait to get the time limit of its request.
	pullMargin = 5 * time.Second
	// retryWait is the time between two attempts.
	retryWait = 100 * time.Millisecond
)

// Config configures a Client.
type Config struct {
	// Trainer is the trainer's name in the release notes.
	Trainer string
	// Hosts lists the addresses of entry hosts, or that of the load balancer. It must
	// not be empty.
	Hosts []netip.AddrPort
	// HTTP sends the requests. If nil, the client creates its own.
	HTTP *http.Client
}

// Client is a client of the interface for trainers. It is not safe for concurrent use.
type Client struct {
	c Config
	// next is the index in c.Hosts of the host for the next request.
	next int
	// retries counts attempts that failed and were retried.
	retries int
}

// New returns a client that sends its requests to the first host until one fails.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: answerhead.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4})}
	}
	return &Client{c: c}
}

// Retries returns the number of failed attempts that were followed by a wait before
// the next one.
func (c *Client) Retries() int { return c.retries }

// Publish announces that a version of the weights is in the weight store. It retries
// transient errors until the context ends.
func (c *Client) Publish(ctx context.Context, v rollout.Version) error {
	return c.retry(ctx, func() error {
		return c.do(ctx, http.MethodPost, "/weights", &WeightsRequest{Version: v}, nil, 5*time.Second)
	})
}

// Step is a step whose samples the trainer pulls. It is not safe for concurrent use.
type Step struct {
	c *Client
	// n is the step's number.
	n      int64
	groups []rollout.Group
	// size is the number of samples of all groups.
	size int
	// Version is the version of the weights that the trainer trains. The trainer must
	// update it when it changes.
	Version rollout.Version
	// Max is the maximum number of samples per pull.
	Max int
	// WholeGroups requests a group's samples only once all of them are finished.
	WholeGroups bool
	// Wait is how long a pull may wait for samples.
	Wait time.Duration
	// have holds the slots of the samples received so far.
	have rollout.Bitmap
	// epoch and ack identify the last batch received, which the next pull
	// acknowledges.
	epoch string
	ack   int64
	// stateHave is set if the next pull must state have, as the coordinator requested.
	stateHave bool
	// complete is set once all samples were received.
	complete bool
}

// Open opens a step with all its groups. It retries transient errors until the
// context ends.
func (c *Client) Open(ctx context.Context, n int64, groups []rollout.Group) (*Step, error) {
	s := &Step{c: c, n: n, groups: groups, Max: 256, Wait: time.Second}
	for _, g := range groups {
		s.size += g.Samples
	}
	return s, s.open(ctx)
}

// open sends the step's groups. It is idempotent, so it also reopens a step that the
// coordinator does not know.
func (s *Step) open(ctx context.Context) error {
	return s.c.retry(ctx, func() error {
		q := &OpenRequest{Groups: s.groups, Close: true}
		return s.c.do(ctx, http.MethodPost, s.path("/groups"), q, nil, 15*time.Second)
	})
}

func (s *Step) path(p string) string { return fmt.Sprintf("/steps/%d%s", s.n, p) }

// Complete reports whether all samples of the step were received. The last batch is
// acknowledged by Finish.
func (s *Step) Complete() bool { return s.complete }

// Received returns the number of samples received so far.
func (s *Step) Received() int { return s.have.Len() }

// Pull returns the next samples. It returns none if no sample became ready within
// Wait, if the coordinator requested a resync or did not know the step, which Pull then
// opens again, or after a failed request. After a failed request it waits for retryWait
// and returns the error only if the context ends meanwhile. It returns an error for a
// sample that was received before, which is a fault of the service.
func (s *Step) Pull(ctx context.Context) ([]*rollout.Sample, error) {
	q := &PullRequest{WaitMS: s.Wait.Milliseconds()}
	q.Pull = rollout.Pull{
		Epoch: s.epoch, Ack: s.ack, Version: s.Version, Max: s.Max, WholeGroups: s.WholeGroups,
	}
	if s.stateHave {
		q.Have, q.HaveStated = s.have, true
	}
	var b rollout.Batch
	err := s.c.do(ctx, http.MethodPost, s.path("/pull"), q, &b, s.Wait+pullMargin)
	switch {
	case outcome.HasReason(err, outcome.ReasonResync):
		s.stateHave = true
		return nil, nil
	case outcome.HasReason(err, outcome.ReasonUnknownStep):
		s.stateHave = true
		return nil, s.open(ctx)
	case err != nil:
		s.c.nextHost()
		return nil, s.c.backoff(ctx, err)
	case b.Epoch == "":
		// The wait expired without a batch. A statement of what the trainer has is
		// repeated until a batch confirms it, so stateHave stays as it is.
		return nil, nil
	}
	return s.addBatch(&b)
}

// addBatch records a batch as received and returns its samples. If it was received
// before, it is ignored as a whole.
func (s *Step) addBatch(b *rollout.Batch) ([]*rollout.Sample, error) {
	s.stateHave = false
	if b.Epoch == s.epoch && b.Seq == s.ack {
		return nil, nil
	}
	s.epoch, s.ack = b.Epoch, b.Seq
	for _, m := range b.Samples {
		if s.have.Has(m.Slot) {
			return nil, outcome.Ambiguous(outcome.ReasonCrossedAnswer, "doubled sample "+m.ID(), nil)
		}
		s.have = s.have.With(m.Slot)
	}
	s.complete = b.Complete && s.have.Len() == s.size
	return b.Samples, nil
}

// Finish acknowledges the last batch with another pull.
func (s *Step) Finish(ctx context.Context) error {
	_, err := s.Pull(ctx)
	return err
}

// Cancel cancels the step. It makes a single attempt.
func (s *Step) Cancel(ctx context.Context) error {
	return s.c.do(ctx, http.MethodDelete, s.path(""), nil, nil, 5*time.Second)
}

// retry calls f until it succeeds, its error is not transient, or the context ends.
// After each failure it switches to the next host.
func (c *Client) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !isTransient(err) {
			return err
		}
		c.nextHost()
		if err := c.backoff(ctx, err); err != nil {
			return err
		}
	}
}

// isTransient reports whether a request that failed with err may succeed later.
func isTransient(err error) bool {
	switch outcome.AsError(err).Reason {
	case outcome.ReasonBadRequest, outcome.ReasonTooLarge, outcome.ReasonConflict, outcome.ReasonUnauthorized:
		return false
	}
	return true
}

// nextHost selects the next entry host for the requests that follow.
func (c *Client) nextHost() { c.next = (c.next + 1) % len(c.c.Hosts) }

// backoff waits for retryWait before another attempt. It returns err if the context
// ends meanwhile.
func (c *Client) backoff(ctx context.Context, err error) error {
	c.retries++
	if !backoff.Sleep(ctx, retryWait) {
		return err
	}
	return nil
}

// do sends one request to the current host and decodes the answer into r, which may
// be nil. After a failure it closes idle connections, as one of them may be dead.
func (c *Client) do(ctx context.Context, method, path string, q, r any, limit time.Duration) error {
	b, err := json.Marshal(q)
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	u := "http://" + c.c.Hosts[c.next].String() + "/v1/trainers/" + c.c.Trainer + path
	h, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(b))
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	h.Header.Set("Content-Type", "application/json")
	a, err := c.c.HTTP.Do(h)
	if err != nil {
		c.c.HTTP.CloseIdleConnections()
		return outcome.Ambiguous(answerhead.Reason(err, outcome.ReasonConnectionLost), "entry host", err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode == http.StatusNoContent {
		return nil
	}
	k, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return outcome.Ambiguous(outcome.ReasonShortAnswer, "entry host", err)
	}
	if a.StatusCode != http.StatusOK {
		return DecodeError(k, a.StatusCode)
	}
	if r == nil {
		return nil
	}
	if err := json.Unmarshal(k, r); err != nil {
		return outcome.Ambiguous(outcome.ReasonShortAnswer, "entry host", err)
	}
	return nil
}

// DecodeError returns the error that is encoded in the body b of an answer with a status
// other than 200, or one with the reason server-error if there is none.
func DecodeError(b []byte, status int) error {
	var e outcome.Error
	if err := json.Unmarshal(b, &e); err != nil || e.Reason == "" {
		return outcome.Ambiguous(outcome.ReasonServerError, http.StatusText(status), err)
	}
	return &e
}
