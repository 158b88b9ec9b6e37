package serverchoice

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// numbers returns random numbers that a test names.
func numbers(l ...int) func(int) int {
	return func(n int) int {
		i := l[0]
		l = l[1:]
		if i >= n {
			panic("number out of range")
		}
		return i
	}
}

// Guards against a choice that forgets something that speaks against a server.
func TestChoice(t *testing.T) {
	states := func(running int, slowdown float64) Server {
		return Server{Slots: 6, Running: running, Slowdown: slowdown, StatesSlowdown: true, Recent: true}
	}
	old := states(1, 2)
	old.Recent = false
	avoided := states(0, 1)
	avoided.Avoided = true
	limited := states(0, 1)
	limited.LimitWait = 10 * time.Millisecond
	remote := states(0, 1)
	remote.OtherDomain = true
	tests := map[string]struct {
		l      []Server
		random []int
		index  int
		basis  Basis
		ready  bool
	}{
		"three figures, lowest cost":    {[]Server{{Slots: 6, Running: 2}, {Slots: 6, Running: 1}}, nil, 1, LowestCost, true},
		"three figures, first of equal": {[]Server{{Slots: 6}, {Slots: 6}}, nil, 0, LowestCost, true},
		"three figures, other domain":   {[]Server{{Slots: 6, OtherDomain: true}, {Slots: 6}}, nil, 1, LowestCost, true},
		"less load of two":              {[]Server{states(3, 1), states(2, 1), states(0, 1)}, []int{0, 0}, 1, SoonerOfTwo, true},
		"second is the one before":      {[]Server{states(1, 1), states(2, 1), states(0, 1)}, []int{1, 0}, 0, SoonerOfTwo, true},
		"slow machine":                  {[]Server{states(0, 2.5), states(6, 1)}, []int{0, 0}, 1, SoonerOfTwo, true},
		"slow machine, full other":      {[]Server{states(0, 2.5), states(18, 1)}, []int{0, 0}, 0, SoonerOfTwo, true},
		"equal":                         {[]Server{states(1, 1), states(1, 1)}, []int{1, 0}, 1, EitherOfTwo, true},
		"own domain":                    {[]Server{remote, states(0, 1)}, []int{0, 0}, 1, SoonerOfTwo, true},
		"other domain, but less load":   {[]Server{remote, states(2, 1)}, []int{0, 0}, 0, SoonerOfTwo, true},
		"avoided and limited not drawn": {[]Server{avoided, limited, states(9, 9)}, nil, 2, LowestCost, true},
		"all avoided":                   {[]Server{avoided, avoided}, nil, 0, LowestCost, false},
		"limited before avoided":        {[]Server{avoided, limited}, nil, 1, LowestCost, true},
		"long limited behind avoided":   {[]Server{avoided, {Slots: 6, LimitWait: time.Second}}, nil, 0, LowestCost, false},
		"no slots stated":               {[]Server{{Running: 1}, {Running: 2}}, nil, 0, LowestCost, true},
		"one recent figure only":        {[]Server{{Slots: 6, Slowdown: 1}, states(0, 2)}, nil, 0, LowestCost, true},
		"figures too old":               {[]Server{old, old}, nil, 0, LowestCost, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, ok := Choose(c.l, numbers(c.random...))
			require.True(t, ok)
			require.Equal(t, c.index, got.Index)
			require.Equal(t, c.basis, got.Basis)
			require.Equal(t, c.ready, got.Ready)
		})
	}
	_, ok := Choose(nil, numbers())
	require.False(t, ok)
}

// Each choice must take less than 20 us for the servers of a service.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(n, " servers"), func(b *testing.B) {
			r := rand.New(rand.NewPCG(1, 1))
			l := make([]Server, n)
			for i := range l {
				l[i] = Server{Slots: 6, Running: r.IntN(9), Slowdown: 1 + r.Float64(), StatesSlowdown: true}
			}
			for b.Loop() {
				Choose(l, r.IntN)
			}
		})
	}
}
