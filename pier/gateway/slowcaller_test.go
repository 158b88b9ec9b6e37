package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
)

// sender returns a handler that sends parts until it has sent n bytes, or for ever if n is 0. It tells when it
// has sent all and when it could not send more.
func sender(n int, sent, cut chan<- time.Duration) func(*server, http.ResponseWriter, *http.Request) {
	part := []byte("id: 1\ndata: " + string(bytes.Repeat([]byte("x"), 8<<10-14)) + "\n\n")
	return func(_ *server, w http.ResponseWriter, _ *http.Request) {
		began := time.Now()
		if n > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(n))
		}
		for left := n; n == 0 || left > 0; left -= len(part) {
			if _, err := w.Write(part[:min(len(part), max(left, len(part)*(1-min(n, 1))))]); err != nil {
				cut <- time.Since(began)
				return
			}
		}
		sent <- time.Since(began)
	}
}

// startSender starts a host and its only server, which sends n bytes.
func startSender(t *testing.T, kind routetable.Kind, n int) (g *Gateway, s *server, sent, cut chan time.Duration) {
	t.Helper()
	g = newHost(t, "a", newLog().Functions())
	g.table(func(_, plain *routetable.Route) { plain.Kind, plain.Timeout = kind, 30*time.Second })
	sent, cut = make(chan time.Duration, 8), make(chan time.Duration, 8)
	s = startServer(t, "s1", "desk", sender(n, sent, cut))
	g.register(s.Server)
	return g, s, sent, cut
}

// Guards against an answer that stays unread for seconds at its server, or fills the host's memory, as its
// caller does not read.
func TestAnswerOfACallerThatDoesNotReadIsAborted(t *testing.T) {
	tests := map[string]struct {
		kind routetable.Kind
		size int
	}{
		"50 MB":                 {routetable.KindOnce, 50 << 20},
		"50 MB, may run again":  {routetable.KindIdempotent, 50 << 20},
		"stream without an end": {routetable.KindStream, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g, s, _, cut := startSender(t, c.kind, c.size)
			a, err := g.Do(context.Background(), callWithin(g, 30*time.Second))
			require.NoError(t, err)
			least := g.memory.Left()
			for took := time.Duration(0); took == 0; {
				least = min(least, g.memory.Left())
				select {
				case took = <-cut:
					require.Less(t, took, 5*time.Second)
				case <-time.After(time.Millisecond):
				}
			}
			require.GreaterOrEqual(t, least, g.bodyMemory()-g.bodyMemory()/unreadShare-maxBufferedBytes)
			require.Less(t, least, g.bodyMemory()-g.bodyMemory()/unreadShare/2, "it was buffered before")
			require.Eventually(t, func() bool { return g.memory.Left() >= g.bodyMemory()-maxBufferedBytes }, time.Second, time.Millisecond,
				"memory is given back while the caller still does not read")
			_, err = io.Copy(io.Discard, a.Rest)
			require.True(t, outcome.HasReason(err, outcome.ReasonSlowCaller), "%v", err)
			a.Close()
			require.Equal(t, g.bodyMemory(), g.memory.Left())
			require.Zero(t, g.runningAt(s))
			require.Zero(t, g.failuresOf(s))
			require.EqualValues(t, 1, testutil.ToFloat64(g.metrics.slowCallers.WithLabelValues(callerAborted)))
		})
	}
}

// Guards against answers that are cut, or hold their server up, though their caller merely reads slowly.
func TestSlowCallerGetsTheWholeAnswer(t *testing.T) {
	tests := map[string]struct {
		size int
		// full is set if other callers have taken all memory for unread answers.
		full   bool
		pause  time.Duration
		result string
	}{
		"short":                   {100 << 10, false, 5 * time.Millisecond, ""},
		"beyond the beginning":    {400 << 10, false, 20 * time.Millisecond, callerBuffered},
		"long":                    {8 << 20, false, 2 * time.Millisecond, callerBuffered},
		"long, no memory is left": {16 << 20, true, time.Millisecond, callerWaited},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g, s, sent, _ := startSender(t, routetable.KindOnce, c.size)
			if c.full {
				g.unread.Charge(g.bodyMemory() / unreadShare)
			}
			began := time.Now()
			a, err := g.Do(context.Background(), callWithin(g, 30*time.Second))
			require.NoError(t, err)
			got, p := len(a.Body), make([]byte, 8<<10)
			for err == nil && a.Rest != nil {
				time.Sleep(c.pause)
				var n int
				n, err = a.Rest.Read(p)
				got += n
			}
			if a.Rest != nil {
				require.ErrorIs(t, err, io.EOF)
			}
			require.Equal(t, c.size, got)
			if took := <-sent; !c.full {
				require.LessOrEqual(t, took, time.Since(began)/2+100*time.Millisecond, "the server waited for the caller")
			}
			a.Close()
			require.Zero(t, g.failuresOf(s))
			if c.result != "" {
				require.EqualValues(t, 1, testutil.ToFloat64(g.metrics.slowCallers.WithLabelValues(c.result)))
			}
			if c.full {
				g.unread.Give(g.bodyMemory() / unreadShare)
			}
			require.Equal(t, g.bodyMemory(), g.memory.Left())
		})
	}
}

// Guards against memory, requests at servers or readers that are left behind by callers who leave.
func TestCallersThatLeaveGiveTheMemoryBack(t *testing.T) {
	tests := map[string]func(a *Answer, cancel func()){
		"closes":                  func(*Answer, func()) {},
		"closes after a read":     func(a *Answer, _ func()) { _, _ = a.Rest.Read(make([]byte, 10)) },
		"is gone":                 func(_ *Answer, cancel func()) { cancel() },
		"is gone after some time": func(_ *Answer, cancel func()) { time.Sleep(20 * time.Millisecond); cancel() },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			g, s, _, cut := startSender(t, routetable.KindStream, 0)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a, err := g.Do(ctx, callWithin(g, 30*time.Second))
			require.NoError(t, err)
			leave(a, cancel)
			a.Close()
			require.Less(t, <-cut, 2*time.Second)
			require.Equal(t, g.bodyMemory(), g.memory.Left())
			require.Zero(t, g.runningAt(s))
			require.Zero(t, g.failuresOf(s))
			<-a.buffer.done
		})
	}
}

// Guards against a connection that is closed though its answer was read to the end.
func TestConnectionIsUsedAgainAfterABufferedAnswer(t *testing.T) {
	g, _, _, _ := startSender(t, routetable.KindOnce, 1<<20)
	for range 4 {
		a, err := g.Do(context.Background(), callWithin(g, 5*time.Second))
		require.NoError(t, err)
		require.NoError(t, a.readRest())
		a.Close()
	}
	require.EqualValues(t, 1, testutil.ToFloat64(g.metrics.opened))
}
