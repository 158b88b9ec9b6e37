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

// Conn is a connection of a Transport. A read fails if it brings a part of a malformed head, or the end of content that
// may not be whole.
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
	if errors.Is(err, io.EOF) && c.inContentUntilClose() {
		err = c.checkEnd()
	}
	return n, err
}

// checkEnd returns io.EOF if content that ends with the connection, of which nothing more comes, is whole.
func (c *Conn) checkEnd() error {
	if c.endedWithoutNotice() {
		return io.ErrUnexpectedEOF
	}
	if err := tcpstate.ConfirmEnd(c.Conn, c.written.Load); err != nil {
		return err
	}
	return io.EOF
}

// endedWithoutNotice reports whether the end of a connection with TLS may come from somebody else than the peer.
func (c *Conn) endedWithoutNotice() bool {
	t, ok := c.Conn.(*tls.Conn)
	if !ok {
		return false
	}
	n, ok := t.NetConn().(*noticeConn)
	return ok && n.ended.Load()
}

// inContentUntilClose reports whether what arrives next belongs to content that ends with the connection.
func (c *Conn) inContentUntilClose() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.InContentUntilClose()
}

// scan checks the next bytes of the answer. It returns an *Error if they, or those before them, are malformed.
func (c *Conn) scan(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.heads.Scan(b)
}

// noticeConn is a connection below TLS. Package crypto/tls reads no more of it after the notice with which a peer ends
// what it sends, but takes the end of the connection for such a notice.
type noticeConn struct {
	net.Conn

	// ended is set once the connection has ended without a notice.
	ended atomic.Bool
}

// Read implements net.Conn.
func (c *noticeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) {
		c.ended.Store(true)
	}
	return n, err
}

// NetConn returns the connection below, as that of package crypto/tls does.
func (c *noticeConn) NetConn() net.Conn { return c.Conn }
