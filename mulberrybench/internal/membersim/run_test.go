package membersim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/member"
)

// TestNews checks, at the present size of 13 hosts, how long changes of membership take
// to reach all hosts, in virtual time. The bounds follow from the goal that work
// continues within two seconds after a loss.
func TestNews(t *testing.T) {
	w := Measure(13, 1)
	require.Less(t, w.Death, 2*time.Second)
	require.Less(t, w.Unresponsive, 2*time.Second)
	require.Less(t, w.Leave, time.Second)
	require.Less(t, w.Join, 2*time.Second)
	require.Less(t, w.IdleBytes, 9000.0)
	require.Positive(t, w.PartitionHeal)
}

// TestSize checks that the traffic of a hundred hosts stays below 9 KB per second and
// host, which is the limit for all control traffic together.
func TestSize(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	w := Measure(100, 1)
	require.Less(t, w.ChurnBytes, 9000.0)
	require.Less(t, w.Death, 3*time.Second)
}

// TestSilentConnection checks that a host whose pause is shorter than the suspicion
// timeout counts as alive afterwards, because it refutes the suspicion in time.
func TestSilentConnection(t *testing.T) {
	r := New(Config{Hosts: 13, IntraRegionDelay: time.Millisecond, InterRegionDelay: 5 * time.Millisecond, Seed: 1})
	r.RunFor(3 * time.Second)
	r.Hosts[5].Paused = true
	r.RunFor(600 * time.Millisecond)
	r.Hosts[5].Paused = false
	_, ok := r.RunUntil(10*time.Second, func() bool { return r.Converged() && r.AllSee(r.Hosts[5].ID, member.Alive) })
	require.True(t, ok)
}

// TestRandom kills, pauses, joins, partitions and removes hosts at random. After the
// faults end, all running hosts must agree on the members.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{
			Hosts: rapid.IntRange(2, 20).Draw(t, "hosts"), IntraRegionDelay: time.Millisecond, InterRegionDelay: 20 * time.Millisecond,
			Seed: rapid.Uint64().Draw(t, "seed"), LossRate: rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		})
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			r.RunFor(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			h := r.Hosts[rapid.IntRange(0, len(r.Hosts)-1).Draw(t, "host")]
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0:
				if h != r.Hosts[0] {
					h.Up = false
				}
			case 1:
				h.Paused = !h.Paused
			case 2:
				r.Join(rapid.StringMatching("new-[a-z]{8}").Draw(t, "name"), rapid.IntRange(0, 4).Draw(t, "region"), r.Hosts[0])
			case 3:
				r.SetPartitioned(rapid.IntRange(0, 4).Draw(t, "a"), rapid.IntRange(0, 4).Draw(t, "b"), rapid.Bool().Draw(t, "cut"))
			case 4:
				if h.Up && !h.Paused {
					r.Leave(h, member.Leaving)
				}
			}
		}
		requireConvergence(t, r)
	})
}

// requireConvergence ends all faults and runs the simulation until the hosts agree. Every
// ten seconds it tells the running hosts each other's addresses, as the platform's host
// list does. The test fails if the hosts do not agree after 30 such rounds.
func requireConvergence(t *rapid.T, r *Simulation) {
	r.c.LossRate = 0
	for a := range regions {
		for b := range regions {
			r.SetPartitioned(a, b, false)
		}
	}
	for _, h := range r.Hosts {
		h.Paused = false
	}
	for range 30 {
		for _, h := range r.Hosts {
			for _, k := range r.Hosts {
				if h.Up && k.Up {
					r.Discover(h, k)
				}
			}
		}
		if _, ok := r.RunUntil(10*time.Second, func() bool { return viewsAgree(r) }); ok {
			return
		}
	}
	t.Fatalf("hosts do not agree: %s", describeDisagreement(r))
}

// describeDisagreement describes the first host that sees another in a wrong state, or
// returns "" if there is none.
func describeDisagreement(r *Simulation) string {
	for _, h := range r.Hosts {
		for _, x := range r.Hosts {
			m, ok := h.Table.Get(x.ID)
			if h.Up && x.Up && (!ok || m.State >= member.Suspect && m.State != member.Leaving) {
				return fmt.Sprintf("%s sees %s as %v, incarnation %d (known: %v), but its own record is %+v", h.ID, x.ID, m.State, m.Incarnation, ok, x.Table.Self())
			}
			if h.Up && !x.Up && ok && m.State < member.Dead {
				return fmt.Sprintf("%s sees %s as %v, but it is down", h.ID, x.ID, m.State)
			}
		}
	}
	return ""
}

// viewsAgree reports whether all running hosts see the running hosts as alive or leaving,
// and no host that is down as a member.
func viewsAgree(r *Simulation) bool {
	for _, x := range r.Hosts {
		if !x.Up {
			continue
		}
		for _, h := range r.Hosts {
			m, ok := h.Table.Get(x.ID)
			if h.Up && (!ok || m.State >= member.Dead || m.State == member.Suspect) {
				return false
			}
		}
	}
	for _, x := range r.Hosts {
		for _, h := range r.Hosts {
			m, ok := h.Table.Get(x.ID)
			if h.Up && !x.Up && ok && m.State < member.Dead {
				return false
			}
		}
	}
	return true
}
