package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
)

// An engine has no room, or another server stands at its address: samples ask it
// ever more seldom.
func TestRefusingEngineIsAskedSeldom(t *testing.T) {
	tests := map[string]int{"no room": http.StatusServiceUnavailable, "another server": http.StatusMisdirectedRequest}
	for name, status := range tests {
		t.Run(name, func(t *testing.T) {
			g := host(t, "a", newLog().Seam())
			g.table(nil)
			e := serve(t, "e1", "engines", func(_ *server, w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testDialect.NotRun, "1")
				w.WriteHeader(status)
			})
			g.register(e.Server)
			require.NoError(t, g.Accept(context.Background(), route(g), step("s", 1)))
			time.Sleep(1200 * time.Millisecond)
			require.Less(t, len(e.runs()), 7)
			require.Greater(t, len(e.runs()), 1)
		})
	}
}

// An engine breaks off with all its runs at one moment: that is one failure. The next
// one, after it was avoided, is another.
func TestRunsThatBreakOffTogetherAreOneFailure(t *testing.T) {
	g := host(t, "a", newLog().Seam())
	g.register(directory.Server{ID: "e1", Service: "engines", Slots: 8})
	u, ok := g.fleet.engine("engines", "m", 0, 8)
	require.True(t, ok)
	s := g.fleet.state["e1"]
	for range 6 {
		u.failed("connection-lost")
	}
	require.Equal(t, 1, s.fails)
	require.InDelta(t, avoidFirst, time.Until(s.avoid), float64(avoidFirst/2))
	s.avoid = time.Now()
	u.failed("connection-lost")
	require.Equal(t, 2, s.fails)
	require.InDelta(t, 2*avoidFirst, time.Until(s.avoid), float64(avoidFirst/2))
}
