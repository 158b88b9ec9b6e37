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

// Request is an incoming request.
type Request struct {
	// Kind is the message type, at least KindFirst.
	Kind Kind
	// Body is the request message, encoded as msgpack.
	Body     []byte
	sendPart func(v any) error
}

// SendPart sends v as one part of a streamed reply. An error is an *outcome.Error.
func (r *Request) SendPart(v any) error { return r.sendPart(v) }

// Handler serves one request. The returned value is sent as the reply message; an
// error reaches the caller as an *outcome.Error. The context is cancelled when the
// request's deadline expires, the caller cancels the request, or the connection
// closes.
type Handler func(ctx context.Context, r *Request) (any, error)

// call is an outgoing request that is waiting for its reply.
type call struct {
	// frames receives the frames of the reply, at most maxQueuedFrames at a time.
	frames chan *frame
	// overflowed is closed when frames is full and a frame had to be dropped.
	overflowed chan struct{}
	// received is the number of frames that the connection had received before the request.
	received uint64
}

// conn is a connection. It carries outgoing calls, and incoming requests if it has
// a handler.
type conn struct {
	net     net.Conn
	handler Handler

	// wmu guards w and lastWrite.
	wmu sync.Mutex
	w   *bufio.Writer
	// lastWrite is when the last frame was written.
	lastWrite time.Time

	mu sync.Mutex
	// calls holds the outgoing calls that are waiting for a reply, by frame ID; it is
	// nil once the connection is closed.
	calls  map[uint64]*call
	lastID uint64
	// received is the number of frames that were received.
	received uint64
	// suspect is set when a call ends at its deadline and no frame arrived since its request:
	// the connection may have gone silent. It is reset when a frame arrives.
	suspect bool
	// retired is set when another connection has replaced this one, which then only awaits replies.
	retired bool
	// serving holds the cancel functions of the requests being handled, by frame ID.
	serving map[uint64]context.CancelFunc
	// err is why the connection was closed.
	err *outcome.Error
	// done is closed when the connection is closed.
	done chan struct{}
}

// newConn starts reading from n and sending pings on it. The requests that arrive are
// ignored if h is nil.
func newConn(n net.Conn, h Handler) *conn {
	c := &conn{
		net:       n,
		handler:   h,
		w:         bufio.NewWriterSize(n, bufferBytes),
		lastWrite: time.Now(),
		calls:     make(map[uint64]*call),
		serving:   make(map[uint64]context.CancelFunc),
		done:      make(chan struct{}),
	}
	go c.readLoop()
	go c.keepAlive()
	return c
}

// send writes one frame and flushes it.
func (c *conn) send(f *frame) error {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "deadline", err)
	}
	if err := writeFrame(c.w, f); err != nil {
		return err
	}
	if err := c.w.Flush(); err != nil {
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "flush", err)
	}
	c.lastWrite = time.Now()
	return nil
}

// keepAlive sends pings while nothing else is sent, so that the other side does not
// close the connection as silent. It closes the connection when it is no longer used.
func (c *conn) keepAlive() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	for {
		select {
		case <-c.done:
			return
		case <-t.C:
		}
		if c.isUnused() {
			c.close(outcome.Ambiguous(outcome.ReasonCancelled, "replaced by another connection", nil))
			return
		}
		c.wmu.Lock()
		idle := time.Since(c.lastWrite) >= pingInterval
		c.wmu.Unlock()
		if !idle {
			continue
		}
		if err := c.send(&frame{Kind: kindPing}); err != nil {
			c.close(outcome.AsError(err))
			return
		}
	}
}

// readLoop dispatches incoming frames until the connection closes or no frame
// arrives within silenceTimeout.
func (c *conn) readLoop() {
	r := bufio.NewReaderSize(c.net, bufferBytes)
	for {
		if err := c.net.SetReadDeadline(time.Now().Add(silenceTimeout)); err != nil {
			c.close(outcome.Ambiguous(outcome.ReasonConnectionLost, "deadline", err))
			return
		}
		f, err := readFrame(r)
		if err != nil {
			c.close(readError(err))
			return
		}
		c.dispatch(f)
	}
}

// readError returns the error with which to close the connection after a failed
// read. A read timeout gets the reason connection-silent, so that callers can tell
// it from a closed connection.
func readError(err error) *outcome.Error {
	e := outcome.AsError(err)
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return outcome.Ambiguous(outcome.ReasonSilent, "peer", e.Unwrap())
	}
	return e
}

func (c *conn) dispatch(f *frame) {
	c.mu.Lock()
	c.received++
	c.suspect = false
	c.mu.Unlock()
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

// deliver passes a frame of a reply to the call that is waiting for it. Frames of
// calls that were cancelled are dropped.
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
	case x.frames <- f:
	default:
		c.overflow(f.ID, x)
	}
}

// overflow ends a call whose caller reads too slowly. Waiting for the caller instead
// would block all other calls on the connection.
func (c *conn) overflow(id uint64, x *call) {
	close(x.overflowed)
	c.mu.Lock()
	delete(c.calls, id)
	c.mu.Unlock()
	go func() { _ = c.send(&frame{Kind: kindCancel, ID: id}) }()
}

// serve runs the handler for a request in a goroutine of its own. Without a handler,
// as on the connections of a Client, the request is ignored.
func (c *conn) serve(f *frame) {
	if c.handler == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	if f.Timeout > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), f.Timeout)
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
		defer c.requestDone(f.ID, cancel)
		c.handle(ctx, f)
	}()
}

// requestDone releases the context of a request that the handler has served.
func (c *conn) requestDone(id uint64, cancel context.CancelFunc) {
	cancel()
	c.mu.Lock()
	delete(c.serving, id)
	c.mu.Unlock()
}

// handle runs the handler for a request and sends its reply or its error. A reply that
// is too long for a frame is replaced by an error with the reason too-large.
func (c *conn) handle(ctx context.Context, f *frame) {
	r := &Request{Kind: f.Kind, Body: f.Body}
	r.sendPart = func(v any) error {
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
		a.Body, _ = Encode(outcome.AsError(err))
	}
	if err := c.send(a); err != nil && !outcome.HasReason(err, outcome.ReasonTooLarge) {
		c.close(outcome.AsError(err))
	} else if err != nil {
		a.Kind = kindError
		a.Body, _ = Encode(outcome.Ambiguous(outcome.ReasonTooLarge, "reply", nil))
		_ = c.send(a)
	}
}

// close closes the connection. Calls that are waiting on it fail with e, and the
// contexts of the requests being handled are cancelled. Only the first call has an
// effect.
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

// closed reports whether the connection has been closed.
func (c *conn) closed() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

// startCall registers a call and sends its request. The error has the outcome
// not-run if no byte of the request was written.
func (c *conn) startCall(ctx context.Context, k Kind, b []byte) (uint64, *call, error) {
	a := &call{frames: make(chan *frame, maxQueuedFrames), overflowed: make(chan struct{})}
	c.mu.Lock()
	if c.calls == nil {
		e := c.err
		c.mu.Unlock()
		return 0, nil, outcome.Refuse(outcome.ReasonUnreachable, e.Detail)
	}
	c.lastID++
	id := c.lastID
	a.received = c.received
	c.calls[id] = a
	c.mu.Unlock()
	f := &frame{Kind: k, ID: id, Body: b}
	if t, ok := ctx.Deadline(); ok {
		f.Timeout = max(time.Until(t), time.Microsecond)
	}
	if err := c.send(f); err != nil {
		c.cancelCall(id)
		e := outcome.AsError(err)
		if !outcome.HasReason(err, outcome.ReasonTooLarge) {
			c.close(e)
		}
		return 0, nil, e
	}
	return id, a, nil
}

// cancelCall removes a call whose caller is no longer waiting and asks the other
// side to cancel the request.
func (c *conn) cancelCall(id uint64) {
	c.mu.Lock()
	_, ok := c.calls[id]
	delete(c.calls, id)
	c.mu.Unlock()
	if ok {
		_ = c.send(&frame{Kind: kindCancel, ID: id})
	}
}

// noReply records that a call ended at its deadline. A connection that never received a frame
// does not become suspect, as the other side is then silent on new connections too.
func (c *conn) noReply(w *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.suspect = c.suspect || c.received > 0 && c.received == w.received
}

// isSuspect reports whether the connection may have gone silent.
func (c *conn) isSuspect() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspect
}

// retire makes the connection close once no call waits on it.
func (c *conn) retire() {
	c.mu.Lock()
	c.retired = true
	c.mu.Unlock()
}

// isUnused reports whether the connection is retired and no call waits on it.
func (c *conn) isUnused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired && len(c.calls) == 0
}

// lostError returns the error of a call that was sent but ended without a reply
// because the connection closed. Its outcome is always unknown.
func (c *conn) lostError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil {
		return outcome.Ambiguous(outcome.ReasonConnectionLost, "peer", nil)
	}
	e := *c.err
	e.Outcome = outcome.Unknown
	return &e
}
