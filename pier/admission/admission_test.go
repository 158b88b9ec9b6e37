package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mulberrypier.example/pier/outcome"
)

// TestBudget checks that retries stay within the configured fraction of the requests.
func TestBudget(t *testing.T) {
	b := NewBudget(BudgetConfig{Ratio: 0.1, Burst: 5})
	n := 0
	for range 1000 {
		b.Request()
		for b.AllowRetry() {
			n++
		}
	}
	require.LessOrEqual(t, n, 105)
	require.GreaterOrEqual(t, n, 100)
}

// TestGateRandom lets requests arrive, wait, give up and leave at random. The gate never
// exceeds its limits, and once all requests have left it is empty.
func TestGateRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := GateConfig{Running: rapid.IntRange(1, 4).Draw(t, "running"), Waiting: rapid.IntRange(0, 4).Draw(t, "waiting")}
		g := NewGate(c)
		now := time.Unix(1000, 0)
		var l []*Ticket
		for range rapid.IntRange(1, 60).Draw(t, "acts") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "enter") || len(l) == 0 {
				x, err := g.Enter(now, now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline"))*time.Millisecond))
				if err != nil {
					require.Equal(t, outcome.NotRun, outcome.AsError(err).Outcome)
					continue
				}
				l = append(l, x)
				continue
			}
			i := rapid.IntRange(0, len(l)-1).Draw(t, "leave")
			g.Leave(now, l[i], 10*time.Millisecond)
			l = append(l[:i], l[i+1:]...)
			r, w := g.Running()
			require.LessOrEqual(t, r, c.Running)
			require.LessOrEqual(t, w, c.Waiting)
		}
		for _, x := range l {
			g.Leave(now, x, 0)
		}
		r, w := g.Running()
		require.Zero(t, r)
		require.Zero(t, w)
	})
}

// TestOverload offers twice the capacity in virtual time. The number of requests that finish
// within their deadlines must be at least 90% of that at full capacity.
func TestOverload(t *testing.T) {
	goodput := func(load float64) int {
		g := NewGate(GateConfig{Running: 10, Waiting: 100})
		now, done := time.Unix(0, 0), 0
		type job struct {
			x   *Ticket
			end time.Time
		}
		var waiting []*Ticket
		var inProgress []job
		const duration = 100 * time.Millisecond
		for i := range 20000 {
			now = now.Add(time.Millisecond)
			for j := 0; j < len(inProgress); j++ {
				if b := inProgress[j]; !b.end.After(now) {
					inProgress = append(inProgress[:j], inProgress[j+1:]...)
					g.Leave(now, b.x, duration)
					j--
					if !now.After(b.x.Deadline) {
						done++
					}
				}
			}
			for k := 0; k < len(waiting); k++ {
				select {
				case <-waiting[k].Ready:
					inProgress = append(inProgress, job{waiting[k], now.Add(duration)})
					waiting = append(waiting[:k], waiting[k+1:]...)
					k--
				default:
				}
			}
			// The capacity is one request every 10 ms.
			if i%int(10/load) == 0 {
				if x, err := g.Enter(now, now.Add(500*time.Millisecond)); err == nil {
					waiting = append(waiting, x)
				}
			}
		}
		return done
	}
	atCapacity, overloaded := goodput(1), goodput(2)
	require.Positive(t, atCapacity)
	require.GreaterOrEqual(t, float64(overloaded), 0.9*float64(atCapacity))
}
