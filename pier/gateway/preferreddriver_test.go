package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backoff"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/stepjournal"
)

// oneEvent answers as an engine whose texts have one event.
func oneEvent(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 1, 0) }

// driverOf returns the host that the journal names as the driver of a step, as this host reads it.
func (g *Gateway) driverOf(t *testing.T, step string) string {
	t.Helper()
	v := g.journal.follow(step)
	require.NoError(t, v.sync(context.Background()))
	e, _, ok := v.entry(step)
	require.True(t, ok)
	return e.Driver.Host
}

// Steps of one model arrive at several hosts. The host that accepted the first one must
// drive them all, over its existing connections to the engines.
func TestStepsGoToTheirModelsHome(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	startEngine(t, oneEvent, a, b)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s1", 2)))
	waitResults(t, a, "s1", 2)
	require.Eventually(t, func() bool { a.preferred.mu.Lock(); defer a.preferred.mu.Unlock(); return len(a.preferred.all) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, b.Accept(context.Background(), route(b), newStep("s2", 2)))
	waitResults(t, b, "s2", 2)
	require.Equal(t, a.self.Host, b.driverOf(t, "s2"))
}

// If the preferred driver is gone, the host that accepted the step must drive it and become
// the preferred driver.
func TestStepWithoutItsHomeIsDrivenWhereItCameIn(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	e := startServer(t, "e1", "engines", oneEvent)
	b.table(nil)
	b.register(e.Server)
	a.preferred.claim("m")
	a.Close()
	require.NoError(t, b.Accept(context.Background(), route(b), newStep("s", 2)))
	waitResults(t, b, "s", 2)
	r, ok := b.preferred.lookup(context.Background(), "m")
	require.True(t, ok)
	require.Equal(t, b.self.Host, r.Driver.Host)
}

// A host with a larger processor share must not leave steps to a preferred driver with a
// smaller one.
func TestStrongerHostBecomesHome(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	a.preferred.claim("m")
	b.s.ProcessorShare = 0.8
	d, claim := b.preferred.choose(context.Background(), "m")
	require.Equal(t, b.self.Host, d.Host)
	require.True(t, claim)
}

// A preferred driver that cannot reach the log must refuse a hand-off and not drive the
// step.
func TestHostCutOffDrivesNothing(t *testing.T) {
	l := newLog().Functions()
	l.Members = func(ctx context.Context, _ string) ([]partitionlog.Member, error) {
		<-ctx.Done()
		return nil, outcome.Ambiguous(outcome.ReasonSilent, "log", ctx.Err())
	}
	a, b := newHost(t, "a", l), newHost(t, "b", newLog().Functions())
	a.table(nil)
	a.listenPeers(t)
	a.logHealth.answerAt.Store(int64(boottime.Now() - time.Minute))
	err := b.peers.Probe(context.Background(), a.self.Peers, kindHandOff,
		&handOffRequest{Host: a.self.Host, Step: newStep("s", 1)}, nil)
	require.Error(t, err)
	require.Zero(t, a.steps.count())
}

// An outage of the log is over, and no call of the preferred driver has been answered yet. It
// must take a step that another host could already store.
func TestHandOffRightAfterAnOutageIsAccepted(t *testing.T) {
	a, b := newHost(t, "a", newLog().Functions()), newHost(t, "b", newLog().Functions())
	a.table(nil)
	a.listenPeers(t)
	a.logHealth.answerAt.Store(int64(boottime.Now() - 2*driveMaxLogSilence))
	err := b.peers.Call(context.Background(), a.self.Peers, kindHandOff,
		&handOffRequest{Host: a.self.Host, Step: newStep("s", 1)}, nil)
	require.NoError(t, err)
}

// A host that does not follow the step's partition gets results and bodies from the
// preferred driver. Once that host is gone, it reads the log itself.
func TestListsComeFromTheHome(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	e := startServer(t, "e1", "engines", oneEvent)
	a.table(nil)
	a.register(e.Server)
	a.listenPeers(t)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	first := waitResults(t, a, "s", 3)
	a.preferred.claim("m")
	list := func() []string {
		n, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
		require.NoError(t, err)
		require.Equal(t, 3, n.Total)
		var ids []string
		for _, r := range n.Results {
			ids = append(ids, r.ID)
		}
		return ids
	}
	want := []string{first[0].ID, first[1].ID, first[2].ID}
	require.Equal(t, want, list())
	body, err := b.Body(context.Background(), Principal{}, "s", first[0].ID)
	require.NoError(t, err)
	require.Equal(t, []byte("p"), body)
	_, follows := b.journal.following("s")
	require.False(t, follows, "the results must come from the preferred driver")
	a.Close()
	require.Equal(t, want, list())
	_, follows = b.journal.following("s")
	require.True(t, follows)
}

// newRestartedHost returns the current incarnation of a restarted host, and another host.
// The previous incarnation is the model's preferred driver.
func newRestartedHost(t *testing.T, l *memlog.Log) (now, other *Gateway) {
	t.Helper()
	old, now, other := newHost(t, "a", l.Functions()), newHost(t, "a", l.Functions()),
		newHost(t, "b", l.Functions())
	for _, g := range []*Gateway{now, other} {
		g.table(nil)
		g.listenPeers(t)
	}
	old.self.Peers = now.self.Peers
	old.preferred.claim("m")
	return now, other
}

// A restarted preferred driver is a new incarnation. It takes over the steps that name its
// previous incarnation as driver with a takeover record, without waiting, and stays the
// preferred driver. No sample may run twice.
func TestRestartedHomeTakesOverTheStepsOfItsFormerSelf(t *testing.T) {
	a, b := newRestartedHost(t, newLog())
	e := startServer(t, "e1", "engines", oneEvent)
	a.register(e.Server)
	b.register(e.Server)
	require.NoError(t, b.Accept(context.Background(), route(b), newStep("s", 2)))
	waitResults(t, b, "s", 2)
	require.Equal(t, a.self.Host, b.driverOf(t, "s"))
	require.Len(t, e.runs(), 2)
}

// A restarted host must become the preferred driver of the models of its previous
// incarnation at once.
func TestRestartedHomeReclaimsItsModels(t *testing.T) {
	a, b := newRestartedHost(t, newLog())
	a.preferred.reclaim()
	d, claim := b.preferred.choose(context.Background(), "m")
	require.Equal(t, a.self.Host, d.Host)
	require.False(t, claim)
}

// Only a driver with this host's name and peer address is an incarnation of this host.
func TestFormerSelf(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	tests := map[string]struct {
		d    stepjournal.Driver
		want bool
	}{
		"former":          {stepjournal.Driver{Host: "a-000000000000", Peers: g.self.Peers}, true},
		"another address": {stepjournal.Driver{Host: "a-000000000000", Peers: netip.MustParseAddrPort("127.0.0.1:9")}, false},
		"another name":    {stepjournal.Driver{Host: "b-000000000000", Peers: g.self.Peers}, false},
		"a longer name":   {stepjournal.Driver{Host: "a-1-000000000000", Peers: g.self.Peers}, false},
		"nobody":          {stepjournal.Driver{}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, g.preferred.isOwnIncarnation(c.d)) })
	}
}

// If a new incarnation answers at the address of a step's driver, the step must be taken
// over at the first check.
func TestStepOfFormerIncarnationIsTakenAtOnce(t *testing.T) {
	l := newLog()
	old, now, b := newHost(t, "a", l.Functions()), newHost(t, "a", l.Functions()),
		newHost(t, "b", l.Functions())
	e := startServer(t, "e1", "engines", oneEvent)
	for _, g := range []*Gateway{now, b} {
		g.table(nil)
		g.listenPeers(t)
	}
	old.self.Peers = now.self.Peers
	old.table(nil)
	require.NoError(t, old.Accept(context.Background(), route(old), newStep("s", 1)))
	old.Close()
	b.register(e.Server)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	v := b.journal.followPartition(b.watch.partitions[0])
	require.NoError(t, v.sync(context.Background()))
	b.watch.checkSteps()
	require.True(t, b.steps.isDriving("s") || len(e.runs()) == 1)
	waitResults(t, b, "s", 1)
}

// Guards against readings of the preferred drivers that are given up and begun again for each step
// while the log is slow, and never come to their end.
func TestPreferredDriversAreReadFromASlowLog(t *testing.T) {
	const latency = preferredDriversTimeout + 100*time.Millisecond
	l := newLog()
	a := newHost(t, "a", l.Functions())
	a.preferred.claim("m")
	f := l.Functions()
	var readings atomic.Int64
	f.Newest = func(ctx context.Context, at partitionlog.Partition) (partitionlog.Newest, error) {
		readings.Add(1)
		if !backoff.Sleep(ctx, latency) {
			return partitionlog.Newest{}, outcome.Ambiguous(outcome.ReasonDeadline, at.Topic, ctx.Err())
		}
		return l.Functions().Newest(ctx, at)
	}
	b := newHost(t, "b", f)
	var w sync.WaitGroup
	for range 10 {
		w.Go(func() { b.preferred.lookup(context.Background(), "m") })
	}
	w.Wait()
	require.Eventually(t, func() bool {
		r, _ := b.preferred.lookup(context.Background(), "m")
		return r.Driver.Host == a.self.Host
	}, 5*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 1, readings.Load())
}
