// Package operator defines the bodies of the interface for operators, and a
// client of it.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const answerLimit = 256 << 20

// Published is the answer to a published or checked note.
type Published struct {
	// State is the final state of the note chart, or "checked".
	State   string         `json:"state"`
	Verdict config.Verdict `json:"verdict"`
	// Hosts is the number of live hosts, InForce of those that have the note in
	// force; Behind names the others.
	Hosts   int           `json:"hosts"`
	InForce int           `json:"in-force"`
	Behind  []string      `json:"behind,omitempty"`
	Took    time.Duration `json:"took-ns"`
}

// History is the answer to a list of notes.
type History struct {
	Revision int64            `json:"revision"`
	Verdicts []config.Verdict `json:"verdicts"`
}

// Config is the configuration in force at one host.
type Config struct {
	Revision int64           `json:"revision"`
	Next     int64           `json:"next"`
	Entries  release.Entries `json:"entries"`
}

// Status is the state of all hosts.
type Status struct {
	Hosts []entryhost.StatusAnswer `json:"hosts"`
}

// Drain is the answer to the start of a planned stop.
type Drain struct {
	State string `json:"state"`
}

// ClientConfig constructs a Client.
type ClientConfig struct {
	// Address is an entry host's address for operators.
	Address netip.AddrPort
	// TLS is used when it is not nil.
	TLS *tls.Config
}

// Client is an operator's side of the interface.
type Client struct {
	c    ClientConfig
	http *http.Client
}

// New returns a client.
func New(c ClientConfig) *Client {
	return &Client{c: c, http: &http.Client{Transport: &http.Transport{TLSClientConfig: c.TLS}, Timeout: 30 * time.Second}}
}

// Publish publishes a note in TOML, or only checks it. A rejected note is no
// error: its verdict says why.
func (c *Client) Publish(ctx context.Context, note []byte, check bool) (*Published, error) {
	p := "/v1/notes"
	if check {
		p += "?check=1"
	}
	var a Published
	err := c.do(ctx, http.MethodPost, p, note, &a)
	return &a, err
}

// Notes returns the newest verdicts.
func (c *Client) Notes(ctx context.Context) (*History, error) {
	var a History
	return &a, c.do(ctx, http.MethodGet, "/v1/notes", nil, &a)
}

// Note returns the verdict on one note.
func (c *Client) Note(ctx context.Context, id string) (*config.Verdict, error) {
	var a config.Verdict
	return &a, c.do(ctx, http.MethodGet, "/v1/notes/"+id, nil, &a)
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (*Config, error) {
	var a Config
	return &a, c.do(ctx, http.MethodGet, "/v1/config", nil, &a)
}

// Status returns all hosts at a glance.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var a Status
	return &a, c.do(ctx, http.MethodGet, "/v1/status", nil, &a)
}

// Self returns the host itself at a glance.
func (c *Client) Self(ctx context.Context) (*Status, error) {
	var a Status
	return &a, c.do(ctx, http.MethodGet, "/v1/status?self=1", nil, &a)
}

// Drain starts the planned stop of the host.
func (c *Client) Drain(ctx context.Context) (*Drain, error) {
	var a Drain
	return &a, c.do(ctx, http.MethodPost, "/v1/drain", nil, &a)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, r any) error {
	s := "http://"
	if c.c.TLS != nil {
		s = "https://"
	}
	q, err := http.NewRequestWithContext(ctx, method, s+c.c.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	a, err := c.http.Do(q)
	if err != nil {
		return outcome.Lost(outcome.ReasonUnreachable, c.c.Address.String()+": "+err.Error(), err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, answerLimit))
	if err != nil {
		return outcome.Lost(outcome.ReasonShortAnswer, c.c.Address.String(), err)
	}
	if a.StatusCode >= http.StatusBadRequest {
		var e outcome.Error
		if json.Unmarshal(b, &e) == nil && e.Reason != "" {
			return &e
		}
		if a.StatusCode != http.StatusConflict {
			return outcome.Lost(outcome.ReasonServerError, a.Status, nil)
		}
	}
	if err := json.Unmarshal(b, r); err != nil {
		return outcome.Lost(outcome.ReasonShortAnswer, c.c.Address.String(), err)
	}
	return nil
}
