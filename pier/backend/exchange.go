package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
)

// inlineBodyBytes is the size of the longest body that is written before the answer is
// read. It fits into a socket's buffer, so the write cannot block for long.
const inlineBodyBytes = 16 << 10

// Purpose is why a request is sent to a server. It is also a label value of metrics.
type Purpose string

// The purposes.
const (
	// PurposeCall is a caller's request, PurposeScore a call to a scorer; both at the first
	// server that is tried.
	PurposeCall  Purpose = "call"
	PurposeScore Purpose = "score"
	// PurposeRetry is a further attempt at another server, PurposeHedge one that is made
	// before the previous has ended.
	PurposeRetry Purpose = "retry"
	PurposeHedge Purpose = "hedge"
	// PurposeSample is the run of a sample, PurposeResume its continuation.
	PurposeSample Purpose = "sample"
	PurposeResume Purpose = "resume"
)

// Request is a request to one incarnation of a server.
type Request struct {
	// Server is the id of the incarnation, Address the address that it listens on, and Born
	// the time at which it started, which differs if an id is used again.
	Server  string
	Address netip.AddrPort
	Born    time.Time
	Method  string
	// Target is the path and query, sent unchanged.
	Target string
	// Host is the value of the Host header field.
	Host string
	// ID is the id of the request, which the answer must repeat; empty if the answer
	// carries none.
	ID string
	// Header holds further header fields. Names are sent unchanged; line breaks are removed
	// from values.
	Header http.Header
	Body   []byte
	// Deadline is when the caller stops waiting; the request states the time that is left
	// when it is sent. Zero if it has none.
	Deadline time.Time
	// Purpose is why the request is sent.
	Purpose Purpose
	// MaxIdle is the number of idle connections to the server up to which its connection is
	// kept afterwards: 0 if there is no limit of the server's, negative to keep none.
	MaxIdle int
	// LimitWait is how long the request may wait, before it is sent, for a server that limits
	// its requests.
	LimitWait time.Duration
	// HeaderTimeout is the maximum wait for the header of the answer; 0 if only the context
	// limits it.
	HeaderTimeout time.Duration
}

// maxIdle returns how many idle connections to the server are kept.
func (q *Request) maxIdle() int {
	if q.MaxIdle == 0 {
		return maxIdlePerServer
	}
	return min(max(q.MaxIdle, 0), maxIdlePerServer)
}

// Response is the answer to a request. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// BodyLength is the length of the body as stated in the header, -1 if none is stated.
	BodyLength int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// sent is closed once the complete request was written.
	sent <-chan struct{}
	// stop ends the watch over the request's context. It returns false if the context has
	// ended and the connection is no longer usable.
	stop func() bool
	// complete is set once the body was read to its end.
	complete bool
	// closing is set if the server closes the connection after this answer.
	closing bool
}

// Do sends a request and returns once the header of the answer was read. An error is an
// *outcome.Error. Its outcome is not-run only if no byte was sent.
func (p *Pool) Do(ctx context.Context, q Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, outcome.Refuse(outcome.ReasonOf(ctx), q.Server)
	}
	a, err := p.admit(ctx, &q)
	if err != nil {
		return nil, err
	}
	c := p.takeIdle(q.Server)
	if c == nil {
		if c, err = p.dial(ctx, q.Server, q.Address); err != nil {
			return nil, err
		}
	}
	c.maxIdle = q.maxIdle()
	if a.Limited && boottime.Now() > a.Until {
		p.putIdle(c)
		return nil, outcome.Refuse(outcome.ReasonPermitExpired, q.Server)
	}
	return p.exchange(ctx, c, q, a)
}

// admit asks whether the request may be sent. Requests without an id, which only control a
// server or ask for its state, always may.
func (p *Pool) admit(ctx context.Context, q *Request) (Admission, error) {
	if q.ID == "" {
		return Admission{}, nil
	}
	return p.c.Admit(ctx, q)
}

// exchange sends q on c and reads the header of the answer. If it fails, it closes c, and the
// outcome of the request is unknown.
func (p *Pool) exchange(ctx context.Context, c *conn, q Request, m Admission) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	fail := func(r outcome.Reason, err error) (*Response, error) {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			r = outcome.ReasonOf(ctx)
		}
		return nil, outcome.Ambiguous(r, q.Server, err)
	}
	sent, err := c.writeRequest(p.c.Dialect, q)
	if err != nil {
		return fail(outcome.ReasonConnectionLost, err)
	}
	if q.HeaderTimeout > 0 {
		t := time.AfterFunc(q.HeaderTimeout, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer t.Stop()
	}
	a, err := readHeader(c, q.Method) //nolint:bodyclose // Response.Close closes the connection.
	if err != nil {
		return fail(failureReason(err), err)
	}
	if q.ID != "" && a.Header.Get(p.c.Dialect.RequestID) != q.ID {
		return fail(outcome.ReasonCrossedAnswer, nil)
	}
	if a.StatusCode != http.StatusMisdirectedRequest {
		p.observe(&q, m, a.Header)
	}
	if k := a.Header.Get("Keep-Alive"); k != "" {
		c.idleTimeout = parseKeepAlive(k)
	}
	closing := a.Close || a.ContentLength < 0 && len(a.TransferEncoding) == 0
	return &Response{
		Status: a.StatusCode, Header: a.Header, BodyLength: a.ContentLength,
		pool: p, conn: c, body: a.Body, sent: sent, stop: stop, closing: closing,
	}, nil
}

// observe reports what a server states of itself in the header of an answer.
func (p *Pool) observe(q *Request, m Admission, h http.Header) {
	if h.Get(p.c.Dialect.Leaving) != "" {
		p.c.OnLeaving(q.Server, q.Born)
	}
	if q.ID != "" {
		p.c.OnLimit(q, m, h[http.CanonicalHeaderKey(p.c.Dialect.Limit)])
	}
}

// errTooLarge is the error of a header that passes one of its bounds.
var errTooLarge = errors.New("header of the answer is too large")

// readHeader reads the header of the final answer and skips informational (1xx) ones. It
// fails with errTooLarge if they pass a bound together.
func readHeader(c *conn, method string) (*http.Response, error) {
	c.limit.left = maxHeaderBytes
	defer func() { c.limit.left = unlimited }()
	for range 1 + maxInterimAnswers {
		a, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if countFields(a.Header) > maxHeaderFields {
			return nil, errTooLarge
		}
		if a.StatusCode >= http.StatusOK {
			return a, nil
		}
	}
	return nil, errTooLarge
}

func countFields(h http.Header) int {
	n := 0
	for _, l := range h {
		n += len(l)
	}
	return n
}

// failureReason returns the reason of a failed read: ReasonSilent for a timeout,
// ReasonAnswerTooLarge for a header that passes a bound, and ReasonConnectionLost for any
// other error.
func failureReason(err error) outcome.Reason {
	var t interface{ Timeout() bool }
	switch {
	case errors.As(err, &t) && t.Timeout():
		return outcome.ReasonSilent
	case errors.Is(err, errTooLarge):
		return outcome.ReasonAnswerTooLarge
	}
	return outcome.ReasonConnectionLost
}

// alreadyWritten is a closed channel, for requests that were written before
// writeRequest returned.
var alreadyWritten = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

// writeRequest writes the request and returns a channel that is closed once all of it was
// written; if writing the body fails, the channel stays open. A body longer than
// inlineBodyBytes is written concurrently with the reading of the answer, as a server may
// answer before it has read the body.
func (c *conn) writeRequest(d Dialect, q Request) (<-chan struct{}, error) {
	var b bytes.Buffer
	b.Grow(512 + min(len(q.Body), inlineBodyBytes))
	b.WriteString(q.Method + " " + q.Target + " HTTP/1.1\r\nHost: " + q.Host + "\r\n")
	if q.ID != "" {
		b.WriteString(d.RequestID + ": " + q.ID + "\r\n")
	}
	for k, l := range q.Header {
		for _, v := range l {
			b.WriteString(k + ": " + strings.NewReplacer("\r", "", "\n", "").Replace(v) + "\r\n")
		}
	}
	if !q.Deadline.IsZero() {
		b.WriteString(d.Deadline + ": " + strconv.FormatInt(max(time.Until(q.Deadline).Milliseconds(), 1), 10) + "\r\n")
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(q.Body) <= inlineBodyBytes {
		b.Write(q.Body)
		_, err := c.Write(b.Bytes())
		return alreadyWritten, err
	}
	if _, err := c.Write(b.Bytes()); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	go func() {
		if _, err := c.Write(q.Body); err == nil {
			close(done)
		}
	}()
	return done, nil
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.complete = true
	}
	return n, err
}

// Close releases the connection. The connection is reused only if the request was written
// and the answer read completely, nothing followed the answer, the context has not ended and
// the server keeps the connection open. Otherwise it is closed.
func (r *Response) Close() {
	notCancelled := r.stop()
	sent := false
	select {
	case <-r.sent:
		sent = true
	default:
	}
	if notCancelled && r.complete && sent && !r.closing && r.conn.r.Buffered() == 0 {
		r.pool.putIdle(r.conn)
		return
	}
	_ = r.conn.Close()
}

// NotRun reports whether the server stated that it did not execute the request.
func (r *Response) NotRun() bool {
	return r.Header.Get(r.pool.c.Dialect.NotRun) != "" || r.Status == http.StatusMisdirectedRequest
}

// Load is the load that a server states in an answer, in numbers of requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Load returns the load stated in the answer. It returns false if the header field is
// missing or malformed.
func (r *Response) Load() (Load, bool) {
	f := strings.Split(r.Header.Get(r.pool.c.Dialect.Load), ",")
	if len(f) != 3 {
		return Load{}, false
	}
	var n [3]int
	for i, s := range f {
		v, err := strconv.Atoi(strings.TrimSpace(s))
		if err != nil || v < 0 {
			return Load{}, false
		}
		n[i] = v
	}
	return Load{Running: n[0], Waiting: n[1], Slots: n[2]}, true
}

// Version returns the version of the weights stated in the answer. It returns false if the
// header field is missing or is not a positive number.
func (r *Response) Version() (int64, bool) {
	v, err := strconv.ParseInt(r.Header.Get(r.pool.c.Dialect.WeightVersion), 10, 64)
	return v, err == nil && v > 0
}
