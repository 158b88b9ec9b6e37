package peer

import (
	"net"
	"sync"

	"mulberrypier.example/pier/acceptretry"
	"mulberrypier.example/pier/outcome"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listener accepts the connections. Close closes it.
	Listener net.Listener
	// Handler is called for each request, in a new goroutine.
	Handler Handler
	// OnError is called for each error of the listener but the one that its end causes; it may be
	// nil.
	OnError func(err error)
	// MaxConns is the maximum number of open connections; further ones are closed as
	// soon as they are accepted. Zero means 4096.
	MaxConns int
}

// Server serves requests from other processes.
type Server struct {
	c  ServerConfig
	l  *acceptretry.Listener
	mu sync.Mutex
	// conns holds the open connections; it is nil once the server is closed.
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer starts a server, which accepts connections until Close is called.
func NewServer(c ServerConfig) *Server {
	if c.MaxConns == 0 {
		c.MaxConns = 4096
	}
	l := acceptretry.New(acceptretry.Config{Listener: c.Listener, OnError: c.OnError})
	s := &Server{c: c, l: l, conns: make(map[*conn]struct{})}
	s.wg.Go(s.accept)
	return s
}

func (s *Server) accept() {
	for {
		n, err := s.l.Accept()
		if err != nil {
			return
		}
		s.serve(n)
	}
}

// serve serves the requests on a connection, or closes it if there are too many.
func (s *Server) serve(n net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns == nil || len(s.conns) >= s.c.MaxConns {
		// Nothing was read from the connection, so nothing is lost if closing it fails.
		_ = n.Close()
		return
	}
	c := newConn(n, s.c.Handler)
	s.conns[c] = struct{}{}
	go s.removeWhenDone(c)
}

// removeWhenDone removes c from the open connections once it is closed.
func (s *Server) removeWhenDone(c *conn) {
	<-c.done
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops accepting connections and closes the open ones.
func (s *Server) Close() {
	_ = s.l.Close()
	s.mu.Lock()
	m := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range m {
		c.close(outcome.Ambiguous(outcome.ReasonDraining, "server closed", nil))
	}
	s.wg.Wait()
}
