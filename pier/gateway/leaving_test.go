package gateway

import (
	"context"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/stepplan"
)

// A server states in an answer that it leaves, while its registration keeps being renewed
// as ready. No plain request, sample or order may be sent to it any more.
func TestServerThatStatesItLeavesGetsNothingMore(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	stated := func(_ *server, w http.ResponseWriter, _ *http.Request) { w.Header().Set(testDialect.Leaving, "1") }
	leaves := startServer(t, "a-first", "desk", stated)
	stays := startServer(t, "b-second", "desk", func(*server, http.ResponseWriter, *http.Request) {})
	g.register(leaves.Server, stays.Server)
	for range 5 {
		_, err := g.Do(context.Background(), call(g))
		require.NoError(t, err)
		renewed := leaves.Server
		renewed.RenewalSeq++
		renewed.Versions = map[string]int64{"m": 2}
		g.register(renewed, stays.Server)
	}
	require.Len(t, leaves.runs(), 1)
	require.Len(t, stays.runs(), 4)
}

// An engine that leaves still finishes its run, but takes no further sample and no order.
func TestEngineThatStatesItLeavesTakesNoSample(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testDialect.Leaving, "1")
		stream(w, r, 1, 3, 0)
	})
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s1", 1)))
	waitResults(t, g, "s1", 1)
	_, ok := g.fleet.pickEngine("engines", "m", stepplan.Need{MinVersion: 1}, &promptload.Prompt{}, 4)
	require.False(t, ok)
	require.Empty(t, g.fleet.loadable("engines", e.Born))
}
