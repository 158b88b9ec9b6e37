package peer

import (
	"net"
	"sync"

	"mulberrypier.example/pier/outcome"
)

// ServerConfig constructs a Server.
type ServerConfig struct {
	// Listener accepts the connections; the server closes it.
	Listener net.Listener
	// Handler serves the requests, each in a goroutine of its own.
	Handler Handler
	// MaxConns is the greatest number of open connections; 0 means 4096.
	MaxConns int
}

// Server accepts connections from other processes.
type Server struct {
	c  ServerConfig
	mu sync.Mutex
	// conns is nil once the server is closed.
	conns map[*conn]struct{}
	wg    sync.WaitGroup
}

// NewServer returns a server that accepts connections until Close.
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
		go s.forget(c)
	}
}

func (s *Server) forget(c *conn) {
	<-c.done
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.c.Listener.Close()
	s.mu.Lock()
	m := s.conns
	s.conns = nil
	s.mu.Unlock()
	for c := range m {
		c.close(outcome.Lost(outcome.ReasonDraining, "server closed", nil))
	}
	s.wg.Wait()
}
