package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/partitionlog"
)

// The log turns a host away, and the connection to the peer that it asks first is silent. The call
// waited for that peer until its deadline and never asked the next one.
func TestSilentPeerTakesAllOfACallsTime(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, refuses)), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = n.Close() })
	silent := n.Addr().(*net.TCPAddr).AddrPort()
	a.peerLog.mu.Lock()
	a.peerLog.paths.SetPeers([]netip.AddrPort{silent})
	a.peerLog.paths.SetPeers([]netip.AddrPort{silent, b.self.Peers})
	a.peerLog.paths.Direct(false, boottime.Now()-time.Second)
	a.peerLog.paths.Direct(false, boottime.Now()-time.Second)
	a.peerLog.mu.Unlock()
	cut.Store(true)
	require.True(t, a.peerLog.directFails())
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	_, err = a.c.Log.Read(ctx, partitionlog.ReadRequest{Partition: partitionlog.Partition{Topic: "x"}})
	require.NoError(t, err)
}
