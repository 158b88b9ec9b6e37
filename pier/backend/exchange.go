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

	"mulberrypier.example/pier/outcome"
)

// inlineBodyBytes is the longest body that is written before the answer is read;
// it fits into a socket's buffer, so the write cannot block for long.
const inlineBodyBytes = 16 << 10

// Request is one request to one incarnation of a server.
type Request struct {
	// Server is the id of the incarnation, Address where it listens.
	Server  string
	Address netip.AddrPort
	Method  string
	// Target is the path and query, sent as it is.
	Target string
	Host   string
	// ID is the request's id, which the answer must echo; empty for a request whose
	// answer carries none.
	ID string
	// Header holds further headers, names as they are sent.
	Header http.Header
	Body   []byte
	// Silence bounds the wait for the answer's header; 0 leaves it to the context.
	Silence time.Duration
}

// Response is the answer to a request. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the stated length of the body, -1 if there is none.
	Length int64

	pool *Pool
	conn *conn
	body io.ReadCloser
	// sent is closed when the request was written whole.
	sent <-chan struct{}
	stop func() bool
	// whole is set when the body was read to its end.
	whole bool
	// last is set when the server closes the connection after this answer.
	last bool
}

// Do sends a request and returns once the answer's header is read. An error is an
// *outcome.Error: not-run when no byte was sent.
func (p *Pool) Do(ctx context.Context, q Request) (*Response, error) {
	if ctx.Err() != nil {
		return nil, outcome.Refuse(outcome.ReasonDeadline, q.Server)
	}
	c := p.take(q.Server)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, q.Server, q.Address); err != nil {
			return nil, err
		}
	}
	return p.exchange(ctx, c, q)
}

func (p *Pool) exchange(ctx context.Context, c *conn, q Request) (*Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	fail := func(r outcome.Reason, err error) (*Response, error) {
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			r = outcome.ReasonDeadline
		}
		return nil, outcome.Lost(r, q.Server, err)
	}
	sent, err := c.send(p.c.Dialect, q)
	if err != nil {
		return fail(outcome.ReasonConnectionLost, err)
	}
	if q.Silence > 0 {
		t := time.AfterFunc(q.Silence, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
		defer t.Stop()
	}
	a, err := readHeader(c, q.Method) //nolint:bodyclose // Response.Close ends the body with its connection.
	if err != nil {
		return fail(lostReason(err), err)
	}
	if q.ID != "" && a.Header.Get(p.c.Dialect.RequestID) != q.ID {
		return fail(outcome.ReasonCrossedAnswer, nil)
	}
	if k := a.Header.Get("Keep-Alive"); k != "" {
		c.keep = keepAlive(k)
	}
	last := a.Close || a.ContentLength < 0 && len(a.TransferEncoding) == 0
	return &Response{
		Status: a.StatusCode, Header: a.Header, Length: a.ContentLength,
		pool: p, conn: c, body: a.Body, sent: sent, stop: stop, last: last,
	}, nil
}

// readHeader reads the header of the final answer, past interim ones.
func readHeader(c *conn, method string) (*http.Response, error) {
	for {
		a, err := http.ReadResponse(c.r, &http.Request{Method: method})
		if err != nil || a.StatusCode >= http.StatusOK {
			return a, err
		}
	}
}

func lostReason(err error) outcome.Reason {
	var t interface{ Timeout() bool }
	if errors.As(err, &t) && t.Timeout() {
		return outcome.ReasonSilent
	}
	return outcome.ReasonConnectionLost
}

var written = func() <-chan struct{} { c := make(chan struct{}); close(c); return c }()

// send writes the request. A long body goes on being written beside the reading
// of the answer, as a server may answer before it has read the body.
func (c *conn) send(d Dialect, q Request) (<-chan struct{}, error) {
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
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(q.Body) <= inlineBodyBytes {
		b.Write(q.Body)
		_, err := c.Write(b.Bytes())
		return written, err
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

// Read reads the body. Its error is io.EOF only after a whole body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err == io.EOF {
		r.whole = true
	}
	return n, err
}

// Close keeps the connection when the answer was read whole and nothing followed
// it, and closes it otherwise.
func (r *Response) Close() {
	live := r.stop()
	sent := false
	select {
	case <-r.sent:
		sent = true
	default:
	}
	if live && r.whole && sent && !r.last && r.conn.r.Buffered() == 0 {
		r.pool.put(r.conn)
		return
	}
	_ = r.conn.Close()
}

// NotRun reports whether the server says that it did not execute the request.
func (r *Response) NotRun() bool {
	return r.Header.Get(r.pool.c.Dialect.NotRun) != "" || r.Status == http.StatusMisdirectedRequest
}

// Load is what a server says of itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Load returns the load stated in the answer.
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

// Version returns the version of the weights stated in the answer.
func (r *Response) Version() (int64, bool) {
	v, err := strconv.ParseInt(r.Header.Get(r.pool.c.Dialect.WeightVersion), 10, 64)
	return v, err == nil && v > 0
}
