package gateway

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/peer"
)

// A peer of another version that cannot read a call refuses it as a bad request. That is no answer of the
// log: there may be a checkpoint, and the step may have been stored by the call before.
func TestErrorOfAPeerIsNoAnswerOfTheLog(t *testing.T) {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := peer.NewServer(peer.ServerConfig{Listener: n, Handler: func(context.Context, *peer.Request) (any, error) {
		return nil, outcome.Refuse(outcome.ReasonBadRequest, "message kind")
	}})
	t.Cleanup(s.Close)
	var cut atomic.Bool
	cut.Store(true)
	a := newHost(t, "a", disconnectableLog(newLog().Functions(), &cut, resets))
	a.peerLog.paths.SetPeers([]netip.AddrPort{netip.MustParseAddrPort(n.Addr().String())})
	_, err = a.c.Log.Newest(context.Background(), partitionlog.Partition{Topic: checkpointsTopic})
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	_, err = a.journal.view(0).append(context.Background(), [][]byte{{1}})
	require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome, "%v", err)
}
