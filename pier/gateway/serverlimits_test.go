package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
)

// startHosts returns n hosts that listen for peers and are members of the group of hosts.
func startHosts(t *testing.T, l partitionlog.Log, n int) []*Gateway {
	t.Helper()
	var hosts []*Gateway
	for i := range n {
		c, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		g := newHost(t, fmt.Sprint("host-", i), l)
		g.s.Listen.Peers = netip.MustParseAddrPort(c.Addr().String())
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
	require.Greater(t, answered, 300, "calls are served by the server that has room")
}
