package gateway

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/provider"
)

// providerEntry is a call that a fakeProvider received.
type providerEntry struct {
	holder provider.Holder
	target provider.Target
	usage  provider.UsageReport
	at     time.Duration
}

// fakeProvider records the calls that reach it.
type fakeProvider struct {
	mu    sync.Mutex
	calls []providerEntry
	// answer, if not nil, answers a call in place of success. n is the number of earlier calls.
	answer func(ctx context.Context, n int) error
}

func (p *fakeProvider) api() provider.API {
	return provider.API{
		ReportUsage: func(ctx context.Context, h provider.Holder, r provider.UsageReport) error {
			return p.receive(ctx, providerEntry{holder: h, usage: r})
		},
		SetTarget: func(ctx context.Context, h provider.Holder, t provider.Target) error {
			return p.receive(ctx, providerEntry{holder: h, target: t})
		},
	}
}

func (p *fakeProvider) receive(ctx context.Context, e providerEntry) error {
	if err := e.holder.Check(); err != nil {
		return err
	}
	p.mu.Lock()
	n := len(p.calls)
	e.at = boottime.Now()
	p.calls = append(p.calls, e)
	answer := p.answer
	p.mu.Unlock()
	if answer == nil {
		return nil
	}
	return answer(ctx, n)
}

func (p *fakeProvider) received() []providerEntry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.calls)
}

// dutySettings returns the settings of a host of a deployment with a provider.
func dutySettings(name string) *Settings {
	s := hostSettings(name, unusedAddress)
	s.Provider = Provider{
		Address: unusedAddress, CallsPerSecond: 50,
	}
	return s
}

// newDutyHost returns a host that may take the order lease and calls a provider.
func newDutyHost(t *testing.T, name string, p *fakeProvider, log partitionlog.Log) *Gateway {
	g := newHostFrom(t, dutySettings(name), log)
	g.c.Provider = p.api()
	g.watch.rank.Store(0)
	return g
}

// leaseRecords returns the records of the orders' topic.
func leaseRecords(t *testing.T, log partitionlog.Log) []*orderlease.Record {
	t.Helper()
	p, err := log.Read(context.Background(), partitionlog.ReadRequest{
		Partition: partitionlog.Partition{Topic: orderlease.Topic}, MaxBytes: 1 << 30,
	})
	require.NoError(t, err)
	var l []*orderlease.Record
	for _, b := range p.Records {
		r, err := orderlease.Decode(b)
		require.NoError(t, err)
		l = append(l, r)
	}
	return l
}

// A provider that never answers must not keep the holder from renewing its lease, and must not get a
// second call about the same servers meanwhile. A call about other servers is not held up.
func TestSilentProviderBlocksNothingElse(t *testing.T) {
	log := newLog().Functions()
	p := &fakeProvider{answer: func(ctx context.Context, _ int) error {
		<-ctx.Done()
		return outcome.Ambiguous(outcome.ReasonSilent, "provider", nil)
	}}
	g := newDutyHost(t, "a", p, log)
	a := provider.Target{Service: "s", Domain: "d1", Servers: 3}
	b := provider.Target{Service: "s", Domain: "d2", Servers: 3}
	g.orders.duties.planners = append(g.orders.duties.planners, func(time.Duration) []dutyCall {
		return []dutyCall{{Target: &a}, {Target: &b}}
	})
	g.wg.Go(g.orders.run)
	require.Eventually(t, func() bool { return len(p.received()) == 2 }, 5*time.Second, 5*time.Millisecond)
	fence := p.received()[0].holder.Fence
	require.Positive(t, fence)
	time.Sleep(dutyCallTimeout - 200*time.Millisecond)
	require.Len(t, p.received(), 2)
	require.Eventually(t, func() bool { return len(p.received()) == 4 }, 5*time.Second, 5*time.Millisecond)
	for _, e := range p.received() {
		require.Equal(t, fence, e.holder.Fence)
		require.Equal(t, "a", e.holder.Host)
	}
	require.Greater(t, len(leaseRecords(t, log)), 5, "the lease must be renewed meanwhile")
}

// The decision must be in the topic before the provider is called, or the next holder could not repeat it.
func TestDecisionIsRecordedBeforeItsCall(t *testing.T) {
	log := newLog().Functions()
	var before []*orderlease.Record
	p := &fakeProvider{}
	p.answer = func(context.Context, int) error {
		before = leaseRecords(t, log)
		return nil
	}
	g := newDutyHost(t, "a", p, log)
	require.True(t, g.orders.append(nil))
	want := provider.Target{Service: "s", Domain: "d1", Servers: 3, Reclaimable: true}
	var seen []provider.Target
	g.orders.duties.targetRecorded = func(x provider.Target, _ time.Duration) { seen = append(seen, x) }
	require.True(t, g.orders.duties.start(dutyCall{Target: &want}))
	require.NoError(t, (<-g.orders.duties.answers).err)
	require.Equal(t, &want, before[len(before)-1].Target)
	require.Equal(t, []provider.Target{want}, seen, "the holder must see its own decision as well")
}

// unusedAddress is an address at which no process listens.
var unusedAddress = netip.MustParseAddrPort("127.0.0.1:1")
