package gateway

import (
	"context"
	"errors"
	"net"
)

// callerConnKey is the key of a caller's connection in the contexts of its requests.
type callerConnKey struct{}

// withCallerConn returns the context of the requests on a connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// errNoCallerConn means that a context is not that of a request on a TCP connection.
var errNoCallerConn = errors.New("request came on no TCP connection")

// ResetOnClose sets how a caller's connection ends once it is closed, by this host or by the end of its process: with a
// reset or gracefully. ctx is the context of a request on the connection. A caller for which the end of the connection is
// that of the answer cannot tell an answer that broke off from a whole one otherwise.
func ResetOnClose(ctx context.Context, reset bool) error {
	c, _ := ctx.Value(callerConnKey{}).(net.Conn)
	if h, ok := c.(*headerConn); ok {
		c = h.Conn
	}
	t, ok := c.(*net.TCPConn)
	if !ok {
		return errNoCallerConn
	}
	if reset {
		return t.SetLinger(0)
	}
	return t.SetLinger(-1)
}
