package peer

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
)

// Request is one call as its handler sees it.
type Request struct {
	// Kind is at least KindFirst.
	Kind Kind
	// Body is the msgpack of the request's message.
	Body []byte
	part func(v any) error
}

// Part sends one part of a streamed reply. An error is an *outcome.Error.
func (r *Request) Part(v any) error { return r.part(v) }

// Handler serves one request. The returned value is the reply's message; an
// error reaches the caller as an *outcome.Error. The context ends with the
// request's deadline, its cancellation or its connection.
type Handler func(ctx context.Context, r *Request) (any, error)

// call is a request that waits for its reply.
type call struct {
	// parts receives the frames of the reply.
	parts chan *frame
	// over is closed when the caller read too slowly and frames were dropped.
	over chan struct{}
}

// conn is one connection, in either direction.
type conn struct {
	net     net.Conn
	handler Handler

	wmu sync.Mutex
	w   *bufio.Writer
	// wrote is when the last frame was written; guarded by wmu.
	wrote time.Time

	mu sync.Mutex
	// calls holds the requests sent on this connection that wait; nil once closed.
	calls map[uint64]*call
	next  uint64
	// serving holds the cancel functions of the requests being handled.
	serving map[uint64]context.CancelFunc
	err     *outcome.Error
	done    chan struct{}
}

func newConn(n net.Conn, h Handler) *conn {
	c := &conn{
		net:     n,
		handler: h,
		w:       bufio.NewWriterSize(n, bufferBytes),
		wrote:   time.Now(),
		calls:   make(map[uint64]*call),
		serving: make(map[uint64]context.CancelFunc),
		done:    make(chan struct{}),
	}
	go c.read()
	go c.ping()
	return c
}

// send writes one frame and flushes it.
func (c *conn) send(f *frame) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if err := c.net.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "deadline", err)
	}
	if err := writeFrame(c.w, f); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "flush", err)
	}
	c.wrote = time.Now()
	return nil
}

// ping keeps the other side from taking this connection for silent.
func (c *conn) ping() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-t.C:
		}
		c.wmu.Lock()
		idle := time.Since(c.wrote) >= pingInterval
		c.wmu.Unlock()
		if !idle {
			continue
		}
		if err := c.send(&frame{Kind: kindPing}); err != nil {
			c.close(outcome.From(err))
			return
		}
	}
}

// read takes frames until the connection ends or falls silent.
func (c *conn) read() {
	r := bufio.NewReaderSize(c.net, bufferBytes)
	for {
		if err := c.net.SetReadDeadline(time.Now().Add(silenceLimit)); err != nil {
			c.close(outcome.Lost(outcome.ReasonConnectionLost, "deadline", err))
			return
		}
		f, err := readFrame(r)
		if err != nil {
			c.close(readError(err))
			return
		}
		c.take(f)
	}
}

// readError tells a silent connection from a closed one.
func readError(err error) *outcome.Error {
	e := outcome.From(err)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return outcome.Lost(outcome.ReasonSilent, "peer", e.Unwrap())
	}
	return e
}

func (c *conn) take(f *frame) {
	switch f.Kind {
	case kindPing:
	case kindReply, kindPart, kindError:
		c.deliver(f)
	case kindCancel:
		c.mu.Lock()
		x := c.serving[f.ID]
		c.mu.Unlock()
		if x != nil {
			x()
		}
	default:
		c.serve(f)
	}
}

// deliver passes a frame of a reply to its caller.
func (c *conn) deliver(f *frame) {
	c.mu.Lock()
	x := c.calls[f.ID]
	if x != nil && f.Kind != kindPart {
		delete(c.calls, f.ID)
	}
	c.mu.Unlock()
	if x == nil {
		return
	}
	select {
	case x.parts <- f:
	default:
		c.overflow(f.ID, x)
	}
}

// overflow ends a call whose caller reads too slowly, so that it does not hold
// up the other calls of the connection.
func (c *conn) overflow(id uint64, x *call) {
	close(x.over)
	c.mu.Lock()
	delete(c.calls, id)
	c.mu.Unlock()
	go func() { _ = c.send(&frame{Kind: kindCancel, ID: id}) }()
}

// serve runs the handler for a request in a goroutine of its own.
func (c *conn) serve(f *frame) {
	if c.handler == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if f.Left > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), f.Left)
	}
	c.mu.Lock()
	if c.calls == nil {
		c.mu.Unlock()
		cancel()
		return
	}
	c.serving[f.ID] = cancel
	c.mu.Unlock()
	go func() {
		defer c.finish(f.ID, cancel)
		c.handle(ctx, f)
	}()
}

func (c *conn) finish(id uint64, cancel context.CancelFunc) {
	cancel()
	c.mu.Lock()
	delete(c.serving, id)
	c.mu.Unlock()
}

func (c *conn) handle(ctx context.Context, f *frame) {
	r := &Request{Kind: f.Kind, Body: f.Body}
	r.part = func(v any) error {
		b, err := Encode(v)
		if err != nil {
			return err
		}
		return c.send(&frame{Kind: kindPart, ID: f.ID, Body: b})
	}
	v, err := c.handler(ctx, r)
	a := &frame{Kind: kindReply, ID: f.ID}
	if err == nil {
		a.Body, err = Encode(v)
	}
	if err != nil {
		a.Kind = kindError
		a.Body, _ = Encode(outcome.From(err))
	}
	if err := c.send(a); err != nil && !outcome.Is(err, outcome.ReasonTooLarge) {
		c.close(outcome.From(err))
	} else if err != nil {
		a.Kind = kindError
		a.Body, _ = Encode(outcome.Lost(outcome.ReasonTooLarge, "reply", nil))
		_ = c.send(a)
	}
}

// close ends the connection; every call on it fails with e.
func (c *conn) close(e *outcome.Error) {
	c.mu.Lock()
	if c.calls == nil {
		c.mu.Unlock()
		return
	}
	s := c.serving
	c.calls, c.serving, c.err = nil, nil, e
	close(c.done)
	c.mu.Unlock()
	_ = c.net.Close()
	for _, x := range s {
		x()
	}
}

// closed reports whether the connection has ended.
func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// begin registers a call and sends its request. The error is not-run when the
// request was not written.
func (c *conn) begin(ctx context.Context, k Kind, b []byte) (uint64, *call, error) {
	a := &call{parts: make(chan *frame, partsKept), over: make(chan struct{})}
	c.mu.Lock()
	if c.calls == nil {
		e := c.err
		c.mu.Unlock()
		return 0, nil, outcome.Refuse(outcome.ReasonUnreachable, e.Detail)
	}
	c.next++
	id := c.next
	c.calls[id] = a
	c.mu.Unlock()
	f := &frame{Kind: k, ID: id, Body: b}
	if t, ok := ctx.Deadline(); ok {
		f.Left = max(time.Until(t), time.Microsecond)
	}
	if err := c.send(f); err != nil {
		c.forget(id)
		e := outcome.From(err)
		if !outcome.Is(err, outcome.ReasonTooLarge) {
			c.close(e)
		}
		return 0, nil, e
	}
	return id, a, nil
}

// forget drops a call whose caller no longer waits.
func (c *conn) forget(id uint64) {
	c.mu.Lock()
	_, ok := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if ok {
		_ = c.send(&frame{Kind: kindCancel, ID: id})
	}
}

// lost returns why a call ended without a reply.
func (c *conn) lost() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		return outcome.Lost(outcome.ReasonConnectionLost, "peer", nil)
	}
	e := *c.err
	e.Outcome = outcome.Unknown
	return &e
}
