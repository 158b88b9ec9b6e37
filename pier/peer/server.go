package peer

import (
	"net"
	"sync"

	"mulberrypier.example/pier/outcome"
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listener accepts the connections. Close closes it.
	Listener net.Listener
	// Handler is called for each request, in a new goroutine.
	Handler Handler
	// MaxConns is the maximum number of open connections; further ones are closed as
	// soon as they are accepted. Zero means 4096.
	MaxConns int
}

// Server serves requests from other processes.
type Server struct {
	c  ServerConfig
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
	s := &Server{c: c, conns: make(map[*conn]struct{})}
	s.wg.Add(1)
	go s.accept()
	return s
}

func (s *Server) accept() {
	defer s.wg.Done()
	for {
		n, err := s.c.Listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.conns == nil || len(s.conns) >= s.c.MaxConns {
			s.mu.Unlock()
			_ = n.Close()
			continue
		}
		c := newConn(n, s.c.Handler)
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go s.removeWhenDone(c)
	}
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
	_ = s.c.Listener.Close()
	s.mu.Lock()
	m := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range m {
		c.close(outcome.Ambiguous(outcome.ReasonDraining, "server closed", nil))
	}
	s.wg.Wait()
}
