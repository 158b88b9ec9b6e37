package answerhead

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxHeadBytes is the size of the largest head of an answer. The default of net/http, 10 MB, is too much for a
// small host that has many requests in progress.
const maxHeadBytes = 64 << 10

// Transport is an http.Transport whose requests fail with an *Error if the head of the answer is malformed, or too
// large. The connection is closed then. The reading of close-delimited content fails with an error of package
// tcpstate unless the server closed the connection gracefully and has received the request.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a transport that sends requests as base does. It changes base, which must not be used
// otherwise.
func NewTransport(base *http.Transport) *Transport {
	base.MaxResponseHeaderBytes = maxHeadBytes
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
	}
	base.DialContext, base.DialTLSContext = checked(base.DialContext), checked(secure(base.TLSClientConfig))
	return &Transport{base: base}
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// checked returns a function that opens connections with dial, as values of type *Conn.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c}, nil
	}
}

// secure returns a function that opens connections with TLS. The server's name is that of the address unless c states
// one.
func secure(c *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		own := c.Clone()
		if own == nil {
			own = &tls.Config{}
		}
		if own.ServerName == "" {
			own.ServerName = host
		}
		n, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t := tls.Client(&closeNotifyConn{Conn: n}, own)
		if err := t.HandshakeContext(ctx); err != nil {
			return nil, errors.Join(err, n.Close())
		}
		return t, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var c *Conn
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) {
			if x, ok := i.Conn.(*Conn); ok {
				c = x
				c.expectAnswer()
			}
		},
		// Package net/http calls it before it tries another connection, if any.
		WroteRequest: func(i httptrace.WroteRequestInfo) {
			if c != nil && i.Err == nil {
				c.written.Store(true)
			}
		},
	})
	a, err := t.base.RoundTrip(r.WithContext(ctx))
	if err == nil || c == nil {
		return a, err
	}
	// Package net/http may report a line that was cut short by the fault instead.
	if malformed := c.scan(nil); malformed != nil {
		return nil, malformed
	}
	return nil, err
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
