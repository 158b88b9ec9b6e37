// Package standin provides test servers that replace the systems around the service:
// model engines, scorers, plain services, and the platform's log, host list, weight
// store and load balancer. Each serves on loopback and has methods that inject
// failures.
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

// baseServer is the HTTP server that the stand-ins embed. It can be killed and
// restarted at the same address, and its open connections can be stalled.
type baseServer struct {
	mu      sync.Mutex
	address netip.AddrPort
	handler http.Handler
	server  *http.Server
	conns   map[*stallConn]struct{}
}

// start listens at a and serves h. If the port is 0 it picks a free port, which
// Restart uses again.
func (l *baseServer) start(a netip.AddrPort, h http.Handler) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, err := net.Listen("tcp", a.String())
	if err != nil {
		return err
	}
	l.address = n.Addr().(*net.TCPAddr).AddrPort()
	l.handler = h
	l.conns = make(map[*stallConn]struct{})
	l.server = &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = l.server.Serve(&stallListener{Listener: n, l: l}) }()
	return nil
}

// Address returns the address that the stand-in listens on.
func (l *baseServer) Address() netip.AddrPort { return l.address }

// Kill stops the server and closes all its connections at once.
func (l *baseServer) Kill() {
	l.mu.Lock()
	s := l.server
	l.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Restart serves again at the same address after Kill.
func (l *baseServer) Restart() error { return l.start(l.address, l.handler) }

// StallConnections stalls all open connections for good: they stay open but carry no
// more data in either direction. New connections are not affected.
func (l *baseServer) StallConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.stalled.Store(true)
	}
}

// stallListener is a listener whose connections StallConnections can stall.
type stallListener struct {
	net.Listener
	l *baseServer
}

// Accept returns the next connection, wrapped so that StallConnections can stall it.
func (m *stallListener) Accept() (net.Conn, error) {
	c, err := m.Listener.Accept()
	if err != nil {
		return nil, err
	}
	k := &stallConn{Conn: c, l: m.l, closed: make(chan struct{})}
	m.l.mu.Lock()
	m.l.conns[k] = struct{}{}
	m.l.mu.Unlock()
	return k, nil
}

// stallConn is a connection that can be stalled. closed is closed by Close.
type stallConn struct {
	net.Conn
	l       *baseServer
	stalled atomic.Bool
	once    sync.Once
	closed  chan struct{}
}

// Read blocks until Close once the connection is stalled.
func (c *stallConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.stalled.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write discards the data and reports success once the connection is stalled.
func (c *stallConn) Write(b []byte) (int, error) {
	if c.stalled.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close closes the connection and unblocks a stalled Read.
func (c *stallConn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.l.mu.Lock()
		delete(c.l.conns, c)
		c.l.mu.Unlock()
	})
	return c.Conn.Close()
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
