package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/rollout"
)

// TestOrdersRandom lets orders be refused, loads fail or get lost, and a server lose its
// weights. No order asks for less than the wanted version, and once the faults end every
// server reaches it.
func TestOrdersRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOrders(Config{LoadLimit: 5 * time.Second, Retry: time.Second})
		p := NewPermits(PermitConfig{MaxLoads: 1, Lease: 3 * time.Second, Retry: time.Second})
		now := time.Unix(1000, 0)
		k := []Target{{"a", "m"}, {"b", "m"}}
		have := map[Target]rollout.Version{}
		want := rollout.Version(0)
		carryOut := func(fault func() bool) {
			for range 10 {
				l := o.Next(now)
				if len(l) == 0 {
					break
				}
				for _, s := range l {
					require.GreaterOrEqual(t, s.Version, want)
					if s.NeedsPermit {
						ok, after := p.Acquire(now, s.Target)
						require.LessOrEqual(t, p.Held(), 1)
						o.Permitted(now, s.Target, ok, after)
						continue
					}
					refused := fault()
					o.Ordered(now, s.Target, s.Version, !refused)
					if !refused && !fault() {
						have[s.Target] = max(have[s.Target], s.Version)
						p.Release(s.Target)
					}
				}
			}
			for _, x := range k {
				o.Report(now, x, have[x], fault())
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "acts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				want++
				for _, x := range k {
					o.SetWanted(x, want)
				}
			case 1:
				have[k[0]] = 0
			default:
				carryOut(func() bool { return rapid.Bool().Draw(t, "bad") })
			}
		}
		for range 60 {
			now = now.Add(time.Second)
			carryOut(func() bool { return false })
		}
		for _, x := range k {
			require.Equal(t, want, have[x])
			s, _ := o.State(x)
			require.Equal(t, Settled, s)
		}
	})
}
