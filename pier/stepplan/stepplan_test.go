package stepplan

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestLongestStartFirst(t *testing.T) {
	l := StartOrder([]Sample{
		{ItemIndex: 0, ExpectedTokens: 1},
		{ItemIndex: 1, ExpectedTokens: 9},
		{ItemIndex: 2, ExpectedTokens: 1},
		{ItemIndex: 3},
	})
	var items []int
	for _, s := range l {
		items = append(items, s.ItemIndex)
	}
	require.Equal(t, []int{1, 0, 2, 3}, items)
}

func TestPick(t *testing.T) {
	tests := map[string]struct {
		l    []Engine
		want int
	}{
		"none":              {nil, -1},
		"too old":           {[]Engine{{Version: 1, Slots: 8}}, -1},
		"full":              {[]Engine{{Version: 2, Slots: 8, Running: 8}}, -1},
		"fewest running":    {[]Engine{{Version: 2, Slots: 8, Running: 3}, {Version: 2, Slots: 8, Running: 2}}, 1},
		"newer where alike": {[]Engine{{Version: 2, Slots: 8}, {Version: 3, Slots: 8}}, 1},
		"nearer where alike": {[]Engine{
			{ID: "a", Version: 2, Slots: 8},
			{ID: "b", Version: 2, Slots: 8, SameDomain: true},
		}, 1},
		"an idle slow one is worse": {[]Engine{
			{Version: 2, Slots: 8, RelativeTokenTime: 3},
			{Version: 2, Slots: 8, Running: 7},
		}, 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, PickEngine(c.l, Need{MinVersion: 2})) })
	}
}

func TestSamplesLeaveServersThatTurnSlow(t *testing.T) {
	slow := Engine{ID: "slow", Version: 2, Software: "1", Slots: 8, Running: 8, RelativeTokenTime: 3}
	tests := map[string]struct {
		l    []Engine
		want bool
	}{
		"room elsewhere":         {[]Engine{slow, {ID: "b", Version: 2, Software: "1", Slots: 8, Running: 4}}, true},
		"no room elsewhere":      {[]Engine{slow, {ID: "b", Version: 2, Software: "1", Slots: 8, Running: 8}}, false},
		"other software there":   {[]Engine{slow, {ID: "b", Version: 2, Software: "2", Slots: 8}}, false},
		"unknown software there": {[]Engine{slow, {ID: "b", Version: 2, Slots: 8}}, false},
		"older weights there":    {[]Engine{slow, {ID: "b", Version: 1, Software: "1", Slots: 8}}, false},
		"as slow there": {[]Engine{
			slow,
			{ID: "b", Version: 2, Software: "1", Slots: 8, RelativeTokenTime: 2.5},
		}, false},
		"alone":                {[]Engine{slow}, false},
		"not a known server":   {[]Engine{{ID: "b", Version: 2, Software: "1", Slots: 8}}, false},
		"only the batch there": {[]Engine{{ID: "slow", Version: 2, Software: "1", Slots: 8, Running: 7}, {ID: "b", Version: 2, Software: "1", Slots: 8}}, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.want, len(PlanMoves(c.l, []Run{{Server: "slow", MinVersion: 2}}, 1)) == 1)
		})
	}
}

// An engine with a full batch becomes slow. A sample that moves must be counted at its new
// engine at once: otherwise all samples of the batch would choose the same free slot.
// Samples listed first move first.
func TestMovesAtOnce(t *testing.T) {
	l := []Engine{
		{ID: "slow", Version: 2, Software: "1", Slots: 8, Running: 8, RelativeTokenTime: 4},
		{ID: "b", Version: 2, Software: "1", Slots: 8, Running: 6},
		{ID: "c", Version: 2, Software: "1", Slots: 8, Running: 7},
		{ID: "old", Version: 1, Software: "1", Slots: 8},
	}
	runs := make([]Run, 8)
	for i := range runs {
		runs[i] = Run{Server: "slow", MinVersion: 2}
	}
	require.Equal(t, []int{0, 1}, PlanMoves(l, runs, 2))
	require.Equal(t, []int{0, 1, 2}, PlanMoves(l, runs, 8))
	require.Equal(t, 8, l[0].Running, "the caller's list must not be modified")
}
