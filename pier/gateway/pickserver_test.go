package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/directory"
)

// fleetOf returns the fleet of a host that knows n servers of the service "desk", of which each has just
// stated a load.
func fleetOf(tb testing.TB, g *Gateway, n int, load func(i int) backend.Load) *fleet {
	tb.Helper()
	for i := range n {
		g.register(directory.Server{ID: fmt.Sprint("s", i), Service: "desk", Domain: "d1", Slots: 6})
	}
	for i := range n {
		t := g.fleet.states[fmt.Sprint("s", i)]
		t.load, t.loadAt = load(i), time.Now().Add(time.Minute)
	}
	return g.fleet
}

// Servers that state no slowdown must get requests as before there was one: the first one of lowest cost.
// Of servers that state one, the slow machine must not be picked although it is idle.
func TestServersAreChosenByTheFiguresThatTheyState(t *testing.T) {
	tests := map[string]struct {
		load func(i int) backend.Load
		want map[string]int
	}{
		"three figures": {func(i int) backend.Load { return backend.Load{Running: 5 - i/2} }, map[string]int{"s2": 400}},
		"four figures": {
			func(i int) backend.Load { return backend.Load{Running: i, SlowdownPercent: 300 - 100*i} },
			map[string]int{"s1": 133, "s2": 267},
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			f := fleetOf(t, g, 3, c.load)
			f.random = rand.New(rand.NewPCG(1, 1)).IntN
			got := make(map[string]int)
			for range 400 {
				u, ok := f.pickServer(serverChoice{services: []string{"desk"}})
				require.True(t, ok)
				got[u.s.ID]++
				u.release()
			}
			require.Len(t, got, len(c.want))
			for s, n := range c.want {
				require.InDelta(t, n, got[s], 40, s)
			}
		})
	}
}

// A choice must take less than 20 us for the servers of a service.
func BenchmarkPickServer(b *testing.B) {
	for _, n := range []int{8, 100} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			g := newHost(b, "a", newLog().Functions())
			g.table(nil)
			f := fleetOf(b, g, n, func(i int) backend.Load { return backend.Load{Running: i % 6, SlowdownPercent: 100 + i} })
			for b.Loop() {
				u, _ := f.pickServer(serverChoice{services: []string{"desk"}})
				u.release()
			}
		})
	}
}
