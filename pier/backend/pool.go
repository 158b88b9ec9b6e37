package backend

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"mulberrypier.example/pier/outcome"
)

const (
	// dialTimeout is the maximum time to open a connection. The round trip between hosts
	// and servers takes a few milliseconds. A lost SYN is retransmitted only after one
	// second, which is too long to wait for.
	dialTimeout = 400 * time.Millisecond
	// maxIdlePerServer is the maximum number of idle connections to one server, unless a
	// request allows fewer.
	maxIdlePerServer = 12
	// sweepInterval is the minimum time between two searches for expired idle connections.
	sweepInterval = time.Second
)

// keepAliveProbes enables TCP keep-alive probes. They detect that the peer of a connection
// became unreachable while an answer is awaited.
var keepAliveProbes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// Config configures a Pool.
type Config struct {
	Dialect Dialect
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, a netip.AddrPort) (net.Conn, error)
	// Identity is how a server is asked which of its incarnations answers on a connection. Without
	// it, the incarnation of no request is verified.
	Identity Identity
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()
	// OnLeaving is called for each answer in which an incarnation of a server states that it
	// leaves; it may be nil. An answer with status 421 comes from another incarnation.
	OnLeaving func(server string, born time.Time)
	// Admit is called before a request with an id is sent. Its error, an *outcome.Error with
	// the outcome not-run, is returned to the caller. It may be nil.
	Admit func(ctx context.Context, q *Request) (Admission, error)
	// Confirm waits until it is known that the incarnation of a request was running at or after a
	// time. Its error, an *outcome.Error with the outcome not-run, is returned to the caller. If it
	// is nil, a server that does not state its start is taken for the one that is registered.
	Confirm func(ctx context.Context, q *Request, at time.Time) error
	// OnLimit is called for each answer of an incarnation of a server to a request with an
	// id. limit holds the header fields that state a limit, none if the answer states none. It
	// may be nil.
	OnLimit func(q *Request, a Admission, limit []string)
}

// Identity is the request by which a server states when it started.
type Identity struct {
	// Target is the path of the request, a GET.
	Target string
	// Started reads the time from the body of a successful answer; false if it states none.
	Started func(body []byte) (time.Time, bool)
}

// Admission is the permission to send a request. Its times are readings of package boottime's
// clock.
type Admission struct {
	// Limited is set if the server was known to limit its requests; At is then a time before
	// the request was sent, and Until the time after which it must not be sent.
	Limited   bool
	At, Until time.Duration
}

// Pool keeps the idle connections to backend servers for reuse. It is safe for concurrent
// use.
type Pool struct {
	c  Config
	mu sync.Mutex
	// idle holds the idle connections to each incarnation, the most recently used last.
	idle map[string][]*conn
	// lastSweep is when expired connections were last searched for.
	lastSweep time.Time
}

// NewPool returns a pool without connections.
func NewPool(c Config) *Pool {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.OnOpen == nil {
		c.OnOpen = func() {}
	}
	if c.OnLeaving == nil {
		c.OnLeaving = func(string, time.Time) {}
	}
	if c.Admit == nil {
		c.Admit = func(context.Context, *Request) (Admission, error) { return Admission{}, nil }
	}
	if c.Confirm == nil {
		c.Confirm = func(context.Context, *Request, time.Time) error { return nil }
	}
	if c.OnLimit == nil {
		c.OnLimit = func(*Request, Admission, []string) {}
	}
	return &Pool{c: c, idle: make(map[string][]*conn)}
}

func dialTCP(ctx context.Context, a netip.AddrPort) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAliveProbes}
	return d.DialContext(ctx, "tcp", a.String())
}

// takeIdle removes and returns an idle connection to an incarnation that is still usable, or
// nil if there is none. It closes the unusable ones that it finds.
func (p *Pool) takeIdle(server string, born time.Time) *conn {
	now := time.Now()
	for {
		c := p.popIdle(server)
		if c == nil {
			return nil
		}
		if now.Before(c.expires) && c.mayLeadTo(born) && c.nothingReceived() {
			return c
		}
		_ = c.Close()
	}
}

// popIdle removes and returns the most recently used idle connection to a server, or nil.
func (p *Pool) popIdle(server string) *conn {
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

// putIdle keeps a connection whose last answer was read to its end, or closes it if there
// are enough idle ones to its server. At most once per sweepInterval it also closes all
// expired connections.
func (p *Pool) putIdle(c *conn) {
	now := time.Now()
	c.expires = now.Add(c.idleTimeout)
	p.mu.Lock()
	full := len(p.idle[c.server]) >= c.maxIdle
	if !full {
		p.idle[c.server] = append(p.idle[c.server], c)
	}
	closing := p.removeExpired(now)
	p.mu.Unlock()
	if full {
		closing = append(closing, c)
	}
	for _, x := range closing {
		_ = x.Close()
	}
}

// removeExpired removes and returns the connections that were idle for too long. The caller
// holds mu and closes them.
func (p *Pool) removeExpired(now time.Time) []*conn {
	if now.Sub(p.lastSweep) < sweepInterval {
		return nil
	}
	p.lastSweep = now
	var r []*conn
	for s, l := range p.idle {
		k := l[:0]
		for _, c := range l {
			if now.Before(c.expires) {
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

// dial opens a connection. The outcome of its error is not-run, as no request was sent.
func (p *Pool) dial(ctx context.Context, server string, a netip.AddrPort) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	n, err := p.c.Dial(ctx, a)
	if err != nil {
		return nil, outcome.RefuseWithCause(outcome.ReasonUnreachable, server, err)
	}
	p.c.OnOpen()
	return newConn(n, server), nil
}

// Listening tries to open a connection and reports whether something listens at an address. An
// error, which is an *outcome.Error, means that this is not known.
func (p *Pool) Listening(ctx context.Context, a netip.AddrPort) (bool, error) {
	n, err := p.c.Dial(ctx, a)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, outcome.RefuseWithCause(outcome.ReasonUnreachable, a.String(), err)
	}
	p.c.OnOpen()
	// Nothing was sent on the connection, so nothing is lost if closing it fails.
	_ = n.Close()
	return true, nil
}
