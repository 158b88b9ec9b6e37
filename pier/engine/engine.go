// Package engine speaks to a model engine: completions as server-sent events,
// and JSON for streams, orders and load.
//
// The wire types are exported, so that the stand-in engine answers with the same
// ones. Another dialect of engine is met by changing this package alone.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberrypier.example/pier/outcome"
)

const (
	// callLimit is how long an order, a list or a report may take.
	callLimit = 2 * time.Second
	// eventLimit is the greatest length of one event.
	eventLimit = 1 << 20
	// bodyLimit is the greatest length of a JSON answer.
	bodyLimit = 64 << 20
)

// Completion asks for the tokens of a stream.
type Completion struct {
	// Stream is the id under which the stream can be listed, resumed, cancelled.
	Stream string `json:"stream"`
	// Driver is the entry host that reads the stream.
	Driver string `json:"driver"`
	// Model is the line of weights to use; a trainer's name, or empty.
	Model string `json:"model"`
	// Prompt is the text to continue. It may be empty when Resume is set.
	Prompt string `json:"prompt,omitempty"`
	// Prefix names the cached prefix that siblings share.
	Prefix    string `json:"prefix,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// Resume asks for the running stream with this id, from token Offset on.
	Resume bool `json:"resume,omitempty"`
	Offset int  `json:"offset,omitempty"`
	// Given and GivenTokens continue a text that another engine began.
	Given       string `json:"given,omitempty"`
	GivenTokens int    `json:"given-tokens,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Stream string `json:"stream"`
	// First and End delimit the tokens, End excluded.
	First int    `json:"first"`
	End   int    `json:"end"`
	Text  string `json:"text"`
	// Version is the version that produced the tokens; 0 when not stated.
	Version int64 `json:"version"`
	// Finish is set on the last event: "stop", "length", "cancelled" or "taken".
	Finish string `json:"finish,omitempty"`
	// Total is the number of tokens of the whole stream, on the last event.
	Total int `json:"total,omitempty"`
}

// Running is one stream in an engine's list.
type Running struct {
	Stream string `json:"stream"`
	Driver string `json:"driver"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	// Finished tells that the stream has ended and was not read to its end.
	Finished bool `json:"finished"`
}

// Load is an engine's report of itself; it lags.
type Load struct {
	// Running is the number of streams in the batch, Waiting of those queued.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Versions holds the loaded version of each model.
	Versions map[string]int64 `json:"versions"`
	// Loading tells that an order to load is being carried out.
	Loading bool `json:"loading"`
	// Leaving tells that the server is about to stop.
	Leaving bool `json:"leaving"`
	// Failed names the last order that failed, if any.
	Failed string `json:"failed,omitempty"`
}

// Order asks an engine to have at least a version of a model.
type Order struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// Fence is the ownership offset of the host that orders. Engines that check
	// it refuse an order with a lower one than they have seen.
	Fence int64 `json:"fence"`
}

// Config constructs a Client.
type Config struct {
	// Silence is how long a stream may carry no event before it counts as silent.
	Silence time.Duration
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client calls engines. It is safe for concurrent use.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a client for all engines.
func New(c Config) *Client {
	t := &http.Transport{
		DialContext:         c.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	}
	return &Client{c: c, http: &http.Client{Transport: t}}
}

// Complete runs or resumes a stream and calls f for each event until the one
// that finishes it. Errors are *outcome.Error: not-run when the engine cannot
// have begun, connection-silent or connection-lost when the stream may be
// resumed, unknown-name when the engine does not have the stream to resume.
func (c *Client) Complete(ctx context.Context, a netip.AddrPort, q *Completion, f func(*Chunk) error) error {
	b, err := json.Marshal(q)
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := newWatchdog(c.c.Silence, stop)
	defer w.stop()
	r, err := c.send(ctx, http.MethodPost, a, "/v1/completions", b)
	if err != nil {
		return w.explain(err)
	}
	defer func() { _ = r.Body.Close() }()
	if err := status(r); err != nil {
		return err
	}
	return c.events(r.Body, q, w, f)
}

// events reads server-sent events up to the one that finishes the stream.
func (c *Client) events(r io.Reader, q *Completion, w *watchdog, f func(*Chunk) error) error {
	for e, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: eventLimit}) {
		if err != nil {
			return w.explain(outcome.Lost(outcome.ReasonConnectionLost, q.Stream, err))
		}
		w.feed()
		if e.Type == "ping" {
			continue
		}
		var k Chunk
		if err := json.Unmarshal([]byte(e.Data), &k); err != nil {
			return outcome.Lost(outcome.ReasonCrossedAnswer, q.Stream+": "+err.Error(), err)
		}
		if k.Stream != q.Stream {
			return outcome.Lost(outcome.ReasonCrossedAnswer, q.Stream+": got "+k.Stream, nil)
		}
		if err := f(&k); err != nil {
			return err
		}
		if k.Finish != "" {
			return nil
		}
	}
	return w.explain(outcome.Lost(outcome.ReasonShortAnswer, q.Stream, nil))
}

// Cancel ends a stream. It is not an error when there is none.
func (c *Client) Cancel(ctx context.Context, a netip.AddrPort, stream string) error {
	return c.call(ctx, http.MethodDelete, a, "/v1/streams?id="+url.QueryEscape(stream), nil, nil)
}

// Take removes a finished stream and succeeds for one caller only. The error
// not-owner tells that the stream is not there any longer.
func (c *Client) Take(ctx context.Context, a netip.AddrPort, stream string) error {
	err := c.call(ctx, http.MethodDelete, a, "/v1/streams?take=1&id="+url.QueryEscape(stream), nil, nil)
	if outcome.Is(err, outcome.ReasonUnknownName) {
		return outcome.Refuse(outcome.ReasonNotOwner, stream)
	}
	return err
}

// Streams lists the streams that the engine holds.
func (c *Client) Streams(ctx context.Context, a netip.AddrPort) ([]Running, error) {
	var l []Running
	err := c.call(ctx, http.MethodGet, a, "/v1/streams", nil, &l)
	return l, err
}

// Load returns the engine's report of itself.
func (c *Client) Load(ctx context.Context, a netip.AddrPort) (*Load, error) {
	var l Load
	if err := c.call(ctx, http.MethodGet, a, "/v1/load", nil, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// Order gives an order. The error stale-fence tells that a newer owner has given
// orders to the engine.
func (c *Client) Order(ctx context.Context, a netip.AddrPort, o *Order) error {
	return c.call(ctx, http.MethodPost, a, "/v1/orders", o, nil)
}

func (c *Client) call(ctx context.Context, method string, a netip.AddrPort, path string, q, r any) error {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	var b []byte
	if q != nil {
		var err error
		if b, err = json.Marshal(q); err != nil {
			return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
		}
	}
	s, err := c.send(ctx, method, a, path, b)
	if err != nil {
		c.http.CloseIdleConnections()
		return err
	}
	defer func() { _ = s.Body.Close() }()
	if err := status(s); err != nil {
		return err
	}
	if r == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(s.Body, bodyLimit)).Decode(r); err != nil {
		return outcome.Lost(outcome.ReasonCrossedAnswer, path, err)
	}
	return nil
}

// send sends one request. The error is not-run when no connection was made.
func (c *Client) send(ctx context.Context, method string, a netip.AddrPort, path string, b []byte) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+a.String()+path, bytes.NewReader(b))
	if err != nil {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.http.Do(q)
	if err == nil {
		return r, nil
	}
	var o *net.OpError
	if errors.As(err, &o) && o.Op == "dial" {
		return nil, outcome.Refuse(outcome.ReasonUnreachable, a.String())
	}
	return nil, outcome.Lost(outcome.ReasonConnectionLost, a.String(), err)
}

// status turns an HTTP status into a typed error.
func status(r *http.Response) error {
	switch r.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return outcome.Refuse(outcome.ReasonUnknownName, r.Request.URL.Path)
	case http.StatusConflict:
		return outcome.Refuse(outcome.ReasonStaleFence, r.Request.URL.Path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return outcome.Refuse(outcome.ReasonQueueFull, r.Request.URL.Path)
	}
	return outcome.Lost(outcome.ReasonServerError, r.Request.URL.Path+": "+r.Status, nil)
}

// watchdog cancels a stream that carries no event for too long.
type watchdog struct {
	limit time.Duration
	timer *time.Timer
	fired chan struct{}
}

func newWatchdog(d time.Duration, cancel func()) *watchdog {
	w := &watchdog{limit: d, fired: make(chan struct{})}
	if d > 0 {
		w.timer = time.AfterFunc(d, func() {
			close(w.fired)
			cancel()
		})
	}
	return w
}

func (w *watchdog) feed() {
	if w.timer != nil {
		w.timer.Reset(w.limit)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// explain returns the reason connection-silent for an error that the watchdog
// caused, and err otherwise.
func (w *watchdog) explain(err error) error {
	select {
	case <-w.fired:
		return outcome.Lost(outcome.ReasonSilent, "engine", err)
	default:
		return err
	}
}
