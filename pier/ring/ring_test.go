package ring

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAssignmentRandom changes the candidates at random and compares the cached
// holders with newly computed ones. It guards against stale entries after a
// candidate joins, leaves or changes its region.
func TestAssignmentRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAssignment()
		for range rapid.IntRange(1, 12).Draw(t, "changes") {
			var c []Candidate
			for i := range 8 {
				if rapid.Bool().Draw(t, "in") {
					c = append(c, Candidate{ID: fmt.Sprint("h", i), Region: fmt.Sprint(i % 3)})
				}
			}
			a.SetCandidates(c)
			for k := range 20 {
				key, region := fmt.Sprint("k", k), fmt.Sprint(k%4)
				want, ok := Holder(key, region, c)
				got, ok2 := a.Holder(key, region)
				require.Equal(t, ok, ok2)
				require.Equal(t, want, got)
			}
		}
	})
}

// TestSpread checks that keys are distributed evenly over hosts, and that removing
// a host moves only the keys that it held.
func TestSpread(t *testing.T) {
	var c []Candidate
	for i := range 13 {
		c = append(c, Candidate{ID: fmt.Sprint("h", i)})
	}
	n := map[string]int{}
	for k := range 13000 {
		id, _ := Holder(fmt.Sprint("key", k), "", c)
		n[id]++
		other, _ := Holder(fmt.Sprint("key", k), "", c[1:])
		require.True(t, other == id || id == "h0")
	}
	for _, x := range c {
		require.InDelta(t, 1000, n[x.ID], 200)
	}
}

// BenchmarkChange measures the replacement of one host by another.
func BenchmarkChange(b *testing.B) {
	for _, n := range []int{1500, 6000, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var c []Candidate
			for i := range 680 {
				c = append(c, Candidate{ID: fmt.Sprint("host-", i), Region: fmt.Sprint(i % 5)})
			}
			a := NewAssignment()
			for i := 0; b.Loop(); i++ {
				c[i%680].ID = fmt.Sprint("host-", 680+i)
				a.SetCandidates(c)
				for k := range n {
					a.Holder(fmt.Sprint("server:", k), fmt.Sprint(k%5))
				}
			}
		})
	}
}
