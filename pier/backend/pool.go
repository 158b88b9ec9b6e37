package backend

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"mulberrypier.example/pier/outcome"
)

const (
	// dialLimit is how long a new connection may take; hosts and servers are a few
	// milliseconds apart, and a lost opening packet is sent again after a second.
	dialLimit = 400 * time.Millisecond
	// idleMost bounds the idle connections to one server.
	idleMost = 12
	// sweepInterval is the time between two looks at idle connections.
	sweepInterval = time.Second
)

// probes finds connections whose path went silent while an answer is awaited.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Config constructs a Pool.
type Config struct {
	Dialect Dialect
	// Dial opens connections; nil means plain TCP.
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error)
	// Opened is called for each new connection; it may be nil.
	Opened func()
}

// Pool keeps the idle connections to backend servers. It is safe for concurrent
// use.
type Pool struct {
	c  Config
	mu sync.Mutex
	// idle holds the connections of each incarnation, the newest last.
	idle  map[string][]*conn
	swept time.Time
}

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Opened == nil {
		c.Opened = func() {}
	}
	return &Pool{c: c, idle: make(map[string][]*conn)}
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: probes}
	return d.DialContext(ctx, "tcp", a.String())
}

// take returns an idle connection that is still sound, or nil.
func (p *Pool) take(server string) *conn {
	now := time.Now()
	for {
		c := p.pop(server)
		if c == nil {
			return nil
		}
		if now.Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(server string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.idle[server]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	p.idle[server] = l[:len(l)-1]
	return c
}

// put keeps a connection whose last answer was read to its end.
func (p *Pool) put(c *conn) {
	now := time.Now()
	c.until = now.Add(c.keep)
	p.mu.Lock()
	full := len(p.idle[c.server]) >= idleMost
	if !full {
		p.idle[c.server] = append(p.idle[c.server], c)
	}
	old := p.expired(now)
	p.mu.Unlock()
	if full {
		old = append(old, c)
	}
	for _, x := range old {
		_ = x.Close()
	}
}

// expired takes out the connections whose time is over. The caller holds mu.
func (p *Pool) expired(now time.Time) []*conn {
	if now.Sub(p.swept) < sweepInterval {
		return nil
	}
	p.swept = now
	var r []*conn
	for s, l := range p.idle {
		k := l[:0]
		for _, c := range l {
			if now.Before(c.until) {
				k = append(k, c)
			} else {
				r = append(r, c)
			}
		}
		if len(k) == 0 {
			delete(p.idle, s)
		} else {
			p.idle[s] = k
		}
	}
	return r
}

// dial opens a connection. Its error says that the request was not run.
func (p *Pool) dial(ctx context.Context, server string, a netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	n, err := p.c.Dial(ctx, a)
	if err != nil {
		return nil, outcome.RefuseFor(outcome.ReasonUnreachable, server, err)
	}
	p.c.Opened()
	return newConn(n, server), nil
}
