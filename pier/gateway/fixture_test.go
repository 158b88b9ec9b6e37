package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"mulberrypier.example/pier/backend"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/memlog"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
	"mulberrypier.example/pier/routetable"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/stepjournal"
)

var testDialect = backend.Dialect{
	RequestID: "Request-Id", Deadline: "Deadline", ExpectedIncarnation: "Incarnation",
	NotRun: "Not-Run", ServerStamp: "Signature",
	Load: "Load", WeightVersion: "Weights", EventVersion: "weights", LengthHint: "Hint", ResumeAfter: "Last-Event-Id", Resumes: "Resumes", Leaving: "Leaving", Limit: "Limit",
	TokenCounts: "Tokens", Organisation: "Organisation", Priority: "Priority",
}

const testParts = 4

// identityTarget is where test servers that have one state their start, in milliseconds.
const identityTarget = "/identity"

func startedAt(b []byte) (time.Time, bool) {
	n, err := strconv.ParseInt(string(b), 10, 64)
	return time.UnixMilli(n), err == nil
}

// newHost returns a gateway over a log, without listeners.
func newHost(t testing.TB, name string, l partitionlog.Log) *Gateway {
	t.Helper()
	return newHostAt(t, name, netip.MustParseAddrPort("127.0.0.1:1"), l)
}

// newHostAt returns a gateway without listeners whose peers reach it at an address.
func newHostAt(t testing.TB, name string, peers netip.AddrPort, l partitionlog.Log) *Gateway {
	t.Helper()
	return newHostFrom(t, hostSettings(name, peers), l)
}

// hostSettings returns the settings of a host whose peers reach it at an address.
func hostSettings(name string, peers netip.AddrPort) *Settings {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	return &Settings{
		Name: name, Domain: "d1", ProcessorShare: 0.5, Listen: Listen{Callers: a, Health: a, Peers: peers},
		Log: Log{
			Address: a, Partitions: testParts, RecordBytes: 256 << 10, CallBytes: 2 << 20,
			Retention: settings.Duration(time.Hour), MemberTTL: settings.Duration(time.Second),
		},
		Timing: Timing{Grace: settings.Duration(8 * time.Second), OrderLease: settings.Duration(3 * time.Second)},
		Policy: Policy{LoadsAtOnce: 0.2, LoadShare: 1, OrderServers: true},
	}
}

// newHostFrom returns a gateway with given settings, without listeners.
func newHostFrom(t testing.TB, s *Settings, l partitionlog.Log) *Gateway {
	t.Helper()
	require.Nil(t, s.Check())
	g := New(Config{
		Settings: s, Logger: zap.NewNop(), Log: l, Dialect: testDialect,
		Identity:      backend.Identity{Target: identityTarget, Started: startedAt},
		EngineControl: func(*backend.Pool) EngineControl { return EngineControl{} },
	})
	t.Cleanup(g.Close)
	return g
}

// listenAll has hosts with the table of routes answer their peers.
func listenAll(t *testing.T, hosts ...*Gateway) {
	t.Helper()
	for _, g := range hosts {
		g.table(nil)
		g.listenPeers(t)
	}
}

// startEngine starts an engine that hosts with the table of routes know, and has them answer their peers.
func startEngine(t *testing.T, handle func(s *server, w http.ResponseWriter, r *http.Request), hosts ...*Gateway) *server {
	t.Helper()
	e := startServer(t, "e1", "engines", handle)
	listenAll(t, hosts...)
	for _, g := range hosts {
		g.register(e.Server)
	}
	return e
}

// listenPeers starts the host's listener for peers and marks the log as reachable.
func (g *Gateway) listenPeers(t *testing.T) {
	t.Helper()
	g.listenAs(t, g.answerPeer)
	g.logHealth.answered("test")
}

// listenAs has a host known to others answer by a handler.
func (g *Gateway) listenAs(t *testing.T, h func(ctx context.Context, r *peer.Request) (any, error)) {
	t.Helper()
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	g.self.Peers = netip.MustParseAddrPort(n.Addr().String())
	g.server = peer.NewServer(peer.ServerConfig{Listener: n, Handler: h})
}

// knowPeers makes other hosts known as peers that carry calls to the log.
func (g *Gateway) knowPeers(l ...*Gateway) {
	var a []netip.AddrPort
	for _, x := range l {
		a = append(a, x.self.Peers)
	}
	g.peerLog.mu.Lock()
	defer g.peerLog.mu.Unlock()
	g.peerLog.paths.SetPeers(a)
}

// table sets a configuration with routes for steps ("/gen/") and plain requests ("/plain/").
// change, if not nil, modifies the routes first.
func (g *Gateway) table(change func(gen, plain *routetable.Route)) {
	gen := &routetable.Route{
		Name: "gen", Host: "h", Prefix: "/gen/", Kind: routetable.KindRollout, Attempts: 3,
		Services: []routetable.WeightedService{{Service: "engines", Weight: 1}}, AbandonAfter: time.Minute,
	}
	plain := &routetable.Route{
		Name: "plain", Host: "h", Prefix: "/plain/", Kind: routetable.KindIdempotent, Attempts: 2, Timeout: 2 * time.Second,
		LatencyObjective: 100 * time.Millisecond,
		Services:         []routetable.WeightedService{{Service: "desk", Weight: 1}},
	}
	if change != nil {
		change(gen, plain)
	}
	services := []*routetable.Service{{Name: "engines", Models: []string{"m"}, Slots: 4}, {Name: "desk"}}
	g.tables.table.Store(routetable.New(1, []*routetable.Route{gen, plain}, services, routetable.Limits{BodyBytes: 1 << 20}))
}

// register adds servers to the host's view, where they stay registered.
func (g *Gateway) register(s ...directory.Server) {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	for _, x := range s {
		g.fleet.dir.Register(x)
		g.fleet.renewals[x.ID] = renewal{born: x.Born, after: time.Now().Add(time.Hour)}
	}
	g.fleet.rebuild(time.Now())
}

// server is a fake backend server.
type server struct {
	directory.Server
	// states, if not nil, is the start of the incarnation that runs, as the server states it.
	states *atomic.Int64
	mu     sync.Mutex
	// handle, if not nil, answers requests instead of the function that startServer was given.
	handle func(w http.ResponseWriter, r *http.Request)
	// ran holds the IDs of the received requests, each with the event after which it
	// resumes.
	ran []string
}

// identify answers with the start of the incarnation that runs, if the server states it.
func (s *server) identify(w http.ResponseWriter) {
	if s.states == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = fmt.Fprint(w, s.states.Load())
}

func (s *server) runs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.ran...)
}

// startServer starts a fake server that answers requests with handle. The request ID is
// echoed.
func startServer(t *testing.T, id, service string, handle func(s *server, w http.ResponseWriter, r *http.Request)) *server {
	t.Helper()
	s := &server{Server: directory.Server{ID: id, Service: service, Domain: "d1", Software: "1", Slots: 4, Versions: map[string]int64{"m": 1}}}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == identityTarget {
			s.identify(w)
			return
		}
		s.mu.Lock()
		s.ran = append(s.ran, r.Header.Get(testDialect.RequestID)+"@"+r.Header.Get(testDialect.ResumeAfter))
		s.mu.Unlock()
		w.Header().Set(testDialect.RequestID, r.Header.Get(testDialect.RequestID))
		if s.handle != nil {
			s.handle(w, r)
			return
		}
		handle(s, w, r)
	}))
	t.Cleanup(h.CloseClientConnections)
	s.Address = netip.MustParseAddrPort(strings.TrimPrefix(h.URL, "http://"))
	return s
}

// stream writes the events from the resume point up to n, stating a version. If cut is not
// 0, the connection is closed in the middle of the event that follows cut.
func stream(w http.ResponseWriter, r *http.Request, version int64, n, cut int) {
	from, _ := strconv.Atoi(r.Header.Get(testDialect.ResumeAfter))
	w.Header().Set(testDialect.WeightVersion, strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	c := http.NewResponseController(w)
	for i := from + 1; i <= n; i++ {
		if cut > 0 && i > cut {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: to", i)
			_ = c.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: t%d\n\n", i, i)
		_ = c.Flush()
	}
}

// newStep returns a step of n items.
func newStep(id string, n int) *stepjournal.Step {
	s := &stepjournal.Step{ID: id, Model: "m", MinVersion: 1, Groups: n, Host: "h", Path: "/gen/x"}
	for i := range n {
		s.Items = append(s.Items, stepjournal.Item{ID: fmt.Sprint(id, "-", i), Path: "/gen/1", Body: []byte("p"), Group: "g"})
	}
	return s
}

// waitResults reads a step's results until there are n.
func waitResults(t *testing.T, g *Gateway, id string, n int) []*stepjournal.Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var r []*stepjournal.Result
	for len(r) < n {
		l, err := g.Results(ctx, Principal{}, id, len(r), time.Second)
		require.NoError(t, err)
		r = append(r, l.Results...)
		require.NoError(t, ctx.Err(), "got %d of %d results in time", len(r), n)
	}
	return r
}

// unresponsiveListener accepts connections, keeps them open until the test ends, and never
// answers. A connection that nothing refers to is closed by the garbage collector.
func unresponsiveListener(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range open {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, c)
			mu.Unlock()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newLog() *memlog.Log { return memlog.New(testParts) }

// putStep appends a finished step of n results, each with a text of some size, and further records
// up to a size of its partition.
func putStep(t *testing.T, l partitionlog.Log, id string, n, textBytes, partitionBytes int) {
	t.Helper()
	put := func(b ...[]byte) {
		_, err := l.Append(context.Background(), partitionlog.AppendRequest{
			Partition: stepPartition(id), Records: b, ExpectedEnd: partitionlog.NoCondition,
		})
		require.NoError(t, err)
	}
	for size := 0; size < partitionBytes; size += textBytes {
		b, err := stepjournal.Saved("other", &stepjournal.Progress{Text: string(make([]byte, textBytes))})
		require.NoError(t, err)
		put(b)
	}
	s := newStep(id, n)
	s.Submitted = time.Now()
	b, err := stepjournal.Accepted(s, stepjournal.Driver{Host: "gone"}, 256<<10)
	require.NoError(t, err)
	put(b...)
	for i := range n {
		b, err := stepjournal.Finished(&stepjournal.Result{Step: id, ItemIndex: i, State: stepjournal.Completed, Text: string(make([]byte, textBytes))})
		require.NoError(t, err)
		put(b)
	}
}

func stepPartition(id string) partitionlog.Partition {
	return partitionlog.Partition{Topic: stepjournal.Topic, Number: stepjournal.PartitionOf(id, testParts)}
}
