package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
)

// answerOK answers a request with an id.
func answerOK(n net.Conn, _ int, _, _ string) {
	_, _ = fmt.Fprint(n, "HTTP/1.1 200 x\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n")
}

// The process was suspended between the permit and the request: no byte may be sent.
func TestRequestIsNotSentAfterItsPermitExpired(t *testing.T) {
	var got []string
	a, _ := startServer(t, func(n net.Conn, i int, head, body string) {
		got = append(got, head)
		answerOK(n, i, head, body)
	})
	until := time.Hour
	p := NewPool(Config{Dialect: dialect, Admit: func(context.Context, *Request) (Admission, error) {
		return Admission{Limited: true, Until: boottime.Now() + until}, nil
	}})
	q := Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"}
	r, err := p.Do(context.Background(), q)
	require.NoError(t, err)
	r.Close()
	until = -time.Millisecond
	_, err = p.Do(context.Background(), q)
	require.True(t, outcome.HasReason(err, outcome.ReasonPermitExpired))
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	require.Len(t, got, 1)
}

// A request waits before it may be sent. The server is told the time that is left then.
func TestDeadlineIsStatedAsOfTheSending(t *testing.T) {
	stated := make(chan string, 1)
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		stated <- r.Header.Get("Deadline")
		w.Header().Set("Request-Id", "1")
	}))
	t.Cleanup(h.Close)
	d := dialect
	d.Deadline = "Deadline"
	p := NewPool(Config{Dialect: d, Admit: func(context.Context, *Request) (Admission, error) {
		time.Sleep(300 * time.Millisecond)
		return Admission{}, nil
	}})
	r, err := p.Do(context.Background(), Request{
		Server: "s", Address: netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://")),
		Method: "GET", Target: "/", Host: "h", ID: "1", Deadline: time.Now().Add(time.Second),
	})
	require.NoError(t, err)
	r.Close()
	left, err := strconv.Atoi(<-stated)
	require.NoError(t, err)
	require.LessOrEqual(t, left, 700)
	require.Positive(t, left)
}

// Requests without an id control a server; they need no permit.
func TestControlCallsNeedNoPermit(t *testing.T) {
	a, _ := startServer(t, func(n net.Conn, _ int, _, _ string) {
		_, _ = fmt.Fprint(n, "HTTP/1.1 200 x\r\nContent-Length: 0\r\n\r\n")
	})
	p := NewPool(Config{Dialect: dialect, Admit: func(context.Context, *Request) (Admission, error) {
		return Admission{}, outcome.Refuse(outcome.ReasonServerLimit, "s")
	}})
	r, err := p.Do(context.Background(), Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h"})
	require.NoError(t, err)
	r.Close()
	_, err = p.Do(context.Background(), Request{Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1"})
	require.True(t, outcome.HasReason(err, outcome.ReasonServerLimit))
}

// A server accepts few connections from all hosts together. A host keeps only its share of
// them while they are idle.
func TestIdleConnectionsKeepToTheShare(t *testing.T) {
	tests := map[string]struct{ maxIdle, kept int }{
		"no limit of the server's": {0, maxIdlePerServer},
		"a share of two":           {2, 2},
		"more hosts than it takes": {-1, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			a, _ := startServer(t, answerOK)
			p := NewPool(Config{Dialect: dialect})
			var open []*Response
			for range maxIdlePerServer + 2 {
				r, err := p.Do(context.Background(), Request{
					Server: "s", Address: a, Method: "GET", Target: "/", Host: "h", ID: "1", MaxIdle: c.maxIdle,
				})
				require.NoError(t, err)
				open = append(open, r)
			}
			for _, r := range open {
				_, err := io.ReadAll(r)
				require.NoError(t, err)
				r.Close()
			}
			require.Len(t, p.idle["s"], c.kept)
		})
	}
}
