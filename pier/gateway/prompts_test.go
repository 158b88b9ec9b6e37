package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/promptload"
	"mulberrypier.example/pier/routetable"
)

const longPromptTokens = 30_000

// measurePrompts has a host know a load of short prompts and some long ones, which take 100 ms longer to read.
func (g *Gateway) measurePrompts(service string) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	b, sent := g.fleet.promptsOf(service), time.Now()
	for i := range 400 {
		p, took := promptload.Prompt{Tokens: 500}, time.Millisecond
		if i%10 == 0 {
			p.Tokens, took = longPromptTokens, 101*time.Millisecond
		}
		b.Sent("e", &p, sent).Read(sent.Add(took))
	}
}

func (g *Gateway) unreadTokens(s *server) int {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	return g.fleet.promptsOf(s.Service).UnreadTokens(s.ID)
}

// Guards against a long prompt that is held back and holds others up, is not started once the engine has
// read the one before, or stays in the books.
func TestLongPromptIsHeldUntilTheEngineHasReadAnother(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	read := make(chan struct{})
	e := startEngine(t, func(_ *server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testDialect.RequestID) == "s-0" {
			<-read
		}
		stream(w, r, 1, 3, 0)
	}, g)
	g.measurePrompts("engines")
	s := newStep("s", 3)
	s.Items[0].PromptTokens, s.Items[1].PromptTokens, s.Items[2].PromptTokens = longPromptTokens, longPromptTokens, 500
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	waitResults(t, g, "s", 1)
	// A long prompt that is read faster than measured is no long one any more.
	time.Sleep(120 * time.Millisecond)
	require.ElementsMatch(t, []string{"s-0@", "s-2@"}, e.runs())
	require.Equal(t, longPromptTokens, g.unreadTokens(e))
	close(read)
	began := time.Now()
	waitResults(t, g, "s", 3)
	require.Less(t, time.Since(began), promptload.UrgentAfter)
	require.Zero(t, g.unreadTokens(e))
	count := func(r promptload.Reason) float64 {
		return testutil.ToFloat64(g.metrics.promptPlacements.WithLabelValues(promptOfSample, string(r)))
	}
	require.EqualValues(t, 1, count(promptload.Held))
	require.EqualValues(t, 2, count(promptload.Placed))
	require.EqualValues(t, 1, count(promptload.BehindLong))
}

// Guards against a long prompt that starves as an engine never sends its first event.
func TestLongPromptIsStartedThoughAnotherIsNeverRead(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	stop := make(chan struct{})
	defer close(stop)
	e := startEngine(t, func(_ *server, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(testDialect.RequestID) == "s-0" {
			select {
			case <-stop:
			case <-r.Context().Done():
			}
			return
		}
		stream(w, r, 1, 3, 0)
	}, g)
	g.measurePrompts("engines")
	s := newStep("s", 2)
	s.Items[0].PromptTokens, s.Items[1].PromptTokens = longPromptTokens, longPromptTokens
	began := time.Now()
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	waitResults(t, g, "s", 1)
	require.Less(t, time.Since(began), 2*time.Second)
	require.GreaterOrEqual(t, time.Since(began), promptload.UrgentAfter)
	require.Len(t, e.runs(), 2)
}

// Guards against a caller's stream that waits behind a long prompt while another engine has read all its
// prompts, and against a caller whose long prompt is held back.
func TestStreamsGoAroundEnginesThatReadALongPrompt(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(func(_, plain *routetable.Route) {
		plain.Kind, plain.Services[0].Service = routetable.KindStream, "engines"
	})
	read := make(chan struct{})
	defer close(read)
	handle := func(_ *server, w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		if strings.HasPrefix(r.Header.Get(testDialect.RequestID), "long") {
			select {
			case <-read:
			case <-r.Context().Done():
			}
		}
		_, _ = io.WriteString(w, "id: 1\ndata: t\n\n")
	}
	servers := []*server{startServer(t, "e1", "engines", handle), startServer(t, "e2", "engines", handle)}
	for _, s := range servers {
		g.register(s.Server)
	}
	g.measurePrompts("engines")
	do := func(id, tokens string) *Answer {
		c := call(g)
		c.ID, c.Header = id, http.Header{testDialect.TokenCounts: {tokens + ",9"}}
		a, err := g.Do(context.Background(), c)
		require.NoError(t, err)
		return a
	}
	first := do("long-1", "30000")
	defer first.Close()
	require.Equal(t, "e1", first.Server.ID)
	require.Equal(t, longPromptTokens, g.unreadTokens(servers[0]))
	var short []*Answer
	for range 3 {
		a := do("short", "500")
		require.Equal(t, "e2", a.Server.ID)
		short = append(short, a)
	}
	for _, a := range short {
		require.NoError(t, a.readRest())
		a.Close()
	}
	second := do("long-2", "30000")
	require.Equal(t, "e2", second.Server.ID)
	third := do("long-3", "30000")
	second.Close()
	third.Close()
	first.Close()
	require.Zero(t, g.unreadTokens(servers[0])+g.unreadTokens(servers[1]))
}
