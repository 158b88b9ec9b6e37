package gateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
	a.heard.Store(time.Now().Add(-time.Minute).UnixNano())
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

// A home that was started again at its old address is another incarnation: steps
// named for the first one are driven where they came in, without a wait.
func TestRestartedHomeTakesNoStepOfItsFormerSelf(t *testing.T) {
	l := newLog()
	old, again, b := host(t, "a", l.Seam()), host(t, "a", l.Seam()), host(t, "b", l.Seam())
	e := serve(t, "e1", "engines", oneLine)
	for _, g := range []*Gateway{again, b} {
		g.table(nil)
		g.register(e.Server)
	}
	again.talk(t)
	old.self.Peers = again.self.Peers
	old.homes.claim("m")
	require.NoError(t, b.Accept(context.Background(), route(b), step("s", 2)))
	results(t, b, "s", 2)
	r, _ := b.homes.of(context.Background(), "m")
	require.Equal(t, b.self.Host, r.Driver.Host)
}
