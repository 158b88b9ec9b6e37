package daemon

import (
	"net"
	"sync"
)

// connLimit is a listener that keeps a bounded number of open connections; one
// more is closed at once, so that the ones that are served stay whole.
type connLimit struct {
	net.Listener
	mu sync.Mutex
	// open <= most.
	open int
	most int
}

// limitConns bounds the open connections of a listener.
func limitConns(l net.Listener, most int) net.Listener { return &connLimit{Listener: l, most: most} }

// Accept returns the next connection within the bound.
func (l *connLimit) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.take() {
			return &countedConn{Conn: c, l: l}, nil
		}
		_ = c.Close()
	}
}

func (l *connLimit) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.most {
		return false
	}
	l.open++
	return true
}

type countedConn struct {
	net.Conn
	l    *connLimit
	once sync.Once
}

// Close closes the connection and gives its place back.
func (c *countedConn) Close() error {
	c.once.Do(func() {
		c.l.mu.Lock()
		c.l.open--
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}
