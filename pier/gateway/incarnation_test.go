package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// startReplaced starts a server that is registered as software 1 and has started again under its
// id as software 2, which its registration does not state yet.
func startReplaced(t *testing.T, service string) *server {
	t.Helper()
	s := startSoftware(t, service, "2", 1, 0, &cutOnce{})[0]
	s.Software, s.Born, s.states = "1", time.UnixMilli(1), &atomic.Int64{}
	s.states.Store(2)
	return s
}

// engineStreams sets a configuration whose plain route takes streams of engines.
func (g *Gateway) engineStreams() {
	g.table(func(_, plain *routetable.Route) {
		plain.Kind, plain.Resumable, plain.Attempts = routetable.KindStream, true, 3
		plain.Services = []routetable.WeightedService{{Service: "engines", Weight: 1}}
	})
}

// A caller takes its stream up while the only server that is registered with its software has
// started again as another one.
func TestStreamIsNotContinuedByAServerThatStartedAgainAsOtherSoftware(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.engineStreams()
	first := startSoftware(t, "engines", "1", 1, 3, &cutOnce{})
	g.registerAll(first)
	begun, _, err := readStream(g, streamCall(g, "s", "", 0))
	require.NoError(t, err)
	require.Len(t, begun, 3)
	again := startReplaced(t, "engines")
	first[0].Leaving = true
	g.registerAll(first, []*server{again})
	_, _, err = readStream(g, streamCall(g, "s2", "s", 3))
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	require.Equal(t, outcome.ReasonOtherIncarnation, outcome.AsError(err).Reason)
	require.Empty(t, again.runs())
}

// A sample begins at a server that has started again, and breaks off: what began it must be known
// when a server of the software that the registration stated has room.
func TestSampleIsNotBegunAtAServerThatStartedAgain(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	again := startReplaced(t, "engines")
	g.register(again.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 4)))
	require.Never(t, func() bool { return len(again.runs()) > 0 }, 300*time.Millisecond, 5*time.Millisecond)
	again.Software, again.Born = "2", time.UnixMilli(2)
	g.register(again.Server)
	r := waitResults(t, g, "s", 4)
	requireOneSoftware(t, r)
}

// Registered servers that do not state their start are used as registered.
func TestServersThatStateNoStartGetSamples(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	g.registerAll(startSoftware(t, "engines", "1", 1, 0, &cutOnce{}))
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 4)))
	for _, x := range waitResults(t, g, "s", 4) {
		require.Equal(t, stepjournal.Completed, x.State)
	}
}

// A server that states no start has started again under its id while a sample ran there: the text
// is generated anew, as it is not known what began it.
func TestTextOfAServerThatWasReplacedIsDiscarded(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	release := make(chan struct{})
	a := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testDialect.ResumeAfter) == "" {
			<-release
		}
		streamOf("2", w, r, 3, 0)
	})
	a.Software, a.Born = "1", time.UnixMilli(1)
	g.register(a.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 1)))
	require.Eventually(t, func() bool { return len(a.runs()) == 1 }, 5*time.Second, time.Millisecond)
	a.Software, a.Born, a.Leaving = "2", time.UnixMilli(2), true
	g.register(a.Server)
	g.registerAll(startSoftware(t, "engines", "1", 2, 0, &cutOnce{}))
	close(release)
	r := waitResults(t, g, "s", 1)
	require.Equal(t, textOf("1"), r[0].Text)
}
