// Package trainer defines the HTTP interface for trainers, and a client that
// keeps to its protocol: one pull at a time, each acknowledging the batch before,
// and the trainer's own record of what it has whenever the coordinator asks.
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

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/rollout"
)

// OpenRequest is the body of a POST to /v1/trainers/T/steps/S/groups.
type OpenRequest struct {
	Groups []rollout.Group `json:"groups"`
	// Close tells that no more groups come.
	Close bool `json:"close"`
}

// StepAnswer is a step's state.
type StepAnswer struct {
	Epoch       string         `json:"epoch"`
	Coordinator string         `json:"coordinator"`
	Counts      rollout.Counts `json:"counts"`
}

// PullRequest is the body of a POST to /v1/trainers/T/steps/S/pull.
type PullRequest struct {
	rollout.Pull
	// WaitMS is how long the pull may be held, in milliseconds.
	WaitMS int64 `json:"wait-ms"`
}

// WeightsRequest is the body of a POST to /v1/trainers/T/weights.
type WeightsRequest struct {
	Version rollout.Version `json:"version"`
}

const (
	answerLimit = 256 << 20
	// pullSlack is how long a pull may take beyond its wait.
	pullSlack = 5 * time.Second
	// retryWait is the time between two tries.
	retryWait = 100 * time.Millisecond
)

// Config constructs a Client.
type Config struct {
	// Trainer is the trainer's name in the release notes.
	Trainer string
	// Hosts are the addresses of entry hosts, or the balancer's.
	Hosts []netip.AddrPort
	// HTTP sends the requests; nil means a client of its own.
	HTTP *http.Client
}

// Client is a trainer's side of the protocol. Not safe for concurrent use.
type Client struct {
	c Config
	// next is the host that the next request goes to.
	next int
	// retries counts requests that had to be sent again.
	retries int
}

// New returns a client.
func New(c Config) *Client {
	if c.HTTP == nil {
		c.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}
	}
	return &Client{c: c}
}

// Retries returns how many requests were sent again.
func (c *Client) Retries() int { return c.retries }

// Publish tells that a version of the weights is in the weight store.
func (c *Client) Publish(ctx context.Context, v rollout.Version) error {
	return c.retry(ctx, func() error {
		return c.do(ctx, http.MethodPost, "/weights", &WeightsRequest{Version: v}, nil, 5*time.Second)
	})
}

// Step is a step that the trainer pulls. Not safe for concurrent use.
type Step struct {
	c      *Client
	n      int64
	groups []rollout.Group
	size   int
	// Version is the version that the trainer trains at; set it as it changes.
	Version rollout.Version
	// Max is the greatest number of samples of one pull.
	Max int
	// WholeGroups asks for groups only when all their samples are there.
	WholeGroups bool
	// Wait is how long a pull may be held.
	Wait  time.Duration
	have  rollout.Bitmap
	epoch string
	ack   int64
	state bool
	whole bool
}

// Open opens a step with all its groups.
func (c *Client) Open(ctx context.Context, n int64, groups []rollout.Group) (*Step, error) {
	s := &Step{c: c, n: n, groups: groups, Max: 256, Wait: time.Second}
	for _, g := range groups {
		s.size += g.Samples
	}
	return s, s.open(ctx)
}

// open states the step's groups; it may be done any number of times.
func (s *Step) open(ctx context.Context) error {
	return s.c.retry(ctx, func() error {
		q := &OpenRequest{Groups: s.groups, Close: true}
		return s.c.do(ctx, http.MethodPost, s.path("/groups"), q, nil, 15*time.Second)
	})
}

func (s *Step) path(p string) string { return fmt.Sprintf("/steps/%d%s", s.n, p) }

// Whole reports whether all samples were handed over and acknowledged.
func (s *Step) Whole() bool { return s.whole }

// Have returns the number of samples that the trainer has.
func (s *Step) Have() int { return s.have.Len() }

// Pull returns the next samples, none when the wait was over, and none with
// Whole set when the step is whole. A sample that the trainer has already is
// an error of the service and is returned as one.
func (s *Step) Pull(ctx context.Context) ([]*rollout.Sample, error) {
	q := &PullRequest{WaitMS: s.Wait.Milliseconds()}
	q.Pull = rollout.Pull{
		Epoch: s.epoch, Ack: s.ack, Version: s.Version, Max: s.Max, WholeGroups: s.WholeGroups,
	}
	if s.state {
		q.Have, q.Stated = s.have, true
	}
	var b rollout.Batch
	err := s.c.do(ctx, http.MethodPost, s.path("/pull"), q, &b, s.Wait+pullSlack)
	switch {
	case outcome.Is(err, outcome.ReasonResync):
		s.state = true
		return nil, nil
	case outcome.Is(err, outcome.ReasonUnknownStep):
		s.state = true
		return nil, s.open(ctx)
	case err != nil:
		s.c.turn()
		return nil, s.c.backoff(ctx, err)
	case b.Epoch == "":
		// A held pull without a batch leaves the statement in force.
		return nil, nil
	}
	return s.take(&b)
}

// take adds a batch to the trainer's record. A repeated batch is dropped whole.
func (s *Step) take(b *rollout.Batch) ([]*rollout.Sample, error) {
	s.state = false
	if b.Epoch == s.epoch && b.Seq == s.ack {
		return nil, nil
	}
	s.epoch, s.ack = b.Epoch, b.Seq
	for _, m := range b.Samples {
		if s.have.Has(m.Slot) {
			return nil, outcome.Lost(outcome.ReasonCrossedAnswer, "doubled sample "+m.ID(), nil)
		}
		s.have = s.have.With(m.Slot)
	}
	s.whole = b.Whole && s.have.Len() == s.size
	return b.Samples, nil
}

// Finish acknowledges the last batch.
func (s *Step) Finish(ctx context.Context) error {
	_, err := s.Pull(ctx)
	return err
}

// Cancel ends the step.
func (s *Step) Cancel(ctx context.Context) error {
	return s.c.do(ctx, http.MethodDelete, s.path(""), nil, nil, 5*time.Second)
}

// retry repeats f until it succeeds, is refused for good, or the context ends.
func (c *Client) retry(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil || !passing(err) {
			return err
		}
		c.turn()
		if err := c.backoff(ctx, err); err != nil {
			return err
		}
	}
}

// passing reports whether an error may be gone a little later.
func passing(err error) bool {
	switch outcome.From(err).Reason {
	case outcome.ReasonBadRequest, outcome.ReasonTooLarge, outcome.ReasonConflict, outcome.ReasonUnauthorized:
		return false
	}
	return true
}

// turn goes on to the next entry host.
func (c *Client) turn() { c.next = (c.next + 1) % len(c.c.Hosts) }

// backoff waits before another try; it returns err when the context ends.
func (c *Client) backoff(ctx context.Context, err error) error {
	c.retries++
	if !backoff.For(ctx, retryWait) {
		return err
	}
	return nil
}

// do sends one request to one host.
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
		return outcome.Lost(outcome.ReasonConnectionLost, "entry host", err)
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode == http.StatusNoContent {
		return nil
	}
	k, err := io.ReadAll(io.LimitReader(a.Body, answerLimit))
	if err != nil {
		return outcome.Lost(outcome.ReasonShortAnswer, "entry host", err)
	}
	if a.StatusCode != http.StatusOK {
		return Refusal(k, a.StatusCode)
	}
	if r == nil {
		return nil
	}
	if err := json.Unmarshal(k, r); err != nil {
		return outcome.Lost(outcome.ReasonShortAnswer, "entry host", err)
	}
	return nil
}

// Refusal reads the problem of a refused request.
func Refusal(b []byte, status int) error {
	var e outcome.Error
	if err := json.Unmarshal(b, &e); err != nil || e.Reason == "" {
		return outcome.Lost(outcome.ReasonServerError, http.StatusText(status), err)
	}
	return &e
}
