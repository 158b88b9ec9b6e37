package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
)

// Guards against engines that stay idle while samples wait for a version that they do not hold.
func TestSamplesThatWaitForAVersionAskForEngines(t *testing.T) {
	l := newLog()
	hosts := startHosts(t, l.Functions(), 2)
	driver, holder := hosts[0], hosts[1]
	for _, g := range hosts {
		g.table(nil)
		g.orders.notices.setHolder(holder.hostID())
	}
	busy := startServer(t, "e1", "engines", func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	busy.Versions, busy.Slots = map[string]int64{"m": 2}, 4
	idle := startServer(t, "e2", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 2, 1, 0) })
	driver.register(busy.Server, idle.Server)
	s := newStep("s", 13)
	s.MinVersion = 2
	require.NoError(t, driver.Accept(context.Background(), route(driver), s))
	want := map[string]loadplan.Demand{"m": {Oldest: 2, Servers: 3}}
	require.Eventually(t, func() bool {
		return holder.orders.demands.byModel(boottime.Now())["m"] == want["m"]
	}, 5*time.Second, 10*time.Millisecond)
	require.Empty(t, idle.runs())
	driver.fleet.ordered(orderlease.Load{Server: "e2", Model: "m", Version: 2}, time.Now().Add(-loadDuration))
	require.Eventually(t, func() bool { return len(idle.runs()) == 9 }, 5*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool { return len(holder.orders.demands.byModel(boottime.Now())) == 0 }, 3*demandLifetime, 10*time.Millisecond)
}

func TestDemandsOfSeveralDriversAddUp(t *testing.T) {
	l := newDemands()
	now := time.Minute
	require.NoError(t, l.add(demand{Host: "a", Model: "m", Oldest: 3, Servers: 2}, now))
	require.NoError(t, l.add(demand{Host: "b", Model: "m", Oldest: 4, Servers: 1}, now))
	require.NoError(t, l.add(demand{Host: "b", Model: "n", Oldest: 1, Servers: -7}, now))
	require.Equal(t, map[string]loadplan.Demand{"m": {Oldest: 4, Servers: 3}, "n": {Oldest: 1}}, l.byModel(now))
	l.met("m")
	require.Equal(t, map[string]loadplan.Demand{"n": {Oldest: 1}}, l.byModel(now))
	require.Empty(t, l.byModel(now+2*demandLifetime))
}

// A load was announced, and the holder of the order lease was lost before it gave the order: the
// server must not count as one that holds the version for ever.
func TestAnnouncedLoadThatWasNotCarriedOutIsForgotten(t *testing.T) {
	tests := map[string]struct {
		registered int64
		after      time.Duration
		want       int64
	}{
		"not carried out":          {1, loadDuration + loadTimeout + time.Second, 1},
		"may be under way":         {1, loadDuration, 2},
		"carried out, as it seems": {2, loadDuration + loadTimeout + time.Second, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			e := startServer(t, "e1", "engines", func(*server, http.ResponseWriter, *http.Request) {})
			g.register(e.Server)
			announced := time.Now().Add(-time.Minute)
			g.fleet.ordered(orderlease.Load{Server: "e1", Model: "m", Version: 2}, announced)
			e.Versions = map[string]int64{"m": c.registered}
			g.register(e.Server)
			g.fleet.mu.Lock()
			g.fleet.forgetFailedLoads("e1", announced.Add(c.after))
			v := g.fleet.states["e1"].version(g.fleet.byID["e1"], "m", time.Now())
			g.fleet.mu.Unlock()
			require.Equal(t, c.want, v)
		})
	}
}
