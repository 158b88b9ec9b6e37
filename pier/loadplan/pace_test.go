package loadplan

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testPace = PaceConfig{Share: 0.2, Least: 950 * time.Millisecond, Lag: 400 * time.Millisecond}

// crowd replays three trainers on eleven engines of which two can load at full
// speed; more slow each other down by more than their share. It returns the loads
// done in two minutes, and the mean time of one. A fixed pace learns nothing, and
// gives each place up after the same time.
func crowd(p *Pace, fixed bool) (done int, mean time.Duration) {
	const tick = 10 * time.Millisecond
	type run struct {
		l           Load
		began, left time.Duration
		together    int
	}
	s := fleet(11)
	at := make(map[string]int)
	for i := range s {
		at[s[i].ID] = i
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
		var holding []Load
		for _, r := range loading {
			r.left -= time.Duration(speed * float64(tick))
			if r.left <= 0 {
				x := &s[at[r.l.Server]]
				x.Versions[r.l.Model], x.Busy = max(x.Versions[r.l.Model], r.l.Version), false
				if !fixed {
					p.Took(now-r.began+testPace.Lag, r.together, now)
				}
				total += now - r.began
				done++
				continue
			}
			rest = append(rest, r)
			if fixed && now-r.began < testPace.Least || !fixed && p.Holds(now-r.began) {
				holding = append(holding, r.l)
			}
		}
		loading = rest
		for _, l := range Plan(Config{AtOnce: p.AtOnce(len(s)), Share: 1}, s, goals, holding) {
			s[at[l.Server]].Busy = true
			loading = append(loading, &run{l, now, 900 * time.Millisecond, len(loading) + 1})
		}
	}
	return done, total / time.Duration(max(done, 1))
}

func guess(n int) *Pace {
	c := testPace
	c.Share = float64(n) / 11
	return NewPace(c)
}

// The guess is one or two too high: loads slow each other down until fewer are under
// way. Without it each slow load lets one more begin.
func TestSlowLoadsLowerTheirNumber(t *testing.T) {
	for _, n := range []int{3, 4} {
		slow, slowMean := crowd(guess(n), true)
		done, mean := crowd(guess(n), false)
		require.Greater(t, done, slow)
		require.Less(t, mean, slowMean*2/3)
	}
}

// The guess is too low: the number rises.
func TestUndisturbedLoadsRaiseTheirNumber(t *testing.T) {
	few, _ := crowd(guess(1), true)
	done, _ := crowd(guess(1), false)
	require.Greater(t, done, few*5/4)
}

// With the right guess, trying the next higher number costs less than a tenth.
func TestRightGuessKeepsItsPace(t *testing.T) {
	want, _ := crowd(guess(2), true)
	done, _ := crowd(guess(2), false)
	require.GreaterOrEqual(t, done, want*9/10)
}

// Servers leave: the number is the deployment's, not theirs.
func TestNumberStaysWhenServersLeave(t *testing.T) {
	p := NewPace(testPace)
	require.Equal(t, 1, p.AtOnce(0))
	require.Equal(t, 2, p.AtOnce(9))
	require.Equal(t, 2, p.AtOnce(7))
	require.Equal(t, 7, p.AtOnce(36))
}

func TestOneSlowServerLowersNothing(t *testing.T) {
	p := NewPace(testPace)
	n := p.AtOnce(9)
	for i := range 20 {
		d := time.Second
		if i%5 == 0 {
			d = 3 * time.Second
		}
		p.Took(d, n, time.Duration(i+1)*time.Millisecond)
	}
	require.Equal(t, n, p.AtOnce(9))
}

func TestHolds(t *testing.T) {
	p := NewPace(testPace)
	require.True(t, p.Holds(testPace.Least-1))
	require.False(t, p.Holds(testPace.Least), "it is done, most likely, but not yet seen to be")
	require.False(t, p.Holds(testPace.Least+testPace.Lag))
	require.True(t, p.Holds(testPace.Least+testPace.Lag+1), "it is slow")
}
