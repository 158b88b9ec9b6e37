// Package silentproxytest provides a TCP proxy for tests. Its connections can be made silent: they stay
// open, but bytes that are sent on them are dropped.
package silentproxytest

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// Proxy forwards connections to a server. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	// server is the address of the server.
	server   netip.AddrPort
	accepted atomic.Int64
	// newSilent makes new connections silent from the start.
	newSilent atomic.Bool

	mu   sync.Mutex
	open []*conn
}

// conn is the state of a connection through a Proxy.
type conn struct {
	requestsSilent, responsesSilent atomic.Bool
}

// Start returns a Proxy to a server that accepts connections until the test ends.
func Start(t testing.TB, server netip.AddrPort) *Proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &Proxy{listener: l, server: server}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

// Address returns the address that clients connect to.
func (p *Proxy) Address() netip.AddrPort {
	return netip.MustParseAddrPort(p.listener.Addr().String())
}

// Accepted returns the number of connections that were forwarded.
func (p *Proxy) Accepted() int64 { return p.accepted.Load() }

// Silence makes the connections that are open go silent for good: it closes none of them and forwards
// nothing more, or only requests if these pass.
func (p *Proxy) Silence(requestsPass bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.open {
		x.requestsSilent.Store(!requestsPass)
		x.responsesSilent.Store(true)
	}
	p.open = nil
}

// SilenceNew makes all connections that are accepted from now on silent from the start.
func (p *Proxy) SilenceNew() { p.newSilent.Store(true) }

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.server.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		p.accepted.Add(1)
		x := &conn{}
		x.requestsSilent.Store(p.newSilent.Load())
		x.responsesSilent.Store(p.newSilent.Load())
		p.mu.Lock()
		p.open = append(p.open, x)
		p.mu.Unlock()
		go forward(s, c, &x.requestsSilent)
		go forward(c, s, &x.responsesSilent)
	}
}

// forward copies from src to dst until src ends, and drops what arrives while it is silent.
func forward(dst, src net.Conn, silent *atomic.Bool) {
	defer func() { _ = src.Close() }()
	b := make([]byte, 4<<10)
	for {
		n, err := src.Read(b)
		switch {
		case silent.Load():
		case err != nil:
			_ = dst.Close()
		default:
			_, err = dst.Write(b[:n])
		}
		if err != nil {
			return
		}
	}
}
