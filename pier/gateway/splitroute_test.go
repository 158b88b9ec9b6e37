package gateway

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// split has the routes share their requests between two services: "engines" and "engines-new",
// "desk" and "desk-new", with the given weights.
func (g *Gateway) split(old, latest int) {
	two := func(a, b string) []routetable.WeightedService {
		return []routetable.WeightedService{{Service: a, Weight: old}, {Service: b, Weight: latest}}
	}
	g.table(func(gen, plain *routetable.Route) {
		gen.Services, plain.Services = two("engines", "engines-new"), two("desk", "desk-new")
		plain.Attempts = 4
	})
	t := g.Table()
	t.Services["engines-new"] = &routetable.Service{Name: "engines-new", Models: []string{"m"}, Slots: 4}
	t.Services["desk-new"] = &routetable.Service{Name: "desk-new"}
}

// startSlowEngine starts and registers an engine whose texts have five events.
func startSlowEngine(t *testing.T, g *Gateway, id, service string, pause time.Duration) *server {
	t.Helper()
	e := startServer(t, id, service, func(_ *server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(pause)
		stream(w, r, 1, 5, 0)
	})
	g.register(e.Server)
	return e
}

// Guards against a step that waits for ever for the first service of its route, which has no server.
func TestItemsUseTheServicesThatHaveServers(t *testing.T) {
	for _, with := range []string{"engines", "engines-new"} {
		t.Run(with, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.split(50, 50)
			startSlowEngine(t, g, "e1", with, 0)
			require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 20)))
			waitResults(t, g, "s", 20)
		})
	}
}

// Items must follow the weights of their route as long as there are free slots.
func TestItemsFollowTheWeights(t *testing.T) {
	const items = 200
	g := newHost(t, "a", newLog().Functions())
	g.split(25, 75)
	old, latest := startSlowEngine(t, g, "e1", "engines", 0), startSlowEngine(t, g, "e2", "engines-new", 0)
	old.Slots, latest.Slots = items, items
	g.register(old.Server, latest.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", items)))
	waitResults(t, g, "s", items)
	require.InDelta(t, 0.25*items, len(old.runs()), 25)
	require.InDelta(t, 0.75*items, len(latest.runs()), 25)
}

// The service that an item prefers is full for long. It must not wait for it while others are idle.
func TestItemsOfAFullServiceUseAnother(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.split(90, 10)
	e := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	e.Slots = 1
	g.register(e.Server)
	startSlowEngine(t, g, "e2", "engines-new", 0)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 20)))
	waitResults(t, g, "s", 19)
}

// Guards against items that stay with a service whose last server was lost while they ran.
func TestItemsLeaveAServiceWhoseServersAreLost(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.split(50, 50)
	lost := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		stream(w, r, 1, 5, 2)
	})
	lost.Slots = 50
	g.register(lost.Server)
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s", 10)))
	require.Eventually(t, func() bool { return len(lost.runs()) >= 10 }, 5*time.Second, time.Millisecond)
	latest := startSlowEngine(t, g, "e2", "engines-new", 0)
	g.fleet.put(lost.ID, nil, 1, time.Now())
	g.fleet.readDone(nil)
	for _, r := range waitResults(t, g, "s", 10) {
		require.Equal(t, "t1\nt2\nt3\nt4\nt5", r.Text)
	}
	for _, r := range latest.runs() {
		require.Equal(t, byte('@'), r[len(r)-1], "a text of another service is not continued")
	}
}

// Guards against items of a service without servers that hold up those of another route.
func TestItemsOfAServiceWithoutServersHoldUpNoOthers(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	services := []*routetable.Service{{Name: "engines", Models: []string{"m"}}, {Name: "engines-old", Models: []string{"m"}}}
	of := func(prefix, service string) *routetable.Route {
		return &routetable.Route{
			Name: prefix, Host: "h", Prefix: prefix, Kind: routetable.KindRollout, Attempts: 3,
			Services: []routetable.WeightedService{{Service: service, Weight: 1}}, AbandonAfter: time.Minute,
		}
	}
	g.tables.table.Store(routetable.New(1, []*routetable.Route{of("/gen/", "engines"), of("/gen/old/", "engines-old")}, services, routetable.Limits{}))
	startSlowEngine(t, g, "e1", "engines", 0)
	s := newStep("s", 10)
	for i := range 5 {
		s.Items[i].Path = "/gen/old/x"
		s.Items[i].ExpectedTokens = 1000
	}
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	waitResults(t, g, "s", 5)
}

// Guards against calls to scorers that go to a service without servers at each retry.
func TestScorerCallsLeaveAServiceWithoutServers(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.split(50, 50)
	startSlowEngine(t, g, "e1", "engines", 0)
	scorers := startScorers(t, g, 2, func() int { return http.StatusOK })
	s := newStep("s", 20)
	for i := range s.Items {
		s.Items[i].Scorer = &stepjournal.Call{ID: fmt.Sprint("c", i), Host: "h", Path: "/plain/x"}
	}
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	start := time.Now()
	for _, r := range waitResults(t, g, "s", 20) {
		require.Equal(t, "score", r.Score)
	}
	require.Less(t, time.Since(start), 3*time.Second)
	require.Equal(t, 20, totalRuns(scorers))
}

// A caller's request must be answered as long as one service of its route has a server.
func TestCallsUseTheServicesThatHaveServers(t *testing.T) {
	for _, kind := range []routetable.Kind{routetable.KindIdempotent, routetable.KindOnce} {
		t.Run(string(kind), func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.split(50, 50)
			g.Table().Match("h", "/plain/x").Kind = kind
			startScorers(t, g, 1, func() int { return http.StatusOK })
			for i := range 20 {
				a, err := g.Do(context.Background(), Call{
					Route: g.Table().Match("h", "/plain/x"), Method: http.MethodPost, Target: "/plain/x", Host: "h", ID: fmt.Sprint(i),
					Deadline: time.Now().Add(time.Second), Purpose: backend.PurposeCall,
				})
				require.NoError(t, err)
				require.Equal(t, http.StatusOK, a.Status)
				a.Close()
			}
		})
	}
}
