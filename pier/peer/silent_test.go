package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

// silentProxy forwards connections to a server. Those that are open when it is told so go silent:
// it closes none of them and forwards nothing more, or only what the client sends.
type silentProxy struct {
	listener net.Listener
	to       netip.AddrPort
	accepted atomic.Int64
	// newSilent makes new connections silent from the start.
	newSilent atomic.Bool

	mu   sync.Mutex
	open []*proxied
}

// proxied is the state of a connection through a silentProxy.
type proxied struct {
	requestsSilent, repliesSilent atomic.Bool
}

func newSilentProxy(t *testing.T, to netip.AddrPort) *silentProxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{listener: l, to: to}
	t.Cleanup(func() { _ = l.Close() })
	go p.accept()
	return p
}

func (p *silentProxy) address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// silence makes the connections that are open go silent for good.
func (p *silentProxy) silence(requestsPass bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.open {
		x.requestsSilent.Store(!requestsPass)
		x.repliesSilent.Store(true)
	}
	p.open = nil
}

func (p *silentProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", p.to.String())
		if err != nil {
			_ = c.Close()
			continue
		}
		p.accepted.Add(1)
		x := &proxied{}
		x.requestsSilent.Store(p.newSilent.Load())
		x.repliesSilent.Store(p.newSilent.Load())
		p.mu.Lock()
		p.open = append(p.open, x)
		p.mu.Unlock()
		go forward(s, c, &x.requestsSilent)
		go forward(c, s, &x.repliesSilent)
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

func callOnce(c *Client, a netip.AddrPort, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return c.Call(ctx, a, KindFirst, "q", nil)
}

// Calls on a connection that had gone silent failed at their deadline until silenceTimeout closed
// it, while new connections worked.
func TestSilentConnectionFailsCallsForSeconds(t *testing.T) {
	tests := map[string]struct{ requestsPass bool }{
		"both directions": {false},
		"replies":         {true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newSilentProxy(t, serve(t, func(context.Context, *Request) (any, error) { return "r", nil }))
			x := NewClient(ClientConfig{})
			defer x.Close()
			require.NoError(t, callOnce(x, p.address(), 10*time.Second))
			p.silence(c.requestsPass)
			err := callOnce(x, p.address(), 100*time.Millisecond)
			require.True(t, outcome.HasReason(err, outcome.ReasonDeadline), "%v", err)
			require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
			require.NoError(t, callOnce(x, p.address(), 10*time.Second))
			require.NoError(t, callOnce(x, p.address(), 10*time.Second))
			require.EqualValues(t, 2, p.accepted.Load(), "the new connection is kept")
		})
	}
}

// A host that answers on no connection must not get a new one for each call.
func TestSilentHostGetsOneMoreConnection(t *testing.T) {
	p := newSilentProxy(t, serve(t, func(context.Context, *Request) (any, error) { return "r", nil }))
	c := NewClient(ClientConfig{})
	defer c.Close()
	require.NoError(t, callOnce(c, p.address(), 10*time.Second))
	p.newSilent.Store(true)
	p.silence(false)
	for range 8 {
		require.Error(t, callOnce(c, p.address(), 20*time.Millisecond))
	}
	require.LessOrEqual(t, p.accepted.Load(), int64(2))
}

// A call that waits on a connection is not cut off when calls go to another one. The connection is
// closed when the call has its reply.
func TestReplacedConnectionKeepsItsCalls(t *testing.T) {
	entered, reply := make(chan struct{}), make(chan struct{})
	p := newSilentProxy(t, serve(t, func(_ context.Context, r *Request) (any, error) {
		if r.Kind == KindFirst+1 {
			close(entered)
			<-reply
		}
		return "r", nil
	}))
	c := NewClient(ClientConfig{})
	defer c.Close()
	slow := make(chan error, 1)
	go func() { slow <- c.Call(context.Background(), p.address(), KindFirst+1, "q", nil) }()
	<-entered
	c.mu.Lock()
	old := c.conns[p.address()][0]
	c.mu.Unlock()
	require.Eventually(t, func() bool {
		old.mu.Lock()
		old.suspect = true
		old.mu.Unlock()
		require.NoError(t, callOnce(c, p.address(), 10*time.Second))
		return p.accepted.Load() == 2
	}, 10*time.Second, time.Millisecond, "a ping may arrive before the call")
	time.Sleep(2 * pingInterval)
	require.False(t, old.closed())
	close(reply)
	require.NoError(t, <-slow)
	require.Eventually(t, old.closed, 10*time.Second, 10*time.Millisecond)
	require.NoError(t, callOnce(c, p.address(), 10*time.Second))
	require.EqualValues(t, 2, p.accepted.Load())
}
