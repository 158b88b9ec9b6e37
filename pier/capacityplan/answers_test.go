package capacityplan

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/routetable"
)

// An order without an answer may be carried out late. The same target must be ordered again, whatever is
// needed by then, and another failure domain must get the servers meanwhile.
func TestUnansweredOrderIsRepeated(t *testing.T) {
	m := newModel()
	m.run(time.Minute)
	var late []Decision
	m.answer = func(d Decision) (Result, bool) {
		if len(late) > 0 && late[0].Group != d.Group || d.Servers <= m.targets[d.Group] {
			return Accepted, false
		}
		late = append(late, d)
		return Unanswered, true
	}
	m.steps = func(time.Duration) int { return 250 }
	m.run(80 * time.Second)
	require.GreaterOrEqual(t, len(late), 4)
	require.LessOrEqual(t, len(late), 6)
	k := late[0].Group
	for _, d := range late {
		require.Equal(t, late[0].Servers, d.Servers)
	}
	others := 3*m.scaling.Max + m.count(Group{Domain: k.Domain, Reclaimable: !k.Reclaimable})
	require.GreaterOrEqual(t, m.ready(false)+m.ready(true), min(others, m.p.Summary().Needed-late[0].Servers))
	m.answer = nil
	m.run(82 * time.Second)
	require.Positive(t, m.p.Targets()[k])
	m.run(90 * time.Second)
	require.Equal(t, m.p.Targets()[k], m.targets[k])
}

// An order that is carried out late, after another target was accepted, must be corrected.
func TestLateOrderIsCorrected(t *testing.T) {
	m := newModel()
	m.run(time.Minute)
	k := ordinary("d")
	want := m.targets[k]
	m.targets[k] = want + 7
	m.provide(m.now + m.scaling.StartupTime)
	m.run(150 * time.Second)
	require.LessOrEqual(t, m.targets[k], want+1)
	require.Empty(t, m.broken)
}

// Guards against calls in a row to a failure domain that has no servers.
func TestRefusedDomainIsLeftAlone(t *testing.T) {
	p := New(Config{})
	k := reclaimable("a")
	in := Input{
		Now: time.Hour, Slots: 6, Open: 100, LargestStep: 60, Servers: map[Group]Servers{ordinary("a"): {Ready: 4}},
		Scaling: routetable.Scaling{Min: 1, Max: 40, StartupTime: 4 * time.Second, ReclaimablePrice: 0.2, DomainPrices: map[string]float64{"a": 1}},
	}
	var at []time.Duration
	for ; in.Now < time.Hour+40*time.Second; in.Now += 100 * time.Millisecond {
		for _, o := range p.Plan(in) {
			if o.Group == k {
				at = append(at, in.Now)
			}
			p.Answered(o.Group, o.Servers, map[bool]Result{true: Refused, false: Accepted}[o.Group == k], in.Now)
			if o.Group != k {
				in.Servers[o.Group] = Servers{Ready: o.Servers}
			}
		}
	}
	require.GreaterOrEqual(t, len(at), 5)
	for i, want := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
		require.InDelta(t, want, at[i+1]-at[i], float64(2*time.Second)*0.1)
	}
}

// The next holder of the lease orders what was decided shortly before once more, whatever it would decide
// itself, and does not order what was decided long ago.
func TestNextHolderRepeatsTheLastDecisions(t *testing.T) {
	p := New(Config{})
	now := time.Hour
	p.Recorded(ordinary("a"), 9, now-time.Minute)
	p.Recorded(ordinary("b"), 5, now-2*time.Second)
	p.Recorded(ordinary("b"), 7, now-time.Second)
	p.StartTerm(now)
	in := Input{Now: now, Slots: 6, Scaling: newModel().scaling, Servers: map[Group]Servers{ordinary("a"): {Ready: 9}, ordinary("b"): {Ready: 5}}}
	require.Equal(t, []Decision{{ordinary("b"), 7, ReasonUnanswered}}, p.Plan(in))
	require.Empty(t, p.Plan(in), "an order is in flight")
	p.Answered(ordinary("b"), 7, Accepted, now)
	in.Now += time.Second
	require.Empty(t, p.Plan(in))
	require.Equal(t, 9, p.Targets()[ordinary("a")])
}

// A record of another host must replace what this host has ordered and was not answered.
func TestRecordOfAnotherHolderCounts(t *testing.T) {
	p := New(Config{})
	in := Input{Now: time.Hour, Slots: 6, Scaling: newModel().scaling, Servers: map[Group]Servers{ordinary("a"): {Ready: 4}}}
	planFor(p, &in, 200, observationTime)
	in.Now += tick
	require.NotEmpty(t, p.Plan(in))
	p.Recorded(ordinary("a"), 3, in.Now)
	p.Answered(ordinary("a"), 17, Accepted, in.Now)
	require.Equal(t, 3, p.Targets()[ordinary("a")])
}

// Whatever the provider answers, no order is given while another of the group is in flight, no failure domain
// is ordered to have more than its maximum, and a target is positive.
func TestRandomAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Config{RecordLifetime: 30 * time.Second})
		s := newModel().scaling
		in := Input{Now: time.Hour, Slots: 6, Scaling: s, LargestStep: 100, Servers: make(map[Group]Servers)}
		inFlight := make(map[Group]int)
		for range rapid.IntRange(1, 200).Draw(t, "ticks") {
			in.Now += tick
			in.Open = rapid.IntRange(0, 700).Draw(t, "open")
			for _, o := range p.Plan(in) {
				_, twice := inFlight[o.Group]
				require.False(t, twice)
				require.GreaterOrEqual(t, o.Servers, 0)
				if o.Servers > in.Servers[o.Group].Ready {
					require.LessOrEqual(t, o.Servers, s.Max)
				}
				inFlight[o.Group] = o.Servers
			}
			sum := make(map[string]int)
			for k, n := range p.Targets() {
				sum[k.Domain] += n
			}
			for d, n := range sum {
				require.LessOrEqual(t, n, s.Max, "%s", d)
			}
			for k, n := range inFlight {
				r := Result(rapid.IntRange(0, 4).Draw(t, fmt.Sprint("answer ", k)))
				if r > Unanswered {
					continue
				}
				p.Answered(k, n, r, in.Now)
				delete(inFlight, k)
				if r == Accepted {
					in.Servers[k] = Servers{Ready: rapid.IntRange(0, n).Draw(t, fmt.Sprint("ready ", k))}
				}
			}
		}
	})
}
