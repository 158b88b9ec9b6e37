package gateway

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/partitionlog"
)

const (
	// crashBody is the body of the requests that end the servers that run them.
	crashBody = "crash"
	// crashRunTime is how long such a request runs before its server ends.
	crashRunTime = 20 * time.Millisecond
)

// crashServer is a fake server that ends when it runs a request whose body begins with
// crashBody, and starts again at the same address as a new incarnation.
type crashServer struct {
	t     *testing.T
	name  string
	hosts []*Gateway
	// down is how long the server is away after it ended.
	down    time.Duration
	address netip.AddrPort
	// ends counts how often it ended.
	ends atomic.Int64
	// bodies receives the body of each request that it runs.
	bodies func(body string)
	// streams is set if it begins its answer before it runs the request.
	streams bool

	mu   sync.Mutex
	http *http.Server
	gone bool
}

// startCrashServer starts a server and registers it at hosts.
func startCrashServer(t *testing.T, name string, hosts []*Gateway, down time.Duration, bodies func(body string)) *crashServer {
	t.Helper()
	s := &crashServer{t: t, name: name, hosts: hosts, down: down, bodies: bodies}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = netip.MustParseAddrPort(l.Addr().String())
	s.serve(l)
	t.Cleanup(func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.gone = true
		_ = s.http.Close()
	})
	return s
}

func (s *crashServer) id() string { return fmt.Sprint(s.name, "-", s.ends.Load()) }

func (s *crashServer) serve(l net.Listener) {
	s.http = &http.Server{Handler: http.HandlerFunc(s.run)}
	go func() { _ = s.http.Serve(l) }()
	for _, g := range s.hosts {
		g.register(directory.Server{ID: s.id(), Service: "desk", Domain: "d1", Slots: 6, Address: s.address, Born: time.Now()})
	}
}

func (s *crashServer) run(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set(testDialect.RequestID, r.Header.Get(testDialect.RequestID))
	if e := r.Header.Get(testDialect.ExpectedIncarnation); e != s.id() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.bodies(string(b))
	if s.streams {
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
	}
	if len(b) >= len(crashBody) && string(b[:len(crashBody)]) == crashBody {
		time.Sleep(crashRunTime)
		s.end()
		return
	}
	time.Sleep(crashRunTime / 2)
	_, _ = w.Write(b)
}

// end ends the server with all its connections, and has it start again.
func (s *crashServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	old := s.id()
	s.ends.Add(1)
	_ = s.http.Close()
	time.AfterFunc(s.down, func() { s.restart(old) })
}

func (s *crashServer) restart(old string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.t.Context().Err() != nil {
		return
	}
	l, err := net.Listen("tcp", s.address.String())
	if err != nil {
		return
	}
	for _, g := range s.hosts {
		g.fleet.mu.Lock()
		g.fleet.dir.Unregister(old, time.Now())
		g.fleet.mu.Unlock()
	}
	s.gone = false
	s.serve(l)
}

// sendLog records when which bodies reached servers.
type sendLog struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (l *sendLog) add(body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at == nil {
		l.at = make(map[string][]time.Time)
	}
	l.at[body] = append(l.at[body], time.Now())
}

func (l *sendLog) count(body string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.at[body])
}

// after returns how often a body reached a server later than d after it did for the nth time.
func (l *sendLog) after(body string, n int, d time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.at[body]
	if len(t) < n {
		return 0
	}
	count := 0
	for _, x := range t {
		if x.After(t[n-1].Add(d)) {
			count++
		}
	}
	return count
}

// newCrashDeployment returns hosts over a log, and servers of a service that end at requests with
// crashBody and are back after down.
func newCrashDeployment(
	t *testing.T, l partitionlog.Log, hosts, servers int, down time.Duration,
) ([]*Gateway, []*crashServer, *sendLog) {
	t.Helper()
	h := startHosts(t, l, hosts)
	for _, g := range h {
		g.table(nil)
		g.suspects.catchUpEnd.Store(math.MaxInt64)
		g.wg.Go(g.suspects.run)
	}
	for _, g := range h {
		require.Eventually(t, func() bool { return g.suspects.catchUpEnd.Load() == 0 }, 5*time.Second, time.Millisecond)
	}
	var sent sendLog
	var s []*crashServer
	for i := range servers {
		s = append(s, startCrashServer(t, fmt.Sprint("s", i), h, down, sent.add))
	}
	return h, s, &sent
}
