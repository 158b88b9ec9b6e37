package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// newScoredStep returns a step of one item that is scored on the route for plain requests.
func newScoredStep(id string) *stepjournal.Step {
	s := newStep(id, 1)
	s.Items[0].Scorer = &stepjournal.Call{ID: "c", Host: "h", Path: "/plain/x"}
	return s
}

// startScorers starts and registers n scorers, which answer with the status that status returns.
func startScorers(t *testing.T, g *Gateway, n int, status func() int) []*server {
	t.Helper()
	var l []*server
	for i := range n {
		x := startServer(t, "scorer-"+strconv.Itoa(i), "desk", func(_ *server, w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testDialect.ServerStamp, "score")
			w.WriteHeader(status())
		})
		g.register(x.Server)
		l = append(l, x)
	}
	return l
}

// startQuickEngine starts and registers an engine whose texts have one event.
func startQuickEngine(t *testing.T, g *Gateway) {
	t.Helper()
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	g.register(e.Server)
}

func totalRuns(l []*server) int {
	n := 0
	for _, x := range l {
		n += len(x.runs())
	}
	return n
}

// Guards against finished samples listed as dead because their scorers ran out of time.
func TestScorersOutOfTimeDoNotKillTheSample(t *testing.T) {
	tests := map[string]struct {
		status int
	}{
		"deadline reached": {http.StatusGatewayTimeout},
		"bad gateway":      {http.StatusBadGateway},
		"not implemented":  {http.StatusNotImplemented},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(func(_, plain *routetable.Route) { plain.Attempts = 3 })
			startQuickEngine(t, g)
			var status atomic.Int64
			status.Store(int64(c.status))
			scorers := startScorers(t, g, 4, func() int { return int(status.Load()) })
			require.NoError(t, g.Accept(context.Background(), route(g), newScoredStep("s")))
			require.Eventually(t, func() bool { return totalRuns(scorers) > 6 }, 10*time.Second, time.Millisecond)
			status.Store(http.StatusOK)
			r := waitResults(t, g, "s", 1)
			require.Equal(t, stepjournal.Completed, r[0].State)
			require.Equal(t, "score", r[0].Score)
		})
	}
}

// Guards against calls to a scorer that fail for ever, as those that ran out of servers were not counted.
func TestFailingScorerEndsWithFewerServersThanAttempts(t *testing.T) {
	tests := map[string]struct {
		servers, attempts int
	}{
		"one server":       {1, 3},
		"one fewer":        {2, 3},
		"as many":          {3, 3},
		"many more needed": {2, 7},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(func(_, plain *routetable.Route) { plain.Attempts, plain.LatencyObjective = c.attempts, 0 })
			startQuickEngine(t, g)
			scorers := startScorers(t, g, c.servers, func() int { return http.StatusInternalServerError })
			require.NoError(t, g.Accept(context.Background(), route(g), newScoredStep("s")))
			require.Equal(t, stepjournal.Dead, waitResults(t, g, "s", 1)[0].State)
			require.GreaterOrEqual(t, totalRuns(scorers), c.attempts)
			require.Less(t, totalRuns(scorers), c.attempts+c.servers)
		})
	}
}
