package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	left atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a server that accepts no connections any more after it ran out of file descriptors.
func TestServerAcceptsAgainAfterErrors(t *testing.T) {
	const errors = 5
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &failingListener{Listener: n}
	l.left.Store(errors)
	var reported atomic.Int64
	s := NewServer(ServerConfig{
		Listener: l, OnError: func(error) { reported.Add(1) },
		Handler: func(context.Context, *Request) (any, error) { return nil, nil },
	})
	defer s.Close()
	c := NewClient(ClientConfig{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	require.NoError(t, c.Call(ctx, netip.MustParseAddrPort(n.Addr().String()), KindFirst, nil, nil))
	require.EqualValues(t, errors, reported.Load())
}

// The server must end at once although its listener keeps failing.
func TestServerWithFailingListenerCloses(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &failingListener{Listener: n}
	l.left.Store(1 << 40)
	s := NewServer(ServerConfig{Listener: l})
	closed := make(chan struct{})
	go func() { s.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		require.Fail(t, "the server does not close")
	}
}
