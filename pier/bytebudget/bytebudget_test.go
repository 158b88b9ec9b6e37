package bytebudget

import (
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestBudgetIsNeverExceeded(t *testing.T) {
	const total, each, takers = 1000, 30, 200
	b := New(total)
	var inUse, most atomic.Int64
	var w sync.WaitGroup
	for range takers {
		w.Go(func() {
			for range 100 {
				if !b.Take(each) {
					continue
				}
				n := inUse.Add(each)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				inUse.Add(-each)
				b.Give(each)
			}
		})
	}
	w.Wait()
	require.LessOrEqual(t, most.Load(), int64(total))
	require.EqualValues(t, total, b.Left())
	require.False(t, b.Take(total+1))
	require.True(t, b.Take(total))
}

// What is in memory already is counted even if there is no room for it, and leaves none to others.
func TestChargeLeavesNothingToTake(t *testing.T) {
	b := New(100)
	b.Charge(150)
	require.EqualValues(t, -50, b.Left())
	require.False(t, b.Take(1))
	b.Give(140)
	require.True(t, b.Take(90))
	require.False(t, b.Take(1))
}
