package daemon

import (
	"net"
	"sync"
)

// limiter is a listener with a bounded number of open connections. Connections
// beyond the bound are closed immediately, so that those already open keep being
// served.
type limiter struct {
	net.Listener
	mu sync.Mutex
	// open is the number of open connections, at most limit.
	open  int
	limit int
}

// limitOpen bounds the number of open connections of a listener.
func limitOpen(l net.Listener, limit int) net.Listener { return &limiter{Listener: l, limit: limit} }

// Accept returns the next connection that is within the bound.
func (l *limiter) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &countedConn{Conn: c, l: l}, nil
		}
		_ = c.Close()
	}
}

// acquire counts one more open connection and reports whether it is within the
// bound.
func (l *limiter) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

// countedConn is a connection that counts as open until it is closed.
type countedConn struct {
	net.Conn
	l    *limiter
	once sync.Once
}

// Close closes the connection and frees its place; later calls do not free it
// again.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		c.l.open--
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}
