package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
)

// loader plays the control calls of engines; an order takes effect at once unless
// lost is set, when it is not answered and never takes effect.
type fakeEngines struct {
	mu     sync.Mutex
	orders []Order
	have   map[string]int64
	lost   bool
}

func (l *fakeEngines) engines() Engines {
	return Engines{
		Order: func(_ context.Context, o Order) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.orders = append(l.orders, o)
			if l.lost {
				return outcome.Lost(outcome.ReasonConnectionLost, o.Server.ID, nil)
			}
			l.have[o.Server.ID] = o.Version
			return nil
		},
		Report: func(_ context.Context, s directory.Server) (Report, error) {
			l.mu.Lock()
			defer l.mu.Unlock()
			return Report{Versions: map[string]int64{"m": l.have[s.ID]}, Orders: 7}, nil
		},
	}
}

func (l *fakeEngines) given() []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Order(nil), l.orders...)
}

// ordering returns a host that may take the lease, with one engine at version 1.
func newOrderingHost(t *testing.T, l *fakeEngines) *Gateway {
	g := newHost(t, "a", newLog().Seam())
	g.table(nil)
	g.engines = l.engines()
	g.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 1}, Slots: 1})
	g.watch.rank.Store(0)
	g.wg.Go(g.orders.run)
	return g
}

func TestNamedVersionIsOrderedOnce(t *testing.T) {
	l := &fakeEngines{have: map[string]int64{"e1": 1}}
	g := newOrderingHost(t, l)
	g.tables.putVersion("m", 2)
	require.Eventually(t, func() bool { return len(l.given()) == 1 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(2 * loadDuration)
	o := l.given()
	require.Len(t, o, 1)
	require.EqualValues(t, 2, o[0].Version)
	require.EqualValues(t, 7, o[0].Expected, "a late order must find that others came before it")
	require.Positive(t, o[0].Fence)
}

// An announcement that went out too long ago gives no right to order any more.
func TestOrderLongAfterItsRecordIsNotGiven(t *testing.T) {
	l := &fakeEngines{have: map[string]int64{}}
	g := newHost(t, "a", newLog().Seam())
	g.engines = l.engines()
	_, err := g.orders.carryOut(directory.Server{ID: "e1"}, loadplan.Load{Server: "e1", Model: "m", Version: 2}, term{fence: 1})
	require.True(t, outcome.Is(err, outcome.ReasonStaleFence))
	require.Empty(t, l.given())
}

// An order is lost on its way: the engine is at work on none, so its place goes to
// another before the longest time of a load has passed.
func TestLostOrderIsGivenUp(t *testing.T) {
	l := &fakeEngines{have: map[string]int64{}, lost: true}
	g := newHost(t, "a", newLog().Seam())
	g.engines = l.engines()
	until := boottime.Now() + time.Minute
	busy, err := g.orders.carryOut(directory.Server{ID: "e1"}, loadplan.Load{Server: "e1", Model: "m", Version: 2}, term{fence: 1, until: until})
	require.True(t, outcome.Is(err, outcome.ReasonConflict))
	require.False(t, busy)
	require.Len(t, l.given(), 1)
}

// An engine answers with older weights than it is registered with: it is left
// alone for a while instead of being asked over and over.
func TestEngineWithOlderWeightsIsAvoided(t *testing.T) {
	g := newHost(t, "a", newLog().Seam())
	g.table(nil)
	e := startServer(t, "e1", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) })
	e.Versions = map[string]int64{"m": 5}
	g.register(e.Server)
	s := newStep("s", 1)
	s.MinVersion = 5
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	time.Sleep(1200 * time.Millisecond)
	require.Less(t, len(e.runs()), 6)
}

// Orders to a server that does not carry them out come ever more seldom.
func TestServerThatLoadsNothingIsLeftAlone(t *testing.T) {
	g := newHost(t, "a", newLog().Seam())
	for want := initialExclusion; want < 2*maxExclusion; want *= 2 {
		g.orders.loadEnded(&activeLoad{load: loadplan.Load{Server: "e1", Model: "m", Version: 2}, began: time.Now(), err: outcome.Refuse(outcome.ReasonConflict, "e1")})
		require.InDelta(t, min(want, maxExclusion), time.Until(g.orders.excluded["e1"].until), float64(time.Second))
	}
	g.orders.loadEnded(&activeLoad{load: loadplan.Load{Server: "e1", Model: "m", Version: 2}, began: time.Now()})
	require.Empty(t, g.orders.excluded)
}

// The holder of the lease is started again while the first partition is another
// host's: it takes the lease all the same, with a higher fence.
func TestRestartedHolderOrdersAtOnce(t *testing.T) {
	l := newLog()
	before := &fakeEngines{have: map[string]int64{"e1": 1}}
	old := newHost(t, "a", l.Seam())
	old.table(nil)
	old.engines = before.engines()
	old.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 1}, Slots: 1})
	old.watch.rank.Store(0)
	old.wg.Go(old.orders.run)
	old.tables.putVersion("m", 2)
	require.Eventually(t, func() bool { return len(before.given()) == 1 }, 5*time.Second, 5*time.Millisecond)
	old.Close()

	after := &fakeEngines{have: map[string]int64{"e1": 2}}
	now := newHost(t, "a", l.Seam())
	now.table(nil)
	now.engines = after.engines()
	now.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 2}, Slots: 1})
	now.tables.putVersion("m", 3)
	now.wg.Go(now.orders.run)
	require.Eventually(t, func() bool { return len(after.given()) == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Greater(t, after.given()[0].Fence, before.given()[0].Fence)
}

// The lease lapsed: the host of the first partition takes it first, one with another
// partition later, one with none never.
func TestLapsedLeaseIsTakenByRank(t *testing.T) {
	const ttl = 3 * time.Second
	tests := map[string]struct {
		rank int64
		wait time.Duration
		want bool
	}{
		"lowest":             {0, ttl + orderlease.Margin, true},
		"lowest, too early":  {0, ttl, false},
		"second":             {1, ttl + orderlease.Margin, false},
		"second, a bit on":   {1, ttl + orderlease.Margin + rankStep, true},
		"without partitions": {unranked, time.Hour, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Seam())
			g.watch.rank.Store(c.rank)
			g.orders.lease.Read(0, &orderlease.Record{Holder: "b-1", Machine: "b"}, time.Minute)
			require.Equal(t, c.want, g.orders.mayTakeLease(time.Minute+c.wait))
		})
	}
}
