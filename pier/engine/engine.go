// Package engine is the client of model engines: completions as server-sent events,
// and JSON requests for streams, orders and load.
//
// The wire types are exported so that the stand-in engine of mulberrybench uses the
// same ones. Support for an engine with another protocol needs changes to this
// package only.
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
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"mulberrypier.example/pier/answerhead"
	"mulberrypier.example/pier/outcome"
)

const (
	// callTimeout limits the duration of every request except a completion.
	callTimeout = 2 * time.Second
	// maxEventBytes is the maximum size of one server-sent event.
	maxEventBytes = 1 << 20
	// maxBodyBytes is the maximum size of a JSON response that is read.
	maxBodyBytes = 64 << 20
)

// Completion is a request to generate the tokens of a stream, or to resume reading
// one.
type Completion struct {
	// Stream is the id under which the stream is listed, resumed and cancelled.
	Stream string `json:"stream"`
	// Driver is the id of the entry host that reads the stream.
	Driver string `json:"driver"`
	// Model names the weights to use: the name of a trainer, or empty.
	Model string `json:"model"`
	// Prompt is the text to continue. It may be empty if Resume is set.
	Prompt string `json:"prompt,omitempty"`
	// Prefix identifies the cached prompt prefix that samples of one group share.
	Prefix    string `json:"prefix,omitempty"`
	MaxTokens int    `json:"max-tokens,omitempty"`
	Priority  int    `json:"priority,omitempty"`
	// Resume requests the existing stream with this id, from token Offset on.
	Resume bool `json:"resume,omitempty"`
	Offset int  `json:"offset,omitempty"`
	// Given and GivenTokens are the text and the token count generated so far by
	// another engine, which this stream continues.
	Given       string `json:"given,omitempty"`
	GivenTokens int    `json:"given-tokens,omitempty"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Stream string `json:"stream"`
	// First and End are the range of token indexes in the chunk; End is exclusive.
	First int    `json:"first"`
	End   int    `json:"end"`
	Text  string `json:"text"`
	// Version is the weight version that generated the tokens; 0 if the engine did
	// not report it.
	Version int64 `json:"version"`
	// Finish is set on the last event: "stop", "length", "cancelled" or "taken".
	Finish string `json:"finish,omitempty"`
	// Total is the number of tokens of the entire stream; it is set on the last
	// event.
	Total int `json:"total,omitempty"`
}

// RunningStream describes one stream in the list that an engine returns.
type RunningStream struct {
	Stream string `json:"stream"`
	Driver string `json:"driver"`
	Prompt string `json:"prompt"`
	Tokens int    `json:"tokens"`
	// Finished reports that the stream has ended, but has not been read to its end.
	Finished bool `json:"finished"`
}

// Load is an engine's report of its own load and weights. It lags behind the
// engine's actual state.
type Load struct {
	// Running is the number of streams in the batch; Waiting is the number of
	// queued ones.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// Versions maps each model to its loaded version.
	Versions map[string]int64 `json:"versions"`
	// Loading reports that an order to load weights is in progress.
	Loading bool `json:"loading"`
	// Leaving reports that the server is about to stop.
	Leaving bool `json:"leaving"`
	// Failed identifies the last order that failed, if any.
	Failed string `json:"failed,omitempty"`
}

// Order instructs an engine to load at least the given version of a model.
type Order struct {
	Model   string `json:"model"`
	Version int64  `json:"version"`
	// FencingToken is the ownership offset of the host that sends the order. Engines
	// that check it reject an order whose token is lower than one already seen.
	FencingToken int64 `json:"fence"`
}

// Config configures a Client.
type Config struct {
	// IdleTimeout is the maximum time for which a stream may carry no event, also
	// before its first one; after it, the stream fails with the reason
	// connection-silent. Zero disables the limit.
	IdleTimeout time.Duration
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Client sends requests to model engines. It is safe for concurrent use.
type Client struct {
	c    Config
	http *http.Client
}

// New returns a Client that is shared by the calls to all engines.
func New(c Config) *Client {
	t := answerhead.NewTransport(&http.Transport{
		DialContext:         c.Dial,
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     10 * time.Second,
		DisableCompression:  true,
	})
	return &Client{c: c, http: &http.Client{Transport: t}}
}

// Complete starts or resumes a stream and calls f for each event up to and
// including the one that finishes it. An error of f ends the stream and is returned
// unchanged; all other errors are *outcome.Error: not-run if the engine cannot have
// started the request, connection-silent or connection-lost if the stream may be
// resumed, unknown-name if the engine does not have the stream to resume.
func (c *Client) Complete(ctx context.Context, a netip.AddrPort, q *Completion, f func(*Chunk) error) error {
	b, err := json.Marshal(q)
	if err != nil {
		return outcome.Refuse(outcome.ReasonBadRequest, err.Error())
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w := newWatchdog(c.c.IdleTimeout, stop)
	defer w.stop()
	r, err := c.send(ctx, http.MethodPost, a, "/v1/completions", b)
	if err != nil {
		return w.classify(err)
	}
	defer func() { _ = r.Body.Close() }()
	if err := statusError(r); err != nil {
		return err
	}
	return c.readEvents(r.Body, q, w, f)
}

// readEvents reads server-sent events until the one that finishes the stream.
func (c *Client) readEvents(r io.Reader, q *Completion, w *watchdog, f func(*Chunk) error) error {
	for e, err := range sse.Read(r, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return w.classify(outcome.Ambiguous(outcome.ReasonConnectionLost, q.Stream, err))
		}
		w.stop() // the time that f takes is not the engine's
		if e.Type == "ping" {
			w.reset()
			continue
		}
		var k Chunk
		if err := json.Unmarshal([]byte(e.Data), &k); err != nil {
			return outcome.Ambiguous(outcome.ReasonCrossedAnswer, q.Stream+": "+err.Error(), err)
		}
		if k.Stream != q.Stream {
			return outcome.Ambiguous(outcome.ReasonCrossedAnswer, q.Stream+": got "+k.Stream, nil)
		}
		if err := f(&k); err != nil {
			return err
		}
		if k.Finish != "" {
			return nil
		}
		w.reset()
	}
	return w.classify(outcome.Ambiguous(outcome.ReasonShortAnswer, q.Stream, nil))
}

// Cancel ends a stream. Cancelling an unknown stream is not an error.
func (c *Client) Cancel(ctx context.Context, a netip.AddrPort, stream string) error {
	return c.call(ctx, http.MethodDelete, a, "/v1/streams?id="+url.QueryEscape(stream), nil, nil)
}

// Take removes a finished stream from the engine; of several callers, only one
// succeeds. The error has the reason not-owner if the engine no longer has the
// stream.
func (c *Client) Take(ctx context.Context, a netip.AddrPort, stream string) error {
	err := c.call(ctx, http.MethodDelete, a, "/v1/streams?take=1&id="+url.QueryEscape(stream), nil, nil)
	if outcome.HasReason(err, outcome.ReasonUnknownName) {
		return outcome.Refuse(outcome.ReasonNotOwner, stream)
	}
	return err
}

// Streams lists the streams that the engine holds.
func (c *Client) Streams(ctx context.Context, a netip.AddrPort) ([]RunningStream, error) {
	var l []RunningStream
	err := c.call(ctx, http.MethodGet, a, "/v1/streams", nil, &l)
	return l, err
}

// Load returns the engine's report of its load and weights.
func (c *Client) Load(ctx context.Context, a netip.AddrPort) (*Load, error) {
	var l Load
	if err := c.call(ctx, http.MethodGet, a, "/v1/load", nil, &l); err != nil {
		return nil, err
	}
	return &l, nil
}

// Order sends an order to the engine. The error has the reason stale-fence if the
// engine has already received an order from a newer owner.
func (c *Client) Order(ctx context.Context, a netip.AddrPort, o *Order) error {
	return c.call(ctx, http.MethodPost, a, "/v1/orders", o, nil)
}

// call sends q as JSON and decodes the JSON response into r; both may be nil.
func (c *Client) call(ctx context.Context, method string, a netip.AddrPort, path string, q, r any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
	if err := statusError(s); err != nil {
		return err
	}
	if r == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(s.Body, maxBodyBytes)).Decode(r); err != nil {
		return outcome.Ambiguous(outcome.ReasonCrossedAnswer, path, err)
	}
	return nil
}

// send sends one request. If that fails, the outcome of the error is not-run if no
// connection could be opened, and unknown with the reason malformed-answer or connection-lost otherwise.
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
	return nil, outcome.Ambiguous(answerhead.Reason(err, outcome.ReasonConnectionLost), a.String(), err)
}

// statusError converts an HTTP status other than 200 into an *outcome.Error.
func statusError(r *http.Response) error {
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
	return outcome.Ambiguous(outcome.ReasonServerError, r.Request.URL.Path+": "+r.Status, nil)
}

// watchdog cancels a stream on which no event arrives within the timeout.
type watchdog struct {
	timeout time.Duration
	timer   *time.Timer
	// fired is closed, once, when the timeout has expired.
	fired chan struct{}
	once  sync.Once
}

// newWatchdog starts a watchdog that calls cancel after d without a reset; a d of
// zero disables it.
func newWatchdog(d time.Duration, cancel func()) *watchdog {
	w := &watchdog{timeout: d, fired: make(chan struct{})}
	if d > 0 {
		w.timer = time.AfterFunc(d, func() {
			w.once.Do(func() { close(w.fired) }) // a reset after the timeout lets it expire again
			cancel()
		})
	}
	return w
}

// reset restarts the timeout.
func (w *watchdog) reset() {
	if w.timer != nil {
		w.timer.Reset(w.timeout)
	}
}

func (w *watchdog) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// classify returns an error with the reason connection-silent if the watchdog
// caused err, and err otherwise.
func (w *watchdog) classify(err error) error {
	select {
	case <-w.fired:
		return outcome.Ambiguous(outcome.ReasonSilent, "engine", err)
	default:
		return err
	}
}
