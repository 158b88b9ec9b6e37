package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/settings"
)

// A request is accepted shortly before the host has told everyone that it stops, and its answer
// takes longer than that. The planned stop must wait for it within the grace period.
func TestPlannedStopWaitsForAnswersInProgress(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.s.Timing.Grace = settings.Duration(8 * time.Second)
	const answerTime = unhealthyDetectionTime + 2*time.Second
	g.c.Handler = func(*Gateway) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c := http.NewResponseController(w)
			for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				_, _ = io.WriteString(w, ".")
				_ = c.Flush()
			}
			_, _ = io.WriteString(w, "end")
		})
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	require.NoError(t, g.serve(a, g.c.Handler(g)))
	q, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+a.String(), nil)
	require.NoError(t, err)
	r, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	stopped := make(chan struct{})
	go func() { g.Drain(); g.Close(); close(stopped) }()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err, "the answer was cut after %d bytes", len(b))
	require.Contains(t, string(b), "end")
	<-stopped
}

// Callers send requests on open connections until the process is gone. A request that a handler
// has begun gets its whole answer, whenever the planned stop closes the connections.
func TestPlannedStopCutsNoRequestOnOpenConnections(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	var mu sync.Mutex
	begun := make(map[string]bool)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		begun[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		_, _ = io.WriteString(w, r.URL.Path)
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	a := netip.MustParseAddrPort(l.Addr().String())
	require.NoError(t, l.Close())
	require.NoError(t, g.serve(a, h))
	stopped := make(chan struct{})
	var w sync.WaitGroup
	var cut, answered atomic.Int64
	for i := range 200 {
		w.Go(func() {
			c := http.Client{Transport: &http.Transport{}}
			defer c.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-stopped:
					return
				case <-time.After(time.Duration(i%10) * time.Millisecond):
				}
				path := fmt.Sprintf("/%d/%d", i, n)
				r, err := c.Post("http://"+a.String()+path, "text/plain", strings.NewReader("x"))
				if err == nil {
					_, err = io.ReadAll(r.Body)
					_ = r.Body.Close()
				}
				mu.Lock()
				ran := begun[path]
				mu.Unlock()
				if err != nil && ran {
					cut.Add(1)
				}
				if err == nil {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	g.Drain()
	g.Close()
	close(stopped)
	w.Wait()
	require.Zero(t, cut.Load(), "requests cut, %d answered", answered.Load())
}
