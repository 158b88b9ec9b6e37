package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"mulberrypier.example/pier/bytebudget"
)

const (
	// Headers of requests may take 1/headerShare of a host's memory.
	headerShare = 8
	// headerFieldBytes is the memory that a field of a header takes beside its text.
	headerFieldBytes = 128
	// freeHeaderBytes is the memory for a header that each connection has, whatever others take.
	freeHeaderBytes = 8 << 10
)

// noHeaderMemory is the answer to a request for whose header there is no memory.
const noHeaderMemory = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// errHeaderMemory ends the reading of a request for whose header there is no memory.
var errHeaderMemory = errors.New("no memory for the header of a request")

// headers bounds the memory that the headers of requests take from when their first bytes arrive until
// they are answered.
type headers struct {
	memory *bytebudget.Budget
	// refused is called for each request that is refused.
	refused func()
}

// listener returns a listener whose connections take the memory of headers from h.
func (h *headers) listener(l net.Listener) net.Listener { return headerListener{l, h} }

type headerListener struct {
	net.Listener

	headers *headers
}

// Accept returns the next connection, a *headerConn.
func (l headerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headerConn{Conn: c, headers: l.headers}, nil
}

// headerConn is a connection that counts the memory of its current request's header.
type headerConn struct {
	net.Conn

	headers *headers
	mu      sync.Mutex
	// scan finds the end of the header of the current request.
	scan headerScan
	// size is what the header takes, and taken the part of it that was taken from the budget.
	size, taken int64
}

// Read reads from the connection. It refuses a request for whose header there is no memory.
func (c *headerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.take(b[:n]) {
		return n, err
	}
	c.headers.refused()
	// The connection is closed next, so a failed write changes nothing.
	_, _ = c.Conn.Write([]byte(noHeaderMemory))
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeaderMemory}
}

// CloseWrite ends what is sent on the connection. Package net/http calls it before it closes a
// connection on which a request was not read to its end, so that its answer is not lost.
func (c *headerConn) CloseWrite() error {
	if t, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return t.CloseWrite()
	}
	return nil
}

// take takes the memory for the part of b that belongs to a header.
func (c *headerConn) take(b []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, lines := c.scan.next(b)
	c.size += int64(n) + headerFieldBytes*int64(lines)
	more := c.size - freeHeaderBytes - c.taken
	if more <= 0 {
		return true
	}
	if !c.headers.memory.Take(more) {
		return false
	}
	c.taken += more
	return true
}

// release gives back what the header of the last request took, as the next one may come.
func (c *headerConn) release() {
	c.mu.Lock()
	c.headers.memory.Give(c.taken)
	c.scan, c.size, c.taken = headerScan{}, 0, 0
	c.mu.Unlock()
}

// headerScan finds the end of a header: the first empty line after one that is not.
type headerScan struct {
	// begun is set once a line was not empty, inLine while the current one is not, and ended once the
	// header has ended.
	begun, inLine, ended bool
}

// next returns the number of bytes, and of lines that end in them, that belong to the header in the
// bytes that follow those of the call before.
func (s *headerScan) next(b []byte) (n, lines int) {
	for !s.ended && n < len(b) {
		switch b[n] {
		case '\n':
			lines++
			s.ended = s.begun && !s.inLine
			s.inLine = false
		case '\r':
		default:
			s.begun, s.inLine = true, true
		}
		n++
	}
	return n, lines
}

// follow releases the memory of a header once its request has ended.
func (h *headers) follow(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		x, ok := c.(*headerConn)
		if ok && (state == http.StateIdle || state == http.StateClosed || state == http.StateHijacked) {
			x.release()
		}
	}
}
