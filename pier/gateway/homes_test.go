package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/stepjournal"
)

func oneLine(_ *server, w http.ResponseWriter, r *http.Request) { generate(w, r, 1, 1, 0) }

// Steps of one model come in at several hosts: the first one drives them all, over
// the connections that it has.
func TestStepsGoToTheirModelsHome(t *testing.T) {
	l := newLog()
	a, b := host(t, "a", l.Seam()), host(t, "b", l.Seam())
	e := serve(t, "e1", "engines", oneLine)
	for _, g := range []*Gateway{a, b} {
		g.table(nil)
		g.register(e.Server)
		g.talk(t)
	}
	require.NoError(t, a.Accept(context.Background(), route(a), step("s1", 2)))
	results(t, a, "s1", 2)
	require.Eventually(t, func() bool { a.homes.mu.Lock(); defer a.homes.mu.Unlock(); return len(a.homes.known) == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, b.Accept(context.Background(), route(b), step("s2", 2)))
	results(t, b, "s2", 2)
	v := b.journal.of("s2")
	require.NoError(t, v.sync(context.Background()))
	x, _, ok := v.entry("s2")
	require.True(t, ok)
	require.Equal(t, a.self.Host, x.Driver.Host)
}

// The home is gone: the host that took the step drives it and is the next home.
func TestStepWithoutItsHomeIsDrivenWhereItCameIn(t *testing.T) {
	l := newLog()
	a, b := host(t, "a", l.Seam()), host(t, "b", l.Seam())
	e := serve(t, "e1", "engines", oneLine)
	b.table(nil)
	b.register(e.Server)
	a.homes.claim("m")
	a.Close()
	require.NoError(t, b.Accept(context.Background(), route(b), step("s", 2)))
	results(t, b, "s", 2)
	r, ok := b.homes.of(context.Background(), "m")
	require.True(t, ok)
	require.Equal(t, b.self.Host, r.Driver.Host)
}

// A stronger host does not leave the steps to a weak home.
func TestStrongerHostBecomesHome(t *testing.T) {
	l := newLog()
	a, b := host(t, "a", l.Seam()), host(t, "b", l.Seam())
	a.homes.claim("m")
	b.s.ProcessorShare = 0.8
	d, claim := b.homes.choose(context.Background(), "m")
	require.Equal(t, b.self.Host, d.Host)
	require.True(t, claim)
}

// A home that cannot reach the log takes no step, and says that it drives none.
func TestHostCutOffDrivesNothing(t *testing.T) {
	a, b := host(t, "a", newLog().Seam()), host(t, "b", newLog().Seam())
	a.table(nil)
	a.talk(t)
	a.reach.heard.Store(int64(boottime.Now() - time.Minute))
	err := b.peers.Probe(context.Background(), a.self.Peers, kindDrive, &driveOrder{Host: a.self.Host, Step: step("s", 1)}, nil)
	require.Error(t, err)
	require.Zero(t, a.steps.count())
}

// A host that does not follow the step's partition asks the step's home, and reads
// the log itself when the home is gone.
func TestListsComeFromTheHome(t *testing.T) {
	l := newLog()
	a, b := host(t, "a", l.Seam()), host(t, "b", l.Seam())
	e := serve(t, "e1", "engines", oneLine)
	a.table(nil)
	a.register(e.Server)
	a.talk(t)
	require.NoError(t, a.Accept(context.Background(), route(a), step("s", 3)))
	first := results(t, a, "s", 3)
	a.homes.claim("m")
	list := func() []string {
		n, err := b.Results(context.Background(), "s", 0, 0)
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
	body, err := b.Body(context.Background(), "s", first[0].ID)
	require.NoError(t, err)
	require.Equal(t, []byte("p"), body)
	_, follows := b.journal.following("s")
	require.False(t, follows, "the home was asked")
	a.Close()
	require.Equal(t, want, list())
	_, follows = b.journal.following("s")
	require.True(t, follows)
}

// again returns two incarnations of a host, the first of which is gone, and another
// host; the former self is the home of the model.
func again(t *testing.T, l *memlog.Log) (now, other *Gateway) {
	t.Helper()
	old, now, other := host(t, "a", l.Seam()), host(t, "a", l.Seam()), host(t, "b", l.Seam())
	for _, g := range []*Gateway{now, other} {
		g.table(nil)
		g.talk(t)
	}
	old.self.Peers = now.self.Peers
	old.homes.claim("m")
	return now, other
}

// A home that was started again is another incarnation: it takes over the steps
// that name its former self by a record, without a wait, and stays the home. No
// sample runs twice.
func TestRestartedHomeTakesOverTheStepsOfItsFormerSelf(t *testing.T) {
	a, b := again(t, newLog())
	e := serve(t, "e1", "engines", oneLine)
	a.register(e.Server)
	b.register(e.Server)
	require.NoError(t, b.Accept(context.Background(), route(b), step("s", 2)))
	results(t, b, "s", 2)
	v := b.journal.of("s")
	require.NoError(t, v.sync(context.Background()))
	x, _, _ := v.entry("s")
	require.Equal(t, a.self.Host, x.Driver.Host)
	require.Len(t, e.runs(), 2)
}

// A host that was started again is the home of its former self's models at once.
func TestRestartedHomeReclaimsItsModels(t *testing.T) {
	a, b := again(t, newLog())
	a.homes.reclaim()
	d, claim := b.homes.choose(context.Background(), "m")
	require.Equal(t, a.self.Host, d.Host)
	require.False(t, claim)
}

// Only an incarnation of this host at this address is a former self.
func TestFormerSelf(t *testing.T) {
	g := host(t, "a", newLog().Seam())
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
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, g.homes.former(c.d)) })
	}
}

// The driver's address answers as another incarnation: its step is taken over at the
// first look.
func TestStepOfFormerIncarnationIsTakenAtOnce(t *testing.T) {
	l := newLog()
	old, now, b := host(t, "a", l.Seam()), host(t, "a", l.Seam()), host(t, "b", l.Seam())
	e := serve(t, "e1", "engines", oneLine)
	for _, g := range []*Gateway{now, b} {
		g.table(nil)
		g.talk(t)
	}
	old.self.Peers = now.self.Peers
	old.table(nil)
	require.NoError(t, old.Accept(context.Background(), route(old), step("s", 1)))
	old.Close()
	b.register(e.Server)
	b.watch.held = []int{stepjournal.PartOf("s", testParts)}
	v := b.journal.part(b.watch.held[0])
	require.NoError(t, v.sync(context.Background()))
	b.watch.look()
	require.True(t, b.steps.driving("s") || len(e.runs()) == 1)
	results(t, b, "s", 1)
}
