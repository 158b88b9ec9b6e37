package loadplan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPace = PaceConfig{Least: 950 * time.Millisecond, Most: 4 * time.Second, Lag: 300 * time.Millisecond}

// crowd replays three trainers on eleven engines of which two can load at full
// speed, while the planner believes that atOnce can; more slow each other down by
// more than their share. It returns the loads done in a minute, and the mean time of
// one.
func crowd(atOnce int, p *Pace) (done int, mean time.Duration) {
	const tick = 10 * time.Millisecond
	type run struct {
		l           Load
		began, left time.Duration
	}
	s := fleet(11)
	at := make(map[string]int)
	for i := range s {
		at[s[i].ID] = i
	}
	goals := []Goal{{"a", 1}, {"b", 1}, {"c", 1}}
	var loading []*run
	var total time.Duration
	for now := time.Duration(0); now < time.Minute; now += tick {
		for g := range goals {
			if now%(4*time.Second) == time.Duration(g)*time.Second {
				goals[g].Version++
			}
		}
		speed := min(1, math.Pow(2/float64(max(len(loading), 1)), 1.5))
		rest := loading[:0]
		var holding []Load
		for _, r := range loading {
			r.left -= time.Duration(speed * float64(tick))
			if r.left <= 0 {
				x := &s[at[r.l.Server]]
				x.Versions[r.l.Model], x.Busy = max(x.Versions[r.l.Model], r.l.Version), false
				p.Took(now - r.began + testPace.Lag)
				total += now - r.began
				done++
				continue
			}
			rest = append(rest, r)
			if now-r.began < p.Hold() {
				holding = append(holding, r.l)
			}
		}
		loading = rest
		for _, l := range Plan(Config{AtOnce: atOnce, Share: 1}, s, goals, holding) {
			s[at[l.Server]].Busy = true
			loading = append(loading, &run{l, now, 900 * time.Millisecond})
		}
	}
	return done, total / time.Duration(max(done, 1))
}

// Loads that slow each other down keep their places for longer, so that fewer are
// under way: without it, each slow load lets one more begin.
func TestSlowLoadsKeepTheirPlaces(t *testing.T) {
	fixed := NewPace(PaceConfig{Least: testPace.Least, Most: testPace.Least})
	slow, slowMean := crowd(3, fixed)
	done, mean := crowd(3, NewPace(testPace))
	require.Greater(t, done, slow)
	require.Less(t, mean, slowMean*2/3)
}

// With the right number at once the pace costs nothing.
func TestUndisturbedLoadsKeepTheirPace(t *testing.T) {
	fixed := NewPace(PaceConfig{Least: testPace.Least, Most: testPace.Least})
	want, _ := crowd(2, fixed)
	done, _ := crowd(2, NewPace(testPace))
	require.InDelta(t, want, done, 2)
}

func TestPaceComesBack(t *testing.T) {
	p := NewPace(testPace)
	for range 20 {
		p.Took(time.Minute)
	}
	require.InDelta(t, testPace.Most, p.Hold(), float64(50*time.Millisecond))
	for range 20 {
		p.Took(time.Second)
	}
	require.InDelta(t, testPace.Least, p.Hold(), float64(50*time.Millisecond))
}

func TestAtOnce(t *testing.T) {
	tests := map[string]struct{ servers, want int }{
		"no server":              {0, 1},
		"one":                    {1, 1},
		"nine":                   {9, 2},
		"nine and two that came": {11, 2},
		"thirty-five":            {35, 7},
		"thirty-six":             {36, 7},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, AtOnce(0.2, c.servers)) })
	}
}
