package loadplan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var baseConfig = LimiterConfig{InitialShare: 0.2, Least: 950 * time.Millisecond, Lag: 400 * time.Millisecond}

// simulateLoads simulates three trainers on eleven engines of which two can load at full
// speed; with more concurrent loads, the total rate of loading falls. It returns the number
// of loads completed in two minutes and their mean duration. With fixed set, the limit does
// not adapt and each load frees its slot after the duration of an undisturbed one.
func simulateLoads(p *Limiter, fixed bool) (done int, mean time.Duration) {
	const tick = 10 * time.Millisecond
	type run struct {
		l                  Load
		started, remaining time.Duration
		concurrent         int
	}
	s := fleet(11)
	index := make(map[string]int)
	for i := range s {
		index[s[i].ID] = i
	}
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	var loading []*run
	var total time.Duration
	for now := tick; now < 2*time.Minute; now += tick {
		for g := range goals {
			if now%(4*time.Second) == time.Duration(g)*time.Second {
				goals[g].Version++
			}
		}
		speed := min(1, math.Pow(2/float64(max(len(loading), 1)), 1.5))
		rest := loading[:0]
		var counted []Load
		for _, r := range loading {
			r.remaining -= time.Duration(speed * float64(tick))
			if r.remaining <= 0 {
				x := &s[index[r.l.Server]]
				x.Versions[r.l.Model], x.Busy = max(x.Versions[r.l.Model], r.l.Version), false
				if !fixed {
					p.LoadDone(now-r.started+baseConfig.Lag, r.concurrent, now)
				}
				total += now - r.started
				done++
				continue
			}
			rest = append(rest, r)
			if fixed && now-r.started < baseConfig.Least || !fixed && p.OccupiesSlot(now-r.started) {
				counted = append(counted, r.l)
			}
		}
		loading = rest
		for _, l := range Plan(Config{MaxConcurrent: p.MaxConcurrent(len(s)), Share: 1}, s, goals, counted) {
			s[index[l.Server]].Busy = true
			loading = append(loading, &run{l, now, 900 * time.Millisecond, len(loading) + 1})
		}
	}
	return done, total / time.Duration(max(done, 1))
}

// withInitialLimit returns a Limiter whose initial limit for eleven servers is n.
func withInitialLimit(n int) *Limiter {
	c := baseConfig
	c.InitialShare = float64(n) / 11
	return NewLimiter(c)
}

// The initial limit is one or two too high, so loads slow each other down: the limit must
// fall. With a fixed limit each slow load frees its slot early and lets one more start.
func TestSlowLoadsLowerTheirNumber(t *testing.T) {
	for _, n := range []int{3, 4} {
		slow, slowMean := simulateLoads(withInitialLimit(n), true)
		done, mean := simulateLoads(withInitialLimit(n), false)
		require.Greater(t, done, slow)
		require.Less(t, mean, slowMean*2/3)
	}
}

// The initial limit is too low: it must rise.
func TestUndisturbedLoadsRaiseTheirNumber(t *testing.T) {
	few, _ := simulateLoads(withInitialLimit(1), true)
	done, _ := simulateLoads(withInitialLimit(1), false)
	require.Greater(t, done, few*5/4)
}

// With the right initial limit, trials of the next higher one must cost less than a tenth
// of the loads.
func TestRightGuessKeepsItsPace(t *testing.T) {
	want, _ := simulateLoads(withInitialLimit(2), true)
	done, _ := simulateLoads(withInitialLimit(2), false)
	require.GreaterOrEqual(t, done, want*9/10)
}

// The limit is a property of the deployment, so it must not fall when servers leave.
func TestNumberStaysWhenServersLeave(t *testing.T) {
	p := NewLimiter(baseConfig)
	require.Equal(t, 1, p.MaxConcurrent(0))
	require.Equal(t, 2, p.MaxConcurrent(9))
	require.Equal(t, 2, p.MaxConcurrent(7))
	require.Equal(t, 7, p.MaxConcurrent(36))
}

func TestOneSlowServerLowersNothing(t *testing.T) {
	p := NewLimiter(baseConfig)
	n := p.MaxConcurrent(9)
	for i := range 20 {
		d := time.Second
		if i%5 == 0 {
			d = 3 * time.Second
		}
		p.LoadDone(d, n, time.Duration(i+1)*time.Millisecond)
	}
	require.Equal(t, n, p.MaxConcurrent(9))
}

func TestHolds(t *testing.T) {
	p := NewLimiter(baseConfig)
	require.True(t, p.OccupiesSlot(baseConfig.Least-1))
	require.False(t, p.OccupiesSlot(baseConfig.Least), "most likely done, but not yet detected")
	require.False(t, p.OccupiesSlot(baseConfig.Least+baseConfig.Lag))
	require.True(t, p.OccupiesSlot(baseConfig.Least+baseConfig.Lag+1), "a slow load occupies its slot again")
}
