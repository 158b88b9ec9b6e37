// Package rawanswertest provides an HTTP server for tests that answers with bytes of the test's choice.
package rawanswertest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Malformed holds answers that RFC 9110 and RFC 9112 call invalid in one place, each with an empty JSON object as
// its content.
var Malformed = map[string]string{
	"status 000":                    "HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}",
	"status 000, no content":        "HTTP/1.1 000 Zero\r\nContent-Length: 0\r\n\r\n",
	"status 000, then an answer":    "HTTP/1.1 000 Zero\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 101, then an answer":    "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	"status 699":                    "HTTP/1.1 699 High\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name":               "HTTP/1.1 200 OK\r\nX Blank: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name, of a refusal": "HTTP/1.1 412 Precondition Failed\r\nX Blank: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name, of an error":  "HTTP/1.1 503 Service Unavailable\r\nX Blank: 1\r\nContent-Length: 2\r\n\r\n{}",
	"blank in a name, of nothing":   "HTTP/1.1 204 No Content\r\nX Blank: 1\r\n\r\n",
	"blank before a colon":          "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
	"control byte in a name":        "HTTP/1.1 200 OK\r\nX-\x01: 1\r\nContent-Length: 2\r\n\r\n{}",
	"length beside chunks":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
	"interim answer with a blank":   "HTTP/1.1 100 Continue\r\nX Blank: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
}

// Server answers each request with the same bytes. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	answer   string
	requests atomic.Int64
	reused   atomic.Int64
}

// Start returns a server that accepts connections until the test ends.
func Start(t testing.TB, answer string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return StartOn(t, l, answer)
}

// StartOn is like Start, for a server that accepts connections from l.
func StartOn(t testing.TB, l net.Listener, answer string) *Server {
	t.Helper()
	s := &Server{listener: l, answer: answer}
	t.Cleanup(func() { _ = l.Close() })
	go s.accept()
	return s
}

// Address returns the address of the server.
func (s *Server) Address() netip.AddrPort { return netip.MustParseAddrPort(s.listener.Addr().String()) }

// Requests returns the number of requests that were received.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Reused returns the number of those that were not the first on their connection.
func (s *Server) Reused() int { return int(s.reused.Load()) }

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve answers the requests on a connection, which it never closes by itself.
func (s *Server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		s.requests.Add(1)
		if n > 0 {
			s.reused.Add(1)
		}
		if _, err := io.WriteString(c, s.answer); err != nil {
			return
		}
	}
}
