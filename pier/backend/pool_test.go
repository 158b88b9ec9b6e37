package backend

import (
	"bufio"
	"context"
	"fmt"
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

var dialect = Dialect{RequestID: "Request-Id", NotRun: "Not-Run", Load: "Load", WeightVersion: "Weights"}

// startServer starts a server that calls answer for each request to write the bytes of the
// answer; n is the number of the request on its connection. It returns the server's address
// and the count of accepted connections.
func startServer(t *testing.T, answer func(c net.Conn, n int, id, body string)) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	return acceptConns(t, func(c net.Conn) { serveConn(c, answer) })
}

// acceptConns accepts connections and serves each in a goroutine of its own. It returns the
// address and the count of accepted connections.
func acceptConns(t *testing.T, serve func(c net.Conn)) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	var conns atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serve(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String()), &conns
}

func serveConn(c net.Conn, answer func(c net.Conn, n int, id, body string)) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		answer(c, n, q.Header.Get("Request-Id"), string(b))
	}
}

func writeAnswer(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func doRequest(p *Pool, a netip.AddrPort, id string) (string, error) {
	r, err := p.Do(context.Background(), Request{Server: "s", Address: a, Method: "POST", Target: "/x?y=%20", Host: "h", ID: id, Body: []byte("b" + id)})
	if err != nil {
		return "", err
	}
	defer r.Close()
	b, err := io.ReadAll(r)
	return string(b), err
}

func TestSoundConnectionsAreUsedAgain(t *testing.T) {
	a, conns := startServer(t, func(c net.Conn, _ int, id, body string) { writeAnswer(c, id, body) })
	p := NewPool(Config{Dialect: dialect})
	for i := range 5 {
		b, err := doRequest(p, a, fmt.Sprint(i))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint("b", i), b)
	}
	require.EqualValues(t, 1, conns.Load())
}

func TestDoubtfulConnectionsAreNotUsedAgain(t *testing.T) {
	tests := map[string]func(c net.Conn, id, body string){
		"bytes after the answer": func(c net.Conn, id, body string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%sHTTP/1.1 200 OK\r\n", id, len(body), body)
		},
		"a late second answer": func(c net.Conn, id, body string) {
			writeAnswer(c, id, body)
			time.Sleep(20 * time.Millisecond)
			writeAnswer(c, id, body)
		},
		"close": func(c net.Conn, id, body string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
		"no time left": func(c net.Conn, id, body string) {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
		},
		"the server closes": func(c net.Conn, id, body string) {
			writeAnswer(c, id, body)
			_ = c.Close()
		},
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			a, conns := startServer(t, func(c net.Conn, _ int, id, body string) { answer(c, id, body) })
			p := NewPool(Config{Dialect: dialect})
			for i := range 3 {
				b, err := doRequest(p, a, fmt.Sprint(i))
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint("b", i), b)
				time.Sleep(40 * time.Millisecond)
			}
			require.EqualValues(t, 3, conns.Load())
		})
	}
}

func TestBrokenAnswersAreErrors(t *testing.T) {
	tests := map[string]struct {
		answer func(c net.Conn, id, body string)
		reason outcome.Reason
	}{
		"another request's answer": {func(c net.Conn, _, body string) { writeAnswer(c, "other", body) }, outcome.ReasonCrossedAnswer},
		"no id": {func(c net.Conn, _, _ string) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, outcome.ReasonCrossedAnswer},
		"no answer":   {func(c net.Conn, _, _ string) { _ = c.Close() }, outcome.ReasonConnectionLost},
		"no protocol": {func(c net.Conn, _, _ string) { _, _ = io.WriteString(c, "what?\r\n\r\n"); _ = c.Close() }, outcome.ReasonMalformedAnswer},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startServer(t, func(n net.Conn, _ int, id, body string) { c.answer(n, id, body) })
			_, err := doRequest(NewPool(Config{Dialect: dialect}), a, "1")
			require.True(t, outcome.HasReason(err, c.reason), "%v", err)
			require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
		})
	}
}

// Guards against a body that broke off and is taken for a complete one by a reader that reads on.
func TestBrokenBodyStaysBroken(t *testing.T) {
	tests := map[string]string{
		"length":  "Content-Length: 10\r\n\r\nabc",
		"chunked": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"trailer": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
	}
	for name, rest := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startServer(t, func(c net.Conn, _ int, id, _ string) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nRequest-Id: "+id+"\r\n"+rest)
				_ = c.Close()
			})
			r, err := NewPool(Config{Dialect: dialect}).Do(context.Background(), Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"})
			require.NoError(t, err)
			defer r.Close()
			_, first := io.ReadAll(r)
			require.Error(t, first)
			for range 3 {
				_, err = io.ReadAll(r)
				require.Equal(t, first, err)
			}
			require.False(t, r.complete)
		})
	}
}

func TestShortBodyIsNoWholeAnswer(t *testing.T) {
	a, _ := startServer(t, func(c net.Conn, _ int, id, _ string) {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 10\r\n\r\nabc", id)
		_ = c.Close()
	})
	_, err := doRequest(NewPool(Config{Dialect: dialect}), a, "1")
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

func TestNothingListensIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	_, err = doRequest(NewPool(Config{Dialect: dialect}), a, "1")
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
}

func TestSilenceEndsTheWait(t *testing.T) {
	a, _ := startServer(t, func(net.Conn, int, string, string) {})
	p := NewPool(Config{Dialect: dialect})
	_, err := p.Do(context.Background(), Request{
		Server: "s", Address: a, Method: "GET",
		Target: "/", Host: "h", HeaderTimeout: 30 * time.Millisecond,
	})
	require.True(t, outcome.HasReason(err, outcome.ReasonSilent), "%v", err)
}

func TestEarlyAnswerLeavesNoBodyBehind(t *testing.T) {
	a, conns := acceptConns(t, func(c net.Conn) {
		q, err := http.ReadRequest(bufio.NewReader(c))
		if err == nil {
			writeAnswer(c, q.Header.Get("Request-Id"), "no")
		}
	})
	p := NewPool(Config{Dialect: dialect})
	for i := range 2 {
		r, err := p.Do(context.Background(), Request{
			Server: "s", Address: a, Method: "POST", Target: "/", Host: "h",
			ID: fmt.Sprint(i), Body: []byte(strings.Repeat("x", 32<<20)),
		})
		require.NoError(t, err)
		_, err = io.ReadAll(r)
		require.NoError(t, err)
		r.Close()
	}
	require.EqualValues(t, 2, conns.Load())
}

// Items and scorer calls of a step come in JSON, which allows what a request's head does not. No
// server must read a second request out of one.
func TestNoRequestHidesInsideAnother(t *testing.T) {
	const hidden = " HTTP/1.1\r\nHost: h\r\n\r\nGET /hidden"
	tests := map[string]func(q *Request){
		"target":       func(q *Request) { q.Target += hidden },
		"method":       func(q *Request) { q.Method = "GET /hidden" + hidden },
		"host":         func(q *Request) { q.Host += "\r\nA: b" },
		"id":           func(q *Request) { q.ID += "\nA: b" },
		"field's name": func(q *Request) { q.Header = http.Header{"A: b\r\nC": {"d"}} },
		"two fields":   func(q *Request) { q.Header = http.Header{"A:b": {"d"}} },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			a, conns := startServer(t, answerOK)
			q := Request{Server: "s", Address: a, Method: "GET", Target: "/x", Host: "h", ID: "1"}
			change(&q)
			_, err := NewPool(Config{Dialect: dialect}).Do(context.Background(), q)
			require.True(t, outcome.HasReason(err, outcome.ReasonBadRequest), "%v", err)
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
			require.Zero(t, conns.Load())
		})
	}
}
