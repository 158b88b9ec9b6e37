package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/quarantine"
	"mulberrypier.example/pier/rawanswertest"
)

// truncateEarly answers a request without a length before it has read it, and ends the connection.
func truncateEarly(end rawanswertest.End) func(*server, http.ResponseWriter, *http.Request) {
	return func(_ *server, w http.ResponseWriter, r *http.Request) {
		c, b, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\ntruncated", testDialect.RequestID, r.Header.Get(testDialect.RequestID))
		end(c.(*net.TCPConn), b, r.ContentLength)
	}
}

// answerAfter reads a request and answers it after a time.
func answerAfter(d time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	return func(_ *server, w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		time.Sleep(d)
		_, _ = io.WriteString(w, "sound")
	}
}

// uploadWithin returns a call with a long body.
func uploadWithin(g *Gateway, d time.Duration) Call {
	c := callWithin(g, d)
	c.Body = make([]byte, rawanswertest.UploadBytes)
	return c
}

// Guards against a truncated answer to a hedge that is passed on before the answer of the first server, and against a
// hedge that is not sent, as the first server has begun an answer that may be truncated.
func TestTruncatedAnswersOfHedges(t *testing.T) {
	for name, end := range rawanswertest.TruncatingEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			first, second := startServer(t, "s1", "desk", answerAfter(400*time.Millisecond)), startServer(t, "s2", "desk", truncateEarly(end))
			second.Domain = "far"
			g.register(first.Server, second.Server)
			a, err := g.Do(context.Background(), uploadWithin(g, 4*time.Second))
			require.NoError(t, err)
			require.Equal(t, "sound", string(a.Body))
			a.Close()
			require.Len(t, second.runs(), 1)
			require.NotZero(t, g.failuresOf(second))
		})
	}
	t.Run("first server stalls", func(t *testing.T) {
		t.Parallel()
		g := newHost(t, "a", newLog().Functions())
		g.table(nil)
		first, second := startServer(t, "s1", "desk", truncateEarly(rawanswertest.Stalled)), startServer(t, "s2", "desk", answerAfter(0))
		second.Domain = "far"
		g.register(first.Server, second.Server)
		began := time.Now()
		a, err := g.Do(context.Background(), uploadWithin(g, 4*time.Second))
		require.NoError(t, err)
		require.Equal(t, "sound", string(a.Body))
		a.Close()
		require.Less(t, time.Since(began), time.Second)
	})
}

// Guards against a truncated answer of a trial that is passed on, and shows that the server survived the request.
func TestTruncatedAnswerOfATrial(t *testing.T) {
	for name, end := range rawanswertest.TruncatingEnds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			s := startServer(t, "s1", "desk", truncateEarly(end))
			g.register(s.Server)
			c := newPlainCall(uploadWithin(g, 4*time.Second))
			ctx, cancel := context.WithDeadline(context.Background(), c.Deadline)
			defer cancel()
			u, ok := g.fleet.pickServer(c.choice(nil))
			require.True(t, ok)
			e := quarantine.Event{Kind: quarantine.KindTrial, Key: c.key(), Service: "desk", Server: s.Incarnation(), Trial: 1}
			began := time.Now()
			_, err := g.runTrial(ctx, c, u, e, quarantine.Decision{Trial: 1, Ends: quarantine.CountedEnds})
			require.Error(t, err)
			require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
			require.NotZero(t, g.failuresOf(s))
			require.Less(t, time.Since(began), 2*time.Second)
		})
	}
}
