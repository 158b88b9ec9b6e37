package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

// socketBytes is more than the sockets of a connection buffer.
const socketBytes = 16 << 20

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.n.Add(int64(n))
	return n, err
}

// A server sends bytes that never become the header of an answer, for as long as the
// connection is open. The client must close it after it took in a bounded number of bytes.
func TestHeaderWithoutEndIsBounded(t *testing.T) {
	tests := map[string]struct{ start, repeat string }{
		"status line":     {"HTTP/1.1 200 ", "x"},
		"field":           {"HTTP/1.1 200 OK\r\nA: ", "x"},
		"fields":          {"HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		"interim answers": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"no protocol":     {"", "\x00"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			a, _ := startServer(t, func(n net.Conn, _ int, _, _ string) {
				defer close(closed)
				_, err := io.WriteString(n, c.start)
				for b := strings.Repeat(c.repeat, 4<<10); err == nil; {
					_, err = io.WriteString(n, b)
				}
			})
			var taken atomic.Int64
			p := NewPool(Config{Dialect: dialect, Dial: func(_ context.Context, a netip.AddrPort) (net.Conn, error) {
				n, err := net.Dial("tcp", a.String())
				return countingConn{n, &taken}, err
			}})
			_, err := p.Do(context.Background(), Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"})
			require.True(t, outcome.HasReason(err, outcome.ReasonAnswerTooLarge) || outcome.HasReason(err, outcome.ReasonConnectionLost), "%v", err)
			require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
			require.LessOrEqual(t, taken.Load(), int64(maxHeaderBytes))
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatal("the connection must be closed")
			}
		})
	}
}

func TestTooManyFieldsAreRefused(t *testing.T) {
	a, _ := startServer(t, func(n net.Conn, _ int, id, _ string) {
		_, _ = io.WriteString(n, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n"+strings.Repeat("a: b\r\n", maxHeaderFields)+"Content-Length: 0\r\n\r\n")
	})
	_, err := doRequest(NewPool(Config{Dialect: dialect}), a, "1")
	require.True(t, outcome.HasReason(err, outcome.ReasonAnswerTooLarge), "%v", err)
}

// The bound holds for headers only: a body may be longer.
func TestBodyMayBeLongerThanAHeader(t *testing.T) {
	body := strings.Repeat("x", 4*maxHeaderBytes)
	a, _ := startServer(t, func(n net.Conn, _ int, id, _ string) { writeAnswer(n, id, body) })
	p := NewPool(Config{Dialect: dialect})
	for range 2 {
		b, err := doRequest(p, a, "1")
		require.NoError(t, err)
		require.Len(t, b, len(body))
	}
}

// A chunked body may have extensions or a trailer without end. Reading it must fail after a
// bounded number of bytes.
func TestChunksWithoutEndAreBounded(t *testing.T) {
	tests := map[string]string{"extension": "1;x=", "trailer": "0\r\nA: ", "size": ""}
	for name, start := range tests {
		t.Run(name, func(t *testing.T) {
			answer := strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + start)
			r := &io.LimitedReader{N: socketBytes, R: io.MultiReader(answer, zeros{})}
			a, err := http.ReadResponse(bufio.NewReaderSize(r, readBufferBytes), nil)
			require.NoError(t, err)
			defer func() { _ = a.Body.Close() }()
			_, err = io.Copy(io.Discard, a.Body)
			require.Error(t, err)
			require.Less(t, socketBytes-r.N, int64(maxHeaderBytes))
		})
	}
}

// zeros reads as digits 0 without end.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = '0'
	}
	return len(b), nil
}

// FuzzReadHeader checks that no bytes make the reader of headers panic or pass its bounds.
func FuzzReadHeader(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 No\r\nRequest-Id: 1\r\n\r\n"))
	f.Add([]byte("\x00\xff"))
	f.Fuzz(func(t *testing.T, b []byte) {
		near, far := net.Pipe()
		defer func() { _ = near.Close() }()
		go func() {
			_, _ = far.Write(b)
			_ = far.Close()
		}()
		c := newConn(near, "s")
		a, err := readHeader(c, http.MethodGet) //nolint:bodyclose // The connection is closed.
		if err != nil {
			require.Nil(t, a)
			return
		}
		require.GreaterOrEqual(t, a.StatusCode, http.StatusOK)
		require.LessOrEqual(t, countFields(a.Header), maxHeaderFields)
	})
}
