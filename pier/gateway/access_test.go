package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/access"
	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/stepjournal"
)

// The keys of the organisations in tests.
const (
	keyA = "key-of-a"
	keyB = "key-of-b"
)

func indexOf(t *testing.T, entries ...access.Entry) *access.Index {
	t.Helper()
	x, err := access.New(access.Config{Organisations: entries})
	require.NoError(t, err)
	return x
}

// twoOrganisations returns the organisations "a", with a priority of its own, and "b".
func twoOrganisations(t *testing.T) *access.Index {
	t.Helper()
	return indexOf(t,
		access.Entry{Organisation: access.Organisation{Name: "a", Priority: 1, HasPriority: true}, Keys: []string{keyA}},
		access.Entry{Organisation: access.Organisation{Name: "b"}, Keys: []string{keyB}})
}

// restrict sets the table of routes with organisations, in a configuration that is current.
func (g *Gateway) restrict(x *access.Index, change func(gen, plain *routetable.Route)) {
	g.table(change)
	n := *g.Table()
	n.Access = x
	g.tables.table.Store(&n)
	g.tables.currentAt.Store(int64(boottime.Now()))
}

// Guards against a request that is served though no configuration permits it, and against 401 while the host may not
// have read the configuration with the key.
func TestAuthorise(t *testing.T) {
	open := routetable.New(1, nil, nil, routetable.Limits{})
	restricted := routetable.New(1, nil, nil, routetable.Limits{})
	restricted.Access = twoOrganisations(t)
	tests := map[string]struct {
		table           *routetable.Table
		current, public bool
		key             string
		want            Principal
		reason          outcome.Reason
	}{
		"no configuration":             {key: keyA, current: true, reason: outcome.ReasonUnreachable},
		"no configuration, public":     {public: true, reason: outcome.ReasonUnreachable},
		"without organisations":        {table: open, key: "x"},
		"without organisations, stale": {table: open},
		"known key":                    {table: restricted, current: true, key: keyA, want: Principal{"a", true}},
		"known key, stale":             {table: restricted, key: keyB, want: Principal{"b", true}},
		"unknown key":                  {table: restricted, current: true, key: "x", reason: outcome.ReasonUnauthorized},
		"unknown key, stale":           {table: restricted, key: "x", reason: outcome.ReasonStaleConfiguration},
		"no key":                       {table: restricted, current: true, reason: outcome.ReasonUnauthorized},
		"no key, stale":                {table: restricted, reason: outcome.ReasonStaleConfiguration},
		"public, no key":               {table: restricted, current: true, public: true, want: Principal{"", true}},
		"public, unknown key":          {table: restricted, public: true, key: "x", want: Principal{"", true}},
		"public, known key":            {table: restricted, public: true, key: keyA, want: Principal{"a", true}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p, err := authorise(c.table, c.current, c.public, c.key)
			if c.reason == "" {
				require.Nil(t, err)
				require.Equal(t, c.want, p)
				return
			}
			require.Equal(t, []any{c.reason, outcome.NotRun}, []any{err.Reason, err.Outcome})
			require.NotContains(t, err.Error(), keyA)
			require.Equal(t, c.reason != outcome.ReasonUnauthorized, err.RetryAfter > 0)
		})
	}
}

// sentHeaders keeps the headers of the requests that a server got.
type sentHeaders struct {
	mu sync.Mutex
	l  []http.Header
}

func (s *sentHeaders) keep(f func(*server, http.ResponseWriter, *http.Request)) func(*server, http.ResponseWriter, *http.Request) {
	return func(x *server, w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.l = append(s.l, r.Header.Clone())
		s.mu.Unlock()
		f(x, w, r)
	}
}

// require checks that n requests or more came, and that all name an organisation and a level and have no key.
func (s *sentHeaders) require(t *testing.T, n int, organisation, level string) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	require.GreaterOrEqual(t, len(s.l), n)
	for _, h := range s.l {
		require.Empty(t, h.Values(authorizationField), "the key reached a server")
		if organisation == "" {
			require.Empty(t, h.Values(testDialect.Organisation))
		} else {
			require.Equal(t, []string{organisation}, h.Values(testDialect.Organisation))
		}
		if level == "" {
			require.Empty(t, h.Values(testDialect.Priority))
		} else {
			require.Equal(t, []string{level}, h.Values(testDialect.Priority))
		}
	}
}

// forgedHeader is a caller's header that says who it is in its own way.
func forgedHeader() http.Header {
	return http.Header{
		authorizationField: {"Token " + keyA}, "authorization": {keyA}, testDialect.Organisation: {"forged"}, "oRGANISATION": {"forged"},
		testDialect.Priority: {"0"},
	}
}

// Guards against a key that reaches a server and against an organisation that is not named, or wrongly, in a first
// attempt, a retry, a hedge, and the requests of a stream.
func TestServersLearnTheOrganisationOfPlainRequests(t *testing.T) {
	slow := func(_ *server, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	}
	tests := map[string]struct {
		kind    routetable.Kind
		handle  func(*server, http.ResponseWriter, *http.Request)
		servers int
	}{
		"first attempt": {routetable.KindOnce, echo, 1},
		"retry":         {routetable.KindIdempotent, fail, 2},
		"hedge":         {routetable.KindIdempotent, slow, 2},
		"stream":        {routetable.KindStream, func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 2, 0) }, 1},
	}
	for name, c := range tests {
		for organisation, level := range map[string]string{"a": "4", "b": "7", "": "7"} {
			t.Run(name+" of "+organisation, func(t *testing.T) {
				g := newHost(t, "h", newLog().Functions())
				g.restrict(twoOrganisations(t), func(_, plain *routetable.Route) { plain.Kind, plain.Priority = c.kind, 2 })
				var sent sentHeaders
				for _, id := range []string{"s1", "s2"} {
					g.register(startServer(t, id, "desk", sent.keep(c.handle)).Server)
				}
				q := call(g)
				q.Header, q.Organisation, q.Purpose = forgedHeader(), organisation, backend.PurposeCall
				if a, err := g.Do(context.Background(), q); err == nil {
					require.NoError(t, a.readRest())
					a.Close()
				}
				sent.require(t, c.servers, organisation, level)
			})
		}
	}
}

// Guards against an organisation that is not named in the run of a sample, its resumption and its run after a
// takeover, against names and keys in an item's header, and against a call to a scorer that names one.
func TestServersLearnTheOrganisationOfSamples(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	var samples, calls sentHeaders
	var whole atomic.Bool
	e := startServer(t, "e1", "engines", samples.keep(func(_ *server, w http.ResponseWriter, r *http.Request) {
		if !whole.Load() && r.Header.Get(testDialect.ResumeAfter) != "" {
			<-r.Context().Done()
			return
		}
		stream(w, r, 1, 4, map[bool]int{false: 2}[whole.Load()])
	}))
	scorer := startServer(t, "x1", "desk", calls.keep(func(_ *server, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testDialect.ServerStamp, "score")
	}))
	for _, g := range []*Gateway{a, b} {
		g.restrict(twoOrganisations(t), func(gen, plain *routetable.Route) { gen.Priority, plain.Priority = 0, 2 })
		g.register(e.Server, scorer.Server)
	}
	s := newScoredStep("s")
	s.Organisation = "a"
	s.Items[0].Header = map[string]string{"authorization": "Token " + keyA, "ORGANISATION": "forged", "priority": "9"}
	require.NoError(t, a.Accept(context.Background(), route(a), s))
	require.Eventually(t, func() bool { return len(e.runs()) >= 2 }, 10*time.Second, time.Millisecond)
	a.Close()
	whole.Store(true)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	require.Eventually(t, func() bool { b.watch.checkSteps(); return b.steps.isDriving("s") }, 10*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool {
		r, err := b.Results(context.Background(), Principal{Organisation: "a", Restricted: true}, "s", 0, time.Second)
		return err == nil && len(r.Results) == 1
	}, 20*time.Second, time.Millisecond)
	samples.require(t, 3, "a", "")
	calls.require(t, 1, "", "8")
}

// Guards against a change of what servers get without organisations and with routes of one priority.
func TestHeadersStayWithoutOrganisations(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	h := forgedHeader()
	g.identify(h, route(g), "", access.KindSample)
	require.Equal(t, forgedHeader(), h)
}

// permit returns the permission of a plain request with a key.
func (g *Gateway) permit(t *testing.T, key string) *Grant {
	t.Helper()
	n, err := g.Access().Authenticate(AccessRequest{ID: "r", Route: g.Table().Match("h", "/plain/x"), Key: key})
	require.NoError(t, err)
	return n
}

// avoidedServers returns the number of servers that count as failed.
func (g *Gateway) avoidedServers() int {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	n := 0
	for _, s := range g.fleet.states {
		if s.failures > 0 {
			n++
		}
	}
	return n
}

// Guards against a request that is sent, or hedged, after its key was removed while it waited, or whose key belongs to
// another organisation by then. An attempt that a server runs goes on. The refusal must not go through all servers.
func TestKeyIsCheckedRightBeforeARequestIsSent(t *testing.T) {
	withoutA := func(t *testing.T) *access.Index {
		return indexOf(t, access.Entry{Organisation: access.Organisation{Name: "b"}, Keys: []string{keyB}})
	}
	moved := func(t *testing.T) *access.Index {
		return indexOf(t, access.Entry{Organisation: access.Organisation{Name: "b"}, Keys: []string{keyA}})
	}
	tests := map[string]struct {
		then   func(t *testing.T) *access.Index
		stale  bool
		reason outcome.Reason
	}{
		"removed":                {then: withoutA, reason: outcome.ReasonUnauthorized},
		"removed, log away":      {then: withoutA, stale: true, reason: outcome.ReasonStaleConfiguration},
		"of another, now":        {then: moved, reason: outcome.ReasonStaleConfiguration},
		"still valid":            {then: twoOrganisations},
		"organisations are gone": {then: func(*testing.T) *access.Index { return nil }, reason: outcome.ReasonStaleConfiguration},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "h", newLog().Functions())
			g.restrict(twoOrganisations(t), nil)
			servers := []*server{startServer(t, "s1", "desk", echo), startServer(t, "s2", "desk", echo)}
			g.register(servers[0].Server, servers[1].Server)
			q := call(g)
			n := g.permit(t, keyA)
			q.Organisation, q.Allowed = n.Organisation, n.Check
			g.restrict(c.then(t), nil)
			if c.stale {
				g.tables.currentAt.Store(int64(boottime.Now() - time.Minute))
			}
			a, err := g.Do(context.Background(), q)
			if c.reason == "" {
				require.NoError(t, err)
				a.Close()
				return
			}
			require.True(t, outcome.HasReason(err, c.reason), "%v", err)
			require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
			require.Zero(t, totalRuns(servers))
			require.EqualValues(t, 1, metric(t, g, `retries_total{reason="`+string(c.reason)+`"}`), "servers that were tried")
			require.Zero(t, g.avoidedServers(), "a server is avoided though it refused nothing")
			trial := newPlainCall(q)
			u, ok := g.fleet.pickServer(trial.choice(nil))
			require.True(t, ok)
			defer u.release()
			require.True(t, outcome.HasReason(g.request(trial, u).Check(), c.reason), "a trial would be sent")
		})
	}
	t.Run("removed while a server runs it", func(t *testing.T) {
		g := newHost(t, "h", newLog().Functions())
		g.restrict(twoOrganisations(t), nil)
		running, end := make(chan struct{}, 2), make(chan struct{})
		handle := func(_ *server, w http.ResponseWriter, _ *http.Request) {
			running <- struct{}{}
			<-end
			w.WriteHeader(http.StatusOK)
		}
		servers := []*server{startServer(t, "s1", "desk", handle), startServer(t, "s2", "desk", handle)}
		g.register(servers[0].Server, servers[1].Server)
		q := call(g)
		n := g.permit(t, keyA)
		q.Organisation, q.Allowed = n.Organisation, n.Check
		go func() {
			<-running
			g.restrict(withoutA(t), nil)
			time.Sleep(200 * time.Millisecond)
			close(end)
		}()
		a, err := g.Do(context.Background(), q)
		require.NoError(t, err)
		a.Close()
		require.Equal(t, 1, totalRuns(servers), "it was hedged")
	})
}

// Guards against 401 by a host that no longer reads the operators' topic, against 503 by one that does although nothing
// is written there, and against a removed key that a host goes on serving which reaches the log through a peer only.
func TestHostKnowsWhetherItsConfigurationIsCurrent(t *testing.T) {
	l := newLog()
	put := func(version byte, keys string) {
		_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{
			Partition:   partitionlog.Partition{Topic: "operators"},
			Records:     [][]byte{partitionlog.EncodeKeyed("config", append([]byte{version}, keys...))},
			ExpectedEnd: partitionlog.NoCondition,
		})
		require.NoError(t, err)
	}
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, isSilent)), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	a.c.Sources = Sources{Operators: "operators", ReadChange: func(_ string, v []byte) (OperatorRecord, bool, error) {
		n := routetable.New(int64(v[0]), nil, nil, routetable.Limits{})
		n.Access = indexOf(t, access.Entry{Organisation: access.Organisation{Name: "a"}, Keys: []string{string(v[1:])}})
		return OperatorRecord{Table: n}, true, nil
	}}
	reason := func(key string) outcome.Reason {
		_, err := a.Access().Authenticate(AccessRequest{Key: key})
		if err == nil {
			return ""
		}
		return outcome.AsError(err).Reason
	}
	put(1, keyA)
	a.wg.Go(a.tables.run)
	require.Eventually(t, func() bool { return reason("x") == outcome.ReasonUnauthorized }, 5*time.Second, time.Millisecond)
	require.Never(t, func() bool { return reason("x") != outcome.ReasonUnauthorized }, 3*time.Second, time.Millisecond)
	cut.Store(true)
	require.Eventually(t, func() bool { return reason("x") == outcome.ReasonStaleConfiguration }, configurationMaxAge+500*time.Millisecond, time.Millisecond)
	require.Empty(t, reason(keyA), "a known key must be served")
	put(2, keyB)
	require.Equal(t, outcome.ReasonStaleConfiguration, reason(keyB))
	a.knowPeers(b)
	require.Eventually(t, func() bool { return reason(keyB) == "" && reason(keyA) == outcome.ReasonUnauthorized }, 3*time.Second, time.Millisecond)
	put(3, "key-3")
	require.Eventually(t, func() bool { return reason(keyB) == outcome.ReasonUnauthorized }, 3*time.Second, time.Millisecond)
}
