package backend

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

// Guards against what a server states in a malformed answer, and against connections that are used again after one.
func TestMalformedAnswerStatesNothing(t *testing.T) {
	stated := "Leaving: 1\r\nLimit: 1\r\nLoad: 1,2,3\r\nNot-Run: 1\r\n"
	tests := map[string]string{
		"status":          "HTTP/1.1 000 Zero\r\n" + stated + "Request-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"name":            "HTTP/1.1 503 No\r\nX Blank: 1\r\n" + stated + "Request-Id: 1\r\nContent-Length: 0\r\n\r\n",
		"name at the end": "HTTP/1.1 503 No\r\n" + stated + "Request-Id: 1\r\nContent-Length: 0\r\nX Blank: 1\r\n\r\n",
		"framing":         "HTTP/1.1 503 No\r\n" + stated + "Request-Id: 1\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"interim":         "HTTP/1.1 100 Go\r\nA B: 1\r\n\r\nHTTP/1.1 503 No\r\n" + stated + "Request-Id: 1\r\nContent-Length: 0\r\n\r\n",
	}
	for name, answer := range tests {
		for part, size := range map[string]int{"at once": len(answer), "in parts": 7} {
			t.Run(name+", "+part, func(t *testing.T) {
				a, conns := startServer(t, func(c net.Conn, _ int, _, _ string) {
					for rest := answer; rest != ""; rest = rest[min(size, len(rest)):] {
						_, _ = io.WriteString(c, rest[:min(size, len(rest))])
						time.Sleep(time.Millisecond)
					}
				})
				d := dialect
				d.Leaving, d.Limit = "Leaving", "Limit"
				p := NewPool(Config{
					Dialect:   d,
					OnLeaving: func(string, time.Time) { t.Error("leaving") },
					OnLimit:   func(*Request, Admission, []string) { t.Error("limit") },
				})
				for n := int64(1); n <= 2; n++ {
					_, err := p.Do(context.Background(), Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"})
					require.True(t, outcome.HasReason(err, outcome.ReasonMalformedAnswer), "%v", err)
					require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
					require.True(t, strings.HasPrefix(outcome.AsError(err).Detail, "s: malformed answer: "))
					require.Equal(t, n, conns.Load())
				}
			})
		}
	}
}

// Guards against a start that a server states in a malformed answer, and against a request that is sent after one.
func TestMalformedIdentityIsNotTaken(t *testing.T) {
	tests := map[string]string{
		"status": "HTTP/1.1 000 Zero\r\nContent-Length: 1\r\n\r\n7",
		"name":   "HTTP/1.1 200 OK\r\nX Blank: 1\r\nContent-Length: 1\r\n\r\n7",
	}
	for name, answer := range tests {
		t.Run(name, func(t *testing.T) {
			requests := 0
			a, _ := startServer(t, func(c net.Conn, _ int, _, _ string) {
				requests++
				_, _ = io.WriteString(c, answer)
			})
			p := NewPool(Config{Dialect: dialect, Identity: Identity{Target: "/identity", Started: func([]byte) (time.Time, bool) {
				t.Error("started")
				return time.Time{}, false
			}}})
			_, err := p.Do(context.Background(), Request{
				Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1", SameIncarnation: true,
			})
			require.True(t, outcome.HasReason(err, outcome.ReasonMalformedAnswer), "%v", err)
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
			require.Equal(t, 1, requests)
		})
	}
}

// BenchmarkRequest shows what a request costs on a kept connection, of which the check of the answer's header is a part.
func BenchmarkRequest(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveConn(c, func(c net.Conn, _ int, id, body string) { writeAnswer(c, id, body) })
		}
	}()
	p := NewPool(Config{Dialect: dialect})
	a := netip.MustParseAddrPort(l.Addr().String())
	b.ReportAllocs()
	for range b.N {
		_, err := doRequest(p, a, "1")
		require.NoError(b, err)
	}
}
