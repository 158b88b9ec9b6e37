package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/settings"
	"mulberrypier.example/pier/stepjournal"
)

// startHeldEngine starts an engine that answers nothing before begin is closed, and has hosts know it and
// answer each other.
func startHeldEngine(t *testing.T, begin <-chan struct{}, hosts ...*Gateway) *server {
	t.Helper()
	return startEngine(t, func(_ *server, w http.ResponseWriter, r *http.Request) {
		<-begin
		stream(w, r, 1, 3, 0)
	}, hosts...)
}

// The driver of a step loses its connection to the log for longer than the step takes. Its
// samples must not run again elsewhere: it appends its results through a peer, which
// completes the step. Once the connection is back, no result may be listed twice.
func TestHostThatIsCutOffKeepsItsSteps(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, resets)), newHost(t, "b", l.Functions())
	begin := make(chan struct{})
	e := startHeldEngine(t, begin, a, b)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	require.Eventually(t, func() bool { return len(e.runs()) == 3 }, 5*time.Second, time.Millisecond)
	a.knowPeers(b)
	cut.Store(true)
	a.logHealth.answerAt.Store(int64(boottime.Now() - time.Minute))
	close(begin)
	b.watch.partitions = []int{stepjournal.PartitionOf("s", testParts)}
	require.Eventually(t, func() bool {
		b.watch.checkSteps()
		n, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
		return err == nil && len(n.Results) == 3
	}, 10*time.Second, 100*time.Millisecond)
	require.False(t, b.steps.isDriving("s"))
	require.Len(t, e.runs(), 3)
	cut.Store(false)
	require.Eventually(t, func() bool { return !a.journal.hasPending() }, 5*time.Second, 10*time.Millisecond)
	n, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
	require.NoError(t, err)
	require.Len(t, n.Results, 3)
}

// A driver that cannot reach the log may start samples only while other hosts query its
// step, as it does not learn otherwise whether it still is the driver.
func TestCutOffDriverStopsUnwatched(t *testing.T) {
	now := time.Now()
	d := &stepDriver{startedAt: now.Add(-time.Minute), view: &view{}}
	require.True(t, d.outdated(now))
	d.watched.Store(int64(boottime.Now()))
	require.False(t, d.outdated(now))
	d.watched.Store(int64(boottime.Now() - watchedTimeout - time.Millisecond))
	require.True(t, d.outdated(now))
}

// The log turns a host away, in each possible way, while a peer reaches it. The host must
// accept a step, list its results and end it, and keep its place in the group.
func TestHostThatIsTurnedAwayGoesOnServing(t *testing.T) {
	for _, how := range []turnedAway{refuses, resets, isSilent} {
		t.Run(string(how), func(t *testing.T) {
			l := newLog()
			var cut atomic.Bool
			a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, how)), newHost(t, "b", l.Functions())
			startEngine(t, oneEvent, a, b)
			a.knowPeers(b)
			require.True(t, a.preferred.refresh(context.Background()))
			cut.Store(true)
			start := time.Now()
			require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 2)))
			require.Len(t, waitResults(t, a, "s", 2), 2)
			require.NoError(t, a.Accept(context.Background(), route(a), newStep("s2", 1)))
			require.NoError(t, a.End(context.Background(), Principal{}, "s2"))
			require.Less(t, time.Since(start), 5*time.Second)
			require.Eventually(t, func() bool {
				require.Positive(t, a.watch.join(0))
				return a.peerLog.directFails()
			}, 5*time.Second, 10*time.Millisecond)
			v := b.journal.follow("s2")
			require.NoError(t, v.sync(context.Background()))
			n, _, ok := v.entry("s2")
			require.True(t, ok)
			require.True(t, n.Ended)

			cut.Store(false)
			a.peerLog.probe()
			require.False(t, a.peerLog.directFails())
		})
	}
}

// A conditional append through the direct path may have been executed. It must not be made
// again, and its outcome must stay unknown. One that was refused goes through a peer.
func TestConditionalAppendIsMadeOnce(t *testing.T) {
	tests := map[string]struct {
		how     turnedAway
		appends int
	}{"may be executed": {resets, 0}, "refused": {refuses, 1}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newLog()
			var cut atomic.Bool
			a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, c.how)), newHost(t, "b", l.Functions())
			b.listenPeers(t)
			a.knowPeers(b)
			cut.Store(true)
			p := partitionlog.Partition{Topic: "x"}
			_, err := a.c.Log.Append(context.Background(), partitionlog.AppendRequest{Partition: p, Records: [][]byte{{1}}, ExpectedEnd: 0})
			g, e := l.Functions().Read(context.Background(), partitionlog.ReadRequest{Partition: p, MaxBytes: 1})
			require.NoError(t, e)
			require.Len(t, g.Records, c.appends)
			if c.appends == 1 {
				require.NoError(t, err)
			} else {
				require.Equal(t, outcome.Unknown, outcome.AsError(err).Outcome)
			}
		})
	}
}

// Answers of the log, errors among them, must arrive unchanged through a peer.
func TestErrorsOfTheLogComeThroughAPeer(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, refuses)), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	a.knowPeers(b)
	p := partitionlog.Partition{Topic: "x"}
	_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{Partition: p, Records: [][]byte{{1}, {2}}, ExpectedEnd: partitionlog.NoCondition})
	require.NoError(t, err)
	l.Expire(p, 1)
	cut.Store(true)
	g, err := a.c.Log.Read(context.Background(), partitionlog.ReadRequest{Partition: p, MaxBytes: 1})
	require.True(t, outcome.HasReason(err, partitionlog.ReasonExpired), "%v", err)
	require.EqualValues(t, 1, g.First)
	_, err = a.c.Log.Append(context.Background(), partitionlog.AppendRequest{Partition: p, Records: [][]byte{{3}}, ExpectedEnd: 0})
	require.True(t, outcome.HasReason(err, partitionlog.ReasonMoved), "%v", err)
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
}

// The log is away for all hosts. They ask each other in vain; no call may go around, and a
// call that no path has sent must be reported as not executed.
func TestLogAwayForAllIsNotRun(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	listenAll(t, a, b)
	a.knowPeers(b)
	b.knowPeers(a)
	l.SetDown(true)
	err := a.Accept(context.Background(), route(a), newStep("s", 1))
	require.True(t, outcome.HasReason(err, outcome.ReasonLogDown), "%v", err)
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	require.True(t, b.peerLog.directFails(), "the failures of a carried call count")
	require.Error(t, a.peers.Call(context.Background(), b.self.Peers, kindLogCall, &logCall{Newest: "x"}, nil))
}

// A host carries a bounded number of calls for its peers at the same time, and refuses the
// others at once, so that hosts that are turned away do not take it along.
func TestHostCarriesABoundedNumberOfCalls(t *testing.T) {
	a, b := newHost(t, "a", newLog().Functions()), newHost(t, "b", newLog().Functions())
	b.listenPeers(t)
	for range maxCarried {
		b.peerLog.carrying <- struct{}{}
	}
	err := a.peers.Call(context.Background(), b.self.Peers, kindLogCall, &logCall{Newest: "x"}, nil)
	require.True(t, outcome.HasReason(err, outcome.ReasonQueueFull), "%v", err)
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	<-b.peerLog.carrying
	require.NoError(t, a.peers.Call(context.Background(), b.self.Peers, kindLogCall, &logCall{Newest: "x"}, nil))
}

func TestPeerAddress(t *testing.T) {
	tests := map[string]bool{"a@10.0.0.1:7000": true, "a@b@10.0.0.1:7000": true, "a": false, "": false, "a@": false}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			_, ok := peerAddress(name)
			require.Equal(t, want, ok)
		})
	}
}

// The log is silent for all hosts for some seconds, in which a driver finishes its step. What
// was sent meanwhile is lost. Once the log is back, the results must be in it, and another
// host must list them all, within half a second.
func TestListIsCompleteSoonAfterAnOutage(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", lossyLog(l.Functions(), &cut)), newHost(t, "b", lossyLog(l.Functions(), &cut))
	begin := make(chan struct{})
	e := startHeldEngine(t, begin, a, b)
	for _, g := range []*Gateway{a, b} {
		g.wg.Go(g.peerLog.run)
	}
	a.knowPeers(b)
	b.knowPeers(a)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	require.Eventually(t, func() bool { return len(e.runs()) == 3 }, 5*time.Second, time.Millisecond)
	v := b.journal.follow("s")
	require.NoError(t, v.sync(context.Background()))
	cut.Store(true)
	close(begin)
	time.Sleep(4 * time.Second)
	cut.Store(false)
	back := time.Now()
	for {
		n, _, ok := v.entry("s")
		require.True(t, ok)
		if len(n.Results) == 3 {
			break
		}
		require.Less(t, time.Since(back), 3*time.Second)
		time.Sleep(time.Millisecond)
	}
	require.Less(t, time.Since(back), 500*time.Millisecond)
}

// A peer that refuses one call must go on with the other calls that it carries for the same
// host.
func TestRefusedCallLeavesTheOthersAlone(t *testing.T) {
	l := newLog()
	a, b := newHost(t, "a", l.Functions()), newHost(t, "b", l.Functions())
	b.listenPeers(t)
	p := partitionlog.Partition{Topic: "x"}
	waiting := make(chan *logAnswer, 1)
	go func() {
		waiting <- a.peerLog.askPeer(context.Background(), b.self.Peers, &logCall{
			Read: &partitionlog.ReadRequest{Partition: p, MaxBytes: 1, Wait: 5 * time.Second},
		})
	}()
	require.Eventually(t, func() bool { return len(b.peerLog.carrying) == 1 }, 5*time.Second, time.Millisecond)
	for len(b.peerLog.carrying) < maxCarried {
		b.peerLog.carrying <- struct{}{}
	}
	r := a.peerLog.askPeer(context.Background(), b.self.Peers, &logCall{Newest: "x"})
	require.False(t, r.answered())
	_, err := l.Functions().Append(context.Background(), partitionlog.AppendRequest{Partition: p, Records: [][]byte{{1}}, ExpectedEnd: partitionlog.NoCondition})
	require.NoError(t, err)
	r = <-waiting
	require.NoError(t, r.err())
	require.Len(t, r.Page.Records, 1)
}

// The peer that carries a host's records is lost and never answers. The records must come
// into the log through another peer, and each result must be listed once.
func TestRecordsGoOnWhenTheCarryingPeerIsLost(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, refuses)), newHost(t, "b", l.Functions())
	e := startServer(t, "e1", "engines", oneEvent)
	listenAll(t, a, b)
	require.NoError(t, a.Accept(context.Background(), route(a), newStep("s", 3)))
	lost := unresponsiveListener(t)
	a.peerLog.mu.Lock()
	a.peerLog.paths.SetPeers([]netip.AddrPort{lost, b.self.Peers})
	a.peerLog.paths.Via(b.self.Peers, false, boottime.Now()) // so that the lost peer is asked first
	a.peerLog.mu.Unlock()
	cut.Store(true)
	a.register(e.Server)
	require.Eventually(t, func() bool {
		n, err := b.Results(context.Background(), Principal{}, "s", 0, 0)
		return err == nil && len(n.Results) == 3
	}, 10*time.Second, 50*time.Millisecond)
	require.Len(t, e.runs(), 3)
}

// A host that shuts down would take the calls of its peers along when its process ends.
func TestHostThatShutsDownCarriesNoCalls(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	a, b, c := newHost(t, "a", disconnectableLog(l.Functions(), &cut, refuses)), newHost(t, "b", l.Functions()), newHost(t, "c", l.Functions())
	b.listenPeers(t)
	c.listenPeers(t)
	a.knowPeers(b, c)
	b.drain.fire("stop")
	cut.Store(true)
	err := a.peers.Call(context.Background(), b.self.Peers, kindLogCall, &logCall{Newest: "x"}, nil)
	require.True(t, outcome.HasReason(err, outcome.ReasonDraining), "%v", err)
	require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
	for range 4 {
		_, err = a.c.Log.Newest(context.Background(), partitionlog.Partition{Topic: "x"})
		require.NoError(t, err, "another peer carries the call")
	}
}

// Guards against calls to the log that a host which stops carries for a peer and cuts: the append took
// effect, and the peer cannot know that.
func TestPlannedStopAnswersTheCallsItCarries(t *testing.T) {
	l := newLog()
	var cut atomic.Bool
	cut.Store(true)
	slow := l.Functions()
	appending := make(chan struct{})
	slow.Append = func(ctx context.Context, q partitionlog.AppendRequest) (partitionlog.AppendResult, error) {
		close(appending)
		time.Sleep(unhealthyDetectionTime + 500*time.Millisecond)
		return l.Functions().Append(ctx, q)
	}
	a, b := newHost(t, "a", disconnectableLog(l.Functions(), &cut, refuses)), newHost(t, "b", slow)
	b.s.Timing.Grace = settings.Duration(5 * time.Second)
	for _, g := range []*Gateway{a, b} {
		g.listenPeers(t)
	}
	a.knowPeers(b)
	answered := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, err := a.c.Log.Append(ctx, partitionlog.AppendRequest{
			Partition: partitionlog.Partition{Topic: "x"}, Records: [][]byte{{1}}, ExpectedEnd: 0,
		})
		answered <- err
	}()
	<-appending
	b.Drain()
	b.Close()
	require.NoError(t, <-answered)
}
