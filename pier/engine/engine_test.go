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

// serving returns the address of an engine that answers every completion with f.
func serving(t testing.TB, f func(w http.ResponseWriter, r *http.Request)) netip.AddrPort {
	s := httptest.NewServer(http.HandlerFunc(f))
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

func event(c Chunk) string {
	b, _ := json.Marshal(&c)
	return "data: " + string(b) + "\n\n"
}

// TestComplete covers streams that are not what they should be.
func TestComplete(t *testing.T) {
	good := event(Chunk{Stream: "s", First: 0, End: 2, Text: "a b ", Version: 3})
	last := event(Chunk{Stream: "s", First: 2, End: 2, Finish: "stop", Total: 2})
	for name, x := range map[string]struct {
		body   string
		status int
		reason outcome.Reason
	}{
		"whole":          {good + last, 200, ""},
		"ends early":     {good, 200, outcome.ReasonShortAnswer},
		"cut in event":   {good + last[:20], 200, outcome.ReasonShortAnswer},
		"another stream": {event(Chunk{Stream: "x", End: 2}), 200, outcome.ReasonCrossedAnswer},
		"no JSON":        {"data: nothing\n\n", 200, outcome.ReasonCrossedAnswer},
		"wrong type":     {"data: {\"stream\":7}\n\n", 200, outcome.ReasonCrossedAnswer},
		"too large":      {"data: " + string(make([]byte, 2<<20)) + "\n\n", 200, outcome.ReasonConnectionLost},
		"not there":      {"", 404, outcome.ReasonUnknownName},
		"full":           {"", 503, outcome.ReasonQueueFull},
		"fails":          {"", 500, outcome.ReasonServerError},
	} {
		t.Run(name, func(t *testing.T) {
			a := serving(t, func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(x.status)
				_, _ = w.Write([]byte(x.body))
			})
			n := 0
			err := New(Config{Silence: time.Second}).Complete(t.Context(), a, &Completion{Stream: "s"}, func(c *Chunk) error {
				n = c.End
				return nil
			})
			if x.reason == "" {
				require.NoError(t, err)
				require.Equal(t, 2, n)
				return
			}
			require.True(t, outcome.Is(err, x.reason), "%v", err)
		})
	}
}

// TestSilence covers a stream that carries nothing any more.
func TestSilence(t *testing.T) {
	a := serving(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(event(Chunk{Stream: "s", End: 1, Version: 1})))
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	})
	err := New(Config{Silence: 100 * time.Millisecond}).Complete(t.Context(), a, &Completion{Stream: "s"}, func(*Chunk) error { return nil })
	require.True(t, outcome.Is(err, outcome.ReasonSilent), "%v", err)
}

// FuzzEvents feeds streams of any kind.
func FuzzEvents(f *testing.F) {
	f.Add([]byte(event(Chunk{Stream: "s", End: 2, Version: 1, Finish: "stop"})))
	f.Add([]byte("event: ping\ndata: {}\n\ndata: x"))
	var body []byte
	var mu sync.Mutex
	a := serving(f, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) })
	c := New(Config{})
	f.Fuzz(func(t *testing.T, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		body = b
		err := c.Complete(context.Background(), a, &Completion{Stream: "s"}, func(*Chunk) error { return nil })
		require.True(t, err == nil || outcome.From(err).Reason != "")
	})
}

// BenchmarkEvents measures the reading of one event, one server's writing of it
// included.
func BenchmarkEvents(b *testing.B) {
	for _, n := range []int{1, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			left := b.N/n + 1
			a := serving(b, func(w http.ResponseWriter, _ *http.Request) {
				e := []byte(event(Chunk{Stream: "s", First: 10, End: 12, Text: "w12 w13 ", Version: 3}))
				for range left {
					_, _ = w.Write(e)
					w.(http.Flusher).Flush()
				}
				_, _ = w.Write([]byte(event(Chunk{Stream: "s", Finish: "stop"})))
			})
			c := New(Config{Silence: time.Minute})
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
