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

// Guards against failed attempts that are forgotten when another host takes the step over.
func TestTakeoverKeepsFailedAttempts(t *testing.T) {
	tests := map[string]struct {
		// item and scorer are the number of servers that fail for the item and for its scorer,
		// before all others run out of time; want is the number that fail in all.
		item, scorer, want int
	}{
		"runs of the item":    {item: 2, want: 3},
		"calls to the scorer": {scorer: 2, want: 3},
		"both":                {item: 1, scorer: 2, want: 4},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
			a.table(func(_, plain *routetable.Route) { plain.Attempts = 3 })
			b.table(func(_, plain *routetable.Route) { plain.Attempts = 3 })
			failing := newFailures(c.item, c.scorer)
			e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
				if c.scorer == 0 || failing.item.Load() > 0 {
					failing.answer(w, &failing.item)
					return
				}
				stream(w, r, 1, 1, 0)
			})
			a.register(e.Server)
			s := startScorers(t, a, 1, func() int { return failing.next(&failing.scorer) })
			require.NoError(t, a.Accept(context.Background(), route(a), newScoredStep("s")))
			require.Eventually(t, func() bool { return failing.tried.Load() > int64(c.item+c.scorer) }, 10*time.Second, time.Millisecond)
			a.steps.release()
			require.Eventually(t, func() bool { return !a.steps.isDriving("s") }, 5*time.Second, 10*time.Millisecond)
			failing.item.Store(100)
			if c.scorer > 0 {
				failing.item.Store(0)
				failing.scorer.Store(100)
			}
			b.register(e.Server, s[0].Server)
			b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
			require.Eventually(t, func() bool { b.watch.checkSteps(); return b.steps.isDriving("s") }, 10*time.Second, 50*time.Millisecond)
			require.Equal(t, stepjournal.Dead, waitResults(t, b, "s", 1)[0].State)
			require.EqualValues(t, c.want, failing.failed.Load())
		})
	}
}

// failures has servers fail for a number of requests, and run out of time for all others.
type failures struct {
	// item and scorer are the numbers of requests left that fail.
	item, scorer atomic.Int64
	// tried counts all requests, failed those that failed.
	tried, failed atomic.Int64
}

func newFailures(item, scorer int) *failures {
	f := &failures{}
	f.item.Store(int64(item))
	f.scorer.Store(int64(scorer))
	return f
}

// next returns the status of the next answer.
func (f *failures) next(left *atomic.Int64) int {
	f.tried.Add(1)
	if left.Add(-1) < 0 {
		return http.StatusGatewayTimeout
	}
	f.failed.Add(1)
	return http.StatusInternalServerError
}

func (f *failures) answer(w http.ResponseWriter, left *atomic.Int64) { w.WriteHeader(f.next(left)) }
