package membersim

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/member"
)

// TestNews covers how long news takes at today's size, in virtual time. The
// bounds are the goals for work to go on after a loss: two seconds.
func TestNews(t *testing.T) {
	w := Measure(13, 1)
	require.Less(t, w.Death, 2*time.Second)
	require.Less(t, w.Silent, 2*time.Second)
	require.Less(t, w.Leave, time.Second)
	require.Less(t, w.Join, 2*time.Second)
	require.Less(t, w.Bytes, 9000.0)
	require.Positive(t, w.Rejoin)
}

// TestSize covers the traffic of a hundred hosts: it must stay under the 9 KB a
// second that all control together may take.
func TestSize(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	w := Measure(100, 1)
	require.Less(t, w.Churn, 9000.0)
	require.Less(t, w.Death, 3*time.Second)
}

// TestSilentConnection covers a pause that is shorter than the suspicion: nobody
// is declared dead who refutes in time.
func TestSilentConnection(t *testing.T) {
	r := New(Config{Hosts: 13, Hop: time.Millisecond, Far: 5 * time.Millisecond, Seed: 1})
	r.For(3 * time.Second)
	r.Hosts[5].Paused = true
	r.For(600 * time.Millisecond)
	r.Hosts[5].Paused = false
	_, ok := r.Until(10*time.Second, func() bool { return r.Settled() && r.Agree(r.Hosts[5].ID, member.Alive) })
	require.True(t, ok)
}

// TestRandom kills, pauses, joins and parts hosts at random. Once the faults end,
// all hosts that run agree on the members.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(Config{
			Hosts: rapid.IntRange(2, 20).Draw(t, "hosts"), Hop: time.Millisecond, Far: 20 * time.Millisecond,
			Seed: rapid.Uint64().Draw(t, "seed"), Loss: rapid.Float64Range(0, 0.2).Draw(t, "loss"),
		})
		for range rapid.IntRange(1, 25).Draw(t, "faults") {
			r.For(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
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
				r.Part(rapid.IntRange(0, 4).Draw(t, "a"), rapid.IntRange(0, 4).Draw(t, "b"), rapid.Bool().Draw(t, "cut"))
			case 4:
				if h.Up && !h.Paused {
					r.Leave(h, member.Leaving)
				}
			}
		}
		settle(t, r)
	})
}

// settle ends all faults and waits until the hosts agree; the platform's list
// names the hosts to each other now and then.
func settle(t *rapid.T, r *Run) {
	r.c.Loss = 0
	for a := range regions {
		for b := range regions {
			r.Part(a, b, false)
		}
	}
	for _, h := range r.Hosts {
		h.Paused = false
	}
	for range 30 {
		for _, h := range r.Hosts {
			for _, k := range r.Hosts {
				if h.Up && k.Up {
					r.Hint(h, k)
				}
			}
		}
		if _, ok := r.Until(10*time.Second, func() bool { return agreed(r) }); ok {
			return
		}
	}
	t.Fatalf("hosts do not agree: %s", disagreement(r))
}

// disagreement names a host and what it holds of another.
func disagreement(r *Run) string {
	for _, h := range r.Hosts {
		for _, x := range r.Hosts {
			m, ok := h.Table.Get(x.ID)
			if h.Up && x.Up && (!ok || m.State >= member.Suspect && m.State != member.Leaving) {
				return fmt.Sprintf("%s holds %s for %v/%d (known %v), which is %+v", h.ID, x.ID, m.State, m.Incarnation, ok, x.Table.Self())
			}
			if h.Up && !x.Up && ok && m.State < member.Dead {
				return fmt.Sprintf("%s holds %s for %v, which is down", h.ID, x.ID, m.State)
			}
		}
	}
	return ""
}

// agreed reports whether all hosts that run hold the same members for live.
func agreed(r *Run) bool {
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
