package weights

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/rollout"
)

// TestOrdersRandom lets loads be refused, fail, get lost or be taken over by a
// crash. Orders never ask for less than what was wanted, and once the faults end
// every server gets there.
func TestOrdersRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := NewOrders(Config{LoadLimit: 5 * time.Second, Retry: time.Second})
		p := NewPermits(PermitConfig{AtOnce: 1, Lease: 3 * time.Second, Retry: time.Second})
		now := time.Unix(1000, 0)
		k := []Target{{"a", "m"}, {"b", "m"}}
		have := map[Target]rollout.Version{}
		want := rollout.Version(0)
		carry := func(bad func() bool) {
			for range 10 {
				l := o.Next(now)
				if len(l) == 0 {
					break
				}
				for _, s := range l {
					require.GreaterOrEqual(t, s.Version, want)
					if s.Permit {
						ok, after := p.Ask(now, s.Target)
						require.LessOrEqual(t, p.Held(), 1)
						o.Permitted(now, s.Target, ok, after)
						continue
					}
					refused := bad()
					o.Ordered(now, s.Target, s.Version, !refused)
					if !refused && !bad() {
						have[s.Target] = max(have[s.Target], s.Version)
						p.Done(s.Target)
					}
				}
			}
			for _, x := range k {
				o.Report(now, x, have[x], bad())
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "acts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 4).Draw(t, "act") {
			case 0:
				want++
				for _, x := range k {
					o.Want(x, want)
				}
			case 1:
				have[k[0]] = 0
			default:
				carry(func() bool { return rapid.Bool().Draw(t, "bad") })
			}
		}
		for range 60 {
			now = now.Add(time.Second)
			carry(func() bool { return false })
		}
		for _, x := range k {
			require.Equal(t, want, have[x])
			s, _ := o.State(x)
			require.Equal(t, Settled, s)
		}
	})
}
