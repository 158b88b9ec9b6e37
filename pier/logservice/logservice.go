// Package logservice implements a client of the platform's append-only log service,
// using JSON over HTTP.
//
// A stream is a sequence of records with consecutive offsets, starting from 0. Records
// expire after the service's retention period. An append whose answer is lost has the
// outcome unknown; the caller has to read the stream to find out whether the records
// were appended.
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

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/outcome"
)

const (
	// MaxRecordBytes is the maximum length of one record.
	MaxRecordBytes = 16 << 20
	// appendTimeout is the time limit of an append.
	appendTimeout = 2 * time.Second
	// readMargin is added to a read's wait to get the time limit of its request.
	readMargin = 2 * time.Second
)

// Record is one entry of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// Time is when the service appended the record, according to the service's clock.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Page is the answer to a read. Records is empty if none was appended in time.
type Page struct {
	Records []Record `json:"records"`
	// Oldest is the offset of the oldest record that has not expired.
	Oldest int64 `json:"oldest"`
	// Next is the offset that the next appended record will get.
	Next int64 `json:"next"`
}

// AppendRequest is the body of an append.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the answer to an append.
type AppendAnswer struct {
	// First is the offset of the first record; the others have the offsets after it.
	First int64 `json:"first"`
}

// Config configures a Client.
type Config struct {
	// Address is the address of the log service.
	Address netip.AddrPort
}

// Client reads streams and appends to them. It is safe for concurrent use.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a client of the log service.
func New(c Config) *Client {
	t := answerhead.NewTransport(&http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second})
	return &Client{c: c, http: &http.Client{Transport: t}}
}

// Append appends records to a stream and returns the offset of the first. It takes at
// most appendTimeout. An error is an *outcome.Error, with the reason log-down unless
// the request could not be built. Its outcome is not-run if the service refused the
// request as overloaded or unavailable, and unknown if the records may have been
// appended.
func (c *Client) Append(ctx context.Context, stream string, records ...[]byte) (int64, error) {
	b, err := json.Marshal(AppendRequest{Records: records})
	if err != nil {
		return 0, outcome.Refuse(outcome.ReasonBadRequest, "append: "+err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var a AppendAnswer
	if err := c.do(ctx, http.MethodPost, c.url(stream, nil), b, &a); err != nil {
		return 0, err
	}
	return a.First, nil
}

// Read returns at most n records of a stream, starting with the offset from. If there
// are none, it waits up to wait for one. An error is an *outcome.Error, with the reason
// log-down unless the request could not be built.
func (c *Client) Read(ctx context.Context, stream string, from int64, n int, wait time.Duration) (*Page, error) {
	q := url.Values{
		"from": {strconv.FormatInt(from, 10)},
		"max":  {strconv.Itoa(n)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	ctx, cancel := context.WithTimeout(ctx, wait+readMargin)
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

// do sends one request and decodes the answer into r. If the connection fails, it
// closes the idle connections, as they may be dead too.
func (c *Client) do(ctx context.Context, method, u string, body []byte, r any) error {
	q, err := http.NewRequestWithContext(ctx, method, u, bytes.NewReader(body))
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := c.http.Do(q)
	if err != nil {
		c.http.CloseIdleConnections()
		return outcome.Ambiguous(outcome.ReasonLogDown, err.Error(), err)
	}
	defer func() { _ = a.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(a.Body, 4*MaxRecordBytes))
	if err != nil {
		c.http.CloseIdleConnections()
		return outcome.Ambiguous(outcome.ReasonLogDown, err.Error(), err)
	}
	if a.StatusCode == http.StatusServiceUnavailable || a.StatusCode == http.StatusTooManyRequests {
		return outcome.Refuse(outcome.ReasonLogDown, a.Status)
	}
	if a.StatusCode != http.StatusOK {
		return outcome.Ambiguous(outcome.ReasonLogDown, a.Status, nil)
	}
	if err := json.Unmarshal(b, r); err != nil {
		return outcome.Ambiguous(outcome.ReasonLogDown, err.Error(), err)
	}
	return nil
}
