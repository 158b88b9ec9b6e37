package capacityplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberrypier.example/pier/directory"
	"mulberrypier.example/pier/routetable"
)

func ordinary(d string) Group    { return Group{Domain: d} }
func reclaimable(d string) Group { return Group{Domain: d, Reclaimable: true} }

// inAll returns the groups of a kind in all failure domains of the model.
func (m *model) inAll(kind func(d string) Group) []Group {
	var r []Group
	for d := range m.scaling.DomainPrices {
		r = append(r, kind(d))
	}
	return r
}

// Guards against samples that wait, against targets that go up and down under a load that does not change,
// and against ordinary servers that are paid for peaks.
func TestSteadyLoad(t *testing.T) {
	m := newModel()
	m.run(5 * time.Minute)
	m.report(t, 0)
	require.Empty(t, m.broken)
	require.Zero(t, m.waitedBetween(0, m.now))
	require.LessOrEqual(t, m.turns(time.Minute, m.now), 2)
	require.Less(t, m.ready(false), 30)
	require.Greater(t, m.ready(true), 15)
	total := m.ready(false) + m.ready(true)
	for d := range m.scaling.DomainPrices {
		require.LessOrEqual(t, m.count(ordinary(d))+m.count(reclaimable(d)), total/2+1, "half of the servers must stay when %s is lost", d)
	}
	require.Greater(t, m.count(ordinary("a")), m.count(ordinary("d")), "the cheapest domain must get more")
}

// Guards against a capacity that follows a burst too late: samples may wait only until the first servers
// that were ordered for it serve, and the servers must be given back after it.
func TestBurst(t *testing.T) {
	const from, to = time.Minute, 90 * time.Second
	m := newModel()
	m.steps = func(t time.Duration) int {
		if t >= from && t < to {
			return 250
		}
		return 100
	}
	m.run(3 * time.Minute)
	m.report(t, from)
	require.Empty(t, m.broken)
	require.Zero(t, m.waitedBetween(0, from))
	require.Less(t, m.waitedBetween(from, m.now), 30*time.Second)
	require.Zero(t, m.waitedBetween(from+m.scaling.StartupTime+tick, m.now))
	require.Less(t, m.ready(false)+m.ready(true), 60)
	for _, k := range m.inAll(ordinary) {
		for _, o := range m.ordersOf(k, from, to) {
			require.LessOrEqual(t, o.Servers, 15, "a peak must be served by reclaimable servers")
		}
	}
}

// Guards against capacity that is missing after the reclaimable servers of a failure domain were taken away,
// and against a domain that is ordered over and over while it has none.
func TestReclaim(t *testing.T) {
	const at = time.Minute
	m := newModel()
	m.run(at)
	before := m.ready(true)
	lost := m.count(reclaimable("a"))
	require.Positive(t, lost)
	m.reclaim("a")
	m.run(at + m.scaling.StartupTime + 3*tick)
	require.GreaterOrEqual(t, m.ready(true), before, "others must replace them at once")
	m.run(2 * time.Minute)
	m.report(t, at)
	require.Empty(t, m.broken)
	require.Less(t, m.waitedBetween(at, m.now), time.Second)
	require.LessOrEqual(t, len(m.ordersOf(reclaimable("a"), at, at+8*time.Second)), 4)
	require.Positive(t, m.count(reclaimable("a")))
}

// Guards against samples that wait for long as no reclaimable servers are available anywhere, and against
// the more expensive ones that replace them staying afterwards.
func TestReclaimEverywhere(t *testing.T) {
	const at = time.Minute
	m := newModel()
	m.run(at)
	needed := m.p.Summary().Needed
	for d := range m.scaling.DomainPrices {
		m.reclaim(d)
	}
	m.run(at + m.scaling.StartupTime + 4*tick)
	require.GreaterOrEqual(t, m.ready(false), needed-2)
	m.run(3 * time.Minute)
	m.report(t, at)
	require.Empty(t, m.broken)
	require.Less(t, m.waitedBetween(at, m.now), 10*time.Second)
	require.Less(t, m.ready(false), 32)
	require.Greater(t, m.ready(true), 15)
}

// All failure domains are as large as they may be when the reclaimable servers are taken away. Those that
// are gone must not keep the others from being ordered.
func TestReclaimAtTheMaximum(t *testing.T) {
	const at = time.Minute
	m := newModel()
	m.steps = func(time.Duration) int { return 250 }
	m.run(at)
	require.Equal(t, 88, m.ready(false)+m.ready(true))
	for d := range m.scaling.DomainPrices {
		m.reclaim(d)
		m.unavailable[reclaimable(d)] = 10 * time.Minute
	}
	m.run(at + m.scaling.StartupTime + 10*time.Second)
	require.Empty(t, m.broken)
	require.GreaterOrEqual(t, m.ready(false), 80)
}

// Guards against a lost ordinary server that is not replaced where the provider does not do it, and against
// two for one where it does.
func TestLostServersAreReplaced(t *testing.T) {
	for name, keeps := range map[string]bool{"by the provider": true, "by order": false} {
		t.Run(name, func(t *testing.T) {
			const at = time.Minute
			m := newModel()
			m.keeps = keeps
			m.run(at)
			want := m.targets[ordinary("a")]
			m.servers = remove(m.servers, ordinary("a"), 2)
			m.run(at + m.scaling.StartupTime + 3*tick)
			require.Equal(t, want, m.count(ordinary("a")))
			require.Equal(t, want, m.targets[ordinary("a")])
			require.Empty(t, m.broken)
		})
	}
}

// remove removes n servers of a group.
func remove(l []*modelServer, k Group, n int) []*modelServer {
	var r []*modelServer
	for _, s := range l {
		if s.k == k && n > 0 {
			n--
			continue
		}
		r = append(r, s)
	}
	return r
}

// A failure domain accepts orders, and its servers do not start. Others must get them although one of them
// then has more than half.
func TestDomainThatStartsNothing(t *testing.T) {
	m := newModel()
	m.scaling.DomainPrices = map[string]float64{"a": 1, "b": 1.1}
	m.targets = map[Group]int{ordinary("a"): 16, ordinary("b"): 16}
	m.servers = nil
	m.provide(0)
	m.trainers = 2
	m.run(time.Minute)
	for _, k := range []Group{ordinary("a"), reclaimable("a")} {
		m.unavailable[k] = time.Hour
		m.servers = remove(m.servers, k, 100)
	}
	m.answer = func(d Decision) (Result, bool) { return Accepted, d.Group.Domain == "a" }
	m.run(80 * time.Second)
	require.Equal(t, m.scaling.Max, m.count(ordinary("b"))+m.count(reclaimable("b")))
}

func TestNothingIsOrderedAtTheStart(t *testing.T) {
	tests := map[string]struct {
		open  int
		until time.Duration
		want  int
	}{
		"without demand":             {0, time.Minute, 0},
		"before it was observed":     {400, observationTime, 0},
		"after it has been observed": {400, observationTime + tick, 4},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			m := newModel()
			var n int
			for ; m.now < c.until; m.now += tick {
				in := m.input()
				in.Open, in.LargestStep = c.open, c.open/4
				n += len(m.p.Plan(in))
			}
			if c.want == 0 {
				require.Zero(t, n)
			} else {
				require.Positive(t, n)
			}
			require.GreaterOrEqual(t, m.p.Targets()[ordinary("a")], 11)
		})
	}
}

// planFor plans with a number of open samples for some time, where all that is ordered is provided at once,
// and returns the sum of the targets.
func planFor(p *Planner, in *Input, open int, d time.Duration) int {
	in.Open = open
	for end := in.Now + d; in.Now < end; in.Now += tick {
		for _, o := range p.Plan(*in) {
			p.Answered(o.Group, o.Servers, Accepted, in.Now)
			in.Servers[o.Group] = Servers{Ready: o.Servers}
		}
	}
	n := 0
	for _, t := range p.Targets() {
		n += t
	}
	return n
}

// Guards against capacity that is given back between two bursts.
func TestTargetsAreHeld(t *testing.T) {
	p := New(Config{})
	in := Input{Now: time.Hour, Slots: 6, Scaling: newModel().scaling, Servers: map[Group]Servers{ordinary("a"): {Ready: 11}, ordinary("b"): {Ready: 11}}}
	planFor(p, &in, 300, 2*time.Minute)
	require.Equal(t, 50, planFor(p, &in, 300, tick))
	require.Equal(t, 50, planFor(p, &in, 30, holdTime))
	require.Less(t, planFor(p, &in, 30, demandWindow+5*time.Second), 25)
	require.GreaterOrEqual(t, planFor(p, &in, 300, tick), 50, "a target must be raised at once")
}

// Guards against servers that leave while samples run at them: a target leaves as many slots as are in use.
func TestTargetsCoverWhatRuns(t *testing.T) {
	p := New(Config{})
	in := Input{Now: time.Hour, Slots: 6, Scaling: newModel().scaling, Servers: map[Group]Servers{ordinary("d"): {Ready: 20}}}
	planFor(p, &in, 100, 30*time.Second)
	busy := in.Servers[ordinary("d")]
	busy.Running = 6*busy.Ready - 7
	for range 200 {
		in.Servers[ordinary("d")] = busy
		planFor(p, &in, 0, tick)
		require.GreaterOrEqual(t, p.Targets()[ordinary("d")], busy.Ready-1)
	}
}

// The configuration lowers the maximum, or raises the minimum.
func TestChangedBounds(t *testing.T) {
	m := newModel()
	m.run(time.Minute)
	m.scaling.Max = 10
	m.run(90 * time.Second)
	for d := range m.scaling.DomainPrices {
		require.LessOrEqual(t, m.targets[ordinary(d)]+m.targets[reclaimable(d)], 10)
	}
	m.scaling.Min, m.scaling.Max = 15, 22
	m.run(100 * time.Second)
	for d := range m.scaling.DomainPrices {
		require.GreaterOrEqual(t, m.targets[ordinary(d)]+m.targets[reclaimable(d)], 15)
	}
}

// Without renewal the record of a target expires, and a host that starts later takes the registered servers
// for the target.
func TestRecordsAreRenewed(t *testing.T) {
	m := newModel()
	m.p = New(Config{RecordLifetime: 20 * time.Second})
	m.run(3 * time.Minute)
	recorded := make(map[Group]time.Duration)
	for _, o := range m.orders {
		recorded[o.Group] = o.at
	}
	require.NotEmpty(t, recorded)
	for k, at := range recorded {
		require.Greater(t, at, m.now-21*time.Second, "%v", k)
	}
	require.Empty(t, m.broken)
}

// BenchmarkPlan plans at the size to design for: 12 failure domains with 12,000 servers.
func BenchmarkPlan(b *testing.B) {
	var l []directory.Server
	s := routetable.Scaling{Min: 10, Max: 2000, StartupTime: time.Minute, ReclaimablePrice: 0.22, DomainPrices: make(map[string]float64)}
	for i := range 12000 {
		d := fmt.Sprint("domain-", i%12)
		s.DomainPrices[d] = 1 + float64(i%12)/10
		l = append(l, directory.Server{ID: fmt.Sprint(i), Domain: d, Reclaimable: i%3 == 0})
	}
	p := New(Config{})
	in := Input{Now: time.Hour, Scaling: s, Slots: 6, LargestStep: 16384}
	b.ReportAllocs()
	for i := range b.N {
		in.Now += tick
		in.Open = 50000 + i%20000
		in.Servers = CountServers(l)
		for _, d := range p.Plan(in) {
			p.Answered(d.Group, d.Servers, Accepted, in.Now)
		}
	}
}
