package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"

	"mulberrypier.example/pier/outcome"
)

// ClientConfig configures a Client.
type ClientConfig struct {
	// Dial opens a connection. If nil, the client dials plain TCP.
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error)
}

// Client sends requests to other processes over one long-lived connection per
// address. It is safe for concurrent use.
type Client struct {
	c  ClientConfig
	mu sync.Mutex
	// conns holds the connections to each address. The last one is the current one; the next
	// call replaces it if it is closed or suspect. The others only await replies.
	conns map[netip.AddrPort][]*conn
}

// NewClient returns a client that dials an address on the first call to it.
func NewClient(c ClientConfig) *Client {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return &Client{c: c, conns: make(map[netip.AddrPort][]*conn)}
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.String())
}

// Close closes all connections; calls that are waiting on them fail with the reason
// cancelled.
func (c *Client) Close() {
	c.mu.Lock()
	m := c.conns
	c.conns = make(map[netip.AddrPort][]*conn)
	c.mu.Unlock()
	for _, l := range m {
		for _, x := range l {
			x.close(outcome.Ambiguous(outcome.ReasonCancelled, "client closed", nil))
		}
	}
}

// Disconnect closes the connections to a, so that the next call opens a new one. Calls
// that are waiting on them fail with the reason connection-lost.
func (c *Client) Disconnect(a netip.AddrPort) {
	c.mu.Lock()
	l := c.conns[a]
	delete(c.conns, a)
	c.mu.Unlock()
	for _, x := range l {
		x.close(outcome.Ambiguous(outcome.ReasonConnectionLost, "forgotten", nil))
	}
}

// Call sends the request q to a and decodes the reply into r, which may be nil.
// An error is an *outcome.Error. Its outcome is not-run if the request was not
// written or the handler refused it, and unknown if it may have been executed.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, k Kind, q, r any) error {
	return c.Stream(ctx, a, k, q, r, nil)
}

// Stream is like Call for a reply that is streamed in parts: it calls part with the
// encoded body of each part, in order, before it decodes the final message into r.
// An error of part cancels the call and is returned.
func (c *Client) Stream(
	ctx context.Context, a netip.AddrPort, k Kind, q, r any, part func(b []byte) error,
) error {
	b, err := Encode(q)
	if err != nil {
		return err
	}
	n, err := c.conn(ctx, a)
	if err != nil {
		return err
	}
	id, w, err := n.startCall(ctx, k, b)
	if err != nil {
		return err
	}
	return n.awaitReply(ctx, id, w, r, part)
}

// awaitReply handles the frames of a reply until the last one arrives, the context
// ends, or the connection closes.
func (c *conn) awaitReply(
	ctx context.Context, id uint64, w *call, r any, part func(b []byte) error,
) error {
	for {
		select {
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				c.noReply(w)
			}
			c.cancelCall(id)
			return outcome.Ambiguous(outcome.ReasonDeadline, "peer", ctx.Err())
		case <-w.overflowed:
			return outcome.Ambiguous(outcome.ReasonQueueFull, "reply read too slowly", nil)
		case <-c.done:
			if len(w.frames) == 0 {
				return c.lostError()
			}
		case f := <-w.frames:
			if f.Kind == kindPart {
				if err := handlePart(f, part); err != nil {
					c.cancelCall(id)
					return err
				}
				continue
			}
			return decodeReply(f, r)
		}
	}
}

// handlePart passes a part of a streamed reply to the caller. It fails if the caller
// expects a reply without parts.
func handlePart(f *frame, part func(b []byte) error) error {
	if part == nil {
		return outcome.Ambiguous(outcome.ReasonCrossedAnswer, "a part where none was asked for", nil)
	}
	return part(f.Body)
}

// decodeReply decodes the final frame of a reply into r, which may be nil, or
// returns the error that the frame carries.
func decodeReply(f *frame, r any) error {
	if f.Kind == kindError {
		var e outcome.Error
		if err := Decode(f.Body, &e); err != nil {
			return outcome.Ambiguous(outcome.ReasonCrossedAnswer, "error frame", err)
		}
		e.Remote = true
		return &e
	}
	if r == nil {
		return nil
	}
	if err := Decode(f.Body, r); err != nil {
		return outcome.Ambiguous(outcome.ReasonCrossedAnswer, err.Error(), err)
	}
	return nil
}

// conn returns the current connection to a, dialling if there is none that may be used.
// If two callers dial at the same time, one connection is kept and the other is closed.
func (c *Client) conn(ctx context.Context, a netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	n := c.current(a)
	c.mu.Unlock()
	if n != nil {
		return n, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := c.c.Dial(ctx, a)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonUnreachable, a.String(), err)
	}
	n = newConn(s, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.current(a); o != nil {
		go n.close(outcome.Ambiguous(outcome.ReasonCancelled, "second connection", nil))
		return o, nil
	}
	l := slices.DeleteFunc(c.conns[a], (*conn).closed)
	for _, o := range l {
		o.retire()
	}
	c.conns[a] = append(l, n)
	return n, nil
}

// current returns the connection to a that new calls use, nil if there is none. The caller
// holds mu.
func (c *Client) current(a netip.AddrPort) *conn {
	l := c.conns[a]
	if len(l) == 0 {
		return nil
	}
	n := l[len(l)-1]
	if n.closed() || n.isSuspect() {
		return nil
	}
	return n
}

// Probe is like Call but uses a new connection, which it closes afterwards. It
// distinguishes a host that is down from one whose existing connection has stopped
// carrying data.
func (c *Client) Probe(ctx context.Context, a netip.AddrPort, k Kind, q, r any) error {
	p := NewClient(c.c)
	defer p.Close()
	return p.Call(ctx, a, k, q, r)
}
