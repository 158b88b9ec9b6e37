package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/stepjournal"
)

// of returns one who presents a key of an organisation.
func of(organisation string) Principal {
	return Principal{Organisation: organisation, Restricted: true}
}

// ownedStep returns a step of one item that an organisation submits.
func ownedStep(id, organisation string) *stepjournal.Step {
	s := newStep(id, 1)
	s.Organisation = organisation
	return s
}

// requireOnlyFor checks that a host shows a step to an organisation and to no other.
func requireOnlyFor(t *testing.T, g *Gateway, id, owner string) {
	t.Helper()
	ctx := context.Background()
	for _, other := range []string{"b", ""} {
		_, err := g.Results(ctx, of(other), id, 0, 0)
		require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "results: %v", err)
		_, err = g.Body(ctx, of(other), id, id+"-0")
		require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "body: %v", err)
		err = g.End(ctx, of(other), id)
		require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "end: %v", err)
	}
	_, err := g.Results(ctx, of(owner), id, 0, 0)
	require.NoError(t, err)
	body, err := g.Body(ctx, of(owner), id, id+"-0")
	require.NoError(t, err)
	require.Equal(t, "p", string(body))
}

// Guards against a step that another organisation reads or ends: at its driver, at a host that asks the driver, and at
// one that reads the log. Its own organisation must get it everywhere, and end it.
func TestStepIsHiddenFromOtherOrganisations(t *testing.T) {
	l := newLog()
	a, b, c := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions()), newHost(t, "c", l.Functions())
	e := startServer(t, "e1", "engines", hang)
	for _, g := range []*Gateway{a, b, c} {
		g.restrict(twoOrganisations(t), nil)
		g.register(e.Server)
	}
	a.listenPeers(t)
	require.NoError(t, a.Accept(context.Background(), route(a), ownedStep("s", "a")))
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("free", 1)))
	require.True(t, b.preferred.refresh(context.Background()))
	require.Eventually(t, func() bool { return a.steps.isDriving("s") && a.steps.isDriving("free") }, 5*time.Second, time.Millisecond)
	for _, g := range []*Gateway{a, b, c} {
		requireOnlyFor(t, g, "s", "a")
		_, err := g.Results(context.Background(), of("b"), "free", 0, 0)
		require.NoError(t, err, "a step without an organisation is for all")
	}
	require.True(t, a.steps.isDriving("s"), "the step was ended for another organisation")
	require.NoError(t, b.End(context.Background(), of("a"), "s"))
	require.NoError(t, c.End(context.Background(), of("b"), "free"))
}

// Guards against a step that all organisations can read once its first record has expired and all hosts have
// started again, from a checkpoint.
func TestCheckpointKeepsAStepHidden(t *testing.T) {
	l := newLog()
	a := newHost(t, "a", l.Functions())
	v := a.journal.get("s")
	s := ownedStep("s", "a")
	acceptAt(t, v, s, a.self, time.Now())
	appendResult(t, v, s, 0)
	require.NoError(t, v.sync(context.Background()))
	v.checkpoint.behindSince -= a.s.Log.Retention.D() / 2
	writeCheckpoint(t, v, l)
	l.Expire(v.partition(), 1)
	b := newHost(t, "b", l.Functions())
	b.restrict(twoOrganisations(t), nil)
	_, err := b.Results(context.Background(), of("b"), "s", 0, 0)
	require.True(t, outcome.HasReason(err, outcome.ReasonUnknownStep), "%v", err)
	r, err := b.Results(context.Background(), of("a"), "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, r.Results, 1)
}

// Guards against hosts of an earlier version, which show any step to anyone: their answers must not be passed on.
func TestAnswersOfHostsWithoutOrganisationsAreNotUsed(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	b.listenAs(t, func(context.Context, *peer.Request) (any, error) {
		return &stepAnswer{Total: 1, Results: []*stepjournal.Result{{Step: "s", Text: "secret"}}, Body: []byte("secret")}, nil
	})
	b.preferred.claim("m")
	acceptAt(t, b.journal.get("s"), ownedStep("s", "a"), b.self, time.Now())
	a.restrict(twoOrganisations(t), nil)
	requireOnlyFor(t, a, "s", "a")
}

// Guards against a submission that is answered 503 as the step belongs to another organisation, and runs nevertheless: a
// host accepts it that knows the first record, or not, is its driver by either record, or hands it off.
func TestStepOfAnotherOrganisationIsNotRun(t *testing.T) {
	refused := func(t *testing.T, g *Gateway, organisation string) {
		t.Helper()
		err := g.Accept(context.Background(), route(g), ownedStep("s", organisation))
		require.True(t, outcome.HasReason(err, outcome.ReasonOtherOrganisation), "%v", err)
		require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	}
	l := newLog()
	a, b, c := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions()), newHost(t, "c", l.Functions())
	var sent sentHeaders
	e := startServer(t, "e1", "engines", sent.keep(func(_ *server, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	for _, g := range []*Gateway{a, b, c} {
		g.restrict(twoOrganisations(t), nil)
		g.listenPeers(t)
		g.register(e.Server)
	}
	// The first record names b, which does not know it yet.
	acceptAt(t, a.journal.get("s"), ownedStep("s", "a"), b.self, time.Now())
	refused(t, b, "b")
	refused(t, b, "b")
	refused(t, c, "b")
	refused(t, c, "")
	require.Error(t, c.peers.Probe(context.Background(), b.self.Peers, kindHandOff, &handOffRequest{Host: "x", Step: ownedStep("s", "b")}, nil))
	require.NoError(t, c.peers.Probe(context.Background(), b.self.Peers, kindHandOff, &handOffRequest{Host: b.self.Host, Step: ownedStep("s", "b")}, nil))
	time.Sleep(300 * time.Millisecond)
	require.Equal(t, []int{0, 0, 0}, []int{a.steps.count(), b.steps.count(), c.steps.count()})
	require.Empty(t, e.runs())
	// Its own organisation may repeat it, and it runs for that one.
	require.NoError(t, c.Accept(context.Background(), route(c), ownedStep("s", "a")))
	require.NoError(t, c.peers.Probe(context.Background(), b.self.Peers, kindHandOff, &handOffRequest{Host: b.self.Host, Step: ownedStep("s", "a")}, nil))
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, 5*time.Second, time.Millisecond)
	sent.require(t, 1, "a", "")
}

// Guards against a step that a host runs before it has read who submitted it first, and against one that is called
// accepted, or refused, as long as that cannot be told. It must run once the log can be read.
func TestStepWaitsUntilItsSubmitterIsRead(t *testing.T) {
	l := newLog()
	var away atomic.Bool
	away.Store(true)
	f := l.Functions()
	read := f.Read
	f.Read = func(ctx context.Context, q partitionlog.ReadRequest) (partitionlog.Page, error) {
		if away.Load() {
			return partitionlog.Page{}, outcome.Refuse(outcome.ReasonLogDown, "read")
		}
		return read(ctx, q)
	}
	g := newHost(t, "a", f)
	g.restrict(twoOrganisations(t), nil)
	e := startServer(t, "e1", "engines", oneEvent)
	g.register(e.Server)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	err := g.Accept(ctx, route(g), ownedStep("s", "a"))
	require.Error(t, err)
	require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
	time.Sleep(100 * time.Millisecond)
	require.Empty(t, e.runs())
	away.Store(false)
	require.Eventually(t, func() bool { return len(e.runs()) == 1 }, 10*time.Second, time.Millisecond)
}
