package answerhead

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"

	"mulberrypier.example/pier/tcpstate"
)

// Conn is a connection of a Transport. A read fails if it brings a part of a malformed head, or the end of close-delimited
// content that may be truncated.
type Conn struct {
	net.Conn

	// written is set once the request that was sent last was written, but for a last part that package net/http still
	// buffers, and writes next.
	written atomic.Bool

	mu sync.Mutex
	// heads is at the beginning of the answer to the request that was sent last.
	heads Scanner
}

// expectAnswer has the next byte taken for the first one of an answer.
func (c *Conn) expectAnswer() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heads = Scanner{}
	c.written.Store(false)
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	if malformed := c.scan(nil); malformed != nil {
		return 0, malformed
	}
	n, err := c.Conn.Read(b)
	if malformed := c.scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	if errors.Is(err, io.EOF) && c.inCloseDelimitedContent() {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if close-delimited content, of which nothing more comes, is complete.
func (c *Conn) checkEnd() error {
	if c.missesCloseNotify() {
		return io.ErrUnexpectedEOF
	}
	if err := tcpstate.ConfirmEnd(c.Conn, c.written.Load); err != nil {
		return err
	}
	return io.EOF
}

// missesCloseNotify reports whether a connection with TLS has ended without the close_notify alert of the peer, so that
// anybody may have ended it.
func (c *Conn) missesCloseNotify() bool {
	t, ok := c.Conn.(*tls.Conn)
	if !ok {
		return false
	}
	n, ok := t.NetConn().(*closeNotifyConn)
	return ok && n.ended.Load()
}

// inCloseDelimitedContent reports whether what arrives next belongs to close-delimited content.
func (c *Conn) inCloseDelimitedContent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.InCloseDelimitedContent()
}

// scan checks the next bytes of the answer. It returns an *Error if they, or those before them, are malformed.
func (c *Conn) scan(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.Scan(b)
}

// closeNotifyConn is a connection below TLS. Package crypto/tls reads no more of it after a close_notify alert, but takes
// the end of the connection for one.
type closeNotifyConn struct {
	net.Conn

	// ended is set once the connection has ended, which is read only if no close_notify came before.
	ended atomic.Bool
}

// Read implements net.Conn.
func (c *closeNotifyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// NetConn returns the connection below, as that of package crypto/tls does.
func (c *closeNotifyConn) NetConn() net.Conn { return c.Conn }
