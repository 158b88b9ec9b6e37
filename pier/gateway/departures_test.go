package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
)

// slowStream writes the events from the resume point up to n, one each interval.
func slowStream(w http.ResponseWriter, r *http.Request, n int, interval time.Duration) {
	from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
	w.Header().Set(testDialect.WeightVersion, "1")
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for i := from + 1; i <= n && r.Context().Err() == nil; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
		_ = c.Flush()
		time.Sleep(interval)
	}
}

// A server is taken away in the middle of a step. A sample that ends in time must stay, and another one must go on
// elsewhere after its last event before the server ends.
func TestSamplesLeaveAServerThatIsTakenAway(t *testing.T) {
	const interval = 20 * time.Millisecond
	lengths := map[string]int{"s-0": 60, "s-1": 400, "s-2": 400}
	handle := func(_ *server, w http.ResponseWriter, r *http.Request) {
		slowStream(w, r, lengths[r.Header.Get(testDialect.RequestID)], interval)
	}
	taken, other := startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle)
	taken.Slots, other.Slots = 3, 2
	taken.Reclaimable = true
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	g.register(taken.Server)
	s := newStep("s", 3)
	s.Items[0].ExpectedTokens, s.Items[1].ExpectedTokens = 60, 400
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	require.Eventually(t, func() bool { return len(taken.runs()) == 3 }, 5*time.Second, time.Millisecond)
	time.Sleep(600 * time.Millisecond)
	notice := time.Now()
	leaving := taken.Server
	leaving.Leaving, leaving.LeavesAt = true, notice.Add(2200*time.Millisecond)
	g.register(leaving, other.Server)
	waitResults(t, g, "s", 3)
	require.Len(t, taken.runs(), 3, "a server that leaves must get no new work")
	require.Len(t, other.runs(), 2, "the short sample must stay")
	for _, r := range other.runs() {
		var item, from int
		_, err := fmt.Sscanf(r, "s-%d@%d", &item, &from)
		require.NoError(t, err)
		require.Positive(t, item)
		// 0.6 s before the notice and at least 0.9 s of the time left are 75 events; the server ends after 140.
		require.Greater(t, from, 50, "a sample must use the time that is left")
		require.Less(t, from, 140)
	}
}

// Guards against servers of which the host knows the end, and that are forgotten when their registration is.
func TestDepartures(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	at := time.Now().Add(time.Second)
	g.register(
		directory.Server{ID: "taken", Leaving: true, LeavesAt: at}, directory.Server{ID: "drains", Leaving: true},
		directory.Server{ID: "serves", LeavesAt: at},
	)
	require.Equal(t, map[string]time.Time{"taken": at}, g.fleet.departures())
	g.fleet.mu.Lock()
	g.fleet.dir.Unregister("taken", time.Now())
	g.fleet.rebuild(time.Now())
	g.fleet.mu.Unlock()
	require.Empty(t, g.fleet.departures())
}
