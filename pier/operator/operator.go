// Package operator defines the HTTP response bodies of the interface for operators
// and implements a client of it.
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

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/config"
	"mulberrypier.example/pier/entryhost"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/release"
)

const maxAnswerBytes = 256 << 20

// Published is the answer to a published or checked note.
type Published struct {
	// State is the final state of the note chart, or "checked" if the note was only
	// checked.
	State    string          `json:"state"`
	Decision config.Decision `json:"verdict"`
	// Hosts is the number of live hosts.
	Hosts int `json:"hosts"`
	// InForce is the number of live hosts on which the note is in force.
	InForce int `json:"in-force"`
	// Behind names the live hosts on which it is not.
	Behind []string `json:"behind,omitempty"`
	// Took is the time that the publication took.
	Took time.Duration `json:"took-ns"`
}

// History is the answer to a request for the newest decisions.
type History struct {
	// Revision is the revision in force at the answering host.
	Revision  int64             `json:"revision"`
	Decisions []config.Decision `json:"verdicts"`
}

// Config is the configuration in force at the answering host.
type Config struct {
	Revision int64 `json:"revision"`
	// Next is the offset of the next release record that the host will apply.
	Next    int64           `json:"next"`
	Entries release.Entries `json:"entries"`
}

// Status is the state of all hosts, or of the answering host alone.
type Status struct {
	Hosts []entryhost.StatusAnswer `json:"hosts"`
}

// Drain is the answer to a request for a graceful shutdown.
type Drain struct {
	// State is the state of the host's drain chart.
	State string `json:"state"`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Address is the operators' address of an entry host.
	Address netip.AddrPort
	// TLS is the TLS configuration; nil means plain HTTP.
	TLS *tls.Config
}

// Client is a client of the interface for operators.
type Client struct {
	c    ClientConfig
	http *http.Client
}

// New returns a client whose requests time out after 30 seconds.
func New(c ClientConfig) *Client {
	return &Client{c: c, http: &http.Client{
		Transport: answerhead.NewTransport(&http.Transport{TLSClientConfig: c.TLS}),
		Timeout:   30 * time.Second,
	}}
}

// Publish publishes a note in TOML, or only checks it. A rejected note is not an
// error; its decision gives the reason.
func (c *Client) Publish(ctx context.Context, note []byte, check bool) (*Published, error) {
	p := "/v1/notes"
	if check {
		p += "?check=1"
	}
	var a Published
	err := c.do(ctx, http.MethodPost, p, note, &a)
	return &a, err
}

// Notes returns the newest decisions.
func (c *Client) Notes(ctx context.Context) (*History, error) {
	var a History
	return &a, c.do(ctx, http.MethodGet, "/v1/notes", nil, &a)
}

// Note returns the decision on one note.
func (c *Client) Note(ctx context.Context, id string) (*config.Decision, error) {
	var a config.Decision
	return &a, c.do(ctx, http.MethodGet, "/v1/notes/"+id, nil, &a)
}

// Config returns the configuration in force at the host.
func (c *Client) Config(ctx context.Context) (*Config, error) {
	var a Config
	return &a, c.do(ctx, http.MethodGet, "/v1/config", nil, &a)
}

// Status returns the state of all hosts.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	var a Status
	return &a, c.do(ctx, http.MethodGet, "/v1/status", nil, &a)
}

// HostStatus returns the state of the host itself.
func (c *Client) HostStatus(ctx context.Context) (*Status, error) {
	var a Status
	return &a, c.do(ctx, http.MethodGet, "/v1/status?self=1", nil, &a)
}

// Drain starts a graceful shutdown of the host, without waiting for its end.
func (c *Client) Drain(ctx context.Context) (*Drain, error) {
	var a Drain
	return &a, c.do(ctx, http.MethodPost, "/v1/drain", nil, &a)
}

// do sends one request and decodes the answer into r. A rejected note also has an
// error status, but its body is decoded as an answer if it holds no error.
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
		return outcome.Ambiguous(outcome.ReasonUnreachable, c.c.Address.String()+": "+err.Error(), err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes))
	if err != nil {
		return outcome.Ambiguous(outcome.ReasonShortAnswer, c.c.Address.String(), err)
	}
	if a.StatusCode >= http.StatusBadRequest {
		var e outcome.Error
		if json.Unmarshal(b, &e) == nil && e.Reason != "" {
			return &e
		}
		if a.StatusCode != http.StatusConflict {
			return outcome.Ambiguous(outcome.ReasonServerError, a.Status, nil)
		}
	}
	if err := json.Unmarshal(b, r); err != nil {
		return outcome.Ambiguous(outcome.ReasonShortAnswer, c.c.Address.String(), err)
	}
	return nil
}
