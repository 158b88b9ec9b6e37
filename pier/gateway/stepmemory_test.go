package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/stepjournal"
)

// The memory of a step is counted as long as the step runs here, and not for ever.
func TestStepsGiveTheirMemoryBack(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	s := newStep("s", 3)
	for n := range 2 {
		require.NoError(t, g.Accept(context.Background(), route(g), s), "attempt %d", n)
		require.Eventually(t, func() bool { return g.memory.Left() == g.bodyMemory()-stepBytes(s) }, 5*time.Second, time.Millisecond)
	}
	require.NoError(t, g.End(context.Background(), Principal{}, "s"))
	require.Eventually(t, func() bool { return g.memory.Left() == g.bodyMemory() }, 5*time.Second, time.Millisecond)
}

// Results are finished while the log is away. Their memory must be counted until they are in the log, as
// it is not there for bodies.
func TestResultsThatWaitForTheLogAreCounted(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	r, err := stepjournal.Finished(&stepjournal.Result{Step: "s", ID: "s-0", State: stepjournal.Completed, Text: strings.Repeat("t", 100_000)})
	require.NoError(t, err)
	l.SetDown(true)
	g.journal.get("s").post(r)
	g.journal.get("s").post(r)
	require.Equal(t, g.bodyMemory()-int64(encodedSize([][]byte{r, r})), g.memory.Left())
	l.SetDown(false)
	require.Eventually(t, func() bool { return !g.journal.hasPending() && g.memory.Left() == g.bodyMemory() }, 5*time.Second, time.Millisecond)
}

// A preferred driver whose memory is taken by open steps must leave further ones to the host that
// accepted them.
func TestHostWithoutMemoryTakesNoStepsFromOthers(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	startEngine(t, oneEvent, a, b)
	a.preferred.claim("m")
	a.memory.Charge(a.memory.Left())
	require.NoError(t, b.Accept(context.Background(), route(b), newStep("s", 2)))
	waitResults(t, b, "s", 2)
	require.Equal(t, b.self.Host, b.driverOf(t, "s"))
}
