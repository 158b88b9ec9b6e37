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
	// readBufferBytes holds an answer's header or a few events of a stream.
	readBufferBytes = 4 << 10
	// idleDefault is how long a connection is kept when its server names no time.
	idleDefault = 3 * time.Second
	// idleMargin is how long before the server's own limit a connection is given up.
	idleMargin = 700 * time.Millisecond
)

// conn is one connection to one incarnation of a server.
type conn struct {
	net.Conn
	r *bufio.Reader
	// server is the id of the incarnation that the connection was opened to.
	server string
	// keep is how long the connection may rest, as its server last said.
	keep time.Duration
	// until is when an idle connection is closed.
	until time.Time
}

func newConn(n net.Conn, server string) *conn {
	return &conn{Conn: n, r: bufio.NewReaderSize(n, readBufferBytes), server: server, keep: idleDefault}
}

// quiet reports whether nothing has arrived on an idle connection: no end, no
// reset, and no bytes that would be taken for the next answer.
func (c *conn) quiet() bool {
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
	still := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = e == syscall.EAGAIN
		return true
	})
	return err == nil && still
}

// keepAlive reads the time that a server states for its idle connections.
func keepAlive(h string) time.Duration {
	for _, f := range strings.Split(h, ",") {
		k, v, _ := strings.Cut(strings.TrimSpace(f), "=")
		n, err := strconv.Atoi(v)
		if k == "timeout" && err == nil && n >= 0 {
			return max(time.Duration(n)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
