package backend

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"mulberrypier.example/pier/answerhead"
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
	// maxHeaderBytes bounds the header of an answer with the interim answers before it, and
	// maxHeaderFields the number of its fields: a parsed field takes several times its size.
	maxHeaderBytes  = 32 << 10
	maxHeaderFields = 256
	// maxInterimAnswers bounds the number of informational (1xx) answers before an answer.
	maxInterimAnswers = 16
)

// conn is a connection to one incarnation of a server.
type conn struct {
	net.Conn
	r *bufio.Reader
	// in is what r reads from: it checks the header of an answer and bounds it.
	in *headReader
	// server is the id of the incarnation that the connection was opened to.
	server string
	// openedAt is a time at which the connection was open, openedFor the start of the incarnation
	// that it was opened for.
	openedAt  time.Time
	openedFor time.Time
	// born is the start of the incarnation that answers on the connection, zero if that is not
	// known: it was not asked or states none.
	born time.Time
	// asked is set once it was asked.
	asked bool
	// idleTimeout is how long the connection may be idle, as last stated by its server.
	idleTimeout time.Duration
	// maxIdle is the number of idle connections to its server up to which it is kept.
	maxIdle int
	// expires is the time from which the idle connection must not be used.
	expires time.Time
}

func newConn(n net.Conn, server string) *conn {
	h := &headReader{r: n, left: unlimited}
	return &conn{Conn: n, r: bufio.NewReaderSize(h, readBufferBytes), in: h, server: server, idleTimeout: defaultIdleTimeout, openedAt: time.Now()}
}

// unlimited is the value of headReader.left without a limit.
const unlimited = -1

// headReader reads from r. While the header of an answer is read, from begin to end, it fails with errTooLarge once
// its bound is reached, and with an *answerhead.Error if the header is malformed.
type headReader struct {
	r io.Reader
	// left is the number of bytes that may still be read, or unlimited.
	left  int
	heads answerhead.Scanner
}

// begin expects an answer, with headers of up to limit bytes together.
func (h *headReader) begin(limit int) {
	h.left, h.heads = limit, answerhead.Scanner{}
}

// end lets all that follows the header pass.
func (h *headReader) end() { h.left = unlimited }

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.left == unlimited {
		return h.r.Read(b)
	}
	if h.left == 0 {
		return 0, errTooLarge
	}
	if err := h.heads.Err(); err != nil {
		return 0, err
	}
	n, err := h.r.Read(b[:min(len(b), h.left)])
	h.left -= n
	if malformed := h.heads.Scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
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
