package access

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a level at which a less urgent request passes a more urgent one, or has its level although both
// have one of the priorities 0 to 2.
func TestLevelsKeepTheOrderOfPriorityAndKind(t *testing.T) {
	last := -1
	for _, p := range []int{0, 1, 2, 3, 4, 100, math.MaxInt} {
		for _, k := range []Kind{KindSample, KindPlain, KindReward} {
			n := Level(p, k)
			require.LessOrEqual(t, n, 9)
			require.GreaterOrEqual(t, n, last)
			if p <= 2 {
				require.Greater(t, n, last, "priority %d, kind %d", p, k)
			}
			last = n
		}
	}
	require.Zero(t, Level(-1, KindSample))
	require.Greater(t, Level(3, KindSample), Level(2, KindReward))
}
