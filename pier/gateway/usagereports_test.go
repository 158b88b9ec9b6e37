package gateway

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/usage"
)

// testUsageWindow is the length of windows in tests, testUsageDue the time in which their reports are due.
const (
	testUsageWindow = time.Second
	testUsageDue    = 3 * time.Second
)

// newUsageHost returns a host, with a listener for peers, of a deployment with usage reports. It does not run yet.
func newUsageHost(t *testing.T, name string, p *fakeProvider, log partitionlog.Log) *Gateway {
	t.Helper()
	l, at := listenLoopback(t)
	s := hostSettings(name, at)
	s.Provider = Provider{
		Address: unusedAddress, CallsPerSecond: 50,
		UsageWindow: settings.Duration(testUsageWindow), UsageDue: settings.Duration(testUsageDue),
	}
	require.Nil(t, s.Check())
	g := New(Config{
		Settings: s, Logger: zap.NewNop(), Log: log, Dialect: testDialect, Provider: p.api(),
		Identity:      backend.Identity{Target: identityTarget, Started: startedAt},
		EngineControl: func(*backend.Pool) EngineControl { return EngineControl{} },
	})
	g.server = peer.NewServer(peer.ServerConfig{Listener: l, Handler: g.answerPeer})
	t.Cleanup(g.Close)
	g.table(nil)
	return g
}

// runUsage has hosts compete for the lease, which the first one takes, and count.
func runUsage(t *testing.T, hosts ...*Gateway) {
	t.Helper()
	for i, g := range hosts {
		g.watch.rank.Store(int64(i))
		g.limits.hosts.Store(int64(len(hosts)))
		g.wg.Go(g.orders.run)
		g.wg.Go(g.usage.run)
		require.Eventually(t, func() bool { return g.orders.notices.leaseHolder() == hosts[0].hostID() }, 5*time.Second, time.Millisecond)
	}
}

// countRequests has a host count requests that are sent now.
func countRequests(g *Gateway, organisation string, n int) {
	for range n {
		g.usage.add(organisation, boottime.Now())
	}
}

// reported returns the counts in the calls that a provider received, by window. It fails if two calls for a window
// differ.
func reported(t *testing.T, p *fakeProvider) map[int64]map[string]int64 {
	t.Helper()
	r := make(map[int64]map[string]int64)
	for _, e := range p.received() {
		if old, ok := r[e.usage.Window]; ok {
			require.Equal(t, old, e.usage.Counts, "two reports of a window differ")
		}
		r[e.usage.Window] = e.usage.Counts
	}
	return r
}

// totalReported returns the number of requests of an organisation in all reports.
func totalReported(t *testing.T, p *fakeProvider, organisation string) int64 {
	n := int64(0)
	for _, c := range reported(t, p) {
		n += c[organisation]
	}
	return n
}

// requireOrder checks that fencing tokens never go back, and that two holders' calls are a lease apart.
func requireOrder(t *testing.T, p *fakeProvider) {
	t.Helper()
	calls := p.received()
	for i := 1; i < len(calls); i++ {
		a, b := calls[i-1], calls[i]
		require.GreaterOrEqual(t, b.holder.Fence, a.holder.Fence, "a call of an old holder arrived late")
		if a.holder.Host != b.holder.Host {
			require.GreaterOrEqual(t, b.at-a.at, 3*time.Second, "two holders act within a lease")
		}
	}
}

// Three hosts count. Each window must be reported once, in time, with the counts of all hosts, and the windows without
// requests with empty counts.
func TestUsageOfAllHostsIsReported(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	hosts := []*Gateway{newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log), newUsageHost(t, "c", p, log)}
	runUsage(t, hosts...)
	for range 15 {
		for i, g := range hosts {
			countRequests(g, "o1", i+1)
			countRequests(g, "o2", 1)
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.Eventually(t, func() bool {
		return totalReported(t, p, "o1") == 90 && totalReported(t, p, "o2") == 45
	}, 10*time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return len(reported(t, p)) >= 4 }, 10*time.Second, 50*time.Millisecond)
	w := usage.Windows{Length: testUsageWindow}
	now, boot := time.Now(), boottime.Now()
	last := int64(0)
	for _, e := range p.received() {
		at := now.Add(e.at - boot)
		require.Less(t, at.Sub(w.End(e.usage.Window)), testUsageDue, "the report is late")
		if last != 0 {
			require.Equal(t, last+1, e.usage.Window, "a window is missing, or was reported again")
		}
		last = e.usage.Window
	}
}

// The holder of the lease dies: its own requests are in its records, and the next holder is sent those of the others.
// The next holder repeats what the last one decided and decides no window again.
func TestNextHolderReportsTheRest(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	hosts := []*Gateway{newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log), newUsageHost(t, "c", p, log)}
	runUsage(t, hosts...)
	require.Eventually(t, func() bool { return len(p.received()) > 0 }, 10*time.Second, 20*time.Millisecond)
	for _, g := range hosts {
		countRequests(g, "o", 10)
	}
	time.Sleep(usageInterval + 200*time.Millisecond)
	hosts[0].Close()
	require.Eventually(t, func() bool { return totalReported(t, p, "o") == 30 }, 15*time.Second, 50*time.Millisecond)
	requireOrder(t, p)
	require.Equal(t, "a", p.received()[0].holder.Host)
	require.NotEqual(t, "a", p.received()[len(p.received())-1].holder.Host)
}

// The provider runs a call, the holder dies before it has the answer. The next holder must send the same again,
// although it has other totals.
func TestCallWithoutAnswerIsRepeatedByTheNextHolder(t *testing.T) {
	log := newLog().Functions()
	p := &fakeProvider{answer: func(ctx context.Context, n int) error {
		if n > 0 {
			return nil
		}
		<-ctx.Done()
		return outcome.Ambiguous(outcome.ReasonSilent, "provider", nil)
	}}
	a, b := newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log)
	runUsage(t, a, b)
	require.Eventually(t, func() bool { return len(p.received()) > 0 }, 10*time.Second, 5*time.Millisecond)
	a.Close()
	first := p.received()[0].usage
	b.usage.mu.Lock()
	err := b.usage.collector.Add("late", []usage.Total{{Window: first.Window, Organisation: "o", Count: 5}}, time.Time{})
	b.usage.mu.Unlock()
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(p.received()) > 3 }, 15*time.Second, 20*time.Millisecond)
	repeated := 0
	for _, e := range p.received()[1:] {
		require.Equal(t, "b", e.holder.Host)
		if e.usage.Window == first.Window {
			repeated++
			require.Equal(t, first, e.usage)
		}
	}
	require.Equal(t, 1, repeated)
	requireOrder(t, p)
}

// The holder is frozen between a record and its call until others may hold the lease. It must not send the call, and
// send it as the same report after a later record.
func TestFrozenHolderDoesNotCall(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	g := newUsageHost(t, "a", p, log)
	require.True(t, g.orders.append(&decision{Usage: &provider.UsageReport{Window: 5, Counts: map[string]int64{"o": 1}}}))
	c := dutyCall{Usage: &provider.UsageReport{Window: 5, Counts: map[string]int64{"o": 1}}, recorded: true}
	late := g.orders.term()
	late.until = boottime.Now() - 1
	require.True(t, outcome.HasReason(g.callProvider(c, late), outcome.ReasonStaleFence))
	require.Empty(t, p.received())
	g.orders.sent -= time.Second
	n := len(leaseRecords(t, log))
	require.True(t, g.orders.duties.start(c))
	require.NoError(t, (<-g.orders.duties.answers).err)
	l := leaseRecords(t, log)
	require.Len(t, l, n+1, "a repeat needs a fresh record")
	require.Nil(t, l[n].Usage, "the decision is in the log already")
	require.Len(t, p.received(), 1)
}

// The lease has passed to another host: the old holder must neither append nor call.
func TestOldHolderDoesNotCall(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	a, b := newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log)
	require.True(t, a.orders.append(nil))
	require.NoError(t, b.orders.read(0))
	require.True(t, b.orders.append(nil))
	a.orders.sent -= time.Second
	r := provider.UsageReport{Window: 5}
	require.False(t, a.orders.duties.start(dutyCall{Usage: &r}))
	require.False(t, a.orders.duties.start(dutyCall{Usage: &r, recorded: true}))
	require.Empty(t, p.received())
}

// The provider limits the rate, or does not answer. Reports must be repeated unchanged with increasing waits, and must
// not hold up the next ones.
func TestRefusedReportsAreRepeated(t *testing.T) {
	tests := map[string]error{
		"limited":     outcome.Refuse(outcome.ReasonTooManyRequests, "429"),
		"lost":        outcome.Ambiguous(outcome.ReasonConnectionLost, "lost", nil),
		"unreachable": outcome.Refuse(outcome.ReasonUnreachable, "down"),
	}
	for name, refusal := range tests {
		t.Run(name, func(t *testing.T) {
			log := newLog().Functions()
			var refuse atomic.Bool
			refuse.Store(true)
			p := &fakeProvider{answer: func(context.Context, int) error {
				if refuse.Load() {
					return refusal
				}
				return nil
			}}
			g := newUsageHost(t, "a", p, log)
			runUsage(t, g)
			require.Eventually(t, func() bool { return len(reported(t, p)) >= 3 }, 10*time.Second, 10*time.Millisecond)
			first := p.received()[0].usage.Window
			var at []time.Duration
			for _, e := range p.received() {
				if e.usage.Window == first {
					at = append(at, e.at)
				}
			}
			require.GreaterOrEqual(t, len(at), 2)
			require.LessOrEqual(t, len(at), 4)
			for i := 1; i < len(at); i++ {
				require.GreaterOrEqual(t, at[i]-at[i-1], initialDutyBackoff<<(i-1))
			}
			refuse.Store(false)
			require.Eventually(t, func() bool {
				g.usage.mu.Lock()
				defer g.usage.mu.Unlock()
				return len(g.usage.collector.Owed()) == 0
			}, 10*time.Second, 10*time.Millisecond)
		})
	}
}

// The log is away for longer than a lease. What hosts count meanwhile must be reported afterwards.
func TestUsageSurvivesAnOutageOfTheLog(t *testing.T) {
	l, p := newLog(), &fakeProvider{}
	a, b := newUsageHost(t, "a", p, l.Functions()), newUsageHost(t, "b", p, l.Functions())
	runUsage(t, a, b)
	require.Eventually(t, func() bool { return len(p.received()) > 0 }, 10*time.Second, 20*time.Millisecond)
	l.SetDown(true)
	n := int64(0)
	for range 20 {
		countRequests(a, "o", 1)
		countRequests(b, "o", 1)
		n += 2
		time.Sleep(200 * time.Millisecond)
	}
	l.SetDown(false)
	require.Eventually(t, func() bool { return totalReported(t, p, "o") == n }, 15*time.Second, 50*time.Millisecond)
	requireOrder(t, p)
}

// A third of the hosts' times of day are wrong by 400 s, the holder's among them. All hosts must count in the windows
// of true time.
func TestWrongTimesOfDayDoNotMatter(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	var hosts []*Gateway
	for _, n := range []string{"a", "b", "c"} {
		hosts = append(hosts, newUsageHost(t, n, p, log))
	}
	wrong := func() time.Time { return time.Now().Add(400 * time.Second) }
	hosts[0].usage.wall = wrong
	hosts[0].usage.clock = usage.NewClock(wrong(), boottime.Now())
	hosts[0].usage.counter = usage.NewCounter(usage.Windows{Length: testUsageWindow}, hosts[0].usage.clock, boottime.Now())
	start := usage.Windows{Length: testUsageWindow}.At(time.Now())
	runUsage(t, hosts...)
	for _, g := range hosts {
		countRequests(g, "o", 1)
	}
	require.Eventually(t, func() bool { return totalReported(t, p, "o") == 3 }, 10*time.Second, 50*time.Millisecond)
	for k, c := range reported(t, p) {
		if len(c) > 0 {
			require.InDelta(t, start, k, 1)
		}
	}
}

// A host that shuts down must not take along what it has counted since its last message.
func TestLeavingHostTellsWhatItCounted(t *testing.T) {
	for _, leaving := range []int{0, 1} {
		t.Run(fmt.Sprint("host ", leaving), func(t *testing.T) {
			log, p := newLog().Functions(), &fakeProvider{}
			hosts := []*Gateway{newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log)}
			runUsage(t, hosts...)
			require.Eventually(t, func() bool { return len(p.received()) > 0 }, 10*time.Second, 20*time.Millisecond)
			g := hosts[leaving]
			countRequests(g, "o", 7)
			ctx, cancel := context.WithTimeout(context.Background(), usageTimeout)
			defer cancel()
			g.usage.flush(ctx)
			require.False(t, g.usage.totalsDue())
			g.Close()
			require.Eventually(t, func() bool { return totalReported(t, p, "o") == 7 }, 15*time.Second, 50*time.Millisecond)
		})
	}
}

// A host dies. What it counted before its last message must be reported.
func TestDeadHostsRequestsAreReported(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	a, b := newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log)
	runUsage(t, a, b)
	require.Eventually(t, func() bool { return len(p.received()) > 0 }, 10*time.Second, 20*time.Millisecond)
	countRequests(b, "o", 4)
	time.Sleep(500*time.Millisecond + usageTimeout)
	countRequests(b, "o", 100)
	b.Close()
	require.Eventually(t, func() bool { return totalReported(t, p, "o") > 0 }, 10*time.Second, 50*time.Millisecond)
	n := totalReported(t, p, "o")
	require.True(t, n == 4 || n == 104, "%d requests reported", n)
}

// All hosts lose power at once: what was counted and not decided is lost. No window may be decided again or left out, and
// the reports in the log must be repeated as they are.
func TestLossOfAllHosts(t *testing.T) {
	log, p := newLog().Functions(), &fakeProvider{}
	a, b := newUsageHost(t, "a", p, log), newUsageHost(t, "b", p, log)
	runUsage(t, a, b)
	countRequests(a, "o", 2)
	countRequests(b, "o", 3)
	require.Eventually(t, func() bool { return totalReported(t, p, "o") == 5 }, 10*time.Second, 20*time.Millisecond)
	countRequests(b, "lost", 7)
	a.Close()
	b.Close()
	before := len(p.received())
	c, d := newUsageHost(t, "c", p, log), newUsageHost(t, "d", p, log)
	for i, g := range []*Gateway{c, d} {
		g.watch.rank.Store(int64(i))
		g.limits.hosts.Store(2)
		g.wg.Go(g.orders.run)
		g.wg.Go(g.usage.run)
	}
	require.Eventually(t, func() bool { return len(p.received()) > 2*before+5 }, 15*time.Second, 20*time.Millisecond)
	r := reported(t, p)
	require.EqualValues(t, 5, totalReported(t, p, "o"))
	require.LessOrEqual(t, totalReported(t, p, "lost"), int64(7))
	windows := slices.Sorted(maps.Keys(r))
	require.EqualValues(t, len(windows)-1, windows[len(windows)-1]-windows[0], "a window is missing")
	requireOrder(t, p)
}

// A deployment without a provider makes no reports, whatever its requests say.
func TestNoReportsWithoutAProvider(t *testing.T) {
	log := newLog().Functions()
	g := newHost(t, "a", log)
	require.Nil(t, g.usage)
	require.Nil(t, g.usage.begin(&Call{Organisation: "o"}, &backend.Request{}))
	require.True(t, g.orders.append(nil))
	require.Nil(t, leaseRecords(t, log)[0].Totals)
	_, err := g.answerUsage(&peer.Request{})
	require.Error(t, err)
}

// usageCount is how many requests of an organisation a host has counted.
func usageCount(g *Gateway, organisation string) int64 {
	g.usage.mu.Lock()
	defer g.usage.mu.Unlock()
	n := int64(0)
	for _, t := range g.usage.counter.Due("test", 1000) {
		if t.Organisation == organisation {
			n += t.Count
		}
	}
	return n
}

// Each request that a server began to run must count once, whatever became of it; others must not count.
func TestWhichRequestsCount(t *testing.T) {
	status := func(n int) func(*server, http.ResponseWriter, *http.Request) {
		return func(_ *server, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(n) }
	}
	breaks := func(_ *server, _ http.ResponseWriter, _ *http.Request) { panic(http.ErrAbortHandler) }
	events := func(_ *server, w http.ResponseWriter, r *http.Request) { stream(w, r, 1, 2, 0) }
	tests := map[string]struct {
		handle func(*server, http.ResponseWriter, *http.Request)
		kind   routetable.Kind
		change func(c *Call)
		want   int64
	}{
		"answered":           {handle: status(200), want: 1},
		"rejected":           {handle: status(404), want: 1},
		"fails at all":       {handle: status(500), want: 1},
		"broken off":         {handle: breaks, want: 1},
		"not idempotent":     {handle: breaks, kind: routetable.KindOnce, want: 1},
		"without one":        {handle: status(200), change: func(c *Call) { c.Organisation = "" }},
		"call to a scorer":   {handle: status(200), change: func(c *Call) { c.Purpose = backend.PurposeScore }},
		"stream":             {handle: events, kind: routetable.KindStream, want: 1},
		"stream is refused":  {handle: status(404), kind: routetable.KindStream},
		"stream breaks off":  {handle: breaks, kind: routetable.KindStream, want: 1},
		"stream of nothing":  {handle: status(200), kind: routetable.KindStream},
		"not run by servers": {handle: notRun},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newUsageHost(t, "a", &fakeProvider{}, newLog().Functions())
			g.usage.clock.Set(time.Duration(time.Now().UnixNano()) - boottime.Now())
			if c.kind != "" {
				g.table(func(_, plain *routetable.Route) { plain.Kind = c.kind })
			}
			for i := range 3 {
				g.register(startServer(t, fmt.Sprint("s", i), "desk", c.handle).Server)
			}
			q := Call{
				Route: g.Table().Match("h", "/plain/1"), Method: http.MethodPost, Target: "/plain/1", Host: "h", ID: "r1", Organisation: "o",
				Deadline: time.Now().Add(2 * time.Second), Purpose: backend.PurposeCall, Body: []byte("b"),
			}
			if c.change != nil {
				c.change(&q)
			}
			if a, err := g.Do(context.Background(), q); err == nil {
				_ = a.readRest()
				a.Close()
			}
			require.Equal(t, c.want, usageCount(g, "o"))
			require.Zero(t, usageCount(g, ""))
		})
	}
}

// A request without an answer after some seconds must count, or its window would be decided without it.
func TestLongRequestCountsBeforeItsAnswer(t *testing.T) {
	g := newUsageHost(t, "a", &fakeProvider{}, newLog().Functions())
	g.usage.clock.Set(time.Duration(time.Now().UnixNano()) - boottime.Now())
	c := &Call{Organisation: "o", Route: &routetable.Route{Kind: routetable.KindIdempotent}, counted: new(atomic.Bool)}
	q := backend.Request{}
	a := g.usage.begin(c, &q)
	require.NoError(t, q.Check())
	require.Zero(t, usageCount(g, "o"))
	time.Sleep(usageAnswerWait + 100*time.Millisecond)
	require.EqualValues(t, 1, usageCount(g, "o"))
	a.ended(nil, outcome.Ambiguous(outcome.ReasonConnectionLost, "s", nil))
	require.EqualValues(t, 1, usageCount(g, "o"))
}

// listenLoopback returns a listener and its address.
func listenLoopback(t *testing.T) (net.Listener, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l, netip.MustParseAddrPort(l.Addr().String())
}
