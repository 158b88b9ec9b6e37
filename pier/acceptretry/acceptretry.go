// Package acceptretry provides a listener that goes on after errors.
//
// An http.Server goes on after few of the errors that accepting a connection may end in, such as a
// lack of file descriptors. After any other, such as a lack of memory for a socket, it accepts
// nothing until its process ends.
package acceptretry

import (
	"context"
	"errors"
	"net"
	"time"

	"mulberrypier.example/pier/backoff"
)

const (
	// retryDelay is the delay after an error. It doubles with each further one in a row, up to
	// maxRetryDelay.
	retryDelay    = 5 * time.Millisecond
	maxRetryDelay = time.Second
)

// Config configures a Listener.
type Config struct {
	// Listener accepts the connections. Close closes it.
	Listener net.Listener
	// OnError is called for each error but that of a closed listener; it may be nil.
	OnError func(err error)
}

// Listener is a net.Listener whose Accept fails only once it is closed.
type Listener struct {
	net.Listener
	onError func(err error)
	// ctx ends when the listener is closed.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a listener that accepts connections until Close is called.
func New(c Config) *Listener {
	l := &Listener{Listener: c.Listener, onError: c.OnError}
	if l.onError == nil {
		l.onError = func(error) {}
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	return l
}

// Accept waits for the next connection. Its error is net.ErrClosed, or wraps it.
func (l *Listener) Accept() (net.Conn, error) {
	for failures := 0; ; failures++ {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if l.ctx.Err() != nil {
			return nil, net.ErrClosed
		}
		l.onError(err)
		backoff.Sleep(l.ctx, backoff.Exponential(retryDelay, maxRetryDelay, failures))
	}
}

// Close stops accepting connections. Those that are open stay open.
func (l *Listener) Close() error {
	l.cancel()
	return l.Listener.Close()
}
