package acceptretry

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	err  error
	left atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: l.err}
	}
	return l.Listener.Accept()
}

func newFailing(t *testing.T, err error, times int64) *failingListener {
	n, e := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, e)
	l := &failingListener{Listener: n, err: err}
	l.left.Store(times)
	return l
}

// Guards against HTTP listeners that accept no connections any more after an error.
func TestHTTPServerAcceptsAgainAfterErrors(t *testing.T) {
	tests := map[string]error{
		"no file descriptors": syscall.EMFILE,
		"no socket buffers":   syscall.ENOBUFS,
		"no memory":           syscall.ENOMEM,
		"firewall":            syscall.EPERM,
		"network down":        syscall.ENETDOWN,
	}
	for name, failure := range tests {
		t.Run(name, func(t *testing.T) {
			const errors = 4
			n := newFailing(t, failure, errors)
			var reported atomic.Int64
			l := New(Config{Listener: n, OnError: func(error) { reported.Add(1) }})
			s := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
			ended := make(chan error, 1)
			go func() { ended <- s.Serve(l) }()
			c := http.Client{Timeout: 5 * time.Second}
			a, err := c.Get("http://" + n.Addr().String())
			require.NoError(t, err)
			require.NoError(t, a.Body.Close())
			require.EqualValues(t, errors, reported.Load())
			require.NoError(t, s.Close())
			require.ErrorIs(t, <-ended, http.ErrServerClosed)
		})
	}
}

// The listener must end at once although it keeps failing.
func TestFailingListenerCloses(t *testing.T) {
	l := New(Config{Listener: newFailing(t, syscall.ENOMEM, 1<<40)})
	accepted := make(chan error, 1)
	go func() {
		_, err := l.Accept()
		accepted <- err
	}()
	time.Sleep(50 * time.Millisecond)
	require.NoError(t, l.Close())
	select {
	case err := <-accepted:
		require.ErrorIs(t, err, net.ErrClosed)
	case <-time.After(5 * time.Second):
		require.Fail(t, "Accept does not return")
	}
}
