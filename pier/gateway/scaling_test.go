package gateway

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/boottime"
	"mulberrypier.example/pier/capacityplan"
	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/orderlease"
	"mulberrypier.example/pier/outcome"
	"mulberrypier.example/pier/partitionlog"
	"mulberrypier.example/pier/provider"
	"mulberrypier.example/pier/routetable"
)

// scale has the hosts' configuration bound the servers of the engines, of which n are registered in each of two
// failure domains.
func (g *Gateway) scale(n int) {
	gen := &routetable.Route{
		Name: "gen", Host: "h", Prefix: "/gen/", Kind: routetable.KindRollout, Attempts: 3,
		Services: []routetable.WeightedService{{Service: "engines", Weight: 1}}, AbandonAfter: time.Minute,
	}
	s := &routetable.Service{Name: "engines", Models: []string{"m"}, Slots: 4, Scaling: &routetable.Scaling{
		Min: 1, Max: 20, StartupTime: time.Second, ReclaimablePrice: 0.22, DomainPrices: map[string]float64{"d1": 1, "d2": 1.2},
	}}
	g.tables.table.Store(routetable.New(1, []*routetable.Route{gen}, []*routetable.Service{s}, routetable.Limits{BodyBytes: 1 << 20}))
	for _, d := range []string{"d1", "d2"} {
		g.provide(capacityplan.Group{Domain: d}, n)
	}
}

// provide has n servers of a group registered that are never called.
func (g *Gateway) provide(k capacityplan.Group, n int) {
	var l []directory.Server
	for i := range n {
		l = append(l, directory.Server{
			ID: fmt.Sprint(k.Domain, k.Reclaimable, i), Service: "engines", Domain: k.Domain, Reclaimable: k.Reclaimable, Slots: 4,
			Address: unusedAddress, Versions: map[string]int64{"m": 1},
		})
	}
	g.register(l...)
	g.fleet.mu.Lock()
	g.fleet.readAt = time.Now().Add(time.Hour)
	g.fleet.mu.Unlock()
}

// demandSlots has other hosts report open samples until the test ends.
func (g *Gateway) demandSlots(t *testing.T, waiting int) {
	ctx, cancel := context.WithCancel(g.ctx)
	var w sync.WaitGroup
	t.Cleanup(func() { cancel(); w.Wait() })
	w.Go(func() {
		for n := int64(1); ctx.Err() == nil; n++ {
			r := openReport{Host: "driver", Number: n, Services: []openService{{Service: "engines", Waiting: waiting}}}
			_ = g.scaling.reports.add(r, boottime.Now())
			time.Sleep(100 * time.Millisecond)
		}
	})
}

// targets returns the targets of the calls that the provider received, in order.
func (p *fakeProvider) targets() []provider.Target {
	var r []provider.Target
	for _, e := range p.received() {
		r = append(r, e.target)
	}
	return r
}

// ordered returns the sum of the newest targets by group, with n servers where none was ordered.
func ordered(l []provider.Target, n int) int {
	newest := map[capacityplan.Group]int{{Domain: "d1"}: n, {Domain: "d2"}: n}
	for _, t := range l {
		newest[groupOf(t)] = t.Servers
	}
	sum := 0
	for _, x := range newest {
		sum += x
	}
	return sum
}

// Guards against samples that wait as nobody orders servers, against orders before the demand is known, and
// against orders that no record announces.
func TestServersAreOrderedForOpenSamples(t *testing.T) {
	log := newLog().Functions()
	p := &fakeProvider{}
	g := newDutyHost(t, "a", p, log)
	g.scale(2)
	g.demandSlots(t, 60)
	start := time.Now()
	g.wg.Go(g.orders.run)
	require.Eventually(t, func() bool { return ordered(p.targets(), 2) >= 15 }, 8*time.Second, 10*time.Millisecond)
	require.Greater(t, time.Since(start), 2*time.Second)
	var recorded []provider.Target
	for _, r := range leaseRecords(t, log) {
		if r.Target != nil {
			recorded = append(recorded, *r.Target)
		}
	}
	for _, x := range p.targets() {
		require.Contains(t, recorded, x)
		require.LessOrEqual(t, x.Servers, 20)
	}
	w := httptest.NewRecorder()
	g.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
	for _, want := range []string{
		`mulberrypier_scaling_open_samples{service="engines"} 60`, `mulberrypier_scaling_needed_servers{service="engines"} 15`,
		`mulberrypier_scaling_ready_servers{domain="d1",kind="ordinary",service="engines"} 2`, `mulberrypier_scaling_decisions_total{reason="demand"}`,
	} {
		require.Contains(t, w.Body.String(), want)
	}
}

// A deployment that does not order servers must neither plan nor record targets.
func TestWithoutAProviderNothingIsScaled(t *testing.T) {
	tests := map[string]func(g *Gateway){
		"no calls":            func(g *Gateway) { g.c.Provider = provider.API{} },
		"no bounded services": func(g *Gateway) { g.table(nil) },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			log := newLog().Functions()
			p := &fakeProvider{}
			g := newDutyHost(t, "a", p, log)
			g.scale(2)
			change(g)
			g.demandSlots(t, 60)
			g.wg.Go(g.orders.run)
			g.wg.Go(g.scaling.reports.run)
			time.Sleep(3500 * time.Millisecond)
			require.Empty(t, p.received())
			for _, r := range leaseRecords(t, log) {
				require.Nil(t, r.Target)
			}
		})
	}
}

// A holder is lost after it has appended a decision and before it has sent the call. The next one must order
// exactly that, with a higher fencing token, and not what it would have decided itself.
func TestNextHolderSendsTheDecisionOfTheLastOne(t *testing.T) {
	log := newLog().Functions()
	before, after := &fakeProvider{}, &fakeProvider{}
	a := newDutyHost(t, "a", before, log)
	a.scale(2)
	want := provider.Target{Service: "engines", Domain: "d2", Servers: 7, Reclaimable: true}
	require.True(t, a.orders.append(&decision{Target: &want}))
	fence := a.orders.lease.Fence()
	a.Close()

	b := newDutyHost(t, "b", after, log)
	b.scale(2)
	b.demandSlots(t, 4)
	b.wg.Go(b.orders.run)
	require.Eventually(t, func() bool { return len(after.received()) > 0 }, 10*time.Second, 10*time.Millisecond)
	first := after.received()[0]
	require.Equal(t, want, first.target)
	require.Greater(t, first.holder.Fence, fence)
	require.Empty(t, before.received())
}

// The failure domain d1 does not answer, or has no servers. Another one must get the servers, and the same order
// must be repeated there as it may be carried out late.
func TestOrdersThatFail(t *testing.T) {
	silent := outcome.Ambiguous(outcome.ReasonSilent, "provider", nil)
	none := outcome.Refuse(outcome.ReasonConflict, "provider")
	for name, failure := range map[string]*outcome.Error{"no answer": silent, "none available": none} {
		t.Run(name, func(t *testing.T) {
			p := &fakeProvider{}
			g := newDutyHost(t, "a", p, newLog().Functions())
			g.scale(2)
			g.c.Provider.SetTarget = func(_ context.Context, h provider.Holder, x provider.Target) error {
				_ = p.receive(context.Background(), providerEntry{holder: h, target: x})
				if x.Domain == "d1" {
					return failure
				}
				return nil
			}
			g.demandSlots(t, 60)
			g.wg.Go(g.orders.run)
			time.Sleep(7 * time.Second)
			byGroup := make(map[capacityplan.Group][]int)
			for _, x := range p.targets() {
				byGroup[groupOf(x)] = append(byGroup[groupOf(x)], x.Servers)
			}
			d2 := 2
			for k, l := range byGroup {
				if k.Domain == "d2" && k.Reclaimable {
					d2 += l[len(l)-1]
				} else if k.Domain == "d2" {
					d2 += l[len(l)-1] - 2
				}
				if k.Domain == "d1" && failure == silent {
					require.Len(t, slices.Compact(slices.Clone(l)), 1, "%v: %v", k, l)
					require.Greater(t, len(l), 1)
				}
				require.LessOrEqual(t, len(l), 5, "%v: %v", k, l)
			}
			require.GreaterOrEqual(t, d2, 13, "%v", byGroup)
		})
	}
}

// The order of a group was not answered and is carried out late. No other target may be ordered for the group
// until the provider has answered.
func TestLateOrder(t *testing.T) {
	p := &fakeProvider{}
	g := newDutyHost(t, "a", p, newLog().Functions())
	g.scale(2)
	var mu sync.Mutex
	var late *provider.Target
	failures := 0
	g.c.Provider.SetTarget = func(_ context.Context, h provider.Holder, x provider.Target) error {
		mu.Lock()
		defer mu.Unlock()
		_ = p.receive(context.Background(), providerEntry{holder: h, target: x})
		if late == nil {
			late = &x
		}
		if groupOf(*late) != groupOf(x) {
			return nil
		}
		if failures++; failures > 2 {
			return nil
		}
		time.AfterFunc(time.Second, func() { g.provide(groupOf(x), x.Servers) })
		return outcome.Ambiguous(outcome.ReasonSilent, "provider", nil)
	}
	g.demandSlots(t, 60)
	g.wg.Go(g.orders.run)
	time.Sleep(7 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	require.NotNil(t, late)
	require.Greater(t, failures, 2)
	n := 0
	for _, x := range p.targets() {
		if groupOf(x) == groupOf(*late) && n < 3 {
			require.Equal(t, late.Servers, x.Servers)
			n++
		}
	}
}

// Replacements must be ordered as soon as it is known that servers are taken away.
func TestPlanFollowsAReclaimAtOnce(t *testing.T) {
	g := newDutyHost(t, "a", &fakeProvider{}, newLog().Functions())
	g.scale(2)
	now := time.Hour
	g.scaling.calls(now)
	g.scaling.calls(now + planInterval/2)
	require.Equal(t, now, g.scaling.plannedAt)
	for len(g.orders.woken) > 0 {
		<-g.orders.woken
	}
	g.register(directory.Server{ID: "taken", Service: "engines", Domain: "d1", Reclaimable: true, Leaving: true, LeavesAt: time.Now().Add(time.Second)})
	require.Len(t, g.orders.woken, 1)
	g.scaling.calls(now + planInterval/2)
	require.Equal(t, now+planInterval/2, g.scaling.plannedAt)
	g.scaling.calls(now + planInterval)
	require.Equal(t, now+planInterval/2, g.scaling.plannedAt)
}

// What says nothing of a failure domain must not have others ordered in its place.
func TestOrderResults(t *testing.T) {
	tests := map[string]struct {
		err  error
		want capacityplan.Result
		ok   bool
	}{
		"accepted":      {nil, capacityplan.Accepted, true},
		"none there":    {outcome.Refuse(outcome.ReasonConflict, ""), capacityplan.Refused, true},
		"rejected":      {outcome.Refuse(outcome.ReasonBadRequest, ""), capacityplan.Refused, true},
		"no answer":     {outcome.Ambiguous(outcome.ReasonConnectionLost, "", nil), capacityplan.Unanswered, true},
		"failed":        {outcome.Ambiguous(outcome.ReasonServerError, "", nil), capacityplan.Unanswered, true},
		"too many":      {outcome.Refuse(outcome.ReasonTooManyRequests, ""), 0, false},
		"not connected": {outcome.Refuse(outcome.ReasonUnreachable, ""), 0, false},
		"too late":      {outcome.Refuse(outcome.ReasonStaleFence, ""), 0, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			r, ok := orderResult(c.err)
			require.Equal(t, c.ok, ok)
			require.Equal(t, c.want, r)
		})
	}
}

// Targets that were recorded long before count as in force for a host that starts later.
func TestTargetsAreReadFromTheTopic(t *testing.T) {
	log := newLog().Functions()
	x := provider.Target{Service: "engines", Domain: "d1", Servers: 9}
	for i, r := range []*orderlease.Record{{Holder: "x", HostID: "x", Target: &x}, {Holder: "x", HostID: "x"}} {
		b, err := r.Encode()
		require.NoError(t, err)
		_, err = log.Append(context.Background(), partitionlog.AppendRequest{
			Partition: partitionlog.Partition{Topic: orderlease.Topic}, Records: [][]byte{b}, ExpectedEnd: int64(i),
		})
		require.NoError(t, err)
	}
	g := newDutyHost(t, "a", &fakeProvider{}, log)
	require.NoError(t, g.orders.read(0))
	require.Equal(t, map[capacityplan.Group]int{{Domain: "d1"}: 9}, g.scaling.planners["engines"].Targets())
}
