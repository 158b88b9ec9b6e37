package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/serverlimit"
	"mulberrypier.example/pier/stepjournal"
	"mulberrypier.example/pier/stepplan"
)

// startHosts returns n hosts that listen for peers and are members of the group of hosts.
func startHosts(t *testing.T, l partitionlog.Log, n int) []*Gateway {
	t.Helper()
	var hosts []*Gateway
	for i := range n {
		c, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g := newHostAt(t, fmt.Sprint("host-", i), netip.MustParseAddrPort(c.Addr().String()), l)
		g.server = peer.NewServer(peer.ServerConfig{Listener: c, Handler: g.answerPeer})
		_, err = l.Join(context.Background(), partitionlog.JoinRequest{Group: watchGroup, Member: g.hostID(), TTL: time.Minute})
		require.NoError(t, err)
		hosts = append(hosts, g)
	}
	return hosts
}

// arrivals counts the requests that reach a server.
type arrivals struct {
	mu sync.Mutex
	at []time.Time
}

func (a *arrivals) add() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.at = append(a.at, time.Now())
}

// since returns the number of requests that arrived after a time.
func (a *arrivals) since(t time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, x := range a.at {
		if x.After(t) {
			n++
		}
	}
	return n
}

// callFor makes calls through every host, one each interval, until the time is over. It
// returns the number of calls that were answered.
func callFor(t *testing.T, hosts []*Gateway, d, interval time.Duration) int {
	t.Helper()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	end := time.Now().Add(d)
	for _, g := range hosts {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				c := call(g)
				c.ID = fmt.Sprint(g.s.Name, "-", i)
				if a, err := g.Do(context.Background(), c); err == nil {
					a.Close()
					mu.Lock()
					answered++
					mu.Unlock()
				}
				time.Sleep(interval)
			}
		})
	}
	wg.Wait()
	return answered
}

// A server states how many requests a second it takes from all hosts together. Once the
// hosts were told, it must not get more than one and a half times that, and 5 requests,
// from all of them.
func TestServerGetsNoMoreThanItsLimitFromAllHostsTogether(t *testing.T) {
	const perSecond, settle, watched = 5, time.Second, 3 * time.Second
	hosts := startHosts(t, newLog().Functions(), 3)
	var got arrivals
	limited := startServer(t, "a-limited", "desk", func(_ *server, w http.ResponseWriter, _ *http.Request) {
		got.add()
		w.Header().Set(testDialect.Limit, fmt.Sprint(perSecond))
	})
	other := startServer(t, "b-other", "desk", func(*server, http.ResponseWriter, *http.Request) {})
	for _, g := range hosts {
		g.table(nil)
		g.register(limited.Server, other.Server)
	}
	start := time.Now()
	answered := callFor(t, hosts, settle+watched, 10*time.Millisecond)
	require.LessOrEqual(t, got.since(start.Add(settle)), int(1.5*perSecond*watched.Seconds())+5)
	require.Positive(t, got.since(start.Add(settle)), "the server is used within its limit")
	require.Greater(t, answered, 300, "calls are served by the server that has room")
}

// limitedServer returns a server that states a limit, and a count of what it gets.
func limitedServer(t *testing.T, id, service string, perSecond string) (*server, *arrivals) {
	t.Helper()
	got := &arrivals{}
	s := startServer(t, id, service, func(_ *server, w http.ResponseWriter, _ *http.Request) {
		got.add()
		w.Header().Set(testDialect.Limit, perSecond)
	})
	return s, got
}

// All servers of a service have limits. A call that can be served within its deadline waits;
// one that can't is refused at once, as not run, and told when to return.
func TestCallWaitsOrIsRefusedAtOnceWhenAllServersHaveLimits(t *testing.T) {
	hosts := startHosts(t, newLog().Functions(), 2)
	g := hosts[0]
	g.table(nil)
	s, got := limitedServer(t, "s", "desk", "8")
	g.register(s.Server)
	callFor(t, hosts[:1], 50*time.Millisecond, 50*time.Millisecond)
	var wg sync.WaitGroup
	var served, refused atomic.Int64
	for i := range 12 {
		wg.Go(func() {
			c := call(g)
			c.ID = fmt.Sprint(i)
			start := time.Now()
			a, err := g.Do(context.Background(), c)
			if err == nil {
				a.Close()
				served.Add(1)
				return
			}
			e := outcome.AsError(err)
			assert.Equal(t, outcome.ReasonServerLimit, e.Reason)
			assert.Equal(t, outcome.NotRun, e.Outcome)
			assert.Positive(t, e.RetryAfter)
			assert.Less(t, time.Since(start), 250*time.Millisecond)
			refused.Add(1)
		})
	}
	wg.Wait()
	require.Positive(t, served.Load())
	require.Positive(t, refused.Load())
	require.Equal(t, int(served.Load())+1, got.since(time.Time{}))
}

// The limit ends when an answer does not state it any more, and a server that is started
// again at the address has none.
func TestLimitEnds(t *testing.T) {
	hosts := startHosts(t, newLog().Functions(), 1)
	g := hosts[0]
	g.table(nil)
	var stated atomic.Bool
	stated.Store(true)
	s := startServer(t, "s", "desk", func(_ *server, w http.ResponseWriter, _ *http.Request) {
		if stated.Load() {
			w.Header().Set(testDialect.Limit, "4")
		}
	})
	g.register(s.Server)
	callFor(t, hosts, 300*time.Millisecond, 10*time.Millisecond)
	limited, _ := g.limits.wait(s.Server)
	require.True(t, limited)
	again := s.Server
	again.Born = s.Born.Add(time.Second)
	limited, _ = g.limits.wait(again)
	require.False(t, limited)
	stated.Store(false)
	require.Eventually(t, func() bool {
		callFor(t, hosts, 10*time.Millisecond, 10*time.Millisecond)
		limited, _ := g.limits.wait(s.Server)
		return !limited
	}, 5*time.Second, 10*time.Millisecond)
}

// A step is driven on an engine with a limit and one without. The limit holds for samples
// too, and the step is finished.
func TestSamplesKeepToAnEnginesLimit(t *testing.T) {
	const perSecond = 2
	hosts := startHosts(t, newLog().Functions(), 1)
	g := hosts[0]
	g.table(nil)
	got := &arrivals{}
	limited := startServer(t, "a-limited", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		got.add()
		w.Header().Set(testDialect.Limit, fmt.Sprint(perSecond))
		stream(w, r, 1, 2, 0)
	})
	free := startServer(t, "b-free", "engines", func(_ *server, w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		stream(w, r, 1, 2, 0)
	})
	g.register(limited.Server, free.Server)
	start := time.Now()
	require.NoError(t, g.Accept(context.Background(), route(g), newStep("s1", 60)))
	waitResults(t, g, "s1", 60)
	// Up to four samples start before the first answer states the limit.
	allowed := 4 + perSecond*time.Since(start).Seconds() + 2
	require.LessOrEqual(t, float64(got.since(start)), allowed)
}

// The coordinator of a server is gone. Its deputy grants a part of the limit.
func TestDeputyGrantsWhenTheCoordinatorIsGone(t *testing.T) {
	hosts := startHosts(t, newLog().Functions(), 3)
	s, got := limitedServer(t, "s", "desk", "8")
	for _, g := range hosts {
		g.table(nil)
		g.register(s.Server)
	}
	callFor(t, hosts, 300*time.Millisecond, 20*time.Millisecond)
	hosts[0].limits.mu.Lock()
	first, _ := hosts[0].limits.roster.Coordinators("s")
	hosts[0].limits.mu.Unlock()
	var left []*Gateway
	for _, g := range hosts {
		if g.hostID() == first {
			g.server.Close()
			continue
		}
		left = append(left, g)
	}
	start := time.Now()
	callFor(t, left, 3*time.Second, 20*time.Millisecond)
	require.Positive(t, got.since(start.Add(time.Second)))
	require.LessOrEqual(t, got.since(start), int(1.5*8*3)+5)
}

// One host was told of a limit, the other never called the server. It learns of the limit
// before its first call, and asks for a permit.
func TestHostsAreToldOfALimitThatTheyDidNotMeet(t *testing.T) {
	hosts := startHosts(t, newLog().Functions(), 2)
	s, _ := limitedServer(t, "s", "desk", "3")
	for _, g := range hosts {
		g.table(nil)
		g.register(s.Server)
	}
	require.True(t, hosts[0].orders.append(nil))
	require.NoError(t, hosts[1].orders.read(0))
	callFor(t, hosts[:1], 300*time.Millisecond, 20*time.Millisecond)
	require.Eventually(t, hosts[0].orders.notices.any, 3*time.Second, 10*time.Millisecond)
	require.True(t, hosts[0].orders.renewalDue(boottime.Now()+noticeRecordDelay))
	require.True(t, hosts[0].orders.append(nil))
	require.False(t, hosts[0].orders.notices.any())
	require.NoError(t, hosts[1].orders.read(0))
	limited, _ := hosts[1].limits.wait(s.Server)
	require.True(t, limited)
}

// An engine with a limit became slow. Its samples move away, but none moves to an engine with
// a limit, where it might have to wait.
func TestSamplesMoveFromAnEngineWithALimitButNotToOne(t *testing.T) {
	tests := map[string]struct {
		limited string
		want    []int
	}{
		"the slow one has a limit": {limited: "slow", want: []int{0}},
		"the fast one has a limit": {limited: "fast", want: nil},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			g := newHost(t, "a", newLog().Functions())
			g.table(nil)
			for id, pace := range map[string]time.Duration{"slow": 50 * time.Millisecond, "fast": 5 * time.Millisecond} {
				g.register(directory.Server{ID: id, Service: "engines", Software: "1", Slots: 4, Versions: map[string]int64{"m": 1}})
				g.fleet.states[id].pace.Observe(pace, time.Now())
			}
			q := &backend.Request{Server: c.limited}
			g.limits.observe(q, backend.Admission{}, []string{"2"})
			require.Equal(t, c.want, g.fleet.moves("engines", "m", 4, []stepplan.Run{{Server: "slow", MinVersion: 1}}, 4))
		})
	}
}

// A server states a limit, ends it and later states the same one again. All hosts are told
// both times; while hosts keep asking they are told once.
func TestLimitThatIsStatedAgainIsAnnouncedAgain(t *testing.T) {
	g := startHosts(t, newLog().Functions(), 1)[0]
	require.True(t, g.orders.append(nil))
	q := serverlimit.Ask{Server: directory.Incarnation{ID: "s"}, Limit: serverlimit.Limit{PerSecond: 4}}
	announce := func(now time.Duration) int {
		g.limits.mu.Lock()
		g.limits.announce(q, now)
		g.limits.mu.Unlock()
		time.Sleep(50 * time.Millisecond)
		return len(g.orders.notices.next(0))
	}
	for i := range 20 {
		require.Equal(t, 1, announce(time.Duration(i)*time.Second))
	}
	require.Equal(t, 2, announce(time.Minute))
}

// All but one server of a service have no room for more, and the samples of a step wait for
// their scores. The last server refuses for lack of capacity. It must not be pressed by every
// sample again and again.
func TestScorerCallsDoNotPressAFullServer(t *testing.T) {
	g := newHost(t, "a", newLog().Functions())
	g.table(nil)
	e := startServer(t, "e", "engines", oneEvent)
	got := &arrivals{}
	full := startServer(t, "s", "desk", func(_ *server, w http.ResponseWriter, _ *http.Request) {
		got.add()
		time.Sleep(5 * time.Millisecond)
		w.Header().Set(testDialect.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	g.register(e.Server, full.Server)
	s := newStep("s1", 60)
	for i := range s.Items {
		s.Items[i].Scorer = &stepjournal.Call{Host: "h", Path: "/plain/x", ID: fmt.Sprint("score-", i)}
	}
	require.NoError(t, g.Accept(context.Background(), route(g), s))
	time.Sleep(2 * time.Second)
	require.Less(t, got.since(time.Time{}), 60)
	require.Positive(t, got.since(time.Time{}))
}

// Guards against a limit that all hosts learn anew by sending, after the registration of its server
// had lapsed for a moment.
func TestLimitIsKeptWhileARegistrationLapses(t *testing.T) {
	g := startHosts(t, newLog().Functions(), 1)[0]
	g.table(nil)
	s, got := limitedServer(t, "a", "desk", "1")
	g.register(s.Server)
	for len(s.runs()) == 0 {
		if a, err := g.Do(context.Background(), call(g)); err == nil {
			a.Close()
		}
	}
	limited, _ := g.limits.wait(s.Server)
	require.True(t, limited)
	g.fleet.put(s.ID, nil, 1, time.Now())
	g.fleet.readDone(nil)
	_, registered := g.fleet.server(s.ID)
	require.False(t, registered)
	g.register(s.Server)
	limited, _ = g.limits.wait(s.Server)
	require.True(t, limited)
	require.Positive(t, got.since(time.Time{}))
	again := s.Server
	again.Born = s.Born.Add(time.Second)
	limited, _ = g.limits.wait(again)
	require.False(t, limited, "another incarnation has stated no limit")
}

// Guards against hosts that go on refusing requests for a limit that has ended, each until it gets a
// permit of its own at the limit's rate.
func TestEndOfALimitReachesAllHostsThatAsk(t *testing.T) {
	hosts := startHosts(t, newLog().Functions(), 4)
	var stated atomic.Bool
	stated.Store(true)
	s := startServer(t, "s", "desk", func(_ *server, w http.ResponseWriter, _ *http.Request) {
		if stated.Load() {
			w.Header().Set(testDialect.Limit, "0.5")
		}
	})
	for _, g := range hosts {
		g.table(nil)
		g.register(s.Server)
	}
	limited := func() int {
		n := 0
		for _, g := range hosts {
			if is, _ := g.limits.wait(s.Server); is {
				n++
			}
		}
		return n
	}
	callFor(t, hosts, 500*time.Millisecond, 10*time.Millisecond)
	require.Equal(t, len(hosts), limited())
	stated.Store(false)
	began := time.Now()
	for limited() > 0 && time.Since(began) < 30*time.Second {
		callFor(t, hosts, 50*time.Millisecond, 10*time.Millisecond)
	}
	// At a quarter of the limit, which a new coordinator grants, one request in 5 s is granted.
	require.Less(t, time.Since(began), 5*time.Second+maxFullTime+500*time.Millisecond)
	require.Greater(t, callFor(t, hosts, 200*time.Millisecond, 10*time.Millisecond), 40)
}
