package gateway

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unluckyListener has no memory for the first connections.
type unluckyListener struct {
	net.Listener
	left atomic.Int64
}

func (l *unluckyListener) Accept() (net.Conn, error) {
	if l.left.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ENOBUFS}
	}
	return l.Listener.Accept()
}

// Guards against a host that is healthy but serves no caller any more after an error of its listener.
func TestCallersAreServedAfterErrorsOfTheListener(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &unluckyListener{Listener: n}
	l.left.Store(3)
	g.serveOn(l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }))
	c := http.Client{Timeout: 3 * time.Second}
	a, err := c.Get("http://" + n.Addr().String())
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	require.Equal(t, http.StatusNoContent, a.StatusCode)
}
