package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// A step is submitted again to the host whose append of it got no answer, before that append is
// carried out. The host knows the step from its caller only, and must not say that it is stored.
func TestStepThatIsNotInTheLogIsNotAcceptedFromMemory(t *testing.T) {
	l := newLog()
	g := newHost(t, "a", l.Functions())
	g.table(nil)
	l.DelayAppends(2)
	for range 2 {
		err := g.Accept(context.Background(), route(g), newStep("s", 1))
		require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
	}
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	l.RunDelayed()
	v := g.journal.follow("s")
	require.NoError(t, v.sync(context.Background()))
	e, _, ok := v.entry("s")
	require.True(t, ok)
	require.Zero(t, e.From, "a late acceptance must not replace the first")
}

// The groups of an ended step come again in a later one with the same items. Each step must list
// its own results, and what was listed stays.
func TestGroupsThatComeAgainBelongToTheirSteps(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	first, second := newStep("s", 2), newStep("t", 2)
	second.Items = first.Items
	e := startServer(t, "e1", "engines", func(s *server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testDialect.RequestID) == "s-1" && len(s.runs()) <= 2 {
			<-r.Context().Done()
			return
		}
		stream(w, r, 1, 1, 0)
	})
	g.register(e.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), first))
	listed := waitResults(t, g, "s", 1)
	require.Eventually(t, func() bool { return len(e.runs()) == 2 }, 5*time.Second, time.Millisecond)
	require.NoError(t, g.End(context.Background(), Principal{}, "s"))
	require.NoError(t, g.Accept(context.Background(), route(g), second))
	require.Len(t, waitResults(t, g, "t", 2), 2)
	again, err := g.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Equal(t, listed[0], again.Results[0])
}

// The bodies of a step that takes many records and pages must be read from a host that never saw it.
func TestBodiesOfALargeStepAreRead(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	a.table(nil)
	s := newStep("s", 15)
	for i := range s.Items {
		s.Items[i].Body = bytes.Repeat([]byte{byte(i + 1)}, 100<<10)
	}
	require.NoError(t, a.Accept(context.Background(), route(a), s))
	for _, i := range s.Items {
		body, err := b.Body(context.Background(), Principal{}, "s", i.ID)
		require.NoError(t, err)
		require.Equal(t, i.Body, body)
	}
	_, err := b.Body(context.Background(), Principal{}, "s", "other")
	require.True(t, outcome.HasReason(err, outcome.ReasonUnknownName))
}

// A partition whose checkpoint does not fit into one call has none. Its steps must be read all the same.
func TestStepsAreReadWithoutACheckpointThatIsTooLarge(t *testing.T) {
	const steps, callBytes = 100, 4 << 10
	l := newLog()
	a := newHost(t, "a", l.Functions())
	a.s.Log.RecordBytes, a.s.Log.CallBytes = callBytes, callBytes
	v := a.journal.view(0)
	ids := partitionIDs(0, steps)
	for _, id := range ids {
		s := newStep(id, 1)
		acceptAt(t, v, s, a.self, time.Now())
		appendResult(t, v, s, 0)
	}
	require.NoError(t, v.sync(context.Background()))
	v.writeCheckpoint()
	n, err := l.Functions().Newest(context.Background(), partitionlog.Partition{Topic: checkpointsTopic})
	require.NoError(t, err)
	require.Empty(t, n.Records)
	b := newHost(t, "b", l.Functions())
	for _, id := range ids {
		r, err := b.Results(context.Background(), Principal{}, id, 0, 0)
		require.NoError(t, err)
		require.Len(t, r.Results, 1)
	}
}

// partitionIDs returns the IDs of n steps in a partition.
func partitionIDs(part, n int) []string {
	var r []string
	for i := 0; len(r) < n; i++ {
		if id := fmt.Sprint("step-", i); stepjournal.PartitionOf(id, testParts) == part {
			r = append(r, id)
		}
	}
	return r
}
