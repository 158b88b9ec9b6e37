package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/loadplan"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
)

// fakeEngines implements the control calls of engines. An order takes effect at once,
// unless lost is set: then it gets no answer and never takes effect.
type fakeEngines struct {
	mu       sync.Mutex
	orders   []Order
	versions map[string]int64
	lost     bool
}

func (l *fakeEngines) engines() EngineControl {
	return EngineControl{
		Order: func(_ context.Context, o Order) error {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.orders = append(l.orders, o)
			if l.lost {
				return outcome.Ambiguous(outcome.ReasonConnectionLost, o.Server.ID, nil)
			}
			l.versions[o.Server.ID] = o.Version
			return nil
		},
		Report: func(_ context.Context, s directory.Server) (Report, error) {
			l.mu.Lock()
			defer l.mu.Unlock()
			return Report{Versions: map[string]int64{"m": l.versions[s.ID]}, Orders: 7}, nil
		},
	}
}

func (l *fakeEngines) received() []Order {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Order(nil), l.orders...)
}

// newOrderingHost returns a host that may take the order lease, with one engine at version
// 1.
func newOrderingHost(t *testing.T, l *fakeEngines) *Gateway {
	return newOrderingHostAt(t, l, newLog().Functions())
}

// newOrderingHostAt is newOrderingHost with a given log.
func newOrderingHostAt(t *testing.T, l *fakeEngines, log partitionlog.Log) *Gateway {
	g := newHost(t, "a", log)
	g.table(nil)
	g.engines = l.engines()
	g.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 1}, Slots: 1})
	g.watch.rank.Store(0)
	g.wg.Go(g.orders.run)
	return g
}

func TestNamedVersionIsOrderedOnce(t *testing.T) {
	l := &fakeEngines{versions: map[string]int64{"e1": 1}}
	g := newOrderingHost(t, l)
	g.tables.putVersion("m", 2)
	require.Eventually(t, func() bool { return len(l.received()) == 1 }, 5*time.Second, 5*time.Millisecond)
	time.Sleep(2 * loadDuration)
	o := l.received()
	require.Len(t, o, 1)
	require.EqualValues(t, 2, o[0].Version)
	require.EqualValues(t, 7, o[0].Expected, "the order must state the number of orders accepted before, so that a delayed one is rejected")
	require.Positive(t, o[0].Fence)
}

// An order had to be sent within 0.4 s after its record was, which a slow log takes to acknowledge it:
// no engine got new weights.
func TestLoadsAreOrderedThoughTheLogIsSlow(t *testing.T) {
	var pages atomic.Int64
	l := &fakeEngines{versions: map[string]int64{"e1": 1}}
	g := newOrderingHostAt(t, l, slowLog(newLog().Functions(), 500*time.Millisecond, &pages))
	require.Eventually(t, func() bool { return g.peerLog.latency() > 400*time.Millisecond }, 5*time.Second, 10*time.Millisecond)
	g.tables.putVersion("m", 2)
	require.Eventually(t, func() bool { return len(l.received()) == 1 }, 5*time.Second, 5*time.Millisecond)
}

// An order that is delayed for too long after the record that announces it must not be
// sent, since a successor may hold the lease by then.
func TestOrderLongAfterItsRecordIsNotGiven(t *testing.T) {
	l := &fakeEngines{versions: map[string]int64{}}
	g := newHost(t, "a", newLog().Functions())
	g.engines = l.engines()
	_, err := g.orders.carryOut(directory.Server{ID: "e1"},
		loadplan.Load{Server: "e1", Model: "m", Version: 2}, term{fence: 1})
	require.True(t, outcome.HasReason(err, outcome.ReasonStaleFence))
	require.Empty(t, l.received())
}

// If an order is lost on its way, the engine reports that it is idle without the version.
// The load must fail on that, before loadTimeout, so that another engine can load.
func TestLostOrderIsGivenUp(t *testing.T) {
	l := &fakeEngines{versions: map[string]int64{}, lost: true}
	g := newHost(t, "a", newLog().Functions())
	g.engines = l.engines()
	until := boottime.Now() + time.Minute
	busy, err := g.orders.carryOut(directory.Server{ID: "e1"},
		loadplan.Load{Server: "e1", Model: "m", Version: 2}, term{fence: 1, until: until})
	require.True(t, outcome.HasReason(err, outcome.ReasonConflict))
	require.False(t, busy)
	require.Len(t, l.received(), 1)
}

// An engine that answers with older weights than its registration states must be avoided
// for some time instead of being tried again and again.
func TestEngineWithOlderWeightsIsAvoided(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
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

// Orders to a server that does not carry them out must become less and less frequent.
func TestServerThatLoadsNothingIsLeftAlone(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	for want := initialExclusion; want < 2*maxExclusion; want *= 2 {
		g.orders.loadEnded(&activeLoad{
			load:      loadplan.Load{Server: "e1", Model: "m", Version: 2},
			startedAt: time.Now(), err: outcome.Refuse(outcome.ReasonConflict, "e1"),
		})
		require.InDelta(t, min(want, maxExclusion), time.Until(g.orders.excluded["e1"].until), float64(time.Second))
	}
	g.orders.loadEnded(&activeLoad{load: loadplan.Load{Server: "e1", Model: "m", Version: 2}, startedAt: time.Now()})
	require.Empty(t, g.orders.excluded)
}

// The holder of the lease is restarted while it has no rank. It must take the lease without
// waiting for its expiry, with a higher fencing token.
func TestRestartedHolderOrdersAtOnce(t *testing.T) {
	l := newLog()
	before := &fakeEngines{versions: map[string]int64{"e1": 1}}
	old := newHost(t, "a", l.Functions())
	old.table(nil)
	old.engines = before.engines()
	old.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 1}, Slots: 1})
	old.watch.rank.Store(0)
	old.wg.Go(old.orders.run)
	old.tables.putVersion("m", 2)
	require.Eventually(t, func() bool { return len(before.received()) == 1 }, 5*time.Second, 5*time.Millisecond)
	old.Close()

	after := &fakeEngines{versions: map[string]int64{"e1": 2}}
	now := newHost(t, "a", l.Functions())
	now.table(nil)
	now.engines = after.engines()
	now.register(directory.Server{ID: "e1", Service: "engines", Versions: map[string]int64{"m": 2}, Slots: 1})
	now.tables.putVersion("m", 3)
	now.wg.Go(now.orders.run)
	require.Eventually(t, func() bool { return len(after.received()) == 1 }, 5*time.Second, 5*time.Millisecond)
	require.Greater(t, after.received()[0].Fence, before.received()[0].Fence)
}

// After the lease has expired, the host of the lowest partition may take it first, hosts of
// other partitions later, and a host without partitions never.
func TestLapsedLeaseIsTakenByRank(t *testing.T) {
	const ttl = 3 * time.Second
	tests := map[string]struct {
		rank int64
		wait time.Duration
		want bool
	}{
		"lowest":             {0, ttl + orderlease.SafetyMargin, true},
		"lowest, too early":  {0, ttl, false},
		"second":             {1, ttl + orderlease.SafetyMargin, false},
		"second, a bit on":   {1, ttl + orderlease.SafetyMargin + rankStep, true},
		"without partitions": {unranked, time.Hour, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.watch.rank.Store(c.rank)
			g.orders.lease.Read(0, &orderlease.Record{Holder: "b-1", HostID: "b"}, time.Minute)
			require.Equal(t, c.want, g.orders.mayTakeLease(time.Minute+c.wait))
		})
	}
}

// An append to the orders' topic is made, but its answer is lost. The holder of the lease
// must not wait for it: its record shows that it was made. A record of an earlier append that
// was made late shows nothing.
func TestAppendWithoutAnswerIsReadBack(t *testing.T) {
	tests := map[string]struct {
		// made returns the records that reach the log in place of the one that is sent.
		made func(r orderlease.Record) *orderlease.Record
		want bool
	}{
		"made":                     {func(r orderlease.Record) *orderlease.Record { return &r }, true},
		"not made":                 {func(orderlease.Record) *orderlease.Record { return nil }, false},
		"an earlier one made late": {func(r orderlease.Record) *orderlease.Record { r.Append--; return &r }, false},
		"another host's": {
			func(r orderlease.Record) *orderlease.Record { r.Holder, r.HostID = "b", "b"; return &r }, false,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog().Functions()
			lost := l
			lost.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
				r, err := orderlease.Decode(q.Records[0])
				require.NoError(t, err)
				if m := c.made(*r); m != nil {
					b, err := m.Encode()
					require.NoError(t, err)
					q.Records = [][]byte{b}
					_, err = l.Append(ctx, q)
					require.NoError(t, err)
				}
				<-ctx.Done()
				return partitionlog.AppendResult{}, outcome.Ambiguous(outcome.ReasonSilent, "append", nil)
			}
			g := newHost(t, "a", lost)
			g.table(nil)
			start := time.Now()
			require.Equal(t, c.want, g.orders.append(nil))
			require.Equal(t, c.want, g.orders.lease.Holds(boottime.Now()))
			if c.want {
				require.Less(t, time.Since(start), 500*time.Millisecond)
			}
		})
	}
}
