// Package standin holds small servers that take the place of what surrounds the
// system: model engines, scorers, plain services, and the platform's log, host
// list and weight store. Each serves on loopback and has methods that bring
// about its failures.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// listener is what all stand-ins share: an address, a server that can be killed
// and started again there, and connections that can be made silent.
type listener struct {
	mu      sync.Mutex
	address netip.AddrPort
	handler http.Handler
	server  *http.Server
	conns   map[*mutedConn]struct{}
}

// start opens the listener; a port of 0 takes a free one and keeps it.
func (l *listener) start(a netip.AddrPort, h http.Handler) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	l.address = n.Addr().(*net.TCPAddr).AddrPort()
	l.handler = h
	l.conns = make(map[*mutedConn]struct{})
	l.server = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(&mutedListener{Listener: n, l: l}) }()
	return nil
}

// Address returns where the stand-in listens.
func (l *listener) Address() netip.AddrPort { return l.address }

// Kill ends the server and all its connections at once.
func (l *listener) Kill() {
	l.mu.Lock()
	s := l.server
	l.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Restart serves at the same address again after Kill.
func (l *listener) Restart() error { return l.start(l.address, l.handler) }

// Silence makes all open connections silent for good: they stay open and carry
// nothing any more, in either direction. New connections work.
func (l *listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.muted.Store(true)
	}
}

type mutedListener struct {
	net.Listener
	l *listener
}

// Accept returns the next connection, which Silence can mute.
func (m *mutedListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &mutedConn{Conn: c, l: m.l, closed: make(chan struct{})}
	m.l.mu.Lock()
	m.l.conns[k] = struct{}{}
	m.l.mu.Unlock()
	return k, nil
}

type mutedConn struct {
	net.Conn
	l      *listener
	muted  atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read blocks for good once the connection is muted.
func (c *mutedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.muted.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write drops what is written once the connection is muted.
func (c *mutedConn) Write(b []byte) (int, error) {
	if c.muted.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *mutedConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
