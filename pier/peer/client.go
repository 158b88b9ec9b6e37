package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"mulberrypier.example/pier/outcome"
)

// ClientConfig constructs a Client.
type ClientConfig struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error)
}

// Client calls other processes. It keeps one connection for each address and is
// safe for concurrent use.
type Client struct {
	c  ClientConfig
	mu sync.Mutex
	// conns holds the newest connection to each address.
	conns map[netip.AddrPort]*conn
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) *Client {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return &Client{c: c, conns: make(map[netip.AddrPort]*conn)}
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", a.String())
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	m := c.conns
	c.conns = make(map[netip.AddrPort]*conn)
	c.mu.Unlock()
	for _, x := range m {
		x.close(outcome.Lost(outcome.ReasonCancelled, "client closed", nil))
	}
}

// Forget closes the connection to a, so that the next call opens a new one.
func (c *Client) Forget(a netip.AddrPort) {
	c.mu.Lock()
	x := c.conns[a]
	delete(c.conns, a)
	c.mu.Unlock()
	if x != nil {
		x.close(outcome.Lost(outcome.ReasonConnectionLost, "forgotten", nil))
	}
}

// Call sends the request q to a and decodes the reply into r, which may be nil.
// Errors are *outcome.Error; not-run when the request was not written.
func (c *Client) Call(ctx context.Context, a netip.AddrPort, k Kind, q, r any) error {
	return c.Stream(ctx, a, k, q, r, nil)
}

// Stream is Call for a reply in parts: part is called with the body of each.
func (c *Client) Stream(ctx context.Context, a netip.AddrPort, k Kind, q, r any, part func(b []byte) error) error {
	b, err := Encode(q)
	if err != nil {
		return err
	}
	n, err := c.conn(ctx, a)
	if err != nil {
		return err
	}
	id, w, err := n.begin(ctx, k, b)
	if err != nil {
		return err
	}
	return n.wait(ctx, id, w, r, part)
}

// wait reads the frames of a reply.
func (c *conn) wait(ctx context.Context, id uint64, w *call, r any, part func(b []byte) error) error {
	for {
		select {
		case <-ctx.Done():
			c.forget(id)
			return outcome.Lost(outcome.ReasonDeadline, "peer", ctx.Err())
		case <-w.over:
			return outcome.Lost(outcome.ReasonQueueFull, "reply read too slowly", nil)
		case <-c.done:
			if len(w.parts) == 0 {
				return c.lost()
			}
		case f := <-w.parts:
			if f.Kind == kindPart {
				if err := partOf(f, part); err != nil {
					c.forget(id)
					return err
				}
				continue
			}
			return last(f, r)
		}
	}
}

func partOf(f *frame, part func(b []byte) error) error {
	if part == nil {
		return outcome.Lost(outcome.ReasonCrossedAnswer, "a part where none was asked for", nil)
	}
	return part(f.Body)
}

// last decodes the final frame of a reply.
func last(f *frame, r any) error {
	if f.Kind == kindError {
		var e outcome.Error
		if err := Decode(f.Body, &e); err != nil {
			return outcome.Lost(outcome.ReasonCrossedAnswer, "error frame", err)
		}
		e.Remote = true
		return &e
	}
	if r == nil {
		return nil
	}
	if err := Decode(f.Body, r); err != nil {
		return outcome.Lost(outcome.ReasonCrossedAnswer, err.Error(), err)
	}
	return nil
}

// conn returns the connection to a, opening one when there is none.
func (c *Client) conn(ctx context.Context, a netip.AddrPort) (*conn, error) {
	c.mu.Lock()
	n := c.conns[a]
	c.mu.Unlock()
	if n != nil && !n.closed() {
		return n, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	s, err := c.c.Dial(ctx, a)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonUnreachable, a.String(), err)
	}
	n = newConn(s, nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.conns[a]; o != nil && !o.closed() {
		go n.close(outcome.Lost(outcome.ReasonCancelled, "second connection", nil))
		return o, nil
	}
	c.conns[a] = n
	return n, nil
}

// Probe calls a on a new connection and closes it again. It tells a host that is
// gone from one whose old connection has gone silent.
func (c *Client) Probe(ctx context.Context, a netip.AddrPort, k Kind, q, r any) error {
	p := NewClient(c.c)
	defer p.Close()
	return p.Call(ctx, a, k, q, r)
}
