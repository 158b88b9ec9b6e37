// Package scorer implements a client of the service that scores samples, using JSON
// over HTTP.
package scorer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/outcome"
)

const (
	callTimeout  = 5 * time.Second
	maxBodyBytes = 1 << 20
)

// Request is one sample to score.
type Request struct {
	// ID is the sample's stream ID, which the answer must repeat.
	ID     string `json:"id"`
	Prompt string `json:"prompt"`
	Text   string `json:"text"`
}

// Answer is the score of one sample.
type Answer struct {
	ID    string  `json:"id"`
	Score float64 `json:"score"`
}

// Client calls scorers. It is safe for concurrent use.
type Client struct {
	http *http.Client
}

// New returns a client that can call any number of scorers.
func New() *Client {
	// Each call gets a new connection. An idle one may be dead without notice, and a
	// call that is not idempotent could not be retried after failing on it.
	return &Client{http: &http.Client{Transport: answerhead.NewTransport(&http.Transport{DisableKeepAlives: true})}}
}

// Score returns the score of one sample. An error is an *outcome.Error. Its outcome is
// unknown if the scorer may have scored the sample.
func (c *Client) Score(ctx context.Context, a netip.AddrPort, r *Request) (float64, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.String()+"/v1/score", bytes.NewReader(b))
	if err != nil {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	q.Header.Set("Content-Type", "application/json")
	s, err := c.http.Do(q)
	if err != nil {
		return 0, outcome.Ambiguous(answerhead.Reason(err, outcome.ReasonConnectionLost), "scorer", err)
	}
	defer func() { _ = s.Body.Close() }()
	if s.StatusCode != http.StatusOK {
		return 0, outcome.Ambiguous(outcome.ReasonServerError, "scorer: "+s.Status, nil)
	}
	var k Answer
	if err := json.NewDecoder(io.LimitReader(s.Body, maxBodyBytes)).Decode(&k); err != nil {
		return 0, outcome.Ambiguous(outcome.ReasonShortAnswer, "scorer", err)
	}
	if k.ID != r.ID {
		return 0, outcome.Ambiguous(outcome.ReasonCrossedAnswer, "scorer", nil)
	}
	return k.Score, nil
}
