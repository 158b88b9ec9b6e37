package backend

import (
	"bufio"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// readBufferBytes is the size of a connection's read buffer: enough for the header of
	// an answer or a few events of a stream.
	readBufferBytes = 4 << 10
	// defaultIdleTimeout is how long an idle connection is kept if its server states no
	// timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is how long before the server's own idle timeout a connection is closed,
	// so that no request is sent while the server closes it.
	idleMargin = 700 * time.Millisecond
)

// conn is a connection to one incarnation of a server.
type conn struct {
	net.Conn
	r *bufio.Reader
	// server is the id of the incarnation that the connection was opened to.
	server string
	// idleTimeout is how long the connection may be idle, as last stated by its server.
	idleTimeout time.Duration
	// expires is the time from which the idle connection must not be used.
	expires time.Time
}

func newConn(n net.Conn, server string) *conn {
	return &conn{Conn: n, r: bufio.NewReaderSize(n, readBufferBytes), server: server, idleTimeout: defaultIdleTimeout}
}

// nothingReceived reports whether an idle connection has received nothing: neither an end
// of stream or a reset, nor bytes that would be mistaken for the answer to the next request.
func (c *conn) nothingReceived() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN
		return true
	})
	return err == nil && empty
}

// parseKeepAlive returns how long a connection may be idle according to the value of a
// Keep-Alive header field, less idleMargin, or defaultIdleTimeout if the value states no
// valid timeout.
func parseKeepAlive(h string) time.Duration {
	for _, f := range strings.Split(h, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.Atoi(v)
		if k == "timeout" && err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return defaultIdleTimeout
}
