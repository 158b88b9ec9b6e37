// Package logservice speaks to the platform's append-only log service over HTTP
// with JSON bodies.
//
// A stream is a sequence of records with offsets from 0. Records expire after a
// time. An append whose answer is lost has the outcome unknown: its caller
// settles it by reading the stream.
package logservice

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"mulberrypier.example/pier/outcome"
)

const (
	// MaxRecordBytes is the greatest length of one record.
	MaxRecordBytes = 16 << 20
	// appendLimit is how long an append may take.
	appendLimit = 2 * time.Second
	// readSlack is how long a read may take beyond its wait.
	readSlack = 2 * time.Second
)

// Record is one entry of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// Time is when the service took the record, by its own clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the answer to a read.
type Page struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest record that has not expired.
	Oldest int64 `json:"oldest"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	// First is the offset of the first record; the others follow it.
	First int64 `json:"first"`
}

// Config constructs a Client.
type Config struct {
	Address netip.AddrPort
	// Transport carries the requests; nil means one of the client's own.
	Transport *http.Transport
}

// Client reads and appends. It is safe for concurrent use.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a client of the log service at an address.
func New(c Config) *Client {
	if c.Transport == nil {
		c.Transport = &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second}
	}
	return &Client{c: c, http: &http.Client{Transport: c.Transport}}
}

// Append adds records to a stream and returns the offset of the first. Errors
// are *outcome.Error with the reason log-down; not-run when nothing was sent.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (int64, error) {
	b, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, "append: "+err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, appendLimit)
	defer cancel()
	var a AppendAnswer
	if err := c.do(ctx, http.MethodPost, c.url(stream, nil), b, &a); err != nil {
		return 0, err
	}
	return a.First, nil
}

// Read returns records from an offset on, at most n. With nothing there it waits
// up to wait. Errors are *outcome.Error with the reason log-down.
func (c *Client) Read(ctx context.Context, stream string, from int64, n int, wait time.Duration) (*Page, error) {
	q := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(n)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readSlack)
	defer cancel()
	var p Page
	if err := c.do(ctx, http.MethodGet, c.url(stream, q), nil, &p); err != nil {
		return nil, err
	}
	return &p, nil
}

func (c *Client) url(stream string, q url.Values) string {
	u := url.URL{
		Scheme:   "http",
		Host:     c.c.Address.String(),
		Path:     "/v1/streams/" + stream + "/records",
		RawQuery: q.Encode(),
	}
	return u.String()
}

// do sends one request. After a failure it closes the idle connections, as one
// that has gone silent must not be used again.
func (c *Client) do(ctx context.Context, method, u string, body []byte, r any) error {
	q, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := c.http.Do(q)
	if err != nil {
		c.c.Transport.CloseIdleConnections()
		return outcome.Lost(outcome.ReasonLogDown, err.Error(), err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, 4*MaxRecordBytes))
	if err != nil {
		c.c.Transport.CloseIdleConnections()
		return outcome.Lost(outcome.ReasonLogDown, err.Error(), err)
	}
	if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
		return outcome.Refuse(outcome.ReasonLogDown, a.Status)
	}
	if a.StatusCode != http.StatusOK {
		return outcome.Lost(outcome.ReasonLogDown, a.Status, nil)
	}
	if err := json.Unmarshal(b, r); err != nil {
		return outcome.Lost(outcome.ReasonLogDown, err.Error(), err)
	}
	return nil
}
