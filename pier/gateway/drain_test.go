package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
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
