package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
)

// startEngine starts a test server that handles every request with f, and returns
// its address.
func startEngine(t testing.TB, f func(w http.ResponseWriter, r *http.Request)) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(f))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func encodeEvent(c Chunk) string {
	b, _ := json.Marshal(&c)
	return "data: " + string(b) + "\n\n"
}

// TestComplete checks the reason reported for truncated, malformed, oversized and
// mixed-up streams and for error statuses.
func TestComplete(t *testing.T) {
	good := encodeEvent(Chunk{Stream: "s", First: 0, End: 2, Text: "a b ", Version: 3})
	last := encodeEvent(Chunk{Stream: "s", First: 2, End: 2, Finish: "stop", Total: 2})
	for name, x := range map[string]struct {
		body   string
		status int
		reason outcome.Reason
	}{
		"whole":          {good + last, 200, ""},
		"ends early":     {good, 200, outcome.ReasonShortAnswer},
		"cut in event":   {good + last[:20], 200, outcome.ReasonShortAnswer},
		"another stream": {encodeEvent(Chunk{Stream: "x", End: 2}), 200, outcome.ReasonCrossedAnswer},
		"no JSON":        {"data: nothing\n\n", 200, outcome.ReasonCrossedAnswer},
		"wrong type":     {"data: {\"stream\":7}\n\n", 200, outcome.ReasonCrossedAnswer},
		"too large":      {"data: " + string(make([]byte, 2<<20)) + "\n\n", 200, outcome.ReasonConnectionLost},
		"not there":      {"", 404, outcome.ReasonUnknownName},
		"full":           {"", 503, outcome.ReasonQueueFull},
		"fails":          {"", 500, outcome.ReasonServerError},
	} {
		t.Run(name, func(t *testing.T) {
			a := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(x.status)
				_, _ = w.Write([]byte(x.body))
			})
			n := 0
			err := New(Config{IdleTimeout: time.Second}).Complete(t.Context(), a, &Completion{Stream: "s"}, func(c *Chunk) error {
				n = c.End
				return nil
			})
			if x.reason == "" {
				require.NoError(t, err)
				require.Equal(t, 2, n)
				return
			}
			require.True(t, outcome.HasReason(err, x.reason), "%v", err)
		})
	}
}

// TestSilence checks that a stream whose engine stops sending events, but keeps the
// connection open, fails with the reason connection-silent.
func TestSilence(t *testing.T) {
	a := startEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(encodeEvent(Chunk{Stream: "s", End: 1, Version: 1})))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	err := New(Config{IdleTimeout: 100 * time.Millisecond}).Complete(t.Context(), a, &Completion{Stream: "s"}, func(*Chunk) error { return nil })
	require.True(t, outcome.HasReason(err, outcome.ReasonSilent), "%v", err)
}

// TestSlowCallback checks that the time that the callback takes does not count as silence of
// the engine, also while further events are received already.
func TestSlowCallback(t *testing.T) {
	const idle = 50 * time.Millisecond
	a := startEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			_, _ = w.Write([]byte(encodeEvent(Chunk{Stream: "s", First: i, End: i + 1, Version: 1})))
		}
		_, _ = w.Write([]byte(encodeEvent(Chunk{Stream: "s", First: 3, End: 3, Finish: "stop", Total: 3})))
	})
	n := 0
	err := New(Config{IdleTimeout: idle}).Complete(t.Context(), a, &Completion{Stream: "s"}, func(*Chunk) error {
		n++
		time.Sleep(2 * idle)
		return nil
	})
	require.NoError(t, err)
	require.Equal(t, 4, n)
}

// FuzzEvents checks that arbitrary response bodies give either success or an
// *outcome.Error.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(encodeEvent(Chunk{Stream: "s", End: 2, Version: 1, Finish: "stop"})))
	f.Add([]byte("event: ping\ndata: {}\n\ndata: x"))
	var body []byte
	var mu sync.Mutex
	a := startEngine(f, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	c := New(Config{})
	f.Fuzz(func(t *testing.T, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		body = b
		err := c.Complete(context.Background(), a, &Completion{Stream: "s"}, func(*Chunk) error { return nil })
		require.True(t, err == nil || outcome.AsError(err).Reason != "")
	})
}

// BenchmarkEvents measures reading one event, including the cost of the test server
// that writes it.
func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			left := b.N/n + 1
			a := startEngine(b, func(w http.ResponseWriter, _ *http.Request) {
				e := []byte(encodeEvent(Chunk{Stream: "s", First: 10, End: 12, Text: "w12 w13 ", Version: 3}))
				for range left {
					_, _ = w.Write(e)
					w.(http.Flusher).Flush()
				}
				_, _ = w.Write([]byte(encodeEvent(Chunk{Stream: "s", Finish: "stop"})))
			})
			c := New(Config{IdleTimeout: time.Minute})
			b.ReportAllocs()
			b.ResetTimer()
			var wg sync.WaitGroup
			for range n {
				wg.Go(func() {
					_ = c.Complete(context.Background(), a, &Completion{Stream: "s"}, func(*Chunk) error { return nil })
				})
			}
			wg.Wait()
		})
	}
}
