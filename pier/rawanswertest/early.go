package rawanswertest

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// UploadBytes is the length of a request that the buffers of two sockets do not hold.
const UploadBytes = 6 << 20

// stallTime is longer than a client waits for a server that reads nothing.
const stallTime = 5 * time.Second

// beforeEnd is the time between the last byte of an answer and what its server does next.
const beforeEnd = 20 * time.Millisecond

// End ends a connection on which an early answer was sent. upload reads the body of the request, which has the given
// length. The connection is closed after it.
type End func(c *net.TCPConn, upload io.Reader, length int64)

// ResetEnds holds ways to reset a connection after which close-delimited content may be truncated, also if all of the
// request was received.
var ResetEnds = map[string]End{
	"reset": func(c *net.TCPConn, _ io.Reader, _ int64) { _ = c.SetLinger(0) },
	"reset later": func(c *net.TCPConn, _ io.Reader, _ int64) {
		time.Sleep(beforeEnd)
		_ = c.SetLinger(0)
	},
	"pieces, then reset": func(c *net.TCPConn, _ io.Reader, _ int64) {
		for range 5 {
			time.Sleep(beforeEnd / 4)
			_, _ = io.WriteString(c, "\n")
		}
		_ = c.SetLinger(0)
	},
}

// TruncatingEnds holds ResetEnds and further ways to end a connection, before all of the request was read, after which
// close-delimited content may be truncated.
var TruncatingEnds = withResetEnds(map[string]End{
	"closed": func(*net.TCPConn, io.Reader, int64) {},
	"half-closed, then reset": func(c *net.TCPConn, _ io.Reader, _ int64) {
		_ = c.CloseWrite()
		time.Sleep(beforeEnd)
		_ = c.SetLinger(0)
	},
	"half-closed, half read, then closed": func(c *net.TCPConn, upload io.Reader, length int64) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, upload, length/2)
	},
	"half read, then closed": func(_ *net.TCPConn, upload io.Reader, length int64) { _, _ = io.CopyN(io.Discard, upload, length/2) },
})

func withResetEnds(m map[string]End) map[string]End {
	maps.Copy(m, ResetEnds)
	return m
}

// Stalled ends the sending side of a connection and reads nothing of the request for some seconds.
func Stalled(c *net.TCPConn, _ io.Reader, _ int64) {
	_ = c.CloseWrite()
	time.Sleep(stallTime)
}

// CompleteEnds holds ways to end a connection after which close-delimited content is complete.
var CompleteEnds = map[string]End{
	"all read, closed": func(_ *net.TCPConn, upload io.Reader, length int64) { _, _ = io.CopyN(io.Discard, upload, length) },
	"half-closed, all read": func(c *net.TCPConn, upload io.Reader, length int64) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, upload, length)
	},
	"half-closed, all read slowly": func(c *net.TCPConn, upload io.Reader, length int64) {
		_ = c.CloseWrite()
		for range 4 {
			time.Sleep(beforeEnd)
			_, _ = io.CopyN(io.Discard, upload, length/4)
		}
		_, _ = io.CopyN(io.Discard, upload, length%4)
	},
}

// EarlyServer answers requests whose bodies it has not read, and ends their connections. It is safe for concurrent use.
type EarlyServer struct {
	c        EarlyConfig
	listener net.Listener
}

// EarlyConfig configures an EarlyServer.
type EarlyConfig struct {
	// Answer returns the bytes of the answer to a request, whose body it must not read, and how the connection ends
	// then. If end is nil, the body is empty and the connection is kept for the next request.
	Answer func(q *http.Request) (text string, end End)
}

// StartEarly returns a server that accepts connections until the test ends.
func StartEarly(t testing.TB, c EarlyConfig) *EarlyServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := &EarlyServer{c: c, listener: l}
	go s.accept()
	return s
}

// Address returns the address of the server.
func (s *EarlyServer) Address() netip.AddrPort {
	return netip.MustParseAddrPort(s.listener.Addr().String())
}

func (s *EarlyServer) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// serve answers the requests on a connection up to the first that ends it.
func (s *EarlyServer) serve(c *net.TCPConn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		text, end := s.c.Answer(q)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if end != nil {
			end(c, q.Body, q.ContentLength)
			return
		}
	}
}
